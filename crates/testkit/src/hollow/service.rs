//! A simulated list service for a large fleet, run as a separate process. It serves a stream of
//! numbered events and has one listener per router.
//!
//! Invariants:
//!
//! - The encoded event is shared between connections.
//! - The number of full lists written at the same time is limited. Connections that wait for one
//!   receive comments.
//! - A slow router does not delay the stream of another.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::time::Duration;

use marljunction_net::clock::Clock;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Registry, Token};

use super::engine_table::{event, EngineTable};
use super::protocol::{SentChange, ServiceCommand, ServiceCounters, ServiceReport, ServiceSetup};
use super::{io, read_commands, write_report, HollowError, COMMAND_TOKEN};
use crate::server::{listen, parse_request};

/// First token of connections. The token of a listener is the number of its router.
const FIRST_CONNECTION: usize = 1 << 24;
/// Interval between comments on idle streams (ns).
const COMMENT_NS: u64 = 1_000_000_000;
/// Poll timeout of the loop.
const MAX_WAIT: Duration = Duration::from_millis(20);
/// Events buffered for routers that resume their stream.
const MAX_BUFFERED_EVENTS: usize = 4_096;
/// Send buffer size of a connection in the kernel.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Maximum size of a request.
const MAX_REQUEST_BYTES: usize = 8 << 10;
const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:hi\n\n";
const REJECTED: &[u8] =
    b"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// Phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Its request is incomplete.
    ReadingRequest,
    /// It waits to receive the full list.
    Waiting,
    /// It is receiving the full list.
    Snapshot,
    /// All events so far are written or queued.
    Following,
    /// It is closed once its queue is written.
    Closing,
}

struct Connection {
    stream: TcpStream,
    router: u32,
    phase: Phase,
    input: Vec<u8>,
    queue: VecDeque<Arc<[u8]>>,
    /// Bytes of the first queue entry already written.
    written: usize,
}

/// The list service.
struct Service {
    setup: ServiceSetup,
    registry: Registry,
    clock: Clock,
    listeners: Vec<TcpListener>,
    connections: HashMap<usize, Connection>,
    next_token: usize,
    table: EngineTable,
    index: u64,
    events: VecDeque<(u64, Arc<[u8]>)>,
    /// Cached event with the full list, with the index of its last change.
    snapshot: Option<(u64, Arc<[u8]>)>,
    waiting: VecDeque<usize>,
    active_snapshots: usize,
    unavailable: bool,
    partitioned: BTreeSet<u32>,
    skipped: BTreeSet<u32>,
    /// Token bucket for calls: available tokens, and time of the last refill (ns).
    tokens: f64,
    refilled_ns: u64,
    last_comment_ns: u64,
    counters: ServiceCounters,
}

/// Runs the service until the end of its input.
///
/// # Errors
/// If a socket or standard output fails.
pub fn run() -> Result<(), HollowError> {
    let mut poll = Poll::new().map_err(io("poll"))?;
    let commands: Receiver<ServiceCommand> = read_commands(poll.registry())?;
    let mut service = None;
    let mut events = Events::with_capacity(4_096);
    loop {
        match poll.poll(&mut events, Some(MAX_WAIT)) {
            Err(error) if error.kind() != ErrorKind::Interrupted => return Err(io("poll")(error)),
            _ => {}
        }
        while let Ok(command) = commands.try_recv() {
            match (&mut service, command) {
                (_, ServiceCommand::Start(setup)) => {
                    let registry = poll.registry().try_clone().map_err(io("poll"))?;
                    let started = Service::start(setup, registry)?;
                    write_report(&ServiceReport::Started(started.addresses()?))?;
                    service = Some(started);
                }
                (Some(service), command) => write_report(&service.handle_command(command))?,
                (None, _) => {}
            }
        }
        let Some(service) = &mut service else { continue };
        for event in events.iter().filter(|event| event.token() != COMMAND_TOKEN) {
            service.ready(event.token().0);
        }
        service.tick();
    }
}

impl Service {
    fn start(setup: ServiceSetup, registry: Registry) -> Result<Service, HollowError> {
        let clock = Clock::start();
        let mut listeners = Vec::new();
        for router in 0..setup.routers {
            listeners.push(listen(&registry, router as usize).map_err(io("listener"))?.0);
        }
        let per_router = setup.routers as usize;
        let counters = ServiceCounters {
            written: vec![0; per_router],
            snapshots: vec![0; per_router],
            ..ServiceCounters::default()
        };
        Ok(Service {
            table: EngineTable::new(setup.engines),
            tokens: setup.calls_per_s,
            refilled_ns: clock.now_ns(),
            setup,
            registry,
            clock,
            listeners,
            connections: HashMap::new(),
            next_token: FIRST_CONNECTION,
            index: 1,
            events: VecDeque::new(),
            snapshot: None,
            waiting: VecDeque::new(),
            active_snapshots: 0,
            unavailable: false,
            partitioned: BTreeSet::new(),
            skipped: BTreeSet::new(),
            last_comment_ns: 0,
            counters,
        })
    }

