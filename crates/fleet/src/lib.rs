//! The runtime of what the routers of a fleet share: membership, limits and engine health over one UDP socket.
//!
//! The pure machines live in `marljunction-peers`, `marljunction-limits`, `marljunction-verdicts` and `marljunction-cells`; this crate owns the socket,
//! passes them time and datagrams, and sends what they say. Invariants:
//!
//! - It knows nothing of the program's configuration file: what it needs comes as [`FleetConfig`] and [`RouterIdentity`], so that
//!   many routers can run in one process.
//! - A datagram that can't be read costs a counter and nothing else.
//! - Nothing here reads a clock: times are nanoseconds of the router's clock and are passed in.

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
