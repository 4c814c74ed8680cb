//! Closing idle and silent clients, and messages that arrive just before.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use marljunction_control::interface::{ClassId, ClassSettings, Settings};
use marljunction_core::end_reason::EndReason;
use marljunction_core::{Answer, Client, Router, Rows};
use marljunction_front::msgpack::MsgpackFront;
use marljunction_front::postgres::{PostgresFront, PostgresSetup};
use marljunction_front::Directory;
use marljunction_net::phase::ClosePolicy;
use marljunction_net::{ConnectionLimits, Net, Owner};
use marljunction_settings::Names;

const CALL: &[u8] =
    b"\x94\x00\x01\xa6lookup\x92\x82\xa3rid\xb09b1f03aa5c7e2d41\xa6budget\xa45000\xc4\x08select 1";
const STARTUP: &[u8] = b"\0\0\0\x13\0\x03\0\0user\0shop\0\0";
const QUERY: &[u8] = b"Q\0\0\0\x0dselect 1\0";
/// A time past all of a front's timeouts.
const LATE_NS: u64 = 3_000_000_000;

struct Fixture {
    front: MsgpackFront,
    sessions: PostgresFront,
    router: Router,
    net: Net,
    client: TcpStream,
    conn: u64,
    _poll: mio::Poll,
}

/// Both fronts, and a client connected to one of them.
fn fixture(owner: Owner) -> Fixture {
    fixture_with_limits(owner, ConnectionLimits::of(64, 64.0))
}

fn fixture_with_limits(owner: Owner, limits: ConnectionLimits) -> Fixture {
    let class = ClassSettings {
        target_latency_ns: 1_000_000_000,
        deadline_ns: 6_000_000_000,
        ..ClassSettings::default()
    };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let names = Names { classes: vec!["lookup".into()], ..Names::default() };
    let directory = Directory::new(names, &settings);
    let setup =
        PostgresSetup { class: ClassId(0), columns: Vec::new(), inline_params: true, max_sessions: 8 };
    let mut front = MsgpackFront::new(directory.clone());
    let mut sessions = PostgresFront::new(directory, setup, 1);
    let router = Router::new(settings, 1, 64.0);
    let poll = mio::Poll::new().unwrap();
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, limits);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, from) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let conn = net.add_accepted(mio::net::TcpStream::from_std(stream), owner).unwrap();
    match owner {
        Owner::Msgpack => front.accept(0, conn, from.ip()),
        _ => sessions.accept(0, conn, from.ip()),
    }
    Fixture { front, sessions, router, net, client, conn, _poll: poll }
}

impl Fixture {
    /// A client with a started PostgreSQL session.
    fn session() -> Fixture {
        let mut w = fixture(Owner::Postgres);
        w.client.write_all(STARTUP).unwrap();
        w.sessions.ready(0, &mut w.net, &mut w.router, w.conn);
        w
    }

    /// Closes idle connections and sessions.
    fn close_idle(&mut self) {
        self.front.set_close_policy(ClosePolicy::WhenIdle);
        self.front.close_idle(LATE_NS, &mut self.net, &mut self.router);
        self.sessions.set_close_policy(ClosePolicy::WhenIdle);
        self.sessions.close_idle(LATE_NS, &mut self.net, &mut self.router);
    }

    /// Writes to the client until its socket is full.
    fn fill_output(&mut self) {
        while self.net.drained(self.conn) {
            assert!(self.net.send(self.conn, &[b'x'; 64 << 10]));
        }
    }

    /// The client reads until all queued output is written.
    fn read_output(&mut self) {
        self.client.set_read_timeout(Some(std::time::Duration::from_secs(8))).unwrap();
        while !self.net.drained(self.conn) {
            assert!(self.client.read(&mut [0; 64 << 10]).unwrap() > 0);
            self.net.service(self.conn);
        }
    }
}

#[test]
fn a_connection_with_an_unread_request_is_not_closed_as_idle() {
    let mut w = fixture(Owner::Msgpack);
    // The request arrives after the events of the iteration in which its connection counts as idle.
    w.client.write_all(CALL).unwrap();
    w.close_idle();
    assert_eq!((w.router.counters.taken, w.router.unanswered()), (1, 1));
    assert_eq!(w.net.owner(w.conn), Some(Owner::Msgpack));
}

