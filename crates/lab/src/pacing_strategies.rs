//! Compares pacing strategies of a fleet that calls one service, in simulated time: startup, an
//! outage of ten seconds, and recovery.

use marljunction_pacing::{Failure, Pacer, PacingParams};
use marljunction_testkit::swarm::{ClientSwarm, PacingPolicy, Service};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Map, Value};

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;
/// Bounds of the wait between calls.
const MIN_WAIT_NS: u64 = 100 * MS;
const MAX_WAIT_NS: u64 = 4_300 * MS;
const CALLERS: u32 = 200;
/// Calls per second that the service accepts.
const CAPACITY_PER_S: f64 = 50.0;
/// Number of seeds that each strategy is simulated with.
const SEEDS: u64 = 50;

/// How the next wait is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Strategy {
    /// Always the minimum wait.
    Fixed,
    /// Uniform up to a bound that doubles with each attempt.
    FullJitter,
    /// Uniform between the minimum and three times the previous wait.
    Decorrelated,
    /// A bound that grows by the minimum wait with each attempt; uniform in its upper half.
    Additive,
    /// A fixed slot per caller in a period in which the budget serves all callers once.
    Slot,
}

/// A caller that uses one strategy. It respects `Retry-After` unless its strategy is
/// [`Strategy::Fixed`].
struct SimpleCaller {
    strategy: Strategy,
    rng: StdRng,
    due: Option<u64>,
    last_wait_ns: u64,
    attempts: u32,
    slot_fraction: f64,
    period_ns: u64,
}

impl SimpleCaller {
    fn new(
        strategy: Strategy,
        caller_index: u32,
        configured_callers: Option<u32>,
        seed: u64,
    ) -> SimpleCaller {
        let callers = f64::from(configured_callers.unwrap_or(1));
        let period_ns = (callers / CAPACITY_PER_S * 1e9) as u64;
        let slot_fraction = f64::from(caller_index) / callers;
        let rng = StdRng::seed_from_u64(seed);
        let mut caller = SimpleCaller {
            strategy,
            rng,
            due: Some(0),
            last_wait_ns: MIN_WAIT_NS,
            attempts: 0,
            slot_fraction,
            period_ns,
        };
        if strategy == Strategy::Slot {
            caller.due = Some((slot_fraction.fract() * period_ns as f64) as u64);
        }
        caller
    }

    fn next_wait_ns(&mut self) -> u64 {
        self.attempts += 1;
        match self.strategy {
            Strategy::Fixed => MIN_WAIT_NS,
            Strategy::FullJitter => {
                let high = (MIN_WAIT_NS << self.attempts.min(20)).min(MAX_WAIT_NS);
                self.rng.gen_range(0..=high)
            }
            Strategy::Decorrelated => {
                self.last_wait_ns = self.rng.gen_range(MIN_WAIT_NS..=self.last_wait_ns * 3).min(MAX_WAIT_NS);
                self.last_wait_ns
            }
            Strategy::Additive => {
                let high = (MIN_WAIT_NS * u64::from(self.attempts)).min(MAX_WAIT_NS);
                self.rng.gen_range(high / 2..=high)
            }
            Strategy::Slot => self.period_ns.max(MIN_WAIT_NS),
        }
    }
}

impl PacingPolicy for SimpleCaller {
    fn due_ns(&self) -> Option<u64> {
        self.due
    }

    fn call(&mut self, now: u64) -> bool {
        let due = self.due.is_some_and(|due| now >= due);
        self.due = self.due.filter(|_| !due);
        due
    }

    fn accepted(&mut self, _: u64) {
        (self.attempts, self.last_wait_ns) = (0, MIN_WAIT_NS);
    }

    fn failed(&mut self, now: u64, failure: Failure) {
        let wait = self.next_wait_ns();
        let retry_after_ns = match failure {
            Failure::Rejected { after_ns: Some(after) } if self.strategy != Strategy::Fixed => after,
            _ => 0,
        };
        self.due = Some(now + wait + retry_after_ns);
    }

    fn ended(&mut self, now: u64) {
        let wait = match self.strategy {
            Strategy::Slot => (self.slot_fraction.fract() * self.period_ns as f64) as u64,
            _ => self.next_wait_ns(),
        };
        self.due = Some(now + wait);
    }
}

