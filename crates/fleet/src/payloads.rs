//! Dispatches payloads from peers to their state machines.
//!
//! Limits and engine health are handled here. Payloads of other kinds wait in a bounded queue for
//! [`FleetRuntime::take_payloads`]; [`FleetRuntime::send`] and [`FleetRuntime::send_to`] send
//! replies.

use std::net::SocketAddr;

use marljunction_core::Router;
use marljunction_health::Message as HealthMessage;
use marljunction_limits::escrow::Peer;
use marljunction_limits::Message as LimitMessage;
use marljunction_peers::datagram::Kind;
use marljunction_peers::PeerIdentity;
use serde::Serialize;

use crate::outbox::{send_to_address, send_to_numbers};
use crate::runtime::FleetRuntime;

/// Largest number of queued payloads; further ones are dropped and counted.
pub const MAX_PENDING_PAYLOADS: usize = 1_024;

/// A payload that this crate does not handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerPayload {
    /// Sender.
    pub from: PeerIdentity,
    /// Kind, which identifies the receiving state machine.
    pub kind: Kind,
    /// MessagePack bytes.
    pub bytes: Vec<u8>,
}

impl FleetRuntime {
    /// Takes the queued payloads in order of arrival.
    pub fn take_payloads(&mut self) -> Vec<PeerPayload> {
        std::mem::take(&mut self.pending_payloads)
    }

    /// Returns how many payloads were dropped because the queue was full.
    pub fn dropped_payloads(&self) -> u64 {
        self.dropped_payloads
    }

    /// Sends messages to peers by number, with the datagrams of the next iteration. Messages for an
    /// unknown number are dropped.
    pub fn send<M: Serialize>(&mut self, kind: Kind, messages: Vec<(u32, M)>) {
        send_to_numbers(&mut self.members, kind, messages);
    }

    /// Sends messages to one address, with the datagrams of the next iteration.
    pub fn send_to<M: Serialize>(&mut self, to: SocketAddr, kind: Kind, messages: Vec<M>) {
        send_to_address(&mut self.members, to, kind, messages);
    }

    /// Dispatches a payload by its kind.
    pub(crate) fn handle_payload(&mut self, now: u64, payload: PeerPayload, router: &mut Router) {
        match payload.kind {
            Kind::Health => self.handle_health(now, &payload, router),
            Kind::Limits => self.handle_limits(now, &payload, router),
            Kind::List => self.handle_list(now, &payload),
            _ => self.queue_payload(payload),
        }
    }

    fn queue_payload(&mut self, payload: PeerPayload) {
        if self.pending_payloads.len() < MAX_PENDING_PAYLOADS {
            self.pending_payloads.push(payload);
        } else {
            self.dropped_payloads += 1;
        }
    }

    fn handle_limits(&mut self, now: u64, payload: &PeerPayload, router: &mut Router) {
        let Ok(messages) = rmp_serde::from_slice::<Vec<LimitMessage>>(&payload.bytes) else { return };
        let Some(limits) = router.limits() else { return };
        let peer = Peer { number: payload.from.number, incarnation: payload.from.incarnation };
        let mut answers = Vec::new();
        for message in messages {
            answers.extend(limits.node().receive(now, peer, message));
        }
        self.send_to(payload.from.address, Kind::Limits, answers);
    }

    fn handle_health(&mut self, now: u64, payload: &PeerPayload, router: &mut Router) {
        if now < self.ignore_health_until_ns {
            return;
        }
        let Some(health) = router.health() else { return };
        let Ok(messages) = rmp_serde::from_slice::<Vec<HealthMessage>>(&payload.bytes) else { return };
        let mut answers = Vec::new();
        for message in messages {
            answers.extend(health.node().receive(now, payload.from.number, message));
        }
        self.send(Kind::Health, answers);
    }
}
