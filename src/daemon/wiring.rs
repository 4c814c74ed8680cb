//! Builds the daemon from its configuration files.
//!
//! Invariants: signal handlers are installed before the listeners open; operators' exclusions are
//! read before the decision module gets the first engine.

use std::net::SocketAddr;

use log::info;
use marljunction_core::health::FleetHealth;
use marljunction_core::limits::FleetLimits;
use marljunction_core::Router;
use marljunction_discovery::address_owners::AddressOwners;
use marljunction_discovery::bound::ListBound;
use marljunction_discovery::consul::Consul;
use marljunction_discovery::stream::Stream;
use marljunction_discovery::{Source, SourceParams};
use marljunction_engine::http::HttpBackend;
use marljunction_engine::postgres::PostgresBackend;
use marljunction_engine::Backend;
use marljunction_fair_queue::settings::FairQueueConfig;
use marljunction_fair_queue::{FairQueue, FairQueueParams};
use marljunction_fleet::{FleetConfig, FleetRuntime, FleetStart, RouterIdentity};
use marljunction_front::msgpack::MsgpackFront;
use marljunction_front::postgres::{PostgresFront, PostgresSetup};
use marljunction_front::Directory;
use marljunction_handover::{Machine, SharedState};
use marljunction_net::clock::Clock;
use marljunction_net::{ConnectionLimits, Net};
use mio::Registry;

use super::admin::Admin;
use super::engine_list::EngineList;
use super::exclusions::Exclusions;
use super::iteration::EventLoop;
use super::listeners::{Listeners, FIRST_CONNECTION, FLEET, MIN_DESCRIPTORS};
use super::relayed_list::{apply_cell, warn_unservable_classes, RelayStream};
use super::snapshot::Snapshot;
use super::stop::StopState;
use super::{ConfigState, Daemon, Fronts};
use crate::config::{Config, ConfigFiles, EngineProtocol, LoadedConfig, PostgresConfig, StartConfig};
use crate::error::DaemonError;
use crate::logger;

impl Daemon {
    /// Reads the configuration files and opens the listeners.
    ///
    /// # Errors
    /// If a file is not valid, or a system call fails.
    pub fn start(files: ConfigFiles) -> Result<Daemon, DaemonError> {
        let read = files.read()?;
        logger::set_level(read.level);
        let (event_loop, registry) = EventLoop::open()?;
        let listeners = Listeners::open(&registry, &files, &read.config, read.postgres.as_ref())?;
        Daemon::build(files, read, event_loop, registry, listeners)
    }

    fn build(
        files: ConfigFiles,
        read: LoadedConfig,
        event_loop: EventLoop,
        registry: Registry,
        listeners: Listeners,
    ) -> Result<Daemon, DaemonError> {
        let LoadedConfig { mut config, postgres, fair_queue, mut start, fleet, operator, .. } = read;
        let identity = config.identity();
        let cell = apply_cell(&mut config, &mut start, fleet.as_ref(), &identity);
        cell.iter().for_each(|cell| warn_unservable_classes(&config, cell));
        let clock = Clock::start();
        let now = clock.now_ns();
        let directory = build_directory(&config, fair_queue.as_ref(), fleet.as_ref())?;
        let fair_queue = fair_queue.map(|settings| build_fair_queue(now, settings, &config));
        let pacing = build_pacing(&config, &start);
        let source = match cell {
            // A router of a cell gets the list from relays, not from the list service.
            Some(_) => None,
            None => build_source(now, &config, &start, postgres.as_ref(), pacing)?,
        };
        // The budgets of cold engines are divided by the same count as the list service's.
        config.settings.router_count = pacing.pace.caller_count();
        let engines = build_engines(&config, &start, postgres.as_ref(), pacing);
        let fronts = build_fronts(now, &config, postgres, &directory)?;
        let (fleet, fleet_state) = start_fleet(now, &registry, fleet, identity, &config, &files)?;
        let handover = build_shared_state(clock.now_ns(), &files, &listeners)?;
        let router =
            build_router(&config, pacing.seed, fair_queue, fleet_state).with_shared_order(handover.is_some());
        let net = build_net(registry, &config);
        let snapshot = Snapshot::in_file(start.snapshot_path.clone(), ListBound::of(config.limits.memory_mb));
        let exclusions = Exclusions::in_directory(files.state_dir.as_deref());
        let admin = Admin::new(config.limits.sockets);
        let known = std::mem::take(&mut config.known);
        let mut daemon = Daemon {
            clock,
            event_loop,
            net,
            router,
            config: ConfigState::new(files, config, operator, directory),
            listeners,
            stop: StopState::serving(),
            fronts,
            engines,
            engine_list: EngineList {
                source,
                address_owners: AddressOwners::new(),
                snapshot,
                exclusions,
                relay_stream: RelayStream::default(),
            },
            admin,
            handover,
            told_cold_sends: 0,
            told_used_names: 0,
            fleet,
        };
        // Before the first request: guards against a process that uses the budgets of an older one.
        daemon.exchange_with_other_process(now);
        daemon.load_engines(known, start.max_snapshot_age_ns);
        Ok(daemon)
    }
}

