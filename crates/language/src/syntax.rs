//! Tokens and the lossless tree: every byte of a file is in it, errors included.

use logos::Logos;

/// Kinds of tokens and of nodes.
#[derive(Logos, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u16)]
#[allow(missing_docs)]
pub enum Kind {
    #[regex(r"[ \t\r]+")]
    Space,
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
    AtMost,
    #[token(">=")]
    AtLeast,
    #[token("<")]
    Below,
    #[token(">")]
    Above,
    #[token("!=")]
    Not,
    #[token("include")]
    Include,
    #[token("true")]
    True,
    #[token("false")]
    False,
    #[regex(r"#?[A-Za-z_][A-Za-z0-9_]*")]
    Name,
    /// A number with what stands right behind it: its unit, or something that is none.
    #[regex(r"-?[0-9][0-9_]*(\.[0-9]+)?([A-Za-z%/]+[A-Za-z0-9/%]*)?")]
    Number,
    #[regex(r#""([^"\\\n]|\\[^\n])*""#)]
    Text,
    /// A text without its end.
    #[regex(r#""([^"\\\n]|\\[^\n])*"#, priority = 1)]
    OpenText,

    // Nodes.
    Error,
    File,
    IncludeLine,
    Field,
    Label,
    Record,
    List,
    Open,
    Disjunction,
    Default,
    Conjunction,
    Bound,
    Reference,
    Literal,
    Group,
}

/// The language, as the tree's library wants it named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Language {}

const KINDS: [Kind; 42] = [
    Kind::Space,
    Kind::Newline,
    Kind::Comment,
    Kind::OpenBrace,
    Kind::CloseBrace,
    Kind::OpenBracket,
    Kind::CloseBracket,
    Kind::OpenParen,
    Kind::CloseParen,
    Kind::Colon,
    Kind::Comma,
    Kind::Question,
    Kind::Dot,
    Kind::Ellipsis,
    Kind::Or,
    Kind::And,
    Kind::Star,
    Kind::AtMost,
    Kind::AtLeast,
    Kind::Below,
    Kind::Above,
    Kind::Not,
    Kind::Include,
    Kind::True,
    Kind::False,
    Kind::Name,
    Kind::Number,
    Kind::Text,
    Kind::OpenText,
    Kind::Error,
    Kind::File,
    Kind::IncludeLine,
    Kind::Field,
    Kind::Label,
    Kind::Record,
    Kind::List,
    Kind::Open,
    Kind::Disjunction,
    Kind::Default,
    Kind::Conjunction,
    Kind::Bound,
    Kind::Reference,
];
const LATER: [Kind; 2] = [Kind::Literal, Kind::Group];

impl rowan::Language for Language {
    type Kind = Kind;

    fn kind_from_raw(raw: rowan::SyntaxKind) -> Kind {
        let at = raw.0 as usize;
        KINDS.get(at).or_else(|| LATER.get(at - KINDS.len())).copied().unwrap_or(Kind::Error)
    }

    fn kind_to_raw(kind: Kind) -> rowan::SyntaxKind {
        rowan::SyntaxKind(kind as u16)
    }
}

/// A node of the tree.
pub type Node = rowan::SyntaxNode<Language>;
/// A token of the tree.
pub type Token = rowan::SyntaxToken<Language>;

/// A token with its text.
#[derive(Clone, Copy, Debug)]
pub struct Lexeme<'a> {
    /// What it is; [`Kind::Error`] for what belongs to no token.
    pub kind: Kind,
    /// Its text.
    pub text: &'a str,
    /// Where it begins (bytes).
    pub at: usize,
}

/// Cuts a text into tokens; all of it.
pub fn lex(text: &str) -> Vec<Lexeme<'_>> {
    let mut lexer = Kind::lexer(text);
    let mut all = Vec::new();
    while let Some(kind) = lexer.next() {
        all.push(Lexeme { kind: kind.unwrap_or(Kind::Error), text: lexer.slice(), at: lexer.span().start });
    }
    all
}
