//! Measures what the simultaneous start of a fleet and an outage of its list service cost the
//! service and the engines. Another build of the router may be measured for comparison.

use std::path::Path;
use std::time::Duration;

use marljunction_testkit::audit::calls_within;
use marljunction_testkit::fleet::{Fleet, Setup};
use marljunction_testkit::list::Behavior;
use serde_json::{json, Map, Value};

/// Routers in a quick and a full run.
const ROUTERS: [usize; 2] = [100, 300];
/// Time in which the list service can serve one call of every router.
const IDEAL_SETTLE_S: f64 = 4.0;
/// Requests per second of all clients together.
const REQUEST_RATE: f64 = 150.0;
/// The same where engines are cold.
const COLD_REQUEST_RATE: f64 = 300.0;
/// Duration of the list service's outage.
const OUTAGE: Duration = Duration::from_secs(10);
const MAX_SETTLE_TIME: Duration = Duration::from_secs(30);
/// Time over which the routers are started one by one, as an operator would by hand.
const MANUAL_START_TIME: Duration = Duration::from_secs(5);
const FIRST_ANSWER_STARTS: usize = 15;
const SECOND_NS: u64 = 1_000_000_000;

/// Parameters of a run.
pub struct Run<'a> {
    /// Router executable.
    pub program: &'a Path,
    /// Another build of the router, measured in the same run.
    pub against: Option<&'a Path>,
    /// Use fewer routers.
    pub quick: bool,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Overrides the number of routers.
    pub routers: Option<usize>,
    /// Overrides the calls per second that the list service accepts.
    pub capacity: Option<f64>,
}

impl Run<'_> {
    fn routers(&self) -> usize {
        self.routers.unwrap_or(ROUTERS[usize::from(!self.quick)])
    }

    fn capacity(&self) -> f64 {
        self.capacity.unwrap_or(self.routers() as f64 / IDEAL_SETTLE_S)
    }
}

fn operator_file(capacity: f64, routers: &str) -> String {
    format!("start: {{ budget: {capacity}{routers} }}\n")
}

fn seconds(ns: u64) -> f64 {
    ns as f64 / 1e9
}

/// Starts the fleet, interrupts the list service, drains an engine during the outage and restores
/// the service.
fn start_and_outage(
    run: &Run,
    name: &str,
    program: &Path,
    operator: Option<String>,
) -> Result<Value, String> {
    let (routers, capacity) = (run.routers(), run.capacity());
    let mut fleet = Fleet::new(Setup {
        capacity,
        operator,
        engines: 6,
        rate: REQUEST_RATE / routers as f64,
        seed: run.seed,
        ..Setup::new(program, &format!("start-{name}-{}", run.seed), routers)
    })?;
    let count = routers as f64;
    let ideal_s = count / capacity;
    fleet.start_clients();
    let start_ns = fleet.now();
    fleet.start_all()?;
    let all_live = |fleet: &Fleet| fleet.connected() == routers;
    let started = fleet.run_until(MAX_SETTLE_TIME, all_live)?;
    let settled = fleet.now();
    let used = fleet.used();
    let (start_calls, _) = calls_within(&fleet.list.calls, start_ns, settled, SECOND_NS);

    let outage_start = fleet.now();
    fleet.set_list_behavior(Behavior::Unavailable);
    // The drain happens during the outage, so that routers learn of it only after the service
    // returns.
    fleet.run(OUTAGE - Duration::from_secs(2))?;
    fleet.drain(0);
    fleet.run(Duration::from_secs(2))?;
    let outage_end = fleet.now();
    fleet.set_list_behavior(Behavior::Normal);
    let reconnected = fleet.run_until(MAX_SETTLE_TIME, all_live)?;
    let settled_after_outage = fleet.now();
    // Run on until the drain counts as known, so that the audit sees sends after it.
    let after_update = 8 * SECOND_NS;
    let until = fleet.drain_started_ns[0].unwrap_or(outage_end) + after_update;
    fleet.run(Duration::from_nanos(until.saturating_sub(fleet.now())))?;
    let calls = std::mem::take(&mut fleet.list.calls);
    let (outage_calls, _) = calls_within(&calls, outage_start, outage_end, SECOND_NS);
    let (recovery_calls, _) = calls_within(&calls, outage_end, settled_after_outage, SECOND_NS);
    let (_, max_calls_per_s) = calls_within(&calls, start_ns, settled_after_outage, SECOND_NS);
    let (_, max_calls_per_100ms) = calls_within(&calls, outage_end, settled_after_outage, SECOND_NS / 10);
    let seconds_run = ((settled_after_outage - start_ns) / SECOND_NS) as usize + 1;
    let by_second: Vec<usize> = (0..seconds_run as u64)
        .map(|s| calls_within(&calls, start_ns + s * SECOND_NS, start_ns + (s + 1) * SECOND_NS, SECOND_NS).0)
        .collect();
    let max_blind_ns = fleet.routers.iter().map(|r| r.longest_disconnect_ns).max().unwrap_or(0);
    let answered = fleet.stop_clients(Duration::from_secs(8))?;
    let handshakes: u64 = fleet.engines.iter().map(|e| e.accepted).sum();
    let audit = fleet.audit();
    let (requests, unanswered) = (fleet.sum(|t| t.requests as f64), fleet.sum(|t| t.unanswered as f64));
    let twice = fleet.sum(|t| t.twice as f64);
    let worth = fleet.sum(|t| t.worth) / fleet.sum(|t| t.worth_requested).max(1e-9);
    let (_, ended_well) = fleet.stop(Duration::from_secs(8))?;
    let mean =
        |of: fn(&(u64, u64)) -> u64| used.iter().map(of).sum::<u64>() as f64 / used.len().max(1) as f64;
    Ok(json!({
        "calls_per_router_start": start_calls as f64 / count,
        "calls_per_router_back": recovery_calls as f64 / count,
        "peak_over_capacity": max_calls_per_s as f64 / capacity,
        "peak_100ms_share": max_calls_per_100ms as f64 / count,
        "outage_calls_per_router_s": outage_calls as f64 / count / seconds(outage_end - outage_start),
        "settled_over_ideal": seconds((settled - start_ns).max(settled_after_outage - outage_end)) / ideal_s,
        "settled_over_ideal_start": seconds(settled - start_ns) / ideal_s,
        "settled_over_ideal_back": seconds(settled_after_outage - outage_end) / ideal_s,
        "all_settled": started && reconnected,
        "longest_blind_s": seconds(max_blind_ns),
        "calls_by_second": by_second,
        "away_from_to_s": [seconds(outage_start - start_ns), seconds(outage_end - start_ns)],
        "late_sends": audit.late_sends,
        "double_runs": audit.duplicate_runs,
        "double_answers": twice,
        "lost": unanswered,
        "all_answered": answered,
        "ended_well": ended_well,
        "asked": requests,
        "worth_kept": worth,
        "handshakes_a_request": handshakes as f64 / requests.max(1.0),
        "memory_kb": mean(|u| u.0),
        "start_cpu_ms": mean(|u| u.1) / 1e3,
    }))
}

