//! Limits that hold for a whole fleet: real processes under cuts, deaths and freezes, and the same machines for hundreds of
//! routers in stepped time. What is measured is held against the bound that operators are told.

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

use crate::start::{together, Play};

/// Routers of the processes, quick and full, and units of the limit for each of them.
const ROUTERS: [usize; 2] = [8, 40];
const UNITS_EACH: usize = 2;
/// Routers of the stepped fleets.
const STEPPED: [u32; 2] = [40, 500];
/// Routers whose idle cost is measured, quick and full.
const IDLE: [usize; 2] = [20, 100];
/// Longest wait for something that must happen.
const LIMIT: Duration = Duration::from_secs(40);
/// Time over which use is averaged.
const STEADY: Duration = Duration::from_secs(4);
const SECOND_NS: u64 = 1_000_000_000;
/// The longest that a request of the plays is out: its deadline, and what is out behind it (ns).
const LONGEST_NS: u64 = 4_500_000_000;

/// What is measured, and how large.
pub struct Run<'a> {
    /// The router's program.
    pub program: &'a Path,
    /// Fewer routers, shorter.
    pub quick: bool,
    /// Seed of all draws.
    pub seed: u64,
}

fn class() -> Vec<Class> {
    let usual = classes().swap_remove(0);
    vec![Class {
        work_ms: 500.0,
        spread: 0.4,
        share: 1.0,
        target_latency_ms: 1_500.0,
        deadline_ms: 2_000.0,
        ..usual
    }]
}

/// A way to break a fleet that uses its limit.
#[derive(Clone, Copy, PartialEq)]
enum Schedule {
    OneAsks,
    Zipf,
    Static,
    Halves,
    OneWay,
    Lossy,
    HolderKilled,
    HolderFrozen,
    OwnersRestarted,
    AllKilled,
    BoundedCut,
}

const SCHEDULES: [(&str, Schedule); 11] = [
    ("one_asks", Schedule::OneAsks),
    ("zipf", Schedule::Zipf),
    ("static_shares", Schedule::Static),
    ("cut_into_halves", Schedule::Halves),
    ("one_way", Schedule::OneWay),
    ("lossy", Schedule::Lossy),
    ("holder_killed", Schedule::HolderKilled),
    ("holder_frozen", Schedule::HolderFrozen),
    ("owners_restarted", Schedule::OwnersRestarted),
    ("all_killed", Schedule::AllKilled),
    ("bounded_cut", Schedule::BoundedCut),
];

/// Mean of what engines hold over a while, over the limit (share).
fn used(fleet: &mut Fleet, most: usize) -> Result<f64, String> {
    let end = fleet.now() + STEADY.as_nanos() as u64;
    let (mut sum, mut count) = (0, 0);
    while fleet.now() < end {
        fleet.run(Duration::from_millis(10))?;
        (sum, count) = (sum + fleet.held(), count + 1);
    }
    Ok(sum as f64 / f64::from(count.max(1)) / most as f64)
}

