//! Ways to pace calls to a service that a whole fleet calls, against each other in stepped time: a start, an outage of ten
//! seconds, and the return.

use marljunction_pacing::{Failure, Pace, Pacer};
use marljunction_testkit::swarm::{ClientSwarm, PacingPolicy, Service};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Map, Value};

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;
/// Shortest and longest wait of the ways that back off (ns).
const BASE_NS: u64 = 100 * MS;
const CAP_NS: u64 = 4_300 * MS;
/// Callers, and calls a second that the service takes.
const CALLERS: u32 = 200;
const CAPACITY: f64 = 50.0;
/// Seeds that each way is played with.
const SEEDS: u64 = 50;

/// How the next wait is drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    /// Always the shortest: the program before.
    Fixed,
    /// Anything up to a limit that doubles.
    FullJitter,
    /// Anything from the shortest to three times the last.
    Decorrelated,
    /// A limit that grows by the shortest each time, half of it by chance.
    Additive,
    /// By number alone: a place in a period that the budget gives.
    Slot,
}

/// A caller that waits by one rule alone. It obeys `Retry-After` where its rule backs off at all.
struct Simple {
    rule: Rule,
    draws: StdRng,
    due: Option<u64>,
    last_ns: u64,
    tries: u32,
    place: f64,
    period_ns: u64,
}

impl Simple {
    fn new(rule: Rule, me: u32, told: Option<u32>, seed: u64) -> Simple {
        let callers = f64::from(told.unwrap_or(1));
        let period_ns = (callers / CAPACITY * 1e9) as u64;
        let place = f64::from(me) / callers;
        let draws = StdRng::seed_from_u64(seed);
        let mut way = Simple { rule, draws, due: Some(0), last_ns: BASE_NS, tries: 0, place, period_ns };
        if rule == Rule::Slot {
            way.due = Some((place.fract() * period_ns as f64) as u64);
        }
        way
    }

    fn next(&mut self) -> u64 {
        self.tries += 1;
        match self.rule {
            Rule::Fixed => BASE_NS,
            Rule::FullJitter => {
                let high = (BASE_NS << self.tries.min(20)).min(CAP_NS);
                self.draws.gen_range(0..=high)
            }
            Rule::Decorrelated => {
                self.last_ns = self.draws.gen_range(BASE_NS..=self.last_ns * 3).min(CAP_NS);
                self.last_ns
            }
            Rule::Additive => {
                let high = (BASE_NS * u64::from(self.tries)).min(CAP_NS);
                self.draws.gen_range(high / 2..=high)
            }
            Rule::Slot => self.period_ns.max(BASE_NS),
        }
    }
}

impl PacingPolicy for Simple {
    fn due_ns(&self) -> Option<u64> {
        self.due
    }

    fn call(&mut self, now: u64) -> bool {
        let due = self.due.is_some_and(|due| now >= due);
        self.due = self.due.filter(|_| !due);
        due
    }

    fn taken(&mut self, _: u64) {
        (self.tries, self.last_ns) = (0, BASE_NS);
    }

    fn failed(&mut self, now: u64, failure: Failure) {
        let wait = self.next();
        let asked = match failure {
            Failure::TurnedAway { after_ns: Some(after) } if self.rule != Rule::Fixed => after,
            _ => 0,
        };
        self.due = Some(now + wait + asked);
    }

    fn ended(&mut self, now: u64) {
        let wait = match self.rule {
            Rule::Slot => (self.place.fract() * self.period_ns as f64) as u64,
            _ => self.next(),
        };
        self.due = Some(now + wait);
    }
}

/// The figures of one way, each the worst or the mean over all seeds.
#[derive(Default)]
struct Figures {
    start_calls: f64,
    back_calls: f64,
    away_calls_s: f64,
    peak: f64,
    peak_100ms: f64,
    settled: f64,
    unsettled: u64,
}

fn play<W: PacingPolicy>(make: impl Fn(u32, u64) -> W) -> Figures {
    let mut figures = Figures::default();
    let n = f64::from(CALLERS);
    let ideal = n / CAPACITY * 1e9;
    for seed in 0..SEEDS {
        let callers = (0..CALLERS).map(|i| make(i, seed * 10_007 + u64::from(i))).collect();
        let mut swarm = ClientSwarm::new(callers, Service::new(CAPACITY));
        let start = swarm.run_for(120 * S);
        swarm.now += 20 * S;
        swarm.disconnect_all();
        swarm.service.unavailable = true;
        let unavailable = swarm.run_for(10 * S);
        swarm.service.unavailable = false;
        let back = swarm.run_for(120 * S);
        figures.start_calls += start.calls as f64 / n / SEEDS as f64;
        figures.back_calls += back.calls as f64 / n / SEEDS as f64;
        figures.away_calls_s += unavailable.calls as f64 / n / 10.0 / SEEDS as f64;
        for passed in [start, unavailable, back] {
            figures.peak = figures.peak.max(passed.max_calls_per_s as f64 / CAPACITY);
        }
        figures.peak_100ms = figures.peak_100ms.max(back.max_calls_per_100ms as f64 / n);
        for passed in [start, back] {
            match passed.settled_ns {
                Some(ns) => figures.settled = figures.settled.max(ns as f64 / ideal),
                None => figures.unsettled += 1,
            }
        }
    }
    figures
}

fn told(figures: &Figures) -> Value {
    let round = |v: f64| (v * 1_000.0).round() / 1_000.0;
    json!({
        "calls_per_router_start": round(figures.start_calls),
        "calls_per_router_back": round(figures.back_calls),
        "outage_calls_per_router_s": round(figures.away_calls_s),
        "peak_over_capacity_worst": round(figures.peak),
        "peak_100ms_share_worst": round(figures.peak_100ms),
        "settled_over_ideal_worst": round(figures.settled),
        "never_settled": figures.unsettled,
    })
}

/// Plays all ways with the count of callers right, half, double and unknown, and with one number for all by mistake.
pub fn run() -> Value {
    let counts = [
        ("right", Some(CALLERS), false),
        ("half", Some(CALLERS / 2), false),
        ("double", Some(CALLERS * 2), false),
        ("unknown", None, false),
        ("one_number_for_all", Some(CALLERS), true),
    ];
    let rules = [
        ("fixed", Rule::Fixed),
        ("exponential_full_jitter", Rule::FullJitter),
        ("decorrelated_jitter", Rule::Decorrelated),
        ("additive", Rule::Additive),
        ("slot_by_number", Rule::Slot),
    ];
    let mut all = Map::new();
    for (count, callers, same) in counts {
        let number = |i: u32| if same { 0 } else { i };
        let mut ways: Map<String, Value> = rules
            .iter()
            .map(|(name, rule)| {
                let figures = play(|i, seed| Simple::new(*rule, number(i), callers, seed));
                ((*name).to_owned(), told(&figures))
            })
            .collect();
        let spread_ns = Pace::default().longest_ns;
        let pace = Pace { callers, budget_per_s: CAPACITY, spread_ns, ..Pace::default() };
        let figures = play(|i, seed| Pacer::new(Pace { me: number(i), ..pace }, seed, 0));
        ways.insert("pacer".into(), told(&figures));
        all.insert(count.into(), Value::Object(ways));
    }
    json!({"callers": CALLERS, "capacity_per_s": CAPACITY, "seeds": SEEDS, "count_told": all})
}
