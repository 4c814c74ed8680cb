//! Queries on engines: when one that was given up is over, which connection a query goes on, and what does not go out. Times
//! are passed in, only the bytes are real.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use marljunction_control::interface::*;
use marljunction_core::end_reason::{EndReason, END_REASONS};
use marljunction_core::statement::Statement;
use marljunction_core::{Attempt, Client, ClientRequest, Router};
use marljunction_discovery::{Change, Target};
use marljunction_engine::http::HttpEngines;
use marljunction_engine::postgres::PostgresEngines;
use marljunction_engine::{Backend, Context, Start};
use marljunction_net::{Net, Room};
use mio::{Events, Poll};

const MS: u64 = 1_000_000;
const T0: u64 = 1_700_000_000_000 * MS;

struct World {
    poll: Poll,
    net: Net,
    router: Router,
    engines: Box<dyn Backend>,
    listener: TcpListener,
    now: u64,
    /// What queries ask.
    statement: Vec<u8>,
}

impl World {
    fn new() -> World {
        World::of(Box::new(HttpEngines::new(30_000 * MS, 250 * MS)), Room::of(64, 64.0))
    }

    /// With an engine that speaks PostgreSQL.
    fn of_sessions(room: Room) -> World {
        World::of(Box::new(PostgresEngines::new("u".into(), "d".into(), 250 * MS)), room)
    }

    fn of(engines: Box<dyn Backend>, room: Room) -> World {
        let poll = Poll::new().unwrap();
        let registry = poll.registry().try_clone().unwrap();
        let net = Net::new(registry, 10, room);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let class = ClassSettings {
            target_latency_ns: 9_000 * MS,
            deadline_ns: 9_000 * MS,
            ..ClassSettings::default()
        };
        let settings = Settings { classes: vec![class], may_cancel: true, ..Settings::default() };
        let router = Router::new(settings, 1, 64.0);
        let same = listener.try_clone().unwrap();
        let mut world = World { poll, net, router, engines, listener, now: T0, statement: Vec::new() };
        world.lists(same, EngineState::Ready);
        world.router.process_events(T0, &mut Vec::new());
        world
    }

    /// Hands what the sockets bring to the engines' side, until `done`.
    fn until(&mut self, mut done: impl FnMut(&mut World) -> bool) {
        let mut events = Events::with_capacity(16);
        let since = std::time::Instant::now();
        while !done(self) {
            assert!(since.elapsed() < std::time::Duration::from_secs(8), "waited in vain");
            self.poll.poll(&mut events, Some(std::time::Duration::from_millis(5))).unwrap();
            let conns: Vec<u64> = events.iter().map(|e| e.token().0 as u64).collect();
            for conn in conns {
                let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
                self.engines.ready(&mut cx, conn);
            }
        }
    }

    /// A list says that the engine is in this state, at this address.
    fn lists(&mut self, listener: TcpListener, state: EngineState) {
        let entry = EngineEntry { engine: EngineId(1), state, ..EngineEntry::default() };
        let target = Target { entry, address: listener.local_addr().unwrap() };
        self.listener = listener;
        self.router.membership(MembershipKind::Full, vec![entry]);
        let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
        self.engines.change(&mut cx, &Change { kind: MembershipKind::Full, targets: vec![target] });
    }

    /// The end of a round: calls go out.
    fn release(&mut self) {
        for conn in self.net.release() {
            let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
            self.engines.flushed(&mut cx, conn);
        }
    }

    /// The engine takes no connections from here on.
    fn refuse(&mut self) {
        let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
        self.listener = elsewhere;
    }

    /// Some rounds of what the sockets bring.
    fn turn_sockets(&mut self) {
        let mut rounds = 0;
        self.until(|_| {
            rounds += 1;
            rounds > 4
        });
    }

    fn accept(&mut self) -> TcpStream {
        self.listener.set_nonblocking(true).unwrap();
        let mut found = None;
        self.until(|w| {
            found = w.listener.accept().ok();
            found.is_some()
        });
        let stream = found.unwrap().0;
        stream.set_nonblocking(true).unwrap();
        stream
    }

