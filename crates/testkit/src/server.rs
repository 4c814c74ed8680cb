//! Stand-ins that answer over HTTP/1.1: engines, and the coordinator.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use marljunction_net::{Net, Owner};
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};

use crate::engine::{ColdStart, CpuModel, QueryStatus};

/// Longest wait for a query's end before a note is given (ns).
const LONG_POLL_NS: u64 = 250_000_000;
/// How often load reports are made anew (ns).
const LOAD_REPORT_INTERVAL_NS: u64 = 200_000_000;
/// Answer of a query that ended.
const ROWS: &str = "a\tb\tc\n";

/// Starts listening on a free loopback port.
pub fn listen(registry: &Registry, token: usize) -> std::io::Result<(TcpListener, SocketAddr)> {
    let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    registry.register(&mut listener, Token(token), Interest::READABLE)?;
    let at = listener.local_addr()?;
    Ok((listener, at))
}

/// A call that has come whole.
pub(crate) struct HttpRequest {
    method: String,
    path: String,
    pub(crate) headers: HashMap<String, String>,
    body: String,
    pub(crate) size: usize,
}

pub(crate) fn parse_request(input: &[u8]) -> Result<Option<HttpRequest>, ()> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(input) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(()),
    };
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    let headers: HashMap<String, String> =
        request.headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect();
    let length = headers.get("content-length").map_or(Ok(0), |v| v.parse()).map_err(|_| ())?;
    if input.len() < head + length {
        return Ok(None);
    }
    Ok(Some(HttpRequest {
        method: request.method.unwrap_or("").to_owned(),
        path: request.path.unwrap_or("").to_owned(),
        headers,
        body: text(&input[head..head + length]),
        size: head + length,
    }))
}

/// A stand-in engine: its listener, its queries, and who waits for news.
pub struct Engine {
    listener: Option<TcpListener>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where lists say that it listens, where that is a link to it.
    pub advertised_address: Option<SocketAddr>,
    /// Its name.
    pub uid: String,
    cpu: CpuModel,
    conns: HashSet<u64>,
    pending_polls: Vec<(u64, String, u64)>,
    load_report: (u64, String),
    /// How often each query of a class that must not run twice was started here.
    pub at_most_once_starts: BTreeMap<String, u32>,
    /// Queries started.
    pub started: u64,
    /// Connections taken.
    pub accepted: u64,
    /// Connections whose first call started a query.
    pub opened_for_work: u64,
    unused_conns: HashSet<u64>,
    /// Connections that it data_set at most; others are closed as they come.
    pub max_connections: usize,
    /// What came while it was told to be watched: all calls that start a query.
    pub sends: Option<Vec<QueryStart>>,
    /// How cold it is; none for an engine that is warm.
    pub cold: Option<ColdStart>,
}

/// A call that starts a query, as it came.
#[derive(Clone, Debug)]
pub struct QueryStart {
    /// When (ns).
    pub at_ns: u64,
    /// The router that its statement names.
    pub router: Option<usize>,
    /// The client's id.
    pub name: String,
    /// It must not run twice.
    pub at_most_once: bool,
}

impl Engine {
    /// An engine that listens.
    pub fn new(
        registry: &Registry,
        token: usize,
        uid: &str,
        now: u64,
        cores: f64,
    ) -> std::io::Result<Engine> {
        let (listener, address) = listen(registry, token)?;
        Ok(Engine {
            listener: Some(listener),
            address,
            advertised_address: None,
            uid: uid.to_owned(),
            cpu: CpuModel::new(now, cores),
            conns: HashSet::new(),
            pending_polls: Vec::new(),
            load_report: (0, String::new()),
            at_most_once_starts: BTreeMap::new(),
            started: 0,
            accepted: 0,
            opened_for_work: 0,
            unused_conns: HashSet::new(),
            max_connections: usize::MAX,
            sends: None,
            cold: None,
        })
    }

    /// Whether a connection is one of its own.
    pub fn owns(&self, conn: u64) -> bool {
        self.conns.contains(&conn)
    }

    /// Queries that it data_set.
    pub fn query_count(&self) -> usize {
        self.cpu.query_count()
    }

