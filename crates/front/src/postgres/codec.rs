//! The server side of the PostgreSQL protocol 3.0: decodes client messages and encodes responses.
//!
//! Every read is checked against the bounds of its message. `postgres-protocol` covers only the
//! client side; its framing is used here. `pgwire` trusts the lengths inside a message and panics
//! on a truncated `Parse`.

use postgres_protocol::message::backend::Header;

use crate::MAX_MESSAGE_BYTES;
use marljunction_core::Column;

/// A message of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientMessage {
    /// Requests encryption (TLS or GSSAPI).
    Encrypt,
    /// Cancels the running statement of another session: its process id and cancel key.
    Cancel(i32, i32),
    /// Starts a session: minor protocol version and parameters.
    Startup(u16, Vec<(String, String)>),
    /// A simple query.
    Query(Vec<u8>),
    /// Prepares a statement: name, text, parameter types.
    Parse(String, Vec<u8>, Vec<u32>),
    /// Creates a portal.
    Bind(Bind),
    /// Requests the description of a statement (true) or a portal (false).
    Describe(bool, String),
    /// Executes a portal, up to this number of rows; 0 for all.
    Execute(String, u32),
    /// Closes a statement (true) or a portal (false).
    Close(bool, String),
    /// Requests the pending responses.
    Flush,
    /// Ends a sequence of extended-query messages.
    Sync,
    /// Ends the session.
    Terminate,
    /// An unexpected password or `COPY` message.
    Ignored,
    /// A function call, which is unsupported.
    FunctionCall,
}

/// A `Bind` message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bind {
    /// Name of the portal.
    pub portal: String,
    /// Name of the statement.
    pub statement: String,
    /// Whether parameters are in binary format: empty for none, one for all, or one each.
    pub formats: Vec<bool>,
    /// Parameter values; `None` for NULL.
    pub params: Vec<Option<Vec<u8>>>,
    /// Whether result columns are requested in binary format, as for parameters.
    pub results: Vec<bool>,
}

/// Reads the fields of one message, within its bounds.
struct MessageReader<'a>(&'a [u8]);

impl<'a> MessageReader<'a> {
    fn read_bytes(&mut self, bytes: usize) -> Result<&'a [u8], String> {
        let (part, rest) = self.0.split_at_checked(bytes).ok_or("a message is cut short")?;
        self.0 = rest;
        Ok(part)
    }
    fn byte(&mut self) -> Result<u8, String> {
        Ok(self.read_bytes(1)?[0])
    }
    fn int16(&mut self) -> Result<u16, String> {
        self.read_bytes(2).map(|b| u16::from_be_bytes([b[0], b[1]]))
    }
    fn int32(&mut self) -> Result<i32, String> {
        self.read_bytes(4).map(|b| i32::from_be_bytes([b[0], b[1], b[2], b[3]]))
    }
    fn bytes(&mut self) -> Result<&'a [u8], String> {
        let end = self.0.iter().position(|b| *b == 0).ok_or("a text does not end")?;
        let text = self.read_bytes(end)?;
        self.read_bytes(1)?;
        Ok(text)
    }
    fn text(&mut self) -> Result<String, String> {
        String::from_utf8(self.bytes()?.to_vec()).map_err(|_| "a name is not UTF-8".into())
    }
    fn list<T>(&mut self, one: impl Fn(&mut Self) -> Result<T, String>) -> Result<Vec<T>, String> {
        let count = self.int16()?;
        (0..count).map(|_| one(self)).collect()
    }
    fn format(&mut self) -> Result<bool, String> {
        match self.int16()? {
            0 => Ok(false),
            1 => Ok(true),
            other => Err(format!("unknown format {other}")),
        }
    }
    fn value(&mut self) -> Result<Option<Vec<u8>>, String> {
        match self.int32()? {
            -1 => Ok(None),
            length => {
                let length = usize::try_from(length).map_err(|_| "bad length of a value")?;
                Ok(Some(self.read_bytes(length)?.to_vec()))
            }
        }
    }
    fn is_statement(&mut self) -> Result<bool, String> {
        match self.byte()? {
            b'S' => Ok(true),
            b'P' => Ok(false),
            other => Err(format!("neither statement nor portal: {other}")),
        }
    }
}

