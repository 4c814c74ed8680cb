//! What shared limits cost a router: at its start, when it asks every peer what it lent, and a second, by limits in use.

use std::net::SocketAddr;

use marljunction_limits::escrow::Peer;
use marljunction_limits::{Kind, Limit, LimitParams, Message, Mode, Node};
use marljunction_peers::datagram::Kind as Sealed;
use marljunction_peers::{Keys, Members, PeerIdentity, Settings};
use marljunction_testkit::fleet::FLEET_KEY;

use super::clock::thread_ns;
use super::{series, Figures};

const ROUTERS: [usize; 4] = [50, 200, 800, 3_200];
/// Routers of a steady fleet, and keys that are in use.
const STEADY: [usize; 4] = [25, 50, 100, 200];
const KEYS: [usize; 4] = [1, 4, 16, 64];
const KEYS_ROUTERS: usize = 50;
const SECOND_NS: u64 = 1_000_000_000;
const START_NS: u64 = 1_700_000_000 * SECOND_NS;
const STEP_NS: u64 = 20_000_000;
const KEYS_MOST: usize = 16_384;

/// Messages, and sealed bytes of them, one datagram for each peer and time.
#[derive(Clone, Copy, Default)]
struct Sent {
    messages: u64,
    bytes: u64,
}

/// Seals what is said as the program does, to count its bytes.
struct Sealer {
    members: Members,
    to: SocketAddr,
}

impl Sealer {
    fn new() -> Result<Sealer, String> {
        let to = SocketAddr::from(([10, 0, 0, 1], 4_200));
        let who = PeerIdentity {
            name: "router-00000".into(),
            number: 0,
            address: to,
            incarnation: START_NS,
            renewal: 0,
        };
        Ok(Sealer { members: Members::new(who, Keys::read(FLEET_KEY)?, &Settings::default(), 1), to })
    }

    fn bytes(&mut self, messages: &[&Message]) -> u64 {
        let said = rmp_serde::to_vec(messages).unwrap_or_default();
        self.members.send_payload(self.to, Sealed::Limits, &said);
        let (out, _) = self.members.take();
        out.iter().map(|(_, datagram)| datagram.len() as u64).sum()
    }
}

fn limit(routers: usize) -> Limit {
    // Each router owns two units of each key.
    let kind = Kind::Concurrency { at_once: 2 * routers as u32 };
    Limit { name: "limit".into(), subject: "tenant".into(), kind, mode: Mode::Strict }
}

struct Fleet {
    now: u64,
    nodes: Vec<Node>,
    wire: Vec<(usize, Peer, Message)>,
    sent: Sent,
    sealer: Sealer,
    routers: usize,
}

impl Fleet {
    fn new(routers: usize) -> Result<Fleet, String> {
        let params = LimitParams { routers: routers as u32, ..LimitParams::default() };
        let mut fleet = Fleet {
            now: START_NS,
            nodes: Vec::new(),
            wire: Vec::new(),
            sent: Sent::default(),
            sealer: Sealer::new()?,
            routers,
        };
        for at in 0..routers {
            let me = Peer { number: at as u32, incarnation: START_NS };
            fleet.nodes.push(Node::new(START_NS, me, params, vec![limit(routers)], KEYS_MOST));
        }
        (0..routers).for_each(|at| fleet.see_all(at));
        Ok(fleet)
    }

    fn see_all(&mut self, at: usize) {
        let others = (0..self.routers as u32).filter(|other| *other != at as u32).collect();
        self.nodes[at].set_reachable(self.now, others);
    }

    fn send_payload(&mut self, from: usize, said: Vec<(u32, Message)>) {
        let peer = Peer { number: from as u32, incarnation: START_NS };
        for (to, message) in said {
            self.sent.messages += 1;
            self.sent.bytes += self.sealer.bytes(&[&message]);
            self.wire.push((to as usize, peer, message));
        }
    }

