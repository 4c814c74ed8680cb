//! Distribution of the engine list over the fleet's datagrams: a relay publishes the list, and
//! routers of a cell subscribe to their part.
//!
//! The state machines live in `marljunction-cells`. Invariants: a process is a relay, a router of a
//! cell, or neither; without a configured role nothing here has an effect. Zones and kinds are sent
//! by name, because their numbers differ between processes.

use std::net::SocketAddr;
use std::sync::Arc;

use log::info;
use marljunction_cells::bound::{describe_bounds, BoundParams};
use marljunction_cells::{
    CellConfig, CellId, CellPlan, Engine, EngineState as CellEngineState, Message, PartUpdate, Relay,
    RelaySettings, Subscriber, SubscriberSettings,
};
use marljunction_control::interface::{EngineEntry, EngineId, EngineState, KindId, ZoneId};
use marljunction_peers::datagram::Kind;
use marljunction_settings::{index_of, Names};

use crate::config::{parse_address, FleetConfig};
use crate::error::FleetError;
use crate::payloads::PeerPayload;
use crate::runtime::{FleetRuntime, RouterIdentity};

/// Smallest number of engines per datagram, unless names are unusually long.
const ENGINES_PER_PIECE: u32 = 18;
const NS_PER_MS: u64 = 1_000_000;

/// Role of a process in distributing the engine list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListRole {
    /// Reads the list service and publishes to routers.
    Relay,
    /// Subscribes to its cell's part at relays.
    Cell {
        /// Addresses of the relays.
        relays: Vec<String>,
        /// How the fleet is divided into cells.
        plan: CellPlan,
        /// Number of engines in a cell for which bounds are computed.
        engines: u32,
    },
}

/// Times derived from how the list service is polled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListTiming {
    /// Time without contact after which a relay treats the list service as unavailable, in
    /// nanoseconds.
    pub silence_ns: u64,
    /// Time in which a relay regains a lost list service, in nanoseconds.
    pub reconnect_ns: u64,
    /// Age of the list at which a warning is logged, in nanoseconds.
    pub stale_ns: u64,
}

/// Configuration of the list distribution.
#[derive(Clone, Debug, PartialEq)]
pub struct ListConfig {
    /// Role of this process.
    pub role: ListRole,
    /// Interval between the requests of a router, in nanoseconds.
    pub request_interval_ns: u64,
    /// Longest delivery time of a datagram that bounds assume, in nanoseconds.
    pub delay_ns: u64,
    /// Times derived from how the list service is polled.
    pub timing: ListTiming,
}

impl ListConfig {
    /// Returns the cell of a router; `None` for a relay.
    pub fn cell(&self, identity: &RouterIdentity, names: &Names, routers: u32) -> Option<CellConfig> {
        let ListRole::Cell { plan, .. } = &self.role else { return None };
        let zones = names.zones.len().max(1) as u32;
        let zone = identity.zone.as_deref();
        let zones = if zone.is_some() { zones } else { 1 };
        Some(CellConfig::new(plan, zone, zones, identity.number, routers))
    }

    /// Returns how long relays must report that the list service restarted its event numbers
    /// before a router accepts it, in nanoseconds: until relays that lost the service at the same
    /// time have contact again.
    fn settle_ns(&self) -> u64 {
        self.timing.reconnect_ns + self.request_interval_ns
    }

    /// Returns the inputs of the bounds for a fleet of `routers`; `None` for a relay, which does
    /// not know the number of relays.
    pub fn bound_params(&self, routers: u32) -> Option<BoundParams> {
        let ListRole::Cell { relays, engines, .. } = &self.role else { return None };
        Some(BoundParams {
            routers,
            relays: relays.len() as u32,
            request_interval_ns: self.request_interval_ns,
            silence_ns: self.timing.silence_ns,
            settle_ns: self.settle_ns(),
            reconnect_ns: self.timing.reconnect_ns,
            pieces: engines.div_ceil(ENGINES_PER_PIECE),
            delay_ns: self.delay_ns,
            ..BoundParams::default()
        })
    }