/// Results of one strategy, each the mean or the worst over all seeds.
#[derive(Default)]
struct Metrics {
    startup_calls: f64,
    recovery_calls: f64,
    outage_calls_per_s: f64,
    peak_load: f64,
    peak_100ms: f64,
    settle_ratio: f64,
    unsettled_runs: u64,
}

fn simulate<W: PacingPolicy>(make: impl Fn(u32, u64) -> W) -> Metrics {
    let mut metrics = Metrics::default();
    let n = f64::from(CALLERS);
    let ideal = n / CAPACITY_PER_S * 1e9;
    for seed in 0..SEEDS {
        let callers = (0..CALLERS).map(|i| make(i, seed * 10_007 + u64::from(i))).collect();
        let mut swarm = ClientSwarm::new(callers, Service::new(CAPACITY_PER_S));
        let start = swarm.run_for(120 * S);
        swarm.now += 20 * S;
        swarm.disconnect_all();
        swarm.service.unavailable = true;
        let unavailable = swarm.run_for(10 * S);
        swarm.service.unavailable = false;
        let recovery = swarm.run_for(120 * S);
        metrics.startup_calls += start.calls as f64 / n / SEEDS as f64;
        metrics.recovery_calls += recovery.calls as f64 / n / SEEDS as f64;
        metrics.outage_calls_per_s += unavailable.calls as f64 / n / 10.0 / SEEDS as f64;
        for period in [start, unavailable, recovery] {
            metrics.peak_load = metrics.peak_load.max(period.max_calls_per_s as f64 / CAPACITY_PER_S);
        }
        metrics.peak_100ms = metrics.peak_100ms.max(recovery.max_calls_per_100ms as f64 / n);
        for period in [start, recovery] {
            match period.settled_ns {
                Some(ns) => metrics.settle_ratio = metrics.settle_ratio.max(ns as f64 / ideal),
                None => metrics.unsettled_runs += 1,
            }
        }
    }
    metrics
}

fn to_json(metrics: &Metrics) -> Value {
    let round = |v: f64| (v * 1_000.0).round() / 1_000.0;
    json!({
        "calls_per_router_start": round(metrics.startup_calls),
        "calls_per_router_back": round(metrics.recovery_calls),
        "outage_calls_per_router_s": round(metrics.outage_calls_per_s),
        "peak_over_capacity_worst": round(metrics.peak_load),
        "peak_100ms_share_worst": round(metrics.peak_100ms),
        "settled_over_ideal_worst": round(metrics.settle_ratio),
        "never_settled": metrics.unsettled_runs,
    })
}

/// Simulates all strategies with a configured number of callers that is right, half, double or
/// unknown, and with the same caller number configured for all callers.
pub fn run() -> Value {
    let cases = [
        ("right", Some(CALLERS), false),
        ("half", Some(CALLERS / 2), false),
        ("double", Some(CALLERS * 2), false),
        ("unknown", None, false),
        ("one_number_for_all", Some(CALLERS), true),
    ];
    let strategies = [
        ("fixed", Strategy::Fixed),
        ("exponential_full_jitter", Strategy::FullJitter),
        ("decorrelated_jitter", Strategy::Decorrelated),
        ("additive", Strategy::Additive),
        ("slot_by_number", Strategy::Slot),
    ];
    let mut results = Map::new();
    for (case, callers, same_number) in cases {
        let number = |i: u32| if same_number { 0 } else { i };
        let mut by_strategy: Map<String, Value> = strategies
            .iter()
            .map(|(name, strategy)| {
                let metrics = simulate(|i, seed| SimpleCaller::new(*strategy, number(i), callers, seed));
                ((*name).to_owned(), to_json(&metrics))
            })
            .collect();
        let spread_ns = PacingParams::default().longest_ns;
        let pace =
            PacingParams { callers, budget_per_s: CAPACITY_PER_S, spread_ns, ..PacingParams::default() };
        let metrics =
            simulate(|i, seed| Pacer::new(PacingParams { caller_index: number(i), ..pace }, seed, 0));
        by_strategy.insert("pacer".into(), to_json(&metrics));
        results.insert(case.into(), Value::Object(by_strategy));
    }
    json!({"callers": CALLERS, "capacity_per_s": CAPACITY_PER_S, "seeds": SEEDS, "count_told": results})
}
