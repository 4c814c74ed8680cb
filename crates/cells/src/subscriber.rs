//! State machine of a router that subscribes to the part of its cell at one relay at a time.
//!
//! Invariants: the part held is replaced only by a complete snapshot with a verified digest, or by
//! a delta based on exactly the part held, whose result has the stated digest. Its version never
//! decreases, unless the list service restarts its event numbers. The age of the part counts from
//! when the request was sent, plus the age that the relay reported: a late response does not make
//! the part appear fresh.
//!
//! A restart of event numbers is accepted once two relays (or the only one) that have contact with
//! the list service have reported a lower version for the settle time, and no relay has confirmed
//! the held version meanwhile.

use std::net::SocketAddr;

use log::{info, warn};

use crate::assembly::{Assembly, AssemblyKey};
use crate::cell::CellId;
use crate::counters::{RejectReason, RejectedMessages, SubscriberCounters};
use crate::digest::Digest;
use crate::engine::Engine;
use crate::jitter::Jitter;
use crate::message::{Delta, Message, Piece, Request, ResponseHeader};
use crate::part::Part;
use crate::relay_selector::RelaySelector;
use crate::request_tracker::{PendingRequest, RequestTracker};
use crate::restart_detector::RestartDetector;

/// Number of unanswered requests after which a router switches to another relay.
pub const MAX_UNANSWERED: u32 = 3;
/// An unanswered request is repeated after the request interval divided by this.
pub(crate) const RETRY_DIVISOR: u64 = 4;
/// Number of consecutive requests without any response that are repeated quickly, in addition to
/// one for each relay.
const MIN_QUICK_RETRIES: u32 = 12;
/// The shortest time between requests is the request interval divided by this.
pub(crate) const MIN_INTERVAL_DIVISOR: u64 = 10;
/// Number of consecutive outdated responses after which a router switches to another relay. One is
/// tolerated, because a relay may be an event behind for a moment.
const MAX_OUTDATED_RESPONSES: u32 = 2;

/// Settings of a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriberSettings {
    /// Cell of the router.
    pub cell: CellId,
    /// Number of the router, stable over restarts. Determines its order of the relays.
    pub router: u64,
    /// Incarnation of the router, which increases with each start.
    pub incarnation: u64,
    /// Addresses of the relays.
    pub relays: Vec<SocketAddr>,
    /// Interval between requests, in nanoseconds.
    pub request_interval_ns: u64,
    /// Contact age from which a relay counts as having lost the list service, in nanoseconds.
    pub silence_ns: u64,
    /// Time for which relays must report restarted event numbers before they are accepted, in
    /// nanoseconds.
    pub settle_ns: u64,
    /// Time over which first requests are spread, in nanoseconds.
    pub spread_ns: u64,
    /// Age of the part from which a warning is logged, in nanoseconds.
    pub stale_ns: u64,
    /// Seed of the jitter.
    pub seed: u64,
}

/// Update of a router's part.
#[derive(Clone, Debug, PartialEq)]
pub enum PartUpdate {
    /// All engines of the part.
    Snapshot(Vec<Engine>),
    /// Added and changed engines, and the ids of removed ones.
    Delta(Vec<Engine>, Vec<u64>),
}

/// The part held, with its version and age.
#[derive(Clone, Debug)]
struct HeldPart {
    part: Part,
    version: u64,
    /// Time at which the part was last known to be current, in nanoseconds.
    confirmed_ns: u64,
    /// Time at which the version was received, in nanoseconds.
    version_learned_ns: u64,
}

/// State machine of a subscriber.
#[derive(Clone, Debug)]
pub struct Subscriber {
    settings: SubscriberSettings,
    selector: RelaySelector,
    jitter: Jitter,
    held: Option<HeldPart>,
    assembly: Option<Assembly>,
    restart_detector: RestartDetector,
    tracker: RequestTracker,
    rejected: RejectedMessages,
    counters: SubscriberCounters,
    started_ns: u64,
    stale_warned: bool,
}

