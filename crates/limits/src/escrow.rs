//! Units of one key on one router: owned, leased out to peers, and leased in from peers.
//!
//! A holder requests a number of units from their owner, with a sequence number that increases with
//! each request. The holder's lease runs from the time of its request by its own clock. The owner
//! sets the units aside from the arrival of the request for [`LimitParams::owner_lease_ns`] by its
//! own clock, which is longer for any two clocks within the drift. Messages may be lost,
//! duplicated, delayed and reordered: an owner accepts only increasing sequence numbers, and a
//! holder caps a grant at the smallest amount requested since.

use std::collections::BTreeMap;

use crate::params::LimitParams;

/// Requests that may still be answered. Grants for older ones are ignored.
const MAX_PENDING_REQUESTS: usize = 8;

/// A router and its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer {
    /// Number of the router in the fleet.
    pub number: u32,
    /// Incarnation of the process: increases with each start.
    pub incarnation: u64,
}

/// Leases of the same units as pairs of units and expiry (ns). At most one of them is in effect, so
/// the largest counts. Owner and holder each store such a set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct LeaseSet(Vec<(u32, u64)>);

impl LeaseSet {
    /// Largest number of units of any lease that expires after `now`.
    fn units(&self, now: u64) -> u32 {
        self.0.iter().filter(|(_, until)| now < *until).map(|(units, _)| *units).max().unwrap_or(0)
    }

    fn add(&mut self, units: u32, until: u64) {
        // Leases that are no larger and expire no later are redundant.
        self.0.retain(|(held, to)| *held > units || *to > until);
        if units > 0 {
            self.0.push((units, until));
        }
    }

    /// Caps all leases at `units`.
    fn reduce_to(&mut self, units: u32) {
        self.0.iter_mut().for_each(|(held, _)| *held = (*held).min(units));
        self.0.retain(|(held, _)| *held > 0);
    }

    fn expire(&mut self, now: u64) {
        self.0.retain(|(_, until)| now < *until);
    }
}

/// Units leased to one holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct LeasedOut {
    leases: LeaseSet,
    last_request: u64,
}

/// Units leased from one owner. After expiry they admit nothing more, but cover earlier admissions
/// until these have drained.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct LeasedIn {
    /// Leases that admit requests, with expiry by the local clock.
    usable: LeaseSet,
    /// Leases that cover admissions, with the time by which these have drained.
    covering: LeaseSet,
    /// Requests that may still be answered: sequence number, time sent (ns), units.
    pending: Vec<(u64, u64, u32)>,
    /// The latest request has been answered.
    confirmed: bool,
    /// Latest known incarnation of the owner. Grants of earlier ones are ignored.
    incarnation: u64,
}

/// Units of one key on one router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Escrow {
    owned: u32,
    leased_out: BTreeMap<Peer, LeasedOut>,
    leased_in: BTreeMap<u32, LeasedIn>,
    /// End of the grace period (ns). Until then all owned units count as leased out, because a
    /// previous incarnation may have leased them.
    grace_until_ns: u64,
}

impl Escrow {
    /// Creates an escrow of `owned` units that count as leased out until `grace_until_ns`.
    pub fn new(owned: u32, grace_until_ns: u64) -> Escrow {
        Escrow { owned, grace_until_ns, ..Escrow::default() }
    }

    /// Ends the grace period at `at_ns`, once all peers have reported their leases.
    pub fn end_grace(&mut self, at_ns: u64) {
        self.grace_until_ns = self.grace_until_ns.min(at_ns);
    }

