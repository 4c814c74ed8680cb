//! Errors of starting the runtime and of reloading its configuration.

use std::net::AddrParseError;
use std::path::PathBuf;

/// An unusable key file. The messages do not contain keys.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The file does not hold one or two keys.
    #[error("{}: {reason}", path.display())]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// What is malformed.
        reason: String,
    },
}

/// Kind of a name that is missing in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameKind {
    /// A tenant.
    Tenant,
    /// A request class.
    Class,
}

impl std::fmt::Display for NameKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            NameKind::Tenant => "tenant",
            NameKind::Class => "class",
        })
    }
}

/// The runtime cannot start.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// An address does not have the form `IP:PORT`.
    #[error("fleet: address {address}: {source}")]
    Address {
        /// Text of the address.
        address: String,
        /// Parse error.
        source: AddrParseError,
    },
    /// The socket cannot be bound.
    #[error("fleet: {address}: {source}")]
    Bind {
        /// Address to bind.
        address: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The local address of the socket cannot be determined.
    #[error("fleet: {0}")]
    LocalAddress(#[source] std::io::Error),
    /// The keys cannot be used.
    #[error(transparent)]
    Keys(#[from] KeyFileError),
    /// A limit names a tenant or class that is not in the settings.
    #[error("fleet: limit {limit}: no {kind} {name} in the settings")]
    UnknownName {
        /// Name of the limit.
        limit: String,
        /// Kind of the missing name.
        kind: NameKind,
        /// Missing name.
        name: String,
    },
}
