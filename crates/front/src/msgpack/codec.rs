//! Messages of MessagePack-RPC: their length, decoding calls and notifications, encoding answers.
//!
//! Invariants: the length of a message is found in one pass, however it arrives; decoding copies only
//! the fields that a request needs and passes over the others, without recursion.

use rmp::decode;
use rmpv::encode::write_value;
use rmpv::Value;

use crate::MAX_MESSAGE_BYTES;

/// The length of the message at the start of an input buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameLength {
    /// The message is complete and has this many bytes.
    Complete(usize),
    /// The message is incomplete and has at least this many bytes.
    AtLeast(usize),
}

/// Determines the length of a message from its tags and lengths, without decoding values. It
/// continues where the last call for the same message stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameScanner {
    /// Bytes scanned.
    at: usize,
    /// Values that are still to be scanned, with the one at `at`.
    pending_values: usize,
    /// Smallest input with which the scan can go on.
    min_bytes: usize,
}

impl Default for FrameScanner {
    /// A scanner for a new message.
    fn default() -> Self {
        FrameScanner { at: 0, pending_values: 1, min_bytes: 1 }
    }
}

/// The tag at the start of a value.
struct Tag {
    /// Size of the tag, its length field and its data, as far as known.
    size: usize,
    /// Number of nested values.
    nested: usize,
    /// The length field is complete.
    is_complete: bool,
}

impl FrameScanner {
    /// Scans the message at the start of `input`, which holds all of the input of the last call and
    /// what has come since.
    ///
    /// # Errors
    /// Returns an error as soon as the stated lengths exceed [`MAX_MESSAGE_BYTES`], or a tag is
    /// invalid.
    pub fn scan(&mut self, input: &[u8]) -> Result<FrameLength, String> {
        if input.len() < self.min_bytes {
            return Ok(FrameLength::AtLeast(self.min_bytes));
        }
        while self.pending_values > 0 {
            let tag = input.get(self.at..).and_then(read_tag).transpose()?;
            let Some(tag) = tag else { return Ok(self.needs(self.at + self.pending_values)) };
            let (end, pending_values) = (self.at + tag.size, self.pending_values - 1 + tag.nested);
            if end + pending_values > MAX_MESSAGE_BYTES {
                return Err("the message is too long".into());
            }
            if !tag.is_complete {
                return Ok(self.needs(end + pending_values));
            }
            (self.at, self.pending_values) = (end, pending_values);
            if input.len() < end {
                return Ok(self.needs(end + pending_values));
            }
        }
        Ok(FrameLength::Complete(self.at))
    }

    fn needs(&mut self, min_bytes: usize) -> FrameLength {
        self.min_bytes = min_bytes;
        FrameLength::AtLeast(min_bytes)
    }
}

/// Reads the tag at the start of `input`; `None` if there is no input.
fn read_tag(input: &[u8]) -> Option<Result<Tag, String>> {
    let tag = *input.first()?;
    let size = |bytes: usize| {
        let digits = input.get(1..1 + bytes)?;
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
        0xdc | 0xde => (3, size(2).map(|_| 0), size(2).unwrap_or(0) * (1 + usize::from(tag == 0xde))),
        0xdd | 0xdf => (5, size(4).map(|_| 0), size(4).unwrap_or(0) * (1 + usize::from(tag == 0xdf))),
        0xc1 => return Some(Err("no such type".into())),
    };
    Some(Ok(Tag { size: head + length.unwrap_or(0), nested, is_complete: length.is_some() }))
}

/// A client's message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A call.
    Call(Call),
    /// The client no longer waits for the call with this message id.
    Forget(u32),
    /// An unknown notification, which is ignored.
    Unknown,
}

/// A client's call.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The message id.
    pub id: u32,
    /// The method, which is the class of a request.
    pub method: String,
    /// The wanted fields by name; of several with one name, the first.
    pub fields: Vec<(String, String)>,
    /// The statement.
    pub body: Option<Vec<u8>>,
}

/// Reads the values of a complete message one after another.
struct ValueReader<'a> {
    rest: &'a [u8],
}

