//! Counters of rejected updates. Each reason is logged once until an update is accepted.

use log::{info, warn};

/// Why an update was rejected, or accepted under a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// A list is over the bound set by the memory limit.
    TooLarge,
    /// Invalid.
    Invalid,
    /// Ended before it was complete.
    Truncated,
    /// Its number is not above the last one.
    Duplicate,
    /// The numbering of the service has started again. The update is accepted.
    NumberingReset,
    /// The call failed before any update.
    CallFailed,
}

/// Names of the counters, by reason. `CallFailed` is counted elsewhere.
const NAMES: [&str; 5] = ["too_large", "spoilt", "cut", "repeated", "anew"];

/// Rejected updates of one source.
#[derive(Clone, Copy, Debug, Default)]
pub struct RejectedUpdates {
    counts: [u64; NAMES.len() + 1],
    logged: [bool; NAMES.len() + 1],
    too_large: bool,
}

impl RejectedUpdates {
    /// Counts a rejection, and logs the message if this reason was not logged since the last
    /// accepted update.
    pub fn record(&mut self, reason: RejectReason, message: impl FnOnce() -> String) {
        let at = reason as usize;
        self.counts[at] += 1;
        self.too_large |= reason == RejectReason::TooLarge;
        if std::mem::replace(&mut self.logged[at], true) {
            return;
        }
        match reason {
            RejectReason::TooLarge | RejectReason::Invalid => warn!("{}", message()),
            _ => info!("{}", message()),
        }
    }

    /// Records that an update was accepted: further rejections are logged again.
    pub fn accepted(&mut self) {
        if std::mem::take(&mut self.too_large) {
            info!("engine list is within its size limit again");
        }
        self.logged = Default::default();
    }

    /// Whether a list was over the bound and none has been accepted since, so that the list in use
    /// grows stale.
    pub fn is_too_large(&self) -> bool {
        self.too_large
    }

    /// Number of rejections for a reason.
    pub fn count(&self, reason: RejectReason) -> u64 {
        self.counts[reason as usize]
    }

    /// Formats the sums of the counters of several sources.
    pub fn counters(all: &[RejectedUpdates]) -> String {
        let sum = |at: usize| all.iter().map(|rejected_updates| rejected_updates.counts[at]).sum::<u64>();
        let fields = NAMES.iter().enumerate().map(|(at, name)| format!("list_{name}={}", sum(at)));
        fields.collect::<Vec<_>>().join(" ")
    }
}
