//! A query's engine has gone or moved, and another process is at its address or under its name:
//! calls for the query and answers about it are not taken for the old process's.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpListener;

use common::{TestBed, RUNNING};
use marljunction_control::interface::EngineState;
use marljunction_core::end_reason::EndReason;
use marljunction_net::ConnectionLimits;

const SESSION_READY: &[u8] = b"R\0\0\0\x08\0\0\0\0K\0\0\0\x0c\0\0\0\x07\0\0\0\x09Z\0\0\0\x05I";
const NEVER_RAN: &[u8] = b"HTTP/1.1 503 Full\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n";

/// Lists the engine at another address. The bed goes on accepting at the old one.
fn move_engine(bed: &mut TestBed) {
    let old = bed.listener.try_clone().unwrap();
    bed.set_engine(TcpListener::bind("127.0.0.1:0").unwrap(), EngineState::Ready);
    bed.listener = old;
    bed.router.process_events(bed.now, &mut Vec::new());
}

/// Guards against: the answer of another process, at which the query never ran, counts for the one
/// that had it, and the query runs twice.
#[test]
fn only_the_connection_that_carried_the_query_proves_that_it_never_ran() {
    let mut bed = TestBed::new();
    let (_attempt, first) = bed.start_and_accept();
    drop(first);
    let mut second = bed.accept();
    bed.expect_bytes(&mut second, "GET /o/aaaabbbbccccdddd/0 ");
    second.write_all(NEVER_RAN).unwrap();
    let end_reason = bed.end_reason();
    assert!(end_reason.may_have_run(), "{end_reason:?}");
}

#[test]
fn a_late_answer_on_the_querys_own_connection_proves_that_it_never_ran() {
    let mut bed = TestBed::new();
    let (_attempt, mut first) = bed.start_and_accept();
    first.write_all(RUNNING).unwrap();
    bed.expect_bytes(&mut first, "GET /o/aaaabbbbccccdddd/0 ");
    first.write_all(NEVER_RAN).unwrap();
    assert_eq!(bed.end_reason(), EndReason::Full);
}

/// Guards against: another process under the engine's name confirms that it has ended a query, while
/// the old one still runs it.
#[test]
fn a_query_is_cancelled_where_it_was_sent() {
    let mut bed = TestBed::new();
    let (attempt, mut first) = bed.start_and_accept();
    first.write_all(RUNNING).unwrap();
    bed.expect_bytes(&mut first, "GET /o/aaaabbbbccccdddd/0 ");
    move_engine(&mut bed);
    bed.cancel(attempt);
    let second = bed.accept();
    bed.expect_cancel_on(second);
}

/// Guards against: a query whose engine has moved counts as unknown while the old process runs it.
#[test]
fn a_query_is_polled_where_it_was_sent() {
    let mut bed = TestBed::new();
    let (_attempt, first) = bed.start_and_accept();
    move_engine(&mut bed);
    drop(first);
    let mut second = bed.accept();
    bed.expect_bytes(&mut second, "GET /o/aaaabbbbccccdddd/0 ");
}

/// Guards against: the cancellation of an attempt that has ended reaches the process that comes up at
/// the address, and ends another attempt of the request there.
#[test]
fn an_unsent_cancellation_ends_with_its_attempt() {
    let mut bed = TestBed::new();
    let (attempt, mut first) = bed.start_and_accept();
    bed.net.defer_engine_writes();
    bed.cancel(attempt);
    let mut second = bed.accept();
    first.write_all(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert_eq!(bed.end_reason(), EndReason::GivenUp);
    bed.flush_calls();
    bed.tick(10);
    let (mut received, mut buffer) = (Vec::new(), [0; 4_096]);
    bed.drive_until(|_| match second.read(&mut buffer) {
        Ok(length) => {
            received.extend_from_slice(&buffer[..length]);
            true
        }
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    });
    assert_eq!(String::from_utf8_lossy(&received), "", "sent after the attempt had ended");
}

/// Guards against: the cancellation of a session goes to another process under the engine's name.
#[test]
fn a_postgres_session_is_cancelled_where_it_was_opened() {
    let mut bed = TestBed::with_postgres(ConnectionLimits::of(64, 64.0));
    bed.statement = b"select 1".to_vec();
    let attempt = bed.start();
    let mut session = bed.accept();
    session.write_all(SESSION_READY).unwrap();
    bed.expect_bytes(&mut session, "select 1");
    move_engine(&mut bed);
    bed.cancel(attempt);
    bed.accept();
}
