//! The decision module and its interface. It reads no clock and performs no I/O.

#![forbid(unsafe_code)]

pub mod control;
pub mod interface;
mod process_budgets;

pub use control::Controller;
