//! The platform's front: MessagePack-RPC, the class as the method.

use std::collections::HashMap;

use log::debug;
use rmpv::decode::read_value_with_max_depth;
use rmpv::encode::write_value;
use rmpv::Value;

use super::{Directory, ANSWER_MARGIN_NS, MESSAGE_MOST};
use marljunction_control::interface::RequestId;
use marljunction_core::end_reason::EndReason;
use marljunction_core::statement::Statement;
use marljunction_core::{Answer, Client, ClientRequest, Router};
use marljunction_fair_queue::settings::ClientKey;
use marljunction_net::Net;
use std::net::IpAddr;

/// Requests that a connection may have open.
const OPEN_ON_CONN: usize = 32;
/// Nesting of values in a message, as the library counts it: two for a list or a map and three for a text, so
/// nine for a request. Guards against a message that nests until the stack ends.
const DEPTH: usize = 16;

/// Time in which a client must have made its first call, and in which a message must have come whole (ns): a
/// connection that says nothing holds a descriptor that others need.
const SILENT_NS: u64 = 2_000_000_000;
/// Time in which a new connection makes no room for others (ns): its first call is on its way.
const FRESH_NS: u64 = 250_000_000;
/// Messages of one connection that are taken in one round (count).
const TAKEN_MOST: usize = 64;
/// Messages in a row that are turned away on one connection before it is closed (count).
const REJECTED_MOST: u32 = 100;
/// Longest token by which engines drop repeats (bytes).
const TOKEN_MOST: usize = 64;
/// A client's time may pass its class's deadline by this factor: it is rounded.
const BUDGET_SLACK: f64 = 1.01;

/// How much of a message has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// All of it: so many bytes.
    Whole(usize),
    /// Not all; it can't be whole before this many bytes have come.
    Needs(usize),
}

/// Looks how far the message at the front of `input` goes, by its lengths alone. Guards against lengths that no
/// message has: they are turned away before what they claim has come, and nothing is decoded before it is whole.
pub fn extent(input: &[u8]) -> Result<Extent, String> {
    // Values that are to come, besides the one at `at`.
    let (mut at, mut values) = (0_usize, 1_usize);
    while values > 0 {
        if at + values > MESSAGE_MOST {
            return Err("the message is too long".into());
        }
        let Some(&tag) = input.get(at) else { return Ok(Extent::Needs(at + values)) };
        let size = |bytes: usize| {
            let digits = input.get(at + 1..at + 1 + bytes)?;
            Some(digits.iter().fold(0_usize, |n, b| n << 8 | usize::from(*b)))
        };
        // Bytes of the tag and the length, bytes behind them, and values within.
        let (head, length, within) = match tag {
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
        values = values - 1 + within;
        if at + values > MESSAGE_MOST {
            return Err("the message is too long".into());
        }
        if input.len() < at {
            return Ok(Extent::Needs(at + values));
        }
    }
    Ok(Extent::Whole(at))
}

/// A client's message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A call with its number, method, fields and body.
    Call(u32, String, Vec<(String, String)>, Option<Vec<u8>>),
    /// The client waits no longer for a call.
    Forget(u32),
    /// A notice that means nothing here.
    Unknown,
}

fn text(value: &Value) -> Option<String> {
    match value {
        Value::String(s) => s.as_str().map(str::to_owned),
        Value::Binary(b) => String::from_utf8(b.clone()).ok(),
        _ => None,
    }
}

/// Reads one message off the front of `input`, with its size; nothing where it has not come whole.
pub fn read_message(input: &[u8]) -> Result<Option<(Message, usize)>, String> {
    let Extent::Whole(size) = extent(input)? else { return Ok(None) };
    let value = read_value_with_max_depth(&mut &input[..size], DEPTH).map_err(|e| e.to_string())?;
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
    // Writing to a vector can't fail.
    let _ = write_value(&mut bytes, &Value::Array(vec![1.into(), id.into(), error, result]));
    bytes
}

fn error(id: u64, word: &str, fields: &[(&str, String)]) -> Vec<u8> {
    let fields = fields.iter().map(|(k, v)| (Value::from(*k), Value::from(v.as_str()))).collect();
    reply(id, Value::Array(vec![word.into(), Value::Map(fields)]), Value::Nil)
}

#[derive(Default)]
struct Caller {
    /// The number of its address.
    peer: u64,
    open: HashMap<u32, RequestId>,
    /// When it last did something: connected, called, or was answered.
    since_ns: u64,
    /// It has made a call that could be read.
    called: bool,
    /// Since when a message has been coming, and bytes that it needs at least.
    partial: Option<(u64, usize)>,
    /// Messages turned away in a row.
    rejected: u32,
    /// It has sent more than was taken in this round.
    more: bool,
}

/// The front.
pub struct MsgpackFront {
    directory: Directory,
    callers: HashMap<u64, Caller>,
    /// What `isWell` answers: whether the process is ready to serve.
    well: bool,
}

impl MsgpackFront {
    /// No clients yet.
    pub fn new(directory: Directory) -> Self {
        MsgpackFront { directory, callers: HashMap::new(), well: true }
    }

