//! Sockets: connections with bounded buffers, and the budget of descriptors. Nothing here knows a protocol.

#![forbid(unsafe_code)]

pub mod clock;
pub mod datagrams;
pub mod listener;
pub mod phase;

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

use marljunction_core::end_reason::EndReason;

/// Output that one connection may have waiting (bytes): 32 results of the largest size and some room; and the
/// part of what all may have.
const MAX_OUTPUT_BYTES: usize = 2 << 20;
const MAX_OUTPUT_DIVISOR: usize = 4;
/// Output that all connections together may have waiting (share of the memory limit).
const OUTPUT_MEMORY_SHARE: f64 = 0.15;
/// Input that is read from one connection before its owner has taken some of it (bytes): one message and more.
const MAX_INPUT_BYTES: usize = 72 << 10;
/// Space that a buffer with nothing in it keeps (bytes).
const MAX_IDLE_BUFFER_BYTES: usize = 4 << 10;
/// What a connection that is being ended may still send, and for how long (bytes, ns).
const MAX_LINGER_BYTES: usize = 512 << 10;
const MAX_LINGER_NS: u64 = 500_000_000;

/// What the machine allows all connections together.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Connections to engines.
    pub engines: usize,
    /// Output that waits (bytes).
    pub output: usize,
}

impl ConnectionLimits {
    /// Of a machine with so many descriptors and so many megabytes.
    pub fn of(sockets: usize, memory_mb: f64) -> Self {
        ConnectionLimits { engines: sockets / 2, output: (memory_mb * OUTPUT_MEMORY_SHARE * 1e6) as usize }
    }
}

/// Who a connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// A client of the platform's protocol.
    Msgpack,
    /// A client that speaks PostgreSQL.
    Postgres,
    /// An engine.
    Engine,
    /// The source of membership news.
    Discovery,
    /// A caller at the operators' door.
    Admin,
    /// A client whose connection is being ended: it may still read what was written to it.
    Lingering,
}

impl Owner {
    fn is_client(self) -> bool {
        matches!(self, Owner::Msgpack | Owner::Postgres | Owner::Admin | Owner::Lingering)
    }
}

struct Conn {
    stream: TcpStream,
    owner: Owner,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    connecting: bool,
    /// It has more to read than was taken so far.
    unread: bool,
    /// Its peer has closed its side, whatever it sent before that was not read yet.
    peer_closed: bool,
    ended: Option<EndReason>,
    /// While it is being ended: what it may still send, and until when.
    linger: (usize, u64),
}

/// All connections, by numbers that are never used twice.
pub struct Net {
    registry: Registry,
    conns: HashMap<u64, Conn>,
    last_id: u64,
    queued_bytes: usize,
    engine_conns: usize,
    client_conns: usize,
    limits: ConnectionLimits,
    lingering: Vec<u64>,
    scratch: Vec<u8>,
    /// Bytes read from all connections so far.
    received_bytes: u64,
    /// Calls to engines wait for [`Net::release`].
    defers_engine_writes: bool,
    deferred: Vec<u64>,
}

/// What became of a connection when it was last looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionStatus {
    /// It is up.
    pub up: bool,
    /// All output has been written to it.
    pub drained: bool,
    /// It is over; its input may still hold something.
    pub ended: Option<EndReason>,
}

impl Net {
    /// No connections yet.
    pub fn new(registry: Registry, first_id: u64, limits: ConnectionLimits) -> Self {
        Net {
            registry,
            conns: HashMap::new(),
            last_id: first_id,
            queued_bytes: 0,
            engine_conns: 0,
            client_conns: 0,
            limits,
            lingering: Vec::new(),
            scratch: vec![0; 64 << 10],
            received_bytes: 0,
            defers_engine_writes: false,
            deferred: Vec::new(),
        }
    }

    /// From here on, calls to engines are written by [`Net::release`] only, at the end of a round. Guards against a call that
    /// goes out as its connection comes up, in the very round that also brings its client's leaving, or a drain of its engine.
    pub fn defer_engine_writes(&mut self) {
        self.defers_engine_writes = true;
    }

