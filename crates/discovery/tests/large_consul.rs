//! Checks Consul over a real socket: large responses are received, and those that are too large,
//! truncated or invalid leave the old list in force, are logged once, and are retried with backoff.

mod common;

use std::net::TcpStream;
use std::time::Duration;

use common::{answer, capture_log, chunked, logged_lines, names, pacing, TestService, MS, T0};
use marljunction_control::interface::EngineState;
use marljunction_discovery::bound::ListBound;
use marljunction_discovery::consul::Consul;
use marljunction_discovery::consul_response::{ConsulQuery, ConsulResponse, ResponseReader};
use marljunction_discovery::rejected_updates::RejectReason;
use marljunction_discovery::{engine_id, Change};

const S: u64 = 1_000 * MS;

fn catalog(engines: usize) -> String {
    let entry = |i: usize| {
        format!(
            r#"{{"ID":"n{i}","Node":"node-{i}","Address":"127.0.0.1","ServiceID":"e{i}","ServiceAddress":"127.{}.{}.{}","ServicePort":4000,"ServiceMeta":{{"az":"b","model":"std","boot_ms":"5","own\"{{":"}}]"}},"ServiceTags":["a"]}}"#,
            i >> 16 & 255,
            i >> 8 & 255,
            i & 255
        )
    };
    format!("[{}]", (1..=engines).map(entry).collect::<Vec<_>>().join(",\n"))
}

fn health(engines: usize) -> String {
    let entry = |i: usize| {
        let (id, status) = match i % 3 {
            0 => ("_service_maintenance:x", "critical"),
            _ => ("serf", "passing"),
        };
        format!(
            r#"{{"Node":{{"Node":"n{i}"}},"Service":{{"ID":"e{i}"}},"Checks":[{{"CheckID":"{id}","Status":"{status}","Output":"ok\n"}}]}}"#
        )
    };
    format!("[{}]", (1..=engines).map(entry).collect::<Vec<_>>().join(","))
}

struct Harness {
    service: TestService,
    consul: Consul,
    changes: Vec<Change>,
    /// When the catalog and the health query were received (ns).
    queries_ns: [Vec<u64>; 2],
}

impl Harness {
    fn new(memory_mb: f64) -> Harness {
        capture_log();
        let service = TestService::new();
        let consul = Consul::new(T0, service.address(), "engine".into(), names(), pacing(3));
        let consul = consul.with_bound(ListBound::of(memory_mb));
        Harness { service, consul, changes: Vec::new(), queries_ns: Default::default() }
    }

    fn count(&self, reason: RejectReason) -> u64 {
        self.consul.rejected_updates().iter().map(|rejected| rejected.count(reason)).sum()
    }

    /// Advances time until a query arrives. Returns which one it is.
    fn next_request(&mut self) -> (TcpStream, usize) {
        loop {
            // Time stands still until each call that was made has arrived.
            let received_count = self.queries_ns.iter().map(Vec::len).sum::<usize>() as u64;
            if self.consul.stats().0 .0 == received_count {
                self.service.now += 20 * MS;
                self.consul.tick(self.service.now, &mut self.service.net);
                assert!(self.service.now < T0 + 3_600 * S, "no call");
                continue;
            }
            let ready = self.service.ready_within(Duration::from_millis(20));
            self.process(ready);
            if let Some((call, request)) = self.service.next_request() {
                let watch = usize::from(request.starts_with("GET /v1/health/"));
                self.queries_ns[watch].push(self.service.now);
                self.service.now += MS;
                return (call, watch);
            }
        }
    }

    fn read(&mut self) {
        let ready = self.service.ready();
        self.process(ready);
    }

    fn process(&mut self, mut ready: Vec<u64>) {
        while let Some(conn) = ready.pop() {
            self.changes.extend(self.consul.ready(self.service.now, &mut self.service.net, conn));
            if self.service.net.has_more(conn) {
                ready.push(conn);
            }
        }
    }

    /// Answers the next query with its body, and waits for a condition.
    fn answer_next(
        &mut self,
        bodies: [&str; 2],
        is_chunked: bool,
        until: impl Fn(&Harness) -> bool,
    ) -> usize {
        let (call, watch) = self.next_request();
        let body = bodies[watch].as_bytes();
        let (head, body) = match is_chunked {
            true => (
                "Transfer-Encoding: chunked".to_owned(),
                [chunked(body, 50_000), b"0\r\n\r\n".to_vec()].concat(),
            ),
            false => (format!("Content-Length: {}", body.len()), body.to_vec()),
        };
        let head = format!("HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\n{head}\r\n\r\n");
        let responder = answer(call, &head, body, true);
        while !until(self) {
            self.read();
        }
        responder.join().unwrap();
        watch
    }

    /// Answers both queries with a valid list.
    fn receive_list(&mut self, engines: usize, is_chunked: bool) {
        let (catalog, health) = (catalog(engines), health(engines));
        let mut seen = [false; 2];
        while !seen.iter().all(|seen| *seen) {
            let change_count = self.changes.len();
            let received = |harness: &Harness| {
                harness.changes.len() > change_count
                    || harness.consul.stats().1.age_ns(harness.service.now) == 0
            };
            seen[self.answer_next([&catalog, &health], is_chunked, received)] = true;
        }
        assert_eq!(self.changes.last().unwrap().targets.len(), engines);
    }
}

