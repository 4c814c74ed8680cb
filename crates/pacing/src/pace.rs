//! Pacing parameters, and the bounds on waits and calls that follow from them.

/// Largest growth of the backoff from one failure to the next, as is usual for decorrelated jitter.
pub(crate) const MAX_BACKOFF_GROWTH: f64 = 3.0;
/// Smallest part of the current backoff that a wait may be. Calls after near-zero waits mostly
/// fail.
pub(crate) const MIN_WAIT_SHARE: f64 = 0.5;
/// Smallest part of the window that a wait may be. Callers that lost the service together are
/// already spread over the window by their first wait, and need only stay so.
pub(crate) const MIN_WINDOW_SHARE: f64 = 0.95;
/// Part of the budget that the fleet plans to use. Waits are random, so a fleet that used all of it
/// would have some calls rejected.
const PLANNED_BUDGET_SHARE: f64 = 0.95;
/// The backoff grows up to this multiple of the call interval, if that is longer than the limit for
/// any budget.
const MAX_BACKOFF_INTERVALS: f64 = 1.4;
/// Smallest limit of the backoff between calls that the service responds to.
pub(crate) const MAX_BACKOFF_FLOOR_NS: u64 = 2_500_000_000;
/// Longest wait between calls that get no response, where the budget allows it.
const DEFAULT_OUTAGE_RETRY_NS: u64 = 500_000_000;
/// Window for a fleet of unknown size.
const UNKNOWN_COUNT_WINDOW_NS: u64 = 2_000_000_000;
/// Number of callers assumed for a fleet of unknown size when a budget is divided. Too high a
/// number only makes the parts smaller.
const ASSUMED_CALLERS: u32 = 500;
/// The platform expects an update to reach every router within this time, connected or not. See
/// [`PacingParams::longest_wait_for`].
pub const MAX_UPDATE_DELAY_NS: u64 = 7_000_000_000;
/// Part of [`MAX_UPDATE_DELAY_NS`] that is reserved for connecting and for the first response.
const CONNECT_AND_ANSWER_NS: u64 = 500_000_000;

/// Parameters of a [`Pacer`](crate::Pacer).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacingParams {
    /// Shortest wait between a failure and the next call (ns).
    pub shortest_ns: u64,
    /// Longest wait before a call that does not follow a failure (ns): at the start, after a
    /// long-lived stream, after a change of service. A longer value spreads the calls of the fleet
    /// further but delays updates.
    pub spread_ns: u64,
    /// Longest wait between calls (ns), even if the service asks for a longer one.
    pub longest_ns: u64,
    /// Longest wait between calls to a service that responds to none (ns), as far as the budget allows
    /// it. An update that was published during an outage is this late after its end.
    pub outage_retry_ns: u64,
    /// Calls per second that the service accepts from all callers together.
    pub budget_per_s: f64,
    /// Callers that share the budget, if their number is known.
    pub callers: Option<u32>,
    /// Index of this caller among them, from 0.
    pub caller_index: u32,
}

/// Why [`PacingParams`] are inconsistent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParamsError {
    /// The longest wait is below the shortest.
    LongestBelowShortest,
    /// The budget is not a positive number.
    Budget,
    /// The budget does not allow every caller a call within the allowed waits, so the fleet exceeds
    /// the budget. Holds the call interval that the budget requires (ns).
    IntervalOverLongest(u64),
}

impl Default for PacingParams {
    fn default() -> Self {
        PacingParams {
            shortest_ns: 100_000_000,
            spread_ns: 100_000_000,
            longest_ns: PacingParams::longest_wait_for(2_200_000_000),
            outage_retry_ns: DEFAULT_OUTAGE_RETRY_NS,
            budget_per_s: 200.0,
            callers: None,
            caller_index: 0,
        }
    }
}

impl PacingParams {
    /// The longest wait that keeps [`MAX_UPDATE_DELAY_NS`] if a connection goes silent just before
    /// an update. The silence is detected after `silent_ns`; then come the wait and the response.
    pub const fn longest_wait_for(silent_ns: u64) -> u64 {
        MAX_UPDATE_DELAY_NS - silent_ns - CONNECT_AND_ANSWER_NS
    }

