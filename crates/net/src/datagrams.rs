//! A socket for datagrams between routers, with bounds on what one round reads.

use std::io::ErrorKind;
use std::net::SocketAddr;

use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};

/// Datagrams that one round reads (count): clients have their turn between.
const MAX_DATAGRAMS_PER_READ: usize = 256;
/// Largest datagram that is read (bytes); more of it is cut off, and so does not bear its sum.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// An open socket.
pub struct DatagramSocket {
    socket: UdpSocket,
    buffer: Vec<u8>,
    /// It was left with something to read: no further event tells of it.
    pub unread: bool,
    /// Datagrams that the machine had no room to send.
    pub send_errors: u64,
    /// Bytes of datagrams that were taken.
    pub received_bytes: u64,
}

impl DatagramSocket {
    /// Opens it.
    ///
    /// # Errors
    /// Where the address can't be bound.
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

    /// Where it is open.
    ///
    /// # Errors
    /// Where the machine does not say.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Hands over what has come in, up to a bound.
    pub fn receive(&mut self, mut handle: impl FnMut(&[u8])) {
        self.unread = false;
        for _ in 0..MAX_DATAGRAMS_PER_READ {
            match self.socket.recv_from(&mut self.buffer) {
                Ok((size, _)) => {
                    self.received_bytes += size as u64;
                    handle(&self.buffer[..size]);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // A peer that is not there answers so to what was sent to it before.
                Err(_) => {}
            }
        }
        self.unread = true;
    }

    /// Sends a datagram; one that finds no room is lost, as any may be.
    pub fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        self.send_errors += u64::from(self.socket.send_to(datagram, to).is_err());
    }
}
