//! A router's side: it asks one relay after another for its cell's part of the list, and takes only what is whole and newer.
//!
//! Invariants: what is known is replaced only by a part that came whole and whose digest, computed again, is equal, or by a
//! delta from exactly the part held to exactly the one it names; never by one of a lower version, unless the list service
//! counts anew (below); and no message makes it less than a relay's whole part. How fresh it is counts from when
//! the ask was sent, less the age that the relay told: a late answer is not taken for a fresh one.
//!
//! Counting anew: relays that hear their service and are at a lower version than the part held are believed once two of them
//! (or the only one) have said so over the settle time, and none of those heard meanwhile was at the held version.

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

/// Asks without an answer after which a relay is left (count).
pub const MAX_UNANSWERED: u32 = 3;
/// An ask without an answer is repeated after this part of the interval.
pub(crate) const RETRY_DIVISOR: u64 = 4;
/// Asks in a row without any answer that are repeated soon, besides one to each relay (count).
const MIN_QUICK_RETRIES: u32 = 12;
/// The least time between asks is this part of the interval.
pub(crate) const MIN_INTERVAL_DIVISOR: u64 = 10;
/// Answers in a row that are old, after which a relay is left (count): one may be an event behind for a moment.
const MAX_OUTDATED_RESPONSES: u32 = 2;

/// What a subscriber is set up with.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriberSettings {
    /// Its cell.
    pub cell: CellId,
    /// A number of this router's own, the same in each of its lives: its order of the relays follows from it.
    pub router: u64,
    /// Its life: larger with each start.
    pub incarnation: u64,
    /// The relays.
    pub relays: Vec<SocketAddr>,
    /// Time between asks (ns).
    pub ask_ns: u64,
    /// A relay that has not heard the list service for longer does not hear it (ns).
    pub silence_ns: u64,
    /// How long relays must say that the list service counts anew before they are believed (ns).
    pub settle_ns: u64,
    /// Time over which first asks are spread (ns).
    pub spread_ns: u64,
    /// Age of what is known from which a warning is logged (ns).
    pub stale_ns: u64,
    /// Seed of its draws.
    pub seed: u64,
}

/// What became known of the part.
#[derive(Clone, Debug, PartialEq)]
pub enum PartUpdate {
    /// The whole part.
    Snapshot(Vec<Engine>),
    /// Engines that came or changed, and ids of those that went.
    Delta(Vec<Engine>, Vec<u64>),
}

/// What is known.
#[derive(Clone, Debug)]
struct HeldPart {
    part: Part,
    version: u64,
    /// As of when it is known to be right (ns).
    confirmed_ns: u64,
    /// When its version was learned (ns).
    version_learned_ns: u64,
}

