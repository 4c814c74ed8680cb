//! Runs a small fleet on loopback (routers, engines, a list service and clients), injects faults
//! and shows its state.

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

/// Faults that are injected if no schedule is given.
const DEFAULT_SCHEDULE: &str = "
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
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Parameters of a run.
pub struct Options<'a> {
    /// Router executable.
    pub program: &'a Path,
    /// Number of routers.
    pub routers: usize,
    /// File with a schedule of faults; [`DEFAULT_SCHEDULE`] if none.
    pub faults: Option<&'a Path>,
    /// Duration.
    pub time: Duration,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// The fleet's state as text: a line per router and engine, client totals and the latest faults.
fn render(fleet: &Fleet, now: u64, applied_faults: &[String]) -> String {
    let mut text = String::new();
    let line = |text: &mut String, args: std::fmt::Arguments| {
        let _ = writeln!(text, "{args}");
    };
    line(
        &mut text,
        format_args!(
            "router  process  stream      age s  calls  taken served refused failed  listed engines"
        ),
    );
    for (index, router) in fleet.routers.iter().enumerate() {
        let Some(process) = &router.process else {
            line(&mut text, format_args!("r{index:<6} gone"));
            continue;
        };
        let counters = process.counters();
        let of = |name: &str| counter(&counters, name);
        let stream = match fleet.list.connected_since(index) {
            Some(since) => format!("up {:>4.1} s", now.saturating_sub(since) as f64 / 1e9),
            None => "none".to_owned(),
        };
        let state = if router.paused() { "stands" } else { "runs" };
        line(
            &mut text,
            format_args!(
                "r{index:<6} {state:<8} {stream:<10} {:>6.1} {:>6} {:>6} {:>6} {:>7} {:>6}  {}",
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
            all(|t| t.requests),
            all(|t| t.served),
            all(|t| t.refused),
            all(|t| t.failed),
            all(|t| t.unanswered)
        ),
    );
    applied_faults.iter().rev().take(6).rev().for_each(|entry| line(&mut text, format_args!("{entry}")));
    text
}

/// Runs the fleet. Returns the summary and whether all checks passed.
///
/// # Errors
/// If the schedule cannot be read or the fleet cannot be started.
pub fn run(options: &Options) -> Result<(String, bool), String> {
    let events = match options.faults {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            schedule::read(&text).map_err(|fault| format!("{}: {fault}", path.display()))?
        }
        None => schedule::read(DEFAULT_SCHEDULE)?,
    };
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, interrupted.clone())
            .map_err(|e| format!("cannot install the signal handlers: {e}"))?;
    }
    let capacity = (options.routers as f64 / 2.0).max(2.0);
    let mut fleet = Fleet::new(Setup {
        capacity,
        operator: Some(format!("start: {{ budget: {capacity} }}\n")),
        rate: 40.0 / options.routers.max(1) as f64,
        seed: options.seed,
        ..Setup::new(options.program, "fleet", options.routers)
    })?;
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut events = events.into_iter().peekable();
    let terminal = std::io::stdout().is_terminal();
    let start_ns = fleet.now();
    let end = start_ns + options.time.as_nanos() as u64;
    let mut applied_faults = Vec::new();
    fleet.start_clients();
    fleet.start_all()?;
    while fleet.now() < end && !interrupted.load(Ordering::Relaxed) {
        fleet.request_counters();
        let until = fleet.now() + REFRESH_INTERVAL.as_nanos() as u64;
        while fleet.now() < until && !interrupted.load(Ordering::Relaxed) {
            let now = fleet.now();
            while let Some(Event { fault, text, .. }) = events.next_if(|event| start_ns + event.at_ns <= now)
            {
                let targets = fleet.apply(&fault, &mut rng)?;
                let entry = format!("{:>5.1} s  {text}{targets}", (now - start_ns) as f64 / 1e9);
                if !terminal {
                    println!("{entry}");
                }
                applied_faults.push(entry);
            }
            let next = events.peek().map_or(until, |event| (start_ns + event.at_ns).min(until));
            fleet.run(Duration::from_nanos(next.saturating_sub(now).clamp(1, 50_000_000)))?;
        }
        if terminal {
            // Moves the cursor to the top left and clears the screen.
            print!("\x1b[H\x1b[J{}", render(&fleet, fleet.now(), &applied_faults));
            let _ = std::io::stdout().flush();
        }
    }
    summary(fleet)
}

fn summary(mut fleet: Fleet) -> Result<(String, bool), String> {
    fleet.heal_all()?;
    let answered = fleet.stop_clients(Duration::from_secs(8))?;
    let now = fleet.now();
    let last = render(&fleet, now, &[]);
    let audit = fleet.audit();
    let (unanswered, twice) = (fleet.sum(|t| t.unanswered as f64), fleet.sum(|t| t.twice as f64));
    let excluded_calls: u64 = fleet.load_generators.iter().map(|load| load.excluded_calls).sum();
    let max_blind_ns = fleet.routers.iter().map(|r| r.longest_disconnect_ns).max().unwrap_or(0);
    let calls = fleet.list.calls.len();
    let (_, ended_well) = fleet.stop(Duration::from_secs(8))?;
    let checks_passed =
        audit.late_sends == 0 && audit.duplicate_runs == 0 && unanswered == 0.0 && twice == 0.0;
    let text = format!(
        "{last}\nsent to engines {}, after a drain was known {}, run twice {}, answered twice {twice}, unanswered {unanswered} \
         ({excluded_calls} more at killed or paused routers)\ncalls to the list service {calls}; longest time without a stream \
         while it was available {:.1} s\nall answered: {answered}; all routers exited cleanly: {ended_well}\n{}",
        audit.sends,
        audit.late_sends,
        audit.duplicate_runs,
        max_blind_ns as f64 / 1e9,
        if checks_passed { "all checks passed" } else { "A CHECK FAILED" },
    );
    Ok((text, checks_passed && answered && ended_well))
}
