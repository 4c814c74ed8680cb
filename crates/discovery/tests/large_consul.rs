//! Consul on a real socket: large answers are learned entry by entry; what is over the bound, cut or spoilt replaces nothing, is
//! counted, is told once, and is asked for within the pace.

mod common;

use std::net::TcpStream;
use std::time::Duration;

use common::{answer, chunked, listen, names, pacing, said, Wire, MS, T0};
use marljunction_control::interface::EngineState;
use marljunction_discovery::bound::ListBound;
use marljunction_discovery::consul::Consul;
use marljunction_discovery::consul_response::{ConsulQuery, ConsulResponse, ResponseReader};
use marljunction_discovery::rejected_updates::RejectReason;
use marljunction_discovery::{engine_id, Change};

const S: u64 = 1_000 * MS;

fn catalogue(engines: usize) -> String {
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

struct Bed {
    wire: Wire,
    consul: Consul,
    changes: Vec<Change>,
    /// When the catalogue and the health were asked for (ns).
    asked: [Vec<u64>; 2],
}

impl Bed {
    fn new(memory_mb: f64) -> Bed {
        listen();
        let wire = Wire::new();
        let consul = Consul::new(T0, wire.address(), "engine".into(), names(), pacing(3));
        let consul = consul.with_bound(ListBound::of(memory_mb));
        Bed { wire, consul, changes: Vec::new(), asked: Default::default() }
    }

    fn count(&self, reason: RejectReason) -> u64 {
        self.consul.rejected_updates().iter().map(|rejected_updates| rejected_updates.count(reason)).sum()
    }

    /// Passes time until a query comes; which one it is.
    fn call(&mut self) -> (TcpStream, usize) {
        loop {
            // Each call that was made comes: time waits for it.
            let seen = self.asked.iter().map(Vec::len).sum::<usize>() as u64;
            if self.consul.stats().0 .0 == seen {
                self.wire.now += 20 * MS;
                self.consul.tick(self.wire.now, &mut self.wire.net);
                assert!(self.wire.now < T0 + 3_600 * S, "no call");
                continue;
            }
            let ready = self.wire.ready_within(Duration::from_millis(20));
            self.take(ready);
            if let Some((call, asked)) = self.wire.call() {
                let watch = usize::from(asked.starts_with("GET /v1/health/"));
                self.asked[watch].push(self.wire.now);
                self.wire.now += MS;
                return (call, watch);
            }
        }
    }

    fn read(&mut self) {
        let ready = self.wire.ready();
        self.take(ready);
    }

    fn take(&mut self, mut ready: Vec<u64>) {
        while let Some(conn) = ready.pop() {
            self.changes.extend(self.consul.ready(self.wire.now, &mut self.wire.net, conn));
            if self.wire.net.has_more(conn) {
                ready.push(conn);
            }
        }
    }

    /// Answers the next query with what is said for it, up to what it comes to.
    fn exchange(&mut self, bodies: [&str; 2], is_chunked: bool, until: impl Fn(&Bed) -> bool) -> usize {
        let (call, watch) = self.call();
        let body = bodies[watch].as_bytes();
        let (head, body) = match is_chunked {
            true => (
                "Transfer-Encoding: chunked".to_owned(),
                [chunked(body, 50_000), b"0\r\n\r\n".to_vec()].concat(),
            ),
            false => (format!("Content-Length: {}", body.len()), body.to_vec()),
        };
        let head = format!("HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\n{head}\r\n\r\n");
        let answered = answer(call, &head, body, true);
        while !until(self) {
            self.read();
        }
        answered.join().unwrap();
        watch
    }

    /// Answers both queries well.
    fn learn(&mut self, engines: usize, is_chunked: bool) {
        let (catalogue, health) = (catalogue(engines), health(engines));
        let mut seen = [false; 2];
        while !seen.iter().all(|seen| *seen) {
            let news = self.changes.len();
            let taken =
                |bed: &Bed| bed.changes.len() > news || bed.consul.stats().1.age_ns(bed.wire.now) == 0;
            seen[self.exchange([&catalogue, &health], is_chunked, taken)] = true;
        }
        assert_eq!(self.changes.last().unwrap().targets.len(), engines);
    }
}

#[test]
fn answers_of_1000_5000_and_30000_engines_are_learned() {
    for engines in [1_000, 5_000, 30_000] {
        for is_chunked in [false, true] {
            let mut bed = Bed::new(32.0);
            bed.learn(engines, is_chunked);
            let list = bed.changes.last().unwrap();
            for (at, target) in list.targets.iter().enumerate() {
                let i = at + 1;
                let state = if i % 3 == 0 { EngineState::Draining } else { EngineState::Ready };
                assert_eq!((target.entry.engine, target.entry.state), (engine_id(&format!("e{i}")), state));
            }
        }
    }
}

#[test]
fn answers_over_the_bound_are_told_once_counted_asked_for_ever_more_rarely_and_leave_the_old_list() {
    let mut bed = Bed::new(1.0);
    bed.learn(3, false);
    let (most, news) = (ListBound::of(1.0).engines, bed.changes.len());
    let (catalogue, health) = (catalogue(most + 1), health(most + 1));
    let (from, before) = (bed.wire.now, bed.asked.clone());
    while bed.wire.now < from + 600 * S {
        let times = bed.count(RejectReason::TooLarge) + 1;
        bed.exchange([&catalogue, &health], true, |bed| bed.count(RejectReason::TooLarge) == times);
    }
    assert_eq!(bed.changes.len(), news, "the old list stays");
    for watch in [0, 1] {
        let asked = &bed.asked[watch][before[watch].len()..];
        assert!(asked.len() <= 30, "{} calls in ten minutes", asked.len());
        let waits: Vec<u64> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(waits[8..].iter().all(|wait| (29 * S..61 * S).contains(wait)), "{waits:?}");
    }
    let told = said("too large");
    assert!(told.len() == 2 && told.iter().all(|line| line.starts_with("WARN consul's")), "{told:?}");
    assert!(bed.consul.stats().1.age_ns(bed.wire.now) > 500 * S, "what is known grows old");
    bed.learn(most, true);
    assert_eq!(bed.consul.stats().1.age_ns(bed.wire.now), 0);
}

#[test]
fn an_answer_whose_length_is_over_the_bound_is_not_read_at_all() {
    let mut bed = Bed::new(1.0);
    let most = ListBound::of(1.0).answer_bytes;
    let (call, _) = bed.call();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n[", most + 1);
    let answered = answer(call, &head, Vec::new(), true);
    while bed.count(RejectReason::TooLarge) == 0 {
        bed.read();
    }
    assert!(said("too large")[0].contains(&format!("{} bytes so far", most + 1)), "{:?}", said(""));
    // It was not kept open for the rest.
    answered.join().unwrap();
}

#[test]
fn an_endless_answer_is_cut_off_at_the_bound() {
    let mut bed = Bed::new(1.0);
    let endless = format!("[{}", " ".repeat(ListBound::of(1.0).answer_bytes + 1));
    bed.exchange([&endless, &endless], true, |bed| bed.count(RejectReason::TooLarge) == 1);
    assert!(bed.changes.is_empty());
}

#[test]
fn an_answer_that_is_cut_or_spoilt_leaves_the_old_list_and_is_told_once() {
    let mut bed = Bed::new(32.0);
    bed.learn(3, false);
    let news = bed.changes.len();
    let whole = [catalogue(30_000), health(30_000)];
    for _ in 0..4 {
        let (call, watch) = bed.call();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole[watch].len());
        let half = whole[watch].as_bytes()[..whole[watch].len() / 2].to_vec();
        let times = bed.count(RejectReason::Truncated) + 1;
        let answered = answer(call, &head, half, false);
        while bed.count(RejectReason::Truncated) < times {
            bed.read();
        }
        answered.join().unwrap();
    }
    let spoilt = whole.each_ref().map(|text| format!("{}, 7]", &text[..text.len() - 1]));
    for _ in 0..4 {
        let times = bed.count(RejectReason::Invalid) + 1;
        bed.exchange([&spoilt[0], &spoilt[1]], true, |bed| bed.count(RejectReason::Invalid) == times);
    }
    assert_eq!(bed.changes.len(), news, "the old list stays");
    assert!(
        said("ended after").len() <= 2 && said("can't be read").len() <= 2,
        "once a query: {:?}",
        said("")
    );
    bed.learn(30_000, false);
}

#[test]
fn an_answer_that_is_no_list_or_not_whole_is_refused_wherever_it_is_cut() {
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
