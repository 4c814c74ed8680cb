//! What is wrong with a file: where, what, and how to mend it.

use std::ops::Range;

/// A part of a file (bytes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// Which of the files that were read.
    pub file: usize,
    /// Its first byte.
    pub start: usize,
    /// The byte behind its last.
    pub end: usize,
}

impl Span {
    /// A part of the first file.
    pub fn new(start: usize, end: usize) -> Self {
        Span { file: 0, start, end }
    }

    /// The same part of another file.
    pub fn in_file(self, file: usize) -> Self {
        Span { file, ..self }
    }

    /// As a range.
    pub fn range(self) -> Range<usize> {
        self.start..self.end
    }
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Where.
    pub span: Span,
    /// What.
    pub message: String,
    /// How to mend it.
    pub fix: String,
    /// Another place that has to do with it, and why.
    pub related: Option<(Span, String)>,
}

impl Diagnostic {
    /// A fault at a place.
    pub fn new(span: Span, message: impl Into<String>) -> Self {
        Diagnostic { span, message: message.into(), fix: String::new(), related: None }
    }

    /// How to mend it.
    pub fn fix(self, fix: impl Into<String>) -> Self {
        Diagnostic { fix: fix.into(), ..self }
    }

    /// Another place that has to do with it.
    pub fn with_related(self, span: Span, why: impl Into<String>) -> Self {
        Diagnostic { related: Some((span, why.into())), ..self }
    }
}
