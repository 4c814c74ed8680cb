//! Who a router is to its peers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A router of the fleet. Its name outlasts its process; its life is larger with each start, its renewal with each time that it
/// comes back after its peers took it for gone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Its name.
    pub name: String,
    /// Its number among the routers that shares are fixed for.
    pub number: u32,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// When its process started (Unix ns, or anything that grows with each start).
    pub life: u64,
    /// How often this life has come back.
    pub renewal: u32,
}

impl PeerIdentity {
    /// Whoever listens there: only the address of a router is known before it has been heard.
    pub fn from_address(address: SocketAddr) -> PeerIdentity {
        PeerIdentity { name: String::new(), number: u32::MAX, address, life: 0, renewal: 0 }
    }
}

/// What stays the same over a router's lives: its name, or its address where no more is known of it.
#[derive(Clone, Debug)]
pub struct StableAddr(String, SocketAddr);

impl PartialEq for StableAddr {
    fn eq(&self, other: &StableAddr) -> bool {
        match self.0.is_empty() || other.0.is_empty() {
            true => self.1 == other.1,
            false => self.0 == other.0,
        }
    }
}

impl foca::Identity for PeerIdentity {
    type Addr = StableAddr;

    fn renew(&self) -> Option<PeerIdentity> {
        Some(PeerIdentity { renewal: self.renewal.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> StableAddr {
        StableAddr(self.name.clone(), self.address)
    }

    fn win_addr_conflict(&self, other: &PeerIdentity) -> bool {
        (self.life, self.renewal) > (other.life, other.renewal)
    }
}
