//! Rows of all that is no router.

use super::{Role, Row, Usage};
use crate::measured::{Measured, MissingCost};
use crate::size::*;
use crate::text::plain;

fn service_budget() -> Usage {
    Usage { bytes_s: Some(SERVICE_BYTES.value), messages_s: Some(SERVICE_CALLS.value), ..Usage::default() }
}

/// All of them.
pub fn rows(m: &Measured) -> Result<Vec<Row>, MissingCost> {
    let mut rows = list_service(m)?;
    rows.push(control_machine());
    rows.extend(engine(m)?);
    rows.extend(tools(m)?);
    Ok(rows)
}

fn list_service(m: &Measured) -> Result<Vec<Row>, MissingCost> {
    let (routers, whole, change) =
        (ROUTERS.value, m.at("list_bytes", ENGINES.value)?, m.at("change_bytes", 1.0)?);
    let starts = starts_per_router_s() * routers;
    let start = Row {
        id: "service-start",
        role: Role::ListService,
        activity: "telling the list at a start",
        state: format!("the list, {:.2} MB as told", whole / 1e6),
        ordinary: Usage { messages_s: Some(starts), bytes_s: Some(starts * whole), ..Usage::default() },
        worst: Usage {
            messages_s: Some(routers / MAX_READY_TIME.value),
            bytes_s: Some(routers * whole / MAX_READY_TIME.value),
            ..Usage::default()
        },
        worst_minute: "all routers cold, each ready in time",
        budget: service_budget(),
        mechanism: Some("the whole list to each router, from one service"),
        needed_by: &["list-start"],
        costs: &["list_bytes"],
        derivation:
            "one router's bytes times the routers; the service's own processor time is not the project's",
    };
    let missed = entries_per_s() * REGION_OUTAGE_TIME.value * change;
    let back = Row {
        id: "service-break",
        activity: "telling what was missed after a break",
        state: "events behind the oldest number asked for".into(),
        ordinary: Usage::default(),
        worst: Usage {
            messages_s: Some(routers / REGIONS.value / MAX_READY_TIME.value),
            bytes_s: Some(routers / REGIONS.value * missed / MAX_READY_TIME.value),
            ..Usage::default()
        },
        worst_minute: "a region back after minutes",
        mechanism: Some("events behind a number"),
        needed_by: &["list-break"],
        costs: &["change_bytes"],
        derivation: "a region's part of the routers times what one of them missed",
        ..start.clone()
    };
    let of_all = |entries: f64| Usage { bytes_s: Some(routers * entries * change), ..Usage::default() };
    let changes = Row {
        id: "service-changes",
        activity: "telling changes",
        state: format!("{} connections", plain(routers)),
        ordinary: of_all(entries_per_s()),
        worst: of_all(lost_zone_entries_per_s()),
        worst_minute: "a zone lost and its engines replaced",
        mechanism: Some("each change to every router"),
        needed_by: &["list-changes"],
        costs: &["change_bytes"],
        derivation: "one router's bytes times the routers",
        ..start.clone()
    };
    Ok(vec![start, back, changes])
}

fn control_machine() -> Row {
    Row {
        id: "relay",
        role: Role::ControlMachine,
        activity: "anything",
        state: format!(
            "{:.0} machines are set aside; nothing of the program runs there",
            CONTROL_MACHINES.value
        ),
        ordinary: Usage::default(),
        worst: Usage::default(),
        worst_minute: "",
        budget: Usage::default(),
        mechanism: None,
        needed_by: &[],
        costs: &[],
        derivation: "",
    }
}

fn engine(m: &Measured) -> Result<Vec<Row>, MissingCost> {
    let routers = ROUTERS.value;
    let change = m.at("change_bytes", 1.0)?;
    let restarts = (RESTARTS.value * RESTART_ENTRIES + FAILURES.value * FAILURE_ENTRIES) * engine_share();
    let each_s = restarts / ENGINES.value / DAY_S;
    let updates = Usage {
        messages_s: Some(each_s * routers),
        bytes_s: Some(each_s * routers * change),
        ..Usage::default()
    };
    let trials = Usage { messages_s: Some(1.0), ..Usage::default() };
    let row = |id, activity, state: &str, ordinary, worst, worst_minute, mechanism, costs, derivation| Row {
        id,
        role: Role::Engine,
        activity,
        state: state.into(),
        ordinary,
        worst,
        worst_minute,
        budget: Usage::default(),
        mechanism: Some(mechanism),
        needed_by: &[],
        costs,
        derivation,
    };
    Ok(vec![
        row(
            "engine-told",
            "its changes being told",
            "one entry of the list at each router",
            updates,
            Usage { messages_s: Some(routers), bytes_s: Some(routers * change), ..Usage::default() },
            "one change, told to all within a second",
            "an event to every router",
            &["change_bytes"],
            "entries a day of one engine times the routers; no budget is named",
        ),
        row(
            "engine-trials",
            "being tried while it is out by verdict",
            "evidence at each router",
            trials,
            trials,
            "",
            "one router at a time has its turn, whatever their count",
            &[],
            "by docs/design/fleet-verdicts.md: a turn each second at most",
        ),
    ])
}

fn tools(m: &Measured) -> Result<Vec<Row>, MissingCost> {
    let routers = ROUTERS.value;
    let bytes = m.at("configuration_bytes", CONFIG_ENTRIES.value)?;
    let changes = CONFIG_CHANGES.value / DAY_S;
    let override_row = Row {
        id: "words",
        role: Role::OperatorTools,
        activity: "taking an engine out at one router, for all",
        state: "a word with its version at each router".into(),
        ordinary: Usage { seconds: Some(m.at("verdicts_heard_s", routers)?), ..Usage::default() },
        worst: Usage::default(),
        worst_minute: "",
        budget: Usage { seconds: Some(MAX_CONFIG_CHANGE_TIME.value), ..Usage::default() },
        mechanism: Some("words of `verdicts::Node`"),
        needed_by: &[],
        costs: &["verdicts_heard_s"],
        derivation: "in stepped time on a good wire; the budget is that of a change of configuration",
    };
    let configuration = Row {
        id: "tools-configuration",
        activity: "carrying a change of configuration",
        state: format!("a file of {:.2} MB for each machine", bytes / 1e6),
        ordinary: Usage {
            messages_s: Some(changes * routers),
            bytes_s: Some(changes * routers * bytes),
            ..Usage::default()
        },
        budget: Usage {
            seconds: Some(MAX_CONFIG_CHANGE_TIME.value),
            bytes_s: Some(SERVICE_BYTES.value * CONTROL_MACHINES.value),
            ..Usage::default()
        },
        mechanism: None,
        costs: &["configuration_bytes"],
        derivation: "whole files by hand, as nothing else carries a change; the time is the operators' own",
        ..override_row.clone()
    };
    Ok(vec![override_row, configuration])
}
