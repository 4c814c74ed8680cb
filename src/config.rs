//! The configuration files: the router's JSON file, the PostgreSQL file and the operator's file.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::PathBuf;

use log::LevelFilter;
use marljunction_language::value::Value;

use crate::error::ConfigError;
use crate::setup::Setup;
use marljunction_fleet::{FleetConfig, ListTiming, RouterIdentity};
use serde::Deserialize;
use serde_json::value::RawValue;

use marljunction_control::interface::Settings;
use marljunction_discovery::stream::{Update, SILENT_NS};
use marljunction_fair_queue::settings::FairQueueConfig;
use marljunction_pacing::connection_budget::ConnectionBudget;
use marljunction_pacing::pace::{PacingParams, ParamsError, MAX_UPDATE_DELAY_NS};
use marljunction_settings::{read_settings, Names};

/// Longest interval between comments on the list service's stream.
const COMMENT_INTERVAL_NS: u64 = 1_000_000_000;

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// Memory in megabytes.
    pub memory_mb: f64,
    /// File descriptors.
    pub sockets: usize,
}

#[derive(Deserialize)]
struct RawKnown<'a> {
    index: u64,
    #[serde(default, borrow)]
    updates: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct RawConfig<'a> {
    name: String,
    listen: String,
    seed: String,
    limits: Limits,
    coordinator: Option<String>,
    #[serde(default)]
    operator: Option<String>,
    #[serde(borrow)]
    known: RawKnown<'a>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// PostgreSQL configuration; PostgreSQL is disabled without it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PostgresConfig {
    /// Listen address for PostgreSQL clients; without it none can connect.
    pub listen: Option<String>,
    /// Class of requests whose session sets none.
    pub class: String,
    /// Column names of a result, described before a query has run.
    pub columns: Vec<String>,
    /// Maximum number of open sessions.
    pub sessions: usize,
    /// Protocol of the engines.
    #[serde(default)]
    pub engines: EngineProtocol,
    /// Consul, used as the list service in place of the coordinator.
    pub consul: Option<ConsulConfig>,
}

/// Protocol of the engines.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum EngineProtocol {
    /// HTTP.
    #[default]
    Http,
    /// PostgreSQL.
    Postgres {
        /// User to connect as.
        user: String,
        /// Database to connect to.
        database: String,
    },
}

/// Address of Consul, and the name of the engines' service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConsulConfig {
    /// Address, `IP:PORT`.
    pub address: String,
    /// Service name.
    pub service: String,
}

/// Number of routers of the fleet that share a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouterCount {
    /// The count in the settings.
    #[default]
    FromSettings,
    /// Not known.
    Unknown,
    /// This many.
    Exact(u32),
}

/// Pacing of calls to the list service and of connections to engines: the `start` section.
#[derive(Clone, Debug, PartialEq)]
pub struct StartConfig {
    /// Calls per second to the list service, of the whole fleet.
    pub budget_per_s: f64,
    /// Routers that share the budget.
    pub routers: RouterCount,
    /// Longest wait before the first call to the list service.
    pub spread_ns: u64,
    /// Longest wait before the list service is called again.
    pub longest_ns: u64,
    /// Age from which the engine list counts as stale.
    pub stale_ns: u64,
    /// Connections per second for new work, of the whole fleet to one engine; `None` for no limit.
    pub connections_per_s: Option<f64>,
    /// File of the engine list snapshot; `None` writes no snapshot.
    pub snapshot_path: Option<PathBuf>,
    /// Age up to which a snapshot is used at the start.
    pub max_snapshot_age_ns: u64,
}

impl Default for StartConfig {
    fn default() -> Self {
        let pace = PacingParams::default();
        StartConfig {
            budget_per_s: pace.budget_per_s,
            routers: RouterCount::FromSettings,
            spread_ns: pace.spread_ns,
            longest_ns: pace.longest_ns,
            stale_ns: MAX_UPDATE_DELAY_NS,
            connections_per_s: None,
            snapshot_path: None,
            max_snapshot_age_ns: 3_600_000_000_000,
        }
    }
}

impl StartConfig {
    /// Returns the pace of router `me`; `router_count` is the count in the settings.
    pub fn pace(&self, router_count: u32, caller_index: u32) -> PacingParams {
        let callers = match self.routers {
            RouterCount::FromSettings => Some(router_count),
            RouterCount::Unknown => None,
            RouterCount::Exact(count) => Some(count),
        };
        let StartConfig { budget_per_s, spread_ns, longest_ns, .. } = *self;
        PacingParams { budget_per_s, callers, caller_index, spread_ns, longest_ns, ..PacingParams::default() }
    }

    /// Returns the timing of a fleet whose relays call the list service at this pace.
    pub fn list_timing(&self) -> ListTiming {
        let reconnect_ns = self.pace(0, 0).max_reconnect_ns(SILENT_NS);
        ListTiming { silence_ns: SILENT_NS + COMMENT_INTERVAL_NS, reconnect_ns, stale_ns: self.stale_ns }
    }

