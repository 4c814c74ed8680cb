//! A whole fleet starts at one moment, loses its list service, and gets it back: what that costs the service and the
//! engines, beside another program where one is named.

use std::path::Path;
use std::time::Duration;

use marljunction_testkit::audit::calls_within;
use marljunction_testkit::fleet::{Fleet, Setup};
use marljunction_testkit::list::Behavior;
use serde_json::{json, Map, Value};

/// Routers of a quick run and of a full one.
const ROUTERS: [usize; 2] = [100, 300];
/// Seconds that the service needs for the whole fleet: as 200 routers at 50 calls a second.
const IDEAL_S: f64 = 4.0;
/// Requests a second of all clients, and of those of a start onto cold engines.
const RATE: f64 = 150.0;
const COLD_RATE: f64 = 300.0;
/// Time for which the service is away.
const AWAY: Duration = Duration::from_secs(10);
/// Longest wait for a fleet to settle.
const SETTLE: Duration = Duration::from_secs(30);
/// Time over which an operator would start the routers by hand, and starts that the first answer is measured by.
const BY_HAND: Duration = Duration::from_secs(5);
const FIRST_STARTS: usize = 15;
const SECOND_NS: u64 = 1_000_000_000;

/// The programs that a run compares, and how large it is.
pub struct Run<'a> {
    /// The router's program.
    pub program: &'a Path,
    /// Another build of it, to be measured in the same run.
    pub against: Option<&'a Path>,
    /// Fewer routers.
    pub quick: bool,
    /// Seed of all draws.
    pub seed: u64,
    /// Routers in place of the usual count.
    pub routers: Option<usize>,
    /// Calls a second that the list service takes, in place of what serves the fleet in four seconds.
    pub capacity: Option<f64>,
}

impl Run<'_> {
    fn routers(&self) -> usize {
        self.routers.unwrap_or(ROUTERS[usize::from(!self.quick)])
    }

    fn capacity(&self) -> f64 {
        self.capacity.unwrap_or(self.routers() as f64 / IDEAL_S)
    }
}

fn file(capacity: f64, routers: &str) -> String {
    format!("start: {{ budget: {capacity}{routers} }}\n")
}

fn seconds(ns: u64) -> f64 {
    ns as f64 / 1e9
}

