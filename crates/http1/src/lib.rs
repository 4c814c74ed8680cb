//! What both the engines and the sources of membership speak: heads and bodies of HTTP/1.1.

#![forbid(unsafe_code)]

pub mod chunks;
pub mod head;
