//! Measures how a fleet detects an engine that is silent or slow, with and without shared health
//! evidence, and how fast an operator's override reaches all routers.

use std::path::Path;
use std::time::Duration;

use marljunction_health::bound::propagation_bound_ns;
use marljunction_health::observer::AttemptOutcome;
use marljunction_health::{HealthParams, Node};
use marljunction_testkit::fleet::{Counters, Fleet, Setup};
use marljunction_testkit::health_fleet;
use marljunction_testkit::link::Shape;
use marljunction_testkit::load::Class;
use marljunction_testkit::process::{counter, mean};
use serde_json::{json, Map, Value};

use crate::start::{run_concurrently, Task};

/// Routers in a quick and a full run.
const ROUTERS: [usize; 2] = [8, 40];
const ENGINES: usize = 8;
/// Requests per second at each router.
const REQUEST_RATE: f64 = 2.0;
/// Fleet sizes that are simulated without processes.
const SIMULATED_ROUTERS: [usize; 3] = [8, 40, 500];
const TIMEOUT: Duration = Duration::from_secs(40);
const FAULT_DURATION: Duration = Duration::from_secs(12);
const SECOND_NS: u64 = 1_000_000_000;
/// Time for which a router may still send requests that it assigned before it received an override.
const DRAIN_NS: u64 = 500_000_000;

/// Parameters of a run.
pub struct Run<'a> {
    /// Router executable.
    pub program: &'a Path,
    /// Use fewer routers.
    pub quick: bool,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Fault of the engine.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    Silent,
    Slow,
}

fn request_classes() -> Vec<Class> {
    let base = marljunction_testkit::fleet::classes().swap_remove(0);
    vec![Class {
        work_ms: 30.0,
        spread: 0.4,
        share: 1.0,
        target_latency_ms: 1_000.0,
        deadline_ms: 2_500.0,
        ..base
    }]
}

fn start_fleet(run: &Run, name: &str, shared: bool) -> Result<Fleet, String> {
    let routers = ROUTERS[usize::from(!run.quick)];
    let verdicts = if shared { "verdicts: {}, " } else { "" };
    let mut fleet = Fleet::new(Setup {
        fleet: Some(format!("lease: 1s, {verdicts}limits: {{}}")),
        classes: request_classes(),
        engines: ENGINES,
        engine_links: true,
        rate: REQUEST_RATE,
        seed: run.seed,
        ..Setup::new(run.program, &format!("verdicts-{name}-{shared}-{}", run.seed), routers)
    })?;
    fleet.start_all()?;
    fleet.run_until(TIMEOUT, |f| f.ready() == routers)?;
    fleet.start_clients();
    // Warm up: routers discover each other and learn the usual query times.
    fleet.run(Duration::from_secs(12))?;
    Ok(fleet)
}

/// Attempts that failed without a response from the engine, summed over the fleet.
fn failed_attempts(counters: &[Counters]) -> f64 {
    let names = ["ended_given_up", "ended_timed_out", "ended_cut", "ended_unreachable", "ended_refused"];
    let of = |c: &Counters| names.iter().map(|name| counter(c, name)).sum::<u64>();
    counters.iter().map(of).sum::<u64>() as f64
}

