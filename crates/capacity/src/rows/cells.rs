//! Rows that change with cells: a router loads only the engines of its cell, and relays read the
//! whole list.

use super::{control_budget, limit_keys, ms_to_seconds, Role, Row, Usage, BUDGETS_PER_ENGINE};
use crate::measured::{Measured, MissingCost};
use crate::size::*;
use crate::text::plain;

const RELAY_MECHANISM: &str = "the cell's engines in authenticated datagrams from one of the relays";
/// This series is present if cells were measured.
const CELLS_MEASURED_SERIES: &str = "cells_start_bytes";

/// The rows with cells and relays instead of the whole list at each router; `None` if cells were
/// not measured.
///
/// # Errors
/// If one of their costs is missing.
pub fn with_cells(m: &Measured, rows: &[Row]) -> Result<Option<Vec<Row>>, MissingCost> {
    if !m.series.contains_key(CELLS_MEASURED_SERIES) {
        return Ok(None);
    }
    let mut all = Vec::new();
    for row in rows {
        match row.id {
            "list-start" => all.push(start(m, row)?),
            "list-break" => all.push(list_break(m, row)?),
            "list-changes" => all.push(changes(m, row)?),
            "cold" => all.push(cold(m, row)?),
            "deciding" => all.push(deciding(m, row)?),
            "service-start" => all.push(service_start(m, row)?),
            "service-break" => all.push(service_break(m, row)?),
            "service-changes" => all.push(service_changes(m, row)?),
            "relay" => all.extend(relay(m)?),
            "engine-told" => all.push(engine_told(m, row)?),
            _ => all.push(row.clone()),
        }
    }
    Ok(Some(all))
}

/// Traffic of a router with its relay while nothing changes.
fn idle_usage(m: &Measured) -> Result<Usage, MissingCost> {
    Ok(Usage {
        messages_s: Some(m.at("cells_rest_messages_s", engines_per_cell())?),
        bytes_s: Some(m.at("cells_rest_bytes_s", engines_per_cell())?),
        cores: Some(ms_to_seconds(m.at("cells_rest_ms_s", engines_per_cell())?)),
        ..Usage::default()
    })
}

fn start(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let engines = engines_per_cell();
    let bytes = m.at("cells_start_bytes", engines)?;
    let cpu_s = ms_to_seconds(m.at("cells_start_ms", engines)?) + m.at("decision_list_us", engines)? / 1e6;
    let memory = m.fit_of("program_peak_kb")?;
    let memory_mb = (memory.predict(engines) - memory.constant) / 1e3;
    let starts = starts_per_router_s();
    let start_s = m.at("relay_start_s", routers_per_relay())?;
    Ok(Row {
        state: format!("{} engines, {:.1} KB encoded", plain(engines), bytes / 1e3),
        ordinary: Usage {
            messages_s: Some(starts),
            bytes_s: Some(starts * bytes),
            cores: Some(starts * cpu_s),
            memory_mb: Some(memory_mb),
            ..Usage::default()
        },
        worst: Usage {
            bytes_s: Some(bytes / MAX_READY_TIME.value),
            cores: Some(cpu_s / MAX_READY_TIME.value),
            memory_mb: Some(memory_mb),
            seconds: Some(start_s),
            ..Usage::default()
        },
        budget: Usage { seconds: Some(MAX_READY_TIME.value), ..control_budget() },
        mechanism: Some(RELAY_MECHANISM),
        costs: &[
            "cells_start_bytes",
            "cells_start_ms",
            "relay_start_s",
            "decision_list_us",
            "program_peak_kb",
        ],
        derivation: "starts per router and day: its share of all restarts; memory: the slope by engines",
        ..before.clone()
    })
}

fn list_break(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let bytes = m.at("cells_start_bytes", engines_per_cell())?;
    let cpu_s = ms_to_seconds(m.at("cells_start_ms", engines_per_cell())?);
    Ok(Row {
        state: "the engines of the cell, their version and digest".into(),
        worst: Usage {
            bytes_s: Some(bytes / MAX_READY_TIME.value),
            cores: Some(cpu_s / MAX_READY_TIME.value),
            ..Usage::default()
        },
        mechanism: Some("a full transfer if the digest differs"),
        costs: &["cells_start_bytes", "cells_start_ms"],
        derivation: "at most as much as a start",
        ..before.clone()
    })
}