    /// Reads from the engine's end until the text has come.
    fn read(&mut self, stream: &mut TcpStream, text: &str) {
        let mut got = Vec::new();
        self.until(|_| {
            let mut buffer = [0; 4_096];
            let n = stream.read(&mut buffer).unwrap_or(0);
            got.extend_from_slice(&buffer[..n]);
            got.windows(text.len()).any(|w| w == text.as_bytes())
        });
    }

    fn tick(&mut self, ms: u64) {
        self.now = T0 + ms * MS;
        let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
        self.engines.tick(&mut cx);
    }

    /// Sends a query to the engine; it goes on a connection that the caller finds.
    fn start(&mut self) -> Attempt {
        self.start_by(None)
    }

    /// The same, which must not begin to go out later.
    fn start_by(&mut self, begin_by_ns: Option<u64>) -> Attempt {
        let statement = Statement::plain(self.statement.clone());
        let name = "aaaabbbbccccdddd".into();
        let ask = ClientRequest { name, time_left_ns: 9_000 * MS, statement, ..ClientRequest::default() };
        let request = self.router.take(self.now, Client { conn: 1, call: 1 }, ask.clone());
        self.router.process_events(self.now, &mut Vec::new());
        let attempt = Attempt { request, number: 0 };
        let start = Start {
            attempt,
            engine: EngineId(1),
            timeout_ns: 9_000 * MS,
            priority: 1,
            ask: Rc::new(ask),
            class: "lookup".into(),
            once: false,
            begin_by_ns,
        };
        let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
        self.engines.start(&mut cx, start);
        attempt
    }

    /// A query that the engine has whole, and the connection that waits for its news.
    fn started(&mut self) -> (Attempt, TcpStream) {
        let attempt = self.start();
        let mut first = self.accept();
        self.read(&mut first, "POST /o ");
        (attempt, first)
    }

    fn give_up(&mut self, attempt: Attempt) {
        let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
        self.engines.give_up(&mut cx, attempt);
    }

    /// The attempt's ending, once it has been reported.
    fn ending(&mut self) -> EndReason {
        self.until(|w| w.router.has_pending_events());
        self.router.process_events(self.now, &mut Vec::new());
        let counted = END_REASONS.iter().find(|(ending, _)| self.router.counters.endings(*ending) > 0);
        counted.expect("an ending is counted").0
    }

    /// The query ends once the engine has been told on this connection that it is given up, and has said so.
    fn told_on(&mut self, mut stream: TcpStream) {
        self.read(&mut stream, "DELETE /o/aaaabbbbccccdddd ");
        assert!(!self.router.has_pending_events());
        stream.write_all(b"HTTP/1.1 204 Done\r\n\r\n").unwrap();
        assert_eq!(self.ending(), EndReason::GivenUp);
    }

    /// A query that the engine has whole, and that was given up: the end of the connection that tells it so.
    fn given_up(&mut self) -> (TcpStream, TcpStream) {
        let (attempt, first) = self.started();
        self.give_up(attempt);
        let mut second = self.accept();
        self.read(&mut second, "DELETE /o/aaaabbbbccccdddd ");
        (first, second)
    }
}

