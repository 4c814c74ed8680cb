//! By when what one router knows has been heard by all that it can reach.

use crate::terms::Terms;

/// Peers that a router tells in each round (count).
pub const FANOUT: usize = 3;
/// Things that one comparison hands over at most (count).
pub const HANDED_MOST: usize = 64;

/// Rounds in which a router says a thing that is news to it (count): each peer that it tells does the same.
pub fn says(routers: u32) -> u32 {
    doublings(routers) + 2
}

fn doublings(routers: u32) -> u32 {
    32 - routers.max(2).saturating_sub(1).leading_zeros()
}

/// What one router knows is known by all that are reached at all, within this time (ns). While few know it each round about
/// doubles them, though a third of what is said is lost; six more rounds reach those who are left: each is told by three times as
/// many as know it, so that chance misses one of thousands, whom the next comparison of digests reaches.
pub fn heard_within_ns(terms: &Terms) -> u64 {
    let rounds = u64::from(doublings(terms.routers)) + 6;
    rounds * terms.round_ns
}

/// How often a router compares all that it knows with one peer (ns).
pub fn beat_ns(terms: &Terms) -> u64 {
    5 * terms.round_ns
}

/// Two sides of a cut that was healed agree within this time (ns), where they differ by so many words and pieces of evidence: each
/// comparison hands over a bounded number, and all that is handed over spreads.
pub fn agree_within_ns(terms: &Terms, differ: usize) -> u64 {
    heard_within_ns(terms)
        + 2 * beat_ns(terms)
        + (differ as u64).div_ceil(HANDED_MOST as u64) * beat_ns(terms)
}

/// Evidence that its witness no longer says is believed for so long by those who heard it last (ns).
pub fn fades_within_ns(terms: &Terms) -> u64 {
    terms.fade_ns + heard_within_ns(terms)
}
