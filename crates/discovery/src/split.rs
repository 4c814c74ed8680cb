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
    Between(u8),
    /// An entry, or what stands around the entries, is longer than may be (bytes).
    #[error("an entry of over {0} bytes")]
    TooLong(usize),
    /// The text ends where it can't.
    #[error("it ends within an entry")]
    Truncated,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Outside the array.
    Rest,
    /// Before the first entry.
    First,
    /// Within one.
    Entry,
    /// Behind one.
    After,
    /// Behind a comma.
    Next,
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
    place: Place,
    max_bytes: usize,
    /// The text without the entries.
    rest: Vec<u8>,
    outer: Scan,
    /// Names of the path that are open.
    matched: usize,
    /// The next value is the one of the path's next name.
    named: bool,
    /// Where the last string of the rest starts and ends.
    last: (usize, usize),
    /// What has come of the present entry.
    entry: Vec<u8>,
    inner: Scan,
}

impl Splitter {
    /// A text whose entries are those of the array behind the names of `path`, none longer than `max_bytes`.
    pub fn new(path: &'static [&'static str], max_bytes: usize) -> Splitter {
        Splitter {
            path,
            place: Place::Rest,
            max_bytes,
            rest: Vec::new(),
            outer: Scan::default(),
            matched: 0,
            named: false,
            last: (0, 0),
            entry: Vec::new(),
            inner: Scan::default(),
        }
    }

    /// Takes the next piece; gives each entry that is whole to `take`.
    ///
    /// # Errors
    /// What `take` says, and [`SplitError`]: the text is of no use then.
    pub fn push<E: From<SplitError>>(
        &mut self,
        mut piece: &[u8],
        mut take: impl FnMut(&[u8]) -> Result<(), E>,
    ) -> Result<(), E> {
        while !piece.is_empty() {
            let used = match self.place {
                Place::Rest => self.push_rest(piece)?,
                Place::Entry => self.push_entry(piece, &mut take)?,
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
        match self.place {
            Place::Rest => Ok(self.rest),
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
                self.place = Place::First;
                return Ok(at + 1);
            }
        }
        Ok(piece.len())
    }

    /// Whether the array opens with a byte of the rest.
    fn rest_byte(&mut self, byte: u8) -> bool {
        if self.outer.in_string {
            if self.outer.string_byte(byte) {
                self.last.1 = self.rest.len() - 1;
            }
            return false;
        }
        match byte {
            b'"' => (self.outer.in_string, self.last.0) = (true, self.rest.len()),
            b':' => self.named = self.is_next_name(),
            b',' => self.named = false,
            b'[' if self.is_list() => return true,
            b'{' | b'[' => {
                self.matched += usize::from(self.named && byte == b'{');
                (self.named, self.outer.depth) = (false, self.outer.depth + 1);
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
        name.is_some_and(|name| name.as_bytes() == &self.rest[self.last.0..self.last.1])
    }

    /// Whether an array that opens here is the one of the path.
    fn is_list(&self) -> bool {
        match self.path.len() {
            0 => self.outer.depth == 0,
            names => self.named && self.matched + 1 == names,
        }
    }

    fn push_between(&mut self, piece: &[u8]) -> Result<usize, SplitError> {
        let space = |byte: &&u8| matches!(byte, b' ' | b'\t' | b'\n' | b'\r');
        let spaces = piece.iter().take_while(space).count();
        let Some(byte) = piece.get(spaces) else { return Ok(piece.len()) };
        match (self.place, byte) {
            (Place::First | Place::Next, b'{') => {
                (self.place, self.inner) = (Place::Entry, Scan::default());
                return Ok(spaces);
            }
            (Place::First | Place::After, b']') => {
                self.rest.push(b']');
                (self.place, self.named) = (Place::Rest, false);
            }
            (Place::After, b',') => self.place = Place::Next,
            _ => return Err(SplitError::Between(*byte)),
        }
        Ok(spaces + 1)
    }

    fn push_entry<E: From<SplitError>>(
        &mut self,
        piece: &[u8],
        take: &mut impl FnMut(&[u8]) -> Result<(), E>,
    ) -> Result<usize, E> {
        let end = self.inner.end_of_entry(piece);
        let part = &piece[..end.unwrap_or(piece.len())];
        if self.entry.len() + part.len() > self.max_bytes {
            return Err(SplitError::TooLong(self.max_bytes).into());
        }
        match end {
            // The usual case: nothing is copied.
            Some(_) if self.entry.is_empty() => take(part)?,
            _ => self.entry.extend_from_slice(part),
        }
        if end.is_some() {
            if !self.entry.is_empty() {
                take(&self.entry)?;
                self.entry.clear();
            }
            self.place = Place::After;
        }
        Ok(part.len())
    }
}
