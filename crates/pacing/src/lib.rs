//! Paces calls to a shared service, so that the routers of a fleet do not all call it at once after
//! a common start or outage.
//!
//! No I/O and no clock: times are passed in (ns, on any monotonic clock), and random numbers come
//! from a seed. [`pace`] holds the parameters and the bounds that follow from them, [`pacer`] the
//! state machine of one caller, and [`connection_budget`] its use for connections to engines.

#![forbid(unsafe_code)]

pub mod connection_budget;
pub mod pace;
pub mod pacer;

pub use pace::{PacingParams, ParamsError};
pub use pacer::{Failure, Pacer};
