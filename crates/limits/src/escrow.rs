//! One router's units of one key: what it owns, has lent and has borrowed.
//!
//! A borrower asks to hold so many of an owner's units, under a number that grows with each ask. It holds what it was granted
//! from when it asked until a lease later by its own clock; an owner keeps them unused from when the ask came until
//! [`Terms::lender_ns`] later by its own, which is longer by any two clocks. Answers and asks may be lost, doubled, late and out
//! of order: an owner hears each number once and no older one, a borrower takes an answer for at most what it has asked for
//! since.

use std::collections::BTreeMap;

use crate::terms::Terms;

/// Asks whose answers are waited for (count): older ones are not worth an answer any more.
const MAX_PENDING_REQUESTS: usize = 8;

/// A router: its number, and when it started by whatever clock, larger with each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer {
    /// Its number.
    pub number: u32,
    /// Which of its lives.
    pub life: u64,
}

/// Units of one owner that one borrower may hold, and until when (ns): one of these at most at a time, so that the largest
/// counts. Both sides keep such a list of the same loan.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct LeaseSet(Vec<(u32, u64)>);

impl LeaseSet {
    /// The most that is held by any that lasts past `now` (count).
    fn units(&self, now: u64) -> u32 {
        self.0.iter().filter(|(_, until)| now < *until).map(|(units, _)| *units).max().unwrap_or(0)
    }

    fn add(&mut self, units: u32, until: u64) {
        // What lasts no longer and is no more says nothing further.
        self.0.retain(|(held, to)| *held > units || *to > until);
        if units > 0 {
            self.0.push((units, until));
        }
    }

    /// No more than so many are held from here on.
    fn reduce_to(&mut self, units: u32) {
        self.0.iter_mut().for_each(|(held, _)| *held = (*held).min(units));
        self.0.retain(|(held, _)| *held > 0);
    }

    fn expire(&mut self, now: u64) {
        self.0.retain(|(_, until)| now < *until);
    }
}

/// What a borrower may hold of ours.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct LeasedOut {
    leases: LeaseSet,
    last_request: u64,
}

/// What we hold of an owner's. Past its end nothing more is admitted on it, while what was admitted goes on: it covers that
/// until it has run out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct LeasedIn {
    /// Until when units may be used, by our clock.
    usable: LeaseSet,
    /// Until when they cover what was admitted on them.
    covering: LeaseSet,
    /// Asks that may still be answered: number, when, how many units.
    pending: Vec<(u64, u64, u32)>,
    /// The last ask has been answered.
    confirmed: bool,
    /// The owner's life that is believed.
    life: u64,
}

/// One router's units of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Escrow {
    owned: u32,
    leased_out: BTreeMap<Peer, LeasedOut>,
    leased_in: BTreeMap<u32, LeasedIn>,
    /// What an owner of an earlier life of ours can't know: all is lent until then (ns).
    grace_until_ns: u64,
}

impl Escrow {
    /// So many units of its own; they count as lent until `quiet_until_ns`.
    pub fn new(owned: u32, grace_until_ns: u64) -> Escrow {
        Escrow { owned, grace_until_ns, ..Escrow::default() }
    }

    /// Everybody has said what it holds: the units count as lent no longer.
    pub fn end_grace(&mut self, at_ns: u64) {
        self.grace_until_ns = self.grace_until_ns.min(at_ns);
    }

    /// The limit has another size from here on, of which so many units are owned. What was lent stays lent by the old size; where
    /// a unit is worth another amount by the new one (`worth`), nothing is used or lent until that is over. Nothing more is
    /// admitted on what is borrowed.
    pub fn resize(&mut self, now: u64, owned: u32, unit_value_changed: bool) {
        self.expire(now);
        self.owned = owned;
        for leased_in in self.leased_in.values_mut() {
            leased_in.usable.reduce_to(0);
            // Answers that are still on their way speak of the old size.
            leased_in.pending.clear();
            leased_in.confirmed = true;
        }
        if unit_value_changed {
            self.extend_grace(
                self.leased_out
                    .values()
                    .flat_map(|l| &l.leases.0)
                    .map(|(_, until)| *until)
                    .max()
                    .unwrap_or(0),
            );
        }
    }

    /// Nothing of its own is used or lent before then (ns).
    pub fn extend_grace(&mut self, until_ns: u64) {
        self.grace_until_ns = self.grace_until_ns.max(until_ns);
    }

    /// Passes time: what has run out is forgotten.
    pub fn expire(&mut self, now: u64) {
        self.leased_out.values_mut().for_each(|leased_out| leased_out.leases.expire(now));
        self.leased_out.retain(|_, leased_out| !leased_out.leases.0.is_empty());
        for leased_in in self.leased_in.values_mut() {
            leased_in.usable.expire(now);
            leased_in.covering.expire(now);
        }
        self.leased_in.retain(|_, b| !b.covering.0.is_empty() || !b.confirmed);
    }

    /// Own units that nobody else may use from `since` on (count).
    pub fn unleased(&self, since: u64) -> u32 {
        if since < self.grace_until_ns {
            return 0;
        }
        self.owned.saturating_sub(self.leased_out())
    }

    /// Units lent (count).
    pub fn leased_out(&self) -> u32 {
        self.leased_out.values().map(|leased_out| leased_out.leases.units(0)).sum()
    }

    /// Units borrowed that may be used now (count).
    pub fn leased_in(&self, now: u64) -> u32 {
        self.leased_in.values().map(|b| b.usable.units(now)).sum()
    }

