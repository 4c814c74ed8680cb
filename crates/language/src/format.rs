//! The formatter: one way to lay a file out. Only blanks change; formatting what was formatted changes nothing.

use crate::parser::parse;
use crate::syntax::{lex, Kind};

/// Blanks of a level.
const INDENT: usize = 2;
/// Longest line on which a record or list that was written on one line stays.
const WIDTH: usize = 100;

/// Lays a file out; none where it can't be read.
pub fn format(text: &str) -> Option<String> {
    if !parse(text).faults.is_empty() {
        return None;
    }
    let tokens: Vec<(Kind, &str)> = lex(text).into_iter().map(|t| (t.kind, t.text)).collect();
    let mut out = Out { text: String::with_capacity(text.len()), depth: 0, lines: 0, fresh: true };
    let mut at = 0;
    let mut flat: Vec<bool> = Vec::new();
    let mut last = None;
    while let Some(&(kind, word)) = tokens.get(at) {
        match kind {
            Kind::Space => {}
            Kind::Newline => out.lines += 1,
            Kind::Comment => out.comment(word.trim_end()),
            Kind::OpenBrace | Kind::OpenBracket => {
                let is_flat = flat.last().copied().unwrap_or(false) || fits(&tokens[at..], out.column());
                let empty =
                    next(&tokens, at + 1).is_some_and(|k| matches!(k, Kind::CloseBrace | Kind::CloseBracket));
                out.word(kind, word, last);
                flat.push(is_flat);
                out.depth += usize::from(!is_flat);
                if !is_flat && !empty {
                    out.lines = 1;
                    out.break_line();
                }
                if is_flat {
                    out.lines = 0;
                }
            }
            Kind::CloseBrace | Kind::CloseBracket => {
                let is_flat = flat.pop().unwrap_or(true);
                if is_flat {
                    out.lines = 0;
                } else {
                    out.depth = out.depth.saturating_sub(1);
                    if !matches!(last, Some(Kind::OpenBrace | Kind::OpenBracket)) {
                        out.lines = 1;
                        out.break_line();
                    } else {
                        out.lines = 0;
                        out.unbreak();
                    }
                }
                out.word(kind, word, last);
            }
            Kind::Comma => {
                // At the end of a line a comma says nothing that the line's end does not.
                let ends = ends_line(&tokens, at + 1);
                let is_flat = flat.last().copied().unwrap_or(false);
                let closes =
                    matches!(next(&tokens, at + 1), Some(Kind::CloseBrace | Kind::CloseBracket) | None);
                if is_flat && !closes {
                    out.lines = 0;
                    out.text.push(',');
                } else if !is_flat && !ends {
                    out.lines = 1;
                    out.break_line();
                    last = None;
                    at += 1;
                    continue;
                }
            }
            _ => {
                if flat.last().copied().unwrap_or(false) {
                    // Lines of what fits on one line are joined; commas stand between its fields.
                    if out.lines > 0 && joins(last) {
                        out.text.push(',');
                    }
                    out.lines = 0;
                }
                out.word(kind, word, last);
            }
        }
        if !matches!(kind, Kind::Space | Kind::Newline) {
            last = Some(kind);
        }
        at += 1;
    }
    let end = out.text.trim_end().len();
    out.text.truncate(end);
    if !out.text.is_empty() {
        out.text.push('\n');
    }
    Some(out.text)
}

struct Out {
    text: String,
    depth: usize,
    /// Line ends since the last word.
    lines: usize,
    /// Nothing stands on the present line.
    fresh: bool,
}

impl Out {
    fn column(&self) -> usize {
        self.text.len() - self.text.rfind('\n').map_or(0, |at| at + 1)
    }

    fn break_line(&mut self) {
        if !self.fresh {
            self.text.push('\n');
            self.fresh = true;
        }
        // One empty line is kept, more are not; none stands at the start of a file.
        if self.lines > 1 && !self.text.is_empty() && !self.text.ends_with("\n\n") {
            self.text.push('\n');
        }
        self.lines = 0;
    }

    /// Takes back a line end that was made for nothing.
    fn unbreak(&mut self) {
        let end = self.text.trim_end().len();
        self.text.truncate(end);
        self.fresh = false;
    }

    fn begin(&mut self) {
        if self.fresh {
            self.text.push_str(&" ".repeat(INDENT * self.depth));
            self.fresh = false;
        }
    }

    fn word(&mut self, kind: Kind, word: &str, last: Option<Kind>) {
        if self.lines > 0 {
            self.break_line();
        }
        let first = self.fresh;
        self.begin();
        if !first && last.is_some_and(|last| spaced(last, kind)) {
            self.text.push(' ');
        }
        self.text.push_str(word);
    }

    fn comment(&mut self, word: &str) {
        if self.lines > 0 || self.fresh {
            self.break_line();
            self.begin();
        } else {
            self.text.push_str("  ");
        }
        self.text.push_str(word);
        self.lines = 0;
        // What follows a comment is on another line whatever comes.
        self.text.push('\n');
        self.fresh = true;
    }
}

/// Whether a blank stands between two words on a line.
fn spaced(last: Kind, next: Kind) -> bool {
    use Kind::*;
    !matches!(
        (last, next),
        (_, Colon | Comma | Question | Dot | CloseParen | CloseBracket)
            | (Dot | OpenParen | OpenBracket | Star | Ellipsis, _)
            | (AtMost | AtLeast | Below | Above | Not, _)
            | (OpenBrace, CloseBrace)
    )
}

/// Whether a field or element ends here, so that a comma must stand before the next.
fn joins(last: Option<Kind>) -> bool {
    use Kind::*;
    matches!(
        last,
        Some(Name | Number | Text | True | False | CloseBrace | CloseBracket | CloseParen | Ellipsis)
    )
}

fn next(tokens: &[(Kind, &str)], from: usize) -> Option<Kind> {
    let solid = |k: &Kind| !matches!(k, Kind::Space | Kind::Newline | Kind::Comment);
    tokens[from.min(tokens.len())..].iter().map(|t| t.0).find(solid)
}

fn ends_line(tokens: &[(Kind, &str)], from: usize) -> bool {
    let rest = &tokens[from.min(tokens.len())..];
    rest.iter()
        .map(|t| t.0)
        .find(|k| *k != Kind::Space)
        .is_none_or(|k| matches!(k, Kind::Newline | Kind::Comment))
}

/// Whether a record or list was written on one line and fits on one.
fn fits(tokens: &[(Kind, &str)], column: usize) -> bool {
    let (mut depth, mut width) = (0_usize, column);
    for (kind, word) in tokens {
        match kind {
            Kind::Newline | Kind::Comment => return false,
            Kind::OpenBrace | Kind::OpenBracket => depth += 1,
            Kind::CloseBrace | Kind::CloseBracket => {
                depth -= 1;
                if depth == 0 {
                    return width < WIDTH;
                }
            }
            Kind::Space => continue,
            _ => {}
        }
        width += word.len() + 1;
    }
    false
}