    fn addresses(&self) -> Result<Vec<std::net::SocketAddr>, HollowError> {
        self.listeners.iter().map(|l| l.local_addr().map_err(io("listener"))).collect()
    }

    fn handle_command(&mut self, command: ServiceCommand) -> ServiceReport {
        match command {
            ServiceCommand::Change { engines, state } => {
                let targets = self.table.set(&engines, state);
                return ServiceReport::ChangeSent(self.publish(&targets));
            }
            ServiceCommand::Replace { engines } => {
                let targets = self.table.replace(&engines);
                return ServiceReport::ChangeSent(self.publish(&targets));
            }
            ServiceCommand::Report => return ServiceReport::Counters(self.report()),
            ServiceCommand::SetUnavailable(unavailable) => self.set_unavailable(unavailable),
            ServiceCommand::Partition { routers, partitioned } => self.set_partitioned(&routers, partitioned),
            ServiceCommand::SkipNext { router } => {
                self.skipped.insert(router);
            }
            ServiceCommand::Start(_) => {}
        }
        ServiceReport::Done
    }

    fn report(&mut self) -> ServiceCounters {
        let followers = self.connections.values().filter(|c| c.phase == Phase::Following).count();
        let snapshot_bytes = self.snapshot_event().len() as u64;
        let list = self.table.expected(self.setup.cells);
        ServiceCounters { followers: followers as u32, snapshot_bytes, list, ..self.counters.clone() }
    }

    /// Publishes an event with these targets to all followers.
    fn publish(&mut self, targets: &str) -> SentChange {
        self.index += 1;
        let text: Arc<[u8]> = event(self.index, false, targets).into();
        self.events.push_back((self.index, text.clone()));
        if self.events.len() > MAX_BUFFERED_EVENTS {
            self.events.pop_front();
        }
        let sent_ns = self.clock.now_ns();
        for token in self.connections.keys().copied().collect::<Vec<_>>() {
            let Some(connection) = self.connections.get_mut(&token) else { continue };
            let receives = matches!(connection.phase, Phase::Following | Phase::Snapshot);
            if receives && !self.skipped.remove(&connection.router) {
                connection.queue.push_back(text.clone());
                self.write(token);
            }
        }
        let list = self.table.expected(self.setup.cells);
        SentChange { index: self.index, sent_ns, list, bytes: text.len() as u64 }
    }

    fn snapshot_event(&mut self) -> Arc<[u8]> {
        match &self.snapshot {
            Some((index, text)) if *index == self.index => text.clone(),
            _ => {
                let text: Arc<[u8]> = event(self.index, true, &self.table.full_list()).into();
                self.snapshot = Some((self.index, text.clone()));
                text
            }
        }
    }

    fn set_unavailable(&mut self, unavailable: bool) {
        self.unavailable = unavailable;
        if unavailable {
            let all: Vec<usize> = self.connections.keys().copied().collect();
            all.into_iter().for_each(|token| self.close(token));
            self.tokens = self.setup.calls_per_s;
        }
    }

    fn set_partitioned(&mut self, routers: &[u32], partitioned: bool) {
        for router in routers {
            if partitioned {
                self.partitioned.insert(*router);
            } else {
                self.partitioned.remove(router);
            }
        }
        if partitioned {
            return;
        }
        let matching = |(token, c): (&usize, &Connection)| routers.contains(&c.router).then_some(*token);
        let tokens: Vec<usize> = self.connections.iter().filter_map(matching).collect();
        for token in tokens {
            self.serve(token);
        }
    }

    fn ready(&mut self, token: usize) {
        match token < FIRST_CONNECTION {
            true => self.accept(token),
            false => self.serve(token),
        }
    }

    fn accept(&mut self, router: usize) {
        while let Ok((mut stream, _)) = self.listeners[router].accept() {
            let _ = stream.set_nodelay(true);
            // Otherwise a full list would count as written while it is in the kernel's buffers.
            let _ = socket2::SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
            let token = self.next_token;
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.unavailable || self.registry.register(&mut stream, Token(token), interest).is_err() {
                // Dropping the connection closes it.
                continue;
            }
            self.next_token += 1;
            let connection = Connection {
                stream,
                router: router as u32,
                phase: Phase::ReadingRequest,
                input: Vec::new(),
                queue: VecDeque::new(),
                written: 0,
            };
            self.connections.insert(token, connection);
        }
    }

