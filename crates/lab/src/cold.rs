//! Measures cold engines under the load of a fleet: query budgets split statically among the
//! routers compared with budgets that the fleet shares.

use std::path::Path;
use std::time::Duration;

use marljunction_testkit::fleet::{Fleet, Setup};
use marljunction_testkit::process::mean;
use serde_json::{json, Map, Value};

use crate::start::{run_concurrently, Task};

/// Routers in a small and a large fleet.
const ROUTERS: [usize; 2] = [20, 200];
const ENGINES: usize = 6;
/// Requests per second of all clients together: about what the engines sustain while cold.
const REQUEST_RATE: f64 = 200.0;
const MAX_START_TIME: Duration = Duration::from_secs(40);
const SECOND_NS: u64 = 1_000_000_000;
/// Time over which worth is counted; engines stay cold for longer.
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// When the engines start.
#[derive(Clone, Copy, PartialEq)]
enum EngineStart {
    /// All are restarted after the fleet has been running for a while.
    InRunningFleet,
    /// Together with the routers.
    WithFleet,
}

fn measure(
    program: &Path,
    routers: usize,
    shared: bool,
    engine_start: EngineStart,
    seed: u64,
) -> Result<Value, String> {
    let cold = if shared { "shared" } else { "own" };
    let name = format!("cold-{routers}-{cold}-{}-{seed}", engine_start == EngineStart::InRunningFleet);
    let mut fleet = Fleet::new(Setup {
        fleet: Some(format!("lease: 1s, cold: \"{cold}\", limits: {{}}")),
        engines: ENGINES,
        cold: true,
        seed,
        ..Setup::new(program, &name, routers)
    })?;
    // Uneven load: a few routers receive several times the mean.
    let weights: Vec<f64> = (0..routers).map(|at| 1.0 / (at % 10 + 1) as f64).collect();
    let sum: f64 = weights.iter().sum();
    fleet.start_clients_at(&weights.iter().map(|w| REQUEST_RATE * w / sum).collect::<Vec<f64>>());
    let start_ns = fleet.now();
    fleet.start_all()?;
    if engine_start == EngineStart::InRunningFleet {
        fleet.run_until(MAX_START_TIME, |f| f.ready() == routers)?;
        fleet.run(Duration::from_secs(16))?;
    }
    let tallies = |f: &Fleet| (f.sum(|t| t.worth), f.sum(|t| t.worth_requested));
    let before = tallies(&fleet);
    if engine_start == EngineStart::InRunningFleet {
        fleet.restart_engines_cold();
    }
    fleet.run(MEASURED_TIME)?;
    let after = tallies(&fleet);
    let peak_overload =
        fleet.engines.iter().filter_map(|e| Some(e.cold.as_ref()?.peak_overload)).fold(0.0, f64::max);
    let down = fleet.engines.iter().filter(|e| !e.is_up()).count();
    let counters = fleet.counters(Duration::from_secs(8))?;
    let seconds = (fleet.now() - start_ns) as f64 / SECOND_NS as f64;
    let used = fleet.used();
    Ok(json!({
        "cold_peak_over_limit": peak_overload,
        "engines_down": down,
        "worth_share": (after.0 - before.0) / (after.1 - before.1).max(1e-9),
        "peers_known": mean(&counters, "fleet_peers"),
        "datagrams_a_router_s": mean(&counters, "fleet_datagrams") / seconds,
        "bytes_a_router_s": mean(&counters, "fleet_bytes") / seconds,
        "cpu_ms_a_router_s": used.iter().map(|u| u.1).sum::<u64>() as f64 / 1e3 / seconds / routers as f64,
        "double_runs": fleet.audit().duplicate_runs,
    }))
}

/// Measures each combination of fleet size, time of the engines' start, and static or shared
/// budgets.
///
/// # Errors
/// If a fleet cannot be started.
pub fn run(program: &Path, quick: bool, seed: u64) -> Result<Value, String> {
    let mut results = Map::new();
    for routers in ROUTERS.into_iter().take(if quick { 1 } else { 2 }) {
        for (start_name, engine_start) in
            [("replaced", EngineStart::InRunningFleet), ("together", EngineStart::WithFleet)]
        {
            let tasks: Vec<Task> = [("own", false), ("shared", true)]
                .map(|(name, shared)| -> Task {
                    (name.to_owned(), Box::new(move || measure(program, routers, shared, engine_start, seed)))
                })
                .into_iter()
                .collect();
            // Large fleets run one after the other: together they would saturate the machine.
            let runs = match routers <= ROUTERS[0] {
                true => run_concurrently(tasks)?,
                false => tasks
                    .into_iter()
                    .map(|(name, task)| Ok((name, task()?)))
                    .collect::<Result<_, String>>()?,
            };
            results.insert(format!("{routers}_{start_name}"), Value::Object(runs));
        }
    }
    let worst =
        results.values().filter_map(|v| v["shared"]["cold_peak_over_limit"].as_f64()).fold(0.0, f64::max);
    let ratio = |v: &Value| Some(v["shared"]["worth_share"].as_f64()? / v["own"]["worth_share"].as_f64()?);
    let gains: Map<String, Value> = results.iter().map(|(k, v)| (k.clone(), json!(ratio(v)))).collect();
    Ok(json!({"cold_peak_over_limit": worst, "worth_over_own": gains, "plays": results}))
}
