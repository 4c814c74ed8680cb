//! Rows of the list service, control machines, engines and tools.

use super::{Role, Row, Usage};
use crate::measured::{Measured, MissingCost};
use crate::size::*;
use crate::text::plain;

fn service_budget() -> Usage {
    Usage { bytes_s: Some(SERVICE_BYTES.value), messages_s: Some(SERVICE_CALLS.value), ..Usage::default() }
}

/// All rows of this module.
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
        activity: "sending the list at a start",
        state: format!("the list, {:.2} MB encoded", whole / 1e6),
        ordinary: Usage { messages_s: Some(starts), bytes_s: Some(starts * whole), ..Usage::default() },
        worst: Usage {
            messages_s: Some(routers / MAX_READY_TIME.value),
            bytes_s: Some(routers * whole / MAX_READY_TIME.value),
            ..Usage::default()
        },
        worst_minute: "all routers start at once, each ready in time",
        budget: service_budget(),
        mechanism: Some("the whole list to each router, from one service"),
        needed_by: &["list-start"],
        costs: &["list_bytes"],
        derivation: "bytes per router times the routers; processor time of the service is out of scope",
    };
    let missed = entries_per_s() * REGION_OUTAGE_TIME.value * change;
    let back = Row {
        id: "service-break",
        activity: "sending missed events after a break",
        state: "events after the oldest requested number".into(),
        ordinary: Usage::default(),
        worst: Usage {
            messages_s: Some(routers / REGIONS.value / MAX_READY_TIME.value),
            bytes_s: Some(routers / REGIONS.value * missed / MAX_READY_TIME.value),
            ..Usage::default()
        },
        worst_minute: "a region reconnects after an outage",
        mechanism: Some("events after a number"),
        needed_by: &["list-break"],
        costs: &["change_bytes"],
        derivation: "a region's share of the routers times the events that one of them missed",
        ..start.clone()
    };
    let of_all = |entries: f64| Usage { bytes_s: Some(routers * entries * change), ..Usage::default() };
    let changes = Row {
        id: "service-changes",
        activity: "sending changes",
        state: format!("{} connections", plain(routers)),
        ordinary: of_all(entries_per_s()),
        worst: of_all(lost_zone_entries_per_s()),
        worst_minute: "a zone lost and its engines replaced",
        mechanism: Some("each change to every router"),
        needed_by: &["list-changes"],
        costs: &["change_bytes"],
        derivation: "bytes per router times the routers",
        ..start.clone()
    };
    Ok(vec![start, back, changes])
}

fn control_machine() -> Row {
    Row {
        id: "relay",
        role: Role::ControlMachine,
        activity: "any",
        state: format!("{:.0} machines; no part of the program runs there", CONTROL_MACHINES.value),
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
            "sending its changes",
            "one entry of the list at each router",
            updates,
            Usage { messages_s: Some(routers), bytes_s: Some(routers * change), ..Usage::default() },
            "one change, sent to all routers within a second",
            "an event to every router",
            &["change_bytes"],
            "list entries of one engine per day times the routers; no budget is required",
        ),
        row(
            "engine-trials",
            "probes while it is excluded",
            "evidence at each router",
            trials,
            trials,
            "",
            "one router probes at a time, whatever the number of routers",
            &[],
            "docs/design/fleet-health.md: at most one probe per second",
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
        activity: "excluding an engine on the fleet through one router",
        state: "an override with its version at each router".into(),
        ordinary: Usage { seconds: Some(m.at("verdicts_heard_s", routers)?), ..Usage::default() },
        worst: Usage::default(),
        worst_minute: "",
        budget: Usage { seconds: Some(MAX_CONFIG_CHANGE_TIME.value), ..Usage::default() },
        mechanism: Some("overrides of `health::Node`"),
        needed_by: &[],
        costs: &["verdicts_heard_s"],
        derivation: "simulated without packet loss; the budget is that of a configuration change",
    };
    let configuration = Row {
        id: "tools-configuration",
        activity: "distributing a configuration change",
        state: format!("a file of {:.2} MB per machine", bytes / 1e6),
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
        derivation:
            "whole files copied by the operators, as there is no other mechanism; their time is not included",
        ..override_row.clone()
    };
    Ok(vec![override_row, configuration])
}
