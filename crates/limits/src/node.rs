//! What one router keeps of all limits: its keys, what it asks of its peers and answers them, and what it admits.

use std::collections::{BTreeMap, BTreeSet};

use crate::escrow::Peer;
use crate::ledger::Ledger;
use crate::message::{HeldLease, Message};
use crate::recovery::Recovery;
use crate::terms::{Kind, Limit, Terms};

pub use crate::admission::{Refused, Ticket};
pub use crate::ledger::KeyStatus;

/// One router's part in all limits.
#[derive(Clone, Debug)]
pub struct Node {
    ledger: Ledger,
    recovery: Option<Recovery>,
    /// Peers that can be reached.
    reachable: BTreeSet<u32>,
    /// The latest life of each peer.
    latest_lives: BTreeMap<u32, u64>,
    /// The number of this router's latest message.
    sequence: u64,
    last_round_ns: u64,
}

impl Node {
    /// A router that has just started. Until it has asked everybody, its own units count as lent.
    pub fn new(now: u64, me: Peer, terms: Terms, limits: Vec<Limit>, max_keys: usize) -> Node {
        let others = (0..terms.routers).filter(|number| *number != me.number);
        let mut node = Node {
            ledger: Ledger::new(now, me, terms, limits, max_keys),
            recovery: Some(Recovery::begin(now, others)),
            reachable: BTreeSet::new(),
            latest_lives: BTreeMap::new(),
            sequence: 0,
            last_round_ns: 0,
        };
        node.try_finish_recovery(now);
        node
    }

    /// The operator's file says other limits: gives each one's place, which those that stay keep. What is out and what is lent
    /// stays counted.
    pub fn resize(&mut self, now: u64, limits: Vec<Limit>) -> Vec<u16> {
        self.ledger.resize(now, limits)
    }

    /// The peers that can be reached now.
    pub fn set_reachable(&mut self, now: u64, peers: BTreeSet<u32>) {
        self.ledger.set_reachable(now, &peers);
        self.reachable = peers;
    }

    /// Admits a request by all of its limits and keys, or by none.
    ///
    /// # Errors
    /// Names the first limit that does not allow it, and when it is worth another try.
    pub fn admit(&mut self, now: u64, limit_keys: &[(u16, u64)]) -> Result<Ticket, Refused> {
        self.ledger.admit(now, limit_keys)
    }

    /// A request that was admitted is over.
    pub fn over(&mut self, ticket: Ticket) {
        self.ledger.release(ticket);
    }

    /// Of a window's limit: the units that may be used from `now` to `until` (count), of loans those that last so long. What was
    /// sent within the window is to be held against them by whoever sends.
    pub fn budget(&mut self, now: u64, until: u64, limit: u16, key: u64) -> u32 {
        if !self.ledger.track(now, limit, key) {
            return 0;
        }
        self.ledger.refresh(now, limit, key);
        let entry = self.ledger.keys.get(&(limit, key));
        entry.map_or(0, |entry| entry.escrow.unleased(now) + entry.escrow.leased_in(until))
    }

    /// Units of a key that this router owns (count).
    pub fn owned(&self, limit: u16, key: u64) -> u32 {
        self.ledger.owned(limit, key)
    }

    /// Units' worth that its own clients would send under a window's limit (count).
    pub fn window_demand(&self, now: u64, limit: u16, key: u64) -> f64 {
        let Some(entry) = self.ledger.keys.get(&(limit, key)) else { return 0.0 };
        let (kind, terms) = (self.ledger.kind(limit), &self.ledger.terms);
        let mut demand = entry.demand;
        demand.decay(now, kind, terms, 0.0);
        demand.in_window(kind, terms)
    }

    /// Own clients would send so many units' worth under a window's limit, whether they may or not.
    pub fn add_demand(&mut self, now: u64, limit: u16, key: u64, units: f64) {
        self.ledger.refresh(now, limit, key);
        if let Some(entry) = self.ledger.keys.get_mut(&(limit, key)) {
            entry.demand.add(units);
        }
    }

    /// So many units' worth was sent under a window's limit.
    pub fn sent(&mut self, now: u64, limit: u16, key: u64, units: f64) {
        self.ledger.refresh(now, limit, key);
        let kind = self.ledger.slots.get(usize::from(limit)).map(|slot| slot.limit.kind);
        let Some(kind @ Kind::Window { .. }) = kind else { return };
        let until_ns = now.saturating_add(kind.window_charge_ns(&self.ledger.terms));
        if let Some(entry) = self.ledger.keys.get_mut(&(limit, key)) {
            entry.meter.record_sent(until_ns, units);
        }
    }

    /// What is known of a key.
    pub fn key_status(&mut self, now: u64, limit: u16, key: u64) -> KeyStatus {
        self.ledger.key_status(now, limit, key)
    }

    /// The keys of a limit that use most, and what is known of them.
    pub fn busiest_keys(&mut self, now: u64, limit: u16) -> Vec<(u64, KeyStatus)> {
        self.ledger.busiest_keys(now, limit)
    }

    /// Whether it still has to ask what it lent before.
    pub fn recovers(&self) -> bool {
        self.recovery.is_some()
    }

    /// Keys that are tracked (count).
    pub fn tracked_keys(&self) -> usize {
        self.ledger.keys.len()
    }

    /// Passes time; gives what is to be said, and to whom.
    pub fn tick(&mut self, now: u64) -> Vec<(u32, Message)> {
        let mut out = Vec::new();
        if now < self.last_round_ns.saturating_add(self.ledger.terms.request_interval_ns()) {
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

    /// Takes a message of a peer; gives what is to be said to it.
    pub fn hear(&mut self, now: u64, from: Peer, message: Message) -> Vec<Message> {
        if !self.observe_life(now, from) {
            return Vec::new();
        }
        match message {
            Message::Request { limit, version, key, number, units } => {
                // One that knows another size gets no answer: what it holds runs out by itself.
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
            Message::Report { life, round, part, parts, up_ns, held } => {
                if life == self.ledger.me.life {
                    self.handle_report(now, from, (round, part, parts), up_ns, held);
                }
                Vec::new()
            }
        }
    }

    /// Guards against what an earlier life of a peer said, that comes late; a later one than was known ends the earlier.
    fn observe_life(&mut self, now: u64, from: Peer) -> bool {
        let life = self.latest_lives.entry(from.number).or_insert(from.life);
        if from.life < *life || from.number == self.ledger.me.number {
            return false;
        }
        let restarted = from.life > *life;
        *life = from.life;
        if restarted {
            self.ledger.expire_earlier_lives(now, from);
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
        // An earlier life of the peer may have had work out on our units.
        let orphan_ns = self.ledger.max_orphan_ns();
        recovery.extend_orphans(now + orphan_ns.saturating_sub(up_ns));
        self.ledger.restore_leases(now, from, held);
        self.try_finish_recovery(now);
    }

    /// Ends the quiet once everybody has said what it holds, or once all that was lent must have run out.
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
