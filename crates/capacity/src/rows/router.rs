//! Rows of a router.

use super::{control_budget, limit_keys, ms_to_seconds, Role, Row, Usage, BUDGETS_PER_ENGINE};
use crate::measured::{Measured, MissingCost};
use crate::size::*;
use crate::text::plain;

const STREAM_MECHANISM: &str =
    "`discovery::stream`: the whole list in one event, later events behind a number";
/// Bytes of the comment that comes each second.
const COMMENT_BYTES_S: f64 = 3.0;
/// Rows that do nothing without the list.
const NEED_LIST: &[&str] =
    &["list-break", "list-changes", "primary", "deciding", "verdicts", "cold", "busy", "words"];

/// Learning the list, following it, and configuration.
pub fn list_rows(m: &Measured) -> Result<Vec<Row>, MissingCost> {
    Ok(vec![list_start(m)?, list_break(m)?, list_changes(m)?, primary(m)?, configuration(m)?])
}

fn list_start(m: &Measured) -> Result<Row, MissingCost> {
    let engines = ENGINES.value;
    let bytes = m.at("list_bytes", engines)?;
    let cpu_s = ms_to_seconds(m.at("list_cpu_ms", engines)?) + m.at("decision_list_us", engines)? / 1e6;
    let memory_mb = (m.at("program_peak_kb", engines)? - m.fit_of("program_peak_kb")?.constant) / 1e3;
    let starts = starts_per_router_s();
    let largest = m.fit_of("list_bytes")?.to;
    let learned = match largest < engines {
        true => format!(
            "the largest list that was learned has {} engines: a larger event is dropped",
            plain(largest)
        ),
        false => "a list of that size was learned".to_owned(),
    };
    Ok(Row {
        id: "list-start",
        role: Role::Router,
        activity: "learning the list at a start",
        state: format!("{} engines, {:.2} MB as told; {learned}", plain(engines), bytes / 1e6),
        ordinary: Usage {
            messages_s: Some(starts),
            bytes_s: Some(starts * bytes),
            cores: Some(starts * cpu_s),
            memory_mb: Some(memory_mb),
            ..Usage::default()
        },
        worst: Usage {
            messages_s: Some(1.0 / MAX_READY_TIME.value),
            bytes_s: Some(bytes / MAX_READY_TIME.value),
            cores: Some(cpu_s / MAX_READY_TIME.value),
            memory_mb: Some(memory_mb),
            ..Usage::default()
        },
        worst_minute: "all routers cold, each ready in time",
        budget: control_budget(),
        mechanism: Some(STREAM_MECHANISM),
        needed_by: NEED_LIST,
        costs: &["list_bytes", "list_cpu_ms", "decision_list_us", "program_peak_kb"],
        derivation: "starts of a router's machine a day: its part of all restarts",
    })
}

fn list_break(m: &Measured) -> Result<Row, MissingCost> {
    let missed = entries_per_s() * REGION_OUTAGE_TIME.value;
    let bytes = missed * m.at("change_bytes", 1.0)?;
    let cpu_s = missed * change_cpu_s(m)?;
    Ok(Row {
        id: "list-break",
        role: Role::Router,
        activity: "learning the list after a break",
        state: "the number of the last event".into(),
        ordinary: Usage::default(),
        worst: Usage {
            messages_s: Some(missed / MAX_READY_TIME.value),
            bytes_s: Some(bytes / MAX_READY_TIME.value),
            cores: Some(cpu_s / MAX_READY_TIME.value),
            ..Usage::default()
        },
        worst_minute: "a region back: what was missed comes at once",
        budget: control_budget(),
        mechanism: Some(
            "`Last-Event-ID`: events behind a number; the whole list where the service counts anew",
        ),
        needed_by: &[],
        costs: &["change_bytes", "list_cpu_ms", "decision_change_us"],
        derivation: "entries missed: the ordinary day's rate over the time away",
    })
}

/// Processor time of one changed engine: read, and told to the decision module (s).
fn change_cpu_s(m: &Measured) -> Result<f64, MissingCost> {
    let read_s = ms_to_seconds(m.fit_of("list_cpu_ms")?.slope.max(0.0));
    Ok(read_s + m.at("decision_change_us", ENGINES.value)? / 1e6)
}

