//! The decision module and its interface: every decision and every number behind one. It reads no clock and does
//! no I/O.

#![forbid(unsafe_code)]

pub mod control;
pub mod interface;

pub use control::Controller;
