//! Schedules of faults, read from a text file. The same seed selects the same routers.
//!
//! Each line holds a time since the start and an event; `#` starts a comment. Routers are selected
//! by index, by a random share such as `50%`, or by `all`.
//!
//! ```text
//! 5s    list away          # or: well, silent, garbage, half, busy RETRY_AFTER, closes TIME
//! 5s    list takes 10      # calls per second
//! 7s    list anew          # restarts the list service, with event numbers from 1
//! 8s    streams close
//! 9s    kill 50%
//! 9.1s  start              # all routers that do not run
//! 12s   freeze 3           # SIGSTOP
//! 15s   wake               # SIGCONT for all paused routers
//! 16s   cut 50%            # partitions routers from the list service
//! 19s   mend
//! 20s   drain 1            # an engine, by index
//! 21s   lose 2             # crashes an engine without a notification
//! 22s   link 3 slow 300ms  # or: cut, cut-there, cut-back, trickle BYTES, reset, mend
//! ```

use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::link::Shape;
use crate::list::Behavior;

/// Routers that an event applies to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouterSelector {
    /// All routers.
    All,
    /// One router, by index.
    One(usize),
    /// A random share of the routers.
    Share(f64),
}

impl RouterSelector {
    fn parse(word: &str) -> Option<RouterSelector> {
        if word == "all" {
            return Some(RouterSelector::All);
        }
        match word.strip_suffix('%') {
            Some(part) => part
                .parse()
                .ok()
                .filter(|p| (0.0..=100.0).contains(p))
                .map(|p: f64| RouterSelector::Share(p / 100.0)),
            None => word.parse().ok().map(RouterSelector::One),
        }
    }

    /// Indices of the selected routers, out of `count`.
    pub fn select(self, count: usize, draws: &mut StdRng) -> Vec<usize> {
        match self {
            RouterSelector::All => (0..count).collect(),
            RouterSelector::One(at) => (0..count).filter(|i| *i == at).collect(),
            RouterSelector::Share(share) => {
                let mut all: Vec<usize> = (0..count).collect();
                all.shuffle(draws);
                all.truncate((count as f64 * share).round() as usize);
                all.sort_unstable();
                all
            }
        }
    }
}

/// A fault, or its end.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Sets the behavior of the list service.
    ListBehavior(Behavior),
    /// Sets the calls per second that the list service accepts.
    ListCapacity(f64),
    /// Restarts the list service, with event numbers from 1.
    RestartList,
    /// Closes all streams of the list service.
    CloseStreams,
    /// Kills routers.
    Kill(RouterSelector),
    /// Starts all routers that do not run.
    Start,
    /// Pauses routers with SIGSTOP.
    Pause(RouterSelector),
    /// Resumes all paused routers.
    Resume,
    /// Partitions routers from the list service.
    Partition(RouterSelector),
    /// Ends all partitions from the list service.
    HealPartitions,
    /// Drains an engine.
    Drain(usize),
    /// Crashes an engine without a notification.
    CrashEngine(usize),
    /// Shapes the link to an engine, in the direction to it and back.
    ShapeLink(usize, Shape, Shape),
    /// Resets all connections of the link to an engine.
    ResetLink(usize),
}

/// A fault at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Time since the start (ns).
    pub at_ns: u64,
    /// The fault.
    pub fault: Fault,
    /// Text of the event.
    pub text: String,
}

fn parse_time(word: &str) -> Option<u64> {
    let (number, unit) = match word.strip_suffix("ms") {
        Some(number) => (number, 1e6),
        None => (word.strip_suffix('s')?, 1e9),
    };
    number.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0).map(|n| (n * unit) as u64)
}

fn parse_fault(words: &[&str]) -> Option<Fault> {
    Some(match words {
        ["list", "well"] => Fault::ListBehavior(Behavior::Normal),
        ["list", "away"] => Fault::ListBehavior(Behavior::Unavailable),
        ["list", "silent"] => Fault::ListBehavior(Behavior::NoResponse),
        ["list", "garbage"] => Fault::ListBehavior(Behavior::InvalidResponse),
        ["list", "half"] => Fault::ListBehavior(Behavior::TruncatedResponse),
        ["list", "busy", after @ ..] => Fault::ListBehavior(Behavior::Rejecting(after.join(" "))),
        ["list", "closes", after] => Fault::ListBehavior(Behavior::ClosesAfter(parse_time(after)?)),
        ["list", "takes", calls] => Fault::ListCapacity(calls.parse().ok().filter(|c: &f64| *c > 0.0)?),
        ["list", "anew"] => Fault::RestartList,
        ["streams", "close"] => Fault::CloseStreams,
        ["kill", selector] => Fault::Kill(RouterSelector::parse(selector)?),
        ["start"] => Fault::Start,
        ["freeze", selector] => Fault::Pause(RouterSelector::parse(selector)?),
        ["wake"] => Fault::Resume,
        ["cut", selector] => Fault::Partition(RouterSelector::parse(selector)?),
        ["mend"] => Fault::HealPartitions,
        ["drain", engine] => Fault::Drain(engine.parse().ok()?),
        ["link", engine, "reset"] => Fault::ResetLink(engine.parse().ok()?),
        ["link", engine, how @ ..] => {
            let healthy = Shape::default();
            let partitioned = Shape { partitioned: true, ..healthy };
            let (to_engine, from_engine) = match how {
                ["cut"] => (partitioned, partitioned),
                ["cut-there"] => (partitioned, healthy),
                ["cut-back"] => (healthy, partitioned),
                ["mend"] => (healthy, healthy),
                ["slow", by] => {
                    let slow = Shape { delay_ns: parse_time(by)?, ..healthy };
                    (slow, slow)
                }
                ["trickle", bytes] => {
                    let bytes_per_s = Some(bytes.parse().ok().filter(|b| *b > 0)?);
                    (Shape { bytes_per_s, ..healthy }, Shape { bytes_per_s, ..healthy })
                }
                _ => return None,
            };
            Fault::ShapeLink(engine.parse().ok()?, to_engine, from_engine)
        }
        ["lose", engine] => Fault::CrashEngine(engine.parse().ok()?),
        _ => return None,
    })
}

/// Parses a schedule. Events are sorted by time; those of the same time stay in order.
///
/// # Errors
/// Names the first invalid line.
pub fn read(text: &str) -> Result<Vec<Event>, String> {
    let mut events = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default().trim();
        let words: Vec<&str> = line.split_whitespace().collect();
        let Some((at, what)) = words.split_first() else { continue };
        let event = parse_time(at)
            .zip(parse_fault(what))
            .ok_or_else(|| format!("line {}: {line:?} is not a valid event", number + 1));
        let (at_ns, fault) = event?;
        events.push(Event { at_ns, fault, text: what.join(" ") });
    }
    events.sort_by_key(|event| event.at_ns);
    Ok(events)
}
