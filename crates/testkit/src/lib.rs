//! Stand-ins on loopback, at any free port: engines whose queries share cores, a coordinator, and clients that ask at
//! times of their own. For experiments, and for tests that need the whole program.

#![forbid(unsafe_code)]

pub mod audit;
pub mod engine;
pub mod fleet;
pub mod health_fleet;
pub mod hollow;
pub mod lease_fleet;
pub mod link;
pub mod list;
pub mod load;
pub mod process;
pub mod schedule;
pub mod server;
pub mod swarm;
pub mod test_bed;