    /// Longest time without data from a service that accepts calls (ns), if a silent connection is
    /// detected after `silent_ns`: the detection, the longest wait and the response.
    pub const fn max_reconnect_ns(&self, silent_ns: u64) -> u64 {
        silent_ns + self.longest_ns + CONNECT_AND_ANSWER_NS
    }

    /// Interval between one caller's calls at which all callers together keep to the budget (ns).
    /// `None` if their number is unknown.
    pub fn call_interval_ns(&self) -> Option<u64> {
        self.callers.map(|n| (f64::from(n.max(1)) / (self.budget_per_s * PLANNED_BUDGET_SHARE) * 1e9) as u64)
    }

    /// Window over which callers spread calls that they would otherwise make at the same moment
    /// (ns): the call interval, limited by [`spread_ns`](Self::spread_ns) and
    /// [`longest_ns`](Self::longest_ns).
    pub fn window_ns(&self) -> u64 {
        self.call_interval_ns().unwrap_or(UNKNOWN_COUNT_WINDOW_NS).min(self.spread_ns).min(self.longest_ns)
    }

    /// Number of callers by which a shared budget is divided. If it is unknown, an upper estimate,
    /// so that the parts never add up to more than the budget.
    pub fn caller_count(&self) -> u32 {
        self.callers.unwrap_or(ASSUMED_CALLERS)
    }

    /// Start of this caller's slot, as a fraction of the window. `None` if the number of callers is
    /// unknown.
    pub fn slot(&self) -> Option<f64> {
        self.callers.map(|n| f64::from(self.caller_index % n.max(1)) / f64::from(n.max(1)))
    }

    /// Limit of the backoff between calls that the service responds to (ns), such as those that it
    /// rejects or whose streams it closes soon.
    pub fn max_backoff_ns(&self) -> u64 {
        self.budgeted_backoff_ns().unwrap_or(0).max(MAX_BACKOFF_FLOOR_NS).min(self.longest_ns)
    }

    /// Limit of the backoff while the service responds to no call (ns). It is no longer than the
    /// budget requires, as a longer one delays what was published meanwhile. If the number of callers
    /// is unknown, so is what the budget requires, and the limit is that for any other failure.
    pub fn max_outage_wait_ns(&self) -> u64 {
        match self.budgeted_backoff_ns() {
            Some(backoff_ns) => backoff_ns.max(self.outage_retry_ns).min(self.longest_ns),
            None => self.max_backoff_ns(),
        }
    }

    /// Longest time from the end of an outage to the response (ns).
    pub fn max_recovery_ns(&self) -> u64 {
        self.max_outage_wait_ns().max(self.window_ns()) + CONNECT_AND_ANSWER_NS
    }

    /// Limit of the backoff that the budget requires (ns). `None` if the number of callers is unknown.
    fn budgeted_backoff_ns(&self) -> Option<u64> {
        self.call_interval_ns().map(|interval| (interval as f64 * MAX_BACKOFF_INTERVALS) as u64)
    }

    /// Most calls that one caller makes within `span_ns` while the service is unavailable. Assumes
    /// the shortest possible wait each time.
    pub fn max_calls(&self, span_ns: u64) -> u64 {
        let floor = (self.window_ns() as f64 * MIN_WINDOW_SHARE) as u64;
        let (mut at, mut calls, mut backoff) = (0u64, 1, self.shortest_ns as f64);
        loop {
            let high =
                (backoff * MAX_BACKOFF_GROWTH).min(self.max_outage_wait_ns().max(self.shortest_ns) as f64);
            backoff = (high * MIN_WAIT_SHARE).max(self.shortest_ns as f64);
            at = at.saturating_add((backoff as u64).max(floor));
            if at > span_ns {
                return calls;
            }
            calls += 1;
        }
    }

    /// Shortest time in which the service can accept one call from every caller (ns). `None` if
    /// their number is unknown.
    pub fn min_all_calls_ns(&self) -> Option<u64> {
        self.callers.map(|n| (f64::from(n) / self.budget_per_s * 1e9) as u64)
    }

    /// Checks the parameters, most severe error first. A [`Pacer`](crate::Pacer) works in spite of
    /// [`ParamsError::IntervalOverLongest`], but not of the others.
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
