//! Requests leases of units from peers and grants leases of owned units.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::escrow::Peer;
use crate::ledger::{Entry, Ledger};
use crate::message::{HeldLease, Message};
use crate::params::Kind;

/// Peers newly asked for units of one key per request interval.
const MAX_NEW_OWNERS: usize = 64;
/// Leases in one report message, so that it fits into a datagram.
const MAX_LEASES_PER_REPORT: usize = 32;

/// Owners' numbers, with the units to hold of each.
type Requests = Vec<(u32, u32)>;

impl Ledger {
    /// Requests the units of a key that clients need beyond the owned ones, and returns units no
    /// longer needed. `sequence` is the sequence number of the router's latest message.
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

    /// Adds requests to reachable peers for the units still needed, except to peers that recently
    /// granted too little.
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
        let routers = self.params.routers.max(1);
        for step in 1..routers {
            let peer = (self.me.number + step) % routers;
            if remaining == 0 || new_owners >= MAX_NEW_OWNERS {
                break;
            }
            if !reachable.contains(&peer) || entry.exhausted.contains_key(&peer) {
                continue;
            }
            let owned = self.params.share(kind.units(), peer, key);
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

    /// Applies a peer's grant.
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
        let retry_ns = now + self.params.exhausted_backoff_ns();
        let drain_ns = self.kind(limit).drain_ns(&self.params);
        let Some(entry) = self.keys.get_mut(&(limit, key)) else { return };
        let requested = entry.escrow.apply_grant(now, from, number, units, (&self.params, drain_ns));
        // Guards against requesting units that the peer does not have.
        if requested.is_some_and(|requested| units < requested) {
            entry.exhausted.insert(from.number, retry_ns);
        }
    }

    /// Handles a peer's request for units. Returns the grant.
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
        let drain_ns = self.kind(limit).drain_ns(&self.params);
        let entry = self.keys.get_mut(&(limit, key))?;
        let units =
            entry.escrow.handle_request(now, (from, number), units, reserved, (&self.params, drain_ns))?;
        // Takes the tokens of leased units out of the bucket.
        self.refresh(now, limit, key);
        let of = &self.slots[usize::from(limit)].limit;
        Some(Message::Grant { limit: of.id(), version: of.version(), key, number, units })
    }

    /// Handles the restart of a peer. Requests of its earlier incarnations run on for a while;
    /// after that all units that they held are free.
    pub(crate) fn expire_earlier_incarnations(&mut self, now: u64, peer: Peer) {
        for ((limit, _), entry) in &mut self.keys {
            let orphan_ns = self.slots[usize::from(*limit)].limit.kind.orphan_ns(&self.params);
            let until = now + self.params.peer_ns_upper_bound(orphan_ns);
            entry.escrow.expire_earlier_incarnations(peer, until);
        }
    }

    /// Reports all units held of `owner`, in answer to its query. `round` is the sequence number of
    /// the report.
    pub(crate) fn lease_report(&mut self, now: u64, owner: Peer, round: u64) -> Vec<Message> {
        let held = self.leases_held_from(now, owner);
        let mut chunks: Vec<Vec<HeldLease>> = held.chunks(MAX_LEASES_PER_REPORT).map(<[_]>::to_vec).collect();
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        let (parts, up_ns) = (chunks.len() as u16, now - self.started_ns);
        let part = |(part, held)| Message::Report {
            incarnation: owner.incarnation,
            round,
            part: part as u16,
            parts,
            up_ns,
            held,
        };
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

    /// Restores the leases that an earlier incarnation of this router granted to a peer.
    pub(crate) fn restore_leases(&mut self, now: u64, from: Peer, held: Vec<HeldLease>) {
        for HeldLease { limit, version, key, units, left_ns } in held {
            let Some(at) = self.slots.iter().position(|slot| slot.limit.id() == limit) else { continue };
            let limit_index = at as u16;
            if !self.track(now, limit_index, key) {
                continue;
            }
            let of = &self.slots[at].limit;
            // The lease counts in units of another value.
            let unit_value_changed = of.version() != version && !matches!(of.kind, Kind::Concurrency { .. });
            let Some(entry) = self.keys.get_mut(&(limit_index, key)) else { continue };
            entry.escrow.restore_lease(now, from, units, left_ns, &self.params);
            if unit_value_changed {
                entry.escrow.extend_grace(now.saturating_add(self.params.peer_ns_upper_bound(left_ns)));
            }
        }
    }

    /// Longest time over all limits that admissions of a crashed router continue to count, by any
    /// clock within the drift (ns).
    pub(crate) fn max_orphan_ns(&self) -> u64 {
        let longest = self.slots.iter().map(|slot| slot.limit.kind.orphan_ns(&self.params)).max();
        self.params.peer_ns_upper_bound(longest.unwrap_or(0))
    }
}

/// Requests to the owners of units held already, and the units still needed beyond those.
fn requests_to_current_owners(now: u64, entry: &Entry, demanded: u32) -> (Requests, u32) {
    let unleased = entry.escrow.unleased(now);
    let mut remaining = demanded.saturating_sub(unleased);
    let mut requests = Vec::new();
    let mut held: Vec<(u32, u32)> = entry.escrow.held().collect();
    // Largest first, which takes the fewest owners and datagrams.
    held.sort_by_key(|(owner, units)| (Reverse(*units), *owner));
    // Admissions in flight must stay covered, whatever the demand is now.
    let covered = held.iter().map(|(_, units)| *units).sum::<u32>() + unleased;
    let mut spare = covered.saturating_sub(entry.meter.in_flight());
    for (owner, units) in held {
        let needed = units.min(remaining);
        let returned = (units - needed).min(spare);
        spare -= returned;
        remaining = remaining.saturating_sub(units - returned);
        // Repeated until the lease expires, in case the message that returns units is lost.
        requests.push((owner, units - returned));
    }
    (requests, remaining)
}
