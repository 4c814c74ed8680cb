//! Cells: a router holds only its cell's part of the list of engines, and learns it from relays.
//!
//! The engines of a zone are divided into cells by a stable hash ([`cell`]); a router belongs to one cell of its own zone. A
//! relay ([`relay`]) holds the whole list and answers the routers' asks with the part of their cell; a router ([`subscriber`])
//! asks one relay after another. What they say to each other ([`message`]) fits one datagram each. The machines have no I/O
//! and no clock: times (ns) are passed in. [`bound`] computes from the settings how stale a part can be under each fault.
//!
//! Invariants: a router's part is always one that a relay held whole at one version; it is replaced only by a part whose digest
//! was computed again and is equal, or by a delta from exactly the part held; and never by one of a lower version, unless the
//! list service counts anew.

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