/// Usage for changes of the list, of which a router receives those of its cell.
fn changes(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let idle_usage = idle_usage(m)?;
    let each_bytes = m.at("cells_change_bytes", 1.0)?;
    let each_s =
        ms_to_seconds(m.at("cells_change_ms", 1.0)?) + m.at("decision_change_us", engines_per_cell())? / 1e6;
    let at = |entries: f64| Usage {
        messages_s: idle_usage.messages_s.map(|n| n + entries),
        bytes_s: idle_usage.bytes_s.map(|n| n + entries * each_bytes),
        cores: idle_usage.cores.map(|n| n + entries * each_s),
        ..Usage::default()
    };
    let cells = ZONES.value * CELLS.value;
    Ok(Row {
        state: "the engines of the cell and their version".into(),
        ordinary: at(entries_per_s() / cells),
        // A router in the lost zone receives all changes of its cell.
        worst: at(lost_zone_entries_per_s() / CELLS.value),
        worst_minute: "its zone lost and replaced, one message per engine of its cell",
        mechanism: Some(RELAY_MECHANISM),
        costs: &[
            "cells_rest_bytes_s",
            "cells_rest_messages_s",
            "cells_rest_ms_s",
            "cells_change_bytes",
            "cells_change_ms",
            "decision_change_us",
        ],
        ..before.clone()
    })
}

fn cold(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let cells = ZONES.value * CELLS.value;
    let renewed_s = (RESTARTS.value + FAILURES.value) * engine_share() / DAY_S;
    let ordinary = renewed_s * COLD_TIME.value * BUDGETS_PER_ENGINE / cells;
    let worst = engines_per_cell() / MINUTE_S * COLD_TIME.value * BUDGETS_PER_ENGINE;
    Ok(Row {
        state: format!("{ordinary:.2} keys, {worst:.0} in the worst minute"),
        ordinary: limit_keys(m, ordinary)?,
        worst: limit_keys(m, worst)?,
        worst_minute: "its zone lost, its cell's engines replaced within the minute",
        mechanism: Some("a shared limit per cold engine of the cell and kind of class"),
        derivation: "concurrently cold engines of a cell: replaced engines times the warmup time; cost per key as measured among 50 routers",
        ..before.clone()
    })
}

fn deciding(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let cores = statements_per_router() * m.at("decision_us", engines_per_cell())? / 1e6;
    Ok(Row {
        state: format!("state of {} engines", plain(engines_per_cell())),
        ordinary: Usage { cores: Some(cores), ..before.ordinary },
        mechanism: Some("the module scans every engine of its cell"),
        ..before.clone()
    })
}

fn service_start(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let (relays, whole) = (CONTROL_MACHINES.value, m.at("list_bytes", ENGINES.value)?);
    let starts = starts_per_router_s() * relays;
    Ok(Row {
        ordinary: Usage { messages_s: Some(starts), bytes_s: Some(starts * whole), ..Usage::default() },
        worst: Usage {
            messages_s: Some(relays / MAX_READY_TIME.value),
            bytes_s: Some(relays * whole / MAX_READY_TIME.value),
            ..Usage::default()
        },
        worst_minute: "all relays start at once, each ready in time",
        mechanism: Some("the whole list to each relay"),
        needed_by: &["relay-start"],
        derivation: "bytes per relay times the relays; relays restart as often as routers",
        ..before.clone()
    })
}

fn service_break(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let missed = entries_per_s() * REGION_OUTAGE_TIME.value * m.at("change_bytes", 1.0)?;
    let relays = CONTROL_MACHINES.value / REGIONS.value;
    Ok(Row {
        worst: Usage {
            messages_s: Some(relays / MAX_READY_TIME.value),
            bytes_s: Some(relays * missed / MAX_READY_TIME.value),
            ..Usage::default()
        },
        needed_by: &["relay-start"],
        derivation: "a region's share of the relays times the events that one of them missed",
        ..before.clone()
    })
}

fn service_changes(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let (relays, change) = (CONTROL_MACHINES.value, m.at("change_bytes", 1.0)?);
    let of_all = |entries: f64| Usage { bytes_s: Some(relays * entries * change), ..Usage::default() };
    Ok(Row {
        state: format!("{} connections", plain(relays)),
        ordinary: of_all(entries_per_s()),
        worst: of_all(lost_zone_entries_per_s()),
        mechanism: Some("each change to every relay"),
        needed_by: &["relay-changes"],
        derivation: "bytes per relay times the relays",
        ..before.clone()
    })
}