    /// Units that may be used now (count). Call [`Escrow::expire`] first.
    pub fn usable(&self, now: u64) -> u32 {
        self.unleased(now) + self.leased_in(now)
    }

    /// Units that could be used all the time from `since` to `now`, where nothing but time passed between (count).
    pub fn usable_throughout(&self, since: u64, now: u64) -> u32 {
        self.unleased(since) + self.leased_in(now)
    }

    /// Nothing of it is out, so that it may be forgotten.
    pub fn is_idle(&self, now: u64) -> bool {
        now >= self.grace_until_ns && self.leased_out() == 0 && self.leased_in(now) == 0
    }

    /// Each owner of which something is held, or to whom a return was not confirmed, and how many units: those past their end
    /// too while they cover what was admitted on them.
    pub fn held(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.leased_in.iter().map(|(owner, b)| (*owner, b.covering.units(0)))
    }

    /// Asks to hold so many of an owner's units, under a number above all before. What is asked for less than is held is
    /// given up now: nothing may be out on it.
    pub fn request(&mut self, now: u64, owner: u32, units: u32, number: u64) {
        let leased_in = self.leased_in.entry(owner).or_default();
        leased_in.usable.reduce_to(units);
        leased_in.covering.reduce_to(units);
        leased_in.confirmed = false;
        leased_in.pending.push((number, now, units));
        if leased_in.pending.len() > MAX_PENDING_REQUESTS {
            leased_in.pending.remove(0);
        }
    }

    /// An owner's answer to an ask; gives how many were asked for, where the answer counts.
    pub fn apply_grant(
        &mut self,
        now: u64,
        owner: Peer,
        number: u64,
        units: u32,
        (terms, drain_ns): (&Terms, u64),
    ) -> Option<u32> {
        let leased_in = self.leased_in.get_mut(&owner.number)?;
        let at = leased_in.pending.iter().position(|(n, ..)| *n == number)?;
        if owner.life < leased_in.life {
            return None;
        }
        let (_, requested_ns, requested) = leased_in.pending[at];
        // What was asked for since bounds it: the owner may have heard that first.
        let most = leased_in.pending[at..].iter().map(|(.., units)| *units).min().unwrap_or(0);
        leased_in.confirmed |= at + 1 == leased_in.pending.len();
        leased_in.life = owner.life;
        leased_in.pending.drain(..=at);
        let until = requested_ns.saturating_add(terms.lease_ns);
        if now < until {
            leased_in.usable.add(units.min(most), until);
            leased_in.covering.add(units.min(most), until.saturating_add(drain_ns));
        }
        Some(requested)
    }

    /// A borrower asks to hold so many of our units; `keep` are those that we want for ourselves. Gives how many it may hold;
    /// nothing where the ask is old.
    pub fn handle_request(
        &mut self,
        now: u64,
        (from, number): (Peer, u64),
        units: u32,
        reserved: u32,
        (terms, drain_ns): (&Terms, u64),
    ) -> Option<u32> {
        if self.leased_out.keys().any(|peer| peer.number == from.number && peer.life > from.life) {
            return None;
        }
        let in_grace = now < self.grace_until_ns;
        let others: u32 =
            self.leased_out.iter().filter(|(peer, _)| **peer != from).map(|(_, l)| l.leases.units(0)).sum();
        let leased_out = self.leased_out.entry(from).or_default();
        if number <= leased_out.last_request {
            return None;
        }
        leased_out.last_request = number;
        // It has stopped using what it does not ask for.
        leased_out.leases.reduce_to(units);
        let free = if in_grace { 0 } else { self.owned.saturating_sub(others.saturating_add(reserved)) };
        let granted = units.min(free);
        leased_out.leases.add(granted, now.saturating_add(terms.owner_lease_ns()).saturating_add(drain_ns));
        Some(granted)
    }

    /// A later life of a peer was heard: what its earlier lives hold is over once what they had out has run on.
    pub fn expire_earlier_lives(&mut self, by: Peer, until_ns: u64) {
        let earlier = |peer: &Peer| peer.number == by.number && peer.life < by.life;
        for (_, leased_out) in self.leased_out.iter_mut().filter(|(peer, _)| earlier(peer)) {
            leased_out.leases.0.iter_mut().for_each(|(_, until)| *until = (*until).min(until_ns));
        }
    }

    /// What is held of an owner that has started again and asks: units, and for how long they still cover what is out (ns).
    /// Answers of its earlier lives are believed no longer.
    pub fn held_from(&mut self, now: u64, owner: Peer) -> Vec<(u32, u64)> {
        let Some(leased_in) = self.leased_in.get_mut(&owner.number) else { return Vec::new() };
        if owner.life > leased_in.life {
            leased_in.life = owner.life;
            // An answer that is still on its way was given by the earlier life.
            leased_in.pending.clear();
            leased_in.confirmed = true;
        }
        let left = |(units, until): &(u32, u64)| (*until > now).then(|| (*units, until - now));
        leased_in.covering.0.iter().filter_map(left).collect()
    }

    /// A peer says that it holds units of ours, lent by an earlier life, for so long still by its clock (ns).
    pub fn restore_lease(&mut self, now: u64, from: Peer, units: u32, left_ns: u64, terms: &Terms) {
        let left = terms.peer_ns_upper_bound(left_ns);
        self.leased_out.entry(from).or_default().leases.add(units, now.saturating_add(left));
    }
}