#[test]
fn a_session_with_an_unread_statement_is_not_closed_as_idle() {
    let mut w = Fixture::session();
    w.client.write_all(QUERY).unwrap();
    w.close_idle();
    assert_eq!((w.router.counters.taken, w.router.unanswered()), (1, 1));
    assert_eq!(w.net.owner(w.conn), Some(Owner::Postgres));
}

#[test]
fn a_connection_with_an_unread_first_request_does_not_time_out() {
    let mut w = fixture(Owner::Msgpack);
    w.client.write_all(CALL).unwrap();
    w.front.tick(LATE_NS, &mut w.net, &mut w.router);
    assert_eq!((w.router.counters.taken, w.router.unanswered(), w.router.counters.rejected), (1, 1, 0));
}

#[test]
fn a_session_with_an_unread_startup_message_does_not_time_out() {
    let mut w = fixture(Owner::Postgres);
    w.client.write_all(STARTUP).unwrap();
    w.sessions.tick(LATE_NS, &mut w.net, &mut w.router);
    assert_eq!((w.sessions.sessions(), w.router.counters.rejected), (1, 0));
}

#[test]
fn a_client_that_sends_nothing_times_out_and_is_counted() {
    let (mut w, mut s) = (fixture(Owner::Msgpack), fixture(Owner::Postgres));
    w.front.tick(LATE_NS, &mut w.net, &mut w.router);
    s.sessions.tick(LATE_NS, &mut s.net, &mut s.router);
    for fixture in [w, s] {
        assert_eq!(fixture.router.counters.rejected, 1);
        assert_eq!(
            (fixture.router.counters.endings(EndReason::Silent), fixture.net.owner(fixture.conn)),
            (1, None)
        );
    }
}

/// Guards against: a message written over more than 2 s closes its connection, and the request that
/// runs for it gets no answer.
#[test]
fn a_slowly_written_message_leaves_the_open_request_its_connection_and_answer() {
    let mut w = fixture(Owner::Msgpack);
    w.client.write_all(CALL).unwrap();
    w.client.write_all(&CALL[..CALL.len() / 2]).unwrap();
    w.front.ready(0, &mut w.net, &mut w.router, w.conn);
    w.front.tick(LATE_NS, &mut w.net, &mut w.router);
    assert_eq!((w.net.owner(w.conn), w.router.unanswered()), (Some(Owner::Msgpack), 1));
    let refusal = Answer::Refused { after: None, backoff_ms: 1, fault: None };
    w.front.answer(LATE_NS, &mut w.net, &mut w.router, Client { conn: w.conn, call: 1 }, refusal);
    // The client gets the time for the rest of its message anew.
    w.front.tick(LATE_NS + 2_000_000_000, &mut w.net, &mut w.router);
    assert_eq!(w.net.owner(w.conn), Some(Owner::Msgpack));
    w.front.tick(2 * LATE_NS, &mut w.net, &mut w.router);
    assert_eq!((w.router.counters.endings(EndReason::Silent), w.net.owner(w.conn)), (1, None));
}

#[test]
fn a_connection_with_unread_messages_is_not_evicted() {
    let mut w = fixture(Owner::Msgpack);
    w.client.write_all(&b"\x94\x00\x01\xa6isWell\x91\x80".repeat(70)).unwrap();
    w.front.ready(0, &mut w.net, &mut w.router, w.conn);
    assert_eq!(w.front.eviction_candidate(1_000_000_000, &w.net), None);
    w.front.ready(0, &mut w.net, &mut w.router, w.conn);
    assert_eq!(w.front.eviction_candidate(1_000_000_000, &w.net), Some(w.conn));
}

#[test]
fn a_connection_with_queued_output_is_neither_closed_as_idle_nor_evicted() {
    let mut w = fixture(Owner::Msgpack);
    w.fill_output();
    w.close_idle();
    assert_eq!(w.net.owner(w.conn), Some(Owner::Msgpack));
    assert_eq!(w.front.eviction_candidate(LATE_NS, &w.net), None);
    w.read_output();
    assert_eq!(w.front.eviction_candidate(LATE_NS, &w.net), Some(w.conn));
    w.close_idle();
    assert_eq!(w.router.counters.endings(EndReason::Idle), 1);
}

#[test]
fn a_session_with_queued_output_is_not_closed_as_idle() {
    let mut w = Fixture::session();
    w.fill_output();
    w.close_idle();
    assert_eq!(w.net.owner(w.conn), Some(Owner::Postgres));
    w.read_output();
    w.close_idle();
    assert_eq!(w.router.counters.endings(EndReason::Idle), 1);
}

