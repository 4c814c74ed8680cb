//! One router's replica of the fleet's engine health: stores overrides and evidence, exchanges them
//! with peers, and evaluates them.

use std::collections::{BTreeMap, BTreeSet};

use crate::bound::{digest_interval_ns, gossip_rounds, FANOUT};
use crate::digest::Digest;
use crate::evaluate::{evaluate, is_prober, prober_count, Evaluation, HealthStatus};
use crate::evidence::{Evidence, EvidenceTable, Finding};
use crate::full_sync::{full_sync_parts, FullSync, Part};
use crate::gossip::GossipQueue;
use crate::message::Message;
use crate::observer::{AttemptOutcome, LocalObserver};
use crate::overrides::{MergeOutcome, Override, Overrides};
use crate::params::HealthParams;
use crate::rng::Rng;
use crate::version::{Version, VersionClock};

/// Largest number of gossip messages created in one round.
const MAX_MESSAGES_PER_ROUND: usize = 2;
/// Largest number of own overrides whose acknowledgements are counted.
const MAX_TRACKED_VERSIONS: usize = 64;
/// Shortest interval at which a router reports that an engine serves, in nanoseconds.
const RECOVERY_REPORT_INTERVAL_NS: u64 = 1_000_000_000;
/// Number of times that evidence is renewed within its lifetime.
const RENEWALS_PER_LIFETIME: u64 = 3;

/// Totals for counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Received overrides and pieces of evidence that were new.
    pub merged: u64,
    /// Overrides rejected for a version too far ahead, an invalid name, or lack of room.
    pub refused: u64,
    /// Number of times that this router became a suspect.
    pub suspected: u64,
}

/// Replica of one router.
#[derive(Clone, Debug)]
pub struct Node {
    local_id: u32,
    incarnation: u64,
    zone: u64,
    params: HealthParams,
    clock: VersionClock,
    overrides: Overrides,
    table: EvidenceTable,
    local_observer: LocalObserver,
    number: u32,
    /// Changes to send.
    gossip: GossipQueue,
    peers: Vec<u32>,
    engines: Vec<(u64, u64)>,
    evaluation: Evaluation,
    evaluation_outdated: bool,
    rng: Rng,
    last_tick_ns: u64,
    last_digest_ns: u64,
    last_renewal_ns: u64,
    last_contact_ns: u64,
    /// Without peers, the router waits for some until this time in nanoseconds, before it relies on
    /// its stored overrides.
    peer_wait_deadline_ns: u64,
    /// Transfer of all overrides from a peer.
    full_sync: FullSync,
    /// Whether stored overrides may have been reverted during a long isolation. They are not sent
    /// until a full sync confirms them.
    overrides_unconfirmed: bool,
    acks: BTreeMap<Version, BTreeSet<u32>>,
    recovery_reported_ns: BTreeMap<u64, u64>,
    /// Grows with each change of the overrides.
    revision: u64,
    /// Totals since the start.
    pub counts: Counts,
}

impl Node {
    /// Creates the replica of a router that has just started. `restored` holds the stored overrides
    /// and the time of the last contact with a peer ([`Node::last_contact_ns`]).
    pub fn new(
        now: u64,
        (local_id, incarnation, zone): (u32, u64, u64),
        params: HealthParams,
        restored: (Overrides, u64),
    ) -> Node {
        let (overrides, last_contact_ns) = restored;
        let last_contact_ns = last_contact_ns.min(now);
        let mut clock = VersionClock::new(local_id);
        for (_, entry) in overrides.iter() {
            clock.observe(now, entry.version);
        }
        Node {
            local_id,
            incarnation,
            zone,
            params,
            clock,
            overrides_unconfirmed: !overrides.is_empty()
                && now.saturating_sub(last_contact_ns) >= params.override_memory_ns,
            overrides,
            table: EvidenceTable::default(),
            local_observer: LocalObserver::default(),
            number: 0,
            gossip: GossipQueue::new(gossip_rounds(params.routers)),
            peers: Vec::new(),
            engines: Vec::new(),
            evaluation: Evaluation::default(),
            evaluation_outdated: false,
            rng: Rng::new(incarnation ^ u64::from(local_id).rotate_left(32)),
            last_tick_ns: 0,
            last_digest_ns: now,
            last_renewal_ns: now,
            last_contact_ns,
            peer_wait_deadline_ns: now + 2 * digest_interval_ns(&params),
            full_sync: FullSync::begin(),
            acks: BTreeMap::new(),
            recovery_reported_ns: BTreeMap::new(),
            revision: 1,
            counts: Counts::default(),
        }
    }

