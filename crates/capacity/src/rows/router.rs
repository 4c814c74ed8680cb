//! Rows of a router.

use super::{control_budget, limit_keys, ms_to_seconds, Role, Row, Usage, BUDGETS_PER_ENGINE};
use crate::measured::{Measured, MissingCost};
use crate::size::*;
use crate::text::plain;

const STREAM_MECHANISM: &str = "`discovery::stream`: the whole list in one event, then events after a number";
/// Size of the keep-alive comment sent each second.
const COMMENT_BYTES_S: f64 = 3.0;
/// Rows that depend on the list.
const NEED_LIST: &[&str] =
    &["list-break", "list-changes", "primary", "deciding", "verdicts", "cold", "busy", "words"];

/// Engine list and configuration.
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
        true => {
            format!("the largest measured list has {} engines; a larger event is dropped", plain(largest))
        }
        false => "measured at this size".to_owned(),
    };
    Ok(Row {
        id: "list-start",
        role: Role::Router,
        activity: "loading the list at a start",
        state: format!("{} engines, {:.2} MB encoded; {learned}", plain(engines), bytes / 1e6),
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
        worst_minute: "all routers start at once, each ready in time",
        budget: control_budget(),
        mechanism: Some(STREAM_MECHANISM),
        needed_by: NEED_LIST,
        costs: &["list_bytes", "list_cpu_ms", "decision_list_us", "program_peak_kb"],
        derivation: "starts per router and day: its share of all restarts",
    })
}

fn list_break(m: &Measured) -> Result<Row, MissingCost> {
    let missed = entries_per_s() * REGION_OUTAGE_TIME.value;
    let bytes = missed * m.at("change_bytes", 1.0)?;
    let cpu_s = missed * change_cpu_s(m)?;
    Ok(Row {
        id: "list-break",
        role: Role::Router,
        activity: "loading missed events after a break",
        state: "the number of the last event".into(),
        ordinary: Usage::default(),
        worst: Usage {
            messages_s: Some(missed / MAX_READY_TIME.value),
            bytes_s: Some(bytes / MAX_READY_TIME.value),
            cores: Some(cpu_s / MAX_READY_TIME.value),
            ..Usage::default()
        },
        worst_minute: "a region reconnects: all missed events arrive at once",
        budget: control_budget(),
        mechanism: Some(
            "`Last-Event-ID`: events after a number; the whole list if the service restarted its numbering",
        ),
        needed_by: &[],
        costs: &["change_bytes", "list_cpu_ms", "decision_change_us"],
        derivation: "missed entries: the rate of an ordinary day times the duration of the outage",
    })
}

/// Processor time to parse one changed engine and pass it to the decision module (s).
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
        worst_minute: "a zone lost and its engines replaced, one event per engine",
        budget: control_budget(),
        mechanism: Some("events after a number, each engine's change to every router"),
        needed_by: &["primary"],
        costs: &["change_bytes", "list_cpu_ms", "decision_change_us"],
        derivation:
            "entries per second: restarts, failures and changes of primary, with the states of the protocol",
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
        worst_minute: "the largest delay of an update",
        budget: Usage { seconds: Some(MAX_PRIMARY_CHANGE_TIME.value), ..control_budget() },
        mechanism: Some("two entries of the list, below"),
        needed_by: &[],
        costs: &["change_bytes", "decision_change_us"],
        derivation: "time: the largest delay that the protocol allows, not a measurement",
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
        derivation: "a whole file written to each machine for each change, and SIGHUP; a router continues with the file that it \
                     started with, so no row depends on a change",
    })
}

/// Traffic between routers.
pub fn peer_rows(m: &Measured) -> Result<Vec<Row>, MissingCost> {
    Ok(vec![membership(m)?, limits(m)?, engine_health(m)?, cold(m)?])
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
    // The fit is capped by the size of full datagrams.
    let worst_messages = m.at("members_restart_datagrams_s", routers)?;
    let worst_bytes = m.at("members_restart_bytes_s", routers)?.min(worst_messages * MAX_DATAGRAM.value);
    let worst = usage(worst_bytes, cores * worst_bytes / bytes, worst_messages);
    Ok(Row {
        id: "membership",
        role: Role::Router,
        activity: "fleet membership (SWIM)",
        state: format!("{} peers; at most {}", plain(routers), plain(max_peers)),
        ordinary: usage(bytes, cores, messages),
        worst: Usage { seconds: Some(m.at("members_join_s", routers)?), ..worst },
        worst_minute: "a release restarts a tenth of the routers; time: all routers start at once, until each knows all others",
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
        derivation: "worst minute: at most full datagrams; processor time scaled by bytes from the ordinary day",
    })
}

