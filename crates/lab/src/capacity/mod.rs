//! Measures the program's costs by routers, engines, clients and statements, for
//! `docs/CAPACITY.md`.
//!
//! Each cost is measured at three counts or more with the program's own modules and encoding.
//! Processor time is that of the thread or process that does the work. This module only stores
//! measurements; the capacity crate computes fits and rows.

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

/// Number of measurements of each cost at each count.
const REPEATS: usize = 3;
/// The command that repeats all measurements.
const COMMAND: &str = "cargo run --release -p marljunction-lab -- capacity --measure --write";

/// Measured series by name.
pub type Figures = BTreeMap<String, Series>;

/// Counts, each with the values of several measurements.
pub type Repeated<T> = Vec<(f64, Vec<T>)>;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Path of the router's program.
    pub program: PathBuf,
    /// Measure; otherwise the file in the repository is read.
    pub measure: bool,
    /// Write the measurements, if new, and the page.
    pub write: bool,
    /// Fail if the page does not match the measurements.
    pub check: bool,
    /// The only part to measure; it is printed, not written. All if none.
    pub only: Option<String>,
}

/// Measures a cost several times at each count.
fn repeated<T>(
    counts: &[usize],
    measure: impl Fn(usize) -> Result<T, String>,
) -> Result<Repeated<T>, String> {
    repeated_times(REPEATS, counts, measure)
}

/// Measures a cost this number of times at each count.
fn repeated_times<T>(
    times: usize,
    counts: &[usize],
    measure: impl Fn(usize) -> Result<T, String>,
) -> Result<Repeated<T>, String> {
    let at = |count: usize| (0..times).map(|_| measure(count)).collect::<Result<Vec<T>, String>>();
    counts.iter().map(|count| Ok((*count as f64, at(*count)?))).collect()
}

/// Rounds to six significant digits.
fn rounded(value: f64) -> f64 {
    format!("{value:.5e}").parse().unwrap_or(value)
}

fn series(what: &str, unit: &str, by: &str, values: Repeated<f64>) -> Series {
    let rounded = |values: Vec<f64>| values.into_iter().map(rounded).collect();
    let samples = values.into_iter().map(|(count, values)| Sample { count, values: rounded(values) });
    Series { what: what.into(), unit: unit.into(), by: by.into(), samples: samples.collect() }
}

/// Measures the costs of all parts, or of one.
fn measure(program: &Path, only: Option<&str>) -> Result<Measured, String> {
    let mut figures = Figures::new();
    let selected = |part: &str| only.is_none_or(|only| only == part);
    let started = std::time::Instant::now();
    let log_progress =
        |part: &str| eprintln!("{part}: measured after {:.1} s", started.elapsed().as_secs_f64());
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

/// Measures, writes or checks as the options say.
///
/// # Errors
/// If a measurement fails, a file can't be read or written, or the page does not match the
/// measurements.
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
    // Read the file back, so that the page is made from what is stored.
    let measured = if run.write { repository.measured()? } else { measured };
    let page = page::page(&measured, &repository.scale()?).map_err(|error| error.to_string())?;
    if run.write {
        repository.write_page(&page)?;
    }
    if run.check && repository.page()? != page {
        return Err(
            "docs/CAPACITY.md does not match docs/capacity/; update it by marljunction-lab capacity --write"
                .into(),
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
        "  {:?}; prediction error {:.3}, spread {:.2}",
        series.fit(),
        series.prediction_error(),
        series.spread()
    );
}
