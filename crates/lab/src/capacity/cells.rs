//! Measures list distribution by cells: the cost of a router that subscribes to its cell's part,
//! and of a relay, with signed messages over real loopback sockets in simulated time.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use marljunction_cells::bound::BoundParams;
use marljunction_cells::{
    CellId, DivideBy, Engine, EngineState, Message, Relay, RelaySettings, Subscriber, SubscriberSettings,
};
use marljunction_peers::datagram::Kind;
use marljunction_peers::{Event, Keys, Members, PeerIdentity, Settings};
use marljunction_testkit::fleet::FLEET_KEY;

use super::clock::thread_ns;
use super::{repeated, series, Figures};
use crate::HEAP;

/// Engines of a part, and number of routers that subscribe to it.
const PARTS: [usize; 4] = [30, 60, 120, 240];
const PART_ROUTERS: usize = 4;
/// Routers that subscribe to one relay, and engines of each of their parts at the design size.
const ROUTERS: [usize; 4] = [20, 41, 82, 164];
const DESIGN_PART: usize = 120;
/// Engines of a relay's list, and engines of a part that change at once.
const ENGINES: [usize; 4] = [1_200, 5_000, 12_000, 30_000];
const CHANGED: [usize; 4] = [1, 4, 8, 16];
const SECOND_NS: u64 = 1_000_000_000;
const START_NS: u64 = 1_700_000_000 * SECOND_NS;
/// Time step (ns): the program's tick interval.
const STEP_NS: u64 = 20_000_000;
/// Timeout until parts are received, and measured time at rest (s).
const TIMEOUT_S: u64 = 30;
const MEASURED_S: u64 = 10;
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Routers and relays of the design fleet; requests are spread accordingly.
const FLEET_SIZE: (u32, u32) = (3_200, 39);

/// A socket that signs and verifies datagrams, with the processor time of its owner.
struct Endpoint {
    socket: UdpSocket,
    members: Members,
    address: SocketAddr,
    /// Bytes read from the socket.
    read: u64,
    cpu_ns: u64,
}

impl Endpoint {
    fn new(number: usize) -> Result<Endpoint, String> {
        let to_message = |e: std::io::Error| format!("cells: {e}");
        let socket = UdpSocket::bind("127.0.0.1:0").map_err(to_message)?;
        socket.set_nonblocking(true).map_err(to_message)?;
        let address = socket.local_addr().map_err(to_message)?;
        let identity = PeerIdentity {
            name: format!("router-{number:05}"),
            number: number as u32,
            address,
            incarnation: START_NS,
            renewal: 0,
        };
        let members = Members::new(identity, Keys::read(FLEET_KEY)?, &Settings::default(), 1);
        Ok(Endpoint { socket, members, address, read: 0, cpu_ns: 0 })
    }

    fn send(&mut self, messages: Vec<(SocketAddr, Message)>) {
        let before = thread_ns();
        for (to, message) in messages {
            self.members.send_payload(to, Kind::List, &message.encode());
        }
        for (to, datagram) in self.members.take().0 {
            // A datagram that the socket does not accept is lost.
            let _ = self.socket.send_to(&datagram, to);
        }
        self.cpu_ns += thread_ns() - before;
    }

    /// Reads and decodes received messages.
    fn receive(&mut self, now: u64) -> Vec<(SocketAddr, Message)> {
        let before = thread_ns();
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while let Ok((size, _)) = self.socket.recv_from(&mut buffer) {
            self.read += size as u64;
            self.members.receive(now, &buffer[..size]);
        }
        let (_, events) = self.members.take();
        let messages = events.into_iter().filter_map(|event| match event {
            Event::Payload(sender, Kind::List, payload) => {
                Some((sender.address, Message::decode(&payload).ok()?))
            }
            _ => None,
        });
        let messages = messages.collect();
        self.cpu_ns += thread_ns() - before;
        messages
    }
}

/// Runs work and adds its processor time.
fn timed_at<T>(cpu_ns: &mut u64, work: impl FnOnce() -> T) -> T {
    let before = thread_ns();
    let result = work();
    *cpu_ns += thread_ns() - before;
    result
}

