//! Runtime of the state that the routers of a fleet share: membership, limits and engine health
//! over one UDP socket.
//!
//! The pure state machines live in `marljunction-peers`, `marljunction-limits`,
//! `marljunction-health` and `marljunction-cells`. This crate owns the socket, passes them time
//! and datagrams, and sends their messages. Invariants:
//!
//! - The program's configuration file is not read here. Settings arrive as [`FleetConfig`] and
//!   [`RouterIdentity`], so that many routers can run in one process.
//! - A malformed datagram increments a counter and has no other effect.
//! - No clock is read here: times are nanoseconds of the router's clock and are passed in.

#![forbid(unsafe_code)]

pub mod config;
mod error;
pub mod list;
mod outbox;
mod overrides_file;
mod payloads;
mod reload;
mod runtime;
mod view;

pub use config::{FleetConfig, HealthConfig, LimitConfig};
pub use error::{FleetError, KeyFileError, NameKind};
pub use list::{ListConfig, ListRole, ListTiming};
pub use payloads::{PeerPayload, MAX_PENDING_PAYLOADS};
pub use runtime::{FleetRuntime, FleetStart, RouterIdentity};