/// Parses an address of the configuration.
pub(super) fn parse_address(text: &str) -> Result<SocketAddr, DaemonError> {
    text.parse().map_err(|source| DaemonError::Address { address: text.to_owned(), source })
}

/// Builds the directory of classes, tenants and clients.
fn build_directory(
    config: &Config,
    fair_queue: Option<&FairQueueConfig>,
    fleet: Option<&FleetConfig>,
) -> Result<Directory, DaemonError> {
    let client = fair_queue.map(|fair_queue| fair_queue.client.clone()).unwrap_or_default();
    // All routers of a fleet must map a client to the same number for limits by client.
    let clients_seed = match fleet {
        Some(fleet) => fleet.clients_seed()?,
        None => config.seed,
    };
    let directory = Directory::new(config.names.clone(), &config.settings);
    Ok(directory.with_client_identity(client, clients_seed))
}

fn build_fair_queue(now: u64, settings: FairQueueConfig, config: &Config) -> FairQueue {
    let params = FairQueueParams {
        weights: config.weights(&settings),
        classes: config.settings.classes.len(),
        max_retry_after_ns: config.settings.max_retry_after_ns,
        max_queued_bytes: Router::max_queued_bytes(config.limits.memory_mb),
        seed: config.seed,
    };
    info!("fair queues are enabled");
    FairQueue::new(now, settings, params)
}

fn build_pacing(config: &Config, start: &StartConfig) -> SourceParams {
    SourceParams {
        pace: start.pace(config.settings.router_count, config.settings.router_index),
        seed: config.router_seed(),
        stale_ns: start.stale_ns,
    }
}

/// Builds the client of the list service: Consul if configured, else the coordinator, else none.
fn build_source(
    now: u64,
    config: &Config,
    start: &StartConfig,
    postgres: Option<&PostgresConfig>,
    pacing: SourceParams,
) -> Result<Option<Source>, DaemonError> {
    let names = config.names.clone();
    let bound = ListBound::of(config.limits.memory_mb);
    let consul = postgres.and_then(|postgres| postgres.consul.as_ref());
    let source = match (consul, &config.coordinator) {
        (Some(consul), _) => {
            let address = parse_address(&consul.address)?;
            let consul = Consul::new(now, address, consul.service.clone(), names, pacing);
            Source::Consul(Box::new(consul.with_bound(bound)))
        }
        (None, Some(coordinator)) => {
            let address = parse_address(coordinator)?;
            let stream = Stream::new(now, address, names, config.known_index, pacing);
            Source::Stream(Box::new(stream.with_bound(bound)))
        }
        (None, None) => return Ok(None),
    };
    info!("{}", start.bounds(Some(config.settings.router_count)));
    Ok(Some(source))
}

