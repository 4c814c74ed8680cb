//! Closing clients that are quiet, and what comes as they are closed.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use marljunction_control::interface::{ClassId, ClassSettings, Settings};
use marljunction_core::end_reason::EndReason;
use marljunction_core::Router;
use marljunction_front::msgpack::MsgpackFront;
use marljunction_front::postgres::{PostgresFront, PostgresSetup};
use marljunction_front::Directory;
use marljunction_net::{ConnectionLimits, Net, Owner};
use marljunction_settings::Names;

const CALL: &[u8] =
    b"\x94\x00\x01\xa6lookup\x92\x82\xa3rid\xb09b1f03aa5c7e2d41\xa6budget\xa45000\xc4\x08select 1";
const STARTUP: &[u8] = b"\0\0\0\x13\0\x03\0\0user\0shop\0\0";
const QUERY: &[u8] = b"Q\0\0\0\x0dselect 1\0";
/// Past all times that a front waits for its client (ns).
const LATE_NS: u64 = 3_000_000_000;

struct World {
    front: MsgpackFront,
    sessions: PostgresFront,
    router: Router,
    net: Net,
    client: TcpStream,
    conn: u64,
    _poll: mio::Poll,
}

/// Both fronts, and one client of one of them.
fn world(owner: Owner) -> World {
    world_in(owner, ConnectionLimits::of(64, 64.0))
}

fn world_in(owner: Owner, room: ConnectionLimits) -> World {
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
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, room);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, from) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let conn = net.add_accepted(mio::net::TcpStream::from_std(stream), owner).unwrap();
    match owner {
        Owner::Msgpack => front.accept(0, conn, from.ip()),
        _ => sessions.accept(0, conn, from.ip()),
    }
    World { front, sessions, router, net, client, conn, _poll: poll }
}

impl World {
    /// A client whose session of PostgreSQL has started.
    fn session() -> World {
        let mut w = world(Owner::Postgres);
        w.client.write_all(STARTUP).unwrap();
        w.sessions.ready(0, &mut w.net, &mut w.router, w.conn);
        w
    }

    /// Ends what is quiet.
    fn close_idle(&mut self) {
        self.front.close_idle(LATE_NS, &mut self.net, &mut self.router, |_| true);
        self.sessions.close_idle(LATE_NS, &mut self.net, &mut self.router, |_| true);
    }

    /// Writes to the client until no more goes out.
    fn clog(&mut self) {
        while self.net.drained(self.conn) {
            assert!(self.net.send(self.conn, &[b'x'; 64 << 10]));
        }
    }

    /// The client reads until all that waited for it has gone out.
    fn read(&mut self) {
        self.client.set_read_timeout(Some(std::time::Duration::from_secs(8))).unwrap();
        while !self.net.drained(self.conn) {
            assert!(self.client.read(&mut [0; 64 << 10]).unwrap() > 0);
            self.net.service(self.conn);
        }
    }
}

#[test]
fn a_request_that_has_come_keeps_its_connection_from_being_closed_as_quiet() {
    let mut w = world(Owner::Msgpack);
    // It comes behind the events of the round that finds its connection quiet for long.
    w.client.write_all(CALL).unwrap();
    w.close_idle();
    assert_eq!((w.router.counters.taken, w.router.unanswered()), (1, 1));
    assert_eq!(w.net.owner(w.conn), Some(Owner::Msgpack));
}

#[test]
fn a_statement_that_has_come_keeps_its_session_from_being_closed_as_quiet() {
    let mut w = World::session();
    w.client.write_all(QUERY).unwrap();
    w.close_idle();
    assert_eq!((w.router.counters.taken, w.router.unanswered()), (1, 1));
    assert_eq!(w.net.owner(w.conn), Some(Owner::Postgres));
}

#[test]
fn a_first_request_that_has_come_keeps_its_connection_from_being_closed_as_silent() {
    let mut w = world(Owner::Msgpack);
    w.client.write_all(CALL).unwrap();
    w.front.tick(LATE_NS, &mut w.net, &mut w.router);
    assert_eq!((w.router.counters.taken, w.router.unanswered(), w.router.counters.rejected), (1, 1, 0));
}

#[test]
fn a_startup_that_has_come_keeps_its_session_from_being_closed_as_silent() {
    let mut w = world(Owner::Postgres);
    w.client.write_all(STARTUP).unwrap();
    w.sessions.tick(LATE_NS, &mut w.net, &mut w.router);
    assert_eq!((w.sessions.sessions(), w.router.counters.rejected), (1, 0));
}

#[test]
fn one_that_is_silent_is_closed_and_counted() {
    let (mut w, mut s) = (world(Owner::Msgpack), world(Owner::Postgres));
    w.front.tick(LATE_NS, &mut w.net, &mut w.router);
    s.sessions.tick(LATE_NS, &mut s.net, &mut s.router);
    for world in [w, s] {
        assert_eq!(world.router.counters.rejected, 1);
        assert_eq!(
            (world.router.counters.endings(EndReason::Silent), world.net.owner(world.conn)),
            (1, None)
        );
    }
}

#[test]
fn one_that_has_sent_more_than_a_round_takes_makes_no_room_for_others() {
    let mut w = world(Owner::Msgpack);
    w.client.write_all(&b"\x94\x00\x01\xa6isWell\x91\x80".repeat(70)).unwrap();
    w.front.ready(0, &mut w.net, &mut w.router, w.conn);
    assert_eq!(w.front.eviction_candidate(1_000_000_000, &w.net), None);
    w.front.ready(0, &mut w.net, &mut w.router, w.conn);
    assert_eq!(w.front.eviction_candidate(1_000_000_000, &w.net), Some(w.conn));
}

#[test]
fn one_that_has_not_read_its_answer_yet_is_not_closed_as_quiet_and_makes_no_room() {
    let mut w = world(Owner::Msgpack);
    w.clog();
    w.close_idle();
    assert_eq!(w.net.owner(w.conn), Some(Owner::Msgpack));
    assert_eq!(w.front.eviction_candidate(LATE_NS, &w.net), None);
    w.read();
    assert_eq!(w.front.eviction_candidate(LATE_NS, &w.net), Some(w.conn));
    w.close_idle();
    assert_eq!(w.router.counters.endings(EndReason::Idle), 1);
}

#[test]
fn a_session_that_has_not_read_its_answer_yet_is_not_closed_as_quiet() {
    let mut w = World::session();
    w.clog();
    w.close_idle();
    assert_eq!(w.net.owner(w.conn), Some(Owner::Postgres));
    w.read();
    w.close_idle();
    assert_eq!(w.router.counters.endings(EndReason::Idle), 1);
}

#[test]
fn one_that_does_not_read_makes_way_for_calls_to_engines_and_is_counted() {
    for owner in [Owner::Msgpack, Owner::Postgres] {
        // Four connections may fill it.
        let mut w = world_in(owner, ConnectionLimits { engines: 8, output: 1 << 20 });
        w.clog();
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
