//! Runs the decision module behind the simulator's line protocol.

#![forbid(unsafe_code)]

pub mod wire;
