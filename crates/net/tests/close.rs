//! Closing connections, and the limit on queued output.

use std::io::Read;

use marljunction_core::end_reason::EndReason;
use marljunction_net::{ConnectionLimits, Net, Owner, MIN_INPUT_BYTES};

/// Buffer size of sockets whose peer does not read. A fixed size stops the kernel from enlarging the
/// buffers between two checks, which would shrink the queued output.
const NON_READER_BUFFER_BYTES: usize = 8 << 10;

/// Connects a client. Returns its socket and the id of its accepted connection.
fn client(net: &mut Net, owner: Owner) -> (std::net::TcpStream, u64) {
    let (client, stream) = connect();
    (client, net.add_accepted(mio::net::TcpStream::from_std(stream), owner).unwrap())
}

/// As [`client`], with fixed socket buffers on the path to the client.
fn non_reading_client(net: &mut Net, owner: Owner) -> (std::net::TcpStream, u64) {
    let (client, stream) = connect();
    socket2::SockRef::from(&stream).set_send_buffer_size(NON_READER_BUFFER_BYTES).unwrap();
    socket2::SockRef::from(&client).set_recv_buffer_size(NON_READER_BUFFER_BYTES).unwrap();
    (client, net.add_accepted(mio::net::TcpStream::from_std(stream), owner).unwrap())
}

/// Connects two sockets: the client's and the accepted one.
fn connect() -> (std::net::TcpStream, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    (client, stream)
}

#[test]
fn closing_an_engine_connection_resets_it_and_drops_queued_output() {
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
        "the engine read {read:?}, not a reset"
    );
}

#[test]
fn output_to_a_client_is_delivered_at_exit_despite_unread_input() {
    let poll = mio::Poll::new().unwrap();
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, ConnectionLimits::of(64, 64.0));
    let (mut client, id) = client(&mut net, Owner::Msgpack);
    client.set_read_timeout(Some(std::time::Duration::from_secs(8))).unwrap();
    assert!(net.send(id, b"the answer"));
    std::io::Write::write_all(&mut client, b"input nobody reads").unwrap();
    net.close_all_after_flush(0);
    drop(net);
    let mut received = Vec::new();
    client.read_to_end(&mut received).expect("end of file, not a reset");
    assert_eq!(received, b"the answer");
}

#[test]
fn a_peer_close_is_reported_while_the_input_buffer_is_full() {
    let mut poll = mio::Poll::new().unwrap();
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, ConnectionLimits::of(64, 64.0));
    let (mut client, id) = client(&mut net, Owner::Postgres);
    // More than the limit on buffered input.
    std::io::Write::write_all(&mut client, &[b'x'; 100 << 10]).unwrap();
    assert_eq!(net.service(id).ended, None);
    drop(client);
    let mut events = mio::Events::with_capacity(4);
    while !events.iter().any(|e| e.is_read_closed()) {
        poll.poll(&mut events, Some(std::time::Duration::from_secs(8))).unwrap();
        assert!(!events.is_empty(), "no event reports the peer's close");
    }
    net.mark_peer_closed(id);
    assert!(net.service(id).ended.is_some());
}

/// Fills the socket of a client that does not read, then queues `bytes` of output.
fn queue_output(net: &mut Net, id: u64, bytes: usize) {
    while net.drained(id) {
        assert!(net.send(id, &[b'x'; 64 << 10]));
    }
    assert!(net.send(id, &vec![b'x'; bytes]));
}

#[test]
fn the_client_with_the_largest_backlog_is_evicted_for_other_output() {
    let mut poll = mio::Poll::new().unwrap();
    // One connection may queue a quarter of it.
    let limits = ConnectionLimits { engines: 8, output: 4 << 20, input: 1 << 30 };
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, limits);
    let add_non_reader = |net: &mut Net, kilobytes: usize| {
        let (stream, id) = non_reading_client(net, Owner::Msgpack);
        queue_output(net, id, kilobytes << 10);
        (stream, id)
    };
    let non_readers = [600, 650, 800, 650, 600].map(|kilobytes| add_non_reader(&mut net, kilobytes));
    assert!(non_readers.iter().all(|(_, id)| net.service(*id).ended.is_none()));
    let (_reader, reader_id) = client(&mut net, Owner::Msgpack);
    assert!(
        net.send(reader_id, &vec![b'y'; 900 << 10]),
        "a response to a client that reads exceeds the limit"
    );
    let ended: Vec<bool> = non_readers.iter().map(|(_, id)| net.service(*id).ended.is_some()).collect();
    assert_eq!(
        ended,
        [false, false, true, false, false],
        "the client with the largest backlog is not the one evicted"
    );
    let mut events = mio::Events::with_capacity(16);
    while !events.iter().any(|e| e.is_read_closed() && e.token().0 as u64 == non_readers[2].1) {
        poll.poll(&mut events, Some(std::time::Duration::from_secs(8))).unwrap();
        assert!(!events.is_empty(), "no event reports the eviction");
    }
    let more = add_non_reader(&mut net, 800);
    let engine = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let engine_id = net.connect(engine.local_addr().unwrap(), Owner::Engine).unwrap();
    assert!(net.send(engine_id, &vec![b'z'; 900 << 10]), "a request to an engine exceeds the limit");
    assert_eq!(net.service(more.1).ended, Some(EndReason::Garbled));
}

/// Guards against: many clients' unfinished messages take more memory than all clients may.
#[test]
fn input_beyond_the_share_of_all_clients_is_left_unread_until_there_is_room() {
    let poll = mio::Poll::new().unwrap();
    let limits = ConnectionLimits { engines: 8, output: 1 << 20, input: 100 << 10 };
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, limits);
    let clients: Vec<_> = (0..4).map(|_| client(&mut net, Owner::Msgpack)).collect();
    for (mut stream, id) in clients.iter().map(|(stream, id)| (stream, *id)) {
        std::io::Write::write_all(&mut stream, &[b'x'; 60 << 10]).unwrap();
        net.service(id);
    }
    let buffered = |net: &Net| clients.iter().map(|(_, id)| net.input(*id).len()).collect::<Vec<_>>();
    assert_eq!(buffered(&net), [60 << 10, 60 << 10, MIN_INPUT_BYTES, MIN_INPUT_BYTES]);
    assert!(net.is_input_full() && net.take_throttled().is_empty() && !net.has_more(clients[2].1));
    net.close(clients[0].1);
    assert_eq!(net.take_throttled(), [clients[1].1, clients[2].1, clients[3].1]);
    net.service(clients[2].1);
    assert_eq!(buffered(&net), [0, 60 << 10, 60 << 10, MIN_INPUT_BYTES]);
    net.consume(clients[1].1, usize::MAX);
    net.close(clients[2].1);
    net.service(clients[3].1);
    assert_eq!(buffered(&net), [0, 0, 0, 60 << 10]);
    assert!(!net.is_input_full());
}
