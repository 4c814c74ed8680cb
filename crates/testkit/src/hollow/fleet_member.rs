//! A hollow router as a member of the fleet: the program's own fleet runtime, with membership,
//! limits, engine health and lists by cells.

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

/// Number of regions. Each has its own key file, so that another key partitions it from the fleet.
pub const REGIONS: u32 = 9;
/// Defaults of the operator's configuration file.
const LEASE_NS: u64 = 2_000_000_000;
const DRIFT: f64 = 0.01;
const MIN_OBSERVERS: u32 = 3;
const MAX_EXCLUDED: f64 = 0.3;
const EVIDENCE_LIFETIME_NS: u64 = 30_000_000_000;
const OVERRIDE_MEMORY_NS: u64 = 86_400_000_000_000;

/// Maximum datagram delay (ns) and engines per cell for which bounds are computed.
const MAX_DELAY_NS: u64 = 100_000_000;
const ENGINES_PER_CELL: u32 = 150;
/// Interval between the list service's comments (ns).
const COMMENT_NS: u64 = 1_000_000_000;

/// Path of the key file of a router's region.
pub fn key_file(directory: &Path, router: u32) -> PathBuf {
    directory.join(format!("key-{}", router % REGIONS))
}

/// A router's role in list distribution.
#[derive(Clone, Copy, Debug)]
pub struct ListRoleSetup<'a> {
    /// Source of the engine list.
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
            request_interval_ns: setup.request_interval_ns,
            delay_ns: MAX_DELAY_NS,
            timing: list_timing(),
        })
    }
}

/// Timing derived from the pacing of calls to the list service, as in the program.
fn list_timing() -> ListTiming {
    let pace = PacingParams::default();
    ListTiming {
        silence_ns: SILENT_NS + COMMENT_NS,
        reconnect_ns: pace.max_reconnect_ns(SILENT_NS),
        stale_ns: MAX_UPDATE_DELAY_NS,
    }
}

/// Parameters for starting a fleet member.
#[derive(Clone, Copy)]
pub struct MemberStart<'a> {
    /// Fleet configuration.
    pub setup: &'a FleetSetup,
    /// The router's role in list distribution.
    pub list: ListRoleSetup<'a>,
    /// Router number.
    pub number: u32,
    /// Number of routers in the fleet.
    pub routers: u32,
    /// Random seed.
    pub seed: u64,
    /// Datagram address of the previous incarnation, to be reused.
    pub address: Option<SocketAddr>,
    /// Settings of the decision module.
    pub settings: &'a Settings,
    /// Names that the settings refer to by index.
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

/// The fleet runtime of one router.
pub struct FleetMember {
    runtime: FleetRuntime,
    config: FleetConfig,
    cell: Option<u32>,
}

impl FleetMember {
    /// Opens the socket and adds limits and health to the router's decision module.
    ///
    /// # Errors
    /// If the socket can't be opened or the keys can't be read.
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

    /// The fleet runtime of the program.
    pub fn runtime(&mut self) -> &mut FleetRuntime {
        &mut self.runtime
    }

    /// Datagram address.
    pub fn address(&self) -> SocketAddr {
        self.runtime.address()
    }

    /// Number of known peers.
    pub fn peers(&self) -> u32 {
        self.runtime.peers().count() as u32
    }

    /// Index of its cell within its zone, if it belongs to one.
    pub fn cell(&self) -> Option<u32> {
        self.cell
    }

    /// Bytes of received datagrams.
    pub fn received_bytes(&self) -> u64 {
        self.runtime.received_bytes()
    }

    /// Number and bytes of sent datagrams.
    pub fn sent(&self) -> (u64, u64) {
        (self.runtime.sent_datagrams(), self.runtime.sent_bytes())
    }

    /// Reloads the key file.
    pub fn reload_keys(&mut self, now: u64, settings: &Settings, names: &Names, router: &mut Router) {
        if let Some(limits) = router.limits() {
            self.runtime.reload(now, Some(&self.config), settings, names, limits);
        }
    }
}
