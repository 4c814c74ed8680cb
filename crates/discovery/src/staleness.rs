//! Staleness of the news of the engines: pure, times are passed in.

use log::{info, warn};

/// Says when news got too old and when it is fresh again, once each.
#[derive(Clone, Debug)]
pub struct Staleness {
    stale_ns: u64,
    heard_ns: u64,
    told: bool,
    /// Times that news got older than stated.
    pub times: u64,
    /// The longest time without news so far (ns).
    pub longest_ns: u64,
}

impl Staleness {
    /// News that is fresh now, and counts as too old `stale_ns` after it was last heard.
    pub fn new(now: u64, stale_ns: u64) -> Staleness {
        Staleness { stale_ns, heard_ns: now, told: false, times: 0, longest_ns: 0 }
    }

    /// What is known was last right then (ns), as of a list that was kept.
    pub fn set_confirmed(&mut self, heard_ns: u64) {
        self.heard_ns = heard_ns;
    }

    /// News counts as too old from another age on.
    pub fn set_stale_ns(&mut self, stale_ns: u64) {
        self.stale_ns = stale_ns;
    }

    /// The source was heard.
    pub fn heard(&mut self, now: u64) {
        self.longest_ns = self.longest_ns.max(now.saturating_sub(self.heard_ns));
        self.heard_ns = self.heard_ns.max(now);
        if std::mem::take(&mut self.told) {
            info!("membership news is fresh again");
        }
    }

    /// Passes time.
    pub fn tick(&mut self, now: u64) {
        let age = now.saturating_sub(self.heard_ns);
        self.longest_ns = self.longest_ns.max(age);
        if age > self.stale_ns && !self.told {
            (self.told, self.times) = (true, self.times + 1);
            warn!(
                "membership news is {:.1} s old: the list may name engines that have gone",
                age as f64 / 1e9
            );
        }
    }

    /// How old the news is (ns).
    pub fn age_ns(&self, now: u64) -> u64 {
        now.saturating_sub(self.heard_ns)
    }
}
