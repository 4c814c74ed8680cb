//! The limits and tracked keys of one router.
//!
//! Invariants: a limit keeps its index for the lifetime of the process. The table of keys is
//! bounded, and a key is evicted only if a new entry would be equivalent.

use std::collections::{BTreeMap, BTreeSet};

use crate::bound;
use crate::demand::Demand;
use crate::escrow::{Escrow, Peer};
use crate::meter::Meter;
use crate::params::{Kind, Limit, LimitParams, Mode};
use crate::sketch::Sketch;

/// Keys examined for eviction when the table is full.
const MAX_EVICTION_CANDIDATES: usize = 16;
/// Number of keys that [`Ledger::busiest_keys`] returns.
const MAX_BUSIEST_KEYS: usize = 8;

/// A limit at its index.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) limit: Limit,
    /// Removed from the operator's file. Admits nothing, but its leases are still tracked.
    retired: bool,
    /// End of the grace period, during which the owned units count as leased out.
    pub(crate) grace_until_ns: u64,
    /// Whether reports of peers end the grace period. False for a limit added after the start, as
    /// earlier reports did not include it.
    covered_by_reports: bool,
    /// Usage of keys that do not fit into the table; `None` if all have fitted.
    pub(crate) sketch: Option<Sketch>,
}

/// State of one key of a limit.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) escrow: Escrow,
    pub(crate) meter: Meter,
    pub(crate) demand: Demand,
    /// Peers that granted less than requested, and when they may be asked for more (ns).
    pub(crate) exhausted: BTreeMap<u32, u64>,
}

/// Status of a key on one router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyStatus {
    /// Units owned.
    pub owned: u32,
    /// Owned units leased out to peers.
    pub leased_out: u32,
    /// Usable units leased from peers.
    pub leased_in: u32,
    /// Units usable now.
    pub usable: u32,
    /// Admissions in flight, or units sent within the window.
    pub in_flight: u32,
}

/// The limits and keys of one router.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    pub(crate) me: Peer,
    pub(crate) params: LimitParams,
    pub(crate) slots: Vec<Slot>,
    pub(crate) keys: BTreeMap<(u16, u64), Entry>,
    max_keys: usize,
    pub(crate) started_ns: u64,
    /// Since when some router of the fleet has been unreachable.
    partition_since_ns: Option<u64>,
    /// Key after the last one examined for eviction.
    eviction_cursor: (u16, u64),
}

impl Ledger {
    /// Creates the ledger of a router that has just started: owned units count as leased out.
    pub(crate) fn new(
        now: u64,
        me: Peer,
        params: LimitParams,
        limits: Vec<Limit>,
        max_keys: usize,
    ) -> Ledger {
        let slot = |limit: Limit| Slot {
            grace_until_ns: now + params.grace_ns(limit.kind),
            limit,
            retired: false,
            covered_by_reports: true,
            sketch: None,
        };
        Ledger {
            me,
            params,
            slots: limits.into_iter().map(slot).collect(),
            keys: BTreeMap::new(),
            max_keys,
            started_ns: now,
            partition_since_ns: None,
            eviction_cursor: (0, 0),
        }
    }

    /// Replaces the limits. Returns the index of each; limits that remain keep theirs.
    pub(crate) fn resize(&mut self, now: u64, limits: Vec<Limit>) -> Vec<u16> {
        self.slots.iter_mut().for_each(|slot| slot.retired = true);
        let mut limit_indexes = Vec::with_capacity(limits.len());
        for limit in limits {
            let limit_index = self.index_or_insert(&limit);
            limit_indexes.push(limit_index);
            let slot = &mut self.slots[usize::from(limit_index)];
            slot.retired = false;
            if slot.limit.version() != limit.version() {
                self.resize_keys(now, limit_index, &limit);
            }
            self.slots[usize::from(limit_index)].limit = limit;
        }
        limit_indexes
    }

    /// Returns the index of a limit, adding the limit if it is new.
    fn index_or_insert(&mut self, limit: &Limit) -> u16 {
        let id = limit.id();
        let existing = self.slots.iter().position(|slot| slot.limit.id() == id);
        let at = existing.unwrap_or_else(|| {
            // Peers may hold units leased by an earlier incarnation, which their reports did not
            // include.
            let grace_until_ns = self.started_ns + self.params.grace_ns(limit.kind);
            let (retired, covered_by_reports, sketch) = (true, false, None);
            self.slots.push(Slot {
                limit: limit.clone(),
                retired,
                grace_until_ns,
                covered_by_reports,
                sketch,
            });
            self.slots.len() - 1
        });
        at as u16
    }

