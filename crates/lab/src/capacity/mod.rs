//! Measures what the program costs by routers, engines, clients and statements, for `docs/CAPACITY.md`.
//!
//! Each cost is measured at three counts or more, by the program's own modules with their real encoding, and processor time by the
//! clock of the thread or process that did the work. Figures are kept as measured; fits and rows are the capacity crate's.

mod cells;
mod clock;
mod configuration;
mod decision;
mod files;
mod health;
mod limits;
mod list;
mod members;
mod process;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use marljunction_capacity::measured::{Measured, Sample, Series};
use marljunction_capacity::page;

/// Measurements of each cost at each count.
const REPEATS: usize = 3;
/// The command that measures all again.
const COMMAND: &str = "cargo run --release -p marljunction-lab -- capacity --measure --write";

/// Costs by name.
pub type Figures = BTreeMap<String, Series>;

/// A cost at some counts, each measured several times.
pub type Repeated<T> = Vec<(f64, Vec<T>)>;

/// What is to be done.
#[derive(Clone, Debug)]
pub struct Run {
    /// The router's program.
    pub program: PathBuf,
    /// Measure; else the file in the repository is read.
    pub measure: bool,
    /// Write what was measured, and the page.
    pub write: bool,
    /// Fail where the page is not what the file says.
    pub check: bool,
    /// One part only, told and never written; all, if none.
    pub only: Option<String>,
}

/// Measures a cost several times at each count.
fn repeated<T>(
    counts: &[usize],
    measure: impl Fn(usize) -> Result<T, String>,
) -> Result<Repeated<T>, String> {
    repeated_times(REPEATS, counts, measure)
}

/// Measures a cost so often at each count.
fn repeated_times<T>(
    times: usize,
    counts: &[usize],
    measure: impl Fn(usize) -> Result<T, String>,
) -> Result<Repeated<T>, String> {
    let at = |count: usize| (0..times).map(|_| measure(count)).collect::<Result<Vec<T>, String>>();
    counts.iter().map(|count| Ok((*count as f64, at(*count)?))).collect()
}

/// A value with as many digits as a text holds without loss (six that matter).
fn rounded(value: f64) -> f64 {
    format!("{value:.5e}").parse().unwrap_or(value)
}

fn series(what: &str, unit: &str, by: &str, values: Repeated<f64>) -> Series {
    let rounded = |values: Vec<f64>| values.into_iter().map(rounded).collect();
    let samples = values.into_iter().map(|(count, values)| Sample { count, values: rounded(values) });
    Series { what: what.into(), unit: unit.into(), by: by.into(), samples: samples.collect() }
}

/// Measures all costs, or those of one part.
fn measure(program: &Path, only: Option<&str>) -> Result<Measured, String> {
    let mut figures = Figures::new();
    let selected = |part: &str| only.is_none_or(|only| only == part);
    let started = std::time::Instant::now();
    let log_progress =
        |part: &str| eprintln!("{part}: measured, {:.1} s since the start", started.elapsed().as_secs_f64());
    if selected("decision") {
        decision::measure(&mut figures)?;
        log_progress("decision");
    }
    if selected("list") || selected("process") {
        let sizes = list::measure(&mut figures)?;
        log_progress("list");
        process::measure(&mut figures, program, &sizes)?;
        log_progress("process");
    }
    if selected("members") {
        members::measure(&mut figures)?;
        log_progress("members");
    }
    if selected("limits") {
        limits::measure(&mut figures)?;
        log_progress("limits");
    }
    if selected("verdicts") {
        health::measure(&mut figures);
        log_progress("verdicts");
    }
    if selected("cells") {
        cells::measure(&mut figures)?;
        log_progress("cells");
    }
    if selected("configuration") {
        configuration::measure(&mut figures)?;
        log_progress("configuration");
    }
    Ok(Measured { command: COMMAND.into(), series: figures })
}

/// Does what is to be done.
///
/// # Errors
/// Where something can't be measured, a file can't be read or written, or the page is not what the file says.
pub fn run(run: &Run) -> Result<(), String> {
    let repository = files::Repository::find()?;
    if let Some(part) = &run.only {
        let measured = measure(&run.program, Some(part))?;
        measured.series.iter().for_each(|(name, series)| print_series(name, series));
        return Ok(());
    }
    let measured = if run.measure { measure(&run.program, None)? } else { repository.measured()? };
    if run.write && run.measure {
        repository.write_measured(&measured)?;
    }
    // What the file says, not what was in memory: the page is held against the file.
    let measured = if run.write { repository.measured()? } else { measured };
    let page = page::page(&measured, &repository.scale()?).map_err(|error| error.to_string())?;
    if run.write {
        repository.write_page(&page)?;
    }
    if run.check && repository.page()? != page {
        return Err(
            "docs/CAPACITY.md is not what docs/capacity/ says: marljunction-lab capacity --write".into()
        );
    }
    if !run.write && !run.check {
        println!("{page}");
    }
    Ok(())
}

fn print_series(name: &str, series: &Series) {
    let points: Vec<String> =
        series.points().iter().map(|p| format!("{}: {:.4}", p.count, p.value)).collect();
    println!("{name} ({}): {}", series.unit, points.join(", "));
    println!(
        "  {:?}; missed by {:.3}, spread {:.2}",
        series.fit(),
        series.prediction_error(),
        series.spread()
    );
}