    /// Writes what waits for engines, as far as it can be written; gives the connections that it was written to.
    pub fn flush_engine_writes(&mut self) -> Vec<u64> {
        let mut deferred = std::mem::take(&mut self.deferred);
        deferred.sort_unstable();
        deferred.dedup();
        deferred.iter().for_each(|id| self.flush(*id));
        deferred
    }

    /// Writes what can be written, or has it wait for the end of the round.
    fn write_or_defer(&mut self, id: u64) {
        match self.conns.get(&id) {
            Some(conn) if self.defers_engine_writes && conn.owner == Owner::Engine => {
                if !conn.connecting && !conn.output.is_empty() {
                    self.deferred.push(id);
                }
            }
            _ => self.flush(id),
        }
    }

    /// Whether something waits to be written of which no byte has gone out.
    pub fn has_unstarted_output(&self, id: u64) -> bool {
        self.conns.get(&id).is_some_and(|c| c.written == 0 && !c.output.is_empty())
    }

    /// The peer has closed its side. Guards against a client that has gone, unseen behind what it sent before: reading from it
    /// may be at rest for as long as its request runs.
    pub fn mark_peer_closed(&mut self, id: u64) {
        if let Some(conn) =
            self.conns.get_mut(&id).filter(|c| matches!(c.owner, Owner::Msgpack | Owner::Postgres))
        {
            conn.peer_closed = true;
        }
    }

    /// Starts a connection. No descriptor to be had is an ending like others.
    pub fn connect(&mut self, to: SocketAddr, owner: Owner) -> Result<u64, EndReason> {
        if owner == Owner::Engine && self.engine_conns >= self.limits.engines {
            return Err(EndReason::NoDescriptor);
        }
        let stream = TcpStream::connect(to).map_err(|e| match e.kind() {
            ErrorKind::ConnectionRefused => EndReason::Refused,
            _ => EndReason::NoDescriptor,
        })?;
        self.add(stream, owner, true)
    }

    /// Takes over a connection that a client opened.
    pub fn add_accepted(&mut self, stream: TcpStream, owner: Owner) -> Result<u64, EndReason> {
        self.add(stream, owner, false)
    }

    fn add(&mut self, mut stream: TcpStream, owner: Owner, connecting: bool) -> Result<u64, EndReason> {
        self.last_id += 1;
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered = self.registry.register(&mut stream, Token(self.last_id as usize), interest);
        registered.map_err(|_| EndReason::NoDescriptor)?;
        // Small messages must not wait for the acknowledgement of the ones before.
        let _ = stream.set_nodelay(true);
        self.engine_conns += usize::from(owner == Owner::Engine);
        self.client_conns += usize::from(owner.is_client());
        #[rustfmt::skip]
        let conn = Conn {
            stream, owner, connecting, input: Vec::new(), output: Vec::new(), written: 0, unread: false, peer_closed: false, ended: None,
            linger: (0, 0),
        };
        self.conns.insert(self.last_id, conn);
        Ok(self.last_id)
    }

    /// Who a connection belongs to, while it is there.
    pub fn owner(&self, id: u64) -> Option<Owner> {
        self.conns.get(&id).map(|c| c.owner)
    }

    /// Bytes read from all connections so far.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Connections of clients.
    pub fn clients(&self) -> usize {
        self.client_conns
    }

    /// Ends a client's connection behind what was written to it. Guards against an error that the client never
    /// sees: a connection closed with unread input is reset, and takes with it what the client had not read.
    pub fn close_after_flush(&mut self, now: u64, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if conn.ended.is_some() {
            return self.close(id);
        }
        (conn.owner, conn.linger) = (Owner::Lingering, (MAX_LINGER_BYTES, now + MAX_LINGER_NS));
        conn.input = Vec::new();
        self.lingering.push(id);
        self.discard_input(id);
    }

