//! `marljunction-lab`: reproducible experiments with the router and its parts.

#![forbid(unsafe_code)]

mod capacity;
mod cold;
mod disciplines;
mod fair_queue;
mod fair_queue_cost;
mod fleet;
mod handover;
mod health;
mod limits;
mod pacing_strategies;
mod pressure;
mod scale;
mod start;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use marljunction_testkit::hollow;
use peak_alloc::PeakAlloc;

/// Counts heap use, for the experiments that measure memory in this process.
#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

/// Reproducible experiments with the router and its parts.
#[derive(Parser)]
#[command(name = "marljunction-lab", version, about)]
struct Arguments {
    #[command(subcommand)]
    experiment: Experiment,
}

/// Arguments shared by most experiments.
#[derive(clap::Args)]
struct CommonArgs {
    /// Run with fewer routers and for less time: under 45 s in all.
    #[arg(long)]
    quick: bool,
    /// Write the results to FILE; standard output if not given.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Router executable; the one next to this executable if not given.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl CommonArgs {
    /// Runs an experiment with these arguments and writes its results.
    fn run(
        self,
        experiment: impl FnOnce(&Path, bool, u64) -> Result<serde_json::Value, String>,
    ) -> Result<(), String> {
        let program = resolve_program(self.program)?;
        write_results(self.json, &experiment(&program, self.quick, self.seed)?)
    }
}

#[derive(Subcommand)]
enum Experiment {
    /// One tenant overloads the router: compares the fair queue with a FIFO queue and with no
    /// queue.
    #[command(name = "door")]
    FairQueue(CommonArgs),
    /// Run a small fleet on loopback under a schedule of faults; prints a summary at the end or on
    /// Ctrl-C.
    Fleet {
        /// Number of routers.
        #[arg(long, default_value_t = 8)]
        routers: usize,
        /// Schedule of faults, in the format of crates/testkit/src/schedule.rs; a built-in one if
        /// not given.
        #[arg(long, value_name = "FILE")]
        faults: Option<PathBuf>,
        /// Duration (s).
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Router executable; the one next to this executable if not given.
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
        /// Seed of all random numbers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// All routers start at once, then the list service fails and recovers.
    Start {
        #[command(flatten)]
        common: CommonArgs,
        /// Another build of the router, measured in the same run.
        #[arg(long, value_name = "FILE")]
        against: Option<PathBuf>,
        /// Number of routers; 300 if not given, 100 with --quick.
        #[arg(long)]
        routers: Option<usize>,
        /// Calls per second that the list service accepts.
        #[arg(long)]
        capacity: Option<f64>,
    },
    /// Fleet-wide limits under network partitions, crashes and paused routers.
    Limits(CommonArgs),
    /// Cold engines, with their query budgets split statically or shared by the fleet.
    Cold(CommonArgs),
    /// Detection of failed engines: each router alone compared with routers that share health
    /// evidence.
    #[command(name = "verdicts")]
    Health(CommonArgs),
    /// Clients that press on one router, beside well-behaved ones: memory, latency and losses.
    Pressure(CommonArgs),
    /// Thousands of hollow routers and tens of thousands of engines, with faults.
    Scale(CommonArgs),
    /// Run a list service for hollow routers, controlled through standard input.
    #[command(hide = true)]
    HollowService,
    /// Run hollow routers, controlled through standard input.
    #[command(hide = true)]
    HollowHost,
    /// Cost of the router by number of routers, engines, clients and statements, for
    /// docs/CAPACITY.md.
    Capacity {
        /// Measure; otherwise the measurements in the repository are used.
        #[arg(long)]
        measure: bool,
        /// Write the page, and the measurements if --measure is given.
        #[arg(long)]
        write: bool,
        /// Fail if the page does not match the measurements.
        #[arg(long)]
        check: bool,
        /// Measure one part only: decision, list, members, limits, verdicts, cells or
        /// configuration. Writes nothing.
        #[arg(long, value_name = "PART")]
        only: Option<String>,
        /// Router executable; the one next to this executable if not given.
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Cost of the state that the processes of an upgrade share.
    Handover {
        /// Fewer exchanges.
        #[arg(long)]
        quick: bool,
        /// Write the results to FILE; standard output if not given.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Compare pacing strategies for a fleet's calls in simulated time, without sockets.
    Pacing {
        /// Write the results to FILE; standard output if not given.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Compare queueing disciplines and service orders in simulated time, without sockets.
    Disciplines {
        /// Write the results to FILE; standard output if not given.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Seed of all random numbers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn write_results(json: Option<PathBuf>, results: &serde_json::Value) -> Result<(), String> {
    let text = serde_json::to_string_pretty(results).map_err(|e| e.to_string())?;
    match json {
        Some(path) => std::fs::write(&path, text + "\n").map_err(|e| format!("{}: {e}", path.display())),
        None => {
            println!("{text}");
            Ok(())
        }
    }
}

/// The given router executable, or the one next to this executable.
fn resolve_program(program: Option<PathBuf>) -> Result<PathBuf, String> {
    let beside = marljunction_testkit::test_bed::sibling_program;
    program
        .or_else(beside)
        .ok_or_else(|| "router executable not found next to this one: build it or pass --program".into())
}

fn run() -> Result<(), String> {
    match Arguments::parse().experiment {
        Experiment::FairQueue(common) => {
            common.run(|program, quick, seed| fair_queue::run(quick, program, seed))
        }
        Experiment::Start { common, against, routers, capacity } => common.run(|program, quick, seed| {
            let against = against.as_deref();
            start::run(&start::Run { program, against, quick, seed, routers, capacity })
        }),
        Experiment::Fleet { routers, faults, seconds, program, seed } => {
            let (program, time) = (resolve_program(program)?, std::time::Duration::from_secs(seconds));
            let options =
                fleet::Options { program: &program, routers, faults: faults.as_deref(), time, seed };
            let (summary, passed) = fleet::run(&options)?;
            println!("{summary}");
            if passed {
                Ok(())
            } else {
                Err("a check failed: see the summary above".into())
            }
        }
        Experiment::Limits(common) => {
            common.run(|program, quick, seed| limits::run(&limits::Run { program, quick, seed }))
        }
        Experiment::Cold(common) => common.run(cold::run),
        Experiment::Health(common) => {
            common.run(|program, quick, seed| health::run(&health::Run { program, quick, seed }))
        }
        Experiment::Pressure(common) => common.run(pressure::run),
        Experiment::Scale(common) => {
            common.run(|program, quick, seed| scale::run(program, quick, seed).map_err(|e| e.to_string()))
        }
        Experiment::HollowService => hollow::service::run().map_err(|e| e.to_string()),
        Experiment::HollowHost => hollow::host::run().map_err(|e| e.to_string()),
        Experiment::Capacity { measure, write, check, only, program } => {
            let program = if measure { resolve_program(program)? } else { PathBuf::new() };
            capacity::run(&capacity::Run { program, measure, write, check, only })
        }
        Experiment::Handover { quick, json } => write_results(json, &handover::run(quick)?),
        Experiment::Pacing { json } => write_results(json, &pacing_strategies::run()),
        Experiment::Disciplines { json, seed } => write_results(json, &disciplines::run(seed)),
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marljunction-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