    /// Says from now on whether the process is ready to serve: a drained or stopping one is not, so that the front
    /// sends new connections elsewhere.
    pub fn set_well(&mut self, well: bool) {
        self.well = well;
    }

    /// A client has connected.
    pub fn accept(&mut self, now: u64, conn: u64, peer: IpAddr) {
        let peer = self.directory.peer(peer);
        self.callers.insert(conn, Caller { peer, since_ns: now, ..Caller::default() });
    }

    /// The client with no open request that makes room for another: one that has had its time to call and did
    /// not, if there is one, or was turned away last, else the one that did nothing for longest. Guards against
    /// clients that lose their connections to those that only connect, and against a crowd that comes at once,
    /// in which each would push out the one before it with its call under way; and against an answer that is cut off, as its
    /// client reads slowly.
    pub fn idle(&self, now: u64, net: &Net) -> Option<u64> {
        let settled = |c: &Caller| c.called || now > c.since_ns + FRESH_NS;
        let free = |conn: &u64, c: &Caller| c.open.is_empty() && !c.more && settled(c) && net.drained(*conn);
        let idle = self.callers.iter().filter(|(conn, c)| free(conn, c));
        idle.min_by_key(|(conn, c)| (c.called && c.rejected == 0, c.since_ns, **conn)).map(|(conn, _)| *conn)
    }

    /// Whether a connection has sent messages that were not taken yet.
    pub fn has_more(&self, conn: u64) -> bool {
        self.callers.get(&conn).is_some_and(|c| c.more)
    }

    /// Guards against connections that say nothing, or only half of something.
    pub fn tick(&mut self, now: u64, net: &mut Net, router: &mut Router) {
        let late = |since: u64| now > since + SILENT_NS;
        let silent = |c: &Caller| !c.called && late(c.since_ns) || c.partial.is_some_and(|p| late(p.0));
        let mut over: Vec<u64> = self.callers.iter().filter(|(_, c)| silent(c)).map(|(c, _)| *c).collect();
        over.sort_unstable();
        for conn in over {
            if self.is_still(now, net, router, conn, silent) {
                router.counters.rejected += 1;
                self.close(net, router, conn, EndReason::Silent);
            }
        }
    }

    /// Looks at a client once more that is about to be closed for what it does not do. Guards against closing it on a request
    /// that has come since it was last looked at.
    fn is_still(
        &mut self,
        now: u64,
        net: &mut Net,
        router: &mut Router,
        conn: u64,
        so: impl Fn(&Caller) -> bool,
    ) -> bool {
        self.ready(now, net, router, conn);
        self.callers.get(&conn).is_some_and(so)
    }

    /// Ends the connections of clients that have nothing open, half-sent, untaken or unwritten, where
    /// `closes` says so of the time when each was last busy: a drained or stopping router sends its clients
    /// elsewhere so.
    pub fn close_quiet(
        &mut self,
        now: u64,
        net: &mut Net,
        router: &mut Router,
        closes: impl Fn(u64) -> bool,
    ) {
        let quiet = |c: &Caller| c.open.is_empty() && c.partial.is_none() && !c.more && closes(c.since_ns);
        let mut over: Vec<u64> = self.callers.iter().filter(|(_, c)| quiet(c)).map(|(c, _)| *c).collect();
        over.sort_unstable();
        for conn in over {
            if self.is_still(now, net, router, conn, quiet) && net.input(conn).is_empty() && net.drained(conn)
            {
                self.forget(router, conn, EndReason::Idle);
                net.finish(now, conn);
            }
        }
    }

    /// Tells a client why and ends its connection.
    fn end(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64, why: &str) {
        debug!("a client's message: {why}");
        router.counters.rejected += 1;
        // Numbers start at 1: 0 is no call's.
        if net.send(conn, &error(0, "Malformed", &[("why", why.to_owned())])) {
            self.forget(router, conn, EndReason::Garbled);
            net.finish(now, conn);
        } else {
            self.close(net, router, conn, EndReason::Garbled);
        }
    }

    /// A connection is over: nobody waits for what was open on it.
    pub fn close(&mut self, net: &mut Net, router: &mut Router, conn: u64, end_reason: EndReason) {
        self.forget(router, conn, end_reason);
        net.close(conn);
    }

    fn forget(&mut self, router: &mut Router, conn: u64, end_reason: EndReason) {
        if let Some(caller) = self.callers.remove(&conn) {
            let mut open: Vec<RequestId> = caller.open.into_values().collect();
            open.sort_unstable();
            open.into_iter().for_each(|id| router.client_left(id, EndReason::ClientGone));
            router.counters.ended(end_reason);
        }
    }

