//! The configuration language: typed records with units, includes, references and definitions, in
//! the manner of CUE.
//!
//! [`parser`] builds a lossless syntax tree and recovers from errors; [`eval`] evaluates a file and
//! its includes to one value; [`unify`] checks it against the definitions; [`format`] is the
//! formatter. Each [`diagnostic`] has a position, a message and a suggested fix; [`message`]
//! renders it. No I/O: files are read through [`eval::Loader`].

#![forbid(unsafe_code)]

pub mod diagnostic;
pub mod diff;
pub mod eval;
pub mod format;
pub mod message;
pub mod parser;
pub mod syntax;
pub mod unify;
pub mod value;

use diagnostic::Diagnostic;
use eval::{resolve_defaults, Loader, Sources};
use value::{Value, ValueKind};

/// The result of reading a configuration.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// All files that were read, the main file first.
    pub sources: Sources,
    /// The evaluated value with defaults applied; invalid parts are [`ValueKind::Invalid`].
    pub value: Value,
    /// All errors, ordered by file and position.
    pub diagnostics: Vec<Diagnostic>,
}

/// Reads a file and its includes, and validates the result against the definition `main` in
/// `definitions`.
pub fn read(name: &str, text: &str, loader: &mut dyn Loader, definitions: &str, main: &str) -> Outcome {
    let mut diagnostics = Vec::new();
    let mut sources = Sources::read(name, text, loader, &mut diagnostics);
    // A file with syntax errors is not evaluated: its unreadable fields would be reported as
    // missing.
    let mut resolved = Value::new(ValueKind::Invalid, Default::default());
    if diagnostics.is_empty() {
        sources.add_text("(definitions)", definitions, &mut diagnostics);
        let value = sources.evaluate(main, &mut diagnostics);
        if diagnostics.is_empty() {
            resolved = resolve_defaults(&value, "", Default::default(), &mut diagnostics);
        }
    }
    diagnostics.sort_by_key(|d| d.span);
    diagnostics.dedup();
    Outcome { sources, value: resolved, diagnostics }
}