    /// Changes the number of owned units after a change of the limit. Existing leases keep the old
    /// size until they expire, and units leased in admit nothing more. If `unit_value_changed`, a
    /// unit is worth a different amount than before, and owned units are neither used nor leased
    /// until all existing leases have expired.
    pub fn resize(&mut self, now: u64, owned: u32, unit_value_changed: bool) {
        self.expire(now);
        self.owned = owned;
        for leased_in in self.leased_in.values_mut() {
            leased_in.usable.reduce_to(0);
            // Grants in transit are for the old size.
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

    /// Keeps owned units from being used or leased until `until_ns`.
    pub fn extend_grace(&mut self, until_ns: u64) {
        self.grace_until_ns = self.grace_until_ns.max(until_ns);
    }

    /// Drops leases that have expired by `now`. Call this before reading unit counts.
    pub fn expire(&mut self, now: u64) {
        self.leased_out.values_mut().for_each(|leased_out| leased_out.leases.expire(now));
        self.leased_out.retain(|_, leased_out| !leased_out.leases.0.is_empty());
        for leased_in in self.leased_in.values_mut() {
            leased_in.usable.expire(now);
            leased_in.covering.expire(now);
        }
        self.leased_in.retain(|_, b| !b.covering.0.is_empty() || !b.confirmed);
    }

    /// Owned units that are not leased out at any time from `since` on.
    pub fn unleased(&self, since: u64) -> u32 {
        if since < self.grace_until_ns {
            return 0;
        }
        self.owned.saturating_sub(self.leased_out())
    }

    /// Units leased out to peers.
    pub fn leased_out(&self) -> u32 {
        self.leased_out.values().map(|leased_out| leased_out.leases.units(0)).sum()
    }

    /// Units leased from peers that are usable at `now`.
    pub fn leased_in(&self, now: u64) -> u32 {
        self.leased_in.values().map(|b| b.usable.units(now)).sum()
    }

    /// Units usable at `now`. Call [`Escrow::expire`] first.
    pub fn usable(&self, now: u64) -> u32 {
        self.unleased(now) + self.leased_in(now)
    }

    /// Units usable throughout `since` to `now`, if nothing else changed in between.
    pub fn usable_throughout(&self, since: u64, now: u64) -> u32 {
        self.unleased(since) + self.leased_in(now)
    }

    /// Whether the grace period is over and no unit is leased out or in. The key can then be
    /// evicted.
    pub fn is_idle(&self, now: u64) -> bool {
        now >= self.grace_until_ns && self.leased_out() == 0 && self.leased_in(now) == 0
    }

    /// Owners with an active lease or an unconfirmed return, and the units held of each. Includes
    /// expired leases that still cover admissions.
    pub fn held(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.leased_in.iter().map(|(owner, b)| (*owner, b.covering.units(0)))
    }

    /// Records a request to hold `units` of an owner's units, under a sequence number above all
    /// earlier ones. Units beyond `units` are returned immediately, so no admission may rely on
    /// them.
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

    /// Applies an owner's grant. Returns the number of units requested, or `None` if the grant is
    /// ignored.
    pub fn apply_grant(
        &mut self,
        now: u64,
        owner: Peer,
        number: u64,
        units: u32,
        (params, drain_ns): (&LimitParams, u64),
    ) -> Option<u32> {
        let leased_in = self.leased_in.get_mut(&owner.number)?;
        let at = leased_in.pending.iter().position(|(n, ..)| *n == number)?;
        if owner.incarnation < leased_in.incarnation {
            return None;
        }
        let (_, requested_ns, requested) = leased_in.pending[at];
        // The owner may have processed a later, smaller request first.
        let max_units = leased_in.pending[at..].iter().map(|(.., units)| *units).min().unwrap_or(0);
        leased_in.confirmed |= at + 1 == leased_in.pending.len();
        leased_in.incarnation = owner.incarnation;
        leased_in.pending.drain(..=at);
        let until = requested_ns.saturating_add(params.lease_ns);
        if now < until {
            leased_in.usable.add(units.min(max_units), until);
            leased_in.covering.add(units.min(max_units), until.saturating_add(drain_ns));
        }
        Some(requested)
    }

    /// Handles a peer's request to hold `units` of the owned units, of which `reserved` are for
    /// local use. Returns the units granted, or `None` for an outdated request.
    pub fn handle_request(
        &mut self,
        now: u64,
        (from, number): (Peer, u64),
        units: u32,
        reserved: u32,
        (params, drain_ns): (&LimitParams, u64),
    ) -> Option<u32> {
        if self
            .leased_out
            .keys()
            .any(|peer| peer.number == from.number && peer.incarnation > from.incarnation)
        {
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
        // The holder has already returned units beyond its request.
        leased_out.leases.reduce_to(units);
        let free = if in_grace { 0 } else { self.owned.saturating_sub(others.saturating_add(reserved)) };
        let granted = units.min(free);
        leased_out.leases.add(granted, now.saturating_add(params.owner_lease_ns()).saturating_add(drain_ns));
        Some(granted)
    }

    /// Shortens the leases of earlier incarnations of a restarted peer to `until_ns`, when their
    /// remaining requests have ended.
    pub fn expire_earlier_incarnations(&mut self, restarted: Peer, until_ns: u64) {
        let earlier =
            |peer: &Peer| peer.number == restarted.number && peer.incarnation < restarted.incarnation;
        for (_, leased_out) in self.leased_out.iter_mut().filter(|(peer, _)| earlier(peer)) {
            leased_out.leases.0.iter_mut().for_each(|(_, until)| *until = (*until).min(until_ns));
        }
    }

    /// Units held of a restarted owner, with the time for which they still cover admissions (ns).
    /// Grants of the owner's earlier incarnations are ignored from here on.
    pub fn held_from(&mut self, now: u64, owner: Peer) -> Vec<(u32, u64)> {
        let Some(leased_in) = self.leased_in.get_mut(&owner.number) else { return Vec::new() };
        if owner.incarnation > leased_in.incarnation {
            leased_in.incarnation = owner.incarnation;
            // Grants in transit are from the earlier incarnation.
            leased_in.pending.clear();
            leased_in.confirmed = true;
        }
        let remaining = |(units, until): &(u32, u64)| (*until > now).then(|| (*units, until - now));
        leased_in.covering.0.iter().filter_map(remaining).collect()
    }

    /// Restores a lease from a peer's report. It was granted by an earlier incarnation of this
    /// router and has `left_ns` left by the peer's clock.
    pub fn restore_lease(&mut self, now: u64, from: Peer, units: u32, left_ns: u64, params: &LimitParams) {
        let remaining = params.peer_ns_upper_bound(left_ns);
        self.leased_out.entry(from).or_default().leases.add(units, now.saturating_add(remaining));
    }
}
