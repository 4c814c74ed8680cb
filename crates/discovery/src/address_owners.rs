//! Decides which engine holds an address that several listed engines name.
//!
//! Only one process listens at an address. Where another engine appears at the address of a listed
//! one, the process of that one has gone, and the list says so later. Until then it is reported as
//! draining, so that no work meant for it reaches the other engine, beyond that one's own share and
//! even while that one drains. Once it alone names its address, it is reported as just started.
//!
//! Engines whose claims to an address do not differ are left as they are. No I/O and no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use log::info;
use marljunction_control::interface::{EngineId, EngineState, MembershipKind};

use crate::listed_engines::ListedEngines;
use crate::{Change, Target};

/// An engine that names an address, and how strong its claim is.
struct Claim {
    target: Target,
    strength: Strength,
}

/// Claims to an address, compared in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Strength {
    /// The engine names the address for the first time.
    is_new: bool,
    started_ns: u64,
    is_owner: bool,
}

/// Listed engines whose address belongs to another engine by now.
#[derive(Debug, Default)]
pub struct AddressOwners {
    /// Their latest entries from the source.
    superseded: BTreeMap<EngineId, Target>,
}

impl AddressOwners {
    /// Starts with no engine superseded.
    pub fn new() -> Self {
        AddressOwners::default()
    }

    /// Returns a change from the source as the rest of the program should see it. `listed` holds the
    /// engines listed before it, and `now_ns` is the start that a restored engine is reported with.
    pub fn filter_change(&mut self, listed: &ListedEngines, mut change: Change, now_ns: u64) -> Change {
        let addresses = self.contested_addresses(&change);
        let before = std::mem::take(&mut self.superseded);
        if addresses.is_empty() && before.is_empty() {
            return change;
        }
        let claims = claims(listed, &change, &before, &addresses);
        self.superseded = superseded_by(claims);
        for target in self.superseded.values().filter(|target| !before.contains_key(&target.entry.engine)) {
            info!(
                "engine {:016x}: another one is listed at its address {}",
                target.entry.engine.0, target.address
            );
        }
        self.report_superseded(&before, &mut change);
        self.report_restored(listed, &before, &mut change, now_ns);
        change
    }

    /// Addresses that several engines may name after a change, sorted.
    fn contested_addresses(&self, change: &Change) -> Vec<SocketAddr> {
        let named = change.targets.iter().filter(|target| target.entry.state != EngineState::Gone);
        let mut addresses: Vec<SocketAddr> = named.map(|target| target.address).collect();
        if change.kind == MembershipKind::Delta {
            addresses.extend(self.superseded.values().map(|target| target.address));
            addresses.sort_unstable();
            addresses.dedup();
            return addresses;
        }
        // A full list is contested only where it names an address twice.
        addresses.sort_unstable();
        let repeated = addresses.chunk_by(|a, b| a == b).filter(|same| same.len() > 1);
        repeated.map(|same| same[0]).collect()
    }

    /// Reports superseded engines as draining, unless they were reported so before.
    fn report_superseded(&self, before: &BTreeMap<EngineId, Target>, change: &mut Change) {
        let mut reported = BTreeSet::new();
        for target in change.targets.iter_mut().filter(|t| self.superseded.contains_key(&t.entry.engine)) {
            reported.insert(target.entry.engine);
            set_draining(target);
        }
        reported.extend(before.keys().copied());
        let others = self.superseded.iter().filter(|(engine, _)| !reported.contains(engine));
        for (_, target) in others {
            change.targets.push(*target);
            change.targets.last_mut().into_iter().for_each(set_draining);
        }
    }

    /// Reports engines that are no longer superseded as just started.
    fn report_restored(
        &self,
        listed: &ListedEngines,
        before: &BTreeMap<EngineId, Target>,
        change: &mut Change,
        now_ns: u64,
    ) {
        let is_restored =
            |engine: &EngineId| before.contains_key(engine) && !self.superseded.contains_key(engine);
        let mut reported = BTreeSet::new();
        for target in change.targets.iter_mut().filter(|target| is_restored(&target.entry.engine)) {
            reported.insert(target.entry.engine);
            set_started(target, now_ns);
        }
        if change.kind != MembershipKind::Delta {
            return;
        }
        let others = before.iter().filter(|(engine, _)| is_restored(engine) && !reported.contains(engine));
        for (engine, target) in others {
            if listed.get(*engine).is_some() {
                change.targets.push(*target);
                change.targets.last_mut().into_iter().for_each(|target| set_started(target, now_ns));
            }
        }
    }
}

/// The claims to these addresses after a change.
fn claims(
    listed: &ListedEngines,
    change: &Change,
    before: &BTreeMap<EngineId, Target>,
    addresses: &[SocketAddr],
) -> Vec<Claim> {
    let mut changed = ListedEngines::default();
    changed.apply(change);
    let unchanged = others(listed, change).map(|target| *before.get(&target.entry.engine).unwrap_or(&target));
    let claim = |target: Target| {
        let engine = target.entry.engine;
        let strength = Strength {
            is_new: listed.get(engine).is_none_or(|listed| listed.address != target.address),
            started_ns: target.entry.started_ns.unwrap_or(0),
            is_owner: !before.contains_key(&engine),
        };
        Claim { target, strength }
    };
    let named = changed.iter().chain(unchanged);
    named.filter(|target| addresses.binary_search(&target.address).is_ok()).map(claim).collect()
}

/// The listed engines that a delta does not name; none for a full list.
fn others<'a>(listed: &'a ListedEngines, change: &Change) -> impl Iterator<Item = Target> + 'a {
    let is_delta = change.kind == MembershipKind::Delta;
    let mut named: Vec<EngineId> = change.targets.iter().map(|target| target.entry.engine).collect();
    named.sort_unstable();
    let is_named = move |target: &Target| named.binary_search(&target.entry.engine).is_ok();
    listed.iter().filter(move |target| is_delta && !is_named(target))
}

/// The engines whose claim is weaker than another one to the same address.
fn superseded_by(mut claims: Vec<Claim>) -> BTreeMap<EngineId, Target> {
    claims.sort_unstable_by_key(|claim| claim.target.address);
    let mut superseded = BTreeMap::new();
    for rivals in claims.chunk_by(|a, b| a.target.address == b.target.address) {
        let strongest = rivals.iter().map(|claim| claim.strength).max();
        let weaker = rivals.iter().filter(|claim| Some(claim.strength) < strongest);
        superseded.extend(weaker.map(|claim| (claim.target.entry.engine, claim.target)));
    }
    superseded
}

fn set_draining(target: &mut Target) {
    if target.entry.state == EngineState::Ready {
        target.entry.state = EngineState::Draining;
    }
}

fn set_started(target: &mut Target, now_ns: u64) {
    if target.entry.state == EngineState::Gone {
        return;
    }
    target.entry.started_ns = Some(now_ns.max(target.entry.started_ns.unwrap_or(0)));
}