fn limits(m: &Measured) -> Result<Row, MissingCost> {
    let (routers, keys) = (ROUTERS.value, LIMIT_KEYS.value);
    // A start costs the router's requests and its peers' responses; one router sends half of the
    // total.
    let start_bytes = m.at("limits_start_bytes", routers)? / 2.0;
    let start_messages = m.at("limits_start_messages", routers)? / 2.0;
    let start_s = ms_to_seconds(m.at("limits_start_ms", routers)?);
    let start_rate = |part: f64| 2.0 * part / MAX_READY_TIME.value;
    Ok(Row {
        id: "limits",
        role: Role::Router,
        activity: "shared limits",
        state: format!("{keys:.0} keys with demand beyond the own share, with their leases"),
        ordinary: limit_keys(m, keys)?,
        worst: Usage {
            messages_s: Some(start_rate(start_messages)),
            bytes_s: Some(start_rate(start_bytes)),
            cores: Some(start_s / MAX_READY_TIME.value),
            ..Usage::default()
        },
        worst_minute:
            "all routers start at once: each asks every other for its leases, and answers every other",
        budget: control_budget(),
        mechanism: Some("`limits::Node`: units leased between any two routers"),
        needed_by: &["cold"],
        costs: &[
            "limits_start_messages",
            "limits_start_bytes",
            "limits_start_ms",
            "limits_keys_messages_s",
            "limits_keys_bytes_s",
            "limits_keys_ms_s",
        ],
        derivation: "ordinary day: the assumed number of keys",
    })
}

fn engine_health(m: &Measured) -> Result<Row, MissingCost> {
    let routers = ROUTERS.value;
    let observers = observers_per_failure();
    let changes = FAILURES.value * engine_share() * observers / DAY_S;
    Ok(Row {
        id: "verdicts",
        role: Role::Router,
        activity: "engine health",
        state: format!("evidence of up to {} observers per failed engine", plain(routers)),
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
        worst_minute: "a zone lost: every message is full of evidence",
        budget: control_budget(),
        mechanism: Some("`health::Node`: evidence of each router to every router"),
        needed_by: &[],
        costs: &[
            "verdicts_rest_ms_s",
            "verdicts_messages_s",
            "verdicts_bytes_s",
            "verdicts_full_messages_s",
            "verdicts_full_bytes_s",
            "verdicts_full_ms_s",
        ],
        derivation: "ordinary day: for each failure, the routers that send to the engine before the list reports its end",
    })
}

/// Expected number of routers that send to a failed engine before the list reports it.
fn observers_per_failure() -> f64 {
    let calls_s = STATEMENTS.value / ENGINES.value;
    // Calls are distributed over the routers at random.
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
        mechanism: Some("a limit shared by all routers per cold engine and kind of class"),
        needed_by: &[],
        costs: &["limits_keys_messages_s", "limits_keys_bytes_s", "limits_keys_ms_s"],
        derivation: "concurrently cold engines: replaced engines times the warmup time",
    })
}

/// Work for clients.
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
            format!("state of {} engines", plain(ENGINES.value)),
            deciding,
            "the module scans every engine of the list",
            &["busy"],
            &["decision_us"],
            "statements per router: the total divided by the routers",
        ),
        row(
            "idle",
            "holding idle client connections",
            format!("{} connections", plain(connections.round())),
            idle,
            "one entry per connection",
            &[],
            &["idle_kb", "idle_ms_s"],
            "connections per router: the total divided by the routers; 18 million connections at once were not tested",
        ),
        row(
            "busy",
            "holding busy client connections",
            format!("{} statements per second", plain(statements.round())),
            busy,
            "one thread with an event loop; includes the decision among 8 engines",
            &[],
            &["statement_ms_s"],
            "extrapolated from the measured statement rates",
        ),
    ])
}
