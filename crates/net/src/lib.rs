//! Non-blocking TCP connections with bounded buffers, independent of the protocol.

#![forbid(unsafe_code)]

pub mod clock;
pub mod datagrams;
mod input;
mod input_limit;
pub mod listener;
pub mod phase;

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

pub use input_limit::MIN_INPUT_BYTES;

use input::InputBuffer;
use marljunction_core::end_reason::EndReason;

/// Maximum output queued on one connection: 32 results of the largest size, with a margin.
const MAX_OUTPUT_BYTES: usize = 2 << 20;
/// One connection may use this fraction (1/n) of the output limit of all connections.
const MAX_OUTPUT_DIVISOR: usize = 4;
/// Share of the memory limit for the output queued on all connections.
const OUTPUT_MEMORY_SHARE: f64 = 0.15;
/// Share of the memory limit for the buffered input of all clients.
const INPUT_MEMORY_SHARE: f64 = 0.15;
/// Maximum input buffered for one connection: more than the largest message.
const MAX_INPUT_BYTES: usize = 72 << 10;
/// Maximum capacity of an empty buffer.
const MAX_IDLE_BUFFER_BYTES: usize = 4 << 10;
/// Maximum input that a lingering close discards.
const MAX_LINGER_BYTES: usize = 512 << 10;
/// Maximum duration of a lingering close.
const MAX_LINGER_NS: u64 = 500_000_000;

/// Limits on all connections together.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of connections to engines.
    pub engines: usize,
    /// Maximum queued output in bytes.
    pub output: usize,
    /// Buffered input of all clients (bytes) above which no client's input is read beyond a small
    /// part of it.
    pub input: usize,
}

impl ConnectionLimits {
    /// Derives the limits from the number of file descriptors and the memory limit.
    pub fn of(sockets: usize, memory_mb: f64) -> Self {
        let share = |of_memory: f64| (memory_mb * of_memory * 1e6) as usize;
        ConnectionLimits {
            engines: sockets / 2,
            output: share(OUTPUT_MEMORY_SHARE),
            input: share(INPUT_MEMORY_SHARE),
        }
    }
}

/// The component that handles a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The front for MessagePack clients.
    Msgpack,
    /// The front for PostgreSQL clients.
    Postgres,
    /// The engine backend.
    Engine,
    /// The source of the engine list.
    Discovery,
    /// The admin API.
    Admin,
    /// None: the connection is in a lingering close, so that the client can read the queued output.
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
    input: InputBuffer,
    output: Vec<u8>,
    written: usize,
    connecting: bool,
    /// Reading stopped at the input limit.
    unread: bool,
    /// Reading stopped because all clients together have too much input buffered.
    throttled: bool,
    /// The peer has closed its side; input that it sent before may still be unread.
    peer_closed: bool,
    ended: Option<EndReason>,
    /// Input bytes left to discard and deadline (ns) of the lingering close.
    linger: (usize, u64),
}

/// All connections, by ids that are never reused.
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
    received_bytes: u64,
    defers_engine_writes: bool,
    /// Engine connections with output to write in [`Net::flush_engine_writes`].
    deferred: Vec<u64>,
    /// Memory of all clients' input buffers (bytes).
    client_input_bytes: usize,
    /// Clients whose input is left unread until others have less buffered.
    throttled: Vec<u64>,
}

/// The state of a connection after [`Net::service`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionStatus {
    /// The connection is established.
    pub up: bool,
    /// The connection is established and all output is written.
    pub drained: bool,
    /// Why the connection ended, if it has; buffered input can still be read.
    pub ended: Option<EndReason>,
}