#[test]
fn a_call_for_news_that_is_answered_with_an_error_says_that_the_query_is_given_up() {
    let mut w = World::new();
    let (mut first, _second) = w.given_up();
    first.write_all(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert_eq!(w.ending(), EndReason::GivenUp, "the engine must not pass for a failing one");
}

#[test]
fn an_engine_that_takes_no_new_connection_is_told_on_the_one_that_waits_for_news() {
    let mut w = World::new();
    let (attempt, mut first) = w.started();
    w.refuse();
    w.give_up(attempt);
    for ms in [20, 40, 150, 240] {
        w.tick(ms);
        w.turn_sockets();
        assert!(
            !w.router.has_pending_events(),
            "after {ms} ms the query may still run: its connection stands"
        );
    }
    first.write_all(b"HTTP/1.1 202 Running\r\nContent-Length: 0\r\n\r\n").unwrap();
    w.told_on(first);
}

#[test]
fn an_engine_that_takes_no_new_connection_and_resets_the_old_one_has_gone() {
    let mut w = World::new();
    let (attempt, first) = w.started();
    w.refuse();
    w.give_up(attempt);
    drop(first);
    w.turn_sockets();
    w.tick(240);
    assert_eq!(w.ending(), EndReason::Abandoned);
}

#[test]
fn an_engine_that_stands_still_has_not_been_told_until_it_answers() {
    let mut w = World::new();
    let (mut first, mut second) = w.given_up();
    for ms in [100, 260, 400, 490] {
        w.tick(ms);
        assert!(!w.router.has_pending_events(), "after {ms} ms the query may still run");
    }
    first.write_all(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n").unwrap();
    second.write_all(b"HTTP/1.1 204 Done\r\n\r\n").unwrap();
    assert_eq!(w.ending(), EndReason::GivenUp);
}

#[test]
fn an_engine_that_reads_the_end_of_a_query_before_its_start_has_not_ended_it() {
    let mut w = World::new();
    let (mut first, mut second) = w.given_up();
    w.tick(300);
    second.write_all(b"HTTP/1.1 204 Done\r\n\r\n").unwrap();
    w.turn_sockets();
    for ms in [320, 400, 490] {
        w.tick(ms);
        assert!(
            !w.router.has_pending_events(),
            "after {ms} ms the call that starts the query still waits there"
        );
    }
    // It takes the query up now, and is told once more.
    first.write_all(b"HTTP/1.1 202 Running\r\nContent-Length: 0\r\n\r\n").unwrap();
    w.told_on(first);
}

#[test]
fn an_engine_that_reads_the_end_of_a_query_before_its_start_is_told_again_where_both_answers_come_at_once() {
    let mut w = World::new();
    let (mut first, mut second) = w.given_up();
    second.write_all(b"HTTP/1.1 204 Done\r\n\r\n").unwrap();
    first.write_all(b"HTTP/1.1 202 Running\r\nContent-Length: 0\r\n\r\n").unwrap();
    // The connection that waits for news is looked at first.
    let mut cx = Context { now: w.now, net: &mut w.net, router: &mut w.router };
    w.engines.ready(&mut cx, 11);
    w.turn_sockets();
    assert!(!w.router.has_pending_events(), "the query may run");
    w.told_on(first);
}

#[test]
fn an_engine_that_stood_still_is_asked_twice_before_it_counts_as_not_knowing_a_query() {
    for takes_it_up in [true, false] {
        let mut w = World::new();
        let (_attempt, _first) = w.started();
        w.tick(501);
        let mut second = w.accept();
        w.read(&mut second, "GET /o/aaaabbbbccccdddd/0 ");
        second.write_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n").unwrap();
        w.turn_sockets();
        assert!(!w.router.has_pending_events(), "the call that starts it may still stand there");
        w.tick(610);
        let mut third = w.accept();
        w.read(&mut third, "GET /o/aaaabbbbccccdddd/0 ");
        let answer: &[u8] = match takes_it_up {
            true => b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nChunks: 1\r\n\r\na\tb\tc\n",
            false => b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        };
        third.write_all(answer).unwrap();
        assert_eq!(w.ending(), if takes_it_up { EndReason::Served } else { EndReason::EngineError });
    }
}

#[test]
fn an_engine_that_never_answers_the_start_of_a_query_is_told_again_that_it_is_given_up() {
    // The start's connection is ended for its silence behind the first answer, or before it.
    for silent_first in [false, true] {
        let mut w = World::new();
        let (attempt, mut first) = w.started();
        if silent_first {
            w.now = T0 + 400 * MS;
        }
        w.give_up(attempt);
        let mut second = w.accept();
        w.read(&mut second, "DELETE /o/aaaabbbbccccdddd ");
        if silent_first {
            w.tick(501);
            w.until(|_| matches!(first.read(&mut [0; 16]), Err(e) if e.kind() == ErrorKind::ConnectionReset));
        }
        second.write_all(b"HTTP/1.1 204 Done\r\n\r\n").unwrap();
        w.turn_sockets();
        assert!(!w.router.has_pending_events());
        w.tick(502);
        w.tick(620);
        w.read(&mut second, "DELETE /o/aaaabbbbccccdddd ");
        second.write_all(b"HTTP/1.1 204 Done\r\n\r\n").unwrap();
        assert_eq!(w.ending(), EndReason::GivenUp);
    }
}

#[test]
fn an_engine_that_never_answers_has_ended_the_query_by_itself_after_its_time() {
    let mut w = World::new();
    let _ends = w.given_up();
    for ms in [600, 1_200, 2_000, 2_240, 2_340] {
        w.tick(ms);
        assert!(!w.router.has_pending_events(), "after {ms} ms the query may still run");
    }
    w.tick(2_360);
    assert!(
        w.router.has_pending_events(),
        "nobody has asked for it for 2 s, the time that a call is held, and the allowance"
    );
}

#[test]
fn an_engine_ends_a_query_by_itself_so_long_after_it_got_it_not_after_its_connection_was_begun() {
    let mut w = World::new();
    w.net.hold_calls();
    let attempt = w.start();
    let mut first = w.accept();
    // The connection comes up late.
    w.now = T0 + 200 * MS;
    w.turn_sockets();
    w.release();
    w.read(&mut first, "POST /o ");
    w.give_up(attempt);
    for ms in [700, 1_300, 1_900, 2_360, 2_540] {
        w.tick(ms);
        w.turn_sockets();
        w.release();
        assert!(!w.router.has_pending_events(), "after {ms} ms the query may still run");
    }
    w.tick(2_560);
    assert_eq!(w.ending(), EndReason::Abandoned);
}

#[test]
fn news_that_come_before_a_connection_is_refused_do_not_make_the_refusal_an_end() {
    let mut w = World::new();
    let (attempt, mut first) = w.started();
    w.refuse();
    w.give_up(attempt);
    first.write_all(b"HTTP/1.1 202 Running\r\nContent-Length: 0\r\n\r\n").unwrap();
    // The connection that waits for news is looked at first, the refused one after it.
    let mut cx = Context { now: w.now, net: &mut w.net, router: &mut w.router };
    w.engines.ready(&mut cx, 11);
    w.turn_sockets();
    assert!(!w.router.has_pending_events(), "the engine is there, and may still run the query");
    w.told_on(first);
}

#[test]
fn a_connection_is_used_again_for_two_seconds_after_its_last_answer() {
    let mut w = World::new();
    let (_attempt, mut first) = w.started();
    first.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nChunks: 1\r\n\r\na\tb\tc\n").unwrap();
    assert_eq!(w.ending(), EndReason::Served);
    // Thin traffic: a router's next query for the same engine comes seconds later. Each handshake is priced.
    w.tick(1_900);
    w.start();
    w.read(&mut first, "POST /o ");
    w.listener.set_nonblocking(true).unwrap();
    assert!(w.listener.accept().is_err(), "a new connection was opened where an idle one stood");
}

#[test]
fn a_connection_to_a_former_address_is_not_used_for_the_engine_any_more() {
    let mut w = World::new();
    let (_attempt, mut first) = w.started();
    // The engine moves while the call is under way, and the old address may be another's when the call ends.
    w.lists(TcpListener::bind("127.0.0.1:0").unwrap(), EngineState::Ready);
    first.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nChunks: 1\r\n\r\na\tb\tc\n").unwrap();
    w.until(|w| {
        w.router.process_events(w.now, &mut Vec::new());
        w.router.counters.endings(EndReason::Served) == 1
    });
    // Long enough for a connection to be used again, and not too long.
    w.tick(100);
    w.start();
    let mut second = w.accept();
    w.read(&mut second, "POST /o ");
}

/// A repeat that must begin within 100 ms, its calls held to the end of the round, and the engine's end of its connection.
fn held_repeat() -> (World, TcpStream) {
    let mut w = World::new();
    w.net.hold_calls();
    w.start_by(Some(T0 + 100 * MS));
    let stream = w.accept();
    (w, stream)
}

#[test]
fn a_repeat_that_engines_would_not_drop_any_more_does_not_begin_to_go_out() {
    let (mut w, mut stream) = held_repeat();
    w.tick(101);
    assert_eq!(w.ending(), EndReason::Unsent);
    w.net.release();
    w.until(|_| match stream.read(&mut [0; 16]) {
        Ok(n) if n > 0 => panic!("bytes came of it"),
        read => !matches!(&read, Err(e) if e.kind() == ErrorKind::WouldBlock),
    });
}

#[test]
fn one_that_may_still_repeat_goes_out_at_the_end_of_the_round() {
    let (mut w, mut stream) = held_repeat();
    w.tick(99);
    let mut got = Vec::new();
    w.until(|w| {
        w.release();
        let mut buffer = [0; 4_096];
        let n = stream.read(&mut buffer).unwrap_or(0);
        got.extend_from_slice(&buffer[..n]);
        got.starts_with(b"POST /o ")
    });
}

#[test]
fn an_engine_that_has_begun_to_drain_gets_nothing_new() {
    let mut w = World::new();
    let at = TcpListener::bind("127.0.0.1:0").unwrap();
    at.set_nonblocking(true).unwrap();
    w.lists(at, EngineState::Draining);
    w.start();
    assert!(matches!(w.listener.accept(), Err(e) if e.kind() == ErrorKind::WouldBlock));
}

/// Waits until the machine has told of the end of a connection, and hands that to nobody.
fn unheard_end(w: &mut World) {
    let mut events = Events::with_capacity(16);
    while !events.iter().any(|e| e.is_read_closed()) {
        w.poll.poll(&mut events, Some(std::time::Duration::from_secs(8))).unwrap();
        assert!(!events.is_empty(), "no event tells of the end");
    }
}

#[test]
fn a_connection_that_its_engine_has_closed_just_now_is_not_used_for_a_query() {
    let mut w = World::new();
    let (_attempt, mut first) = w.started();
    first.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nChunks: 1\r\n\r\na\tb\tc\n").unwrap();
    assert_eq!(w.ending(), EndReason::Served);
    w.tick(100);
    drop(first);
    unheard_end(&mut w);
    w.start();
    let mut second = w.accept();
    w.read(&mut second, "POST /o ");
}

/// Room for so many bytes that wait for all connections together.
fn cramped(output: usize) -> Room {
    Room { engines: 32, output }
}

#[test]
fn a_call_that_finds_no_room_to_wait_has_never_run() {
    let mut w = World::of(Box::new(HttpEngines::new(30_000 * MS, 250 * MS)), cramped(100));
    w.start();
    assert_eq!(w.ending(), EndReason::Unsent);
}

const READY: &[u8] = b"Z\0\0\0\x05I";
const WELCOME: &[u8] = b"R\0\0\0\x08\0\0\0\0K\0\0\0\x0c\0\0\0\x07\0\0\0\x09Z\0\0\0\x05I";

#[test]
fn a_session_that_finds_no_room_to_wait_has_run_nothing() {
    let mut w = World::of_sessions(cramped(60));
    w.start();
    assert_eq!(w.ending(), EndReason::Unsent);
}

#[test]
fn a_query_that_finds_no_room_to_wait_in_its_session_has_never_run() {
    let mut w = World::of_sessions(cramped(4 * 64));
    w.statement = vec![b'x'; 64];
    w.start();
    let mut session = w.accept();
    w.read(&mut session, "marljunction\0");
    session.write_all(WELCOME).unwrap();
    assert_eq!(w.ending(), EndReason::Unsent);
}

#[test]
fn a_session_that_its_engine_has_closed_just_now_is_not_used_for_a_query() {
    let mut w = World::of_sessions(Room::of(64, 64.0));
    w.start();
    let mut first = w.accept();
    w.read(&mut first, "marljunction\0");
    first.write_all(WELCOME).unwrap();
    w.read(&mut first, "S\0\0\0\x04");
    first.write_all(b"1\0\0\0\x042\0\0\0\x04n\0\0\0\x04C\0\0\0\x0dSELECT 0\0").unwrap();
    first.write_all(READY).unwrap();
    assert_eq!(w.ending(), EndReason::Served);
    drop(first);
    unheard_end(&mut w);
    w.start();
    let mut second = w.accept();
    w.read(&mut second, "marljunction\0");
}

#[test]
fn a_repeat_whose_session_opens_too_late_does_not_begin_to_go_out() {
    let mut w = World::of_sessions(Room::of(64, 64.0));
    w.start_by(Some(T0 + 100 * MS));
    let mut session = w.accept();
    w.read(&mut session, "marljunction\0");
    w.tick(101);
    assert_eq!(w.ending(), EndReason::Unsent);
    // The session is kept for others, and carries nothing of that one.
    session.write_all(WELCOME).unwrap();
    w.turn_sockets();
    assert!(matches!(session.read(&mut [0; 16]), Err(e) if e.kind() == ErrorKind::WouldBlock));
}
