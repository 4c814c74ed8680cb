//! Simulated fleet of routers that lease shares of one limit, in stepped time and without sockets:
//! messages are lost, duplicated, delayed and reordered, links partitioned in one or both
//! directions, routers killed, paused and restarted, and clocks drift.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use marljunction_limits::escrow::Peer;
use marljunction_limits::node::{Node, Permit};
use marljunction_limits::{Kind, Limit, LimitParams, Message, Mode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Nanoseconds of a millisecond.
pub const MS: u64 = 1_000_000;
/// Nanoseconds of a second.
pub const S: u64 = 1_000 * MS;
/// Nanoseconds of one step.
pub const STEP_NS: u64 = 10 * MS;

/// Faults of the messages on all links.
#[derive(Clone, Copy)]
pub struct NetworkConditions {
    /// Share of the messages that are lost.
    pub loss: f64,
    /// Share of the messages that are duplicated.
    pub duplication: f64,
    /// Fixed delay.
    pub delay_ns: u64,
    /// Largest random delay on top.
    pub jitter_ns: u64,
}

/// No loss.
pub const HEALTHY: NetworkConditions =
    NetworkConditions { loss: 0.0, duplication: 0.0, delay_ns: MS, jitter_ns: 2 * MS };
/// Loses and duplicates many messages and reorders the rest.
pub const LOSSY: NetworkConditions =
    NetworkConditions { loss: 0.3, duplication: 0.2, delay_ns: 20 * MS, jitter_ns: 900 * MS };

/// A simulated router.
pub struct Router {
    /// Leasing state; `None` while the router does not run.
    pub node: Option<Node>,
    /// The limit in the router's configuration.
    limit: Limit,
    incarnation: u64,
    /// Rate of the router's clock relative to the true time.
    clock_rate: f64,
    /// Whether the router is paused.
    pub paused: bool,
    inbox: Vec<(Peer, Message)>,
    in_flight: Vec<(u64, Permit)>,
    /// Requests per second.
    pub demand: f64,
}

/// A simulated fleet.
pub struct Fleet {
    /// The limit that usage is checked against.
    pub limit: Limit,
    /// Parameters of all routers.
    pub params: LimitParams,
    /// Routers by index.
    pub routers: Vec<Router>,
    /// True time (ns).
    pub now: u64,
    /// Source of all random draws.
    pub draws: StdRng,
    network: NetworkConditions,
    /// Partitioned links, as sender and receiver.
    pub partitioned: BTreeSet<(usize, usize)>,
    in_transit: BTreeMap<(u64, u64), (usize, Peer, Message)>,
    sequence: u64,
    /// Ends of the requests in flight at the time their router was killed.
    orphaned: Vec<u64>,
    /// Level of a bucket that drains at the limit's rate and fills with each admission.
    bucket_level: f64,
    /// Times of the admissions within the window of the limit.
    admissions: VecDeque<u64>,
    /// Largest usage relative to the limit.
    pub worst: f64,
    /// Number of requests admitted.
    pub admitted: u64,
    /// Number of messages sent.
    pub messages: u64,
}

impl Fleet {
    /// A fleet with all routers started. Clock rates differ from true time by up to `drift`.
    pub fn new(limit: Limit, params: LimitParams, drift: f64, seed: u64) -> Fleet {
        let mut draws = StdRng::seed_from_u64(seed);
        let routers = (0..params.routers).map(|_| Router {
            node: None,
            limit: limit.clone(),
            incarnation: 0,
            clock_rate: 1.0 + draws.gen_range(-drift..=drift),
            paused: false,
            inbox: Vec::new(),
            in_flight: Vec::new(),
            demand: 0.0,
        });
        let routers = routers.collect();
        let mut fleet = Fleet {
            limit,
            params,
            routers,
            now: 1_000 * S,
            draws,
            network: HEALTHY,
            partitioned: BTreeSet::new(),
            in_transit: BTreeMap::new(),
            sequence: 0,
            orphaned: Vec::new(),
            bucket_level: 0.0,
            admissions: VecDeque::new(),
            worst: 0.0,
            admitted: 0,
            messages: 0,
        };
        (0..fleet.routers.len()).for_each(|at| fleet.start(at));
        fleet
    }

    fn clock(&self, at: usize) -> u64 {
        (self.now as f64 * self.routers[at].clock_rate) as u64
    }

    /// Starts a router that does not run.
    pub fn start(&mut self, at: usize) {
        let now = self.clock(at);
        let incarnation = self.now;
        let router = &mut self.routers[at];
        if router.node.is_none() {
            let me = Peer { number: at as u32, incarnation };
            (router.incarnation, router.paused) = (incarnation, false);
            router.node = Some(Node::new(now, me, self.params, vec![router.limit.clone()], 100));
            router.inbox.clear();
        }
    }

    /// Changes the limit in a router's configuration.
    pub fn resize(&mut self, at: usize, limit: Limit) {
        let now = self.clock(at);
        let router = &mut self.routers[at];
        router.limit = limit.clone();
        if let Some(node) = &mut router.node {
            node.resize(now, vec![limit]);
        }
    }

    /// Kills a router; its requests in flight run on for at most the orphan time.
    pub fn kill(&mut self, at: usize) {
        let orphan_end = self.now + self.params.orphan_ns;
        let router = &mut self.routers[at];
        if router.node.take().is_some() {
            self.orphaned.extend(router.in_flight.drain(..).map(|(end, _)| end.min(orphan_end)));
        }
    }

    fn send(&mut self, from: usize, to: u32, message: Message) {
        self.messages += 1;
        let to = to as usize;
        if to >= self.routers.len()
            || self.partitioned.contains(&(from, to))
            || self.draws.gen_bool(self.network.loss)
        {
            return;
        }
        let peer = Peer { number: from as u32, incarnation: self.routers[from].incarnation };
        for _ in 0..=u32::from(self.draws.gen_bool(self.network.duplication)) {
            self.sequence += 1;
            let due = self.now + self.network.delay_ns + self.draws.gen_range(0..=self.network.jitter_ns);
            self.in_transit.insert((due, self.sequence), (to, peer, message.clone()));
        }
    }

    fn receive(&mut self, at: usize, from: Peer, message: Message) {
        let now = self.clock(at);
        let Some(node) = &mut self.routers[at].node else { return };
        let answers = node.receive(now, from, message);
        for answer in answers {
            self.send(at, from.number, answer);
        }
    }

    /// Updates the reachable peers of each router, as the membership protocol would.
    pub fn update_reachable_peers(&mut self) {
        for at in 0..self.routers.len() {
            let now = self.clock(at);
            let is_connected = |other: &usize| {
                !self.partitioned.contains(&(at, *other)) && !self.partitioned.contains(&(*other, at))
            };
            let others =
                (0..self.routers.len()).filter(|other| *other != at && self.routers[*other].node.is_some());
            let peers = others.filter(is_connected).map(|other| other as u32).collect();
            if let Some(node) = &mut self.routers[at].node {
                node.set_reachable(now, peers);
            }
        }
    }

    /// Advances the time by one step.
    pub fn step(&mut self) {
        self.now += STEP_NS;
        while let Some(entry) = self.in_transit.first_entry().filter(|e| e.key().0 <= self.now) {
            let (to, from, message) = entry.remove();
            match self.routers[to].paused {
                true => self.routers[to].inbox.push((from, message)),
                false => self.receive(to, from, message),
            }
        }
        if self.now % (500 * MS) == 0 {
            self.update_reachable_peers();
        }
        self.orphaned.retain(|end| *end > self.now);
        if let Kind::Rate { per_s, .. } = self.limit.kind {
            // The overshoot of a bounded limit applies to its rate, so it drains with the rest.
            let over = match self.limit.mode {
                Mode::Strict => 0.0,
                Mode::Bounded { over, .. } => over,
            };
            self.bucket_level = (self.bucket_level - per_s * (1.0 + over) * STEP_NS as f64 / 1e9).max(0.0);
        }
        let order = self.draws.gen_range(0..self.routers.len());
        for i in 0..self.routers.len() {
            let at = (i + order) % self.routers.len();
            if self.routers[at].paused {
                continue;
            }
            for (from, message) in std::mem::take(&mut self.routers[at].inbox) {
                self.receive(at, from, message);
            }
            self.run_router(at);
        }
        self.record_usage();
    }

    /// Runs one router: ends requests, admits new ones and sends messages.
    fn run_router(&mut self, at: usize) {
        let now = self.clock(at);
        let true_now = self.now;
        let router = &mut self.routers[at];
        let Some(node) = &mut router.node else { return };
        let (finished, in_flight) =
            std::mem::take(&mut router.in_flight).into_iter().partition(|(end, _)| *end <= true_now);
        router.in_flight = in_flight;
        let finished: Vec<(u64, Permit)> = finished;
        finished.into_iter().for_each(|(_, permit)| node.release(permit));
        let mut due = router.demand * STEP_NS as f64 / 1e9;
        while due > 0.0 && self.draws.gen_bool(due.min(1.0)) {
            due -= 1.0;
            if let Ok(permit) = node.admit(now, &[(0, 0)]) {
                self.admitted += 1;
                self.bucket_level += 1.0;
                self.admissions.push_back(true_now);
                let duration_ns = self.draws.gen_range(50 * MS..self.params.max_request_ns);
                router.in_flight.push((true_now + duration_ns, permit));
            }
        }
        for (to, message) in node.tick(now) {
            self.send(at, to, message);
        }
    }

    /// Number of requests in flight, including those of killed routers.
    pub fn in_flight(&self) -> usize {
        let in_flight = |r: &Router| r.in_flight.iter().filter(|(end, _)| *end > self.now).count();
        self.routers.iter().map(in_flight).sum::<usize>() + self.orphaned.len()
    }

    fn record_usage(&mut self) {
        let (used, limit) = match self.limit.kind {
            Kind::Concurrency { at_once } => (self.in_flight() as f64, f64::from(at_once)),
            Kind::Rate { burst, .. } => (self.bucket_level, f64::from(burst)),
            Kind::Window { units, window_ns } => {
                let window_start = self.now.saturating_sub(window_ns);
                while self.admissions.front().is_some_and(|at| *at <= window_start) {
                    self.admissions.pop_front();
                }
                (self.admissions.len() as f64, f64::from(units))
            }
        };
        self.worst = self.worst.max(used / limit);
    }

    /// Runs for `ms` milliseconds.
    pub fn run(&mut self, ms: u64) {
        (0..ms * MS / STEP_NS).for_each(|_| self.step());
    }

    /// Partitions the routers into groups.
    pub fn partition_into(&mut self, parts: &[usize]) {
        for a in 0..parts.len() {
            for b in (0..parts.len()).filter(|b| parts[a] != parts[*b]) {
                self.partitioned.insert((a, b));
            }
        }
    }

    /// Injects or ends a random fault.
    pub fn inject_random_fault(&mut self) {
        let n = self.routers.len();
        let at = self.draws.gen_range(0..n);
        match self.draws.gen_range(0..14) {
            0 => {
                let parts: Vec<usize> = (0..n).map(|_| self.draws.gen_range(0..2)).collect();
                self.partition_into(&parts);
            }
            1 => {
                let parts: Vec<usize> = (0..n).map(|i| i % 3).collect();
                self.partition_into(&parts);
            }
            2 => {
                let to = self.draws.gen_range(0..n);
                self.partitioned.insert((at, to));
            }
            3 => self.partitioned.extend((0..n).map(|other| (other, at))),
            4 => self.network = LOSSY,
            5 => self.network = HEALTHY,
            6 => self.kill(at),
            7 => (0..n).for_each(|at| self.start(at)),
            8 => {
                self.kill(at);
                self.start(at);
            }
            9 => {
                (0..n).for_each(|at| self.kill(at));
                (0..n).for_each(|at| self.start(at));
            }
            10 => self.routers[at].paused = self.routers[at].node.is_some(),
            11 => self.routers.iter_mut().for_each(|r| r.paused = false),
            12 => self.partitioned.clear(),
            _ => {
                let most = self.limit.kind.units() as f64;
                let total = self.draws.gen_range(0.5..4.0) * most;
                self.routers.iter_mut().for_each(|r| r.demand = 0.0);
                self.routers[at].demand = total;
                let other = self.draws.gen_range(0..n);
                self.routers[other].demand = total / 3.0;
            }
        }
    }
}
