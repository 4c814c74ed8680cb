//! A list service on a real socket, and lists of any size.
#![allow(dead_code)]

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use marljunction_control::interface::MembershipKind;
use marljunction_discovery::{engine_id, Change};
use marljunction_net::{ConnectionLimits, Net};
use marljunction_pacing::pace::MAX_UPDATE_DELAY_NS;
use marljunction_pacing::PacingParams;
use marljunction_settings::Names;
use mio::{Events, Poll};

pub const MS: u64 = 1_000_000;
pub const T0: u64 = 1_700_000_000_000 * MS;
/// Longest wait for an expected event.
const LIMIT: Duration = Duration::from_secs(8);

pub fn names() -> Names {
    Names { zones: vec!["a".into(), "b".into()], kinds: vec!["std".into()], ..Names::default() }
}

pub fn pacing(seed: u64) -> marljunction_discovery::SourceParams {
    marljunction_discovery::SourceParams {
        pace: PacingParams::default(),
        seed,
        stale_ns: MAX_UPDATE_DELAY_NS,
    }
}

/// JSON of one engine, as the coordinator sends it.
pub fn target(i: usize, state: &str) -> String {
    let (a, b, c) = (i >> 16 & 255, i >> 8 & 255, i & 255);
    format!(
        r#"{{"uid":"engine-{i:08}-\"}}]","endpoint":"127.{a}.{b}.{c}:4000","az":"{}","model":"std","pod_group":{},"state":"{state}","capacity_hint":4.0,"boot_ms":1700000000000}}"#,
        ["a", "b"][i % 2],
        i / 64
    )
}

/// JSON of a full list of this many engines, numbered from 1.
pub fn list(index: u64, engines: usize) -> String {
    let targets: Vec<String> = (1..=engines).map(|i| target(i, "in_service")).collect();
    format!(r#"{{"index":{index},"endpoints":{{"all":true,"targets":[{}]}}}}"#, targets.join(","))
}

pub fn event(index: u64, text: &str) -> String {
    format!("id: {index}\ndata: {text}\n\n")
}

/// Encodes a body in chunks of `size` bytes.
pub fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let chunk = |part: &[u8]| [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
    body.chunks(size).flat_map(chunk).collect()
}

/// Asserts that the change is a full list of exactly these engines, in order.
#[track_caller]
pub fn assert_names(change: &Change, engines: usize) {
    assert_eq!((change.kind, change.targets.len()), (MembershipKind::Full, engines));
    for (at, target) in change.targets.iter().enumerate() {
        assert_eq!(target.entry.engine, engine_id(&format!("engine-{:08}-\"}}]", at + 1)), "engine {at}");
    }
}

/// A service that listens on a local socket, and the network of the client under test.
pub struct TestService {
    poll: Poll,
    pub net: Net,
    listener: TcpListener,
    /// Connections to the service, with the bytes of an incomplete request.
    calls: Vec<(TcpStream, Vec<u8>)>,
    pub now: u64,
}

impl TestService {
    pub fn new() -> TestService {
        let poll = Poll::new().unwrap();
        let net = Net::new(poll.registry().try_clone().unwrap(), 1, ConnectionLimits::of(64, 64.0));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        TestService { poll, net, listener, calls: Vec::new(), now: T0 }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Next complete request, with its connection.
    pub fn next_request(&mut self) -> Option<(TcpStream, String)> {
        while let Ok((call, _)) = self.listener.accept() {
            call.set_nonblocking(false).unwrap();
            call.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
            self.calls.push((call, Vec::new()));
        }
        let mut bytes = [0; 4096];
        self.calls.retain_mut(|(call, request)| match call.read(&mut bytes) {
            Ok(size) => {
                request.extend_from_slice(&bytes[..size]);
                size > 0
            }
            Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        });
        let (call, request) = self.calls.iter_mut().find(|(_, request)| request.ends_with(b"\r\n\r\n"))?;
        Some((call.try_clone().unwrap(), String::from_utf8(std::mem::take(request)).unwrap()))
    }

    /// Connections that become ready within a time.
    pub fn ready_within(&mut self, limit: Duration) -> Vec<u64> {
        let mut events = Events::with_capacity(8);
        self.poll.poll(&mut events, Some(limit)).unwrap();
        events.iter().map(|event| event.token().0 as u64).collect()
    }

    /// Connections that become ready. Panics if there are none.
    pub fn ready(&mut self) -> Vec<u64> {
        let ready = self.ready_within(LIMIT);
        assert!(!ready.is_empty(), "no connection became ready");
        ready
    }
}

/// Responds from a thread, as the body may be larger than the socket buffers. Then closes the
/// connection unless `keep_open`.
pub fn answer(
    mut call: TcpStream,
    head: &str,
    body: Vec<u8>,
    keep_open: bool,
) -> std::thread::JoinHandle<()> {
    let head = head.to_owned();
    std::thread::spawn(move || {
        // The client may have closed the connection.
        let _ = call.write_all(head.as_bytes()).and_then(|()| call.write_all(&body));
        if !keep_open {
            let _ = call.shutdown(Shutdown::Both);
        }
    })
}

thread_local! {
    static LOG_LINES: std::cell::RefCell<Vec<String>> = const { std::cell::RefCell::new(Vec::new()) };
}

struct CapturedLog;

impl log::Log for CapturedLog {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        LOG_LINES.with(|lines| lines.borrow_mut().push(format!("{} {}", record.level(), record.args())));
    }

    fn flush(&self) {}
}

/// Starts capturing the log of this test.
pub fn capture_log() {
    // Another test in this binary may have set the logger.
    let _ = log::set_logger(&CapturedLog);
    log::set_max_level(log::LevelFilter::Info);
    LOG_LINES.with(|lines| lines.borrow_mut().clear());
}

/// Captured lines that contain `words`.
pub fn logged_lines(words: &str) -> Vec<String> {
    LOG_LINES.with(|lines| lines.borrow().iter().filter(|line| line.contains(words)).cloned().collect())
}
