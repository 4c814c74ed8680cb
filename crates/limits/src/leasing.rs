//! Borrows units from peers and lends them own ones.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::escrow::Peer;
use crate::ledger::{Entry, Ledger};
use crate::message::{HeldLease, Message};
use crate::terms::Kind;

/// Peers that one key newly asks in one round (count).
const MAX_NEW_OWNERS: usize = 64;
/// Loans told in one message (count): it fits a datagram.
const MAX_LEASES_PER_REPORT: usize = 32;

/// How many units each peer is to be asked for, by its number.
type Requests = Vec<(u32, u32)>;

impl Ledger {
    /// Asks for what a key's clients want beyond its own units, and gives back what they want no longer. `serial` is the number of
    /// this router's latest message.
    pub(crate) fn request_leases(
        &mut self,
        now: u64,
        (limit, key): (u16, u64),
        reachable: &BTreeSet<u32>,
        sequence: &mut u64,
    ) -> Vec<(u32, Message)> {
        let Some(entry) = self.keys.get(&(limit, key)) else { return Vec::new() };
        let demanded = self.demanded(limit, entry);
        let (mut requests, remaining) = requests_to_current_owners(now, entry, demanded);
        self.request_from_others(limit, key, reachable, remaining, &mut requests);
        let of = &self.slots[usize::from(limit)].limit;
        let (id, version) = (of.id(), of.version());
        let Some(entry) = self.keys.get_mut(&(limit, key)) else { return Vec::new() };
        let mut messages = Vec::with_capacity(requests.len());
        for (owner, units) in requests {
            *sequence += 1;
            let number = *sequence;
            entry.escrow.request(now, owner, units, number);
            messages.push((owner, Message::Request { limit: id, version, key, number, units }));
        }
        messages
    }

    /// Asks peers that can be reached, and had something to lend, for what is still wanted.
    fn request_from_others(
        &self,
        limit: u16,
        key: u64,
        reachable: &BTreeSet<u32>,
        mut remaining: u32,
        requests: &mut Requests,
    ) {
        let kind = self.kind(limit);
        let Some(entry) = self.keys.get(&(limit, key)) else { return };
        let mut new_owners = 0;
        let routers = self.terms.routers.max(1);
        for step in 1..routers {
            let peer = (self.me.number + step) % routers;
            if remaining == 0 || new_owners >= MAX_NEW_OWNERS {
                break;
            }
            if !reachable.contains(&peer) || entry.exhausted.contains_key(&peer) {
                continue;
            }
            let owned = self.terms.share(kind.units(), peer, key);
            match requests.iter_mut().find(|(owner, _)| *owner == peer) {
                Some((_, units)) if *units < owned => {
                    let more = (owned - *units).min(remaining);
                    (*units, remaining) = (*units + more, remaining - more);
                }
                None if owned > 0 => {
                    requests.push((peer, owned.min(remaining)));
                    remaining -= owned.min(remaining);
                    new_owners += 1;
                }
                _ => {}
            }
        }
    }

    /// A peer lends so many units, as an answer to an ask.
    pub(crate) fn apply_grant(
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
        self.refresh(now, limit, key);
        let retry_ns = now + self.terms.exhausted_backoff_ns();
        let drain_ns = self.kind(limit).drain_ns(&self.terms);
        let Some(entry) = self.keys.get_mut(&(limit, key)) else { return };
        let requested = entry.escrow.apply_grant(now, from, number, units, (&self.terms, drain_ns));
        // It has nothing more for a while.
        if requested.is_some_and(|requested| units < requested) {
            entry.exhausted.insert(from.number, retry_ns);
        }
    }

    /// A peer asks for so many units; gives what it may hold.
    pub(crate) fn handle_request(
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
        self.refresh(now, limit, key);
        let entry = &self.keys[&(limit, key)];
        let reserved = self.demanded(limit, entry).max(entry.meter.in_flight());
        let drain_ns = self.kind(limit).drain_ns(&self.terms);
        let entry = self.keys.get_mut(&(limit, key))?;
        let units =
            entry.escrow.handle_request(now, (from, number), units, reserved, (&self.terms, drain_ns))?;
        // Lent units take their part of the bucket with them.
        self.refresh(now, limit, key);
        let of = &self.slots[usize::from(limit)].limit;
        Some(Message::Grant { limit: of.id(), version: of.version(), key, number, units })
    }

