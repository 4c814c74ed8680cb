//! Runs the fleet's state machines over one socket: start, datagrams, time and membership changes.
//!
//! Invariants: messages leave in the iteration that creates them. After a stall, queued messages on
//! engine health are ignored, because their age is unknown.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

use log::{info, warn};
use marljunction_cells::PartUpdate;
use marljunction_control::interface::Settings;
use marljunction_core::cold::ColdBudgets;
use marljunction_core::health::FleetHealth;
use marljunction_core::limits::FleetLimits;
use marljunction_core::Router;
use marljunction_health::overrides::Overrides;
use marljunction_health::{HealthParams, Node as HealthNode};
use marljunction_limits::escrow::Peer;
use marljunction_limits::params::stable_hash;
use marljunction_limits::{Limit, Node as LimitNode};
use marljunction_net::datagrams::DatagramSocket;
use marljunction_peers::datagram::Kind;
use marljunction_peers::{Event, Members, PeerIdentity, Settings as MembershipSettings};
use marljunction_settings::Names;
use mio::{Registry, Token};

use crate::config::{describe_budget, max_request_ns, parse_address, read_keys, FleetConfig};
use crate::error::FleetError;
use crate::list::ListMachine;
use crate::overrides_file::OverridesFile;
use crate::payloads::PeerPayload;
use crate::view;

/// Largest number of keys of all limits that one router tracks.
const MAX_LIMIT_KEYS: usize = 16_384;
/// Time without activity that counts as a stall, in nanoseconds.
const STALL_NS: u64 = 1_000_000_000;
/// How long messages on engine health are ignored after a stall, in nanoseconds. Peers repeat what
/// is still valid.
const STALE_HEALTH_NS: u64 = 300_000_000;
/// Number of membership changes that are logged individually; later, one in [`LOG_EVERY`] is.
const MAX_LOGGED_CHANGES: u64 = 1_000;
const LOG_EVERY: u64 = 100;

/// Identity of this router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterIdentity {
    /// Name, which stays the same over restarts.
    pub name: String,
    /// Number among the routers that limits are divided among.
    pub number: u32,
    /// Name of its zone, if it has one.
    pub zone: Option<String>,
    /// Seed of its pseudorandom numbers, different in each router.
    pub seed: u64,
}

/// Result of [`FleetRuntime::start`].
pub struct FleetStart {
    /// The runtime.
    pub runtime: FleetRuntime,
    /// The limits, to be passed to the [`Router`].
    pub limits: FleetLimits,
    /// Engine health if it is shared, to be passed to the [`Router`].
    pub health: Option<FleetHealth>,
}

/// The socket, the membership, and state stored for the next start.
pub struct FleetRuntime {
    pub(crate) datagrams: DatagramSocket,
    pub(crate) members: Members,
    pub(crate) config: FleetConfig,
    /// Number of membership changes so far.
    logged_changes: u64,
    /// Time of the last activity, in nanoseconds.
    active_ns: u64,
    /// Messages on engine health are ignored until this time, in nanoseconds.
    pub(crate) ignore_health_until_ns: u64,
    overrides_file: Option<OverridesFile>,
    /// Whether this router was a suspect when that was last logged.
    suspect: bool,
    pub(crate) pending_payloads: Vec<PeerPayload>,
    pub(crate) dropped_payloads: u64,
    pub(crate) list: Option<ListMachine>,
    pub(crate) list_updates: Vec<PartUpdate>,
}

