//! A stand-in client that speaks MessagePack-RPC, and calls of the admin API.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What a client gets for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served, with the rows.
    Served(String),
    /// Refused, with the time to stay away.
    Backoff(u64),
    /// Failed, with the code.
    Failed(String),
    /// The connection ended, or nothing came in time.
    Nothing,
}

/// A value of MessagePack, as far as answers use it.
#[derive(Clone, Debug, PartialEq)]
enum Value {
    Nil,
    Bool(bool),
    Number(u64),
    Text(String),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

/// Takes `n` bytes from the start of `input`.
fn take<'a>(input: &mut &'a [u8], n: usize) -> Option<&'a [u8]> {
    let (head, rest) = input.split_at_checked(n)?;
    *input = rest;
    Some(head)
}

fn number(input: &mut &[u8], bytes: usize) -> Option<usize> {
    Some(take(input, bytes)?.iter().fold(0, |n, b| n << 8 | usize::from(*b)))
}

fn read_text(input: &mut &[u8], n: usize) -> Option<Value> {
    Some(Value::Text(String::from_utf8_lossy(take(input, n)?).into_owned()))
}

/// Reads one value; `None` if it is not complete.
fn read_value(input: &mut &[u8]) -> Option<Value> {
    let tag = take(input, 1)?[0];
    Some(match tag {
        0x00..=0x7f => Value::Number(u64::from(tag)),
        0x80..=0x8f => {
            let pair = |input: &mut &[u8]| Some((read_value(input)?, read_value(input)?));
            Value::Map((0..tag & 15).map(|_| pair(input)).collect::<Option<_>>()?)
        }
        0x90..=0x9f => Value::Array((0..tag & 15).map(|_| read_value(input)).collect::<Option<_>>()?),
        0xa0..=0xbf => read_text(input, usize::from(tag & 31))?,
        0xc2 | 0xc3 => Value::Bool(tag == 0xc3),
        0xc4 | 0xd9 => number(input, 1).and_then(|n| read_text(input, n))?,
        0xc5 | 0xda => number(input, 2).and_then(|n| read_text(input, n))?,
        0xcc => Value::Number(number(input, 1)? as u64),
        0xcd => Value::Number(number(input, 2)? as u64),
        0xce => Value::Number(number(input, 4)? as u64),
        _ => Value::Nil,
    })
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    out.push(0xd9);
    out.push(text.len() as u8);
    out.extend_from_slice(text.as_bytes());
}

/// A connection of a client with one call at a time.
pub struct Client {
    stream: TcpStream,
    calls: u8,
}

impl Client {
    /// Connects.
    pub fn connect(to: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, calls: 0 })
    }

    /// Sends a call and waits for its answer.
    pub fn call(
        &mut self,
        class: &str,
        fields: &[(&str, String)],
        statement: &str,
        wait: Duration,
    ) -> Answer {
        self.calls = self.calls % 100 + 1;
        let mut message = vec![0x94, 0x00, self.calls];
        put_text(&mut message, class);
        message.extend_from_slice(&[0x92, 0x80 | fields.len() as u8]);
        for (name, value) in fields {
            put_text(&mut message, name);
            put_text(&mut message, value);
        }
        message.extend_from_slice(&[0xc5, (statement.len() >> 8) as u8, statement.len() as u8]);
        message.extend_from_slice(statement.as_bytes());
        if self.stream.write_all(&message).is_err() {
            return Answer::Nothing;
        }
        self.receive(Instant::now() + wait).map_or(Answer::Nothing, |value| answer_of(&value))
    }

    fn receive(&mut self, until: Instant) -> Option<Value> {
        let mut input = Vec::new();
        loop {
            if let Some(value) = read_value(&mut &input[..]) {
                return Some(value);
            }
            let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
            self.stream.set_read_timeout(Some(left)).ok()?;
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer) {
                Ok(n) if n > 0 => input.extend_from_slice(&buffer[..n]),
                _ => return None,
            }
        }
    }
}

fn answer_of(value: &Value) -> Answer {
    let Value::Array(parts) = value else { return Answer::Nothing };
    match (parts.get(2), parts.get(3)) {
        (Some(Value::Nil), Some(Value::Array(result))) => match result.first() {
            Some(Value::Text(rows)) => Answer::Served(rows.clone()),
            _ => Answer::Failed("no rows".into()),
        },
        (Some(Value::Array(error)), _) => {
            let field = |name: &str| match error.get(1) {
                Some(Value::Map(fields)) => fields.iter().find_map(|(k, v)| match (k, v) {
                    (Value::Text(k), Value::Text(v)) if k == name => Some(v.clone()),
                    _ => None,
                }),
                _ => None,
            };
            match error.first() {
                Some(Value::Text(code)) if code == "Backoff" => {
                    Answer::Backoff(field("backoff").and_then(|ms| ms.parse().ok()).unwrap_or(100))
                }
                Some(Value::Text(code)) => {
                    Answer::Failed(format!("{code} {}", field("why").unwrap_or_default()))
                }
                _ => Answer::Nothing,
            }
        }
        _ => Answer::Nothing,
    }
}

/// Makes a call of the admin API. Returns the status and the body.
pub fn admin(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let call =
        format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(call.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let body = text.split("\r\n\r\n").nth(1).unwrap_or("").trim().to_owned();
    Some((status, body))
}
