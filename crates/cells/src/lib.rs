//! Distribution of the engine list: relays publish it, and a router subscribes to the part of its
//! cell.
//!
//! A stable hash divides the engines of a zone into cells ([`cell`]); a router belongs to one cell
//! of its own zone. A relay ([`relay`]) holds the full list and answers requests with the part of
//! the requested cell; a router ([`subscriber`]) sends requests to one relay at a time. Each
//! message ([`message`]) fits one datagram. The state machines perform no I/O and read no clock:
//! times are passed in, in nanoseconds. [`bound`] computes from the settings how stale a part can
//! become under each fault.
//!
//! Invariants: the part of a router is always one that a relay held at some version. It is replaced
//! only by a snapshot whose digest has been verified, or by a delta based on exactly the part held.
//! Its version never decreases, unless the list service restarts its event numbers.

#![forbid(unsafe_code)]

mod assembly;
pub mod bound;
pub mod cell;
pub mod counters;
pub mod digest;
pub mod engine;
mod jitter;
pub mod message;
pub mod part;
pub mod relay;
mod relay_selector;
mod request_tracker;
mod restart_detector;
pub mod subscriber;

pub use cell::{CellConfig, CellId, CellPlan, DivideBy, RouterNumbering};
pub use digest::Digest;
pub use engine::{Engine, EngineState};
pub use message::Message;
pub use relay::{Relay, RelaySettings};
pub use subscriber::{PartUpdate, Subscriber, SubscriberSettings};