#[test]
fn a_client_that_does_not_read_is_evicted_for_engine_output_and_counted() {
    for owner in [Owner::Msgpack, Owner::Postgres] {
        // The output of four connections reaches the limit.
        let mut w =
            fixture_with_limits(owner, ConnectionLimits { engines: 8, output: 1 << 20, input: 1 << 30 });
        w.fill_output();
        let engine = TcpListener::bind("127.0.0.1:0").unwrap();
        for _ in 0..4 {
            let call = w.net.connect(engine.local_addr().unwrap(), Owner::Engine).unwrap();
            assert!(w.net.send(call, &[b'x'; 256 << 10]));
        }
        match owner {
            Owner::Msgpack => w.front.ready(0, &mut w.net, &mut w.router, w.conn),
            _ => w.sessions.ready(0, &mut w.net, &mut w.router, w.conn),
        }
        assert_eq!((w.router.counters.endings(EndReason::Garbled), w.net.owner(w.conn)), (1, None));
    }
}

/// A refusal as the final answer to a call.
fn refusal() -> Answer {
    Answer::Refused { after: None, backoff_ms: 1, fault: None }
}

/// A call with this message id and request id.
fn call(id: u8, request_id: &str) -> Vec<u8> {
    let mut bytes = CALL.to_vec();
    bytes[2] = id;
    let at = bytes.windows(16).position(|part| part == b"9b1f03aa5c7e2d41").unwrap();
    bytes[at..at + 16].copy_from_slice(request_id.as_bytes());
    bytes
}

/// Everything that the client has received, up to the end of the connection.
fn received(w: &mut Fixture) -> Vec<u8> {
    w.client.shutdown(std::net::Shutdown::Write).unwrap();
    w.net.discard_input(w.conn);
    w.client.set_read_timeout(Some(std::time::Duration::from_secs(8))).unwrap();
    let mut bytes = Vec::new();
    w.client.read_to_end(&mut bytes).unwrap();
    bytes
}

const WHEN_ANSWERED: ClosePolicy = ClosePolicy::WhenAnswered;

/// Guards against: a drained router never closes the connection of a client that sends its next
/// request within 50 ms of each answer.
#[test]
fn a_drained_router_closes_a_busy_connection_with_its_next_answer() {
    let mut w = fixture(Owner::Msgpack);
    w.client.write_all(CALL).unwrap();
    w.front.ready(900, &mut w.net, &mut w.router, w.conn);
    w.front.set_close_policy(WHEN_ANSWERED);
    w.front.close_idle(2_000, &mut w.net, &mut w.router);
    assert_eq!(w.net.owner(w.conn), Some(Owner::Msgpack), "closed with an open request");
    let client = Client { conn: w.conn, call: 1 };
    w.front.answer(2_000, &mut w.net, &mut w.router, client, refusal());
    assert_eq!(w.router.counters.endings(EndReason::Idle), 1);
    assert!(received(&mut w).windows(7).any(|part| part == b"Backoff"));
}

/// Guards against: a drained router never closes a connection that always has an open request.
#[test]
fn a_drained_router_refuses_further_requests_of_a_connection_with_open_ones() {
    let mut w = fixture(Owner::Msgpack);
    w.client.write_all(CALL).unwrap();
    w.front.ready(900, &mut w.net, &mut w.router, w.conn);
    w.front.set_close_policy(WHEN_ANSWERED);
    (2..=150).for_each(|id| w.client.write_all(&call(id.min(120), "9b1f03aa5c7e2d42")).unwrap());
    (0..3).for_each(|_| w.front.ready(2_000, &mut w.net, &mut w.router, w.conn));
    assert_eq!((w.router.counters.taken, w.router.counters.rejected), (1, 149));
    w.front.answer(2_000, &mut w.net, &mut w.router, Client { conn: w.conn, call: 1 }, refusal());
    assert_eq!(w.router.counters.endings(EndReason::Idle), 1);
    // Each request has its answer: the first one the router's, the others a refusal.
    assert_eq!(received(&mut w).windows(7).filter(|part| *part == b"Backoff").count(), 150);
}

