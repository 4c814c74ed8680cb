//! Commands to hollow processes and their reports, one JSON value per line.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// A digest of an engine list, independent of the order of its entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDigest {
    /// Number of engines.
    pub engines: u64,
    /// Wrapping sum of the engines' fingerprints.
    pub sum: u64,
}

impl ListDigest {
    /// Adds an engine by its fingerprint.
    pub fn add(&mut self, fingerprint: u64) {
        self.engines += 1;
        self.sum = self.sum.wrapping_add(fingerprint);
    }
}

/// The expected digests of the full list and of each cell's part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedLists {
    /// Digest of the full list.
    #[serde(rename = "whole")]
    pub full_list: ListDigest,
    /// Digests of the parts, ordered by zone and then by cell; empty if the fleet has no cells.
    pub parts: Vec<ListDigest>,
}

/// State of an engine on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    /// It accepts work.
    InService,
    /// It completes running work and accepts no more.
    Terminating,
    /// It has been removed: full lists no longer contain it.
    Terminated,
}

/// Configuration of the list service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceSetup {
    /// Number of routers; each has its own listener.
    pub routers: u32,
    /// Number of engines on the list.
    pub engines: u32,
    /// Cells per zone; 0 if the fleet has no cells.
    pub cells: u32,
    /// Calls accepted per second.
    pub calls_per_s: f64,
    /// Maximum number of full lists written at the same time. Further calls wait and receive
    /// comments meanwhile.
    pub concurrent_snapshots: usize,
}

/// A command to the list service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ServiceCommand {
    /// Configures and starts it; reports `Started`.
    Start(ServiceSetup),
    /// Publishes a state of these engines to all followers; reports `ChangeSent`.
    Change {
        /// Numbers of the engines.
        engines: Vec<u32>,
        /// Their new state.
        state: ListedState,
    },
    /// Replaces engines by new ones with the same addresses and other names; reports `ChangeSent`.
    Replace {
        /// Numbers of the engines.
        engines: Vec<u32>,
    },
    /// Starts or ends an outage: streams end and new calls are reset; reports `Done`.
    #[serde(rename = "Away")]
    SetUnavailable(bool),
    /// Cuts these routers off from the service, or reconnects them; reports `Done`.
    #[serde(rename = "Cut")]
    Partition {
        /// Numbers of the routers.
        routers: Vec<u32>,
        /// Whether they are partitioned from the service.
        #[serde(rename = "cut")]
        partitioned: bool,
    },
    /// Omits the next change on the router's stream, to simulate a faulty service; reports `Done`.
    SkipNext {
        /// Number of the router.
        router: u32,
    },
    /// Reports `Counters`.
    Report,
}

/// A report of the list service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ServiceReport {
    /// The service's address for each router, by router number.
    Started(Vec<SocketAddr>),
    /// A change was published.
    #[serde(rename = "Told")]
    ChangeSent(SentChange),
    /// The command was carried out.
    Done,
    /// The service's counters.
    Counters(ServiceCounters),
}

/// A published change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SentChange {
    /// Index of the event.
    pub index: u64,
    /// Time of publication (Unix ns).
    #[serde(rename = "at_ns")]
    pub sent_ns: u64,
    /// The expected lists after the change.
    pub list: ExpectedLists,
    /// Size of the event (bytes).
    pub bytes: u64,
}

/// Counters of the list service, per router where they are vectors.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceCounters {
    /// Bytes written, by router number.
    pub written: Vec<u64>,
    /// Full lists written completely, by router number.
    pub snapshots: Vec<u32>,
    /// Calls accepted.
    #[serde(rename = "taken")]
    pub accepted_calls: u64,
    /// Calls rejected by the rate limit.
    #[serde(rename = "turned_away")]
    pub rejected_calls: u64,
    /// The expected lists now.
    pub list: ExpectedLists,
    /// Size of the event with the full list (bytes).
    pub snapshot_bytes: u64,
    /// Connections that have received the full list or resumed, and follow changes.
    pub followers: u32,
}

