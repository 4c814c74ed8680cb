//! What hollow processes are told and what they answer: one JSON value a line.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// What sums up a list: equal lists have equal sums, whatever order they came in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDigest {
    /// Engines on the list (count).
    pub engines: u64,
    /// Sum of the engines' fingerprints.
    pub sum: u64,
}

impl ListDigest {
    /// Adds an engine by its fingerprint.
    pub fn add(&mut self, fingerprint: u64) {
        self.engines += 1;
        self.sum = self.sum.wrapping_add(fingerprint);
    }
}

/// What lists are to be: the whole one, and the part of each cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedLists {
    /// The whole list.
    #[serde(rename = "whole")]
    pub full_list: ListDigest,
    /// The parts, by zone and then by cell; none where the fleet is not divided.
    pub parts: Vec<ListDigest>,
}

/// States of engines, as the list names them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListedState {
    /// It takes work.
    InService,
    /// It ends what it has and takes nothing new.
    Terminating,
    /// It is gone: whole lists do not hold it any more.
    Terminated,
}

/// How the list service is set up.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceSetup {
    /// Routers, each with a listener of its own (count).
    pub routers: u32,
    /// Engines on the list (count).
    pub engines: u32,
    /// Cells that the engines of a zone are divided into, where routers hold parts (count); 0 where they do not.
    pub cells: u32,
    /// Calls a second that it takes.
    pub calls_per_s: f64,
    /// Whole lists that it writes at the same time at most (count); the next call's waits, kept up by comments.
    pub concurrent_snapshots: usize,
}

/// What the list service is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ServiceCommand {
    /// Sets it up; answered by `Started`.
    Start(ServiceSetup),
    /// Tells all who follow that these engines have this state; answered by `Told`.
    Change {
        /// The engines, by number.
        engines: Vec<u32>,
        /// Their state.
        state: ListedState,
    },
    /// Engines start anew under their addresses, with new names; answered by `Told`.
    Replace {
        /// The engines, by number.
        engines: Vec<u32>,
    },
    /// Away: all streams end, and calls are reset; answered by `Done`.
    #[serde(rename = "Away")]
    SetUnavailable(bool),
    /// Nothing passes to and from these routers, or does again; answered by `Done`.
    #[serde(rename = "Cut")]
    Partition {
        /// The routers, by number.
        routers: Vec<u32>,
        /// Whether they are cut off.
        #[serde(rename = "cut")]
        partitioned: bool,
    },
    /// Breaks the service: the router is not told the next change; answered by `Done`.
    SkipNext {
        /// The router.
        router: u32,
    },
    /// Answered by `Counters`.
    Report,
}

/// What the list service answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ServiceReport {
    /// Where each router finds it, by number.
    Started(Vec<SocketAddr>),
    /// An event was told.
    #[serde(rename = "Told")]
    ChangeSent(SentChange),
    /// What needs no other answer.
    Done,
    /// Its counters.
    Counters(ServiceCounters),
}

/// A change that the service told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SentChange {
    /// Number of the event.
    pub index: u64,
    /// When it was told (Unix ns).
    #[serde(rename = "at_ns")]
    pub sent_ns: u64,
    /// What lists are by it.
    pub list: ExpectedLists,
    /// Size of the event (bytes).
    pub bytes: u64,
}

/// Counters of the list service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceCounters {
    /// Bytes written to each router, by number.
    pub written: Vec<u64>,
    /// Whole lists written to the end, by router.
    pub snapshots: Vec<u32>,
    /// Calls that were taken, and those turned away.
    #[serde(rename = "taken")]
    pub accepted_calls: u64,
    /// See `taken`.
    #[serde(rename = "turned_away")]
    pub rejected_calls: u64,
    /// What lists are to be.
    pub list: ExpectedLists,
    /// Size of the event that holds the whole list (bytes).
    pub snapshot_bytes: u64,
    /// Routers that follow.
    pub followers: u32,
}

/// How calls to the list service are paced.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PaceSetup {
    /// Calls a second of all routers together.
    pub budget_per_s: f64,
    /// Routers that share the budget (count).
    pub routers: u32,
    /// Longest wait before a first call (ns).
    pub spread_ns: u64,
    /// Longest wait between calls (ns).
    pub longest_ns: u64,
}

