//! What a router that has started still has to hear: from every other one, all that it holds of this one's units.

use std::collections::{BTreeMap, BTreeSet};

/// The parts of one answer that are still missing, by the answer's number.
type MissingParts = (u64, BTreeSet<u16>);

/// A start that does not know yet what was lent before.
#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    /// By peer, of its latest answer; none where nothing has come.
    missing: BTreeMap<u32, Option<MissingParts>>,
    /// Up to when earlier lives of those that answered may have had work out on our units (ns).
    orphans_until_ns: u64,
}

/// All parts of a peer's answer have come.
fn is_complete(parts: &Option<MissingParts>) -> bool {
    parts.as_ref().is_some_and(|(_, missing)| missing.is_empty())
}

impl Recovery {
    /// Nothing has been heard of these.
    pub(crate) fn begin(now: u64, peers: impl Iterator<Item = u32>) -> Recovery {
        Recovery { missing: peers.map(|peer| (peer, None)).collect(), orphans_until_ns: now }
    }

    /// Peers whose answer is not whole.
    pub(crate) fn unanswered(&self) -> impl Iterator<Item = u32> + '_ {
        self.missing.iter().filter(|(_, parts)| !is_complete(parts)).map(|(peer, _)| *peer)
    }

    /// Whether all have answered.
    pub(crate) fn all_answered(&self) -> bool {
        self.missing.values().all(is_complete)
    }

    /// Takes a part of a peer's answer; whether what it holds counts: it is of the latest answer, which was not whole.
    pub(crate) fn accept_part(&mut self, from: u32, (round, part, parts): (u64, u16, u16)) -> bool {
        let Some(missing) = self.missing.get_mut(&from) else { return false };
        if is_complete(missing) || missing.as_ref().is_some_and(|(before, _)| round < *before) {
            return false;
        }
        let (before, left) = missing.get_or_insert_with(|| (round, (0..parts.max(1)).collect()));
        if *before != round {
            (*before, *left) = (round, (0..parts.max(1)).collect());
        }
        left.remove(&part);
        true
    }

    /// An earlier life of a peer may have had work out on our units until then (ns).
    pub(crate) fn extend_orphans(&mut self, until_ns: u64) {
        self.orphans_until_ns = self.orphans_until_ns.max(until_ns);
    }

    /// Up to when earlier lives of peers may have had work out on our units (ns).
    pub(crate) fn orphans_until_ns(&self) -> u64 {
        self.orphans_until_ns
    }
}