/// A relay and its routers.
struct Fleet {
    now: u64,
    relay: Relay,
    relay_endpoint: Endpoint,
    routers: Vec<(Subscriber, Endpoint)>,
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
    /// Starts a relay with a list of `zones` zones of `part` engines, one cell per zone, and
    /// routers of the first cell.
    fn new(routers: usize, part: usize, zones: usize) -> Result<Fleet, String> {
        let bound_params =
            BoundParams { routers: FLEET_SIZE.0, relays: FLEET_SIZE.1, ..BoundParams::default() };
        let settings = RelaySettings {
            routers: FLEET_SIZE.0,
            request_interval_ns: bound_params.request_interval_ns,
            silence_ns: bound_params.silence_ns,
        };
        let mut relay = Relay::new(START_NS, settings);
        let all = (0..part * zones).map(|number| engine(number, zones, EngineState::Ready)).collect();
        relay.apply_update(1, true, all);
        relay.record_service_contact(START_NS, 0);
        let relay_endpoint = Endpoint::new(60_000)?;
        let mut fleet = Fleet { now: START_NS, relay, relay_endpoint, routers: Vec::new(), version: 1 };
        for number in 0..routers {
            let settings = SubscriberSettings {
                cell: CellId { zone: Some("zone-00".into()), cells: 1, cell: 0, by: DivideBy::Engine },
                router: number as u64,
                incarnation: START_NS,
                relays: vec![fleet.relay_endpoint.address],
                request_interval_ns: bound_params.request_interval_ns,
                silence_ns: bound_params.silence_ns,
                settle_ns: bound_params.settle_ns,
                spread_ns: bound_params.spread_ns(),
                stale_ns: 7 * SECOND_NS,
                seed: number as u64 + 1,
            };
            fleet.routers.push((Subscriber::new(START_NS, settings), Endpoint::new(number)?));
        }
        Ok(fleet)
    }

    fn step(&mut self) {
        self.now += STEP_NS;
        let now = self.now;
        self.relay.record_service_contact(now, 0);
        for (subscriber, endpoint) in &mut self.routers {
            let outgoing = timed_at(&mut endpoint.cpu_ns, || subscriber.tick(now));
            endpoint.send(outgoing);
        }
        let received = self.relay_endpoint.receive(now);
        let relay = &mut self.relay;
        let outgoing = timed_at(&mut self.relay_endpoint.cpu_ns, || {
            received.into_iter().for_each(|(from, message)| relay.receive(now, from, message));
            relay.tick(now)
        });
        self.relay_endpoint.send(outgoing);
        for (subscriber, endpoint) in &mut self.routers {
            let received = endpoint.receive(now);
            timed_at(&mut endpoint.cpu_ns, || {
                for (from, message) in received {
                    // Updates are read from the subscriber's state.
                    let _ = subscriber.receive(now, from, message);
                }
            });
        }
    }

    fn all_at(&self, version: u64) -> bool {
        self.routers.iter().all(|(subscriber, _)| subscriber.version() == Some(version))
    }

    /// Steps until all routers have this version; returns the time taken (s).
    fn until_all_at(&mut self, version: u64) -> Result<f64, String> {
        let started_ns = self.now;
        while !self.all_at(version) {
            if self.now > started_ns + TIMEOUT_S * SECOND_NS {
                return Err(format!("{} routers had not all received version {version}", self.routers.len()));
            }
            self.step();
        }
        Ok((self.now - started_ns) as f64 / 1e9)
    }

    fn run(&mut self, seconds: u64) {
        (0..seconds * SECOND_NS / STEP_NS).for_each(|_| self.step());
    }

