//! Incremental parser of server-sent events, over a chunked or plain body. Lines are not buffered.

use memchr::memchr;

use crate::bound::ListBound;
use crate::update::{ListError, Update, UpdateReader};
use crate::SourceError;
use marljunction_http1::chunks::ChunkedDecoder;
use marljunction_settings::Names;

/// Longest field name and longest event id that are read (bytes).
const MAX_FIELD: usize = 32;

/// An event of the stream.
#[derive(Debug)]
pub struct Event {
    /// Its id, if the stream sends a valid one.
    pub number: Option<u64>,
    /// The update, or why it is invalid.
    pub update: Result<Update, ListError>,
}

/// The part of a line that is being read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LinePart {
    /// Field name.
    #[default]
    Name,
    /// Event id.
    Id,
    /// Event data.
    Data,
    /// Ignored.
    Other,
}

/// Incremental reader of server-sent events.
#[derive(Debug)]
pub struct EventReader {
    chunks: Option<ChunkedDecoder>,
    /// Buffer for the decoded chunks of one read.
    text: Vec<u8>,
    bound: ListBound,
    part: LinePart,
    /// Field name or event id read so far.
    field_bytes: Vec<u8>,
    /// Length of the current line so far.
    line_bytes: usize,
    id: Option<u64>,
    update: Option<UpdateReader>,
}

impl EventReader {
    /// Starts a body, chunked or plain.
    pub fn new(chunked: bool, bound: ListBound) -> Self {
        EventReader {
            chunks: chunked.then(ChunkedDecoder::default),
            text: Vec::new(),
            bound,
            part: LinePart::Name,
            field_bytes: Vec::new(),
            line_bytes: 0,
            id: None,
            update: None,
        }
    }

    /// Bytes read of an incomplete event. `None` between events.
    pub fn pending(&self) -> Option<usize> {
        self.update.as_ref().map(UpdateReader::bytes)
    }

    /// Reads from `input`, appends complete events to `out`, and returns the number of bytes
    /// consumed.
    ///
    /// # Errors
    /// If the body is invalid or has ended, or a line or an event is over the bound.
    pub fn decode(
        &mut self,
        input: &[u8],
        names: &Names,
        out: &mut Vec<Event>,
    ) -> Result<usize, SourceError> {
        let Some(chunks) = &mut self.chunks else {
            self.read(input, names, out)?;
            return Ok(input.len());
        };
        let mut text = std::mem::take(&mut self.text);
        text.clear();
        let (consumed, ended) = chunks.decode(input, &mut text)?;
        let read = self.read(&text, names, out);
        self.text = text;
        read?;
        match ended {
            true => Err(SourceError::Ended),
            false => Ok(consumed),
        }
    }

    fn read(&mut self, mut text: &[u8], names: &Names, out: &mut Vec<Event>) -> Result<(), ListError> {
        while !text.is_empty() {
            let end = memchr(b'\n', text);
            let piece = &text[..end.unwrap_or(text.len())];
            self.read_piece(piece, names)?;
            if end.is_some() {
                self.end_line(names, out);
            }
            text = &text[piece.len() + usize::from(end.is_some())..];
        }
        Ok(())
    }

    /// Reads a part of one line.
    fn read_piece(&mut self, mut piece: &[u8], names: &Names) -> Result<(), ListError> {
        self.line_bytes += piece.len();
        let (bytes, limit) = (self.line_bytes, self.bound.event_bytes);
        // The event's reader counts its data itself, over all of its lines.
        if bytes > limit && self.part != LinePart::Data {
            return Err(ListError::TooLong { bytes, engines: 0, limit });
        }
        if self.part == LinePart::Name {
            let Some(colon) = memchr(b':', piece) else {
                self.buffer_field(piece);
                return Ok(());
            };
            self.buffer_field(&piece[..colon]);
            piece = &piece[colon + 1..];
            self.begin_value(names)?;
        }
        match self.part {
            LinePart::Id => self.buffer_field(piece),
            LinePart::Data if !piece.is_empty() => self.push(piece, names)?,
            _ => {}
        }
        Ok(())
    }

    /// Buffers the start of a name or id; one that is too long matches nothing.
    fn buffer_field(&mut self, piece: &[u8]) {
        let part = piece.len().min(MAX_FIELD + 1 - self.field_bytes.len());
        self.field_bytes.extend_from_slice(&piece[..part]);
    }

    fn begin_value(&mut self, names: &Names) -> Result<(), ListError> {
        self.part = match self.field_bytes.as_slice() {
            b"id" => LinePart::Id,
            b"data" => LinePart::Data,
            _ => LinePart::Other,
        };
        self.field_bytes.clear();
        // The data of an event may span several lines.
        match self.part == LinePart::Data && self.update.is_some() {
            true => self.push(b"\n", names),
            false => Ok(()),
        }
    }

    fn push(&mut self, piece: &[u8], names: &Names) -> Result<(), ListError> {
        self.update.get_or_insert_with(|| UpdateReader::new(self.bound)).push(piece, names)
    }

    fn end_line(&mut self, names: &Names, out: &mut Vec<Event>) {
        let field_bytes = std::str::from_utf8(&self.field_bytes).unwrap_or("?").trim_end_matches('\r');
        match self.part {
            LinePart::Id => self.id = field_bytes.strip_prefix(' ').unwrap_or(field_bytes).parse().ok(),
            LinePart::Name if field_bytes.is_empty() => {
                if let Some(update) = self.update.take() {
                    out.push(Event { number: self.id.take(), update: update.finish(names) });
                }
            }
            _ => {}
        }
        self.field_bytes.clear();
        (self.part, self.line_bytes) = (LinePart::Name, 0);
    }
}
