//! The front for MessagePack-RPC clients. The method of a call is the request's class.

use std::collections::HashMap;

use log::debug;
use rmpv::decode::read_value_with_max_depth;
use rmpv::encode::write_value;
use rmpv::Value;

use super::{Directory, ANSWER_MARGIN_NS, MAX_MESSAGE_BYTES};
use marljunction_control::interface::RequestId;
use marljunction_core::end_reason::EndReason;
use marljunction_core::statement::Statement;
use marljunction_core::{Answer, Client, ClientRequest, Router};
use marljunction_fair_queue::settings::ClientKey;
use marljunction_net::phase::ClosePolicy;
use marljunction_net::Net;
use std::net::IpAddr;

/// Maximum number of open requests per connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Maximum nesting of values in a message, which bounds the decoder's recursion. The library counts
/// two levels for a list or map and three for a string; a valid request has nine.
const MAX_DEPTH: usize = 16;

/// Timeout for a client's first call, and for the rest of a partial message on a connection without
/// open requests.
const RECEIVE_TIMEOUT_NS: u64 = 2_000_000_000;
/// Time for which a new connection is not evicted, so that its first call can arrive.
const EVICTION_GRACE_NS: u64 = 250_000_000;
/// Maximum number of messages handled per read of a connection.
const MAX_MESSAGES_PER_READ: usize = 64;
/// Number of consecutive rejected messages after which a connection is closed.
const MAX_REJECTED_IN_ROW: u32 = 100;
/// Retry delay of a call that is not accepted as a request (ms).
const UNACCEPTED_BACKOFF_MS: u64 = 200;
/// Maximum length of a deduplication token.
const MAX_TOKEN_BYTES: usize = 64;
/// A client's time budget may exceed its class's deadline by this factor, because clients round it.
const DEADLINE_TOLERANCE: f64 = 1.01;

/// The length of the message at the start of an input buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameLength {
    /// The message is complete and has this many bytes.
    Complete(usize),
    /// The message is incomplete and has at least this many bytes.
    AtLeast(usize),
}

/// Determines the length of the message at the start of `input` from its tags and lengths, without
/// decoding values.
///
/// # Errors
/// Returns an error as soon as the stated lengths exceed [`MAX_MESSAGE_BYTES`], or a tag is
/// invalid.
pub fn frame_length(input: &[u8]) -> Result<FrameLength, String> {
    // `pending_values` counts the values that are still to be scanned, with the one at `at`.
    let (mut at, mut pending_values) = (0_usize, 1_usize);
    while pending_values > 0 {
        if at + pending_values > MAX_MESSAGE_BYTES {
            return Err("the message is too long".into());
        }
        let Some(&tag) = input.get(at) else { return Ok(FrameLength::AtLeast(at + pending_values)) };
        let size = |bytes: usize| {
            let digits = input.get(at + 1..at + 1 + bytes)?;
            Some(digits.iter().fold(0_usize, |n, b| n << 8 | usize::from(*b)))
        };
        // Size of the tag and the length field, size of the data, and number of nested values.
        let (head, length, nested) = match tag {
            0x00..=0x7f | 0xc0 | 0xc2 | 0xc3 | 0xe0..=0xff => (1, Some(0), 0),
            0x80..=0x8f => (1, Some(0), 2 * usize::from(tag & 15)),
            0x90..=0x9f => (1, Some(0), usize::from(tag & 15)),
            0xa0..=0xbf => (1, Some(usize::from(tag & 31)), 0),
            0xc4 | 0xd9 => (2, size(1), 0),
            0xc5 | 0xda => (3, size(2), 0),
            0xc6 | 0xdb => (5, size(4), 0),
            0xc7..=0xc9 => (1 + (1 << (tag - 0xc7)), size(1 << (tag - 0xc7)).map(|n| n + 1), 0),
            0xca | 0xce | 0xd2 => (5, Some(0), 0),
            0xcb | 0xcf | 0xd3 => (9, Some(0), 0),
            0xcc | 0xd0 => (2, Some(0), 0),
            0xcd | 0xd1 => (3, Some(0), 0),
            0xd4..=0xd8 => (2 + (1 << (tag - 0xd4)), Some(0), 0),
            0xdc | 0xde => (3, Some(0), size(2).unwrap_or(0) * (1 + usize::from(tag == 0xde))),
            0xdd | 0xdf => (5, Some(0), size(4).unwrap_or(0) * (1 + usize::from(tag == 0xdf))),
            0xc1 => return Err("no such type".into()),
        };
        at += head + length.unwrap_or(0);
        pending_values = pending_values - 1 + nested;
        if at + pending_values > MAX_MESSAGE_BYTES {
            return Err("the message is too long".into());
        }
        if input.len() < at {
            return Ok(FrameLength::AtLeast(at + pending_values));
        }
    }
    Ok(FrameLength::Complete(at))
}

