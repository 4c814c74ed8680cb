//! Engines as the list describes them. Zones and kinds are given by name, because their numbers
//! differ between processes.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;

/// Whether an engine accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineState {
    /// Accepts new work.
    Ready,
    /// Finishes its current work and accepts no more.
    Draining,
    /// Removed from the list.
    Gone,
}

impl EngineState {
    /// Returns the code in a datagram.
    pub(crate) fn code(self) -> u8 {
        match self {
            EngineState::Ready => 0,
            EngineState::Draining => 1,
            EngineState::Gone => 2,
        }
    }

    /// Returns the state with this code, if there is one.
    pub(crate) fn from_code(code: u8) -> Option<EngineState> {
        [EngineState::Ready, EngineState::Draining, EngineState::Gone].get(usize::from(code)).copied()
    }
}

/// An engine of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Id, equal at all routers and stable over restarts of the engine's process.
    pub id: u64,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: Option<Arc<str>>,
    /// Name of its kind.
    pub kind: Option<Arc<str>>,
    /// Deduplication group: engines that recognise each other's retries.
    pub group: Option<u64>,
    /// Whether it accepts work.
    pub state: EngineState,
    /// Weight from the list.
    pub weight: f64,
    /// Start time in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
}

/// Flag that marks the port of an IPv6 address.
const PORT_V6: u32 = 1 << 16;

/// Splits an address into the two halves of its IP and its port.
pub(crate) fn split_address(address: SocketAddr) -> (u64, u64, u32) {
    let port = u32::from(address.port());
    match address.ip() {
        IpAddr::V4(ip) => (0, u64::from(u32::from(ip)), port),
        IpAddr::V6(ip) => {
            let bits = u128::from(ip);
            ((bits >> 64) as u64, bits as u64, port | PORT_V6)
        }
    }
}

/// Reverses [`split_address`]; `None` if the numbers are not a valid address.
pub(crate) fn join_address(high: u64, low: u64, port: u32) -> Option<SocketAddr> {
    let number = u16::try_from(port & !PORT_V6).ok()?;
    let ip = match port & PORT_V6 {
        0 if high == 0 => IpAddr::V4(Ipv4Addr::from(u32::try_from(low).ok()?)),
        0 => return None,
        _ => IpAddr::V6(Ipv6Addr::from(u128::from(high) << 64 | u128::from(low))),
    };
    Some(SocketAddr::new(ip, number))
}