/// Rows of a relay. The requirements have no budget for a control machine: one core and its link
/// are assumed.
fn relay(m: &Measured) -> Result<Vec<Row>, MissingCost> {
    let (routers, part) = (routers_per_relay(), engines_per_cell());
    let held_mb = m.at("relay_held_kb", ENGINES.value)? / 1e3;
    let budget = Usage {
        bytes_s: Some(SERVICE_BYTES.value),
        cores: Some(ROUTER_CORES.value),
        memory_mb: Some(ROUTER_MB.value),
        seconds: Some(MAX_READY_TIME.value),
        ..Usage::default()
    };
    let read_s = ms_to_seconds(m.at("list_cpu_ms", ENGINES.value)? + m.at("relay_learn_ms", ENGINES.value)?);
    let update_s = ms_to_seconds(m.at("relay_start_ms", routers)?);
    let start = Row {
        id: "relay-start",
        role: Role::ControlMachine,
        activity: "loading the list, and sending routers their engines at a start",
        state: format!("{} engines, {} routers", plain(ENGINES.value), plain(routers.round())),
        ordinary: Usage { memory_mb: Some(held_mb), ..Usage::default() },
        worst: Usage {
            bytes_s: Some(
                (routers * m.at("cells_start_bytes", part)? + m.at("list_bytes", ENGINES.value)?)
                    / MAX_READY_TIME.value,
            ),
            cores: Some((read_s + update_s) / MAX_READY_TIME.value),
            memory_mb: Some(held_mb),
            seconds: Some(m.at("relay_start_s", routers)?),
            ..Usage::default()
        },
        worst_minute: "all routers and relays start at once",
        budget,
        mechanism: Some("`cells::Relay`"),
        needed_by: &["list-start"],
        costs: &[
            "relay_held_kb",
            "relay_learn_ms",
            "relay_start_ms",
            "relay_start_s",
            "cells_start_bytes",
            "list_bytes",
            "list_cpu_ms",
        ],
        derivation: "the routers per relay; the budget is one core and one link",
    };
    let rest_cores = ms_to_seconds(m.at("relay_rest_ms_s", routers)?);
    let each_router = m.at("cells_rest_bytes_s", part)?;
    let change = m.at("cells_change_bytes", 1.0)?;
    let messages = m.at("cells_rest_messages_s", part)?;
    let update_usage = |entries: f64| Usage {
        messages_s: Some(routers * messages + entries * routers_per_cell()),
        bytes_s: Some(routers * each_router + entries * routers_per_cell() * change),
        cores: Some(rest_cores),
        memory_mb: Some(held_mb),
        ..Usage::default()
    };
    let changes = Row {
        id: "relay-changes",
        activity: "sending changes to the routers of their cells, and answering requests",
        ordinary: update_usage(entries_per_s()),
        worst: update_usage(lost_zone_entries_per_s()),
        worst_minute: "a zone lost and its engines replaced",
        needed_by: &["list-changes"],
        costs: &["relay_rest_ms_s", "cells_rest_bytes_s", "cells_rest_messages_s", "cells_change_bytes"],
        derivation: "the routers per relay; each change goes to at most the routers of one cell; processor time without changes",
        ..start.clone()
    };
    Ok(vec![start, changes])
}

/// Routers per cell.
fn routers_per_cell() -> f64 {
    ROUTERS.value / ZONES.value / CELLS.value
}

fn engine_told(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let change = m.at("cells_change_bytes", 1.0)?;
    let part = |usage: Usage| Usage {
        messages_s: usage.messages_s.map(|n| n / ROUTERS.value * routers_per_cell()),
        bytes_s: usage.messages_s.map(|n| n / ROUTERS.value * routers_per_cell() * change),
        ..usage
    };
    Ok(Row {
        state: "one list entry at each router of its cell".into(),
        ordinary: part(before.ordinary),
        worst: part(before.worst),
        mechanism: Some("a message to every router of its cell"),
        costs: &["cells_change_bytes"],
        derivation: "list entries of one engine per day times the routers of its cell; no budget is required",
        ..before.clone()
    })
}
