//! The machine that says when the next call may be made. At most one call is out at a time, so a process that stood
//! still and finds its time long past makes one call, not all that it missed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::pace::{PacingParams, MAX_BACKOFF_GROWTH, MIN_WAIT_SHARE, MIN_WINDOW_SHARE};

/// Time up after which half of what was learned from failures is forgotten (ns).
const BACKOFF_HALF_LIFE_NS: f64 = 10_000_000_000.0;
/// Part of the window that chance moves a caller from its place by (share): callers that were given one number by mistake
/// do not all call at the same moment, and those that were given their own keep to the budget in each part of it.
const SLOT_JITTER: f64 = 0.125;
/// The window is widened to this multiple at most by calls that were turned away (ratio).
const MAX_STRETCH: f64 = 16.0;
/// Longest wait behind an answer that is of no use (ns).
pub const MAX_UNUSABLE_WAIT_NS: u64 = 60_000_000_000;
/// Time up after which half of that is forgotten (ns): a count that was wrong stays so for long.
const STRETCH_HALF_LIFE_NS: f64 = 60_000_000_000.0;

/// Why a call came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The service can't be reached, said nothing, or what it said can't be read.
    Unavailable,
    /// The service is there and turned the call away for its load; `after_ns` is the time that it asks to stay away for.
    Rejected {
        /// The time asked for, where one was told that can be read (ns).
        after_ns: Option<u64>,
    },
    /// What it said is of no use to this caller and would be so again, as a list over its bound. Each call costs the service
    /// all that it carries, so waits grow past the longest of the settings, up to [`MAX_USELESS_WAIT_NS`].
    Unusable,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// The next call may be made then (ns).
    Waiting(u64),
    /// A call is out.
    Calling,
    /// The service has taken it and answers, since then (ns).
    Up(u64),
}

/// When one caller's next call to one service may be made.
#[derive(Clone, Debug)]
pub struct Pacer {
    pace: PacingParams,
    rng: StdRng,
    state: State,
    /// What the wait grows from (ns); nothing where all was well for long.
    backoff_ns: f64,
    /// What calls that were turned away say that the window is too narrow by (ratio).
    stretch: f64,
    calls: u64,
    rejected: u64,
}

impl Pacer {
    /// A pacer whose first call is due within the window from `now` on: all that start at one moment differ by `seed`.
    pub fn new(pace: PacingParams, seed: u64, now: u64) -> Pacer {
        let rng = StdRng::seed_from_u64(seed);
        let state = State::Waiting(now);
        let mut pacer = Pacer { pace, rng, state, backoff_ns: 0.0, stretch: 1.0, calls: 0, rejected: 0 };
        pacer.restart(now);
        pacer
    }

    /// Starts anew, as with another service: the next call is due within the window.
    pub fn restart(&mut self, now: u64) {
        let wait = self.spread_wait();
        (self.state, self.backoff_ns) = (State::Waiting(now.saturating_add(wait)), 0.0);
    }

    /// Settings that hold from the next wait on.
    pub fn set_pace(&mut self, pace: PacingParams) {
        self.pace = pace;
    }

    /// When the next call may be made (ns); none while one is out or up.
    pub fn due_ns(&self) -> Option<u64> {
        match self.state {
            State::Waiting(due) => Some(due),
            _ => None,
        }
    }

    /// Calls made, and how many of them the service turned away for its load.
    pub fn calls(&self) -> (u64, u64) {
        (self.calls, self.rejected)
    }

    /// Takes the leave to make a call, where one is due.
    pub fn call(&mut self, now: u64) -> bool {
        let due = self.due_ns().is_some_and(|due| now >= due);
        if due {
            (self.state, self.calls) = (State::Calling, self.calls + 1);
        }
        due
    }

    /// The service has taken the call.
    pub fn accepted(&mut self, now: u64) {
        if self.state == State::Calling {
            self.state = State::Up(now);
        }
    }

