//! What crosses on the way to HTTP engines: an address that passes to another while a call is under way, and a repeat that
//! goes out late. Times are passed in, only the bytes are real.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use marljunction_control::interface::*;
use marljunction_core::ending::Ending;
use marljunction_core::{Ask, Attempt, Client, Router};
use marljunction_discovery::{Change, Target};
use marljunction_engine::http::HttpEngines;
use marljunction_engine::{Backend, Context, Start};
use marljunction_net::{Net, Room};
use mio::{Events, Poll};

const MS: u64 = 1_000_000;
const T0: u64 = 1_700_000_000_000 * MS;

struct World {
    poll: Poll,
    net: Net,
    router: Router,
    engines: HttpEngines,
    now: u64,
}

impl World {
    fn new() -> World {
        let poll = Poll::new().unwrap();
        let net = Net::new(poll.registry().try_clone().unwrap(), 10, Room::of(64, 64.0));
        let class = ClassSettings { aim_ns: 9_000 * MS, deadline_ns: 9_000 * MS, ..ClassSettings::default() };
        let settings = Settings { classes: vec![class], may_cancel: true, ..Settings::default() };
        let router = Router::new(settings, 1, 64.0);
        World { poll, net, router, engines: HttpEngines::new(30_000 * MS, 250 * MS), now: T0 }
    }

    fn with<T>(&mut self, does: impl FnOnce(&mut HttpEngines, &mut Context) -> T) -> T {
        let mut cx = Context { now: self.now, net: &mut self.net, router: &mut self.router };
        does(&mut self.engines, &mut cx)
    }

    /// The one engine is in this state, at this address.
    fn engine(&mut self, at: &TcpListener, state: EngineState) {
        at.set_nonblocking(true).unwrap();
        let entry = EngineEntry { engine: EngineId(1), state, ..EngineEntry::default() };
        let target = Target { entry, address: at.local_addr().unwrap() };
        self.router.membership(MembershipKind::Full, vec![entry]);
        let change = Change { kind: MembershipKind::Full, targets: vec![target] };
        self.with(|engines, cx| engines.change(cx, &change));
    }

    /// Hands what the sockets bring to the engines' side until something is there.
    fn until<T>(&mut self, mut found: impl FnMut() -> Option<T>) -> T {
        let mut events = Events::with_capacity(16);
        for _ in 0..2_000 {
            if let Some(found) = found() {
                return found;
            }
            self.poll.poll(&mut events, Some(std::time::Duration::from_millis(4))).unwrap();
            for conn in events.iter().map(|e| e.token().0 as u64).collect::<Vec<_>>() {
                self.with(|engines, cx| engines.ready(cx, conn));
            }
        }
        panic!("waited in vain");
    }

    fn accept(&mut self, at: &TcpListener) -> TcpStream {
        let stream = self.until(|| at.accept().ok()).0;
        stream.set_nonblocking(true).unwrap();
        stream
    }

    fn read(&mut self, stream: &mut TcpStream, text: &str) {
        let mut got = Vec::new();
        self.until(|| {
            let mut buffer = [0; 4_096];
            let n = stream.read(&mut buffer).unwrap_or(0);
            got.extend_from_slice(&buffer[..n]);
            got.windows(text.len()).any(|w| w == text.as_bytes()).then_some(())
        });
    }

    fn start(&mut self, name: &str, begin_by_ns: Option<u64>) -> Attempt {
        let ask = Ask { name: name.into(), time_left_ns: 9_000 * MS, ..Ask::default() };
        let request = self.router.take(self.now, Client { conn: 1, call: 1 }, ask.clone());
        self.router.turn(self.now, &mut Vec::new());
        let attempt = Attempt { request, number: 0 };
        #[rustfmt::skip]
        let start = Start {
            attempt, engine: EngineId(1), timeout_ns: 9_000 * MS, priority: 1, ask: Rc::new(ask), class: "c".into(), once: false,
            begin_by_ns,
        };
        self.with(|engines, cx| engines.start(cx, start));
        attempt
    }

    fn endings(&mut self, ending: Ending) -> u64 {
        self.router.turn(self.now, &mut Vec::new());
        self.router.counters.endings(ending)
    }
}

#[test]
fn a_connection_to_a_former_address_is_not_used_for_the_engine_any_more() {
    let (old, new) = (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
    let mut w = World::new();
    w.engine(&old, EngineState::Ready);
    w.start("aaaabbbbccccdddd", None);
    let mut first = w.accept(&old);
    w.read(&mut first, "POST /o ");
    // The engine moves while the call is under way, and the old address may be another's when the call ends.
    w.engine(&new, EngineState::Ready);
    first.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nChunks: 1\r\n\r\na\tb\tc\n").unwrap();
    let mut served = false;
    let mut events = Events::with_capacity(16);
    while !served {
        w.poll.poll(&mut events, Some(std::time::Duration::from_secs(8))).unwrap();
        assert!(!events.is_empty(), "no answer was read");
        for conn in events.iter().map(|e| e.token().0 as u64).collect::<Vec<_>>() {
            w.with(|engines, cx| engines.ready(cx, conn));
        }
        served = w.endings(Ending::Served) == 1;
    }
    // Long enough for a connection to be used again, and not too long.
    w.now += 100 * MS;
    w.start("aaaabbbbccccddde", None);
    let mut second = w.accept(&new);
    w.read(&mut second, "POST /o ");
}

#[test]
fn a_repeat_that_engines_would_not_drop_any_more_does_not_begin_to_go_out() {
    let at = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut w = World::new();
    w.engine(&at, EngineState::Ready);
    w.net.hold_calls();
    w.start("aaaabbbbccccdddd", Some(T0 + 100 * MS));
    let mut stream = w.accept(&at);
    w.now = T0 + 101 * MS;
    w.with(|engines, cx| engines.tick(cx));
    assert_eq!(w.endings(Ending::Unsent), 1);
    w.net.release();
    let read = w.until(|| match stream.read(&mut [0; 16]) {
        Err(e) if e.kind() == ErrorKind::WouldBlock => None,
        read => Some(read),
    });
    assert!(!matches!(read, Ok(n) if n > 0), "bytes came of it");
}

#[test]
fn one_that_may_still_repeat_goes_out_at_the_end_of_the_round() {
    let at = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut w = World::new();
    w.engine(&at, EngineState::Ready);
    w.net.hold_calls();
    w.start("aaaabbbbccccdddd", Some(T0 + 100 * MS));
    let mut stream = w.accept(&at);
    w.now = T0 + 99 * MS;
    w.with(|engines, cx| engines.tick(cx));
    let mut got = Vec::new();
    for _ in 0..2_000 {
        let mut events = Events::with_capacity(16);
        w.poll.poll(&mut events, Some(std::time::Duration::from_millis(4))).unwrap();
        for conn in events.iter().map(|e| e.token().0 as u64).collect::<Vec<_>>() {
            w.with(|engines, cx| engines.ready(cx, conn));
        }
        for conn in w.net.release() {
            w.with(|engines, cx| engines.flushed(cx, conn));
        }
        let mut buffer = [0; 4_096];
        let n = stream.read(&mut buffer).unwrap_or(0);
        got.extend_from_slice(&buffer[..n]);
        if got.starts_with(b"POST /o ") {
            return;
        }
    }
    panic!("nothing came");
}

#[test]
fn an_engine_that_has_begun_to_drain_gets_nothing_new() {
    let at = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut w = World::new();
    w.engine(&at, EngineState::Draining);
    w.start("aaaabbbbccccdddd", None);
    assert!(matches!(at.accept(), Err(e) if e.kind() == ErrorKind::WouldBlock));
}
