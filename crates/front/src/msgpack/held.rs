//! Requests of a client that sends faster than its socket is read.
//!
//! The end of such a connection may stand behind its requests in the socket. They are held until all
//! that is there has been read, so that none starts whose client has gone; but not for long, as a
//! client may never pause.

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
pub(super) struct HeldRequests(Vec<HeldRequest>);

impl HeldRequests {
    /// Holds a request that was received now.
    pub(super) fn push(&mut self, now: u64, id: u32, request: ClientRequest) {
        self.0.push(HeldRequest { id, request, received_ns: now });
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether a request of the call with this message id, or with this name, is held.
    pub(super) fn contains(&self, id: u32, name: &str) -> bool {
        self.0.iter().any(|held| held.id == id || held.request.name == name)
    }

    /// Returns the request of a call that the client withdraws.
    pub(super) fn remove(&mut self, id: u32) -> Option<ClientRequest> {
        let at = self.0.iter().position(|held| held.id == id)?;
        Some(self.0.remove(at).request)
    }

    /// Returns the requests to submit now: all of them if the socket has been read to its end, or if
    /// one has been held for long. The time that they were held is taken from their time limits.
    pub(super) fn take_due(&mut self, now: u64, is_behind: bool) -> Vec<HeldRequest> {
        let is_due = self.0.first().is_some_and(|held| now >= held.received_ns.saturating_add(MAX_HOLD_NS));
        if is_behind && !is_due {
            return Vec::new();
        }
        let mut due = std::mem::take(&mut self.0);
        for held in &mut due {
            let held_ns = now.saturating_sub(held.received_ns);
            held.request.time_left_ns = held.request.time_left_ns.saturating_sub(held_ns);
        }
        due
    }
}
