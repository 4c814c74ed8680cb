//! The platform's front: MessagePack-RPC, the class as the method.

use std::collections::HashMap;
use std::io::ErrorKind;

use log::debug;
use rmpv::decode::read_value_with_max_depth;
use rmpv::encode::write_value;
use rmpv::Value;

use super::{Directory, ANSWER_MARGIN_NS, MESSAGE_MOST};
use crate::interface::RequestId;
use crate::net::Net;
use crate::router::ending::Ending;
use crate::router::statement::Statement;
use crate::router::{Answer, Ask, Client, Router};

/// Requests that a connection may have open.
const OPEN_ON_CONN: usize = 32;
/// Nesting of values in a message, as the library counts it: two for a list or a map and three for a text, so
/// nine for a request. Guards against a message that nests until the stack ends.
const DEPTH: usize = 16;

/// A client's message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A call with its number, method, fields and body.
    Call(u32, String, Vec<(String, String)>, Vec<u8>),
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
    let mut rest = input;
    let value = match read_value_with_max_depth(&mut rest, DEPTH) {
        Ok(value) => value,
        Err(e) if e.kind() == ErrorKind::UnexpectedEof && input.len() <= MESSAGE_MOST => return Ok(None),
        Err(e) => return Err(e.to_string()),
    };
    let size = input.len() - rest.len();
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
                Some(Value::Binary(body)) => body.clone(),
                Some(Value::String(body)) => body.as_bytes().to_vec(),
                _ => Vec::new(),
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
    open: HashMap<u32, RequestId>,
}

/// The front.
pub struct MsgpackFront {
    directory: Directory,
    callers: HashMap<u64, Caller>,
}

impl MsgpackFront {
    /// No clients yet.
    pub fn new(directory: Directory) -> Self {
        MsgpackFront { directory, callers: HashMap::new() }
    }

    /// A client has connected.
    pub fn accept(&mut self, conn: u64) {
        self.callers.insert(conn, Caller::default());
    }

    /// The client with no open request that connected first, if there is one.
    pub fn idle(&self) -> Option<u64> {
        self.callers.iter().filter(|(_, c)| c.open.is_empty()).map(|(conn, _)| *conn).min()
    }

    /// A connection is over: nobody waits for what was open on it.
    pub fn close(&mut self, net: &mut Net, router: &mut Router, conn: u64, ending: Ending) {
        if let Some(caller) = self.callers.remove(&conn) {
            let mut open: Vec<RequestId> = caller.open.into_values().collect();
            open.sort_unstable();
            open.into_iter().for_each(|id| router.leave(id, Ending::ClientGone));
            router.counters.ended(ending);
        }
        net.close(conn);
    }

    /// Takes what a client has sent.
    pub fn ready(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64) {
        // Guards against running what a client sent that has gone since: nobody waits for it.
        if net.service(conn).ended.is_some() {
            return self.close(net, router, conn, Ending::ClientGone);
        }
        loop {
            match read_message(net.input(conn)) {
                Ok(None) => break,
                Ok(Some((message, size))) => {
                    net.consume(conn, size);
                    self.message(now, net, router, conn, message);
                }
                Err(fault) => {
                    debug!("a client's message: {fault}");
                    router.counters.rejected += 1;
                    return self.close(net, router, conn, Ending::Garbled);
                }
            }
        }
    }

    fn message(&mut self, now: u64, net: &mut Net, router: &mut Router, conn: u64, message: Message) {
        let Some(caller) = self.callers.get_mut(&conn) else { return };
        let answer = match message {
            Message::Unknown => return,
            Message::Forget(id) => {
                if let Some(request) = caller.open.remove(&id) {
                    router.leave(request, Ending::Forgotten);
                }
                return;
            }
            Message::Call(id, method, _, _) if method == "isWell" => {
                let well = Value::Array(vec![true.into(), Value::Map(Vec::new())]);
                reply(id.into(), Value::Nil, well)
            }
            // A second call by an open call's number could only be answered in that one's place.
            Message::Call(id, ..) if caller.open.contains_key(&id) => {
                router.counters.rejected += 1;
                return;
            }
            Message::Call(id, method, fields, body) => match self.directory.read(&method, &fields, body) {
                Err(fault) => {
                    router.counters.rejected += 1;
                    error(id.into(), "Malformed", &[("why", fault)])
                }
                Ok(_) if caller.open.len() >= OPEN_ON_CONN || !router.has_room() => {
                    router.counters.rejected += 1;
                    error(id.into(), "Backoff", &[("backoff", "200".into())])
                }
                Ok(ask) => {
                    let request = router.take(now, Client { conn, call: id.into() }, ask);
                    caller.open.insert(id, request);
                    return;
                }
            },
        };
        if !net.send(conn, &answer) {
            self.close(net, router, conn, Ending::Garbled);
        }
    }

    /// Gives a request its final answer.
    pub fn answer(&mut self, net: &mut Net, router: &mut Router, client: Client, answer: Answer) {
        let Some(caller) = self.callers.get_mut(&client.conn) else { return };
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
            self.close(net, router, client.conn, Ending::Garbled);
        }
    }
}

impl Directory {
    /// Reads a call into what is asked.
    fn read(&self, method: &str, fields: &[(String, String)], body: Vec<u8>) -> Result<Ask, String> {
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
        let budget_ns = number("budget")?.map_or(self.deadline_ns(class), |ms| (ms * 1e6) as u64);
        let tenant = match field("acct") {
            None => None,
            Some(name) => Some(self.tenant(name).ok_or_else(|| format!("unknown tenant {name:?}"))?),
        };
        Ok(Ask {
            name: name.to_owned(),
            class,
            tenant,
            time_left_ns: budget_ns.min(1 << 52).saturating_sub(ANSWER_MARGIN_NS),
            work_estimate_ns: number("est")?.map(|ms| (ms * 1e6) as u64).filter(|w| *w > 0),
            memory_estimate_mb: number("mem")?.filter(|m| *m > 0.0),
            statement: Statement::plain(body),
        })
    }
}
