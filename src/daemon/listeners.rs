//! Listening sockets for MessagePack clients, PostgreSQL clients and the admin API.

use log::info;
use marljunction_net::listener::Listen;
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};

use crate::config::{Config, ConfigFiles, PostgresConfig};
use crate::error::DaemonError;

pub(super) const MSGPACK: Token = Token(0);
pub(super) const POSTGRES: Token = Token(1);
pub(super) const SIGNALS: Token = Token(2);
pub(super) const ADMIN: Token = Token(3);
pub(super) const FLEET: Token = Token(4);
/// First token of a connection; lower ones are reserved.
pub(super) const FIRST_CONNECTION: u64 = 15;

/// Lower bound on the configured number of file descriptors.
pub(super) const MIN_DESCRIPTORS: usize = 64;

/// The open listeners, and the limit on client connections.
pub(super) struct Listeners {
    pub(super) msgpack: Option<TcpListener>,
    pub(super) postgres: Option<TcpListener>,
    pub(super) admin: Option<TcpListener>,
    /// The MessagePack socket was inherited, so the next process accepts on it as well.
    pub(super) shared: bool,
    /// Maximum number of open client connections.
    pub(super) max_clients: usize,
    /// When to accept again, if connections may wait for which no event is raised.
    pub(super) retry_ns: Option<u64>,
}

impl Listeners {
    /// Opens all listeners.
    pub(super) fn open(
        registry: &Registry,
        files: &ConfigFiles,
        config: &Config,
        postgres: Option<&PostgresConfig>,
    ) -> Result<Listeners, DaemonError> {
        let name = &config.name;
        let clients =
            Listen::of(&config.listen, files.inherited_socket.as_deref()).map_err(DaemonError::Listen)?;
        let msgpack = open_listener(registry, name, clients, MSGPACK)?;
        let postgres = postgres.and_then(|postgres| postgres.listen.as_deref());
        let postgres = postgres.map(|at| bind_listener(registry, name, at, POSTGRES)).transpose()?;
        let admin = config.operator.as_deref().or(files.operator.as_deref());
        let admin = admin.map(|at| bind_listener(registry, name, at, ADMIN)).transpose()?;
        Ok(Listeners {
            msgpack: Some(msgpack),
            postgres,
            admin,
            shared: clients.is_shared(),
            // The rest is for connections to engines, apart from a few.
            max_clients: config.limits.sockets.max(MIN_DESCRIPTORS) * 2 / 5,
            retry_ns: None,
        })
    }

    /// Returns whether clients can still connect.
    pub(super) fn accepts_clients(&self) -> bool {
        self.msgpack.is_some() || self.postgres.is_some()
    }

    /// Closes the client listeners. The admin API stays open to report that the process is not
    /// ready.
    pub(super) fn close_for_clients(&mut self) {
        self.msgpack = None;
        self.postgres = None;
    }
}

fn bind_listener(
    registry: &Registry,
    name: &str,
    address: &str,
    token: Token,
) -> Result<TcpListener, DaemonError> {
    let listen = Listen::of(address, None).map_err(DaemonError::Listen)?;
    open_listener(registry, name, listen, token)
}

fn open_listener(
    registry: &Registry,
    name: &str,
    listen: Listen,
    token: Token,
) -> Result<TcpListener, DaemonError> {
    let mut listener = listen.open().map_err(DaemonError::io("listen"))?;
    registry.register(&mut listener, token, Interest::READABLE).map_err(DaemonError::io("listen"))?;
    let local = listener.local_addr().map_err(DaemonError::io("listen"))?;
    let clients = match token {
        POSTGRES => " for PostgreSQL",
        ADMIN => " for the operators",
        _ => "",
    };
    let origin = if listen.is_shared() { ", on the socket handed down" } else { "" };
    info!("{name} listens on {local}{clients}{origin}");
    Ok(listener)
}