/// A router's part of the list, and what it takes to keep it.
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
    /// A subscriber that knows nothing yet.
    pub fn new(now: u64, settings: SubscriberSettings) -> Subscriber {
        let mut jitter = Jitter::new(settings.seed);
        let due_ns = now + jitter.below(settings.spread_ns);
        Subscriber {
            selector: RelaySelector::new(settings.router, &settings.relays, settings.ask_ns),
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

    /// Its cell.
    pub fn cell(&self) -> &CellId {
        &self.settings.cell
    }

    /// The part that is known; none before the first was learned.
    pub fn part(&self) -> Option<&Part> {
        self.held.as_ref().map(|held| &held.part)
    }

    /// The version of what is known.
    pub fn version(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.version)
    }

    /// How old what is known is, at most (ns); since the start where nothing is.
    pub fn age_ns(&self, now: u64) -> u64 {
        now.saturating_sub(self.held.as_ref().map_or(self.started_ns, |held| held.confirmed_ns))
    }

    /// The relay that is asked now.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.selector.current()
    }

    /// How often what happened.
    pub fn counters(&self) -> &SubscriberCounters {
        &self.counters
    }

    /// Messages that were passed over.
    pub fn rejected(&self) -> &RejectedMessages {
        &self.rejected
    }

    /// When it has something to send next (ns).
    pub fn next_due_ns(&self) -> u64 {
        self.tracker.due_ns
    }

    /// Counts a datagram that can't be read.
    pub fn record_undecodable(&mut self, from: SocketAddr) {
        self.rejected.count(RejectReason::Invalid, from);
    }

    /// Passes time; gives what is to be sent.
    pub fn tick(&mut self, now: u64) -> Vec<(SocketAddr, Message)> {
        self.check_staleness(now);
        if now < self.tracker.due_ns {
            return Vec::new();
        }
        // Once one was left for its silence, each other is asked once in turn: any of them may be there.
        let max_unanswered =
            if self.tracker.unanswered_overall >= MAX_UNANSWERED { 1 } else { MAX_UNANSWERED };
        if self.tracker.unanswered >= max_unanswered {
            self.fail_over(now);
        }
        // A relay that stands before the current one is asked beside it: guards against a router that goes back to one which does
        // not answer yet.
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

    /// Time until the next ask, where no answer comes (ns): soon, until each relay was asked.
    fn retry_interval_ns(&mut self) -> u64 {
        let divisor = if self.tracker.unanswered_overall < max_quick_retries(self.selector.len()) {
            RETRY_DIVISOR
        } else {
            1
        };
        self.jitter.apply(self.settings.ask_ns / divisor)
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

    /// Asks again soon: what is known may be behind.
    fn request_soon(&mut self, now: u64) {
        let earliest_ns = (self.tracker.sent_ns + self.settings.ask_ns / MIN_INTERVAL_DIVISOR).max(now);
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
            // Each ask leaves one while none answers: only the first such times are of use.
            if self.counters.failovers <= self.selector.len() as u64 {
                info!("the list: asks relay {to} in place of {from}");
            }
        }
    }

    fn check_staleness(&mut self, now: u64) {
        let age = self.age_ns(now);
        if age <= self.settings.stale_ns {
            if std::mem::take(&mut self.stale_warned) {
                info!("the list of this cell's engines is fresh again");
            }
        } else if !std::mem::replace(&mut self.stale_warned, true) {
            self.counters.stale_periods += 1;
            let age = age as f64 / 1e9;
            warn!("no relay has told of this cell's engines for {age:.1} s: what is known stays in force");
        }
    }

    /// Takes a message from the relay at this address; gives what became known of the part.
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

    /// The ask that an answer is to, where it is to one of this life and cell that is open.
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

    /// The relay that is asked now has said something.
    fn reset_unanswered(&mut self, from: SocketAddr) {
        self.tracker.unanswered_overall = 0;
        if self.selector.current() == Some(from) && self.tracker.unanswered > 0 {
            self.tracker.unanswered = 0;
            self.tracker.due_ns = self.tracker.sent_ns + self.jitter.apply(self.settings.ask_ns);
        }
    }

    /// Whether the relay heard its list service lately; one that did not is left for another.
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
        // A change may have come in between: then it says nothing of what is held now.
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

    /// What is held is right as of when the relay heard its service.
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

    /// A relay that hears its service has said what is known, or more.
    fn record_current(&mut self, relay: SocketAddr) {
        self.restart_detector.clear();
        self.tracker.outdated = 0;
        self.selector.record_response(relay);
    }

    /// Whether relays have said for long enough that the list service counts anew.
    fn versions_restarted(&self, now: u64) -> bool {
        self.restart_detector.is_confirmed(now, self.settings.settle_ns, self.selector.len())
    }

    /// Whether a relay's state may follow the one held: it is of a higher version, of the same one with the same content, or the
    /// list service counts anew. `content` is none where it is the one held.
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
        // What was asked before this version was learned may be behind by right.
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
            // Pieces are asked for again where they don't all come.
            self.tracker.due_ns = self.tracker.due_ns.min(now + self.settings.ask_ns / RETRY_DIVISOR);
            return None;
        }
        self.complete_assembly(now, pending.relay, in_contact)
    }

    /// Takes the part whose pieces are all there, if it is what its digest says.
    fn complete_assembly(&mut self, now: u64, relay: SocketAddr, in_contact: bool) -> Option<PartUpdate> {
        let assembly = self.assembly.take()?;
        let (digest, version, confirmed_ns) =
            (assembly.key().digest, assembly.version(), assembly.confirmed_ns());
        let part = Part::new(assembly.into_engines());
        if part.digest() != digest {
            self.rejected.count(RejectReason::Invalid, relay);
            // Guards against a relay that spoils each part that it sends.
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

    /// Makes the held part the one that a delta leads to, if it does. How fresh it is stays: the delta may have been on its way
    /// for long.
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

    /// Counters, as one line.
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

/// Asks in a row without any answer that are repeated soon, with so many relays (count).
pub(crate) fn max_quick_retries(relays: usize) -> u32 {
    MIN_QUICK_RETRIES.saturating_add(relays as u32)
}

/// The age that an answer tells (ns).
fn contact_age_ns(header: &ResponseHeader) -> u64 {
    header.contact_age_ms.saturating_mul(1_000_000)
}
