//! When the next call to a service may be made, so that a whole fleet that starts, or loses the service, at one moment
//! does not come back to it at one moment.
//!
//! Pure: no sockets and no clock; times are passed in (ns on any clock that does not go back), draws come from a seed.
//! [`pace`] holds the settings and the arithmetic of the bounds that follow from them, [`pacer`] the machine, [`opening`] what it is for connections to
//! engines.

#![forbid(unsafe_code)]

pub mod connection_budget;
pub mod pace;
pub mod pacer;

pub use pace::{PacingParams, ParamsError};
pub use pacer::{Failure, Pacer};