    /// Whether the overrides are complete: all were received from a peer, or no peer was found in
    /// time.
    pub fn is_synced(&self, now: u64) -> bool {
        self.full_sync.is_done() || self.peers.is_empty() && now >= self.peer_wait_deadline_ns
    }

    /// Sets the reachable peers.
    pub fn set_peers(&mut self, peers: Vec<u32>) {
        let local_id = self.local_id;
        self.peers = peers.into_iter().filter(|peer| *peer != local_id).collect();
        self.peers.sort_unstable();
        self.peers.dedup();
    }

    /// Sets the listed engines: name hash and start time in milliseconds.
    pub fn set_engines(&mut self, engines: Vec<(u64, u64)>) {
        if engines != self.engines {
            self.local_observer.retain_engines(|engine| engines.iter().any(|(id, _)| *id == engine));
            self.engines = engines;
            self.evaluation_outdated = true;
        }
    }

    /// Returns the time of the last message from a peer, in nanoseconds, across restarts. Stored
    /// overrides are as old as this time.
    pub fn last_contact_ns(&self) -> u64 {
        self.last_contact_ns
    }

    /// Returns a number that grows with each change of the overrides.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all overrides.
    pub fn overrides(&self) -> &Overrides {
        &self.overrides
    }

    /// Returns all evidence.
    pub fn evidence(&self) -> &EvidenceTable {
        &self.table
    }

    /// Records an operator's override and returns its version, or `None` if it cannot be stored.
    pub fn set_override(&mut self, now: u64, name: &str, excluded: bool) -> Option<Version> {
        let version = self.clock.next(now);
        if self.overrides.merge(name, Override { version, excluded }) != MergeOutcome::Updated {
            return None;
        }
        self.revision += 1;
        self.gossip.push_override(name);
        if self.acks.len() >= MAX_TRACKED_VERSIONS {
            self.acks.pop_first();
        }
        self.acks.insert(version, BTreeSet::new());
        Some(version)
    }

    /// Returns the number of peers that acknowledged an override issued by this router.
    pub fn acks(&self, version: Version) -> usize {
        self.acks.get(&version).map_or(0, BTreeSet::len)
    }

    /// Returns the number of reachable peers.
    pub fn peers(&self) -> usize {
        self.peers.len()
    }

    /// Records the end of an attempt of this router.
    pub fn ended(
        &mut self,
        now: u64,
        engine: (u64, u64),
        class: usize,
        sent_ns: u64,
        outcome: AttemptOutcome,
    ) {
        let report = self.local_observer.record_attempt(now, engine, class, sent_ns, outcome);
        let recovered = matches!(outcome, AttemptOutcome::Served(_))
            && report.is_none()
            && self.has_fault_report(engine)
            && {
                let last = self.recovery_reported_ns.get(&engine.0).copied().unwrap_or(0);
                now >= last.saturating_add(RECOVERY_REPORT_INTERVAL_NS)
                    && self.local_observer.fault(engine.0).is_none()
            };
        match report {
            Some((finding, since)) => self.report_finding(now, engine, finding, since),
            None if recovered => self.report_finding(now, engine, Finding::Well, now),
            None => {}
        }
    }

    /// Whether any router reports a fault of this run of the engine.
    fn has_fault_report(&self, (engine, started_ms): (u64, u64)) -> bool {
        self.table
            .for_engine(engine)
            .any(|(_, stored)| stored.finding.is_fault() && stored.started_ms == started_ms)
    }

    fn report_finding(
        &mut self,
        now: u64,
        (engine, started_ms): (u64, u64),
        finding: Finding,
        since_ns: u64,
    ) {
        if finding == Finding::Well {
            self.recovery_reported_ns.insert(engine, now);
            self.recovery_reported_ns
                .retain(|_, at| now < at.saturating_add(10 * RECOVERY_REPORT_INTERVAL_NS));
        }
        self.number += 1;
        let since_ms = (now.saturating_sub(since_ns) / 1_000_000).min(u64::from(u32::MAX)) as u32;
        let (observer, incarnation, number, zone) = (self.local_id, self.incarnation, self.number, self.zone);
        let report = Evidence {
            engine,
            started_ms,
            observer,
            incarnation,
            number,
            zone,
            finding,
            since_ms,
            age_ms: 0,
        };
        if self.table.merge(now, &report, self.params.evidence_lifetime_ns) {
            self.evaluation_outdated = true;
            self.gossip.push_evidence(engine, observer, finding);
        }
    }