/// Time from process start to the first answer (ms), over several starts.
fn first_answer(run: &Run, name: &str, program: &Path) -> Result<Value, String> {
    let setup = Setup {
        rate: 500.0,
        seed: run.seed,
        ..Setup::new(program, &format!("first-{name}-{}", run.seed), 1)
    };
    let mut fleet = Fleet::new(setup)?;
    fleet.start_clients();
    let mut times = Vec::new();
    for _ in 0..FIRST_ANSWER_STARTS {
        fleet.start(0)?;
        fleet.run_until(MAX_SETTLE_TIME, |fleet| fleet.load_generators[0].first_answer_ns.is_some())?;
        let first = fleet.load_generators[0].first_answer_ns.unwrap_or(u64::MAX);
        times.push(first.saturating_sub(fleet.routers[0].started_ns) as f64 / 1e6);
        fleet.kill(0);
    }
    times.sort_by(f64::total_cmp);
    Ok(json!({"median_ms": times[times.len() / 2], "least_ms": times[0], "most_ms": times[times.len() - 1]}))
}

/// Starts the routers while the engines are cold, all at once or one by one over `stagger`.
/// `configured_routers` is the router count in their settings; the true one if none.
fn measure_cold_start(
    run: &Run,
    name: &str,
    program: &Path,
    configured_routers: Option<u32>,
    routers_key: &str,
    stagger: Option<Duration>,
) -> Result<Value, String> {
    let (routers, capacity) = (run.routers(), run.capacity());
    let mut fleet = Fleet::new(Setup {
        capacity,
        operator: (!name.starts_with("against")).then(|| operator_file(capacity, routers_key)),
        engines: 6,
        cold: true,
        configured_routers,
        rate: COLD_REQUEST_RATE / routers as f64,
        seed: run.seed,
        ..Setup::new(program, &format!("cold-{name}-{}", run.seed), routers)
    })?;
    fleet.start_clients();
    let end = fleet.now() + 10 * SECOND_NS;
    match stagger {
        None => fleet.start_all()?,
        Some(stagger) => {
            for router in 0..routers {
                fleet.start(router)?;
                fleet.run(stagger / routers as u32)?;
            }
        }
    }
    fleet.run(Duration::from_nanos(end.saturating_sub(fleet.now())))?;
    let peak_overload =
        fleet.engines.iter().filter_map(|e| Some(e.cold.as_ref()?.peak_overload)).fold(0.0, f64::max);
    let down = fleet.engines.iter().filter(|e| !e.is_up()).count();
    let (worth, worth_requested) = (fleet.sum(|t| t.worth), fleet.sum(|t| t.worth_requested));
    let handshakes: u64 = fleet.engines.iter().map(|e| e.accepted).sum();
    Ok(json!({
        "engine_peak_over_limit": peak_overload,
        "engines_down": down,
        "worth_10s": worth,
        "worth_share_10s": worth / worth_requested.max(1e-9),
        "handshakes_a_request": handshakes as f64 / fleet.sum(|t| t.requests as f64).max(1.0),
        "double_runs": fleet.audit().duplicate_runs,
    }))
}

