#![forbid(unsafe_code)]
#![doc = include_str!("../README.md")]

pub mod config;
pub mod daemon;
pub mod logger;
