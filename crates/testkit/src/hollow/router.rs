//! One hollow router: the program's own parts that control costs, with its own sockets.

use std::net::SocketAddr;
use std::rc::Rc;

use marljunction_control::interface::Settings;
use marljunction_core::{Command, Router};
use marljunction_discovery::bound::ListBound;
use marljunction_discovery::stream::Stream;
use marljunction_discovery::{Change, SourceParams};
use marljunction_net::{ConnectionLimits, Net};
use marljunction_pacing::PacingParams;
use marljunction_settings::{read_settings, Names};
use mio::{Registry, Token};

use super::engine_fingerprints::EngineFingerprints;
use super::engine_table::part_index;
use super::fleet_member::{FleetMember, ListRoleSetup, MemberStart};
use super::protocol::{ExpectedLists, HostSetup, ListSource, RouterReport, RouterStart};
use super::relay_feed::{to_membership, RelayFeed};
use super::{io, HollowError};

/// Part of a token that names the router; the rest numbers its connections.
pub(crate) const TOKEN_BITS: u32 = 32;
/// Connections that one life of a router may open before the next life's numbers begin (count).
const INCARNATION_BITS: u32 = 20;
/// Age from which news counts as too old (ns).
const STALE_NS: u64 = 7_000_000_000;
/// Memory that the module's bounds follow from (MB).
const MEMORY_MB: f64 = 512.0;

/// What all routers of a host share.
pub struct Shared {
    /// How the host is set up.
    pub setup: HostSetup,
    /// The module's settings, with the names behind their numbers.
    pub settings: Rc<(Settings, Names)>,
}

impl Shared {
    /// Reads the settings as the program does.
    ///
    /// # Errors
    /// Where the program's reader refuses them.
    pub fn new(setup: HostSetup) -> Result<Shared, HollowError> {
        let settings = read_settings(&setup.settings).map_err(HollowError::Settings)?;
        Ok(Shared { setup, settings: Rc::new(settings) })
    }

    fn pace(&self, number: u32) -> PacingParams {
        let pace = self.setup.pace;
        PacingParams {
            spread_ns: pace.spread_ns,
            longest_ns: pace.longest_ns,
            budget_per_s: pace.budget_per_s,
            callers: Some(pace.routers),
            caller_index: number,
            ..PacingParams::default()
        }
    }
}

/// What a router does about the list.
enum Role {
    /// Nothing.
    Idle,
    /// It follows the list service.
    Reader,
    /// It follows the list service, and tells routers of cells their parts.
    Relay(RelayFeed),
    /// It learns the part of its cell, which has this place among all parts.
    CellRouter(usize),
}

impl Role {
    fn of(start: &RouterStart, list: &ListSource, cell: Option<u32>) -> Role {
        match (list, cell) {
            (ListSource::Disabled, _) => Role::Idle,
            (ListSource::Service, _) => Role::Reader,
            (ListSource::Relays(_), _) if start.relay => Role::Relay(RelayFeed::default()),
            (ListSource::Relays(setup), Some(cell)) => {
                Role::CellRouter(part_index(start.number, setup.cells, cell))
            }
            (ListSource::Relays(_), None) => Role::Idle,
        }
    }

    fn follows_service(&self) -> bool {
        matches!(self, Role::Reader | Role::Relay(_))
    }
}

/// One router.
pub struct HollowRouter {
    number: u32,
    net: Net,
    stream: Stream,
    list: EngineFingerprints,
    /// When its list last changed (ns).
    list_changed_ns: u64,
    learned_ns: Option<u64>,
    /// Bytes of datagrams that had come then.
    fleet_learned_bytes: u64,
    started_ns: u64,
    module: Router,
    updates_module: bool,
    role: Role,
    fleet: Option<FleetMember>,
    shared: Rc<(Settings, Names)>,
    commands: Vec<Command>,
}

impl HollowRouter {
    /// Starts it, knowing nothing; `slot` is its place in the host, `incarnation` counts its starts there, and `address` is where its
    /// life before took datagrams.
    ///
    /// # Errors
    /// Where it gets no sockets.
    pub fn start(
        now: u64,
        registry: &Registry,
        shared: &Shared,
        start: RouterStart,
        (slot, incarnation): (usize, u64),
        address: Option<SocketAddr>,
    ) -> Result<HollowRouter, HollowError> {
        let registry_clone = registry.try_clone().map_err(io("poll"))?;
        let first_connection = (slot as u64 + 1) << TOKEN_BITS | incarnation << INCARNATION_BITS;
        let net =
            Net::new(registry_clone, first_connection, ConnectionLimits { engines: 0, output: 1 << 20 });
        let seed = shared.setup.seed ^ u64::from(start.number) << 20 ^ incarnation;
        let pacing = SourceParams { pace: shared.pace(start.number), seed, stale_ns: STALE_NS };
        let (settings, names) = &*shared.settings;
        let mut settings = settings.clone();
        settings.router_index = start.number;
        let mut module = Router::new(settings.clone(), seed, MEMORY_MB);
        let mut fleet = None;
        if let Some(setup) = &shared.setup.fleet {
            let member_start = MemberStart {
                setup,
                list: ListRoleSetup { source: &shared.setup.list, relay: start.relay },
                number: start.number,
                routers: shared.setup.fleet_routers,
                seed,
                address,
                settings: &settings,
                names,
            };
            let started = FleetMember::start(now, (registry, Token(slot)), member_start, module)?;
            module = started.1;
            fleet = Some(started.0);
        }
        let cell = fleet.as_ref().and_then(FleetMember::cell);
        let role = Role::of(&start, &shared.setup.list, cell);
        Ok(HollowRouter {
            number: start.number,
            net,
            stream: Stream::new(now, start.list, names.clone(), 0, pacing)
                .with_bound(ListBound::of(MEMORY_MB)),
            list: EngineFingerprints::default(),
            list_changed_ns: now,
            learned_ns: None,
            fleet_learned_bytes: 0,
            started_ns: now,
            module,
            updates_module: shared.setup.module,
            role,
            fleet,
            shared: shared.settings.clone(),
            commands: Vec::new(),
        })
    }