    /// Bytes sent to and from a router, bytes read from sockets in both directions, messages,
    /// processor time of a router (ns) as means per router, and processor time of the relay (ns).
    fn counts(&self) -> [f64; 5] {
        let routers = self.routers.len() as f64;
        let each = |of: &dyn Fn(&Endpoint) -> u64| {
            self.routers.iter().map(|(_, endpoint)| of(endpoint)).sum::<u64>() as f64 / routers
        };
        let (sent_bytes, sent_messages) = (
            self.relay_endpoint.members.sent().1 as f64 / routers,
            self.relay_endpoint.members.sent().0 as f64 / routers,
        );
        [
            sent_bytes + each(&|endpoint| endpoint.members.sent().1),
            self.relay_endpoint.read as f64 / routers + each(&|endpoint| endpoint.read),
            sent_messages + each(&|endpoint| endpoint.members.sent().0),
            each(&|endpoint| endpoint.cpu_ns),
            self.relay_endpoint.cpu_ns as f64,
        ]
    }
}

fn difference(after: [f64; 5], before: [f64; 5]) -> [f64; 5] {
    std::array::from_fn(|at| after[at] - before[at])
}

/// Measures a start and rest: a router's bytes, bytes read and processor time (ms) until it has its
/// part; its bytes, messages and processor time (ms) per second at rest; time until all have their
/// parts (s); processor time of the relay for all starts (ms) and per second at rest (ms).
fn start_and_rest(routers: usize, part: usize) -> Result<[f64; 9], String> {
    let mut fleet = Fleet::new(routers, part, 2)?;
    let start_s = fleet.until_all_at(1)?;
    let start = fleet.counts();
    fleet.run(2);
    let before = fleet.counts();
    fleet.run(MEASURED_S);
    let rest = difference(fleet.counts(), before).map(|n| n / MEASURED_S as f64);
    Ok([
        start[0],
        start[1],
        start[3] / 1e6,
        rest[0],
        rest[2],
        rest[3] / 1e6,
        start_s,
        start[4] / 1e6,
        rest[4] / 1e6,
    ])
}

/// Measures a change of several engines of a part: bytes to and from a router, and its processor
/// time (ms).
fn change(changed: usize) -> Result<[f64; 2], String> {
    let mut fleet = Fleet::new(PART_ROUTERS, DESIGN_PART, 2)?;
    fleet.until_all_at(1)?;
    fleet.run(2);
    // Subtract the requests that are made without a change.
    let rest_from = fleet.counts();
    fleet.run(2);
    let rest = difference(fleet.counts(), rest_from);
    let before = fleet.counts();
    fleet.version += 1;
    // Even engine numbers belong to the first zone.
    let changed_engines = (0..changed).map(|n| engine(2 * n, 2, EngineState::Draining)).collect();
    fleet.relay.apply_update(fleet.version, false, changed_engines);
    fleet.run(2);
    if !fleet.all_at(fleet.version) {
        return Err(format!("{changed} changes were not received within 2 s"));
    }
    let cost = difference(difference(fleet.counts(), before), rest);
    Ok([cost[0].max(1.0), (cost[3] / 1e6).max(1e-4)])
}

/// Heap of a relay's list (KB), and processor time to apply it (ms).
fn relay_list_cost(engines: usize) -> Result<[f64; 2], String> {
    let settings =
        RelaySettings { routers: FLEET_SIZE.0, request_interval_ns: SECOND_NS, silence_ns: 3 * SECOND_NS };
    let all: Vec<Engine> = (0..engines).map(|number| engine(number, 25, EngineState::Ready)).collect();
    let before = HEAP.current_usage();
    let mut relay = Relay::new(START_NS, settings);
    let cpu = thread_ns();
    // Pass a copy, so that its heap is included.
    relay.apply_update(1, true, all.clone());
    let cpu = thread_ns() - cpu;
    let heap_bytes = HEAP.current_usage().saturating_sub(before);
    drop(relay);
    Ok([heap_bytes as f64 / 1e3, cpu as f64 / 1e6])
}

/// Adds the components of a cost to the figures by name.
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

/// Measures the costs of routers and relays.
///
/// # Errors
/// If sockets can't be opened or parts are not received in time.
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
    let relays = repeated(&ENGINES, relay_list_cost)?;
    let names = [
        (0, "relay_held_kb", "relay, heap of the list", "KB"),
        (1, "relay_learn_ms", "relay, processor time to take a whole list, once read", "ms"),
    ];
    add(figures, "engines", &relays, &names);
    Ok(())
}
