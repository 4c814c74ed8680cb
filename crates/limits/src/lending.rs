//! Borrows units from peers and lends them own ones.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::escrow::Peer;
use crate::ledger::{Entry, Ledger};
use crate::message::{Held, Message};
use crate::terms::Kind;

/// Peers that one key newly asks in one round (count).
const NEW_ASKS: usize = 64;
/// Loans told in one message (count): it fits a datagram.
const HELD_MOST: usize = 32;

/// How many units each peer is to be asked for, by its number.
type Asks = Vec<(u32, u32)>;

impl Ledger {
    /// Asks for what a key's clients want beyond its own units, and gives back what they want no longer. `serial` is the number of
    /// this router's latest message.
    pub(crate) fn ask_for(
        &mut self,
        now: u64,
        (limit, key): (u16, u64),
        reachable: &BTreeSet<u32>,
        serial: &mut u64,
    ) -> Vec<(u32, Message)> {
        let Some(entry) = self.keys.get(&(limit, key)) else { return Vec::new() };
        let wanted = self.wanted(limit, entry);
        let (mut asks, left) = asks_of_holders(now, entry, wanted);
        self.ask_others(limit, key, reachable, left, &mut asks);
        let of = &self.slots[usize::from(limit)].limit;
        let (id, version) = (of.id(), of.version());
        let Some(entry) = self.keys.get_mut(&(limit, key)) else { return Vec::new() };
        let mut messages = Vec::with_capacity(asks.len());
        for (owner, units) in asks {
            *serial += 1;
            let number = *serial;
            entry.escrow.ask(now, owner, units, number);
            messages.push((owner, Message::Ask { limit: id, version, key, number, units }));
        }
        messages
    }

    /// Asks peers that can be reached, and had something to lend, for what is still wanted.
    fn ask_others(&self, limit: u16, key: u64, reachable: &BTreeSet<u32>, mut left: u32, asks: &mut Asks) {
        let kind = self.kind(limit);
        let Some(entry) = self.keys.get(&(limit, key)) else { return };
        let mut new = 0;
        let routers = self.terms.routers.max(1);
        for step in 1..routers {
            let peer = (self.me.number + step) % routers;
            if left == 0 || new >= NEW_ASKS {
                break;
            }
            if !reachable.contains(&peer) || entry.empty.contains_key(&peer) {
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
    }

    /// A peer lends so many units, as an answer to an ask.
    pub(crate) fn granted(
        &mut self,
        now: u64,
        from: Peer,
        limit: u16,
        key: u64,
        (number, units): (u64, u32),
    ) {
        if !self.keys.contains_key(&(limit, key)) {
            return;
        }
        self.settle(now, limit, key);
        let again = now + self.terms.exhausted_backoff_ns();
        let drain_ns = self.kind(limit).drain_ns(&self.terms);
        let Some(entry) = self.keys.get_mut(&(limit, key)) else { return };
        let wanted = entry.escrow.granted(now, from, number, units, (&self.terms, drain_ns));
        // It has nothing more for a while.
        if wanted.is_some_and(|wanted| units < wanted) {
            entry.empty.insert(from.number, again);
        }
    }

    /// A peer asks for so many units; gives what it may hold.
    pub(crate) fn asked(
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
        let drain_ns = self.kind(limit).drain_ns(&self.terms);
        let entry = self.keys.get_mut(&(limit, key))?;
        let units = entry.escrow.asked(now, (from, number), units, keep, (&self.terms, drain_ns))?;
        // Lent units take their part of the bucket with them.
        self.settle(now, limit, key);
        let of = &self.slots[usize::from(limit)].limit;
        Some(Message::Grant { limit: of.id(), version: of.version(), key, number, units })
    }

    /// A peer lives again: what its earlier lives had out runs on for a while, and then all that they held is free.
    pub(crate) fn outlived(&mut self, now: u64, peer: Peer) {
        for ((limit, _), entry) in &mut self.keys {
            let orphan_ns = self.slots[usize::from(*limit)].limit.kind.orphan_ns(&self.terms);
            let until = now + self.terms.peer_ns_upper_bound(orphan_ns);
            entry.escrow.outlived(peer, until);
        }
    }

    /// All that this router holds of a peer's, as the answer of this number to its recall.
    pub(crate) fn tell_held(&mut self, now: u64, owner: Peer, round: u64) -> Vec<Message> {
        let held = self.held_of(now, owner);
        let mut chunks: Vec<Vec<Held>> = held.chunks(HELD_MOST).map(<[_]>::to_vec).collect();
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        let (parts, up_ns) = (chunks.len() as u16, now - self.started_ns);
        let part =
            |(part, held)| Message::Holds { life: owner.life, round, part: part as u16, parts, up_ns, held };
        chunks.into_iter().enumerate().map(part).collect()
    }

    fn held_of(&mut self, now: u64, owner: Peer) -> Vec<Held> {
        let mut held = Vec::new();
        for ((limit, key), entry) in &mut self.keys {
            entry.escrow.pass(now);
            let of = &self.slots[usize::from(*limit)].limit;
            let (limit, version, key) = (of.id(), of.version(), *key);
            for (units, left_ns) in entry.escrow.told(now, owner) {
                held.push(Held { limit, version, key, units, left_ns });
            }
        }
        held
    }

    /// Takes what a peer holds of this router's units, from an earlier life.
    pub(crate) fn take_held(&mut self, now: u64, from: Peer, held: Vec<Held>) {
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
                entry.escrow.hold_back(now.saturating_add(self.terms.peer_ns_upper_bound(left_ns)));
            }
        }
    }

    /// What a router that died had admitted goes on at most so long by any clock (ns), of all limits.
    pub(crate) fn longest_run_on_ns(&self) -> u64 {
        let longest = self.slots.iter().map(|slot| slot.limit.kind.orphan_ns(&self.terms)).max();
        self.terms.peer_ns_upper_bound(longest.unwrap_or(0))
    }
}

/// What is asked of those that lend already, and how many units are still wanted beyond.
fn asks_of_holders(now: u64, entry: &Entry, wanted: u32) -> (Asks, u32) {
    let own = entry.escrow.own(now);
    let mut left = wanted.saturating_sub(own);
    let mut asks = Vec::new();
    let mut held: Vec<(u32, u32)> = entry.escrow.held().collect();
    // From those that lend most first: the fewer lenders, the fewer datagrams.
    held.sort_by_key(|(owner, units)| (Reverse(*units), *owner));
    // What is out has to stay covered, whatever is wanted by now.
    let covered = held.iter().map(|(_, units)| *units).sum::<u32>() + own;
    let mut spare = covered.saturating_sub(entry.meter.out());
    for (owner, units) in held {
        let kept = units.min(left);
        let given_up = (units - kept).min(spare);
        spare -= given_up;
        left = left.saturating_sub(units - given_up);
        // A return that is lost is repeated until the loan is over.
        asks.push((owner, units - given_up));
    }
    (asks, left)
}