    /// Returns the fleet's budget of connections to one engine; `None` for no limit.
    pub fn connection_budget(&self, pace: PacingParams) -> Option<ConnectionBudget> {
        self.connections_per_s.map(|per_s| ConnectionBudget {
            per_s,
            caller_count: pace.caller_count(),
            pace,
        })
    }

    /// Describes the resulting bounds for operators; those that depend on the number of routers are
    /// left out if it is not known.
    pub fn bounds(&self, router_count: Option<u32>) -> String {
        let pace = self.pace(router_count.unwrap_or(0), 0);
        let callers = pace.callers.filter(|n| *n > 0);
        let seconds = |ns: u64| ns as f64 / 1e9;
        let mut summary = format!(
            "the engine list is at most {:.1} s out of date while the list service responds, and is \
             fetched within {:.1} s of its return",
            seconds(pace.max_reconnect_ns(SILENT_NS)),
            seconds(pace.max_recovery_ns())
        );
        if let (Some(count), Some(ideal)) = (callers, pace.min_all_calls_ns()) {
            summary.push_str(&format!(
                "; {count} routers at {} calls/s start within {:.1} s, at best {:.1} s",
                pace.budget_per_s,
                seconds(pace.window_ns()),
                seconds(ideal)
            ));
            if let Some(ParamsError::IntervalOverLongest(share)) = pace.find_error() {
                summary.push_str(&format!(
                    "; the longest wait of {:.1} s overrides the budget, which needs {:.1} s",
                    seconds(pace.longest_ns.min(pace.spread_ns)),
                    seconds(share)
                ));
            }
        }
        if let Some(connection_budget) = self.connection_budget(pace).filter(|_| callers.is_some()) {
            let max_connections = connection_budget.max_connections(1_000_000_000);
            summary.push_str(&format!(
                "; an engine gets at most {max_connections:.0} connections for new work within a second"
            ));
        }
        summary
    }
}

impl PostgresConfig {
    /// Parses the JSON text.
    ///
    /// # Errors
    /// If the text is not valid JSON of this form.
    pub fn read(text: &str) -> Result<PostgresConfig, ConfigError> {
        serde_json::from_str(text).map_err(ConfigError::PostgresConfig)
    }
}

#[derive(Deserialize)]
struct RawTiming {
    #[serde(default)]
    limits: RawTimingLimits,
}

#[derive(Default, Deserialize)]
struct RawTimingLimits {
    conn_idle_ns: Option<u64>,
    connect_timeout_ns: Option<u64>,
}

/// Content of all configuration files.
#[derive(Debug)]
pub struct LoadedConfig {
    /// The router's configuration.
    pub config: Config,
    /// PostgreSQL configuration, if enabled.
    pub postgres: Option<PostgresConfig>,
    /// Settings of the fair queues, if enabled.
    pub fair_queue: Option<FairQueueConfig>,
    /// Pacing of the start and of reconnects.
    pub start: StartConfig,
    /// Fleet configuration, if the router is part of a fleet.
    pub fleet: Option<FleetConfig>,
    /// The evaluated operator's file, if there is one.
    pub operator: Option<Value>,
    /// Log level of the operator's file.
    pub level: Option<LevelFilter>,
}

/// Paths of the configuration files, and settings of the environment.
#[derive(Clone, Debug)]
pub struct ConfigFiles {
    /// The router's configuration.
    pub config: String,
    /// The PostgreSQL file, if any.
    pub postgres: Option<String>,
    /// The operator's file, if any.
    pub setup: Option<PathBuf>,
    /// Inherited listening socket for clients (`$ROUTER_FD`), used instead of binding `listen`.
    pub inherited_socket: Option<String>,
    /// Listen address of the admin API if the configuration has none (`$ROUTER_OPERATOR`).
    pub operator: Option<String>,
    /// Directory for state that the next process reads (`$TMPDIR`); without it no state is stored.
    pub state_dir: Option<PathBuf>,
}

impl ConfigFiles {
    /// Reads the environment; `setup` overrides the operator's file named there.
    ///
    /// # Errors
    /// If the environment does not name a configuration.
    pub fn from_env(setup: Option<PathBuf>) -> Result<ConfigFiles, ConfigError> {
        let config = std::env::var("ROUTER_CONFIG").map_err(|_| ConfigError::MissingConfiguration)?;
        let named = || std::env::var_os("MARLJUNCTION_SETUP").map(PathBuf::from);
        let postgres = std::env::var("MARLJUNCTION_POSTGRES").ok();
        let set = |name: &str| std::env::var(name).ok().filter(|value| !value.trim().is_empty());
        let (inherited_socket, operator) = (set("ROUTER_FD"), set("ROUTER_OPERATOR"));
        let state_dir = set("TMPDIR").map(PathBuf::from);
        Ok(ConfigFiles {
            config,
            postgres,
            setup: setup.or_else(named),
            inherited_socket,
            operator,
            state_dir,
        })
    }

