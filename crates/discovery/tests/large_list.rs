//! The coordinator's stream on a real socket: large lists are learned, and what is over the bound, cut, spoilt or old replaces
//! nothing, is counted, is told once, and is asked for within the pace. Times are passed in.

mod common;

use std::time::Duration;

use common::{answer, assert_names, chunked, event, list, listen, names, pacing, said, target, Wire, MS, T0};
use marljunction_control::interface::MembershipKind;
use marljunction_discovery::bound::ListBound;
use marljunction_discovery::rejected_updates::RejectReason;
use marljunction_discovery::stream::{Stream, SILENT_NS};
use marljunction_discovery::Change;

const S: u64 = 1_000 * MS;
const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A subscription and its service.
struct Bed {
    wire: Wire,
    stream: Stream,
    /// What it has told, in order.
    changes: Vec<Change>,
    /// When each call was made (ns).
    calls: Vec<u64>,
}

impl Bed {
    fn new(memory_mb: f64) -> Bed {
        listen();
        let wire = Wire::new();
        let stream =
            Stream::new(T0, wire.address(), names(), 1, pacing(7)).with_bound(ListBound::of(memory_mb));
        Bed { wire, stream, changes: Vec::new(), calls: Vec::new() }
    }

    fn count(&self, reason: RejectReason) -> u64 {
        self.stream.rejected_updates().count(reason)
    }

    /// Passes time until the next call, and takes what it asks behind.
    fn call(&mut self) -> (std::net::TcpStream, String) {
        let made = self.stream.stats().0 .0;
        while self.stream.stats().0 .0 == made {
            self.wire.now += 20 * MS;
            self.stream.tick(self.wire.now, &mut self.wire.net);
            assert!(self.wire.now < T0 + 3_600 * S, "no call");
        }
        self.calls.push(self.wire.now);
        loop {
            let ready = self.wire.ready_within(Duration::from_millis(100));
            self.take(ready);
            if let Some((call, asked)) = self.wire.call() {
                let behind = asked.lines().find_map(|line| line.strip_prefix("Last-Event-ID: ")).unwrap();
                return (call, behind.to_owned());
            }
        }
    }

    /// Takes what comes.
    fn read(&mut self) {
        let ready = self.wire.ready();
        self.take(ready);
    }

    fn take(&mut self, mut ready: Vec<u64>) {
        while let Some(conn) = ready.pop() {
            self.changes.extend(self.stream.ready(self.wire.now, &mut self.wire.net, conn));
            if self.wire.net.has_more(conn) {
                ready.push(conn);
            }
        }
    }

    /// Answers the next call, up to what it comes to.
    fn exchange(&mut self, head: &str, body: Vec<u8>, stays: bool, until: impl Fn(&Bed) -> bool) -> String {
        let (call, behind) = self.call();
        let answered = answer(call, head, body, stays);
        while !until(self) {
            self.read();
        }
        answered.join().unwrap();
        behind
    }

    /// The stream ends by its other side.
    fn drop_stream(&mut self) {
        self.wire.now += SILENT_NS + 1;
        self.stream.tick(self.wire.now, &mut self.wire.net);
    }
}

#[test]
fn lists_of_1000_5000_and_30000_engines_are_learned_over_a_socket() {
    for engines in [1_000, 5_000, 30_000] {
        for is_chunked in [false, true] {
            let mut bed = Bed::new(32.0);
            let body = event(2, &list(2, engines)).into_bytes();
            let (head, body) = if is_chunked { (CHUNKED, chunked(&body, 65_536)) } else { (HEAD, body) };
            bed.exchange(head, body, true, |bed| !bed.changes.is_empty());
            assert_names(&bed.changes[0], engines);
            assert_eq!((bed.changes.len(), bed.calls.len()), (1, 1));
        }
    }
}

#[test]
fn a_list_that_is_cut_in_the_middle_changes_nothing_and_is_learned_from_the_next_call() {
    let mut bed = Bed::new(32.0);
    let body = event(2, &list(2, 30_000)).into_bytes();
    for cuts in 1..=3 {
        let half = body[..body.len() / 4 * cuts].to_vec();
        let behind = bed.exchange(HEAD, half, false, |bed| bed.count(RejectReason::Truncated) == cuts as u64);
        assert_eq!((behind.as_str(), bed.changes.len()), ("1", 0));
    }
    assert_eq!(said("bytes into an event").len(), 1, "told once: {:?}", said(""));
    let behind = bed.exchange(HEAD, body, true, |bed| !bed.changes.is_empty());
    assert_eq!(behind, "1");
    assert_names(&bed.changes[0], 30_000);
    bed.drop_stream();
    assert_eq!(bed.call().1, "2");
}

