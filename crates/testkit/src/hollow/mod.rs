//! Hollow routers: simulated routers that run only the control plane, many in one process, over
//! real loopback sockets.
//!
//! A hollow router consists of the program's own list subscription with its pacing, network layer,
//! membership and decision module. It has no clients and no engines. Invariants:
//!
//! - The list service and each host of hollow routers are separate processes, so that processor
//!   time and memory are accounted separately. They are controlled by lines of JSON and exit with
//!   their parent.
//! - Bytes are counted on both sides: by the service on write, by the router's sockets on read.

pub mod child;
pub mod engine_fingerprints;
pub mod engine_table;
pub mod fleet;
pub mod fleet_member;
pub mod host;
pub mod key_files;
pub mod protocol;
pub mod relay_feed;
pub mod router;
pub mod service;
pub mod usage;

use std::io::{BufRead, Write};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;

use mio::{Registry, Token, Waker};
use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Poll token that signals a pending command.
pub(crate) const COMMAND_TOKEN: Token = Token(usize::MAX);

/// An error of a hollow router or of its process.
#[derive(Debug, Error)]
pub enum HollowError {
    /// An operation on a socket, a file or a process failed.
    #[error("{what}: {source}")]
    Io {
        /// The operation.
        what: &'static str,
        /// The cause.
        source: std::io::Error,
    },
    /// A message could not be encoded or decoded.
    #[error("invalid message of {child}: {source}")]
    Json {
        /// Name of the child.
        child: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// A child exited unexpectedly.
    #[error("{0} exited unexpectedly")]
    ChildExited(String),
    /// A child did not report in time.
    #[error("{child} did not report within {seconds} s")]
    Timeout {
        /// Name of the child.
        child: String,
        /// Time waited (s).
        seconds: f64,
    },
    /// A child sent another kind of report than expected, or none in time.
    #[error("{child} did not report {awaited}")]
    UnexpectedReport {
        /// Name of the child.
        child: String,
        /// The expected kind of report.
        awaited: &'static str,
    },
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(String),
    /// The fleet runtime of a router could not be started.
    #[error("fleet runtime of router {number}: {reason}")]
    Fleet {
        /// Number of the router.
        number: u32,
        /// The cause.
        reason: String,
    },
}

/// Adds the name of the failed operation to an I/O error.
pub(crate) fn io(what: &'static str) -> impl FnOnce(std::io::Error) -> HollowError {
    move |source| HollowError::Io { what, source }
}

/// Reads commands from standard input on a separate thread and wakes the loop for each.
///
/// The process exits at the end of its input.
pub(crate) fn read_commands<C>(registry: &Registry) -> Result<Receiver<C>, HollowError>
where
    C: DeserializeOwned + Send + 'static,
{
    let waker = Arc::new(Waker::new(registry, COMMAND_TOKEN).map_err(io("waker"))?);
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            match serde_json::from_str(&line) {
                Ok(command) => {
                    let _ = sender.send(command);
                    let _ = waker.wake();
                }
                Err(error) => eprintln!("invalid command: {error}"),
            }
        }
        // A child must not outlive its parent.
        std::process::exit(0);
    });
    Ok(receiver)
}

/// Writes a report to standard output, as one line of JSON.
pub(crate) fn write_report(report: &impl Serialize) -> Result<(), HollowError> {
    let text = serde_json::to_string(report)
        .map_err(|source| HollowError::Json { child: "this process".to_owned(), source })?;
    let mut out = std::io::stdout().lock();
    writeln!(out, "{text}").and_then(|()| out.flush()).map_err(io("standard output"))
}