fn play(run: &Run, name: &str, schedule: Schedule) -> Result<Value, String> {
    let routers = ROUTERS[usize::from(!run.quick)];
    let most = routers * UNITS_EACH;
    let bounded = schedule == Schedule::BoundedCut;
    let fail = if bounded { ", fail: { over: 0.5, for: 6s }" } else { "" };
    let limits = format!("lease: 1s, limits: {{ all: {{ by: \"all\", at_once: {most}{fail} }} }}");
    let mut fleet = Fleet::new(Setup {
        fleet: Some(limits),
        classes: class(),
        engines: routers.div_ceil(2),
        seed: run.seed,
        ..Setup::new(run.program, &format!("limits-{name}-{}", run.seed), routers)
    })?;
    // Offered four times what the limit bears, as requests are out for half a second in the mean.
    let all = most as f64 * 8.0;
    let one = vec![all];
    fleet.start_all()?;
    fleet.run_until(LIMIT, |f| f.ready() == routers)?;
    fleet.run_until(LIMIT, |f| f.routers.iter().all(|r| r.peer_address.is_some()))?;
    let nobody: Vec<usize> = (0..routers).collect();
    let whole = vec![0; routers];
    let halves: Vec<usize> = (0..routers).map(|at| usize::from(at >= routers / 2)).collect();
    let params = LimitParams {
        routers: routers as u32,
        lease_ns: SECOND_NS,
        max_request_ns: LONGEST_NS,
        ..LimitParams::default()
    };
    let mode = if bounded { Mode::Bounded { over: 0.5, for_ns: 6 * SECOND_NS } } else { Mode::Strict };
    let limit = Limit {
        name: "all".into(),
        subject: String::new(),
        kind: Kind::Concurrency { at_once: most as u32 },
        mode,
    };
    if schedule == Schedule::Static {
        fleet.partition_into(&nobody);
        // Nobody can say what it holds, so that all of it has to run out first.
        fleet.run(Duration::from_nanos(params.grace_ns(limit.kind)))?;
    }
    match schedule {
        Schedule::Zipf => {
            let sum: f64 = (1..=routers).map(|at| 1.0 / at as f64).sum();
            fleet.start_clients_at(&(1..=routers).map(|at| all / sum / at as f64).collect::<Vec<f64>>());
        }
        _ => fleet.start_clients_at(&one),
    }
    let full = |f: &Fleet| f.held() + 1 >= most;
    if schedule != Schedule::Static {
        fleet.run_until(LIMIT, full)?;
    }
    fleet.run(Duration::from_secs(3))?;
    let mut told = Map::new();
    // How long units lie idle after a fault, beside what is stated.
    let regain = |fleet: &mut Fleet, told: &mut Map<String, Value>, units: usize, fault: Fault| {
        let (began, stated) = (fleet.now(), bound(&limit, &params, fault).max_idle_ns);
        // What others had out before is over then, and counts no more.
        fleet.run(Duration::from_millis(2_500))?;
        let most_wait = Duration::from_nanos(stated * 2) + LIMIT;
        let back = fleet.run_until(most_wait, |f| f.held() + 1 >= units)?;
        let took = fleet.now() - began;
        told.insert("regain_s".into(), json!(took as f64 / 1e9));
        told.insert("stale_ratio".into(), json!(if back { took as f64 / stated as f64 } else { f64::MAX }));
        Ok::<(), String>(())
    };
    let other: Vec<f64> = (0..routers).map(|at| if at == 1 { all } else { 0.0 }).collect();
    match schedule {
        Schedule::OneAsks | Schedule::Zipf | Schedule::Static => {}
        Schedule::Halves | Schedule::BoundedCut => {
            fleet.partition_into(&halves);
            let mut both = vec![0.0; routers];
            (both[0], both[routers - 1]) = (all, all);
            fleet.start_clients_at(&if bounded { vec![all / 4.0; routers] } else { both });
            fleet.run(Duration::from_nanos(bound(&limit, &params, Fault::Partition).max_idle_ns))?;
            told.insert("used_share_cut".into(), json!(used(&mut fleet, most)?));
            fleet.partition_into(&whole);
            fleet.start_clients_at(&one);
            regain(&mut fleet, &mut told, most, Fault::Partition)?;
        }
        Schedule::OneWay => {
            for to in 1..routers {
                fleet.shape_peer_link(Some(0), to, Shape { partitioned: true, ..Shape::default() });
            }
            fleet.run(Duration::from_secs(8))?;
            told.insert("used_share_cut".into(), json!(used(&mut fleet, most)?));
        }
        Schedule::Lossy => {
            let bad = Shape {
                loss: 0.3,
                duplication: 0.2,
                delay_ns: SECOND_NS / 50,
                jitter_ns: SECOND_NS / 4,
                ..Shape::default()
            };
            (0..routers).for_each(|to| fleet.shape_peer_link(None, to, bad));
            fleet.run(Duration::from_secs(6))?;
        }
        Schedule::HolderKilled => {
            fleet.kill(0);
            fleet.start_clients_at(&other);
            // The dead one's own share is nobody else's.
            regain(&mut fleet, &mut told, most - UNITS_EACH, Fault::HolderCrashed)?;
        }
        Schedule::HolderFrozen => {
            fleet.set_paused(0, true);
            fleet.start_clients_at(&other);
            fleet.run(Duration::from_secs(8))?;
            fleet.start_clients_at(&one);
            fleet.set_paused(0, false);
            fleet.run(Duration::from_secs(4))?;
        }
        Schedule::OwnersRestarted => {
            for owner in 1..routers / 2 {
                fleet.kill(owner);
                fleet.start(owner)?;
            }
            fleet.run(Duration::from_secs(2))?;
            regain(&mut fleet, &mut told, most, Fault::OwnerRestarted)?;
        }
        Schedule::AllKilled => {
            (0..routers).for_each(|router| fleet.kill(router));
            fleet.start_all()?;
            fleet.start_clients_at(&one);
            regain(&mut fleet, &mut told, most, Fault::AllRestarted)?;
        }
    }
    let share = used(&mut fleet, most)?;
    let allowed = bound(&limit, &params, Fault::Partition).max_overshoot;
    let over = (fleet.max_held as f64 / most as f64 - 1.0).max(0.0);
    let counters = fleet.counters(Duration::from_secs(5))?;
    let seconds = (fleet.now() - fleet.routers[routers - 1].started_ns) as f64 / 1e9;
    told.insert("used_share".into(), json!(share));
    told.insert("over".into(), json!(over));
    told.insert("over_ratio".into(), json!(if allowed > 0.0 { over / allowed } else { 0.0 }));
    told.insert("most_at_once".into(), json!(fleet.max_held));
    told.insert("limit".into(), json!(most));
    told.insert("datagrams_a_router_s".into(), json!(mean(&counters, "fleet_datagrams") / seconds));
    told.insert("bytes_a_router_s".into(), json!(mean(&counters, "fleet_bytes") / seconds));
    told.insert("lost".into(), json!(fleet.sum(|t| t.unanswered as f64)));
    told.insert("double_answers".into(), json!(fleet.sum(|t| t.twice as f64)));
    Ok(Value::Object(told))
}

