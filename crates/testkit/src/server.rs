//! Stand-in engines and a stand-in coordinator, reachable over HTTP/1.1.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use marljunction_net::{Net, Owner};
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};

use crate::engine::{ColdStart, CpuModel, QueryStatus};

/// Longest time that a poll waits for the end of its query.
const LONG_POLL_NS: u64 = 250_000_000;
const LOAD_REPORT_INTERVAL_NS: u64 = 200_000_000;
/// Response body of a completed query.
const ROWS: &str = "a\tb\tc\n";

/// Any free loopback port.
const FREE_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// Listens on a free loopback port.
pub fn listen(registry: &Registry, token: usize) -> std::io::Result<(TcpListener, SocketAddr)> {
    listen_at(registry, token, FREE_PORT.into())
}

fn listen_at(
    registry: &Registry,
    token: usize,
    address: SocketAddr,
) -> std::io::Result<(TcpListener, SocketAddr)> {
    let mut listener = TcpListener::bind(address)?;
    registry.register(&mut listener, Token(token), Interest::READABLE)?;
    let at = listener.local_addr()?;
    Ok((listener, at))
}

/// A complete request.
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

/// A stand-in engine.
pub struct Engine {
    listener: Option<TcpListener>,
    /// Listening address.
    pub address: SocketAddr,
    /// Address on the engine list if it differs from `address`, such as that of a link.
    pub advertised_address: Option<SocketAddr>,
    /// Name on the engine list.
    pub uid: String,
    cpu: CpuModel,
    conns: HashSet<u64>,
    pending_polls: Vec<(u64, String, u64)>,
    load_report: (u64, String),
    /// Number of starts of each at-most-once query.
    pub at_most_once_starts: BTreeMap<String, u32>,
    /// Number of queries started.
    pub started: u64,
    /// Number of connections accepted.
    pub accepted: u64,
    /// Number of connections whose first request started a query.
    pub opened_for_work: u64,
    unused_conns: HashSet<u64>,
    /// Further connections are closed when they are accepted.
    pub max_connections: usize,
    /// Records query starts if it is set.
    pub sends: Option<Vec<QueryStart>>,
    /// Warmup of the engine; `None` if it is warm.
    pub cold: Option<ColdStart>,
}

/// A request that started a query.
#[derive(Clone, Debug)]
pub struct QueryStart {
    /// Time of the request (ns).
    pub at_ns: u64,
    /// Router index in the statement.
    pub router: Option<usize>,
    /// Request ID set by the client.
    pub name: String,
    /// Whether the query must run at most once.
    pub at_most_once: bool,
}

impl Engine {
    /// An engine that listens on a free port.
    pub fn new(
        registry: &Registry,
        token: usize,
        uid: &str,
        now: u64,
        cores: f64,
    ) -> std::io::Result<Engine> {
        Engine::at(registry, token, uid, FREE_PORT.into(), now, cores)
    }

    /// An engine that listens on this address.
    pub fn at(
        registry: &Registry,
        token: usize,
        uid: &str,
        address: SocketAddr,
        now: u64,
        cores: f64,
    ) -> std::io::Result<Engine> {
        let (listener, address) = listen_at(registry, token, address)?;
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

    /// Whether a connection belongs to this engine.
    pub fn owns(&self, conn: u64) -> bool {
        self.conns.contains(&conn)
    }

    /// Number of running queries.
    pub fn query_count(&self) -> usize {
        self.cpu.query_count()
    }

    /// Whether the engine has not crashed.
    pub fn is_up(&self) -> bool {
        self.listener.is_some()
    }

    /// Accepts new connections.
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

    /// Stops listening and closes all connections, as the end of the process would.
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

    /// Processes the input of a connection.
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

    /// Advances the time. Answers polls whose query completed or whose wait is over.
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

    /// Time of the next completion or poll response.
    pub fn next_due_ns(&self) -> Option<u64> {
        let deadlines = self.pending_polls.iter().map(|(_, _, until)| *until).min();
        deadlines.into_iter().chain(self.cpu.next_end_ns()).min().filter(|_| self.is_up())
    }
}

/// A stand-in coordinator that streams numbered events.
pub struct Coordinator {
    listener: TcpListener,
    /// Listening address.
    pub address: SocketAddr,
    conns: HashMap<u64, bool>,
    events: Vec<(u64, String)>,
    last_comment_ns: u64,
}

impl Coordinator {
    /// A coordinator that listens on a free port.
    pub fn new(registry: &Registry, token: usize) -> std::io::Result<Coordinator> {
        let (listener, address) = listen(registry, token)?;
        Ok(Coordinator { listener, address, conns: HashMap::new(), events: Vec::new(), last_comment_ns: 0 })
    }

    /// Whether a connection belongs to the coordinator.
    pub fn owns(&self, conn: u64) -> bool {
        self.conns.contains_key(&conn)
    }

    /// Accepts new connections.
    pub fn accept(&mut self, net: &mut Net) {
        while let Ok((stream, _)) = self.listener.accept() {
            if let Ok(conn) = net.add_accepted(stream, Owner::Discovery) {
                self.conns.insert(conn, false);
            }
        }
    }

    /// Sends an event to all subscribers. `index` must increase.
    pub fn publish(&mut self, net: &mut Net, index: u64, data: &serde_json::Value) {
        let text = format!("id: {index}\ndata: {data}\n\n");
        for (conn, subscribed) in &self.conns {
            if *subscribed {
                net.send(*conn, text.as_bytes());
            }
        }
        self.events.push((index, text));
    }

    /// Processes the input of a connection.
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

    /// Sends a comment on each connection once per second.
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        if now >= self.last_comment_ns + 1_000_000_000 {
            self.last_comment_ns = now;
            for conn in self.conns.keys() {
                net.send(*conn, b":\n\n");
            }
        }
    }
}