    /// Reads from and writes to a connection, unless its router is partitioned.
    fn serve(&mut self, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if self.partitioned.contains(&connection.router) {
            return;
        }
        if !read_available(connection) {
            return self.close(token);
        }
        if connection.phase == Phase::ReadingRequest {
            self.handle_request(token);
        }
        self.write(token);
    }

    fn handle_request(&mut self, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let request = match parse_request(&connection.input) {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(()) => return self.close(token),
        };
        let last_event_id =
            request.headers.get("last-event-id").and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        connection.input.clear();
        let admitted = self.admit_call();
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if !admitted {
            connection.queue.push_back(Arc::from(REJECTED));
            connection.phase = Phase::Closing;
            return;
        }
        connection.queue.push_back(Arc::from(RESPONSE_HEAD));
        let oldest = self.events.front().map_or(self.index + 1, |(index, _)| *index);
        if last_event_id > 0 && last_event_id <= self.index && last_event_id + 1 >= oldest {
            connection.phase = Phase::Following;
            let later = self.events.iter().filter(|(index, _)| *index > last_event_id);
            connection.queue.extend(later.map(|(_, text)| text.clone()));
        } else {
            connection.phase = Phase::Waiting;
            self.waiting.push_back(token);
        }
    }

    fn admit_call(&mut self) -> bool {
        let now = self.clock.now_ns();
        let elapsed_s = now.saturating_sub(self.refilled_ns) as f64 / 1e9;
        self.refilled_ns = now;
        self.tokens = (self.tokens + elapsed_s * self.setup.calls_per_s).min(self.setup.calls_per_s.max(1.0));
        let admitted = self.tokens >= 1.0;
        match admitted {
            true => {
                (self.tokens, self.counters.accepted_calls) =
                    (self.tokens - 1.0, self.counters.accepted_calls + 1)
            }
            false => self.counters.rejected_calls += 1,
        }
        admitted
    }

    /// Writes queued events, unless the connection's router is partitioned.
    fn write(&mut self, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let router = connection.router as usize;
        if self.partitioned.contains(&connection.router) {
            return;
        }
        while let Some(text) = connection.queue.front() {
            match connection.stream.write(&text[connection.written..]) {
                Ok(size) => {
                    connection.written += size;
                    self.counters.written[router] += size as u64;
                    if connection.written == text.len() {
                        connection.queue.pop_front();
                        connection.written = 0;
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    return
                }
                Err(_) => return self.close(token),
            }
        }
        match connection.phase {
            Phase::Closing => self.close(token),
            Phase::Snapshot => {
                connection.phase = Phase::Following;
                self.counters.snapshots[router] += 1;
                self.active_snapshots -= 1;
            }
            _ => {}
        }
    }

    fn close(&mut self, token: usize) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let _ = self.registry.deregister(&mut connection.stream);
        self.active_snapshots -= usize::from(connection.phase == Phase::Snapshot);
    }

    /// Starts to write waiting full lists and sends a comment each second.
    fn tick(&mut self) {
        while self.active_snapshots < self.setup.concurrent_snapshots {
            let Some(token) = self.waiting.pop_front() else { break };
            if self.connections.contains_key(&token) {
                let text = self.snapshot_event();
                let Some(connection) = self.connections.get_mut(&token) else { continue };
                connection.queue.push_back(text);
                connection.phase = Phase::Snapshot;
                self.active_snapshots += 1;
                self.write(token);
            }
        }
        let now = self.clock.now_ns();
        if now < self.last_comment_ns + COMMENT_NS {
            return;
        }
        self.last_comment_ns = now;
        let comment: Arc<[u8]> = Arc::from(b":\n\n".as_slice());
        let needs_comment =
            |c: &Connection| matches!(c.phase, Phase::Following | Phase::Waiting) && c.queue.is_empty();
        let tokens: Vec<usize> =
            self.connections.iter().filter(|(_, c)| needs_comment(c)).map(|(token, _)| *token).collect();
        for token in tokens {
            if let Some(connection) = self.connections.get_mut(&token) {
                connection.queue.push_back(comment.clone());
            }
            self.write(token);
        }
    }
}

/// Reads received data; false if the peer has closed the connection or the request is too large.
fn read_available(connection: &mut Connection) -> bool {
    let mut buffer = [0; 2_048];
    loop {
        match connection.stream.read(&mut buffer) {
            Ok(0) => return false,
            Ok(size) => connection.input.extend_from_slice(&buffer[..size]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                return true
            }
            Err(_) => return false,
        }
        if connection.input.len() > MAX_REQUEST_BYTES {
            return false;
        }
    }
}
