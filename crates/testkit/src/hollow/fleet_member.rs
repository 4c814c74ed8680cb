//! What a hollow router says to its peers: the program's own fleet runtime, with limits and engines' health.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use marljunction_cells::{CellPlan, RouterNumbering};
use marljunction_control::interface::Settings;
use marljunction_core::limits::LimitScope;
use marljunction_core::Router;
use marljunction_discovery::stream::SILENT_NS;
use marljunction_fleet::{
    FleetConfig, FleetRuntime, FleetStart, HealthConfig, LimitConfig, ListConfig, ListRole, ListTiming,
    RouterIdentity,
};
use marljunction_limits::{Kind as LimitKind, Limit, Mode};
use marljunction_pacing::pace::MAX_UPDATE_DELAY_NS;
use marljunction_pacing::PacingParams;
use marljunction_settings::Names;
use mio::{Registry, Token};

use super::engine_table::zone_name;
use super::protocol::{FleetSetup, ListSource};
use super::HollowError;

/// Regions of the fleet: each has a file of keys of its own, so that one can be cut off by other keys (count).
pub const REGIONS: u32 = 9;
/// What the definitions of the operator's file give by default.
const LEASE_NS: u64 = 2_000_000_000;
const DRIFT: f64 = 0.01;
const MIN_OBSERVERS: u32 = 3;
const MAX_EXCLUDED: f64 = 0.3;
const EVIDENCE_LIFETIME_NS: u64 = 30_000_000_000;
const OVERRIDE_MEMORY_NS: u64 = 86_400_000_000_000;

/// The longest that a datagram takes, and engines of a cell, for which bounds are computed.
const MAX_DELAY_NS: u64 = 100_000_000;
const ENGINES_PER_CELL: u32 = 150;
/// How often the list service says something at least (ns).
const COMMENT_NS: u64 = 1_000_000_000;

/// The file of keys of a router's region.
pub fn key_file(directory: &Path, router: u32) -> PathBuf {
    directory.join(format!("key-{}", router % REGIONS))
}

/// What a router does about the list, by the fleet's word.
#[derive(Clone, Copy, Debug)]
pub struct ListRoleSetup<'a> {
    /// Where routers learn the list.
    pub source: &'a ListSource,
    /// Whether this one is a relay.
    pub relay: bool,
}

impl ListRoleSetup<'_> {
    fn config(self, engines: u32) -> Option<ListConfig> {
        let ListSource::Relays(setup) = self.source else { return None };
        let cell = ListRole::Cell {
            relays: setup.relays.iter().map(SocketAddr::to_string).collect(),
            plan: CellPlan {
                cells: setup.cells,
                numbering: RouterNumbering::Interleaved,
                ..CellPlan::default()
            },
            engines,
        };
        Some(ListConfig {
            role: if self.relay { ListRole::Relay } else { cell },
            ask_ns: setup.ask_ns,
            delay_ns: MAX_DELAY_NS,
            timing: list_timing(),
        })
    }
}

/// As the program makes them of how the list service is called.
fn list_timing() -> ListTiming {
    let pace = PacingParams::default();
    ListTiming {
        silence_ns: SILENT_NS + COMMENT_NS,
        reconnect_ns: pace.max_reconnect_ns(SILENT_NS),
        stale_ns: MAX_UPDATE_DELAY_NS,
    }
}

/// What a router's side is started with.
#[derive(Clone, Copy)]
pub struct MemberStart<'a> {
    /// What the fleet's routers say to each other.
    pub setup: &'a FleetSetup,
    /// What this one does about the list.
    pub list: ListRoleSetup<'a>,
    /// Its number, of so many routers.
    pub number: u32,
    /// See `number`.
    pub routers: u32,
    /// Seed of its draws.
    pub seed: u64,
    /// Where its last life listened.
    pub address: Option<SocketAddr>,
    /// The module's settings.
    pub settings: &'a Settings,
    /// The names behind their numbers.
    pub names: &'a Names,
}

impl MemberStart<'_> {
    fn config(&self) -> FleetConfig {
        let setup = self.setup;
        let listen = self.address.map_or_else(|| "127.0.0.1:0".to_owned(), |at| at.to_string());
        let limit = |per_s: f64| LimitConfig {
            limit: Limit {
                name: "statements".to_owned(),
                subject: "tenant".to_owned(),
                kind: LimitKind::Rate { per_s, burst: per_s as u32 },
                mode: Mode::Strict,
            },
            scope: LimitScope::Tenant,
            tenant: None,
            class: None,
        };
        let health = HealthConfig {
            min_observers: MIN_OBSERVERS,
            max_excluded: MAX_EXCLUDED,
            evidence_lifetime_ns: EVIDENCE_LIFETIME_NS,
            override_memory_ns: OVERRIDE_MEMORY_NS,
        };
        FleetConfig {
            listen,
            advertise: None,
            key: key_file(&setup.keys, self.number),
            seeds: setup.seeds.iter().map(SocketAddr::to_string).collect(),
            routers: self.routers,
            lease_ns: LEASE_NS,
            drift: DRIFT,
            limits: setup.limit_per_s.map(limit).into_iter().collect(),
            cold: false,
            health: setup.health.then_some(health),
            list: self.list.config(ENGINES_PER_CELL),
        }
    }
}

/// The fleet's side of one router.
pub struct FleetMember {
    runtime: FleetRuntime,
    config: FleetConfig,
    cell: Option<u32>,
}

impl FleetMember {
    /// Opens its socket; gives the side, and the router with its limits and health.
    ///
    /// # Errors
    /// Where the socket can't be opened or the keys can't be read.
    pub fn start(
        now: u64,
        (registry, token): (&Registry, Token),
        start: MemberStart,
        router: Router,
    ) -> Result<(FleetMember, Router), HollowError> {
        let MemberStart { number, routers, seed, settings, names, .. } = start;
        let config = start.config();
        let name = format!("router-{number:04}");
        let identity = RouterIdentity { name, number, zone: Some(zone_name(number)), seed };
        let cell = config.list.as_ref().and_then(|list| list.cell(&identity, names, routers));
        let started =
            FleetRuntime::start(now, registry, token, config.clone(), identity, settings, names, None);
        let FleetStart { runtime, limits, health } =
            started.map_err(|fault| HollowError::Fleet { number, reason: fault.to_string() })?;
        let router = router.with_limits(Some(limits)).with_health(health);
        Ok((FleetMember { runtime, config, cell: cell.map(|cell| cell.id.cell) }, router))
    }

    /// The program's runtime.
    pub fn runtime(&mut self) -> &mut FleetRuntime {
        &mut self.runtime
    }

    /// Where it takes datagrams.
    pub fn address(&self) -> SocketAddr {
        self.runtime.address()
    }

    /// Peers that it knows (count).
    pub fn peers(&self) -> u32 {
        self.runtime.peers().count() as u32
    }

    /// Its cell among those of its zone, where it is of one.
    pub fn cell(&self) -> Option<u32> {
        self.cell
    }

    /// Bytes of datagrams that came.
    pub fn received_bytes(&self) -> u64 {
        self.runtime.received_bytes()
    }

    /// Datagrams that it sent, and their bytes.
    pub fn sent(&self) -> (u64, u64) {
        (self.runtime.sent_datagrams(), self.runtime.sent_bytes())
    }

    /// Reads its file of keys again.
    pub fn reload_keys(&mut self, now: u64, settings: &Settings, names: &Names, router: &mut Router) {
        if let Some(limits) = router.limits() {
            self.runtime.reload(now, Some(&self.config), settings, names, limits);
        }
    }
}