    /// Reads the operator's file; defaults if there is none.
    fn setup(&self) -> Result<Setup, ConfigError> {
        self.setup.as_deref().map_or(Ok(Setup::default()), Setup::from_file)
    }

    /// Reads all files.
    ///
    /// # Errors
    /// If a file cannot be read, is not valid, or contradicts another.
    pub fn read(&self) -> Result<LoadedConfig, ConfigError> {
        let text = |path: &str| std::fs::read_to_string(path).map_err(ConfigError::unreadable(path));
        let postgres = self.postgres.as_ref().map(|path| PostgresConfig::read(&text(path)?)).transpose()?;
        let Setup { fair_queue, postgres: operators_postgres, start, fleet, level, value } = self.setup()?;
        if postgres.is_some() && operators_postgres.is_some() {
            return Err(ConfigError::ConflictingPostgres);
        }
        let postgres = postgres.or(operators_postgres);
        if let Some(error) = fair_queue.as_ref().and_then(FairQueueConfig::find_error) {
            return Err(ConfigError::FairQueue(error));
        }
        let config = Config::read(&text(&self.config)?)?;
        let mut weighted = fair_queue.iter().flat_map(|settings| settings.weights.keys());
        if let Some(name) = weighted.find(|name| !config.names.tenants.contains(name)) {
            return Err(ConfigError::UnknownTenant(name.clone()));
        }
        Ok(LoadedConfig { config, postgres, fair_queue, start, fleet, operator: value, level })
    }
}

/// The router's configuration file.
#[derive(Debug)]
pub struct Config {
    /// Name of this router.
    pub name: String,
    /// Listen address for MessagePack clients.
    pub listen: String,
    /// Seed of random numbers.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Address of the coordinator, if any.
    pub coordinator: Option<String>,
    /// Listen address of the admin API, if configured.
    pub operator: Option<String>,
    /// Index of the last event in `known`.
    pub known_index: u64,
    /// Membership events from before the start.
    pub known: Vec<Update>,
    /// Settings of the decision module.
    pub settings: Settings,
    /// The settings as text.
    pub settings_text: String,
    /// Names of the classes, tenants, zones and kinds that the settings index.
    pub names: Names,
    /// Idle time after which engines close a connection.
    pub engine_idle_ns: u64,
    /// Timeout for connecting to an engine.
    pub connect_timeout_ns: u64,
}

impl Config {
    /// Returns the weight of each tenant: as configured, else its allowance, else 1.
    pub fn weights(&self, fair_queue: &FairQueueConfig) -> Vec<f64> {
        let allowances = self.settings.tenants.iter().map(|t| t.allowance_per_s);
        let by_name = |(name, allowance): (&String, Option<f64>)| {
            fair_queue.weights.get(name).copied().or(allowance).filter(|w| *w > 0.0).unwrap_or(1.0)
        };
        self.names.tenants.iter().zip(allowances).map(by_name).collect()
    }

    /// Returns a seed that differs between routers even if their configured seeds are equal. Guards
    /// against routers that act in lockstep.
    pub fn router_seed(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, &self.name, &self.listen).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns a seed that differs between processes, also of one configuration, such as those of an
    /// upgrade. `started_ns` is the start of this process, whose system id is `pid`.
    pub fn process_seed(&self, started_ns: u64, pid: u32) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.router_seed(), started_ns, pid).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the router's identity in its fleet.
    pub fn identity(&self) -> RouterIdentity {
        let zone = self.settings.zone.and_then(|zone| self.names.zones.get(zone.0)).cloned();
        RouterIdentity {
            name: self.name.clone(),
            number: self.settings.router_index,
            zone,
            seed: self.router_seed(),
        }
    }

    /// Parses the JSON text.
    ///
    /// # Errors
    /// If the text is not valid JSON of this form, or holds an invalid value.
    pub fn read(text: &str) -> Result<Config, ConfigError> {
        let raw: RawConfig = serde_json::from_str(text).map_err(ConfigError::Configuration)?;
        let (settings, names) = read_settings(raw.settings.get()).map_err(ConfigError::Content)?;
        let timing: RawTiming = serde_json::from_str(raw.settings.get()).map_err(ConfigError::Settings)?;
        let known = raw.known.updates.iter().map(|u| Update::read(u.get(), &names));
        Ok(Config {
            name: raw.name,
            listen: raw.listen,
            seed: u64::from_str_radix(&raw.seed, 16).map_err(ConfigError::Seed)?,
            limits: raw.limits,
            coordinator: raw.coordinator.filter(|c| !c.is_empty()),
            operator: raw.operator.filter(|o| !o.is_empty()),
            known_index: raw.known.index,
            known: known
                .collect::<Result<_, _>>()
                .map_err(|error| ConfigError::Content(format!("membership event: {error}")))?,
            settings,
            settings_text: raw.settings.get().to_owned(),
            engine_idle_ns: timing.limits.conn_idle_ns.unwrap_or(30_000_000_000),
            connect_timeout_ns: timing.limits.connect_timeout_ns.unwrap_or(250_000_000),
            names,
        })
    }
}
