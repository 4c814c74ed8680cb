//! Recursive-descent parser with error recovery at the next field, so that several errors are
//! reported in one run. Nesting depth and file size are bounded.
//!
//! The grammar is in `docs/language.md`.

use rowan::{GreenNode, GreenNodeBuilder, Language as _};

use crate::diagnostic::{Diagnostic, Span};
use crate::syntax::{lex, Language, Lexeme, Node, SyntaxKind};

/// Largest accepted file.
pub const MAX_FILE_BYTES: usize = 1 << 20;
/// Deepest nesting of records, lists and groups.
pub const MAX_DEPTH: usize = 64;
/// Syntax errors reported per file; further ones are mostly consequences of the first.
const MAX_DIAGNOSTICS: usize = 20;

/// The syntax tree of a file and its syntax errors.
#[derive(Clone, Debug)]
pub struct Parsed {
    green: GreenNode,
    /// Syntax errors, in source order.
    pub diagnostics: Vec<Diagnostic>,
}

impl Parsed {
    /// The root of the tree.
    pub fn root(&self) -> Node {
        Node::new_root(self.green.clone())
    }
}

struct Parser<'a> {
    tokens: Vec<Lexeme<'a>>,
    at: usize,
    depth: usize,
    builder: GreenNodeBuilder<'static>,
    diagnostics: Vec<Diagnostic>,
    length: usize,
}

/// Parses a file.
pub fn parse(text: &str) -> Parsed {
    let mut parser = Parser {
        tokens: Vec::new(),
        at: 0,
        depth: 0,
        builder: GreenNodeBuilder::new(),
        diagnostics: Vec::new(),
        length: text.len(),
    };
    if text.len() > MAX_FILE_BYTES {
        let diagnostic = Diagnostic::new(Span::new(0, 0), "the file is too long")
            .fix(format!("keep each file under {MAX_FILE_BYTES} bytes; split it with include"));
        parser.diagnostics.push(diagnostic);
    } else {
        parser.tokens = lex(text);
    }
    parser.builder.start_node(Language::kind_to_raw(SyntaxKind::File));
    parser.fields(None);
    parser.builder.finish_node();
    Parsed { green: parser.builder.finish(), diagnostics: parser.diagnostics }
}

