//! The list of engines by way of relays: a relay tells on what the list service told it, a router of a cell learns its part.
//!
//! Invariants: a relay takes the news of one read at once, under the number of the last of them; it counts the list service as
//! heard only once what it missed must have come; a router of a cell takes nothing of the list but its cell's engines.

use log::{info, warn};
use marljunction_cells::{CellConfig, Engine, PartNews};
use marljunction_control::interface::MembershipKind;
use marljunction_discovery::{Change, Target};
use marljunction_fleet::list::{removed_entry, to_cell_engine, to_engine_entry};
use marljunction_fleet::{FleetConfig, RouterIdentity};
use marljunction_settings::Names;

use super::Daemon;
use crate::config::{Config, RouterCount, StartConfig};

/// Time for which a stream must be open before what is heard on it tells that nothing was missed (ns), unless the whole list came on
/// it: what happened meanwhile comes first, and a comment each second behind it.
const CATCH_UP_DELAY_NS: u64 = 1_000_000_000;
/// Where an engine that is gone listened: it is told of without.
const UNSPECIFIED_ADDRESS: std::net::SocketAddr =
    std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// What a relay's stream has brought.
#[derive(Default)]
pub(super) struct RelayStream {
    /// Since when the stream is open (ns).
    open_since_ns: Option<u64>,
    /// The whole list has come on it.
    has_full_list: bool,
}

/// Makes the module divide by the routers of the cell, where this router is of one, in place of the whole fleet.
pub(super) fn apply_cell(
    config: &mut Config,
    start: &mut StartConfig,
    fleet: Option<&FleetConfig>,
    identity: &RouterIdentity,
) -> Option<CellConfig> {
    let fleet = fleet?;
    let cell = fleet.list.as_ref()?.cell(identity, &config.names, fleet.routers)?;
    (config.settings.router_count, config.settings.router_index) = (cell.sharers, cell.rank);
    start.routers = RouterCount::FromSettings;
    Some(cell)
}

/// Tells of classes that no engine of the cell can serve.
pub(super) fn warn_unservable_classes(config: &Config, cell: &CellConfig) {
    if cell.id.zone.is_none() {
        return;
    }
    for (class, name) in config.settings.classes.iter().zip(&config.names.classes) {
        let elsewhere = class.only_zones.as_ref().zip(config.settings.zone);
        if elsewhere.is_some_and(|(zones, own_zone)| !zones.contains(&own_zone)) {
            warn!("class {name} is served in other zones only: a router of a cell knows no engine there");
        }
    }
}

/// The engines of a change, as relays tell of them.
fn to_cell_engines(change: &Change, names: &Names) -> Vec<Engine> {
    change.targets.iter().map(|target| to_cell_engine(&target.entry, target.address, names)).collect()
}

fn to_target(engine: &Engine, names: &Names) -> Target {
    Target { entry: to_engine_entry(engine, names), address: engine.address }
}

/// A change of the list, of what a relay told.
fn to_change(update: PartNews, names: &Names) -> Change {
    match update {
        PartNews::Whole(engines) => Change {
            kind: MembershipKind::Full,
            targets: engines.iter().map(|engine| to_target(engine, names)).collect(),
        },
        PartNews::Changed(engines, removed) => {
            let removed = removed
                .into_iter()
                .map(|id| Target { entry: removed_entry(id), address: UNSPECIFIED_ADDRESS });
            let changed = engines.iter().map(|engine| to_target(engine, names));
            Change { kind: MembershipKind::Delta, targets: changed.chain(removed).collect() }
        }
    }
}

impl Daemon {
    /// Leaves of a change what is of this router's cell, where it is of one.
    pub(super) fn retain_cell(&self, change: &mut Change) {
        let Some(subscriber) = self.fleet.as_ref().and_then(|fleet| fleet.subscriber()) else { return };
        let names = self.config.directory.names();
        let cell = subscriber.cell();
        change.targets.retain(|target| cell.holds(&to_cell_engine(&target.entry, target.address, names)));
    }

    /// Takes what relays told of this router's cell.
    pub(super) fn apply_relay_updates(&mut self) {
        let Some(fleet) = &mut self.fleet else { return };
        for update in fleet.take_list_updates() {
            let change = to_change(update, self.config.directory.names());
            self.apply_list_change(change);
        }
    }

    /// Tells routers what the list service told, where this process is a relay; the list is at this event then.
    pub(super) fn publish_list_update(&mut self, now: u64, version: u64, changes: &[Change]) {
        let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.relay().is_some()) else { return };
        let names = self.config.directory.names();
        let is_full = |change: &Change| change.kind == MembershipKind::Full;
        self.engine_list.relay_stream.has_full_list |= changes.iter().any(is_full);
        let update = changes.iter().map(|change| (is_full(change), to_cell_engines(change, names))).collect();
        fleet.update_list(now, version, update);
    }

    /// Tells a relay's routers how old its news is, once nothing of it can be missing.
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
                info!("relay: knows the whole list, {} engines, and tells routers of it", relay.engines());
            }
        }
    }
}
