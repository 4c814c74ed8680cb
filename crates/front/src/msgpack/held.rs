//! Requests of a client that sends faster than its socket is read.
//!
//! The end of such a connection may stand behind its requests in the socket. They are held until all
//! that is there has been read, so that none starts whose client has gone; but not for long, as a
//! client may never pause, and not once all clients' held statements take too much memory.

use marljunction_core::ClientRequest;

/// Longest time for which a request is held (ns): half of the time after which no attempt may begin
/// for a client that has gone.
const MAX_HOLD_NS: u64 = 50_000_000;

/// A request that is not yet submitted.
pub(super) struct HeldRequest {
    /// The message id of its call.
    pub(super) id: u32,
    pub(super) request: ClientRequest,
    received_ns: u64,
}

/// The held requests of a connection, in order.
#[derive(Default)]
pub(super) struct HeldRequests {
    requests: Vec<HeldRequest>,
    statement_bytes: usize,
}

impl HeldRequests {
    /// Holds a request that was received now.
    pub(super) fn push(&mut self, now: u64, id: u32, request: ClientRequest) {
        self.statement_bytes += request.statement.text.len();
        self.requests.push(HeldRequest { id, request, received_ns: now });
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Bytes of the statements.
    pub(super) fn statement_bytes(&self) -> usize {
        self.statement_bytes
    }

    /// Whether the request of the call with this message id is held.
    pub(super) fn has_call(&self, id: u32) -> bool {
        self.requests.iter().any(|held| held.id == id)
    }

    /// Whether a request with this name is held.
    pub(super) fn has_request(&self, name: &str) -> bool {
        self.requests.iter().any(|held| held.request.name == name)
    }

    /// Returns the request of a call that the client withdraws.
    pub(super) fn remove(&mut self, id: u32) -> Option<ClientRequest> {
        let at = self.requests.iter().position(|held| held.id == id)?;
        let request = self.requests.remove(at).request;
        self.statement_bytes -= request.statement.text.len();
        Some(request)
    }

    /// Whether one has been held for as long as any may be.
    pub(super) fn is_overdue(&self, now: u64) -> bool {
        self.requests.first().is_some_and(|held| now >= held.received_ns.saturating_add(MAX_HOLD_NS))
    }

    /// Returns all requests. The time that they were held is taken from their time limits.
    pub(super) fn take(&mut self, now: u64) -> Vec<HeldRequest> {
        let HeldRequests { mut requests, .. } = std::mem::take(self);
        for held in &mut requests {
            let held_ns = now.saturating_sub(held.received_ns);
            held.request.time_left_ns = held.request.time_left_ns.saturating_sub(held_ns);
        }
        requests
    }
}
