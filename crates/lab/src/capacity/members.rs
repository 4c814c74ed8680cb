//! Measures the cost of fleet membership by the number of routers: many instances in simulated
//! time, over real loopback sockets.

use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{SocketAddr, UdpSocket};

use marljunction_peers::{Keys, Members, PeerIdentity, Settings};
use marljunction_testkit::fleet::FLEET_KEY;

use super::clock::thread_ns;
use super::{series, Figures};
use crate::HEAP;

/// Number of routers.
const ROUTERS: [usize; 5] = [25, 50, 100, 200, 300];
const SECOND_NS: u64 = 1_000_000_000;
const START_NS: u64 = 1_700_000_000 * SECOND_NS;
/// Timeout of the join, and measured time at rest and after a restart of a tenth of the
/// routers (s).
const JOIN_S: u64 = 300;
const MEASURED_S: u64 = 10;
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Totals of all routers: bytes and datagrams sent, and bytes read from sockets.
#[derive(Clone, Copy, Default)]
struct Counts {
    sent_bytes: u64,
    read_bytes: u64,
    datagrams: u64,
}

/// A fleet of members.
struct Fleet {
    now: u64,
    keys: Keys,
    settings: Settings,
    members: Vec<Members>,
    sockets: Vec<UdpSocket>,
    by_address: HashMap<SocketAddr, usize>,
    due: BinaryHeap<std::cmp::Reverse<(u64, usize)>>,
    /// Datagrams and bytes sent by previous incarnations.
    previous_sent: (u64, u64),
    read_bytes: u64,
    serial: u64,
}

impl Fleet {
    fn new(routers: usize) -> Result<Fleet, String> {
        let to_message = |e: std::io::Error| format!("members: {e}");
        let mut sockets = Vec::new();
        for _ in 0..routers {
            let socket = UdpSocket::bind("127.0.0.1:0").map_err(to_message)?;
            socket.set_nonblocking(true).map_err(to_message)?;
            sockets.push(socket);
        }
        let addresses: Vec<SocketAddr> =
            sockets.iter().map(|s| s.local_addr().map_err(to_message)).collect::<Result<_, _>>()?;
        let settings = Settings {
            routers: routers as u32,
            seeds: addresses.iter().take(2).copied().collect(),
            ..Settings::default()
        };
        let mut fleet = Fleet {
            now: START_NS,
            keys: Keys::read(FLEET_KEY)?,
            settings,
            members: Vec::new(),
            sockets,
            by_address: addresses.iter().copied().zip(0..).collect(),
            due: BinaryHeap::new(),
            previous_sent: (0, 0),
            read_bytes: 0,
            serial: 0,
        };
        for at in 0..routers {
            let member = fleet.member(at);
            fleet.members.push(member);
            // Starts are spread over one second.
            fleet.due.push(std::cmp::Reverse((START_NS + at as u64 * SECOND_NS / routers as u64, at)));
        }
        Ok(fleet)
    }

    fn member(&mut self, at: usize) -> Members {
        self.serial += 1;
        let address = self.sockets[at].local_addr().unwrap_or(SocketAddr::from(([127, 0, 0, 1], 9)));
        let identity = PeerIdentity {
            name: format!("router-{at:05}"),
            number: at as u32,
            address,
            incarnation: self.now,
            renewal: 0,
        };
        Members::new(identity, self.keys.clone(), &self.settings, self.serial)
    }

    /// Delivers the datagrams of a router and all that are sent in response.
    fn exchange_all(&mut self, at: usize) {
        let mut senders = vec![at];
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while let Some(at) = senders.pop() {
            // Events are not needed here.
            let (outgoing, _) = self.members[at].take();
            for (to, datagram) in outgoing {
                let sent = self.sockets[at].send_to(&datagram, to).is_ok();
                let Some(to) = self.by_address.get(&to).copied().filter(|_| sent) else { continue };
                while let Ok((size, _)) = self.sockets[to].recv_from(&mut buffer) {
                    self.read_bytes += size as u64;
                    self.members[to].receive(self.now, &buffer[..size]);
                }
                senders.push(to);
            }
            self.due.push(std::cmp::Reverse((self.members[at].next_due_ns(), at)));
        }
    }

    fn run_until(&mut self, end: u64) {
        while let Some(std::cmp::Reverse((due, at))) = self.due.pop() {
            if due > end {
                self.due.push(std::cmp::Reverse((due, at)));
                break;
            }
            // Skip entries that a later change of the timers has superseded.
            if due > START_NS + SECOND_NS && due < self.members[at].next_due_ns() {
                continue;
            }
            self.now = self.now.max(due);
            self.members[at].tick(self.now);
            self.exchange_all(at);
        }
        self.now = end;
    }

    fn counts(&self) -> Counts {
        let sent =
            self.members.iter().map(Members::sent).fold(self.previous_sent, |a, b| (a.0 + b.0, a.1 + b.1));
        Counts { sent_bytes: sent.1, read_bytes: self.read_bytes, datagrams: sent.0 }
    }

