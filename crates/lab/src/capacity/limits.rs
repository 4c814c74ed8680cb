//! Measures the cost of shared limits for a router: at its start, when it requests the held leases
//! from every peer, and per second by the keys in use.

use std::net::SocketAddr;

use marljunction_limits::escrow::Peer;
use marljunction_limits::{Kind, Limit, LimitParams, Message, Mode, Node};
use marljunction_peers::datagram::Kind as DatagramKind;
use marljunction_peers::{Keys, Members, PeerIdentity, Settings};
use marljunction_testkit::fleet::FLEET_KEY;

use super::clock::thread_ns;
use super::{series, Figures};

const ROUTERS: [usize; 4] = [50, 200, 800, 3_200];
/// Routers of a fleet in steady state, and keys in use.
const STEADY: [usize; 4] = [25, 50, 100, 200];
const KEYS: [usize; 4] = [1, 4, 16, 64];
const KEYS_ROUTERS: usize = 50;
const SECOND_NS: u64 = 1_000_000_000;
const START_NS: u64 = 1_700_000_000 * SECOND_NS;
const STEP_NS: u64 = 20_000_000;
const MAX_KEYS: usize = 16_384;

/// Number of messages, and their bytes as signed datagrams.
#[derive(Clone, Copy, Default)]
struct Sent {
    messages: u64,
    bytes: u64,
}

/// Encodes and signs messages as the program does, to determine their size.
struct DatagramSizer {
    members: Members,
    to: SocketAddr,
}

impl DatagramSizer {
    fn new() -> Result<DatagramSizer, String> {
        let to = SocketAddr::from(([10, 0, 0, 1], 4_200));
        let identity = PeerIdentity {
            name: "router-00000".into(),
            number: 0,
            address: to,
            incarnation: START_NS,
            renewal: 0,
        };
        Ok(DatagramSizer {
            members: Members::new(identity, Keys::read(FLEET_KEY)?, &Settings::default(), 1),
            to,
        })
    }

    fn bytes(&mut self, messages: &[&Message]) -> u64 {
        let encoded = rmp_serde::to_vec(messages).unwrap_or_default();
        self.members.send_payload(self.to, DatagramKind::Limits, &encoded);
        let (datagrams, _) = self.members.take();
        datagrams.iter().map(|(_, datagram)| datagram.len() as u64).sum()
    }
}

fn limit(routers: usize) -> Limit {
    // Two units per router.
    let kind = Kind::Concurrency { at_once: 2 * routers as u32 };
    Limit { name: "limit".into(), subject: "tenant".into(), kind, mode: Mode::Strict }
}

struct Fleet {
    now: u64,
    nodes: Vec<Node>,
    in_transit: Vec<(usize, Peer, Message)>,
    sent: Sent,
    datagram_sizer: DatagramSizer,
    routers: usize,
}

impl Fleet {
    fn new(routers: usize) -> Result<Fleet, String> {
        let params = LimitParams { routers: routers as u32, ..LimitParams::default() };
        let mut fleet = Fleet {
            now: START_NS,
            nodes: Vec::new(),
            in_transit: Vec::new(),
            sent: Sent::default(),
            datagram_sizer: DatagramSizer::new()?,
            routers,
        };
        for at in 0..routers {
            let this_peer = Peer { number: at as u32, incarnation: START_NS };
            fleet.nodes.push(Node::new(START_NS, this_peer, params, vec![limit(routers)], MAX_KEYS));
        }
        (0..routers).for_each(|at| fleet.set_all_reachable(at));
        Ok(fleet)
    }

    fn set_all_reachable(&mut self, at: usize) {
        let others = (0..self.routers as u32).filter(|other| *other != at as u32).collect();
        self.nodes[at].set_reachable(self.now, others);
    }

    fn send_payload(&mut self, from: usize, messages: Vec<(u32, Message)>) {
        let peer = Peer { number: from as u32, incarnation: START_NS };
        for (to, message) in messages {
            self.sent.messages += 1;
            self.sent.bytes += self.datagram_sizer.bytes(&[&message]);
            self.in_transit.push((to as usize, peer, message));
        }
    }

    /// Delivers all messages in transit, and the responses to them.
    fn deliver(&mut self) {
        while !self.in_transit.is_empty() {
            for (to, from, message) in std::mem::take(&mut self.in_transit) {
                let responses = self.nodes[to].receive(self.now, from, message);
                let responses = responses.into_iter().map(|response| (from.number, response)).collect();
                self.send_payload(to, responses);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_NS;
        for at in 0..self.routers {
            let messages = self.nodes[at].tick(self.now);
            self.send_payload(at, messages);
        }
        self.deliver();
    }

    fn run(&mut self, ns: u64) {
        (0..ns / STEP_NS).for_each(|_| self.step());
    }
}

/// Messages, bytes and processor time (ms) of one router's start, including its peers' responses.
fn start(routers: usize) -> Result<[f64; 3], String> {
    let mut fleet = Fleet::new(routers)?;
    // Only the first router starts; the others send no requests.
    let cpu = thread_ns();
    fleet.now += STEP_NS;
    let requests = fleet.nodes[0].tick(fleet.now);
    fleet.send_payload(0, requests);
    fleet.deliver();
    let cpu = thread_ns() - cpu;
    Ok([fleet.sent.messages as f64, fleet.sent.bytes as f64, cpu as f64 / 1e6])
}

/// Messages, bytes and processor time (ms) per second of one router if a tenth of the routers
/// demand more than their own units of each of `keys`.
fn steady(routers: usize, keys: usize) -> Result<[f64; 3], String> {
    const MEASURED_NS: u64 = 4 * SECOND_NS;
    let mut fleet = Fleet::new(routers)?;
    // Wait until the routers have recovered their leases and may grant new ones.
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
                // Demand persists: units that can't be admitted are requested.
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

/// Measures the costs by the number of routers and keys.
///
/// # Errors
/// If the fleet's key is invalid.
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
