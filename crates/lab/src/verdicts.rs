//! What it costs a fleet to learn that an engine is silent or slow, where each router learns it alone and where they share what
//! they see; and how soon an operator's word holds for all.

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

use crate::start::{together, Play};

/// Routers, quick and full; engines and requests a second of each router.
const ROUTERS: [usize; 2] = [8, 40];
const ENGINES: usize = 8;
const RATE: f64 = 2.0;
/// Routers of the stepped fleets.
const STEPPED: [usize; 3] = [8, 40, 500];
/// Longest wait for something that must happen.
const LIMIT: Duration = Duration::from_secs(40);
/// How long the engine is silent, or slow.
const BROKEN: Duration = Duration::from_secs(12);
const SECOND_NS: u64 = 1_000_000_000;
/// A router that hears a word may still send what it has decided before (ns).
const DRAIN_NS: u64 = 500_000_000;

/// What is measured, and how large.
pub struct Run<'a> {
    /// The router's program.
    pub program: &'a Path,
    /// Fewer routers.
    pub quick: bool,
    /// Seed of all draws.
    pub seed: u64,
}

/// What becomes of the engine.
#[derive(Clone, Copy, PartialEq)]
enum Broken {
    Silent,
    Slow,
}

fn class() -> Vec<Class> {
    let usual = marljunction_testkit::fleet::classes().swap_remove(0);
    vec![Class {
        work_ms: 30.0,
        spread: 0.4,
        share: 1.0,
        target_latency_ms: 1_000.0,
        deadline_ms: 2_500.0,
        ..usual
    }]
}

fn fleet(run: &Run, name: &str, shared: bool) -> Result<Fleet, String> {
    let routers = ROUTERS[usize::from(!run.quick)];
    let verdicts = if shared { "verdicts: {}, " } else { "" };
    let mut fleet = Fleet::new(Setup {
        fleet: Some(format!("lease: 1s, {verdicts}limits: {{}}")),
        classes: class(),
        engines: ENGINES,
        engine_links: true,
        rate: RATE,
        seed: run.seed,
        ..Setup::new(run.program, &format!("verdicts-{name}-{shared}-{}", run.seed), routers)
    })?;
    fleet.start_all()?;
    fleet.run_until(LIMIT, |f| f.ready() == routers)?;
    fleet.start_clients();
    // Long enough for all to know each other and what their queries take.
    fleet.run(Duration::from_secs(12))?;
    Ok(fleet)
}

/// Attempts that came to nothing at an engine that gave no sign of life, over the whole fleet.
fn lost(counters: &[Counters]) -> f64 {
    let names = ["ended_given_up", "ended_timed_out", "ended_cut", "ended_unreachable", "ended_refused"];
    let of = |c: &Counters| names.iter().map(|name| counter(c, name)).sum::<u64>();
    counters.iter().map(of).sum::<u64>() as f64
}

/// An engine breaks for a while: what that costs, and when all of the routers know.
fn breaks(run: &Run, name: &str, broken: Broken, shared: bool) -> Result<Value, String> {
    let mut fleet = fleet(run, name, shared)?;
    let routers = fleet.routers.len();
    let before = lost(&fleet.counters(LIMIT)?);
    let worth_before = (fleet.sum(|t| t.worth), fleet.sum(|t| t.worth_asked));
    match broken {
        Broken::Silent => {
            let partitioned = Shape { partitioned: true, ..Shape::default() };
            fleet.shape(0, partitioned, partitioned);
        }
        Broken::Slow => {
            let slow = Shape { delay_ns: 350_000_000, ..Shape::default() };
            fleet.shape(0, slow, slow);
        }
    }
    let began = fleet.now();
    let mut out_after: Vec<Option<f64>> = vec![None; routers];
    while fleet.now() < began + BROKEN.as_nanos() as u64 {
        fleet.run(Duration::from_millis(100))?;
        let since = (fleet.now() - began) as f64 / 1e9;
        for (router, after) in out_after.iter_mut().enumerate().filter(|(_, after)| after.is_none()) {
            *after = fleet.log_text(router).contains("is out by what the fleet").then_some(since);
        }
    }
    let counters = fleet.counters(LIMIT)?;
    let lost = lost(&counters) - before;
    let worth_after = (fleet.sum(|t| t.worth), fleet.sum(|t| t.worth_asked));
    let worth = (worth_after.0 - worth_before.0) / (worth_after.1 - worth_before.1).max(1e-9);
    let healed = fleet.now();
    fleet.shape(0, Shape::default(), Shape::default());
    let back = fleet.run_until(LIMIT, |f| {
        !shared
            || (0..routers).all(|r| f.log_text(r).contains("is back by what the fleet"))
            || broken == Broken::Slow
    })?;
    let back_s = (fleet.now() - healed) as f64 / 1e9;
    let mut known: Vec<f64> = out_after.iter().flatten().copied().collect();
    known.sort_by(f64::total_cmp);
    let seconds = (fleet.now() - fleet.routers[0].started_ns) as f64 / SECOND_NS as f64;
    let used = fleet.used();
    Ok(json!({
        "lost": lost,
        "lost_a_router": lost / routers as f64,
        "worth_share": worth,
        "routers_that_left_it_out": known.len(),
        "time_to_out_p50_s": known.get(known.len() / 2),
        "time_to_out_worst_s": known.last(),
        "back_for_all": back,
        "back_s": back_s,
        "datagrams_a_router_s": mean(&counters, "fleet_datagrams") / seconds,
        "bytes_a_router_s": mean(&counters, "fleet_bytes") / seconds,
        "cpu_ms_a_router_s": used.iter().map(|u| u.1).sum::<u64>() as f64 / 1e3 / seconds / routers as f64,
        "memory_kb": used.iter().map(|u| u.0).max(),
        "unanswered": fleet.sum(|t| t.unanswered as f64),
    }))
}

