//! What one router keeps of all limits: its keys, what it asks of its peers and answers them, and what it admits.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::bound;
use crate::escrow::{Escrow, Peer};
use crate::meter::Meter;
use crate::sketch::Sketch;
use crate::terms::{Kind, Limit, Mode, Terms};

/// What is asked for beyond what came of late (share): demand is uneven.
const SPARE: f64 = 0.05;
/// Peers that one key newly asks in one round (count).
const NEW_ASKS: usize = 64;
/// Keys that are looked at for one that may be forgotten, where the table is full (count).
const LOOKED_AT: usize = 16;
/// Keys of a limit that are shown (count).
const SHOWN: usize = 8;
/// Loans told in one message (count): it fits a datagram.
const HELD_MOST: usize = 32;

/// What routers say to each other. Lost, doubled, late and reordered messages do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The sender wants to hold so many of the receiver's units.
    Ask {
        /// The limit ([`Limit::id`]).
        limit: u64,
        /// Its size ([`Limit::version`]).
        version: u32,
        /// Hash of the key.
        key: u64,
        /// Grows with each ask of the sender.
        number: u64,
        /// Units, those that it holds included.
        units: u32,
    },
    /// The sender may hold so many.
    Grant {
        /// The limit.
        limit: u64,
        /// Its size.
        version: u32,
        /// Hash of the key.
        key: u64,
        /// The ask's number.
        number: u64,
        /// Units.
        units: u32,
    },
    /// The sender has started and does not know what it lent before.
    Recall,
    /// All that the sender holds of the receiver's, as an answer to a recall of this life.
    Holds {
        /// The receiver's life that asked.
        life: u64,
        /// Which of the sender's answers this is a part of: only parts of one make a whole.
        round: u64,
        /// Which of so many messages.
        part: u16,
        /// Messages in all.
        parts: u16,
        /// For how long the sender has been up (ns).
        up_ns: u64,
        /// What is held.
        held: Vec<Held>,
    },
}

/// A loan, as its borrower tells it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// The limit, and its size as the borrower knows it.
    limit: u64,
    version: u32,
    /// Hash of the key.
    key: u64,
    units: u32,
    /// For how long still (ns).
    left_ns: u64,
}

/// A limit in its place, which it keeps for as long as the router is up.
#[derive(Clone, Debug)]
struct Slot {
    limit: Limit,
    /// The operator's file has it no more: nothing is admitted by it, and what was lent is kept track of.
    retired: bool,
    /// Until when its own units count as lent for a start's sake (ns), and whether peers that say what they hold end that: they
    /// were not understood before it was there.
    quiet_until_ns: u64,
    told: bool,
    /// Keys that found no place in the table; none where all did.
    sketch: Option<Sketch>,
}

/// How much of a key's units a router's own clients want.
#[derive(Clone, Copy, Debug)]
struct Demand {
    /// Arrivals a second of a rate, units of a concurrency.
    wanted: f64,
    at_ns: u64,
}

impl Demand {
    fn pass(&mut self, now: u64, life_ns: u64, least: f64) {
        let left = (-(now.saturating_sub(self.at_ns) as f64) / life_ns as f64).exp();
        self.wanted = (self.wanted * left).max(least);
        self.at_ns = self.at_ns.max(now);
    }
}

#[derive(Clone, Debug)]
struct Entry {
    escrow: Escrow,
    meter: Meter,
    demand: Demand,
    /// Peers that had nothing to lend, until they are asked again (ns).
    empty: BTreeMap<u32, u64>,
}

/// A start that does not know yet what was lent before.
#[derive(Clone, Debug)]
struct Recovery {
    /// By peer, the parts of its latest answer that are still missing; none where nothing has come.
    missing: BTreeMap<u32, Option<(u64, BTreeSet<u16>)>>,
    /// Up to when earlier lives of those that answered may have had work out on our units (ns).
    run_on_until_ns: u64,
}

