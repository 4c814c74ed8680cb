//! A stand-in list service for a large fleet, as a process of its own: the stream of numbered events, one listener a router.
//!
//! Invariants: the text of an event is held once, whoever it is written to; at most so many whole lists are written at a time, and
//! who waits for one is kept up by comments; what a router is told never depends on another's reading.

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
use crate::server::{listen, read_call};

/// Tokens of connections start here; those of listeners are the routers' numbers.
const FIRST_CONNECTION: usize = 1 << 24;
/// How often a comment is written to all who follow or wait (ns).
const COMMENT_NS: u64 = 1_000_000_000;
/// Longest wait of the loop.
const MAX_WAIT: Duration = Duration::from_millis(20);
/// Events kept for routers that come back behind one of them (count).
const MAX_BUFFERED_EVENTS: usize = 4_096;
/// Bytes that the machine holds for a connection, about.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Bytes of a call that are read at most.
const MAX_REQUEST_BYTES: usize = 8 << 10;
const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:hi\n\n";
const REJECTED: &[u8] =
    b"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// What a connection is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Its call has not come whole.
    ReadingRequest,
    /// It waits for its turn to be written the whole list.
    Waiting,
    /// It is written the whole list.
    Snapshot,
    /// It has all events so far, written or queued.
    Following,
    /// It is closed once what is queued was written.
    Closing,
}

struct Connection {
    stream: TcpStream,
    router: u32,
    phase: Phase,
    input: Vec<u8>,
    queue: VecDeque<Arc<[u8]>>,
    /// Bytes of the queue's first entry that were written.
    written: usize,
}

/// The service.
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
    /// The event that holds the whole list, with the number it was made at.
    snapshot: Option<(u64, Arc<[u8]>)>,
    waiting: VecDeque<usize>,
    active_snapshots: usize,
    unavailable: bool,
    partitioned: BTreeSet<u32>,
    skipped: BTreeSet<u32>,
    /// Calls that may be taken now, and when that was last reckoned (count, ns).
    tokens: f64,
    refilled_ns: u64,
    last_comment_ns: u64,
    counters: ServiceCounters,
}

/// Runs the service until its input ends.
///
/// # Errors
/// Where sockets can't be had or standard output is gone.
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

    /// Tells all who follow an event of these targets.
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
            // Guards against a whole list that counts as written while it waits in the machine's buffers.
            let _ = socket2::SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
            let token = self.next_token;
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.unavailable || self.registry.register(&mut stream, Token(token), interest).is_err() {
                // Closed as it goes: nothing was read of it.
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

    /// Moves what can be moved on a connection, unless it is cut.
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
        let request = match read_call(&connection.input) {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(()) => return self.close(token),
        };
        let last_event_id =
            request.fields.get("last-event-id").and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
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

    /// Writes what can be written, unless the connection is cut.
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

    /// Passes time: the next whole lists, and a comment each second.
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

/// Reads what has come; false where the peer has gone or says more than a call.
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
