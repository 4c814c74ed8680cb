//! Staleness of the engine list. No clock: times are passed in.

use log::{info, warn};

/// Tracks the age of the list. Logs when it becomes stale and when it is fresh again.
#[derive(Clone, Debug)]
pub struct Staleness {
    stale_ns: u64,
    confirmed_ns: u64,
    reported: bool,
    /// Number of times the list became stale.
    pub stale_count: u64,
    /// Greatest age so far (ns).
    pub max_age_ns: u64,
}

impl Staleness {
    /// Starts with a fresh list, which becomes stale `stale_ns` after it was last confirmed.
    pub fn new(now: u64, stale_ns: u64) -> Staleness {
        Staleness { stale_ns, confirmed_ns: now, reported: false, stale_count: 0, max_age_ns: 0 }
    }

    /// Sets when the list was last confirmed (ns), as for a cached snapshot.
    pub fn set_confirmed(&mut self, confirmed_ns: u64) {
        self.confirmed_ns = confirmed_ns;
    }

    /// Replaces the age from which the list is stale (ns).
    pub fn set_stale_ns(&mut self, stale_ns: u64) {
        self.stale_ns = stale_ns;
    }

    /// Records that the source confirmed the list.
    pub fn confirm(&mut self, now: u64) {
        self.max_age_ns = self.max_age_ns.max(now.saturating_sub(self.confirmed_ns));
        self.confirmed_ns = self.confirmed_ns.max(now);
        if std::mem::take(&mut self.reported) {
            info!("engine list is fresh again");
        }
    }

    /// Checks the age of the list.
    pub fn tick(&mut self, now: u64) {
        let age = now.saturating_sub(self.confirmed_ns);
        self.max_age_ns = self.max_age_ns.max(age);
        if age > self.stale_ns && !self.reported {
            (self.reported, self.stale_count) = (true, self.stale_count + 1);
            warn!("engine list is {:.1} s old and may contain engines that are gone", age as f64 / 1e9);
        }
    }

    /// Age of the list (ns).
    pub fn age_ns(&self, now: u64) -> u64 {
        now.saturating_sub(self.confirmed_ns)
    }
}
