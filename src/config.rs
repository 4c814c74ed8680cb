//! The configuration: where to listen, the limits, the settings of the module and the engines known so far.

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
use marljunction_fair_queue::settings::DoorSettings;
use marljunction_pacing::opening::Openings;
use marljunction_pacing::pace::{Pace, Unfit, TOLD_NS};
use marljunction_settings::{read_settings, Names};

/// How often the list service says something at least (ns).
const COMMENT_INTERVAL_NS: u64 = 1_000_000_000;

/// Limits of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// Memory, in megabytes.
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

/// The PostgreSQL side, from a file of its own; without one it is off.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PostgresConfig {
    /// Where PostgreSQL clients connect; absent for nowhere.
    pub listen: Option<String>,
    /// Class of requests whose session names none.
    pub class: String,
    /// Names of a result's columns.
    pub columns: Vec<String>,
    /// Sessions that may be open.
    pub sessions: usize,
    /// What the engines speak.
    #[serde(default)]
    pub engines: EngineProtocol,
    /// Consul in the coordinator's place.
    pub consul: Option<ConsulConfig>,
}

/// What the engines speak.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum EngineProtocol {
    /// The platform's HTTP.
    #[default]
    Http,
    /// PostgreSQL, as this user on this database.
    Postgres {
        /// The user.
        user: String,
        /// The database.
        database: String,
    },
}

/// Where Consul is, and the engines' service there.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConsulConfig {
    /// Its address.
    pub address: String,
    /// The service.
    pub service: String,
}

/// How many routers the fleet has, as the operator's file says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouterCount {
    /// As many as the settings say.
    #[default]
    FromSettings,
    /// Nobody knows.
    Unknown,
    /// So many.
    Exact(u32),
}

/// How a router starts and comes back, as the operator's file says.
#[derive(Clone, Debug, PartialEq)]
pub struct StartConfig {
    /// Calls a second that the list service takes from the whole fleet.
    pub budget_per_s: f64,
    /// Routers of the fleet.
    pub routers: RouterCount,
    /// Longest wait before the list service is called, where nothing speaks against it (ns).
    pub spread_ns: u64,
    /// Longest wait before the list service is called again (ns).
    pub longest_ns: u64,
    /// Age from which news of the engines counts as too old (ns).
    pub stale_ns: u64,
    /// Connections for new work that all routers together open to one engine in a second; none for any number.
    pub connections_per_s: Option<f64>,
    /// File that the last list of engines is kept in; none for nowhere.
    pub snapshot_path: Option<PathBuf>,
    /// Age up to which a kept list is used (ns).
    pub max_snapshot_age_ns: u64,
}

impl Default for StartConfig {
    fn default() -> Self {
        let pace = Pace::default();
        StartConfig {
            budget_per_s: pace.budget_per_s,
            routers: RouterCount::FromSettings,
            spread_ns: pace.spread_ns,
            longest_ns: pace.longest_ns,
            stale_ns: TOLD_NS,
            connections_per_s: None,
            snapshot_path: None,
            max_snapshot_age_ns: 3_600_000_000_000,
        }
    }
}

impl StartConfig {
    /// The pace of router `me` of a fleet that the settings say has `gateways` routers.
    pub fn pace(&self, router_count: u32, me: u32) -> Pace {
        let callers = match self.routers {
            RouterCount::FromSettings => Some(router_count),
            RouterCount::Unknown => None,
            RouterCount::Exact(count) => Some(count),
        };
        let StartConfig { budget_per_s, spread_ns, longest_ns, .. } = *self;
        Pace { budget_per_s, callers, me, spread_ns, longest_ns, ..Pace::default() }
    }

    /// The times that a fleet with relays goes by, which call the list service so.
    pub fn list_timing(&self) -> ListTiming {
        let reconnect_ns = self.pace(0, 0).blind_at_most_ns(SILENT_NS);
        ListTiming { silence_ns: SILENT_NS + COMMENT_INTERVAL_NS, reconnect_ns, stale_ns: self.stale_ns }
    }

    /// What routers together may open to one engine, for a fleet of this pace; none for any number.
    pub fn connection_budget(&self, pace: Pace) -> Option<Openings> {
        self.connections_per_s.map(|per_s| Openings { per_s, sharers: pace.sharers(), pace })
    }

    /// What follows from it for news of the engines, as operators read it; nothing is said of the budget's share where the
    /// count of routers is not known here.
    pub fn bounds(&self, router_count: Option<u32>) -> String {
        let pace = self.pace(router_count.unwrap_or(0), 0);
        let callers = pace.callers.filter(|n| *n > 0);
        let seconds = |ns: u64| ns as f64 / 1e9;
        let mut summary = format!(
            "news of the engines is at most {:.1} s late while the list service answers",
            seconds(pace.blind_at_most_ns(SILENT_NS))
        );
        if let (Some(count), Some(ideal)) = (callers, pace.ideal_ns()) {
            summary.push_str(&format!(
                "; {count} routers at {} calls/s start within {:.1} s, at best {:.1} s",
                pace.budget_per_s,
                seconds(pace.window_ns()),
                seconds(ideal)
            ));
            if let Some(Unfit::ShareOverLongest(share)) = pace.unfit() {
                summary.push_str(&format!(
                    "; the longest wait of {:.1} s goes before the budget, which asks for {:.1} s",
                    seconds(pace.longest_ns.min(pace.spread_ns)),
                    seconds(share)
                ));
            }
        }
        if let Some(connection_budget) = self.connection_budget(pace).filter(|_| callers.is_some()) {
            let max_connections = connection_budget.at_most(1_000_000_000);
            summary.push_str(&format!(
                "; an engine gets at most {max_connections:.0} connections for new work within a second"
            ));
        }
        summary
    }
}

