//! The query router daemon.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use marljunction::config::Files;
use marljunction::daemon::Daemon;
use marljunction::logger;

fn run() -> Result<(), String> {
    Daemon::start(Files::from_env()?)?.run()
}

fn main() -> ExitCode {
    logger::start();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log::error!("{fault}");
            ExitCode::FAILURE
        }
    }
}