fn build_engines(
    config: &Config,
    start: &StartConfig,
    postgres: Option<&PostgresConfig>,
    pacing: SourceParams,
) -> Box<dyn Backend> {
    let connect_timeout_ns = config.connect_timeout_ns;
    let mut engines: Box<dyn Backend> = match postgres.map(|postgres| postgres.engines.clone()) {
        Some(EngineProtocol::Postgres { user, database }) => {
            Box::new(PostgresBackend::new(user, database, connect_timeout_ns))
        }
        _ => Box::new(HttpBackend::new(config.engine_idle_ns, connect_timeout_ns)),
    };
    let connection_budget = start.connection_budget(pacing.pace);
    engines
        .set_connection_budget(connection_budget.map(|connection_budget| (connection_budget, pacing.seed)));
    engines
}

fn build_fronts(
    now: u64,
    config: &Config,
    postgres: Option<PostgresConfig>,
    directory: &Directory,
) -> Result<Fronts, DaemonError> {
    let msgpack = MsgpackFront::new(directory.clone());
    let Some(file) = postgres else { return Ok(Fronts { msgpack, postgres: None }) };
    let class = directory.class(&file.class).ok_or(DaemonError::UnknownClass(file.class))?;
    let setup = PostgresSetup {
        class,
        columns: file.columns,
        // HTTP engines accept parameters only as part of the statement text.
        inline_params: !matches!(file.engines, EngineProtocol::Postgres { .. }),
        max_sessions: file.sessions,
    };
    let setup = setup.limit_to_memory(config.limits.memory_mb);
    let postgres = PostgresFront::new(directory.clone(), setup, config.process_seed(now, std::process::id()));
    Ok(Fronts { msgpack, postgres: Some(postgres) })
}

/// State shared with the fleet; `None` outside of a fleet.
type FleetState = (Option<FleetLimits>, Option<FleetHealth>);

fn start_fleet(
    now: u64,
    registry: &Registry,
    fleet: Option<FleetConfig>,
    identity: RouterIdentity,
    config: &Config,
    files: &ConfigFiles,
) -> Result<(Option<FleetRuntime>, FleetState), DaemonError> {
    let Some(fleet) = fleet else { return Ok((None, (None, None))) };
    let FleetStart { runtime, limits, health } = FleetRuntime::start(
        now,
        registry,
        FLEET,
        fleet,
        identity,
        &config.settings,
        &config.names,
        files.state_dir.as_deref(),
    )?;
    Ok((Some(runtime), (Some(limits), health)))
}

fn build_router(
    config: &Config,
    seed: u64,
    fair_queue: Option<FairQueue>,
    (limits, health): FleetState,
) -> Router {
    Router::new(config.settings.clone(), seed, config.limits.memory_mb)
        .with_fair_queue(fair_queue)
        .with_limits(limits)
        .with_health(health)
}

/// Shares state with processes that accept clients at the same address; not without a directory for
/// it.
fn build_shared_state(
    now: u64,
    files: &ConfigFiles,
    listeners: &Listeners,
) -> Result<Option<SharedState>, DaemonError> {
    let (Some(directory), Some(listener)) = (&files.state_dir, &listeners.msgpack) else {
        return Ok(None);
    };
    let address = listener.local_addr().map_err(DaemonError::io("listen"))?;
    let machine = Machine::at(now);
    Ok(Some(SharedState::in_directory(directory, address, std::process::id(), now, machine)))
}

fn build_net(registry: Registry, config: &Config) -> Net {
    let descriptors = config.limits.sockets.max(MIN_DESCRIPTORS);
    let mut net =
        Net::new(registry, FIRST_CONNECTION, ConnectionLimits::of(descriptors, config.limits.memory_mb));
    net.defer_engine_writes();
    net
}
