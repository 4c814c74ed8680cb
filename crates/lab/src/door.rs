//! A heavy tenant floods two light ones; half of the engines die. The same stand-ins and the same draws for three
//! routers: one with no door, one with a plain queue, one with the fair door.

use std::path::Path;
use std::time::Duration;

use marljunction_testkit::load::{Class, RequestStats, Source};
use marljunction_testkit::test_bed::{ExitReport, Setup, TestBed};
use serde_json::{json, Value};

use crate::memory;

/// Longest advice that the settings allow (ms).
const LONGEST_MS: u64 = 2_000;
/// Engines, and cores of each.
const ENGINES: usize = 8;
const CORES: f64 = 8.0;
/// Tenants and their shares.
const TENANTS: [(&str, f64); 3] = [("heavy", 73.0), ("light-a", 16.0), ("light-b", 11.0)];
/// Part of all that can be served that each tenant asks for when it asks for its share.
const CALM: f64 = 0.6;

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

/// Requests a second that the engines can serve.
fn capacity() -> f64 {
    let mean_ms: f64 = classes().iter().map(|c| c.share * c.work_ms).sum();
    ENGINES as f64 * CORES * 1_000.0 / mean_ms
}

/// All three tenants ask for their shares, the heavy one so many times over.
fn sources(heavy: f64) -> Vec<Source> {
    let source = |(tenant, share): &(&'static str, f64), times: f64, clients| Source {
        tenant,
        rate: capacity() * CALM * share / 100.0 * times,
        clients,
        estimate_ratio: 1.0,
    };
    vec![source(&TENANTS[0], heavy, 5_000), source(&TENANTS[1], 1.0, 40), source(&TENANTS[2], 1.0, 40)]
}

/// What one router made of it.
struct Outcome {
    tallies: Vec<Vec<RequestStats>>,
    told: ExitReport,
    duplicate_runs: u64,
}

fn run_workload(
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
        max_retry_after_ms: LONGEST_MS,
        return_share: 0.2,
        seed,
    };
    let seconds = |s: f64| Duration::from_secs_f64(if quick { s } else { s * 5.0 });
    let mut test_bed = TestBed::start(&setup)?;
    // The router learns what its classes need before anything is compared.
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
    Ok(Outcome { tallies, told: test_bed.stop()?, duplicate_runs })
}

/// The phases of [`play`].
const CALM_PHASE: usize = 1;
const ALONE: usize = 2;
const FLOOD: usize = 4;
const HALF_LOST: usize = 5;

fn ratio(a: f64, b: f64) -> f64 {
    if b > 0.0 {
        a / b
    } else {
        0.0
    }
}

impl Outcome {
    /// Worth served over worth asked for.
    fn kept(&self, phase: usize, source: usize) -> f64 {
        let tally = &self.tallies[phase][source];
        ratio(tally.worth, tally.worth_asked)
    }

    /// What each light tenant keeps of what it gets alone.
    fn light_kept(&self, phase: usize) -> [f64; 2] {
        [1, 2].map(|source| ratio(self.kept(phase, source), self.kept(ALONE, source)))
    }

    fn sum(&self, phase: usize, of: fn(&RequestStats) -> f64) -> f64 {
        self.tallies[phase].iter().map(of).sum()
    }

    /// Returns at a promised time that were served.
    fn promise_kept(&self, phase: usize) -> f64 {
        ratio(self.sum(phase, |t| t.returned_served as f64), self.sum(phase, |t| t.returned as f64))
    }

    fn all(&self, of: fn(&RequestStats) -> u64) -> u64 {
        self.tallies.iter().flatten().map(of).sum()
    }

    fn told(&self) -> Value {
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
            .told
            .fair_queue
            .iter()
            .map(|(name, fields)| {
                (name.clone(), fields.iter().map(|(k, v)| (k.clone(), json!(v))).collect::<Value>())
            })
            .collect();
        let [a, b] = self.light_kept(FLOOD);
        let worth = |source: usize| self.tallies[FLOOD][source].worth;
        let all: f64 = (0..3).map(worth).sum();
        json!({
            "light_worth_kept": {"light-a": a, "light-b": b},
            "light_worth_kept_half_lost": self.light_kept(HALF_LOST),
            "share_of_worth_in_flood": (0..3).map(|s| ratio(worth(s), all)).collect::<Vec<f64>>(),
            "worth_in_flood": all,
            "worth_calm": self.sum(CALM_PHASE, |t| t.worth),
            "promise_kept": self.promise_kept(FLOOD),
            "promise_kept_half_lost": self.promise_kept(HALF_LOST),
            "promised_returns": [self.sum(FLOOD, |t| t.returned as f64), self.sum(HALF_LOST, |t| t.returned as f64)],
            "peak_memory_kb": self.told.peak_kb,
            "double_runs": self.duplicate_runs,
            "unanswered": self.all(|t| t.unanswered),
            "answered_twice": self.all(|t| t.twice),
            "ended_well": self.told.ended_well,
            "taken": self.told.counter("taken"),
            "phases": tallies,
            "door": fair_queue,
        })
    }
}

/// Runs the three side by side.
pub fn run(quick: bool, program: &Path, seed: u64) -> Result<Value, String> {
    // Alone first: the draws of the router's runs would disturb its times.
    let own = memory::run(seed);
    let doors = [
        ("off", None),
        ("fifo", Some(json!({"order": "fifo"}))),
        ("fair", Some(json!({"order": "fair", "client": {"field": "who"}}))),
    ];
    let outcomes: Vec<Result<Outcome, String>> = std::thread::scope(|scope| {
        let runs: Vec<_> = doors
            .iter()
            .map(|(name, fair_queue)| {
                scope.spawn(move || run_workload(name, fair_queue.clone(), quick, program, seed))
            })
            .collect();
        runs.into_iter().map(|run| run.join().unwrap_or_else(|_| Err("a run failed".into()))).collect()
    });
    let outcomes: Vec<Outcome> = outcomes.into_iter().collect::<Result<_, _>>()?;
    let [off, _, fair] = &outcomes[..] else { return Err("three runs".into()) };
    let calm = |o: &Outcome| o.sum(CALM_PHASE, |t| t.worth);
    let light = fair.light_kept(FLOOD);
    let variants: serde_json::Map<String, Value> =
        doors.iter().zip(&outcomes).map(|((name, _), o)| ((*name).to_owned(), o.told())).collect();
    Ok(json!({
        "light_worth_kept": light[0].min(light[1]),
        "promise_kept": fair.promise_kept(FLOOD),
        "promise_kept_half_lost": fair.promise_kept(HALF_LOST),
        "bytes_100k_over_100": own["bytes_100k_over_100"],
        "idle_cost": ratio(calm(fair), calm(off)),
        "ns_per_request": own["ns_per_request"],
        "double_runs": outcomes.iter().map(|o| o.duplicate_runs).sum::<u64>(),
        "unanswered": outcomes.iter().map(|o| o.all(|t| t.unanswered)).sum::<u64>(),
        "quick": quick,
        "seed": seed,
        "door_alone": own,
        "variants": variants,
    }))
}
