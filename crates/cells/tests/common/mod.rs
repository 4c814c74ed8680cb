//! Simulation of a list service, relays and routers in stepped time, over a network that loses,
//! duplicates, delays and reorders datagrams.

#![allow(dead_code)]

use std::collections::VecDeque;
use std::net::SocketAddr;

use marljunction_cells::bound::BoundParams;
use marljunction_cells::{
    CellConfig, CellId, CellPlan, Digest, DivideBy, Engine, EngineState, Message, PartUpdate, Relay,
    RelaySettings, Subscriber, SubscriberSettings,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub const MS: u64 = 1_000_000;
pub const S: u64 = 1_000 * MS;
/// Duration of a step in nanoseconds; the interval of the processes' periodic work.
pub const STEP_NS: u64 = 20 * MS;
pub const ZONES: [&str; 2] = ["z0", "z1"];
pub const CELLS: u32 = 2;
/// Number of events that a relay reads in one step.
const EVENTS_PER_STEP: usize = 4;

pub fn address(host: u8, number: usize) -> SocketAddr {
    SocketAddr::from(([10, host, (number >> 8) as u8, number as u8], 7000))
}

pub fn engine(id: u64) -> Engine {
    Engine {
        id,
        address: SocketAddr::from(([10, 9, (id >> 8) as u8, id as u8], 9000)),
        zone: Some(ZONES[id as usize % ZONES.len()].into()),
        kind: Some("large".into()),
        group: Some(id / 4),
        state: EngineState::Ready,
        weight: 1.0,
        started_ms: 1_000 + id,
    }
}

pub fn bound_params() -> BoundParams {
    BoundParams {
        routers: 8,
        relays: 3,
        pieces: 2,
        settle_ns: 5 * S,
        reconnect_ns: S,
        ..BoundParams::default()
    }
}

pub fn relay_settings(bound_params: &BoundParams) -> RelaySettings {
    RelaySettings {
        routers: bound_params.routers,
        request_interval_ns: bound_params.request_interval_ns,
        silence_ns: bound_params.silence_ns,
    }
}

/// A numbered change of the list.
#[derive(Clone)]
pub struct Event {
    pub version: u64,
    pub is_full: bool,
    pub engines: Vec<Engine>,
}

/// A list service, with the history of each cell: digests, and when they became current.
pub struct ListService {
    pub engines: Vec<Engine>,
    pub version: u64,
    next_id: u64,
    pub history: Vec<(CellId, Vec<(u64, Digest)>)>,
    pub unavailable: bool,
}

impl ListService {
    pub fn new(count: u64, cells: &[CellId]) -> ListService {
        let engines = (0..count).map(engine).collect();
        let history = cells.iter().map(|cell| (cell.clone(), Vec::new())).collect();
        let mut service = ListService { engines, version: 100, next_id: 1_000, history, unavailable: false };
        service.record_states(0);
        service
    }

    pub fn digest(&self, cell: &CellId) -> Digest {
        Digest::of(self.engines.iter().filter(|engine| cell.contains(engine)))
    }

    fn record_states(&mut self, now: u64) {
        for at in 0..self.history.len() {
            let digest = self.digest(&self.history[at].0);
            let states = &mut self.history[at].1;
            if states.last().is_none_or(|(_, last)| *last != digest) {
                states.push((now, digest));
            }
        }
    }

    pub fn snapshot_event(&self) -> Event {
        Event { version: self.version, is_full: true, engines: self.engines.clone() }
    }

    /// Drains, removes, adds or moves some engines.
    pub fn change(&mut self, now: u64, rng: &mut StdRng) -> Event {
        self.version += 1;
        let mut changed = Vec::new();
        for _ in 0..rng.gen_range(1..4) {
            let at = rng.gen_range(0..self.engines.len());
            let mut engine = self.engines[at].clone();
            match rng.gen_range(0..4) {
                0 if self.engines.len() > 8 => {
                    engine.state = EngineState::Gone;
                    self.engines.remove(at);
                }
                1 => {
                    self.next_id += 1;
                    engine = self::engine(self.next_id);
                    self.engines.push(engine.clone());
                    self.engines.sort_by_key(|engine| engine.id);
                }
                2 => {
                    engine.address.set_port(rng.gen_range(1_000..60_000));
                    self.engines[at] = engine.clone();
                }
                _ => {
                    engine.state = EngineState::Draining;
                    engine.weight = rng.gen_range(0.5..2.0);
                    self.engines[at] = engine.clone();
                }
            }
            changed.push(engine);
        }
        self.record_states(now);
        Event { version: self.version, is_full: false, engines: changed }
    }

    /// Returns when a state of a cell was replaced, in nanoseconds: 0 if it never existed, `None`
    /// if it is current.
    pub fn superseded_ns(&self, cell: &CellId, digest: Digest) -> Option<u64> {
        let states = &self.history.iter().find(|(id, _)| id == cell)?.1;
        let last = states.iter().rposition(|(_, state)| *state == digest);
        match last {
            None => Some(0),
            Some(at) => states.get(at + 1).map(|(since, _)| *since),
        }
    }

    /// Returns whether a state of a cell ever existed.
    pub fn existed(&self, cell: &CellId, digest: Digest) -> bool {
        self.history.iter().any(|(id, states)| id == cell && states.iter().any(|(_, state)| *state == digest))
    }
}

pub struct RelayHost {
    pub address: SocketAddr,
    pub machine: Option<Relay>,
    pub paused: bool,
    pub connected: bool,
    /// Undelivered events; `None` is a heartbeat.
    pub events: VecDeque<Option<Event>>,
    /// Datagrams received while paused.
    pub inbox: Vec<(SocketAddr, Vec<u8>)>,
    /// Added to the versions that the relay reports.
    pub version_offset: i64,
}

pub struct RouterHost {
    pub address: SocketAddr,
    pub machine: Subscriber,
    pub cell: CellId,
    pub updates: Vec<PartUpdate>,
    /// Engines according to the updates alone.
    pub held: std::collections::BTreeMap<u64, Engine>,
}

#[derive(Clone, Copy, Default)]
pub struct NetworkFaults {
    pub loss: f64,
    pub duplication: f64,
    pub partitioned: bool,
    /// Gives all datagrams the same delay, so that none is reordered.
    pub in_order: bool,
}

pub struct Simulation {
    pub now: u64,
    pub bound_params: BoundParams,
    pub service: ListService,
    pub relays: Vec<RelayHost>,
    pub routers: Vec<RouterHost>,
    pub network: NetworkFaults,
    pub rng: StdRng,
    net: Vec<(u64, SocketAddr, SocketAddr, Vec<u8>)>,
    incarnations: u64,
    last_heartbeat_ns: u64,
}

impl Simulation {
    pub fn new(seed: u64, bound_params: BoundParams) -> Simulation {
        let plan = CellPlan { cells: CELLS, ..CellPlan::default() };
        let per_zone = bound_params.routers.div_ceil(ZONES.len() as u32);
        let cell = |router: u32| {
            let zone = ZONES[(router / per_zone) as usize];
            CellConfig::new(&plan, Some(zone), ZONES.len() as u32, router, bound_params.routers).id
        };
        let cells: Vec<CellId> = (0..bound_params.routers).map(cell).collect();
        let relay = |at: usize| RelayHost {
            address: address(1, at),
            machine: None,
            paused: false,
            connected: true,
            events: VecDeque::new(),
            inbox: Vec::new(),
            version_offset: 0,
        };
        let mut sim = Simulation {
            now: 10 * S,
            service: ListService::new(60, &cells),
            relays: (0..bound_params.relays as usize).map(relay).collect(),
            routers: Vec::new(),
            network: NetworkFaults::default(),
            rng: StdRng::seed_from_u64(seed),
            net: Vec::new(),
            incarnations: 1,
            last_heartbeat_ns: 0,
            bound_params,
        };
        for (at, cell) in cells.into_iter().enumerate() {
            let machine = sim.subscriber(at, &cell);
            let address = address(2, at);
            sim.routers.push(RouterHost {
                address,
                machine,
                cell,
                updates: Vec::new(),
                held: Default::default(),
            });
        }
        (0..sim.relays.len()).for_each(|at| sim.start_relay(at));
        sim
    }

    fn subscriber(&mut self, at: usize, cell: &CellId) -> Subscriber {
        self.incarnations += 1;
        let settings = SubscriberSettings {
            cell: cell.clone(),
            router: at as u64,
            incarnation: self.incarnations,
            relays: self.relays.iter().map(|relay| relay.address).collect(),
            request_interval_ns: self.bound_params.request_interval_ns,
            silence_ns: self.bound_params.silence_ns,
            settle_ns: self.bound_params.settle_ns,
            spread_ns: self.bound_params.spread_ns(),
            stale_ns: 7 * S,
            seed: self.rng.gen(),
        };
        Subscriber::new(self.now, settings)
    }

    /// Restarts a router at its address.
    pub fn restart_router(&mut self, at: usize) {
        let cell = self.routers[at].cell.clone();
        self.routers[at].machine = self.subscriber(at, &cell);
        self.routers[at].held.clear();
    }

    pub fn start_relay(&mut self, at: usize) {
        let relay = &mut self.relays[at];
        relay.machine = Some(Relay::new(self.now, relay_settings(&self.bound_params)));
        (relay.paused, relay.connected) = (false, !self.service.unavailable);
        (relay.events, relay.inbox) = (VecDeque::new(), Vec::new());
        if relay.connected {
            relay.events.push_back(Some(self.service.snapshot_event()));
        }
    }

    pub fn kill_relay(&mut self, at: usize) {
        self.relays[at].machine = None;
        self.relays[at].inbox.clear();
    }

    /// Makes the service unavailable, or available again; it then sends the full list to all
    /// relays.
    pub fn set_unavailable(&mut self, unavailable: bool) {
        self.service.unavailable = unavailable;
        for relay in &mut self.relays {
            relay.connected = !unavailable;
            if !unavailable {
                relay.events.push_back(Some(self.service.snapshot_event()));
            }
        }
    }

    pub fn change(&mut self) {
        let event = self.service.change(self.now, &mut self.rng);
        for relay in self.relays.iter_mut().filter(|relay| relay.connected && relay.machine.is_some()) {
            relay.events.push_back(Some(event.clone()));
        }
    }

    /// Restarts the event numbers of the service.
    pub fn restart_versions(&mut self) {
        self.service.version = 1;
        for relay in self.relays.iter_mut().filter(|relay| relay.connected) {
            relay.events.clear();
            relay.events.push_back(Some(self.service.snapshot_event()));
        }
    }

    pub fn send(&mut self, from: SocketAddr, to: SocketAddr, message: &Message) {
        let bytes = message.encode();
        let copies = 1 + usize::from(self.rng.gen_bool(self.network.duplication));
        for _ in 0..copies {
            if self.network.partitioned || self.rng.gen_bool(self.network.loss) {
                continue;
            }
            let max_delay_ns = self.bound_params.delay_ns;
            let delay =
                if self.network.in_order { max_delay_ns } else { self.rng.gen_range(0..=max_delay_ns) };
            self.net.push((self.now + delay, from, to, bytes.clone()));
        }
    }

    pub fn step(&mut self) {
        self.now += STEP_NS;
        self.heartbeat();
        self.deliver();
        for at in 0..self.relays.len() {
            self.tick_relay(at);
        }
        for at in 0..self.routers.len() {
            for (to, message) in self.routers[at].machine.tick(self.now) {
                let from = self.routers[at].address;
                self.send(from, to, &message);
            }
        }
        self.check_invariants();
    }

    pub fn run(&mut self, ns: u64) {
        let end = self.now + ns;
        while self.now < end {
            self.step();
        }
    }

    fn heartbeat(&mut self) {
        if self.now < self.last_heartbeat_ns + S {
            return;
        }
        self.last_heartbeat_ns = self.now;
        for relay in self.relays.iter_mut().filter(|relay| relay.connected && relay.machine.is_some()) {
            relay.events.push_back(None);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.net).into_iter().partition(|(at, ..)| *at <= now);
        self.net = rest;
        let mut due: Vec<(u64, SocketAddr, SocketAddr, Vec<u8>)> = due;
        due.sort_by_key(|(at, ..)| *at);
        for (_, from, to, bytes) in due {
            if let Some(relay) = self.relays.iter_mut().find(|relay| relay.address == to) {
                relay.inbox.push((from, bytes));
            } else if let Some(router) = self.routers.iter_mut().find(|router| router.address == to) {
                match Message::decode(&bytes) {
                    Ok(message) => router.receive(now, from, message),
                    Err(_) => router.machine.record_undecodable(from),
                }
            }
        }
    }

    /// A resumed relay reads a few events per step, all within its silence time.
    fn tick_relay(&mut self, at: usize) {
        let (now, relay) = (self.now, &mut self.relays[at]);
        let Some(machine) = relay.machine.as_mut().filter(|_| !relay.paused) else { return };
        let some = relay.events.len().min(EVENTS_PER_STEP);
        for event in relay.events.drain(..some) {
            if let Some(event) = event {
                machine.apply_update(event.version, event.is_full, event.engines);
            }
            machine.record_service_contact(now, 0);
        }
        for (from, bytes) in std::mem::take(&mut relay.inbox) {
            match Message::decode(&bytes) {
                Ok(message) => machine.receive(now, from, message),
                Err(_) => machine.record_undecodable(from),
            }
        }
        let (version_offset, address) = (relay.version_offset, relay.address);
        for (to, mut message) in machine.tick(now) {
            offset_version(&mut message, version_offset);
            self.send(address, to, &message);
        }
    }

    /// Asserts what must hold at every moment.
    fn check_invariants(&mut self) {
        for (at, router) in self.routers.iter().enumerate() {
            let Some(part) = router.machine.part() else { continue };
            let existed = self.service.existed(&router.cell, part.digest());
            assert!(existed, "router {at} holds a state that its cell never had, at {} ms", self.now / MS);
            let held: Vec<&Engine> = router.held.values().collect();
            assert!(
                held.iter().copied().eq(part.engines()),
                "router {at}: the updates do not add up to the part"
            );
        }
    }

    /// Returns how long ago the part of a router was last current, in nanoseconds: 0 if it is
    /// current, the time since the start if there is no part.
    pub fn lag_ns(&self, at: usize) -> u64 {
        let router = &self.routers[at];
        let Some(part) = router.machine.part() else { return self.now - 10 * S };
        let since = self.service.superseded_ns(&router.cell, part.digest());
        since.map_or(0, |since| self.now - since)
    }

    pub fn all_current(&self) -> bool {
        (0..self.routers.len()).all(|at| self.routers[at].machine.part().is_some() && self.lag_ns(at) == 0)
    }

    /// Runs until all routers are current, and returns how long that took in nanoseconds.
    pub fn run_until_current(&mut self, limit: u64) -> u64 {
        let start = self.now;
        while !self.all_current() {
            assert!(self.now < start + limit, "not all routers are current after {} ms", limit / MS);
            self.step();
        }
        self.now - start
    }
}

impl RouterHost {
    pub fn receive(&mut self, now: u64, from: SocketAddr, message: Message) {
        let Some(updates) = self.machine.receive(now, from, message) else { return };
        match &updates {
            PartUpdate::Snapshot(engines) => {
                self.held = engines.iter().map(|engine| (engine.id, engine.clone())).collect();
            }
            PartUpdate::Delta(engines, removed) => {
                removed.iter().for_each(|id| drop(self.held.remove(id)));
                self.held.extend(engines.iter().map(|engine| (engine.id, engine.clone())));
            }
        }
        self.updates.push(updates);
    }
}

fn offset_version(message: &mut Message, by: i64) {
    let version = match message {
        Message::Request(_) => return,
        Message::Unchanged(header) | Message::NotReady(header) | Message::Behind(header) => {
            &mut header.version
        }
        Message::Piece(piece) => &mut piece.header.version,
        Message::Delta(delta) => &mut delta.version,
    };
    *version = version.saturating_add_signed(by);
}

pub fn cell_id(cell: u32, cells: u32) -> CellId {
    CellId { zone: Some("z0".into()), cells, cell, by: DivideBy::Engine }
}
