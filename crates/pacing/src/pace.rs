//! What a fleet may ask of a service, and what follows from it by arithmetic.

/// Growth of the wait from one failure to the next at most (ratio): decorrelated jitter's usual one.
pub(crate) const MAX_BACKOFF_GROWTH: f64 = 3.0;
/// Least part of a wait that chance leaves (share): waits near nothing are calls that come to nothing.
pub(crate) const MIN_WAIT_SHARE: f64 = 0.5;
/// Least part of a caller's window that a wait is (share): callers that lost the service at one moment were spread over the
/// window by their first wait, and need only stay so.
pub(crate) const MIN_WINDOW_SHARE: f64 = 0.95;
/// Part of the budget that a fleet plans to use (share): draws are uneven, and a service that is asked for just all it
/// takes turns some away.
const PLANNED_BUDGET_SHARE: f64 = 0.95;
/// Waits grow to this multiple of a router's share of the budget, or to [`AWAY_NS`] where that is more (ratio).
const MAX_BACKOFF_INTERVALS: f64 = 1.4;
/// Wait to which a small fleet's waits grow while a service is away (ns): half a call a second for each router.
const MAX_BACKOFF_FLOOR_NS: u64 = 2_500_000_000;
/// Window over which a fleet of unknown size spreads what it does in step (ns).
const UNKNOWN_COUNT_WINDOW_NS: u64 = 2_000_000_000;
/// Callers that a fleet of unknown size is taken to have at most where a part too large does harm (count).
const ASSUMED_CALLERS: u32 = 500;
/// News is told at most so late, connected or not, in the platform's count (ns); see [`Pace::longest_for`].
pub const MAX_UPDATE_DELAY_NS: u64 = 7_000_000_000;
/// Left of that for a connection to come up and its first answer to come (ns).
const CONNECT_AND_ANSWER_NS: u64 = 500_000_000;

/// Settings of a pacer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacingParams {
    /// Shortest wait between a failure and the next call (ns).
    pub shortest_ns: u64,
    /// Longest wait before a call to a service that nothing speaks against (ns): at the start, after a stream that was well
    /// for long, with another service. Who counts a router as told once the service could have told it needs this to be
    /// short; who counts it as told some seconds later lets the fleet spread over them.
    pub spread_ns: u64,
    /// Longest wait between calls, whatever the service says (ns): news that a router waits for is no later for it.
    pub longest_ns: u64,
    /// Calls a second that the service takes from all callers together.
    pub budget_per_s: f64,
    /// Callers that share the budget; none where their count is not known.
    pub callers: Option<u32>,
    /// This caller's number among them, from 0.
    pub caller_index: u32,
}

/// What is wrong with settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParamsError {
    /// The longest wait is below the shortest.
    LongestBelowShortest,
    /// The budget is no positive number.
    Budget,
    /// All callers can't be served within the waits that are allowed: the fleet goes over the budget rather than be told late.
    /// Holds the time that the budget asks for (ns).
    IntervalOverLongest(u64),
}

impl Default for PacingParams {
    fn default() -> Self {
        PacingParams {
            shortest_ns: 100_000_000,
            spread_ns: 100_000_000,
            longest_ns: PacingParams::longest_wait_for(2_200_000_000),
            budget_per_s: 200.0,
            callers: None,
            caller_index: 0,
        }
    }
}

impl PacingParams {
    /// The longest wait under which news comes within [`TOLD_NS`] of the service's having it, though the connection went
    /// silent just before: silence is noticed after `silent_ns`, then comes the wait, then the answer.
    pub const fn longest_wait_for(silent_ns: u64) -> u64 {
        MAX_UPDATE_DELAY_NS - silent_ns - CONNECT_AND_ANSWER_NS
    }

    /// The longest time for which a router hears nothing of a service that takes and answers its calls (ns), where silence
    /// is noticed after `silent_ns`: a connection that has just gone silent, the longest wait, and the answer.
    pub const fn max_reconnect_ns(&self, silent_ns: u64) -> u64 {
        silent_ns + self.longest_ns + CONNECT_AND_ANSWER_NS
    }

    /// Time between one caller's calls at which all callers together keep to the budget (ns); none where their count is
    /// not known.
    pub fn call_interval_ns(&self) -> Option<u64> {
        self.callers.map(|n| (f64::from(n.max(1)) / (self.budget_per_s * PLANNED_BUDGET_SHARE) * 1e9) as u64)
    }

    /// Window over which callers spread what they would all do at one moment (ns): the time in which the service takes them
    /// all, no longer than the settings let them wait.
    pub fn window_ns(&self) -> u64 {
        self.call_interval_ns().unwrap_or(UNKNOWN_COUNT_WINDOW_NS).min(self.spread_ns).min(self.longest_ns)
    }

    /// Callers that a part of what all share is reckoned by: the count where it is known, else the most that a fleet is taken
    /// to have, so that the parts of all stay within the whole.
    pub fn caller_count(&self) -> u32 {
        self.callers.unwrap_or(ASSUMED_CALLERS)
    }

    /// Where in the window this caller's part is (share of the window); none where the count of callers is not known.
    pub fn slot(&self) -> Option<f64> {
        self.callers.map(|n| f64::from(self.caller_index % n.max(1)) / f64::from(n.max(1)))
    }

    /// What waits grow to while a service is away (ns): no longer than its budget asks for, as each further second is one
    /// more that the fleet takes to come back.
    pub fn max_backoff_ns(&self) -> u64 {
        let backoff = self.call_interval_ns().unwrap_or(0) as f64 * MAX_BACKOFF_INTERVALS;
        (backoff as u64).max(MAX_BACKOFF_FLOOR_NS).min(self.longest_ns)
    }

    /// The most calls that one caller makes within `span_ns` while the service is away: each wait is at least half of what
    /// growth has come to, and at least the caller's part of the window less chance's part.
    pub fn max_calls(&self, span_ns: u64) -> u64 {
        let floor = (self.window_ns() as f64 * MIN_WINDOW_SHARE) as u64;
        let (mut at, mut calls, mut backoff) = (0u64, 1, self.shortest_ns as f64);
        loop {
            let high = (backoff * MAX_BACKOFF_GROWTH).min(self.max_backoff_ns().max(self.shortest_ns) as f64);
            backoff = (high * MIN_WAIT_SHARE).max(self.shortest_ns as f64);
            at = at.saturating_add((backoff as u64).max(floor));
            if at > span_ns {
                return calls;
            }
            calls += 1;
        }
    }

    /// The least time in which the service can take all callers once (ns); none where their count is not known.
    pub fn min_all_calls_ns(&self) -> Option<u64> {
        self.callers.map(|n| (f64::from(n) / self.budget_per_s * 1e9) as u64)
    }

    /// What is wrong with the settings, worst first; none where nothing is. Only [`Unfit::ShareOverLongest`] can be
    /// worked with.
    pub fn find_error(&self) -> Option<ParamsError> {
        if !(self.budget_per_s.is_finite() && self.budget_per_s > 0.0) {
            return Some(ParamsError::Budget);
        }
        if self.longest_ns < self.shortest_ns {
            return Some(ParamsError::LongestBelowShortest);
        }
        let longest = self.longest_ns.min(self.spread_ns);
        self.call_interval_ns().filter(|interval| *interval > longest).map(ParamsError::IntervalOverLongest)
    }
}
