//! Listening sockets: bound here, or handed down by whoever started the process.

use std::io;
use std::net::SocketAddr;

use mio::net::TcpListener;

/// Where the listener for clients comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listen {
    /// Bound here, at this address.
    Bind(SocketAddr),
    /// Handed down as this open descriptor, by the platform (`$ROUTER_FD`); several processes may share it.
    Inherited(i32),
}

impl Listen {
    /// Which one: a descriptor named by `fd` (the text of `$ROUTER_FD`, where set) wins over the address.
    ///
    /// # Errors
    /// Where `fd` is not a number of a descriptor, or the address is not `IP:port`.
    pub fn of(address: &str, fd: Option<&str>) -> Result<Listen, String> {
        match fd.map(str::trim) {
            Some(fd) => fd
                .parse::<i32>()
                .ok()
                .filter(|fd| *fd >= 0)
                .map(Listen::Inherited)
                .ok_or(format!("ROUTER_FD {fd:?} names no descriptor")),
            None => address.parse().map(Listen::Bind).map_err(|e| format!("listen address {address}: {e}")),
        }
    }

    /// Opens it, not blocking.
    ///
    /// # Errors
    /// Where the address can't be bound, or the descriptor is not a TCP listening socket of this process.
    pub fn open(self) -> io::Result<TcpListener> {
        match self {
            Listen::Bind(address) => TcpListener::bind(address),
            Listen::Inherited(fd) => {
                // `listenfd` holds the one unsafe step, after it has checked that the descriptor is a TCP socket;
                // it reads which descriptor from the environment, in the way of systemd's socket activation.
                std::env::set_var("LISTEN_FDS", "1");
                std::env::set_var("LISTEN_FDS_FIRST_FD", fd.to_string());
                std::env::remove_var("LISTEN_PID");
                let listener = listenfd::ListenFd::from_env().take_tcp_listener(0);
                std::env::remove_var("LISTEN_FDS_FIRST_FD");
                let listener = listener?.ok_or(io::Error::other(format!("descriptor {fd} is not there")))?;
                listener.set_nonblocking(true)?;
                Ok(TcpListener::from_std(listener))
            }
        }
    }

    /// Whether others may take connections from the same socket: then a stopping process leaves them to its
    /// successor at once.
    pub fn is_shared(self) -> bool {
        matches!(self, Listen::Inherited(_))
    }
}
