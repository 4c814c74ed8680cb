//! Measures fleet-wide limits with real processes under partitions, crashes and pauses, and with
//! hundreds of simulated routers, and compares the results with the documented bounds.

use std::path::Path;
use std::time::{Duration, Instant};

use marljunction_limits::bound::{bound, Fault};
use marljunction_limits::escrow::Peer;
use marljunction_limits::{Kind, Limit, LimitParams, Mode, Node};
use marljunction_testkit::fleet::{classes, Fleet, Setup};
use marljunction_testkit::lease_fleet;
use marljunction_testkit::link::Shape;
use marljunction_testkit::load::Class;
use marljunction_testkit::process::mean;
use serde_json::{json, Map, Value};

use crate::start::{run_concurrently, Task};

/// Routers in a quick and a full run.
const ROUTERS: [usize; 2] = [8, 40];
const UNITS_PER_ROUTER: usize = 2;
/// Fleet sizes that are simulated without processes.
const SIMULATED_ROUTERS: [u32; 2] = [40, 500];
/// Routers whose idle cost is measured in a quick and a full run.
const IDLE_ROUTERS: [usize; 2] = [20, 100];
const TIMEOUT: Duration = Duration::from_secs(40);
const AVERAGING_TIME: Duration = Duration::from_secs(4);
const SECOND_NS: u64 = 1_000_000_000;
/// Longest time that a request occupies a unit: its deadline plus the attempts that outlast it.
const MAX_REQUEST_NS: u64 = 4_500_000_000;

/// Parameters of a run.
pub struct Run<'a> {
    /// Router executable.
    pub program: &'a Path,
    /// Use fewer routers.
    pub quick: bool,
    /// Seed of all random numbers.
    pub seed: u64,
}

fn request_classes() -> Vec<Class> {
    let base = classes().swap_remove(0);
    vec![Class {
        work_ms: 500.0,
        spread: 0.4,
        share: 1.0,
        target_latency_ms: 1_500.0,
        deadline_ms: 2_000.0,
        ..base
    }]
}

/// Load and fault of a fleet that uses its whole limit.
#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    SingleRouter,
    Zipf,
    StaticShares,
    TwoPartitions,
    OneWayLoss,
    LossyNetwork,
    HolderCrashed,
    HolderPaused,
    OwnersRestarted,
    AllRestarted,
    BoundedPartition,
}

const SCENARIOS: [(&str, Scenario); 11] = [
    ("one_asks", Scenario::SingleRouter),
    ("zipf", Scenario::Zipf),
    ("static_shares", Scenario::StaticShares),
    ("cut_into_halves", Scenario::TwoPartitions),
    ("one_way", Scenario::OneWayLoss),
    ("lossy", Scenario::LossyNetwork),
    ("holder_killed", Scenario::HolderCrashed),
    ("holder_frozen", Scenario::HolderPaused),
    ("owners_restarted", Scenario::OwnersRestarted),
    ("all_killed", Scenario::AllRestarted),
    ("bounded_cut", Scenario::BoundedPartition),
];

/// Queries running on all engines, averaged over [`AVERAGING_TIME`], as a share of the limit.
fn mean_used_share(fleet: &mut Fleet, total_units: usize) -> Result<f64, String> {
    let end = fleet.now() + AVERAGING_TIME.as_nanos() as u64;
    let (mut sum, mut count) = (0, 0);
    while fleet.now() < end {
        fleet.run(Duration::from_millis(10))?;
        (sum, count) = (sum + fleet.held(), count + 1);
    }
    Ok(sum as f64 / f64::from(count.max(1)) / total_units as f64)
}

