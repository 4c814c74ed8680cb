//! State machine of a relay: holds the full list and publishes to each router the part of its cell.
//!
//! Invariants: until the relay has received a full list and has had contact with the list service,
//! it only responds that it is not ready. The reported contact age is never less than the true one,
//! even after the process was paused. A part is built once per version and cell, not per request.
//! At most one response and one delta are pending for a router. The send rate is limited, and
//! deltas are sent first.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use crate::cell::CellId;
use crate::counters::{RejectReason, RejectedMessages, RelayCounters};
use crate::digest::Digest;
use crate::engine::{Engine, EngineState};
use crate::message::{Delta, Message, Piece, Request, ResponseHeader, Table, MAX_MISSING, MAX_PIECES};
use crate::part::Part;

/// Longest name of a zone or kind that is published, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// Request intervals without a request after which a router is removed.
pub(crate) const EXPIRY_REQUESTS: u64 = 10;
/// Inactivity after which a relay treats its process as having been paused, in nanoseconds: the age
/// of its queued input is then unknown.
pub const MIN_PAUSE_NS: u64 = 1_000_000_000;
/// Lower limit of the budget, in datagrams per second.
const MIN_BUDGET_PER_S: u64 = 2_000;
/// Fraction of a second's budget that may be sent at once.
const BURST_FRACTION: f64 = 0.05;

/// Settings of a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Number of routers in the fleet. The relay accepts twice as many, because a restarted router
    /// may have a new address.
    pub routers: u32,
    /// Interval between the requests of a router, in nanoseconds.
    pub request_interval_ns: u64,
    /// Time without contact after which the list service counts as unavailable, in nanoseconds.
    pub silence_ns: u64,
}

impl RelaySettings {
    /// Returns the largest number of datagrams sent per second: two per router and request
    /// interval, so that one remaining relay can serve the fleet.
    pub fn budget_per_s(&self) -> u64 {
        let requests =
            u64::from(self.routers).saturating_mul(1_000_000_000) / self.request_interval_ns.max(1);
        (2 * requests).max(MIN_BUDGET_PER_S)
    }
}

/// A part, encoded for sending.
#[derive(Clone, Debug)]
struct PublishedPart {
    part: Part,
    tables: Vec<Table>,
    /// Number of routers subscribed to it.
    routers: u32,
}

/// Change of a part.
#[derive(Clone, Debug)]
struct PartDelta {
    from: Digest,
    to: Digest,
    table: Table,
    removed: Vec<u64>,
}

/// Response that has not been sent completely.
#[derive(Clone, Debug)]
struct PendingResponse {
    /// Digest of the part that is being sent, and the indices of the pieces left; `None` before the
    /// first piece.
    remaining: Option<(Digest, VecDeque<u16>)>,
    held_digest: Option<Digest>,
    min_version: Option<u64>,
    missing: Option<(Digest, Vec<u16>)>,
}

/// State of a router.
#[derive(Clone, Debug)]
struct Subscription {
    incarnation: u64,
    sequence: u64,
    cell: CellId,
    last_request_ns: u64,
    pending_delta: Option<Rc<PartDelta>>,
    pending_response: Option<PendingResponse>,
}

/// The list as received from the list service.
#[derive(Clone, Debug, Default)]
struct EngineList {
    zones: BTreeMap<Option<Arc<str>>, BTreeMap<u64, Engine>>,
    zone_of: BTreeMap<u64, Option<Arc<str>>>,
    version: u64,
    is_complete: bool,
}

/// Contact with the list service.
#[derive(Clone, Debug, Default)]
struct ServiceContact {
    contact_ns: Option<u64>,
    last_active_ns: u64,
    /// Time until which input does not count as contact, because it may have been queued while the
    /// process was paused.
    untrusted_until_ns: u64,
}

/// Rate limit of sent datagrams.
#[derive(Clone, Debug)]
struct TokenBucket {
    per_s: f64,
    tokens: f64,
    refilled_ns: u64,
}