impl FleetRuntime {
    /// Opens the socket and creates the state machines. Overrides are stored in `state_directory`,
    /// if it is given.
    ///
    /// # Errors
    /// Returns an error if an address or the keys are invalid, the socket cannot be opened, or a
    /// limit names a tenant or class that is not in the settings.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        now: u64,
        registry: &Registry,
        token: Token,
        config: FleetConfig,
        identity: RouterIdentity,
        settings: &Settings,
        names: &Names,
        state_directory: Option<&Path>,
    ) -> Result<FleetStart, FleetError> {
        let (datagrams, local) = open_socket(registry, token, &config.listen)?;
        let members = join(now, &config, &identity, local)?;
        let limits = build_limits(now, &config, identity.number, settings, names)?;
        info!(
            "{} talks to the fleet on {local} as router {} of {}",
            identity.name, identity.number, config.routers
        );
        for line in config.bounds(max_request_ns(settings)) {
            info!("{line}");
        }
        let overrides_file = state_directory.map(OverridesFile::in_directory);
        let health = config
            .health_params()
            .map(|params| build_health(now, params, &identity, overrides_file.as_ref()));
        let list = ListMachine::start(now, &config, &identity, names)?;
        let runtime = FleetRuntime {
            list,
            list_updates: Vec::new(),
            datagrams,
            members,
            config,
            logged_changes: 0,
            active_ns: now,
            ignore_health_until_ns: 0,
            overrides_file,
            suspect: false,
            pending_payloads: Vec::new(),
            dropped_payloads: 0,
        };
        Ok(FleetStart { runtime, limits, health })
    }

    /// Whether datagrams remain to be read; no further event announces them.
    pub fn has_more(&self) -> bool {
        self.datagrams.unread
    }

    /// Returns the number of datagrams sent.
    pub fn sent_datagrams(&self) -> u64 {
        self.members.sent().0
    }

    /// Returns the number of bytes sent in datagrams.
    pub fn sent_bytes(&self) -> u64 {
        self.members.sent().1
    }

    /// Returns the number of bytes received in datagrams.
    pub fn received_bytes(&self) -> u64 {
        self.datagrams.received_bytes
    }

    /// Iterates over reachable peers.
    pub fn peers(&self) -> impl Iterator<Item = &PeerIdentity> {
        self.members.up()
    }

    /// Returns the address that peers send datagrams to.
    pub fn address(&self) -> SocketAddr {
        self.members.me().address
    }

    /// Handles received datagrams.
    pub fn ready(&mut self, now: u64, router: &mut Router) {
        self.note_activity(now);
        let members = &mut self.members;
        self.datagrams.receive(|datagram| members.receive(now, datagram));
        self.exchange(now, router);
        self.run_list(now);
    }

    /// Runs periodic work.
    pub fn tick(&mut self, now: u64, router: &mut Router) {
        self.note_activity(now);
        self.members.tick(now);
        if let Some(limits) = router.limits() {
            let messages = limits.node().tick(now);
            self.send(Kind::Limits, messages);
        }
        if let Some(health) = router.health() {
            let messages = health.node().tick(now);
            self.send(Kind::Health, messages);
            self.log_suspicion(health.node().is_suspect());
            if let Some(file) = &mut self.overrides_file {
                file.store(health.node());
            }
        }
        self.exchange(now, router);
        self.run_list(now);
    }

    /// Notifies peers that this router leaves.
    pub fn leave(&mut self, now: u64) {
        self.members.leave(now);
        let (outgoing, _) = self.members.take();
        self.send_datagrams(outgoing);
    }

    /// Formats peers and limits for operators.
    pub fn view(&self, now: u64, limits: &mut FleetLimits) -> String {
        let text = view::describe_fleet(now, &self.members, &self.config, limits);
        match self.view_list(now) {
            Some(list) => format!("{text}\n{list}"),
            None => text,
        }
    }

    /// Formats the fleet's engine health for operators.
    pub fn view_health(&self, now: u64, health: &mut FleetHealth) -> String {
        view::describe_health(now, health.node())
    }

    /// Formats counters as one line.
    pub fn line(&self, now: u64, limits: &FleetLimits) -> String {
        let line = view::counters_line(&self.members, limits);
        match self.list_line(now) {
            Some(list) => format!("{line} {list}"),
            None => line,
        }
    }

    /// Detects a stall: queued datagrams are then of unknown age.
    fn note_activity(&mut self, now: u64) {
        if now.saturating_sub(self.active_ns) >= STALL_NS {
            self.ignore_health_until_ns = now + STALE_HEALTH_NS;
        }
        self.active_ns = now;
    }

    /// Sends datagrams and handles events until handling creates no further datagrams.
    fn exchange(&mut self, now: u64, router: &mut Router) {
        loop {
            let (outgoing, events) = self.members.take();
            self.send_datagrams(outgoing);
            if events.is_empty() {
                return;
            }
            for event in events {
                self.handle_event(now, event, router);
            }
        }
    }

    pub(crate) fn send_datagrams(&mut self, outgoing: Vec<(SocketAddr, Vec<u8>)>) {
        for (to, datagram) in outgoing {
            self.datagrams.send(to, &datagram);
        }
    }

    fn handle_event(&mut self, now: u64, event: Event, router: &mut Router) {
        if let Event::Payload(from, kind, bytes) = event {
            // A payload does not change the membership.
            return self.handle_payload(now, PeerPayload { from, kind, bytes }, router);
        }
        self.log_change(event);
        let reachable: BTreeSet<u32> = self.members.up().map(|peer| peer.number).collect();
        if let Some(health) = router.health() {
            health.node().set_peers(reachable.iter().copied().collect());
        }
        if let Some(limits) = router.limits() {
            limits.node().set_reachable(now, reachable);
        }
    }

    fn log_change(&mut self, event: Event) {
        match event {
            Event::Payload(..) => {}
            Event::Up(peer) => self.log(&format!("{} is up at {}", peer.name, peer.address)),
            Event::Down(peer) => self.log(&format!("{} is down or unreachable", peer.name)),
            Event::Restarted(before, peer) if before.address != peer.address => self.log(&format!(
                "{} restarted at {}; if the one at {} still runs, two routers share this name",
                peer.name, peer.address, before.address
            )),
            Event::Restarted(_, peer) => self.log(&format!("{} restarted", peer.name)),
            Event::DuplicateNumber(peer) => warn!(
                "fleet: {} at {} has the same number {} as this router: both use the same units",
                peer.name, peer.address, peer.number
            ),
            Event::DuplicateName => warn!(
                "fleet: peers repeatedly report this router as down: another router has the same name, and both use the same units"
            ),
        }
    }

    /// Logs a membership change. The number of lines is limited, so that a flapping peer cannot
    /// fill the log.
    fn log(&mut self, line: &str) {
        self.logged_changes += 1;
        if self.logged_changes <= MAX_LOGGED_CHANGES || self.logged_changes % LOG_EVERY == 0 {
            info!("fleet: {line}");
        }
    }

    fn log_suspicion(&mut self, suspect: bool) {
        if suspect == self.suspect {
            return;
        }
        self.suspect = suspect;
        match suspect {
            true => {
                warn!("other routers contradict this router's fault reports; its own network may be at fault")
            }
            false => info!("other routers no longer contradict this router's fault reports"),
        }
    }
}

