//! The engines of the simulated list service, and the encoding of its events.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};

use marljunction_cells::cell::cell_of;
use marljunction_cells::{DivideBy, Engine, EngineState};
use marljunction_discovery::engine_id;

use serde_json::Value;

use super::engine_fingerprints::fingerprint;
use super::protocol::{ExpectedLists, ListedState};

/// Number of zones.
pub const ZONES: u32 = 25;
/// Address of engine 0; the others follow it. Nothing listens on these addresses.
const FIRST_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 128, 0, 0);
const PORT: u16 = 5_432;
/// Start time of engine 0 (Unix ms).
const BOOT_MS: u64 = 1_790_000_000_000;

/// An engine.
#[derive(Clone, Copy, Debug)]
struct EngineRow {
    state: ListedState,
    /// Number of replacements; each gives the engine a new name.
    generation: u32,
}

/// All engines of the list service.
#[derive(Clone, Debug)]
pub struct EngineTable {
    rows: Vec<EngineRow>,
}

/// Name of the zone of an engine or a router.
pub fn zone_name(number: u32) -> String {
    format!("zone-{:02}", number % ZONES)
}

/// Adds the names of all zones to the settings and puts their router into the first.
pub fn with_zones(mut settings: Value) -> Value {
    settings["azs"] = (0..ZONES).map(zone_name).collect();
    settings["zone"] = zone_name(0).into();
    settings
}

impl EngineTable {
    /// Creates a table of engines that are all in service.
    pub fn new(engines: u32) -> EngineTable {
        EngineTable {
            rows: vec![EngineRow { state: ListedState::InService, generation: 0 }; engines as usize],
        }
    }

    /// Sets the state of engines and returns the encoded targets. Unknown numbers are ignored.
    pub fn set(&mut self, engines: &[u32], state: ListedState) -> String {
        let valid: Vec<u32> = engines.iter().copied().filter(|e| (*e as usize) < self.rows.len()).collect();
        valid.iter().for_each(|engine| self.rows[*engine as usize].state = state);
        self.targets(valid.into_iter())
    }

    /// Replaces engines by ones with new names and returns the encoded targets: the old engines as
    /// terminated, the new ones in service.
    pub fn replace(&mut self, engines: &[u32]) -> String {
        let terminated = self.set(engines, ListedState::Terminated);
        for engine in engines {
            if let Some(row) = self.rows.get_mut(*engine as usize) {
                row.generation += 1;
            }
        }
        let listed = self.set(engines, ListedState::InService);
        [terminated, listed].into_iter().filter(|text| !text.is_empty()).collect::<Vec<_>>().join(",")
    }

    /// Encoded targets of the full list.
    pub fn full_list(&self) -> String {
        let listed = |engine: &u32| self.rows[*engine as usize].state != ListedState::Terminated;
        self.targets((0..self.rows.len() as u32).filter(listed))
    }

    /// Digests of the full list and, with cells, of the part of each cell.
    pub fn expected(&self, cells: u32) -> ExpectedLists {
        let mut expected = ExpectedLists {
            parts: vec![Default::default(); (ZONES * cells) as usize],
            ..ExpectedLists::default()
        };
        for (number, row) in self.rows.iter().enumerate().filter(|(_, r)| r.state != ListedState::Terminated)
        {
            let engine = to_cell_engine(number as u32, *row);
            let draining = engine.state == EngineState::Draining;
            let value = fingerprint(engine.id, engine.address, draining, engine.started_ms);
            expected.full_list.add(value);
            if cells > 0 {
                let cell = cell_of(&engine, cells, DivideBy::Engine);
                expected.parts[part_index(number as u32, cells, cell)].add(value);
            }
        }
        expected
    }

    fn targets(&self, engines: impl Iterator<Item = u32>) -> String {
        let mut text = String::new();
        for engine in engines {
            let EngineRow { state, generation } = self.rows[engine as usize];
            let state = match state {
                ListedState::InService => "in_service",
                ListedState::Terminating => "terminating",
                ListedState::Terminated => "terminated",
            };
            text.push_str(if text.is_empty() { "" } else { "," });
            // Writing to a string can't fail.
            let _ = write!(
                text,
                r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"std","state":"{state}","capacity_hint":1.0,"boot_ms":{}}}"#,
                name(engine, generation),
                address(engine),
                zone_name(engine),
                boot_ms(engine, generation),
            );
        }
        text
    }
}

/// Index of a cell's part among all parts; `number` is that of an engine or router of its zone.
pub fn part_index(number: u32, cells: u32, cell: u32) -> usize {
    (number % ZONES * cells + cell) as usize
}

/// The engine as relays report it.
fn to_cell_engine(number: u32, row: EngineRow) -> Engine {
    let draining = row.state == ListedState::Terminating;
    Engine {
        id: engine_id(&name(number, row.generation)).0,
        address: address(number),
        zone: Some(zone_name(number).into()),
        kind: Some("std".into()),
        group: None,
        state: if draining { EngineState::Draining } else { EngineState::Ready },
        weight: 1.0,
        started_ms: boot_ms(number, row.generation),
    }
}

/// Encodes an event of the stream.
pub fn event(index: u64, all: bool, targets: &str) -> Vec<u8> {
    format!(
        "id: {index}\ndata: {{\"index\":{index},\"endpoints\":{{\"rev\":1,\"all\":{all},\"targets\":[{targets}]}}}}\n\n"
    )
    .into_bytes()
}

fn name(engine: u32, generation: u32) -> String {
    format!("engine-{engine:05}-{generation}")
}

fn address(engine: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(u32::from(FIRST_ADDRESS) + engine), PORT))
}

fn boot_ms(engine: u32, generation: u32) -> u64 {
    BOOT_MS + u64::from(engine) + u64::from(generation) * 1_000_000
}