impl TokenBucket {
    fn new(now: u64, per_s: f64) -> TokenBucket {
        TokenBucket { per_s, tokens: per_s * BURST_FRACTION, refilled_ns: now }
    }

    fn refill(&mut self, now: u64) {
        let elapsed_s = now.saturating_sub(self.refilled_ns) as f64 / 1e9;
        self.tokens = (self.tokens + self.per_s * elapsed_s).min((self.per_s * BURST_FRACTION).max(1.0));
        self.refilled_ns = self.refilled_ns.max(now);
    }

    /// Takes a token, and returns whether one was available.
    fn try_take(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(available));
        available
    }
}

/// State machine of a relay.
#[derive(Clone, Debug)]
pub struct Relay {
    settings: RelaySettings,
    list: EngineList,
    service: ServiceContact,
    parts: BTreeMap<CellId, PublishedPart>,
    subscriptions: BTreeMap<SocketAddr, Subscription>,
    delta_queue: VecDeque<SocketAddr>,
    response_queue: VecDeque<SocketAddr>,
    budget: TokenBucket,
    rejected: RejectedMessages,
    counters: RelayCounters,
}

impl Relay {
    /// Creates a relay without a list.
    pub fn new(now: u64, settings: RelaySettings) -> Relay {
        Relay {
            budget: TokenBucket::new(now, settings.budget_per_s() as f64),
            settings,
            list: EngineList::default(),
            service: ServiceContact { last_active_ns: now, ..ServiceContact::default() },
            parts: BTreeMap::new(),
            subscriptions: BTreeMap::new(),
            delta_queue: VecDeque::new(),
            response_queue: VecDeque::new(),
            rejected: RejectedMessages::default(),
            counters: RelayCounters::default(),
        }
    }

    /// Returns the number of the last applied event.
    pub fn version(&self) -> u64 {
        self.list.version
    }

    /// Returns the number of engines on the list.
    pub fn engines(&self) -> usize {
        self.list.zone_of.len()
    }

    /// Returns the number of subscribed routers.
    pub fn routers(&self) -> usize {
        self.subscriptions.len()
    }

    /// Returns whether the relay has received a full list and has had contact with the list
    /// service.
    pub fn is_ready(&self) -> bool {
        self.list.is_complete && self.service.contact_ns.is_some()
    }

    /// Returns the counters.
    pub fn counters(&self) -> &RelayCounters {
        &self.counters
    }

    /// Returns the counters of rejected messages.
    pub fn rejected(&self) -> &RejectedMessages {
        &self.rejected
    }

    /// Counts a datagram that could not be decoded.
    pub fn record_undecodable(&mut self, from: SocketAddr) {
        self.rejected.count(RejectReason::Invalid, from);
    }

    /// Applies an update of the list, which is then at `version`: the full list if `is_full` is
    /// set, otherwise the changed engines.
    pub fn apply_update(&mut self, version: u64, is_full: bool, engines: Vec<Engine>) {
        self.list.version = version;
        let mut changed_zones = BTreeSet::new();
        if is_full {
            changed_zones.extend(std::mem::take(&mut self.list.zones).into_keys());
            self.list.zone_of.clear();
            self.list.is_complete = true;
        }
        for engine in engines {
            let names = [&engine.zone, &engine.kind];
            if names.into_iter().flatten().any(|name| name.len() > MAX_NAME_BYTES) {
                self.rejected.count(RejectReason::InvalidEngine, engine.address);
                continue;
            }
            changed_zones.extend(self.list.insert(engine));
        }
        let is_affected = |cell: &&CellId| match &cell.zone {
            None => !changed_zones.is_empty(),
            Some(zone) => changed_zones.contains(&Some(Arc::from(zone.as_str()))),
        };
        let cells: Vec<CellId> = self.parts.keys().filter(is_affected).cloned().collect();
        cells.into_iter().for_each(|cell| self.rebuild_part(&cell));
    }

