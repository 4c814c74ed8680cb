//! One heavy tenant overloads a router that serves two light ones, then half of the engines fail.
//! Runs the same load against three routers: without a queue, with a FIFO queue and with the fair
//! queue.

use std::path::Path;
use std::time::Duration;

use marljunction_testkit::load::{Class, RequestStats, Source};
use marljunction_testkit::test_bed::{ExitReport, Setup, TestBed};
use serde_json::{json, Value};

use crate::fair_queue_cost;

const MAX_RETRY_AFTER_MS: u64 = 2_000;
const ENGINES: usize = 8;
/// Cores of each engine.
const CORES: f64 = 8.0;
/// Tenants and their shares (%).
const TENANTS: [(&str, f64); 3] = [("heavy", 73.0), ("light-a", 16.0), ("light-b", 11.0)];
/// Load of all tenants at their shares, relative to the capacity.
const BASE_LOAD_SHARE: f64 = 0.6;

fn classes() -> Vec<Class> {
    let lookup = Class {
        name: "lookup",
        share: 0.84,
        work_ms: 80.0,
        spread: 0.8,
        threads: 1.0,
        target_latency_ms: 1_200.0,
        target_latency_stretch: 1.5,
        deadline_ms: 6_000.0,
        worth: 1.0,
        late_worth: 0.0,
        load: false,
    };
    let report = Class {
        name: "report",
        share: 0.10,
        work_ms: 600.0,
        threads: 4.0,
        target_latency_ms: 2_000.0,
        target_latency_stretch: 2.5,
        deadline_ms: 10_000.0,
        worth: 7.5,
        late_worth: 0.3,
        ..lookup.clone()
    };
    let load = Class {
        name: "service-load",
        share: 0.06,
        work_ms: 400.0,
        threads: 2.0,
        target_latency_ms: 3_000.0,
        target_latency_stretch: 3.0,
        deadline_ms: 10_000.0,
        worth: 4.0,
        late_worth: 0.6,
        load: true,
        ..lookup.clone()
    };
    vec![lookup, report, load]
}

/// Requests per second that the engines can serve.
fn capacity_per_s() -> f64 {
    let mean_ms: f64 = classes().iter().map(|c| c.share * c.work_ms).sum();
    ENGINES as f64 * CORES * 1_000.0 / mean_ms
}

/// All tenants send their shares of the base load, the heavy one `heavy_factor` times its share.
fn sources(heavy_factor: f64) -> Vec<Source> {
    let source = |(tenant, share): &(&'static str, f64), times: f64, clients| Source {
        tenant,
        rate: capacity_per_s() * BASE_LOAD_SHARE * share / 100.0 * times,
        clients,
        estimate_ratio: 1.0,
    };
    vec![source(&TENANTS[0], heavy_factor, 5_000), source(&TENANTS[1], 1.0, 40), source(&TENANTS[2], 1.0, 40)]
}

/// Measurements of one router.
struct Outcome {
    tallies: Vec<Vec<RequestStats>>,
    exit_report: ExitReport,
    duplicate_runs: u64,
}

fn measure(
    name: &str,
    fair_queue: Option<Value>,
    quick: bool,
    program: &Path,
    seed: u64,
) -> Result<Outcome, String> {
    let setup = Setup {
        program: program.to_owned(),
        name: format!("lab-{name}-{seed}"),
        engines: ENGINES,
        cores: CORES,
        tenants: TENANTS.to_vec(),
        classes: classes(),
        fair_queue,
        max_retry_after_ms: MAX_RETRY_AFTER_MS,
        return_share: 0.2,
        seed,
    };
    let seconds = |s: f64| Duration::from_secs_f64(if quick { s } else { s * 5.0 });
    let mut test_bed = TestBed::start(&setup)?;
    // Warm up: the router learns the needs of its request classes.
    test_bed.run_workload(sources(1.0), seconds(2.0))?;
    test_bed.run_workload(sources(1.0), seconds(5.0))?;
    test_bed.drain(Duration::from_secs(3))?;
    test_bed.run_workload(sources(0.0), seconds(4.0))?;
    test_bed.run_workload(sources(10.0), seconds(1.0))?;
    test_bed.run_workload(sources(10.0), seconds(9.0))?;
    test_bed.kill(ENGINES / 2);
    test_bed.run_workload(sources(10.0), seconds(5.0))?;
    test_bed.drain(Duration::from_secs(5))?;
    test_bed.load.finish();
    let (tallies, duplicate_runs) = (test_bed.load.tallies.clone(), test_bed.duplicate_runs());
    Ok(Outcome { tallies, exit_report: test_bed.stop()?, duplicate_runs })
}

/// Phases of [`measure`] that are compared.
const BASE_PHASE: usize = 1;
const LIGHT_ONLY_PHASE: usize = 2;
const FLOOD_PHASE: usize = 4;
const HALF_LOST_PHASE: usize = 5;

fn ratio(a: f64, b: f64) -> f64 {
    if b > 0.0 {
        a / b
    } else {
        0.0
    }
}

impl Outcome {
    /// Worth served over worth requested.
    fn worth_ratio(&self, phase: usize, source: usize) -> f64 {
        let tally = &self.tallies[phase][source];
        ratio(tally.worth, tally.worth_requested)
    }

