//! News of the engines: from its source, through operators' exclusions, to the backend and the decision module.

use marljunction_discovery::bans::Bans;
use marljunction_discovery::stream::Update;
use marljunction_discovery::{Change, Source};
use marljunction_engine::Context;

use super::exclusions::Exclusions;
use super::relayed_list::RelayStream;
use super::snapshot::Snapshot;
use super::Daemon;

/// Where news of the engines comes from, and what is kept of it.
pub(super) struct EngineList {
    /// The list service; none where there is none.
    pub(super) source: Option<Source>,
    /// When and where the list is kept, for a start without the list service.
    pub(super) snapshot: Snapshot,
    /// Engines that operators took out, and the list as it was told last.
    pub(super) exclusions: Exclusions,
    /// What a relay's stream has brought.
    pub(super) relay_stream: RelayStream,
}

impl EngineList {
    /// The engines that operators took out, by this router or the whole fleet.
    pub(super) fn bans(&mut self) -> &mut Bans {
        &mut self.exclusions.bans
    }
}

impl Daemon {
    /// Takes the engines that are known at the start: exclusions first, then the configuration's list, else the kept one.
    pub(super) fn load_engines(&mut self, mut known: Vec<Update>, max_snapshot_age_ns: u64) {
        self.read_exclusions(self.clock.now_ns());
        let any_known = known.iter().any(|update| !update.change.targets.is_empty());
        known.iter_mut().for_each(|update| self.retain_cell(&mut update.change));
        if let Some(last) = known.iter().map(|update| update.index).max() {
            let changes: Vec<Change> = known.iter().map(|update| update.change.clone()).collect();
            self.publish_list_update(self.clock.now_ns(), last, &changes);
        }
        for update in known {
            self.apply_list_change(update.change);
        }
        if !any_known {
            self.read_snapshot(max_snapshot_age_ns);
        }
    }

    /// Takes what has come in on a connection to the list service.
    pub(super) fn discovery_ready(&mut self, now: u64, conn: u64) {
        let Some(source) = &mut self.engine_list.source else { return };
        let changes = source.ready(now, &mut self.net, conn);
        let version = source.last_event();
        if !changes.is_empty() {
            self.publish_list_update(now, version, &changes);
        }
        for change in changes {
            self.apply_list_change(change);
        }
    }

    /// News of the source: kept, and told through the exclusions.
    pub(super) fn apply_list_change(&mut self, change: Change) {
        self.engine_list.snapshot.list.changed();
        if let Some(health) = self.router.health() {
            health.change(change.kind, change.targets.iter().map(|target| target.entry));
        }
        let change = self.engine_list.bans().pass(change);
        self.notify(change);
    }

    /// Tells the backend and the decision module of a change.
    pub(super) fn notify(&mut self, change: Change) {
        let now = self.clock.now_ns();
        let mut context = Context { now, net: &mut self.net, router: &mut self.router };
        self.engines.apply_change(&mut context, &change);
        // In the place of the targets: guards against memory for both at once.
        let mut entries: Vec<_> = change.targets.into_iter().map(|target| target.entry).collect();
        entries.shrink_to_fit();
        self.router.membership(change.kind, entries);
    }
}
