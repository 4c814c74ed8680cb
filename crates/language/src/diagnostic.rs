//! Errors in a file, each with its position and a suggested fix.

use std::ops::Range;

/// A byte range of a file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// Index of the file in [`crate::eval::Sources`].
    pub file: usize,
    /// Offset of the first byte.
    pub start: usize,
    /// Offset after the last byte.
    pub end: usize,
}

impl Span {
    /// A range of the first file.
    pub fn new(start: usize, end: usize) -> Self {
        Span { file: 0, start, end }
    }

    /// The same range in another file.
    pub fn in_file(self, file: usize) -> Self {
        Span { file, ..self }
    }

    /// The range without the file.
    pub fn range(self) -> Range<usize> {
        self.start..self.end
    }
}

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Position of the error.
    pub span: Span,
    /// Description of the error.
    pub message: String,
    /// Suggested fix; may be empty.
    pub fix: String,
    /// A related position and how it is related.
    pub related: Option<(Span, String)>,
}

impl Diagnostic {
    /// A diagnostic without a fix.
    pub fn new(span: Span, message: impl Into<String>) -> Self {
        Diagnostic { span, message: message.into(), fix: String::new(), related: None }
    }

    /// Adds a suggested fix.
    pub fn fix(self, fix: impl Into<String>) -> Self {
        Diagnostic { fix: fix.into(), ..self }
    }

    /// Adds a related position.
    pub fn with_related(self, span: Span, why: impl Into<String>) -> Self {
        Diagnostic { related: Some((span, why.into())), ..self }
    }
}
