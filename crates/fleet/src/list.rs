//! The list of engines over the fleet's datagrams: a relay tells it, a router of a cell learns its part of it.
//!
//! The machines live in `marljunction-cells`. Invariants: a process is a relay, a router of a cell, or neither; without the
//! operator's word it is neither and nothing here does anything; numbers of zones and kinds are each process's own, and only their
//! names travel.

use std::net::SocketAddr;
use std::sync::Arc;

use log::info;
use marljunction_cells::bound::{told, Terms};
use marljunction_cells::{
    CellConfig, CellId, CellPlan, Engine, EngineState as CellEngineState, Message, PartNews, Relay,
    RelaySettings, Subscriber, SubscriberSettings,
};
use marljunction_control::interface::{EngineEntry, EngineId, EngineState, KindId, ZoneId};
use marljunction_peers::seal::Kind;
use marljunction_settings::{index_of, Names};

use crate::config::{parse_address, FleetConfig};
use crate::error::FleetError;
use crate::payloads::PeerPayload;
use crate::runtime::{FleetRuntime, RouterIdentity};

/// Engines of a part that one datagram holds at least (count), where names are not unusually long.
const ENGINES_PER_PIECE: u32 = 18;
const NS_PER_MS: u64 = 1_000_000;

/// What a process has to do with the list, as the operator's file says.
#[derive(Clone, Debug, PartialEq)]
pub enum ListRole {
    /// It reads the list service itself, and tells routers.
    Relay,
    /// It learns its cell's part from relays.
    Cell {
        /// The relays' addresses.
        relays: Vec<String>,
        /// How the fleet is divided.
        plan: CellPlan,
        /// Engines of a cell that bounds are computed for (count).
        engines: u32,
    },
}

/// Times that follow from how the list service is called.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListTiming {
    /// A relay that has not heard the list service for longer does not hear it (ns).
    pub silence_ns: u64,
    /// Time in which a relay that lost the list service hears it again (ns).
    pub reconnect_ns: u64,
    /// Age of the list from which a warning is logged (ns).
    pub stale_ns: u64,
}

/// What is to be done about the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListConfig {
    /// What this process has to do with it.
    pub role: ListRole,
    /// Time between a router's asks (ns).
    pub ask_ns: u64,
    /// The longest that a datagram takes, as bounds are computed (ns).
    pub delay_ns: u64,
    /// What follows from the calls of the list service.
    pub timing: ListTiming,
}

impl ListConfig {
    /// The cell of a router; none for a relay.
    pub fn cell(&self, identity: &RouterIdentity, names: &Names, routers: u32) -> Option<CellConfig> {
        let ListRole::Cell { plan, .. } = &self.role else { return None };
        let zones = names.zones.len().max(1) as u32;
        let zone = identity.zone.as_deref();
        let zones = if zone.is_some() { zones } else { 1 };
        Some(CellConfig::new(plan, zone, zones, identity.number, routers))
    }

    /// How long relays must say that the list service counts anew: until those that lost it with it have it again (ns).
    fn settle_ns(&self) -> u64 {
        self.timing.reconnect_ns + self.ask_ns
    }

    /// What bounds are computed from, in a fleet of so many routers; none for a relay, which knows no count of relays.
    pub fn terms(&self, routers: u32) -> Option<Terms> {
        let ListRole::Cell { relays, engines, .. } = &self.role else { return None };
        Some(Terms {
            routers,
            relays: relays.len() as u32,
            ask_ns: self.ask_ns,
            silence_ns: self.timing.silence_ns,
            settle_ns: self.settle_ns(),
            reconnect_ns: self.timing.reconnect_ns,
            pieces: engines.div_ceil(ENGINES_PER_PIECE),
            delay_ns: self.delay_ns,
            ..Terms::default()
        })
    }

    /// What follows, as lines for operators.
    pub(crate) fn bounds(&self, routers: u32) -> Vec<String> {
        match self.terms(routers) {
            Some(terms) => {
                let ranks =
                    "two routers of one cell with one rank use the same part of cold engines' budgets";
                told(&terms)
                    .into_iter()
                    .chain([format!("  {ranks}: numbers, or 'rank', keep them apart")])
                    .collect()
            }
            None => {
                let budget = self.relay_settings(routers).budget_per_s();
                vec![format!(
                    "relay: tells {routers} routers of the list, {budget} datagrams a second at most"
                )]
            }
        }
    }

    fn relay_settings(&self, routers: u32) -> RelaySettings {
        RelaySettings { routers, ask_ns: self.ask_ns, silence_ns: self.timing.silence_ns }
    }
}

/// The machine of a process that has to do with the list.
pub(crate) enum ListMachine {
    Relay(Box<Relay>),
    Subscriber(Box<Subscriber>),
}