    /// Worth ratio of each light tenant, relative to the phase without the heavy tenant.
    fn light_worth_ratio(&self, phase: usize) -> [f64; 2] {
        [1, 2]
            .map(|source| ratio(self.worth_ratio(phase, source), self.worth_ratio(LIGHT_ONLY_PHASE, source)))
    }

    fn sum(&self, phase: usize, of: fn(&RequestStats) -> f64) -> f64 {
        self.tallies[phase].iter().map(of).sum()
    }

    /// Share of the clients returning at their reserved time that were served.
    fn served_reservation_ratio(&self, phase: usize) -> f64 {
        ratio(self.sum(phase, |t| t.returned_served as f64), self.sum(phase, |t| t.returned as f64))
    }

    fn all(&self, of: fn(&RequestStats) -> u64) -> u64 {
        self.tallies.iter().flatten().map(of).sum()
    }

    fn to_json(&self) -> Value {
        let phases = ["learn", "calm", "alone", "surge", "flood", "half_lost"];
        let tallies: serde_json::Map<String, Value> = phases
            .iter()
            .zip(&self.tallies)
            .map(|(phase, tallies)| {
                let by_name =
                    TENANTS.iter().zip(tallies).map(|((name, _), t)| ((*name).to_owned(), json!(t)));
                ((*phase).to_owned(), Value::Object(by_name.collect()))
            })
            .collect();
        let fair_queue: serde_json::Map<String, Value> = self
            .exit_report
            .fair_queue
            .iter()
            .map(|(name, fields)| {
                (name.clone(), fields.iter().map(|(k, v)| (k.clone(), json!(v))).collect::<Value>())
            })
            .collect();
        let [a, b] = self.light_worth_ratio(FLOOD_PHASE);
        let worth = |source: usize| self.tallies[FLOOD_PHASE][source].worth;
        let total: f64 = (0..3).map(worth).sum();
        json!({
            "light_worth_kept": {"light-a": a, "light-b": b},
            "light_worth_kept_half_lost": self.light_worth_ratio(HALF_LOST_PHASE),
            "share_of_worth_in_flood": (0..3).map(|s| ratio(worth(s), total)).collect::<Vec<f64>>(),
            "worth_in_flood": total,
            "worth_calm": self.sum(BASE_PHASE, |t| t.worth),
            "promise_kept": self.served_reservation_ratio(FLOOD_PHASE),
            "promise_kept_half_lost": self.served_reservation_ratio(HALF_LOST_PHASE),
            "promised_returns": [self.sum(FLOOD_PHASE, |t| t.returned as f64), self.sum(HALF_LOST_PHASE, |t| t.returned as f64)],
            "peak_memory_kb": self.exit_report.peak_kb,
            "double_runs": self.duplicate_runs,
            "unanswered": self.all(|t| t.unanswered),
            "answered_twice": self.all(|t| t.twice),
            "ended_well": self.exit_report.ended_well,
            "taken": self.exit_report.counter("taken"),
            "phases": tallies,
            "door": fair_queue,
        })
    }
}

/// Runs the three routers concurrently.
///
/// # Errors
/// If a router cannot be started or a run fails.
pub fn run(quick: bool, program: &Path, seed: u64) -> Result<Value, String> {
    // First and on its own, as concurrent runs would distort its timing.
    let cost = fair_queue_cost::run(seed);
    let queue_configs = [
        ("off", None),
        ("fifo", Some(json!({"order": "fifo"}))),
        ("fair", Some(json!({"order": "fair", "client": {"field": "who"}}))),
    ];
    let outcomes: Vec<Result<Outcome, String>> = std::thread::scope(|scope| {
        let runs: Vec<_> = queue_configs
            .iter()
            .map(|(name, fair_queue)| {
                scope.spawn(move || measure(name, fair_queue.clone(), quick, program, seed))
            })
            .collect();
        runs.into_iter().map(|run| run.join().unwrap_or_else(|_| Err("a run panicked".into()))).collect()
    });
    let outcomes: Vec<Outcome> = outcomes.into_iter().collect::<Result<_, _>>()?;
    let [off, _, fair] = &outcomes[..] else { return Err("expected three runs".into()) };
    let base_worth = |o: &Outcome| o.sum(BASE_PHASE, |t| t.worth);
    let light = fair.light_worth_ratio(FLOOD_PHASE);
    let variants: serde_json::Map<String, Value> =
        queue_configs.iter().zip(&outcomes).map(|((name, _), o)| ((*name).to_owned(), o.to_json())).collect();
    Ok(json!({
        "light_worth_kept": light[0].min(light[1]),
        "promise_kept": fair.served_reservation_ratio(FLOOD_PHASE),
        "promise_kept_half_lost": fair.served_reservation_ratio(HALF_LOST_PHASE),
        "bytes_100k_over_100": cost["bytes_100k_over_100"],
        "idle_cost": ratio(base_worth(fair), base_worth(off)),
        "ns_per_request": cost["ns_per_request"],
        "double_runs": outcomes.iter().map(|o| o.duplicate_runs).sum::<u64>(),
        "unanswered": outcomes.iter().map(|o| o.all(|t| t.unanswered)).sum::<u64>(),
        "quick": quick,
        "seed": seed,
        "door_alone": cost,
        "variants": variants,
    }))
}
