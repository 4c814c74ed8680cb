//! Collects reports from all peers after a start about the leases they hold of this router's units.

use std::collections::{BTreeMap, BTreeSet};

/// Sequence number of a report, and its missing parts.
type MissingParts = (u64, BTreeSet<u16>);

/// Recovery of leases that an earlier incarnation granted.
#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    /// Missing parts of the latest report of each peer; `None` if no part has arrived.
    missing: BTreeMap<u32, Option<MissingParts>>,
    /// Time until which requests of restarted peers may continue to run on this router's units.
    orphans_until_ns: u64,
}

fn is_complete(parts: &Option<MissingParts>) -> bool {
    parts.as_ref().is_some_and(|(_, missing)| missing.is_empty())
}

impl Recovery {
    /// Starts a recovery that waits for a report of each of `peers`.
    pub(crate) fn begin(now: u64, peers: impl Iterator<Item = u32>) -> Recovery {
        Recovery { missing: peers.map(|peer| (peer, None)).collect(), orphans_until_ns: now }
    }

    /// Peers whose report is incomplete.
    pub(crate) fn unanswered(&self) -> impl Iterator<Item = u32> + '_ {
        self.missing.iter().filter(|(_, parts)| !is_complete(parts)).map(|(peer, _)| *peer)
    }

    pub(crate) fn all_answered(&self) -> bool {
        self.missing.values().all(is_complete)
    }

    /// Records a part of a peer's report. Returns false if the part belongs to an outdated or
    /// already complete report.
    pub(crate) fn accept_part(&mut self, from: u32, (round, part, parts): (u64, u16, u16)) -> bool {
        let Some(missing) = self.missing.get_mut(&from) else { return false };
        if is_complete(missing) || missing.as_ref().is_some_and(|(report, _)| round < *report) {
            return false;
        }
        let (report, remaining) = missing.get_or_insert_with(|| (round, (0..parts.max(1)).collect()));
        if *report != round {
            (*report, *remaining) = (round, (0..parts.max(1)).collect());
        }
        remaining.remove(&part);
        true
    }

    /// Records that requests of a peer's earlier incarnation may run on this router's units until
    /// `until_ns`.
    pub(crate) fn extend_orphans(&mut self, until_ns: u64) {
        self.orphans_until_ns = self.orphans_until_ns.max(until_ns);
    }

    pub(crate) fn orphans_until_ns(&self) -> u64 {
        self.orphans_until_ns
    }
}