impl ListMachine {
    /// The machine that the configuration asks for, where it does.
    pub(crate) fn start(
        now: u64,
        config: &FleetConfig,
        identity: &RouterIdentity,
        names: &Names,
    ) -> Result<Option<ListMachine>, FleetError> {
        let Some(list) = &config.list else { return Ok(None) };
        let (ListRole::Cell { relays, .. }, Some(terms), Some(cell)) =
            (&list.role, list.terms(config.routers), list.cell(identity, names, config.routers))
        else {
            let relay = Relay::new(now, list.relay_settings(config.routers));
            return Ok(Some(ListMachine::Relay(Box::new(relay))));
        };
        info!(
            "learns the engines of cell {} of {} in zone {} from {} relays; shares them with {} routers as number {} of them",
            cell.id.cell,
            cell.id.cells,
            cell.id.zone.as_deref().unwrap_or("-"),
            relays.len(),
            cell.sharers,
            cell.rank,
        );
        let settings = SubscriberSettings {
            cell: cell.id,
            router: u64::from(identity.number),
            life: now,
            relays: relays.iter().map(|text| parse_address(text)).collect::<Result<_, _>>()?,
            ask_ns: list.ask_ns,
            silence_ns: list.timing.silence_ns,
            settle_ns: list.settle_ns(),
            spread_ns: terms.spread_ns(),
            stale_ns: list.timing.stale_ns,
            seed: identity.seed,
        };
        Ok(Some(ListMachine::Subscriber(Box::new(Subscriber::new(now, settings)))))
    }
}

impl FleetRuntime {
    /// The relay's state, where this process is one.
    pub fn relay(&self) -> Option<&Relay> {
        match &self.list {
            Some(ListMachine::Relay(relay)) => Some(relay),
            _ => None,
        }
    }

    /// The state of a cell's router, where this process is one.
    pub fn subscriber(&self) -> Option<&Subscriber> {
        match &self.list {
            Some(ListMachine::Subscriber(subscriber)) => Some(subscriber),
            _ => None,
        }
    }

    /// Takes news of the list that the list service told a relay, which is at this version then; it is told on at once. Each
    /// news is the whole list, or engines that changed.
    pub fn update_list(&mut self, now: u64, version: u64, changes: Vec<(bool, Vec<Engine>)>) {
        if let Some(ListMachine::Relay(relay)) = &mut self.list {
            for (is_full, engines) in changes {
                relay.learn(version, is_full, engines);
            }
        }
        self.run_list(now);
    }

    /// A relay heard the list service so long ago (ns).
    pub fn record_list_service_contact(&mut self, now: u64, age_ns: u64) {
        if let Some(ListMachine::Relay(relay)) = &mut self.list {
            relay.heard(now, age_ns);
        }
    }

    /// What became known of a router's part of the list since this was last called.
    pub fn take_list_updates(&mut self) -> Vec<PartNews> {
        std::mem::take(&mut self.list_updates)
    }

    /// Passes time, and sends what is to be sent.
    pub(crate) fn run_list(&mut self, now: u64) {
        let outgoing = match &mut self.list {
            None => return,
            Some(ListMachine::Relay(relay)) => relay.tick(now),
            Some(ListMachine::Subscriber(subscriber)) => subscriber.tick(now),
        };
        for (to, message) in outgoing {
            self.members.say(to, Kind::List, &message.encode());
        }
        let (outgoing, events) = self.members.take();
        debug_assert!(events.is_empty());
        self.send_datagrams(outgoing);
    }

    /// Takes what another process said of the list.
    pub(crate) fn handle_list(&mut self, now: u64, payload: &PeerPayload) {
        let from = payload.from.address;
        match (&mut self.list, Message::decode(&payload.bytes)) {
            (None, _) => {}
            (Some(ListMachine::Relay(relay)), Ok(message)) => relay.hear(now, from, message),
            (Some(ListMachine::Relay(relay)), Err(_)) => relay.unreadable(from),
            (Some(ListMachine::Subscriber(subscriber)), Ok(message)) => {
                self.list_updates.extend(subscriber.hear(now, from, message));
            }
            (Some(ListMachine::Subscriber(subscriber)), Err(_)) => subscriber.unreadable(from),
        }
    }

    /// What is known of the list, as a line for operators; none where this process has nothing to do with it.
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

    /// The counters of the list, as one line; none where this process has nothing to do with it.
    pub(crate) fn list_line(&self, now: u64) -> Option<String> {
        match &self.list {
            None => None,
            Some(ListMachine::Relay(relay)) => Some(relay.line()),
            Some(ListMachine::Subscriber(subscriber)) => Some(subscriber.line(now)),
        }
    }
}

/// An engine as relays tell of it.
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

/// An engine as the module is told of it.
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

/// An engine that is on the list no more, as the module is told of it.
pub fn removed_entry(id: u64) -> EngineEntry {
    EngineEntry { engine: EngineId(id), state: EngineState::Gone, ..EngineEntry::default() }
}
