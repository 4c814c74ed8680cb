//! The query router daemon.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use marljunction::config::Config;
use marljunction::logger;
use marljunction::net::daemon::Daemon;

fn run() -> Result<(), String> {
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG names no file".to_owned())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    Daemon::start(Config::read(&text)?)?.run()
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