    /// Records that the last contact with the list service was `age_ns` nanoseconds ago.
    pub fn record_service_contact(&mut self, now: u64, age_ns: u64) {
        self.detect_pause(now);
        // Also before the first contact: queued input has an unknown age.
        if now >= self.service.untrusted_until_ns {
            self.service.contact_ns = self.service.contact_ns.max(Some(now.saturating_sub(age_ns)));
        }
    }

    /// Detects that the process was paused. Input that was queued meanwhile is assumed to be read
    /// within the silence time; until then no input counts as contact.
    fn detect_pause(&mut self, now: u64) {
        if now.saturating_sub(self.service.last_active_ns) >= MIN_PAUSE_NS {
            self.service.untrusted_until_ns = now + self.settings.silence_ns;
        }
        self.service.last_active_ns = self.service.last_active_ns.max(now);
    }

    /// Handles a message from a router.
    pub fn receive(&mut self, now: u64, from: SocketAddr, message: Message) {
        self.detect_pause(now);
        let Message::Request(request) = message else {
            return self.rejected.count(RejectReason::WrongRecipient, from);
        };
        self.counters.requests += 1;
        if request.cell.cells == 0
            || request.cell.zone.as_ref().is_some_and(|zone| zone.len() > MAX_NAME_BYTES)
        {
            return self.rejected.count(RejectReason::Invalid, from);
        }
        match self.subscriptions.get(&from).map(|latest| (latest.incarnation, latest.sequence)) {
            // Reordered or duplicated request.
            Some(latest) if latest >= (request.incarnation, request.sequence) => {
                return self.rejected.count(RejectReason::UnknownRequest, from);
            }
            None if self.subscriptions.len() >= 2 * self.settings.routers as usize => {
                return self.rejected.count(RejectReason::TooManyRouters, from);
            }
            _ => {}
        }
        self.enqueue_response(now, from, request);
    }

    fn enqueue_response(&mut self, now: u64, from: SocketAddr, request: Request) {
        let Request { incarnation, sequence, cell, held_digest, min_version, missing } = request;
        let missing = missing.map(|(digest, all)| (digest, all.into_iter().take(MAX_MISSING).collect()));
        let pending_response = Some(PendingResponse { remaining: None, held_digest, min_version, missing });
        let previous = self.subscriptions.remove(&from);
        let cell_changed = previous.as_ref().is_none_or(|previous| previous.cell != cell);
        if let Some(old) = previous.as_ref().filter(|_| cell_changed) {
            self.release_part(&old.cell.clone());
        }
        if cell_changed {
            self.acquire_part(&cell);
        }
        if previous.as_ref().is_none_or(|previous| previous.pending_response.is_none()) {
            self.response_queue.push_back(from);
        }
        let pending_delta = previous
            .filter(|previous| previous.incarnation == incarnation && !cell_changed)
            .and_then(|previous| previous.pending_delta);
        self.subscriptions.insert(
            from,
            Subscription {
                incarnation,
                sequence,
                cell,
                last_request_ns: now,
                pending_delta,
                pending_response,
            },
        );
    }

    fn acquire_part(&mut self, cell: &CellId) {
        if !self.parts.contains_key(cell) {
            let published = self.build_part(cell);
            self.parts.insert(cell.clone(), published);
        }
        self.parts.entry(cell.clone()).and_modify(|published| published.routers += 1);
    }

    fn release_part(&mut self, cell: &CellId) {
        if let Some(published) = self.parts.get_mut(cell) {
            published.routers -= 1;
            if published.routers == 0 {
                self.parts.remove(cell);
            }
        }
    }

    fn build_part(&mut self, cell: &CellId) -> PublishedPart {
        self.counters.parts_built += 1;
        let part = Part::new(self.list.cell_engines(cell).cloned());
        let tables = Table::pack(part.engines());
        PublishedPart { part, tables, routers: 0 }
    }

