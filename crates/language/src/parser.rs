//! From text to tree: recursive descent over a flat list of tokens, with recovery at the next field, so that several
//! faults are told at once. Depth and size are bounded.
//!
//! The grammar is in `docs/language.md`.

use rowan::{GreenNode, GreenNodeBuilder, Language as _};

use crate::fault::{Fault, Span};
use crate::syntax::{lex, Kind, Language, Lexeme, Node};

/// Longest file (bytes), and deepest nesting of records, lists and groups.
pub const LONGEST: usize = 1 << 20;
/// Deepest nesting of records, lists and groups.
pub const DEEPEST: usize = 64;
/// Faults told of one file (count): what follows so many says little.
const FAULTS_MOST: usize = 20;

/// A file's tree with what is wrong with it.
#[derive(Clone, Debug)]
pub struct Parsed {
    green: GreenNode,
    /// What is wrong with its syntax, in order.
    pub faults: Vec<Fault>,
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
    faults: Vec<Fault>,
    length: usize,
}

/// Reads a file.
pub fn parse(text: &str) -> Parsed {
    let mut parser = Parser {
        tokens: Vec::new(),
        at: 0,
        depth: 0,
        builder: GreenNodeBuilder::new(),
        faults: Vec::new(),
        length: text.len(),
    };
    if text.len() > LONGEST {
        let fault = Fault::new(Span::new(0, 0), "the file is too long")
            .fix(format!("keep a file under {LONGEST} bytes; divide it with include"));
        parser.faults.push(fault);
    } else {
        parser.tokens = lex(text);
    }
    parser.builder.start_node(Language::kind_to_raw(Kind::File));
    parser.fields(None);
    parser.builder.finish_node();
    Parsed { green: parser.builder.finish(), faults: parser.faults }
}