    /// Hands over what was said, answers included.
    fn deliver(&mut self) {
        while !self.wire.is_empty() {
            for (to, from, message) in std::mem::take(&mut self.wire) {
                let answers = self.nodes[to].receive(self.now, from, message);
                let answers = answers.into_iter().map(|answer| (from.number, answer)).collect();
                self.send_payload(to, answers);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_NS;
        for at in 0..self.routers {
            let said = self.nodes[at].tick(self.now);
            self.send_payload(at, said);
        }
        self.deliver();
    }

    fn run(&mut self, ns: u64) {
        (0..ns / STEP_NS).for_each(|_| self.step());
    }
}

/// Messages, bytes and processor time (ms) of one router's start, its peers' answers included.
fn start(routers: usize) -> Result<[f64; 3], String> {
    let mut fleet = Fleet::new(routers)?;
    // The others have been there for long: they ask nobody.
    let cpu = thread_ns();
    fleet.now += STEP_NS;
    let asked = fleet.nodes[0].tick(fleet.now);
    fleet.send_payload(0, asked);
    fleet.deliver();
    let cpu = thread_ns() - cpu;
    Ok([fleet.sent.messages as f64, fleet.sent.bytes as f64, cpu as f64 / 1e6])
}

/// Messages, bytes and processor time (ms) a second of one router where a tenth of the routers want more than their own units of each
/// of `keys`.
fn steady(routers: usize, keys: usize) -> Result<[f64; 3], String> {
    const MEASURED_NS: u64 = 4 * SECOND_NS;
    let mut fleet = Fleet::new(routers)?;
    // All know what they lent, and may lend again.
    fleet.run(SECOND_NS);
    fleet.run(30 * SECOND_NS);
    let mut permits = Vec::new();
    for at in (0..routers).step_by(10) {
        for key in 0..keys as u64 {
            for _ in 0..6 {
                permits.extend(fleet.nodes[at].admit(fleet.now, &[(0, key)]).ok());
            }
        }
    }
    fleet.run(SECOND_NS);
    let (before, cpu) = (fleet.sent, thread_ns());
    let steps = MEASURED_NS / STEP_NS;
    for _ in 0..steps {
        for at in (0..routers).step_by(10) {
            for key in 0..keys as u64 {
                // Demand stays: what can't be admitted is asked for.
                permits.extend(fleet.nodes[at].admit(fleet.now, &[(0, key)]).ok());
            }
        }
        fleet.step();
    }
    let seconds = MEASURED_NS as f64 / SECOND_NS as f64;
    let each = |n: u64| (n as f64 / seconds / routers as f64).max(1e-6);
    let sent =
        Sent { messages: fleet.sent.messages - before.messages, bytes: fleet.sent.bytes - before.bytes };
    Ok([each(sent.messages), each(sent.bytes), each(thread_ns() - cpu) / 1e6])
}

/// Measures it all.
///
/// # Errors
/// Where the fleet's key can't be read.
pub fn measure(figures: &mut Figures) -> Result<(), String> {
    let mut add = |names: [(&str, &str, &str); 3], by: &str, of: Vec<(usize, [f64; 3])>| {
        for (at, (name, what, unit)) in names.into_iter().enumerate() {
            let values = of.iter().map(|(n, cost)| (*n as f64, vec![cost[at]])).collect();
            figures.insert(name.into(), series(what, unit, by, values));
        }
    };
    let starts = ROUTERS.iter().map(|n| Ok((*n, start(*n)?))).collect::<Result<Vec<_>, String>>()?;
    let names = [
        (
            "limits_start_messages",
            "shared limits, messages of one router's start with its peers' answers",
            "count",
        ),
        ("limits_start_bytes", "shared limits, bytes of these, sealed one by one", "bytes"),
        ("limits_start_ms", "shared limits, processor time of these, peers' included, with sealing", "ms"),
    ];
    add(names, "routers", starts);
    let by_routers = STEADY.iter().map(|n| Ok((*n, steady(*n, 4)?))).collect::<Result<Vec<_>, String>>()?;
    let names = [
        (
            "limits_messages_s",
            "shared limits, messages a second of one router, 4 keys wanted by a tenth of the routers",
            "1/s",
        ),
        ("limits_bytes_s", "shared limits, bytes a second of these, sealed one by one", "bytes/s"),
        ("limits_ms_s", "shared limits, processor time a second of these, with sealing", "ms/s"),
    ];
    add(names, "routers", by_routers);
    let by_keys =
        KEYS.iter().map(|n| Ok((*n, steady(KEYS_ROUTERS, *n)?))).collect::<Result<Vec<_>, String>>()?;
    let names = [
        (
            "limits_keys_messages_s",
            "shared limits, messages a second of one of 50 routers, a tenth of which wants each key",
            "1/s",
        ),
        ("limits_keys_bytes_s", "shared limits, bytes a second of these, sealed one by one", "bytes/s"),
        ("limits_keys_ms_s", "shared limits, processor time a second of these, with sealing", "ms/s"),
    ];
    add(names, "keys", by_keys);
    Ok(())
}