fn list_changes(m: &Measured) -> Result<Row, MissingCost> {
    let (bytes, cpu_s) = (m.at("change_bytes", 1.0)?, change_cpu_s(m)?);
    let at = |entries: f64| Usage {
        messages_s: Some(entries),
        bytes_s: Some(entries * bytes + COMMENT_BYTES_S),
        cores: Some(entries * cpu_s),
        ..Usage::default()
    };
    Ok(Row {
        id: "list-changes",
        role: Role::Router,
        activity: "following changes of the list",
        state: "one connection to the list service".into(),
        ordinary: at(entries_per_s()),
        worst: at(lost_zone_entries_per_s()),
        worst_minute: "a zone lost and its engines replaced, one event for each",
        budget: control_budget(),
        mechanism: Some("events behind a number, each engine's change to every router"),
        needed_by: &["primary"],
        costs: &["change_bytes", "list_cpu_ms", "decision_change_us"],
        derivation:
            "entries a second: restarts, failures and changes of primary, by the states that the protocol has",
    })
}

fn primary(m: &Measured) -> Result<Row, MissingCost> {
    let (bytes, cpu_s) = (m.at("change_bytes", PRIMARY_ENTRIES)?, change_cpu_s(m)?);
    let changes = PRIMARY_CHANGES.value / DAY_S;
    Ok(Row {
        id: "primary",
        role: Role::Router,
        activity: "change of primary",
        state: "none: the list has no role".into(),
        ordinary: Usage {
            messages_s: Some(changes),
            bytes_s: Some(changes * bytes),
            cores: Some(changes * PRIMARY_ENTRIES * cpu_s),
            seconds: Some(MAX_UPDATE_DELAY.value),
            ..Usage::default()
        },
        worst: Usage { seconds: Some(MAX_UPDATE_DELAY.value), ..Usage::default() },
        worst_minute: "the service's news counts as told late",
        budget: Usage { seconds: Some(MAX_PRIMARY_CHANGE_TIME.value), ..control_budget() },
        mechanism: Some("two entries of the list, below"),
        needed_by: &[],
        costs: &["change_bytes", "decision_change_us"],
        derivation: "the time: what the protocol's page lets news be late, not a measurement",
    })
}

fn configuration(m: &Measured) -> Result<Row, MissingCost> {
    let bytes = m.at("configuration_bytes", CONFIG_ENTRIES.value)?;
    let cpu_s = ms_to_seconds(m.at("configuration_ms", CONFIG_ENTRIES.value)?);
    let changes = CONFIG_CHANGES.value / DAY_S;
    Ok(Row {
        id: "configuration",
        role: Role::Router,
        activity: "configuration",
        state: format!("a file of {:.2} MB", bytes / 1e6),
        ordinary: Usage {
            messages_s: Some(changes),
            bytes_s: Some(changes * bytes),
            cores: Some(changes * cpu_s),
            ..Usage::default()
        },
        worst: Usage::default(),
        worst_minute: "",
        budget: Usage { seconds: Some(MAX_CONFIG_CHANGE_TIME.value), ..control_budget() },
        mechanism: None,
        needed_by: &[],
        costs: &["configuration_bytes", "configuration_ms"],
        derivation: "the nearest there is, a whole file written to each machine for each change, and SIGHUP; a router works on with \
                     the file that it started with, so no row waits for a change",
    })
}

/// What routers say to each other.
pub fn peer_rows(m: &Measured) -> Result<Vec<Row>, MissingCost> {
    Ok(vec![membership(m)?, limits(m)?, verdicts(m)?, cold(m)?])
}

