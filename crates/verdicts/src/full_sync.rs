//! A router that knows no words asks a peer for all of them: at its start, and after a time alone that is longer than words are
//! remembered.
//!
//! Words come in parts; the peer that hands over the first part is targets for what is missing, another one where it hands over
//! nothing more.

use std::collections::BTreeSet;

use crate::message::{split_overrides, Message, NamedOverride};
use crate::overrides::Overrides;

/// Parts of all words that are targets for, or handed over, at once (count): more would not find room where they come in.
const MAX_PARTS: usize = 64;
/// Peers that are targets at once, where some have no words to hand over (count).
const MAX_PARALLEL_PEERS: usize = 16;
/// A peer that handed over no part for so long is targets no more (ns).
const PROGRESS_TIMEOUT_NS: u64 = 1_000_000_000;

/// What has come of one ask.
#[derive(Clone, Debug, Default)]
struct Transfer {
    request_id: u32,
    peer: u32,
    /// When the last part came (ns), and how many there are in all.
    progress_ns: u64,
    parts: u16,
    missing: BTreeSet<u16>,
    overrides: Overrides,
}

/// Which part of all words, and how many there are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Part {
    pub(crate) request_id: u32,
    pub(crate) part: u16,
    pub(crate) parts: u16,
}

/// Where the router is in asking for all words.
#[derive(Clone, Debug)]
pub(crate) struct FullSync {
    /// None once it has all words, or nobody has any.
    transfer: Option<Transfer>,
    /// Peers that were alone for too long too.
    unavailable_peers: BTreeSet<u32>,
}

impl FullSync {
    /// Has to ask.
    pub(crate) fn begin() -> FullSync {
        FullSync { transfer: Some(Transfer::default()), unavailable_peers: BTreeSet::new() }
    }

    /// Has to ask again, where it does not ask already.
    pub(crate) fn restart(&mut self) {
        self.transfer.get_or_insert_with(Transfer::default);
    }

    /// Whether nothing is left to be targets for.
    pub(crate) fn is_done(&self) -> bool {
        self.transfer.is_none()
    }

    /// Asks the same peer for what is missing while it hands over something, else another; `peers` are in order.
    pub(crate) fn requests(&mut self, now: u64, local_id: u32, peers: &[u32]) -> Vec<(u32, Message)> {
        let Some(transfer) = &self.transfer else { return Vec::new() };
        let in_progress = !transfer.missing.is_empty()
            && now < transfer.progress_ns.saturating_add(PROGRESS_TIMEOUT_NS)
            && peers.binary_search(&transfer.peer).is_ok();
        if in_progress {
            let missing_parts = transfer.missing.iter().take(MAX_PARTS).copied().collect();
            return vec![(
                transfer.peer,
                Message::FullSyncRequest { request_id: transfer.request_id, missing_parts },
            )];
        }
        let request_id = transfer.request_id + 1;
        let targets = self.select_peers(local_id, request_id, peers);
        // Whoever answers first is targets for what is missing.
        let peer = targets.first().copied().unwrap_or(local_id);
        self.transfer = Some(Transfer { request_id, peer, progress_ns: now, ..Transfer::default() });
        targets
            .into_iter()
            .map(|peer| (peer, Message::FullSyncRequest { request_id, missing_parts: Vec::new() }))
            .collect()
    }

    /// The peers that are targets in a round.
    fn select_peers(&mut self, local_id: u32, request_id: u32, peers: &[u32]) -> Vec<u32> {
        // One after the other, and several at once where some have nothing to hand over: if none has, all have to say so.
        let count = if self.unavailable_peers.is_empty() { 1 } else { MAX_PARALLEL_PEERS };
        let from = (local_id as usize + request_id as usize) % peers.len().max(1);
        let order = peers.iter().cycle().skip(from).take(peers.len());
        let targets: Vec<u32> =
            order.filter(|peer| !self.unavailable_peers.contains(peer)).take(count).copied().collect();
        if targets.is_empty() {
            // All of them doubted, and one may know more by now.
            self.unavailable_peers.clear();
        }
        targets
    }

    /// A peer has no words to hand over; whether all have said so, which ends the asking: the whole fleet has just started, or was
    /// down for so long, and what its routers kept is what there is.
    pub(crate) fn mark_unavailable(&mut self, from: u32, peers: &[u32]) -> bool {
        self.unavailable_peers.insert(from);
        let none_available = peers.iter().all(|peer| self.unavailable_peers.contains(peer));
        if none_available {
            self.transfer = None;
            self.unavailable_peers.clear();
        }
        none_available
    }

    /// Takes a part; gives all words once that was the last one.
    pub(crate) fn receive_part(
        &mut self,
        now: u64,
        from: u32,
        received: Part,
        overrides: Vec<NamedOverride>,
    ) -> Option<Overrides> {
        let transfer =
            self.transfer.as_mut().filter(|transfer| transfer.request_id == received.request_id)?;
        if transfer.parts == 0 {
            transfer.peer = from;
        }
        if transfer.peer != from {
            return None;
        }
        let parts = received.parts.max(1);
        if transfer.parts != parts {
            // The first part, or its words have changed so much that parts are others: what came counts, and all are targets for again.
            transfer.parts = parts;
            transfer.missing = (0..parts).collect();
        }
        transfer.progress_ns = now;
        transfer.missing.remove(&received.part);
        for (name, entry) in overrides {
            transfer.overrides.merge(&name, entry);
        }
        if !transfer.missing.is_empty() {
            return None;
        }
        self.unavailable_peers.clear();
        self.transfer.take().map(|transfer| transfer.overrides)
    }
}

/// All words in parts, or those parts that a peer is still missing.
pub(crate) fn full_sync_parts(overrides: &Overrides, request_id: u32, missing_parts: &[u16]) -> Vec<Message> {
    let all = split_overrides(overrides.iter().map(|(name, entry)| (name.to_owned(), entry)).collect());
    let parts = all.len() as u16;
    let wanted = |(at, _): &(usize, Vec<NamedOverride>)| {
        missing_parts.is_empty() || missing_parts.contains(&(*at as u16))
    };
    let message =
        |(part, overrides)| Message::FullSyncPart { request_id, part: part as u16, parts, overrides };
    all.into_iter().enumerate().filter(wanted).take(MAX_PARTS).map(message).collect()
}
