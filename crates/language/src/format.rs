//! The formatter. It changes only whitespace, line breaks and commas, and is idempotent.

use crate::parser::parse;
use crate::syntax::{lex, SyntaxKind};

/// Spaces per indentation level.
const INDENT: usize = 2;
/// A record or list written on one line stays there if the line is shorter than this.
const MAX_LINE_WIDTH: usize = 100;

/// Formats a file; `None` if it has syntax errors.
pub fn format(text: &str) -> Option<String> {
    if !parse(text).diagnostics.is_empty() {
        return None;
    }
    let tokens: Vec<(SyntaxKind, &str)> = lex(text).into_iter().map(|t| (t.kind, t.text)).collect();
    let mut out = Output {
        text: String::with_capacity(text.len()),
        depth: 0,
        pending_newlines: 0,
        at_line_start: true,
    };
    let mut at = 0;
    let mut inline: Vec<bool> = Vec::new();
    let mut previous = None;
    while let Some(&(kind, text)) = tokens.get(at) {
        match kind {
            SyntaxKind::Whitespace => {}
            SyntaxKind::Newline => out.pending_newlines += 1,
            SyntaxKind::Comment => out.write_comment(text.trim_end()),
            SyntaxKind::OpenBrace | SyntaxKind::OpenBracket => {
                let is_inline =
                    inline.last().copied().unwrap_or(false) || fits_on_line(&tokens[at..], out.column());
                let empty = next_significant(&tokens, at + 1)
                    .is_some_and(|k| matches!(k, SyntaxKind::CloseBrace | SyntaxKind::CloseBracket));
                out.write_token(kind, text, previous);
                inline.push(is_inline);
                out.depth += usize::from(!is_inline);
                if !is_inline && !empty {
                    out.pending_newlines = 1;
                    out.break_line();
                }
                if is_inline {
                    out.pending_newlines = 0;
                }
            }
            SyntaxKind::CloseBrace | SyntaxKind::CloseBracket => {
                let is_inline = inline.pop().unwrap_or(true);
                if is_inline {
                    out.pending_newlines = 0;
                } else {
                    out.depth = out.depth.saturating_sub(1);
                    if !matches!(previous, Some(SyntaxKind::OpenBrace | SyntaxKind::OpenBracket)) {
                        out.pending_newlines = 1;
                        out.break_line();
                    } else {
                        out.pending_newlines = 0;
                        out.undo_line_break();
                    }
                }
                out.write_token(kind, text, previous);
            }
            SyntaxKind::Comma => {
                // A comma before a line break is redundant.
                let at_line_end = ends_line(&tokens, at + 1);
                let is_inline = inline.last().copied().unwrap_or(false);
                let closes = matches!(
                    next_significant(&tokens, at + 1),
                    Some(SyntaxKind::CloseBrace | SyntaxKind::CloseBracket) | None
                );
                if is_inline && !closes {
                    out.pending_newlines = 0;
                    out.text.push(',');
                } else if !is_inline && !at_line_end {
                    out.pending_newlines = 1;
                    out.break_line();
                    previous = None;
                    at += 1;
                    continue;
                }
            }
            _ => {
                if inline.last().copied().unwrap_or(false) {
                    // Joined lines are separated by commas.
                    if out.pending_newlines > 0 && ends_value(previous) {
                        out.text.push(',');
                    }
                    out.pending_newlines = 0;
                }
                out.write_token(kind, text, previous);
            }
        }
        if !matches!(kind, SyntaxKind::Whitespace | SyntaxKind::Newline) {
            previous = Some(kind);
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

struct Output {
    text: String,
    depth: usize,
    /// Newlines in the input since the previous token.
    pending_newlines: usize,
    /// Whether the current output line is empty.
    at_line_start: bool,
}

impl Output {
    fn column(&self) -> usize {
        self.text.len() - self.text.rfind('\n').map_or(0, |at| at + 1)
    }

    fn break_line(&mut self) {
        if !self.at_line_start {
            self.text.push('\n');
            self.at_line_start = true;
        }
        // Keeps at most one empty line, and none at the start of the file.
        if self.pending_newlines > 1 && !self.text.is_empty() && !self.text.ends_with("\n\n") {
            self.text.push('\n');
        }
        self.pending_newlines = 0;
    }

    /// Removes a line break that turned out to be unnecessary.
    fn undo_line_break(&mut self) {
        let end = self.text.trim_end().len();
        self.text.truncate(end);
        self.at_line_start = false;
    }

    fn write_indent(&mut self) {
        if self.at_line_start {
            self.text.push_str(&" ".repeat(INDENT * self.depth));
            self.at_line_start = false;
        }
    }

    fn write_token(&mut self, kind: SyntaxKind, text: &str, previous: Option<SyntaxKind>) {
        if self.pending_newlines > 0 {
            self.break_line();
        }
        let first = self.at_line_start;
        self.write_indent();
        if !first && previous.is_some_and(|previous| needs_space(previous, kind)) {
            self.text.push(' ');
        }
        self.text.push_str(text);
    }

    fn write_comment(&mut self, text: &str) {
        if self.pending_newlines > 0 || self.at_line_start {
            self.break_line();
            self.write_indent();
        } else {
            self.text.push_str("  ");
        }
        self.text.push_str(text);
        self.pending_newlines = 0;
        // A comment always ends its line.
        self.text.push('\n');
        self.at_line_start = true;
    }
}

/// Whether a space separates two tokens on one line.
fn needs_space(previous: SyntaxKind, next: SyntaxKind) -> bool {
    use SyntaxKind::*;
    !matches!(
        (previous, next),
        (_, Colon | Comma | Question | Dot | CloseParen | CloseBracket)
            | (Dot | OpenParen | OpenBracket | Star | Ellipsis, _)
            | (LessOrEqual | GreaterOrEqual | Less | Greater | NotEqual, _)
            | (OpenBrace, CloseBrace)
    )
}

/// Whether a token can end a field or element, so that a comma must precede the next one.
fn ends_value(previous: Option<SyntaxKind>) -> bool {
    use SyntaxKind::*;
    matches!(
        previous,
        Some(Name | Number | Text | True | False | CloseBrace | CloseBracket | CloseParen | Ellipsis)
    )
}

fn next_significant(tokens: &[(SyntaxKind, &str)], from: usize) -> Option<SyntaxKind> {
    let significant =
        |k: &SyntaxKind| !matches!(k, SyntaxKind::Whitespace | SyntaxKind::Newline | SyntaxKind::Comment);
    tokens[from.min(tokens.len())..].iter().map(|t| t.0).find(significant)
}

fn ends_line(tokens: &[(SyntaxKind, &str)], from: usize) -> bool {
    let rest = &tokens[from.min(tokens.len())..];
    rest.iter()
        .map(|t| t.0)
        .find(|k| *k != SyntaxKind::Whitespace)
        .is_none_or(|k| matches!(k, SyntaxKind::Newline | SyntaxKind::Comment))
}

/// Whether a record or list was written on one line and is short enough to stay there.
fn fits_on_line(tokens: &[(SyntaxKind, &str)], column: usize) -> bool {
    let (mut depth, mut width) = (0_usize, column);
    for (kind, text) in tokens {
        match kind {
            SyntaxKind::Newline | SyntaxKind::Comment => return false,
            SyntaxKind::OpenBrace | SyntaxKind::OpenBracket => depth += 1,
            SyntaxKind::CloseBrace | SyntaxKind::CloseBracket => {
                depth -= 1;
                if depth == 0 {
                    return width < MAX_LINE_WIDTH;
                }
            }
            SyntaxKind::Whitespace => continue,
            _ => {}
        }
        width += text.len() + 1;
    }
    false
}
