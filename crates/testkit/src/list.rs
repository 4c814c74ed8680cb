//! A stand-in list service: the coordinator's stream for a whole fleet, with one endpoint per
//! router. Its call rate is limited, and faults can be injected.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use marljunction_net::{Net, Owner};
use mio::net::TcpListener;
use mio::Registry;
use serde_json::Value;

use crate::server::{listen, parse_request};

const COMMENT_INTERVAL_NS: u64 = 1_000_000_000;

/// Behavior of the list service.
#[derive(Clone, Debug, PartialEq)]
pub enum Behavior {
    /// Accepts calls within its capacity.
    Normal,
    /// Resets each connection when it is accepted.
    Unavailable,
    /// Accepts connections and sends nothing.
    NoResponse,
    /// Rejects all calls with this `Retry-After`.
    Rejecting(String),
    /// Closes each stream this long after its start (ns).
    ClosesAfter(u64),
    /// Responds with invalid HTTP.
    InvalidResponse,
    /// Closes each connection after half of the response head.
    TruncatedResponse,
}

/// A call of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Time of the call (ns).
    pub at_ns: u64,
    /// Index of the calling router.
    pub router: usize,
    /// Whether the call was accepted.
    pub accepted: bool,
}

/// A router's connection.
#[derive(Debug)]
struct Subscriber {
    router: usize,
    subscribed_ns: Option<u64>,
}

/// Listening endpoint of one router.
#[derive(Debug)]
struct RouterEndpoint {
    listener: TcpListener,
    address: SocketAddr,
    /// Nothing passes in either direction; connections stay open.
    partitioned: bool,
}

/// A stand-in list service.
#[derive(Debug)]
pub struct ListService {
    endpoints: Vec<RouterEndpoint>,
    first_token: usize,
    behavior: Behavior,
    /// Rate and burst of the accepted calls (per second).
    capacity: f64,
    tokens: f64,
    refilled_at_ns: u64,
    subscribers: HashMap<u64, Subscriber>,
    events: Vec<(u64, String, Vec<String>)>,
    last_comment_ns: u64,
    /// All calls in order.
    pub calls: Vec<CallRecord>,
    /// Time of the first notification of an engine's drain or removal, by router and engine.
    pub notified_ns: BTreeMap<(usize, String), u64>,
    /// Start of each router's open stream.
    connected: Vec<Option<u64>>,
}

impl ListService {
    /// A service with one endpoint per router, at poll tokens from `first_token`. It accepts
    /// `capacity` calls per second, with bursts of the same size.
    ///
    /// # Errors
    /// If no port is available.
    pub fn new(
        registry: &Registry,
        first_token: usize,
        routers: usize,
        capacity: f64,
    ) -> std::io::Result<ListService> {
        let mut endpoints = Vec::new();
        for i in 0..routers {
            let (listener, address) = listen(registry, first_token + i)?;
            endpoints.push(RouterEndpoint { listener, address, partitioned: false });
        }
        Ok(ListService {
            endpoints,
            first_token,
            behavior: Behavior::Normal,
            capacity,
            tokens: capacity,
            refilled_at_ns: 0,
            subscribers: HashMap::new(),
            events: Vec::new(),
            last_comment_ns: 0,
            calls: Vec::new(),
            notified_ns: BTreeMap::new(),
            connected: vec![None; routers],
        })
    }

    /// Address for a router.
    pub fn address(&self, router: usize) -> SocketAddr {
        self.endpoints[router].address
    }

    /// Whether the token belongs to one of the endpoints.
    pub fn has_token(&self, token: usize) -> bool {
        (self.first_token..self.first_token + self.endpoints.len()).contains(&token)
    }

    /// Whether a connection belongs to this service.
    pub fn owns(&self, conn: u64) -> bool {
        self.subscribers.contains_key(&conn)
    }

    /// Number of routers with an open stream.
    pub fn connected(&self) -> usize {
        self.connected.iter().flatten().count()
    }

    /// Start of a router's open stream.
    pub fn connected_since(&self, router: usize) -> Option<u64> {
        self.connected[router]
    }

    /// Sets the calls accepted per second.
    pub fn set_capacity(&mut self, capacity: f64) {
        (self.capacity, self.tokens) = (capacity, self.tokens.min(capacity));
    }

    /// Sets the behavior. `Unavailable` closes all connections and refills the token bucket.
    pub fn set_behavior(&mut self, net: &mut Net, behavior: Behavior) {
        if behavior == Behavior::Unavailable {
            self.close_all_streams(net);
            self.tokens = self.capacity;
        }
        self.behavior = behavior;
    }

    /// Closes all connections.
    pub fn close_all_streams(&mut self, net: &mut Net) {
        self.close_where(net, |_| true);
    }

    /// Closes the connections of one router.
    pub fn close_streams_of(&mut self, net: &mut Net, router: usize) {
        self.close_where(net, |subscriber| subscriber.router == router);
    }

    fn close_where(&mut self, net: &mut Net, condition: impl Fn(&Subscriber) -> bool) {
        let conns = self.subscribers.iter().filter(|(_, subscriber)| condition(subscriber));
        let conns: Vec<u64> = conns.map(|(conn, _)| *conn).collect();
        conns.into_iter().for_each(|conn| self.close(net, conn));
    }

    /// Restarts the service, with event numbers from 1 and the current list.
    pub fn restart(&mut self, net: &mut Net, list: &Value) {
        self.close_all_streams(net);
        self.events.clear();
        self.publish(0, net, list, &[]);
    }

    /// Starts or ends a partition of a router. Input that arrives meanwhile is processed at its
    /// end, by [`ListService::deliver_delayed`].
    pub fn set_partitioned(&mut self, router: usize, partitioned: bool) {
        self.endpoints[router].partitioned = partitioned;
    }

