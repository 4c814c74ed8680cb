//! Splits a JSON text that comes in pieces into the entries of one of its arrays and the rest of the text.
//!
//! Each byte is looked at once. No more is held than one entry and the rest; both have a bound. What stands between the
//! entries is checked here, the entries and the rest are the caller's to parse.

use thiserror::Error;

/// Why a text can't be split.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SplitError {
    /// Something other than an object, a comma or the array's end stands between entries.
    #[error("byte {0:#04x} between entries")]
    UnexpectedByte(u8),
    /// An entry, or what stands around the entries, is longer than may be (bytes).
    #[error("an entry of over {0} bytes")]
    TooLong(usize),
    /// The text ends where it can't.
    #[error("it ends within an entry")]
    Truncated,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// Outside the array.
    Outside,
    /// Before the first entry.
    ArrayStart,
    /// Within one.
    InEntry,
    /// Behind one.
    AfterEntry,
    /// Behind a comma.
    AfterComma,
}

/// Strings and containers as they open and close.
#[derive(Clone, Copy, Debug, Default)]
struct Scan {
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Scan {
    /// Takes a byte of a string; whether the string ends with it.
    fn string_byte(&mut self, byte: u8) -> bool {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
        !self.in_string
    }

    /// Where the container that is open ends in `text` (bytes); none where it goes on behind it.
    fn end_of_entry(&mut self, text: &[u8]) -> Option<usize> {
        for (at, byte) in text.iter().enumerate() {
            if self.in_string {
                self.string_byte(*byte);
                continue;
            }
            match byte {
                b'"' => self.in_string = true,
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        return Some(at + 1);
                    }
                }
                _ => {}
            }
        }
        None
    }
}

/// A text that is being split.
#[derive(Debug)]
pub struct Splitter {
    /// Names of the objects down to the array; none where the text is the array.
    path: &'static [&'static str],
    position: Position,
    max_bytes: usize,
    /// The text without the entries.
    rest: Vec<u8>,
    outer: Scan,
    /// Names of the path that are open.
    matched: usize,
    /// The next value is the one of the path's next name.
    at_path_value: bool,
    /// Where the last string of the rest starts and ends.
    last_string: (usize, usize),
    /// What has come of the present entry.
    entry: Vec<u8>,
    inner: Scan,
}

impl Splitter {
    /// A text whose entries are those of the array behind the names of `path`, none longer than `max_bytes`.
    pub fn new(path: &'static [&'static str], max_bytes: usize) -> Splitter {
        Splitter {
            path,
            position: Position::Outside,
            max_bytes,
            rest: Vec::new(),
            outer: Scan::default(),
            matched: 0,
            at_path_value: false,
            last_string: (0, 0),
            entry: Vec::new(),
            inner: Scan::default(),
        }
    }

    /// Takes the next piece; gives each entry that is whole to `on_entry`.
    ///
    /// # Errors
    /// What `on_entry` says, and [`SplitError`]: the text is of no use then.
    pub fn push<E: From<SplitError>>(
        &mut self,
        mut piece: &[u8],
        mut on_entry: impl FnMut(&[u8]) -> Result<(), E>,
    ) -> Result<(), E> {
        while !piece.is_empty() {
            let used = match self.position {
                Position::Outside => self.push_rest(piece)?,
                Position::InEntry => self.push_entry(piece, &mut on_entry)?,
                _ => self.push_between(piece)?,
            };
            piece = &piece[used..];
        }
        Ok(())
    }

    /// The text without its entries, once it has come whole.
    ///
    /// # Errors
    /// Where it ends within the array.
    pub fn finish(self) -> Result<Vec<u8>, SplitError> {
        match self.position {
            Position::Outside => Ok(self.rest),
            _ => Err(SplitError::Truncated),
        }
    }

    fn push_rest(&mut self, piece: &[u8]) -> Result<usize, SplitError> {
        for (at, byte) in piece.iter().enumerate() {
            if self.rest.len() >= self.max_bytes {
                return Err(SplitError::TooLong(self.max_bytes));
            }
            self.rest.push(*byte);
            if self.rest_byte(*byte) {
                self.position = Position::ArrayStart;
                return Ok(at + 1);
            }
        }
        Ok(piece.len())
    }

    /// Whether the array opens with a byte of the rest.
    fn rest_byte(&mut self, byte: u8) -> bool {
        if self.outer.in_string {
            if self.outer.string_byte(byte) {
                self.last_string.1 = self.rest.len() - 1;
            }
            return false;
        }
        match byte {
            b'"' => (self.outer.in_string, self.last_string.0) = (true, self.rest.len()),
            b':' => self.at_path_value = self.is_next_name(),
            b',' => self.at_path_value = false,
            b'[' if self.opens_array() => return true,
            b'{' | b'[' => {
                self.matched += usize::from(self.at_path_value && byte == b'{');
                (self.at_path_value, self.outer.depth) = (false, self.outer.depth + 1);
            }
            b'}' | b']' => {
                self.matched -= usize::from(self.matched > 0 && self.outer.depth == self.matched + 1);
                self.outer.depth = self.outer.depth.saturating_sub(1);
            }
            _ => {}
        }
        false
    }

    /// Whether the last string is the path's next name, in the object that the path has come to.
    fn is_next_name(&self) -> bool {
        let name = self.path.get(self.matched).filter(|_| self.outer.depth == self.matched + 1);
        name.is_some_and(|name| name.as_bytes() == &self.rest[self.last_string.0..self.last_string.1])
    }

    /// Whether an array that opens here is the one of the path.
    fn opens_array(&self) -> bool {
        match self.path.len() {
            0 => self.outer.depth == 0,
            names => self.at_path_value && self.matched + 1 == names,
        }
    }

    fn push_between(&mut self, piece: &[u8]) -> Result<usize, SplitError> {
        let space = |byte: &&u8| matches!(byte, b' ' | b'\t' | b'\n' | b'\r');
        let spaces = piece.iter().take_while(space).count();
        let Some(byte) = piece.get(spaces) else { return Ok(piece.len()) };
        match (self.position, byte) {
            (Position::ArrayStart | Position::AfterComma, b'{') => {
                (self.position, self.inner) = (Position::InEntry, Scan::default());
                return Ok(spaces);
            }
            (Position::ArrayStart | Position::AfterEntry, b']') => {
                self.rest.push(b']');
                (self.position, self.at_path_value) = (Position::Outside, false);
            }
            (Position::AfterEntry, b',') => self.position = Position::AfterComma,
            _ => return Err(SplitError::UnexpectedByte(*byte)),
        }
        Ok(spaces + 1)
    }

    fn push_entry<E: From<SplitError>>(
        &mut self,
        piece: &[u8],
        on_entry: &mut impl FnMut(&[u8]) -> Result<(), E>,
    ) -> Result<usize, E> {
        let end = self.inner.end_of_entry(piece);
        let part = &piece[..end.unwrap_or(piece.len())];
        if self.entry.len() + part.len() > self.max_bytes {
            return Err(SplitError::TooLong(self.max_bytes).into());
        }
        match end {
            // The usual case: nothing is copied.
            Some(_) if self.entry.is_empty() => on_entry(part)?,
            _ => self.entry.extend_from_slice(part),
        }
        if end.is_some() {
            if !self.entry.is_empty() {
                on_entry(&self.entry)?;
                self.entry.clear();
            }
            self.position = Position::AfterEntry;
        }
        Ok(part.len())
    }
}