    /// The call came to nothing.
    pub fn failed(&mut self, now: u64, failure: Failure) {
        let wait = match failure {
            Failure::Unavailable => self.next_backoff(true),
            Failure::Unusable => {
                let wait = self.next_backoff_within(MAX_UNUSABLE_WAIT_NS, true);
                self.state = State::Waiting(now.saturating_add(wait));
                return;
            }
            Failure::Rejected { after_ns } => {
                self.rejected += 1;
                let spread = self.draw(0.0, self.window_ns());
                self.stretch = (self.stretch * 2.0).min(MAX_STRETCH);
                match after_ns {
                    // Never sooner than asked, and out of step with all who were told the same at the same moment.
                    Some(after) => after.saturating_add(spread).max(self.pace.shortest_ns),
                    None => self.next_backoff(true).max(spread),
                }
            }
        };
        self.schedule(now, wait);
    }

    /// What was up has ended, for no fault of the call: a stream that its service closed, a query that was answered.
    pub fn ended(&mut self, now: u64) {
        let State::Up(since) = self.state else { return self.failed(now, Failure::Unavailable) };
        let up_ns = now.saturating_sub(since) as f64;
        self.backoff_ns *= (-up_ns / BACKOFF_HALF_LIFE_NS * std::f64::consts::LN_2).exp();
        self.stretch =
            1.0 + (self.stretch - 1.0) * (-up_ns / STRETCH_HALF_LIFE_NS * std::f64::consts::LN_2).exp();
        // Guards against hammering a service that takes each call and drops it at once: what is soon over counts as a
        // failure, what was up for long does not. The first time it may be that all streams were dropped at one moment:
        // then a wait of nearly the whole window would keep them in step.
        let is_backing_off = self.backoff_ns > self.pace.shortest_ns as f64;
        let flap_wait = if up_ns < BACKOFF_HALF_LIFE_NS { self.next_backoff(is_backing_off) } else { 0 };
        let spread = self.spread_wait();
        self.schedule(now, spread.max(flap_wait));
    }

    /// An answer was whole and well; the next query follows it, out of step with all others that were answered at the same
    /// moment.
    pub fn answered(&mut self, now: u64) {
        (self.backoff_ns, self.stretch) = (0.0, 1.0 + (self.stretch - 1.0) / 2.0);
        let spread = self.spread_wait();
        self.schedule(now, spread);
    }

    fn schedule(&mut self, now: u64, wait: u64) {
        let longest = self.pace.longest_ns;
        // Guards against all waits that were cut being the same one.
        let wait = if wait > longest { self.draw(longest as f64 * MIN_WINDOW_SHARE, longest) } else { wait };
        self.state = State::Waiting(now.saturating_add(wait));
    }

    /// A wait that no other caller has that begins to wait at the same moment: by its number where all keep to that, by
    /// chance alone where the count is not known, or where calls that were turned away say that it is wrong.
    fn spread_wait(&mut self) -> u64 {
        let window = self.window_ns();
        match self.pace.slot().filter(|_| self.stretch <= 1.0 + f64::EPSILON) {
            Some(slot) => ((slot + self.rng.gen_range(0.0..SLOT_JITTER)).fract() * window as f64) as u64,
            None => self.draw(0.0, window),
        }
    }

    /// Window over which this caller spreads what others do at the same moment (ns).
    fn window_ns(&self) -> u64 {
        ((self.pace.window_ns() as f64 * self.stretch) as u64).min(self.pace.longest_ns)
    }

    /// The wait after one more failure in a row: decorrelated jitter, and at least the caller's share of the budget where
    /// callers are `spread` over it already.
    fn next_backoff(&mut self, spread: bool) -> u64 {
        self.next_backoff_within(self.pace.max_backoff_ns(), spread)
    }

    fn next_backoff_within(&mut self, max_ns: u64, spread: bool) -> u64 {
        let shortest = self.pace.shortest_ns;
        let high = (self.backoff_ns.max(shortest as f64) * MAX_BACKOFF_GROWTH)
            .min(max_ns.max(shortest) as f64) as u64;
        let backoff = self.draw((high as f64 * MIN_WAIT_SHARE).max(shortest as f64), high);
        self.backoff_ns = backoff as f64;
        let window = if spread { self.pace.window_ns() } else { 0 };
        backoff.max(self.draw(window as f64 * MIN_WINDOW_SHARE, window))
    }

    fn draw(&mut self, low: f64, high: u64) -> u64 {
        let high = high as f64;
        if high <= low {
            return high as u64;
        }
        self.rng.gen_range(low..=high) as u64
    }
}