impl Net {
    /// Creates an empty set of connections, whose ids are above `first_id`.
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
            client_input_bytes: 0,
            throttled: Vec::new(),
        }
    }

    /// Defers writes to engines to [`Net::flush_engine_writes`], at the end of an iteration of the
    /// event loop. A request can then still be cancelled by an event of the same iteration, such as
    /// the client's disconnect or a drain of the engine.
    pub fn defer_engine_writes(&mut self) {
        self.defers_engine_writes = true;
    }

    /// Writes the deferred output to engines as far as possible. Returns the connections concerned.
    pub fn flush_engine_writes(&mut self) -> Vec<u64> {
        let mut deferred = std::mem::take(&mut self.deferred);
        deferred.sort_unstable();
        deferred.dedup();
        deferred.iter().for_each(|id| self.flush(*id));
        deferred
    }

    /// Writes queued output, or defers it if the connection is to an engine and writes are
    /// deferred.
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

    /// Returns whether output is queued of which no byte has been written.
    pub fn has_unstarted_output(&self, id: u64) -> bool {
        self.conns.get(&id).is_some_and(|c| c.written == 0 && !c.output.is_empty())
    }

    /// Records that the peer has closed its side. Reading alone would not notice it in time: it
    /// pauses at the input limit while the client's request runs.
    pub fn mark_peer_closed(&mut self, id: u64) {
        if let Some(conn) =
            self.conns.get_mut(&id).filter(|c| matches!(c.owner, Owner::Msgpack | Owner::Postgres))
        {
            conn.peer_closed = true;
        }
    }

    /// Starts connecting to an address.
    ///
    /// # Errors
    /// [`EndReason::Refused`] if the peer refuses at once, [`EndReason::NoDescriptor`] if the limit
    /// on engine connections is reached or the socket cannot be created.
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

    /// Adds a connection that a listener accepted.
    ///
    /// # Errors
    /// [`EndReason::NoDescriptor`] if it cannot be registered for events.
    pub fn add_accepted(&mut self, stream: TcpStream, owner: Owner) -> Result<u64, EndReason> {
        self.add(stream, owner, false)
    }

    fn add(&mut self, mut stream: TcpStream, owner: Owner, connecting: bool) -> Result<u64, EndReason> {
        self.last_id += 1;
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered = self.registry.register(&mut stream, Token(self.last_id as usize), interest);
        registered.map_err(|_| EndReason::NoDescriptor)?;
        // With Nagle's algorithm, small messages would wait for earlier acknowledgements.
        let _ = stream.set_nodelay(true);
        self.engine_conns += usize::from(owner == Owner::Engine);
        self.client_conns += usize::from(owner.is_client());
        #[rustfmt::skip]
        let conn = Conn {
            stream, owner, connecting, input: InputBuffer::default(), output: Vec::new(), written: 0, unread: false, throttled: false,
            peer_closed: false, ended: None, linger: (0, 0),
        };
        self.conns.insert(self.last_id, conn);
        Ok(self.last_id)
    }

    /// Returns the owner of an open connection.
    pub fn owner(&self, id: u64) -> Option<Owner> {
        self.conns.get(&id).map(|c| c.owner)
    }

    /// Returns the number of bytes read from all connections, without those discarded.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Returns the number of client connections.
    pub fn clients(&self) -> usize {
        self.client_conns
    }

    /// Starts a lingering close of a client's connection: writes the queued output and discards
    /// input. Closing with unread input would reset the connection, and the client could lose that
    /// output.
    pub fn close_after_flush(&mut self, now: u64, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if conn.ended.is_some() {
            return self.close(id);
        }
        if conn.owner.is_client() {
            self.client_input_bytes -= conn.input.capacity();
        }
        (conn.owner, conn.linger) = (Owner::Lingering, (MAX_LINGER_BYTES, now + MAX_LINGER_NS));
        conn.input = InputBuffer::default();
        self.lingering.push(id);
        self.discard_input(id);
    }

    /// Continues a lingering close: discards input up to the limit, then closes the connection.
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

    /// Starts a lingering close of all client connections, for the end of the process.
    pub fn close_all_after_flush(&mut self, now: u64) {
        let clients = |(id, c): (&u64, &Conn)| c.owner.is_client().then_some(*id);
        let clients: Vec<u64> = self.conns.iter().filter_map(clients).collect();
        clients.into_iter().for_each(|id| self.close_after_flush(now, id));
    }

    /// Closes the oldest connection in a lingering close. Returns false if there is none.
    pub fn close_oldest_lingering(&mut self) -> bool {
        let oldest = self.lingering.iter().copied().find(|id| self.conns.contains_key(id));
        oldest.map(|id| self.close(id)).is_some()
    }

    /// Closes connections whose lingering close has timed out.
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

    /// Closes a connection and drops its queued output. A connection to an engine is reset, so that
    /// a request in the socket's send buffer cannot reach an unreachable engine after its attempt
    /// ended.
    pub fn close(&mut self, id: u64) {
        if let Some(mut conn) = self.conns.remove(&id) {
            if conn.owner == Owner::Engine {
                let _ = socket2::SockRef::from(&conn.stream).set_linger(Some(std::time::Duration::ZERO));
            }
            self.queued_bytes -= conn.output.len() - conn.written;
            self.engine_conns -= usize::from(conn.owner == Owner::Engine);
            if conn.owner.is_client() {
                self.client_conns -= 1;
                self.client_input_bytes -= conn.input.capacity();
            }
            let _ = self.registry.deregister(&mut conn.stream);
        }
    }

    /// Queues bytes and writes as much as possible. Returns false if an output limit is exceeded;
    /// the caller must then close the connection, since the bytes are dropped.
    pub fn send(&mut self, id: u64, bytes: &[u8]) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else { return false };
        let pending = conn.output.len() - conn.written + bytes.len();
        // Bounds the memory used for clients that send requests and do not read the responses.
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

    /// Drops the queued output of the client with the most of it and ends its connection. Returns
    /// false if no client but `id` has at least `min_backlog` bytes queued. Without this, clients
    /// that do not read would use up the output limit that other clients and engines need.
    fn evict_largest_backlog(&mut self, id: u64, min_backlog: usize) -> bool {
        let backlog = |conn: &Conn| conn.output.len() - conn.written;
        let clients = self.conns.iter_mut().filter(|(other, conn)| **other != id && conn.owner.is_client());
        let most = clients.max_by_key(|(other, conn)| (backlog(conn), **other));
        let Some((_, conn)) = most.filter(|(_, conn)| backlog(conn) >= min_backlog.max(1)) else {
            return false;
        };
        self.queued_bytes -= backlog(conn);
        (conn.output, conn.written, conn.ended) = (Vec::new(), 0, conn.ended.or(Some(EndReason::Garbled)));
        // The shutdown raises an event, on which the owner handles the end.
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
                // The peer may have closed an idle connection; reading reports its last bytes and
                // the end.
                Err(_) => break,
            }
        }
        if conn.written == conn.output.len() {
            conn.output.clear();
            // A connection must not hold the memory of its largest response for ever.
            conn.output.shrink_to(MAX_IDLE_BUFFER_BYTES);
            conn.written = 0;
        }
    }

    /// Returns whether a connection is established and all its output is written.
    pub fn drained(&self, id: u64) -> bool {
        self.conns.get(&id).is_some_and(|c| !c.connecting && c.output.is_empty())
    }

    /// Returns whether a connection that the close policy selects can be closed now: its output is
    /// written, and no input is left unless the policy is forced.
    pub fn may_close(&self, id: u64, policy: phase::ClosePolicy) -> bool {
        self.drained(id) && (policy.is_forced() || self.input(id).is_empty())
    }

    /// Returns whether all output to MessagePack and PostgreSQL clients is written.
    pub fn all_written(&self) -> bool {
        let client = |c: &&Conn| matches!(c.owner, Owner::Msgpack | Owner::Postgres);
        self.conns.values().filter(client).all(|c| c.output.is_empty())
    }

    /// Completes the connect, writes queued output and reads available input.
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
        self.read_available(id);
        let Some(conn) = self.conns.get_mut(&id) else { return lost };
        ConnectionStatus {
            up: !conn.connecting,
            drained: conn.output.is_empty() && !conn.connecting,
            ended: conn.ended,
        }
    }

    /// Returns whether input remains to be read for which no further event will come.
    pub fn has_more(&self, id: u64) -> bool {
        // An owner that leaves the buffer full waits for another event and then reads again.
        self.conns.get(&id).is_some_and(|c| c.unread && !c.throttled && c.input.len() < MAX_INPUT_BYTES)
    }

    /// Returns the buffered input.
    pub fn input(&self, id: u64) -> &[u8] {
        self.conns.get(&id).map_or(&[], |c| c.input.unconsumed())
    }

    /// Removes the first `bytes` of the buffered input.
    pub fn consume(&mut self, id: u64, bytes: usize) {
        if let Some(conn) = self.conns.get_mut(&id) {
            let capacity = conn.input.capacity();
            conn.input.consume(bytes);
            if conn.owner.is_client() {
                self.client_input_bytes -= capacity - conn.input.capacity();
            }
        }
    }
}
