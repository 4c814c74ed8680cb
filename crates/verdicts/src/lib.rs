//! What a fleet of routers believes of its engines, shared among them.
//!
//! Two kinds of facts spread. Operators' [`words`] (an engine is out, or back) are versioned by a hybrid [`stamp`]: the later one
//! wins everywhere, whatever the order in which they come. [`evidence`] is what one router saw of one engine itself; only that
//! router may say it anew. [`witness`] turns a router's own attempts into evidence, [`judge`] turns all evidence that is still
//! fresh into judgements, [`bound`] says by when a word or a piece of evidence has been heard, and [`node`] is what one router keeps
//! and says, as [`message`]s: what is news (`hot`), comparisons of all that is held (`digest`), all words for one that starts
//! (`catch_up`).
//!
//! Pure: no sockets and no clock. Times are nanoseconds of the router's clock and are passed in.

#![forbid(unsafe_code)]

pub mod bound;
mod digest;
pub mod evaluate;
pub mod evidence;
mod full_sync;
mod gossip;
pub mod message;
mod mix;
pub mod node;
pub mod observer;
pub mod overrides;
pub mod params;
mod rng;
pub mod version;

pub use evaluate::HealthStatus;
pub use message::Message;
pub use node::Node;
pub use params::HealthParams;