    /// Repeats this router's reports of current faults, which would expire otherwise.
    fn renew(&mut self, now: u64) {
        if now < self.last_renewal_ns.saturating_add(self.params.evidence_lifetime_ns / RENEWALS_PER_LIFETIME)
        {
            return;
        }
        self.last_renewal_ns = now;
        for engine in self.engines.clone() {
            if let Some((finding, since)) = self.local_observer.fault(engine.0) {
                self.report_finding(now, engine, finding, since);
            }
        }
    }

    /// Whether there are no overrides yet and the full sync is not complete.
    fn lacks_overrides(&self) -> bool {
        !self.full_sync.is_done() && self.overrides.is_empty()
    }

    /// Returns a random peer.
    fn random_peer(&mut self) -> u32 {
        let at = self.rng.below(self.peers.len());
        self.peers.get(at).copied().unwrap_or(self.local_id)
    }

    /// Runs periodic work. Returns messages to send and their receivers.
    pub fn tick(&mut self, now: u64) -> Vec<(u32, Message)> {
        let mut messages = Vec::new();
        if now < self.last_tick_ns.saturating_add(self.params.gossip_interval_ns) {
            return messages;
        }
        self.last_tick_ns = now;
        let before = self.table.len();
        self.table.expire(now, self.params.evidence_lifetime_ns);
        self.evaluation_outdated |= self.table.len() != before;
        let overrides = self.overrides.len();
        self.overrides.expire(now, self.params.override_memory_ns);
        self.revision += u64::from(self.overrides.len() != overrides);
        self.renew(now);
        if self.peers.is_empty() {
            if now.saturating_sub(self.last_contact_ns) >= self.params.override_memory_ns {
                // Peers may have removed reverted overrides by now; this router must not bring them
                // back.
                self.overrides_unconfirmed = !self.overrides.is_empty();
                self.full_sync.restart();
            }
            return messages;
        }
        messages.extend(self.full_sync.requests(now, self.local_id, &self.peers));
        self.send_updates(now, &mut messages);
        if now >= self.last_digest_ns.saturating_add(digest_interval_ns(&self.params)) {
            self.last_digest_ns = now;
            let peer = self.random_peer();
            let Digest { overrides, evidence } = self.digest();
            messages.push((peer, Message::Digest { overrides, evidence, is_reply: false }));
        }
        messages
    }

    /// Sends recent changes to a few random peers.
    fn send_updates(&mut self, now: u64, messages: &mut Vec<(u32, Message)>) {
        for _ in 0..MAX_MESSAGES_PER_ROUND {
            let overrides = (!self.overrides_unconfirmed).then_some(&self.overrides);
            let Some(update) = self.gossip.next_message(now, overrides, &self.table) else { break };
            let mut targets = BTreeSet::new();
            while targets.len() < FANOUT.min(self.peers.len()) {
                targets.insert(self.random_peer());
            }
            messages.extend(targets.into_iter().map(|peer| (peer, update.clone())));
        }
    }

    /// Returns the digest of everything that this router may send.
    fn digest(&self) -> Digest {
        Digest::of((!self.overrides_unconfirmed).then_some(&self.overrides), &self.table)
    }

    /// Replies to a peer's digest with differing entries, and with its own digest unless the peer's
    /// is already a reply.
    fn answer_digest(&mut self, now: u64, theirs: &Digest, is_reply: bool) -> Vec<Message> {
        let own = self.digest();
        let overrides = (!self.overrides_unconfirmed).then_some(&self.overrides);
        let mut messages = own.differing_overrides(theirs, overrides, &mut self.rng);
        messages.extend(own.differing_evidence(now, theirs, &self.table, &mut self.rng));
        // The peer then sends the entries that this router lacks.
        if !is_reply && own != *theirs {
            let Digest { overrides, evidence } = own;
            messages.push(Message::Digest { overrides, evidence, is_reply: true });
        }
        messages
    }