fn membership(m: &Measured) -> Result<Row, MissingCost> {
    let routers = ROUTERS.value;
    let memory_mb = m.at("members_held_kb", routers)? / 1e3;
    let max_peers = m.at("members_max_peers", routers)?;
    let usage = |bytes: f64, cores: f64, messages: f64| Usage {
        messages_s: Some(messages),
        bytes_s: Some(bytes),
        cores: Some(cores),
        memory_mb: Some(memory_mb),
        held: Some(routers),
        ..Usage::default()
    };
    let messages = m.at("members_datagrams_s", routers)?;
    let (bytes, cores) = (m.at("members_bytes_s", routers)?, ms_to_seconds(m.at("members_ms_s", routers)?));
    // Datagrams that are full hold no more: there the line of bytes ends.
    let worst_messages = m.at("members_restart_datagrams_s", routers)?;
    let worst_bytes = m.at("members_restart_bytes_s", routers)?.min(worst_messages * MAX_DATAGRAM.value);
    let worst = usage(worst_bytes, cores * worst_bytes / bytes, worst_messages);
    Ok(Row {
        id: "membership",
        role: Role::Router,
        activity: "fleet membership (SWIM)",
        state: format!("{} peers; {} are kept", plain(routers), plain(max_peers)),
        ordinary: usage(bytes, cores, messages),
        worst: Usage { seconds: Some(m.at("members_join_s", routers)?), ..worst },
        worst_minute: "a release restarts a tenth of the routers; time: all cold, until all know all",
        budget: Usage { seconds: Some(MAX_READY_TIME.value), held: Some(max_peers), ..control_budget() },
        mechanism: Some("`peers::Members`: each router knows every other"),
        needed_by: &["limits", "verdicts", "cold", "words"],
        costs: &[
            "members_bytes_s",
            "members_datagrams_s",
            "members_ms_s",
            "members_restart_bytes_s",
            "members_restart_datagrams_s",
            "members_join_s",
            "members_held_kb",
            "members_max_peers",
        ],
        derivation: "in the worst minute: no more than full datagrams; processor time as on the ordinary day, by bytes",
    })
}

fn limits(m: &Measured) -> Result<Row, MissingCost> {
    let (routers, keys) = (ROUTERS.value, LIMIT_KEYS.value);
    // One router's start is its own asks and its peers' answers: half of both is what one router sends.
    let start_bytes = m.at("limits_start_bytes", routers)? / 2.0;
    let start_messages = m.at("limits_start_messages", routers)? / 2.0;
    let start_s = ms_to_seconds(m.at("limits_start_ms", routers)?);
    let cold = |part: f64| 2.0 * part / MAX_READY_TIME.value;
    Ok(Row {
        id: "limits",
        role: Role::Router,
        activity: "shared limits",
        state: format!("{keys:.0} keys wanted beyond shares, loans of each"),
        ordinary: limit_keys(m, keys)?,
        worst: Usage {
            messages_s: Some(cold(start_messages)),
            bytes_s: Some(cold(start_bytes)),
            cores: Some(start_s / MAX_READY_TIME.value),
            ..Usage::default()
        },
        worst_minute: "all routers cold: each asks all what it lent, and answers all",
        budget: control_budget(),
        mechanism: Some("`limits::Node`: units lent between any two routers"),
        needed_by: &["cold"],
        costs: &[
            "limits_start_messages",
            "limits_start_bytes",
            "limits_start_ms",
            "limits_keys_messages_s",
            "limits_keys_bytes_s",
            "limits_keys_ms_s",
        ],
        derivation: "the ordinary day by the assumed count of keys",
    })
}

fn verdicts(m: &Measured) -> Result<Row, MissingCost> {
    let routers = ROUTERS.value;
    let observers = observers_per_failure();
    let changes = FAILURES.value * engine_share() * observers / DAY_S;
    Ok(Row {
        id: "verdicts",
        role: Role::Router,
        activity: "health verdicts",
        state: format!("evidence of up to {} witnesses of each bad engine", plain(routers)),
        ordinary: Usage {
            messages_s: Some(m.at("verdicts_messages_s", changes)?),
            bytes_s: Some(m.at("verdicts_bytes_s", changes)?),
            cores: Some(ms_to_seconds(m.at("verdicts_rest_ms_s", routers)?)),
            ..Usage::default()
        },
        worst: Usage {
            messages_s: Some(m.at("verdicts_full_messages_s", routers)?),
            bytes_s: Some(m.at("verdicts_full_bytes_s", routers)?),
            cores: Some(ms_to_seconds(m.at("verdicts_full_ms_s", routers)?)),
            ..Usage::default()
        },
        worst_minute: "a zone lost: all that a router may say is full of evidence",
        budget: control_budget(),
        mechanism: Some("`verdicts::Node`: every router's evidence to every router"),
        needed_by: &[],
        costs: &[
            "verdicts_rest_ms_s",
            "verdicts_messages_s",
            "verdicts_bytes_s",
            "verdicts_full_messages_s",
            "verdicts_full_bytes_s",
            "verdicts_full_ms_s",
        ],
        derivation: "evidence of an ordinary day: routers that send to an engine between its end and the news of it, for each failure",
    })
}

