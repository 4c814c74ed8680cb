//! What breaks, and when: a small text file, the same on each run of a seed. Pure.
//!
//! One event a line: a time since the start, then what happens. `#` begins a remark. Whom an event of routers is for is said by
//! a number, by a share such as `50%`, which the seed draws, or by `all`.
//!
//! ```text
//! 5s    list away          # or: well, silent, garbage, half, busy AFTER, closes TIME
//! 5s    list takes 10      # calls a second
//! 7s    list anew          # its numbers begin at 1
//! 8s    streams close
//! 9s    kill 50%
//! 9.1s  start              # all that are not there
//! 12s   freeze 3
//! 15s   wake               # all that stand still
//! 16s   cut 50%            # from the list service
//! 19s   mend
//! 20s   drain 1            # an engine, by its number
//! 21s   lose 2
//! 22s   link 3 slow 300ms  # to an engine: or cut, cut-there, cut-back, trickle BYTES, reset, mend
//! ```

use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::link::Shape;
use crate::list::Behavior;

/// Which routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouterSelector {
    /// All of them.
    All,
    /// One, by its number.
    One(usize),
    /// So large a share of them, drawn (share).
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

    /// Their numbers, of `count`.
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

/// Something that breaks, or is mended.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The list service behaves so from here on.
    ListBehavior(Behavior),
    /// It takes so many calls a second.
    ListCapacity(f64),
    /// It starts anew, with numbers from 1.
    RestartList,
    /// It closes all streams.
    CloseStreams,
    /// Routers are killed.
    Kill(RouterSelector),
    /// Those that are not there are started.
    Start,
    /// Routers stand still.
    Pause(RouterSelector),
    /// Those that stand still go on.
    Resume,
    /// Routers are cut off from the list service.
    Partition(RouterSelector),
    /// Their links are mended.
    HealPartitions,
    /// An engine drains.
    Drain(usize),
    /// An engine is gone, and nobody is told.
    CrashEngine(usize),
    /// What passes to an engine, and back, is shaped so.
    ShapeLink(usize, Shape, Shape),
    /// All connections to an engine are reset.
    ResetLink(usize),
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When, since the start (ns).
    pub at_ns: u64,
    /// What.
    pub fault: Fault,
    /// Its text.
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

/// Reads a schedule's text: its events by time, those of one moment as they stand.
///
/// # Errors
/// Names the first line that can't be read.
pub fn read(text: &str) -> Result<Vec<Event>, String> {
    let mut events = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default().trim();
        let words: Vec<&str> = line.split_whitespace().collect();
        let Some((at, what)) = words.split_first() else { continue };
        let event = parse_time(at)
            .zip(parse_fault(what))
            .ok_or_else(|| format!("line {}: {line:?} says nothing that can happen", number + 1));
        let (at_ns, fault) = event?;
        events.push(Event { at_ns, fault, text: what.join(" ") });
    }
    events.sort_by_key(|event| event.at_ns);
    Ok(events)
}
