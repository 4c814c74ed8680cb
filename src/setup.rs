//! The operator's file: evaluated against its schema and converted to the program's settings.

use std::path::{Path, PathBuf};

use log::LevelFilter;
use marljunction_fair_queue::settings::{ClientKey, FairQueueConfig, Order};
use marljunction_language::eval::Loader;
use marljunction_language::message::format_report;
use marljunction_language::value::{Quantity, RecordValue, Value, ValueKind};
use marljunction_language::{read, Outcome};

use marljunction_cells::{CellPlan, DivideBy, RouterNumbering};
use marljunction_core::limits::LimitScope;
use marljunction_fleet::config::{failure_mode, limit_kind};
use marljunction_fleet::{FleetConfig, HealthConfig, LimitConfig, ListConfig, ListRole, ListTiming};
use marljunction_limits::Limit;

use crate::config::{ConsulConfig, EngineProtocol, PostgresConfig, RouterCount, StartConfig};
use crate::error::ConfigError;

/// Schema of the operator's file.
pub const DEFINITIONS: &str = include_str!("definitions.conf");

/// Content of an operator's file.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// Settings of the fair queues, if enabled.
    pub fair_queue: Option<FairQueueConfig>,
    /// PostgreSQL configuration, if enabled.
    pub postgres: Option<PostgresConfig>,
    /// Pacing of the start and of reconnects.
    pub start: StartConfig,
    /// Fleet configuration, if the router is part of a fleet.
    pub fleet: Option<FleetConfig>,
    /// Log level.
    pub level: Option<LevelFilter>,
    /// The evaluated file with defaults; `None` without a file.
    pub value: Option<Value>,
}

/// Loads included files from the directory of the main file.
struct IncludeDir {
    root: PathBuf,
}

impl Loader for IncludeDir {
    fn load(&mut self, _from: &str, name: &str) -> Result<(String, String), String> {
        let path = self.root.join(name);
        let resolved = path.canonicalize().map_err(|e| e.to_string())?;
        // Rejects includes of files outside of the main file's directory.
        if !resolved.starts_with(&self.root) {
            return Err("it is outside of the main file's directory".into());
        }
        let text = std::fs::read_to_string(&resolved).map_err(|e| e.to_string())?;
        Ok((resolved.display().to_string(), text))
    }
}

/// Reads a file and its includes, and evaluates them against the schema.
///
/// # Errors
/// If the file cannot be read; errors in its text are part of the outcome.
pub fn read_file(path: &Path) -> Result<Outcome, ConfigError> {
    let resolved = path.canonicalize().map_err(ConfigError::unreadable(path))?;
    let text = std::fs::read_to_string(&resolved).map_err(ConfigError::unreadable(path))?;
    let root = resolved.parent().map_or_else(PathBuf::new, Path::to_owned);
    let name = resolved.display().to_string();
    Ok(read(&name, &text, &mut IncludeDir { root }, DEFINITIONS, "#Main"))
}

/// Formats all errors of a file for operators; `None` if there are none.
pub fn diagnostics(outcome: &Outcome) -> Option<String> {
    let all: Vec<String> =
        outcome.diagnostics.iter().map(|fault| format_report(&outcome.sources, fault)).collect();
    (!all.is_empty()).then(|| all.join("\n"))
}

impl Setup {
    /// Reads the operator's file.
    ///
    /// # Errors
    /// If it cannot be read or is not valid.
    pub fn from_file(path: &Path) -> Result<Setup, ConfigError> {
        let outcome = read_file(path)?;
        if let Some(messages) = diagnostics(&outcome) {
            return Err(ConfigError::InvalidOperatorFile { path: path.to_owned(), messages });
        }
        Setup::of(&outcome.value).ok_or_else(|| ConfigError::OperatorFileStructure { path: path.to_owned() })
    }