    /// Reads on from a connection that is being ended, up to a bound, and closes it once its client has.
    pub fn discard_input(&mut self, id: u64) {
        self.flush(id);
        let Some(conn) = self.conns.get_mut(&id).filter(|c| c.owner == Owner::Lingering) else { return };
        if conn.output.is_empty() {
            let _ = conn.stream.shutdown(std::net::Shutdown::Write);
        }
        while conn.linger.0 > 0 {
            match conn.stream.read(&mut self.scratch) {
                Ok(n) if n > 0 => conn.linger.0 = conn.linger.0.saturating_sub(n),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                _ => break,
            }
        }
        self.close(id);
    }

    /// Ends all clients' connections behind what was written to them, as the program ends. Guards against answers that are
    /// reset away: what ends with unread input resets its connection.
    pub fn close_all_after_flush(&mut self, now: u64) {
        let clients = |(id, c): (&u64, &Conn)| c.owner.is_client().then_some(*id);
        let clients: Vec<u64> = self.conns.iter().filter_map(clients).collect();
        clients.into_iter().for_each(|id| self.close_after_flush(now, id));
    }

    /// Closes the oldest connection that is being ended, to make room; false where there is none.
    pub fn close_oldest_lingering(&mut self) -> bool {
        let oldest = self.lingering.iter().copied().find(|id| self.conns.contains_key(id));
        oldest.map(|id| self.close(id)).is_some()
    }

    /// Closes connections whose time to end is over.
    pub fn tick(&mut self, now: u64) {
        let mut lingering = std::mem::take(&mut self.lingering);
        lingering.retain(|id| match self.conns.get(id) {
            Some(conn) if now < conn.linger.1 => true,
            _ => {
                self.close(*id);
                false
            }
        });
        self.lingering = lingering;
    }

    /// Closes a connection; what it had not written is lost. One to an engine is reset: guards against a call that
    /// waits in the machine's buffers for a peer that can't be reached, and would arrive when it came back, after
    /// the query was called over.
    pub fn close(&mut self, id: u64) {
        if let Some(mut conn) = self.conns.remove(&id) {
            if conn.owner == Owner::Engine {
                let _ = socket2::SockRef::from(&conn.stream).set_linger(Some(std::time::Duration::ZERO));
            }
            self.queued_bytes -= conn.output.len() - conn.written;
            self.engine_conns -= usize::from(conn.owner == Owner::Engine);
            self.client_conns -= usize::from(conn.owner.is_client());
            let _ = self.registry.deregister(&mut conn.stream);
        }
    }