/// Parses the first message of a connection. Returns it with its size, or `None` if it is
/// incomplete.
///
/// # Errors
/// Returns the reason why the message is invalid.
pub fn read_startup(input: &[u8]) -> Result<Option<(ClientMessage, usize)>, String> {
    let mut reader = MessageReader(input);
    let Ok(length) = reader.int32() else { return Ok(None) };
    let size = usize::try_from(length).ok().filter(|s| (8..=10_000).contains(s)).ok_or("bad length")?;
    if input.len() < size {
        return Ok(None);
    }
    let mut reader = MessageReader(&input[4..size]);
    let message = match (reader.int16()?, reader.int16()?) {
        (1234, 5679 | 5680) => ClientMessage::Encrypt,
        (1234, 5678) => ClientMessage::Cancel(reader.int32()?, reader.int32()?),
        (3, minor) => {
            let mut params = Vec::new();
            while let Some(name) = Some(reader.text()?).filter(|n| !n.is_empty()) {
                params.push((name, reader.text()?));
            }
            ClientMessage::Startup(minor, params)
        }
        (major, minor) => return Err(format!("unsupported protocol {major}.{minor}")),
    };
    Ok(Some((message, size)))
}

/// Parses one message of a session. Returns it with its size, or `None` if it is incomplete.
///
/// # Errors
/// Returns the reason why the message is invalid.
pub fn read_message(input: &[u8]) -> Result<Option<(ClientMessage, usize)>, String> {
    let Some(header) = Header::parse(input).map_err(|e| e.to_string())? else { return Ok(None) };
    let size = header.len() as usize + 1;
    if size > MAX_MESSAGE_BYTES {
        return Err("a message is too long".into());
    }
    if input.len() < size {
        return Ok(None);
    }
    let mut reader = MessageReader(&input[5..size]);
    let message = match header.tag() {
        b'Q' => ClientMessage::Query(reader.bytes()?.to_vec()),
        b'P' => {
            let (name, text) = (reader.text()?, reader.bytes()?.to_vec());
            ClientMessage::Parse(name, text, reader.list(|p| p.int32().map(|t| t as u32))?)
        }
        b'B' => ClientMessage::Bind(Bind {
            portal: reader.text()?,
            statement: reader.text()?,
            formats: reader.list(MessageReader::format)?,
            params: reader.list(MessageReader::value)?,
            results: reader.list(MessageReader::format)?,
        }),
        b'D' => ClientMessage::Describe(reader.is_statement()?, reader.text()?),
        b'E' => ClientMessage::Execute(reader.text()?, u32::try_from(reader.int32()?).unwrap_or(0)),
        b'C' => ClientMessage::Close(reader.is_statement()?, reader.text()?),
        b'H' => ClientMessage::Flush,
        b'S' => ClientMessage::Sync,
        b'X' => ClientMessage::Terminate,
        b'p' | b'd' | b'c' | b'f' => return Ok(Some((ClientMessage::Ignored, size))),
        b'F' => return Ok(Some((ClientMessage::FunctionCall, size))),
        other => return Err(format!("unknown message {other}")),
    };
    match reader.0 {
        [] => Ok(Some((message, size))),
        _ => Err("a message is longer than its parts".into()),
    }
}

/// Encoded messages to a client.
#[derive(Default)]
pub struct ResponseBuffer {
    /// The encoded messages.
    pub bytes: Vec<u8>,
}

impl ResponseBuffer {
    fn message(&mut self, tag: u8, body: &[u8]) {
        self.bytes.push(tag);
        self.bytes.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
        self.bytes.extend_from_slice(body);
    }

    fn strings(&mut self, tag: u8, strings: &[&str]) {
        let mut body = Vec::new();
        for text in strings {
            body.extend_from_slice(text.as_bytes());
            body.push(0);
        }
        self.message(tag, &body);
    }

    /// Rejects encryption.
    pub fn no_encryption(&mut self) {
        self.bytes.push(b'N');
    }

