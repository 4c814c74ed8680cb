//! Listening sockets: bound by this process or inherited from its parent.

use std::io;
use std::net::SocketAddr;

use mio::net::TcpListener;

/// The origin of a listening socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listen {
    /// Bind to this address.
    Bind(SocketAddr),
    /// Use this inherited descriptor (`$ROUTER_FD`), which other processes may share.
    Inherited(i32),
}

impl Listen {
    /// Parses `fd` (the value of `$ROUTER_FD`, if set), else `address`.
    ///
    /// # Errors
    /// Returns an error if `fd` is not a descriptor number, or `address` is not `IP:port`.
    pub fn of(address: &str, fd: Option<&str>) -> Result<Listen, String> {
        match fd.map(str::trim) {
            Some(fd) => fd
                .parse::<i32>()
                .ok()
                .filter(|fd| *fd >= 0)
                .map(Listen::Inherited)
                .ok_or(format!("ROUTER_FD {fd:?} is not a descriptor number")),
            None => address.parse().map(Listen::Bind).map_err(|e| format!("listen address {address}: {e}")),
        }
    }

    /// Opens the socket in non-blocking mode.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound, or the descriptor is not a TCP listener.
    pub fn open(self) -> io::Result<TcpListener> {
        match self {
            Listen::Bind(address) => TcpListener::bind(address),
            Listen::Inherited(fd) => {
                // This crate forbids unsafe code, so `listenfd` checks and wraps the descriptor. It
                // reads the descriptor's number from the variables of systemd socket activation.
                std::env::set_var("LISTEN_FDS", "1");
                std::env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
                std::env::remove_var("LISTEN_PID");
                let listener = listenfd::ListenFd::from_env().take_tcp_listener(0);
                std::env::remove_var("LISTEN_FDS_FIRST_FD");
                let listener = listener?.ok_or(io::Error::other(format!("descriptor {fd} is not open")))?;
                listener.set_nonblocking(true)?;
                Ok(TcpListener::from_std(listener))
            }
        }
    }

    /// Returns whether another process may accept from the same socket. A stopping process then
    /// leaves new connections to its successor.
    pub fn is_shared(self) -> bool {
        matches!(self, Listen::Inherited(_))
    }
}
