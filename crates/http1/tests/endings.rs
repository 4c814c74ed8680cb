//! What endings mean to the module, and what an engine's answer must be like.

use marljunction_control::interface::Status;
use marljunction_core::end_reason::{ControlEvent, EndReason};
use marljunction_http1::head::{read_answer, whole_rows};

#[test]
fn a_reset_link_says_nothing_of_the_engine() {
    assert_eq!(EndReason::Reset.control_event(), ControlEvent::Outcome(Status::Skipped));
    assert_eq!(EndReason::Refused.control_event(), ControlEvent::Outcome(Status::Refused));
}

#[test]
fn endless_heads_and_interim_answers_are_refused() {
    assert!(read_answer(&b"HTTP/1.1 100 Continue\r\n\r\n".repeat(20)).is_err());
    let endless = [&b"HTTP/1.1 200 OK\r\nA: "[..], &[b'a'; 9_000]].concat();
    assert!(read_answer(&endless).is_err());
    let signed = b"HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc";
    assert!(read_answer(signed).is_err());
}

#[test]
fn pages_are_whole_rows_of_three_columns() {
    assert!(whole_rows(b"") && whole_rows(b"a\tb\tc\n\t\t\n"));
    assert!(
        !whole_rows(b"a\tb\tc") && !whole_rows(b"a\tb\tc\nd\te\n") && !whole_rows(b"a\tb\tc\nd\te\tf\tg\n")
    );
}

#[test]
fn retry_after_is_seconds_or_a_date_by_whatever_clock_and_nothing_else() {
    use marljunction_http1::head::RetryAfter;
    const S: u64 = 1_000_000_000;
    let read = |value: &str, now: u64| RetryAfter::read(value).map(|asked| asked.from(now));
    // Tue, 01 Dec 2026 00:00:00 GMT.
    let at = 1_796_083_200 * S;
    for (value, asked) in
        [("0", Some(0)), ("1", Some(S)), ("86400", Some(86_400 * S)), ("soon", None), ("", None)]
    {
        assert_eq!(read(value, at), asked, "{value:?}");
    }
    for value in ["-1", "1.5", "+1", "1 ", "0x10"] {
        assert_eq!(read(value, at), None, "{value:?}");
    }
    assert_eq!(
        read("99999999999999999999999", at),
        Some(u64::MAX),
        "more than can be told is as long as can be"
    );
    let date = "Tue, 01 Dec 2026 00:00:00 GMT";
    // A service whose clock is an hour ahead asks for an hour, one whose clock is behind for nothing.
    assert_eq!((read(date, at - 3_600 * S), read(date, at + 3_600 * S)), (Some(3_600 * S), Some(0)));
}
