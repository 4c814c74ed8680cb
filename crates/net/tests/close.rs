//! How connections end.

use std::io::Read;

use marljunction_core::end_reason::EndReason;
use marljunction_net::{ConnectionLimits, Net, Owner};

/// A client, and its connection's number.
fn client(net: &mut Net, owner: Owner) -> (std::net::TcpStream, u64) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    (client, net.add_accepted(mio::net::TcpStream::from_std(stream), owner).unwrap())
}

#[test]
fn a_closed_connection_to_an_engine_is_reset_so_that_nothing_it_held_is_sent_later() {
    let poll = mio::Poll::new().unwrap();
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, ConnectionLimits::of(64, 64.0));
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

#[test]
fn what_was_written_to_a_client_outlives_the_program_s_end_though_it_sent_more() {
    let poll = mio::Poll::new().unwrap();
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, ConnectionLimits::of(64, 64.0));
    let (mut client, id) = client(&mut net, Owner::Msgpack);
    client.set_read_timeout(Some(std::time::Duration::from_secs(8))).unwrap();
    assert!(net.send(id, b"the answer"));
    std::io::Write::write_all(&mut client, b"more than was asked for").unwrap();
    net.close_all_after_flush(0);
    drop(net);
    let mut got = Vec::new();
    client.read_to_end(&mut got).expect("an end, not a reset");
    assert_eq!(got, b"the answer");
}

#[test]
fn a_client_that_has_closed_is_gone_though_no_more_is_read_from_it() {
    let mut poll = mio::Poll::new().unwrap();
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, ConnectionLimits::of(64, 64.0));
    let (mut client, id) = client(&mut net, Owner::Postgres);
    // More than is read before its owner takes some of it.
    std::io::Write::write_all(&mut client, &[b'x'; 100 << 10]).unwrap();
    assert_eq!(net.service(id).ended, None);
    drop(client);
    let mut events = mio::Events::with_capacity(4);
    while !events.iter().any(|e| e.is_read_closed()) {
        poll.poll(&mut events, Some(std::time::Duration::from_secs(8))).unwrap();
        assert!(!events.is_empty(), "no event tells of the end");
    }
    net.mark_peer_closed(id);
    assert!(net.service(id).ended.is_some());
}

/// Sends to a client that reads nothing until so many bytes wait for it.
fn let_wait(net: &mut Net, id: u64, bytes: usize) {
    while net.drained(id) {
        assert!(net.send(id, &[b'x'; 64 << 10]));
    }
    assert!(net.send(id, &vec![b'x'; bytes]));
}

#[test]
fn a_client_that_does_not_read_makes_way_for_others_answers_and_engines_calls() {
    let mut poll = mio::Poll::new().unwrap();
    // One may have a quarter of it waiting.
    let room = ConnectionLimits { engines: 8, output: 4 << 20 };
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, room);
    let idler = |net: &mut Net, kilobytes: usize| {
        let (stream, id) = client(net, Owner::Msgpack);
        let_wait(net, id, kilobytes << 10);
        (stream, id)
    };
    let idlers = [600, 650, 800, 650, 600].map(|kilobytes| idler(&mut net, kilobytes));
    assert!(idlers.iter().all(|(_, id)| net.service(*id).ended.is_none()));
    let (_reader, reads) = client(&mut net, Owner::Msgpack);
    assert!(net.send(reads, &vec![b'y'; 900 << 10]), "an answer to one that reads finds room");
    let ended: Vec<bool> = idlers.iter().map(|(_, id)| net.service(*id).ended.is_some()).collect();
    assert_eq!(ended, [false, false, true, false, false], "the one with the most waiting makes way");
    let mut events = mio::Events::with_capacity(16);
    while !events.iter().any(|e| e.is_read_closed() && e.token().0 as u64 == idlers[2].1) {
        poll.poll(&mut events, Some(std::time::Duration::from_secs(8))).unwrap();
        assert!(!events.is_empty(), "no event tells its owner");
    }
    let more = idler(&mut net, 800);
    let engine = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let call = net.connect(engine.local_addr().unwrap(), Owner::Engine).unwrap();
    assert!(
        net.send(call, &vec![b'z'; 900 << 10]),
        "a call to an engine finds room, though it can't be written yet"
    );
    assert_eq!(net.service(more.1).ended, Some(EndReason::Garbled));
}