fn measure(run: &Run, name: &str, scenario: Scenario) -> Result<Value, String> {
    let routers = ROUTERS[usize::from(!run.quick)];
    let total_units = routers * UNITS_PER_ROUTER;
    let bounded = scenario == Scenario::BoundedPartition;
    let fail = if bounded { ", fail: { over: 0.5, for: 6s }" } else { "" };
    let limits = format!("lease: 1s, limits: {{ all: {{ by: \"all\", at_once: {total_units}{fail} }} }}");
    let mut fleet = Fleet::new(Setup {
        fleet: Some(limits),
        classes: request_classes(),
        engines: routers.div_ceil(2),
        seed: run.seed,
        ..Setup::new(run.program, &format!("limits-{name}-{}", run.seed), routers)
    })?;
    // Four times what the limit admits, as requests run for 0.5 s on average.
    let offered_rate = total_units as f64 * 8.0;
    let single_router = vec![offered_rate];
    fleet.start_all()?;
    fleet.run_until(TIMEOUT, |f| f.ready() == routers)?;
    fleet.run_until(TIMEOUT, |f| f.routers.iter().all(|r| r.peer_address.is_some()))?;
    let isolated: Vec<usize> = (0..routers).collect();
    let connected = vec![0; routers];
    let halves: Vec<usize> = (0..routers).map(|at| usize::from(at >= routers / 2)).collect();
    let params = LimitParams {
        routers: routers as u32,
        lease_ns: SECOND_NS,
        max_request_ns: MAX_REQUEST_NS,
        ..LimitParams::default()
    };
    let mode = if bounded { Mode::Bounded { over: 0.5, for_ns: 6 * SECOND_NS } } else { Mode::Strict };
    let limit = Limit {
        name: "all".into(),
        subject: String::new(),
        kind: Kind::Concurrency { at_once: total_units as u32 },
        mode,
    };
    if scenario == Scenario::StaticShares {
        fleet.partition_into(&isolated);
        // The held units are unknown to the others, so all leases have to expire first.
        fleet.run(Duration::from_nanos(params.grace_ns(limit.kind)))?;
    }
    match scenario {
        Scenario::Zipf => {
            let sum: f64 = (1..=routers).map(|at| 1.0 / at as f64).sum();
            fleet.start_clients_at(
                &(1..=routers).map(|at| offered_rate / sum / at as f64).collect::<Vec<f64>>(),
            );
        }
        _ => fleet.start_clients_at(&single_router),
    }
    let full = |f: &Fleet| f.held() + 1 >= total_units;
    if scenario != Scenario::StaticShares {
        fleet.run_until(TIMEOUT, full)?;
    }
    fleet.run(Duration::from_secs(3))?;
    let mut results = Map::new();
    // Measures how long units stay idle after a fault, and compares it with the bound.
    let wait_for_recovery =
        |fleet: &mut Fleet, results: &mut Map<String, Value>, units: usize, fault: Fault| {
            let (start_ns, bound_ns) = (fleet.now(), bound(&limit, &params, fault).max_idle_ns);
            // Requests that started before the fault have ended by then.
            fleet.run(Duration::from_millis(2_500))?;
            let max_wait = Duration::from_nanos(bound_ns * 2) + TIMEOUT;
            let recovered = fleet.run_until(max_wait, |f| f.held() + 1 >= units)?;
            let elapsed_ns = fleet.now() - start_ns;
            results.insert("regain_s".into(), json!(elapsed_ns as f64 / 1e9));
            results.insert(
                "stale_ratio".into(),
                json!(if recovered { elapsed_ns as f64 / bound_ns as f64 } else { f64::MAX }),
            );
            Ok::<(), String>(())
        };
    let second_router: Vec<f64> = (0..routers).map(|at| if at == 1 { offered_rate } else { 0.0 }).collect();
    match scenario {
        Scenario::SingleRouter | Scenario::Zipf | Scenario::StaticShares => {}
        Scenario::TwoPartitions | Scenario::BoundedPartition => {
            fleet.partition_into(&halves);
            let mut both = vec![0.0; routers];
            (both[0], both[routers - 1]) = (offered_rate, offered_rate);
            fleet.start_clients_at(&if bounded { vec![offered_rate / 4.0; routers] } else { both });
            fleet.run(Duration::from_nanos(bound(&limit, &params, Fault::Partition).max_idle_ns))?;
            results.insert("used_share_cut".into(), json!(mean_used_share(&mut fleet, total_units)?));
            fleet.partition_into(&connected);
            fleet.start_clients_at(&single_router);
            wait_for_recovery(&mut fleet, &mut results, total_units, Fault::Partition)?;
        }
        Scenario::OneWayLoss => {
            for to in 1..routers {
                fleet.shape_peer_link(Some(0), to, Shape { partitioned: true, ..Shape::default() });
            }
            fleet.run(Duration::from_secs(8))?;
            results.insert("used_share_cut".into(), json!(mean_used_share(&mut fleet, total_units)?));
        }
        Scenario::LossyNetwork => {
            let lossy = Shape {
                loss: 0.3,
                duplication: 0.2,
                delay_ns: SECOND_NS / 50,
                jitter_ns: SECOND_NS / 4,
                ..Shape::default()
            };
            (0..routers).for_each(|to| fleet.shape_peer_link(None, to, lossy));
            fleet.run(Duration::from_secs(6))?;
        }
        Scenario::HolderCrashed => {
            fleet.kill(0);
            fleet.start_clients_at(&second_router);
            // The share that the crashed router owns is not redistributed.
            wait_for_recovery(
                &mut fleet,
                &mut results,
                total_units - UNITS_PER_ROUTER,
                Fault::HolderCrashed,
            )?;
        }
        Scenario::HolderPaused => {
            fleet.set_paused(0, true);
            fleet.start_clients_at(&second_router);
            fleet.run(Duration::from_secs(8))?;
            fleet.start_clients_at(&single_router);
            fleet.set_paused(0, false);
            fleet.run(Duration::from_secs(4))?;
        }
        Scenario::OwnersRestarted => {
            for owner in 1..routers / 2 {
                fleet.kill(owner);
                fleet.start(owner)?;
            }
            fleet.run(Duration::from_secs(2))?;
            wait_for_recovery(&mut fleet, &mut results, total_units, Fault::OwnerRestarted)?;
        }
        Scenario::AllRestarted => {
            (0..routers).for_each(|router| fleet.kill(router));
            fleet.start_all()?;
            fleet.start_clients_at(&single_router);
            wait_for_recovery(&mut fleet, &mut results, total_units, Fault::AllRestarted)?;
        }
    }
    let share = mean_used_share(&mut fleet, total_units)?;
    let allowed = bound(&limit, &params, Fault::Partition).max_overshoot;
    let overshoot = (fleet.max_held as f64 / total_units as f64 - 1.0).max(0.0);
    let counters = fleet.counters(Duration::from_secs(5))?;
    let seconds = (fleet.now() - fleet.routers[routers - 1].started_ns) as f64 / 1e9;
    results.insert("used_share".into(), json!(share));
    results.insert("over".into(), json!(overshoot));
    results.insert("over_ratio".into(), json!(if allowed > 0.0 { overshoot / allowed } else { 0.0 }));
    results.insert("most_at_once".into(), json!(fleet.max_held));
    results.insert("limit".into(), json!(total_units));
    results.insert("datagrams_a_router_s".into(), json!(mean(&counters, "fleet_datagrams") / seconds));
    results.insert("bytes_a_router_s".into(), json!(mean(&counters, "fleet_bytes") / seconds));
    results.insert("lost".into(), json!(fleet.sum(|t| t.unanswered as f64)));
    results.insert("double_answers".into(), json!(fleet.sum(|t| t.twice as f64)));
    Ok(Value::Object(results))
}