    /// Rebuilds the part of a cell and schedules the change for its routers.
    fn rebuild_part(&mut self, cell: &CellId) {
        let mut published = self.build_part(cell);
        let Some(previous) = self.parts.get_mut(cell) else { return };
        published.routers = previous.routers;
        let previous = std::mem::replace(previous, published);
        let Some(current) = self.parts.get(cell).map(|published| &published.part) else { return };
        if current.digest() == previous.part.digest() {
            return;
        }
        let (changed, removed) = current.diff_from(&previous.part);
        let mut tables = Table::pack(changed);
        let table = tables.swap_remove(0);
        let fits = tables.is_empty() && table.fits_with_removed(removed.len());
        let part_delta = PartDelta { from: previous.part.digest(), to: current.digest(), table, removed };
        let part_delta = fits.then(|| Rc::new(part_delta));
        for (address, subscription) in
            self.subscriptions.iter_mut().filter(|(_, subscription)| subscription.cell == *cell)
        {
            let has_unsent_delta = subscription.pending_delta.is_some();
            match (&part_delta, has_unsent_delta) {
                (Some(part_delta), false) => {
                    subscription.pending_delta = Some(part_delta.clone());
                    self.delta_queue.push_back(*address);
                }
                // A change that does not fit one datagram or follows an unsent delta is sent as a
                // response.
                _ => {
                    subscription.pending_delta = None;
                    if subscription.pending_response.is_none() {
                        subscription.pending_response = Some(PendingResponse {
                            remaining: None,
                            held_digest: None,
                            min_version: None,
                            missing: None,
                        });
                        self.response_queue.push_back(*address);
                    }
                }
            }
        }
    }

    /// Performs periodic work and returns the messages to send.
    pub fn tick(&mut self, now: u64) -> Vec<(SocketAddr, Message)> {
        self.detect_pause(now);
        self.budget.refill(now);
        self.expire(now);
        let mut outgoing = Vec::new();
        if !self.is_ready() {
            self.delta_queue.clear();
            self.subscriptions.values_mut().for_each(|subscription| subscription.pending_delta = None);
        }
        while self.budget.tokens >= 1.0 {
            if let Some(to) = self.delta_queue.pop_front() {
                self.send_delta(to, &mut outgoing);
            } else if let Some(to) = self.response_queue.pop_front() {
                self.send_response(now, to, &mut outgoing);
            } else {
                break;
            }
        }
        self.counters.sent += outgoing.len() as u64;
        outgoing
    }

    fn expire(&mut self, now: u64) {
        let expiry_ns = EXPIRY_REQUESTS.saturating_mul(self.settings.request_interval_ns);
        let is_expired = |(_, subscription): &(&SocketAddr, &Subscription)| {
            now > subscription.last_request_ns.saturating_add(expiry_ns)
        };
        let expired: Vec<SocketAddr> =
            self.subscriptions.iter().filter(is_expired).map(|(address, _)| *address).collect();
        for address in expired {
            if let Some(subscription) = self.subscriptions.remove(&address) {
                self.release_part(&subscription.cell);
            }
        }
    }

    fn send_delta(&mut self, to: SocketAddr, outgoing: &mut Vec<(SocketAddr, Message)>) {
        let Some(subscription) = self.subscriptions.get_mut(&to) else { return };
        let Some(part_delta) = subscription.pending_delta.take() else { return };
        let delta = Delta {
            incarnation: subscription.incarnation,
            cell: subscription.cell.hash(),
            version: self.list.version,
            from: part_delta.from,
            to: part_delta.to,
            table: part_delta.table.clone(),
            removed: part_delta.removed.clone(),
        };
        self.budget.try_take();
        self.counters.deltas += 1;
        outgoing.push((to, Message::Delta(delta)));
    }

