//! The query router daemon.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    marljunction::cli::main()
}