    /// Converts a value that matches the schema; `None` if it has another structure.
    fn of(value: &Value) -> Option<Setup> {
        let main = record(value)?;
        let fair_queue = main.fields.get("door").map(|f| fair_queue(&f.value));
        let consul = main.fields.get("consul").map(|f| consul(&f.value));
        let postgres = main.fields.get("postgres").map(|f| postgres(&f.value, consul.clone().flatten()));
        let level = text(record(field(main, "log")?)?, "level")?.parse().ok();
        let start = match field(main, "start") {
            Some(section) => start(section)?,
            None => StartConfig::default(),
        };
        let mut fleet = optional_section(main.fields.get("fleet").map(|f| fleet(&f.value)))?;
        if let Some(list) = fleet.as_mut().and_then(|fleet| fleet.list.as_mut()) {
            list.timing = start.list_timing();
        }
        let (fair_queue, postgres) = (optional_section(fair_queue)?, optional_section(postgres)?);
        Some(Setup { fair_queue, postgres, start, fleet, level, value: Some(value.clone()) })
    }
}

/// Returns `Some(None)` for an absent section, and `None` for one that could not be converted.
fn optional_section<T>(section: Option<Option<T>>) -> Option<Option<T>> {
    match section {
        None => Some(None),
        Some(read) => read.map(Some),
    }
}

fn record(value: &Value) -> Option<&RecordValue> {
    if let ValueKind::Record(record) = &value.kind {
        Some(record)
    } else {
        None
    }
}

fn field<'a>(record: &'a RecordValue, name: &str) -> Option<&'a Value> {
    record.fields.get(name).map(|f| &f.value)
}

fn text(record: &RecordValue, name: &str) -> Option<String> {
    match &field(record, name)?.kind {
        ValueKind::Text(text) => Some(text.clone()),
        _ => None,
    }
}

fn number(record: &RecordValue, name: &str) -> Option<f64> {
    match field(record, name)?.kind {
        ValueKind::Number(Quantity { value, .. }) => Some(value),
        _ => None,
    }
}

fn milliseconds(record: &RecordValue, name: &str) -> Option<u64> {
    number(record, name).map(|ns| (ns / 1e6) as u64)
}

fn fair_queue(value: &Value) -> Option<FairQueueConfig> {
    let fair_queue = record(value)?;
    let client = match &field(fair_queue, "client")?.kind {
        ValueKind::Record(of) => ClientKey::Field(text(of, "field")?),
        ValueKind::Text(name) if name == "user" => ClientKey::User,
        ValueKind::Text(name) if name == "application_name" => ClientKey::ApplicationName,
        _ => ClientKey::Peer,
    };
    let weights = field(fair_queue, "weights").and_then(record);
    let weight = |(name, f): (&String, &marljunction_language::value::FieldValue)| match f.value.kind {
        ValueKind::Number(Quantity { value, .. }) => Some((name.clone(), value)),
        _ => None,
    };
    Some(FairQueueConfig {
        order: if text(fair_queue, "order")? == "fifo" { Order::Fifo } else { Order::Fair },
        client,
        weights: weights.iter().flat_map(|w| &w.fields).filter_map(weight).collect(),
        queues: number(fair_queue, "queues")? as usize,
        hand_size: number(fair_queue, "hand")? as usize,
        queued: number(fair_queue, "queued")? as usize,
        max_reservations: number(fair_queue, "promises")? as usize,
        reservation_window_ms: milliseconds(fair_queue, "window")?,
        stale_ms: milliseconds(fair_queue, "stale")?,
    })
}

fn start(value: &Value) -> Option<StartConfig> {
    let start = record(value)?;
    let nanoseconds = |name: &str| number(start, name).map(|ns| ns as u64);
    Some(StartConfig {
        budget_per_s: number(start, "budget")?,
        routers: match number(start, "routers") {
            Some(count) => RouterCount::Exact(count as u32),
            None if field(start, "routers").is_some() => RouterCount::Unknown,
            None => RouterCount::FromSettings,
        },
        spread_ns: nanoseconds("spread")?,
        longest_ns: nanoseconds("longest")?,
        stale_ns: nanoseconds("stale")?,
        connections_per_s: number(start, "connections"),
        snapshot_path: text(start, "keep").map(PathBuf::from),
        max_snapshot_age_ns: nanoseconds("keep_for")?,
    })
}

fn text_list(value: &Value) -> Option<Vec<String>> {
    let ValueKind::List(all, _) = &value.kind else { return None };
    let one = |v: &Value| match &v.kind {
        ValueKind::Text(text) => Some(text.clone()),
        _ => None,
    };
    all.iter().map(one).collect()
}

