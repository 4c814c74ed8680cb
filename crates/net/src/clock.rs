//! Unix time in nanoseconds: the system clock is read once and advanced by the monotonic clock, so
//! that steps of the system clock have no effect.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts from the Unix epoch.
pub struct Clock {
    unix_ns: u64,
    since: Instant,
}

impl Clock {
    /// Reads the system clock and starts the clock from it.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_ns: unix.as_nanos() as u64, since: Instant::now() }
    }

    /// Returns the time since the Unix epoch in nanoseconds.
    pub fn now_ns(&self) -> u64 {
        self.unix_ns + self.since.elapsed().as_nanos() as u64
    }
}
