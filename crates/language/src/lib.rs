//! The configuration language: typed records with units, includes, references and definitions, in the manner of CUE.
//!
//! [`parser`] gives a lossless tree and goes on behind a fault; [`eval`] makes one value of a file and all that it
//! includes; [`unify`] holds it against the definitions; [`format`] lays a file out. Messages name file, line,
//! column, the text in question and the way to mend it ([`message`]). No I/O: files come through [`eval::Loader`].

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

/// What reading a configuration came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The files that were read; the first is the one that was asked for.
    pub sources: Sources,
    /// What they say, with all defaults taken; parts that are wrong are [`What::Wrong`].
    pub value: Value,
    /// What is wrong, in the order of files and lines.
    pub diagnostics: Vec<Diagnostic>,
}

/// Reads a file with all that it includes, and holds it against the definition `main` of `definitions`.
pub fn read(name: &str, text: &str, loader: &mut dyn Loader, definitions: &str, main: &str) -> Outcome {
    let mut diagnostics = Vec::new();
    let mut sources = Sources::read(name, text, loader, &mut diagnostics);
    // Guards against messages about what is missing only because it could not be read.
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
