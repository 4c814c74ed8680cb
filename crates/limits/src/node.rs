//! State of all limits on one router: its keys, the leases that it requests and grants, and
//! admission.

use std::collections::{BTreeMap, BTreeSet};

use crate::escrow::Peer;
use crate::ledger::Ledger;
use crate::message::{HeldLease, Message};
use crate::params::{Kind, Limit, LimitParams};
use crate::recovery::Recovery;

pub use crate::admission::{Permit, Refused};
pub use crate::ledger::KeyStatus;

/// One router's state of all limits.
#[derive(Clone, Debug)]
pub struct Node {
    ledger: Ledger,
    recovery: Option<Recovery>,
    reachable: BTreeSet<u32>,
    /// Latest known incarnation of each peer.
    latest_incarnations: BTreeMap<u32, u64>,
    /// Sequence number of this router's latest message.
    sequence: u64,
    last_round_ns: u64,
}

impl Node {
    /// Creates the node of a router that has just started. Owned units count as leased out until
    /// all peers have reported their leases.
    pub fn new(now: u64, me: Peer, params: LimitParams, limits: Vec<Limit>, max_keys: usize) -> Node {
        let others = (0..params.routers).filter(|number| *number != me.number);
        let mut node = Node {
            ledger: Ledger::new(now, me, params, limits, max_keys),
            recovery: Some(Recovery::begin(now, others)),
            reachable: BTreeSet::new(),
            latest_incarnations: BTreeMap::new(),
            sequence: 0,
            last_round_ns: 0,
        };
        node.try_finish_recovery(now);
        node
    }

    /// Replaces the limits. Returns the index of each; limits that remain keep theirs. Admissions
    /// in flight and leases are preserved.
    pub fn resize(&mut self, now: u64, limits: Vec<Limit>) -> Vec<u16> {
        self.ledger.resize(now, limits)
    }

    /// Updates the set of reachable peers.
    pub fn set_reachable(&mut self, now: u64, peers: BTreeSet<u32>) {
        self.ledger.set_reachable(now, &peers);
        self.reachable = peers;
    }

    /// Admits a request under all of the given limits and keys, or under none.
    ///
    /// # Errors
    ///
    /// Returns the first limit that refuses the request, and when to retry.
    pub fn admit(&mut self, now: u64, limit_keys: &[(u16, u64)]) -> Result<Permit, Refused> {
        self.ledger.admit(now, limit_keys)
    }

    /// Ends an admitted request.
    pub fn release(&mut self, permit: Permit) {
        self.ledger.release(permit);
    }

    /// Units of a window limit that are usable throughout `now` to `until`. The caller subtracts
    /// what was sent within the window.
    pub fn budget(&mut self, now: u64, until: u64, limit: u16, key: u64) -> u32 {
        if !self.ledger.track(now, limit, key) {
            return 0;
        }
        self.ledger.refresh(now, limit, key);
        let entry = self.ledger.keys.get(&(limit, key));
        entry.map_or(0, |entry| entry.escrow.unleased(now) + entry.escrow.leased_in(until))
    }

    /// Units of a key owned by this router.
    pub fn owned(&self, limit: u16, key: u64) -> u32 {
        self.ledger.owned(limit, key)
    }

    /// Units that this router's clients demand within one window of a window limit.
    pub fn window_demand(&self, now: u64, limit: u16, key: u64) -> f64 {
        let Some(entry) = self.ledger.keys.get(&(limit, key)) else { return 0.0 };
        let (kind, params) = (self.ledger.kind(limit), &self.ledger.params);
        let mut demand = entry.demand;
        demand.decay(now, kind, params, 0.0);
        demand.in_window(kind, params)
    }

    /// Records a demand of `units` under a window limit, whether or not they can be sent.
    pub fn record_demand(&mut self, now: u64, limit: u16, key: u64, units: f64) {
        self.ledger.refresh(now, limit, key);
        if let Some(entry) = self.ledger.keys.get_mut(&(limit, key)) {
            entry.demand.add(units);
        }
    }

    /// Records that `units` were sent under a window limit.
    pub fn sent(&mut self, now: u64, limit: u16, key: u64, units: f64) {
        self.ledger.refresh(now, limit, key);
        let kind = self.ledger.slots.get(usize::from(limit)).map(|slot| slot.limit.kind);
        let Some(kind @ Kind::Window { .. }) = kind else { return };
        let until_ns = now.saturating_add(kind.window_charge_ns(&self.ledger.params));
        if let Some(entry) = self.ledger.keys.get_mut(&(limit, key)) {
            entry.meter.record_sent(until_ns, units);
        }
    }

