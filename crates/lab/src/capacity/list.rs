//! What it takes to learn a list of engines over the program's own subscription: bytes, processor time, memory held.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use marljunction_discovery::bound::ListBound;
use marljunction_discovery::stream::Stream;
use marljunction_discovery::{Change, SourceParams};
use marljunction_net::clock::Clock;
use marljunction_net::{ConnectionLimits, Net};
use marljunction_pacing::PacingParams;
use marljunction_settings::Names;
use mio::{Events, Poll};
use serde_json::json;

use super::clock::thread_ns;
use super::{repeated, series, Figures};
use crate::HEAP;

/// Engines of the lists. The largest list is as large as the one to design for.
const ENGINES: [usize; 6] = [75, 300, 1_200, 5_000, 12_000, 30_000];
/// Longest wait for a list.
const LIMIT: Duration = Duration::from_secs(5);
const FIRST_CONN: u64 = 1_000;
/// Memory limit of the program that reads them (MB).
pub const MEMORY_MB: f64 = 192.0;
const STALE_NS: u64 = 7_000_000_000;

/// The whole list as an event, as the coordinator writes it.
pub fn whole_list(engines: usize) -> String {
    let targets: Vec<_> = (0..engines).map(|engine| target(engine, "in_service")).collect();
    event(1, true, targets)
}

fn target(engine: usize, state: &str) -> serde_json::Value {
    let endpoint = format!("10.{}.{}.{}:4100", engine >> 16 & 255, engine >> 8 & 255, engine & 255);
    json!({"uid": format!("s-{:08x}", engine * 2_654_435 + 17), "endpoint": endpoint, "az": format!("zone-{:02}", engine % 25),
           "model": "std", "pod_group": engine % 250, "state": state, "capacity_hint": 4, "boot_ms": 0})
}

fn event(index: u64, all: bool, targets: Vec<serde_json::Value>) -> String {
    let data = json!({"index": index, "endpoints": {"rev": index, "all": all, "targets": targets}});
    format!("id: {index}\ndata: {data}\n\n")
}

/// A list service that tells one text to whoever calls, and a count of the bytes that were taken from it.
pub struct Service {
    /// Where it listens.
    pub address: SocketAddr,
    /// Bytes that the machine took of it, answers' heads included.
    written: Arc<AtomicU64>,
    /// Bytes that were read on their way to the caller.
    passed: Arc<AtomicU64>,
}

