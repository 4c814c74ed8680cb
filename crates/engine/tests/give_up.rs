//! Engine backends over real sockets with simulated time: cancellation, connection reuse, and
//! queries that must not be sent.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};

use common::{TestBed, MS, RUNNING, SERVED, T0};
use marljunction_control::interface::*;
use marljunction_core::end_reason::EndReason;
use marljunction_engine::http::HttpBackend;
use marljunction_engine::Context;
use marljunction_net::ConnectionLimits;
use mio::Events;

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
            true => SERVED,
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
    first.write_all(SERVED).unwrap();
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
    first.write_all(SERVED).unwrap();
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
    first.write_all(SERVED).unwrap();
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

/// Guards against: a second copy of an answer leaves a call open on a connection, and its late answer
/// is taken for that of the next query there.
#[test]
fn a_connection_with_a_copied_answer_is_not_reused() {
    let mut bed = TestBed::new();
    let (_attempt, mut first) = bed.start_and_accept();
    first.write_all(RUNNING).unwrap();
    bed.expect_bytes(&mut first, "GET /o/aaaabbbbccccdddd/0 ");
    bed.tick(5);
    first.write_all(RUNNING).unwrap();
    bed.expect_bytes(&mut first, "GET /o/aaaabbbbccccdddd/0 ");
    first.write_all(SERVED).unwrap();
    assert_eq!(bed.end_reason(), EndReason::Served);
    bed.tick(100);
    bed.start();
    let mut second = bed.accept();
    bed.expect_bytes(&mut second, "POST /o ");
}

/// Polls that the engine holds open for their whole time get equal answers, which are no copies.
#[test]
fn a_connection_with_equal_answers_to_whole_polls_is_reused() {
    let mut bed = TestBed::new();
    let (_attempt, mut first) = bed.start_and_accept();
    for ms in [250, 500, 750] {
        bed.tick(ms);
        first.write_all(RUNNING).unwrap();
        bed.expect_bytes(&mut first, "GET /o/aaaabbbbccccdddd/0 ");
    }
    first.write_all(SERVED).unwrap();
    assert_eq!(bed.end_reason(), EndReason::Served);
    bed.tick(850);
    bed.start();
    bed.expect_bytes(&mut first, "POST /o ");
}
