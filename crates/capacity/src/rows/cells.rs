//! Rows that cells and relays change: a router holds and learns its cell's part only, relays read the whole list.

use super::{control, limit_keys, per_second, Role, Row, Usage, BUDGETS_OF_AN_ENGINE};
use crate::measured::{Measured, MissingCost};
use crate::size::*;
use crate::text::plain;

const RELAYED: &str = "a cell's part by sealed datagrams from one of the relays";
/// Cost whose presence says that cells were measured.
const MARK: &str = "cells_start_bytes";

/// The rows with cells and relays in place of the whole list at each router; none where they were not measured.
///
/// # Errors
/// Where one of their costs is missing.
pub fn with_cells(m: &Measured, rows: &[Row]) -> Result<Option<Vec<Row>>, MissingCost> {
    if !m.series.contains_key(MARK) {
        return Ok(None);
    }
    let mut all = Vec::new();
    for row in rows {
        match row.id {
            "list-start" => all.push(start(m, row)?),
            "list-break" => all.push(after_break(m, row)?),
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

/// What a router says and hears of its part at rest.
fn rest(m: &Measured) -> Result<Usage, MissingCost> {
    Ok(Usage {
        messages_s: Some(m.at("cells_rest_messages_s", cell_engines())?),
        bytes_s: Some(m.at("cells_rest_bytes_s", cell_engines())?),
        cores: Some(per_second(m.at("cells_rest_ms_s", cell_engines())?)),
        ..Usage::default()
    })
}

fn start(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let engines = cell_engines();
    let bytes = m.at("cells_start_bytes", engines)?;
    let cpu_s = per_second(m.at("cells_start_ms", engines)?) + m.at("decision_list_us", engines)? / 1e6;
    let memory = m.fit_of("program_peak_kb")?;
    let memory_mb = (memory.predict(engines) - memory.constant) / 1e3;
    let starts = starts_of_a_router();
    let took = m.at("relay_start_s", routers_of_a_relay())?;
    Ok(Row {
        state: format!("{} engines, {:.1} KB as told", plain(engines), bytes / 1e3),
        ordinary: Usage {
            messages_s: Some(starts),
            bytes_s: Some(starts * bytes),
            cores: Some(starts * cpu_s),
            memory_mb: Some(memory_mb),
            ..Usage::default()
        },
        worst: Usage {
            bytes_s: Some(bytes / READY_WITHIN.value),
            cores: Some(cpu_s / READY_WITHIN.value),
            memory_mb: Some(memory_mb),
            seconds: Some(took),
            ..Usage::default()
        },
        budget: Usage { seconds: Some(READY_WITHIN.value), ..control() },
        mechanism: Some(RELAYED),
        costs: &["cells_start_bytes", "cells_start_ms", "relay_start_s", "decision_list_us", "program_peak_kb"],
        worked_out: "starts of a router's machine a day: its part of all restarts; memory: the program's slope by engines",
        ..before.clone()
    })
}

fn after_break(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let bytes = m.at("cells_start_bytes", cell_engines())?;
    let cpu_s = per_second(m.at("cells_start_ms", cell_engines())?);
    Ok(Row {
        state: "the part, its version and its digest".into(),
        worst: Usage {
            bytes_s: Some(bytes / READY_WITHIN.value),
            cores: Some(cpu_s / READY_WITHIN.value),
            ..Usage::default()
        },
        mechanism: Some("the whole part again, where its digest is another"),
        costs: &["cells_start_bytes", "cells_start_ms"],
        worked_out: "as much as a start, at most",
        ..before.clone()
    })
}

/// Costs of a change of the list in a second, where a router hears those of its cell.
fn changes(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let rest = rest(m)?;
    let each_bytes = m.at("cells_change_bytes", 1.0)?;
    let each_s =
        per_second(m.at("cells_change_ms", 1.0)?) + m.at("decision_change_us", cell_engines())? / 1e6;
    let at = |entries: f64| Usage {
        messages_s: rest.messages_s.map(|n| n + entries),
        bytes_s: rest.bytes_s.map(|n| n + entries * each_bytes),
        cores: rest.cores.map(|n| n + entries * each_s),
        ..Usage::default()
    };
    let cells = ZONES.value * CELLS.value;
    Ok(Row {
        state: "the part and its version".into(),
        ordinary: at(entries_a_second() / cells),
        // A router of the zone that is lost and replaced hears all changes of its own cell.
        worst: at(entries_of_a_lost_zone() / CELLS.value),
        worst_minute: "its zone lost and replaced, one message for each engine of its cell",
        mechanism: Some(RELAYED),
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
    let renewed_s = (RESTARTS.value + FAILURES.value) * engine_part() / DAY_S;
    let ordinary = renewed_s * COLD_FOR.value * BUDGETS_OF_AN_ENGINE / cells;
    let worst = cell_engines() / MINUTE_S * COLD_FOR.value * BUDGETS_OF_AN_ENGINE;
    Ok(Row {
        state: format!("{ordinary:.2} keys, {worst:.0} in the worst minute"),
        ordinary: limit_keys(m, ordinary)?,
        worst: limit_keys(m, worst)?,
        worst_minute: "its zone lost, its cell's engines replaced within the minute",
        mechanism: Some("a shared limit for each cold engine of the cell and kind of class"),
        worked_out: "cold engines of a cell at once: renewed engines times how long one is cold; a key costs what it does among 50 routers",
        ..before.clone()
    })
}

fn deciding(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let cores = statements_of_a_router() * m.at("decision_us", cell_engines())? / 1e6;
    Ok(Row {
        state: format!("what is known of {} engines", plain(cell_engines())),
        ordinary: Usage { cores: Some(cores), ..before.ordinary },
        mechanism: Some("the module looks at every engine of its cell"),
        ..before.clone()
    })
}

fn service_start(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let (relays, whole) = (CONTROL_MACHINES.value, m.at("list_bytes", ENGINES.value)?);
    let starts = starts_of_a_router() * relays;
    Ok(Row {
        ordinary: Usage { messages_s: Some(starts), bytes_s: Some(starts * whole), ..Usage::default() },
        worst: Usage {
            messages_s: Some(relays / READY_WITHIN.value),
            bytes_s: Some(relays * whole / READY_WITHIN.value),
            ..Usage::default()
        },
        worst_minute: "all relays cold, each ready in time",
        mechanism: Some("the whole list to each relay"),
        needed_by: &["relay-start"],
        worked_out: "one reader's bytes times the relays; a relay's machine restarts as often as a router's",
        ..before.clone()
    })
}

fn service_break(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let missed = entries_a_second() * REGION_AWAY.value * m.at("change_bytes", 1.0)?;
    let relays = CONTROL_MACHINES.value / REGIONS.value;
    Ok(Row {
        worst: Usage {
            messages_s: Some(relays / READY_WITHIN.value),
            bytes_s: Some(relays * missed / READY_WITHIN.value),
            ..Usage::default()
        },
        needed_by: &["relay-start"],
        worked_out: "a region's part of the relays times what one of them missed",
        ..before.clone()
    })
}

fn service_changes(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let (relays, change) = (CONTROL_MACHINES.value, m.at("change_bytes", 1.0)?);
    let of_all = |entries: f64| Usage { bytes_s: Some(relays * entries * change), ..Usage::default() };
    Ok(Row {
        state: format!("{} connections", plain(relays)),
        ordinary: of_all(entries_a_second()),
        worst: of_all(entries_of_a_lost_zone()),
        mechanism: Some("each change to every relay"),
        needed_by: &["relay-changes"],
        worked_out: "one reader's bytes times the relays",
        ..before.clone()
    })
}

/// What relays do. What a control machine may take is not told: a core and its link are assumed.
fn relay(m: &Measured) -> Result<Vec<Row>, MissingCost> {
    let (routers, part) = (routers_of_a_relay(), cell_engines());
    let held_mb = m.at("relay_held_kb", ENGINES.value)? / 1e3;
    let budget = Usage {
        bytes_s: Some(SERVICE_BYTES.value),
        cores: Some(ROUTER_CORES.value),
        memory_mb: Some(ROUTER_MB.value),
        seconds: Some(READY_WITHIN.value),
        ..Usage::default()
    };
    let read_s = per_second(m.at("list_cpu_ms", ENGINES.value)? + m.at("relay_learn_ms", ENGINES.value)?);
    let told_s = per_second(m.at("relay_start_ms", routers)?);
    let start = Row {
        id: "relay-start",
        role: Role::ControlMachine,
        activity: "learning the list, and telling routers their parts at their start",
        state: format!("{} engines, {} routers", plain(ENGINES.value), plain(routers.round())),
        ordinary: Usage { memory_mb: Some(held_mb), ..Usage::default() },
        worst: Usage {
            bytes_s: Some(
                (routers * m.at("cells_start_bytes", part)? + m.at("list_bytes", ENGINES.value)?)
                    / READY_WITHIN.value,
            ),
            cores: Some((read_s + told_s) / READY_WITHIN.value),
            memory_mb: Some(held_mb),
            seconds: Some(m.at("relay_start_s", routers)?),
            ..Usage::default()
        },
        worst_minute: "all routers and relays cold",
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
        worked_out: "a relay's part of the routers; its budget is one core and one link",
    };
    let rest_cores = per_second(m.at("relay_rest_ms_s", routers)?);
    let each_router = m.at("cells_rest_bytes_s", part)?;
    let change = m.at("cells_change_bytes", 1.0)?;
    let messages = m.at("cells_rest_messages_s", part)?;
    let told = |entries: f64| Usage {
        messages_s: Some(routers * messages + entries * sharers()),
        bytes_s: Some(routers * each_router + entries * sharers() * change),
        cores: Some(rest_cores),
        memory_mb: Some(held_mb),
        ..Usage::default()
    };
    let changes = Row {
        id: "relay-changes",
        activity: "telling changes to the routers of their cells, and answering asks",
        ordinary: told(entries_a_second()),
        worst: told(entries_of_a_lost_zone()),
        worst_minute: "a zone lost and its engines replaced",
        needed_by: &["list-changes"],
        costs: &["relay_rest_ms_s", "cells_rest_bytes_s", "cells_rest_messages_s", "cells_change_bytes"],
        worked_out: "a relay's part of the routers; each change to as many of them as share a cell, at most; processor time at rest",
        ..start.clone()
    };
    Ok(vec![start, changes])
}

/// Routers of one cell.
fn sharers() -> f64 {
    ROUTERS.value / ZONES.value / CELLS.value
}

fn engine_told(m: &Measured, before: &Row) -> Result<Row, MissingCost> {
    let change = m.at("cells_change_bytes", 1.0)?;
    let part = |usage: Usage| Usage {
        messages_s: usage.messages_s.map(|n| n / ROUTERS.value * sharers()),
        bytes_s: usage.messages_s.map(|n| n / ROUTERS.value * sharers() * change),
        ..usage
    };
    Ok(Row {
        state: "one entry of the list at each router of its cell".into(),
        ordinary: part(before.ordinary),
        worst: part(before.worst),
        mechanism: Some("a message to every router of its cell"),
        costs: &["cells_change_bytes"],
        worked_out: "entries a day of one engine times the routers of its cell; no budget is named",
        ..before.clone()
    })
}