/// A client's message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A call: message id, method, fields and body.
    Call(u32, String, Vec<(String, String)>, Option<Vec<u8>>),
    /// The client no longer waits for the call with this message id.
    Forget(u32),
    /// An unknown notification, which is ignored.
    Unknown,
}

fn text(value: &Value) -> Option<String> {
    match value {
        Value::String(s) => s.as_str().map(str::to_owned),
        Value::Binary(b) => String::from_utf8(b.clone()).ok(),
        _ => None,
    }
}

/// Parses the message at the start of `input`. Returns it with its size, or `None` if it is
/// incomplete.
///
/// # Errors
/// Returns the reason why the message is invalid.
pub fn read_message(input: &[u8]) -> Result<Option<(Message, usize)>, String> {
    let FrameLength::Complete(size) = frame_length(input)? else { return Ok(None) };
    let value = read_value_with_max_depth(&mut &input[..size], MAX_DEPTH).map_err(|e| e.to_string())?;
    let parts = value.as_array().ok_or("not an array")?.as_slice();
    let number = |v: &Value| v.as_u64().and_then(|n| u32::try_from(n).ok());
    let message = match (parts.first().and_then(Value::as_u64), parts) {
        (Some(0), [_, id, method, params]) => {
            let id = number(id).ok_or("bad message id")?;
            let method = text(method).ok_or("bad method")?;
            let params = params.as_array().ok_or("bad parameters")?;
            let fields = params.first().and_then(Value::as_map).map_or(&[][..], Vec::as_slice);
            let fields = fields.iter().filter_map(|(k, v)| Some((text(k)?, text(v)?))).collect();
            let body = match params.get(1) {
                Some(Value::Binary(body)) => Some(body.clone()),
                Some(Value::String(body)) => Some(body.as_bytes().to_vec()),
                _ => None,
            };
            Message::Call(id, method, fields, body)
        }
        (Some(2), [_, method, params]) if text(method).as_deref() == Some("forget") => {
            let id = params.as_array().and_then(|p| p.first()).and_then(number).ok_or("bad forget")?;
            Message::Forget(id)
        }
        (Some(2), [_, _, _]) => Message::Unknown,
        _ => return Err("neither call nor notice".into()),
    };
    Ok(Some((message, size)))
}

fn reply(id: u64, error: Value, result: Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to a vector cannot fail.
    let _ = write_value(&mut bytes, &Value::Array(vec![1.into(), id.into(), error, result]));
    bytes
}

fn error(id: u64, code: &str, fields: &[(&str, String)]) -> Vec<u8> {
    let fields = fields.iter().map(|(k, v)| (Value::from(*k), Value::from(v.as_str()))).collect();
    reply(id, Value::Array(vec![code.into(), Value::Map(fields)]), Value::Nil)
}

/// The answer to a call that is not accepted as a request.
fn backoff(id: u32) -> Vec<u8> {
    error(id.into(), "Backoff", &[("backoff", UNACCEPTED_BACKOFF_MS.to_string())])
}

#[derive(Default)]
struct Connection {
    /// The id of the client's address.
    peer: u64,
    open_requests: HashMap<u32, RequestId>,
    /// When the client last connected, sent a call or was answered (ns).
    active_ns: u64,
    /// When the last request was accepted (ns).
    last_request_ns: Option<u64>,
    /// The client has sent a valid call.
    has_called: bool,
    /// A partial message: when it was first seen (ns), and its minimum size.
    partial: Option<(u64, usize)>,
    /// Consecutive rejected messages.
    rejected: u32,
    /// Messages remain in the input that no event will announce.
    unread: bool,
}

impl Connection {
    /// Since when the client owes input, for its first call or the rest of a message (ns). `None`
    /// while a request is open: closing the connection would lose the answer.
    fn awaits_input_since_ns(&self) -> Option<u64> {
        if !self.open_requests.is_empty() {
            return None;
        }
        match self.partial {
            Some((since_ns, _)) if self.has_called => Some(since_ns.max(self.active_ns)),
            None if self.has_called => None,
            _ => Some(self.active_ns),
        }
    }

