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

use crate::anew::Anew;
use crate::asking::{Asking, Open};
use crate::assembly::{Assembly, Key};
use crate::cell::CellId;
use crate::counters::{Passed, Reason, SubscriberCounters};
use crate::digest::Digest;
use crate::engine::Engine;
use crate::message::{Answer, Ask, Delta, Message, Piece};
use crate::order::Order;
use crate::part::Part;
use crate::schedule::Draws;

/// Asks without an answer after which a relay is left (count).
pub const MAX_UNANSWERED: u32 = 3;
/// An ask without an answer is repeated after this part of the interval.
pub(crate) const REPEAT_PART: u64 = 4;
/// Asks in a row without any answer that are repeated soon, besides one to each relay (count).
const QUICK_ASKS: u32 = 12;
/// The least time between asks is this part of the interval.
pub(crate) const SOON_PART: u64 = 10;
/// Answers in a row that are old, after which a relay is left (count): one may be an event behind for a moment.
const MAX_OLD: u32 = 2;

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
struct Known {
    part: Part,
    version: u64,
    /// As of when it is known to be right (ns).
    fresh_ns: u64,
    /// When its version was learned (ns).
    learned_ns: u64,
}

/// A router's part of the list, and what it takes to keep it.
#[derive(Clone, Debug)]
pub struct Subscriber {
    settings: SubscriberSettings,
    order: Order,
    draws: Draws,
    known: Option<Known>,
    assembly: Option<Assembly>,
    anew: Anew,
    asking: Asking,
    passed: Passed,
    counters: SubscriberCounters,
    started_ns: u64,
    warned: bool,
}

impl Subscriber {
    /// A subscriber that knows nothing yet.
    pub fn new(now: u64, settings: SubscriberSettings) -> Subscriber {
        let mut draws = Draws::new(settings.seed);
        let due_ns = now + draws.below(settings.spread_ns);
        Subscriber {
            order: Order::new(settings.router, &settings.relays, settings.ask_ns),
            draws,
            known: None,
            assembly: None,
            anew: Anew::default(),
            asking: Asking::new(due_ns),
            passed: Passed::default(),
            counters: SubscriberCounters::default(),
            started_ns: now,
            warned: false,
            settings,
        }
    }

    /// Its cell.
    pub fn cell(&self) -> &CellId {
        &self.settings.cell
    }

    /// The part that is known; none before the first was learned.
    pub fn part(&self) -> Option<&Part> {
        self.known.as_ref().map(|known| &known.part)
    }

    /// The version of what is known.
    pub fn version(&self) -> Option<u64> {
        self.known.as_ref().map(|known| known.version)
    }

    /// How old what is known is, at most (ns); since the start where nothing is.
    pub fn age_ns(&self, now: u64) -> u64 {
        now.saturating_sub(self.known.as_ref().map_or(self.started_ns, |known| known.fresh_ns))
    }

