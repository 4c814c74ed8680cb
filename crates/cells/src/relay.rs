//! A relay's side: it holds the whole list as the list service told it, and tells each router its cell's part.
//!
//! Invariants: before a whole list was learned and the service was heard in this life nothing is told but that; the age that is
//! told is never less than the true one, also after the process stood still; a part is computed once for each version and cell,
//! not for each ask; what is owed to a router is one answer and one change, and what is sent is bounded by a budget, changes
//! first.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use crate::cell::CellId;
use crate::counters::{Passed, Reason, RelayCounters};
use crate::digest::Digest;
use crate::engine::{Engine, EngineState};
use crate::message::{Answer, Ask, Delta, Message, Piece, Table, MAX_MISSING, MAX_PIECES};
use crate::part::Part;

/// Longest name of a zone or kind that is told on (bytes).
pub const MAX_NAME_BYTES: usize = 200;
/// Asks of time without a word after which a router is forgotten (count).
pub(crate) const EXPIRE_ASKS: u64 = 10;
/// A relay that did nothing for so long stood still (ns): what waits for it is old, and nobody says how old.
pub const MIN_PAUSE_NS: u64 = 1_000_000_000;
/// The least that a relay sends in a second where it must (datagrams), and the part of a second's that it sends at once.
const MIN_BUDGET_PER_S: u64 = 2_000;
const BURST_PART: f64 = 0.05;

/// What a relay is set up with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Routers of the fleet (count). As many again may be known: those that started anew at another address.
    pub routers: u32,
    /// Time between a router's asks (ns).
    pub ask_ns: u64,
    /// Age from which it does not count as hearing the list service (ns).
    pub silence_ns: u64,
}

impl RelaySettings {
    /// Datagrams that it sends in a second at most: twice what all routers ask for, if it is the only relay left.
    pub fn budget_per_s(&self) -> u64 {
        let asks = u64::from(self.routers).saturating_mul(1_000_000_000) / self.ask_ns.max(1);
        (2 * asks).max(MIN_BUDGET_PER_S)
    }
}

/// A part as it is told.
#[derive(Clone, Debug)]
struct Told {
    part: Part,
    tables: Vec<Table>,
    /// Routers of it (count).
    routers: u32,
}

/// A change of a part.
#[derive(Clone, Debug)]
struct Step {
    from: Digest,
    to: Digest,
    table: Table,
    gone: Vec<u64>,
}

/// An answer that is owed.
#[derive(Clone, Debug)]
struct Owed {
    /// Of the part that is being sent, the pieces still to go; none before the first.
    rest: Option<(Digest, VecDeque<u16>)>,
    have: Option<Digest>,
    least: Option<u64>,
    missing: Option<(Digest, Vec<u16>)>,
}

/// A router that asks.
#[derive(Clone, Debug)]
struct Client {
    incarnation: u64,
    sequence: u64,
    cell: CellId,
    heard_ns: u64,
    change: Option<Rc<Step>>,
    owed: Option<Owed>,
}

/// The list as the service told it.
#[derive(Clone, Debug, Default)]
struct List {
    zones: BTreeMap<Option<Arc<str>>, BTreeMap<u64, Engine>>,
    zone_of: BTreeMap<u64, Option<Arc<str>>>,
    version: u64,
    whole: bool,
}

/// When the list service was heard.
#[derive(Clone, Debug, Default)]
struct Hearing {
    heard_ns: Option<u64>,
    ticked_ns: u64,
    /// Until when what comes counts as heard no later than it stood still (ns).
    doubt_until_ns: u64,
}

/// What may be sent now.
#[derive(Clone, Debug)]
struct Budget {
    per_s: f64,
    tokens: f64,
    at_ns: u64,
}

impl Budget {
    fn new(now: u64, per_s: f64) -> Budget {
        Budget { per_s, tokens: per_s * BURST_PART, at_ns: now }
    }

    fn pass(&mut self, now: u64) {
        let passed = now.saturating_sub(self.at_ns) as f64 / 1e9;
        self.tokens = (self.tokens + self.per_s * passed).min((self.per_s * BURST_PART).max(1.0));
        self.at_ns = self.at_ns.max(now);
    }

    /// Takes one datagram's part; whether there was one.
    fn take(&mut self) -> bool {
        let has = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(has));
        has
    }
}