/// Where routers learn the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ListSource {
    /// Nowhere.
    #[serde(rename = "Nowhere")]
    Disabled,
    /// All of it, of the list service.
    Service,
    /// Their cell's part, of relays, which learn all of it of the list service.
    Relays(CellsSetup),
}

/// How a fleet is divided into cells.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CellsSetup {
    /// Cells of a zone (count).
    pub cells: u32,
    /// Time between a router's asks (ns).
    pub ask_ns: u64,
    /// Where relays take datagrams.
    pub relays: Vec<SocketAddr>,
}

/// The fleet's side of hollow routers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetSetup {
    /// The folder of the files of keys, one a region.
    pub keys: PathBuf,
    /// Routers that others join by.
    pub seeds: Vec<SocketAddr>,
    /// The limits' units a second; none for no limit.
    pub limit_per_s: Option<f64>,
    /// Whether engines' health is shared.
    pub health: bool,
}

/// How a host of hollow routers is set up.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostSetup {
    /// Routers of the whole fleet (count).
    pub fleet_routers: u32,
    /// The module's settings, as the program reads them.
    pub settings: String,
    /// Pacing of calls to the list service.
    pub pace: PaceSetup,
    /// Seed of all draws.
    pub seed: u64,
    /// Whether the decision module of each router is told the list.
    pub module: bool,
    /// Where routers learn the list.
    pub list: ListSource,
    /// Membership, limits and health; none where routers do not talk to each other.
    pub fleet: Option<FleetSetup>,
}

/// One router that a host is to run.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RouterStart {
    /// Its number.
    pub number: u32,
    /// Where it finds the list service.
    pub list: SocketAddr,
    /// Whether it is a relay.
    pub relay: bool,
}

/// What a host is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HostCommand {
    /// Sets it up; answered by `Done`.
    Setup(Box<HostSetup>),
    /// Starts routers, knowing nothing; answered by `Started`.
    Start(Vec<RouterStart>),
    /// Ends routers at once, without a word to anybody; answered by `Done`.
    Stop(Vec<u32>),
    /// Answered by `ListReached` once all routers that are there have this list, or their part of it.
    AwaitList(ExpectedLists),
    /// Answered by `PeersReached` once all routers that are there know so many peers.
    AwaitPeers(u32),
    /// These routers read their files of keys again; answered by `Done`.
    ReloadKeys(Vec<u32>),
    /// Answered by `Routers`.
    Report,
}

/// What a host answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HostReport {
    /// What needs no other answer.
    Done,
    /// Routers are started; where each takes datagrams, where it does.
    Started(Vec<(u32, Option<SocketAddr>)>),
    /// All routers have the list that was waited for; when each came to it (number, Unix ns).
    ListReached(ListDigest, Vec<(u32, u64)>),
    /// All routers know so many peers, since then at the latest (Unix ns).
    PeersReached(u32, u64),
    /// What each router knows.
    Routers(Vec<RouterReport>),
}

/// One hollow router, as it sees itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouterReport {
    /// Its number.
    pub number: u32,
    /// What its list is.
    pub digest: ListDigest,
    /// When it was started, and when it first knew a list (Unix ns).
    pub started_ns: u64,
    /// See `started_ns`.
    pub learned_ns: Option<u64>,
    /// Bytes that came from the list service in this life.
    pub received_bytes: u64,
    /// Calls to the list service, and those that were turned away.
    pub calls: u64,
    /// See `calls`.
    #[serde(rename = "turned_away")]
    pub rejected_calls: u64,
    /// Peers that it knows.
    pub peers: u32,
    /// Datagrams sent to peers, and their bytes.
    pub fleet_datagrams: u64,
    /// See `fleet_datagrams`.
    pub fleet_bytes: u64,
    /// Bytes of datagrams that came, and those that had come when it first knew its list.
    pub fleet_received_bytes: u64,
    /// See `fleet_received_bytes`.
    pub fleet_learned_bytes: u64,
}
