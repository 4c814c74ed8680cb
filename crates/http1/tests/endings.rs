//! Outcome classes of connection failures, and validation of HTTP responses.

use marljunction_control::interface::Status;
use marljunction_core::end_reason::{ControlEvent, EndReason};
use marljunction_http1::head::{has_complete_rows, parse_response};

#[test]
fn a_reset_connection_skips_the_attempt_and_a_refused_one_counts_against_the_engine() {
    assert_eq!(EndReason::Reset.control_event(), ControlEvent::Outcome(Status::Skipped));
    assert_eq!(EndReason::Refused.control_event(), ControlEvent::Outcome(Status::Refused));
}

#[test]
fn oversized_heads_endless_interim_responses_and_signed_lengths_are_rejected() {
    assert!(parse_response(&b"HTTP/1.1 100 Continue\r\n\r\n".repeat(20)).is_err());
    let endless = [&b"HTTP/1.1 200 OK\r\nA: "[..], &[b'a'; 9_000]].concat();
    assert!(parse_response(&endless).is_err());
    let signed = b"HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc";
    assert!(parse_response(signed).is_err());
}

#[test]
fn pages_must_be_complete_rows_of_three_columns() {
    assert!(has_complete_rows(b"") && has_complete_rows(b"a\tb\tc\n\t\t\n"));
    assert!(
        !has_complete_rows(b"a\tb\tc")
            && !has_complete_rows(b"a\tb\tc\nd\te\n")
            && !has_complete_rows(b"a\tb\tc\nd\te\tf\tg\n")
    );
}

#[test]
fn retry_after_accepts_only_seconds_or_an_http_date() {
    use marljunction_http1::head::RetryAfter;
    const S: u64 = 1_000_000_000;
    let read = |value: &str, now: u64| RetryAfter::parse(value).map(|retry_after| retry_after.delay_ns(now));
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
        "a delay that overflows becomes the longest one"
    );
    let date = "Tue, 01 Dec 2026 00:00:00 GMT";
    // A service whose clock is an hour ahead causes a delay of an hour; one whose clock is behind,
    // none.
    assert_eq!((read(date, at - 3_600 * S), read(date, at + 3_600 * S)), (Some(3_600 * S), Some(0)));
}
