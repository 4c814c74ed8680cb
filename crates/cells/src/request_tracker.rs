//! Outstanding requests of a subscriber, and the time of the next one.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::digest::Digest;

/// Number of requests for which responses are still accepted.
const MAX_PENDING_REQUESTS: usize = 64;

/// A request for which responses are still accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRequest {
    pub sequence: u64,
    pub relay: SocketAddr,
    pub sent_ns: u64,
    /// Digest of the part held when the request was sent.
    pub held_digest: Option<Digest>,
}

/// Outstanding requests, and the recent results at the current relay.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTracker {
    pending: VecDeque<PendingRequest>,
    pub sequence: u64,
    pub sent_ns: u64,
    pub due_ns: u64,
    /// Consecutive requests to the current relay without a response.
    pub unanswered: u32,
    /// Consecutive requests without a response from any relay.
    pub unanswered_overall: u32,
    /// Consecutive outdated responses from the current relay.
    pub outdated: u32,
    /// Request that the last outdated response belongs to.
    pub outdated_sequence: u64,
}

impl RequestTracker {
    /// Creates a tracker without requests; the first one is due at `due_ns`.
    pub(crate) fn new(due_ns: u64) -> RequestTracker {
        RequestTracker { due_ns, ..RequestTracker::default() }
    }

    /// Records a sent request.
    pub(crate) fn add(&mut self, pending: PendingRequest) {
        self.pending.push_back(pending);
        if self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
    }

    /// Returns the request with this sequence number to this relay, if responses are still
    /// accepted.
    pub(crate) fn find(&self, relay: SocketAddr, sequence: u64) -> Option<PendingRequest> {
        self.pending.iter().find(|pending| pending.sequence == sequence && pending.relay == relay).copied()
    }
}
