//! The program's clock: Unix time in nanoseconds, read once and then carried on by the steady clock, so that
//! times from outside need no conversion and no step of the system's clock is felt.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock that starts when it is made.
pub struct Clock {
    unix_ns: u64,
    since: Instant,
}

impl Clock {
    /// Reads the system's clocks.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_ns: unix.as_nanos() as u64, since: Instant::now() }
    }

    /// Nanoseconds since the Unix epoch.
    pub fn now_ns(&self) -> u64 {
        self.unix_ns + self.since.elapsed().as_nanos() as u64
    }
}
