//! Worst-case overshoot and idle time of a limit for each fault. Operators and tests use the same
//! functions.

use crate::params::{Kind, Limit, LimitParams, Mode};

/// A fault in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The network is partitioned, or links are one-way, lossy, duplicating or reordering.
    Partition,
    /// A router that holds leased units crashed. Its requests may continue to run.
    HolderCrashed,
    /// A router was suspended past the end of its leases and resumed.
    HolderPaused,
    /// A router that had leased out units crashed and restarted with the same number.
    OwnerRestarted,
    /// All routers crashed and restarted at the same time.
    AllRestarted,
    /// A router outside the membership requests units.
    UnknownPeer,
    /// Two routers were configured with the same number.
    DuplicateNumber,
}

/// All faults with their names for operators.
pub const FAULTS: [(Fault, &str); 8] = [
    (Fault::None, "no fault"),
    (Fault::Partition, "a partition, one-way or lossy links"),
    (Fault::HolderCrashed, "a holder crashed"),
    (Fault::HolderPaused, "a holder was suspended"),
    (Fault::OwnerRestarted, "an owner restarted"),
    (Fault::AllRestarted, "all routers restarted"),
    (Fault::UnknownPeer, "requests from an unknown peer"),
    (Fault::DuplicateNumber, "two routers with one number"),
];

/// Worst case under a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Overshoot as a fraction of the limit.
    pub max_overshoot: f64,
    /// How long the overshoot lasts; zero if there is none.
    pub overshoot_ns: u64,
    /// How long unused units stay idle before they can be used.
    pub max_idle_ns: u64,
}

/// Computes the worst case of a limit under a fault.
pub fn bound(limit: &Limit, params: &LimitParams, fault: Fault) -> Bound {
    let units = limit.kind.units().max(1);
    let over = |share: f64, for_ns: u64| (share, if share > 0.0 { for_ns } else { 0 });
    // Admissions outlast the time in which overshoot is allowed.
    let in_flight_ns = match limit.kind {
        Kind::Rate { .. } => 0,
        Kind::Concurrency { .. } => params.max_request_ns + params.orphan_ns,
        Kind::Window { window_ns, .. } => window_ns,
    };
    let allowed = match limit.mode {
        Mode::Strict => over(0.0, 0),
        Mode::Bounded { over: share, for_ns } => {
            // Each router rounds its part down to whole units.
            let overshoot_units: u32 =
                (0..params.routers).map(|me| overshoot_units(params.share(units, me, 0), share)).sum();
            over(f64::from(overshoot_units) / f64::from(units), for_ns + in_flight_ns)
        }
    };
    let max_lease_ns = params.owner_lease_ns() + limit.kind.drain_ns(params);
    // Free units are leased on the next request, and a router that was granted too little waits
    // before it requests again.
    let request_delay_ns = params.exhausted_backoff_ns() + params.request_interval_ns();
    let largest_share = (0..params.routers).map(|me| params.share(units, me, 0)).max().unwrap_or(0);
    let ((max_overshoot, overshoot_ns), max_idle_ns) = match fault {
        // An unneeded unit is returned, or its lease expires.
        Fault::None | Fault::HolderPaused => (over(0.0, 0), params.owner_lease_ns()),
        Fault::UnknownPeer => (over(0.0, 0), params.owner_lease_ns()),
        Fault::Partition => (allowed, max_lease_ns),
        Fault::HolderCrashed => (allowed, max_lease_ns),
        Fault::OwnerRestarted => (allowed, params.grace_ns(limit.kind)),
        // Peers report their leases once they are discovered; otherwise all leases expire. Earlier
        // requests continue to run.
        Fault::AllRestarted => {
            let detected_ns = limit.kind.orphan_ns(params) + params.detection_ns;
            (allowed, detected_ns.min(params.grace_ns(limit.kind)))
        }
        // Both routers use the same share until the configuration is fixed.
        Fault::DuplicateNumber => (over(f64::from(largest_share) / f64::from(units), u64::MAX), max_lease_ns),
    };
    Bound { max_overshoot, overshoot_ns, max_idle_ns: max_idle_ns + request_delay_ns }
}

/// Worst case relative to the new size while routers read a changed limit at different times. The
/// overshoot lasts until all routers have read the new size and `overshoot_ns` longer. Each router
/// applies the size that it knows and leases only to routers with the same size.
pub fn resize_bound(before: &Limit, after: &Limit, params: &LimitParams) -> Bound {
    let size = |limit: &Limit| match limit.kind {
        Kind::Rate { per_s, .. } => per_s,
        kind => f64::from(kind.units().max(1)),
    };
    let max_overshoot = (size(before) / size(after) - 1.0).max(0.0);
    let max_lease_ns = params.owner_lease_ns() + after.kind.drain_ns(params);
    Bound {
        max_overshoot,
        overshoot_ns: if max_overshoot > 0.0 { max_lease_ns } else { 0 },
        max_idle_ns: max_lease_ns,
    }
}

/// Whole units beyond its own share that a router may use while peers are unreachable, for a limit
/// that may be exceeded by the fraction `over`.
pub fn overshoot_units(share: u32, over: f64) -> u32 {
    (f64::from(share) * over) as u32
}