fn open_socket(
    registry: &Registry,
    token: Token,
    listen: &str,
) -> Result<(DatagramSocket, SocketAddr), FleetError> {
    let datagrams = DatagramSocket::open(registry, token, parse_address(listen)?)
        .map_err(|source| FleetError::Bind { address: listen.to_owned(), source })?;
    let local = datagrams.address().map_err(FleetError::LocalAddress)?;
    Ok((datagrams, local))
}

fn join(
    now: u64,
    config: &FleetConfig,
    identity: &RouterIdentity,
    local: SocketAddr,
) -> Result<Members, FleetError> {
    let advertised = config.advertise.as_deref().map_or(Ok(local), parse_address)?;
    let me = PeerIdentity {
        name: identity.name.clone(),
        number: identity.number,
        address: advertised,
        incarnation: now,
        renewal: 0,
    };
    let seeds = config.seed_addresses()?;
    let settings = MembershipSettings { routers: config.routers, seeds, ..MembershipSettings::default() };
    Ok(Members::new(me, read_keys(&config.key)?, &settings, identity.seed))
}

fn build_limits(
    now: u64,
    config: &FleetConfig,
    number: u32,
    settings: &Settings,
    names: &Names,
) -> Result<FleetLimits, FleetError> {
    let params = config.limit_params(max_request_ns(settings));
    let mut limits: Vec<Limit> = config.limits.iter().map(|entry| entry.limit.clone()).collect();
    let cold = config.cold.then(|| ColdBudgets::new(settings, limits.len())).flatten();
    let (cold, budgets) = cold.unzip();
    for budget in budgets.into_iter().flatten() {
        info!("{}: {}", budget.name, describe_budget(&budget, &params));
        limits.push(budget);
    }
    let node = LimitNode::new(now, Peer { number, incarnation: now }, params, limits, MAX_LIMIT_KEYS);
    let rules = config.limits.iter().map(|entry| entry.rule(names)).collect::<Result<_, _>>()?;
    Ok(FleetLimits::new(node, rules, &names.tenants, &names.classes).with_cold(cold))
}

fn build_health(
    now: u64,
    params: HealthParams,
    identity: &RouterIdentity,
    overrides_file: Option<&OverridesFile>,
) -> FleetHealth {
    let restored = overrides_file.map_or((Overrides::default(), now), |file| file.load(now));
    let zone = identity.zone.as_deref().unwrap_or("");
    let zone = stable_hash([zone.as_bytes()]);
    FleetHealth::new(HealthNode::new(now, (identity.number, now, zone), params, restored))
}
