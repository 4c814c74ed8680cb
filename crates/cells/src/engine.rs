//! An engine as the list has it, with the names of its zone and kind: numbers of those are each process's own.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;

/// What an engine takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineState {
    /// New work.
    Ready,
    /// No new work: it ends what it has.
    Draining,
    /// Nothing: it is on the list no more.
    Gone,
}

impl EngineState {
    /// Its number in a datagram.
    pub(crate) fn code(self) -> u8 {
        match self {
            EngineState::Ready => 0,
            EngineState::Draining => 1,
            EngineState::Gone => 2,
        }
    }

    /// The state with this number, where there is one.
    pub(crate) fn from_code(code: u8) -> Option<EngineState> {
        [EngineState::Ready, EngineState::Draining, EngineState::Gone].get(usize::from(code)).copied()
    }
}

/// An engine of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Its number, the same at every router and over restarts of its process.
    pub id: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone by name, where it has one.
    pub zone: Option<Arc<str>>,
    /// Its kind by name, where it has one.
    pub kind: Option<Arc<str>>,
    /// The group of engines that drop each other's repeats.
    pub group: Option<u64>,
    /// What it takes.
    pub state: EngineState,
    /// Its weight, as the list says.
    pub weight: f64,
    /// When it started (Unix ms); 0 where that is not told.
    pub started_ms: u64,
}

/// Marks a port of an address of version 6.
const PORT_V6: u32 = 1 << 16;

/// An address as two halves of an IP and a port.
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

/// The address of these halves; none where they are of no address.
pub(crate) fn join_address(high: u64, low: u64, port: u32) -> Option<SocketAddr> {
    let number = u16::try_from(port & !PORT_V6).ok()?;
    let ip = match port & PORT_V6 {
        0 if high == 0 => IpAddr::V4(Ipv4Addr::from(u32::try_from(low).ok()?)),
        0 => return None,
        _ => IpAddr::V6(Ipv6Addr::from(u128::from(high) << 64 | u128::from(low))),
    };
    Some(SocketAddr::new(ip, number))
}