    /// Whether it is there.
    pub fn is_up(&self) -> bool {
        self.listener.is_some()
    }

    /// Takes new connections.
    pub fn accept(&mut self, net: &mut Net) {
        while let Some(Ok((stream, _))) = self.listener.as_ref().map(TcpListener::accept) {
            if self.conns.len() >= self.max_connections {
                continue;
            }
            if let Ok(conn) = net.add_accepted(stream, Owner::Engine) {
                self.accepted += 1;
                self.unused_conns.insert(conn);
                self.conns.insert(conn);
            }
        }
    }

    /// The process dies: nothing listens any more, and its connections end.
    pub fn crash(&mut self, net: &mut Net) {
        self.listener = None;
        self.conns.drain().for_each(|conn| net.close(conn));
        self.pending_polls.clear();
        self.cpu = CpuModel::new(0, 0.0);
    }

    fn answer(&mut self, now: u64, net: &mut Net, conn: u64, status: &str, extra: &str, body: &str) {
        if now >= self.load_report.0 + LOAD_REPORT_INTERVAL_NS {
            let (query_count, utilization) = (self.cpu.query_count(), self.cpu.utilization());
            self.load_report = (now, format!("inflight:{query_count};util:{utilization:.2}"));
        }
        let load_report = &self.load_report.1;
        let length = body.len();
        let text = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {length}\r\nLoad-Report: {load_report}\r\n{extra}\r\n{body}"
        );
        net.send(conn, text.as_bytes());
    }

    /// Takes what has come in on one of its connections.
    pub fn ready(&mut self, now: u64, net: &mut Net, conn: u64) {
        if net.service(conn).ended.is_some() {
            self.conns.remove(&conn);
            self.unused_conns.remove(&conn);
            self.pending_polls.retain(|(c, ..)| *c != conn);
            return net.close(conn);
        }
        loop {
            match parse_request(net.input(conn)) {
                Ok(None) => return,
                Err(()) => {
                    self.conns.remove(&conn);
                    return net.close(conn);
                }
                Ok(Some(request)) => {
                    net.consume(conn, request.size);
                    self.handle_request(now, net, conn, request);
                }
            }
        }
    }

    fn handle_request(&mut self, now: u64, net: &mut Net, conn: u64, request: HttpRequest) {
        if self.unused_conns.remove(&conn) {
            self.opened_for_work += u64::from(request.method == "POST");
        }
        let parts: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
        match (request.method.as_str(), &parts[..]) {
            ("POST", ["o"]) => {
                let name = request.headers.get("request-id").cloned().unwrap_or_default();
                let parameter = |key: &str| {
                    let rest = request.body.split_once(key)?.1;
                    rest.split_whitespace().next()?.parse::<f64>().ok()
                };
                let work = parameter("work=").unwrap_or(1.0) * 1e6;
                let data_set = parameter("holds=").map(|set| set as u64);
                if let Some(sends) = &mut self.sends {
                    let router = parameter("router=").map(|at| at as usize);
                    sends.push(QueryStart {
                        at_ns: now,
                        router,
                        name: name.clone(),
                        at_most_once: data_set.is_some(),
                    });
                }
                if self.cold.as_mut().is_some_and(|cold| !cold.add_work(now, work)) {
                    return self.crash(net);
                }
                if self.cpu.is_full() {
                    return self.answer(now, net, conn, "503 Full", "Never-Ran: 1\r\n", "");
                }
                let priority = request.headers.get("pool-rank").and_then(|r| r.parse().ok()).unwrap_or(1);
                let threads = parameter("threads=").unwrap_or(1.0);
                if data_set.is_some() {
                    *self.at_most_once_starts.entry(name.clone()).or_default() += 1;
                }
                self.started += 1;
                self.cpu.start(now, &name, work, threads, priority, data_set);
                self.pending_polls.push((conn, name, now + LONG_POLL_NS));
            }
            ("GET", ["o", name, "0"]) => {
                self.pending_polls.push((conn, (*name).to_owned(), now + LONG_POLL_NS))
            }
            ("GET", ["o", ..]) => self.answer(now, net, conn, "500 No such page", "", ""),
            ("PUT", ["o", name]) => {
                self.cpu.set_priority(now, name, request.body.trim().parse().unwrap_or(1));
                self.answer(now, net, conn, "204 Done", "", "");
            }
            ("DELETE", ["o", name]) => {
                self.cpu.cancel(now, name);
                self.answer(now, net, conn, "204 Done", "", "");
            }
            _ => self.answer(now, net, conn, "500 What", "", ""),
        }
    }

    /// Passes time: answers those who wait for what has ended, or have waited long enough.
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        if !self.is_up() {
            return;
        }
        self.cpu.advance(now);
        if let Some(cold) = &self.cold {
            self.cpu.set_cores(cold.capacity(now));
        }
        for (conn, name, until) in std::mem::take(&mut self.pending_polls) {
            match self.cpu.poll(now, &name) {
                QueryStatus::Done => self.answer(now, net, conn, "200 OK", "Chunks: 1\r\n", ROWS),
                QueryStatus::Unknown => self.answer(now, net, conn, "500 Unknown", "", ""),
                QueryStatus::Running(share) if now >= until => {
                    let progress = format!("Outcome: frac\r\nReading: {share:.3}\r\n");
                    self.answer(now, net, conn, "202 Accepted", &progress, "");
                }
                QueryStatus::Running(_) => self.pending_polls.push((conn, name, until)),
            }
        }
    }

    /// When it has something to do next (ns).
    pub fn next_due_ns(&self) -> Option<u64> {
        let deadlines = self.pending_polls.iter().map(|(_, _, until)| *until).min();
        deadlines.into_iter().chain(self.cpu.next_end_ns()).min().filter(|_| self.is_up())
    }
}

