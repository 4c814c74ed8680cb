//! Measures what control costs a router of a fleet of thousands before tens of thousands of engines.
//!
//! Hollow routers, a list service and some real routers run as processes of their own at four sizes; the smaller sizes predict the
//! largest, which then goes through faults. Invariants: processor time is read from the hosts' own clocks, bytes are counted by
//! the list service as it writes and by the routers as they read, and a figure that was not measured is null, with its reason.

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

/// Engines before each router of the fleet to design for (ratio).
const ENGINES_PER_ROUTER: f64 = 30_000.0 / 3_200.0;
/// Routers of the sizes of a quick run and of a full one; the last is the one that the others predict.
const QUICK_SIZES: [u32; 4] = [200, 300, 500, 800];
const FULL_SIZES: [u32; 4] = [200, 400, 800, 1_600];
const FULL_LARGEST: u32 = 3_200;

/// Routers that talk to each other, of a full run and of a quick one.
const PEER_SIZES: [&[u32]; 2] = [&[50, 100, 200, 400], &[20, 40, 80]];

/// Why a run came to nothing.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// A hollow process.
    #[error(transparent)]
    Hollow(#[from] HollowError),
    /// A real router.
    #[error("a real router: {0}")]
    Real(String),
    /// The lab does not know where its own program is.
    #[error("this program: {0}")]
    Program(std::io::Error),
    /// The settings are refused by the program's reader.
    #[error("settings: {0}")]
    Settings(String),
    /// Something did not come to be in time.
    #[error("{routers} routers: not within {seconds} s: {what}")]
    Timeout {
        /// Routers of the size.
        routers: u32,
        /// What was waited for.
        what: &'static str,
        /// How long (s).
        seconds: u64,
    },
}

/// What a run is told.
pub struct Run {
    /// The lab's own program, which becomes the hollow processes.
    pub lab: PathBuf,
    /// The router's program.
    pub router: PathBuf,
    /// Smaller, and under a minute.
    pub quick: bool,
    /// Seed of all draws.
    pub seed: u64,
}

/// Runs all sizes; gives the figures.
///
/// # Errors
/// Where a process can't be had, or a phase does not end in time.
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

/// The largest fleet with relays, each router with its cell's part only.
fn measure_cells(run: &Run, routers: u32) -> Result<CellsMeasured, ScaleError> {
    eprintln!("{routers} routers of cells, with relays");
    cells::measure(run, routers)
}

/// What routers say to each other, at each size; in a full run the largest goes through faults.
fn measure_peers(run: &Run) -> Result<Vec<PeersMeasured>, ScaleError> {
    let sizes = PEER_SIZES[usize::from(run.quick)];
    let largest = sizes[sizes.len() - 1];
    let mut measured = Vec::new();
    for routers in sizes {
        eprintln!("{routers} routers that talk to each other");
        measured.push(peers::measure(run, *routers, *routers == largest)?);
    }
    Ok(measured)
}

/// Engines before so many routers, in the proportion of the fleet to design for.
pub fn engines_for(routers: u32) -> u32 {
    (f64::from(routers) * ENGINES_PER_ROUTER) as u32
}
