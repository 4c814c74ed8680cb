//! Upper bounds on the time in which routers learn of changes and agree.

use crate::params::HealthParams;

/// Number of peers that a router sends changes to in each round.
pub const FANOUT: usize = 3;
/// Largest number of overrides, and of pieces of evidence, sent in response to one digest.
pub const MAX_ITEMS_PER_DIGEST: usize = 64;

/// Number of rounds in which each router sends a change that is new to it.
pub fn gossip_rounds(routers: u32) -> u32 {
    log2_ceil(routers) + 2
}

fn log2_ceil(routers: u32) -> u32 {
    32 - routers.max(2).saturating_sub(1).leading_zeros()
}

/// Time in which a change reaches all reachable routers, in nanoseconds. Up to one third of
/// messages may be lost, so the number of informed routers about doubles in each round. Six more
/// rounds reach the remaining routers; the few that gossip still misses learn the change from the
/// next digest.
pub fn propagation_bound_ns(params: &HealthParams) -> u64 {
    let rounds = u64::from(log2_ceil(params.routers)) + 6;
    rounds * params.gossip_interval_ns
}

/// Interval at which a router sends its digest to a random peer, in nanoseconds.
pub fn digest_interval_ns(params: &HealthParams) -> u64 {
    5 * params.gossip_interval_ns
}

/// Time in which both sides of a healed partition agree, in nanoseconds, if they differ in `differ`
/// overrides and pieces of evidence. Each digest exchanges a bounded number of them, and gossip
/// spreads what was exchanged.
pub fn convergence_bound_ns(params: &HealthParams, differ: usize) -> u64 {
    propagation_bound_ns(params)
        + 2 * digest_interval_ns(params)
        + (differ as u64).div_ceil(MAX_ITEMS_PER_DIGEST as u64) * digest_interval_ns(params)
}

/// Time in which evidence that its observer no longer renews expires in all routers, in
/// nanoseconds.
pub fn evidence_expiry_bound_ns(params: &HealthParams) -> u64 {
    params.evidence_lifetime_ns + propagation_bound_ns(params)
}
