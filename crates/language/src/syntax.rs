//! Tokens and the lossless syntax tree: the tree contains every byte of the file, including errors.

use logos::Logos;

/// Kinds of tokens and nodes.
#[derive(Logos, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u16)]
#[allow(missing_docs)]
pub enum SyntaxKind {
    #[regex(r"[ \t\r]+")]
    Whitespace,
    #[token("\n")]
    Newline,
    #[regex(r"//[^\n]*")]
    Comment,
    #[token("{")]
    OpenBrace,
    #[token("}")]
    CloseBrace,
    #[token("[")]
    OpenBracket,
    #[token("]")]
    CloseBracket,
    #[token("(")]
    OpenParen,
    #[token(")")]
    CloseParen,
    #[token(":")]
    Colon,
    #[token(",")]
    Comma,
    #[token("?")]
    Question,
    #[token(".")]
    Dot,
    #[token("...")]
    Ellipsis,
    #[token("|")]
    Or,
    #[token("&")]
    And,
    #[token("*")]
    Star,
    #[token("<=")]
    LessOrEqual,
    #[token(">=")]
    GreaterOrEqual,
    #[token("<")]
    Less,
    #[token(">")]
    Greater,
    #[token("!=")]
    NotEqual,
    #[token("include")]
    Include,
    #[token("true")]
    True,
    #[token("false")]
    False,
    #[regex(r"#?[A-Za-z_][A-Za-z0-9_]*")]
    Name,
    /// A number with its suffix, which is not checked here.
    #[regex(r"-?[0-9][0-9_]*(\.[0-9]+)?([A-Za-z%/]+[A-Za-z0-9/%]*)?")]
    Number,
    #[regex(r#""([^"\\\n]|\\[^\n])*""#)]
    Text,
    /// A text without the closing quote.
    #[regex(r#""([^"\\\n]|\\[^\n])*"#, priority = 1)]
    UnterminatedText,

    // Nodes.
    Error,
    File,
    IncludeStatement,
    Field,
    Label,
    Record,
    List,
    Rest,
    Disjunction,
    Default,
    Conjunction,
    Bound,
    Reference,
    Literal,
    Group,
}

/// The language type that `rowan` requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Language {}

const KINDS: [SyntaxKind; 42] = [
    SyntaxKind::Whitespace,
    SyntaxKind::Newline,
    SyntaxKind::Comment,
    SyntaxKind::OpenBrace,
    SyntaxKind::CloseBrace,
    SyntaxKind::OpenBracket,
    SyntaxKind::CloseBracket,
    SyntaxKind::OpenParen,
    SyntaxKind::CloseParen,
    SyntaxKind::Colon,
    SyntaxKind::Comma,
    SyntaxKind::Question,
    SyntaxKind::Dot,
    SyntaxKind::Ellipsis,
    SyntaxKind::Or,
    SyntaxKind::And,
    SyntaxKind::Star,
    SyntaxKind::LessOrEqual,
    SyntaxKind::GreaterOrEqual,
    SyntaxKind::Less,
    SyntaxKind::Greater,
    SyntaxKind::NotEqual,
    SyntaxKind::Include,
    SyntaxKind::True,
    SyntaxKind::False,
    SyntaxKind::Name,
    SyntaxKind::Number,
    SyntaxKind::Text,
    SyntaxKind::UnterminatedText,
    SyntaxKind::Error,
    SyntaxKind::File,
    SyntaxKind::IncludeStatement,
    SyntaxKind::Field,
    SyntaxKind::Label,
    SyntaxKind::Record,
    SyntaxKind::List,
    SyntaxKind::Rest,
    SyntaxKind::Disjunction,
    SyntaxKind::Default,
    SyntaxKind::Conjunction,
    SyntaxKind::Bound,
    SyntaxKind::Reference,
];
const REMAINING_KINDS: [SyntaxKind; 2] = [SyntaxKind::Literal, SyntaxKind::Group];

impl rowan::Language for Language {
    type Kind = SyntaxKind;

    fn kind_from_raw(raw: rowan::SyntaxKind) -> SyntaxKind {
        let at = raw.0 as usize;
        KINDS.get(at).or_else(|| REMAINING_KINDS.get(at - KINDS.len())).copied().unwrap_or(SyntaxKind::Error)
    }

    fn kind_to_raw(kind: SyntaxKind) -> rowan::SyntaxKind {
        rowan::SyntaxKind(kind as u16)
    }
}

/// A node of the tree.
pub type Node = rowan::SyntaxNode<Language>;
/// A token of the tree.
pub type Token = rowan::SyntaxToken<Language>;

/// A token with its text and position.
#[derive(Clone, Copy, Debug)]
pub struct Lexeme<'a> {
    /// Its kind; [`SyntaxKind::Error`] for an unrecognized character.
    pub kind: SyntaxKind,
    /// The source text.
    pub text: &'a str,
    /// Byte offset of its start.
    pub at: usize,
}

/// Splits a text into tokens without dropping any byte.
pub fn lex(text: &str) -> Vec<Lexeme<'_>> {
    let mut lexer = SyntaxKind::lexer(text);
    let mut all = Vec::new();
    while let Some(kind) = lexer.next() {
        all.push(Lexeme {
            kind: kind.unwrap_or(SyntaxKind::Error),
            text: lexer.slice(),
            at: lexer.span().start,
        });
    }
    all
}
