//! Membership of the fleet's routers, and the datagrams that they exchange.
//!
//! Membership is SWIM, provided by a library without sockets or a clock: [`members`] receives
//! datagrams and time from its caller. Every datagram is authenticated with the fleet's key
//! ([`datagram`]); invalid ones are counted and have no other effect.

#![forbid(unsafe_code)]

pub mod datagram;
pub mod identity;
pub mod members;

pub use datagram::{Keys, RejectReason};
pub use identity::PeerIdentity;
pub use members::{Event, Members, Settings};