    /// Returns whether the close policy selects this connection. A new one has time for its first
    /// call.
    fn is_selected(&self, policy: ClosePolicy, now: u64) -> bool {
        if !self.open_requests.is_empty() {
            return false;
        }
        if policy.is_forced() && self.has_called {
            return true;
        }
        let is_answered = policy.closes_answered() && self.has_called;
        let between_messages = self.partial.is_none() && !self.unread;
        between_messages && (is_answered || policy.closes_idle(now, self.active_ns))
    }
}

/// The front for MessagePack clients.
pub struct MsgpackFront {
    directory: Directory,
    connections: HashMap<u64, Connection>,
    /// The answer to `isWell`: whether to send new connections here.
    well: bool,
    close_policy: ClosePolicy,
}

impl MsgpackFront {
    /// Creates a front without clients.
    pub fn new(directory: Directory) -> Self {
        MsgpackFront {
            directory,
            connections: HashMap::new(),
            well: true,
            close_policy: ClosePolicy::default(),
        }
    }

    /// Sets the answer to `isWell`, by which balancers decide whether to send new connections here.
    pub fn set_well(&mut self, well: bool) {
        self.well = well;
    }

    /// Sets which connections are closed by [`close_idle`](Self::close_idle), or once answered.
    pub fn set_close_policy(&mut self, close_policy: ClosePolicy) {
        self.close_policy = close_policy;
    }

    /// Adds an accepted client connection.
    pub fn accept(&mut self, now: u64, conn: u64, peer: IpAddr) {
        let peer = self.directory.peer(peer);
        self.connections.insert(conn, Connection { peer, active_ns: now, ..Connection::default() });
    }

    /// Returns the connection to evict for a new one, if any. Connections with open requests,
    /// unread messages or queued output are not evicted, nor are new ones within
    /// [`EVICTION_GRACE_NS`]. Clients without a call, or whose last message was rejected, come
    /// first, then the least recently active.
    pub fn eviction_candidate(&self, now: u64, net: &Net) -> Option<u64> {
        let grace_over = |c: &Connection| c.has_called || now > c.active_ns + EVICTION_GRACE_NS;
        let is_evictable = |conn: &u64, c: &Connection| {
            c.open_requests.is_empty() && !c.unread && grace_over(c) && net.drained(*conn)
        };
        let candidates = self.connections.iter().filter(|(conn, c)| is_evictable(conn, c));
        candidates
            .min_by_key(|(conn, c)| (c.has_called && c.rejected == 0, c.active_ns, **conn))
            .map(|(conn, _)| *conn)
    }

    /// Returns whether messages remain in a connection's input that no event will announce.
    pub fn has_more(&self, conn: u64) -> bool {
        self.connections.get(&conn).is_some_and(|c| c.unread)
    }

    /// Closes connections that sent no call or only a partial message within
    /// [`RECEIVE_TIMEOUT_NS`]. A connection with open requests is kept until they are answered.
    pub fn tick(&mut self, now: u64, net: &mut Net, router: &mut Router) {
        let timed_out = |c: &Connection| {
            c.awaits_input_since_ns().is_some_and(|since_ns| now > since_ns + RECEIVE_TIMEOUT_NS)
        };
        let mut to_close: Vec<u64> =
            self.connections.iter().filter(|(_, c)| timed_out(c)).map(|(c, _)| *c).collect();
        to_close.sort_unstable();
        for conn in to_close {
            if self.still_matches(now, net, router, conn, timed_out) {
                router.counters.rejected += 1;
                self.close(net, router, conn, EndReason::Silent);
            }
        }
    }

    /// Reads a connection that is about to be closed, and returns whether `condition` still holds.
    /// A request may have arrived since the last read.
    fn still_matches(
        &mut self,
        now: u64,
        net: &mut Net,
        router: &mut Router,
        conn: u64,
        condition: impl Fn(&Connection) -> bool,
    ) -> bool {
        self.ready(now, net, router, conn);
        self.connections.get(&conn).is_some_and(condition)
    }

    /// Closes the connections that the close policy selects.
    pub fn close_idle(&mut self, now: u64, net: &mut Net, router: &mut Router) {
        let policy = self.close_policy;
        let selected = self.connections.iter().filter(|(_, c)| c.is_selected(policy, now));
        let mut to_close: Vec<u64> = selected.map(|(conn, _)| *conn).collect();
        to_close.sort_unstable();
        for conn in to_close {
            self.close_if_selected(now, net, router, conn);
        }
    }

    /// Closes a connection if the close policy selects it and all output is written.
    fn close_if_selected(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64) {
        let policy = self.close_policy;
        let is_selected = self.still_matches(now, net, router, conn, |c| c.is_selected(policy, now));
        let may_close = net.drained(conn) && (policy.is_forced() || net.input(conn).is_empty());
        if is_selected && may_close {
            self.remove_connection(router, conn, EndReason::Idle);
            net.close_after_flush(now, conn);
        }
    }

