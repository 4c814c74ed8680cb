//! The subscription to the coordinator's stream of numbered events.

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

/// Silence after which the stream is taken for dead (ns): a comment comes each second.
pub const SILENT_NS: u64 = 2_200_000_000;

/// The subscription to the coordinator.
pub struct Stream {
    address: SocketAddr,
    names: Names,
    bound: ListBound,
    last: u64,
    conn: Option<u64>,
    reader: Option<EventReader>,
    /// When the present connection was last heard, or opened.
    last_received_ns: u64,
    /// Since when an event is being read; none between events.
    event_started_ns: Option<u64>,
    /// The last event that could not be read.
    invalid_event: Option<u64>,
    /// No event has come on this connection yet.
    awaiting_first_event: bool,
    pacer: Pacer,
    staleness: Staleness,
    rejected_updates: RejectedUpdates,
}

impl Stream {
    /// A subscription that starts behind event `last`.
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

    /// A subscription that takes lists up to a bound.
    pub fn with_bound(mut self, bound: ListBound) -> Self {
        self.bound = bound;
        self
    }

    /// Calls made and turned away, and how old the news is.
    pub fn stats(&self) -> ((u64, u64), &Staleness) {
        (self.pacer.calls(), &self.staleness)
    }

    /// What of the news was refused.
    pub fn rejected_updates(&self) -> RejectedUpdates {
        self.rejected_updates
    }

    /// Number of the last event that was taken, and whether the stream is open now.
    pub fn position(&self) -> (u64, bool) {
        (self.last, self.reader.is_some())
    }

    /// Paces calls so from the next one on.
    pub fn set_pace(&mut self, pace: PacingParams, stale_ns: u64) {
        self.pacer.set_pace(pace);
        self.staleness.set_stale_ns(stale_ns);
    }

    /// How old the news is, to be told.
    pub fn staleness_mut(&mut self) -> &mut Staleness {
        &mut self.staleness
    }

    /// Opens the stream where it is closed and a call is due, and closes it where it is silent.
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        match self.conn {
            Some(_) if now > self.deadline_ns() => {
                warn!("the coordinator's stream is silent");
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

    /// When the stream is taken for dead. Guards against an event that never comes to its end, a byte at a time, and keeps those
    /// behind it away.
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

    /// Goes on at another address behind the last event, and takes what of `known` is new.
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
            info!("membership news come from {address} now, behind event {}", self.last);
            self.address = address;
            if let Some(conn) = self.conn.take() {
                net.close(conn);
            }
            // All routers may be told of another address at one moment.
            self.pacer.restart(now);
            self.tick(now, net);
        }
        new_updates.into_iter().map(|u| u.change).collect()
    }

    /// Ends the connection, and says when the next call is made; a stream that was up has ended, a call that never was has
    /// failed.
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

    /// Counts and logs why a connection ended, `cut` bytes into an event or between two.
    fn record_failure(&mut self, fault: SourceError, partial_bytes: Option<usize>) -> Failure {
        match fault {
            SourceError::Rejected(after_ns) => {
                debug!("the coordinator takes no more calls for now; it asks for {after_ns:?} ns");
                return Failure::Rejected { after_ns };
            }
            SourceError::List(error) if error.is_over_limit() => {
                self.rejected_updates.record(RejectReason::TooLarge, || {
                    format!("the list of engines is too large: {error}; what was known stays in force")
                });
                return Failure::Unusable;
            }
            SourceError::List(error) => self.rejected_updates.record(RejectReason::Invalid, || {
                format!("a membership event can't be read, and is asked for once more: {error}")
            }),
            SourceError::Ended => match partial_bytes {
                Some(bytes) => self.rejected_updates.record(RejectReason::Truncated, || {
                    format!(
                        "the coordinator's stream ended {bytes} bytes into an event: it is asked for again"
                    )
                }),
                None => debug!("the coordinator's stream has ended"),
            },
            other => self
                .rejected_updates
                .record(RejectReason::CallFailed, || format!("the coordinator's stream: {other}")),
        }
        Failure::Unavailable
    }

    /// Takes what has come in; gives the changes in order.
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
        // A list that is not taken leaves what is known as old as it is.
        if !silent && !self.rejected_updates.is_too_large() {
            self.staleness.confirm(now);
        }
        let (mut events, Some(reader)) = (Vec::new(), &mut self.reader) else { return Ok(()) };
        let consumed = reader.decode(net.input(conn), &self.names, &mut events);
        net.consume(conn, *consumed.as_ref().unwrap_or(&0));
        // An event whose end has come is no part of the one behind it.
        let since = self.event_started_ns.filter(|_| events.is_empty()).unwrap_or(now);
        self.event_started_ns = reader.pending().map(|_| since);
        for event in events {
            changes.extend(self.apply_event(now, event)?);
        }
        consumed.map(drop)
    }

    /// What an event changes; nothing where it says nothing new.
    fn apply_event(&mut self, now: u64, event: Event) -> Result<Option<Change>, SourceError> {
        let Event { number, update } = event;
        let update = match update {
            Ok(update) => update,
            // Guards against an event that is lost for good because half of it came: it is asked for once
            // more. One that can't be read then costs itself only, never the stream.
            Err(error) if number > Some(self.last) && number != self.invalid_event => {
                self.invalid_event = number;
                return Err(error.into());
            }
            Err(error) => {
                self.rejected_updates
                    .record(RejectReason::Invalid, || format!("a membership event can't be read: {error}"));
                return Ok(None);
            }
        };
        let index = number.unwrap_or(update.index);
        // Guards against a coordinator that started anew, whose news would be passed over until its numbers have
        // grown past the last: a whole list that opens a connection, below the number asked behind, is no repeat.
        let is_first = std::mem::take(&mut self.awaiting_first_event);
        let restarted = is_first && index < self.last && update.change.kind == MembershipKind::Full;
        if restarted {
            self.rejected_updates.record(RejectReason::NumberingReset, || {
                format!("the coordinator counts anew: event {index} behind {}", self.last)
            });
        } else if index <= self.last {
            self.rejected_updates.record(RejectReason::Duplicate, || {
                format!("event {index} is known already: the last was {}", self.last)
            });
            return Ok(None);
        }
        self.last = index;
        self.rejected_updates.accepted();
        self.staleness.confirm(now);
        Ok(Some(update.change))
    }
}
