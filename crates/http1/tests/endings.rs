//! What endings mean to the module, and what an engine's answer must be like.

use marljunction_control::interface::Status;
use marljunction_core::ending::{Ending, Meaning};
use marljunction_http1::head::{read_answer, whole_rows};

#[test]
fn a_reset_link_says_nothing_of_the_engine() {
    assert_eq!(Ending::Reset.meaning(), Meaning::Outcome(Status::Skipped));
    assert_eq!(Ending::Refused.meaning(), Meaning::Outcome(Status::Refused));
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