    /// Answers an invalid message with the reason, and closes the connection.
    fn reject_and_close(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64, why: &str) {
        debug!("invalid message from a client: {why}");
        router.counters.rejected += 1;
        // The message ids of calls start at 1, so 0 refers to none.
        if net.send(conn, &error(0, "Malformed", &[("why", why.to_owned())])) {
            self.remove_connection(router, conn, EndReason::Garbled);
            net.close_after_flush(now, conn);
        } else {
            self.close(net, router, conn, EndReason::Garbled);
        }
    }

    /// Closes a connection and cancels its open requests.
    pub fn close(&mut self, net: &mut Net, router: &mut Router, conn: u64, end_reason: EndReason) {
        self.remove_connection(router, conn, end_reason);
        net.close(conn);
    }

    fn remove_connection(&mut self, router: &mut Router, conn: u64, end_reason: EndReason) {
        if let Some(connection) = self.connections.remove(&conn) {
            let mut open_requests: Vec<RequestId> = connection.open_requests.into_values().collect();
            open_requests.sort_unstable();
            open_requests.into_iter().for_each(|id| router.client_left(id, EndReason::ClientGone));
            router.counters.ended(end_reason);
        }
    }

    /// Handles the messages that a client has sent.
    pub fn ready(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64) {
        // Requests of a disconnected client must not run.
        if let Some(end_reason) = net.service(conn).ended {
            return self.close(net, router, conn, end_reason.for_client_connection());
        }
        // Other connections are served between the batches of one client.
        for _ in 0..MAX_MESSAGES_PER_READ {
            let input = net.input(conn);
            let Some(connection) = self.connections.get_mut(&conn) else { return };
            connection.unread = false;
            if connection.partial.is_some_and(|(_, min_bytes)| input.len() < min_bytes) {
                return;
            }
            match read_message(input) {
                Ok(None) => {
                    let since = connection.partial.map_or(now, |p| p.0);
                    let min_bytes =
                        frame_length(input)
                            .map_or(0, |e| if let FrameLength::AtLeast(n) = e { n } else { 0 });
                    connection.partial = (!input.is_empty()).then_some((since, min_bytes));
                    return;
                }
                Ok(Some((message, size))) => {
                    connection.partial = None;
                    net.consume(conn, size);
                    self.message(now, net, router, conn, message);
                }
                Err(reason) => return self.reject_and_close(now, net, router, conn, &reason),
            }
        }
        let rest = !net.input(conn).is_empty();
        self.connections.entry(conn).and_modify(|c| c.unread = rest);
    }

    fn message(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64, message: Message) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if let Message::Call(..) = message {
            (connection.has_called, connection.active_ns) = (true, now);
        }
        let has_open_request = !connection.open_requests.is_empty();
        let accepts_request = self.close_policy.accepts_request(connection.last_request_ns, has_open_request);
        let rejected = connection.rejected;
        connection.rejected += 1;
        let answer = match message {
            Message::Unknown => return,
            Message::Forget(id) => {
                connection.rejected = rejected;
                if let Some(request) = connection.open_requests.remove(&id) {
                    router.client_left(request, EndReason::Forgotten);
                }
                return;
            }
            Message::Call(id, method, _, _) if method == "isWell" => {
                connection.rejected = rejected;
                let well = Value::Array(vec![self.well.into(), Value::Map(Vec::new())]);
                reply(id.into(), Value::Nil, well)
            }
            // The answers of two open calls with one message id could not be told apart.
            Message::Call(id, ..) if connection.open_requests.contains_key(&id) => {
                return self.reject_and_close(now, net, router, conn, "the number of an open call");
            }
            // Closes clients that retry rejected calls without pause.
            Message::Call(..) if rejected >= MAX_REJECTED_IN_ROW => {
                return self.reject_and_close(now, net, router, conn, "turned away too often");
            }
            Message::Call(id, method, fields, body) => {
                match self.directory.parse_request(connection.peer, &method, &fields, body) {
                    Err(reason) => {
                        router.counters.rejected += 1;
                        error(id.into(), "Malformed", &[("why", reason)])
                    }
                    // Engines identify a query by this id alone.
                    Ok(client_request) if router.has_open_request(&client_request.name) => {
                        router.counters.rejected += 1;
                        error(id.into(), "Malformed", &[("why", "the rid is an open request's".into())])
                    }
                    Ok(_) if connection.open_requests.len() >= MAX_OPEN_REQUESTS => {
                        router.counters.rejected += 1;
                        backoff(id)
                    }
                    Ok(_) if !router.has_capacity() || !accepts_request => {
                        connection.rejected = rejected;
                        router.counters.rejected += 1;
                        backoff(id)
                    }
                    Ok(client_request) => {
                        connection.rejected = 0;
                        connection.last_request_ns = Some(now);
                        let request =
                            router.accept_request(now, Client { conn, call: id.into() }, client_request);
                        connection.open_requests.insert(id, request);
                        return;
                    }
                }
            }
        };
        if !net.send(conn, &answer) {
            self.close(net, router, conn, EndReason::Garbled);
        }
    }

    /// Sends the final answer to a request.
    pub fn answer(&mut self, now: u64, net: &mut Net, router: &mut Router, client: Client, answer: Answer) {
        let Some(connection) = self.connections.get_mut(&client.conn) else { return };
        connection.active_ns = now;
        if connection.open_requests.remove(&(client.call as u32)).is_none() {
            return;
        }
        let bytes = match answer {
            Answer::Served(rows) => {
                let result = vec![Value::Binary(rows.into_text()), Value::Map(Vec::new())];
                reply(client.call, Value::Nil, Value::Array(result))
            }
            Answer::Refused { backoff_ms, .. } => {
                error(client.call, "Backoff", &[("backoff", backoff_ms.to_string())])
            }
            Answer::Failed(last_end_reason, _) => {
                let why = last_end_reason.map_or_else(String::new, |e| format!("{e:?}"));
                error(client.call, "Lost", &[("why", why)])
            }
        };
        if !net.send(client.conn, &bytes) {
            return self.close(net, router, client.conn, EndReason::Garbled);
        }
        if self.close_policy.closes_answered() {
            self.close_if_selected(now, net, router, client.conn);
        }
    }
}

