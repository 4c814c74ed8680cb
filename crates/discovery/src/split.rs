//! Incremental JSON splitter: separates the entries of one array from the rest of the text.
//!
//! Each byte is examined once. Only one entry and the rest are buffered, both up to a limit. The
//! text between entries is checked here; the caller parses the entries and the rest.

use thiserror::Error;

/// Why a text can't be split.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SplitError {
    /// Neither an object, a comma nor the end of the array.
    #[error("unexpected byte {0:#04x} between entries")]
    UnexpectedByte(u8),
    /// An entry, or the text around the array, is over the limit, which it holds (bytes).
    #[error("entry or surrounding text exceeds {0} bytes")]
    TooLong(usize),
    /// The text ends inside the array.
    #[error("text ends inside the list")]
    Truncated,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// Outside the array.
    Outside,
    /// Before the first entry.
    ArrayStart,
    /// Inside an entry.
    InEntry,
    /// After an entry.
    AfterEntry,
    /// After a comma.
    AfterComma,
}

/// State of strings and nesting.
#[derive(Clone, Copy, Debug, Default)]
struct Scan {
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Scan {
    /// Processes a byte inside a string. Returns whether the string ends.
    fn string_byte(&mut self, byte: u8) -> bool {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
        !self.in_string
    }

    /// Length of the text up to the end of the entry. `None` if it goes on.
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

/// Incremental splitter of one text.
#[derive(Debug)]
pub struct Splitter {
    /// Names of the nested fields that lead to the array; empty if the text is the array.
    path: &'static [&'static str],
    position: Position,
    max_bytes: usize,
    /// The text without the entries.
    rest: Vec<u8>,
    outer: Scan,
    /// Number of path names whose objects are open.
    matched: usize,
    /// The next value belongs to the next name of the path.
    at_path_value: bool,
    /// Start and end of the last string in `rest`.
    last_string: (usize, usize),
    /// The current entry so far, if it spans several pieces.
    entry: Vec<u8>,
    inner: Scan,
}

impl Splitter {
    /// Splits the array at `path`. Entries and the rest may each have up to `max_bytes`.
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

    /// Processes the next piece of text, and passes each complete entry to `on_entry`.
    ///
    /// # Errors
    /// Errors of `on_entry`, and [`SplitError`]. The splitter must not be used after either.
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

    /// Returns the text without its entries.
    ///
    /// # Errors
    /// If the text ends inside the array.
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

    /// Processes a byte of the rest. Returns whether the array starts with it.
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

    /// Whether the last string is the next name of the path, at the right depth.
    fn is_next_name(&self) -> bool {
        let name = self.path.get(self.matched).filter(|_| self.outer.depth == self.matched + 1);
        name.is_some_and(|name| name.as_bytes() == &self.rest[self.last_string.0..self.last_string.1])
    }

    /// Whether an array that starts here is the one at the path.
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
            // An entry within one piece is not copied.
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
