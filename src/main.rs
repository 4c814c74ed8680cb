//! The query router daemon.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use marljunction::config::{Config, PostgresFile};
use marljunction::logger;
use marljunction::net::daemon::Daemon;

fn run() -> Result<(), String> {
    let read = |path: &str| std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"));
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG names no file".to_owned())?;
    let config = Config::read(&read(&path)?)?;
    let postgres = match std::env::var("MARLJUNCTION_POSTGRES") {
        Ok(path) => Some(PostgresFile::read(&read(&path)?)?),
        Err(_) => None,
    };
    Daemon::start(config, postgres)?.run()
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