#[test]
fn a_request_that_crosses_the_close_of_a_drained_connection_is_served_first() {
    let mut w = fixture(Owner::Msgpack);
    w.client.write_all(CALL).unwrap();
    w.front.ready(900, &mut w.net, &mut w.router, w.conn);
    w.front.set_close_policy(WHEN_ANSWERED);
    w.client.write_all(&call(2, "9b1f03aa5c7e2d42")).unwrap();
    w.front.answer(2_000, &mut w.net, &mut w.router, Client { conn: w.conn, call: 1 }, refusal());
    assert_eq!((w.router.counters.taken, w.net.owner(w.conn)), (2, Some(Owner::Msgpack)));
    w.client.write_all(&call(3, "9b1f03aa5c7e2d43")).unwrap();
    w.front.answer(3_000, &mut w.net, &mut w.router, Client { conn: w.conn, call: 2 }, refusal());
    assert_eq!((w.router.counters.taken, w.router.counters.endings(EndReason::Idle)), (2, 1));
}

#[test]
fn a_new_connection_to_a_drained_router_gets_one_request_served() {
    let mut w = fixture(Owner::Msgpack);
    w.front.set_close_policy(WHEN_ANSWERED);
    w.front.close_idle(1_000, &mut w.net, &mut w.router);
    w.client.write_all(CALL).unwrap();
    w.front.ready(2_000, &mut w.net, &mut w.router, w.conn);
    assert_eq!(w.router.counters.taken, 1);
    w.front.answer(3_000, &mut w.net, &mut w.router, Client { conn: w.conn, call: 1 }, refusal());
    assert_eq!(w.router.counters.endings(EndReason::Idle), 1);
}

/// Guards against: as for MessagePack connections, a session that never pauses is kept.
#[test]
fn a_drained_router_closes_a_busy_session_between_two_statements() {
    let mut w = Fixture::session();
    w.client.write_all(QUERY).unwrap();
    w.sessions.ready(900, &mut w.net, &mut w.router, w.conn);
    w.sessions.set_close_policy(WHEN_ANSWERED);
    w.sessions.close_idle(2_000, &mut w.net, &mut w.router);
    assert_eq!(w.sessions.sessions(), 1, "closed with a running statement");
    w.sessions.answer(2_000, &mut w.net, &mut w.router, Client { conn: w.conn, call: 1 }, refusal());
    assert_eq!((w.sessions.sessions(), w.router.counters.endings(EndReason::Idle)), (0, 1));
    assert!(received(&mut w).windows(5).any(|part| part == b"57P01"));
}

/// Guards against: a drained session that fetches a result in parts is kept as long as it likes.
#[test]
fn a_drained_router_closes_a_session_with_a_suspended_portal_at_the_forced_close() {
    const EXTENDED: &[u8] = b"P\0\0\0\x10\0select 1\0\0\0B\0\0\0\x0c\0\0\0\0\0\0\0\0E\0\0\0\x09\0\0\0\0\x01";
    let mut w = Fixture::session();
    w.client.write_all(EXTENDED).unwrap();
    w.sessions.ready(900, &mut w.net, &mut w.router, w.conn);
    let rows = Answer::Served(Rows::Text(b"1\n2\n".to_vec()));
    w.sessions.answer(900, &mut w.net, &mut w.router, Client { conn: w.conn, call: 1 }, rows);
    w.sessions.set_close_policy(WHEN_ANSWERED);
    w.sessions.close_idle(LATE_NS, &mut w.net, &mut w.router);
    assert_eq!(w.sessions.sessions(), 1, "the client could still fetch the rest of its result");
    w.sessions.set_close_policy(ClosePolicy::Forced);
    w.sessions.close_idle(LATE_NS, &mut w.net, &mut w.router);
    assert_eq!(w.sessions.sessions(), 0);
}

/// Guards against: for the memory of others, a connection is closed whose request is open.
#[test]
fn only_incomplete_messages_without_open_requests_are_closed_for_memory() {
    let mut w = fixture(Owner::Msgpack);
    w.client.write_all(&CALL[..20]).unwrap();
    w.front.ready(0, &mut w.net, &mut w.router, w.conn);
    assert_eq!(w.front.largest_incomplete(&w.net), Some((20, w.conn)));
    w.client.write_all(&CALL[20..]).unwrap();
    w.client.write_all(&CALL[..20]).unwrap();
    w.front.ready(0, &mut w.net, &mut w.router, w.conn);
    assert_eq!((w.router.counters.taken, w.front.largest_incomplete(&w.net)), (1, None));
}

