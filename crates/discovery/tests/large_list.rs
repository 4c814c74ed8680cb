//! Checks the coordinator's stream over a real socket: large lists are received, and events that
//! are too large, truncated, invalid or duplicate leave the old list in force, are counted, are
//! logged once, and are requested again within the pace.

mod common;

use std::time::Duration;

use common::{
    answer, assert_names, capture_log, chunked, event, list, logged_lines, names, pacing, target,
    TestService, MS, T0,
};
use marljunction_control::interface::MembershipKind;
use marljunction_discovery::bound::ListBound;
use marljunction_discovery::rejected_updates::RejectReason;
use marljunction_discovery::stream::{Stream, SILENT_NS};
use marljunction_discovery::Change;

const S: u64 = 1_000 * MS;
const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A subscription and its service.
struct Harness {
    service: TestService,
    stream: Stream,
    /// Reported changes, in order.
    changes: Vec<Change>,
    /// When each call was made (ns).
    calls: Vec<u64>,
}

impl Harness {
    fn new(memory_mb: f64) -> Harness {
        capture_log();
        let service = TestService::new();
        let stream =
            Stream::new(T0, service.address(), names(), 1, pacing(7)).with_bound(ListBound::of(memory_mb));
        Harness { service, stream, changes: Vec::new(), calls: Vec::new() }
    }

    fn count(&self, reason: RejectReason) -> u64 {
        self.stream.rejected_updates().count(reason)
    }

    /// Advances time until the next call. Returns its connection and its `Last-Event-ID`.
    fn next_request(&mut self) -> (std::net::TcpStream, String) {
        let calls_before = self.stream.stats().0 .0;
        while self.stream.stats().0 .0 == calls_before {
            self.service.now += 20 * MS;
            self.stream.tick(self.service.now, &mut self.service.net);
            assert!(self.service.now < T0 + 3_600 * S, "no call");
        }
        self.calls.push(self.service.now);
        loop {
            let ready = self.service.ready_within(Duration::from_millis(100));
            self.process(ready);
            if let Some((call, request)) = self.service.next_request() {
                let last_event_id =
                    request.lines().find_map(|line| line.strip_prefix("Last-Event-ID: ")).unwrap();
                return (call, last_event_id.to_owned());
            }
        }
    }

    /// Processes input that is expected.
    fn read(&mut self) {
        let ready = self.service.ready();
        self.process(ready);
    }

    fn process(&mut self, mut ready: Vec<u64>) {
        while let Some(conn) = ready.pop() {
            self.changes.extend(self.stream.ready(self.service.now, &mut self.service.net, conn));
            if self.service.net.has_more(conn) {
                ready.push(conn);
            }
        }
    }

    /// Answers the next call, and waits for a condition.
    fn answer_next(
        &mut self,
        head: &str,
        body: Vec<u8>,
        keep_open: bool,
        until: impl Fn(&Harness) -> bool,
    ) -> String {
        let (call, last_event_id) = self.next_request();
        let responder = answer(call, head, body, keep_open);
        while !until(self) {
            self.read();
        }
        responder.join().unwrap();
        last_event_id
    }

    /// Lets the stream time out.
    fn drop_stream(&mut self) {
        self.service.now += SILENT_NS + 1;
        self.stream.tick(self.service.now, &mut self.service.net);
    }
}

#[test]
fn large_lists_are_received_over_a_socket() {
    for engines in [1_000, 5_000, 30_000] {
        for is_chunked in [false, true] {
            let mut harness = Harness::new(32.0);
            let body = event(2, &list(2, engines)).into_bytes();
            let (head, body) = if is_chunked { (CHUNKED, chunked(&body, 65_536)) } else { (HEAD, body) };
            harness.answer_next(head, body, true, |harness| !harness.changes.is_empty());
            assert_names(&harness.changes[0], engines);
            assert_eq!((harness.changes.len(), harness.calls.len()), (1, 1));
        }
    }
}