/// All parts of a peer's answer have come.
fn whole(parts: &Option<(u64, BTreeSet<u16>)>) -> bool {
    parts.as_ref().is_some_and(|(_, missing)| missing.is_empty())
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The limit, by its place in the file.
    pub limit: usize,
    /// When it is worth another try (ns from now).
    pub after_ns: u64,
}

/// What a request was admitted by: to be given back once it is over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ticket(Vec<Admitted>);

/// One limit that a request was admitted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Admitted {
    limit: u16,
    key: u64,
    /// The key was not tracked.
    by_sketch: bool,
}

/// What one router knows of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Look {
    /// Units that it owns.
    pub owned: u32,
    /// Of these, lent.
    pub lent: u32,
    /// Units borrowed.
    pub borrowed: u32,
    /// Units that may be used.
    pub usable: u32,
    /// Admissions out.
    pub out: u32,
}

/// One router's part in all limits.
#[derive(Clone, Debug)]
pub struct Node {
    me: Peer,
    terms: Terms,
    slots: Vec<Slot>,
    keys: BTreeMap<(u16, u64), Entry>,
    keys_most: usize,
    started_ns: u64,
    recovery: Option<Recovery>,
    /// Peers that can be reached, and since when some that are counted can't.
    reachable: BTreeSet<u32>,
    cut_since_ns: Option<u64>,
    lives: BTreeMap<u32, u64>,
    serial: u64,
    asked_ns: u64,
    looked_at: (u16, u64),
}

impl Node {
    /// A router that has just started. Until it has asked everybody, its own units count as lent.
    pub fn new(now: u64, me: Peer, terms: Terms, limits: Vec<Limit>, keys_most: usize) -> Node {
        let others = (0..terms.routers).filter(|number| *number != me.number);
        let recovery =
            Recovery { missing: others.map(|number| (number, None)).collect(), run_on_until_ns: now };
        let slot = |limit: Limit| Slot {
            quiet_until_ns: now + terms.quiet_ns(limit.kind),
            limit,
            retired: false,
            told: true,
            sketch: None,
        };
        let mut node = Node {
            me,
            terms,
            slots: limits.into_iter().map(slot).collect(),
            keys: BTreeMap::new(),
            keys_most,
            started_ns: now,
            recovery: Some(recovery),
            reachable: BTreeSet::new(),
            cut_since_ns: None,
            lives: BTreeMap::new(),
            serial: 0,
            asked_ns: 0,
            looked_at: (0, 0),
        };
        node.recovered(now);
        node
    }

    /// The operator's file says other limits: gives each one's place, which those that stay keep. What is out and what is lent
    /// stays counted.
    pub fn resize(&mut self, now: u64, limits: Vec<Limit>) -> Vec<u16> {
        self.slots.iter_mut().for_each(|slot| slot.retired = true);
        let mut places = Vec::with_capacity(limits.len());
        for limit in limits {
            let id = limit.id();
            let at = self.slots.iter().position(|slot| slot.limit.id() == id).unwrap_or_else(|| {
                // Peers may hold units that an earlier life lent, and could not say so before.
                let quiet_until_ns = self.started_ns + self.terms.quiet_ns(limit.kind);
                let (retired, told, sketch) = (true, false, None);
                self.slots.push(Slot { limit: limit.clone(), retired, quiet_until_ns, told, sketch });
                self.slots.len() - 1
            });
            places.push(at as u16);
            let slot = &mut self.slots[at];
            slot.retired = false;
            let changed = slot.limit.version() != limit.version();
            // Fills buckets by the old size first.
            if changed {
                let keys: Vec<u64> = self.keys_of(at as u16).collect();
                for key in &keys {
                    self.settle(now, at as u16, *key);
                }
                let worth = !matches!(limit.kind, Kind::Concurrency { .. });
                let (terms, me) = (self.terms, self.me.number);
                for key in keys {
                    let owned = terms.share(limit.kind.units(), me, key);
                    if let Some(entry) = self.keys.get_mut(&(at as u16, key)) {
                        entry.escrow.resize(now, owned, worth);
                        entry.empty.clear();
                    }
                }
            }
            self.slots[at].limit = limit;
        }
        places
    }