    /// A peer lives again: what its earlier lives had out runs on for a while, and then all that they held is free.
    pub(crate) fn expire_earlier_lives(&mut self, now: u64, peer: Peer) {
        for ((limit, _), entry) in &mut self.keys {
            let orphan_ns = self.slots[usize::from(*limit)].limit.kind.orphan_ns(&self.terms);
            let until = now + self.terms.peer_ns_upper_bound(orphan_ns);
            entry.escrow.expire_earlier_lives(peer, until);
        }
    }

    /// All that this router holds of a peer's, as the answer of this number to its recall.
    pub(crate) fn lease_report(&mut self, now: u64, owner: Peer, round: u64) -> Vec<Message> {
        let held = self.leases_held_from(now, owner);
        let mut chunks: Vec<Vec<HeldLease>> = held.chunks(MAX_LEASES_PER_REPORT).map(<[_]>::to_vec).collect();
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        let (parts, up_ns) = (chunks.len() as u16, now - self.started_ns);
        let part =
            |(part, held)| Message::Report { life: owner.life, round, part: part as u16, parts, up_ns, held };
        chunks.into_iter().enumerate().map(part).collect()
    }

    fn leases_held_from(&mut self, now: u64, owner: Peer) -> Vec<HeldLease> {
        let mut held = Vec::new();
        for ((limit, key), entry) in &mut self.keys {
            entry.escrow.expire(now);
            let of = &self.slots[usize::from(*limit)].limit;
            let (limit, version, key) = (of.id(), of.version(), *key);
            for (units, left_ns) in entry.escrow.held_from(now, owner) {
                held.push(HeldLease { limit, version, key, units, left_ns });
            }
        }
        held
    }

    /// Takes what a peer holds of this router's units, from an earlier life.
    pub(crate) fn restore_leases(&mut self, now: u64, from: Peer, held: Vec<HeldLease>) {
        for HeldLease { limit, version, key, units, left_ns } in held {
            let Some(at) = self.slots.iter().position(|slot| slot.limit.id() == limit) else { continue };
            let limit_index = at as u16;
            if !self.track(now, limit_index, key) {
                continue;
            }
            let of = &self.slots[at].limit;
            // A unit of another size is worth something else.
            let unit_value_changed = of.version() != version && !matches!(of.kind, Kind::Concurrency { .. });
            let Some(entry) = self.keys.get_mut(&(limit_index, key)) else { continue };
            entry.escrow.restore_lease(now, from, units, left_ns, &self.terms);
            if unit_value_changed {
                entry.escrow.extend_grace(now.saturating_add(self.terms.peer_ns_upper_bound(left_ns)));
            }
        }
    }

    /// What a router that died had admitted goes on at most so long by any clock (ns), of all limits.
    pub(crate) fn max_orphan_ns(&self) -> u64 {
        let longest = self.slots.iter().map(|slot| slot.limit.kind.orphan_ns(&self.terms)).max();
        self.terms.peer_ns_upper_bound(longest.unwrap_or(0))
    }
}

/// What is asked of those that lend already, and how many units are still wanted beyond.
fn requests_to_current_owners(now: u64, entry: &Entry, demanded: u32) -> (Requests, u32) {
    let unleased = entry.escrow.unleased(now);
    let mut remaining = demanded.saturating_sub(unleased);
    let mut requests = Vec::new();
    let mut held: Vec<(u32, u32)> = entry.escrow.held().collect();
    // From those that lend most first: the fewer lenders, the fewer datagrams.
    held.sort_by_key(|(owner, units)| (Reverse(*units), *owner));
    // What is out has to stay covered, whatever is wanted by now.
    let covered = held.iter().map(|(_, units)| *units).sum::<u32>() + unleased;
    let mut spare = covered.saturating_sub(entry.meter.in_flight());
    for (owner, units) in held {
        let needed = units.min(remaining);
        let returned = (units - needed).min(spare);
        spare -= returned;
        remaining = remaining.saturating_sub(units - returned);
        // A return that is lost is repeated until the loan is over.
        requests.push((owner, units - returned));
    }
    (requests, remaining)
}
