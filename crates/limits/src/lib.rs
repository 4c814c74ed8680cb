//! Fleet-wide limits that hold through crashes, restarts and network partitions.
//!
//! A limit is divided into whole units, and each router owns a fixed share of them by its number. A
//! router leases units that it does not need to its peers ([`escrow`]). At any time a unit is used
//! by its owner or by one holder, never by both: the owner takes it back only after the lease has
//! expired by every clock within the configured drift. [`meter`] turns usable units into
//! admissions, and [`bound`] computes the worst-case overshoot and idle time for each fault.
//!
//! [`node`] is the state of one router: its limits and keys (`ledger`), admission (`admission`),
//! the leases it requests and grants (`leasing`), the demand of its own clients (`demand`), and
//! recovery after a restart (`recovery`).
//!
//! The crate uses no sockets and no clock. Times are nanoseconds of the router's monotonic clock,
//! passed in by the caller.

#![forbid(unsafe_code)]

mod admission;
pub mod bound;
mod demand;
pub mod escrow;
mod leasing;
mod ledger;
pub mod message;
pub mod meter;
pub mod node;
pub mod params;
mod recovery;
pub mod sketch;

pub use message::Message;
pub use node::Node;
pub use params::{Kind, Limit, LimitParams, Mode};