    /// Its number.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Whether it has the list that it should have: the whole one, or its cell's part.
    pub fn has_list(&self, expected: &ExpectedLists) -> bool {
        let expected_digest = match self.role {
            Role::CellRouter(part) => expected.parts.get(part),
            _ => Some(&expected.full_list),
        };
        expected_digest == Some(&self.list.digest())
    }

    /// When its list last changed (ns).
    pub fn list_changed_ns(&self) -> u64 {
        self.list_changed_ns
    }

    /// Where it takes datagrams, where it does.
    pub fn fleet_address(&self) -> Option<SocketAddr> {
        self.fleet.as_ref().map(FleetMember::address)
    }

    /// Peers that it knows (count).
    pub fn peers(&self) -> u32 {
        self.fleet.as_ref().map_or(0, FleetMember::peers)
    }

    /// Passes time.
    pub fn tick(&mut self, now: u64) {
        if self.role.follows_service() {
            self.stream.tick(now, &mut self.net);
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.runtime().tick(now, &mut self.module);
            if let Role::Relay(feed) = &mut self.role {
                feed.tick(now, &self.stream, fleet.runtime());
            }
        }
        self.apply_part_updates(now);
        self.process_events(now);
    }

    /// Takes what relays told of its cell's part.
    fn apply_part_updates(&mut self, now: u64) {
        let Some(fleet) = &mut self.fleet else { return };
        for update in fleet.runtime().take_list_updates() {
            self.list.apply_part(&update);
            if self.updates_module {
                let (kind, entries) = to_membership(&update, &self.shared.1);
                self.module.membership(kind, entries);
            }
            self.list_changed_ns = now;
            if self.learned_ns.is_none() {
                self.learned_ns = Some(now);
                self.fleet_learned_bytes = fleet.received_bytes();
            }
        }
    }

    /// Takes datagrams that have come; whether there are more to take.
    pub fn ready_datagrams(&mut self, now: u64) -> bool {
        let Some(fleet) = &mut self.fleet else { return false };
        fleet.runtime().ready(now, &mut self.module);
        let has_more = fleet.runtime().has_more();
        self.apply_part_updates(now);
        has_more
    }

    /// Reads its file of keys again.
    pub fn reload_keys(&mut self, now: u64) {
        if let Some(fleet) = &mut self.fleet {
            fleet.reload_keys(now, &self.shared.0, &self.shared.1, &mut self.module);
        }
    }

    /// Takes what has come in on a connection; whether there is more to take.
    pub fn ready(&mut self, now: u64, connection: u64) -> bool {
        let changes = self.stream.ready(now, &mut self.net, connection);
        if !changes.is_empty() {
            self.apply_changes(now, changes);
        }
        self.net.has_more(connection)
    }

    fn apply_changes(&mut self, now: u64, changes: Vec<Change>) {
        if let (Role::Relay(feed), Some(fleet)) = (&mut self.role, &mut self.fleet) {
            feed.publish(now, &self.stream, fleet.runtime(), &changes, &self.shared.1);
        }
        for change in changes {
            self.list.apply(&change);
            if self.updates_module {
                let entries = change.targets.iter().map(|target| target.entry).collect();
                self.module.membership(change.kind, entries);
            }
        }
        self.list_changed_ns = now;
        self.learned_ns = self.learned_ns.or(Some(now));
        self.process_events(now);
    }

    fn process_events(&mut self, now: u64) {
        self.module.process_events(now, &mut self.commands);
        // Without clients there is nothing to carry out.
        self.commands.clear();
    }

    /// What it knows.
    pub fn report(&self) -> RouterReport {
        let ((calls, rejected_calls), _) = self.stream.stats();
        let (fleet_datagrams, fleet_bytes) = self.fleet.as_ref().map_or((0, 0), FleetMember::sent);
        let fleet_received_bytes = self.fleet.as_ref().map_or(0, FleetMember::received_bytes);
        RouterReport {
            number: self.number,
            digest: self.list.digest(),
            started_ns: self.started_ns,
            learned_ns: self.learned_ns,
            received_bytes: self.net.received_bytes(),
            calls,
            rejected_calls,
            peers: self.peers(),
            fleet_datagrams,
            fleet_bytes,
            fleet_received_bytes,
            fleet_learned_bytes: self.fleet_learned_bytes,
        }
    }
}
