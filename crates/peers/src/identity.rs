//! Identity of a router towards its peers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Identity of a router. The name is stable across restarts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Name, unique in the fleet.
    pub name: String,
    /// Number among the routers that shares are fixed for.
    pub number: u32,
    /// Address on which it receives datagrams.
    pub address: SocketAddr,
    /// Incarnation of the process: its start time (Unix ns) or any value that increases with each
    /// start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of times that this incarnation rejoined after its peers had declared it down.
    pub renewal: u32,
}

impl PeerIdentity {
    /// Identity of an unknown router of which only the address is known.
    pub fn from_address(address: SocketAddr) -> PeerIdentity {
        PeerIdentity { name: String::new(), number: u32::MAX, address, incarnation: 0, renewal: 0 }
    }
}

/// Identity across restarts: the name, or the address if either name is unknown.
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
        (self.incarnation, self.renewal) > (other.incarnation, other.renewal)
    }
}
