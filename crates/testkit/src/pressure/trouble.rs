//! Clients that press on a router.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use rmpv::Value;

use super::{call, lookup, next_request_id, postgres, Addresses};

/// Fields of a call with a head of very many short fields, about 62 KB.
const MANY_FIELDS: usize = 15_500;
/// Threads of a trouble with many connections: one waits a second for each connection that the full
/// backlog of the listener drops.
const THREADS: usize = 100;
/// Threads that write whole heads: more would take the processors from the router.
const HEAD_WRITERS: usize = 4;
/// Calls written at once by a client that does not pause.
const CALLS_PER_WRITE: usize = 256;
/// Interval after which closed connections are opened again.
const REOPEN_PERIOD: Duration = Duration::from_millis(200);
/// Longest wait of a pressing client for an answer, so that it notices its stop.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// A way to press on a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// None.
    Calm,
    /// This many clients stop half way in a head of very many short fields.
    HalfHeads(usize),
    /// This many clients stop half way in a large statement.
    HalfStatements(usize),
    /// This many clients have a request open, and stop half way in their next message.
    HalfHeadsBesideRequests(usize),
    /// This many clients send heads of very many short fields whole, one after another.
    WholeHeads(usize),
    /// One client sends `isWell` without pause.
    Readiness,
    /// One client sends `forget` without pause.
    Forget,
    /// One client sends unknown notifications without pause.
    UnknownNotifications,
    /// One client sends invalid calls without pause, and comes back when it is closed.
    InvalidCalls,
    /// One client sends calls of ever new classes and tenants without pause.
    NewNames,
    /// This many PostgreSQL sessions stop half way in a large query.
    HalfQueries(usize),
    /// One PostgreSQL session ends empty extended queries without pause.
    Syncs,
    /// One PostgreSQL session sends queries without pause that are refused before they run.
    InvalidQueries,
    /// One PostgreSQL session sets ever new parameters without pause.
    NewParameters,
    /// One client writes a deeply nested message a byte at a time.
    NestedBytes,
}

/// Pressing clients; they stop when this value is dropped.
pub struct Pressure {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Drop for Pressure {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A panic of a pressing client is no result of the measurement.
            let _ = thread.join();
        }
    }
}

impl Trouble {
    /// Starts the clients.
    pub fn start(self, addresses: Addresses) -> Pressure {
        let stopped = Arc::new(AtomicBool::new(false));
        let threads = (0..self.threads())
            .map(|_| {
                let stopped = stopped.clone();
                std::thread::spawn(move || self.run(addresses, &stopped))
            })
            .collect();
        Pressure { stopped, threads }
    }

    fn threads(self) -> usize {
        match self {
            Trouble::HalfHeads(_)
            | Trouble::HalfStatements(_)
            | Trouble::HalfHeadsBesideRequests(_)
            | Trouble::HalfQueries(_) => THREADS,
            Trouble::WholeHeads(_) => HEAD_WRITERS,
            _ => 1,
        }
    }

    fn run(self, addresses: Addresses, stopped: &AtomicBool) {
        let address = addresses.msgpack;
        match self {
            Trouble::Calm => {}
            Trouble::HalfHeads(count) => {
                let bytes = half(many_fields(1));
                hold_open(address, stopped, count / THREADS, || bytes.clone());
            }
            Trouble::HalfStatements(count) => {
                let statement = format!("select /* {} */ 1", "x".repeat(60_000));
                let name = next_request_id();
                let call = call(1, "lookup", &[("rid", &name), ("budget", "4000")], &statement);
                let bytes = half(call);
                hold_open(address, stopped, count / THREADS, || bytes.clone());
            }
            Trouble::HalfHeadsBesideRequests(count) => {
                let half = half(many_fields(2));
                hold_open(address, stopped, count / THREADS, || [lookup(1), half.clone()].concat());
            }
            Trouble::WholeHeads(count) => send_heads(address, stopped, count / HEAD_WRITERS),
            Trouble::Readiness => flood(address, stopped, |id| call(id, "isWell", &[], "")),
            Trouble::Forget => flood(address, stopped, |id| notification("forget", id)),
            Trouble::UnknownNotifications => flood(address, stopped, |id| notification("hello", id)),
            Trouble::InvalidCalls => flood(address, stopped, |id| call(id, "lookup", &[("rid", "x")], "")),
            Trouble::NewNames => flood(address, stopped, |id| {
                let name = next_request_id();
                let fields = [("rid", name.as_str()), ("budget", "4000"), ("acct", name.as_str())];
                let class = if id % 2 == 0 { name.as_str() } else { "lookup" };
                call(id, class, &fields, "select 1")
            }),
            Trouble::NestedBytes => write_nested(address, stopped),
            Trouble::HalfQueries(_) | Trouble::Syncs | Trouble::InvalidQueries | Trouble::NewParameters => {
                self.run_session(addresses.postgres, stopped)
            }
        }
    }
}

