//! How connections end.

use std::io::Read;

use marljunction_net::{Net, Owner, Room};

#[test]
fn a_closed_connection_to_an_engine_is_reset_so_that_nothing_it_held_is_sent_later() {
    let poll = mio::Poll::new().unwrap();
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, Room::of(64, 64.0));
    let engine = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let id = net.connect(engine.local_addr().unwrap(), Owner::Engine).unwrap();
    let (mut peer, _) = engine.accept().unwrap();
    peer.set_read_timeout(Some(std::time::Duration::from_secs(8))).unwrap();
    net.close(id);
    let mut buffer = [0; 16];
    let read = peer.read(&mut buffer);
    assert!(
        matches!(&read, Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset),
        "the engine saw {read:?}, not a reset"
    );
}