#[test]
fn a_truncated_list_changes_nothing_and_is_requested_again() {
    let mut harness = Harness::new(32.0);
    let body = event(2, &list(2, 30_000)).into_bytes();
    for quarters in 1..=3 {
        let part = body[..body.len() / 4 * quarters].to_vec();
        let last_event_id = harness.answer_next(HEAD, part, false, |harness| {
            harness.count(RejectReason::Truncated) == quarters as u64
        });
        assert_eq!((last_event_id.as_str(), harness.changes.len()), ("1", 0));
    }
    assert_eq!(logged_lines("bytes into an event").len(), 1, "logged once: {:?}", logged_lines(""));
    let last_event_id = harness.answer_next(HEAD, body, true, |harness| !harness.changes.is_empty());
    assert_eq!(last_event_id, "1");
    assert_names(&harness.changes[0], 30_000);
    harness.drop_stream();
    assert_eq!(harness.next_request().1, "2");
}

#[test]
fn a_list_over_the_bound_is_logged_once_retried_with_backoff_and_leaves_the_old_one() {
    let mut harness = Harness::new(1.0);
    let small = event(2, &list(2, 3)).into_bytes();
    harness.answer_next(HEAD, small, true, |harness| !harness.changes.is_empty());
    harness.drop_stream();
    let started_ns = harness.service.now;
    let limit = ListBound::of(1.0).engines;
    let large = event(3, &list(3, limit + 1)).into_bytes();
    while harness.service.now < started_ns + 600 * S {
        let expected_count = harness.count(RejectReason::TooLarge) + 1;
        let last_event_id = harness.answer_next(HEAD, large.clone(), true, |harness| {
            harness.count(RejectReason::TooLarge) == expected_count
        });
        assert_eq!((last_event_id.as_str(), harness.changes.len()), ("2", 1), "the old list stays in force");
    }
    let calls = &harness.calls[1..];
    assert!(calls.len() <= 30, "{} calls in ten minutes", calls.len());
    let waits: Vec<u64> = calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(waits[8..].iter().all(|wait| (29 * S..61 * S).contains(wait)), "{waits:?}");
    let logged = logged_lines("too large");
    assert!(logged.len() == 1 && logged[0].starts_with("WARN"), "{logged:?}");
    assert!(
        logged[0].contains(&format!("over {limit} engines in ")) && logged[0].contains("bytes"),
        "{logged:?}"
    );
    assert!(harness.stream.stats().1.age_ns(harness.service.now) > 500 * S, "the list grows stale");
    // A list within the bound is accepted, and the next rejection is logged again.
    let body = event(4, &list(4, limit)).into_bytes();
    harness.answer_next(HEAD, body, true, |harness| harness.changes.len() == 2);
    assert_names(&harness.changes[1], limit);
    assert_eq!(harness.stream.stats().1.age_ns(harness.service.now), 0);
    harness.drop_stream();
    let expected_count = harness.count(RejectReason::TooLarge) + 1;
    harness.answer_next(HEAD, large, true, |harness| harness.count(RejectReason::TooLarge) == expected_count);
    assert_eq!(logged_lines("too large").len(), 2);
}

#[test]
fn an_endless_line_is_rejected_at_the_bound_and_retried_with_backoff() {
    let mut harness = Harness::new(1.0);
    let mut endless = b"id: 2\ndata: {\"index\":2,\"endpoints\":{\"targets\":[".to_vec();
    endless.resize(2_000_000, b' ');
    for expected_count in 1..=12 {
        harness.answer_next(HEAD, endless.clone(), true, |harness| {
            harness.count(RejectReason::TooLarge) == expected_count
        });
    }
    let waits: Vec<u64> = harness.calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(waits[8..].iter().all(|wait| *wait > 29 * S), "{waits:?}");
    let logged = logged_lines("too large");
    let limit = ListBound::of(1.0).event_bytes;
    assert!(logged.len() == 1 && logged[0].contains(&format!("{limit} bytes at most")), "{logged:?}");
    assert!(harness.changes.is_empty());
}

