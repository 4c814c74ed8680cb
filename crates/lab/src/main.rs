//! `marljunction-lab`: experiments whose figures anyone can run again.

#![forbid(unsafe_code)]

mod disciplines;
mod door;
mod memory;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
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

#[derive(Subcommand)]
enum Experiment {
    /// A heavy tenant floods two light ones: the door beside no door and one plain queue.
    Door {
        /// Shorter phases: under 40 s in all.
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

fn run() -> Result<(), String> {
    match Arguments::parse().experiment {
        Experiment::Door { quick, json, program, seed } => {
            let beside = marljunction_rig::stage::program_beside;
            let program =
                program.or_else(beside).ok_or("no program beside this one: build it, or name it")?;
            write(json, &door::run(quick, &program, seed)?)
        }
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