impl<'a> ValueReader<'a> {
    /// Reads the number of values of an array.
    fn array(&mut self) -> Option<u32> {
        decode::read_array_len(&mut self.rest).ok()
    }

    /// Reads a number.
    fn number(&mut self) -> Option<u32> {
        decode::read_int(&mut self.rest).ok()
    }

    /// Reads any value. Returns its data if it is a string or binary.
    fn data(&mut self) -> Option<&'a [u8]> {
        let value = self.skip()?;
        let mut input = value;
        let length = match value.first()? {
            0xc4..=0xc6 => decode::read_bin_len(&mut input).ok()?,
            0xa0..=0xbf | 0xd9..=0xdb => decode::read_str_len(&mut input).ok()?,
            _ => return None,
        };
        input.get(..length as usize)
    }

    /// Reads any value. Returns its text if it is a string, or binary with text.
    fn text(&mut self) -> Option<&'a str> {
        self.data().and_then(|data| std::str::from_utf8(data).ok())
    }

    /// Reads any value, and returns its bytes. `None` if there is none.
    fn skip(&mut self) -> Option<&'a [u8]> {
        let Ok(FrameLength::Complete(size)) = FrameScanner::default().scan(self.rest) else { return None };
        let (value, rest) = self.rest.split_at(size);
        self.rest = rest;
        Some(value)
    }
}

/// Decodes a complete message. Of a call's fields, those are kept for which `is_wanted` returns true.
///
/// # Errors
/// Returns the reason why the message is invalid.
pub fn decode_message(message: &[u8], is_wanted: impl Fn(&str) -> bool) -> Result<Message, String> {
    let mut reader = ValueReader { rest: message };
    let length = reader.array().ok_or("not an array")?;
    match (reader.number(), length) {
        (Some(0), 4) => decode_call(&mut reader, is_wanted).map(Message::Call),
        (Some(2), 3) if reader.text() == Some("forget") => {
            let id = reader.array().filter(|count| *count > 0).and_then(|_| reader.number());
            Ok(Message::Forget(id.ok_or("bad forget")?))
        }
        (Some(2), 3) => Ok(Message::Unknown),
        _ => Err("neither call nor notice".into()),
    }
}

fn decode_call(reader: &mut ValueReader, is_wanted: impl Fn(&str) -> bool) -> Result<Call, String> {
    let id = reader.number().ok_or("bad message id")?;
    let method = reader.text().ok_or("bad method")?.to_owned();
    let params = reader.array().ok_or("bad parameters")?;
    let fields = match params {
        0 => Vec::new(),
        _ => wanted_fields(reader.skip().unwrap_or_default(), is_wanted),
    };
    let body = if params > 1 { reader.data().map(<[u8]>::to_vec) } else { None };
    Ok(Call { id, method, fields, body })
}

/// Copies the wanted fields of a call; none if its fields are no map.
fn wanted_fields(fields: &[u8], is_wanted: impl Fn(&str) -> bool) -> Vec<(String, String)> {
    let mut reader = ValueReader { rest: fields };
    let mut wanted: Vec<(String, String)> = Vec::new();
    for _ in 0..decode::read_map_len(&mut reader.rest).unwrap_or(0) {
        let name = reader.text();
        let Some(name) = name.filter(|name| is_wanted(name)) else {
            reader.skip();
            continue;
        };
        let Some(value) = reader.text() else { continue };
        if wanted.iter().all(|(known, _)| known != name) {
            wanted.push((name.to_owned(), value.to_owned()));
        }
    }
    wanted
}

/// Encodes an answer.
pub fn reply(id: u64, error: Value, result: Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to a vector cannot fail.
    let _ = write_value(&mut bytes, &Value::Array(vec![1.into(), id.into(), error, result]));
    bytes
}

/// Encodes an answer with an error.
pub fn error(id: u64, code: &str, fields: &[(&str, String)]) -> Vec<u8> {
    let fields = fields.iter().map(|(k, v)| (Value::from(*k), Value::from(v.as_str()))).collect();
    reply(id, Value::Array(vec![code.into(), Value::Map(fields)]), Value::Nil)
}