    /// The keys of a limit that are tracked.
    fn keys_of(&self, limit: u16) -> impl Iterator<Item = u64> + '_ {
        self.keys.range((limit, 0)..=(limit, u64::MAX)).map(|((_, key), _)| *key)
    }

    fn kind(&self, limit: u16) -> Kind {
        self.slots[usize::from(limit)].limit.kind
    }

    /// The place of a limit that a peer names, where this router has it in that size.
    fn place(&self, id: u64, version: u32) -> Option<u16> {
        let here = |slot: &Slot| slot.limit.id() == id && slot.limit.version() == version && !slot.retired;
        self.slots.iter().position(here).map(|at| at as u16)
    }

    /// The peers that can be reached now.
    pub fn set_reachable(&mut self, now: u64, peers: BTreeSet<u32>) {
        let counted = |number: &u32| *number < self.terms.routers && *number != self.me.number;
        let missing = peers.iter().filter(|p| counted(p)).count() as u32 + 1 < self.terms.routers;
        self.cut_since_ns = if missing { self.cut_since_ns.or(Some(now)) } else { None };
        self.reachable = peers;
    }

    /// Units beyond its own that a limit's mode allows now: none while what an earlier life had out may still run, or it
    /// would be over by as much again with each life.
    fn extra(&self, now: u64, limit: u16, owned: u32) -> u32 {
        let slot = &self.slots[usize::from(limit)];
        match (slot.limit.mode, self.cut_since_ns) {
            (Mode::Bounded { over, for_ns }, Some(since))
                if now < since.saturating_add(for_ns) && now >= slot.quiet_until_ns =>
            {
                bound::extra(owned, over)
            }
            _ => 0,
        }
    }

    /// Fills a key's bucket and forgets what has run out; gives the units that may be used now.
    fn settle(&mut self, now: u64, limit: u16, key: u64) -> u32 {
        let kind = self.kind(limit);
        let owned = self.owned(limit, key);
        let extra = self.extra(now, limit, owned);
        let life_ns = self.demand_life_ns(kind);
        let sketch = self.slots[usize::from(limit)].sketch.as_ref();
        let beside = sketch.map_or(0.0, |sketch| sketch.used(now, key, (kind, owned, self.terms.drift)));
        let Some(entry) = self.keys.get_mut(&(limit, key)) else { return 0 };
        if let Kind::Concurrency { .. } = kind {
            entry.meter.set_beside(beside.ceil() as u32);
        }
        let steady = entry.escrow.steady(entry.meter.filled_ns(), now);
        entry.escrow.pass(now);
        let usable = entry.escrow.usable(now) + extra;
        entry.meter.fill(now, kind, self.terms.drift, (steady + extra, usable));
        let least = if let Kind::Concurrency { .. } = kind { f64::from(entry.meter.out()) } else { 0.0 };
        entry.demand.pass(now, life_ns, least);
        entry.empty.retain(|_, until| now < *until);
        usable
    }

    /// Makes room for a key; false where there is none.
    fn track(&mut self, now: u64, limit: u16, key: u64) -> bool {
        if self.keys.contains_key(&(limit, key)) {
            return true;
        }
        if self.keys.len() >= self.keys_most && !self.forget_one(now) {
            return false;
        }
        let kind = self.kind(limit);
        let owned = self.owned(limit, key);
        let slot = &self.slots[usize::from(limit)];
        let quiet = slot.quiet_until_ns;
        let meter = match (&slot.sketch, kind) {
            (Some(sketch), Kind::Rate { .. }) if now >= quiet => {
                let used = sketch.used(now, key, (kind, owned, self.terms.drift));
                Meter::holding(now, (f64::from(owned) - used).max(0.0))
            }
            // Nothing was admitted on it in this life; what an earlier one did is not known.
            _ => Meter::new(self.started_ns.max(quiet.min(now))),
        };
        let entry = Entry {
            escrow: Escrow::new(owned, quiet),
            meter,
            demand: Demand { wanted: 0.0, at_ns: now },
            empty: BTreeMap::new(),
        };
        self.keys.insert((limit, key), entry);
        true
    }

    /// Forgets a key that a new one would be the same as; false where none was found among a few.
    fn forget_one(&mut self, now: u64) -> bool {
        let behind = self.keys.range(self.looked_at..).map(|(k, _)| *k);
        let some: Vec<(u16, u64)> =
            behind.chain(self.keys.keys().copied()).take(LOOKED_AT.min(self.keys.len())).collect();
        for (limit, key) in some {
            let usable = self.settle(now, limit, key);
            let kind = self.kind(limit);
            self.looked_at = (limit, key.wrapping_add(1));
            let entry = &self.keys[&(limit, key)];
            if entry.escrow.is_still(now) && entry.meter.is_still(kind, usable) {
                self.keys.remove(&(limit, key));
                return true;
            }
        }
        false
    }

    /// Admits a request by all of its limits and keys, or by none.
    ///
    /// # Errors
    /// Names the first limit that does not allow it, and when it is worth another try.
    pub fn admit(&mut self, now: u64, wants: &[(u16, u64)]) -> Result<Ticket, Refused> {
        let again = 2 * self.terms.round_ns();
        let mut refused = None;
        let mut allowed = Vec::with_capacity(wants.len());
        for (limit, key) in wants {
            let kind = self.kind(*limit);
            if !self.track(now, *limit, *key) {
                if !self.sketch_admits(now, *limit, *key, false) {
                    refused = refused.or(Some(Refused { limit: usize::from(*limit), after_ns: again }));
                }
                allowed.push((kind, None));
                continue;
            }
            let usable = self.settle(now, *limit, *key);
            let Some(entry) = self.keys.get_mut(&(*limit, *key)) else { continue };
            allowed.push((kind, Some(usable)));
            let admits = entry.meter.admits(kind, usable);
            match kind {
                Kind::Rate { .. } => entry.demand.wanted += 1e9 / self.terms.lease_ns as f64,
                Kind::Concurrency { .. } => {
                    let least = f64::from(entry.meter.out());
                    entry.demand.wanted = entry.demand.wanted.max(least) + if admits { 0.0 } else { 1.0 };
                    entry.demand.wanted = entry.demand.wanted.max(least + f64::from(u8::from(admits)));
                }
                Kind::Window { .. } => entry.demand.wanted += 1.0,
            }
            entry.demand.wanted = entry.demand.wanted.min(f64::from(u32::MAX));
            if !admits {
                let after_ns = entry.meter.again_ns(kind, usable).unwrap_or(again).max(1_000_000);
                refused = refused.or(Some(Refused { limit: usize::from(*limit), after_ns }));
            }
        }
        if let Some(refused) = refused {
            return Err(refused);
        }
        let mut ticket = Ticket(Vec::with_capacity(wants.len()));
        for ((limit, key), (kind, usable)) in wants.iter().copied().zip(allowed) {
            match (usable, self.keys.get_mut(&(limit, key))) {
                (Some(usable), Some(entry)) => {
                    entry.meter.admit(now.saturating_add(kind.counts_ns(&self.terms)), kind, usable);
                }
                _ => drop(self.sketch_admits(now, limit, key, true)),
            }
            ticket.0.push(Admitted { limit, key, by_sketch: usable.is_none() });
        }
        Ok(ticket)
    }

    /// Whether a key that found no place in the table is admitted on its router's own share; it counts where it `counts`.
    fn sketch_admits(&mut self, now: u64, limit: u16, key: u64, counts: bool) -> bool {
        let kind = self.kind(limit);
        let of = (kind, self.owned(limit, key), self.terms.drift);
        let slot = &mut self.slots[usize::from(limit)];
        if now < slot.quiet_until_ns || matches!(kind, Kind::Window { .. }) {
            return false;
        }
        let sketch = slot.sketch.get_or_insert_with(|| Sketch::new(now));
        match counts {
            true => sketch.admit(now, key, of),
            false => sketch.used(now, key, of) + 1.0 <= f64::from(of.1),
        }
    }

    /// Of a window's limit: the units that may be used from `now` to `until` (count), of loans those that last so long. What was
    /// sent within the window is to be held against them by whoever sends.
    pub fn budget(&mut self, now: u64, until: u64, limit: u16, key: u64) -> u32 {
        if !self.track(now, limit, key) {
            return 0;
        }
        self.settle(now, limit, key);
        self.keys.get(&(limit, key)).map_or(0, |entry| entry.escrow.own(now) + entry.escrow.borrowed(until))
    }

    /// Units of a key that this router owns (count).
    pub fn owned(&self, limit: u16, key: u64) -> u32 {
        self.terms.share(self.kind(limit).units(), self.me.number, key)
    }

    /// Units' worth that its own clients would send under a window's limit (count).
    pub fn wants(&self, now: u64, limit: u16, key: u64) -> f64 {
        let Some(entry) = self.keys.get(&(limit, key)) else { return 0.0 };
        let mut demand = entry.demand;
        let kind = self.kind(limit);
        demand.pass(now, self.demand_life_ns(kind), 0.0);
        demand.wanted * self.in_window(kind)
    }

    /// How long demand is remembered (ns).
    fn demand_life_ns(&self, kind: Kind) -> u64 {
        match kind {
            Kind::Rate { .. } => self.terms.lease_ns,
            // A peak of what is out at once is over soon; units kept for it lie idle.
            Kind::Concurrency { .. } => self.terms.lease_ns / 4,
            Kind::Window { window_ns, .. } => window_ns.max(self.terms.lease_ns),
        }
    }

    /// Part of the demand that is remembered that falls into one window (share).
    fn in_window(&self, kind: Kind) -> f64 {
        match kind {
            Kind::Window { window_ns, .. } => window_ns as f64 / self.demand_life_ns(kind) as f64,
            _ => 1.0,
        }
    }

    /// Own clients would send so many units' worth under a window's limit, whether they may or not.
    pub fn want(&mut self, now: u64, limit: u16, key: u64, units: f64) {
        self.settle(now, limit, key);
        let entry = self.keys.get_mut(&(limit, key));
        entry.into_iter().for_each(|entry| entry.demand.wanted += units);
    }

    /// So many units' worth was sent under a window's limit.
    pub fn sent(&mut self, now: u64, limit: u16, key: u64, units: f64) {
        self.settle(now, limit, key);
        let kind = self.slots.get(usize::from(limit)).map(|slot| slot.limit.kind);
        let Some(kind @ Kind::Window { .. }) = kind else { return };
        let counts_ns = kind.counts_ns(&self.terms);
        let entry = self.keys.get_mut(&(limit, key));
        entry.into_iter().for_each(|entry| entry.meter.send(now.saturating_add(counts_ns), units));
    }

    /// A request that was admitted is over.
    pub fn over(&mut self, ticket: Ticket) {
        for Admitted { limit, key, by_sketch } in ticket.0 {
            let kind = self.kind(limit);
            let sketch = self.slots[usize::from(limit)].sketch.as_mut().filter(|_| by_sketch);
            match (sketch, self.keys.get_mut(&(limit, key))) {
                (Some(sketch), _) => sketch.over(key, kind),
                (None, Some(entry)) => entry.meter.over(),
                _ => {}
            }
        }
    }

    /// What is known of a key.
    pub fn look(&mut self, now: u64, limit: u16, key: u64) -> Look {
        let usable = self.settle(now, limit, key);
        let owned = self.owned(limit, key);
        let Some(entry) = self.keys.get(&(limit, key)) else {
            return Look { owned, ..Look::default() };
        };
        let (lent, borrowed) = (entry.escrow.lent_out(), entry.escrow.borrowed(now));
        Look { owned, lent, borrowed, usable, out: entry.meter.out() }
    }

    /// The keys of a limit that use most, and what is known of them.
    pub fn busiest(&mut self, now: u64, limit: u16) -> Vec<(u64, Look)> {
        let keys: Vec<u64> = self.keys_of(limit).collect();
        let mut all: Vec<(u64, Look)> =
            keys.into_iter().map(|key| (key, self.look(now, limit, key))).collect();
        all.sort_by_key(|(key, look)| (std::cmp::Reverse((look.out, look.borrowed, look.lent)), *key));
        all.truncate(SHOWN);
        all
    }

    /// Whether it still has to ask what it lent before.
    pub fn recovers(&self) -> bool {
        self.recovery.is_some()
    }

    /// Keys that are tracked (count).
    pub fn tracked(&self) -> usize {
        self.keys.len()
    }

    /// Units of a key that its own clients want (count).
    fn wanted(&self, limit: u16, entry: &Entry) -> u32 {
        let kind = self.kind(limit);
        let wanted = match kind {
            Kind::Rate { per_s, burst } => {
                entry.demand.wanted * (1.0 + SPARE) / (per_s / f64::from(burst.max(1)))
            }
            Kind::Concurrency { .. } => {
                (entry.demand.wanted * (1.0 + SPARE)).max(f64::from(entry.meter.out()))
            }
            Kind::Window { .. } => {
                (entry.demand.wanted * self.in_window(kind)).max(f64::from(entry.meter.out()))
            }
        };
        (wanted.ceil() as u32).min(kind.units())
    }

    /// Passes time; gives what is to be said, and to whom.
    pub fn tick(&mut self, now: u64) -> Vec<(u32, Message)> {
        let mut out = Vec::new();
        if now < self.asked_ns.saturating_add(self.terms.round_ns()) {
            return out;
        }
        self.asked_ns = now;
        self.recovered(now);
        if let Some(recovery) = &self.recovery {
            let left = recovery.missing.iter().filter(|(_, parts)| !whole(parts));
            out.extend(left.map(|(peer, _)| (*peer, Message::Recall)));
        }
        let all: Vec<(u16, u64)> = self.keys.keys().copied().collect();
        for (limit, key) in all {
            self.settle(now, limit, key);
            self.ask_for(now, limit, key, &mut out);
        }
        out
    }

    /// Asks for what a key's clients want beyond its own units, and gives back what they want no longer.
    fn ask_for(&mut self, now: u64, limit: u16, key: u64, out: &mut Vec<(u32, Message)>) {
        let kind = self.kind(limit);
        let Some(entry) = self.keys.get(&(limit, key)) else { return };
        let wanted = self.wanted(limit, entry);
        let own = entry.escrow.own(now);
        let mut left = wanted.saturating_sub(own);
        let mut asks: Vec<(u32, u32)> = Vec::new();
        let mut held: Vec<(u32, u32)> = entry.escrow.held().collect();
        // From those that lend most first: the fewer lenders, the fewer datagrams.
        held.sort_by_key(|(owner, units)| (std::cmp::Reverse(*units), *owner));
        // What is out has to stay covered, whatever is wanted by now.
        let mut spare =
            (held.iter().map(|(_, units)| *units).sum::<u32>() + own).saturating_sub(entry.meter.out());
        for (owner, units) in &held {
            let kept = (*units).min(left);
            let given_up = (units - kept).min(spare);
            spare -= given_up;
            left = left.saturating_sub(units - given_up);
            // A return that is lost is repeated until the loan is over.
            asks.push((*owner, units - given_up));
        }
        let mut new = 0;
        let routers = self.terms.routers.max(1);
        for step in 1..routers {
            let peer = (self.me.number + step) % routers;
            if left == 0 || new >= NEW_ASKS {
                break;
            }
            if !self.reachable.contains(&peer) || entry.empty.contains_key(&peer) {
                continue;
            }
            let owned = self.terms.share(kind.units(), peer, key);
            match asks.iter_mut().find(|(owner, _)| *owner == peer) {
                Some((_, units)) if *units < owned => {
                    let more = (owned - *units).min(left);
                    (*units, left) = (*units + more, left - more);
                }
                None if owned > 0 => {
                    asks.push((peer, owned.min(left)));
                    left -= owned.min(left);
                    new += 1;
                }
                _ => {}
            }
        }
        let of = &self.slots[usize::from(limit)].limit;
        let (id, version) = (of.id(), of.version());
        let serial = &mut self.serial;
        let Some(entry) = self.keys.get_mut(&(limit, key)) else { return };
        for (owner, units) in asks {
            *serial += 1;
            entry.escrow.ask(now, owner, units, *serial);
            let number = *serial;
            out.push((owner, Message::Ask { limit: id, version, key, number, units }));
        }
    }

    /// Takes a message of a peer; gives what is to be said to it.
    pub fn hear(&mut self, now: u64, from: Peer, message: Message) -> Vec<Message> {
        // Guards against what an earlier life of a peer said, that comes late.
        let life = self.lives.entry(from.number).or_insert(from.life);
        if from.life < *life || from.number == self.me.number {
            return Vec::new();
        }
        let later = from.life > *life;
        *life = from.life;
        if later {
            self.outlived(now, from);
        }
        match message {
            Message::Ask { limit, version, key, number, units } => {
                // One that knows another size gets no answer: what it holds runs out by itself.
                let place = self.place(limit, version);
                place
                    .and_then(|place| self.asked(now, from, place, key, (number, units)))
                    .into_iter()
                    .collect()
            }
            Message::Grant { limit, version, key, number, units } => {
                if let Some(place) = self.place(limit, version) {
                    self.granted(now, from, place, key, (number, units));
                }
                Vec::new()
            }
            Message::Recall => self.tell_held(now, from),
            Message::Holds { life, round, part, parts, up_ns, held } => {
                if life == self.me.life {
                    self.take_held(now, from, (round, part, parts), up_ns, held);
                }
                Vec::new()
            }
        }
    }

    /// A peer lives again: what its earlier lives had out runs on for a while, and then all that they held is free.
    fn outlived(&mut self, now: u64, peer: Peer) {
        for ((limit, _), entry) in &mut self.keys {
            let run_on_ns = self.slots[usize::from(*limit)].limit.kind.run_on_ns(&self.terms);
            let until = now + self.terms.by_any_clock(run_on_ns);
            entry.escrow.outlived(peer, until);
        }
    }

    fn granted(&mut self, now: u64, from: Peer, limit: u16, key: u64, (number, units): (u64, u32)) {
        if !self.keys.contains_key(&(limit, key)) {
            return;
        }
        self.settle(now, limit, key);
        let again = now + self.terms.empty_ns();
        let run_out_ns = self.kind(limit).run_out_ns(&self.terms);
        let Some(entry) = self.keys.get_mut(&(limit, key)) else { return };
        let wanted = entry.escrow.granted(now, from, number, units, (&self.terms, run_out_ns));
        // It has nothing more for a while.
        if wanted.is_some_and(|wanted| units < wanted) {
            entry.empty.insert(from.number, again);
        }
    }

    fn asked(
        &mut self,
        now: u64,
        from: Peer,
        limit: u16,
        key: u64,
        (number, units): (u64, u32),
    ) -> Option<Message> {
        if !self.track(now, limit, key) {
            return None;
        }
        self.settle(now, limit, key);
        let entry = &self.keys[&(limit, key)];
        let keep = self.wanted(limit, entry).max(entry.meter.out());
        let run_out_ns = self.kind(limit).run_out_ns(&self.terms);
        let entry = self.keys.get_mut(&(limit, key))?;
        let units = entry.escrow.asked(now, (from, number), units, keep, (&self.terms, run_out_ns))?;
        // Lent units take their part of the bucket with them.
        self.settle(now, limit, key);
        let of = &self.slots[usize::from(limit)].limit;
        Some(Message::Grant { limit: of.id(), version: of.version(), key, number, units })
    }

    fn tell_held(&mut self, now: u64, owner: Peer) -> Vec<Message> {
        let mut held = Vec::new();
        for ((limit, key), entry) in &mut self.keys {
            entry.escrow.pass(now);
            let of = &self.slots[usize::from(*limit)].limit;
            let (limit, version, key) = (of.id(), of.version(), *key);
            let told = entry.escrow.told(now, owner);
            held.extend(told.into_iter().map(|(units, left_ns)| Held {
                limit,
                version,
                key,
                units,
                left_ns,
            }));
        }
        let mut chunks: Vec<Vec<Held>> = held.chunks(HELD_MOST).map(<[_]>::to_vec).collect();
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        self.serial += 1;
        let (parts, up_ns, round) = (chunks.len() as u16, now - self.started_ns, self.serial);
        let part =
            |(part, held)| Message::Holds { life: owner.life, round, part: part as u16, parts, up_ns, held };
        chunks.into_iter().enumerate().map(part).collect()
    }

    fn take_held(
        &mut self,
        now: u64,
        from: Peer,
        (round, part, parts): (u64, u16, u16),
        up_ns: u64,
        held: Vec<Held>,
    ) {
        let Some(recovery) = &mut self.recovery else { return };
        let Some(missing) = recovery.missing.get_mut(&from.number) else { return };
        if whole(missing) || missing.as_ref().is_some_and(|(before, _)| round < *before) {
            return;
        }
        let (before, left) = missing.get_or_insert_with(|| (round, (0..parts.max(1)).collect()));
        if *before != round {
            (*before, *left) = (round, (0..parts.max(1)).collect());
        }
        left.remove(&part);
        // An earlier life of the peer may have had work out on our units.
        let longest = self.slots.iter().map(|slot| slot.limit.kind.run_on_ns(&self.terms)).max().unwrap_or(0);
        let run_on = self.terms.by_any_clock(longest);
        recovery.run_on_until_ns = recovery.run_on_until_ns.max(now + run_on.saturating_sub(up_ns));
        for Held { limit, version, key, units, left_ns } in held {
            let Some(at) = self.slots.iter().position(|slot| slot.limit.id() == limit) else { continue };
            let place = at as u16;
            if !self.track(now, place, key) {
                continue;
            }
            let of = &self.slots[at].limit;
            // A unit of another size is worth something else.
            let other = of.version() != version && !matches!(of.kind, Kind::Concurrency { .. });
            let Some(entry) = self.keys.get_mut(&(place, key)) else { continue };
            entry.escrow.holds(now, from, units, left_ns, &self.terms);
            if other {
                entry.escrow.hold_back(now.saturating_add(self.terms.by_any_clock(left_ns)));
            }
        }
        self.recovered(now);
    }

    /// Ends the quiet once everybody has said what it holds, or once all that was lent must have run out.
    fn recovered(&mut self, now: u64) {
        let Some(recovery) = &self.recovery else { return };
        let answered = recovery.missing.values().all(whole);
        if answered {
            for slot in self.slots.iter_mut().filter(|slot| slot.told) {
                let end = match slot.limit.kind {
                    Kind::Rate { .. } => now,
                    kind @ (Kind::Concurrency { .. } | Kind::Window { .. }) => {
                        let own = self.terms.by_any_clock(kind.run_on_ns(&self.terms));
                        recovery.run_on_until_ns.max(self.started_ns + own).max(now)
                    }
                };
                slot.quiet_until_ns = slot.quiet_until_ns.min(end);
            }
            for ((limit, _), entry) in &mut self.keys {
                let slot = &self.slots[usize::from(*limit)];
                if slot.told {
                    entry.escrow.end_quiet(slot.quiet_until_ns);
                }
            }
        }
        if answered || self.slots.iter().all(|slot| now >= slot.quiet_until_ns) {
            self.recovery = None;
        }
    }
}