/// A stand-in coordinator: numbered events to whoever follows its stream.
pub struct Coordinator {
    listener: TcpListener,
    /// Where it listens.
    pub address: SocketAddr,
    conns: HashMap<u64, bool>,
    events: Vec<(u64, String)>,
    last_comment_ns: u64,
}

impl Coordinator {
    /// A coordinator whose first event has the number `index`.
    pub fn new(registry: &Registry, token: usize) -> std::io::Result<Coordinator> {
        let (listener, address) = listen(registry, token)?;
        Ok(Coordinator { listener, address, conns: HashMap::new(), events: Vec::new(), last_comment_ns: 0 })
    }

    /// Whether a connection is one of its own.
    pub fn owns(&self, conn: u64) -> bool {
        self.conns.contains_key(&conn)
    }

    /// Takes new connections.
    pub fn accept(&mut self, net: &mut Net) {
        while let Ok((stream, _)) = self.listener.accept() {
            if let Ok(conn) = net.add_accepted(stream, Owner::Discovery) {
                self.conns.insert(conn, false);
            }
        }
    }

    /// Tells an event; `index` must be above those before.
    pub fn publish(&mut self, net: &mut Net, index: u64, data: &serde_json::Value) {
        let text = format!("id: {index}\ndata: {data}\n\n");
        for (conn, subscribed) in &self.conns {
            if *subscribed {
                net.send(*conn, text.as_bytes());
            }
        }
        self.events.push((index, text));
    }

    /// Takes what has come in on one of its connections.
    pub fn ready(&mut self, net: &mut Net, conn: u64) {
        if net.service(conn).ended.is_some() {
            self.conns.remove(&conn);
            return net.close(conn);
        }
        let Ok(Some(request)) = parse_request(net.input(conn)) else { return };
        net.consume(conn, request.size);
        let last: u64 = request.headers.get("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
        net.send(conn, b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:hi\n\n");
        for (_, text) in self.events.iter().filter(|(index, _)| *index > last) {
            net.send(conn, text.as_bytes());
        }
        self.conns.insert(conn, true);
    }

    /// Sends a comment each second.
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        if now >= self.last_comment_ns + 1_000_000_000 {
            self.last_comment_ns = now;
            for conn in self.conns.keys() {
                net.send(*conn, b":\n\n");
            }
        }
    }
}
