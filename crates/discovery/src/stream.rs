//! Subscription to the coordinator's stream of numbered membership events.

use std::net::SocketAddr;

use log::{debug, info, warn};

use super::staleness::Staleness;
use super::{check_status, Change, SourceError, SourceParams, MAX_NS_PER_BYTE};
use crate::bound::ListBound;
use crate::event::{Event, EventReader};
use crate::rejected_updates::{RejectReason, RejectedUpdates};
pub use crate::update::Update;
use marljunction_control::interface::*;
use marljunction_http1::head::parse_response_head;
use marljunction_net::{Net, Owner};
use marljunction_pacing::{Failure, Pacer, PacingParams};
use marljunction_settings::Names;

/// Silence after which the connection counts as lost (ns). The coordinator sends a comment each
/// second.
pub const SILENT_NS: u64 = 2_200_000_000;

/// Subscription to the coordinator.
pub struct Stream {
    address: SocketAddr,
    names: Names,
    bound: ListBound,
    last: u64,
    conn: Option<u64>,
    reader: Option<EventReader>,
    /// When the connection last received data, or was opened.
    last_received_ns: u64,
    /// When the current event began. `None` between events.
    event_started_ns: Option<u64>,
    /// Number of the last invalid event.
    invalid_event: Option<u64>,
    /// No event has arrived on this connection yet.
    awaiting_first_event: bool,
    pacer: Pacer,
    staleness: Staleness,
    rejected_updates: RejectedUpdates,
}

impl Stream {
    /// Subscribes to the events after `last`, within the default bound.
    pub fn new(now: u64, address: SocketAddr, names: Names, last: u64, pacing: SourceParams) -> Self {
        Stream {
            address,
            names,
            bound: ListBound::default(),
            last,
            conn: None,
            reader: None,
            last_received_ns: 0,
            event_started_ns: None,
            invalid_event: None,
            awaiting_first_event: true,
            pacer: Pacer::new(pacing.pace, pacing.seed, now),
            staleness: Staleness::new(now, pacing.stale_ns),
            rejected_updates: RejectedUpdates::default(),
        }
    }

    /// Sets the size limits of lists.
    pub fn with_bound(mut self, bound: ListBound) -> Self {
        self.bound = bound;
        self
    }

    /// Calls made and calls rejected because of load, and the staleness of the list.
    pub fn stats(&self) -> ((u64, u64), &Staleness) {
        (self.pacer.calls(), &self.staleness)
    }

    /// Rejected updates.
    pub fn rejected_updates(&self) -> RejectedUpdates {
        self.rejected_updates
    }

    /// Number of the last applied event, and whether the stream is open.
    pub fn position(&self) -> (u64, bool) {
        (self.last, self.reader.is_some())
    }

    /// Replaces the pacing parameters and the staleness limit.
    pub fn set_pace(&mut self, pace: PacingParams, stale_ns: u64) {
        self.pacer.set_pace(pace);
        self.staleness.set_stale_ns(stale_ns);
    }

    /// The staleness of the list, to update.
    pub fn staleness_mut(&mut self) -> &mut Staleness {
        &mut self.staleness
    }