/// A measurement and its name.
pub type Task<'a> = (String, Box<dyn FnOnce() -> Result<Value, String> + Send + 'a>);

/// Runs each task on its own thread. A router process ends with the thread that started it.
///
/// # Errors
/// If a task fails or panics.
pub fn run_concurrently(tasks: Vec<Task>) -> Result<Map<String, Value>, String> {
    std::thread::scope(|scope| {
        let runs: Vec<_> = tasks.into_iter().map(|(name, task)| (name, scope.spawn(task))).collect();
        let ended = runs.into_iter().map(|(name, run)| {
            let value = run.join().map_err(|_| format!("{name}: the measurement panicked"))??;
            Ok((name, value))
        });
        ended.collect()
    })
}

/// Runs all measurements.
///
/// # Errors
/// If a fleet cannot be started.
pub fn run(run: &Run) -> Result<Value, String> {
    let (routers, capacity) = (run.routers(), run.capacity());
    let against = run.against.iter().map(|program| ("against", *program, None));
    let known_count = ("program", run.program, Some(operator_file(capacity, "")));
    let unknown_count =
        ("unknown_count", run.program, Some(operator_file(capacity, ", routers: \"unknown\"")));
    let mut tasks: Vec<Task> = Vec::new();
    for (name, program, operator) in
        std::iter::once(known_count).chain(std::iter::once(unknown_count)).chain(against)
    {
        tasks.push((name.to_owned(), Box::new(move || start_and_outage(run, name, program, operator))));
    }
    let outage_runs = run_concurrently(tasks)?;
    let counts = [
        ("right", None, ""),
        ("half", Some(routers as u32 / 2), ""),
        ("double", Some(routers as u32 * 2), ""),
        ("unknown", Some(1), ", routers: \"unknown\""),
    ];
    let mut tasks: Vec<Task> = Vec::new();
    for (name, configured, key) in counts {
        tasks.push((
            name.to_owned(),
            Box::new(move || measure_cold_start(run, name, run.program, configured, key, None)),
        ));
    }
    let manual_start =
        move || measure_cold_start(run, "by_hand", run.program, None, "", Some(MANUAL_START_TIME));
    tasks.push(("by_hand".into(), Box::new(manual_start)));
    if let Some(program) = run.against {
        tasks.push((
            "against".into(),
            Box::new(move || measure_cold_start(run, "against", program, None, "", None)),
        ));
    }
    let cold_starts = run_concurrently(tasks)?;
    let peak_overload = |name: &str| cold_starts[name]["engine_peak_over_limit"].as_f64().unwrap_or(f64::MAX);
    let mut results = outage_runs["program"].as_object().cloned().unwrap_or_default();
    results.insert(
        "engine_peak_over_limit".into(),
        json!(["right", "half", "double", "unknown"].map(peak_overload).into_iter().fold(0.0, f64::max)),
    );
    let worth = |name: &str| cold_starts[name]["worth_10s"].as_f64().unwrap_or(0.0);
    results.insert("worth_10s_over_by_hand".into(), json!(worth("right") / worth("by_hand").max(1e-9)));
    let first_answers =
        std::iter::once(("program", run.program)).chain(run.against.map(|program| ("against", program)));
    let first_answers: Result<Map<String, Value>, String> = first_answers
        .map(|(name, program)| Ok((name.to_owned(), first_answer(run, name, program)?)))
        .collect();
    results.insert("start_to_first_answer".into(), Value::Object(first_answers?));
    results.insert("routers".into(), json!(routers));
    results.insert("capacity_per_s".into(), json!(capacity));
    results.insert("quick".into(), json!(run.quick));
    results.insert("seed".into(), json!(run.seed));
    results.insert("herds".into(), Value::Object(outage_runs));
    results.insert("cold_starts".into(), Value::Object(cold_starts));
    Ok(Value::Object(results))
}
