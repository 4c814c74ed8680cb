//! A fleet of routers that share what they believe of engines, in stepped time without sockets: messages are lost, doubled, late
//! and out of order, links are cut, routers die, stand still and start again. Pure.

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
/// When all begin.
const START_NS: u64 = 1_700_000_000 * S;

/// The fleet.
pub struct Fleet {
    /// The time (ns).
    pub now: u64,
    /// What it agrees on.
    pub params: HealthParams,
    /// Its routers; none while one is not there.
    pub nodes: Vec<Option<Node>>,
    /// What each router has kept on disk.
    pub persisted: Vec<(Overrides, u64)>,
    /// Routers that stand still.
    pub paused: BTreeSet<usize>,
    inbox: Vec<Vec<(u32, Message)>>,
    /// Links that carry nothing, from one to another.
    pub partitioned: BTreeSet<(usize, usize)>,
    /// Part of the messages that is lost (share).
    pub loss: f64,
    /// Part that comes twice (share).
    pub duplication: f64,
    /// Chance's part of the delay (ns).
    pub jitter_ns: u64,
    in_transit: BTreeMap<(u64, u64), (usize, u32, Message)>,
    sequence: u64,
    /// What chance draws from.
    pub draws: StdRng,
    /// The engines of the list, and when each started (ms).
    pub engines: Vec<(u64, u64)>,
    /// Messages sent.
    pub messages: u64,
    /// Bytes of them, as they are packed.
    pub bytes: u64,
}

impl Fleet {
    /// A fleet that has started and knows itself.
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

    /// A third is lost, a fifth doubled, and the rest out of order.
    pub fn degrade_network(&mut self) {
        (self.loss, self.duplication, self.jitter_ns) = (0.3, 0.2, 150 * MS);
    }

    /// Starts a router that is not there.
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

    /// Ends a router at once; what it kept stays.
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

    /// Passes one step.
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

    /// Passes a time (ns).
    pub fn run(&mut self, ns: u64) {
        (0..ns / STEP_NS).for_each(|_| self.step());
    }

    /// Steps until a condition holds; how long that took (ns).
    ///
    /// # Panics
    /// Where that takes longer than `most_ns`.
    #[track_caller]
    pub fn run_until(&mut self, limit_ns: u64, what: &str, condition: impl Fn(&mut Fleet) -> bool) -> u64 {
        let start_ns = self.now;
        while !condition(self) {
            assert!(self.now - start_ns <= limit_ns, "not within {} ms: {what}", limit_ns / MS);
            self.step();
        }
        self.now - start_ns
    }

    /// A router that is there.
    pub fn node(&mut self, at: usize) -> &mut Node {
        self.nodes[at].as_mut().expect("a router that is there")
    }

    /// Whether it holds of all routers that are there.
    pub fn all(&mut self, f: impl Fn(&mut Node) -> bool) -> bool {
        self.nodes.iter_mut().flatten().all(f)
    }

    /// An attempt of a router's ends.
    pub fn attempt_ended(&mut self, at: usize, engine: u64, outcome: AttemptOutcome) {
        let now = self.now;
        let started = self.engines.iter().find(|(id, _)| *id == engine).map_or(0, |(_, at)| *at);
        self.node(at).ended(now, (engine, started), 0, now - 50 * MS, outcome);
    }

    /// Cuts the routers into parts.
    pub fn partition_into(&mut self, part: impl Fn(usize) -> usize) {
        let n = self.nodes.len();
        self.partitioned.clear();
        for (a, b) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| part(*a) != part(*b)) {
            self.partitioned.insert((a, b));
        }
    }
}