/// The whole list, and the routers that are told of it.
#[derive(Clone, Debug)]
pub struct Relay {
    settings: RelaySettings,
    list: List,
    hearing: Hearing,
    parts: BTreeMap<CellId, Told>,
    clients: BTreeMap<SocketAddr, Client>,
    changes: VecDeque<SocketAddr>,
    answers: VecDeque<SocketAddr>,
    budget: Budget,
    passed: Passed,
    counters: RelayCounters,
}

impl Relay {
    /// A relay that knows no list yet.
    pub fn new(now: u64, settings: RelaySettings) -> Relay {
        Relay {
            budget: Budget::new(now, settings.budget_per_s() as f64),
            settings,
            list: List::default(),
            hearing: Hearing { ticked_ns: now, ..Hearing::default() },
            parts: BTreeMap::new(),
            clients: BTreeMap::new(),
            changes: VecDeque::new(),
            answers: VecDeque::new(),
            passed: Passed::default(),
            counters: RelayCounters::default(),
        }
    }

    /// Number of the last event that was taken.
    pub fn version(&self) -> u64 {
        self.list.version
    }

    /// Engines on the list (count).
    pub fn engines(&self) -> usize {
        self.list.zone_of.len()
    }

    /// Routers that it knows (count).
    pub fn routers(&self) -> usize {
        self.clients.len()
    }

    /// Whether it has learned a whole list and heard the service.
    pub fn is_ready(&self) -> bool {
        self.list.whole && self.hearing.heard_ns.is_some()
    }

    /// How often what happened.
    pub fn counters(&self) -> &RelayCounters {
        &self.counters
    }

    /// Messages that were passed over.
    pub fn passed(&self) -> &Passed {
        &self.passed
    }

    /// Counts a datagram that can't be read.
    pub fn record_undecodable(&mut self, from: SocketAddr) {
        self.passed.count(Reason::Spoilt, from);
    }

    /// Takes news of the list, which is at this version then: a whole list in place of all, or engines that changed.
    pub fn apply_update(&mut self, version: u64, whole: bool, engines: Vec<Engine>) {
        self.list.version = version;
        let mut touched = BTreeSet::new();
        if whole {
            touched.extend(std::mem::take(&mut self.list.zones).into_keys());
            self.list.zone_of.clear();
            self.list.whole = true;
        }
        for engine in engines {
            let names = [&engine.zone, &engine.kind];
            if names.into_iter().flatten().any(|name| name.len() > MAX_NAME_BYTES) {
                self.passed.count(Reason::Engine, engine.address);
                continue;
            }
            touched.extend(self.list.take(engine));
        }
        let touches = |cell: &&CellId| match &cell.zone {
            None => !touched.is_empty(),
            Some(zone) => touched.contains(&Some(Arc::from(zone.as_str()))),
        };
        let cells: Vec<CellId> = self.parts.keys().filter(touches).cloned().collect();
        cells.into_iter().for_each(|cell| self.compute(&cell));
    }

    /// The service was heard so long ago (ns).
    pub fn heard(&mut self, now: u64, age_ns: u64) {
        self.wake(now);
        // In doubt also before it was ever heard: what waited tells nothing of now.
        if now >= self.hearing.doubt_until_ns {
            self.hearing.heard_ns = self.hearing.heard_ns.max(Some(now.saturating_sub(age_ns)));
        }
    }

    /// Guards against old news that waited while the process stood still: what comes first as it wakes is not fresh. All that
    /// waited is taken to be read within the silence bound.
    fn wake(&mut self, now: u64) {
        if now.saturating_sub(self.hearing.ticked_ns) >= MIN_PAUSE_NS {
            self.hearing.doubt_until_ns = now + self.settings.silence_ns;
        }
        self.hearing.ticked_ns = self.hearing.ticked_ns.max(now);
    }

    /// Takes a router's message.
    pub fn receive(&mut self, now: u64, from: SocketAddr, message: Message) {
        self.wake(now);
        let Message::Ask(ask) = message else {
            return self.passed.count(Reason::OtherRouter, from);
        };
        self.counters.asks += 1;
        if ask.cell.cells == 0 || ask.cell.zone.as_ref().is_some_and(|zone| zone.len() > MAX_NAME_BYTES) {
            return self.passed.count(Reason::Spoilt, from);
        }
        match self.clients.get(&from).map(|known| (known.incarnation, known.sequence)) {
            // An ask that was overtaken, or doubled on its way.
            Some(known) if known >= (ask.incarnation, ask.sequence) => {
                return self.passed.count(Reason::OtherAsk, from);
            }
            None if self.clients.len() >= 2 * self.settings.routers as usize => {
                return self.passed.count(Reason::Full, from);
            }
            _ => {}
        }
        self.owe(now, from, ask);
    }

