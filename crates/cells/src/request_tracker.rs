//! The asks of a subscriber that are open, and when the next is due.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::digest::Digest;

/// Asks whose answers are still taken (count).
const MAX_PENDING_REQUESTS: usize = 64;

/// An ask whose answer is still taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRequest {
    pub sequence: u64,
    pub relay: SocketAddr,
    pub sent_ns: u64,
    /// What was held then.
    pub held_digest: Option<Digest>,
}

/// Asks, and what comes of them at the relay that is asked now.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTracker {
    pending: VecDeque<PendingRequest>,
    pub sequence: u64,
    pub sent_ns: u64,
    pub due_ns: u64,
    /// Asks in a row without an answer (count).
    pub unanswered: u32,
    /// Asks in a row without an answer of any relay (count).
    pub unanswered_overall: u32,
    /// Answers in a row that were old (count), and the last ask that one was to.
    pub outdated: u32,
    pub outdated_sequence: u64,
}

impl RequestTracker {
    /// None sent yet; the first is due then (ns).
    pub(crate) fn new(due_ns: u64) -> RequestTracker {
        RequestTracker { due_ns, ..RequestTracker::default() }
    }

    /// Notes an ask that is sent.
    pub(crate) fn add(&mut self, pending: PendingRequest) {
        self.pending.push_back(pending);
        if self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
    }

    /// The ask with this number to this relay, where its answer is still taken.
    pub(crate) fn find(&self, relay: SocketAddr, sequence: u64) -> Option<PendingRequest> {
        self.pending.iter().find(|pending| pending.sequence == sequence && pending.relay == relay).copied()
    }
}