/// An operator takes an engine out at one router, on links that lose a third.
fn word(run: &Run) -> Result<Value, String> {
    let mut fleet = fleet(run, "word", true)?;
    let routers = fleet.routers.len();
    let bad = Shape {
        loss: 0.3,
        duplication: 0.2,
        delay_ns: SECOND_NS / 50,
        jitter_ns: SECOND_NS / 10,
        ..Shape::default()
    };
    (0..routers).for_each(|to| fleet.shape_peer_link(None, to, bad));
    let log_text = fleet.now();
    let answer = fleet.call(1, "POST", "/fleet/engines/disable", "e1")?;
    let heard = |f: &Fleet| (0..routers).all(|r| f.log_text(r).contains("the whole fleet leaves out: e1"));
    let all = fleet.run_until(LIMIT, heard)?;
    let took = fleet.now() - log_text;
    let bound = propagation_bound_ns(&HealthParams { routers: routers as u32, ..HealthParams::default() });
    fleet.run(Duration::from_secs(4))?;
    Ok(json!({
        "answer": answer.1,
        "heard_by_all": all,
        "heard_s": took as f64 / 1e9,
        "heard_within_s": bound as f64 / 1e9,
        "heard_ratio": took as f64 / bound as f64,
        "operator_late_sends": fleet.sent_within(1, log_text + bound + DRAIN_NS, u64::MAX),
    }))
}

/// The same machines for hundreds of routers in stepped time: how soon a word is heard and an engine is out for all, and what
/// is said, idle and with evidence that changes each second.
fn stepped(routers: usize, seed: u64) -> Value {
    let mut fleet = health_fleet::Fleet::new(routers, seed);
    fleet.degrade_network();
    let bound = propagation_bound_ns(&fleet.params);
    let idle_from = (fleet.messages, fleet.bytes);
    fleet.run(5 * health_fleet::S);
    let each = |n: u64, seconds: f64| n as f64 / seconds / routers as f64;
    let idle = (fleet.messages - idle_from.0, fleet.bytes - idle_from.1);
    let now = fleet.now;
    fleet.node(0).set_override(now, "e1", true);
    let heard = fleet.run_until(4 * bound, "heard", |f| f.all(|n| n.overrides().get("e1").is_some()));
    (0..3).for_each(|at| fleet.attempt_ended(at, 4, AttemptOutcome::Silent));
    let out = |n: &mut Node| n.evaluation().engines.contains_key(&4);
    let found = fleet.run_until(4 * bound, "out", |f| f.all(out));
    let busy_from = (fleet.messages, fleet.bytes);
    for second in 0..5 {
        for at in 0..routers.min(40) {
            fleet.attempt_ended(
                at,
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
        "word_heard_s": heard as f64 / 1e9,
        "out_for_all_s": found as f64 / 1e9,
        "heard_within_s": bound as f64 / 1e9,
        "heard_ratio": heard.max(found) as f64 / bound as f64,
        "idle_messages_a_router_s": each(idle.0, 5.0),
        "idle_bytes_a_router_s": each(idle.1, 5.0),
        "busy_messages_a_router_s": each(busy.0, 5.0),
        "busy_bytes_a_router_s": each(busy.1, 5.0),
    })
}

/// Measures it all.
///
/// # Errors
/// Where a fleet can't be started.
pub fn run(run: &Run) -> Result<Value, String> {
    let mut plays: Vec<Play> = Vec::new();
    for (name, broken) in [("silent", Broken::Silent), ("slow", Broken::Slow)] {
        for (way, shared) in [("alone", false), ("shared", true)] {
            let play = move || breaks(run, name, broken, shared);
            plays.push((format!("{name}_{way}"), Box::new(play)));
        }
    }
    plays.push(("word".into(), Box::new(move || word(run))));
    let plays: Map<String, Value> = match run.quick {
        true => together(plays)?,
        // Hundreds of processes at once would measure the machine.
        false => plays.into_iter().map(|(name, play)| Ok((name, play()?))).collect::<Result<_, String>>()?,
    };
    let of = |name: &str, key: &str| plays[name][key].as_f64().unwrap_or(f64::MAX);
    Ok(json!({
        "silent_lost": of("silent_shared", "lost") / of("silent_alone", "lost").max(1.0),
        "slow_worth_over_alone": of("slow_shared", "worth_share") / of("slow_alone", "worth_share").max(1e-9),
        "time_to_out_p50_s": of("silent_shared", "time_to_out_p50_s"),
        "time_to_out_worst_s": of("silent_shared", "time_to_out_worst_s"),
        "back_s": of("silent_shared", "back_s"),
        "heard_ratio": of("word", "heard_ratio"),
        "operator_late_sends": of("word", "operator_late_sends"),
        "plays": plays,
        "stepped": STEPPED.iter().map(|n| (n.to_string(), stepped(*n, run.seed))).collect::<Map<String, Value>>(),
        "quick": run.quick,
        "seed": run.seed,
    }))
}