impl Directory {
    /// Converts a call into a request.
    fn parse_request(
        &self,
        peer: u64,
        method: &str,
        fields: &[(String, String)],
        body: Option<Vec<u8>>,
    ) -> Result<ClientRequest, String> {
        let class = self.class(method).ok_or_else(|| format!("unknown class {method:?}"))?;
        let field = |name: &str| fields.iter().find(|(k, _)| k == name).map(|(_, v)| v.as_str());
        let number = |name: &str| match field(name) {
            None => Ok(None),
            Some(v) => match v.parse::<f64>() {
                Ok(n) if n.is_finite() && n >= 0.0 => Ok(Some(n)),
                _ => Err(format!("bad {name}")),
            },
        };
        let name = field("rid").ok_or("no rid")?;
        if name.len() != 16 || !name.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err("bad rid".into());
        }
        // No client of a class waits longer than the class's deadline.
        let max_budget = self.deadline_ns(class) as f64 * DEADLINE_TOLERANCE;
        let budget = number("budget")?.ok_or("no budget")? * 1e6;
        let budget_ns = Some(budget).filter(|b| *b > 0.0 && *b <= max_budget).ok_or("bad budget")? as u64;
        let token = field("token").map(str::to_owned);
        // The token is sent to engines as an HTTP header.
        let is_valid = |t: &String| {
            (1..=MAX_TOKEN_BYTES).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_alphanumeric())
        };
        if !token.iter().all(is_valid) {
            return Err("bad token".into());
        }
        // Engines cannot recognise a repeat without a token; all attempts have the request's id.
        let token = token.or_else(|| self.deduplicates(class).then(|| name.to_owned()));
        let hex = |v: &str| (1..=16).contains(&v.len()) && v.bytes().all(|b| b.is_ascii_hexdigit());
        let key = |v: &str| u64::from_str_radix(v, 16).ok().filter(|_| hex(v)).ok_or("bad obj");
        let order_key = field("obj").map(key).transpose()?;
        let work = number("est")?.map(|ms| (ms * 1e6) as u64);
        if work == Some(0) {
            return Err("bad est".into());
        }
        let tenant = match field("acct") {
            None => None,
            Some(name) => Some(self.tenant(name).ok_or_else(|| format!("unknown tenant {name:?}"))?),
        };
        Ok(ClientRequest {
            name: name.to_owned(),
            token,
            class,
            order_key,
            tenant,
            client: self.client(peer, |client_key| {
                if let ClientKey::Field(name) = client_key {
                    field(name)
                } else {
                    None
                }
            }),
            time_left_ns: budget_ns.saturating_sub(ANSWER_MARGIN_NS),
            work_estimate_ns: work,
            memory_estimate_mb: number("mem")?.filter(|m| *m > 0.0),
            statement: Statement::plain(body.ok_or("no statement")?),
        })
    }
}
