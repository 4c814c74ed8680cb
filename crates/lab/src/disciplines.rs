//! Compares queueing disciplines and service orders of the fair queue in simulated time.

use std::time::Instant;

use marljunction_fair_queue::fair::{
    DeficitRoundRobin, Discipline, StartTimeFairQueue, VirtualClock, WorstCaseFairQueue,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use serde_json::{json, Value};

/// Weights of the flows. All are always backlogged but [`LIGHT_FLOW`], which has one request now
/// and then.
const WEIGHTS: [f64; 5] = [8.0, 4.0, 2.0, 1.0, 1.0];
const LIGHT_FLOW: usize = 4;
const PICKS: usize = 40_000;

/// Fairness, wait of the light flow (in units of served cost) and time per pick of a discipline.
/// `estimate_sigma` is the deviation of the logarithm of estimated over true cost.
fn measure(discipline: &mut dyn Discipline, estimate_sigma: f64, seed: u64) -> Value {
    let mut rng = StdRng::seed_from_u64(seed);
    let cost = LogNormal::new(0.0, 0.9).expect("valid distribution parameters");
    let estimate_error =
        LogNormal::new(0.0, estimate_sigma.max(1e-9)).expect("valid distribution parameters");
    let mut served_cost = [0.0; WEIGHTS.len()];
    let (mut max_gap, mut served, mut waits, mut waiting_since) = (0.0_f64, 0.0, Vec::new(), None);
    let draw = |rng: &mut StdRng| {
        let true_cost: f64 = cost.sample(rng);
        (true_cost, true_cost * estimate_error.sample(rng))
    };
    let mut next: Vec<(f64, f64)> = (0..WEIGHTS.len()).map(|_| draw(&mut rng)).collect();
    (0..LIGHT_FLOW).for_each(|flow| discipline.activate(flow, next[flow].1));
    let started = Instant::now();
    for pick_index in 0..PICKS {
        if waiting_since.is_none() && rng.gen::<f64>() < 0.02 {
            waiting_since = Some(served);
            discipline.activate(LIGHT_FLOW, next[LIGHT_FLOW].1);
        }
        let Some(flow) = discipline.pick() else { break };
        let (true_cost, estimate) = next[flow];
        next[flow] = draw(&mut rng);
        discipline.charge(flow, estimate, next[flow].1);
        discipline.correct(flow, true_cost - estimate);
        if flow == LIGHT_FLOW {
            waits.push(served - waiting_since.take().unwrap_or(served));
            discipline.deactivate(LIGHT_FLOW);
        }
        served += true_cost;
        served_cost[flow] += true_cost;
        if pick_index > 100 {
            let shares: Vec<f64> = (0..LIGHT_FLOW).map(|f| served_cost[f] / WEIGHTS[f]).collect();
            let (min_share, max_share) =
                shares.iter().fold((f64::MAX, 0.0_f64), |(a, b), s| (a.min(*s), b.max(*s)));
            max_gap = max_gap.max(max_share - min_share);
        }
    }
    let ns = started.elapsed().as_nanos() as f64 / PICKS as f64;
    waits.sort_by(f64::total_cmp);
    let at = |quantile: f64| waits.get((waits.len() as f64 * quantile) as usize).copied().unwrap_or(0.0);
    json!({"furthest_apart": max_gap, "light_wait_mean": waits.iter().sum::<f64>() / waits.len().max(1) as f64,
           "light_wait_p99": at(0.99), "ns_per_turn": ns})
}

/// Share of the next 200 picks that a flow gets once a second flow of equal weight becomes active,
/// after 1000 picks of its own.
fn share_after_idle(discipline: &mut dyn Discipline) -> f64 {
    discipline.activate(0, 1.0);
    for _ in 0..1_000 {
        if let Some(flow) = discipline.pick() {
            discipline.charge(flow, 1.0, 1.0);
        }
    }
    discipline.activate(1, 1.0);
    let mut served_cost = [0.0; 2];
    for _ in 0..200 {
        if let Some(flow) = discipline.pick() {
            discipline.charge(flow, 1.0, 1.0);
            served_cost[flow.min(1)] += 1.0;
        }
    }
    served_cost[0] / 200.0
}

/// Simulates a single server for 600 s under `load` times its capacity. Returns the useful work as
/// a share of its capacity, and the mean wait (ms). Requests that have waited `stale_ms` are
/// dropped.
fn simulate_order(newest_first: bool, stale_ms: f64, load: f64, seed: u64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let gap = Exp::new(load / 100.0).expect("valid distribution parameters");
    let (mut now, mut free_at, mut queue) = (0.0, 0.0, std::collections::VecDeque::<f64>::new());
    let (mut in_time, mut served, mut waits) = (0.0, 0.0, 0.0);
    while now < 600_000.0 {
        now += gap.sample(&mut rng);
        while free_at <= now {
            queue.retain(|arrived| free_at - arrived <= stale_ms);
            let next = if newest_first { queue.pop_back() } else { queue.pop_front() };
            let Some(arrived) = next else {
                free_at = now;
                break;
            };
            // An answer takes three times the service time, as an engine shares its cores among
            // queries.
            let service_ms = 100.0 * rng.gen_range(0.5..1.5);
            in_time += f64::from(u8::from(free_at + service_ms * 3.0 - arrived <= 1_200.0));
            served += 1.0;
            waits += free_at - arrived;
            free_at += service_ms;
        }
        queue.push_back(now);
    }
    (in_time / 6_000.0, waits / f64::max(served, 1.0))
}

/// Creates a discipline for flows of the given weights.
type MakeDiscipline = fn(&[f64]) -> Box<dyn Discipline>;

/// Runs all comparisons.
pub fn run(seed: u64) -> Value {
    let constructors: [(&str, MakeDiscipline); 4] = [
        ("start-time fair queueing", |w| Box::new(StartTimeFairQueue::new(w, f64::INFINITY))),
        ("deficit round robin", |w| Box::new(DeficitRoundRobin::new(w, 1.0))),
        ("WF2Q+", |w| Box::new(WorstCaseFairQueue::new(w))),
        ("virtual deadlines", |w| Box::new(VirtualClock::new(w))),
    ];
    let disciplines: serde_json::Map<String, Value> = constructors
        .iter()
        .map(|(name, make)| {
            let metrics = json!({
                "exact": measure(&mut *make(&WEIGHTS), 0.0, seed),
                "rough": measure(&mut *make(&WEIGHTS), 1.0, seed),
                "share_after_having_all": share_after_idle(&mut *make(&[1.0, 1.0])),
            });
            ((*name).to_owned(), metrics)
        })
        .collect();
    let orders = [("oldest first", false), ("newest first", true)].map(|(name, newest)| {
        let at = |stale: f64, load: f64| {
            let (in_time, wait) = simulate_order(newest, stale, load, seed);
            json!({"in_time": in_time, "mean_wait_ms": wait})
        };
        (
            name.to_owned(),
            json!({"overload_1.5_stale_400": at(400.0, 1.5), "overload_1.5_stale_1100": at(1_100.0, 1.5),
                                 "load_0.8": at(1_100.0, 0.8)}),
        )
    });
    json!({"disciplines": disciplines, "orders": orders.into_iter().collect::<Value>()})
}