    fn close(&mut self, net: &mut Net, conn: u64) {
        if let Some(subscriber) = self.subscribers.remove(&conn) {
            let others =
                self.subscribers.values().any(|f| f.router == subscriber.router && f.subscribed_ns.is_some());
            if subscriber.subscribed_ns.is_some() && !others {
                self.connected[subscriber.router] = None;
            }
        }
        net.close(conn);
    }

    /// Accepts new connections at a router's endpoint.
    pub fn accept(&mut self, now: u64, net: &mut Net, token: usize) {
        let router = token - self.first_token;
        while let Ok((stream, _)) = self.endpoints[router].listener.accept() {
            // Closing a connection resets it if its owner is an engine.
            let owner = if self.behavior == Behavior::Unavailable { Owner::Engine } else { Owner::Discovery };
            let Ok(conn) = net.add_accepted(stream, owner) else { continue };
            if self.behavior == Behavior::Unavailable {
                self.calls.push(CallRecord { at_ns: now, router, accepted: false });
                net.close(conn);
            } else {
                self.subscribers.insert(conn, Subscriber { router, subscribed_ns: None });
            }
        }
    }

    fn accepts(&mut self, now: u64) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_at_ns) as f64 / 1e9;
        self.tokens = (self.tokens + elapsed_s * self.capacity).min(self.capacity);
        self.refilled_at_ns = now;
        let accepts = self.tokens >= 1.0;
        self.tokens -= if accepts { 1.0 } else { 0.0 };
        accepts
    }

    /// Publishes an event of the list and returns its number. `leaving` names the engines that it
    /// drains or removes.
    pub fn publish(&mut self, now: u64, net: &mut Net, list: &Value, leaving: &[String]) -> u64 {
        let index = self.events.last().map_or(1, |(index, ..)| index + 1);
        let data = serde_json::json!({"index": index, "endpoints": list});
        let text = format!("id: {index}\ndata: {data}\n\n");
        for (conn, subscriber) in &self.subscribers {
            if subscriber.subscribed_ns.is_some() && !self.endpoints[subscriber.router].partitioned {
                net.send(*conn, text.as_bytes());
                record_notified(&mut self.notified_ns, now, subscriber.router, leaving);
            }
        }
        self.events.push((index, text, leaving.to_vec()));
        index
    }

    /// Processes the input of a connection.
    pub fn ready(&mut self, now: u64, net: &mut Net, conn: u64) {
        let Some(subscriber) = self.subscribers.get(&conn) else { return };
        let router = subscriber.router;
        if self.endpoints[router].partitioned {
            return;
        }
        if net.service(conn).ended.is_some() {
            return self.close(net, conn);
        }
        let Ok(Some(request)) = parse_request(net.input(conn)) else { return };
        net.consume(conn, request.size);
        let accepts =
            matches!(self.behavior, Behavior::Normal | Behavior::ClosesAfter(_)) && self.accepts(now);
        self.calls.push(CallRecord { at_ns: now, router, accepted: accepts });
        let rejection = |after: &str| {
            format!(
                "HTTP/1.1 503 Busy\r\nRetry-After: {after}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
        };
        match &self.behavior {
            Behavior::NoResponse => return,
            Behavior::InvalidResponse => {
                net.send(conn, b"\x00\xff\xfe\r\nnonsense\r\n\r\n");
                return self.close(net, conn);
            }
            Behavior::TruncatedResponse => {
                net.send(conn, b"HTTP/1.1 200 OK\r\nContent-Ty");
                return self.close(net, conn);
            }
            Behavior::Rejecting(after) => {
                net.send(conn, rejection(after).as_bytes());
                return self.close(net, conn);
            }
            _ if !accepts => {
                net.send(conn, rejection("1").as_bytes());
                return self.close(net, conn);
            }
            _ => {}
        }
        let last: u64 = request.headers.get("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
        // A router that is ahead of the service receives all events.
        let newest = self.events.last().map_or(0, |(index, ..)| *index);
        let resume_after = if last > newest { 0 } else { last };
        net.send(conn, b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:hi\n\n");
        for (_, text, leaving) in self.events.iter().filter(|(index, ..)| *index > resume_after) {
            net.send(conn, text.as_bytes());
            record_notified(&mut self.notified_ns, now, router, leaving);
        }
        if let Some(subscriber) = self.subscribers.get_mut(&conn) {
            subscriber.subscribed_ns = Some(now);
        }
        self.connected[router] = Some(now);
    }

    /// Advances the time: sends a comment every second and closes streams whose time is over.
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        if let Behavior::ClosesAfter(after) = self.behavior {
            self.close_where(net, |f| f.subscribed_ns.is_some_and(|since| now >= since + after));
        }
        if now < self.last_comment_ns + COMMENT_INTERVAL_NS || self.behavior == Behavior::NoResponse {
            return;
        }
        self.last_comment_ns = now;
        for (conn, subscriber) in &self.subscribers {
            if subscriber.subscribed_ns.is_some() && !self.endpoints[subscriber.router].partitioned {
                net.send(*conn, b":\n\n");
            }
        }
    }

    /// Processes the input that arrived during a partition.
    pub fn deliver_delayed(&mut self, now: u64, net: &mut Net, router: usize) {
        let conns: Vec<u64> =
            self.subscribers.iter().filter(|(_, f)| f.router == router).map(|(c, _)| *c).collect();
        conns.into_iter().for_each(|conn| self.ready(now, net, conn));
    }
}

fn record_notified(
    notified_ns: &mut BTreeMap<(usize, String), u64>,
    now: u64,
    router: usize,
    leaving: &[String],
) {
    for uid in leaving {
        notified_ns.entry((router, uid.clone())).or_insert(now);
    }
}
