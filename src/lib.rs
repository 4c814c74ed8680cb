#![forbid(unsafe_code)]
#![doc = include_str!("../README.md")]

pub mod behaviour;
pub mod cli;
pub mod config;
pub mod daemon;
pub mod error;
pub mod logger;
pub mod setup;
