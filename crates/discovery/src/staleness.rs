//! Staleness of the news of the engines: pure, times are passed in.

use log::{info, warn};

/// Says when news got too old and when it is fresh again, once each.
#[derive(Clone, Debug)]
pub struct Staleness {
    stale_ns: u64,
    confirmed_ns: u64,
    reported: bool,
    /// Times that news got older than stated.
    pub stale_count: u64,
    /// The longest time without news so far (ns).
    pub max_age_ns: u64,
}

impl Staleness {
    /// News that is fresh now, and counts as too old `stale_ns` after it was last heard.
    pub fn new(now: u64, stale_ns: u64) -> Staleness {
        Staleness { stale_ns, confirmed_ns: now, reported: false, stale_count: 0, max_age_ns: 0 }
    }

    /// What is known was last right then (ns), as of a list that was kept.
    pub fn set_confirmed(&mut self, confirmed_ns: u64) {
        self.confirmed_ns = confirmed_ns;
    }

    /// News counts as too old from another age on.
    pub fn set_stale_ns(&mut self, stale_ns: u64) {
        self.stale_ns = stale_ns;
    }

    /// The source was heard.
    pub fn confirm(&mut self, now: u64) {
        self.max_age_ns = self.max_age_ns.max(now.saturating_sub(self.confirmed_ns));
        self.confirmed_ns = self.confirmed_ns.max(now);
        if std::mem::take(&mut self.reported) {
            info!("membership news is fresh again");
        }
    }

    /// Passes time.
    pub fn tick(&mut self, now: u64) {
        let age = now.saturating_sub(self.confirmed_ns);
        self.max_age_ns = self.max_age_ns.max(age);
        if age > self.stale_ns && !self.reported {
            (self.reported, self.stale_count) = (true, self.stale_count + 1);
            warn!(
                "membership news is {:.1} s old: the list may name engines that have gone",
                age as f64 / 1e9
            );
        }
    }

    /// How old the news is (ns).
    pub fn age_ns(&self, now: u64) -> u64 {
        now.saturating_sub(self.confirmed_ns)
    }
}