/// Routers that meet an engine's end before the list tells of it.
fn observers_per_failure() -> f64 {
    let calls_s = STATEMENTS.value / ENGINES.value;
    // Each call is of a router by chance.
    let unseen = (-calls_s * MAX_UPDATE_DELAY.value / ROUTERS.value).exp();
    ROUTERS.value * (1.0 - unseen)
}

fn cold(m: &Measured) -> Result<Row, MissingCost> {
    let renewed_s = (RESTARTS.value + FAILURES.value) * engine_share() / DAY_S;
    let ordinary = renewed_s * COLD_TIME.value * BUDGETS_PER_ENGINE;
    let worst = engines_per_zone() / MINUTE_S * COLD_TIME.value * BUDGETS_PER_ENGINE;
    Ok(Row {
        id: "cold",
        role: Role::Router,
        activity: "cold engines' budgets",
        state: format!("{ordinary:.1} keys, {worst:.0} in the worst minute"),
        ordinary: limit_keys(m, ordinary)?,
        worst: limit_keys(m, worst)?,
        worst_minute: "a zone lost, its engines replaced within the minute",
        budget: control_budget(),
        mechanism: Some("a shared limit for each cold engine and kind of class, of all routers"),
        needed_by: &[],
        costs: &["limits_keys_messages_s", "limits_keys_bytes_s", "limits_keys_ms_s"],
        derivation: "cold engines at once: renewed engines times how long one is cold",
    })
}

/// What a router does for its clients.
pub fn client_rows(m: &Measured) -> Result<Vec<Row>, MissingCost> {
    let statements = statements_per_router();
    let connections = connections_per_router();
    let deciding = statements * m.at("decision_us", ENGINES.value)? / 1e6;
    let idle = m.fit_of("idle_kb")?;
    let idle_mb = (idle.predict(connections) - idle.constant) / 1e3;
    let busy = m.fit_of("statement_ms_s")?;
    let busy_cores = ms_to_seconds(busy.predict(statements));
    let thread =
        Usage { cores: Some(ROUTER_CORES.value), memory_mb: Some(ROUTER_MB.value), ..Usage::default() };
    let row = |id, activity, state: String, usage: Usage, mechanism, needed_by, costs, derivation| Row {
        id,
        role: Role::Router,
        activity,
        state,
        ordinary: usage,
        worst: Usage::default(),
        worst_minute: "",
        budget: thread,
        mechanism: Some(mechanism),
        needed_by,
        costs,
        derivation,
    };
    let deciding = Usage { messages_s: Some(statements), cores: Some(deciding), ..Usage::default() };
    let idle = Usage {
        cores: Some(ms_to_seconds(m.at("idle_ms_s", connections)?)),
        memory_mb: Some(idle_mb),
        ..Usage::default()
    };
    let busy = Usage { messages_s: Some(statements), cores: Some(busy_cores), ..Usage::default() };
    Ok(vec![
        row(
            "deciding",
            "deciding one statement",
            format!("what is known of {} engines", plain(ENGINES.value)),
            deciding,
            "the module looks at every engine of the list",
            &["busy"],
            &["decision_us"],
            "a router's statements: all by the count of routers",
        ),
        row(
            "idle",
            "holding idle client connections",
            format!("{} connections", plain(connections.round())),
            idle,
            "one connection, one entry",
            &[],
            &["idle_kb", "idle_ms_s"],
            "a router's connections: all by the count of routers; 18 million at once were not made",
        ),
        row(
            "busy",
            "holding busy client connections",
            format!("{} statements a second", plain(statements.round())),
            busy,
            "one thread, one loop; the decision among 8 engines is within",
            &[],
            &["statement_ms_s"],
            "by the slope of statements a second, beyond those measured",
        ),
    ])
}
