//! Simulated fleet of routers that share engine health, in stepped time and without sockets:
//! messages are lost, duplicated, delayed and reordered, links partitioned, routers killed, paused,
//! restarted.

use std::collections::{BTreeMap, BTreeSet};

use marljunction_health::observer::AttemptOutcome;
use marljunction_health::overrides::Overrides;
use marljunction_health::{HealthParams, Message, Node};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Nanoseconds of a millisecond.
pub const MS: u64 = 1_000_000;
/// Nanoseconds of a second.
pub const S: u64 = 1_000 * MS;
/// Nanoseconds of one step.
pub const STEP_NS: u64 = 20 * MS;
/// Start of the simulation.
const START_NS: u64 = 1_700_000_000 * S;

/// A simulated fleet.
pub struct Fleet {
    /// Current time (ns).
    pub now: u64,
    /// Parameters of all routers.
    pub params: HealthParams,
    /// Routers; `None` while one does not run.
    pub nodes: Vec<Option<Node>>,
    /// Overrides and last contact of each router as stored on disk.
    pub persisted: Vec<(Overrides, u64)>,
    /// Paused routers.
    pub paused: BTreeSet<usize>,
    inbox: Vec<Vec<(u32, Message)>>,
    /// Partitioned links, as sender and receiver.
    pub partitioned: BTreeSet<(usize, usize)>,
    /// Share of the messages that are lost.
    pub loss: f64,
    /// Share of the messages that are duplicated.
    pub duplication: f64,
    /// Largest random delay (ns).
    pub jitter_ns: u64,
    in_transit: BTreeMap<(u64, u64), (usize, u32, Message)>,
    sequence: u64,
    /// Source of all random draws.
    pub draws: StdRng,
    /// Engines on the list, each with its start time (ms).
    pub engines: Vec<(u64, u64)>,
    /// Number of messages sent.
    pub messages: u64,
    /// Size of the messages sent, in bytes.
    pub bytes: u64,
}

impl Fleet {
    /// A fleet after its start, with all routers connected.
    pub fn new(routers: usize, seed: u64) -> Fleet {
        let params = HealthParams { routers: routers as u32, ..HealthParams::default() };
        let mut fleet = Fleet {
            now: START_NS,
            params,
            nodes: vec![None; routers],
            persisted: vec![(Overrides::default(), START_NS); routers],
            paused: BTreeSet::new(),
            inbox: vec![Vec::new(); routers],
            partitioned: BTreeSet::new(),
            loss: 0.0,
            duplication: 0.0,
            jitter_ns: 3 * MS,
            in_transit: BTreeMap::new(),
            sequence: 0,
            draws: StdRng::seed_from_u64(seed),
            engines: (0..20).map(|e| (e, 7)).collect(),
            messages: 0,
            bytes: 0,
        };
        (0..routers).for_each(|at| fleet.start(at));
        fleet.run(3 * S);
        fleet
    }

    /// Sets 30 % loss, 20 % duplication, and a delay that reorders messages.
    pub fn degrade_network(&mut self) {
        (self.loss, self.duplication, self.jitter_ns) = (0.3, 0.2, 150 * MS);
    }

    /// Starts a router that does not run.
    pub fn start(&mut self, at: usize) {
        if self.nodes[at].is_none() {
            let zone = (at % 2) as u64;
            let mut node =
                Node::new(self.now, (at as u32, self.now, zone), self.params, self.persisted[at].clone());
            node.set_engines(self.engines.clone());
            self.nodes[at] = Some(node);
            self.inbox[at].clear();
        }
    }

    /// Kills a router; its stored state stays.
    pub fn kill(&mut self, at: usize) {
        if let Some(node) = self.nodes[at].take() {
            self.persisted[at] = (node.overrides().clone(), node.last_contact_ns());
        }
    }

