//! An engine backend over real sockets, with simulated time.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use marljunction_control::interface::*;
use marljunction_core::end_reason::{EndReason, END_REASONS};
use marljunction_core::statement::Statement;
use marljunction_core::{Attempt, Client, ClientRequest, Router};
use marljunction_discovery::{Change, Target};
use marljunction_engine::http::HttpBackend;
use marljunction_engine::postgres::PostgresBackend;
use marljunction_engine::{Backend, Context, NewAttempt};
use marljunction_net::{ConnectionLimits, Net};
use mio::{Events, Poll};

pub const MS: u64 = 1_000_000;
pub const T0: u64 = 1_700_000_000_000 * MS;

/// Response of an engine that runs the query.
pub const RUNNING: &[u8] = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
/// Response of an engine with a result of one page.
pub const SERVED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nChunks: 1\r\n\r\na\tb\tc\n";

pub struct TestBed {
    pub poll: Poll,
    pub net: Net,
    pub router: Router,
    pub backend: Box<dyn Backend>,
    pub listener: TcpListener,
    pub now: u64,
    /// Text of the queries.
    pub statement: Vec<u8>,
}

impl TestBed {
    pub fn new() -> TestBed {
        TestBed::with_backend(
            Box::new(HttpBackend::new(30_000 * MS, 250 * MS)),
            ConnectionLimits::of(64, 64.0),
        )
    }

    /// Creates a test bed whose engine speaks PostgreSQL.
    pub fn with_postgres(limits: ConnectionLimits) -> TestBed {
        TestBed::with_backend(Box::new(PostgresBackend::new("u".into(), "d".into(), 250 * MS)), limits)
    }

    pub fn with_backend(backend: Box<dyn Backend>, limits: ConnectionLimits) -> TestBed {
        let poll = Poll::new().unwrap();
        let registry = poll.registry().try_clone().unwrap();
        let net = Net::new(registry, 10, limits);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let class = ClassSettings {
            target_latency_ns: 9_000 * MS,
            deadline_ns: 9_000 * MS,
            ..ClassSettings::default()
        };
        let settings = Settings { classes: vec![class], may_cancel: true, ..Settings::default() };
        let router = Router::new(settings, 1, 64.0);
        let listener_clone = listener.try_clone().unwrap();
        let mut bed = TestBed { poll, net, router, backend, listener, now: T0, statement: Vec::new() };
        bed.set_engine(listener_clone, EngineState::Ready);
        bed.router.process_events(T0, &mut Vec::new());
        bed
    }

    /// Runs the event loop until `done` returns true.
    pub fn drive_until(&mut self, mut done: impl FnMut(&mut TestBed) -> bool) {
        let mut events = Events::with_capacity(16);
        let since = std::time::Instant::now();
        while !done(self) {
            assert!(since.elapsed() < std::time::Duration::from_secs(8), "condition not met within 8 s");
            self.poll.poll(&mut events, Some(std::time::Duration::from_millis(5))).unwrap();
            let conns: Vec<u64> = events.iter().map(|e| e.token().0 as u64).collect();
            for conn in conns {
                let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
                self.backend.ready(&mut cx, conn);
            }
        }
    }

    /// Applies a list with the engine in this state at the listener's address.
    pub fn set_engine(&mut self, listener: TcpListener, state: EngineState) {
        let entry = EngineEntry { engine: EngineId(1), state, ..EngineEntry::default() };
        let target = Target { entry, address: listener.local_addr().unwrap() };
        self.listener = listener;
        self.router.membership(MembershipKind::Full, vec![entry]);
        let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
        self.backend.apply_change(&mut cx, &Change { kind: MembershipKind::Full, targets: vec![target] });
    }

    /// Flushes held calls, as at the end of an event loop iteration.
    pub fn flush_calls(&mut self) {
        for conn in self.net.flush_engine_writes() {
            let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
            self.backend.flushed(&mut cx, conn);
        }
    }

    /// Closes the listener, so that new connections are refused.
    pub fn refuse_connections(&mut self) {
        let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
        self.listener = elsewhere;
    }

