//! Where news of the engines comes from.

pub mod stream;

use std::net::SocketAddr;

use crate::interface::{EngineEntry, EngineId, MembershipKind};

/// An engine and where it listens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// What the module is told of it.
    pub entry: EngineEntry,
    /// Where it listens.
    pub address: SocketAddr,
}

/// One membership event, from whatever source.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// How to read the list.
    pub kind: MembershipKind,
    /// The list.
    pub targets: Vec<Target>,
}

/// The module's number of an engine, from its name: the same in every router. An address may pass to a new
/// engine, so it says nothing.
pub fn engine_id(name: &str) -> EngineId {
    let hash =
        name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    EngineId(hash >> 1)
}
