//! What cells and relays cost: a router that learns its cell's part and keeps it, and a relay, over real loopback sockets in stepped
//! time, with messages sealed as the program does.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use marljunction_cells::bound::Terms;
use marljunction_cells::{
    CellId, DivideBy, Engine, EngineState, Message, Relay, RelaySettings, Subscriber, SubscriberSettings,
};
use marljunction_peers::datagram::Kind;
use marljunction_peers::{Event, Keys, Members, PeerIdentity, Settings};
use marljunction_testkit::fleet::FLEET_KEY;

use super::clock::thread_ns;
use super::{repeated, series, Figures};
use crate::HEAP;

/// Engines of a router's part, with so many routers of it.
const PARTS: [usize; 4] = [30, 60, 120, 240];
const PART_ROUTERS: usize = 4;
/// Routers that ask one relay, each with a part as large as the one to design for.
const ROUTERS: [usize; 4] = [20, 41, 82, 164];
const DESIGN_PART: usize = 120;
/// Engines of a relay's list, and those of a cell that change at once.
const ENGINES: [usize; 4] = [1_200, 5_000, 12_000, 30_000];
const CHANGED: [usize; 4] = [1, 4, 8, 16];
const SECOND_NS: u64 = 1_000_000_000;
const START_NS: u64 = 1_700_000_000 * SECOND_NS;
/// Time between looks at what is due, as the program's.
const STEP_NS: u64 = 20_000_000;
/// Longest time until a part must have been learned, and for which a fleet at rest is measured.
const LIMIT_S: u64 = 30;
const MEASURED_S: u64 = 10;
const DATAGRAM: usize = 2_048;
/// Relays and routers of the fleet to design for: asks are spread by them.
const FLEET: (u32, u32) = (3_200, 39);

/// A process's socket, its seal and its processor time.
struct Port {
    socket: UdpSocket,
    members: Members,
    address: SocketAddr,
    /// Bytes that the socket gave out.
    read: u64,
    cpu_ns: u64,
}

impl Port {
    fn new(number: usize) -> Result<Port, String> {
        let fault = |e: std::io::Error| format!("cells: {e}");
        let socket = UdpSocket::bind("127.0.0.1:0").map_err(fault)?;
        socket.set_nonblocking(true).map_err(fault)?;
        let address = socket.local_addr().map_err(fault)?;
        let who = PeerIdentity {
            name: format!("router-{number:05}"),
            number: number as u32,
            address,
            incarnation: START_NS,
            renewal: 0,
        };
        let members = Members::new(who, Keys::read(FLEET_KEY)?, &Settings::default(), 1);
        Ok(Port { socket, members, address, read: 0, cpu_ns: 0 })
    }

    fn send(&mut self, messages: Vec<(SocketAddr, Message)>) {
        let begun = thread_ns();
        for (to, message) in messages {
            self.members.send_payload(to, Kind::List, &message.encode());
        }
        for (to, datagram) in self.members.take().0 {
            // A datagram that finds no room is lost, as any may be.
            let _ = self.socket.send_to(&datagram, to);
        }
        self.cpu_ns += thread_ns() - begun;
    }

    /// What has come in.
    fn receive(&mut self, now: u64) -> Vec<(SocketAddr, Message)> {
        let begun = thread_ns();
        let mut buffer = [0; DATAGRAM];
        while let Ok((size, _)) = self.socket.recv_from(&mut buffer) {
            self.read += size as u64;
            self.members.receive(now, &buffer[..size]);
        }
        let (_, events) = self.members.take();
        let messages = events.into_iter().filter_map(|event| match event {
            Event::Payload(who, Kind::List, said) => Some((who.address, Message::decode(&said).ok()?)),
            _ => None,
        });
        let messages = messages.collect();
        self.cpu_ns += thread_ns() - begun;
        messages
    }
}

/// Does work whose processor time is a port's.
fn timed_at<T>(cpu_ns: &mut u64, work: impl FnOnce() -> T) -> T {
    let begun = thread_ns();
    let came_to = work();
    *cpu_ns += thread_ns() - begun;
    came_to
}

/// One relay and its routers.
struct Fleet {
    now: u64,
    relay: Relay,
    at: Port,
    routers: Vec<(Subscriber, Port)>,
    version: u64,
}