    fn owe(&mut self, now: u64, from: SocketAddr, ask: Ask) {
        let Ask { incarnation, sequence, cell, have, least, missing } = ask;
        let missing = missing.map(|(digest, all)| (digest, all.into_iter().take(MAX_MISSING).collect()));
        let owed = Some(Owed { rest: None, have, least, missing });
        let before = self.clients.remove(&from);
        let moved = before.as_ref().is_none_or(|before| before.cell != cell);
        if let Some(left) = before.as_ref().filter(|_| moved) {
            self.release(&left.cell.clone());
        }
        if moved {
            self.join(&cell);
        }
        if before.as_ref().is_none_or(|before| before.owed.is_none()) {
            self.answers.push_back(from);
        }
        let change = before
            .filter(|before| before.incarnation == incarnation && !moved)
            .and_then(|before| before.change);
        self.clients.insert(from, Client { incarnation, sequence, cell, heard_ns: now, change, owed });
    }

    fn join(&mut self, cell: &CellId) {
        if !self.parts.contains_key(cell) {
            let told = self.told(cell);
            self.parts.insert(cell.clone(), told);
        }
        self.parts.entry(cell.clone()).and_modify(|told| told.routers += 1);
    }

    fn release(&mut self, cell: &CellId) {
        if let Some(told) = self.parts.get_mut(cell) {
            told.routers -= 1;
            if told.routers == 0 {
                self.parts.remove(cell);
            }
        }
    }

    fn told(&mut self, cell: &CellId) -> Told {
        self.counters.parts += 1;
        let part = Part::new(self.list.of_cell(cell).cloned());
        let tables = Table::pack(part.engines());
        Told { part, tables, routers: 0 }
    }

    /// Computes a cell's part anew, and owes its routers the change.
    fn compute(&mut self, cell: &CellId) {
        let mut told = self.told(cell);
        let Some(before) = self.parts.get_mut(cell) else { return };
        told.routers = before.routers;
        let before = std::mem::replace(before, told);
        let Some(after) = self.parts.get(cell).map(|told| &told.part) else { return };
        if after.digest() == before.part.digest() {
            return;
        }
        let (changed, gone) = after.since(&before.part);
        let mut tables = Table::pack(changed);
        let table = tables.swap_remove(0);
        let fits = tables.is_empty() && table.fits_with_removed(gone.len());
        let step = Step { from: before.part.digest(), to: after.digest(), table, gone };
        let step = fits.then(|| Rc::new(step));
        for (address, client) in self.clients.iter_mut().filter(|(_, client)| client.cell == *cell) {
            let waiting = client.change.is_some();
            match (&step, waiting) {
                (Some(step), false) => {
                    client.change = Some(step.clone());
                    self.changes.push_back(*address);
                }
                // What fits no datagram, or follows on one that was not sent yet, is answered as if asked for.
                _ => {
                    client.change = None;
                    if client.owed.is_none() {
                        client.owed = Some(Owed { rest: None, have: None, least: None, missing: None });
                        self.answers.push_back(*address);
                    }
                }
            }
        }
    }

    /// Passes time; gives what is to be sent.
    pub fn tick(&mut self, now: u64) -> Vec<(SocketAddr, Message)> {
        self.wake(now);
        self.budget.pass(now);
        self.expire(now);
        let mut out = Vec::new();
        if !self.is_ready() {
            self.changes.clear();
            self.clients.values_mut().for_each(|client| client.change = None);
        }
        while self.budget.tokens >= 1.0 {
            if let Some(to) = self.changes.pop_front() {
                self.send_change(to, &mut out);
            } else if let Some(to) = self.answers.pop_front() {
                self.send_answer(now, to, &mut out);
            } else {
                break;
            }
        }
        self.counters.sent += out.len() as u64;
        out
    }

    fn expire(&mut self, now: u64) {
        let old = EXPIRE_ASKS.saturating_mul(self.settings.ask_ns);
        let gone = |(_, client): &(&SocketAddr, &Client)| now > client.heard_ns.saturating_add(old);
        let gone: Vec<SocketAddr> = self.clients.iter().filter(gone).map(|(address, _)| *address).collect();
        for address in gone {
            if let Some(client) = self.clients.remove(&address) {
                self.release(&client.cell);
            }
        }
    }

