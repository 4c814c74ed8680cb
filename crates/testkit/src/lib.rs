//! Stand-ins on loopback ports for experiments and for tests of the whole program: engines, the
//! coordinator, a list service, clients, and links with faults. Also simulated fleets without
//! sockets.

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
pub mod pressure;
pub mod process;
pub mod schedule;
pub mod server;
pub mod swarm;
pub mod test_bed;
