//! Parsing requests of the admin API and answering them.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use marljunction_front::admin::{
    parse_request, AdminRequest, AdminResponse, AdminServer, MAX_BODY_BYTES, MAX_HEAD_BYTES,
    REQUEST_TIMEOUT_NS,
};
use marljunction_net::{ConnectionLimits, Net, Owner};

fn rejection_status(input: &[u8]) -> u16 {
    parse_request(input).expect_err("an invalid request").status
}

#[test]
fn a_request_split_at_any_byte_is_parsed_once_complete() {
    let request = b"POST /engines/disable HTTP/1.1\r\nHost: r\r\nContent-Length: 10\r\n\r\ns-363daf7b";
    for cut in 0..request.len() {
        assert_eq!(parse_request(&request[..cut]), Ok(None), "cut at {cut}");
    }
    assert_eq!(parse_request(request), Ok(Some(AdminRequest::Disable("s-363daf7b".into()))));
    assert_eq!(parse_request(b"GET /ready HTTP/1.1\r\n\r\n"), Ok(Some(AdminRequest::Ready)));
    assert_eq!(parse_request(b"GET /ready?verbose=1 HTTP/1.0\r\n\r\n"), Ok(Some(AdminRequest::Ready)));
    assert_eq!(parse_request(b"POST /drain HTTP/1.1\r\n\r\n"), Ok(Some(AdminRequest::Drain)));
    assert_eq!(
        parse_request(b"POST /undrain HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
        Ok(Some(AdminRequest::Undrain))
    );
    let fleet = b"POST /fleet/engines/disable HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-1";
    assert_eq!(parse_request(fleet), Ok(Some(AdminRequest::DisableForAll("s-1".into()))));
    assert_eq!(parse_request(b"GET /fleet/verdicts HTTP/1.1\r\n\r\n"), Ok(Some(AdminRequest::EngineHealth)));
    let enable = b"POST /engines/enable HTTP/1.1\r\nContent-Length: 5\r\n\r\n s-1\n";
    assert_eq!(parse_request(enable), Ok(Some(AdminRequest::Enable("s-1".into()))));
}

#[test]
fn invalid_requests_are_rejected_with_the_matching_status() {
    assert_eq!(rejection_status(b"PUT /ready HTTP/1.1\r\n\r\n"), 405);
    assert_eq!(rejection_status(b"GET /drain HTTP/1.1\r\n\r\n"), 405);
    assert_eq!(rejection_status(b"GET /fleet/engines/enable HTTP/1.1\r\n\r\n"), 405);
    assert_eq!(rejection_status(b"POST /fleet/engines/enable HTTP/1.1\r\n\r\n"), 400);
    assert_eq!(rejection_status(b"GET / HTTP/1.1\r\n\r\n"), 404);
    assert_eq!(rejection_status(b"POST /engines/disable HTTP/1.1\r\n\r\n"), 400);
    assert_eq!(rejection_status(b"POST /engines/disable HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400);
    assert_eq!(
        rejection_status(b"POST /drain HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx"),
        400
    );
    assert_eq!(rejection_status(b"POST /drain HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"), 411);
    let long = format!("POST /drain HTTP/1.1\r\nContent-Length: {}\r\n\r\n", MAX_BODY_BYTES + 1);
    assert_eq!(rejection_status(long.as_bytes()), 413);
    let head = format!("GET /ready HTTP/1.1\r\nX: {}\r\n", "a".repeat(MAX_HEAD_BYTES));
    assert_eq!(rejection_status(head.as_bytes()), 431);
    assert_eq!(rejection_status(b"\x16\x03\x01\x00\x05hello"), 400);
    let body = b"POST /engines/disable HTTP/1.1\r\nContent-Length: 2\r\n\r\n\xff\xfe";
    assert_eq!(rejection_status(body), 400);
}

#[test]
fn a_pending_request_is_executed_once_despite_further_input() {
    let poll = mio::Poll::new().unwrap();
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, ConnectionLimits::of(64, 64.0));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let conn = net.add_accepted(mio::net::TcpStream::from_std(stream), Owner::Admin).unwrap();
    let mut server = AdminServer::new(64);
    server.accept(0, &mut net, conn);
    client.write_all(b"POST /fleet/engines/disable HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-1").unwrap();
    let request = server.ready(0, &mut net, conn).expect("a request");
    // The request is pending, as it is until the fleet has confirmed it; more input arrives.
    client.write_all(b"\r\n\r\nmore\r\n\r\n").unwrap();
    assert_eq!(server.ready(0, &mut net, conn), None, "the request is returned a second time");
    // Guards against: a process that was suspended answers a request that it has executed with 408.
    server.tick(2 * REQUEST_TIMEOUT_NS, &mut net);
    server.answer(0, &mut net, conn, &request, AdminResponse::new(200, "confirmed"));
    client.shutdown(std::net::Shutdown::Write).unwrap();
    net.discard_input(conn);
    let mut received = String::new();
    client.set_read_timeout(Some(std::time::Duration::from_secs(8))).unwrap();
    client.read_to_string(&mut received).unwrap();
    assert_eq!(
        (received.matches("HTTP/1.1 ").count(), received.ends_with("confirmed\n")),
        (1, true),
        "{received}"
    );
}