    /// Queues bytes and writes what can be written. False where they pass a bound: the connection is of no
    /// use any more then.
    pub fn send(&mut self, id: u64, bytes: &[u8]) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else { return false };
        let pending = conn.output.len() - conn.written + bytes.len();
        // Guards against clients that ask and do not read: what waits for them is memory.
        let most = MAX_OUTPUT_BYTES.min(self.limits.output / MAX_OUTPUT_DIVISOR);
        if pending > most {
            return false;
        }
        while self.queued_bytes + bytes.len() > self.limits.output {
            if !self.evict_largest_backlog(id, pending - bytes.len()) {
                return false;
            }
        }
        let Some(conn) = self.conns.get_mut(&id) else { return false };
        conn.output.extend_from_slice(bytes);
        self.queued_bytes += bytes.len();
        self.write_or_defer(id);
        true
    }

    /// Drops what waits for the client that has the most waiting, and ends its connection; false where nobody has as much as the
    /// `waits` bytes of connection `id`, for which room is needed. Guards against some clients that ask and do not read, for whom
    /// others' answers and engines' calls would find no room.
    fn evict_largest_backlog(&mut self, id: u64, min_backlog: usize) -> bool {
        let backlog = |conn: &Conn| conn.output.len() - conn.written;
        let clients = self.conns.iter_mut().filter(|(other, conn)| **other != id && conn.owner.is_client());
        let most = clients.max_by_key(|(other, conn)| (backlog(conn), **other));
        let Some((_, conn)) = most.filter(|(_, conn)| backlog(conn) >= min_backlog.max(1)) else {
            return false;
        };
        self.queued_bytes -= backlog(conn);
        (conn.output, conn.written, conn.ended) = (Vec::new(), 0, conn.ended.or(Some(EndReason::Garbled)));
        // The machine tells of its end then, and its owner looks at it.
        let _ = conn.stream.shutdown(std::net::Shutdown::Both);
        true
    }

    fn flush(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        while !conn.connecting && conn.ended.is_none() && conn.written < conn.output.len() {
            match conn.stream.write(&conn.output[conn.written..]) {
                Ok(n) => {
                    conn.written += n;
                    self.queued_bytes -= n;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // An idle connection may close as it is written to; reading tells what came before.
                Err(_) => break,
            }
        }
        if conn.written == conn.output.len() {
            conn.output.clear();
            // Guards against memory that grows with every connection that once had a large answer.
            conn.output.shrink_to(MAX_IDLE_BUFFER_BYTES);
            conn.written = 0;
        }
    }

    /// Whether all output has been written to a connection that is up.
    pub fn drained(&self, id: u64) -> bool {
        self.conns.get(&id).is_some_and(|c| !c.connecting && c.output.is_empty())
    }

    /// Whether nothing waits to be written to any client.
    pub fn all_written(&self) -> bool {
        let client = |c: &&Conn| matches!(c.owner, Owner::Msgpack | Owner::Postgres);
        self.conns.values().filter(client).all(|c| c.output.is_empty())
    }

    /// Moves what is ready in both directions.
    pub fn service(&mut self, id: u64) -> ConnectionStatus {
        let lost = ConnectionStatus { up: false, drained: false, ended: Some(EndReason::Cut) };
        let Some(conn) = self.conns.get_mut(&id) else { return lost };
        if conn.connecting {
            match conn.stream.take_error() {
                Ok(None) => match conn.stream.peer_addr() {
                    Ok(_) => conn.connecting = false,
                    Err(_) => return ConnectionStatus { up: false, drained: false, ended: None },
                },
                Ok(Some(e)) | Err(e) => {
                    conn.ended = Some(match e.kind() {
                        ErrorKind::ConnectionRefused => EndReason::Refused,
                        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => EndReason::Reset,
                        _ => EndReason::Unreachable,
                    });
                }
            }
        }
        self.write_or_defer(id);
        let Some(conn) = self.conns.get_mut(&id) else { return lost };
        conn.unread = false;
        if conn.peer_closed {
            conn.ended = conn.ended.or(Some(EndReason::Cut));
        }
        while conn.ended.is_none() {
            if conn.input.len() >= MAX_INPUT_BYTES {
                conn.unread = true;
                break;
            }
            match conn.stream.read(&mut self.scratch) {
                Ok(0) => conn.ended = Some(EndReason::Cut),
                Ok(n) => {
                    self.received_bytes += n as u64;
                    conn.input.extend_from_slice(&self.scratch[..n]);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => conn.ended = Some(EndReason::Cut),
            }
        }
        ConnectionStatus {
            up: !conn.connecting,
            drained: conn.output.is_empty() && !conn.connecting,
            ended: conn.ended,
        }
    }

    /// Whether a connection was left with something to read: no further event tells of it.
    pub fn has_more(&self, id: u64) -> bool {
        // Where its owner leaves the input full, it waits for something else and looks again by itself.
        self.conns.get(&id).is_some_and(|c| c.unread && c.input.len() < MAX_INPUT_BYTES)
    }

    /// What has come in and was not taken yet.
    pub fn input(&self, id: u64) -> &[u8] {
        self.conns.get(&id).map_or(&[], |c| &c.input)
    }

    /// Takes the first bytes of the input.
    pub fn consume(&mut self, id: u64, bytes: usize) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.input.drain(..bytes.min(conn.input.len()));
            if conn.input.is_empty() {
                conn.input.shrink_to(MAX_IDLE_BUFFER_BYTES);
            }
        }
    }
}
