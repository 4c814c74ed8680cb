//! Measures reading the operator's configuration file by the number of its entries. A reload reads
//! the whole file.

use marljunction_language::eval::Loader;
use marljunction_language::read;

use super::clock::timed;
use super::{repeated, series, Figures};

const ENTRIES: [usize; 4] = [30, 100, 300, 1_000];
/// The schema of the operator's file.
const DEFINITIONS: &str = include_str!("../../../../src/definitions.conf");

struct NoFiles;

impl Loader for NoFiles {
    fn load(&mut self, _from: &str, name: &str) -> Result<(String, String), String> {
        Err(format!("no file {name}"))
    }
}

/// A configuration file with this number of limits.
fn file(entries: usize) -> String {
    let limits =
        (0..entries).map(|n| format!("    limit-{n:05}: {{ at_once: {}, by: \"all\" }}\n", n % 90 + 10));
    let limits: String = limits.map(|line| line.replace("limit-", "limit_")).collect();
    format!(
        "fleet: {{\n  listen: \"127.0.0.1:0\"\n  key: \"key\"\n  seeds: []\n  routers: 3200\n  limits: {{\n{limits}  }}\n}}\n"
    )
}

/// Size of the file (bytes), and processor time to read it (ms).
fn cost(entries: usize) -> Result<[f64; 2], String> {
    let text = file(entries);
    let (ns, outcome) = timed(|| read("operator.conf", &text, &mut NoFiles, DEFINITIONS, "#Main"));
    match outcome.diagnostics.first() {
        Some(diagnostic) => Err(format!("invalid file of {entries} entries: {diagnostic:?}")),
        None => Ok([text.len() as f64, ns as f64 / 1e6]),
    }
}

/// Measures the cost by the number of entries.
///
/// # Errors
/// If a file is invalid.
pub fn measure(figures: &mut Figures) -> Result<(), String> {
    let costs = repeated(&ENTRIES, cost)?;
    let names = [
        ("configuration_bytes", "operator's file, bytes", "bytes"),
        ("configuration_ms", "operator's file, processor time to read and check it", "ms"),
    ];
    for (at, (name, what, unit)) in names.into_iter().enumerate() {
        let values = costs.iter().map(|(n, values)| (*n, values.iter().map(|v| v[at]).collect())).collect();
        figures.insert(name.into(), series(what, unit, "entries", values));
    }
    Ok(())
}
