//! Distribution of the engine list through relays: a relay forwards the list service's changes, and
//! a router of a cell receives its cell's part.
//!
//! Invariants: a relay publishes all changes of one read together, with the index of the last one;
//! it records contact with the list service only after missed changes must have arrived; a router
//! of a cell holds its cell's engines only.

use log::{info, warn};
use marljunction_cells::{CellConfig, Engine, PartUpdate};
use marljunction_control::interface::MembershipKind;
use marljunction_discovery::{Change, Target};
use marljunction_fleet::list::{removed_entry, to_cell_engine, to_engine_entry};
use marljunction_fleet::{FleetConfig, RouterIdentity};
use marljunction_settings::Names;

use super::Daemon;
use crate::config::{Config, RouterCount, StartConfig};

/// Time that a stream must be open before it counts as caught up, unless it has sent a full list.
/// The service sends missed events first, and then a comment each second.
const CATCH_UP_DELAY_NS: u64 = 1_000_000_000;
/// Placeholder for the address of a removed engine, which updates do not carry.
const UNSPECIFIED_ADDRESS: std::net::SocketAddr =
    std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// Engines that a relay publishes, and whether they are the whole list.
pub(super) type RelayUpdate = (bool, Vec<Engine>);

/// State of a relay's stream from the list service.
#[derive(Default)]
pub(super) struct RelayStream {
    /// When the stream was opened.
    open_since_ns: Option<u64>,
    /// The stream has sent a full list.
    has_full_list: bool,
}

/// Makes budgets be divided among the routers of this router's cell, if it has one, and returns it.
pub(super) fn apply_cell(
    config: &mut Config,
    start: &mut StartConfig,
    fleet: Option<&FleetConfig>,
    identity: &RouterIdentity,
) -> Option<CellConfig> {
    let fleet = fleet?;
    let cell = fleet.list.as_ref()?.cell(identity, &config.names, fleet.routers)?;
    (config.settings.router_count, config.settings.router_index) = (cell.routers_per_cell, cell.rank);
    start.routers = RouterCount::FromSettings;
    Some(cell)
}

/// Warns of classes that no engine of the cell can serve.
pub(super) fn warn_unservable_classes(config: &Config, cell: &CellConfig) {
    if cell.id.zone.is_none() {
        return;
    }
    for (class, name) in config.settings.classes.iter().zip(&config.names.classes) {
        let elsewhere = class.only_zones.as_ref().zip(config.settings.zone);
        if elsewhere.is_some_and(|(zones, own_zone)| !zones.contains(&own_zone)) {
            warn!("class {name} is served in other zones only, and this router's cell has no engines there");
        }
    }
}

/// Converts the engines of a change to the relays' format.
fn to_cell_engines(change: &Change, names: &Names) -> Vec<Engine> {
    change.targets.iter().map(|target| to_cell_engine(&target.entry, target.address, names)).collect()
}

fn to_target(engine: &Engine, names: &Names) -> Target {
    Target { entry: to_engine_entry(engine, names), address: engine.address }
}

/// Converts a relay's update to a change of the engine list.
fn to_change(update: PartUpdate, names: &Names) -> Change {
    match update {
        PartUpdate::Snapshot(engines) => Change {
            kind: MembershipKind::Full,
            targets: engines.iter().map(|engine| to_target(engine, names)).collect(),
        },
        PartUpdate::Delta(engines, removed) => {
            let removed = removed
                .into_iter()
                .map(|id| Target { entry: removed_entry(id), address: UNSPECIFIED_ADDRESS });
            let changed = engines.iter().map(|engine| to_target(engine, names));
            Change { kind: MembershipKind::Delta, targets: changed.chain(removed).collect() }
        }
    }
}

impl Daemon {
    /// Removes engines of other cells from a change, if this router has a cell.
    pub(super) fn retain_cell(&self, change: &mut Change) {
        let Some(subscriber) = self.fleet.as_ref().and_then(|fleet| fleet.subscriber()) else { return };
        let names = self.config.directory.names();
        let cell = subscriber.cell();
        change.targets.retain(|target| cell.contains(&to_cell_engine(&target.entry, target.address, names)));
    }

    /// Applies the updates received from relays.
    pub(super) fn apply_relay_updates(&mut self) {
        let Some(fleet) = &mut self.fleet else { return };
        for update in fleet.take_list_updates() {
            let change = to_change(update, self.config.directory.names());
            self.apply_list_change(change);
        }
    }

    /// On a relay, converts a change to the relays' format.
    pub(super) fn to_relay_update(&self, change: &Change) -> Option<RelayUpdate> {
        self.fleet.as_ref().filter(|fleet| fleet.relay().is_some())?;
        let is_full = change.kind == MembershipKind::Full;
        Some((is_full, to_cell_engines(change, self.config.directory.names())))
    }

    /// On a relay, publishes the updates that bring the list to the event `version`.
    pub(super) fn publish_list_updates(&mut self, now: u64, version: u64, updates: Vec<RelayUpdate>) {
        let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.relay().is_some()) else { return };
        self.engine_list.relay_stream.has_full_list |= updates.iter().any(|(is_full, _)| *is_full);
        fleet.update_list(now, version, updates);
    }

    /// On a relay, records how fresh its list is, once it cannot lack earlier changes.
    pub(super) fn record_list_freshness(&mut self, now: u64) {
        let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.relay().is_some()) else { return };
        let Some(source) = &self.engine_list.source else { return };
        let relay_stream = &mut self.engine_list.relay_stream;
        if !source.is_open() {
            *relay_stream = RelayStream::default();
            return;
        }
        let since_ns = *relay_stream.open_since_ns.get_or_insert(now);
        if relay_stream.has_full_list || now >= since_ns + CATCH_UP_DELAY_NS {
            let was_ready = fleet.relay().is_some_and(|relay| relay.is_ready());
            fleet.record_list_service_contact(now, source.age_ns(now));
            if let Some(relay) = fleet.relay().filter(|relay| relay.is_ready() && !was_ready) {
                info!("relay: ready to serve the full list of {} engines", relay.engines());
            }
        }
    }
}
