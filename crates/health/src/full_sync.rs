//! Transfer of all overrides from a peer, after a start or after isolation for longer than the
//! override memory.
//!
//! Overrides arrive in parts. The peer that sent the first part is asked for the missing ones; if
//! it stops sending, another peer is asked.

use std::collections::BTreeSet;

use crate::message::{split_overrides, Message, NamedOverride};
use crate::overrides::Overrides;

/// Largest number of parts requested or sent at once; more would overflow the receiver's buffer.
const MAX_PARTS: usize = 64;
/// Number of peers asked at once after some peers had no overrides to send.
const MAX_PARALLEL_PEERS: usize = 16;
/// Time without a new part after which another peer is asked, in nanoseconds.
const PROGRESS_TIMEOUT_NS: u64 = 1_000_000_000;

/// State of one request.
#[derive(Clone, Debug, Default)]
struct Transfer {
    request_id: u32,
    peer: u32,
    /// When the last part arrived, in nanoseconds.
    progress_ns: u64,
    parts: u16,
    missing: BTreeSet<u16>,
    overrides: Overrides,
}

/// Identifies one part of a transfer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Part {
    pub(crate) request_id: u32,
    pub(crate) part: u16,
    pub(crate) parts: u16,
}

/// State of the synchronization.
#[derive(Clone, Debug)]
pub(crate) struct FullSync {
    /// `None` once all overrides were received, or no peer has any.
    transfer: Option<Transfer>,
    /// Peers that replied that they have no confirmed overrides.
    unavailable_peers: BTreeSet<u32>,
}

impl FullSync {
    /// Starts a synchronization.
    pub(crate) fn begin() -> FullSync {
        FullSync { transfer: Some(Transfer::default()), unavailable_peers: BTreeSet::new() }
    }

    /// Starts a synchronization unless one is in progress.
    pub(crate) fn restart(&mut self) {
        self.transfer.get_or_insert_with(Transfer::default);
    }

    /// Whether no synchronization is in progress.
    pub(crate) fn is_done(&self) -> bool {
        self.transfer.is_none()
    }

    /// Returns the requests to send. Missing parts are requested from the same peer while it makes
    /// progress; otherwise another peer is asked. `peers` must be sorted.
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
        // The first peer that replies replaces this one in `receive_part`.
        let peer = targets.first().copied().unwrap_or(local_id);
        self.transfer = Some(Transfer { request_id, peer, progress_ns: now, ..Transfer::default() });
        targets
            .into_iter()
            .map(|peer| (peer, Message::FullSyncRequest { request_id, missing_parts: Vec::new() }))
            .collect()
    }

    /// Selects the peers to ask for a new request.
    fn select_peers(&mut self, local_id: u32, request_id: u32, peers: &[u32]) -> Vec<u32> {
        // One peer at a time, and several once some have replied that they have nothing to send.
        let count = if self.unavailable_peers.is_empty() { 1 } else { MAX_PARALLEL_PEERS };
        let from = (local_id as usize + request_id as usize) % peers.len().max(1);
        let order = peers.iter().cycle().skip(from).take(peers.len());
        let targets: Vec<u32> =
            order.filter(|peer| !self.unavailable_peers.contains(peer)).take(count).copied().collect();
        if targets.is_empty() {
            // No peer had anything to send; ask all of them again.
            self.unavailable_peers.clear();
        }
        targets
    }

    /// Records that a peer has no confirmed overrides. Returns whether this holds for all peers;
    /// the synchronization then ends, and the overrides that routers stored locally are valid.
    pub(crate) fn mark_unavailable(&mut self, from: u32, peers: &[u32]) -> bool {
        self.unavailable_peers.insert(from);
        let none_available = peers.iter().all(|peer| self.unavailable_peers.contains(peer));
        if none_available {
            self.transfer = None;
            self.unavailable_peers.clear();
        }
        none_available
    }

    /// Stores a received part. Returns all overrides once the last part has arrived.
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
            // This is the first part, or the peer's overrides changed so that they split
            // differently. Request all parts again; overrides received so far stay merged.
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

/// Returns all overrides in parts, or only the requested parts if `missing_parts` is not empty.
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
