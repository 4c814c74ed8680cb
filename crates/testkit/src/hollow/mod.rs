//! Hollow routers: many routers' control sides in one process, made of the program's own parts over real loopback sockets.
//!
//! A hollow router has the program's stream reader with its pacing, its connections, its membership and its decision module; what
//! it lacks are clients and engines. Invariants:
//!
//! - The list service and the hosts of hollow routers are processes of their own, told what to do by lines of JSON and ended with
//!   whoever started them, so that the processor time and memory of one are never counted as another's.
//! - Bytes are counted by both sides: by the service as it writes, by the router's sockets as they read.

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

/// The token by which a loop is woken for a command.
pub(crate) const COMMAND_TOKEN: Token = Token(usize::MAX);

/// What can go wrong with hollow routers and their processes.
#[derive(Debug, Error)]
pub enum HollowError {
    /// A socket, a file or a process could not be had.
    #[error("{what}: {source}")]
    Io {
        /// What was to be done.
        what: &'static str,
        /// Why it was not.
        source: std::io::Error,
    },
    /// A child's line can't be read.
    #[error("a line of {child} can't be read: {source}")]
    Json {
        /// The child.
        child: String,
        /// Why.
        source: serde_json::Error,
    },
    /// A child ended before it was told to.
    #[error("{0} has ended")]
    ChildExited(String),
    /// A child did not answer in time.
    #[error("{child} did not answer within {seconds} s")]
    Timeout {
        /// The child.
        child: String,
        /// How long it was waited for (s).
        seconds: f64,
    },
    /// Another answer was due.
    #[error("{child} answered something else than {awaited}")]
    UnexpectedReport {
        /// The child.
        child: String,
        /// What was waited for.
        awaited: &'static str,
    },
    /// Settings that the program's own reader refuses.
    #[error("settings: {0}")]
    Settings(String),
    /// The fleet's side of a router could not be started.
    #[error("the fleet's side of router {number}: {reason}")]
    Fleet {
        /// The router.
        number: u32,
        /// Why.
        reason: String,
    },
}

/// Names what was to be done where it failed.
pub(crate) fn io(what: &'static str) -> impl FnOnce(std::io::Error) -> HollowError {
    move |source| HollowError::Io { what, source }
}

/// Reads commands from standard input on a thread of its own, which wakes the loop; the process ends with its input.
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
                Err(fault) => eprintln!("a command can't be read: {fault}"),
            }
        }
        // Guards against a child that outlives whoever started it.
        std::process::exit(0);
    });
    Ok(receiver)
}

/// Answers on standard output.
pub(crate) fn write_report(report: &impl Serialize) -> Result<(), HollowError> {
    let text = serde_json::to_string(report)
        .map_err(|source| HollowError::Json { child: "this process".to_owned(), source })?;
    let mut out = std::io::stdout().lock();
    writeln!(out, "{text}").and_then(|()| out.flush()).map_err(io("standard output"))
}