    /// Opens the stream if a call is due, and closes it if it is silent.
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        match self.conn {
            Some(_) if now > self.deadline_ns() => {
                warn!("coordinator stream is silent, closing it");
                self.end(now, net, SourceError::Ended);
            }
            None if self.pacer.call(now) => match net.connect(self.address, Owner::Discovery) {
                Ok(conn) => self.subscribe(now, net, conn),
                Err(_) => self.pacer.failed(now, Failure::Unavailable),
            },
            _ => {}
        }
        self.staleness.tick(now);
    }

    /// When the stream counts as lost. Guards against an event that arrives a byte at a time and
    /// blocks those after it.
    fn deadline_ns(&self) -> u64 {
        let bytes = self.reader.as_ref().and_then(EventReader::pending).unwrap_or(0) as u64;
        let event_deadline_ns = self
            .event_started_ns
            .map_or(u64::MAX, |since| since.saturating_add(bytes.saturating_mul(MAX_NS_PER_BYTE)));
        self.last_received_ns.min(event_deadline_ns) + SILENT_NS
    }

    fn subscribe(&mut self, now: u64, net: &mut Net, conn: u64) {
        (self.conn, self.reader, self.last_received_ns, self.awaiting_first_event) =
            (Some(conn), None, now, true);
        self.event_started_ns = None;
        let request = format!(
            "GET /v2/stream HTTP/1.1\r\nHost: {}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n\r\n",
            self.address, self.last
        );
        net.send(conn, request.as_bytes());
    }

    /// Switches to another address, after the last event. Returns the changes of those `known`
    /// updates that are new.
    pub fn reload(
        &mut self,
        now: u64,
        net: &mut Net,
        address: SocketAddr,
        known: Vec<Update>,
    ) -> Vec<Change> {
        let new_updates = known.into_iter().filter(|u| u.index > self.last).collect::<Vec<_>>();
        self.last = new_updates.iter().map(|u| u.index).max().unwrap_or(self.last);
        if address != self.address {
            info!("coordinator address changed to {address}, continuing after event {}", self.last);
            self.address = address;
            if let Some(conn) = self.conn.take() {
                net.close(conn);
            }
            // All routers may switch at the same moment.
            self.pacer.restart(now);
            self.tick(now, net);
        }
        new_updates.into_iter().map(|u| u.change).collect()
    }

    /// Closes the connection and schedules the next call. A stream that was open has ended; a call
    /// that never opened one has failed.
    fn end(&mut self, now: u64, net: &mut Net, fault: SourceError) {
        let partial_bytes = self.reader.as_ref().and_then(EventReader::pending);
        let failure = self.record_failure(fault, partial_bytes);
        if let Some(conn) = self.conn.take() {
            net.close(conn);
        }
        match self.reader.take() {
            Some(_) if failure != Failure::Unusable => self.pacer.ended(now),
            _ => self.pacer.failed(now, failure),
        }
    }

    /// Counts and logs why a connection ended. `partial_bytes` is the size of an incomplete event.
    fn record_failure(&mut self, fault: SourceError, partial_bytes: Option<usize>) -> Failure {
        match fault {
            SourceError::Rejected(after_ns) => {
                debug!("coordinator rejected the call because of load; requested wait: {after_ns:?} ns");
                return Failure::Rejected { after_ns };
            }
            SourceError::List(error) if error.is_over_limit() => {
                self.rejected_updates.record(RejectReason::TooLarge, || {
                    format!("engine list is too large: {error}; the previous list stays in force")
                });
                return Failure::Unusable;
            }
            SourceError::List(error) => self.rejected_updates.record(RejectReason::Invalid, || {
                format!("invalid membership event, requesting it once more: {error}")
            }),
            SourceError::Ended => match partial_bytes {
                Some(bytes) => self.rejected_updates.record(RejectReason::Truncated, || {
                    format!("coordinator stream ended {bytes} bytes into an event, requesting it again")
                }),
                None => debug!("coordinator stream ended"),
            },
            other => self
                .rejected_updates
                .record(RejectReason::CallFailed, || format!("coordinator stream failed: {other}")),
        }
        Failure::Unavailable
    }

    /// Processes input on the connection. Returns the changes in order.
    pub fn ready(&mut self, now: u64, net: &mut Net, conn: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        if self.conn != Some(conn) {
            return changes;
        }
        let serviced = net.service(conn);
        match self.read(now, net, conn, &mut changes) {
            Ok(()) if serviced.ended.is_some() => self.end(now, net, SourceError::Ended),
            Ok(()) => {}
            Err(fault) => self.end(now, net, fault),
        }
        changes
    }

    fn read(
        &mut self,
        now: u64,
        net: &mut Net,
        conn: u64,
        changes: &mut Vec<Change>,
    ) -> Result<(), SourceError> {
        let silent = net.input(conn).is_empty();
        if !silent {
            self.last_received_ns = now;
        }
        if self.reader.is_none() {
            let Some((head, size)) = parse_response_head(net.input(conn)).map_err(SourceError::Head)? else {
                return Ok(());
            };
            net.consume(conn, size);
            check_status(now, &head)?;
            self.reader = Some(EventReader::new(head.chunked, self.bound));
            self.pacer.accepted(now);
        }
        // The list is not confirmed while lists are too large.
        if !silent && !self.rejected_updates.is_too_large() {
            self.staleness.confirm(now);
        }
        let (mut events, Some(reader)) = (Vec::new(), &mut self.reader) else { return Ok(()) };
        let consumed = reader.decode(net.input(conn), &self.names, &mut events);
        net.consume(conn, *consumed.as_ref().unwrap_or(&0));
        // An event that follows a complete one begins now.
        let since = self.event_started_ns.filter(|_| events.is_empty()).unwrap_or(now);
        self.event_started_ns = reader.pending().map(|_| since);
        for event in events {
            changes.extend(self.apply_event(now, event)?);
        }
        consumed.map(drop)
    }

    /// Applies an event. Returns its change if it is new.
    fn apply_event(&mut self, now: u64, event: Event) -> Result<Option<Change>, SourceError> {
        let Event { number, update } = event;
        let update = match update {
            Ok(update) => update,
            // An invalid event is requested once more, in case it was damaged in transit. If it is
            // invalid again, it is skipped and the stream goes on.
            Err(error) if number > Some(self.last) && number != self.invalid_event => {
                self.invalid_event = number;
                return Err(error.into());
            }
            Err(error) => {
                self.rejected_updates.record(RejectReason::Invalid, || {
                    format!("invalid membership event, skipping it: {error}")
                });
                return Ok(None);
            }
        };
        let index = number.unwrap_or(update.index);
        // Guards against a coordinator that restarted its numbering: its events would be ignored
        // until their numbers pass the last one. A full list as the first event of a connection,
        // with a lower number, is therefore accepted.
        let is_first = std::mem::take(&mut self.awaiting_first_event);
        let restarted = is_first && index < self.last && update.change.kind == MembershipKind::Full;
        if restarted {
            self.rejected_updates.record(RejectReason::NumberingReset, || {
                format!("coordinator restarted its event numbering: event {index} after {}", self.last)
            });
        } else if index <= self.last {
            self.rejected_updates.record(RejectReason::Duplicate, || {
                format!("duplicate event {index}: the last one was {}", self.last)
            });
            return Ok(None);
        }
        self.last = index;
        self.rejected_updates.accepted();
        self.staleness.confirm(now);
        Ok(Some(update.change))
    }
}