/// Writes calls without pause, more than is read at once, and then closes the connection. They are too
/// few to be closed for being turned away.
fn write_many_calls(w: &Fixture, statement_bytes: u16) -> std::thread::JoinHandle<()> {
    let mut client = w.client.try_clone().unwrap();
    std::thread::spawn(move || {
        let calls: Vec<u8> = (0..100)
            .flat_map(|number: u8| {
                let mut bytes = call(number, &format!("{number:016x}"));
                bytes.truncate(bytes.len() - b"\xc4\x08select 1".len());
                bytes.push(0xc5);
                bytes.extend(statement_bytes.to_be_bytes());
                bytes.resize(bytes.len() + usize::from(statement_bytes), b'x');
                bytes
            })
            .collect();
        // The front may close the connection first.
        let _ = client.write_all(&calls);
        let _ = client.shutdown(std::net::Shutdown::Both);
    })
}

/// Guards against: a client closes its connection with much still unread, and its requests run.
#[test]
fn requests_ahead_of_the_unread_end_of_a_connection_are_not_submitted() {
    let mut w = fixture(Owner::Msgpack);
    let writer = write_many_calls(&w, 4_000);
    // The socket holds more than is read at once before the first turn.
    while w.net.input(w.conn).len() < 72 << 10 {
        w.net.service(w.conn);
    }
    while w.net.owner(w.conn).is_some() {
        w.front.begin_iteration();
        w.front.ready(0, &mut w.net, &mut w.router, w.conn);
    }
    writer.join().unwrap();
    assert_eq!((w.router.counters.taken, w.router.counters.endings(EndReason::ClientGone)), (0, 1));
}

#[test]
fn a_client_that_never_pauses_has_its_requests_submitted_within_50_ms() {
    let mut w = fixture(Owner::Msgpack);
    let writer = write_many_calls(&w, 4_000);
    while w.net.input(w.conn).len() < 72 << 10 {
        w.net.service(w.conn);
    }
    w.front.ready(0, &mut w.net, &mut w.router, w.conn);
    assert_eq!(w.router.counters.taken, 0);
    w.front.tick(50_000_000, &mut w.net, &mut w.router);
    assert!(w.router.counters.taken > 0, "the requests of the first turn are still held");
    w.front.close(&mut w.net, &mut w.router, w.conn, EndReason::Shutdown);
    writer.join().unwrap();
}

/// Guards against: requests that are held for many clients take more memory than open ones may.
#[test]
fn requests_are_not_held_once_their_statements_take_a_megabyte() {
    let mut w = fixture(Owner::Msgpack);
    let writer = write_many_calls(&w, 50_000);
    let mut turns = 0;
    while w.router.counters.taken == 0 && turns < 32 {
        // Reading stops at the limit each time, so the connection stays behind.
        while w.net.input(w.conn).len() < 72 << 10 {
            w.net.service(w.conn);
        }
        w.front.begin_iteration();
        w.front.ready(0, &mut w.net, &mut w.router, w.conn);
        turns += 1;
    }
    assert!(w.net.is_behind(w.conn) && turns > 10, "submitted after {turns} turns");
    assert!((21..=22).contains(&w.router.counters.taken), "{} submitted", w.router.counters.taken);
    w.front.close(&mut w.net, &mut w.router, w.conn, EndReason::Shutdown);
    writer.join().unwrap();
}

/// Guards against: held requests are submitted beyond the limit on open ones.
#[test]
fn held_requests_beyond_the_capacity_are_refused_when_they_are_due() {
    let mut w = fixture(Owner::Msgpack);
    // Open statements may take 3,000 bytes together.
    let settings = Settings { classes: vec![ClassSettings::default()], ..Settings::default() };
    w.router = Router::new(settings, 1, 0.02);
    for id in 1..=10 {
        let mut bytes = call(id, &format!("{id:016x}"));
        bytes.truncate(bytes.len() - b"\xc4\x08select 1".len());
        bytes.extend(b"\xc5\x0f\xa0");
        bytes.resize(bytes.len() + 4_000, b'x');
        w.client.write_all(&bytes).unwrap();
    }
    // Several are held in one turn before any is submitted.
    (0..10).for_each(|_| w.front.ready(0, &mut w.net, &mut w.router, w.conn));
    assert_eq!((w.router.counters.taken, w.router.counters.rejected), (1, 9));
}
