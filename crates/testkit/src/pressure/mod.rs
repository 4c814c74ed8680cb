//! One real router, well-behaved clients, and others that press on it: what the well-behaved ones
//! see, and how much memory the router takes.

pub mod engine;
mod postgres;
pub mod trouble;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rmpv::Value;
use serde_json::json;

use crate::fleet::classes;
use crate::process::Process;
use crate::test_bed::{settings, SettingsParams};
use engine::InstantEngine;

/// Limits of a router under pressure.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Memory (MB).
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: u64,
}

/// Well-behaved clients; each has one connection with one open request at most.
const CLIENTS: usize = 4;
/// Pause of a well-behaved client between an answer and its next request.
const PAUSE: Duration = Duration::from_millis(10);
/// Time budget of a request.
const BUDGET: Duration = Duration::from_secs(4);
/// An answer that comes later than this after its request's time is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Longest wait for the start of the router.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Request ids are unique within this process.
static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

/// Where a router accepts clients.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// MessagePack clients.
    pub msgpack: SocketAddr,
    /// PostgreSQL clients.
    pub postgres: SocketAddr,
}

/// A router with an engine that answers at once.
pub struct PressureBed {
    /// The router.
    pub process: Process,
    /// Where it accepts clients.
    pub addresses: Addresses,
    _engine: InstantEngine,
    directory: PathBuf,
}

/// What the well-behaved clients saw.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Times from a request to its answer (us).
    pub latency_us: Histogram<u64>,
    /// Requests without an answer in time, or whose connection ended.
    pub lost: u64,
    /// Requests answered with an error.
    pub refused: u64,
}

impl Measured {
    /// Latency at a quantile from 0 to 1 (ms).
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// A unique request id.
pub fn next_request_id() -> String {
    format!("{:016x}", NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed))
}

/// A call with these fields.
pub fn call(id: u32, method: &str, fields: &[(&str, &str)], body: &str) -> Vec<u8> {
    let fields = fields.iter().map(|(key, value)| (Value::from(*key), Value::from(*value))).collect();
    let params = Value::Array(vec![Value::Map(fields), Value::Binary(body.as_bytes().to_vec())]);
    let call = Value::Array(vec![0.into(), id.into(), method.into(), params]);
    let mut bytes = Vec::new();
    // Writing to a vector cannot fail.
    let _ = rmpv::encode::write_value(&mut bytes, &call);
    bytes
}

/// A valid lookup.
pub fn lookup(id: u32) -> Vec<u8> {
    let budget = BUDGET.as_millis().to_string();
    let fields = [("rid", next_request_id()), ("budget", budget)];
    let fields: Vec<(&str, &str)> = fields.iter().map(|(key, value)| (*key, value.as_str())).collect();
    call(id, "lookup", &fields, "select a from sales_17.orders")
}

impl PressureBed {
    /// Starts a router and its engine, and waits until clients can connect.
    ///
    /// # Errors
    /// If a socket or file cannot be opened, or the router does not start.
    pub fn start(program: &Path, name: &str, limits: Limits) -> Result<PressureBed, String> {
        let context = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
        let engine = InstantEngine::start().map_err(context("engine"))?;
        let directory = std::env::temp_dir().join(format!("marljunction-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).map_err(context("directory"))?;
        let config = directory.join("config.json");
        std::fs::write(&config, router_config(engine.address(), limits).to_string())
            .map_err(context("config"))?;
        let postgres = directory.join("postgres.json");
        std::fs::write(&postgres, postgres_config(limits).to_string()).map_err(context("config"))?;
        let environment =
            [("ROUTER_CONFIG", config), ("MARLJUNCTION_POSTGRES", postgres), ("TMPDIR", directory.clone())];
        let mut process = Process::start(program, &environment, &directory.join("log"))?;
        let end = Instant::now() + START_TIMEOUT;
        let addresses = loop {
            match process.client_address().zip(process.postgres_address()) {
                Some((msgpack, postgres)) => break Addresses { msgpack, postgres },
                None if Instant::now() > end || !process.is_running() => {
                    return Err(format!("the router did not start: {}", process.log_text()));
                }
                None => std::thread::sleep(Duration::from_millis(5)),
            }
        };
        Ok(PressureBed { process, addresses, _engine: engine, directory })
    }

    /// Runs the well-behaved clients for a while.
    ///
    /// # Errors
    /// If a client cannot be started.
    pub fn measure(&self, time: Duration) -> Result<Measured, String> {
        let end = Instant::now() + time;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let address = self.addresses.msgpack;
                std::thread::spawn(move || run_client(address, end))
            })
            .collect();
        let mut all = empty_measurement()?;
        for client in clients {
            let one = client.join().map_err(|_| "a client panicked")??;
            all.latency_us.add(&one.latency_us).map_err(|e| e.to_string())?;
            (all.lost, all.refused) = (all.lost + one.lost, all.refused + one.refused);
        }
        Ok(all)
    }

    /// Peak resident memory of the router so far (MB).
    pub fn peak_memory_mb(&self) -> f64 {
        self.process.used().0 as f64 / 1_000.0
    }
}

impl Drop for PressureBed {
    fn drop(&mut self) {
        self.process.kill();
        // What is left behind is a few files in the temporary directory.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// The PostgreSQL file: sessions may use half of the descriptors.
fn postgres_config(limits: Limits) -> serde_json::Value {
    json!({"listen": "127.0.0.1:0", "class": "lookup", "columns": ["a", "b", "c"],
           "sessions": limits.sockets / 2})
}

fn router_config(engine: SocketAddr, limits: Limits) -> serde_json::Value {
    let params = SettingsParams {
        classes: &classes(),
        tenants: &[("a", 1.0)],
        cores: 64.0,
        max_retry_after_ms: 1_000,
        routers: 1,
        router_index: 0,
        cold: false,
    };
    let target = json!({"uid": "e1", "endpoint": engine.to_string(), "az": "a", "model": "std",
        "state": "in_service", "capacity_hint": 1, "boot_ms": 0});
    json!({
        "name": "r1", "listen": "127.0.0.1:0", "operator": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"all": true, "targets": [target]}}]},
        "settings": settings(&params),
    })
}

fn empty_measurement() -> Result<Measured, String> {
    let longest_us = (BUDGET + LOST_AFTER).as_micros() as u64;
    let latency_us = Histogram::new_with_max(longest_us, 3).map_err(|e| e.to_string())?;
    Ok(Measured { latency_us, lost: 0, refused: 0 })
}

/// Sends one lookup after the other until `end`.
fn run_client(address: SocketAddr, end: Instant) -> Result<Measured, String> {
    let mut measured = empty_measurement()?;
    let mut connection = None;
    let mut id = 0;
    while Instant::now() < end {
        let Some(mut open) = connection.take().or_else(|| connect(address)) else {
            std::thread::sleep(PAUSE);
            continue;
        };
        id += 1;
        let sent = Instant::now();
        let written = open.get_mut().write_all(&lookup(id));
        let answer = written.ok().and_then(|()| rmpv::decode::read_value(&mut open).ok());
        match answer {
            None => measured.lost += 1,
            Some(answer) => {
                measured.latency_us.saturating_record(sent.elapsed().as_micros() as u64);
                let is_served = answer.as_array().is_some_and(|parts| parts.get(2) == Some(&Value::Nil));
                measured.refused += u64::from(!is_served);
                connection = Some(open);
            }
        }
        std::thread::sleep(PAUSE);
    }
    Ok(measured)
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(BUDGET + LOST_AFTER)).ok()?;
    Some(BufReader::new(stream))
}
