//! HTTP/1.1 response parsing, shared by the engine backends and the discovery clients.

#![forbid(unsafe_code)]

pub mod chunks;
pub mod head;
