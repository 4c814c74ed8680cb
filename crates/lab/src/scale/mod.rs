//! Measures the control-plane cost of a router in a fleet of thousands of routers and tens of
//! thousands of engines.
//!
//! Hollow routers, a list service and some real routers run as separate processes at several sizes.
//! The smaller sizes predict the largest, at which faults are injected. Invariants:
//!
//! - Processor time is that of the host processes.
//! - Bytes are counted by the list service on write and by the routers on read.
//! - A figure that was not measured is null, with its reason.

mod cells;
mod decide;
mod faults;
mod figures;
mod peers;
mod real;
mod size;

use std::path::{Path, PathBuf};

use marljunction_testkit::hollow::HollowError;
use serde_json::Value;
use thiserror::Error;

use cells::CellsMeasured;
use peers::PeersMeasured;
use size::Size;

/// Engines per router of the design fleet.
const ENGINES_PER_ROUTER: f64 = 30_000.0 / 3_200.0;
/// Fleet sizes (routers) of a quick and a full run. The largest is predicted from the others.
const QUICK_SIZES: [u32; 4] = [200, 300, 500, 800];
const FULL_SIZES: [u32; 4] = [200, 400, 800, 1_600];
const FULL_LARGEST: u32 = 3_200;

/// Sizes of fleets whose routers exchange messages (full, quick).
const PEER_SIZES: [&[u32]; 2] = [&[50, 100, 200, 400], &[20, 40, 80]];

/// An error that ends a run.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// A hollow process failed.
    #[error(transparent)]
    Hollow(#[from] HollowError),
    /// A real router failed.
    #[error("real router: {0}")]
    Real(String),
    /// The path of the lab's own program is unknown.
    #[error("path of this program: {0}")]
    Program(std::io::Error),
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(String),
    /// A condition did not hold in time.
    #[error("{routers} routers: timed out after {seconds} s waiting until {what}")]
    Timeout {
        /// Number of routers.
        routers: u32,
        /// The awaited condition.
        what: &'static str,
        /// Timeout (s).
        seconds: u64,
    },
}

/// Options of a run.
pub struct Run {
    /// Path of the lab's own program, which runs the hollow processes.
    pub lab: PathBuf,
    /// Path of the router's program.
    pub router: PathBuf,
    /// Whether to run smaller sizes, in less than a minute.
    pub quick: bool,
    /// Random seed.
    pub seed: u64,
}

/// Runs all sizes and returns the figures.
///
/// # Errors
/// If a process fails or a phase does not complete in time.
pub fn run(program: &Path, quick: bool, seed: u64) -> Result<Value, ScaleError> {
    let lab = std::env::current_exe().map_err(ScaleError::Program)?;
    let run = Run { lab, router: program.to_owned(), quick, seed };
    let sizes: Vec<u32> = match quick {
        true => QUICK_SIZES.to_vec(),
        false => FULL_SIZES.iter().copied().chain([FULL_LARGEST]).collect(),
    };
    let (largest, smaller) = sizes.split_last().map_or((FULL_LARGEST, &[][..]), |(last, rest)| (*last, rest));
    let mut measured = Vec::new();
    for routers in smaller {
        eprintln!("{routers} routers");
        measured.push(Size::new(*routers).measure(&run)?.0);
    }
    eprintln!("{largest} routers");
    let (mut largest_measured, mut fleet) = Size::new(largest).measure(&run)?;
    eprintln!("{largest} routers: faults");
    let faults = faults::run(&mut fleet, &largest_measured, quick)?;
    largest_measured.record_memory(&fleet);
    drop(fleet);
    let cells = measure_cells(&run, largest)?;
    let peers = measure_peers(&run)?;
    eprintln!("decisions");
    let decisions = decide::run(quick)?;
    Ok(figures::to_json(&measured, &largest_measured, &faults, &cells, &peers, &decisions))
}

/// Measures the largest fleet with cells and relays.
fn measure_cells(run: &Run, routers: u32) -> Result<CellsMeasured, ScaleError> {
    eprintln!("{routers} routers with cells and relays");
    cells::measure(run, routers)
}

/// Measures communication between routers at each size, in a full run with faults at the largest.
fn measure_peers(run: &Run) -> Result<Vec<PeersMeasured>, ScaleError> {
    let sizes = PEER_SIZES[usize::from(run.quick)];
    let largest = sizes[sizes.len() - 1];
    let mut measured = Vec::new();
    for routers in sizes {
        eprintln!("{routers} routers that exchange messages");
        measured.push(peers::measure(run, *routers, *routers == largest)?);
    }
    Ok(measured)
}

/// Number of engines for a number of routers, in the proportion of the design fleet.
pub fn engines_for(routers: u32) -> u32 {
    (f64::from(routers) * ENGINES_PER_ROUTER) as u32
}
