//! Renders diagnostics for operators, with file, line and column.

use miette::{
    Diagnostic as MietteDiagnostic, GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource,
    SourceCode,
};

use crate::diagnostic::{Diagnostic, Span};
use crate::eval::Sources;

/// Line and column of a byte offset, both starting at 1; columns count characters.
pub fn line_and_column(text: &str, at: usize) -> (usize, usize) {
    let before = &text[..floor(text, at)];
    let line = before.matches('\n').count() + 1;
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    (line, before[line_start..].chars().count() + 1)
}

/// The largest character boundary at or before an offset.
fn floor(text: &str, at: usize) -> usize {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}

/// Renders a diagnostic on one line: `FILE:LINE:COLUMN: message: fix`.
pub fn format_line(sources: &Sources, diagnostic: &Diagnostic) -> String {
    let Some(source) = sources.files.get(diagnostic.span.file) else { return diagnostic.message.clone() };
    let (line, column) = line_and_column(&source.text, diagnostic.span.start);
    let fix = if diagnostic.fix.is_empty() { String::new() } else { format!(": {}", diagnostic.fix) };
    format!("{}:{line}:{column}: {}{fix}", source.name, diagnostic.message)
}

#[derive(Debug, thiserror::Error)]
#[error("{message}")]
struct Report {
    message: String,
    fix: String,
    labels: Vec<LabeledSpan>,
    file: NamedSource<String>,
}

impl MietteDiagnostic for Report {
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

/// Renders a diagnostic with the source lines around it.
pub fn format_report(sources: &Sources, diagnostic: &Diagnostic) -> String {
    let Some(source) = sources.files.get(diagnostic.span.file) else { return diagnostic.message.clone() };
    let label = |span: Span, text: &str| {
        let (start, end) = (floor(&source.text, span.start), floor(&source.text, span.end));
        LabeledSpan::new(Some(text.to_owned()), start, end.saturating_sub(start))
    };
    let mut labels = vec![label(diagnostic.span, "here")];
    let related = diagnostic.related.as_ref().filter(|(span, _)| span.file == diagnostic.span.file);
    labels.extend(related.map(|(span, why)| label(*span, why)));
    let report = Report {
        message: format_line(sources, &Diagnostic { fix: String::new(), ..diagnostic.clone() }),
        fix: diagnostic.fix.clone(),
        labels,
        file: NamedSource::new(&source.name, source.text.clone()),
    };
    let mut out = String::new();
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
    match handler.render_report(&mut out, &report) {
        Ok(()) => out,
        Err(_) => format_line(sources, diagnostic),
    }
}