/// A start, an outage of the list service, its return, and a drain told meanwhile.
fn herd(run: &Run, name: &str, program: &Path, operator: Option<String>) -> Result<Value, String> {
    let (routers, capacity) = (run.routers(), run.capacity());
    let mut fleet = Fleet::new(Setup {
        capacity,
        operator,
        engines: 6,
        rate: RATE / routers as f64,
        seed: run.seed,
        ..Setup::new(program, &format!("start-{name}-{}", run.seed), routers)
    })?;
    let count = routers as f64;
    let ideal_s = count / capacity;
    fleet.start_clients();
    let began = fleet.now();
    fleet.start_all()?;
    let all_live = |fleet: &Fleet| fleet.connected() == routers;
    let started = fleet.run_until(SETTLE, all_live)?;
    let settled = fleet.now();
    let used = fleet.used();
    let (start_calls, _) = calls_within(&fleet.list.calls, began, settled, SECOND_NS);

    let away = fleet.now();
    fleet.set_list_behavior(Behavior::Unavailable);
    // An engine leaves while nobody can be told; the service has it on its list when it comes back.
    fleet.run(AWAY - Duration::from_secs(2))?;
    fleet.drain(0);
    fleet.run(Duration::from_secs(2))?;
    let back = fleet.now();
    fleet.set_list_behavior(Behavior::Normal);
    let returned = fleet.run_until(SETTLE, all_live)?;
    let settled_again = fleet.now();
    // What goes out after the drain counted as told would be seen now.
    let after_told = 8 * SECOND_NS;
    let until = fleet.drain_started_ns[0].unwrap_or(back) + after_told;
    fleet.run(Duration::from_nanos(until.saturating_sub(fleet.now())))?;
    let calls = std::mem::take(&mut fleet.list.calls);
    let (away_calls, _) = calls_within(&calls, away, back, SECOND_NS);
    let (back_calls, _) = calls_within(&calls, back, settled_again, SECOND_NS);
    let (_, max_calls_per_s) = calls_within(&calls, began, settled_again, SECOND_NS);
    let (_, max_calls_per_100ms) = calls_within(&calls, back, settled_again, SECOND_NS / 10);
    let seconds_run = ((settled_again - began) / SECOND_NS) as usize + 1;
    let by_second: Vec<usize> = (0..seconds_run as u64)
        .map(|s| calls_within(&calls, began + s * SECOND_NS, began + (s + 1) * SECOND_NS, SECOND_NS).0)
        .collect();
    let blind = fleet.routers.iter().map(|r| r.longest_disconnect_ns).max().unwrap_or(0);
    let answered = fleet.stop_clients(Duration::from_secs(8))?;
    let handshakes: u64 = fleet.engines.iter().map(|e| e.accepted).sum();
    let audit = fleet.audit();
    let (asked, unanswered) = (fleet.sum(|t| t.asked as f64), fleet.sum(|t| t.unanswered as f64));
    let twice = fleet.sum(|t| t.twice as f64);
    let worth = fleet.sum(|t| t.worth) / fleet.sum(|t| t.worth_asked).max(1e-9);
    let (_, ended_well) = fleet.stop(Duration::from_secs(8))?;
    let mean =
        |of: fn(&(u64, u64)) -> u64| used.iter().map(of).sum::<u64>() as f64 / used.len().max(1) as f64;
    Ok(json!({
        "calls_per_router_start": start_calls as f64 / count,
        "calls_per_router_back": back_calls as f64 / count,
        "peak_over_capacity": max_calls_per_s as f64 / capacity,
        "peak_100ms_share": max_calls_per_100ms as f64 / count,
        "outage_calls_per_router_s": away_calls as f64 / count / seconds(back - away),
        "settled_over_ideal": seconds((settled - began).max(settled_again - back)) / ideal_s,
        "settled_over_ideal_start": seconds(settled - began) / ideal_s,
        "settled_over_ideal_back": seconds(settled_again - back) / ideal_s,
        "all_settled": started && returned,
        "longest_blind_s": seconds(blind),
        "calls_by_second": by_second,
        "away_from_to_s": [seconds(away - began), seconds(back - began)],
        "late_sends": audit.late_sends,
        "double_runs": audit.duplicate_runs,
        "double_answers": twice,
        "lost": unanswered,
        "all_answered": answered,
        "ended_well": ended_well,
        "asked": asked,
        "worth_kept": worth,
        "handshakes_a_request": handshakes as f64 / asked.max(1.0),
        "memory_kb": mean(|u| u.0),
        "start_cpu_ms": mean(|u| u.1) / 1e3,
    }))
}

/// Time from a start to the first answer, where a client asks as soon as it can (ms), over several starts.
fn first_answer(run: &Run, name: &str, program: &Path) -> Result<Value, String> {
    let setup = Setup {
        rate: 500.0,
        seed: run.seed,
        ..Setup::new(program, &format!("first-{name}-{}", run.seed), 1)
    };
    let mut fleet = Fleet::new(setup)?;
    fleet.start_clients();
    let mut times = Vec::new();
    for _ in 0..FIRST_STARTS {
        fleet.start(0)?;
        fleet.run_until(SETTLE, |fleet| fleet.load_generators[0].first_answer_ns.is_some())?;
        let first = fleet.load_generators[0].first_answer_ns.unwrap_or(u64::MAX);
        times.push(first.saturating_sub(fleet.routers[0].started_ns) as f64 / 1e6);
        fleet.kill(0);
    }
    times.sort_by(f64::total_cmp);
    Ok(json!({"median_ms": times[times.len() / 2], "least_ms": times[0], "most_ms": times[times.len() - 1]}))
}

/// Routers start onto engines that have just started, told so many routers: all at once, or one after the other over
/// `by_hand`.
fn cold(
    run: &Run,
    name: &str,
    program: &Path,
    told: Option<u32>,
    routers_key: &str,
    by_hand: Option<Duration>,
) -> Result<Value, String> {
    let (routers, capacity) = (run.routers(), run.capacity());
    let mut fleet = Fleet::new(Setup {
        capacity,
        operator: (!name.starts_with("against")).then(|| file(capacity, routers_key)),
        engines: 6,
        cold: true,
        configured_routers: told,
        rate: COLD_RATE / routers as f64,
        seed: run.seed,
        ..Setup::new(program, &format!("cold-{name}-{}", run.seed), routers)
    })?;
    fleet.start_clients();
    let end = fleet.now() + 10 * SECOND_NS;
    match by_hand {
        None => fleet.start_all()?,
        Some(over) => {
            for router in 0..routers {
                fleet.start(router)?;
                fleet.run(over / routers as u32)?;
            }
        }
    }
    fleet.run(Duration::from_nanos(end.saturating_sub(fleet.now())))?;
    let peak_overload =
        fleet.engines.iter().filter_map(|e| Some(e.cold.as_ref()?.peak_overload)).fold(0.0, f64::max);
    let down = fleet.engines.iter().filter(|e| !e.is_up()).count();
    let (worth, asked) = (fleet.sum(|t| t.worth), fleet.sum(|t| t.worth_asked));
    let handshakes: u64 = fleet.engines.iter().map(|e| e.accepted).sum();
    Ok(json!({
        "engine_peak_over_limit": peak_overload,
        "engines_down": down,
        "worth_10s": worth,
        "worth_share_10s": worth / asked.max(1e-9),
        "handshakes_a_request": handshakes as f64 / fleet.sum(|t| t.asked as f64).max(1.0),
        "double_runs": fleet.audit().duplicate_runs,
    }))
}

