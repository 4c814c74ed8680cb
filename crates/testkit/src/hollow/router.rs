//! A hollow router: the program's control-plane components with their own sockets.

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

/// Bits of a token that number a router's connections; the bits above identify the router.
pub(crate) const TOKEN_BITS: u32 = 32;
/// Bits of a token that number the connections of one incarnation.
const INCARNATION_BITS: u32 = 20;
/// Age from which the list counts as stale (ns).
const STALE_NS: u64 = 7_000_000_000;
/// Memory limit from which bounds are derived (MB).
const MEMORY_MB: f64 = 512.0;

/// State shared by all routers of a host.
pub struct Shared {
    /// Configuration of the host.
    pub setup: HostSetup,
    /// Settings of the decision module, with the names that they refer to by index.
    pub settings: Rc<(Settings, Names)>,
}

impl Shared {
    /// Parses the settings.
    ///
    /// # Errors
    /// If the settings are invalid.
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

/// A router's role in list distribution.
enum Role {
    /// It has no list.
    Idle,
    /// It follows the list service.
    Reader,
    /// It follows the list service and serves parts to the routers of cells.
    Relay(RelayFeed),
    /// It receives the part of its cell from relays; holds the index of the part.
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

/// A hollow router.
pub struct HollowRouter {
    number: u32,
    net: Net,
    stream: Stream,
    list: EngineFingerprints,
    /// Time of the last change of its list (ns).
    list_changed_ns: u64,
    learned_ns: Option<u64>,
    /// Bytes of datagrams received until `learned_ns`.
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
    /// Starts a router without any state.
    ///
    /// `slot` is its index in the host, `incarnation` numbers the starts in the host, and `address`
    /// is the datagram address of its previous incarnation.
    ///
    /// # Errors
    /// If its sockets or its fleet runtime can't be set up.
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
        let net = Net::new(
            registry_clone,
            first_connection,
            ConnectionLimits { engines: 0, output: 1 << 20, input: 1 << 30 },
        );
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

    /// Router number.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Whether its list is as expected: the full list, or the part of its cell.
    pub fn has_list(&self, expected: &ExpectedLists) -> bool {
        let expected_digest = match self.role {
            Role::CellRouter(part) => expected.parts.get(part),
            _ => Some(&expected.full_list),
        };
        expected_digest == Some(&self.list.digest())
    }

    /// Time of the last change of its list (ns).
    pub fn list_changed_ns(&self) -> u64 {
        self.list_changed_ns
    }

    /// Datagram address, if it is a member of the fleet.
    pub fn fleet_address(&self) -> Option<SocketAddr> {
        self.fleet.as_ref().map(FleetMember::address)
    }

    /// Number of known peers.
    pub fn peers(&self) -> u32 {
        self.fleet.as_ref().map_or(0, FleetMember::peers)
    }

    /// Processes timers.
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

    /// Applies updates of its cell's part from relays.
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

    /// Reads received datagrams; returns whether more are pending.
    pub fn ready_datagrams(&mut self, now: u64) -> bool {
        let Some(fleet) = &mut self.fleet else { return false };
        fleet.runtime().ready(now, &mut self.module);
        let has_more = fleet.runtime().has_more();
        self.apply_part_updates(now);
        has_more
    }

    /// Reloads its key file.
    pub fn reload_keys(&mut self, now: u64) {
        if let Some(fleet) = &mut self.fleet {
            fleet.reload_keys(now, &self.shared.0, &self.shared.1, &mut self.module);
        }
    }

    /// Reads from a connection; returns whether more data is pending.
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
        // There are no clients, so no command needs to be carried out.
        self.commands.clear();
    }

    /// Current state.
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