/// Simulates one concurrency and one rate limit in a fleet whose demand comes from one router.
fn simulate(routers: u32, seed: u64) -> Value {
    let params = LimitParams { routers, max_request_ns: 2 * SECOND_NS, ..LimitParams::default() };
    let units = routers * UNITS_PER_ROUTER as u32;
    let kinds = [
        ("concurrency", Kind::Concurrency { at_once: units }),
        ("rate", Kind::Rate { per_s: f64::from(units), burst: units }),
    ];
    let results = kinds.map(|(name, kind)| {
        let limit = Limit { name: name.into(), subject: String::new(), kind, mode: Mode::Strict };
        let mut fleet = lease_fleet::Fleet::new(limit, params, 0.01, seed);
        fleet.update_reachable_peers();
        fleet.routers[3].demand = f64::from(units) * 2.0;
        fleet.run(8_000);
        let (admitted, messages, mut in_flight) = (fleet.admitted, fleet.messages, 0);
        let steps = 400;
        for _ in 0..steps {
            fleet.step();
            in_flight += fleet.in_flight();
        }
        let seconds = f64::from(steps) * lease_fleet::STEP_NS as f64 / 1e9;
        let used = match kind {
            Kind::Concurrency { .. } => in_flight as f64 / f64::from(steps) / f64::from(units),
            Kind::Rate { per_s, .. } => (fleet.admitted - admitted) as f64 / seconds / per_s,
            Kind::Window { units, window_ns } => {
                (fleet.admitted - admitted) as f64 / seconds / f64::from(units) * window_ns as f64 / 1e9
            }
        };
        let messages_per_router = (fleet.messages - messages) as f64 / seconds / f64::from(routers);
        (
            name.to_owned(),
            json!({"used_share": used, "messages_a_router_s": messages_per_router, "worst_over_limit": fleet.worst}),
        )
    });
    Value::Object(results.into_iter().collect())
}