/// Something that is measured, under its name.
pub type Play<'a> = (String, Box<dyn FnOnce() -> Result<Value, String> + Send + 'a>);

/// Runs several at once, each on a thread of its own: a router's process ends with the thread that started it.
pub fn together(plays: Vec<Play>) -> Result<Map<String, Value>, String> {
    std::thread::scope(|scope| {
        let runs: Vec<_> = plays.into_iter().map(|(name, play)| (name, scope.spawn(play))).collect();
        let ended = runs.into_iter().map(|(name, run)| {
            let value = run.join().map_err(|_| format!("{name} failed"))??;
            Ok((name, value))
        });
        ended.collect()
    })
}

/// Measures it all.
///
/// # Errors
/// Where a fleet can't be started.
pub fn run(run: &Run) -> Result<Value, String> {
    let (routers, capacity) = (run.routers(), run.capacity());
    let herds = run.against.iter().map(|program| ("against", *program, None));
    let own = ("program", run.program, Some(file(capacity, "")));
    let unknown = ("unknown_count", run.program, Some(file(capacity, ", routers: \"unknown\"")));
    let mut plays: Vec<Play> = Vec::new();
    for (name, program, operator) in std::iter::once(own).chain(std::iter::once(unknown)).chain(herds) {
        plays.push((name.to_owned(), Box::new(move || herd(run, name, program, operator))));
    }
    let herds = together(plays)?;
    let counts = [
        ("right", None, ""),
        ("half", Some(routers as u32 / 2), ""),
        ("double", Some(routers as u32 * 2), ""),
        ("unknown", Some(1), ", routers: \"unknown\""),
    ];
    let mut plays: Vec<Play> = Vec::new();
    for (name, told, key) in counts {
        plays.push((name.to_owned(), Box::new(move || cold(run, name, run.program, told, key, None))));
    }
    let by_hand = move || cold(run, "by_hand", run.program, None, "", Some(BY_HAND));
    plays.push(("by_hand".into(), Box::new(by_hand)));
    if let Some(program) = run.against {
        plays.push(("against".into(), Box::new(move || cold(run, "against", program, None, "", None))));
    }
    let colds = together(plays)?;
    let peak_overload = |name: &str| colds[name]["engine_peak_over_limit"].as_f64().unwrap_or(f64::MAX);
    let mut told = herds["program"].as_object().cloned().unwrap_or_default();
    told.insert(
        "engine_peak_over_limit".into(),
        json!(["right", "half", "double", "unknown"].map(peak_overload).into_iter().fold(0.0, f64::max)),
    );
    let worth = |name: &str| colds[name]["worth_10s"].as_f64().unwrap_or(0.0);
    told.insert("worth_10s_over_by_hand".into(), json!(worth("right") / worth("by_hand").max(1e-9)));
    let firsts =
        std::iter::once(("program", run.program)).chain(run.against.map(|program| ("against", program)));
    let firsts: Result<Map<String, Value>, String> =
        firsts.map(|(name, program)| Ok((name.to_owned(), first_answer(run, name, program)?))).collect();
    told.insert("start_to_first_answer".into(), Value::Object(firsts?));
    told.insert("routers".into(), json!(routers));
    told.insert("capacity_per_s".into(), json!(capacity));
    told.insert("quick".into(), json!(run.quick));
    told.insert("seed".into(), json!(run.seed));
    told.insert("herds".into(), Value::Object(herds));
    told.insert("cold_starts".into(), Value::Object(colds));
    Ok(Value::Object(told))
}
