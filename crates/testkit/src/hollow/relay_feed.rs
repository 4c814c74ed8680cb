//! Forwards the list service's changes from a hollow relay's stream to its fleet runtime.
//!
//! It mirrors the program's main loop, whose own functions can't be called from here.

use marljunction_cells::{Engine, PartUpdate};
use marljunction_control::interface::{EngineEntry, MembershipKind};
use marljunction_discovery::stream::Stream;
use marljunction_discovery::Change;
use marljunction_fleet::list::{removed_entry, to_cell_engine, to_engine_entry};
use marljunction_fleet::FleetRuntime;
use marljunction_settings::Names;

/// Time for which a stream must be open before it counts as complete (ns), unless it has delivered
/// the full list.
const MIN_CATCH_UP_NS: u64 = 1_000_000_000;

/// State of a relay's stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayFeed {
    /// Time at which the stream was opened (ns).
    open_since_ns: Option<u64>,
    /// Whether the stream has delivered the full list.
    has_full_list: bool,
}

impl RelayFeed {
    /// Passes changes from the list service to the fleet runtime.
    pub fn publish(
        &mut self,
        now: u64,
        stream: &Stream,
        fleet: &mut FleetRuntime,
        changes: &[Change],
        names: &Names,
    ) {
        let is_full = |change: &Change| change.kind == MembershipKind::Full;
        self.has_full_list |= changes.iter().any(is_full);
        let update = changes.iter().map(|change| (is_full(change), engines_of(change, names))).collect();
        fleet.update_list(now, stream.position().0, update);
    }

    /// Reports the age of the relay's list to the fleet runtime, once the list is complete.
    pub fn tick(&mut self, now: u64, stream: &Stream, fleet: &mut FleetRuntime) {
        if !stream.position().1 {
            *self = RelayFeed::default();
            return;
        }
        let since_ns = *self.open_since_ns.get_or_insert(now);
        if self.has_full_list || now >= since_ns + MIN_CATCH_UP_NS {
            fleet.record_list_service_contact(now, stream.stats().1.age_ns(now));
        }
    }
}

fn engines_of(change: &Change, names: &Names) -> Vec<Engine> {
    change.targets.iter().map(|target| to_cell_engine(&target.entry, target.address, names)).collect()
}

/// Converts an update of a cell's part for the decision module.
pub fn to_membership(update: &PartUpdate, names: &Names) -> (MembershipKind, Vec<EngineEntry>) {
    let entries = |engines: &[Engine]| engines.iter().map(|engine| to_engine_entry(engine, names)).collect();
    match update {
        PartUpdate::Snapshot(engines) => (MembershipKind::Full, entries(engines)),
        PartUpdate::Delta(engines, removed) => {
            let mut entries: Vec<EngineEntry> = entries(engines);
            entries.extend(removed.iter().map(|id| removed_entry(*id)));
            (MembershipKind::Delta, entries)
        }
    }
}