fn fleet(value: &Value) -> Option<FleetConfig> {
    let fleet = record(value)?;
    let limits = record(field(fleet, "limits")?)?;
    Some(FleetConfig {
        listen: text(fleet, "listen")?,
        advertise: text(fleet, "advertise"),
        key: PathBuf::from(text(fleet, "key")?),
        seeds: text_list(field(fleet, "seeds")?)?,
        routers: number(fleet, "routers")? as u32,
        lease_ns: number(fleet, "lease")? as u64,
        drift: number(fleet, "drift")?,
        cold: text(fleet, "cold")? == "shared",
        health: optional_section(fleet.fields.get("verdicts").map(|f| health(&f.value)))?,
        list: optional_section(fleet.fields.get("list").map(|f| list(&f.value)))?,
        limits: limits.fields.iter().map(|(name, f)| limit(name, &f.value)).collect::<Option<_>>()?,
    })
}

fn health(value: &Value) -> Option<HealthConfig> {
    let health = record(value)?;
    Some(HealthConfig {
        min_observers: number(health, "witnesses")? as u32,
        max_excluded: number(health, "out_most")?,
        evidence_lifetime_ns: number(health, "fade")? as u64,
        override_memory_ns: number(health, "remember")? as u64,
    })
}

fn list(value: &Value) -> Option<ListConfig> {
    let list = record(value)?;
    let of = |key: &str| number(list, key).map(|number| number as u32);
    let role = match field(list, "relays") {
        None => ListRole::Relay,
        Some(relays) => ListRole::Cell {
            relays: text_list(relays)?,
            plan: CellPlan {
                cells: of("cells")?,
                by: if text(list, "divide")? == "group" { DivideBy::Group } else { DivideBy::Engine },
                numbering: if text(list, "numbers")? == "turns" {
                    RouterNumbering::Interleaved
                } else {
                    RouterNumbering::Contiguous
                },
                cell: of("cell"),
                routers_per_cell: of("sharers"),
                rank: of("rank"),
            },
            engines: of("engines")?,
        },
    };
    let delay_ns = number(list, "delay").map_or(0, |ns| ns as u64);
    Some(ListConfig {
        role,
        request_interval_ns: number(list, "ask")? as u64,
        delay_ns,
        timing: ListTiming::default(),
    })
}

fn limit(name: &str, value: &Value) -> Option<LimitConfig> {
    let limit = record(value)?;
    let over = field(limit, "fail").and_then(record);
    let of = |key: &str| over.and_then(|over| number(over, key));
    Some(LimitConfig {
        limit: Limit {
            name: name.to_owned(),
            subject: [text(limit, "by"), text(limit, "tenant"), text(limit, "class")]
                .map(Option::unwrap_or_default)
                .join("/"),
            kind: limit_kind(number(limit, "rate"), number(limit, "burst"), number(limit, "at_once"))?,
            mode: failure_mode(of("over"), of("for")),
        },
        scope: match text(limit, "by")?.as_str() {
            "all" => LimitScope::All,
            "class" => LimitScope::Class,
            "tenant and class" => LimitScope::TenantAndClass,
            "client" => LimitScope::Client,
            _ => LimitScope::Tenant,
        },
        tenant: text(limit, "tenant"),
        class: text(limit, "class"),
    })
}

fn consul(value: &Value) -> Option<ConsulConfig> {
    let consul = record(value)?;
    Some(ConsulConfig { address: text(consul, "address")?, service: text(consul, "service")? })
}

fn postgres(value: &Value, consul: Option<ConsulConfig>) -> Option<PostgresConfig> {
    let section = record(value)?;
    let engines = match &field(section, "engines")?.kind {
        ValueKind::Record(of) => {
            EngineProtocol::Postgres { user: text(of, "user")?, database: text(of, "database")? }
        }
        _ => EngineProtocol::Http,
    };
    let columns = match &field(section, "columns")?.kind {
        ValueKind::List(all, _) => all.iter().map(|v| match &v.kind {
            ValueKind::Text(name) => Some(name.clone()),
            _ => None,
        }),
        _ => return None,
    };
    Some(PostgresConfig {
        listen: text(section, "listen"),
        class: text(section, "class")?,
        columns: columns.collect::<Option<_>>()?,
        sessions: number(section, "sessions")? as usize,
        engines,
        consul,
    })
}