#[test]
fn large_responses_are_received_over_a_socket() {
    for engines in [1_000, 5_000, 30_000] {
        for is_chunked in [false, true] {
            let mut harness = Harness::new(32.0);
            harness.receive_list(engines, is_chunked);
            let list = harness.changes.last().unwrap();
            for (at, target) in list.targets.iter().enumerate() {
                let i = at + 1;
                let state = if i % 3 == 0 { EngineState::Draining } else { EngineState::Ready };
                assert_eq!((target.entry.engine, target.entry.state), (engine_id(&format!("e{i}")), state));
            }
        }
    }
}

#[test]
fn responses_over_the_bound_are_logged_once_retried_with_backoff_and_leave_the_old_list() {
    let mut harness = Harness::new(1.0);
    harness.receive_list(3, false);
    let (limit, change_count) = (ListBound::of(1.0).engines, harness.changes.len());
    let (catalog, health) = (catalog(limit + 1), health(limit + 1));
    let (from, before) = (harness.service.now, harness.queries_ns.clone());
    while harness.service.now < from + 600 * S {
        let expected_count = harness.count(RejectReason::TooLarge) + 1;
        harness.answer_next([&catalog, &health], true, |harness| {
            harness.count(RejectReason::TooLarge) == expected_count
        });
    }
    assert_eq!(harness.changes.len(), change_count, "the old list stays in force");
    for watch in [0, 1] {
        let queries_ns = &harness.queries_ns[watch][before[watch].len()..];
        assert!(queries_ns.len() <= 30, "{} calls in ten minutes", queries_ns.len());
        let waits: Vec<u64> = queries_ns.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(waits[8..].iter().all(|wait| (29 * S..61 * S).contains(wait)), "{waits:?}");
    }
    let logged = logged_lines("too large");
    assert!(logged.len() == 2 && logged.iter().all(|line| line.starts_with("WARN consul ")), "{logged:?}");
    assert!(harness.consul.stats().1.age_ns(harness.service.now) > 500 * S, "the list grows stale");
    harness.receive_list(limit, true);
    assert_eq!(harness.consul.stats().1.age_ns(harness.service.now), 0);
}

#[test]
fn a_response_with_a_content_length_over_the_bound_is_not_read() {
    let mut harness = Harness::new(1.0);
    let limit = ListBound::of(1.0).response_bytes;
    let (call, _) = harness.next_request();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n[", limit + 1);
    let responder = answer(call, &head, Vec::new(), true);
    while harness.count(RejectReason::TooLarge) == 0 {
        harness.read();
    }
    assert!(
        logged_lines("too large")[0].contains(&format!("{} bytes so far", limit + 1)),
        "{:?}",
        logged_lines("")
    );
    // The connection was closed.
    responder.join().unwrap();
}

#[test]
fn an_endless_response_is_rejected_at_the_bound() {
    let mut harness = Harness::new(1.0);
    let endless = format!("[{}", " ".repeat(ListBound::of(1.0).response_bytes + 1));
    harness.answer_next([&endless, &endless], true, |harness| harness.count(RejectReason::TooLarge) == 1);
    assert!(harness.changes.is_empty());
}

#[test]
fn a_truncated_or_invalid_response_leaves_the_old_list_and_is_logged_once() {
    let mut harness = Harness::new(32.0);
    harness.receive_list(3, false);
    let change_count = harness.changes.len();
    let whole = [catalog(30_000), health(30_000)];
    for _ in 0..4 {
        let (call, watch) = harness.next_request();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole[watch].len());
        let half = whole[watch].as_bytes()[..whole[watch].len() / 2].to_vec();
        let expected_count = harness.count(RejectReason::Truncated) + 1;
        let responder = answer(call, &head, half, false);
        while harness.count(RejectReason::Truncated) < expected_count {
            harness.read();
        }
        responder.join().unwrap();
    }
    let invalid = whole.each_ref().map(|text| format!("{}, 7]", &text[..text.len() - 1]));
    for _ in 0..4 {
        let expected_count = harness.count(RejectReason::Invalid) + 1;
        harness.answer_next([&invalid[0], &invalid[1]], true, |harness| {
            harness.count(RejectReason::Invalid) == expected_count
        });
    }
    assert_eq!(harness.changes.len(), change_count, "the old list stays in force");
    assert!(
        logged_lines("ended after").len() <= 2 && logged_lines("invalid consul").len() <= 2,
        "once for each query: {:?}",
        logged_lines("")
    );
    harness.receive_list(30_000, false);
}

#[test]
fn an_invalid_or_truncated_response_is_rejected_in_pieces_of_any_size() {
    let read = |text: &str, piece: usize| {
        let mut reader = ResponseReader::new(ConsulQuery::Health, ListBound::default());
        text.as_bytes()
            .chunks(piece)
            .try_for_each(|part| reader.push(part, &names()))
            .and_then(|()| reader.finish())
    };
    let whole = health(2);
    for text in ["", "null", "{}", "[", "[]x", "[[]]", "[7]", "7", "[]]", "[{}]", &whole[..whole.len() - 1]] {
        assert!((1..9).all(|piece| read(text, piece).is_err()), "{text}");
    }
    let states = |piece| match read(&whole, piece) {
        Ok(ConsulResponse::Health(states)) => states.len(),
        other => panic!("{other:?}"),
    };
    assert!((1..whole.len()).all(|piece| states(piece) == 2));
}
