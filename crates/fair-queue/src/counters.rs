//! What the door did, by tenant.

/// Counters of one tenant; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantCounters {
    /// Requests that came.
    pub came: u64,
    /// Requests that had to wait, and how long in all and at most (ns).
    pub waited: u64,
    /// Time waited in all (ns).
    pub waited_ns: u64,
    /// Longest wait (ns).
    pub longest_ns: u64,
    /// Requests that the module was shown.
    pub shown: u64,
    /// Shown ones that the module refused for want of room.
    pub turned_down: u64,
    /// Queued ones refused: their time could not be met any more.
    pub hopeless: u64,
    /// Queued ones refused: they had become stale behind a queue that does not empty.
    pub stale: u64,
    /// Queued ones refused: the queue was full and their flow had the most in it.
    pub pushed_out: u64,
    /// Queued ones whose client left.
    pub left: u64,
    /// Promises made.
    pub promised: u64,
    /// Refusals that could carry no promise.
    pub unpromised: u64,
    /// Promises claimed by a client that came back.
    pub claimed: u64,
    /// Claimed promises whose request was served.
    pub kept: u64,
    /// Claimed promises whose request was refused or failed.
    pub broken: u64,
    /// Promises that nobody claimed in time.
    pub expired: u64,
}

impl TenantCounters {
    /// All of them with their names; times in whole milliseconds.
    pub fn fields(&self) -> [(&'static str, u64); 16] {
        [
            ("came", self.came),
            ("waited", self.waited),
            ("waited_ms", self.waited_ns / 1_000_000),
            ("longest_ms", self.longest_ns / 1_000_000),
            ("shown", self.shown),
            ("turned_down", self.turned_down),
            ("hopeless", self.hopeless),
            ("stale", self.stale),
            ("pushed_out", self.pushed_out),
            ("left", self.left),
            ("promised", self.promised),
            ("unpromised", self.unpromised),
            ("claimed", self.claimed),
            ("kept", self.kept),
            ("broken", self.broken),
            ("expired", self.expired),
        ]
    }
}
