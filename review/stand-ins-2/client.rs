//! A MessagePack-RPC client, as the protocol page describes it.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::Duration;

use super::record::Record;

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// A request id that no other request of this process has.
pub fn new_request_id() -> String {
    let number = LAST_ID.fetch_add(1, Ordering::Relaxed) + 1;
    let seed = u64::from(std::process::id()) << 32;
    format!("{:016x}", (seed + number).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A decoded MessagePack value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Number(u64),
    Bytes(Vec<u8>),
    List(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

impl Value {
    /// The text of a string or binary value.
    pub fn text(&self) -> String {
        match self {
            Value::Bytes(bytes) => String::from_utf8_lossy(bytes).into_owned(),
            other => format!("{other:?}"),
        }
    }
}

fn decode(input: &[u8], at: &mut usize) -> Option<Value> {
    let tag = *input.get(*at)?;
    *at += 1;
    let number = |bytes: usize, at: &mut usize| {
        let digits = input.get(*at..*at + bytes)?;
        *at += bytes;
        Some(digits.iter().fold(0_u64, |n, b| n << 8 | u64::from(*b)))
    };
    let (kind, count) = match tag {
        0x00..=0x7f => return Some(Value::Number(u64::from(tag))),
        0x80..=0x8f => ('m', u64::from(tag & 15)),
        0x90..=0x9f => ('l', u64::from(tag & 15)),
        0xa0..=0xbf => ('b', u64::from(tag & 31)),
        0xc0 => return Some(Value::Nil),
        0xc2 | 0xc3 => return Some(Value::Bool(tag == 0xc3)),
        0xc4 | 0xd9 => ('b', number(1, at)?),
        0xc5 | 0xda => ('b', number(2, at)?),
        0xc6 | 0xdb => ('b', number(4, at)?),
        0xcc => return Some(Value::Number(number(1, at)?)),
        0xcd => return Some(Value::Number(number(2, at)?)),
        0xce => return Some(Value::Number(number(4, at)?)),
        0xcf => return Some(Value::Number(number(8, at)?)),
        0xdc => ('l', number(2, at)?),
        0xdd => ('l', number(4, at)?),
        0xde => ('m', number(2, at)?),
        0xdf => ('m', number(4, at)?),
        _ => panic!("the router sent a value of type {tag:#x}"),
    };
    match kind {
        'b' => {
            let bytes = input.get(*at..*at + count as usize)?.to_vec();
            *at += count as usize;
            Some(Value::Bytes(bytes))
        }
        'l' => (0..count).map(|_| decode(input, at)).collect::<Option<_>>().map(Value::List),
        _ => (0..count)
            .map(|_| Some((decode(input, at)?, decode(input, at)?)))
            .collect::<Option<_>>()
            .map(Value::Map),
    }
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    out.push(0xd9);
    out.push(text.len() as u8);
    out.extend_from_slice(text.as_bytes());
}

/// Encodes a request: number on its connection, class, fields, statement.
pub fn request(number: u32, class: &str, fields: &[(&str, String)], statement: &str) -> Vec<u8> {
    let mut out = vec![0x94, 0x00, 0xce];
    out.extend_from_slice(&number.to_be_bytes());
    put_text(&mut out, class);
    out.push(0x92);
    out.push(0x80 | fields.len() as u8);
    for (name, value) in fields {
        put_text(&mut out, name);
        put_text(&mut out, value);
    }
    out.push(0xc5);
    out.extend_from_slice(&(statement.len() as u16).to_be_bytes());
    out.extend_from_slice(statement.as_bytes());
    out
}

/// Encodes the question whether the router is well.
pub fn is_well(number: u32) -> Vec<u8> {
    let mut out = vec![0x94, 0x00, 0xce];
    out.extend_from_slice(&number.to_be_bytes());
    put_text(&mut out, "isWell");
    out.extend_from_slice(&[0x91, 0x80]);
    out
}

/// What came on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Incoming {
    /// The answer to the request of this number: `served ROWS`, `Backoff` or another error's name.
    Answer(u32, String),
    /// The router ended the connection.
    End(String),
}

/// A connection to a router.
pub struct Connection {
    stream: TcpStream,
    incoming: Receiver<Incoming>,
}

impl Connection {
    /// Connects to a router.
    pub fn open(address: &str) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let mut reader = stream.try_clone()?;
        let (send, incoming) = channel();
        std::thread::spawn(move || {
            let (mut input, mut buffer) = (Vec::new(), [0; 16 << 10]);
            loop {
                let end = match reader.read(&mut buffer) {
                    Ok(0) => "closed".to_owned(),
                    Ok(count) => {
                        input.extend_from_slice(&buffer[..count]);
                        let mut at = 0;
                        while let Some(value) = decode(&input, &mut at) {
                            let _ = send.send(answer(value));
                            input.drain(..at);
                            at = 0;
                        }
                        continue;
                    }
                    Err(error) => error.to_string(),
                };
                let _ = send.send(Incoming::End(end));
                return;
            }
        });
        Ok(Connection { stream, incoming })
    }

    /// Writes bytes; returns false if the connection has ended.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Waits for what comes next; `None` if nothing comes in that time.
    pub fn next(&self, time: Duration) -> Option<Incoming> {
        match self.incoming.recv_timeout(time) {
            Ok(incoming) => Some(incoming),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => Some(Incoming::End("ended before".into())),
        }
    }

    /// Closes the connection.
    pub fn close(self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

fn answer(value: Value) -> Incoming {
    let Value::List(parts) = value else { panic!("the router sent no list") };
    let [_, Value::Number(number), error, result] = &parts[..] else {
        panic!("the router sent no answer: {parts:?}")
    };
    let text = match (error, result) {
        (Value::Nil, Value::List(result)) => format!("served {}", result[0].text()),
        (Value::List(error), _) => error[0].text(),
        _ => format!("{parts:?}"),
    };
    Incoming::Answer(*number as u32, text)
}

/// Result of one request on a connection of its own.
pub fn ask_once(
    address: &str,
    record: &Record,
    class: &str,
    budget_ms: u64,
    work_ms: u64,
    statement: &str,
) -> String {
    let id = new_request_id();
    let Ok(mut connection) = Connection::open(address) else { return "no connection".into() };
    let fields = fields(&id, budget_ms, work_ms);
    connection.write(&request(1, class, &fields, statement));
    record.line(format!("client: sends {class} {id}"));
    let result = match connection.next(Duration::from_millis(budget_ms + 500)) {
        Some(Incoming::Answer(_, text)) => text,
        Some(Incoming::End(why)) => format!("lost: {why}"),
        None => "lost: no answer".into(),
    };
    record.line(format!("client: {id}: {}", result.trim_end()));
    connection.close();
    result
}

/// The fields of a request. `work_ms` is the estimate of its work on one core.
pub fn fields(id: &str, budget_ms: u64, work_ms: u64) -> Vec<(&'static str, String)> {
    vec![
        ("rid", id.to_owned()),
        ("budget", budget_ms.to_string()),
        ("acct", "gulf-coast-comfort".into()),
        ("est", format!("{work_ms}.0")),
        ("mem", "16".into()),
    ]
}