#[test]
fn a_list_over_the_bound_is_told_once_counted_asked_for_ever_more_rarely_and_leaves_the_old_one() {
    let mut bed = Bed::new(1.0);
    let small = event(2, &list(2, 3)).into_bytes();
    bed.exchange(HEAD, small, true, |bed| !bed.changes.is_empty());
    bed.drop_stream();
    let from = bed.wire.now;
    let most = ListBound::of(1.0).engines;
    let large = event(3, &list(3, most + 1)).into_bytes();
    while bed.wire.now < from + 600 * S {
        let times = bed.count(RejectReason::TooLarge) + 1;
        let behind =
            bed.exchange(HEAD, large.clone(), true, |bed| bed.count(RejectReason::TooLarge) == times);
        assert_eq!((behind.as_str(), bed.changes.len()), ("2", 1), "the old list stays");
    }
    let calls = &bed.calls[1..];
    assert!(calls.len() <= 30, "{} calls in ten minutes", calls.len());
    let waits: Vec<u64> = calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(waits[8..].iter().all(|wait| (29 * S..61 * S).contains(wait)), "{waits:?}");
    let told = said("too large");
    assert!(told.len() == 1 && told[0].starts_with("WARN"), "{told:?}");
    assert!(told[0].contains(&format!("over {most} engines in ")) && told[0].contains("bytes"), "{told:?}");
    assert!(bed.stream.stats().1.age_ns(bed.wire.now) > 500 * S, "what is known grows old");
    // Within the bound again: learned, and a further one is told of again.
    let body = event(4, &list(4, most)).into_bytes();
    bed.exchange(HEAD, body, true, |bed| bed.changes.len() == 2);
    assert_names(&bed.changes[1], most);
    assert_eq!(bed.stream.stats().1.age_ns(bed.wire.now), 0);
    bed.drop_stream();
    let times = bed.count(RejectReason::TooLarge) + 1;
    bed.exchange(HEAD, large, true, |bed| bed.count(RejectReason::TooLarge) == times);
    assert_eq!(said("too large").len(), 2);
}

#[test]
fn an_endless_line_is_cut_off_at_the_bound_and_paced_like_a_list_over_it() {
    let mut bed = Bed::new(1.0);
    let mut endless = b"id: 2\ndata: {\"index\":2,\"endpoints\":{\"targets\":[".to_vec();
    endless.resize(2_000_000, b' ');
    for times in 1..=12 {
        bed.exchange(HEAD, endless.clone(), true, |bed| bed.count(RejectReason::TooLarge) == times);
    }
    let waits: Vec<u64> = bed.calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(waits[8..].iter().all(|wait| *wait > 29 * S), "{waits:?}");
    let told = said("too large");
    let most = ListBound::of(1.0).event_bytes;
    assert!(told.len() == 1 && told[0].contains(&format!("{most} bytes at most")), "{told:?}");
    assert!(bed.changes.is_empty());
}

#[test]
fn an_event_that_comes_a_byte_at_a_time_ends_the_stream_though_it_is_never_silent() {
    use std::io::Write;
    let mut bed = Bed::new(32.0);
    let (mut call, _) = bed.call();
    let from = bed.wire.now;
    call.write_all(format!("{HEAD}:hi\nid: 2\ndata: {{\"index\":2,").as_bytes()).unwrap();
    bed.read();
    while bed.count(RejectReason::Truncated) == 0 {
        bed.wire.now += 500 * MS;
        bed.stream.tick(bed.wire.now, &mut bed.wire.net);
        assert!(bed.wire.now < from + 2 * SILENT_NS, "it is waited for");
        if bed.count(RejectReason::Truncated) == 0 {
            call.write_all(b" ").unwrap();
            bed.read();
        }
    }
}

#[test]
fn a_spoilt_event_is_asked_for_once_more_then_passed_over_and_told_once() {
    let mut bed = Bed::new(32.0);
    let spoilt = event(2, &list(2, 5_000).replacen("in_service", "dozing", 1));
    let body = (spoilt + &event(3, &list(3, 4))).into_bytes();
    bed.exchange(HEAD, body.clone(), true, |bed| bed.count(RejectReason::Invalid) == 1);
    assert!(bed.changes.is_empty());
    let behind = bed.exchange(HEAD, body, true, |bed| !bed.changes.is_empty());
    assert_eq!((behind.as_str(), bed.count(RejectReason::Invalid)), ("1", 2));
    assert_names(&bed.changes[0], 4);
    assert_eq!(said("can't be read").len(), 1, "{:?}", said(""));
}

#[test]
fn an_event_that_is_known_already_changes_nothing_and_is_told_once() {
    let mut bed = Bed::new(32.0);
    let old = r#"{"index":2,"endpoints":{"all":false,"targets":[]}}"#;
    let body = event(5, &list(5, 9)) + &event(5, &list(5, 1)) + &event(2, old) + &event(4, &list(4, 2));
    bed.exchange(HEAD, body.into_bytes(), true, |bed| bed.count(RejectReason::Duplicate) == 3);
    assert_eq!(bed.changes.len(), 1);
    assert_names(&bed.changes[0], 9);
    assert_eq!(said("is known already").len(), 1);
}

#[test]
fn a_service_that_counts_anew_is_believed_only_where_a_whole_list_opens_its_stream() {
    let mut bed = Bed::new(32.0);
    bed.exchange(HEAD, event(50, &list(50, 9)).into_bytes(), true, |bed| !bed.changes.is_empty());
    bed.drop_stream();
    // A part of another life's news is no list: nothing of it is taken, nor a whole one behind it.
    let part = format!(r#"{{"index":3,"endpoints":{{"targets":[{}]}}}}"#, target(1, "terminated"));
    let body = event(3, &part) + &event(4, &list(4, 1));
    bed.exchange(HEAD, body.into_bytes(), true, |bed| bed.count(RejectReason::Duplicate) == 2);
    assert_eq!((bed.changes.len(), bed.count(RejectReason::NumberingReset)), (1, 0));
    bed.drop_stream();
    let body = event(3, &list(3, 7)) + &event(4, &part.replace("\"index\":3", "\"index\":4"));
    bed.exchange(HEAD, body.into_bytes(), true, |bed| bed.changes.len() == 3);
    assert_names(&bed.changes[1], 7);
    assert_eq!((bed.changes[2].kind, bed.count(RejectReason::NumberingReset)), (MembershipKind::Delta, 1));
    assert_eq!(said("counts anew").len(), 1);
    bed.drop_stream();
    assert_eq!(bed.call().1, "4", "behind the numbers of its new life");
}