impl Subscriber {
    /// Creates a subscriber without a part.
    pub fn new(now: u64, settings: SubscriberSettings) -> Subscriber {
        let mut jitter = Jitter::new(settings.seed);
        let due_ns = now + jitter.below(settings.spread_ns);
        Subscriber {
            selector: RelaySelector::new(settings.router, &settings.relays, settings.request_interval_ns),
            jitter,
            held: None,
            assembly: None,
            restart_detector: RestartDetector::default(),
            tracker: RequestTracker::new(due_ns),
            rejected: RejectedMessages::default(),
            counters: SubscriberCounters::default(),
            started_ns: now,
            stale_warned: false,
            settings,
        }
    }

    /// Returns the cell.
    pub fn cell(&self) -> &CellId {
        &self.settings.cell
    }

    /// Returns the part held; `None` before the first one is complete.
    pub fn part(&self) -> Option<&Part> {
        self.held.as_ref().map(|held| &held.part)
    }

    /// Returns the version of the part.
    pub fn version(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.version)
    }

    /// Returns the largest possible age of the part, in nanoseconds; without a part, the time since
    /// the start.
    pub fn age_ns(&self, now: u64) -> u64 {
        now.saturating_sub(self.held.as_ref().map_or(self.started_ns, |held| held.confirmed_ns))
    }

    /// Returns the relay in use.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.selector.current()
    }

    /// Returns the counters.
    pub fn counters(&self) -> &SubscriberCounters {
        &self.counters
    }

    /// Returns the counters of rejected messages.
    pub fn rejected(&self) -> &RejectedMessages {
        &self.rejected
    }

    /// Returns the time of the next request, in nanoseconds.
    pub fn next_due_ns(&self) -> u64 {
        self.tracker.due_ns
    }

    /// Counts a datagram that could not be decoded.
    pub fn record_undecodable(&mut self, from: SocketAddr) {
        self.rejected.count(RejectReason::Invalid, from);
    }

    /// Performs periodic work and returns the messages to send.
    pub fn tick(&mut self, now: u64) -> Vec<(SocketAddr, Message)> {
        self.check_staleness(now);
        if now < self.tracker.due_ns {
            return Vec::new();
        }
        // After the first relay stopped responding, each other one is tried once in turn.
        let max_unanswered =
            if self.tracker.unanswered_overall >= MAX_UNANSWERED { 1 } else { MAX_UNANSWERED };
        if self.tracker.unanswered >= max_unanswered {
            self.fail_over(now);
        }
        // A preferred relay is tried beside the current one, so that the router does not return to
        // one that does not respond yet.
        let recipients: Vec<SocketAddr> =
            self.selector.current().into_iter().chain(self.selector.retry_preferred(now)).collect();
        let mut outgoing = Vec::new();
        for relay in recipients {
            outgoing.push((relay, self.build_request(now, relay)));
        }
        self.tracker.unanswered += 1;
        self.tracker.unanswered_overall += 1;
        self.tracker.sent_ns = now;
        self.tracker.due_ns = now + self.retry_interval_ns();
        outgoing
    }

    /// Returns the time until the next request if no response arrives: short until each relay has
    /// been tried.
    fn retry_interval_ns(&mut self) -> u64 {
        let divisor = if self.tracker.unanswered_overall < max_quick_retries(self.selector.len()) {
            RETRY_DIVISOR
        } else {
            1
        };
        self.jitter.apply(self.settings.request_interval_ns / divisor)
    }

    fn build_request(&mut self, now: u64, relay: SocketAddr) -> Message {
        self.counters.requests += 1;
        self.tracker.sequence += 1;
        let held_digest = self.held.as_ref().map(|held| held.part.digest());
        let pending = PendingRequest { sequence: self.tracker.sequence, relay, sent_ns: now, held_digest };
        self.tracker.add(pending);
        let min_version = self.version().filter(|_| !self.versions_restarted(now));
        Message::Request(Request {
            incarnation: self.settings.incarnation,
            sequence: self.tracker.sequence,
            cell: self.settings.cell.clone(),
            held_digest,
            min_version,
            missing: self.assembly.as_ref().map(|assembly| (assembly.key().digest, assembly.missing())),
        })
    }

    /// Moves the next request forward, because the part may be outdated.
    fn request_soon(&mut self, now: u64) {
        let earliest_ns =
            (self.tracker.sent_ns + self.settings.request_interval_ns / MIN_INTERVAL_DIVISOR).max(now);
        self.tracker.due_ns = self.tracker.due_ns.min(earliest_ns);
    }

    fn fail_over(&mut self, now: u64) {
        let from = self.selector.current();
        let available = self.selector.fail_over(now);
        self.counters.failovers += 1;
        (self.tracker.unanswered, self.tracker.outdated) = (0, 0);
        if available {
            self.request_soon(now);
        }
        if let (Some(from), Some(to)) = (from, self.selector.current()) {
            // While no relay responds, each request causes a failover: only the first ones are
            // logged.
            if self.counters.failovers <= self.selector.len() as u64 {
                info!("engine list: switched from relay {from} to relay {to}");
            }
        }
    }

    fn check_staleness(&mut self, now: u64) {
        let age = self.age_ns(now);
        if age <= self.settings.stale_ns {
            if std::mem::take(&mut self.stale_warned) {
                info!("the engine list of this cell is fresh again");
            }
        } else if !std::mem::replace(&mut self.stale_warned, true) {
            self.counters.stale_periods += 1;
            let age = age as f64 / 1e9;
            warn!("no relay has confirmed the engine list of this cell for {age:.1} s; the last list stays in use");
        }
    }

    /// Handles a message from a relay. Returns the resulting update of the part, if there is one.
    pub fn receive(&mut self, now: u64, from: SocketAddr, message: Message) -> Option<PartUpdate> {
        if !self.selector.contains(from) {
            self.rejected.count(RejectReason::UnknownSender, from);
            return None;
        }
        match message {
            Message::Request(_) => {
                self.rejected.count(RejectReason::WrongRecipient, from);
                None
            }
            Message::Unchanged(header) => {
                let pending = self.match_response(from, &header)?;
                self.handle_unchanged(now, pending, &header)
            }
            Message::Behind(header) => {
                let pending = self.match_response(from, &header)?;
                let in_contact = self.check_contact(now, from, &header);
                if self.accepts_state(now, pending, &header, None, in_contact) {
                    self.request_soon(now);
                }
                None
            }
            Message::NotReady(header) => {
                self.match_response(from, &header)?;
                if self.selector.current() == Some(from) {
                    self.fail_over(now);
                }
                None
            }
            Message::Piece(piece) => {
                let pending = self.match_response(from, &piece.header)?;
                self.handle_piece(now, pending, piece)
            }
            Message::Delta(delta) => self.handle_delta(now, from, delta),
        }
    }

    /// Returns the outstanding request that a response belongs to.
    fn match_response(&mut self, from: SocketAddr, header: &ResponseHeader) -> Option<PendingRequest> {
        let reason = if header.incarnation != self.settings.incarnation {
            RejectReason::OtherIncarnation
        } else if header.cell != self.settings.cell.hash() {
            RejectReason::WrongRecipient
        } else {
            if let Some(pending) = self.tracker.find(from, header.sequence) {
                self.reset_unanswered(from);
                return Some(pending);
            }
            RejectReason::UnknownRequest
        };
        self.rejected.count(reason, from);
        None
    }

    /// Resets the counts of unanswered requests.
    fn reset_unanswered(&mut self, from: SocketAddr) {
        self.tracker.unanswered_overall = 0;
        if self.selector.current() == Some(from) && self.tracker.unanswered > 0 {
            self.tracker.unanswered = 0;
            self.tracker.due_ns = self.tracker.sent_ns + self.jitter.apply(self.settings.request_interval_ns);
        }
    }

    /// Returns whether the relay has contact with the list service, and switches to another relay
    /// if the current one has not.
    fn check_contact(&mut self, now: u64, from: SocketAddr, header: &ResponseHeader) -> bool {
        let in_contact = contact_age_ns(header) <= self.settings.silence_ns;
        if !in_contact && self.selector.current() == Some(from) {
            self.fail_over(now);
        }
        in_contact
    }

    fn handle_unchanged(
        &mut self,
        now: u64,
        pending: PendingRequest,
        header: &ResponseHeader,
    ) -> Option<PartUpdate> {
        let held = self.held.as_ref()?;
        // A delta has been applied since the request: the response is about an earlier part.
        if pending.held_digest != Some(held.part.digest()) {
            return None;
        }
        let in_contact = self.check_contact(now, pending.relay, header);
        if !self.accepts_state(now, pending, header, None, in_contact) {
            return None;
        }
        self.confirm(now, pending, header, in_contact);
        None
    }

    /// Records that the part was current when the relay last had contact with the list service.
    fn confirm(&mut self, now: u64, pending: PendingRequest, header: &ResponseHeader, in_contact: bool) {
        if let Some(held) = &mut self.held {
            if held.version != header.version {
                (held.version, held.version_learned_ns) = (header.version, now);
            }
            held.confirmed_ns = held.confirmed_ns.max(pending.sent_ns.saturating_sub(contact_age_ns(header)));
        }
        if in_contact {
            self.record_current(pending.relay);
        }
    }

    /// Records a response from a relay that has contact with the list service and is not behind.
    fn record_current(&mut self, relay: SocketAddr) {
        self.restart_detector.clear();
        self.tracker.outdated = 0;
        self.selector.record_response(relay);
    }

    /// Returns whether relays have reported restarted event numbers for long enough.
    fn versions_restarted(&self, now: u64) -> bool {
        self.restart_detector.is_confirmed(now, self.settings.settle_ns, self.selector.len())
    }

    /// Returns whether the state of a relay may replace the one held: its version is higher, or
    /// equal with the same content, or the event numbers have restarted. `content` is `None` for
    /// the content held.
    fn accepts_state(
        &mut self,
        now: u64,
        pending: PendingRequest,
        header: &ResponseHeader,
        content: Option<Digest>,
        in_contact: bool,
    ) -> bool {
        let Some(held) = &self.held else { return true };
        let same_content = content.is_none_or(|digest| digest == held.part.digest());
        if header.version > held.version || header.version == held.version && same_content {
            return true;
        }
        // A request sent before the held version was received may get an outdated response.
        let credible = in_contact && pending.sent_ns >= held.version_learned_ns;
        self.rejected.count(RejectReason::Outdated, pending.relay);
        if !credible {
            return false;
        }
        self.restart_detector.record(now, pending.relay, self.settings.settle_ns);
        if self.versions_restarted(now) {
            return true;
        }
        let counts = pending.sequence != self.tracker.outdated_sequence
            && self.selector.current() == Some(pending.relay);
        self.tracker.outdated_sequence = pending.sequence;
        self.tracker.outdated += u32::from(counts);
        if self.tracker.outdated >= MAX_OUTDATED_RESPONSES && self.selector.len() > 1 {
            self.fail_over(now);
        }
        false
    }

    fn handle_piece(&mut self, now: u64, pending: PendingRequest, piece: Piece) -> Option<PartUpdate> {
        let Ok(engines) = piece.table.engines() else {
            self.rejected.count(RejectReason::Invalid, pending.relay);
            return None;
        };
        if !engines.iter().all(|engine| self.settings.cell.contains(engine)) {
            self.rejected.count(RejectReason::WrongRecipient, pending.relay);
            return None;
        }
        let in_contact = self.check_contact(now, pending.relay, &piece.header);
        if !self.accepts_state(now, pending, &piece.header, Some(piece.digest), in_contact) {
            return None;
        }
        if self.held.as_ref().is_some_and(|held| held.part.digest() == piece.digest) {
            self.confirm(now, pending, &piece.header, in_contact);
            return None;
        }
        let key = AssemblyKey { digest: piece.digest, piece_count: piece.count };
        let confirmed_ns = pending.sent_ns.saturating_sub(contact_age_ns(&piece.header));
        if !self.assembly.as_ref().is_some_and(|assembly| *assembly.key() == key) {
            self.assembly = Assembly::new(key);
        }
        let Some(assembly) = &mut self.assembly else {
            self.rejected.count(RejectReason::Invalid, pending.relay);
            return None;
        };
        assembly.add(piece.index, engines, piece.header.version, confirmed_ns);
        if !assembly.is_complete() {
            // Missing pieces are requested again.
            self.tracker.due_ns =
                self.tracker.due_ns.min(now + self.settings.request_interval_ns / RETRY_DIVISOR);
            return None;
        }
        self.complete_assembly(now, pending.relay, in_contact)
    }

    /// Replaces the part with the assembled one, after verifying its digest.
    fn complete_assembly(&mut self, now: u64, relay: SocketAddr, in_contact: bool) -> Option<PartUpdate> {
        let assembly = self.assembly.take()?;
        let (digest, version, confirmed_ns) =
            (assembly.key().digest, assembly.version(), assembly.confirmed_ns());
        let part = Part::new(assembly.into_engines());
        if part.digest() != digest {
            self.rejected.count(RejectReason::Invalid, relay);
            // Guards against a relay whose snapshots are always invalid.
            if self.selector.len() > 1 {
                self.fail_over(now);
            }
            return None;
        }
        let engines: Vec<Engine> = part.engines().cloned().collect();
        self.held = Some(HeldPart { part, version, confirmed_ns, version_learned_ns: now });
        self.counters.snapshots += 1;
        if in_contact {
            self.record_current(relay);
        }
        Some(PartUpdate::Snapshot(engines))
    }

    fn handle_delta(&mut self, now: u64, from: SocketAddr, delta: Delta) -> Option<PartUpdate> {
        let Ok(changed) = delta.table.engines() else {
            self.rejected.count(RejectReason::Invalid, from);
            return None;
        };
        let in_cell = changed.iter().all(|engine| self.settings.cell.contains(engine));
        let reason = match &self.held {
            _ if delta.incarnation != self.settings.incarnation => RejectReason::OtherIncarnation,
            _ if delta.cell != self.settings.cell.hash() || !in_cell => RejectReason::WrongRecipient,
            Some(held) if delta.version <= held.version => RejectReason::Outdated,
            Some(held) if delta.from == held.part.digest() => {
                return self.apply_delta(now, from, &delta, changed)
            }
            _ => {
                self.request_soon(now);
                RejectReason::Gap
            }
        };
        self.rejected.count(reason, from);
        None
    }

    /// Applies a delta if the result has the stated digest. The age of the part does not change,
    /// because the delta may have been delayed.
    fn apply_delta(
        &mut self,
        now: u64,
        from: SocketAddr,
        delta: &Delta,
        changed: Vec<Engine>,
    ) -> Option<PartUpdate> {
        let held = self.held.as_mut()?;
        let part = held.part.with_changes(&changed, &delta.removed);
        if part.digest() != delta.to {
            self.rejected.count(RejectReason::Invalid, from);
            return None;
        }
        (held.part, held.version, held.version_learned_ns) = (part, delta.version, now);
        self.counters.deltas += 1;
        Some(PartUpdate::Delta(changed, delta.removed.clone()))
    }

    /// Formats the counters as one line.
    pub fn line(&self, now: u64) -> String {
        let SubscriberCounters { requests, snapshots, deltas, failovers, stale_periods } = self.counters;
        let rejected: String =
            self.rejected.iter().map(|(name, count)| format!(" cells_passed_{name}={count}")).collect();
        format!(
            "cells_engines={} cells_age_ms={} cells_asks={requests} cells_wholes={snapshots} cells_deltas={deltas} \
             cells_left={failovers} cells_stale={stale_periods}{rejected}",
            self.part().map_or(0, Part::len),
            self.age_ns(now) / 1_000_000,
        )
    }
}

/// Returns the number of consecutive requests without any response that are repeated quickly.
pub(crate) fn max_quick_retries(relays: usize) -> u32 {
    MIN_QUICK_RETRIES.saturating_add(relays as u32)
}

/// Returns the contact age that a response reports, in nanoseconds.
fn contact_age_ns(header: &ResponseHeader) -> u64 {
    header.contact_age_ms.saturating_mul(1_000_000)
}
