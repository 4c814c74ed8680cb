//! Limits that hold for a whole fleet of routers, whatever breaks between them.
//!
//! A limit is cut into whole units, of which each router owns a fixed share by its number. What a router does not need it
//! lends to others for a while ([`escrow`]); a unit is used by its owner or by one borrower, never by both, as the owner
//! takes it back only once the loan must have ended by any clock. [`meter`] turns the units that a router may use into
//! admissions, [`bound`] says by arithmetic how far over or how stale all of it can be.
//!
//! [`node`] is what one router keeps: its limits and keys (`ledger`), what it admits (`admission`), what it asks of peers and lends
//! them (`leasing`), what its own clients want (`demand`), and what it has to hear after a start (`recovery`).
//!
//! Pure: no sockets and no clock. Times are nanoseconds of the router's own steady clock and are passed in.

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
mod recovery;
pub mod sketch;
pub mod terms;

pub use message::Message;
pub use node::Node;
pub use terms::{Kind, Limit, Mode, Terms};
