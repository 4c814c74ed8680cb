//! Closing clients that are quiet, and what comes as they are closed.

use std::io::Write;
use std::net::{TcpListener, TcpStream};

use marljunction_control::interface::{ClassSettings, Settings};
use marljunction_core::Router;
use marljunction_front::msgpack::MsgpackFront;
use marljunction_front::Directory;
use marljunction_net::{Net, Owner, Room};
use marljunction_settings::Names;

const CALL: &[u8] =
    b"\x94\x00\x01\xa6lookup\x92\x82\xa3rid\xb09b1f03aa5c7e2d41\xa6budget\xa45000\xc4\x08select 1";

struct World {
    front: MsgpackFront,
    router: Router,
    net: Net,
    client: TcpStream,
    conn: u64,
    _poll: mio::Poll,
}

/// A front with one client.
fn world() -> World {
    let class =
        ClassSettings { aim_ns: 1_000_000_000, deadline_ns: 6_000_000_000, ..ClassSettings::default() };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let names = Names { classes: vec!["lookup".into()], ..Names::default() };
    let mut front = MsgpackFront::new(Directory::new(names, &settings));
    let router = Router::new(settings, 1, 64.0);
    let poll = mio::Poll::new().unwrap();
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, Room::of(64, 64.0));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, from) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let conn = net.adopt(mio::net::TcpStream::from_std(stream), Owner::Msgpack).unwrap();
    front.accept(0, conn, from.ip());
    World { front, router, net, client, conn, _poll: poll }
}

#[test]
fn a_request_that_has_come_keeps_its_connection_from_being_closed_as_quiet() {
    let mut w = world();
    // It comes behind the events of the round that finds its connection quiet for long.
    w.client.write_all(CALL).unwrap();
    w.front.close_quiet(60_000_000, &mut w.net, &mut w.router, |_| true);
    assert_eq!((w.router.counters.taken, w.router.owed()), (1, 1));
    assert_eq!(w.net.owner(w.conn), Some(Owner::Msgpack));
}

#[test]
fn one_that_has_sent_more_than_a_round_takes_makes_no_room_for_others() {
    let mut w = world();
    w.client.write_all(&b"\x94\x00\x01\xa6isWell\x91\x80".repeat(70)).unwrap();
    w.front.ready(0, &mut w.net, &mut w.router, w.conn);
    assert_eq!(w.front.idle(1_000_000_000), None);
    w.front.ready(0, &mut w.net, &mut w.router, w.conn);
    assert_eq!(w.front.idle(1_000_000_000), Some(w.conn));
}
