//! Measures reading an engine list with the program's own subscription: bytes, processor time and
//! memory.

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

/// Numbers of engines; the largest is that of the design fleet.
const ENGINES: [usize; 6] = [75, 300, 1_200, 5_000, 12_000, 30_000];
/// Timeout of reading a list.
const TIMEOUT: Duration = Duration::from_secs(5);
const FIRST_CONN: u64 = 1_000;
/// Memory limit of the program that reads the list (MB).
pub const MEMORY_MB: f64 = 192.0;
const STALE_NS: u64 = 7_000_000_000;

/// An event with the full list, as encoded by the coordinator.
pub fn full_list_event(engines: usize) -> String {
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

/// A list service that serves one event to each client and counts the bytes.
pub struct Service {
    /// Address for clients.
    pub address: SocketAddr,
    /// Bytes written by the service, including response heads.
    written_bytes: Arc<AtomicU64>,
    /// Bytes read by the relay.
    relayed_bytes: Arc<AtomicU64>,
}

impl Service {
    /// Starts a service behind a relay, which counts bytes independently of the sender.
    ///
    /// # Errors
    /// If a listener can't be opened.
    pub fn start(text: String) -> Result<Service, String> {
        let to_message = |e: std::io::Error| format!("list service: {e}");
        let service_listener = TcpListener::bind("127.0.0.1:0").map_err(to_message)?;
        let relay_listener = TcpListener::bind("127.0.0.1:0").map_err(to_message)?;
        let (inner_address, address) = (
            service_listener.local_addr().map_err(to_message)?,
            relay_listener.local_addr().map_err(to_message)?,
        );
        let (written_bytes, relayed_bytes) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let counts = Arc::clone(&written_bytes);
        std::thread::spawn(move || {
            for conn in service_listener.incoming().flatten() {
                let (text, counts) = (text.clone(), Arc::clone(&counts));
                std::thread::spawn(move || serve(conn, &text, &counts));
            }
        });
        let counts = Arc::clone(&relayed_bytes);
        std::thread::spawn(move || {
            for conn in relay_listener.incoming().flatten() {
                let counts = Arc::clone(&counts);
                std::thread::spawn(move || relay(conn, inner_address, &counts));
            }
        });
        Ok(Service { address, written_bytes, relayed_bytes })
    }

    /// As [`Service::bytes`], once the service, which counts after each write, has counted all
    /// bytes read by the relay.
    fn settled_bytes(&self) -> Result<(u64, u64), String> {
        let started = Instant::now();
        loop {
            match self.bytes() {
                (written_bytes, relayed_bytes) if written_bytes >= relayed_bytes => {
                    return Ok((written_bytes, relayed_bytes))
                }
                _ if started.elapsed() > TIMEOUT => {
                    return Err("the list service did not count all bytes read".into())
                }
                _ => std::thread::yield_now(),
            }
        }
    }

    /// Bytes written by the service, and read by the relay.
    pub fn bytes(&self) -> (u64, u64) {
        (self.written_bytes.load(Ordering::Relaxed), self.relayed_bytes.load(Ordering::Relaxed))
    }
}

fn serve(mut conn: TcpStream, text: &str, written_bytes: &AtomicU64) {
    let mut buffer = [0; 4_096];
    let mut request = Vec::new();
    while !request.windows(4).any(|w| w == b"\r\n\r\n") {
        match conn.read(&mut buffer) {
            Ok(n) if n > 0 => request.extend_from_slice(&buffer[..n]),
            _ => return,
        }
    }
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:hi\n\n";
    let mut remaining: &[u8] = &[head.as_bytes(), text.as_bytes()].concat();
    while !remaining.is_empty() {
        match conn.write(remaining) {
            Ok(n) if n > 0 => {
                written_bytes.fetch_add(n as u64, Ordering::Relaxed);
                remaining = &remaining[n..];
            }
            _ => return,
        }
    }
    // A comment each second keeps the stream alive until the client disconnects.
    while conn.write_all(b":\n\n").is_ok() {
        written_bytes.fetch_add(3, Ordering::Relaxed);
        std::thread::park_timeout(Duration::from_secs(1));
    }
}

fn relay(mut client: TcpStream, to: SocketAddr, relayed_bytes: &AtomicU64) {
    let Ok(mut service) = TcpStream::connect(to) else { return };
    let (Ok(mut client_reader), Ok(mut service_writer)) = (client.try_clone(), service.try_clone()) else {
        return;
    };
    let forward: JoinHandle<()> = std::thread::spawn(move || {
        // The end of one direction ends both.
        let _ = std::io::copy(&mut client_reader, &mut service_writer);
        let _ = service_writer.shutdown(std::net::Shutdown::Both);
    });
    let mut buffer = vec![0; 64 << 10];
    while let Ok(n) = service.read(&mut buffer) {
        // Count before forwarding, so that a client that has read all bytes finds them counted.
        relayed_bytes.fetch_add(n as u64, Ordering::Relaxed);
        if n == 0 || client.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = client.shutdown(std::net::Shutdown::Both);
    let _ = forward.join();
}

/// The changes read from a service, and the processor time for it.
struct LoadedList {
    cpu_ns: u64,
    changes: Vec<Change>,
}

/// Reads a list with the program's own subscription and sockets.
fn load_list(service: &Service, engines: usize) -> Result<LoadedList, String> {
    let to_message = |e: std::io::Error| format!("sockets: {e}");
    let mut poll = Poll::new().map_err(to_message)?;
    let registry = poll.registry().try_clone().map_err(to_message)?;
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
    let (started, before) = (Instant::now(), thread_ns());
    let mut changes: Vec<Change> = Vec::new();
    while changes.iter().map(|change| change.targets.len()).sum::<usize>() < engines {
        if started.elapsed() > TIMEOUT {
            return Err(format!("a list of {engines} engines was not read within {TIMEOUT:?}"));
        }
        stream.tick(clock.now_ns(), &mut net);
        poll.poll(&mut events, Some(Duration::from_millis(5))).map_err(to_message)?;
        for event in &events {
            let conn = event.token().0 as u64;
            changes.extend(stream.ready(clock.now_ns(), &mut net, conn));
            while net.has_more(conn) {
                changes.extend(stream.ready(clock.now_ns(), &mut net, conn));
            }
        }
    }
    Ok(LoadedList { cpu_ns: thread_ns() - before, changes })
}

/// Bytes written, bytes read by the relay, processor time (ms), heap of the changes (KB).
type Cost = [f64; 4];

fn cost(engines: usize) -> Result<Cost, String> {
    let service = Service::start(full_list_event(engines))?;
    let loaded = load_list(&service, engines)?;
    let (written_bytes, relayed_bytes) = service.settled_bytes()?;
    let heap_bytes = HEAP.current_usage();
    drop(loaded.changes);
    let heap_bytes = heap_bytes.saturating_sub(HEAP.current_usage());
    Ok([written_bytes as f64, relayed_bytes as f64, loaded.cpu_ns as f64 / 1e6, heap_bytes as f64 / 1e3])
}

/// The sizes up to the largest that can be read.
fn loadable() -> Vec<usize> {
    let can_load = |engines: &usize| cost(*engines).is_ok();
    ENGINES.iter().copied().take_while(can_load).collect()
}

/// Measures the costs by the number of engines; returns the numbers of engines that could be read.
///
/// # Errors
/// If a list that could be read before can't be read again.
pub fn measure(figures: &mut Figures) -> Result<Vec<usize>, String> {
    let sizes = loadable();
    let descriptions = [
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
    for (at, (name, what, unit)) in descriptions.iter().enumerate() {
        let of = costs.iter().map(|(n, values)| (*n, values.iter().map(|v| v[at]).collect())).collect();
        figures.insert((*name).into(), series(what, unit, "engines", of));
    }
    // Size of an event by the number of changed engines, without a preceding list.
    let events = [1_usize, 4, 16, 64].map(|count| {
        let targets: Vec<_> = (0..count).map(|engine| target(engine, "terminating")).collect();
        (count as f64, vec![event(2, false, targets).len() as f64])
    });
    let what = "event of changed engines, bytes";
    figures.insert("change_bytes".into(), series(what, "bytes", "engines that changed", events.to_vec()));
    Ok(sizes)
}
