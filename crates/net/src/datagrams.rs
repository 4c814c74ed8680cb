//! The UDP socket for datagrams between routers.

use std::io::ErrorKind;
use std::net::SocketAddr;

use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};

/// Maximum number of datagrams that one call reads, so that clients are served in between.
const MAX_DATAGRAMS_PER_READ: usize = 256;
/// Maximum size of a datagram. The rest is cut off, and the checksum of the datagram then fails.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// A non-blocking UDP socket.
pub struct DatagramSocket {
    socket: UdpSocket,
    buffer: Vec<u8>,
    /// Datagrams may remain to be read for which no further event will come.
    pub unread: bool,
    /// Number of datagrams that could not be sent.
    pub send_errors: u64,
    /// Number of bytes received.
    pub received_bytes: u64,
}

impl DatagramSocket {
    /// Binds the socket and registers it for events.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn open(registry: &Registry, token: Token, address: SocketAddr) -> std::io::Result<DatagramSocket> {
        let mut socket = UdpSocket::bind(address)?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        Ok(DatagramSocket {
            socket,
            buffer: vec![0; MAX_DATAGRAM_BYTES],
            unread: false,
            send_errors: 0,
            received_bytes: 0,
        })
    }

    /// Returns the local address.
    ///
    /// # Errors
    /// Returns an error if the system does not report it.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Passes received datagrams to `handle`, up to [`MAX_DATAGRAMS_PER_READ`].
    pub fn receive(&mut self, mut handle: impl FnMut(&[u8])) {
        self.unread = false;
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            match self.socket.recv_from(&mut self.buffer) {
                Ok((size, _)) => {
                    self.received_bytes += size as u64;
                    handle(&self.buffer[..size]);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // An unreachable peer causes an error for an earlier send.
                Err(_) => {}
            }
        }
        self.unread = true;
    }

    /// Sends a datagram, and drops it if that fails.
    pub fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        self.send_errors += u64::from(self.socket.send_to(datagram, to).is_err());
    }
}