    /// The relay that is asked now.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.order.current()
    }

    /// How often what happened.
    pub fn counters(&self) -> &SubscriberCounters {
        &self.counters
    }

    /// Messages that were passed over.
    pub fn passed(&self) -> &Passed {
        &self.passed
    }

    /// When it has something to send next (ns).
    pub fn next_due_ns(&self) -> u64 {
        self.asking.due_ns
    }

    /// Counts a datagram that can't be read.
    pub fn record_undecodable(&mut self, from: SocketAddr) {
        self.passed.count(Reason::Spoilt, from);
    }

    /// Passes time; gives what is to be sent.
    pub fn tick(&mut self, now: u64) -> Vec<(SocketAddr, Message)> {
        self.warn_of_age(now);
        if now < self.asking.due_ns {
            return Vec::new();
        }
        // Once one was left for its silence, each other is asked once in turn: any of them may be there.
        let most = if self.asking.silent >= MAX_UNANSWERED { 1 } else { MAX_UNANSWERED };
        if self.asking.unanswered >= most {
            self.leave(now);
        }
        // A relay that stands before the current one is asked beside it: guards against a router that goes back to one which does
        // not answer yet.
        let asked: Vec<SocketAddr> = self.order.current().into_iter().chain(self.order.better(now)).collect();
        let mut out = Vec::new();
        for relay in asked {
            out.push((relay, self.ask(now, relay)));
        }
        self.asking.unanswered += 1;
        self.asking.silent += 1;
        self.asking.sent_ns = now;
        self.asking.due_ns = now + self.wait_ns();
        out
    }

    /// Time until the next ask, where no answer comes (ns): soon, until each relay was asked.
    fn wait_ns(&mut self) -> u64 {
        let part = if self.asking.silent < quick_asks(self.order.len()) { REPEAT_PART } else { 1 };
        self.draws.about(self.settings.ask_ns / part)
    }

    fn ask(&mut self, now: u64, relay: SocketAddr) -> Message {
        self.counters.asks += 1;
        self.asking.sequence += 1;
        let have = self.known.as_ref().map(|known| known.part.digest());
        let open = Open { sequence: self.asking.sequence, relay, sent_ns: now, have };
        self.asking.add(open);
        let least = self.version().filter(|_| !self.believes_anew(now));
        Message::Ask(Ask {
            incarnation: self.settings.incarnation,
            sequence: self.asking.sequence,
            cell: self.settings.cell.clone(),
            have,
            least,
            missing: self.assembly.as_ref().map(|pieces| (pieces.key().digest, pieces.missing())),
        })
    }

    /// Asks again soon: what is known may be behind.
    fn ask_soon(&mut self, now: u64) {
        let soon = (self.asking.sent_ns + self.settings.ask_ns / SOON_PART).max(now);
        self.asking.due_ns = self.asking.due_ns.min(soon);
    }

    fn leave(&mut self, now: u64) {
        let from = self.order.current();
        let free = self.order.leave(now);
        self.counters.left += 1;
        (self.asking.unanswered, self.asking.old) = (0, 0);
        if free {
            self.ask_soon(now);
        }
        if let (Some(from), Some(to)) = (from, self.order.current()) {
            // Each ask leaves one while none answers: only the first such times are of use.
            if self.counters.left <= self.order.len() as u64 {
                info!("the list: asks relay {to} in place of {from}");
            }
        }
    }

    fn warn_of_age(&mut self, now: u64) {
        let age = self.age_ns(now);
        if age <= self.settings.stale_ns {
            if std::mem::take(&mut self.warned) {
                info!("the list of this cell's engines is fresh again");
            }
        } else if !std::mem::replace(&mut self.warned, true) {
            self.counters.stale += 1;
            let age = age as f64 / 1e9;
            warn!("no relay has told of this cell's engines for {age:.1} s: what is known stays in force");
        }
    }

    /// Takes a message from the relay at this address; gives what became known of the part.
    pub fn receive(&mut self, now: u64, from: SocketAddr, message: Message) -> Option<PartUpdate> {
        if !self.order.contains(from) {
            self.passed.count(Reason::Stranger, from);
            return None;
        }
        match message {
            Message::Ask(_) => {
                self.passed.count(Reason::OtherRouter, from);
                None
            }
            Message::Same(answer) => {
                let open = self.answered(from, &answer)?;
                self.same(now, open, &answer)
            }
            Message::Behind(answer) => {
                let open = self.answered(from, &answer)?;
                let hears = self.hears(now, from, &answer);
                if self.may_follow(now, open, &answer, None, hears) {
                    self.ask_soon(now);
                }
                None
            }
            Message::NotReady(answer) => {
                self.answered(from, &answer)?;
                if self.order.current() == Some(from) {
                    self.leave(now);
                }
                None
            }
            Message::Piece(piece) => {
                let open = self.answered(from, &piece.answer)?;
                self.piece(now, open, piece)
            }
            Message::Delta(delta) => self.delta(now, from, delta),
        }
    }

    /// The ask that an answer is to, where it is to one of this life and cell that is open.
    fn answered(&mut self, from: SocketAddr, answer: &Answer) -> Option<Open> {
        let reason = if answer.incarnation != self.settings.incarnation {
            Reason::OtherIncarnation
        } else if answer.cell != self.settings.cell.hash() {
            Reason::OtherRouter
        } else {
            if let Some(open) = self.asking.find(from, answer.sequence) {
                self.heard(from);
                return Some(open);
            }
            Reason::OtherAsk
        };
        self.passed.count(reason, from);
        None
    }

    /// The relay that is asked now has said something.
    fn heard(&mut self, from: SocketAddr) {
        self.asking.silent = 0;
        if self.order.current() == Some(from) && self.asking.unanswered > 0 {
            self.asking.unanswered = 0;
            self.asking.due_ns = self.asking.sent_ns + self.draws.about(self.settings.ask_ns);
        }
    }

    /// Whether the relay heard its list service lately; one that did not is left for another.
    fn hears(&mut self, now: u64, from: SocketAddr, answer: &Answer) -> bool {
        let hears = age_ns(answer) <= self.settings.silence_ns;
        if !hears && self.order.current() == Some(from) {
            self.leave(now);
        }
        hears
    }

    fn same(&mut self, now: u64, open: Open, answer: &Answer) -> Option<PartUpdate> {
        let held = self.known.as_ref()?;
        // A change may have come in between: then it says nothing of what is held now.
        if open.have != Some(held.part.digest()) {
            return None;
        }
        let hears = self.hears(now, open.relay, answer);
        if !self.may_follow(now, open, answer, None, hears) {
            return None;
        }
        self.confirm(now, open, answer, hears);
        None
    }

    /// What is held is right as of when the relay heard its service.
    fn confirm(&mut self, now: u64, open: Open, answer: &Answer, hears: bool) {
        if let Some(known) = &mut self.known {
            if known.version != answer.version {
                (known.version, known.learned_ns) = (answer.version, now);
            }
            known.fresh_ns = known.fresh_ns.max(open.sent_ns.saturating_sub(age_ns(answer)));
        }
        if hears {
            self.well(open.relay);
        }
    }

    /// A relay that hears its service has said what is known, or more.
    fn well(&mut self, relay: SocketAddr) {
        self.anew.forget();
        self.asking.old = 0;
        self.order.answered(relay);
    }

    /// Whether relays have said for long enough that the list service counts anew.
    fn believes_anew(&self, now: u64) -> bool {
        self.anew.is_believed(now, self.settings.settle_ns, self.order.len())
    }

    /// Whether a relay's state may follow the one held: it is of a higher version, of the same one with the same content, or the
    /// list service counts anew. `content` is none where it is the one held.
    fn may_follow(
        &mut self,
        now: u64,
        open: Open,
        answer: &Answer,
        content: Option<Digest>,
        hears: bool,
    ) -> bool {
        let Some(known) = &self.known else { return true };
        let same = content.is_none_or(|digest| digest == known.part.digest());
        if answer.version > known.version || answer.version == known.version && same {
            return true;
        }
        // What was asked before this version was learned may be behind by right.
        let witness = hears && open.sent_ns >= known.learned_ns;
        self.passed.count(Reason::Old, open.relay);
        if !witness {
            return false;
        }
        self.anew.note(now, open.relay, self.settings.settle_ns);
        if self.believes_anew(now) {
            return true;
        }
        let further = open.sequence != self.asking.old_sequence && self.order.current() == Some(open.relay);
        self.asking.old_sequence = open.sequence;
        self.asking.old += u32::from(further);
        if self.asking.old >= MAX_OLD && self.order.len() > 1 {
            self.leave(now);
        }
        false
    }

    fn piece(&mut self, now: u64, open: Open, piece: Piece) -> Option<PartUpdate> {
        let Ok(engines) = piece.table.engines() else {
            self.passed.count(Reason::Spoilt, open.relay);
            return None;
        };
        if !engines.iter().all(|engine| self.settings.cell.contains(engine)) {
            self.passed.count(Reason::OtherRouter, open.relay);
            return None;
        }
        let hears = self.hears(now, open.relay, &piece.answer);
        if !self.may_follow(now, open, &piece.answer, Some(piece.digest), hears) {
            return None;
        }
        if self.known.as_ref().is_some_and(|known| known.part.digest() == piece.digest) {
            self.confirm(now, open, &piece.answer, hears);
            return None;
        }
        let key = Key { digest: piece.digest, of: piece.of };
        let fresh_ns = open.sent_ns.saturating_sub(age_ns(&piece.answer));
        if !self.assembly.as_ref().is_some_and(|pieces| *pieces.key() == key) {
            self.assembly = Assembly::new(key);
        }
        let Some(pieces) = &mut self.assembly else {
            self.passed.count(Reason::Spoilt, open.relay);
            return None;
        };
        pieces.add(piece.at, engines, piece.answer.version, fresh_ns);
        if !pieces.is_whole() {
            // Pieces are asked for again where they don't all come.
            self.asking.due_ns = self.asking.due_ns.min(now + self.settings.ask_ns / REPEAT_PART);
            return None;
        }
        self.install(now, open.relay, hears)
    }

    /// Takes the part whose pieces are all there, if it is what its digest says.
    fn install(&mut self, now: u64, relay: SocketAddr, hears: bool) -> Option<PartUpdate> {
        let pieces = self.assembly.take()?;
        let (digest, version, fresh_ns) = (pieces.key().digest, pieces.version(), pieces.fresh_ns());
        let part = Part::new(pieces.into_engines());
        if part.digest() != digest {
            self.passed.count(Reason::Spoilt, relay);
            // Guards against a relay that spoils each part that it sends.
            if self.order.len() > 1 {
                self.leave(now);
            }
            return None;
        }
        let engines: Vec<Engine> = part.engines().cloned().collect();
        self.known = Some(Known { part, version, fresh_ns, learned_ns: now });
        self.counters.wholes += 1;
        if hears {
            self.well(relay);
        }
        Some(PartUpdate::Snapshot(engines))
    }

    fn delta(&mut self, now: u64, from: SocketAddr, delta: Delta) -> Option<PartUpdate> {
        let Ok(changed) = delta.table.engines() else {
            self.passed.count(Reason::Spoilt, from);
            return None;
        };
        let ours = changed.iter().all(|engine| self.settings.cell.contains(engine));
        let reason = match &self.known {
            _ if delta.incarnation != self.settings.incarnation => Reason::OtherIncarnation,
            _ if delta.cell != self.settings.cell.hash() || !ours => Reason::OtherRouter,
            Some(known) if delta.version <= known.version => Reason::Old,
            Some(known) if delta.from == known.part.digest() => {
                return self.apply(now, from, &delta, changed)
            }
            _ => {
                self.ask_soon(now);
                Reason::Gap
            }
        };
        self.passed.count(reason, from);
        None
    }

    /// Makes the held part the one that a delta leads to, if it does. How fresh it is stays: the delta may have been on its way
    /// for long.
    fn apply(
        &mut self,
        now: u64,
        from: SocketAddr,
        delta: &Delta,
        changed: Vec<Engine>,
    ) -> Option<PartUpdate> {
        let known = self.known.as_mut()?;
        let part = known.part.with(&changed, &delta.gone);
        if part.digest() != delta.to {
            self.passed.count(Reason::Spoilt, from);
            return None;
        }
        (known.part, known.version, known.learned_ns) = (part, delta.version, now);
        self.counters.deltas += 1;
        Some(PartUpdate::Delta(changed, delta.gone.clone()))
    }

    /// Counters, as one line.
    pub fn line(&self, now: u64) -> String {
        let SubscriberCounters { asks, wholes, deltas, left, stale } = self.counters;
        let passed: String =
            self.passed.all().map(|(name, count)| format!(" cells_passed_{name}={count}")).collect();
        format!(
            "cells_engines={} cells_age_ms={} cells_asks={asks} cells_wholes={wholes} cells_deltas={deltas} \
             cells_left={left} cells_stale={stale}{passed}",
            self.part().map_or(0, Part::len),
            self.age_ns(now) / 1_000_000,
        )
    }
}

/// Asks in a row without any answer that are repeated soon, with so many relays (count).
pub(crate) fn quick_asks(relays: usize) -> u32 {
    QUICK_ASKS.saturating_add(relays as u32)
}

/// The age that an answer tells (ns).
fn age_ns(answer: &Answer) -> u64 {
    answer.contact_age_ms.saturating_mul(1_000_000)
}
