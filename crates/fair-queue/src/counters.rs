//! Counters of the fair queue by tenant.

/// Counters of one tenant. They never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantCounters {
    /// Requests received.
    pub arrivals: u64,
    /// Submitted requests that had to wait.
    pub waited: u64,
    /// Their total wait (ns).
    pub waited_ns: u64,
    /// Their longest wait (ns).
    pub max_wait_ns: u64,
    /// Requests submitted to the decision module.
    pub submitted: u64,
    /// Submitted requests that the module refused for lack of capacity.
    pub refused_by_module: u64,
    /// Queued requests refused because they could no longer meet their target or expiry time.
    pub too_late: u64,
    /// Queued requests refused because they were stale in a standing queue.
    pub stale: u64,
    /// Queued requests evicted because the queue was full.
    pub evicted: u64,
    /// Queued requests whose client left.
    pub client_left: u64,
    /// Reservations made.
    pub reservations: u64,
    /// Refusals without a reservation.
    pub unreserved: u64,
    /// Reservations claimed by a returning client.
    pub claims: u64,
    /// Claimed reservations whose request was served.
    pub claims_served: u64,
    /// Claimed reservations whose request was refused or failed.
    pub claims_failed: u64,
    /// Reservations that expired unclaimed.
    pub expired_reservations: u64,
}

impl TenantCounters {
    /// Returns all counters with their names in the log; times in whole milliseconds.
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