/// Injects a fault into one engine for [`FAULT_DURATION`]; measures failed attempts, lost worth,
/// and the time until the routers exclude the engine and readmit it.
fn measure_fault(run: &Run, name: &str, fault: Fault, shared: bool) -> Result<Value, String> {
    let mut fleet = start_fleet(run, name, shared)?;
    let routers = fleet.routers.len();
    let before = failed_attempts(&fleet.counters(TIMEOUT)?);
    let worth_before = (fleet.sum(|t| t.worth), fleet.sum(|t| t.worth_requested));
    match fault {
        Fault::Silent => {
            let partitioned = Shape { partitioned: true, ..Shape::default() };
            fleet.shape(0, partitioned, partitioned);
        }
        Fault::Slow => {
            let slow = Shape { delay_ns: 350_000_000, ..Shape::default() };
            fleet.shape(0, slow, slow);
        }
    }
    let fault_start = fleet.now();
    let mut out_since_s: Vec<Option<f64>> = vec![None; routers];
    while fleet.now() < fault_start + FAULT_DURATION.as_nanos() as u64 {
        fleet.run(Duration::from_millis(100))?;
        let since = (fleet.now() - fault_start) as f64 / 1e9;
        for (router, after) in out_since_s.iter_mut().enumerate().filter(|(_, after)| after.is_none()) {
            *after = fleet.log_text(router).contains("is out by what the fleet").then_some(since);
        }
    }
    let counters = fleet.counters(TIMEOUT)?;
    let lost = failed_attempts(&counters) - before;
    let worth_after = (fleet.sum(|t| t.worth), fleet.sum(|t| t.worth_requested));
    let worth = (worth_after.0 - worth_before.0) / (worth_after.1 - worth_before.1).max(1e-9);
    let recovery_start = fleet.now();
    fleet.shape(0, Shape::default(), Shape::default());
    let back = fleet.run_until(TIMEOUT, |f| {
        !shared
            || (0..routers).all(|r| f.log_text(r).contains("is back by what the fleet"))
            || fault == Fault::Slow
    })?;
    let back_s = (fleet.now() - recovery_start) as f64 / 1e9;
    let mut out_times_s: Vec<f64> = out_since_s.iter().flatten().copied().collect();
    out_times_s.sort_by(f64::total_cmp);
    let seconds = (fleet.now() - fleet.routers[0].started_ns) as f64 / SECOND_NS as f64;
    let used = fleet.used();
    Ok(json!({
        "lost": lost,
        "lost_a_router": lost / routers as f64,
        "worth_share": worth,
        "routers_that_left_it_out": out_times_s.len(),
        "time_to_out_p50_s": out_times_s.get(out_times_s.len() / 2),
        "time_to_out_worst_s": out_times_s.last(),
        "back_for_all": back,
        "back_s": back_s,
        "datagrams_a_router_s": mean(&counters, "fleet_datagrams") / seconds,
        "bytes_a_router_s": mean(&counters, "fleet_bytes") / seconds,
        "cpu_ms_a_router_s": used.iter().map(|u| u.1).sum::<u64>() as f64 / 1e3 / seconds / routers as f64,
        "memory_kb": used.iter().map(|u| u.0).max(),
        "unanswered": fleet.sum(|t| t.unanswered as f64),
    }))
}

/// An operator excludes an engine at one router while links lose 30 % of the datagrams; measures
/// how soon all routers apply the override.
fn measure_override(run: &Run) -> Result<Value, String> {
    let mut fleet = start_fleet(run, "word", true)?;
    let routers = fleet.routers.len();
    let lossy = Shape {
        loss: 0.3,
        duplication: 0.2,
        delay_ns: SECOND_NS / 50,
        jitter_ns: SECOND_NS / 10,
        ..Shape::default()
    };
    (0..routers).for_each(|to| fleet.shape_peer_link(None, to, lossy));
    let set_ns = fleet.now();
    let answer = fleet.call(1, "POST", "/fleet/engines/disable", "e1")?;
    let has_override =
        |f: &Fleet| (0..routers).all(|r| f.log_text(r).contains("engines excluded fleet-wide: e1"));
    let all = fleet.run_until(TIMEOUT, has_override)?;
    let elapsed_ns = fleet.now() - set_ns;
    let bound = propagation_bound_ns(&HealthParams { routers: routers as u32, ..HealthParams::default() });
    fleet.run(Duration::from_secs(4))?;
    Ok(json!({
        "answer": answer.1,
        "heard_by_all": all,
        "heard_s": elapsed_ns as f64 / 1e9,
        "heard_within_s": bound as f64 / 1e9,
        "heard_ratio": elapsed_ns as f64 / bound as f64,
        "operator_late_sends": fleet.sent_within(1, set_ns + bound + DRAIN_NS, u64::MAX),
    }))
}

