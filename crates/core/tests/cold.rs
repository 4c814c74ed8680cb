//! Shared budgets of cold engines: all routers together stay within the budget in every window,
//! whatever the distribution of clients and under partitions.

use std::collections::VecDeque;

use marljunction_control::control::cold_lane;
use marljunction_control::interface::*;
use marljunction_core::cold::ColdBudgets;
use marljunction_core::end_reason::EndReason;
use marljunction_core::limits::FleetLimits;
use marljunction_core::{Answer, Attempt, Client, ClientRequest, Command, Router, Rows};
use marljunction_limits::escrow::Peer;
use marljunction_limits::{LimitParams, Message, Node};

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;
const T0: u64 = 1_700_000_000 * S;
const ROUTERS: u32 = 3;
const ENGINE: EngineId = EngineId(5);
const CORES: f64 = 8.0;
/// Actual work of a query (ns), far below the estimate from settings.
const WORK_NS: u64 = 60 * MS;

fn settings(router_index: u32) -> Settings {
    let class = ClassSettings {
        target_latency_ns: 1_200 * MS,
        deadline_ns: 4 * S,
        worth: 1.0,
        threads: 1.0,
        ..ClassSettings::default()
    };
    Settings {
        router_count: ROUTERS,
        router_index,
        classes: vec![class],
        kinds: vec![KindSettings { cores: Some(CORES), memory_mb: None }],
        max_attempts: Some(4),
        max_retry_after_ns: Some(S),
        warmup_ns: Some(15 * S),
        initial_capacity: Some(0.3),
        overload_multiple: Some(2.5),
        overload_window_ns: Some(S),
        ..Settings::default()
    }
}

struct Fleet {
    now: u64,
    routers: Vec<Router>,
    calls: u64,
    out: Vec<(u64, usize, Attempt)>,
    sends: VecDeque<u64>,
    /// Maximum sends in one window.
    max_in_window: usize,
    /// Sends of each router.
    sent_by_router: [usize; ROUTERS as usize],
    partitioned: bool,
}

impl Fleet {
    fn new(shared: bool) -> Fleet {
        let router = |router_index: u32| {
            let settings = settings(router_index);
            let (cold, limits) = ColdBudgets::new(&settings, 0).unwrap();
            let params = LimitParams { routers: ROUTERS, lease_ns: S, ..LimitParams::default() };
            let node = Node::new(T0, Peer { number: router_index, incarnation: T0 }, params, limits, 1_000);
            let limits = FleetLimits::new(node, Vec::new(), &[], &[]).with_cold(Some(cold));
            Router::new(settings, u64::from(router_index), 64.0).with_limits(shared.then_some(limits))
        };
        let routers = (0..ROUTERS).map(router).collect();
        let mut fleet = Fleet {
            now: T0,
            routers,
            calls: 0,
            out: Vec::new(),
            sends: VecDeque::new(),
            max_in_window: 0,
            sent_by_router: [0; ROUTERS as usize],
            partitioned: false,
        };
        let all: std::collections::BTreeSet<u32> = (0..ROUTERS).collect();
        for router in &mut fleet.routers {
            if let Some(limits) = router.limits() {
                limits.node().set_reachable(T0, all.clone());
            }
        }
        fleet
    }

    /// Starts the engine and notifies all routers.
    fn start_engine(&mut self) {
        let entry = EngineEntry {
            engine: ENGINE,
            kind: Some(KindId(0)),
            weight: 1.0,
            started_ns: Some(self.now),
            ..EngineEntry::default()
        };
        self.routers.iter_mut().for_each(|r| r.membership(MembershipKind::Full, vec![entry]));
    }

    /// Submits a client request at one router.
    fn submit(&mut self, at: usize) {
        self.calls += 1;
        let client_request = ClientRequest {
            name: format!("{:016x}", self.calls),
            time_left_ns: 3 * S,
            ..ClientRequest::default()
        };
        self.routers[at].accept_request(self.now, Client { conn: 1, call: self.calls }, client_request);
    }

