//! Why the runtime can't start, or can't take a changed configuration.

use std::net::AddrParseError;
use std::path::PathBuf;

/// Why a file of the fleet's keys can't be used; neither text holds what is in the file.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the machine says.
        source: std::io::Error,
    },
    /// The file holds something else than one or two keys.
    #[error("{}: {reason}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
}

/// What a limit names that is not in the settings.
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

/// Why the runtime can't start.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// An address is not of the form `IP:PORT`.
    #[error("fleet: address {address}: {source}")]
    Address {
        /// The text.
        address: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// The socket can't be bound.
    #[error("fleet: {address}: {source}")]
    Bind {
        /// Where it was to be bound.
        address: String,
        /// What the machine says.
        source: std::io::Error,
    },
    /// The machine does not say where the socket is bound.
    #[error("fleet: {0}")]
    LocalAddress(#[source] std::io::Error),
    /// The keys can't be used.
    #[error(transparent)]
    Keys(#[from] KeyFileError),
    /// A limit is for a tenant or class that is not in the settings.
    #[error("fleet: limit {limit}: no {kind} {name} in the settings")]
    UnknownName {
        /// The limit.
        limit: String,
        /// What it names.
        kind: NameKind,
        /// The name.
        name: String,
    },
}
