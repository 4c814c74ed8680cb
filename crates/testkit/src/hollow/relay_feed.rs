//! What a hollow relay does with the list service's news, as the program does it in its loop.
//!
//! The program's own functions are part of its loop; these few lines follow them, over the same runtime.

use marljunction_cells::{Engine, PartUpdate};
use marljunction_control::interface::{EngineEntry, MembershipKind};
use marljunction_discovery::stream::Stream;
use marljunction_discovery::Change;
use marljunction_fleet::list::{removed_entry, to_cell_engine, to_engine_entry};
use marljunction_fleet::FleetRuntime;
use marljunction_settings::Names;

/// Time for which a stream must be open before what is heard on it tells that nothing was missed (ns), unless the whole list came on
/// it.
const CATCH_UP_NS: u64 = 1_000_000_000;

/// What a relay's stream has brought.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayFeed {
    /// Since when the stream is open (ns).
    open_since_ns: Option<u64>,
    /// Whether the whole list has come on it.
    whole: bool,
}

impl RelayFeed {
    /// Tells routers what the list service told.
    pub fn tell(
        &mut self,
        now: u64,
        stream: &Stream,
        fleet: &mut FleetRuntime,
        changes: &[Change],
        names: &Names,
    ) {
        let is_whole = |change: &Change| change.kind == MembershipKind::Full;
        self.whole |= changes.iter().any(is_whole);
        let news = changes.iter().map(|change| (is_whole(change), engines_of(change, names))).collect();
        fleet.update_list(now, stream.position().0, news);
    }

    /// Tells a relay's routers how old its news is, once nothing of it can be missing.
    pub fn pass_time(&mut self, now: u64, stream: &Stream, fleet: &mut FleetRuntime) {
        if !stream.position().1 {
            *self = RelayFeed::default();
            return;
        }
        let since_ns = *self.open_since_ns.get_or_insert(now);
        if self.whole || now >= since_ns + CATCH_UP_NS {
            fleet.record_list_service_contact(now, stream.stats().1.age_ns(now));
        }
    }
}

fn engines_of(change: &Change, names: &Names) -> Vec<Engine> {
    change.targets.iter().map(|target| to_cell_engine(&target.entry, target.address, names)).collect()
}

/// What the module is told of news of a part.
pub fn membership_of(news: &PartUpdate, names: &Names) -> (MembershipKind, Vec<EngineEntry>) {
    let entries = |engines: &[Engine]| engines.iter().map(|engine| to_engine_entry(engine, names)).collect();
    match news {
        PartUpdate::Snapshot(engines) => (MembershipKind::Full, entries(engines)),
        PartUpdate::Delta(engines, gone) => {
            let mut entries: Vec<EngineEntry> = entries(engines);
            entries.extend(gone.iter().map(|id| removed_entry(*id)));
            (MembershipKind::Delta, entries)
        }
    }
}