#[test]
fn an_event_that_arrives_too_slowly_ends_the_stream() {
    use std::io::Write;
    let mut harness = Harness::new(32.0);
    let (mut call, _) = harness.next_request();
    let started_ns = harness.service.now;
    call.write_all(format!("{HEAD}:hi\nid: 2\ndata: {{\"index\":2,").as_bytes()).unwrap();
    harness.read();
    while harness.count(RejectReason::Truncated) == 0 {
        harness.service.now += 500 * MS;
        harness.stream.tick(harness.service.now, &mut harness.service.net);
        assert!(harness.service.now < started_ns + 2 * SILENT_NS, "the stream is still open");
        if harness.count(RejectReason::Truncated) == 0 {
            call.write_all(b" ").unwrap();
            harness.read();
        }
    }
}

#[test]
fn an_invalid_event_is_requested_once_more_then_skipped_and_logged_once() {
    let mut harness = Harness::new(32.0);
    let invalid = event(2, &list(2, 5_000).replacen("in_service", "dozing", 1));
    let body = (invalid + &event(3, &list(3, 4))).into_bytes();
    harness.answer_next(HEAD, body.clone(), true, |harness| harness.count(RejectReason::Invalid) == 1);
    assert!(harness.changes.is_empty());
    let last_event_id = harness.answer_next(HEAD, body, true, |harness| !harness.changes.is_empty());
    assert_eq!((last_event_id.as_str(), harness.count(RejectReason::Invalid)), ("1", 2));
    assert_names(&harness.changes[0], 4);
    assert_eq!(logged_lines("invalid membership event").len(), 1, "{:?}", logged_lines(""));
}

#[test]
fn a_duplicate_event_changes_nothing_and_is_logged_once() {
    let mut harness = Harness::new(32.0);
    let old = r#"{"index":2,"endpoints":{"all":false,"targets":[]}}"#;
    let body = event(5, &list(5, 9)) + &event(5, &list(5, 1)) + &event(2, old) + &event(4, &list(4, 2));
    harness.answer_next(HEAD, body.into_bytes(), true, |harness| harness.count(RejectReason::Duplicate) == 3);
    assert_eq!(harness.changes.len(), 1);
    assert_names(&harness.changes[0], 9);
    assert_eq!(logged_lines("duplicate event").len(), 1);
}

#[test]
fn a_numbering_reset_is_accepted_only_with_a_full_list_as_first_event() {
    let mut harness = Harness::new(32.0);
    harness
        .answer_next(HEAD, event(50, &list(50, 9)).into_bytes(), true, |harness| !harness.changes.is_empty());
    harness.drop_stream();
    // A delta with a lower number is not accepted, nor a full list after it.
    let part = format!(r#"{{"index":3,"endpoints":{{"targets":[{}]}}}}"#, target(1, "terminated"));
    let body = event(3, &part) + &event(4, &list(4, 1));
    harness.answer_next(HEAD, body.into_bytes(), true, |harness| harness.count(RejectReason::Duplicate) == 2);
    assert_eq!((harness.changes.len(), harness.count(RejectReason::NumberingReset)), (1, 0));
    harness.drop_stream();
    let body = event(3, &list(3, 7)) + &event(4, &part.replace("\"index\":3", "\"index\":4"));
    harness.answer_next(HEAD, body.into_bytes(), true, |harness| harness.changes.len() == 3);
    assert_names(&harness.changes[1], 7);
    assert_eq!(
        (harness.changes[2].kind, harness.count(RejectReason::NumberingReset)),
        (MembershipKind::Delta, 1)
    );
    assert_eq!(logged_lines("restarted its event numbering").len(), 1);
    harness.drop_stream();
    assert_eq!(harness.next_request().1, "4", "the new numbering is used");
}