    /// Runs the event loop a few times.
    pub fn drive_sockets(&mut self) {
        let mut rounds = 0;
        self.drive_until(|_| {
            rounds += 1;
            rounds > 4
        });
    }

    pub fn accept(&mut self) -> TcpStream {
        self.listener.set_nonblocking(true).unwrap();
        let mut accepted = None;
        self.drive_until(|bed| {
            accepted = bed.listener.accept().ok();
            accepted.is_some()
        });
        let stream = accepted.unwrap().0;
        stream.set_nonblocking(true).unwrap();
        stream
    }

    /// Reads from the engine's end until the text has arrived.
    pub fn expect_bytes(&mut self, stream: &mut TcpStream, text: &str) {
        let mut got = Vec::new();
        self.drive_until(|_| {
            let mut buffer = [0; 4_096];
            let n = stream.read(&mut buffer).unwrap_or(0);
            got.extend_from_slice(&buffer[..n]);
            got.windows(text.len()).any(|window| window == text.as_bytes())
        });
    }

    pub fn tick(&mut self, ms: u64) {
        self.now = T0 + ms * MS;
        let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
        self.backend.tick(&mut cx);
    }

    /// Starts a query; the caller accepts its connection.
    pub fn start(&mut self) -> Attempt {
        self.start_with_deadline(None)
    }

    /// Starts a query that must not be sent later than `begin_by_ns`.
    pub fn start_with_deadline(&mut self, begin_by_ns: Option<u64>) -> Attempt {
        let statement = Statement::plain(self.statement.clone());
        let name = "aaaabbbbccccdddd".into();
        let client_request =
            ClientRequest { name, time_left_ns: 9_000 * MS, statement, ..ClientRequest::default() };
        let request =
            self.router.accept_request(self.now, Client { conn: 1, call: 1 }, client_request.clone());
        self.router.process_events(self.now, &mut Vec::new());
        let attempt = Attempt { request, number: 0 };
        let start = NewAttempt {
            attempt,
            engine: EngineId(1),
            timeout_ns: 9_000 * MS,
            priority: 1,
            client_request: Rc::new(client_request),
            class: "lookup".into(),
            at_most_once: false,
            begin_by_ns,
        };
        let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
        self.backend.start(&mut cx, start);
        attempt
    }

    /// Starts a query, and returns its connection once the POST has arrived.
    pub fn start_and_accept(&mut self) -> (Attempt, TcpStream) {
        let attempt = self.start();
        let mut first = self.accept();
        self.expect_bytes(&mut first, "POST /o ");
        (attempt, first)
    }

    pub fn cancel(&mut self, attempt: Attempt) {
        let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
        self.backend.cancel(&mut cx, attempt);
    }

    /// Waits for the outcome of the attempt.
    pub fn end_reason(&mut self) -> EndReason {
        self.drive_until(|bed| bed.router.has_pending_events());
        self.router.process_events(self.now, &mut Vec::new());
        let counted =
            END_REASONS.iter().find(|(end_reason, _)| self.router.counters.endings(*end_reason) > 0);
        counted.expect("an outcome is counted").0
    }

    /// Expects a DELETE on this connection, and the end of the query once it is confirmed.
    pub fn expect_cancel_on(&mut self, mut stream: TcpStream) {
        self.expect_bytes(&mut stream, "DELETE /o/aaaabbbbccccdddd ");
        assert!(!self.router.has_pending_events());
        stream.write_all(b"HTTP/1.1 204 Done\r\n\r\n").unwrap();
        assert_eq!(self.end_reason(), EndReason::GivenUp);
    }

    /// Starts and cancels a query; returns the connections of the POST and of the DELETE.
    pub fn start_and_cancel(&mut self) -> (TcpStream, TcpStream) {
        let (attempt, first) = self.start_and_accept();
        self.cancel(attempt);
        let mut second = self.accept();
        self.expect_bytes(&mut second, "DELETE /o/aaaabbbbccccdddd ");
        (first, second)
    }
}
