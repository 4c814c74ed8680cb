//! How far over a limit a fleet can be, and how long what is free may lie idle, for each way in which it can break. The tests
//! hold what is measured against the same function that operators are told by.

use crate::terms::{Kind, Limit, Mode, Terms};

/// A way to break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing is broken.
    None,
    /// The fleet is cut into parts, or links carry one way only, or lose, double and reorder.
    Partition,
    /// A router that holds borrowed units died; what it had out may run on.
    HolderCrashed,
    /// A router stood still past the end of its loans, and goes on.
    HolderPaused,
    /// A router that lent units died, and starts again under its number.
    OwnerRestarted,
    /// All routers died and start at once.
    AllRestarted,
    /// A router that no peer counts asks for units.
    UnknownPeer,
    /// Two routers were given one number by mistake.
    DuplicateNumber,
}

/// All of them, with their names.
pub const FAULTS: [(Fault, &str); 8] = [
    (Fault::None, "no fault"),
    (Fault::Partition, "a cut, one-way or lossy links"),
    (Fault::HolderCrashed, "a holder died"),
    (Fault::HolderPaused, "a holder stood still"),
    (Fault::OwnerRestarted, "an owner died and is back"),
    (Fault::AllRestarted, "all died and are back"),
    (Fault::UnknownPeer, "a joiner that nobody counts"),
    (Fault::DuplicateNumber, "two routers with one number"),
];

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Over the limit at most (share of it).
    pub max_overshoot: f64,
    /// For at most so long (ns); 0 where never over.
    pub overshoot_ns: u64,
    /// Units that nobody uses lie idle for at most so long before they can be used (ns).
    pub max_idle_ns: u64,
}

/// The bound of a limit in a fleet that is broken so.
pub fn bound(limit: &Limit, terms: &Terms, fault: Fault) -> Bound {
    let units = limit.kind.units().max(1);
    let over = |share: f64, for_ns: u64| (share, if share > 0.0 { for_ns } else { 0 });
    // What was admitted within the time is out for longer.
    let in_flight_ns = match limit.kind {
        Kind::Rate { .. } => 0,
        Kind::Concurrency { .. } => terms.max_request_ns + terms.orphan_ns,
        Kind::Window { window_ns, .. } => window_ns,
    };
    let allowed = match limit.mode {
        Mode::Strict => over(0.0, 0),
        Mode::Bounded { over: share, for_ns } => {
            // Each router's part is whole units, rounded down.
            let overshoot_units: u32 =
                (0..terms.routers).map(|me| overshoot_units(terms.share(units, me, 0), share)).sum();
            over(f64::from(overshoot_units) / f64::from(units), for_ns + in_flight_ns)
        }
    };
    let max_lease_ns = terms.owner_lease_ns() + limit.kind.drain_ns(terms);
    // What is free is lent once somebody asks for it: one that was told that there is nothing asks again after a while.
    let request_delay_ns = terms.exhausted_backoff_ns() + terms.request_interval_ns();
    let largest_share = (0..terms.routers).map(|me| terms.share(units, me, 0)).max().unwrap_or(0);
    let ((max_overshoot, overshoot_ns), max_idle_ns) = match fault {
        // A unit that is not needed is returned or runs out within a lease.
        Fault::None | Fault::HolderPaused => (over(0.0, 0), terms.owner_lease_ns()),
        Fault::UnknownPeer => (over(0.0, 0), terms.owner_lease_ns()),
        Fault::Partition => (allowed, max_lease_ns),
        Fault::HolderCrashed => (allowed, max_lease_ns),
        Fault::OwnerRestarted => (allowed, terms.grace_ns(limit.kind)),
        // Everybody is asked as soon as it is found, and says what it holds; else all that was lent runs out. What ran
        // before runs on.
        Fault::AllRestarted => {
            let detected_ns = limit.kind.orphan_ns(terms) + terms.detection_ns;
            (allowed, detected_ns.min(terms.grace_ns(limit.kind)))
        }
        // Each uses the share for itself for as long as they are two.
        Fault::DuplicateNumber => (over(f64::from(largest_share) / f64::from(units), u64::MAX), max_lease_ns),
    };
    Bound { max_overshoot, overshoot_ns, max_idle_ns: max_idle_ns + request_delay_ns }
}

/// How far over its new size a limit can be once the operator's file says another, until all routers have read it and for so long
/// after the last of them did (ns): each goes by the size that it knows, and lends only to those that know the same.
pub fn resize_bound(before: &Limit, after: &Limit, terms: &Terms) -> Bound {
    let size = |limit: &Limit| match limit.kind {
        Kind::Rate { per_s, .. } => per_s,
        kind => f64::from(kind.units().max(1)),
    };
    let max_overshoot = (size(before) / size(after) - 1.0).max(0.0);
    let max_lease_ns = terms.owner_lease_ns() + after.kind.drain_ns(terms);
    Bound {
        max_overshoot,
        overshoot_ns: if max_overshoot > 0.0 { max_lease_ns } else { 0 },
        max_idle_ns: max_lease_ns,
    }
}

/// Whole units beyond its own that a router may use while peers can't be reached, of a limit that may be over by this share.
pub fn overshoot_units(share: u32, over: f64) -> u32 {
    (f64::from(share) * over) as u32
}