    /// Handles a message from a peer. Returns messages to send and their receivers.
    pub fn receive(&mut self, now: u64, from: u32, message: Message) -> Vec<(u32, Message)> {
        self.last_contact_ns = now;
        let to_sender = |messages: Vec<Message>| messages.into_iter().map(|m| (from, m)).collect();
        match message {
            Message::Update { overrides, evidence } => {
                evidence.iter().for_each(|report| self.merge_evidence(now, report));
                overrides
                    .into_iter()
                    .filter_map(|(name, entry)| self.merge_override(now, &name, entry))
                    .collect()
            }
            Message::Digest { overrides, evidence, is_reply } => {
                to_sender(self.answer_digest(now, &Digest { overrides, evidence }, is_reply))
            }
            Message::Ack(version) => {
                if let Some(peers) = self.acks.get_mut(&version) {
                    peers.insert(from);
                }
                Vec::new()
            }
            // Overrides that are unconfirmed or not synced yet must not be sent.
            Message::FullSyncRequest { .. } if self.overrides_unconfirmed || self.lacks_overrides() => {
                to_sender(vec![Message::FullSyncUnavailable])
            }
            Message::FullSyncUnavailable => {
                if self.full_sync.mark_unavailable(from, &self.peers) {
                    self.overrides_unconfirmed = false;
                }
                Vec::new()
            }
            Message::FullSyncRequest { request_id, missing_parts } => {
                to_sender(full_sync_parts(&self.overrides, request_id, &missing_parts))
            }
            Message::FullSyncPart { request_id, part, parts, overrides } => {
                if let Some(overrides) =
                    self.full_sync.receive_part(now, from, Part { request_id, part, parts }, overrides)
                {
                    self.apply_full_sync(now, &overrides);
                }
                Vec::new()
            }
        }
    }

    fn merge_evidence(&mut self, now: u64, report: &Evidence) {
        // Only this router itself reports its own observations.
        if report.observer != self.local_id && self.table.merge(now, report, self.params.evidence_lifetime_ns)
        {
            self.counts.merged += 1;
            self.evaluation_outdated = true;
            self.gossip.push_evidence(report.engine, report.observer, report.finding);
        }
    }

    /// Merges all overrides of a peer.
    fn apply_full_sync(&mut self, now: u64, overrides: &Overrides) {
        if std::mem::take(&mut self.overrides_unconfirmed) {
            // Overrides that the peer does not have were reverted, and the reversal was removed.
            self.overrides = Overrides::default();
            self.revision += 1;
            self.gossip.drop_overrides();
        }
        for (name, entry) in overrides.iter() {
            self.merge_override(now, name, entry);
        }
    }

    /// Merges one override. Returns the acknowledgement for the router that issued it.
    fn merge_override(&mut self, now: u64, name: &str, entry: Override) -> Option<(u32, Message)> {
        // Peers may already have removed a reversal that is older than the override memory.
        let outdated = !entry.excluded
            && entry.version.ms + self.params.override_memory_ns / 1_000_000 <= now / 1_000_000;
        if outdated || !self.clock.observe(now, entry.version) {
            self.counts.refused += u64::from(!outdated);
            return None;
        }
        match self.overrides.merge(name, entry) {
            MergeOutcome::Updated => {
                self.counts.merged += 1;
                self.revision += 1;
                self.gossip.push_override(name);
            }
            MergeOutcome::Unchanged => {}
            MergeOutcome::Superseded => return None,
            MergeOutcome::Rejected => {
                self.counts.refused += 1;
                return None;
            }
        }
        let own = entry.version.router == self.local_id;
        (!own).then_some((entry.version.router, Message::Ack(entry.version)))
    }

    /// Returns the current evaluation, and updates it first if inputs changed.
    pub fn evaluation(&mut self) -> &Evaluation {
        if std::mem::take(&mut self.evaluation_outdated) {
            let evaluation = evaluate(&self.table, &self.engines, &self.params, self.zone);
            let newly = evaluation.suspects.contains(&self.local_id)
                && !self.evaluation.suspects.contains(&self.local_id);
            self.counts.suspected += u64::from(newly);
            self.evaluation = evaluation;
        }
        &self.evaluation
    }

    /// Whether other routers contradict this router's reports: its own network may be at fault.
    pub fn is_suspect(&self) -> bool {
        self.evaluation.suspects.contains(&self.local_id)
    }

    /// Whether this router may probe an excluded engine now.
    pub fn is_prober(&self, now: u64, engine: u64) -> bool {
        let excluded = self.evaluation.engines.get(&engine) == Some(&HealthStatus::Out);
        let started_ms = self.engines.iter().find(|(id, _)| *id == engine).map_or(0, |(_, at)| *at);
        let prober_count = prober_count(&self.table, (engine, started_ms), now);
        excluded
            && is_prober(engine, now / 1_000_000, self.local_id, self.peers.iter().copied(), prober_count)
    }
}
