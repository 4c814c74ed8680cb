//! Compact table of the latest entry of every listed engine, sorted by engine id.

use std::net::SocketAddr;

use crate::{Change, Target};
use marljunction_control::interface::{EngineEntry, EngineId, EngineState, KindId, MembershipKind, ZoneId};

/// Stands for no zone or kind.
const NO_INDEX: u32 = u32::MAX;

/// Compact form of a [`Target`], two thirds of its size.
#[derive(Clone, Copy, Debug)]
struct CompactTarget {
    engine: EngineId,
    address: SocketAddr,
    zone: u32,
    kind: u32,
    cell: u64,
    weight: f64,
    started_ns: u64,
    state: EngineState,
    has_cell: bool,
    has_start: bool,
}

impl CompactTarget {
    fn of(target: &Target) -> CompactTarget {
        let EngineEntry { engine, zone, kind, cell, state, weight, started_ns } = target.entry;
        let number = |at: Option<usize>| at.and_then(|at| u32::try_from(at).ok()).unwrap_or(NO_INDEX);
        CompactTarget {
            engine,
            address: target.address,
            zone: number(zone.map(|zone| zone.0)),
            kind: number(kind.map(|kind| kind.0)),
            cell: cell.unwrap_or(0),
            weight,
            started_ns: started_ns.unwrap_or(0),
            state,
            has_cell: cell.is_some(),
            has_start: started_ns.is_some(),
        }
    }

    fn target(&self) -> Target {
        let number = |at: u32| (at != NO_INDEX).then_some(at as usize);
        let entry = EngineEntry {
            engine: self.engine,
            zone: number(self.zone).map(ZoneId),
            kind: number(self.kind).map(KindId),
            cell: self.has_cell.then_some(self.cell),
            state: self.state,
            weight: self.weight,
            started_ns: self.has_start.then_some(self.started_ns),
        };
        Target { entry, address: self.address }
    }
}

/// The listed engines.
#[derive(Clone, Debug, Default)]
pub struct ListedEngines {
    /// Sorted by engine, without duplicates and removed engines.
    entries: Vec<CompactTarget>,
}

impl ListedEngines {
    /// Number of listed engines.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no engine is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Latest entry of an engine, if it is listed.
    pub fn get(&self, engine: EngineId) -> Option<Target> {
        let at = self.entries.binary_search_by_key(&engine, |entry| entry.engine).ok()?;
        self.entries.get(at).map(CompactTarget::target)
    }

    /// All entries, sorted by engine.
    pub fn iter(&self) -> impl Iterator<Item = Target> + '_ {
        self.entries.iter().map(CompactTarget::target)
    }

    /// Applies a change. If it lists an engine twice, the last entry counts.
    pub fn apply(&mut self, change: &Change) {
        if change.kind == MembershipKind::Delta {
            return self.add(latest_by_engine(&change.targets));
        }
        // Freed first, so that the old and the new table are never in memory together.
        self.entries = Vec::new();
        self.entries = latest_by_engine(&change.targets);
        self.entries.retain(|entry| entry.state != EngineState::Gone);
    }

    fn add(&mut self, updates: Vec<CompactTarget>) {
        let (mut new, mut removed) = (Vec::new(), false);
        for engine in updates {
            removed |= engine.state == EngineState::Gone;
            match self.entries.binary_search_by_key(&engine.engine, |entry| entry.engine) {
                Ok(at) => self.entries[at] = engine,
                Err(_) => new.push(engine),
            }
        }
        if !new.is_empty() {
            self.entries.extend(new);
            // Two sorted runs: the sort merges them in one pass.
            self.entries.sort_by_key(|entry| entry.engine);
        }
        if removed {
            self.entries.retain(|entry| entry.state != EngineState::Gone);
        }
    }
}

/// The last entry of each engine, sorted by engine.
fn latest_by_engine(targets: &[Target]) -> Vec<CompactTarget> {
    let number = |(at, target): (usize, &Target)| (target.entry.engine, at);
    let mut order: Vec<(EngineId, usize)> = targets.iter().enumerate().map(number).collect();
    order.sort_unstable_by(|(a, first), (b, second)| a.cmp(b).then(second.cmp(first)));
    order.dedup_by_key(|(engine, _)| *engine);
    order.iter().map(|(_, at)| CompactTarget::of(&targets[*at])).collect()
}