    /// Takes what a client has sent.
    pub fn ready(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64) {
        // Guards against running what a client sent that has gone since: nobody waits for it.
        if let Some(end_reason) = net.service(conn).ended {
            return self.close(net, router, conn, end_reason.for_client_connection());
        }
        // Guards against a client that sends without end: others have their turn between its messages.
        for _ in 0..TAKEN_MOST {
            let input = net.input(conn);
            let Some(caller) = self.callers.get_mut(&conn) else { return };
            caller.more = false;
            if caller.partial.is_some_and(|(_, needs)| input.len() < needs) {
                return;
            }
            match read_message(input) {
                Ok(None) => {
                    let since = caller.partial.map_or(now, |p| p.0);
                    let needs = extent(input).map_or(0, |e| if let Extent::Needs(n) = e { n } else { 0 });
                    caller.partial = (!input.is_empty()).then_some((since, needs));
                    return;
                }
                Ok(Some((message, size))) => {
                    caller.partial = None;
                    net.consume(conn, size);
                    self.message(now, net, router, conn, message);
                }
                Err(fault) => return self.end(now, net, router, conn, &fault),
            }
        }
        let rest = !net.input(conn).is_empty();
        self.callers.entry(conn).and_modify(|c| c.more = rest);
    }

    fn message(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64, message: Message) {
        let Some(caller) = self.callers.get_mut(&conn) else { return };
        if let Message::Call(..) = message {
            (caller.called, caller.since_ns) = (true, now);
        }
        let rejected = caller.rejected;
        caller.rejected += 1;
        let answer = match message {
            Message::Unknown => return,
            Message::Forget(id) => {
                caller.rejected = rejected;
                if let Some(request) = caller.open.remove(&id) {
                    router.client_left(request, EndReason::Forgotten);
                }
                return;
            }
            Message::Call(id, method, _, _) if method == "isWell" => {
                caller.rejected = rejected;
                let well = Value::Array(vec![self.well.into(), Value::Map(Vec::new())]);
                reply(id.into(), Value::Nil, well)
            }
            // A second call by an open call's number could only be answered in that one's place.
            Message::Call(id, ..) if caller.open.contains_key(&id) => {
                return self.end(now, net, router, conn, "the number of an open call");
            }
            // Guards against a client that asks the same again as fast as it is turned away.
            Message::Call(..) if rejected >= REJECTED_MOST => {
                return self.end(now, net, router, conn, "turned away too often");
            }
            Message::Call(id, method, fields, body) => {
                match self.directory.read(caller.peer, &method, &fields, body) {
                    Err(fault) => {
                        router.counters.rejected += 1;
                        error(id.into(), "Malformed", &[("why", fault)])
                    }
                    // Guards against a query that is taken for another client's: engines know it by this id alone.
                    Ok(client_request) if router.has_open_request(&client_request.name) => {
                        router.counters.rejected += 1;
                        error(id.into(), "Malformed", &[("why", "the rid is an open request's".into())])
                    }
                    Ok(_) if caller.open.len() >= OPEN_ON_CONN || !router.has_capacity() => {
                        if caller.open.len() < OPEN_ON_CONN {
                            caller.rejected = rejected;
                        }
                        router.counters.rejected += 1;
                        error(id.into(), "Backoff", &[("backoff", "200".into())])
                    }
                    Ok(client_request) => {
                        caller.rejected = 0;
                        let request =
                            router.accept_request(now, Client { conn, call: id.into() }, client_request);
                        caller.open.insert(id, request);
                        return;
                    }
                }
            }
        };
        if !net.send(conn, &answer) {
            self.close(net, router, conn, EndReason::Garbled);
        }
    }

    /// Gives a request its final answer.
    pub fn answer(&mut self, now: u64, net: &mut Net, router: &mut Router, client: Client, answer: Answer) {
        let Some(caller) = self.callers.get_mut(&client.conn) else { return };
        caller.since_ns = now;
        if caller.open.remove(&(client.call as u32)).is_none() {
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
            Answer::Failed(after, _) => {
                let why = after.map_or_else(String::new, |e| format!("{e:?}"));
                error(client.call, "Lost", &[("why", why)])
            }
        };
        if !net.send(client.conn, &bytes) {
            self.close(net, router, client.conn, EndReason::Garbled);
        }
    }
}

impl Directory {
    /// Reads a call into what is asked.
    fn read(
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
        // Guards against times that no client of the class has: none waits past its deadline.
        let longest = self.deadline_ns(class) as f64 * BUDGET_SLACK;
        let budget = number("budget")?.ok_or("no budget")? * 1e6;
        let budget_ns = Some(budget).filter(|b| *b > 0.0 && *b <= longest).ok_or("bad budget")? as u64;
        let token = field("token").map(str::to_owned);
        // Guards against a token that could not stand in a head of HTTP.
        let fits =
            |t: &String| (1..=TOKEN_MOST).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_alphanumeric());
        if !token.iter().all(fits) {
            return Err("bad token".into());
        }
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
            client: self
                .client(peer, |who| if let ClientKey::Field(name) = who { field(name) } else { None }),
            time_left_ns: budget_ns.saturating_sub(ANSWER_MARGIN_NS),
            work_estimate_ns: work,
            memory_estimate_mb: number("mem")?.filter(|m| *m > 0.0),
            statement: Statement::plain(body.ok_or("no statement")?),
        })
    }
}
