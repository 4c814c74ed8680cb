//! The query router daemon.

#![forbid(unsafe_code)]

fn main() {
    println!("marljunction {}", env!("CARGO_PKG_VERSION"));
}
