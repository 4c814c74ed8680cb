//! By when what one router knows has been heard by all that it can reach.

use crate::params::HealthParams;

/// Peers that a router tells in each round (count).
pub const FANOUT: usize = 3;
/// Things that one comparison hands over at most (count).
pub const MAX_ITEMS_PER_DIGEST: usize = 64;

/// Rounds in which a router says a thing that is news to it (count): each peer that it tells does the same.
pub fn gossip_rounds(routers: u32) -> u32 {
    log2_ceil(routers) + 2
}

fn log2_ceil(routers: u32) -> u32 {
    32 - routers.max(2).saturating_sub(1).leading_zeros()
}

/// What one router knows is known by all that are reached at all, within this time (ns). While few know it each round about
/// doubles them, though a third of what is said is lost; six more rounds reach those who are left: each is told by three times as
/// many as know it, so that chance misses one of thousands, whom the next comparison of digests reaches.
pub fn propagation_bound_ns(params: &HealthParams) -> u64 {
    let rounds = u64::from(log2_ceil(params.routers)) + 6;
    rounds * params.gossip_interval_ns
}

/// How often a router compares all that it knows with one peer (ns).
pub fn digest_interval_ns(params: &HealthParams) -> u64 {
    5 * params.gossip_interval_ns
}

/// Two sides of a cut that was healed agree within this time (ns), where they differ by so many words and pieces of evidence: each
/// comparison hands over a bounded number, and all that is handed over spreads.
pub fn convergence_bound_ns(params: &HealthParams, differ: usize) -> u64 {
    propagation_bound_ns(params)
        + 2 * digest_interval_ns(params)
        + (differ as u64).div_ceil(MAX_ITEMS_PER_DIGEST as u64) * digest_interval_ns(params)
}

/// Evidence that its witness no longer says is believed for so long by those who heard it last (ns).
pub fn evidence_expiry_bound_ns(params: &HealthParams) -> u64 {
    params.evidence_lifetime_ns + propagation_bound_ns(params)
}
