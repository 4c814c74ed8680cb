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
use super::protocol::{ServiceCommand, ServiceCounters, ServiceReport, ServiceSetup, ToldEvent};
use super::{answer, io, read_commands, HollowError, COMMAND_TOKEN};
use crate::server::{listen, parse_request};

/// Tokens of connections start here; those of listeners are the routers' numbers.
const FIRST_CONNECTION: usize = 1 << 24;
/// How often a comment is written to all who follow or wait (ns).
const COMMENT_NS: u64 = 1_000_000_000;
/// Longest wait of the loop.
const MAX_WAIT: Duration = Duration::from_millis(20);
/// Events kept for routers that come back behind one of them (count).
const MAX_KEPT_EVENTS: usize = 4_096;
/// Bytes that the machine holds for a connection, about.
const SEND_BUFFER: usize = 64 << 10;
/// Bytes of a call that are read at most.
const MAX_CALL_BYTES: usize = 8 << 10;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:hi\n\n";
const TURNED_AWAY: &[u8] =
    b"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// What a connection is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Its call has not come whole.
    Calling,
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
    snapshots_out: usize,
    away: bool,
    cut: BTreeSet<u32>,
    skipped: BTreeSet<u32>,
    /// Calls that may be taken now, and when that was last reckoned (count, ns).
    tokens: f64,
    refilled_ns: u64,
    commented_ns: u64,
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
            Err(fault) if fault.kind() != ErrorKind::Interrupted => return Err(io("poll")(fault)),
            _ => {}
        }
        while let Ok(command) = commands.try_recv() {
            match (&mut service, command) {
                (_, ServiceCommand::Start(setup)) => {
                    let registry = poll.registry().try_clone().map_err(io("poll"))?;
                    let started = Service::start(setup, registry)?;
                    answer(&ServiceReport::Started(started.addresses()?))?;
                    service = Some(started);
                }
                (Some(service), command) => answer(&service.obey(command))?,
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
            snapshots_out: 0,
            away: false,
            cut: BTreeSet::new(),
            skipped: BTreeSet::new(),
            commented_ns: 0,
            counters,
        })
    }

    fn addresses(&self) -> Result<Vec<std::net::SocketAddr>, HollowError> {
        self.listeners.iter().map(|l| l.local_addr().map_err(io("listener"))).collect()
    }

    fn obey(&mut self, command: ServiceCommand) -> ServiceReport {
        match command {
            ServiceCommand::Change { engines, state } => {
                let targets = self.table.set(&engines, state);
                return ServiceReport::Told(self.tell(&targets));
            }
            ServiceCommand::Replace { engines } => {
                let targets = self.table.replace(&engines);
                return ServiceReport::Told(self.tell(&targets));
            }
            ServiceCommand::Report => return ServiceReport::Counters(self.report()),
            ServiceCommand::Away(away) => self.set_away(away),
            ServiceCommand::Cut { routers, cut } => self.set_cut(&routers, cut),
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
    fn tell(&mut self, targets: &str) -> ToldEvent {
        self.index += 1;
        let text: Arc<[u8]> = event(self.index, false, targets).into();
        self.events.push_back((self.index, text.clone()));
        if self.events.len() > MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
        let at_ns = self.clock.now_ns();
        for token in self.connections.keys().copied().collect::<Vec<_>>() {
            let Some(connection) = self.connections.get_mut(&token) else { continue };
            let told = matches!(connection.phase, Phase::Following | Phase::Snapshot);
            if told && !self.skipped.remove(&connection.router) {
                connection.queue.push_back(text.clone());
                self.write(token);
            }
        }
        let list = self.table.expected(self.setup.cells);
        ToldEvent { index: self.index, at_ns, list, bytes: text.len() as u64 }
    }

    fn snapshot_event(&mut self) -> Arc<[u8]> {
        match &self.snapshot {
            Some((index, text)) if *index == self.index => text.clone(),
            _ => {
                let text: Arc<[u8]> = event(self.index, true, &self.table.whole()).into();
                self.snapshot = Some((self.index, text.clone()));
                text
            }
        }
    }

    fn set_away(&mut self, away: bool) {
        self.away = away;
        if away {
            let all: Vec<usize> = self.connections.keys().copied().collect();
            all.into_iter().for_each(|token| self.close(token));
            self.tokens = self.setup.calls_per_s;
        }
    }

    fn set_cut(&mut self, routers: &[u32], cut: bool) {
        for router in routers {
            if cut {
                self.cut.insert(*router);
            } else {
                self.cut.remove(router);
            }
        }
        if cut {
            return;
        }
        let of_them = |(token, c): (&usize, &Connection)| routers.contains(&c.router).then_some(*token);
        let tokens: Vec<usize> = self.connections.iter().filter_map(of_them).collect();
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
            let _ = socket2::SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER);
            let token = self.next_token;
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.away || self.registry.register(&mut stream, Token(token), interest).is_err() {
                // Closed as it goes: nothing was read of it.
                continue;
            }
            self.next_token += 1;
            let connection = Connection {
                stream,
                router: router as u32,
                phase: Phase::Calling,
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
        if self.cut.contains(&connection.router) {
            return;
        }
        if !read_available(connection) {
            return self.close(token);
        }
        if connection.phase == Phase::Calling {
            self.take_call(token);
        }
        self.write(token);
    }

    fn take_call(&mut self, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let call = match parse_request(&connection.input) {
            Ok(Some(call)) => call,
            Ok(None) => return,
            Err(()) => return self.close(token),
        };
        let last = call.headers.get("last-event-id").and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        connection.input.clear();
        let takes = self.takes_call();
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if !takes {
            connection.queue.push_back(Arc::from(TURNED_AWAY));
            connection.phase = Phase::Closing;
            return;
        }
        connection.queue.push_back(Arc::from(HEAD));
        let oldest = self.events.front().map_or(self.index + 1, |(index, _)| *index);
        if last > 0 && last <= self.index && last + 1 >= oldest {
            connection.phase = Phase::Following;
            let later = self.events.iter().filter(|(index, _)| *index > last);
            connection.queue.extend(later.map(|(_, text)| text.clone()));
        } else {
            connection.phase = Phase::Waiting;
            self.waiting.push_back(token);
        }
    }

    fn takes_call(&mut self) -> bool {
        let now = self.clock.now_ns();
        let passed_s = now.saturating_sub(self.refilled_ns) as f64 / 1e9;
        self.refilled_ns = now;
        self.tokens = (self.tokens + passed_s * self.setup.calls_per_s).min(self.setup.calls_per_s.max(1.0));
        let takes = self.tokens >= 1.0;
        match takes {
            true => (self.tokens, self.counters.taken) = (self.tokens - 1.0, self.counters.taken + 1),
            false => self.counters.turned_away += 1,
        }
        takes
    }

    /// Writes what can be written, unless the connection is cut.
    fn write(&mut self, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let router = connection.router as usize;
        if self.cut.contains(&connection.router) {
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
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
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
                self.snapshots_out -= 1;
            }
            _ => {}
        }
    }

    fn close(&mut self, token: usize) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let _ = self.registry.deregister(&mut connection.stream);
        self.snapshots_out -= usize::from(connection.phase == Phase::Snapshot);
    }

    /// Passes time: the next whole lists, and a comment each second.
    fn tick(&mut self) {
        while self.snapshots_out < self.setup.concurrent_snapshots {
            let Some(token) = self.waiting.pop_front() else { break };
            if self.connections.contains_key(&token) {
                let text = self.snapshot_event();
                let Some(connection) = self.connections.get_mut(&token) else { continue };
                connection.queue.push_back(text);
                connection.phase = Phase::Snapshot;
                self.snapshots_out += 1;
                self.write(token);
            }
        }
        let now = self.clock.now_ns();
        if now < self.commented_ns + COMMENT_NS {
            return;
        }
        self.commented_ns = now;
        let comment: Arc<[u8]> = Arc::from(b":\n\n".as_slice());
        let kept_up =
            |c: &Connection| matches!(c.phase, Phase::Following | Phase::Waiting) && c.queue.is_empty();
        let tokens: Vec<usize> =
            self.connections.iter().filter(|(_, c)| kept_up(c)).map(|(token, _)| *token).collect();
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
            Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
            Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                return true
            }
            Err(_) => return false,
        }
        if connection.input.len() > MAX_CALL_BYTES {
            return false;
        }
    }
}