impl Parser<'_> {
    // ---- Tokens ------------------------------------------------------------------------------------

    fn raw(&self, at: usize) -> Option<Kind> {
        self.tokens.get(at).map(|t| t.kind)
    }

    /// Index of the next token that says something, and whether a line ends before it.
    fn ahead(&self) -> (usize, bool) {
        let (mut at, mut newline) = (self.at, false);
        while let Some(kind) = self.raw(at) {
            match kind {
                Kind::Newline => newline = true,
                Kind::Space | Kind::Comment => {}
                _ => break,
            }
            at += 1;
        }
        (at, newline)
    }

    fn peek(&self) -> Option<Kind> {
        self.raw(self.ahead().0)
    }

    fn span(&self) -> Span {
        match self.tokens.get(self.ahead().0) {
            Some(token) => Span::new(token.at, token.at + token.text.len()),
            None => Span::new(self.length, self.length),
        }
    }

    fn text(&self) -> &str {
        self.tokens.get(self.ahead().0).map_or("the end of the file", |t| t.text)
    }

    /// Puts blanks and comments up to the next token into the tree.
    fn blanks(&mut self) {
        let (to, _) = self.ahead();
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

    fn take(&mut self) {
        self.blanks();
        self.push();
    }

    fn eat(&mut self, kind: Kind) -> bool {
        let there = self.peek() == Some(kind);
        if there {
            self.take();
        }
        there
    }

    fn start(&mut self, kind: Kind) {
        self.builder.start_node(Language::kind_to_raw(kind));
    }

    fn fault(&mut self, span: Span, what: impl Into<String>, fix: impl Into<String>) {
        // One fault a place: what follows from the first says nothing new.
        let same = self.faults.last().is_some_and(|f| f.span.start == span.start);
        if !same && self.faults.len() < FAULTS_MOST {
            self.faults.push(Fault::new(span, what).fix(fix));
        }
    }

    // ---- Fields ------------------------------------------------------------------------------------

    /// Fields up to the closing brace, or to the end of the file.
    fn fields(&mut self, open: Option<Span>) {
        loop {
            self.blanks();
            match self.peek() {
                None => {
                    if let Some(open) = open {
                        self.fault(open, "this record has no end", "close it with }");
                    }
                    return;
                }
                Some(Kind::CloseBrace) if open.is_some() => return,
                Some(Kind::Comma) => self.take(),
                Some(Kind::Ellipsis) => {
                    self.start(Kind::Open);
                    self.take();
                    let (at, newline) = self.ahead();
                    if !newline && !matches!(self.raw(at), Some(Kind::CloseBrace | Kind::Comma) | None) {
                        self.value();
                    }
                    self.builder.finish_node();
                    self.separator();
                }
                Some(Kind::Include) if open.is_none() => self.include(),
                Some(Kind::Name | Kind::Text | Kind::Include | Kind::True | Kind::False) => self.field(),
                Some(_) => {
                    let (span, text) = (self.span(), self.text().to_owned());
                    self.fault(span, format!("{text:?} does not begin a field"), "write NAME: VALUE");
                    self.skip();
                }
            }
        }
    }

    fn include(&mut self) {
        self.start(Kind::IncludeLine);
        self.take();
        if !self.eat(Kind::Text) {
            let span = self.span();
            self.fault(span, "include names no file", "write the file's name: include \"pools.conf\"");
        }
        self.builder.finish_node();
        self.separator();
    }

    fn field(&mut self) {
        self.start(Kind::Field);
        self.start(Kind::Label);
        let (span, name) = (self.span(), self.text().to_owned());
        self.take();
        self.eat(Kind::Question);
        self.builder.finish_node();
        if self.eat(Kind::Colon) {
            self.value();
        } else if self.peek() == Some(Kind::OpenBrace) {
            let fix = format!("write {name}: {{");
            self.fault(span, format!("no : stands behind {name}"), fix);
            self.value();
        } else {
            let fix = format!("write {name}: VALUE");
            self.fault(span, format!("no : stands behind {name}"), fix);
            // What else is on the line was meant to be the value.
            if !self.ahead().1 {
                self.skip();
            }
        }
        self.builder.finish_node();
        self.separator();
    }

    /// A comma, the end of the line, or what closes the record must follow a field.
    fn separator(&mut self) {
        let (at, newline) = self.ahead();
        match self.raw(at) {
            None | Some(Kind::CloseBrace | Kind::CloseBracket) => {}
            Some(Kind::Comma) => self.take(),
            Some(_) if newline => {}
            Some(_) => {
                let (span, text) = (self.span(), self.text().to_owned());
                let fix = "end the field with a comma or a new line";
                self.fault(span, format!("{text:?} stands behind the end of a field"), fix);
                self.skip();
            }
        }
    }

    /// Passes over what can't be read, up to the next line or what closes the record.
    fn skip(&mut self) {
        self.blanks();
        self.start(Kind::Error);
        let mut depth = 0_usize;
        while let Some(kind) = self.raw(self.at) {
            match kind {
                Kind::Newline | Kind::Comma if depth == 0 => break,
                Kind::OpenBrace | Kind::OpenBracket | Kind::OpenParen => depth += 1,
                Kind::CloseBrace | Kind::CloseBracket | Kind::CloseParen if depth > 0 => depth -= 1,
                Kind::CloseBrace if self.depth > 0 => break,
                _ => {}
            }
            self.push();
        }
        self.builder.finish_node();
    }

    // ---- Values ------------------------------------------------------------------------------------

    fn value(&mut self) {
        if self.depth >= DEEPEST {
            let span = self.span();
            self.fault(span, "values are nested too deep", format!("nest no deeper than {DEEPEST}"));
            return self.skip();
        }
        self.depth += 1;
        self.disjunction();
        self.depth -= 1;
    }

    fn disjunction(&mut self) {
        self.blanks();
        let before = self.builder.checkpoint();
        self.alternative();
        if self.peek() == Some(Kind::Or) {
            self.builder.start_node_at(before, Language::kind_to_raw(Kind::Disjunction));
            while self.eat(Kind::Or) {
                self.blanks();
                self.alternative();
            }
            self.builder.finish_node();
        }
    }

    fn alternative(&mut self) {
        if self.peek() == Some(Kind::Star) {
            self.start(Kind::Default);
            self.take();
            self.conjunction();
            self.builder.finish_node();
        } else {
            self.conjunction();
        }
    }

    fn conjunction(&mut self) {
        self.blanks();
        let before = self.builder.checkpoint();
        self.operand();
        if self.peek() == Some(Kind::And) {
            self.builder.start_node_at(before, Language::kind_to_raw(Kind::Conjunction));
            while self.eat(Kind::And) {
                self.blanks();
                self.operand();
            }
            self.builder.finish_node();
        }
    }

    fn operand(&mut self) {
        match self.peek() {
            Some(Kind::AtMost | Kind::AtLeast | Kind::Below | Kind::Above | Kind::Not) => {
                self.start(Kind::Bound);
                self.take();
                self.blanks();
                self.primary();
                self.builder.finish_node();
            }
            _ => self.primary(),
        }
    }

    fn primary(&mut self) {
        let span = self.span();
        match self.peek() {
            Some(Kind::Number | Kind::Text | Kind::True | Kind::False) => {
                self.start(Kind::Literal);
                self.take();
                self.builder.finish_node();
            }
            Some(Kind::OpenText) => {
                self.fault(span, "this text has no end", "close it with \" on the same line");
                self.start(Kind::Literal);
                self.take();
                self.builder.finish_node();
            }
            Some(Kind::Name) => {
                self.start(Kind::Reference);
                self.take();
                while self.eat(Kind::Dot) {
                    if !(self.eat(Kind::Name) || self.eat(Kind::Text)) {
                        let span = self.span();
                        self.fault(span, "no name stands behind the dot", "write RECORD.FIELD");
                        break;
                    }
                }
                self.builder.finish_node();
            }
            Some(Kind::OpenBrace) => {
                self.start(Kind::Record);
                self.take();
                self.fields(Some(span));
                self.eat(Kind::CloseBrace);
                self.builder.finish_node();
            }
            Some(Kind::OpenBracket) => self.list(span),
            Some(Kind::OpenParen) => {
                self.start(Kind::Group);
                self.take();
                self.value();
                if !self.eat(Kind::CloseParen) {
                    self.fault(span, "this group has no end", "close it with )");
                }
                self.builder.finish_node();
            }
            _ => {
                let text = self.text().to_owned();
                let fix = "write a number with its unit, a text, true, false, a name, { } or [ ]";
                self.fault(span, format!("{} is no value", shown(&text)), fix);
                // What closes a record or begins the next line is left to whoever waits for it.
                let (at, newline) = self.ahead();
                let closes = matches!(
                    self.raw(at),
                    None | Some(Kind::CloseBrace | Kind::CloseBracket | Kind::CloseParen)
                );
                if !closes && !newline {
                    self.skip();
                }
            }
        }
    }

    fn list(&mut self, open: Span) {
        self.start(Kind::List);
        self.take();
        loop {
            match self.peek() {
                Some(Kind::CloseBracket) => break self.take(),
                None => break self.fault(open, "this list has no end", "close it with ]"),
                Some(Kind::Ellipsis) => {
                    self.blanks();
                    self.start(Kind::Open);
                    self.take();
                    if !matches!(self.peek(), Some(Kind::CloseBracket | Kind::Comma) | None) {
                        self.value();
                    }
                    self.builder.finish_node();
                }
                Some(Kind::CloseBrace) => break self.fault(open, "this list has no end", "close it with ]"),
                Some(_) => {
                    let before = self.at;
                    self.value();
                    if self.at == before {
                        self.take();
                    }
                }
            }
            let (at, newline) = self.ahead();
            match self.raw(at) {
                Some(Kind::Comma) => self.take(),
                Some(Kind::CloseBracket) | None => {}
                Some(_) if newline => {}
                Some(_) => {
                    let (span, text) = (self.span(), self.text().to_owned());
                    self.fault(
                        span,
                        format!("{} stands behind the end of an element", shown(&text)),
                        "put a comma between elements",
                    );
                }
            }
        }
        self.builder.finish_node();
    }
}

fn shown(text: &str) -> String {
    if text == "\n" || text.starts_with("the end") {
        text.trim().to_owned()
    } else {
        format!("{text:?}")
    }
}