    /// Returns the status of a key.
    pub fn key_status(&mut self, now: u64, limit: u16, key: u64) -> KeyStatus {
        self.ledger.key_status(now, limit, key)
    }

    /// Returns the status of the most used keys of a limit.
    pub fn busiest_keys(&mut self, now: u64, limit: u16) -> Vec<(u64, KeyStatus)> {
        self.ledger.busiest_keys(now, limit)
    }

    /// Whether leases granted before the start are still being recovered.
    pub fn recovers(&self) -> bool {
        self.recovery.is_some()
    }

    /// Number of tracked keys.
    pub fn tracked_keys(&self) -> usize {
        self.ledger.keys.len()
    }

    /// Advances time. Returns messages with the numbers of their receivers.
    pub fn tick(&mut self, now: u64) -> Vec<(u32, Message)> {
        let mut out = Vec::new();
        if now < self.last_round_ns.saturating_add(self.ledger.params.request_interval_ns()) {
            return out;
        }
        self.last_round_ns = now;
        self.try_finish_recovery(now);
        if let Some(recovery) = &self.recovery {
            out.extend(recovery.unanswered().map(|peer| (peer, Message::Query)));
        }
        let all: Vec<(u16, u64)> = self.ledger.keys.keys().copied().collect();
        for (limit, key) in all {
            self.ledger.refresh(now, limit, key);
            out.extend(self.ledger.request_leases(now, (limit, key), &self.reachable, &mut self.sequence));
        }
        out
    }

    /// Handles a message from a peer. Returns messages to send back.
    pub fn receive(&mut self, now: u64, from: Peer, message: Message) -> Vec<Message> {
        if !self.observe_incarnation(now, from) {
            return Vec::new();
        }
        match message {
            Message::Request { limit, version, key, number, units } => {
                // A peer with another size gets no grant; its leases expire.
                let limit_index = self.ledger.limit_index(limit, version);
                let grant = limit_index.and_then(|limit_index| {
                    self.ledger.handle_request(now, from, limit_index, key, (number, units))
                });
                grant.into_iter().collect()
            }
            Message::Grant { limit, version, key, number, units } => {
                if let Some(limit_index) = self.ledger.limit_index(limit, version) {
                    self.ledger.apply_grant(now, from, limit_index, key, (number, units));
                }
                Vec::new()
            }
            Message::Query => {
                self.sequence += 1;
                self.ledger.lease_report(now, from, self.sequence)
            }
            Message::Report { incarnation, round, part, parts, up_ns, held } => {
                if incarnation == self.ledger.me.incarnation {
                    self.handle_report(now, from, (round, part, parts), up_ns, held);
                }
                Vec::new()
            }
        }
    }

    /// Records the sender's incarnation and returns whether it is the latest known. A newer
    /// incarnation expires the leases of earlier ones.
    fn observe_incarnation(&mut self, now: u64, from: Peer) -> bool {
        let incarnation = self.latest_incarnations.entry(from.number).or_insert(from.incarnation);
        if from.incarnation < *incarnation || from.number == self.ledger.me.number {
            return false;
        }
        let restarted = from.incarnation > *incarnation;
        *incarnation = from.incarnation;
        if restarted {
            self.ledger.expire_earlier_incarnations(now, from);
        }
        true
    }

    fn handle_report(
        &mut self,
        now: u64,
        from: Peer,
        part: (u64, u16, u16),
        up_ns: u64,
        held: Vec<HeldLease>,
    ) {
        let Some(recovery) = &mut self.recovery else { return };
        if !recovery.accept_part(from.number, part) {
            return;
        }
        // Requests of the peer's earlier incarnation may still run on this router's units.
        let orphan_ns = self.ledger.max_orphan_ns();
        recovery.extend_orphans(now + orphan_ns.saturating_sub(up_ns));
        self.ledger.restore_leases(now, from, held);
        self.try_finish_recovery(now);
    }

    /// Ends the grace period once all peers have reported their leases, or all leases granted
    /// before the start must have expired.
    fn try_finish_recovery(&mut self, now: u64) {
        let Some(recovery) = &self.recovery else { return };
        let answered = recovery.all_answered();
        if answered {
            self.ledger.end_grace(now, recovery.orphans_until_ns());
        }
        if answered || self.ledger.grace_has_ended(now) {
            self.recovery = None;
        }
    }
}
