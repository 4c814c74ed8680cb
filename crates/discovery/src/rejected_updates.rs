//! What of the news could not be taken: counted each time, logged once for each reason until news is taken again.

use log::{info, warn};

/// Why news is not taken, or not as it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// A list is over the bound that follows from the memory limit.
    TooLarge,
    /// It can't be read.
    Invalid,
    /// It ended in the middle.
    Truncated,
    /// It is of a number that is known already.
    Duplicate,
    /// Its sender counts anew: it is taken.
    NumberingReset,
    /// A call came to nothing before any news.
    CallFailed,
}

/// Reasons, in the order of their counters; the last is counted elsewhere.
const NAMES: [&str; 5] = ["too_large", "spoilt", "cut", "repeated", "anew"];

/// What one source's news was refused for.
#[derive(Clone, Copy, Debug, Default)]
pub struct RejectedUpdates {
    counts: [u64; NAMES.len() + 1],
    logged: [bool; NAMES.len() + 1],
    too_large: bool,
}

impl RejectedUpdates {
    /// Counts it, and logs it with what is `told` of it where that is news.
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

    /// News was taken: what is refused from here on is told again.
    pub fn accepted(&mut self) {
        if std::mem::take(&mut self.too_large) {
            info!("the list of engines is within its bound again");
        }
        self.logged = Default::default();
    }

    /// A list was over the bound, and none was taken since: what is known grows old.
    pub fn is_too_large(&self) -> bool {
        self.too_large
    }

    /// Times that news was refused for a reason.
    pub fn count(&self, reason: RejectReason) -> u64 {
        self.counts[reason as usize]
    }

    /// The counters of several sources together.
    pub fn counters(all: &[RejectedUpdates]) -> String {
        let sum = |at: usize| all.iter().map(|rejected_updates| rejected_updates.counts[at]).sum::<u64>();
        let fields = NAMES.iter().enumerate().map(|(at, name)| format!("list_{name}={}", sum(at)));
        fields.collect::<Vec<_>>().join(" ")
    }
}
