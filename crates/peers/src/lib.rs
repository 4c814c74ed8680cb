//! Which other routers of the fleet there are, where, and since which of their lives; and the datagrams that routers exchange.
//!
//! Membership is SWIM, by a library that has no sockets and no clock of its own; [`members`] gives it both as values that are
//! passed in. Every datagram is sealed with the fleet's key ([`datagram`]), so that one that is damaged, strange or of another
//! fleet costs nothing but a counter.

#![forbid(unsafe_code)]

pub mod datagram;
pub mod identity;
pub mod members;

pub use datagram::{Keys, RejectReason};
pub use identity::PeerIdentity;
pub use members::{Event, Members, Settings};