    fn send_response(&mut self, now: u64, to: SocketAddr, outgoing: &mut Vec<(SocketAddr, Message)>) {
        let is_ready = self.is_ready();
        let contact_ns = self.service.contact_ns.unwrap_or(0);
        let version = self.list.version;
        let Some(subscription) = self.subscriptions.get_mut(&to) else { return };
        let (Some(mut pending_response), Some(published)) =
            (subscription.pending_response.take(), self.parts.get(&subscription.cell))
        else {
            return;
        };
        let header = ResponseHeader {
            incarnation: subscription.incarnation,
            sequence: subscription.sequence,
            cell: subscription.cell.hash(),
            version,
            contact_age_ms: now.saturating_sub(contact_ns).div_ceil(1_000_000),
        };
        let reply = match (is_ready, published.tables.len() <= usize::from(MAX_PIECES)) {
            (false, _) | (_, false) => Some(Message::NotReady(header)),
            _ if pending_response.min_version.is_some_and(|min_version| version < min_version) => {
                Some(Message::Behind(header))
            }
            _ if pending_response.held_digest == Some(published.part.digest()) => {
                Some(Message::Unchanged(header))
            }
            _ => None,
        };
        if let Some(message) = reply {
            self.budget.try_take();
            return outgoing.push((to, message));
        }
        let mut remaining = pending_response.take_remaining(published);
        let (digest, count) = (published.part.digest(), published.tables.len() as u16);
        remaining.retain(|index| *index < count);
        while !remaining.is_empty() && self.budget.try_take() {
            let Some(index) = remaining.pop_front() else { break };
            let Some(table) = published.tables.get(usize::from(index)) else { continue };
            outgoing.push((to, Message::Piece(Piece { header, digest, index, count, table: table.clone() })));
        }
        if !remaining.is_empty() {
            pending_response.remaining = Some((published.part.digest(), remaining));
            subscription.pending_response = Some(pending_response);
            self.response_queue.push_front(to);
        }
    }

    /// Formats the counters as one line.
    pub fn line(&self) -> String {
        let RelayCounters { requests, sent, parts_built, deltas } = self.counters;
        let rejected: String =
            self.rejected.iter().map(|(name, count)| format!(" cells_passed_{name}={count}")).collect();
        format!(
            "cells_routers={} cells_version={} cells_ready={} cells_asks={requests} cells_sent={sent} cells_parts={parts_built} \
             cells_deltas={deltas}{rejected}",
            self.subscriptions.len(),
            self.list.version,
            u8::from(self.is_ready()),
        )
    }
}

impl PendingResponse {
    /// Takes the indices of the pieces to send, given the current part.
    fn take_remaining(&mut self, published: &PublishedPart) -> VecDeque<u16> {
        let digest = published.part.digest();
        match (self.remaining.take(), self.missing.take()) {
            (Some((part_digest, remaining)), _) if part_digest == digest => remaining,
            (None, Some((part_digest, missing))) if part_digest == digest && !missing.is_empty() => {
                missing.into()
            }
            _ => (0..published.tables.len() as u16).collect(),
        }
    }
}

impl EngineList {
    /// Inserts, replaces or removes an engine. Returns its previous and its current zone.
    fn insert(&mut self, engine: Engine) -> Vec<Option<Arc<str>>> {
        let previous = self.zone_of.remove(&engine.id);
        if let Some(engines) = previous.as_ref().and_then(|zone| self.zones.get_mut(zone)) {
            engines.remove(&engine.id);
        }
        let zone = engine.zone.clone();
        if engine.state != EngineState::Gone {
            self.zone_of.insert(engine.id, zone.clone());
            self.zones.entry(zone.clone()).or_default().insert(engine.id, engine);
        }
        previous.into_iter().chain([zone]).collect()
    }

    /// Returns the engines of a cell.
    fn cell_engines<'a>(&'a self, cell: &'a CellId) -> impl Iterator<Item = &'a Engine> {
        let zone_key = cell.zone.as_deref().map(|zone| Some(Arc::from(zone)));
        let zones: Vec<&BTreeMap<u64, Engine>> = match zone_key {
            Some(zone) => self.zones.get(&zone).into_iter().collect(),
            None => self.zones.values().collect(),
        };
        zones.into_iter().flat_map(|engines| engines.values()).filter(|engine| cell.contains(engine))
    }
}