impl PostgresConfig {
    /// Reads the JSON text.
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

/// What the files say.
#[derive(Debug)]
pub struct LoadedConfig {
    /// The configuration.
    pub config: Config,
    /// The PostgreSQL side, where it is on.
    pub postgres: Option<PostgresConfig>,
    /// The door, where it is on.
    pub door: Option<DoorSettings>,
    /// How the router starts and comes back.
    pub start: StartConfig,
    /// The fleet, where routers talk to each other.
    pub fleet: Option<FleetConfig>,
    /// All that the operator's file says, and the level of the log that it names.
    pub operator: Option<Value>,
    /// The level of the log.
    pub level: Option<LevelFilter>,
}

/// The files that one process is set up by; a reload reads them again.
#[derive(Clone, Debug)]
pub struct ConfigFiles {
    /// The configuration.
    pub config: String,
    /// The PostgreSQL side, where it is on.
    pub postgres: Option<String>,
    /// The operator's file, where there is one.
    pub setup: Option<PathBuf>,
    /// The clients' listening socket as the platform hands it down (`$ROUTER_FD`), in place of binding `listen`.
    pub inherited_socket: Option<String>,
    /// Where the operators' door listens where the configuration does not say (`$ROUTER_OPERATOR`).
    pub operator: Option<String>,
    /// Where what must outlast the process is kept for its successor (`$TMPDIR`); nothing is kept without it.
    pub state_dir: Option<PathBuf>,
}

impl ConfigFiles {
    /// As the environment names them; `setup` in place of the operator's file that it names.
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

    /// What the operator's file says; nothing where there is none.
    fn setup(&self) -> Result<Setup, ConfigError> {
        self.setup.as_deref().map_or(Ok(Setup::default()), Setup::from_file)
    }

    /// Reads all of them.
    ///
    /// # Errors
    /// Where one can't be read, is not of its form, or contradicts another.
    pub fn read(&self) -> Result<LoadedConfig, ConfigError> {
        let text = |path: &str| std::fs::read_to_string(path).map_err(ConfigError::unreadable(path));
        let postgres = self.postgres.as_ref().map(|path| PostgresConfig::read(&text(path)?)).transpose()?;
        let Setup { door, postgres: operators_postgres, start, fleet, level, value } = self.setup()?;
        if postgres.is_some() && operators_postgres.is_some() {
            return Err(ConfigError::ConflictingPostgres);
        }
        let postgres = postgres.or(operators_postgres);
        if let Some(fault) = door.as_ref().and_then(DoorSettings::fault) {
            return Err(ConfigError::FairQueue(fault));
        }
        let config = Config::read(&text(&self.config)?)?;
        let mut weighted = door.iter().flat_map(|d| d.weights.keys());
        if let Some(name) = weighted.find(|name| !config.names.tenants.contains(name)) {
            return Err(ConfigError::UnknownTenant(name.clone()));
        }
        Ok(LoadedConfig { config, postgres, door, start, fleet, operator: value, level })
    }
}

/// All that one process is told at its start.
#[derive(Debug)]
pub struct Config {
    /// Name of this router.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Seed for random numbers.
    pub seed: u64,
    /// Limits of the machine.
    pub limits: Limits,
    /// Address of the coordinator, where there is one.
    pub coordinator: Option<String>,
    /// Where the operators' door listens, where the configuration says.
    pub operator: Option<String>,
    /// Number of the last event in `known`.
    pub known_index: u64,
    /// Membership events so far.
    pub known: Vec<Update>,
    /// Settings of the decision module.
    pub settings: Settings,
    /// The settings as they were written.
    pub settings_text: String,
    /// The names behind its numbers.
    pub names: Names,
    /// Engines close a connection that is idle for so long.
    pub engine_idle_ns: u64,
    /// A connection that does not come up within this time never will.
    pub connect_timeout_ns: u64,
}

impl Config {
    /// Weights of the tenants: as the door's file says, else by their allowances.
    pub fn weights(&self, door: &DoorSettings) -> Vec<f64> {
        let allowances = self.settings.tenants.iter().map(|t| t.allowance_per_s);
        let by_name = |(name, allowance): (&String, Option<f64>)| {
            door.weights.get(name).copied().or(allowance).filter(|w| *w > 0.0).unwrap_or(1.0)
        };
        self.names.tenants.iter().zip(allowances).map(by_name).collect()
    }

    /// The seed of this router's own draws. Guards against routers that were given one seed by mistake and would all
    /// do the same at the same moment: their names or addresses differ.
    pub fn router_seed(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, &self.name, &self.listen).hash(&mut hasher);
        hasher.finish()
    }

    /// Who this router is to its fleet.
    pub fn identity(&self) -> RouterIdentity {
        let zone = self.settings.zone.and_then(|zone| self.names.zones.get(zone.0)).cloned();
        RouterIdentity {
            name: self.name.clone(),
            number: self.settings.router_index,
            zone,
            seed: self.router_seed(),
        }
    }

    /// Reads the JSON text.
    ///
    /// # Errors
    /// Where it is not of its form.
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