fn engine(number: usize, cells: usize, state: EngineState) -> Engine {
    Engine {
        id: number as u64 * 0x9e37_79b9 + 1,
        address: SocketAddr::from(([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 4_100)),
        zone: Some(Arc::from(format!("zone-{:02}", number % cells).as_str())),
        kind: Some(Arc::from("std")),
        group: Some(number as u64 % 250),
        state,
        weight: 4.0,
        started_ms: 0,
    }
}

impl Fleet {
    /// A relay that knows `zones` cells of `part` engines each, a zone to a cell; routers of the first of them start.
    fn new(routers: usize, part: usize, zones: usize) -> Result<Fleet, String> {
        let terms = Terms { routers: FLEET.0, relays: FLEET.1, ..Terms::default() };
        let settings = RelaySettings { routers: FLEET.0, ask_ns: terms.ask_ns, silence_ns: terms.silence_ns };
        let mut relay = Relay::new(START_NS, settings);
        let all = (0..part * zones).map(|number| engine(number, zones, EngineState::Ready)).collect();
        relay.learn(1, true, all);
        relay.heard(START_NS, 0);
        let at = Port::new(60_000)?;
        let mut fleet = Fleet { now: START_NS, relay, at, routers: Vec::new(), version: 1 };
        for number in 0..routers {
            let settings = SubscriberSettings {
                cell: CellId { zone: Some("zone-00".into()), cells: 1, cell: 0, by: DivideBy::Engine },
                router: number as u64,
                incarnation: START_NS,
                relays: vec![fleet.at.address],
                ask_ns: terms.ask_ns,
                silence_ns: terms.silence_ns,
                settle_ns: terms.settle_ns,
                spread_ns: terms.spread_ns(),
                stale_ns: 7 * SECOND_NS,
                seed: number as u64 + 1,
            };
            fleet.routers.push((Subscriber::new(START_NS, settings), Port::new(number)?));
        }
        Ok(fleet)
    }

    fn step(&mut self) {
        self.now += STEP_NS;
        let now = self.now;
        self.relay.heard(now, 0);
        for (subscriber, port) in &mut self.routers {
            let said = timed_at(&mut port.cpu_ns, || subscriber.tick(now));
            port.send(said);
        }
        let heard = self.at.receive(now);
        let relay = &mut self.relay;
        let said = timed_at(&mut self.at.cpu_ns, || {
            heard.into_iter().for_each(|(from, message)| relay.receive(now, from, message));
            relay.tick(now)
        });
        self.at.send(said);
        for (subscriber, port) in &mut self.routers {
            let heard = port.receive(now);
            timed_at(&mut port.cpu_ns, || {
                for (from, message) in heard {
                    // What becomes known is asked of the subscriber.
                    let _ = subscriber.receive(now, from, message);
                }
            });
        }
    }

    fn all_at(&self, version: u64) -> bool {
        self.routers.iter().all(|(subscriber, _)| subscriber.version() == Some(version))
    }

    /// Steps until all routers have this version; how long that took (s).
    fn until_all_at(&mut self, version: u64) -> Result<f64, String> {
        let began = self.now;
        while !self.all_at(version) {
            if self.now > began + LIMIT_S * SECOND_NS {
                return Err(format!("{} routers had not all learned version {version}", self.routers.len()));
            }
            self.step();
        }
        Ok((self.now - began) as f64 / 1e9)
    }

    fn run(&mut self, seconds: u64) {
        (0..seconds * SECOND_NS / STEP_NS).for_each(|_| self.step());
    }

    /// Bytes that went to and from a router by the senders' counts, bytes that sockets gave out on both ways, messages, processor time of a
    /// router and of the relay (ns); a router's are means.
    fn counts(&self) -> [f64; 5] {
        let routers = self.routers.len() as f64;
        let each = |of: &dyn Fn(&Port) -> u64| {
            self.routers.iter().map(|(_, port)| of(port)).sum::<u64>() as f64 / routers
        };
        let (sent, said) =
            (self.at.members.sent().1 as f64 / routers, self.at.members.sent().0 as f64 / routers);
        [
            sent + each(&|port| port.members.sent().1),
            self.at.read as f64 / routers + each(&|port| port.read),
            said + each(&|port| port.members.sent().0),
            each(&|port| port.cpu_ns),
            self.at.cpu_ns as f64,
        ]
    }
}

fn less(after: [f64; 5], before: [f64; 5]) -> [f64; 5] {
    std::array::from_fn(|at| after[at] - before[at])
}

/// A start and rest: bytes, bytes read, processor time (ms) of a router until it has its part; bytes, messages and processor time (ms) a
/// second at rest; time until all have theirs (s); processor time of the relay for all starts (ms) and a second at rest (ms).
fn start_and_rest(routers: usize, part: usize) -> Result<[f64; 9], String> {
    let mut fleet = Fleet::new(routers, part, 2)?;
    let took_s = fleet.until_all_at(1)?;
    let start = fleet.counts();
    fleet.run(2);
    let before = fleet.counts();
    fleet.run(MEASURED_S);
    let rest = less(fleet.counts(), before).map(|n| n / MEASURED_S as f64);
    Ok([
        start[0],
        start[1],
        start[3] / 1e6,
        rest[0],
        rest[2],
        rest[3] / 1e6,
        took_s,
        start[4] / 1e6,
        rest[4] / 1e6,
    ])
}

/// Bytes to a router for so many engines of its cell that change at once, and processor time of the router (ms).
fn change(changed: usize) -> Result<[f64; 2], String> {
    let mut fleet = Fleet::new(PART_ROUTERS, DESIGN_PART, 2)?;
    fleet.until_all_at(1)?;
    fleet.run(2);
    // Asks at rest are not the change's.
    let rest_from = fleet.counts();
    fleet.run(2);
    let rest = less(fleet.counts(), rest_from);
    let before = fleet.counts();
    fleet.version += 1;
    // Engines with even numbers are of the first zone.
    let news = (0..changed).map(|n| engine(2 * n, 2, EngineState::Draining)).collect();
    fleet.relay.learn(fleet.version, false, news);
    fleet.run(2);
    if !fleet.all_at(fleet.version) {
        return Err(format!("{changed} changes were not told within 2 s"));
    }
    let cost = less(less(fleet.counts(), before), rest);
    Ok([cost[0].max(1.0), (cost[3] / 1e6).max(1e-4)])
}

/// Heap that a relay's list holds (KB), and processor time to learn it (ms).
fn relay_holds(engines: usize) -> Result<[f64; 2], String> {
    let settings = RelaySettings { routers: FLEET.0, ask_ns: SECOND_NS, silence_ns: 3 * SECOND_NS };
    let all: Vec<Engine> = (0..engines).map(|number| engine(number, 25, EngineState::Ready)).collect();
    let before = HEAP.current_usage();
    let mut relay = Relay::new(START_NS, settings);
    let cpu = thread_ns();
    // The list itself is handed over, so that its own heap counts.
    relay.learn(1, true, all.clone());
    let cpu = thread_ns() - cpu;
    let held = HEAP.current_usage().saturating_sub(before);
    drop(relay);
    Ok([held as f64 / 1e3, cpu as f64 / 1e6])
}

/// Puts parts of a cost into the figures, each by its name.
fn add<const N: usize>(
    figures: &mut Figures,
    by: &str,
    of: &[(f64, Vec<[f64; N]>)],
    names: &[(usize, &str, &str, &str)],
) {
    for (at, name, what, unit) in names {
        let values = of.iter().map(|(n, costs)| (*n, costs.iter().map(|cost| cost[*at]).collect())).collect();
        figures.insert((*name).into(), series(what, unit, by, values));
    }
}

/// Measures it all.
///
/// # Errors
/// Where sockets can't be had, or parts are not learned in time.
pub fn measure(figures: &mut Figures) -> Result<(), String> {
    let parts = repeated(&PARTS, |part| start_and_rest(PART_ROUTERS, part))?;
    let names = [
        (0, "cells_start_bytes", "cells, bytes to and from a router until it has its part, sealed", "bytes"),
        (1, "cells_start_bytes_read", "cells, the same as sockets gave it out", "bytes"),
        (
            2,
            "cells_start_ms",
            "cells, processor time of a router until it has its part, sockets included",
            "ms",
        ),
        (3, "cells_rest_bytes_s", "cells, bytes a second to and from a router at rest, sealed", "bytes/s"),
        (4, "cells_rest_messages_s", "cells, messages a second to and from a router at rest", "1/s"),
        (
            5,
            "cells_rest_ms_s",
            "cells, processor time a second of a router at rest, sockets included",
            "ms/s",
        ),
    ];
    add(figures, "engines of the part", &parts, &names);
    let routers = repeated(&ROUTERS, |routers| start_and_rest(routers, DESIGN_PART))?;
    let names = [
        (6, "relay_start_s", "relay, time until all its routers have parts of 120 engines, all cold", "s"),
        (7, "relay_start_ms", "relay, processor time until then, sockets included", "ms"),
        (8, "relay_rest_ms_s", "relay, processor time a second at rest, sockets included", "ms/s"),
    ];
    add(figures, "routers that ask it", &routers, &names);
    let changes = repeated(&CHANGED, change)?;
    let names = [
        (0, "cells_change_bytes", "cells, bytes to and from a router for a change, sealed", "bytes"),
        (1, "cells_change_ms", "cells, processor time of a router for a change, sockets included", "ms"),
    ];
    add(figures, "engines of the part that change at once", &changes, &names);
    let relays = repeated(&ENGINES, relay_holds)?;
    let names = [
        (0, "relay_held_kb", "relay, heap of the list", "KB"),
        (1, "relay_learn_ms", "relay, processor time to take a whole list, once read", "ms"),
    ];
    add(figures, "engines", &relays, &names);
    Ok(())
}
