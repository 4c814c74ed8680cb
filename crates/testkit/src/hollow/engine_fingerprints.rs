//! A hollow router's engine list, reduced to a fingerprint of each engine and their sum.
//!
//! It uses 16 bytes per engine, so that thousands of routers with full lists fit on one machine.

use std::net::SocketAddr;

use marljunction_cells::{Engine, EngineState as CellEngineState, PartUpdate};
use marljunction_control::interface::{EngineState, MembershipKind};
use marljunction_discovery::{Change, Target};

use super::protocol::ListDigest;

/// The fingerprints of a router's engine list.
#[derive(Clone, Debug, Default)]
pub struct EngineFingerprints {
    /// Engine ID and fingerprint, sorted by ID.
    engines: Vec<(u64, u64)>,
    sum: u64,
}

impl EngineFingerprints {
    /// Applies a change from the list service.
    pub fn apply(&mut self, change: &Change) {
        match change.kind {
            MembershipKind::Full => self.replace(change.targets.iter().map(entry_of_target)),
            // Other kinds are not authoritative for engines that they do not contain.
            _ => change.targets.iter().map(entry_of_target).for_each(|(id, entry)| self.set(id, entry)),
        }
    }

    /// Applies an update of a cell's part from a relay.
    pub fn apply_part(&mut self, update: &PartUpdate) {
        match update {
            PartUpdate::Snapshot(engines) => self.replace(engines.iter().map(entry_of_engine)),
            PartUpdate::Delta(engines, removed) => {
                engines.iter().map(entry_of_engine).for_each(|(id, entry)| self.set(id, entry));
                removed.iter().for_each(|id| self.set(*id, None));
            }
        }
    }

    /// Digest of the list.
    pub fn digest(&self) -> ListDigest {
        ListDigest { engines: self.engines.len() as u64, sum: self.sum }
    }

    fn replace(&mut self, entries: impl Iterator<Item = (u64, Option<u64>)>) {
        self.engines = entries.filter_map(|(id, entry)| Some((id, entry?))).collect();
        self.engines.sort_unstable();
        self.sum = self.engines.iter().fold(0, |sum, (_, fingerprint)| sum.wrapping_add(*fingerprint));
    }

    /// Sets the fingerprint of an engine; none removes the engine.
    fn set(&mut self, engine: u64, entry: Option<u64>) {
        let index = self.engines.binary_search_by_key(&engine, |(listed, _)| *listed);
        let previous = index.ok().map_or(0, |index| self.engines[index].1);
        self.sum = self.sum.wrapping_sub(previous).wrapping_add(entry.unwrap_or(0));
        match (index, entry) {
            (Ok(index), Some(fingerprint)) => self.engines[index].1 = fingerprint,
            (Ok(index), None) => drop(self.engines.remove(index)),
            (Err(index), Some(fingerprint)) => self.engines.insert(index, (engine, fingerprint)),
            (Err(_), None) => {}
        }
    }
}

fn entry_of_target(target: &Target) -> (u64, Option<u64>) {
    let entry = &target.entry;
    let (id, draining) = (entry.engine.0, entry.state == EngineState::Draining);
    let value = fingerprint(id, target.address, draining, entry.started_ns.unwrap_or(0) / 1_000_000);
    (id, (entry.state != EngineState::Gone).then_some(value))
}

fn entry_of_engine(engine: &Engine) -> (u64, Option<u64>) {
    let draining = engine.state == CellEngineState::Draining;
    let value = fingerprint(engine.id, engine.address, draining, engine.started_ms);
    (engine.id, (engine.state != CellEngineState::Gone).then_some(value))
}

/// Hash of an engine's ID, address, state and start time.
pub fn fingerprint(engine: u64, address: SocketAddr, draining: bool, boot_ms: u64) -> u64 {
    let host = match address {
        SocketAddr::V4(v4) => u128::from(u32::from(*v4.ip())),
        SocketAddr::V6(v6) => u128::from(*v6.ip()),
    };
    let parts =
        [engine, host as u64, (host >> 64) as u64, u64::from(address.port()), u64::from(draining), boot_ms];
    parts.into_iter().fold(0x9e37_79b9_7f4a_7c15, |hash, part| mix_hash(hash ^ part))
}

/// The finalizer of splitmix64.
fn mix_hash(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
