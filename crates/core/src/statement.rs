//! SQL statements: text, parameters, splitting into single statements, and the table group that
//! they name.

/// A statement as a client sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// The text as received.
    pub text: Vec<u8>,
    /// Bound parameters of an extended query, in order.
    pub params: Vec<Param>,
    /// Result format codes, true for binary: empty for text, one entry for all columns, or one per
    /// column.
    pub results: Vec<bool>,
}

/// One bound parameter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Param {
    /// Type OID; 0 lets the engine infer it.
    pub type_id: u32,
    /// Whether the value is in the binary format of its type.
    pub binary: bool,
    /// The value; `None` for NULL.
    pub value: Option<Vec<u8>>,
}

/// A lexical token of SQL, as far as routing needs it.
enum Token {
    /// An identifier or keyword, folded to lower case unless quoted.
    Name(String),
    /// The number of a parameter placeholder, from 1.
    Param(usize),
    /// Any other byte of code.
    Code(u8),
    /// A string literal, a comment or white space.
    Other,
}

struct Tokenizer<'a> {
    rest: &'a [u8],
}

fn end_of(text: &[u8], end: &[u8], from: usize) -> usize {
    let found = text.get(from..).and_then(|t| t.windows(end.len()).position(|w| w == end));
    found.map_or(text.len(), |at| from + at + end.len())
}

fn is_name_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b == b'_' || b >= 0x80
}

/// Returns the end of the quoted text that starts at 0. A doubled quote is an escaped quote.
fn quoted_end(text: &[u8], quote: u8, escapes: bool) -> usize {
    let mut at = 1;
    while at < text.len() {
        let doubled = text[at] == quote && text.get(at + 1) == Some(&quote);
        if doubled || escapes && text[at] == b'\\' {
            at += 2;
        } else if text[at] == quote {
            return at + 1;
        } else {
            at += 1;
        }
    }
    text.len()
}

/// Returns the end of the block comment that starts at 0. Block comments nest.
fn block_comment_end(text: &[u8]) -> usize {
    let (mut at, mut depth) = (2, 1);
    while at < text.len() && depth > 0 {
        match text[at..].get(..2) {
            Some(b"/*") => (at, depth) = (at + 2, depth + 1),
            Some(b"*/") => (at, depth) = (at + 2, depth - 1),
            _ => at += 1,
        }
    }
    at.min(text.len())
}

impl<'a> Iterator for Tokenizer<'a> {
    type Item = (Token, &'a [u8]);

    fn next(&mut self) -> Option<Self::Item> {
        let text = self.rest;
        let (first, second) = (*text.first()?, text.get(1).copied().unwrap_or(0));
        let name_len = text.iter().position(|b| !is_name_byte(*b)).unwrap_or(text.len());
        let (end, token) = match first {
            b'\'' => (quoted_end(text, b'\'', false), None),
            b'e' | b'E' if second == b'\'' => (1 + quoted_end(&text[1..], b'\'', true), None),
            b'-' if second == b'-' => (end_of(text, b"\n", 0), None),
            b'/' if second == b'*' => (block_comment_end(text), None),
            b'"' => {
                let end = quoted_end(text, b'"', false);
                let inner = &text[1..end.max(2) - 1];
                (end, Some(Token::Name(String::from_utf8_lossy(inner).into_owned())))
            }
            b'$' if second.is_ascii_digit() => {
                let digits = text[1..].iter().position(|b| !b.is_ascii_digit()).unwrap_or(text.len() - 1);
                let number = std::str::from_utf8(&text[1..=digits]).ok().and_then(|t| t.parse().ok());
                (digits + 1, Some(Token::Param(number.unwrap_or(0))))
            }
            b'$' => {
                let tag = text[1..].iter().position(|b| !is_name_byte(*b)).map_or(0, |n| n + 1);
                match text.get(tag) {
                    Some(b'$') if tag > 0 => (end_of(text, &text[..=tag], tag + 1), None),
                    _ => (1, Some(Token::Code(b'$'))),
                }
            }
            _ if name_len > 0 => {
                (name_len, Some(Token::Name(String::from_utf8_lossy(&text[..name_len]).to_ascii_lowercase())))
            }
            _ if first.is_ascii_whitespace() => (1, None),
            _ => (1, Some(Token::Code(first))),
        };
        let (token_text, rest) = text.split_at(end.min(text.len()));
        self.rest = rest;
        Some((token.unwrap_or(Token::Other), token_text))
    }
}

fn tokens(text: &[u8]) -> Tokenizer<'_> {
    Tokenizer { rest: text }
}

/// Returns the table group of a statement: the number after the last underscore of the first schema
/// name with such a suffix. Strings, comments and the schema `staging` are ignored.
pub fn table_group(text: &[u8]) -> Option<u64> {
    let code: Vec<Token> = tokens(text).map(|p| p.0).filter(|p| !matches!(p, Token::Other)).collect();
    code.windows(2).find_map(|pair| match pair {
        [Token::Name(name), Token::Code(b'.')] if name != "staging" => {
            name.rsplit_once('_').and_then(|(_, number)| number.parse().ok())
        }
        _ => None,
    })
}

/// Splits a text at each `;` outside strings and comments. Each statement comes with its first names
/// (at most four), lower case unless quoted; the first is empty if it starts with other code. Empty
/// statements are dropped.
pub fn split(text: &[u8]) -> Vec<(Vec<u8>, Vec<String>)> {
    let mut all: Vec<(Vec<u8>, Vec<String>)> = vec![Default::default()];
    for (token, bytes) in tokens(text) {
        if matches!(token, Token::Code(b';')) {
            all.push(Default::default());
        } else if let Some((statement, words)) = all.last_mut() {
            statement.extend_from_slice(bytes);
            match token {
                Token::Name(name) if words.len() < 4 => words.push(name),
                Token::Code(_) | Token::Param(..) if words.is_empty() => words.push(String::new()),
                _ => {}
            }
        }
    }
    all.retain(|s| !s.1.is_empty());
    all
}

/// Returns the highest parameter number of a statement.
pub fn param_count(text: &[u8]) -> usize {
    let number = |p: (Token, &[u8])| if let Token::Param(n) = p.0 { n } else { 0 };
    tokens(text).map(number).max().unwrap_or(0)
}

impl Statement {
    /// A statement without parameters.
    pub fn plain(text: Vec<u8>) -> Self {
        Statement { text, ..Statement::default() }
    }

    /// Returns the text with each parameter replaced by a literal, for engines without bound
    /// parameters. `None` if a parameter is missing or in binary format.
    pub fn inlined(&self) -> Option<Vec<u8>> {
        if self.params.is_empty() {
            return Some(self.text.clone());
        }
        let mut out = Vec::with_capacity(self.text.len());
        for (token, bytes) in tokens(&self.text) {
            let Token::Param(number) = token else {
                out.extend_from_slice(bytes);
                continue;
            };
            let param = number.checked_sub(1).and_then(|n| self.params.get(n))?;
            match &param.value {
                None => out.extend_from_slice(b"NULL"),
                Some(_) if param.binary => return None,
                Some(value) => {
                    // Prevents SQL injection: quotes are doubled, and a backslash is an ordinary
                    // character in a standard string.
                    out.push(b'\'');
                    for byte in value {
                        out.extend(std::iter::repeat_n(*byte, if *byte == b'\'' { 2 } else { 1 }));
                    }
                    out.push(b'\'');
                }
            }
        }
        Some(out)
    }
}
