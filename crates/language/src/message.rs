//! Messages as operators read them: file, line, column, the text in question, and the way to mend it.

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, SourceCode};

use crate::eval::Sources;
use crate::fault::{Fault, Span};

/// Line and column of a place, both from 1; columns count characters.
pub fn line_and_column(text: &str, at: usize) -> (usize, usize) {
    let before = &text[..floor(text, at)];
    let line = before.matches('\n').count() + 1;
    let begun = before.rfind('\n').map_or(0, |at| at + 1);
    (line, before[begun..].chars().count() + 1)
}

/// The last boundary of a character up to a place.
fn floor(text: &str, at: usize) -> usize {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}

/// One line for one fault: `FILE:LINE:COLUMN: what is wrong: how to mend it`.
pub fn short(sources: &Sources, fault: &Fault) -> String {
    let Some(source) = sources.files.get(fault.span.file) else { return fault.what.clone() };
    let (line, column) = line_and_column(&source.text, fault.span.start);
    let fix = if fault.fix.is_empty() { String::new() } else { format!(": {}", fault.fix) };
    format!("{}:{line}:{column}: {}{fix}", source.name, fault.what)
}

#[derive(Debug, thiserror::Error)]
#[error("{what}")]
struct Report {
    what: String,
    fix: String,
    labels: Vec<LabeledSpan>,
    file: NamedSource<String>,
}

impl Diagnostic for Report {
    fn help<'a>(&'a self) -> Option<Box<dyn std::fmt::Display + 'a>> {
        (!self.fix.is_empty()).then(|| Box::new(&self.fix) as Box<dyn std::fmt::Display>)
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.file)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.labels.iter().cloned()))
    }
}

/// A fault with the lines that it is about.
pub fn long(sources: &Sources, fault: &Fault) -> String {
    let Some(source) = sources.files.get(fault.span.file) else { return fault.what.clone() };
    let label = |span: Span, text: &str| {
        let (start, end) = (floor(&source.text, span.start), floor(&source.text, span.end));
        LabeledSpan::new(Some(text.to_owned()), start, end.saturating_sub(start))
    };
    let mut labels = vec![label(fault.span, "here")];
    let other = fault.other.as_ref().filter(|(span, _)| span.file == fault.span.file);
    labels.extend(other.map(|(span, why)| label(*span, why)));
    let report = Report {
        what: short(sources, &Fault { fix: String::new(), ..fault.clone() }),
        fix: fault.fix.clone(),
        labels,
        file: NamedSource::new(&source.name, source.text.clone()),
    };
    let mut out = String::new();
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
    match handler.render_report(&mut out, &report) {
        Ok(()) => out,
        Err(_) => short(sources, fault),
    }
}
