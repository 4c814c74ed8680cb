//! A whole small fleet on loopback, to be watched: routers, engines, a list service and clients, and what is broken between
//! them.

use std::fmt::Write as _;
use std::io::{IsTerminal, Write as _};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use marljunction_testkit::fleet::{Fleet, Setup};
use marljunction_testkit::process::counter;
use marljunction_testkit::schedule::{self, Event};
use rand::rngs::StdRng;
use rand::SeedableRng;

/// What breaks where no file says so.
const FAULTS: &str = "
5s list away
9s drain 0
13s list well
18s kill 70%
18.1s start
24s freeze 1
27s wake
30s cut 50%
35s mend
38s list anew
42s list closes 1s
48s list well
50s lose 1
";
/// How often the picture is drawn.
const DRAW: Duration = Duration::from_millis(500);

/// What is to be played.
pub struct Play<'a> {
    /// The router's program.
    pub program: &'a Path,
    /// Routers.
    pub routers: usize,
    /// A schedule of faults; the usual one, if none.
    pub faults: Option<&'a Path>,
    /// How long for.
    pub time: Duration,
    /// Seed of all draws.
    pub seed: u64,
}

/// One line for each router: whether it is there, its stream, and what it says of itself.
fn picture(fleet: &Fleet, now: u64, broken: &[String]) -> String {
    let mut text = String::new();
    let line = |text: &mut String, what: std::fmt::Arguments| {
        let _ = writeln!(text, "{what}");
    };
    line(
        &mut text,
        format_args!(
            "router  process  stream     news s  calls  taken served refused failed  engines told of"
        ),
    );
    for (at, router) in fleet.routers.iter().enumerate() {
        let Some(process) = &router.process else {
            line(&mut text, format_args!("r{at:<6} gone"));
            continue;
        };
        let counters = process.counters();
        let of = |name: &str| counter(&counters, name);
        let stream = match fleet.list.connected_since(at) {
            Some(since) => format!("up {:>4.1} s", now.saturating_sub(since) as f64 / 1e9),
            None => "none".to_owned(),
        };
        let state = if router.paused() { "stands" } else { "runs" };
        line(
            &mut text,
            format_args!(
                "r{at:<6} {state:<8} {stream:<10} {:>6.1} {:>6} {:>6} {:>6} {:>7} {:>6}  {}",
                of("list_age_ms") as f64 / 1e3,
                of("list_calls"),
                of("taken"),
                of("served"),
                of("refused"),
                of("failed"),
                of("list_engines"),
            ),
        );
    }
    for (engine, state) in fleet.engines.iter().zip(fleet.states()) {
        let up = if engine.is_up() { state } else { "gone" };
        line(
            &mut text,
            format_args!(
                "{:<7} {up:<12} {} queries, {} connections",
                engine.uid, engine.started, engine.accepted
            ),
        );
    }
    let all = |of: fn(&marljunction_testkit::load::RequestStats) -> u64| fleet.sum(|t| of(t) as f64);
    line(
        &mut text,
        format_args!(
            "clients asked {}, served {}, refused {}, failed {}, unanswered {}",
            all(|t| t.asked),
            all(|t| t.served),
            all(|t| t.refused),
            all(|t| t.failed),
            all(|t| t.unanswered)
        ),
    );
    broken.iter().rev().take(6).rev().for_each(|told| line(&mut text, format_args!("{told}")));
    text
}

/// Plays it; gives the summary, and whether all rules were kept.
///
/// # Errors
/// Where the schedule can't be read or the fleet can't be started.
pub fn run(play: &Play) -> Result<(String, bool), String> {
    let events = match play.faults {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            schedule::read(&text).map_err(|fault| format!("{}: {fault}", path.display()))?
        }
        None => schedule::read(FAULTS)?,
    };
    let stopped = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stopped.clone()).map_err(|e| format!("signals: {e}"))?;
    }
    let capacity = (play.routers as f64 / 2.0).max(2.0);
    let mut fleet = Fleet::new(Setup {
        capacity,
        operator: Some(format!("start: {{ budget: {capacity} }}\n")),
        rate: 40.0 / play.routers.max(1) as f64,
        seed: play.seed,
        ..Setup::new(play.program, "fleet", play.routers)
    })?;
    let mut draws = StdRng::seed_from_u64(play.seed);
    let mut events = events.into_iter().peekable();
    let terminal = std::io::stdout().is_terminal();
    let began = fleet.now();
    let end = began + play.time.as_nanos() as u64;
    let mut broken = Vec::new();
    fleet.start_clients();
    fleet.start_all()?;
    while fleet.now() < end && !stopped.load(Ordering::Relaxed) {
        fleet.request_counters();
        let until = fleet.now() + DRAW.as_nanos() as u64;
        while fleet.now() < until && !stopped.load(Ordering::Relaxed) {
            let now = fleet.now();
            while let Some(Event { fault, text, .. }) = events.next_if(|event| began + event.at_ns <= now) {
                let whom = fleet.apply(&fault, &mut draws)?;
                let told = format!("{:>5.1} s  {text}{whom}", (now - began) as f64 / 1e9);
                if !terminal {
                    println!("{told}");
                }
                broken.push(told);
            }
            let next = events.peek().map_or(until, |event| (began + event.at_ns).min(until));
            fleet.run(Duration::from_nanos(next.saturating_sub(now).clamp(1, 50_000_000)))?;
        }
        if terminal {
            // To the top left, and everything below it anew.
            print!("\x1b[H\x1b[J{}", picture(&fleet, fleet.now(), &broken));
            let _ = std::io::stdout().flush();
        }
    }
    summary(fleet)
}

fn summary(mut fleet: Fleet) -> Result<(String, bool), String> {
    fleet.heal_all()?;
    let answered = fleet.stop_clients(Duration::from_secs(8))?;
    let now = fleet.now();
    let last = picture(&fleet, now, &[]);
    let audit = fleet.audit();
    let (unanswered, twice) = (fleet.sum(|t| t.unanswered as f64), fleet.sum(|t| t.twice as f64));
    let excluded_calls: u64 = fleet.load_generators.iter().map(|load| load.excluded_calls).sum();
    let blind = fleet.routers.iter().map(|r| r.longest_disconnect_ns).max().unwrap_or(0);
    let calls = fleet.list.calls.len();
    let (_, well) = fleet.stop(Duration::from_secs(8))?;
    let kept = audit.late_sends == 0 && audit.duplicate_runs == 0 && unanswered == 0.0 && twice == 0.0;
    let text = format!(
        "{last}\nsent to engines {}, after a drain was known {}, run twice {}, answered twice {twice}, unanswered {unanswered} \
         ({excluded_calls} more with routers that were killed or stood still)\ncalls to the list service {calls}; longest without a \
         stream while it took calls {:.1} s\nall answered: {answered}; all routers ended well: {well}\n{}",
        audit.sends,
        audit.late_sends,
        audit.duplicate_runs,
        blind as f64 / 1e9,
        if kept { "all rules were kept" } else { "A RULE WAS BROKEN" },
    );
    Ok((text, kept && answered && well))
}
