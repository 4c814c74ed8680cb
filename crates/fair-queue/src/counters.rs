//! What the door did, by tenant.

/// Counters of one tenant; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantCounters {
    /// Requests that came.
    pub arrivals: u64,
    /// Requests that had to wait, and how long in all and at most (ns).
    pub waited: u64,
    /// Time waited in all (ns).
    pub waited_ns: u64,
    /// Longest wait (ns).
    pub max_wait_ns: u64,
    /// Requests that the module was shown.
    pub submitted: u64,
    /// Shown ones that the module refused for want of room.
    pub refused_by_module: u64,
    /// Queued ones refused: their time could not be met any more.
    pub too_late: u64,
    /// Queued ones refused: they had become stale behind a queue that does not empty.
    pub stale: u64,
    /// Queued ones refused: the queue was full and their flow had the most in it.
    pub evicted: u64,
    /// Queued ones whose client left.
    pub client_left: u64,
    /// Promises made.
    pub reservations: u64,
    /// Refusals that could carry no promise.
    pub unreserved: u64,
    /// Promises claimed by a client that came back.
    pub claims: u64,
    /// Claimed promises whose request was served.
    pub claims_served: u64,
    /// Claimed promises whose request was refused or failed.
    pub claims_failed: u64,
    /// Promises that nobody claimed in time.
    pub expired_reservations: u64,
}

impl TenantCounters {
    /// All of them with their names; times in whole milliseconds.
    pub fn fields(&self) -> [(&'static str, u64); 16] {
        [
            ("came", self.arrivals),
            ("waited", self.waited),
            ("waited_ms", self.waited_ns / 1_000_000),
            ("longest_ms", self.max_wait_ns / 1_000_000),
            ("shown", self.submitted),
            ("turned_down", self.refused_by_module),
            ("hopeless", self.too_late),
            ("stale", self.stale),
            ("pushed_out", self.evicted),
            ("left", self.client_left),
            ("promised", self.reservations),
            ("unpromised", self.unreserved),
            ("claimed", self.claims),
            ("kept", self.claims_served),
            ("broken", self.claims_failed),
            ("expired", self.expired_reservations),
        ]
    }
}