impl Trouble {
    /// Runs a PostgreSQL client.
    fn run_session(self, address: SocketAddr, stopped: &AtomicBool) {
        match self {
            Trouble::HalfQueries(count) => {
                let text = format!("select /* {} */ 1", "x".repeat(60_000));
                let bytes = [postgres::startup(), half(postgres::query(&text))].concat();
                hold_open(address, stopped, count / THREADS, || bytes.clone());
            }
            Trouble::Syncs => {
                flood_after(address, stopped, &postgres::startup(), |_| postgres::sync());
            }
            Trouble::InvalidQueries => {
                flood_after(address, stopped, &postgres::startup(), |_| postgres::query("begin"));
            }
            Trouble::NewParameters => flood_after(address, stopped, &postgres::startup(), |id| {
                postgres::query(&format!("set application_{id} = '{}'", next_request_id()))
            }),
            _ => {}
        }
    }
}

/// A call whose head has very many short fields.
fn many_fields(id: u32) -> Vec<u8> {
    let name = next_request_id();
    let mut fields: Vec<(&str, &str)> = vec![("a", "b"); MANY_FIELDS];
    fields.push(("rid", &name));
    call(id, "lookup", &fields, "select 1")
}

fn half(mut message: Vec<u8>) -> Vec<u8> {
    message.truncate(message.len() / 2);
    message
}

fn notification(method: &str, id: u32) -> Vec<u8> {
    let message = Value::Array(vec![2.into(), method.into(), Value::Array(vec![id.into()])]);
    let mut bytes = Vec::new();
    // Writing to a vector cannot fail.
    let _ = rmpv::encode::write_value(&mut bytes, &message);
    bytes
}

/// Opens a connection that sends at once and does not wait for long.
fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(READ_TIMEOUT)).ok()?;
    Some(stream)
}

/// Whether the router has closed a connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

/// Keeps this many connections open that have sent what `bytes` returns.
fn hold_open(address: SocketAddr, stopped: &AtomicBool, count: usize, bytes: impl Fn() -> Vec<u8>) {
    let mut open: Vec<TcpStream> = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        open.retain(|stream| !is_closed(stream));
        while open.len() < count && !stopped.load(Ordering::Relaxed) {
            let Some(mut stream) = connect(address) else { break };
            if stream.write_all(&bytes()).is_ok() {
                open.push(stream);
            }
        }
        std::thread::sleep(REOPEN_PERIOD);
    }
}

/// Sends whole heads in turn on this many connections.
fn send_heads(address: SocketAddr, stopped: &AtomicBool, count: usize) {
    let mut open: Vec<Option<TcpStream>> = (0..count).map(|_| connect(address)).collect();
    // Invalid, so that it is answered at once and its message id can be used again.
    let head = many_fields(1);
    while !stopped.load(Ordering::Relaxed) {
        for connection in &mut open {
            if stopped.load(Ordering::Relaxed) {
                return;
            }
            let Some(mut stream) = connection.take().or_else(|| connect(address)) else { continue };
            let is_written = stream.write_all(&head).is_ok();
            // The answers are small; they are dropped in passing.
            let _ = stream.set_nonblocking(true);
            let is_open = !matches!(stream.read(&mut [0; 4_096]), Ok(0));
            let _ = stream.set_nonblocking(false);
            *connection = Some(stream).filter(|_| is_written && is_open);
        }
    }
}

/// Sends messages on one connection without pause, and reads all answers.
fn flood(address: SocketAddr, stopped: &AtomicBool, message: impl Fn(u32) -> Vec<u8>) {
    flood_after(address, stopped, &[], message);
}

/// As [`flood`], with `first` sent ahead on each connection.
fn flood_after(address: SocketAddr, stopped: &AtomicBool, first: &[u8], message: impl Fn(u32) -> Vec<u8>) {
    let mut id = 0;
    while !stopped.load(Ordering::Relaxed) {
        let Some(mut stream) = connect(address) else { continue };
        if stream.write_all(first).is_err() {
            continue;
        }
        let Ok(mut reader) = stream.try_clone() else { continue };
        let drain = std::thread::spawn(move || {
            let mut buffer = vec![0; 64 << 10];
            loop {
                match reader.read(&mut buffer) {
                    Ok(0) => return,
                    Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
                    _ => {}
                }
            }
        });
        while !stopped.load(Ordering::Relaxed) {
            let batch: Vec<u8> = (0..CALLS_PER_WRITE as u32).flat_map(|at| message(id + at)).collect();
            id = id.wrapping_add(CALLS_PER_WRITE as u32) % (u32::MAX / 2);
            if write_fully(&mut stream, stopped, &batch).is_none() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        // The reader ends with the connection.
        let _ = drain.join();
    }
}

/// Writes all bytes, however long the router leaves them unread. `None` if the connection ended or
/// the client is stopped.
fn write_fully(stream: &mut TcpStream, stopped: &AtomicBool, mut bytes: &[u8]) -> Option<()> {
    while !bytes.is_empty() {
        match stream.write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
        if stopped.load(Ordering::Relaxed) {
            return None;
        }
    }
    Some(())
}

/// Writes messages of nested arrays a byte at a time.
fn write_nested(address: SocketAddr, stopped: &AtomicBool) {
    while !stopped.load(Ordering::Relaxed) {
        let Some(mut stream) = connect(address) else { continue };
        let mut is_open = true;
        while is_open && !stopped.load(Ordering::Relaxed) {
            is_open = stream.write_all(b"\x91").is_ok();
        }
    }
}