/// Pacing of calls to the list service.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PaceSetup {
    /// Calls per second of all routers together.
    pub budget_per_s: f64,
    /// Number of routers that share the budget.
    pub routers: u32,
    /// Maximum delay of a first call (ns).
    pub spread_ns: u64,
    /// Maximum delay between calls (ns).
    pub longest_ns: u64,
}

/// Source of the routers' engine list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ListSource {
    /// None: routers have no list.
    #[serde(rename = "Nowhere")]
    Disabled,
    /// The full list, from the list service.
    Service,
    /// The part of the router's cell, from relays that read the full list from the service.
    Relays(CellsSetup),
}

/// Division of a fleet into cells.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CellsSetup {
    /// Cells per zone.
    pub cells: u32,
    /// Interval between a router's requests to a relay (ns).
    #[serde(rename = "ask_ns")]
    pub request_interval_ns: u64,
    /// Datagram addresses of the relays.
    pub relays: Vec<SocketAddr>,
}

/// Fleet configuration of hollow routers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetSetup {
    /// Directory of the key files, one per region.
    pub keys: PathBuf,
    /// Addresses of the seed routers.
    pub seeds: Vec<SocketAddr>,
    /// Rate of the shared limit (units per second); no limit if none.
    pub limit_per_s: Option<f64>,
    /// Whether routers share engine health.
    pub health: bool,
}

/// Configuration of a host of hollow routers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostSetup {
    /// Number of routers in the whole fleet.
    pub fleet_routers: u32,
    /// Settings of the decision module, in the program's format.
    pub settings: String,
    /// Pacing of calls to the list service.
    pub pace: PaceSetup,
    /// Random seed.
    pub seed: u64,
    /// Whether each router passes its list to its decision module.
    pub module: bool,
    /// Source of the engine list.
    pub list: ListSource,
    /// Membership, limits and health; none if routers do not communicate with each other.
    pub fleet: Option<FleetSetup>,
}

/// A router to be started by a host.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RouterStart {
    /// Router number.
    pub number: u32,
    /// Address of the list service.
    pub list: SocketAddr,
    /// Whether it is a relay.
    pub relay: bool,
}

/// A command to a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HostCommand {
    /// Configures the host; reports `Done`.
    Setup(Box<HostSetup>),
    /// Starts routers without any state; reports `Started`.
    Start(Vec<RouterStart>),
    /// Stops routers abruptly, without notifying peers; reports `Done`.
    Stop(Vec<u32>),
    /// Reports `ListReached` once all running routers have this list, or their part of it.
    AwaitList(ExpectedLists),
    /// Reports `PeersReached` once every running router has this number of peers.
    AwaitPeers(u32),
    /// Reloads the key files of these routers; reports `Done`.
    ReloadKeys(Vec<u32>),
    /// Reports `Routers`.
    Report,
}

/// A report of a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HostReport {
    /// The command was carried out.
    Done,
    /// The routers were started: number and datagram address, if any.
    Started(Vec<(u32, Option<SocketAddr>)>),
    /// All routers have the awaited list: number and time of the last list change (Unix ns).
    ListReached(ListDigest, Vec<(u32, u64)>),
    /// All routers have the awaited number of peers; time of the check (Unix ns).
    PeersReached(u32, u64),
    /// State of each router.
    Routers(Vec<RouterReport>),
}

/// State of a hollow router.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouterReport {
    /// Router number.
    pub number: u32,
    /// Digest of its list.
    pub digest: ListDigest,
    /// Start time (Unix ns).
    pub started_ns: u64,
    /// Time at which it first had a list (Unix ns).
    pub learned_ns: Option<u64>,
    /// Bytes received from the list service since the start.
    pub received_bytes: u64,
    /// Calls to the list service.
    pub calls: u64,
    /// Calls rejected by the list service.
    #[serde(rename = "turned_away")]
    pub rejected_calls: u64,
    /// Number of known peers.
    pub peers: u32,
    /// Datagrams sent to peers.
    pub fleet_datagrams: u64,
    /// Bytes sent to peers.
    pub fleet_bytes: u64,
    /// Bytes received from peers.
    pub fleet_received_bytes: u64,
    /// Bytes received from peers until it first had a list.
    pub fleet_learned_bytes: u64,
}
