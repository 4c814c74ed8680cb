//! The listening sockets: for MessagePack clients, PostgreSQL clients and the admin API.

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
/// Numbers of connections start behind those of listeners.
pub(super) const FIRST_CONNECTION: u64 = 15;

/// The least file descriptors that bounds are computed for, whatever the configuration says (count).
pub(super) const MIN_DESCRIPTORS: usize = 64;

/// The open listeners, and the bound on what they accept.
pub(super) struct Listeners {
    pub(super) msgpack: Option<TcpListener>,
    pub(super) postgres: Option<TcpListener>,
    pub(super) admin: Option<TcpListener>,
    /// The MessagePack listener is shared with whoever started this process: a successor accepts from it.
    pub(super) shared: bool,
    /// Clients' connections that may be open (count).
    pub(super) max_clients: usize,
    /// When the listeners are tried again (ns), where they may hold connections that no event tells of.
    pub(super) retry_ns: Option<u64>,
}

impl Listeners {
    /// Opens all of them.
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
            // The rest, less a few, is for engines.
            max_clients: config.limits.sockets.max(MIN_DESCRIPTORS) * 2 / 5,
            retry_ns: None,
        })
    }

    /// Whether clients can still connect.
    pub(super) fn accepts_clients(&self) -> bool {
        self.msgpack.is_some() || self.postgres.is_some()
    }

    /// Closes the clients' listeners; the admin API stays open to the end, as it tells that the process is not ready.
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
