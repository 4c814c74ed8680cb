//! Engine backends over real sockets with simulated time: cancellation, connection reuse, and
//! queries that must not be sent.

use std::io::{ErrorKind, Read, Write};
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

const MS: u64 = 1_000_000;
const T0: u64 = 1_700_000_000_000 * MS;

struct TestBed {
    poll: Poll,
    net: Net,
    router: Router,
    backend: Box<dyn Backend>,
    listener: TcpListener,
    now: u64,
    /// Text of the queries.
    statement: Vec<u8>,
}

impl TestBed {
    fn new() -> TestBed {
        TestBed::with_backend(
            Box::new(HttpBackend::new(30_000 * MS, 250 * MS)),
            ConnectionLimits::of(64, 64.0),
        )
    }

    /// Creates a test bed whose engine speaks PostgreSQL.
    fn with_postgres(limits: ConnectionLimits) -> TestBed {
        TestBed::with_backend(Box::new(PostgresBackend::new("u".into(), "d".into(), 250 * MS)), limits)
    }

    fn with_backend(backend: Box<dyn Backend>, limits: ConnectionLimits) -> TestBed {
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
    fn drive_until(&mut self, mut done: impl FnMut(&mut TestBed) -> bool) {
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
    fn set_engine(&mut self, listener: TcpListener, state: EngineState) {
        let entry = EngineEntry { engine: EngineId(1), state, ..EngineEntry::default() };
        let target = Target { entry, address: listener.local_addr().unwrap() };
        self.listener = listener;
        self.router.membership(MembershipKind::Full, vec![entry]);
        let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
        self.backend.apply_change(&mut cx, &Change { kind: MembershipKind::Full, targets: vec![target] });
    }

    /// Flushes held calls, as at the end of an event loop iteration.
    fn flush_calls(&mut self) {
        for conn in self.net.flush_engine_writes() {
            let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
            self.backend.flushed(&mut cx, conn);
        }
    }

    /// Closes the listener, so that new connections are refused.
    fn refuse_connections(&mut self) {
        let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
        self.listener = elsewhere;
    }

    /// Runs the event loop a few times.
    fn drive_sockets(&mut self) {
        let mut rounds = 0;
        self.drive_until(|_| {
            rounds += 1;
            rounds > 4
        });
    }

    fn accept(&mut self) -> TcpStream {
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
    fn expect_bytes(&mut self, stream: &mut TcpStream, text: &str) {
        let mut got = Vec::new();
        self.drive_until(|_| {
            let mut buffer = [0; 4_096];
            let n = stream.read(&mut buffer).unwrap_or(0);
            got.extend_from_slice(&buffer[..n]);
            got.windows(text.len()).any(|window| window == text.as_bytes())
        });
    }

    fn tick(&mut self, ms: u64) {
        self.now = T0 + ms * MS;
        let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
        self.backend.tick(&mut cx);
    }

    /// Starts a query; the caller accepts its connection.
    fn start(&mut self) -> Attempt {
        self.start_with_deadline(None)
    }

    /// Starts a query that must not be sent later than `begin_by_ns`.
    fn start_with_deadline(&mut self, begin_by_ns: Option<u64>) -> Attempt {
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
    fn start_and_accept(&mut self) -> (Attempt, TcpStream) {
        let attempt = self.start();
        let mut first = self.accept();
        self.expect_bytes(&mut first, "POST /o ");
        (attempt, first)
    }

    fn cancel(&mut self, attempt: Attempt) {
        let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
        self.backend.cancel(&mut cx, attempt);
    }

    /// Waits for the outcome of the attempt.
    fn end_reason(&mut self) -> EndReason {
        self.drive_until(|bed| bed.router.has_pending_events());
        self.router.process_events(self.now, &mut Vec::new());
        let counted =
            END_REASONS.iter().find(|(end_reason, _)| self.router.counters.endings(*end_reason) > 0);
        counted.expect("an outcome is counted").0
    }

    /// Expects a DELETE on this connection, and the end of the query once it is confirmed.
    fn expect_cancel_on(&mut self, mut stream: TcpStream) {
        self.expect_bytes(&mut stream, "DELETE /o/aaaabbbbccccdddd ");
        assert!(!self.router.has_pending_events());
        stream.write_all(b"HTTP/1.1 204 Done\r\n\r\n").unwrap();
        assert_eq!(self.end_reason(), EndReason::GivenUp);
    }

    /// Starts and cancels a query; returns the connections of the POST and of the DELETE.
    fn start_and_cancel(&mut self) -> (TcpStream, TcpStream) {
        let (attempt, first) = self.start_and_accept();
        self.cancel(attempt);
        let mut second = self.accept();
        self.expect_bytes(&mut second, "DELETE /o/aaaabbbbccccdddd ");
        (first, second)
    }
}

#[test]
fn a_post_answered_with_500_after_a_cancel_counts_as_cancelled() {
    let mut bed = TestBed::new();
    let (mut first, _second) = bed.start_and_cancel();
    first.write_all(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert_eq!(bed.end_reason(), EndReason::GivenUp, "the engine must not count as failed");
}

#[test]
fn a_cancel_uses_the_posts_connection_when_new_connections_are_refused() {
    let mut bed = TestBed::new();
    let (attempt, mut first) = bed.start_and_accept();
    bed.refuse_connections();
    bed.cancel(attempt);
    for ms in [20, 40, 150, 240] {
        bed.tick(ms);
        bed.drive_sockets();
        assert!(!bed.router.has_pending_events(), "after {ms} ms the query may still run: its POST is open");
    }
    first.write_all(b"HTTP/1.1 202 Running\r\nContent-Length: 0\r\n\r\n").unwrap();
    bed.expect_cancel_on(first);
}

#[test]
fn a_refused_connection_and_a_reset_post_end_a_cancelled_query() {
    let mut bed = TestBed::new();
    let (attempt, first) = bed.start_and_accept();
    bed.refuse_connections();
    bed.cancel(attempt);
    drop(first);
    bed.drive_sockets();
    bed.tick(240);
    assert_eq!(bed.end_reason(), EndReason::Abandoned);
}

#[test]
fn a_cancel_is_not_confirmed_until_the_engine_responds() {
    let mut bed = TestBed::new();
    let (mut first, mut second) = bed.start_and_cancel();
    for ms in [100, 260, 400, 490] {
        bed.tick(ms);
        assert!(!bed.router.has_pending_events(), "after {ms} ms the query may still run");
    }
    first.write_all(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n").unwrap();
    second.write_all(b"HTTP/1.1 204 Done\r\n\r\n").unwrap();
    assert_eq!(bed.end_reason(), EndReason::GivenUp);
}

#[test]
fn a_delete_processed_before_the_post_is_sent_again() {
    let mut bed = TestBed::new();
    let (mut first, mut second) = bed.start_and_cancel();
    bed.tick(300);
    second.write_all(b"HTTP/1.1 204 Done\r\n\r\n").unwrap();
    bed.drive_sockets();
    for ms in [320, 400, 490] {
        bed.tick(ms);
        assert!(!bed.router.has_pending_events(), "after {ms} ms the engine may still read the POST");
    }
    // The engine starts the query now, and gets another DELETE.
    first.write_all(b"HTTP/1.1 202 Running\r\nContent-Length: 0\r\n\r\n").unwrap();
    bed.expect_cancel_on(first);
}

#[test]
fn a_delete_processed_before_the_post_is_sent_again_when_both_responses_arrive_together() {
    let mut bed = TestBed::new();
    let (mut first, mut second) = bed.start_and_cancel();
    second.write_all(b"HTTP/1.1 204 Done\r\n\r\n").unwrap();
    first.write_all(b"HTTP/1.1 202 Running\r\nContent-Length: 0\r\n\r\n").unwrap();
    // The response to the POST is processed first.
    let mut cx = Context { now: bed.now, net: &mut bed.net, router: &mut bed.router };
    bed.backend.ready(&mut cx, 11);
    bed.drive_sockets();
    assert!(!bed.router.has_pending_events(), "the query may run");
    bed.expect_cancel_on(first);
}

#[test]
fn a_query_is_polled_twice_after_a_post_timeout_before_it_counts_as_failed() {
    for engine_starts_it in [true, false] {
        let mut bed = TestBed::new();
        let (_attempt, _first) = bed.start_and_accept();
        bed.tick(501);
        let mut second = bed.accept();
        bed.expect_bytes(&mut second, "GET /o/aaaabbbbccccdddd/0 ");
        second.write_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n").unwrap();
        bed.drive_sockets();
        assert!(!bed.router.has_pending_events(), "the engine may still read the POST");
        bed.tick(610);
        let mut third = bed.accept();
        bed.expect_bytes(&mut third, "GET /o/aaaabbbbccccdddd/0 ");
        let answer: &[u8] = match engine_starts_it {
            true => b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nChunks: 1\r\n\r\na\tb\tc\n",
            false => b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        };
        third.write_all(answer).unwrap();
        assert_eq!(
            bed.end_reason(),
            if engine_starts_it { EndReason::Served } else { EndReason::EngineError }
        );
    }
}

#[test]
fn a_delete_is_repeated_when_the_post_never_gets_a_response() {
    // The POST's connection times out after the first response to the DELETE, or before it.
    for post_times_out_first in [false, true] {
        let mut bed = TestBed::new();
        let (attempt, mut first) = bed.start_and_accept();
        if post_times_out_first {
            bed.now = T0 + 400 * MS;
        }
        bed.cancel(attempt);
        let mut second = bed.accept();
        bed.expect_bytes(&mut second, "DELETE /o/aaaabbbbccccdddd ");
        if post_times_out_first {
            bed.tick(501);
            bed.drive_until(
                |_| matches!(first.read(&mut [0; 16]), Err(e) if e.kind() == ErrorKind::ConnectionReset),
            );
        }
        second.write_all(b"HTTP/1.1 204 Done\r\n\r\n").unwrap();
        bed.drive_sockets();
        assert!(!bed.router.has_pending_events());
        bed.tick(502);
        bed.tick(620);
        bed.expect_bytes(&mut second, "DELETE /o/aaaabbbbccccdddd ");
        second.write_all(b"HTTP/1.1 204 Done\r\n\r\n").unwrap();
        assert_eq!(bed.end_reason(), EndReason::GivenUp);
    }
}

#[test]
fn a_cancelled_query_on_an_unresponsive_engine_ends_after_the_unpolled_expiry() {
    let mut bed = TestBed::new();
    let _ends = bed.start_and_cancel();
    for ms in [600, 1_200, 2_000, 2_240, 2_340] {
        bed.tick(ms);
        assert!(!bed.router.has_pending_events(), "after {ms} ms the query may still run");
    }
    bed.tick(2_360);
    assert!(
        bed.router.has_pending_events(),
        "not polled for 2 s plus the time that a poll is held and the socket delays"
    );
}

#[test]
fn the_unpolled_expiry_counts_from_the_written_post_not_from_the_connect() {
    let mut bed = TestBed::new();
    bed.net.defer_engine_writes();
    let attempt = bed.start();
    let mut first = bed.accept();
    // The connection is established late.
    bed.now = T0 + 200 * MS;
    bed.drive_sockets();
    bed.flush_calls();
    bed.expect_bytes(&mut first, "POST /o ");
    bed.cancel(attempt);
    for ms in [700, 1_300, 1_900, 2_360, 2_540] {
        bed.tick(ms);
        bed.drive_sockets();
        bed.flush_calls();
        assert!(!bed.router.has_pending_events(), "after {ms} ms the query may still run");
    }
    bed.tick(2_560);
    assert_eq!(bed.end_reason(), EndReason::Abandoned);
}

#[test]
fn a_refused_connection_does_not_end_a_query_whose_post_was_just_answered() {
    let mut bed = TestBed::new();
    let (attempt, mut first) = bed.start_and_accept();
    bed.refuse_connections();
    bed.cancel(attempt);
    first.write_all(b"HTTP/1.1 202 Running\r\nContent-Length: 0\r\n\r\n").unwrap();
    // The response to the POST is processed first, the refused connection after it.
    let mut cx = Context { now: bed.now, net: &mut bed.net, router: &mut bed.router };
    bed.backend.ready(&mut cx, 11);
    bed.drive_sockets();
    assert!(!bed.router.has_pending_events(), "the engine is up and may still run the query");
    bed.expect_cancel_on(first);
}

#[test]
fn a_connection_is_reused_within_two_seconds_of_its_last_response() {
    let mut bed = TestBed::new();
    let (_attempt, mut first) = bed.start_and_accept();
    first.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nChunks: 1\r\n\r\na\tb\tc\n").unwrap();
    assert_eq!(bed.end_reason(), EndReason::Served);
    // With little traffic the next query for an engine comes seconds later, and a new connection
    // costs a handshake.
    bed.tick(1_900);
    bed.start();
    bed.expect_bytes(&mut first, "POST /o ");
    bed.listener.set_nonblocking(true).unwrap();
    assert!(
        bed.listener.accept().is_err(),
        "a new connection was opened although an idle one could be reused"
    );
}

#[test]
fn a_connection_to_an_engines_former_address_is_not_reused() {
    let mut bed = TestBed::new();
    let (_attempt, mut first) = bed.start_and_accept();
    // The engine moves during the call; its old address may belong to another engine when the call
    // ends.
    bed.set_engine(TcpListener::bind("127.0.0.1:0").unwrap(), EngineState::Ready);
    first.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nChunks: 1\r\n\r\na\tb\tc\n").unwrap();
    bed.drive_until(|bed| {
        bed.router.process_events(bed.now, &mut Vec::new());
        bed.router.counters.endings(EndReason::Served) == 1
    });
    // Within the time window in which idle connections are reused.
    bed.tick(100);
    bed.start();
    let mut second = bed.accept();
    bed.expect_bytes(&mut second, "POST /o ");
}

/// Starts a retry that must be sent within 100 ms, with calls held until a flush; returns the
/// engine's end of its connection.
fn held_retry() -> (TestBed, TcpStream) {
    let mut bed = TestBed::new();
    bed.net.defer_engine_writes();
    bed.start_with_deadline(Some(T0 + 100 * MS));
    let stream = bed.accept();
    (bed, stream)
}

#[test]
fn a_retry_is_not_sent_after_its_deadline() {
    let (mut bed, mut stream) = held_retry();
    bed.tick(101);
    assert_eq!(bed.end_reason(), EndReason::Unsent);
    bed.net.flush_engine_writes();
    bed.drive_until(|_| match stream.read(&mut [0; 16]) {
        Ok(n) if n > 0 => panic!("bytes of the retry were sent"),
        read => !matches!(&read, Err(e) if e.kind() == ErrorKind::WouldBlock),
    });
}

#[test]
fn a_retry_before_its_deadline_is_sent_on_flush() {
    let (mut bed, mut stream) = held_retry();
    bed.tick(99);
    let mut got = Vec::new();
    bed.drive_until(|bed| {
        bed.flush_calls();
        let mut buffer = [0; 4_096];
        let n = stream.read(&mut buffer).unwrap_or(0);
        got.extend_from_slice(&buffer[..n]);
        got.starts_with(b"POST /o ")
    });
}

#[test]
fn a_draining_engine_gets_no_new_query() {
    let mut bed = TestBed::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    bed.set_engine(listener, EngineState::Draining);
    bed.start();
    assert!(matches!(bed.listener.accept(), Err(e) if e.kind() == ErrorKind::WouldBlock));
}

/// Waits until a connection's close is reported, without handling the event.
fn wait_for_unhandled_close(bed: &mut TestBed) {
    let mut events = Events::with_capacity(16);
    while !events.iter().any(|e| e.is_read_closed()) {
        bed.poll.poll(&mut events, Some(std::time::Duration::from_secs(8))).unwrap();
        assert!(!events.is_empty(), "the close was not reported");
    }
}

#[test]
fn a_connection_closed_by_its_engine_is_not_reused() {
    let mut bed = TestBed::new();
    let (_attempt, mut first) = bed.start_and_accept();
    first.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nChunks: 1\r\n\r\na\tb\tc\n").unwrap();
    assert_eq!(bed.end_reason(), EndReason::Served);
    bed.tick(100);
    drop(first);
    wait_for_unhandled_close(&mut bed);
    bed.start();
    let mut second = bed.accept();
    bed.expect_bytes(&mut second, "POST /o ");
}

/// Limits the output queued on all connections to `output` bytes.
fn limited_output(output: usize) -> ConnectionLimits {
    ConnectionLimits { engines: 32, output, input: 1 << 30 }
}

#[test]
fn a_query_over_the_output_limit_ends_as_unsent() {
    let mut bed =
        TestBed::with_backend(Box::new(HttpBackend::new(30_000 * MS, 250 * MS)), limited_output(100));
    bed.start();
    assert_eq!(bed.end_reason(), EndReason::Unsent);
}

const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";
const STARTUP_RESPONSE: &[u8] = b"R\0\0\0\x08\0\0\0\0K\0\0\0\x0c\0\0\0\x07\0\0\0\x09Z\0\0\0\x05I";

#[test]
fn a_startup_message_over_the_output_limit_ends_as_unsent() {
    let mut bed = TestBed::with_postgres(limited_output(60));
    bed.start();
    assert_eq!(bed.end_reason(), EndReason::Unsent);
}

#[test]
fn a_query_over_the_output_limit_in_an_open_session_ends_as_unsent() {
    let mut bed = TestBed::with_postgres(limited_output(4 * 64));
    bed.statement = vec![b'x'; 64];
    bed.start();
    let mut session = bed.accept();
    bed.expect_bytes(&mut session, "marljunction\0");
    session.write_all(STARTUP_RESPONSE).unwrap();
    assert_eq!(bed.end_reason(), EndReason::Unsent);
}

#[test]
fn a_session_closed_by_its_engine_is_not_reused() {
    let mut bed = TestBed::with_postgres(ConnectionLimits::of(64, 64.0));
    bed.start();
    let mut first = bed.accept();
    bed.expect_bytes(&mut first, "marljunction\0");
    first.write_all(STARTUP_RESPONSE).unwrap();
    bed.expect_bytes(&mut first, "S\0\0\0\x04");
    first.write_all(b"1\0\0\0\x042\0\0\0\x04n\0\0\0\x04C\0\0\0\x0dSELECT 0\0").unwrap();
    first.write_all(READY_FOR_QUERY).unwrap();
    assert_eq!(bed.end_reason(), EndReason::Served);
    drop(first);
    wait_for_unhandled_close(&mut bed);
    bed.start();
    let mut second = bed.accept();
    bed.expect_bytes(&mut second, "marljunction\0");
}

#[test]
fn a_retry_is_not_sent_when_its_session_opens_after_its_deadline() {
    let mut bed = TestBed::with_postgres(ConnectionLimits::of(64, 64.0));
    bed.start_with_deadline(Some(T0 + 100 * MS));
    let mut session = bed.accept();
    bed.expect_bytes(&mut session, "marljunction\0");
    bed.tick(101);
    assert_eq!(bed.end_reason(), EndReason::Unsent);
    // The session stays open for other attempts, and carries nothing of this one.
    session.write_all(STARTUP_RESPONSE).unwrap();
    bed.drive_sockets();
    assert!(matches!(session.read(&mut [0; 16]), Err(e) if e.kind() == ErrorKind::WouldBlock));
}