/// Simulates the gossip of up to hundreds of routers: time until an override and an exclusion reach
/// all of them, and traffic when idle and with evidence that changes each second.
fn simulate(routers: usize, seed: u64) -> Value {
    let mut fleet = health_fleet::Fleet::new(routers, seed);
    fleet.degrade_network();
    let bound = propagation_bound_ns(&fleet.params);
    let idle_from = (fleet.messages, fleet.bytes);
    fleet.run(5 * health_fleet::S);
    let per_router_s = |n: u64, seconds: f64| n as f64 / seconds / routers as f64;
    let idle = (fleet.messages - idle_from.0, fleet.bytes - idle_from.1);
    let now = fleet.now;
    fleet.node(0).set_override(now, "e1", true);
    let override_ns = fleet.run_until(4 * bound, "heard", |f| f.all(|n| n.overrides().get("e1").is_some()));
    (0..3).for_each(|at| fleet.attempt_ended(at, 4, AttemptOutcome::Silent));
    let excluded = |n: &mut Node| n.evaluation().engines.contains_key(&4);
    let exclusion_ns = fleet.run_until(4 * bound, "out", |f| f.all(excluded));
    let busy_from = (fleet.messages, fleet.bytes);
    for second in 0..5 {
        for router in 0..routers.min(40) {
            fleet.attempt_ended(
                router,
                6,
                if second % 2 == 0 {
                    AttemptOutcome::Silent
                } else {
                    AttemptOutcome::Served(health_fleet::MS)
                },
            );
        }
        fleet.run(health_fleet::S);
    }
    let busy = (fleet.messages - busy_from.0, fleet.bytes - busy_from.1);
    json!({
        "word_heard_s": override_ns as f64 / 1e9,
        "out_for_all_s": exclusion_ns as f64 / 1e9,
        "heard_within_s": bound as f64 / 1e9,
        "heard_ratio": override_ns.max(exclusion_ns) as f64 / bound as f64,
        "idle_messages_a_router_s": per_router_s(idle.0, 5.0),
        "idle_bytes_a_router_s": per_router_s(idle.1, 5.0),
        "busy_messages_a_router_s": per_router_s(busy.0, 5.0),
        "busy_bytes_a_router_s": per_router_s(busy.1, 5.0),
    })
}

/// Runs all measurements.
///
/// # Errors
/// If a fleet cannot be started.
pub fn run(run: &Run) -> Result<Value, String> {
    let mut tasks: Vec<Task> = Vec::new();
    for (name, fault) in [("silent", Fault::Silent), ("slow", Fault::Slow)] {
        for (mode, shared) in [("alone", false), ("shared", true)] {
            let task = move || measure_fault(run, name, fault, shared);
            tasks.push((format!("{name}_{mode}"), Box::new(task)));
        }
    }
    tasks.push(("word".into(), Box::new(move || measure_override(run))));
    let results: Map<String, Value> = match run.quick {
        true => run_concurrently(tasks)?,
        // Large fleets run one after the other: together they would saturate the machine.
        false => tasks.into_iter().map(|(name, task)| Ok((name, task()?))).collect::<Result<_, String>>()?,
    };
    let of = |name: &str, key: &str| results[name][key].as_f64().unwrap_or(f64::MAX);
    Ok(json!({
        "silent_lost": of("silent_shared", "lost") / of("silent_alone", "lost").max(1.0),
        "slow_worth_over_alone": of("slow_shared", "worth_share") / of("slow_alone", "worth_share").max(1e-9),
        "time_to_out_p50_s": of("silent_shared", "time_to_out_p50_s"),
        "time_to_out_worst_s": of("silent_shared", "time_to_out_worst_s"),
        "back_s": of("silent_shared", "back_s"),
        "heard_ratio": of("word", "heard_ratio"),
        "operator_late_sends": of("word", "operator_late_sends"),
        "plays": results,
        "stepped": SIMULATED_ROUTERS.iter().map(|n| (n.to_string(), simulate(*n, run.seed))).collect::<Map<String, Value>>(),
        "quick": run.quick,
        "seed": run.seed,
    }))
}
