//! Versions of words: a hybrid logical clock, so that what an operator said later wins, and what followed upon a word that was
//! heard is later than it whatever the clocks say.

use serde::{Deserialize, Serialize};

/// A clock that is further ahead than this of ours is not believed (ms): a word of it would win for as long.
pub const MAX_CLOCK_LEAD_MS: u64 = 60_000;

/// When a word was said: the larger one is later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Unix time (ms), or that of a later word that was heard before.
    pub ms: u64,
    /// Words of one millisecond in their order.
    pub count: u32,
    /// The router that it was said at.
    pub router: u32,
}

/// One router's clock of words.
#[derive(Clone, Debug)]
pub struct VersionClock {
    router: u32,
    last: (u64, u32),
}

impl VersionClock {
    /// The clock of this router.
    pub fn new(router: u32) -> VersionClock {
        VersionClock { router, last: (0, 0) }
    }

    /// A stamp later than all that were given or heard.
    pub fn next(&mut self, now_ns: u64) -> Version {
        let ms = now_ns / 1_000_000;
        self.last = if ms > self.last.0 { (ms, 0) } else { (self.last.0, self.last.1 + 1) };
        Version { ms: self.last.0, count: self.last.1, router: self.router }
    }

    /// Takes a stamp that was heard; whether it can be believed.
    pub fn observe(&mut self, now_ns: u64, version: Version) -> bool {
        if version.ms > now_ns / 1_000_000 + MAX_CLOCK_LEAD_MS {
            return false;
        }
        self.last = self.last.max((version.ms, version.count));
        true
    }
}
