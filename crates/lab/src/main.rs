//! `marljunction-lab`: experiments whose figures anyone can run again.

#![forbid(unsafe_code)]

mod capacity;
mod cold;
mod disciplines;
mod door;
mod fleet;
mod limits;
mod memory;
mod scale;
mod start;
mod verdicts;
mod ways;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use marljunction_testkit::hollow;
use peak_alloc::PeakAlloc;

/// Counts what the experiments' own structures take from the heap.
#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

/// Experiments with the router and its parts.
#[derive(Parser)]
#[command(name = "marljunction-lab", version, about)]
struct Arguments {
    #[command(subcommand)]
    experiment: Experiment,
}

/// What most experiments are told.
#[derive(clap::Args)]
struct Usual {
    /// Fewer routers, shorter: under 45 s in all.
    #[arg(long)]
    quick: bool,
    /// Where to write the figures.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// The router's program; the one beside this one, if not given.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Seed of all draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Usual {
    /// Runs an experiment with it, and writes its figures.
    fn run(
        self,
        experiment: impl FnOnce(&Path, bool, u64) -> Result<serde_json::Value, String>,
    ) -> Result<(), String> {
        let program = named_or_beside(self.program)?;
        write(self.json, &experiment(&program, self.quick, self.seed)?)
    }
}

#[derive(Subcommand)]
enum Experiment {
    /// A heavy tenant floods two light ones: the door beside no door and one plain queue.
    Door(Usual),
    /// A whole small fleet on loopback, to be watched while things break; ends by itself or at Ctrl-C, with a summary.
    Fleet {
        /// Routers.
        #[arg(long, default_value_t = 8)]
        routers: usize,
        /// A schedule of faults (crates/testkit/src/schedule.rs tells its form); the usual one, if not given.
        #[arg(long, value_name = "FILE")]
        faults: Option<PathBuf>,
        /// How long it plays (s).
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// The router's program; the one beside this one, if not given.
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
        /// Seed of all draws.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// A whole fleet starts at once, loses its list service, and gets it back.
    Start {
        #[command(flatten)]
        usual: Usual,
        /// Another build of it, measured in the same run.
        #[arg(long, value_name = "FILE")]
        against: Option<PathBuf>,
        /// Routers; a hundred if quick, else three hundred.
        #[arg(long)]
        routers: Option<usize>,
        /// Calls a second that the list service takes.
        #[arg(long)]
        capacity: Option<f64>,
    },
    /// Limits that hold for a whole fleet, under cuts, deaths and freezes.
    Limits(Usual),
    /// Engines that have just started, with each router's own part of their budgets and with shared ones.
    Cold(Usual),
    /// What a fleet believes of its engines: each router alone beside routers that share what they see.
    Verdicts(Usual),
    /// Thousands of hollow routers before tens of thousands of engines, with faults among them.
    Scale(Usual),
    /// A list service for hollow routers, told what to do on standard input.
    #[command(hide = true)]
    HollowService,
    /// Hollow routers, told what to do on standard input.
    #[command(hide = true)]
    HollowHost,
    /// What the program costs by routers, engines, clients and statements, for docs/CAPACITY.md.
    Capacity {
        /// Measure; else the figures in the repository are read.
        #[arg(long)]
        measure: bool,
        /// Write the figures, where measured, and the page.
        #[arg(long)]
        write: bool,
        /// Fail where the page is not what the figures say.
        #[arg(long)]
        check: bool,
        /// One part only: decision, list, members, limits, verdicts, cells or configuration. Nothing is written then.
        #[arg(long, value_name = "PART")]
        only: Option<String>,
        /// The router's program; the one beside this one, if not given.
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Ways to pace a fleet's calls compared in stepped time, without any socket.
    Pacing {
        /// Where to write the figures.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Disciplines and orders of service compared in stepped time, without any socket.
    Disciplines {
        /// Where to write the figures.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Seed of all draws.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn write(json: Option<PathBuf>, figures: &serde_json::Value) -> Result<(), String> {
    let text = serde_json::to_string_pretty(figures).map_err(|e| e.to_string())?;
    match json {
        Some(path) => std::fs::write(&path, text + "\n").map_err(|e| format!("{}: {e}", path.display())),
        None => {
            println!("{text}");
            Ok(())
        }
    }
}

/// The router's program that was named, or the one beside this one.
fn named_or_beside(program: Option<PathBuf>) -> Result<PathBuf, String> {
    let beside = marljunction_testkit::test_bed::sibling_program;
    program.or_else(beside).ok_or_else(|| "no program beside this one: build it, or name it".into())
}

fn run() -> Result<(), String> {
    match Arguments::parse().experiment {
        Experiment::Door(usual) => usual.run(|program, quick, seed| door::run(quick, program, seed)),
        Experiment::Start { usual, against, routers, capacity } => usual.run(|program, quick, seed| {
            let against = against.as_deref();
            start::run(&start::Run { program, against, quick, seed, routers, capacity })
        }),
        Experiment::Fleet { routers, faults, seconds, program, seed } => {
            let (program, time) = (named_or_beside(program)?, std::time::Duration::from_secs(seconds));
            let play = fleet::Play { program: &program, routers, faults: faults.as_deref(), time, seed };
            let (summary, well) = fleet::run(&play)?;
            println!("{summary}");
            if well {
                Ok(())
            } else {
                Err("not all held: see above".into())
            }
        }
        Experiment::Limits(usual) => {
            usual.run(|program, quick, seed| limits::run(&limits::Run { program, quick, seed }))
        }
        Experiment::Cold(usual) => usual.run(cold::run),
        Experiment::Verdicts(usual) => {
            usual.run(|program, quick, seed| verdicts::run(&verdicts::Run { program, quick, seed }))
        }
        Experiment::Scale(usual) => {
            usual.run(|program, quick, seed| scale::run(program, quick, seed).map_err(|e| e.to_string()))
        }
        Experiment::HollowService => hollow::service::run().map_err(|e| e.to_string()),
        Experiment::HollowHost => hollow::host::run().map_err(|e| e.to_string()),
        Experiment::Capacity { measure, write, check, only, program } => {
            let program = if measure { named_or_beside(program)? } else { PathBuf::new() };
            capacity::run(&capacity::Run { program, measure, write, check, only })
        }
        Experiment::Pacing { json } => write(json, &ways::run()),
        Experiment::Disciplines { json, seed } => write(json, &disciplines::run(seed)),
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("marljunction-lab: {fault}");
            ExitCode::FAILURE
        }
    }
}