/// The same machines for many routers in stepped time.
fn stepped(routers: u32, seed: u64) -> Value {
    let params = LimitParams { routers, max_request_ns: 2 * SECOND_NS, ..LimitParams::default() };
    let units = routers * UNITS_EACH as u32;
    let kinds = [
        ("concurrency", Kind::Concurrency { at_once: units }),
        ("rate", Kind::Rate { per_s: f64::from(units), burst: units }),
    ];
    let told = kinds.map(|(name, kind)| {
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
        let each = (fleet.messages - messages) as f64 / seconds / f64::from(routers);
        (
            name.to_owned(),
            json!({"used_share": used, "messages_a_router_s": each, "worst_over_limit": fleet.worst}),
        )
    });
    Value::Object(told.into_iter().collect())
}

/// Time for one request, and memory with a hundred thousand clients.
fn alone() -> Value {
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
    let (count, began) = (1_000_000u64, Instant::now());
    let mut admitted = 0u64;
    for i in 0..count {
        if let Ok(permit) = node.admit(60 * SECOND_NS + i * 1_000, &[(0, i % 64)]) {
            admitted += 1;
            node.release(permit);
        }
    }
    let check_ns = began.elapsed().as_nanos() as f64 / count as f64;
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

/// Processor time of an idle router a second, with the fleet and without (us).
fn idle(run: &Run, fleet_on: bool) -> Result<Value, String> {
    let routers = IDLE[usize::from(!run.quick)];
    let limits = "limits: { all: { by: \"all\", at_once: 100 } }".to_owned();
    let mut fleet = Fleet::new(Setup {
        fleet: fleet_on.then_some(limits),
        ..Setup::new(run.program, &format!("limits-idle-{fleet_on}-{}", run.seed), routers)
    })?;
    fleet.start_all()?;
    fleet.run_until(LIMIT, |f| f.connected() == routers)?;
    fleet.run(Duration::from_secs(8))?;
    let used = |fleet: &Fleet| -> u64 { fleet.used().iter().map(|(_, time)| time).sum() };
    let (began, before) = (fleet.now(), used(&fleet));
    fleet.run(Duration::from_secs(5))?;
    let seconds = (fleet.now() - began) as f64 / 1e9;
    let peak = fleet.used().iter().map(|(memory, _)| *memory).max().unwrap_or(0);
    Ok(json!({
        "routers": routers,
        "cpu_us_a_router_s": (used(&fleet) - before) as f64 / seconds / routers as f64,
        "memory_kb": peak,
    }))
}

/// Measures it all.
///
/// # Errors
/// Where a fleet can't be started.
pub fn run(run: &Run) -> Result<Value, String> {
    let own = alone();
    let mut plays: Vec<Play> = Vec::new();
    for (name, schedule) in SCHEDULES {
        plays.push((name.to_owned(), Box::new(move || play(run, name, schedule))));
    }
    let schedules = together(plays)?;
    let idles: Vec<Play> = [("fleet", true), ("alone", false)]
        .map(|(name, on)| -> Play { (name.to_owned(), Box::new(move || idle(run, on))) })
        .into_iter()
        .collect();
    let idles = together(idles)?;
    let steps: Map<String, Value> =
        STEPPED.iter().map(|routers| (routers.to_string(), stepped(*routers, run.seed))).collect();
    let worst = |key: &str, strict: bool| {
        let of = schedules.iter().filter(|(name, _)| (*name != "bounded_cut") == strict);
        of.filter_map(|(_, v)| v[key].as_f64()).fold(0.0, f64::max)
    };
    let at = |name: &str, key: &str| schedules[name][key].clone();
    Ok(json!({
        "over_strict": worst("over", true),
        "over_bounded_ratio": worst("over_ratio", false),
        "stale_ratio": worst("stale_ratio", true),
        "used_share_one_asks": at("one_asks", "used_share"),
        "used_share_zipf": at("zipf", "used_share"),
        "used_share_static": at("static_shares", "used_share"),
        "used_share_cut": at("cut_into_halves", "used_share_cut"),
        "regain_s": at("cut_into_halves", "regain_s"),
        "check_ns": own["check_ns"],
        "schedules": schedules,
        "idle": idles,
        "stepped": steps,
        "alone": own,
        "quick": run.quick,
        "seed": run.seed,
    }))
}
