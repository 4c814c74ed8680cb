//! Versions of overrides, issued by a hybrid logical clock: a later override has a larger version,
//! and so has one that follows an observed override, even if clocks differ.

use serde::{Deserialize, Serialize};

/// Versions further ahead of the local clock than this are rejected, in milliseconds. They would
/// outrank all other overrides until the local clock catches up.
pub const MAX_CLOCK_LEAD_MS: u64 = 60_000;

/// Version of an override; the larger one is later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Unix time in milliseconds, or the time of a later version that was observed before.
    pub ms: u64,
    /// Logical counter that orders versions of the same millisecond.
    pub count: u32,
    /// Router that issued the version.
    pub router: u32,
}

/// Hybrid logical clock of one router.
#[derive(Clone, Debug)]
pub struct VersionClock {
    router: u32,
    last: (u64, u32),
}

impl VersionClock {
    /// Creates the clock of this router.
    pub fn new(router: u32) -> VersionClock {
        VersionClock { router, last: (0, 0) }
    }

    /// Issues a version that is later than all versions issued or observed so far.
    pub fn next(&mut self, now_ns: u64) -> Version {
        let ms = now_ns / 1_000_000;
        self.last = if ms > self.last.0 { (ms, 0) } else { (self.last.0, self.last.1 + 1) };
        Version { ms: self.last.0, count: self.last.1, router: self.router }
    }

    /// Advances the clock to an observed version. Returns `false` and ignores the version if it is
    /// too far ahead of `now_ns`.
    pub fn observe(&mut self, now_ns: u64, version: Version) -> bool {
        if version.ms > now_ns / 1_000_000 + MAX_CLOCK_LEAD_MS {
            return false;
        }
        self.last = self.last.max((version.ms, version.count));
        true
    }
}