    /// Advances time by 10 ms.
    fn step(&mut self) {
        self.now += 10 * MS;
        let now = self.now;
        let mut messages: VecDeque<(usize, usize, Message)> = VecDeque::new();
        for (from, router) in self.routers.iter_mut().enumerate() {
            let tick = router.limits().map(|limits| limits.node().tick(now)).unwrap_or_default();
            messages.extend(tick.into_iter().map(|(to, message)| (from, to as usize, message)));
        }
        while let Some((from, to, message)) = messages.pop_front().filter(|_| !self.partitioned) {
            let peer = Peer { number: from as u32, incarnation: T0 };
            let answers = self.routers[to].limits().unwrap().node().receive(now, peer, message);
            messages.extend(answers.into_iter().map(|answer| (to, from, answer)));
        }
        let (over, out) = std::mem::take(&mut self.out).into_iter().partition(|(end, ..)| *end <= now);
        self.out = out;
        let over: Vec<(u64, usize, Attempt)> = over;
        for (_, at, attempt) in over {
            self.routers[at].ended(attempt, EndReason::Served, Some(Rows::Text(Vec::new())), None);
        }
        for at in 0..self.routers.len() {
            let mut commands = Vec::new();
            self.routers[at].process_events(now, &mut commands);
            for command in commands {
                match command {
                    Command::Start { attempt, .. } => {
                        self.out.push((now + WORK_NS, at, attempt));
                        self.sends.push_back(now);
                        self.sent_by_router[at] += 1;
                    }
                    Command::Answer(_, Answer::Failed(..)) => panic!("a retryable query failed"),
                    _ => {}
                }
            }
        }
        // Sends count for one window of real time.
        while self.sends.front().is_some_and(|at| at + S <= now) {
            self.sends.pop_front();
        }
        self.max_in_window = self.max_in_window.max(self.sends.len());
    }

    /// Runs for `ms`, with one request per `every_ms` at each router (0 for none).
    fn run(&mut self, ms: u64, every_ms: [u64; ROUTERS as usize]) {
        for step in 0..ms / 10 {
            for (at, every) in every_ms.into_iter().enumerate() {
                if every > 0 && step * 10 % every == 0 {
                    self.submit(at);
                }
            }
            self.step();
        }
    }
}

/// Queries per window within half of the budget, at an engine age of `age_ns`.
fn allowed(age_ns: u64) -> f64 {
    let (_, full, _) = cold_lane(&settings(0), CORES, ClassId(0)).unwrap();
    let warmth = 0.3 + 0.7 * age_ns as f64 / (15 * S) as f64;
    full * warmth / 2.0 / WORK_NS as f64
}

/// A fleet with learned query costs and a newly started engine.
fn fleet_with_demand_at_one_router(shared: bool) -> Fleet {
    let mut fleet = Fleet::new(shared);
    fleet.start_engine();
    fleet.run(17_000, [20, 200, 200]);
    fleet.start_engine();
    (fleet.max_in_window, fleet.sent_by_router) = (0, [0; ROUTERS as usize]);
    fleet.sends.clear();
    fleet
}

#[test]
fn a_router_uses_the_unused_shares_of_others_within_the_total_budget() {
    let mut fleet = fleet_with_demand_at_one_router(true);
    fleet.run(4_000, [10, 0, 0]);
    let mut own = fleet_with_demand_at_one_router(false);
    own.run(4_000, [10, 0, 0]);
    let most = allowed(4 * S);
    assert!(
        fleet.max_in_window as f64 <= most,
        "{} sends in a window, allowed are {most}",
        fleet.max_in_window
    );
    let (shared, alone) = (fleet.sent_by_router[0], own.sent_by_router[0]);
    assert!(shared as f64 >= 1.8 * alone as f64, "{shared} sent with shared budgets, {alone} without");
    assert!(
        fleet.max_in_window as f64 >= 0.8 * most,
        "{} sends in a window, allowed are {most}",
        fleet.max_in_window
    );
}

#[test]
fn partitioned_routers_stay_within_the_total_budget() {
    let mut fleet = fleet_with_demand_at_one_router(true);
    fleet.run(2_000, [10, 0, 0]);
    fleet.partitioned = true;
    // All routers demand the whole budget while the first still holds borrowed units.
    fleet.run(6_000, [10, 10, 10]);
    let most = allowed(8 * S);
    assert!(
        fleet.max_in_window as f64 <= most,
        "{} sends in a window, allowed are {most}",
        fleet.max_in_window
    );
    assert!(
        fleet.sent_by_router.iter().all(|sent| *sent > 10),
        "each router uses its own share: {:?}",
        fleet.sent_by_router
    );
}

#[test]
fn nothing_is_sent_to_a_cold_engine_without_a_share() {
    let mut fleet = Fleet::new(true);
    fleet.partitioned = true;
    fleet.start_engine();
    // A newly started router cannot ask its peers which units it lent before.
    fleet.run(1_500, [10, 10, 10]);
    assert_eq!(fleet.sent_by_router, [0; 3]);
    fleet.run(3_000, [10, 10, 10]);
    assert!(
        fleet.sent_by_router.iter().all(|sent| *sent > 0),
        "units lent before the start have expired: {:?}",
        fleet.sent_by_router
    );
}
