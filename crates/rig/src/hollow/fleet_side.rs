//! What a hollow router says to its peers: the program's own fleet runtime, with limits and engines' health.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use marljunction_control::interface::Settings;
use marljunction_core::limits::By;
use marljunction_core::Router;
use marljunction_fleet::{FleetConfig, FleetRuntime, FleetStart, HealthConfig, LimitConfig, RouterIdentity};
use marljunction_limits::{Kind as LimitKind, Limit, Mode};
use marljunction_settings::Names;
use mio::{Registry, Token};

use super::engine_table::zone_name;
use super::protocol::FleetSetup;
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

/// The file of keys of a router's region.
pub fn key_file(directory: &Path, router: u32) -> PathBuf {
    directory.join(format!("key-{}", router % REGIONS))
}

/// The fleet's side of one router.
pub struct FleetSide {
    runtime: FleetRuntime,
    config: FleetConfig,
}

impl FleetSide {
    /// Opens its socket; gives the side, and the router with its limits and health. `address` is where its last life listened.
    ///
    /// # Errors
    /// Where the socket can't be opened or the keys can't be read.
    pub fn start(
        now: u64,
        (registry, token): (&Registry, Token),
        setup: &FleetSetup,
        (number, routers, seed): (u32, u32, u64),
        address: Option<SocketAddr>,
        (settings, names): (&Settings, &Names),
        router: Router,
    ) -> Result<(FleetSide, Router), HollowError> {
        let listen = address.map_or_else(|| "127.0.0.1:0".to_owned(), |at| at.to_string());
        let config = config(setup, listen, number, routers);
        let name = format!("router-{number:04}");
        let identity = RouterIdentity { name, number, zone: Some(zone_name(number)), seed };
        let started =
            FleetRuntime::start(now, registry, token, config.clone(), identity, settings, names, None);
        let failed =
            |reason: &dyn std::fmt::Display| HollowError::Fleet { number, reason: reason.to_string() };
        let FleetStart { runtime, limits, health } = started.map_err(|fault| failed(&fault))?;
        let router = router.with_limits(Some(limits)).with_verdicts(health);
        Ok((FleetSide { runtime, config }, router))
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

fn config(setup: &FleetSetup, listen: String, number: u32, routers: u32) -> FleetConfig {
    let limit = |per_s: f64| LimitConfig {
        limit: Limit {
            name: "statements".to_owned(),
            whom: "tenant".to_owned(),
            kind: LimitKind::Rate { per_s, burst: per_s as u32 },
            mode: Mode::Strict,
        },
        scope: By::Tenant,
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
        key: key_file(&setup.keys, number),
        seeds: setup.seeds.iter().map(SocketAddr::to_string).collect(),
        routers,
        lease_ns: LEASE_NS,
        drift: DRIFT,
        limits: setup.limit_per_s.map(limit).into_iter().collect(),
        cold: false,
        health: setup.health.then_some(health),
        list: None,
    }
}