    /// Completes the startup: authentication, parameters, and the process id and key for
    /// cancellation.
    pub fn session_start(&mut self, statuses: &[(&str, &str)], number: i32, key: i32) {
        self.message(b'R', &0_u32.to_be_bytes());
        statuses.iter().for_each(|(name, value)| self.status(name, value));
        self.message(b'K', &[number.to_be_bytes(), key.to_be_bytes()].concat());
        self.ready();
    }

    /// Negotiates minor protocol version 0.
    pub fn negotiate_version(&mut self) {
        self.message(b'v', &[0; 8]);
    }

    /// Reports a parameter's value.
    pub fn status(&mut self, name: &str, value: &str) {
        self.strings(b'S', &[name, value]);
    }

    /// Reports readiness for the next query, outside a transaction.
    pub fn ready(&mut self) {
        self.message(b'Z', b"I");
    }

    /// A message without a body: `1` parse complete, `2` bind complete, `3` close complete, `n` no
    /// data, `s` portal suspended, `I` empty query.
    pub fn empty_message(&mut self, tag: u8) {
        self.message(tag, &[]);
    }

    /// The types of a statement's parameters.
    pub fn parameters(&mut self, types: &[u32]) {
        let mut body = (types.len() as u16).to_be_bytes().to_vec();
        types.iter().for_each(|t| body.extend_from_slice(&t.to_be_bytes()));
        self.message(b't', &body);
    }

    /// A row description of text columns. The text and binary formats of a text have the same
    /// bytes.
    pub fn text_columns(&mut self, names: &[String], binary: &[bool]) {
        let form = |i: usize| binary.get(i).or(binary.first()).copied().unwrap_or(false);
        let column = |(i, name): (usize, &String)| Column {
            name: name.clone(),
            type_id: TEXT,
            size: -1,
            modifier: -1,
            binary: form(i),
        };
        self.columns(&names.iter().enumerate().map(column).collect::<Vec<_>>());
    }

    /// A row description.
    pub fn columns(&mut self, columns: &[Column]) {
        let mut body = (columns.len() as u16).to_be_bytes().to_vec();
        for column in columns {
            body.extend_from_slice(column.name.as_bytes());
            // The terminator of the name, then no table id and column number.
            body.extend_from_slice(&[0; 7]);
            body.extend_from_slice(&column.type_id.to_be_bytes());
            body.extend_from_slice(&column.size.to_be_bytes());
            body.extend_from_slice(&column.modifier.to_be_bytes());
            body.extend_from_slice(&u16::from(column.binary).to_be_bytes());
        }
        self.message(b'T', &body);
    }

    /// A data row; `None` for NULL.
    pub fn row(&mut self, cells: &[Option<Vec<u8>>]) {
        let mut body = (cells.len() as u16).to_be_bytes().to_vec();
        for cell in cells {
            body.extend_from_slice(&cell.as_ref().map_or(-1, |c| c.len() as i32).to_be_bytes());
            body.extend_from_slice(cell.as_deref().unwrap_or_default());
        }
        self.message(b'D', &body);
    }

    /// Reports the completion of a statement.
    pub fn complete(&mut self, tag: &str) {
        self.strings(b'C', &[tag]);
    }

    /// An error response; with `fatal`, the session ends.
    pub fn error(&mut self, fault: &SqlFault, fatal: bool) {
        let severity = if fatal { "FATAL" } else { "ERROR" };
        let mut body = format!("S{severity}\0V{severity}\0C{}\0M{}\0", fault.state, fault.message);
        if !fault.hint.is_empty() {
            body.push_str(&format!("H{}\0", fault.hint));
        }
        body.push('\0');
        self.message(b'E', body.as_bytes());
    }
}

/// The type id of `text`.
pub const TEXT: u32 = 25;

/// An error reported to a client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SqlFault {
    /// The SQLSTATE.
    pub state: String,
    /// The message.
    pub message: String,
    /// The hint, empty if there is none.
    pub hint: String,
}

/// Creates an error without a hint.
pub fn fault(state: &str, message: impl Into<String>) -> SqlFault {
    SqlFault { state: state.into(), message: message.into().replace('\0', " "), hint: String::new() }
}
