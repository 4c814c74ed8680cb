//! Hosts the decision module on the simulator's wire.

#![forbid(unsafe_code)]

pub mod wire;
