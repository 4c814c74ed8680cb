#![forbid(unsafe_code)]
#![doc = include_str!("../README.md")]

pub mod cli;
pub mod config;
pub mod daemon;
pub mod effects;
pub mod error;
pub mod logger;
pub mod setup;
