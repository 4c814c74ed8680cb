//! Budgets of cold engines that routers share: what all of them send in any window stays within the whole budget, wherever the
//! clients are and whatever is cut.

use std::collections::VecDeque;

use marljunction_control::control::cold_lane;
use marljunction_control::interface::*;
use marljunction_core::cold::ColdBudgets;
use marljunction_core::end_reason::EndReason;
use marljunction_core::limits::FleetLimits;
use marljunction_core::{Answer, Attempt, Client, ClientRequest, Command, Router, Rows};
use marljunction_limits::escrow::Peer;
use marljunction_limits::{Message, Node, Terms};

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;
const T0: u64 = 1_700_000_000 * S;
const ROUTERS: u32 = 3;
const ENGINE: EngineId = EngineId(5);
const CORES: f64 = 8.0;
/// Work of a query, as it turns out (ns); settings alone say far more.
const WORK_NS: u64 = 60 * MS;

fn settings(me: u32) -> Settings {
    let class = ClassSettings {
        aim_ns: 1_200 * MS,
        deadline_ns: 4 * S,
        worth: 1.0,
        threads: 1.0,
        ..ClassSettings::default()
    };
    Settings {
        gateways: ROUTERS,
        gateway_index: me,
        classes: vec![class],
        kinds: vec![KindSettings { cores: Some(CORES), memory_mb: None }],
        max_attempts: Some(4),
        max_retry_after_ns: Some(S),
        cold_ns: Some(15 * S),
        start_capacity: Some(0.3),
        tip_multiple: Some(2.5),
        fall_ns: Some(S),
        ..Settings::default()
    }
}

struct Fleet {
    now: u64,
    routers: Vec<Router>,
    calls: u64,
    out: Vec<(u64, usize, Attempt)>,
    sends: VecDeque<u64>,
    /// Most sends in one window, and sends of each router.
    worst: usize,
    by: [usize; ROUTERS as usize],
    cut: bool,
}

impl Fleet {
    fn new(shared: bool) -> Fleet {
        let router = |me: u32| {
            let settings = settings(me);
            let (cold, limits) = ColdBudgets::new(&settings, 0).unwrap();
            let terms = Terms { routers: ROUTERS, lease_ns: S, ..Terms::default() };
            let node = Node::new(T0, Peer { number: me, life: T0 }, terms, limits, 1_000);
            let limits = FleetLimits::new(node, Vec::new(), &[], &[]).with_cold(Some(cold));
            Router::new(settings, u64::from(me), 64.0).with_limits(shared.then_some(limits))
        };
        let routers = (0..ROUTERS).map(router).collect();
        let mut fleet = Fleet {
            now: T0,
            routers,
            calls: 0,
            out: Vec::new(),
            sends: VecDeque::new(),
            worst: 0,
            by: [0; ROUTERS as usize],
            cut: false,
        };
        let all: std::collections::BTreeSet<u32> = (0..ROUTERS).collect();
        for router in &mut fleet.routers {
            if let Some(limits) = router.limits() {
                limits.node().set_reachable(T0, all.clone());
            }
        }
        fleet
    }

    /// The engine starts, and all are told.
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

    /// One router asks at this one, as a client would.
    fn ask(&mut self, at: usize) {
        self.calls += 1;
        let ask = ClientRequest {
            name: format!("{:016x}", self.calls),
            time_left_ns: 3 * S,
            ..ClientRequest::default()
        };
        self.routers[at].take(self.now, Client { conn: 1, call: self.calls }, ask);
    }

    /// 10 ms pass.
    fn step(&mut self) {
        self.now += 10 * MS;
        let now = self.now;
        let mut said: VecDeque<(usize, usize, Message)> = VecDeque::new();
        for (from, router) in self.routers.iter_mut().enumerate() {
            let tick = router.limits().map(|limits| limits.node().tick(now)).unwrap_or_default();
            said.extend(tick.into_iter().map(|(to, message)| (from, to as usize, message)));
        }
        while let Some((from, to, message)) = said.pop_front().filter(|_| !self.cut) {
            let peer = Peer { number: from as u32, life: T0 };
            let answers = self.routers[to].limits().unwrap().node().hear(now, peer, message);
            said.extend(answers.into_iter().map(|answer| (to, from, answer)));
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
                        self.by[at] += 1;
                    }
                    Command::Answer(_, Answer::Failed(..)) => panic!("a query that may go again failed"),
                    _ => {}
                }
            }
        }
        // A send counts for a window of true time.
        while self.sends.front().is_some_and(|at| at + S <= now) {
            self.sends.pop_front();
        }
        self.worst = self.worst.max(self.sends.len());
    }

    /// Asks so often at each router for so long.
    fn run(&mut self, ms: u64, every_ms: [u64; ROUTERS as usize]) {
        for step in 0..ms / 10 {
            for (at, every) in every_ms.into_iter().enumerate() {
                if every > 0 && step * 10 % every == 0 {
                    self.ask(at);
                }
            }
            self.step();
        }
    }
}

/// Queries that half of the budget allows in a window, once the engine has been up for so long.
fn allowed(age_ns: u64) -> f64 {
    let (_, full, _) = cold_lane(&settings(0), CORES, ClassId(0)).unwrap();
    let warmth = 0.3 + 0.7 * age_ns as f64 / (15 * S) as f64;
    full * warmth / 2.0 / WORK_NS as f64
}

/// A fleet that knows what its queries cost, and a cold engine; clients are at one router.
fn at_one(shared: bool) -> Fleet {
    let mut fleet = Fleet::new(shared);
    fleet.start_engine();
    fleet.run(17_000, [20, 200, 200]);
    fleet.start_engine();
    (fleet.worst, fleet.by) = (0, [0; ROUTERS as usize]);
    fleet.sends.clear();
    fleet
}

#[test]
fn one_router_uses_what_the_others_do_not_and_all_stay_within_the_budget() {
    let mut fleet = at_one(true);
    fleet.run(4_000, [10, 0, 0]);
    let mut own = at_one(false);
    own.run(4_000, [10, 0, 0]);
    let most = allowed(4 * S);
    assert!(fleet.worst as f64 <= most, "{} in a window, {most} are allowed", fleet.worst);
    let (shared, alone) = (fleet.by[0], own.by[0]);
    assert!(shared as f64 >= 1.8 * alone as f64, "{shared} sent with shared budgets, {alone} without");
    assert!(fleet.worst as f64 >= 0.8 * most, "{} in a window, {most} are allowed", fleet.worst);
}

#[test]
fn routers_that_are_cut_off_stay_within_the_budget_together() {
    let mut fleet = at_one(true);
    fleet.run(2_000, [10, 0, 0]);
    fleet.cut = true;
    // All want all of it, while the first still holds what it has borrowed.
    fleet.run(6_000, [10, 10, 10]);
    let most = allowed(8 * S);
    assert!(fleet.worst as f64 <= most, "{} in a window, {most} are allowed", fleet.worst);
    assert!(fleet.by.iter().all(|sent| *sent > 10), "each has its own: {:?}", fleet.by);
}

#[test]
fn a_module_that_is_told_no_share_sends_nothing() {
    let mut fleet = Fleet::new(true);
    fleet.cut = true;
    fleet.start_engine();
    // It has started and can't ask what it lent before.
    fleet.run(1_500, [10, 10, 10]);
    assert_eq!(fleet.by, [0; 3]);
    fleet.run(3_000, [10, 10, 10]);
    assert!(fleet.by.iter().all(|sent| *sent > 0), "what was lent is over: {:?}", fleet.by);
}
