//! Engines that have just started, under the load of a whole fleet: each router's own part of their budgets beside budgets that
//! the fleet shares.

use std::path::Path;
use std::time::Duration;

use marljunction_testkit::fleet::{Fleet, Setup};
use marljunction_testkit::process::mean;
use serde_json::{json, Map, Value};

use crate::start::{together, Play};

/// Routers, small and large.
const ROUTERS: [usize; 2] = [20, 200];
const ENGINES: usize = 6;
/// Requests a second of all clients: about what the engines bear as they have just started.
const RATE: f64 = 200.0;
/// Part of the fleet that is replaced at once.
const SETTLE: Duration = Duration::from_secs(40);
const SECOND_NS: u64 = 1_000_000_000;
/// Time over which worth is counted: engines are cold for longer.
const COUNTED: Duration = Duration::from_secs(10);

/// Engines start again under a fleet that has been up for a while, or with it.
#[derive(Clone, Copy, PartialEq)]
enum When {
    Replaced,
    Together,
}

fn play(program: &Path, routers: usize, shared: bool, when: When, seed: u64) -> Result<Value, String> {
    let cold = if shared { "shared" } else { "own" };
    let name = format!("cold-{routers}-{cold}-{}-{seed}", when == When::Replaced);
    let mut fleet = Fleet::new(Setup {
        fleet: Some(format!("lease: 1s, cold: \"{cold}\", limits: {{}}")),
        engines: ENGINES,
        cold: true,
        seed,
        ..Setup::new(program, &name, routers)
    })?;
    // Uneven: a few routers get several times the mean.
    let weights: Vec<f64> = (0..routers).map(|at| 1.0 / (at % 10 + 1) as f64).collect();
    let sum: f64 = weights.iter().sum();
    fleet.start_clients_at(&weights.iter().map(|w| RATE * w / sum).collect::<Vec<f64>>());
    let began = fleet.now();
    fleet.start_all()?;
    if when == When::Replaced {
        fleet.run_until(SETTLE, |f| f.ready() == routers)?;
        fleet.run(Duration::from_secs(16))?;
    }
    let tallies = |f: &Fleet| (f.sum(|t| t.worth), f.sum(|t| t.worth_asked));
    let before = tallies(&fleet);
    if when == When::Replaced {
        fleet.restart_engines_cold();
    }
    fleet.run(COUNTED)?;
    let after = tallies(&fleet);
    let peak_overload =
        fleet.engines.iter().filter_map(|e| Some(e.cold.as_ref()?.peak_overload)).fold(0.0, f64::max);
    let down = fleet.engines.iter().filter(|e| !e.is_up()).count();
    let counters = fleet.counters(Duration::from_secs(8))?;
    let seconds = (fleet.now() - began) as f64 / SECOND_NS as f64;
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

/// Measures it all: by routers, by when the engines start, and by whether the fleet shares.
///
/// # Errors
/// Where a fleet can't be started.
pub fn run(program: &Path, quick: bool, seed: u64) -> Result<Value, String> {
    let mut told = Map::new();
    for routers in ROUTERS.into_iter().take(if quick { 1 } else { 2 }) {
        for (when_name, when) in [("replaced", When::Replaced), ("together", When::Together)] {
            let plays: Vec<Play> = [("own", false), ("shared", true)]
                .map(|(name, shared)| -> Play {
                    (name.to_owned(), Box::new(move || play(program, routers, shared, when, seed)))
                })
                .into_iter()
                .collect();
            // Hundreds of processes at once would measure the machine.
            let plays = match routers <= ROUTERS[0] {
                true => together(plays)?,
                false => plays
                    .into_iter()
                    .map(|(name, play)| Ok((name, play()?)))
                    .collect::<Result<_, String>>()?,
            };
            told.insert(format!("{routers}_{when_name}"), Value::Object(plays));
        }
    }
    let worst =
        told.values().filter_map(|v| v["shared"]["cold_peak_over_limit"].as_f64()).fold(0.0, f64::max);
    let ratio = |v: &Value| Some(v["shared"]["worth_share"].as_f64()? / v["own"]["worth_share"].as_f64()?);
    let gains: Map<String, Value> = told.iter().map(|(k, v)| (k.clone(), json!(ratio(v)))).collect();
    Ok(json!({"cold_peak_over_limit": worst, "worth_over_own": gains, "plays": told}))
}
