#![forbid(unsafe_code)]
#![doc = include_str!("../README.md")]

pub mod config;
pub mod control;
pub mod discovery;
pub mod engine;
pub mod front;
pub mod interface;
pub mod logger;
pub mod net;
pub mod router;
pub mod wire;

pub use control::Controller;
