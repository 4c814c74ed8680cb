//! Server-sent events, over a body in chunks or as it is, read as they come: each byte is looked at once, and no line is held.

use memchr::memchr;

use crate::bound::ListBound;
use crate::update::{ListError, Update, UpdateReader};
use crate::SourceError;
use marljunction_http1::chunks::ChunkedDecoder;
use marljunction_settings::Names;

/// Longest name of a field, and longest number of an event, that are read (bytes).
const MAX_FIELD: usize = 32;

/// An event of the stream.
#[derive(Debug)]
pub struct Event {
    /// Its number, where the stream tells one.
    pub number: Option<u64>,
    /// What it says, or why it can't be read.
    pub update: Result<Update, ListError>,
}

/// What is being read of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LinePart {
    /// Its field's name.
    #[default]
    Name,
    /// An event's number.
    Id,
    /// An event's text.
    Data,
    /// What nobody asks for.
    Other,
}

/// A reader of server-sent events.
#[derive(Debug)]
pub struct EventReader {
    chunks: Option<ChunkedDecoder>,
    /// What one call takes out of chunks.
    text: Vec<u8>,
    bound: ListBound,
    part: LinePart,
    /// The field's name or the event's number, as far as it has come.
    field_bytes: Vec<u8>,
    /// What has come of the present line (bytes).
    line_bytes: usize,
    id: Option<u64>,
    update: Option<UpdateReader>,
}

impl EventReader {
    /// A reader for a body in chunks, or not.
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

    /// What has come of an event that is not whole (bytes); none between events.
    pub fn pending(&self) -> Option<usize> {
        self.update.as_ref().map(UpdateReader::bytes)
    }

    /// Takes what it can of `input`, adds whole events to `out`, and returns how much it took (bytes).
    ///
    /// # Errors
    /// Where the stream can't be read or has ended, or a line or an event is over its bound.
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

    /// Takes a piece of one line.
    fn read_piece(&mut self, mut piece: &[u8], names: &Names) -> Result<(), ListError> {
        self.line_bytes += piece.len();
        let (bytes, limit) = (self.line_bytes, self.bound.event_bytes);
        // An event's text is counted by who reads it, over all of its lines.
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

    /// Keeps the first bytes of a name or a number; one that is longer is none.
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
        // An event's text may come in several lines.
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
