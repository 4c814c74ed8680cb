//! Shared view of engine health in a fleet of routers.
//!
//! Operators' [`overrides`] exclude or re-include engines. Each carries a [`version`] of a hybrid
//! logical clock, and the latest wins in all routers. [`evidence`] is what one router observed of
//! an engine; only that router updates it. [`observer`] derives evidence from a router's own
//! attempts, and [`evaluate`] derives the health status of engines from the evidence of all
//! routers. [`node`] is one router's replica. It exchanges [`message`]s: recent changes (`gossip`),
//! comparisons of the whole state (`digest`), and all overrides for a router that starts
//! (`full_sync`). [`bound`] computes how long this takes at most.
//!
//! Pure: no sockets and no clock. Times are nanoseconds of the router's clock and are passed in.

#![forbid(unsafe_code)]

pub mod bound;
mod digest;
pub mod evaluate;
pub mod evidence;
mod full_sync;
mod gossip;
pub mod message;
mod mix;
pub mod node;
pub mod observer;
pub mod overrides;
pub mod params;
mod rng;
pub mod version;

pub use evaluate::HealthStatus;
pub use message::Message;
pub use node::Node;
pub use params::HealthParams;