    /// Formats the bounds for operators.
    pub(crate) fn bounds(&self, routers: u32) -> Vec<String> {
        match self.bound_params(routers) {
            Some(bound_params) => {
                let ranks =
                    "two routers of one cell with equal ranks use the same share of cold engines' budgets";
                describe_bounds(&bound_params)
                    .into_iter()
                    .chain([format!("  {ranks}: set distinct numbers or 'rank'")])
                    .collect()
            }
            None => {
                let budget = self.relay_settings(routers).budget_per_s();
                vec![format!(
                    "relay: publishes the list to {routers} routers, at most {budget} datagrams per second"
                )]
            }
        }
    }

    fn relay_settings(&self, routers: u32) -> RelaySettings {
        RelaySettings {
            routers,
            request_interval_ns: self.request_interval_ns,
            silence_ns: self.timing.silence_ns,
        }
    }
}

/// State machine of the process's role.
pub(crate) enum ListMachine {
    Relay(Box<Relay>),
    Subscriber(Box<Subscriber>),
}

impl ListMachine {
    /// Creates the state machine of the configured role, if there is one.
    pub(crate) fn start(
        now: u64,
        config: &FleetConfig,
        identity: &RouterIdentity,
        names: &Names,
    ) -> Result<Option<ListMachine>, FleetError> {
        let Some(list) = &config.list else { return Ok(None) };
        let (ListRole::Cell { relays, .. }, Some(bound_params), Some(cell)) =
            (&list.role, list.bound_params(config.routers), list.cell(identity, names, config.routers))
        else {
            let relay = Relay::new(now, list.relay_settings(config.routers));
            return Ok(Some(ListMachine::Relay(Box::new(relay))));
        };
        info!(
            "subscribes to the engines of cell {} of {} in zone {} at {} relays; the cell has {} routers, this one has rank {}",
            cell.id.cell,
            cell.id.cells,
            cell.id.zone.as_deref().unwrap_or("-"),
            relays.len(),
            cell.routers_per_cell,
            cell.rank,
        );
        let settings = SubscriberSettings {
            cell: cell.id,
            router: u64::from(identity.number),
            incarnation: now,
            relays: relays.iter().map(|text| parse_address(text)).collect::<Result<_, _>>()?,
            request_interval_ns: list.request_interval_ns,
            silence_ns: list.timing.silence_ns,
            settle_ns: list.settle_ns(),
            spread_ns: bound_params.spread_ns(),
            stale_ns: list.timing.stale_ns,
            seed: identity.seed,
        };
        Ok(Some(ListMachine::Subscriber(Box::new(Subscriber::new(now, settings)))))
    }
}

impl FleetRuntime {
    /// Returns the relay, if this process is one.
    pub fn relay(&self) -> Option<&Relay> {
        match &self.list {
            Some(ListMachine::Relay(relay)) => Some(relay),
            _ => None,
        }
    }

    /// Returns the subscriber, if this process is a router of a cell.
    pub fn subscriber(&self) -> Option<&Subscriber> {
        match &self.list {
            Some(ListMachine::Subscriber(subscriber)) => Some(subscriber),
            _ => None,
        }
    }

    /// Passes changes from the list service to the relay, which publishes them at once. The relay
    /// is then at `version`. Each change is the full list if its flag is set, otherwise the changed
    /// engines.
    pub fn update_list(&mut self, now: u64, version: u64, changes: Vec<(bool, Vec<Engine>)>) {
        if let Some(ListMachine::Relay(relay)) = &mut self.list {
            for (is_full, engines) in changes {
                relay.apply_update(version, is_full, engines);
            }
        }
        self.run_list(now);
    }

    /// Records that the relay last had contact with the list service `age_ns` nanoseconds ago.
    pub fn record_list_service_contact(&mut self, now: u64, age_ns: u64) {
        if let Some(ListMachine::Relay(relay)) = &mut self.list {
            relay.record_service_contact(now, age_ns);
        }
    }

    /// Takes the changes of the router's part of the list since the last call.
    pub fn take_list_updates(&mut self) -> Vec<PartUpdate> {
        std::mem::take(&mut self.list_updates)
    }

    /// Runs periodic work and sends messages.
    pub(crate) fn run_list(&mut self, now: u64) {
        let outgoing = match &mut self.list {
            None => return,
            Some(ListMachine::Relay(relay)) => relay.tick(now),
            Some(ListMachine::Subscriber(subscriber)) => subscriber.tick(now),
        };
        for (to, message) in outgoing {
            self.members.send_payload(to, Kind::List, &message.encode());
        }
        let (outgoing, events) = self.members.take();
        debug_assert!(events.is_empty());
        self.send_datagrams(outgoing);
    }

