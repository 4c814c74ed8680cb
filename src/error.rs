//! Errors of the configuration, and of starting and running the daemon.

use std::net::AddrParseError;
use std::path::PathBuf;

use marljunction_fleet::{FleetError, KeyFileError};

/// Error in one of the configuration files.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment does not name a configuration file.
    #[error("ROUTER_CONFIG is not set or not valid Unicode")]
    MissingConfiguration,
    /// A file cannot be read or written.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The configuration is not valid JSON, or lacks a field.
    #[error("configuration: {0}")]
    Configuration(#[source] serde_json::Error),
    /// The seed in the configuration is not a hexadecimal number.
    #[error("seed: {0}")]
    Seed(#[source] std::num::ParseIntError),
    /// The settings in the configuration are not valid.
    #[error("settings: {0}")]
    Settings(#[source] serde_json::Error),
    /// The settings or the known engines hold an invalid value.
    #[error("{0}")]
    Content(String),
    /// The PostgreSQL file is not valid.
    #[error("PostgreSQL file: {0}")]
    PostgresConfig(#[source] serde_json::Error),
    /// PostgreSQL is configured in two files.
    #[error("MARLJUNCTION_POSTGRES and the operator's file both configure PostgreSQL: keep one")]
    ConflictingPostgres,
    /// The operator's file does not match its schema.
    #[error("{} is not valid\n{messages}", path.display())]
    InvalidOperatorFile {
        /// Path of the file.
        path: PathBuf,
        /// All errors, one message each.
        messages: String,
    },
    /// The operator's file matches its schema, but cannot be converted.
    #[error("{} is not valid: the top level must be a record, and each fleet limit needs either rate or at_once", path.display())]
    OperatorFileStructure {
        /// Path of the file.
        path: PathBuf,
    },
    /// The settings of the fair queues contradict each other.
    #[error("{0}")]
    FairQueue(String),
    /// A weight is given for a tenant that is not in the settings.
    #[error("door.weights: unknown tenant {0}; use a tenant of the settings")]
    UnknownTenant(String),
}

impl ConfigError {
    /// Wraps an I/O error with the path of the file.
    pub(crate) fn unreadable(path: impl Into<PathBuf>) -> impl FnOnce(std::io::Error) -> ConfigError {
        let path = path.into();
        |source| ConfigError::Unreadable { path, source }
    }
}

/// Error that prevents the daemon from starting, or ends it.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A configuration file is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The fleet runtime cannot start.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The fleet's key file cannot be used.
    #[error(transparent)]
    Keys(#[from] KeyFileError),
    /// An address is not of the form `IP:PORT`.
    #[error("address {address}: {source}")]
    Address {
        /// The address as configured.
        address: String,
        /// Parse error.
        source: AddrParseError,
    },
    /// The listen address or the inherited socket is not valid.
    #[error("{0}")]
    Listen(String),
    /// The PostgreSQL configuration names a class that is not in the settings.
    #[error("unknown class {0:?}")]
    UnknownClass(String),
    /// A system call failed.
    #[error("{what}: {source}")]
    Io {
        /// The resource that was requested.
        what: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

impl DaemonError {
    /// Wraps an I/O error with the resource that was requested.
    pub(crate) fn io(what: &'static str) -> impl Fn(std::io::Error) -> DaemonError {
        move |source| DaemonError::Io { what, source }
    }
}
