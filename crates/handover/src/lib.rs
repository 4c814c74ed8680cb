//! State that the processes of an upgrade share, as they are one router to its clients and engines.
//!
//! During an upgrade two processes accept from the same socket. Requests of a serial class with the
//! same key run one at a time, in the order in which the processes took them, so the processes share
//! the list of their unfinished serial requests. The list also holds what they sent to cold engines
//! and, while several run, the names of their requests that must not run again, and tells which of
//! them has the reserve of their router's budgets. Invariants:
//!
//! - A request is in the list before it is sent, and until all its attempts are over.
//! - The list has one order, which all processes read: it changes only under an exclusive lock.
//! - No process waits for the lock, so a suspended process does not suspend another.

#![forbid(unsafe_code)]

mod error;
mod life;
mod machine;
mod shared_state;
mod table;

pub use error::HandoverError;
pub use machine::Machine;
pub use shared_state::SharedState;
pub use table::{ProcessId, SentToCold, Table, TakenName, TakenRequest, Told, ORPHANED_ATTEMPT_NS};