/// Time per admission check, and memory with 100 000 clients under a limit per client.
fn measure_single_node() -> Value {
    let rate = |name: &str| Limit {
        name: name.into(),
        subject: String::new(),
        kind: Kind::Rate { per_s: 1e9, burst: 1_000_000 },
        mode: Mode::Strict,
    };
    let me = Peer { number: 0, incarnation: 1 };
    let params = LimitParams { routers: 1, ..LimitParams::default() };
    let mut node = Node::new(0, me, params, vec![rate("tenant")], 16_384);
    node.tick(SECOND_NS);
    let (count, started) = (1_000_000u64, Instant::now());
    let mut admitted = 0u64;
    for i in 0..count {
        if let Ok(permit) = node.admit(60 * SECOND_NS + i * 1_000, &[(0, i % 64)]) {
            admitted += 1;
            node.release(permit);
        }
    }
    let check_ns = started.elapsed().as_nanos() as f64 / count as f64;
    let before = crate::HEAP.current_usage();
    let client = Limit {
        name: "client".into(),
        subject: "client".into(),
        kind: Kind::Rate { per_s: 10.0, burst: 20 },
        mode: Mode::Strict,
    };
    let mut node = Node::new(0, me, params, vec![client], 16_384);
    for key in 0..100_000u64 {
        if let Ok(permit) = node.admit(60 * SECOND_NS, &[(0, key.wrapping_mul(0x9e37_79b9_7f4a_7c15))]) {
            node.release(permit);
        }
    }
    let bytes = crate::HEAP.current_usage().saturating_sub(before);
    json!({"check_ns": check_ns, "admitted": admitted, "bytes_100k_keys": bytes, "tracked": node.tracked_keys()})
}

/// Processor time per second (µs) and memory (KB) of idle routers, with or without fleet messages.
fn measure_idle(run: &Run, with_fleet: bool) -> Result<Value, String> {
    let routers = IDLE_ROUTERS[usize::from(!run.quick)];
    let limits = "limits: { all: { by: \"all\", at_once: 100 } }".to_owned();
    let mut fleet = Fleet::new(Setup {
        fleet: with_fleet.then_some(limits),
        ..Setup::new(run.program, &format!("limits-idle-{with_fleet}-{}", run.seed), routers)
    })?;
    fleet.start_all()?;
    fleet.run_until(TIMEOUT, |f| f.connected() == routers)?;
    fleet.run(Duration::from_secs(8))?;
    let used = |fleet: &Fleet| -> u64 { fleet.used().iter().map(|(_, time)| time).sum() };
    let (start_ns, before) = (fleet.now(), used(&fleet));
    fleet.run(Duration::from_secs(5))?;
    let seconds = (fleet.now() - start_ns) as f64 / 1e9;
    let peak = fleet.used().iter().map(|(memory, _)| *memory).max().unwrap_or(0);
    Ok(json!({
        "routers": routers,
        "cpu_us_a_router_s": (used(&fleet) - before) as f64 / seconds / routers as f64,
        "memory_kb": peak,
    }))
}

/// Runs all measurements.
///
/// # Errors
/// If a fleet cannot be started.
pub fn run(run: &Run) -> Result<Value, String> {
    let single_node = measure_single_node();
    let mut tasks: Vec<Task> = Vec::new();
    for (name, scenario) in SCENARIOS {
        tasks.push((name.to_owned(), Box::new(move || measure(run, name, scenario))));
    }
    let scenarios = run_concurrently(tasks)?;
    let idle_tasks: Vec<Task> = [("fleet", true), ("alone", false)]
        .map(|(name, on)| -> Task { (name.to_owned(), Box::new(move || measure_idle(run, on))) })
        .into_iter()
        .collect();
    let idle_tasks = run_concurrently(idle_tasks)?;
    let steps: Map<String, Value> =
        SIMULATED_ROUTERS.iter().map(|routers| (routers.to_string(), simulate(*routers, run.seed))).collect();
    let worst = |key: &str, strict: bool| {
        let of = scenarios.iter().filter(|(name, _)| (*name != "bounded_cut") == strict);
        of.filter_map(|(_, v)| v[key].as_f64()).fold(0.0, f64::max)
    };
    let at = |name: &str, key: &str| scenarios[name][key].clone();
    Ok(json!({
        "over_strict": worst("over", true),
        "over_bounded_ratio": worst("over_ratio", false),
        "stale_ratio": worst("stale_ratio", true),
        "used_share_one_asks": at("one_asks", "used_share"),
        "used_share_zipf": at("zipf", "used_share"),
        "used_share_static": at("static_shares", "used_share"),
        "used_share_cut": at("cut_into_halves", "used_share_cut"),
        "regain_s": at("cut_into_halves", "regain_s"),
        "check_ns": single_node["check_ns"],
        "schedules": scenarios,
        "idle": idle_tasks,
        "stepped": steps,
        "alone": single_node,
        "quick": run.quick,
        "seed": run.seed,
    }))
}
