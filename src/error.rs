//! Why the program can't be set up, can't start, or can't go on.

use std::net::AddrParseError;
use std::path::PathBuf;

use marljunction_fleet::{FleetError, KeyFileError};

/// Why the files that a process is set up by can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment names no configuration.
    #[error("ROUTER_CONFIG names no file")]
    MissingConfiguration,
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the machine says.
        source: std::io::Error,
    },
    /// The configuration is not of its form.
    #[error("configuration: {0}")]
    Configuration(#[source] serde_json::Error),
    /// The configuration's seed is not a hexadecimal number.
    #[error("seed: {0}")]
    Seed(#[source] std::num::ParseIntError),
    /// The settings in the configuration are not of their form.
    #[error("settings: {0}")]
    Settings(#[source] serde_json::Error),
    /// The settings hold what can't be used, or the list of known engines does.
    #[error("{0}")]
    Content(String),
    /// The PostgreSQL file is not of its form.
    #[error("PostgreSQL file: {0}")]
    PostgresConfig(#[source] serde_json::Error),
    /// PostgreSQL is set up in two places.
    #[error("MARLJUNCTION_POSTGRES and the operator's file both set PostgreSQL up: keep one")]
    ConflictingPostgres,
    /// The operator's file is wrong, as its messages say.
    #[error("{} can't be used\n{messages}", path.display())]
    InvalidOperatorFile {
        /// The file.
        path: PathBuf,
        /// All that is wrong with it.
        messages: String,
    },
    /// The operator's file is right by its definitions, and yet of another shape.
    #[error("{} holds no record, or a limit of its fleet has neither a rate nor at_once, or both", path.display())]
    OperatorFileStructure {
        /// The file.
        path: PathBuf,
    },
    /// The fair queues' settings contradict each other.
    #[error("{0}")]
    FairQueue(String),
    /// A weight is of a tenant that the settings do not have.
    #[error("door: the weight of {0} is of no tenant: name one of the settings'")]
    UnknownTenant(String),
}

impl ConfigError {
    /// A file that can't be read.
    pub(crate) fn unreadable(path: impl Into<PathBuf>) -> impl FnOnce(std::io::Error) -> ConfigError {
        let path = path.into();
        |source| ConfigError::Unreadable { path, source }
    }
}

/// Why the program can't start, or can't go on.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// Its files can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The fleet's runtime can't start.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The fleet's keys can't be read.
    #[error(transparent)]
    Keys(#[from] KeyFileError),
    /// An address is not of the form `IP:PORT`.
    #[error("address {address}: {source}")]
    Address {
        /// The text.
        address: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// Where to listen can't be read.
    #[error("{0}")]
    Listen(String),
    /// The PostgreSQL side names a class that the settings do not have.
    #[error("unknown class {0:?}")]
    UnknownClass(String),
    /// The machine does not give what the program needs.
    #[error("{what}: {source}")]
    Io {
        /// What was wanted.
        what: &'static str,
        /// What the machine says.
        source: std::io::Error,
    },
}

impl DaemonError {
    /// The machine does not give what the program needs.
    pub(crate) fn io(what: &'static str) -> impl Fn(std::io::Error) -> DaemonError {
        move |source| DaemonError::Io { what, source }
    }
}
