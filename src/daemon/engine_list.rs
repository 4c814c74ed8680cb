//! Passes engine list changes from their source to the backend and the decision module: without
//! engines whose address belongs to another one, and with operators' exclusions.

use marljunction_discovery::address_owners::AddressOwners;
use marljunction_discovery::excluded_engines::ExcludedEngines;
use marljunction_discovery::stream::Update;
use marljunction_discovery::{Change, Source};
use marljunction_engine::Context;

use super::exclusions::Exclusions;
use super::relayed_list::RelayStream;
use super::snapshot::Snapshot;
use super::Daemon;

/// Source of the engine list, and state derived from it.
pub(super) struct EngineList {
    /// Client of the list service, if there is one.
    pub(super) source: Option<Source>,
    /// Engines whose address belongs to another one.
    pub(super) address_owners: AddressOwners,
    /// Snapshot on disk, for a start without the list service.
    pub(super) snapshot: Snapshot,
    /// Engines that operators excluded, and the latest list.
    pub(super) exclusions: Exclusions,
    /// State of a relay's stream from the list service.
    pub(super) relay_stream: RelayStream,
}

impl EngineList {
    /// Returns the engines that operators excluded, on this router or fleet-wide.
    pub(super) fn excluded_engines(&mut self) -> &mut ExcludedEngines {
        &mut self.exclusions.excluded_engines
    }
}

impl Daemon {
    /// Loads the initial engines: from the configuration, else from the snapshot.
    pub(super) fn load_engines(&mut self, mut known: Vec<Update>, max_snapshot_age_ns: u64) {
        self.read_exclusions(self.clock.now_ns());
        let any_known = known.iter().any(|update| !update.change.targets.is_empty());
        known.iter_mut().for_each(|update| self.retain_cell(&mut update.change));
        let last = known.iter().map(|update| update.index).max().unwrap_or(0);
        self.apply_source_changes(last, known.into_iter().map(|update| update.change).collect());
        if !any_known {
            self.read_snapshot(max_snapshot_age_ns);
        }
    }

    /// Reads a connection to the list service.
    pub(super) fn discovery_ready(&mut self, now: u64, conn: u64) {
        let Some(source) = &mut self.engine_list.source else { return };
        let changes = source.ready(now, &mut self.net, conn);
        let version = source.last_event();
        self.apply_source_changes(version, changes);
    }

    /// Applies changes that bring the list to the event `version`, and publishes them on a relay.
    fn apply_source_changes(&mut self, version: u64, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        let mut updates = Vec::new();
        for change in changes {
            let change = self.resolve_addresses(change);
            updates.extend(self.to_relay_update(&change));
            self.apply_resolved_change(change);
        }
        self.publish_list_updates(self.clock.now_ns(), version, updates);
    }

    /// Returns a change without work for engines whose address belongs to another one.
    fn resolve_addresses(&mut self, change: Change) -> Change {
        let now = self.clock.now_ns();
        let EngineList { address_owners, exclusions, .. } = &mut self.engine_list;
        address_owners.filter_change(exclusions.excluded_engines.listed(), change, now)
    }

    /// Applies a change of the engine list that is not published.
    pub(super) fn apply_list_change(&mut self, change: Change) {
        let change = self.resolve_addresses(change);
        self.apply_resolved_change(change);
    }

    /// Applies a change of the engine list, with operators' exclusions.
    fn apply_resolved_change(&mut self, change: Change) {
        self.engine_list.snapshot.list.changed();
        if let Some(health) = self.router.health() {
            health.change(change.kind, change.targets.iter().map(|target| target.entry));
        }
        let change = self.engine_list.excluded_engines().filter_change(change);
        self.notify(change);
    }

    /// Passes a change to the backend and the decision module.
    pub(super) fn notify(&mut self, change: Change) {
        let now = self.clock.now_ns();
        let mut context = Context { now, net: &mut self.net, router: &mut self.router };
        self.engines.apply_change(&mut context, &change);
        // Converts in place: guards against holding two copies of a large list.
        let mut entries: Vec<_> = change.targets.into_iter().map(|target| target.entry).collect();
        entries.shrink_to_fit();
        self.router.membership(change.kind, entries);
    }
}
