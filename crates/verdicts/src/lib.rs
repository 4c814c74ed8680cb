//! What a fleet of routers believes of its engines, shared among them.
//!
//! Two kinds of facts spread. Operators' [`words`] (an engine is out, or back) are versioned by a hybrid [`stamp`]: the later one
//! wins everywhere, whatever the order in which they come. [`evidence`] is what one router saw of one engine itself; only that
//! router may say it anew. [`witness`] turns a router's own attempts into evidence, [`judge`] turns all evidence that is still
//! fresh into judgements, [`bound`] says by when a word or a piece of evidence has been heard, and [`node`] is what one router keeps
//! and says.
//!
//! Pure: no sockets and no clock. Times are nanoseconds of the router's clock and are passed in.

#![forbid(unsafe_code)]

pub mod bound;
pub mod evidence;
pub mod judge;
pub mod node;
pub mod stamp;
pub mod witness;
pub mod words;

pub use judge::Judgement;
pub use node::{Message, Node};

/// What all routers of a fleet agree on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Routers that there are, about (count).
    pub routers: u32,
    /// Routers that must have seen the same of an engine, before others leave it out (count).
    pub witnesses: u32,
    /// Engines that evidence takes out at most (share of those that the list has).
    pub out_most: f64,
    /// Evidence that its witness does not say again is believed for so long (ns).
    pub fade_ns: u64,
    /// The longest cut after which no old word comes back (ns): words that end are remembered for so long.
    pub remember_ns: u64,
    /// How often a router says what is new (ns).
    pub round_ns: u64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            routers: 1,
            witnesses: 3,
            out_most: 0.3,
            fade_ns: 30_000_000_000,
            remember_ns: 24 * 3_600 * 1_000_000_000,
            round_ns: 200_000_000,
        }
    }
}

/// Spreads a number over all bits: hashes and draws are made of it.
pub(crate) fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 32)
}