    fn send(&mut self, from: usize, to: u32, message: Message) {
        self.messages += 1;
        let packed_bytes = rmp_serde::to_vec(&message).map_or(0, |bytes| bytes.len());
        assert!(packed_bytes <= 1_000, "{packed_bytes} bytes: {message:?}");
        self.bytes += packed_bytes as u64;
        let to = to as usize;
        if self.partitioned.contains(&(from, to)) || self.draws.gen_bool(self.loss) {
            return;
        }
        for _ in 0..=u32::from(self.draws.gen_bool(self.duplication)) {
            self.sequence += 1;
            let due = self.now + self.draws.gen_range(0..=self.jitter_ns);
            self.in_transit.insert((due, self.sequence), (to, from as u32, message.clone()));
        }
    }

    fn receive(&mut self, at: usize, from: u32, message: Message) {
        let now = self.now;
        let answers = self.nodes[at].as_mut().map(|node| node.receive(now, from, message));
        answers.into_iter().flatten().for_each(|(to, answer)| self.send(at, to, answer));
    }

    /// Advances the time by one step.
    pub fn step(&mut self) {
        self.now += STEP_NS;
        let now = self.now;
        while let Some(entry) = self.in_transit.first_entry().filter(|e| e.key().0 <= now) {
            let (to, from, message) = entry.remove();
            match self.paused.contains(&to) {
                true => self.inbox[to].push((from, message)),
                false => self.receive(to, from, message),
            }
        }
        for at in (0..self.nodes.len()).filter(|at| !self.paused.contains(at)).collect::<Vec<_>>() {
            for (from, message) in std::mem::take(&mut self.inbox[at]) {
                self.receive(at, from, message);
            }
            let is_reachable = |other: &usize| {
                *other != at
                    && self.nodes[*other].is_some()
                    && !self.partitioned.contains(&(at, *other))
                    && !self.partitioned.contains(&(*other, at))
            };
            let peers: Vec<u32> =
                (0..self.nodes.len()).filter(is_reachable).map(|other| other as u32).collect();
            let Some(node) = &mut self.nodes[at] else { continue };
            node.set_peers(peers);
            for (to, message) in node.tick(now) {
                self.send(at, to, message);
            }
        }
    }

    /// Runs for `ns` nanoseconds.
    pub fn run(&mut self, ns: u64) {
        (0..ns / STEP_NS).for_each(|_| self.step());
    }

    /// Steps until the condition holds. Returns the time taken (ns).
    ///
    /// # Panics
    /// If it takes longer than `limit_ns`.
    #[track_caller]
    pub fn run_until(&mut self, limit_ns: u64, what: &str, condition: impl Fn(&mut Fleet) -> bool) -> u64 {
        let start_ns = self.now;
        while !condition(self) {
            assert!(self.now - start_ns <= limit_ns, "not within {} ms: {what}", limit_ns / MS);
            self.step();
        }
        self.now - start_ns
    }

    /// A running router.
    pub fn node(&mut self, at: usize) -> &mut Node {
        self.nodes[at].as_mut().expect("a running router")
    }

    /// Whether `f` holds for all running routers.
    pub fn all(&mut self, f: impl Fn(&mut Node) -> bool) -> bool {
        self.nodes.iter_mut().flatten().all(f)
    }

    /// Records the outcome of an attempt at a router.
    pub fn attempt_ended(&mut self, at: usize, engine: u64, outcome: AttemptOutcome) {
        let now = self.now;
        let started = self.engines.iter().find(|(id, _)| *id == engine).map_or(0, |(_, at)| *at);
        self.node(at).ended(now, (engine, started), 0, now - 50 * MS, outcome);
    }

    /// Partitions the routers into groups.
    pub fn partition_into(&mut self, part: impl Fn(usize) -> usize) {
        let n = self.nodes.len();
        self.partitioned.clear();
        for (a, b) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| part(*a) != part(*b)) {
            self.partitioned.insert((a, b));
        }
    }
}
