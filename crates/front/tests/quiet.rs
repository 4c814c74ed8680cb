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

#[test]
fn a_request_that_has_come_keeps_its_connection_from_being_closed_as_quiet() {
    let class =
        ClassSettings { aim_ns: 1_000_000_000, deadline_ns: 6_000_000_000, ..ClassSettings::default() };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let names = Names { classes: vec!["lookup".into()], ..Names::default() };
    let mut front = MsgpackFront::new(Directory::new(names, &settings));
    let mut router = Router::new(settings, 1, 64.0);
    let poll = mio::Poll::new().unwrap();
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, Room::of(64, 64.0));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, from) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let conn = net.adopt(mio::net::TcpStream::from_std(stream), Owner::Msgpack).unwrap();
    front.accept(0, conn, from.ip());
    // It comes behind the events of the round that finds its connection quiet for long.
    client.write_all(CALL).unwrap();
    front.close_quiet(60_000_000, &mut net, &mut router, |_| true);
    assert_eq!((router.counters.taken, router.owed()), (1, 1));
    assert_eq!(net.owner(conn), Some(Owner::Msgpack));
}