    fn send_change(&mut self, to: SocketAddr, out: &mut Vec<(SocketAddr, Message)>) {
        let Some(client) = self.clients.get_mut(&to) else { return };
        let Some(step) = client.change.take() else { return };
        let delta = Delta {
            incarnation: client.incarnation,
            cell: client.cell.hash(),
            version: self.list.version,
            from: step.from,
            to: step.to,
            table: step.table.clone(),
            gone: step.gone.clone(),
        };
        self.budget.take();
        self.counters.deltas += 1;
        out.push((to, Message::Delta(delta)));
    }

    fn send_answer(&mut self, now: u64, to: SocketAddr, out: &mut Vec<(SocketAddr, Message)>) {
        let ready = self.is_ready();
        let heard_ns = self.hearing.heard_ns.unwrap_or(0);
        let version = self.list.version;
        let Some(client) = self.clients.get_mut(&to) else { return };
        let (Some(mut owed), Some(told)) = (client.owed.take(), self.parts.get(&client.cell)) else { return };
        let answer = Answer {
            incarnation: client.incarnation,
            sequence: client.sequence,
            cell: client.cell.hash(),
            version,
            contact_age_ms: now.saturating_sub(heard_ns).div_ceil(1_000_000),
        };
        let short = match (ready, told.tables.len() <= usize::from(MAX_PIECES)) {
            (false, _) | (_, false) => Some(Message::NotReady(answer)),
            _ if owed.least.is_some_and(|least| version < least) => Some(Message::Behind(answer)),
            _ if owed.have == Some(told.part.digest()) => Some(Message::Same(answer)),
            _ => None,
        };
        if let Some(message) = short {
            self.budget.take();
            return out.push((to, message));
        }
        let mut rest = owed.pieces_of(told);
        let (digest, of) = (told.part.digest(), told.tables.len() as u16);
        rest.retain(|at| *at < of);
        while !rest.is_empty() && self.budget.take() {
            let Some(at) = rest.pop_front() else { break };
            let Some(table) = told.tables.get(usize::from(at)) else { continue };
            out.push((to, Message::Piece(Piece { answer, digest, at, of, table: table.clone() })));
        }
        if !rest.is_empty() {
            owed.rest = Some((told.part.digest(), rest));
            client.owed = Some(owed);
            self.answers.push_front(to);
        }
    }

    /// Counters, as one line.
    pub fn line(&self) -> String {
        let RelayCounters { asks, sent, parts, deltas } = self.counters;
        let passed: String =
            self.passed.all().map(|(name, count)| format!(" cells_passed_{name}={count}")).collect();
        format!(
            "cells_routers={} cells_version={} cells_ready={} cells_asks={asks} cells_sent={sent} cells_parts={parts} \
             cells_deltas={deltas}{passed}",
            self.clients.len(),
            self.list.version,
            u8::from(self.is_ready()),
        )
    }
}

impl Owed {
    /// Numbers of the pieces to be sent, as the part is now.
    fn pieces_of(&mut self, told: &Told) -> VecDeque<u16> {
        let digest = told.part.digest();
        match (self.rest.take(), self.missing.take()) {
            (Some((of, rest)), _) if of == digest => rest,
            (None, Some((of, missing))) if of == digest && !missing.is_empty() => missing.into(),
            _ => (0..told.tables.len() as u16).collect(),
        }
    }
}

impl List {
    /// Takes one engine; gives the zones that it was in and is in.
    fn take(&mut self, engine: Engine) -> Vec<Option<Arc<str>>> {
        let before = self.zone_of.remove(&engine.id);
        if let Some(engines) = before.as_ref().and_then(|zone| self.zones.get_mut(zone)) {
            engines.remove(&engine.id);
        }
        let zone = engine.zone.clone();
        if engine.state != EngineState::Gone {
            self.zone_of.insert(engine.id, zone.clone());
            self.zones.entry(zone.clone()).or_default().insert(engine.id, engine);
        }
        before.into_iter().chain([zone]).collect()
    }

    /// The engines of a cell.
    fn of_cell<'a>(&'a self, cell: &'a CellId) -> impl Iterator<Item = &'a Engine> {
        let one = cell.zone.as_deref().map(|zone| Some(Arc::from(zone)));
        let zones: Vec<&BTreeMap<u64, Engine>> = match one {
            Some(zone) => self.zones.get(&zone).into_iter().collect(),
            None => self.zones.values().collect(),
        };
        zones.into_iter().flat_map(|engines| engines.values()).filter(|engine| cell.contains(engine))
    }
}