    fn restart(&mut self, at: usize) {
        let sent = self.members[at].sent();
        self.previous_sent = (self.previous_sent.0 + sent.0, self.previous_sent.1 + sent.1);
        self.members[at] = self.member(at);
        self.due.push(std::cmp::Reverse((self.now, at)));
    }

    /// The smallest number of peers known by a router.
    fn min_peers(&self) -> usize {
        self.members.iter().map(|m| m.up().count()).min().unwrap_or(0)
    }
}

/// Cost per router at one fleet size.
struct Cost {
    bytes_s: f64,
    bytes_read_s: f64,
    datagrams_s: f64,
    cpu_ms_s: f64,
    restart_bytes_s: f64,
    restart_datagrams_s: f64,
    heap_kb: f64,
    join_s: f64,
}

fn cost(routers: usize) -> Result<Cost, String> {
    let heap = HEAP.current_usage();
    let mut fleet = Fleet::new(routers)?;
    let joined_by = START_NS + JOIN_S * SECOND_NS;
    while fleet.min_peers() + 1 < routers {
        if fleet.now >= joined_by {
            return Err(format!("{routers} routers did not all join within {JOIN_S} s"));
        }
        fleet.run_until(fleet.now + SECOND_NS);
    }
    let join_s = (fleet.now - START_NS) as f64 / 1e9;
    // Wait until gossip of the start has ended.
    fleet.run_until(fleet.now + 10 * SECOND_NS);
    let heap_kb = HEAP.current_usage().saturating_sub(heap) as f64 / 1e3 / routers as f64;
    let each = |n: u64| n as f64 / MEASURED_S as f64 / routers as f64;
    let (before, cpu) = (fleet.counts(), thread_ns());
    fleet.run_until(fleet.now + MEASURED_S * SECOND_NS);
    let (after, cpu) = (fleet.counts(), thread_ns() - cpu);
    // Restart a tenth of the fleet, as in a rollout.
    (0..routers).step_by(10).for_each(|at| fleet.restart(at));
    fleet.run_until(fleet.now + MEASURED_S * SECOND_NS);
    let restarted = fleet.counts();
    Ok(Cost {
        bytes_s: each(after.sent_bytes - before.sent_bytes),
        bytes_read_s: each(after.read_bytes - before.read_bytes),
        datagrams_s: each(after.datagrams - before.datagrams),
        cpu_ms_s: each(cpu) / 1e6,
        restart_bytes_s: each(restarted.sent_bytes - after.sent_bytes),
        restart_datagrams_s: each(restarted.datagrams - after.datagrams),
        heap_kb,
        join_s,
    })
}

/// Measures the costs by the number of routers.
///
/// # Errors
/// If sockets can't be opened or the routers do not all join.
pub fn measure(figures: &mut Figures) -> Result<(), String> {
    let mut costs: BTreeMap<usize, Cost> = BTreeMap::new();
    for routers in ROUTERS {
        costs.insert(routers, cost(routers)?);
    }
    type Part = (&'static str, &'static str, &'static str, fn(&Cost) -> f64);
    let parts: [Part; 8] = [
        ("members_bytes_s", "membership, bytes a second that one router sends, sealed", "bytes/s", |c| {
            c.bytes_s
        }),
        (
            "members_bytes_read_s",
            "membership, bytes a second that sockets gave out, a router",
            "bytes/s",
            |c| c.bytes_read_s,
        ),
        ("members_datagrams_s", "membership, datagrams a second that one router sends", "1/s", |c| {
            c.datagrams_s
        }),
        (
            "members_ms_s",
            "membership, processor time a second of one router, sockets included",
            "ms/s",
            |c| c.cpu_ms_s,
        ),
        (
            "members_restart_bytes_s",
            "membership, bytes a second in 10 s after a tenth restarted",
            "bytes/s",
            |c| c.restart_bytes_s,
        ),
        ("members_restart_datagrams_s", "membership, datagrams a second then", "1/s", |c| {
            c.restart_datagrams_s
        }),
        ("members_join_s", "membership, time until all know all after a start within one second", "s", |c| {
            c.join_s
        }),
        ("members_held_kb", "membership, heap of one router", "KB", |c| c.heap_kb),
    ];
    let max_peers_by_routers = [800, 1_600, 3_200, 6_400].map(|routers: u32| {
        let settings = Settings { routers, ..Settings::default() };
        (f64::from(routers), vec![settings.max_peers() as f64])
    });
    let what = "membership, peers that one router keeps at most, by its settings";
    figures
        .insert("members_max_peers".into(), series(what, "count", "routers", max_peers_by_routers.to_vec()));
    for (name, what, unit, part) in parts {
        let values = costs.iter().map(|(n, cost)| (*n as f64, vec![part(cost)])).collect();
        figures.insert(name.into(), series(what, unit, "routers", values));
    }
    Ok(())
}