impl Service {
    /// A service, and before it a relay that counts what it reads: its count is not the sender's own.
    ///
    /// # Errors
    /// Where no port is to be had.
    pub fn start(text: String) -> Result<Service, String> {
        let fault = |e: std::io::Error| format!("list service: {e}");
        let inner = TcpListener::bind("127.0.0.1:0").map_err(fault)?;
        let outer = TcpListener::bind("127.0.0.1:0").map_err(fault)?;
        let (behind, address) = (inner.local_addr().map_err(fault)?, outer.local_addr().map_err(fault)?);
        let (written, passed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let counts = Arc::clone(&written);
        std::thread::spawn(move || {
            for conn in inner.incoming().flatten() {
                let (text, counts) = (text.clone(), Arc::clone(&counts));
                std::thread::spawn(move || serve(conn, &text, &counts));
            }
        });
        let counts = Arc::clone(&passed);
        std::thread::spawn(move || {
            for conn in outer.incoming().flatten() {
                let counts = Arc::clone(&counts);
                std::thread::spawn(move || relay(conn, behind, &counts));
            }
        });
        Ok(Service { address, written, passed })
    }

    /// The same, once the service has counted all that was read: it counts behind its writing.
    fn counted(&self) -> Result<(u64, u64), String> {
        let began = Instant::now();
        loop {
            match self.bytes() {
                (written, passed) if written >= passed => return Ok((written, passed)),
                _ if began.elapsed() > LIMIT => return Err("the list service lost count".into()),
                _ => std::thread::yield_now(),
            }
        }
    }

    /// Bytes written by the service, and read by the relay.
    pub fn bytes(&self) -> (u64, u64) {
        (self.written.load(Ordering::Relaxed), self.passed.load(Ordering::Relaxed))
    }
}

fn serve(mut conn: TcpStream, text: &str, written: &AtomicU64) {
    let mut call = [0; 4_096];
    let mut seen = Vec::new();
    while !seen.windows(4).any(|w| w == b"\r\n\r\n") {
        match conn.read(&mut call) {
            Ok(n) if n > 0 => seen.extend_from_slice(&call[..n]),
            _ => return,
        }
    }
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:hi\n\n";
    let mut left: &[u8] = &[head.as_bytes(), text.as_bytes()].concat();
    while !left.is_empty() {
        match conn.write(left) {
            Ok(n) if n > 0 => {
                written.fetch_add(n as u64, Ordering::Relaxed);
                left = &left[n..];
            }
            _ => return,
        }
    }
    // A comment each second until the caller goes: silence would end the stream.
    while conn.write_all(b":\n\n").is_ok() {
        written.fetch_add(3, Ordering::Relaxed);
        std::thread::park_timeout(Duration::from_secs(1));
    }
}

fn relay(mut caller: TcpStream, to: SocketAddr, passed: &AtomicU64) {
    let Ok(mut service) = TcpStream::connect(to) else { return };
    let (Ok(mut calls), Ok(mut asks)) = (caller.try_clone(), service.try_clone()) else { return };
    let forward: JoinHandle<()> = std::thread::spawn(move || {
        // The end of either side ends both.
        let _ = std::io::copy(&mut calls, &mut asks);
        let _ = asks.shutdown(std::net::Shutdown::Both);
    });
    let mut buffer = vec![0; 64 << 10];
    while let Ok(n) = service.read(&mut buffer) {
        // Counted before it is passed on: who has read all of it finds all of it counted.
        passed.fetch_add(n as u64, Ordering::Relaxed);
        if n == 0 || caller.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = caller.shutdown(std::net::Shutdown::Both);
    let _ = forward.join();
}

/// What learning one text took.
struct Learned {
    cpu_ns: u64,
    changes: Vec<Change>,
}

/// Learns what a service tells, over a subscription and sockets of the program's own.
fn learn(service: &Service, engines: usize) -> Result<Learned, String> {
    let fault = |e: std::io::Error| format!("sockets: {e}");
    let mut poll = Poll::new().map_err(fault)?;
    let registry = poll.registry().try_clone().map_err(fault)?;
    let mut net = Net::new(registry, FIRST_CONN, ConnectionLimits::of(1_024, MEMORY_MB));
    let clock = Clock::start();
    let names = Names {
        classes: Vec::new(),
        tenants: Vec::new(),
        zones: (0..25).map(|zone| format!("zone-{zone:02}")).collect(),
        kinds: vec!["std".into()],
    };
    let pacing = SourceParams {
        pace: PacingParams { spread_ns: 1, ..PacingParams::default() },
        seed: 1,
        stale_ns: STALE_NS,
    };
    let mut stream =
        Stream::new(clock.now_ns(), service.address, names, 0, pacing).with_bound(ListBound::of(MEMORY_MB));
    let mut events = Events::with_capacity(16);
    let (began, before) = (Instant::now(), thread_ns());
    let mut changes: Vec<Change> = Vec::new();
    while changes.iter().map(|change| change.targets.len()).sum::<usize>() < engines {
        if began.elapsed() > LIMIT {
            return Err(format!("a list of {engines} engines was not learned within {LIMIT:?}"));
        }
        stream.tick(clock.now_ns(), &mut net);
        poll.poll(&mut events, Some(Duration::from_millis(5))).map_err(fault)?;
        for event in &events {
            let conn = event.token().0 as u64;
            changes.extend(stream.ready(clock.now_ns(), &mut net, conn));
            while net.has_more(conn) {
                changes.extend(stream.ready(clock.now_ns(), &mut net, conn));
            }
        }
    }
    Ok(Learned { cpu_ns: thread_ns() - before, changes })
}

/// Bytes written, bytes read on the way, processor time (ms), memory of what was learned (KB).
type Cost = [f64; 4];

fn cost(engines: usize) -> Result<Cost, String> {
    let service = Service::start(whole_list(engines))?;
    let learned = learn(&service, engines)?;
    let (written, passed) = service.counted()?;
    let held = HEAP.current_usage();
    drop(learned.changes);
    let held = held.saturating_sub(HEAP.current_usage());
    Ok([written as f64, passed as f64, learned.cpu_ns as f64 / 1e6, held as f64 / 1e3])
}

/// The lists that the program learns at all, up to the largest that it does.
fn learnable() -> Vec<usize> {
    let learns = |engines: &usize| cost(*engines).is_ok();
    ENGINES.iter().copied().take_while(learns).collect()
}

/// Measures it all. Gives the sizes of the lists that were learned (engines).
///
/// # Errors
/// Where fewer than three sizes can be learned, or sockets can't be had.
pub fn measure(figures: &mut Figures) -> Result<Vec<usize>, String> {
    let sizes = learnable();
    let whats = [
        ("list_bytes", "whole list, bytes that the service wrote to one caller", "bytes"),
        (
            "list_bytes_read",
            "whole list, bytes read from the service's socket on their way to the caller",
            "bytes",
        ),
        ("list_cpu_ms", "whole list, processor time of the subscription that reads it", "ms"),
        ("list_held_kb", "whole list, heap that what was read holds", "KB"),
    ];
    let costs = repeated(&sizes, cost)?;
    for (at, (name, what, unit)) in whats.iter().enumerate() {
        let of = costs.iter().map(|(n, values)| (*n, values.iter().map(|v| v[at]).collect())).collect();
        figures.insert((*name).into(), series(what, unit, "engines", of));
    }
    // An event's size by the engines that it tells of, without the list before it.
    let events = [1_usize, 4, 16, 64].map(|count| {
        let targets: Vec<_> = (0..count).map(|engine| target(engine, "terminating")).collect();
        (count as f64, vec![event(2, false, targets).len() as f64])
    });
    let what = "event of changed engines, bytes";
    figures.insert("change_bytes".into(), series(what, "bytes", "engines that changed", events.to_vec()));
    Ok(sizes)
}