    fn resize_keys(&mut self, now: u64, limit_index: u16, limit: &Limit) {
        let keys: Vec<u64> = self.keys_of(limit_index).collect();
        // Refills buckets at the old size first.
        for key in &keys {
            self.refresh(now, limit_index, *key);
        }
        let unit_value_changed = !matches!(limit.kind, Kind::Concurrency { .. });
        for key in keys {
            let owned = self.params.share(limit.kind.units(), self.me.number, key);
            if let Some(entry) = self.keys.get_mut(&(limit_index, key)) {
                entry.escrow.resize(now, owned, unit_value_changed);
                entry.exhausted.clear();
            }
        }
    }

    /// Tracked keys of a limit.
    pub(crate) fn keys_of(&self, limit: u16) -> impl Iterator<Item = u64> + '_ {
        self.keys.range((limit, 0)..=(limit, u64::MAX)).map(|((_, key), _)| *key)
    }

    pub(crate) fn kind(&self, limit: u16) -> Kind {
        self.slots[usize::from(limit)].limit.kind
    }

    /// Index of the limit that a peer identifies, if this router has it at the same size.
    pub(crate) fn limit_index(&self, id: u64, version: u32) -> Option<u16> {
        let matches = |slot: &Slot| slot.limit.id() == id && slot.limit.version() == version && !slot.retired;
        self.slots.iter().position(matches).map(|at| at as u16)
    }

    /// Updates the set of reachable peers.
    pub(crate) fn set_reachable(&mut self, now: u64, peers: &BTreeSet<u32>) {
        let counted = |number: &&u32| **number < self.params.routers && **number != self.me.number;
        let missing = peers.iter().filter(counted).count() as u32 + 1 < self.params.routers;
        self.partition_since_ns = if missing { self.partition_since_ns.or(Some(now)) } else { None };
    }

    /// Units of a key owned by this router.
    pub(crate) fn owned(&self, limit: u16, key: u64) -> u32 {
        self.params.share(self.kind(limit).units(), self.me.number, key)
    }

    /// Units of a key demanded by this router's own clients.
    pub(crate) fn demanded(&self, limit: u16, entry: &Entry) -> u32 {
        entry.demand.units(self.kind(limit), &self.params, entry.meter.in_flight())
    }

    /// Units beyond the owned ones that the limit's mode allows now. None during the grace period:
    /// requests of an earlier incarnation may still run, and each restart would add its overshoot.
    fn overshoot_units(&self, now: u64, limit: u16, owned: u32) -> u32 {
        let slot = &self.slots[usize::from(limit)];
        match (slot.limit.mode, self.partition_since_ns) {
            (Mode::Bounded { over, for_ns }, Some(since))
                if now < since.saturating_add(for_ns) && now >= slot.grace_until_ns =>
            {
                bound::overshoot_units(owned, over)
            }
            _ => 0,
        }
    }

    /// Drops expired leases and refills the bucket of a key. Returns the units usable now.
    pub(crate) fn refresh(&mut self, now: u64, limit: u16, key: u64) -> u32 {
        let kind = self.kind(limit);
        let owned = self.owned(limit, key);
        let overshoot_units = self.overshoot_units(now, limit, owned);
        let sketch = self.slots[usize::from(limit)].sketch.as_ref();
        let untracked = sketch.map_or(0.0, |sketch| sketch.used(now, key, (kind, owned, self.params.drift)));
        let Some(entry) = self.keys.get_mut(&(limit, key)) else { return 0 };
        if let Kind::Concurrency { .. } = kind {
            entry.meter.set_untracked(untracked.ceil() as u32);
        }
        let usable_throughout = entry.escrow.usable_throughout(entry.meter.refilled_ns(), now);
        entry.escrow.expire(now);
        let usable = entry.escrow.usable(now) + overshoot_units;
        entry.meter.refill(now, kind, self.params.drift, (usable_throughout + overshoot_units, usable));
        let min_demand =
            if let Kind::Concurrency { .. } = kind { f64::from(entry.meter.in_flight()) } else { 0.0 };
        entry.demand.decay(now, kind, &self.params, min_demand);
        entry.exhausted.retain(|_, until| now < *until);
        usable
    }

    /// Starts tracking a key. Returns false if the table has no room.
    pub(crate) fn track(&mut self, now: u64, limit: u16, key: u64) -> bool {
        if self.keys.contains_key(&(limit, key)) {
            return true;
        }
        if self.keys.len() >= self.max_keys && !self.evict_one(now) {
            return false;
        }
        let entry = self.new_entry(now, limit, key);
        self.keys.insert((limit, key), entry);
        true
    }

    fn new_entry(&self, now: u64, limit: u16, key: u64) -> Entry {
        let kind = self.kind(limit);
        let owned = self.owned(limit, key);
        let slot = &self.slots[usize::from(limit)];
        let grace_until_ns = slot.grace_until_ns;
        let meter = match (&slot.sketch, kind) {
            (Some(sketch), Kind::Rate { .. }) if now >= grace_until_ns => {
                let used = sketch.used(now, key, (kind, owned, self.params.drift));
                Meter::with_tokens(now, (f64::from(owned) - used).max(0.0))
            }
            // Admissions of earlier incarnations are unknown, so the bucket starts empty.
            _ => Meter::new(self.started_ns.max(grace_until_ns.min(now))),
        };
        let escrow = Escrow::new(owned, grace_until_ns);
        Entry { escrow, meter, demand: Demand::none(now), exhausted: BTreeMap::new() }
    }

    /// Evicts a key whose new entry would be equivalent. Returns false if there is none among the
    /// candidates.
    fn evict_one(&mut self, now: u64) -> bool {
        let after_cursor = self.keys.range(self.eviction_cursor..).map(|(k, _)| *k);
        let candidates: Vec<(u16, u64)> = after_cursor
            .chain(self.keys.keys().copied())
            .take(MAX_EVICTION_CANDIDATES.min(self.keys.len()))
            .collect();
        for (limit, key) in candidates {
            let usable = self.refresh(now, limit, key);
            let kind = self.kind(limit);
            self.eviction_cursor = (limit, key.wrapping_add(1));
            let entry = &self.keys[&(limit, key)];
            if entry.escrow.is_idle(now) && entry.meter.is_idle(kind, usable) {
                self.keys.remove(&(limit, key));
                return true;
            }
        }
        false
    }

    /// Returns the status of a key.
    pub(crate) fn key_status(&mut self, now: u64, limit: u16, key: u64) -> KeyStatus {
        let usable = self.refresh(now, limit, key);
        let owned = self.owned(limit, key);
        let Some(entry) = self.keys.get(&(limit, key)) else {
            return KeyStatus { owned, ..KeyStatus::default() };
        };
        let (leased_out, leased_in) = (entry.escrow.leased_out(), entry.escrow.leased_in(now));
        KeyStatus { owned, leased_out, leased_in, usable, in_flight: entry.meter.in_flight() }
    }

    /// Returns the status of the most used keys of a limit.
    pub(crate) fn busiest_keys(&mut self, now: u64, limit: u16) -> Vec<(u64, KeyStatus)> {
        let keys: Vec<u64> = self.keys_of(limit).collect();
        let mut all: Vec<(u64, KeyStatus)> =
            keys.into_iter().map(|key| (key, self.key_status(now, limit, key))).collect();
        all.sort_by_key(|(key, key_status)| {
            (std::cmp::Reverse((key_status.in_flight, key_status.leased_in, key_status.leased_out)), *key)
        });
        all.truncate(MAX_BUSIEST_KEYS);
        all
    }

    /// Ends the grace period once all peers have reported their leases. Requests of earlier
    /// incarnations may run until `orphans_until_ns`.
    pub(crate) fn end_grace(&mut self, now: u64, orphans_until_ns: u64) {
        for slot in self.slots.iter_mut().filter(|slot| slot.covered_by_reports) {
            let end_ns = match slot.limit.kind {
                Kind::Rate { .. } => now,
                kind @ (Kind::Concurrency { .. } | Kind::Window { .. }) => {
                    let own_ns = self.params.peer_ns_upper_bound(kind.orphan_ns(&self.params));
                    orphans_until_ns.max(self.started_ns + own_ns).max(now)
                }
            };
            slot.grace_until_ns = slot.grace_until_ns.min(end_ns);
        }
        for ((limit, _), entry) in &mut self.keys {
            let slot = &self.slots[usize::from(*limit)];
            if slot.covered_by_reports {
                entry.escrow.end_grace(slot.grace_until_ns);
            }
        }
    }

    /// Whether all leases of an earlier incarnation must have expired.
    pub(crate) fn grace_has_ended(&self, now: u64) -> bool {
        self.slots.iter().all(|slot| now >= slot.grace_until_ns)
    }
}