impl Parser<'_> {
    // ---- Tokens
    // ------------------------------------------------------------------------------------

    fn kind_at(&self, at: usize) -> Option<SyntaxKind> {
        self.tokens.get(at).map(|t| t.kind)
    }

    /// Index of the next token that is not trivia, and whether a newline precedes it.
    fn lookahead(&self) -> (usize, bool) {
        let (mut at, mut newline) = (self.at, false);
        while let Some(kind) = self.kind_at(at) {
            match kind {
                SyntaxKind::Newline => newline = true,
                SyntaxKind::Whitespace | SyntaxKind::Comment => {}
                _ => break,
            }
            at += 1;
        }
        (at, newline)
    }

    fn peek(&self) -> Option<SyntaxKind> {
        self.kind_at(self.lookahead().0)
    }

    fn span(&self) -> Span {
        match self.tokens.get(self.lookahead().0) {
            Some(token) => Span::new(token.at, token.at + token.text.len()),
            None => Span::new(self.length, self.length),
        }
    }

    fn text(&self) -> &str {
        self.tokens.get(self.lookahead().0).map_or("the end of the file", |t| t.text)
    }

    /// Adds whitespace and comments up to the next token to the tree.
    fn bump_trivia(&mut self) {
        let (to, _) = self.lookahead();
        while self.at < to {
            self.push();
        }
    }

    fn push(&mut self) {
        if let Some(token) = self.tokens.get(self.at) {
            self.builder.token(Language::kind_to_raw(token.kind), token.text);
            self.at += 1;
        }
    }

    fn bump(&mut self) {
        self.bump_trivia();
        self.push();
    }

    fn eat(&mut self, kind: SyntaxKind) -> bool {
        let matches = self.peek() == Some(kind);
        if matches {
            self.bump();
        }
        matches
    }

    fn start(&mut self, kind: SyntaxKind) {
        self.builder.start_node(Language::kind_to_raw(kind));
    }

    fn report(&mut self, span: Span, message: impl Into<String>, fix: impl Into<String>) {
        // Further errors at one position are consequences of the first.
        let same = self.diagnostics.last().is_some_and(|f| f.span.start == span.start);
        if !same && self.diagnostics.len() < MAX_DIAGNOSTICS {
            self.diagnostics.push(Diagnostic::new(span, message).fix(fix));
        }
    }

    // ---- Fields
    // ------------------------------------------------------------------------------------

    /// Parses fields up to the closing brace or the end of the file.
    fn fields(&mut self, open: Option<Span>) {
        loop {
            self.bump_trivia();
            match self.peek() {
                None => {
                    if let Some(open) = open {
                        self.report(open, "unclosed record", "add the closing }");
                    }
                    return;
                }
                Some(SyntaxKind::CloseBrace) if open.is_some() => return,
                Some(SyntaxKind::Comma) => self.bump(),
                Some(SyntaxKind::Ellipsis) => {
                    self.start(SyntaxKind::Rest);
                    self.bump();
                    let (at, newline) = self.lookahead();
                    if !newline
                        && !matches!(
                            self.kind_at(at),
                            Some(SyntaxKind::CloseBrace | SyntaxKind::Comma) | None
                        )
                    {
                        self.value();
                    }
                    self.builder.finish_node();
                    self.separator();
                }
                Some(SyntaxKind::Include) if open.is_none() => self.include(),
                Some(
                    SyntaxKind::Name
                    | SyntaxKind::Text
                    | SyntaxKind::Include
                    | SyntaxKind::True
                    | SyntaxKind::False,
                ) => self.field(),
                Some(_) => {
                    let (span, text) = (self.span(), self.text().to_owned());
                    self.report(span, format!("expected a field, found {text:?}"), "write NAME: VALUE");
                    self.skip_to_separator();
                }
            }
        }
    }

    fn include(&mut self) {
        self.start(SyntaxKind::IncludeStatement);
        self.bump();
        if !self.eat(SyntaxKind::Text) {
            let span = self.span();
            self.report(span, "include without a file name", "write the file's name: include \"pools.conf\"");
        }
        self.builder.finish_node();
        self.separator();
    }

    fn field(&mut self) {
        self.start(SyntaxKind::Field);
        self.start(SyntaxKind::Label);
        let (span, name) = (self.span(), self.text().to_owned());
        self.bump();
        self.eat(SyntaxKind::Question);
        self.builder.finish_node();
        if self.eat(SyntaxKind::Colon) {
            self.value();
        } else if self.peek() == Some(SyntaxKind::OpenBrace) {
            let fix = format!("write {name}: {{");
            self.report(span, format!("missing : after {name}"), fix);
            self.value();
        } else {
            let fix = format!("write {name}: VALUE");
            self.report(span, format!("missing : after {name}"), fix);
            // Skips the rest of the line, which was probably meant as the value.
            if !self.lookahead().1 {
                self.skip_to_separator();
            }
        }
        self.builder.finish_node();
        self.separator();
    }

    /// Expects a comma, a newline or a closing bracket after a field.
    fn separator(&mut self) {
        let (at, newline) = self.lookahead();
        match self.kind_at(at) {
            None | Some(SyntaxKind::CloseBrace | SyntaxKind::CloseBracket) => {}
            Some(SyntaxKind::Comma) => self.bump(),
            Some(_) if newline => {}
            Some(_) => {
                let (span, text) = (self.span(), self.text().to_owned());
                let fix = "end the field with a comma or a new line";
                self.report(span, format!("unexpected {text:?} after a field"), fix);
                self.skip_to_separator();
            }
        }
    }

    /// Error recovery: skips to the next newline, comma or closing brace at this level.
    fn skip_to_separator(&mut self) {
        self.bump_trivia();
        self.start(SyntaxKind::Error);
        let mut depth = 0_usize;
        while let Some(kind) = self.kind_at(self.at) {
            match kind {
                SyntaxKind::Newline | SyntaxKind::Comma if depth == 0 => break,
                SyntaxKind::OpenBrace | SyntaxKind::OpenBracket | SyntaxKind::OpenParen => depth += 1,
                SyntaxKind::CloseBrace | SyntaxKind::CloseBracket | SyntaxKind::CloseParen if depth > 0 => {
                    depth -= 1
                }
                SyntaxKind::CloseBrace if self.depth > 0 => break,
                _ => {}
            }
            self.push();
        }
        self.builder.finish_node();
    }

    // ---- Values
    // ------------------------------------------------------------------------------------

    fn value(&mut self) {
        if self.depth >= MAX_DEPTH {
            let span = self.span();
            self.report(span, "values are nested too deeply", format!("nest at most {MAX_DEPTH} levels"));
            return self.skip_to_separator();
        }
        self.depth += 1;
        self.disjunction();
        self.depth -= 1;
    }

    fn disjunction(&mut self) {
        self.bump_trivia();
        let before = self.builder.checkpoint();
        self.alternative();
        if self.peek() == Some(SyntaxKind::Or) {
            self.builder.start_node_at(before, Language::kind_to_raw(SyntaxKind::Disjunction));
            while self.eat(SyntaxKind::Or) {
                self.bump_trivia();
                self.alternative();
            }
            self.builder.finish_node();
        }
    }

    fn alternative(&mut self) {
        if self.peek() == Some(SyntaxKind::Star) {
            self.start(SyntaxKind::Default);
            self.bump();
            self.conjunction();
            self.builder.finish_node();
        } else {
            self.conjunction();
        }
    }

    fn conjunction(&mut self) {
        self.bump_trivia();
        let before = self.builder.checkpoint();
        self.operand();
        if self.peek() == Some(SyntaxKind::And) {
            self.builder.start_node_at(before, Language::kind_to_raw(SyntaxKind::Conjunction));
            while self.eat(SyntaxKind::And) {
                self.bump_trivia();
                self.operand();
            }
            self.builder.finish_node();
        }
    }

    fn operand(&mut self) {
        match self.peek() {
            Some(
                SyntaxKind::LessOrEqual
                | SyntaxKind::GreaterOrEqual
                | SyntaxKind::Less
                | SyntaxKind::Greater
                | SyntaxKind::NotEqual,
            ) => {
                self.start(SyntaxKind::Bound);
                self.bump();
                self.bump_trivia();
                self.primary();
                self.builder.finish_node();
            }
            _ => self.primary(),
        }
    }

    fn primary(&mut self) {
        let span = self.span();
        match self.peek() {
            Some(SyntaxKind::Number | SyntaxKind::Text | SyntaxKind::True | SyntaxKind::False) => {
                self.start(SyntaxKind::Literal);
                self.bump();
                self.builder.finish_node();
            }
            Some(SyntaxKind::UnterminatedText) => {
                self.report(span, "unterminated text", "close it with \" on the same line");
                self.start(SyntaxKind::Literal);
                self.bump();
                self.builder.finish_node();
            }
            Some(SyntaxKind::Name) => {
                self.start(SyntaxKind::Reference);
                self.bump();
                while self.eat(SyntaxKind::Dot) {
                    if !(self.eat(SyntaxKind::Name) || self.eat(SyntaxKind::Text)) {
                        let span = self.span();
                        self.report(span, "missing field name after the dot", "write RECORD.FIELD");
                        break;
                    }
                }
                self.builder.finish_node();
            }
            Some(SyntaxKind::OpenBrace) => {
                self.start(SyntaxKind::Record);
                self.bump();
                self.fields(Some(span));
                self.eat(SyntaxKind::CloseBrace);
                self.builder.finish_node();
            }
            Some(SyntaxKind::OpenBracket) => self.list(span),
            Some(SyntaxKind::OpenParen) => {
                self.start(SyntaxKind::Group);
                self.bump();
                self.value();
                if !self.eat(SyntaxKind::CloseParen) {
                    self.report(span, "unclosed group", "add the closing )");
                }
                self.builder.finish_node();
            }
            _ => {
                let text = self.text().to_owned();
                let fix = "write a number with its unit, a text, true, false, a name, { } or [ ]";
                self.report(span, format!("expected a value, found {}", quoted(&text)), fix);
                // Closing brackets and the next line are left to the enclosing rule.
                let (at, newline) = self.lookahead();
                let closes = matches!(
                    self.kind_at(at),
                    None | Some(SyntaxKind::CloseBrace | SyntaxKind::CloseBracket | SyntaxKind::CloseParen)
                );
                if !closes && !newline {
                    self.skip_to_separator();
                }
            }
        }
    }

    fn list(&mut self, open: Span) {
        self.start(SyntaxKind::List);
        self.bump();
        loop {
            match self.peek() {
                Some(SyntaxKind::CloseBracket) => break self.bump(),
                None => break self.report(open, "unclosed list", "add the closing ]"),
                Some(SyntaxKind::Ellipsis) => {
                    self.bump_trivia();
                    self.start(SyntaxKind::Rest);
                    self.bump();
                    if !matches!(self.peek(), Some(SyntaxKind::CloseBracket | SyntaxKind::Comma) | None) {
                        self.value();
                    }
                    self.builder.finish_node();
                }
                Some(SyntaxKind::CloseBrace) => {
                    break self.report(open, "unclosed list", "add the closing ]")
                }
                Some(_) => {
                    let before = self.at;
                    self.value();
                    if self.at == before {
                        self.bump();
                    }
                }
            }
            let (at, newline) = self.lookahead();
            match self.kind_at(at) {
                Some(SyntaxKind::Comma) => self.bump(),
                Some(SyntaxKind::CloseBracket) | None => {}
                Some(_) if newline => {}
                Some(_) => {
                    let (span, text) = (self.span(), self.text().to_owned());
                    self.report(
                        span,
                        format!("unexpected {} after a list element", quoted(&text)),
                        "put a comma between elements",
                    );
                }
            }
        }
        self.builder.finish_node();
    }
}

fn quoted(text: &str) -> String {
    if text == "\n" || text.starts_with("the end") {
        text.trim().to_owned()
    } else {
        format!("{text:?}")
    }
}
