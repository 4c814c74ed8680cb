//! State machine that decides when a caller may make its next call.
//!
//! At most one call is in progress, so a process that resumes after a suspension makes one call,
//! not all those that it missed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::pace::{PacingParams, MAX_BACKOFF_GROWTH, MIN_WAIT_SHARE, MIN_WINDOW_SHARE};

/// Time with an open connection after which the backoff has halved (ns).
const BACKOFF_HALF_LIFE_NS: f64 = 10_000_000_000.0;
/// Random offset of a call within the window, as a fraction of it. It separates callers that share
/// an index by mistake, and is small enough that others keep to the budget.
const SLOT_JITTER: f64 = 0.125;
/// Largest factor by which rejected calls widen the window.
const MAX_STRETCH: f64 = 16.0;
/// Longest wait after an unusable response (ns).
pub const MAX_UNUSABLE_WAIT_NS: u64 = 60_000_000_000;
/// Time with an open connection after which the widening of the window has halved (ns). It is long
/// because a wrong number of callers stays wrong.
const STRETCH_HALF_LIFE_NS: f64 = 60_000_000_000.0;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The service is unreachable, or did not respond with what was asked for.
    Unavailable,
    /// The service rejected the call because of its load.
    Rejected {
        /// Time for which the service asks the caller to wait (ns), if it sent a valid one.
        after_ns: Option<u64>,
    },
    /// The response is valid but unusable, and would be so again, such as a list over its size
    /// limit. As each such call costs the service a full response, waits grow beyond the longest
    /// wait of the parameters, up to [`MAX_UNUSABLE_WAIT_NS`].
    Unusable,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// The next call is due at this time (ns).
    Waiting(u64),
    /// A call is in progress.
    Calling,
    /// The service accepted the call at this time (ns), and its response is in progress.
    Up(u64),
}

/// Decides when one caller may make its next call to one service.
#[derive(Clone, Debug)]
pub struct Pacer {
    pace: PacingParams,
    rng: StdRng,
    state: State,
    /// Last backoff (ns), from which the next one grows. 0 if there was none.
    backoff_ns: f64,
    /// Factor by which rejected calls have widened the window, from 1.
    stretch: f64,
    calls: u64,
    rejected: u64,
}

impl Pacer {
    /// Schedules the first call within the window from `now`. The seed has to differ between
    /// callers.
    pub fn new(pace: PacingParams, seed: u64, now: u64) -> Pacer {
        let rng = StdRng::seed_from_u64(seed);
        let state = State::Waiting(now);
        let mut pacer = Pacer { pace, rng, state, backoff_ns: 0.0, stretch: 1.0, calls: 0, rejected: 0 };
        pacer.restart(now);
        pacer
    }

    /// Resets the backoff and schedules a call within the window, as for a new service.
    pub fn restart(&mut self, now: u64) {
        let wait = self.spread_wait();
        (self.state, self.backoff_ns) = (State::Waiting(now.saturating_add(wait)), 0.0);
    }

    /// Replaces the parameters from the next wait on.
    pub fn set_pace(&mut self, pace: PacingParams) {
        self.pace = pace;
    }

    /// When the next call is due (ns). `None` while a call or its response is in progress.
    pub fn due_ns(&self) -> Option<u64> {
        match self.state {
            State::Waiting(due) => Some(due),
            _ => None,
        }
    }

    /// Number of calls made, and how many of them were rejected because of load.
    pub fn calls(&self) -> (u64, u64) {
        (self.calls, self.rejected)
    }

    /// Starts a call if one is due. Returns whether it was.
    pub fn call(&mut self, now: u64) -> bool {
        let due = self.due_ns().is_some_and(|due| now >= due);
        if due {
            (self.state, self.calls) = (State::Calling, self.calls + 1);
        }
        due
    }

    /// Records that the service accepted the call.
    pub fn accepted(&mut self, now: u64) {
        if self.state == State::Calling {
            self.state = State::Up(now);
        }
    }

    /// Records that the call failed, and schedules the next one.
    pub fn failed(&mut self, now: u64, failure: Failure) {
        let wait = match failure {
            Failure::Unavailable => self.next_backoff_within(self.pace.max_outage_wait_ns(), true),
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
                    // Never earlier than requested, and spread among callers that were rejected
                    // together.
                    Some(after) => after.saturating_add(spread).max(self.pace.shortest_ns),
                    None => self.next_backoff(true).max(spread),
                }
            }
        };
        self.schedule(now, wait);
    }

    /// Records that an accepted call ended without a fault of its own, such as a stream that the
    /// service closed, and schedules the next one. It counts as unavailable if the call was never
    /// accepted.
    pub fn ended(&mut self, now: u64) {
        let State::Up(since) = self.state else { return self.failed(now, Failure::Unavailable) };
        let up_ns = now.saturating_sub(since) as f64;
        self.backoff_ns *= (-up_ns / BACKOFF_HALF_LIFE_NS * std::f64::consts::LN_2).exp();
        self.stretch =
            1.0 + (self.stretch - 1.0) * (-up_ns / STRETCH_HALF_LIFE_NS * std::f64::consts::LN_2).exp();
        // Guards against rapid reconnects to a service that accepts each call and drops it soon
        // after: a short connection counts as a failure. The first drop may have hit all callers at
        // once; a minimum wait of nearly the whole window would then keep them in step.
        let is_backing_off = self.backoff_ns > self.pace.shortest_ns as f64;
        let flap_wait = if up_ns < BACKOFF_HALF_LIFE_NS { self.next_backoff(is_backing_off) } else { 0 };
        let spread = self.spread_wait();
        self.schedule(now, spread.max(flap_wait));
    }

    /// Records a complete and valid response, and schedules the next call within the window, apart
    /// from callers that were answered at the same moment.
    pub fn answered(&mut self, now: u64) {
        (self.backoff_ns, self.stretch) = (0.0, 1.0 + (self.stretch - 1.0) / 2.0);
        let spread = self.spread_wait();
        self.schedule(now, spread);
    }

    fn schedule(&mut self, now: u64, wait: u64) {
        let longest = self.pace.longest_ns;
        // Limited waits are drawn again, so that they do not all have the same length.
        let wait = if wait > longest { self.draw(longest as f64 * MIN_WINDOW_SHARE, longest) } else { wait };
        self.state = State::Waiting(now.saturating_add(wait));
    }

    /// Wait that spreads callers that begin to wait at the same moment. It uses the caller's slot,
    /// or a random part of the window if the number of callers is unknown or rejected calls suggest
    /// that it is wrong.
    fn spread_wait(&mut self) -> u64 {
        let window = self.window_ns();
        match self.pace.slot().filter(|_| self.stretch <= 1.0 + f64::EPSILON) {
            Some(slot) => ((slot + self.rng.gen_range(0.0..SLOT_JITTER)).fract() * window as f64) as u64,
            None => self.draw(0.0, window),
        }
    }

    /// Window over which this caller spreads its calls, with the widening by rejected calls (ns).
    fn window_ns(&self) -> u64 {
        ((self.pace.window_ns() as f64 * self.stretch) as u64).min(self.pace.longest_ns)
    }

    /// Next wait after a failure: decorrelated jitter. If `spread`, the wait is also at least
    /// nearly the whole window.
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