    /// Handles a list message from another process.
    pub(crate) fn handle_list(&mut self, now: u64, payload: &PeerPayload) {
        let from = payload.from.address;
        match (&mut self.list, Message::decode(&payload.bytes)) {
            (None, _) => {}
            (Some(ListMachine::Relay(relay)), Ok(message)) => relay.receive(now, from, message),
            (Some(ListMachine::Relay(relay)), Err(_)) => relay.record_undecodable(from),
            (Some(ListMachine::Subscriber(subscriber)), Ok(message)) => {
                self.list_updates.extend(subscriber.receive(now, from, message));
            }
            (Some(ListMachine::Subscriber(subscriber)), Err(_)) => subscriber.record_undecodable(from),
        }
    }

    /// Formats the state of the list as one line for operators; `None` without a role.
    pub(crate) fn view_list(&self, now: u64) -> Option<String> {
        if let Some(relay) = self.relay() {
            let (engines, version, routers) = (relay.engines(), relay.version(), relay.routers());
            let ready = if relay.is_ready() { "" } else { ", not ready" };
            return Some(format!(
                "relay of {engines} engines at event {version}, {routers} routers ask it{ready}"
            ));
        }
        let subscriber = self.subscriber()?;
        let CellId { zone, cell, cells, .. } = subscriber.cell();
        let engines = || subscriber.part().into_iter().flat_map(|part| part.engines());
        let draining = engines().filter(|engine| engine.state == CellEngineState::Draining).count();
        Some(format!(
            "cell {cell} of {cells} in zone {}: {} engines, {draining} of them draining, at event {}, {:.1} s old at most, from relay {}",
            zone.as_deref().unwrap_or("-"),
            engines().count(),
            subscriber.version().map_or_else(|| "-".to_owned(), |version| version.to_string()),
            subscriber.age_ns(now) as f64 / 1e9,
            subscriber.relay().map_or_else(|| "-".to_owned(), |relay| relay.to_string()),
        ))
    }

    /// Formats the counters of the list as one line; `None` without a role.
    pub(crate) fn list_line(&self, now: u64) -> Option<String> {
        match &self.list {
            None => None,
            Some(ListMachine::Relay(relay)) => Some(relay.line()),
            Some(ListMachine::Subscriber(subscriber)) => Some(subscriber.line(now)),
        }
    }
}

/// Converts an engine to the form that relays publish.
pub fn to_cell_engine(entry: &EngineEntry, address: SocketAddr, names: &Names) -> Engine {
    let name = |list: &[String], at: Option<usize>| Some(Arc::from(list.get(at?)?.as_str()));
    Engine {
        id: entry.engine.0,
        address,
        zone: name(&names.zones, entry.zone.map(|zone| zone.0)),
        kind: name(&names.kinds, entry.kind.map(|kind| kind.0)),
        group: entry.cell,
        state: match entry.state {
            EngineState::Draining => CellEngineState::Draining,
            EngineState::Gone => CellEngineState::Gone,
            _ => CellEngineState::Ready,
        },
        weight: entry.weight,
        started_ms: entry.started_ns.unwrap_or(0) / NS_PER_MS,
    }
}

/// Converts a published engine to the form that the decision module uses.
pub fn to_engine_entry(engine: &Engine, names: &Names) -> EngineEntry {
    let number = |list: &[String], name: &Option<Arc<str>>| index_of(list, name.as_deref()?);
    EngineEntry {
        engine: EngineId(engine.id),
        zone: number(&names.zones, &engine.zone).map(ZoneId),
        kind: number(&names.kinds, &engine.kind).map(KindId),
        cell: engine.group,
        state: match engine.state {
            CellEngineState::Ready => EngineState::Ready,
            CellEngineState::Draining => EngineState::Draining,
            CellEngineState::Gone => EngineState::Gone,
        },
        weight: engine.weight,
        started_ns: Some(engine.started_ms.saturating_mul(NS_PER_MS)).filter(|ns| *ns > 0),
    }
}

/// Returns the entry that removes an engine from the decision module.
pub fn removed_entry(id: u64) -> EngineEntry {
    EngineEntry { engine: EngineId(id), state: EngineState::Gone, ..EngineEntry::default() }
}
