//! A fleet of router processes on loopback with a list service, engines and clients, driven by one
//! event loop. Waits are for conditions, each with a limit.

mod engine_faults;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use marljunction_net::clock::Clock;
use marljunction_net::{ConnectionLimits, Net};
use mio::{Events, Poll, Token};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde_json::{json, Value};

use crate::audit::Audit;
use crate::link::{Shape, TcpLink, UdpLink};
use crate::list::{Behavior, ListService};
use crate::load::{Class, LoadGenerator, RequestStats, Source};
use crate::process::Process;
use crate::schedule::{Fault, RouterSelector};
use crate::server::Engine;
use crate::test_bed::{engine_entry, settings, SettingsParams};

/// Poll tokens: engines start at 0, connections at `FIRST_CONNECTION`.
const LIST_TOKEN: usize = 10_000;
const ENGINE_LINK_TOKEN: usize = 20_000;
const PEER_LINK_TOKEN: usize = 30_000;
/// Key of all test fleets.
pub const FLEET_KEY: &str = "6d61726c6a756e6374696f6e2d7269672d6b65792d6f662d616c6c2d666c6565";
const FIRST_CONNECTION: u64 = 1_000_000;
/// Timeout for connecting to the admin API and for its response.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest wait for socket events.
const MAX_POLL_NS: u64 = 10_000_000;
/// Largest `Retry-After` in the settings.
const MAX_RETRY_AFTER_MS: u64 = 1_000;

/// Memory limit of each router.
pub const MEMORY_MB: u32 = 64;

/// Counters of one router.
pub type Counters = Vec<(String, u64)>;

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Router program.
    pub program: PathBuf,
    /// Name that no other fleet of this process uses at the same time.
    pub name: String,
    /// Number of routers.
    pub routers: usize,
    /// Number of routers in the settings; the actual one if `None`.
    pub configured_routers: Option<u32>,
    /// Gives all routers the seed and the index of the first.
    pub same_identity: bool,
    /// Gives the last router the name and the index of the first.
    pub duplicate_identity: bool,
    /// Number of engines.
    pub engines: usize,
    /// Cores per engine.
    pub cores: f64,
    /// Whether engines start cold.
    pub cold: bool,
    /// Fields of the fleet section, such as its limits. If set, routers reach their peers over
    /// links with faults.
    pub fleet: Option<String>,
    /// Whether engines are reached over links with faults.
    pub engine_links: bool,
    /// Whether routers start with the engine list in their configuration.
    pub initial_list: bool,
    /// Calls per second that the list service accepts.
    pub capacity: f64,
    /// Operator configuration. `{router_file}` is replaced by a path of the router's own.
    pub operator: Option<String>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Requests per second to each router.
    pub rate: f64,
    /// Seed of all random draws.
    pub seed: u64,
}

impl Setup {
    /// A small fleet with default settings.
    pub fn new(program: &Path, name: &str, routers: usize) -> Setup {
        Setup {
            program: program.to_owned(),
            name: name.to_owned(),
            routers,
            configured_routers: None,
            same_identity: false,
            duplicate_identity: false,
            engines: 4,
            cores: 8.0,
            cold: false,
            fleet: None,
            engine_links: false,
            initial_list: true,
            capacity: routers as f64,
            operator: None,
            classes: classes(),
            rate: 1.0,
            seed: 1,
        }
    }
}

/// Light, heavy and at-most-once request classes.
pub fn classes() -> Vec<Class> {
    let lookup = Class {
        name: "lookup",
        share: 0.85,
        work_ms: 60.0,
        spread: 0.6,
        threads: 1.0,
        target_latency_ms: 1_200.0,
        target_latency_stretch: 1.5,
        deadline_ms: 4_000.0,
        worth: 1.0,
        late_worth: 0.0,
        load: false,
    };
    let report = Class {
        name: "report",
        share: 0.1,
        work_ms: 400.0,
        threads: 4.0,
        target_latency_ms: 2_000.0,
        target_latency_stretch: 2.5,
        deadline_ms: 6_000.0,
        worth: 7.5,
        late_worth: 0.3,
        ..lookup.clone()
    };
    let load = Class {
        name: "service-load",
        share: 0.05,
        work_ms: 200.0,
        threads: 2.0,
        target_latency_ms: 3_000.0,
        target_latency_stretch: 3.0,
        worth: 4.0,
        late_worth: 0.6,
        load: true,
        ..report.clone()
    };
    vec![lookup, report, load]
}

/// A router of the fleet.
#[derive(Debug)]
pub struct Router {
    /// Process; `None` while the router does not run.
    pub process: Option<Process>,
    /// Start of the process.
    pub started_ns: u64,
    /// Address for clients, once it is known.
    pub client_address: Option<SocketAddr>,
    /// Address for datagrams of peers, once it is known.
    pub peer_address: Option<SocketAddr>,
    /// Start of the current time without a stream while the list service accepts calls.
    disconnected_since_ns: Option<u64>,
    /// Longest time without a stream while the list service accepted calls.
    pub longest_disconnect_ns: u64,
    paused: bool,
}

impl Router {
    /// Whether the process is paused.
    pub fn paused(&self) -> bool {
        self.paused
    }
}

/// A running fleet.
pub struct Fleet {
    setup: Setup,
    poll: Poll,
    clock: Clock,
    net: Net,
    /// Stand-in engines.
    pub engines: Vec<Engine>,
    /// Links to the engines, if configured.
    pub engine_links: Vec<TcpLink>,
    /// Links that carry the datagrams to each router, if the routers form a fleet.
    pub peer_links: Vec<UdpLink>,
    /// Stand-in list service.
    pub list: ListService,
    list_serving: bool,
    /// Routers by index.
    pub routers: Vec<Router>,
    /// Simulated clients by router.
    pub load_generators: Vec<LoadGenerator>,
    states: Vec<&'static str>,
    /// Start of each engine's drain.
    pub drain_started_ns: Vec<Option<u64>>,
    /// Largest number of queries running on all engines at once.
    pub max_held: usize,
    dir: PathBuf,
    unfinished: Vec<u64>,
    /// Limits of routers that differ from those of the fleet.
    limit_configs: Vec<Option<String>>,
}

impl Fleet {
    /// Starts the stand-ins, but no routers.
    ///
    /// # Errors
    /// If sockets or files cannot be created.
    pub fn new(setup: Setup) -> Result<Fleet, String> {
        let context = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
        let poll = Poll::new().map_err(context("poll"))?;
        let registry = poll.registry().try_clone().map_err(context("poll"))?;
        let clock = Clock::start();
        let now = clock.now_ns();
        let mut engines = Vec::new();
        for i in 0..setup.engines {
            let uid = format!("e{i}");
            let mut engine = Engine::new(&registry, i, &uid, now, setup.cores).map_err(context("engine"))?;
            engine.sends = Some(Vec::new());
            engines.push(engine);
        }
        let mut engine_links = Vec::new();
        for (i, engine) in engines.iter_mut().enumerate().filter(|_| setup.engine_links) {
            let seed = setup.seed.wrapping_mul(31).wrapping_add(i as u64);
            let link = TcpLink::new(&registry, ENGINE_LINK_TOKEN + i, engine.address, seed)
                .map_err(context("link"))?;
            engine.advertised_address = Some(link.address);
            engine_links.push(link);
        }
        let mut peer_links = Vec::new();
        for i in (0..setup.routers).filter(|_| setup.fleet.is_some()) {
            let seed = setup.seed.wrapping_mul(37).wrapping_add(i as u64);
            peer_links.push(UdpLink::new(&registry, PEER_LINK_TOKEN + i, seed).map_err(context("link"))?);
        }
        let list = ListService::new(&registry, LIST_TOKEN, setup.routers, setup.capacity)
            .map_err(context("list"))?;
        let net = Net::new(
            registry,
            FIRST_CONNECTION,
            ConnectionLimits { engines: 1 << 20, output: 1 << 30, input: 1 << 30 },
        );
        let dir = std::env::temp_dir().join(format!("marljunction-{}-{}", std::process::id(), setup.name));
        std::fs::create_dir_all(&dir).map_err(context("directory"))?;
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
        let routers = || Router {
            process: None,
            started_ns: 0,
            client_address: None,
            peer_address: None,
            disconnected_since_ns: None,
            longest_disconnect_ns: 0,
            paused: false,
        };
        let load = |i: usize| {
            let seed = setup.seed.wrapping_mul(7_919).wrapping_add(i as u64);
            let mut load =
                LoadGenerator::new(unused_address, setup.classes.clone(), MAX_RETRY_AFTER_MS, 0.0, seed);
            load.router = i;
            load.router_down(&mut Net::new(
                poll.registry().try_clone()?,
                0,
                ConnectionLimits { engines: 0, output: 0, input: 1 << 30 },
            ));
            Ok::<_, std::io::Error>(load)
        };
        let load_generators =
            (0..setup.routers).map(load).collect::<Result<_, _>>().map_err(context("clients"))?;
        let mut fleet = Fleet {
            states: vec!["in_service"; setup.engines],
            drain_started_ns: vec![None; setup.engines],
            routers: (0..setup.routers).map(|_| routers()).collect(),
            load_generators,
            poll,
            clock,
            net,
            engines,
            engine_links,
            peer_links,
            list,
            list_serving: true,
            max_held: 0,
            dir,
            unfinished: Vec::new(),
            limit_configs: vec![None; setup.routers],
            setup,
        };
        if fleet.setup.cold {
            fleet.cool_engines(now);
        }
        let snapshot = fleet.list_snapshot();
        fleet.list.publish(now, &mut fleet.net, &snapshot, &[]);
        Ok(fleet)
    }

    /// Current time (ns).
    pub fn now(&self) -> u64 {
        self.clock.now_ns()
    }

    fn list_snapshot(&self) -> Value {
        let all = self.engines.iter().zip(&self.states).map(|(engine, state)| engine_entry(engine, state));
        json!({"rev": 1, "all": true, "targets": all.collect::<Vec<Value>>()})
    }

    /// Path of a file of one router, kept across its restarts.
    pub fn router_file(&self, router: usize) -> PathBuf {
        self.dir.join(format!("own-{router}"))
    }

    /// Directory with the persistent state of a router that is part of a fleet.
    pub fn state_dir(&self, router: usize) -> PathBuf {
        self.dir.join(format!("kept-{router}"))
    }

    /// Sets whether routers start with the engine list.
    pub fn set_initial_list(&mut self, initial_list: bool) {
        self.setup.initial_list = initial_list;
    }

    /// Fleet section of a router's operator configuration. Addresses are those of the links.
    fn fleet_file(&self, router: usize, limits: &str, key: &Path) -> String {
        let seeds: Vec<String> =
            self.peer_links.iter().take(2).map(|link| format!("{:?}", link.address.to_string())).collect();
        format!(
            "fleet: {{ listen: \"127.0.0.1:0\", advertise: \"{}\", key: {key:?}, seeds: [{}], routers: {}, {limits} }}\n",
            self.peer_links[router].address,
            seeds.join(", "),
            self.setup.routers,
        )
    }

    /// Shapes the link from one router to another, or from all routers if `from` is `None`.
    pub fn shape_peer_link(&mut self, from: Option<usize>, to: usize, shape: Shape) {
        let now = self.clock.now_ns();
        let sender = match from.map(|from| self.routers[from].peer_address) {
            // A router without an address for peers sends no datagrams.
            Some(None) => return,
            Some(sender) => sender,
            None => None,
        };
        self.peer_links.get_mut(to).into_iter().for_each(|link| link.set(now, sender, shape));
    }

    /// Partitions the routers into groups; a single group heals all partitions.
    pub fn partition_into(&mut self, parts: &[usize]) {
        for to in 0..parts.len() {
            for from in (0..parts.len()).filter(|from| *from != to) {
                let partitioned = parts[from] != parts[to];
                self.shape_peer_link(Some(from), to, Shape { partitioned, ..Shape::default() });
            }
        }
    }

    /// Changes the limits in a router's operator configuration and makes the router reload it.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn set_limits(&mut self, router: usize, limits: &str) -> Result<(), String> {
        self.limit_configs[router] = Some(limits.to_owned());
        let text = self.fleet_file(router, limits, &self.dir.join(format!("key-{router}")));
        let path = self.dir.join(format!("operator-{router}"));
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        let process = self.routers[router].process.as_mut();
        process.into_iter().for_each(|process| process.signal(Signal::SIGHUP));
        Ok(())
    }

    /// Starts or restarts a router's process.
    ///
    /// # Errors
    /// If its files or its process cannot be created.
    pub fn start(&mut self, router: usize) -> Result<(), String> {
        let setup = &self.setup;
        let duplicate_identity = setup.duplicate_identity && router + 1 == setup.routers;
        let router_index = if setup.same_identity || duplicate_identity { 0 } else { router };
        let name = if duplicate_identity { 0 } else { router };
        let params = SettingsParams {
            classes: &setup.classes,
            tenants: &[("all", 100.0)],
            cores: setup.cores,
            max_retry_after_ms: MAX_RETRY_AFTER_MS,
            routers: setup.configured_routers.unwrap_or(setup.routers as u32),
            router_index: router_index as u32,
            cold: setup.cold,
        };
        let now = self.clock.now_ns();
        let seed = if setup.same_identity { setup.seed } else { setup.seed ^ now ^ (router as u64) << 48 };
        let initial_list = match setup.initial_list {
            true => json!({"index": 1, "updates": [{"index": 1, "endpoints": self.list_snapshot()}]}),
            false => json!({"index": 0, "updates": []}),
        };
        let config = json!({
            "name": format!("r{name}"), "listen": "127.0.0.1:0", "operator": "127.0.0.1:0", "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256},
            "coordinator": self.list.address(router).to_string(), "known": initial_list, "settings": settings(&params),
        });
        let path = |name: &str| self.dir.join(format!("{name}-{router}"));
        let write = |name: &str, text: &str| {
            let at = path(name);
            std::fs::write(&at, text).map(|()| at.clone()).map_err(|e| format!("{}: {e}", at.display()))
        };
        let state_dir = self.state_dir(router);
        std::fs::create_dir_all(&state_dir).map_err(|e| format!("{}: {e}", state_dir.display()))?;
        let mut environment = vec![("ROUTER_CONFIG", write("config", &config.to_string())?)];
        if setup.fleet.is_some() {
            environment.push(("TMPDIR", state_dir));
        }
        let mut operator = setup.operator.clone().unwrap_or_default();
        operator = operator.replace("{router_file}", &self.router_file(router).display().to_string());
        if let Some(limits) = self.limit_configs[router].as_ref().or(setup.fleet.as_ref()) {
            let key = write("key", FLEET_KEY)?;
            operator.push_str(&self.fleet_file(router, limits, &key));
        }
        if !operator.is_empty() {
            environment.push(("MARLJUNCTION_SETUP", write("operator", &operator)?));
        }
        let process = Process::start(&setup.program, &environment, &path("log"))?;
        let state = &mut self.routers[router];
        (state.process, state.started_ns, state.client_address, state.peer_address) =
            (Some(process), now, None, None);
        state.paused = false;
        state.disconnected_since_ns = Some(now);
        Ok(())
    }

    /// Starts all routers that do not run.
    ///
    /// # Errors
    /// If a router cannot be started.
    pub fn start_all(&mut self) -> Result<(), String> {
        for router in 0..self.routers.len() {
            if self.routers[router].process.is_none() {
                self.start(router)?;
                // Serves the stand-ins while hundreds of processes start.
                self.step(Duration::ZERO)?;
            }
        }
        Ok(())
    }

    /// Kills a router. Pending calls of its clients are excluded from the results. The list service
    /// notices the end of the process at once: an event that is published later is not told to it.
    pub fn kill(&mut self, router: usize) {
        let state = &mut self.routers[router];
        state.process = None;
        (state.client_address, state.disconnected_since_ns) = (None, None);
        self.load_generators[router].router_down(&mut self.net);
        self.list.close_streams_of(&mut self.net, router);
    }

    /// Pauses a router with SIGSTOP or resumes it with SIGCONT. Calls pending at the pause are
    /// excluded from the results.
    pub fn set_paused(&mut self, router: usize, paused: bool) {
        let now = self.clock.now_ns();
        let state = &mut self.routers[router];
        if let Some(process) = &mut state.process {
            process.signal(if paused { Signal::SIGSTOP } else { Signal::SIGCONT });
        }
        state.paused = paused;
        // Paused time does not count as disconnected time.
        state.disconnected_since_ns = state.disconnected_since_ns.map(|_| now);
        match (paused, state.client_address) {
            (true, _) => self.load_generators[router].router_down(&mut self.net),
            (false, Some(at)) => self.load_generators[router].router_up(now, at),
            _ => {}
        }
    }

    /// Sets the behavior of the list service.
    pub fn set_list_behavior(&mut self, behavior: Behavior) {
        let now = self.clock.now_ns();
        self.list_serving = behavior == Behavior::Normal;
        for router in &mut self.routers {
            router.disconnected_since_ns =
                self.list_serving.then_some(now).filter(|_| router.process.is_some());
        }
        self.list.set_behavior(&mut self.net, behavior);
    }

    /// Closes all streams of the list service.
    pub fn close_list_streams(&mut self) {
        self.list.close_all_streams(&mut self.net);
    }

    /// Restarts the list service, with event numbers from 1.
    pub fn restart_list(&mut self) {
        let snapshot = self.list_snapshot();
        self.list.restart(&mut self.net, &snapshot);
    }

    /// Starts or ends a partition between a router and the list service.
    pub fn set_partitioned(&mut self, router: usize, partitioned: bool) {
        let now = self.clock.now_ns();
        self.list.set_partitioned(router, partitioned);
        self.routers[router].disconnected_since_ns = Some(now).filter(|_| !partitioned);
        if !partitioned {
            self.list.deliver_delayed(now, &mut self.net, router);
        }
    }

    /// Applies a fault. Returns the selected routers as text.
    ///
    /// # Errors
    /// If a router cannot be started.
    pub fn apply(&mut self, fault: &Fault, draws: &mut StdRng) -> Result<String, String> {
        let count = self.routers.len();
        let mut selected = Vec::new();
        let mut select = |selector: &RouterSelector| {
            selected = selector.select(count, draws);
            selected.clone()
        };
        match fault {
            Fault::ListBehavior(behavior) => self.set_list_behavior(behavior.clone()),
            Fault::ListCapacity(calls) => self.list.set_capacity(*calls),
            Fault::RestartList => self.restart_list(),
            Fault::CloseStreams => self.close_list_streams(),
            Fault::Kill(selector) => select(selector).into_iter().for_each(|router| self.kill(router)),
            Fault::Start => self.start_all()?,
            Fault::Pause(selector) => {
                select(selector).into_iter().for_each(|router| self.set_paused(router, true))
            }
            Fault::Resume => (0..count)
                .filter(|r| self.routers[*r].paused)
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|r| self.set_paused(r, false)),
            Fault::Partition(selector) => {
                select(selector).into_iter().for_each(|router| self.set_partitioned(router, true))
            }
            Fault::HealPartitions => (0..count).for_each(|router| self.set_partitioned(router, false)),
            Fault::Drain(engine) if *engine < self.engines.len() => self.drain(*engine),
            Fault::CrashEngine(engine) if *engine < self.engines.len() => self.crash_engine(*engine),
            Fault::ShapeLink(engine, to_engine, from_engine) => self.shape(*engine, *to_engine, *from_engine),
            Fault::ResetLink(engine) => {
                let link = self.engine_links.get_mut(*engine);
                link.into_iter().for_each(|link| link.reset(&mut self.net));
            }
            Fault::Drain(_) | Fault::CrashEngine(_) => {}
        }
        let names: Vec<String> = selected.iter().map(|router| format!("r{router}")).collect();
        Ok(if names.is_empty() { String::new() } else { format!(": {}", names.join(" ")) })
    }

    /// Ends all faults: starts and resumes all routers, heals all links and the list service.
    ///
    /// # Errors
    /// If a router cannot be started.
    pub fn heal_all(&mut self) -> Result<(), String> {
        let mut draws = StdRng::seed_from_u64(0);
        for engine in 0..self.engine_links.len() {
            self.shape(engine, Shape::default(), Shape::default());
        }
        for fault in
            [Fault::Resume, Fault::HealPartitions, Fault::ListBehavior(Behavior::Normal), Fault::Start]
        {
            self.apply(&fault, &mut draws)?;
        }
        Ok(())
    }

    /// Makes all routers log their counters (SIGUSR1).
    pub fn request_counters(&mut self) {
        for router in self.routers.iter_mut().filter(|r| r.client_address.is_some() && !r.paused) {
            if let Some(process) = &mut router.process {
                process.signal(Signal::SIGUSR1);
            }
        }
    }

    /// Counters of all running routers, once each has logged them again.
    ///
    /// # Errors
    /// If the event loop fails.
    pub fn counters(&mut self, limit: Duration) -> Result<Vec<Counters>, String> {
        let reports = |fleet: &Fleet| -> usize {
            let processes = fleet.routers.iter().filter(|r| !r.paused).filter_map(|r| r.process.as_ref());
            processes.map(|p| p.log_text().matches(" taken=").count()).sum()
        };
        let before = reports(self);
        self.request_counters();
        let expected = self.routers.iter().filter(|r| r.client_address.is_some() && !r.paused).count();
        self.run_until(limit, |fleet| reports(fleet) >= before + expected)?;
        Ok(self.routers.iter().filter_map(|r| r.process.as_ref()).map(Process::counters).collect())
    }

    /// State of each engine on the list.
    pub fn states(&self) -> &[&'static str] {
        &self.states
    }

    /// Publishes the unchanged list as a new event.
    pub fn republish_list(&mut self) {
        let (now, snapshot) = (self.clock.now_ns(), self.list_snapshot());
        self.list.publish(now, &mut self.net, &snapshot, &[]);
    }

    /// Starts all clients at the configured rate.
    pub fn start_clients(&mut self) {
        let now = self.clock.now_ns();
        let source = Source { tenant: "all", rate: self.setup.rate, clients: 8, estimate_ratio: 1.0 };
        self.load_generators.iter_mut().for_each(|load| load.start_phase(now, vec![source.clone()]));
    }

    /// Stops the clients and waits for pending calls until `limit`. Returns whether all were
    /// answered.
    ///
    /// # Errors
    /// If the event loop fails.
    pub fn stop_clients(&mut self, limit: Duration) -> Result<bool, String> {
        self.load_generators.iter_mut().for_each(LoadGenerator::stop_sending);
        self.run_until(limit, |fleet| fleet.load_generators.iter().all(|load| load.open() == 0))
    }

    /// Starts the clients with one rate per router.
    pub fn start_clients_at(&mut self, rates: &[f64]) {
        let now = self.clock.now_ns();
        for (load, rate) in self.load_generators.iter_mut().zip(rates) {
            load.start_phase(
                now,
                vec![Source { tenant: "all", rate: *rate, clients: 8, estimate_ratio: 1.0 }],
            );
        }
    }

    /// Number of queries running on all engines.
    pub fn held(&self) -> usize {
        self.engines.iter().map(Engine::query_count).sum()
    }

    /// Peak memory (KB) and CPU time (microseconds) of each running router.
    pub fn used(&self) -> Vec<(u64, u64)> {
        self.routers.iter().filter_map(|r| r.process.as_ref()).map(Process::used).collect()
    }

    /// Number of routers that accept clients.
    pub fn ready(&self) -> usize {
        self.routers.iter().filter(|r| r.client_address.is_some()).count()
    }

    /// Number of routers with an open stream from the list service.
    pub fn connected(&self) -> usize {
        self.list.connected()
    }

    /// Runs until `condition` holds, for at most `limit`. Returns whether it holds.
    ///
    /// # Errors
    /// If the event loop fails.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Fleet) -> bool) -> Result<bool, String> {
        let end = self.clock.now_ns() + limit.as_nanos() as u64;
        loop {
            if condition(self) {
                return Ok(true);
            }
            let now = self.clock.now_ns();
            if now >= end {
                return Ok(false);
            }
            self.step(Duration::from_nanos((end - now).min(MAX_POLL_NS)))?;
        }
    }

    /// Runs for `time`.
    ///
    /// # Errors
    /// If the event loop fails.
    pub fn run(&mut self, time: Duration) -> Result<(), String> {
        self.run_until(time, |_| false).map(drop)
    }

    /// Runs one iteration of the event loop, waiting for at most `max_wait`.
    fn step(&mut self, max_wait: Duration) -> Result<(), String> {
        let mut events = Events::with_capacity(4_096);
        let now = self.clock.now_ns();
        let engines = self.engines.iter().filter_map(Engine::next_due_ns).min().unwrap_or(u64::MAX);
        let load_generators =
            self.load_generators.iter().map(LoadGenerator::next_due_ns).min().unwrap_or(u64::MAX);
        let due = Duration::from_nanos(engines.min(load_generators).saturating_sub(now));
        let wait = if self.unfinished.is_empty() { due.min(max_wait) } else { Duration::ZERO };
        match self.poll.poll(&mut events, Some(wait)) {
            Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(format!("poll: {e}")),
            _ => {}
        }
        let now = self.clock.now_ns();
        let mut conns: Vec<u64> = std::mem::take(&mut self.unfinished);
        for event in &events {
            let Token(token) = event.token();
            if let Some(link) = token.checked_sub(PEER_LINK_TOKEN).and_then(|at| self.peer_links.get_mut(at))
            {
                link.ready(now);
            } else if token < self.engines.len() {
                self.engines[token].accept(&mut self.net);
            } else if let Some(link) =
                token.checked_sub(ENGINE_LINK_TOKEN).and_then(|at| self.engine_links.get_mut(at))
            {
                link.accept(now, &mut self.net);
            } else if self.list.has_token(token) {
                self.list.accept(now, &mut self.net, token);
            } else {
                conns.push(token as u64);
            }
        }
        for conn in conns {
            if self.list.owns(conn) {
                self.list.ready(now, &mut self.net, conn);
            } else if let Some(link) = self.engine_links.iter_mut().find(|l| l.owns(conn)) {
                link.ready(now, &mut self.net, conn);
            } else if let Some(engine) = self.engines.iter_mut().find(|e| e.owns(conn)) {
                engine.ready(now, &mut self.net, conn);
            } else if let Some(load) = self.load_generators.iter_mut().find(|l| l.owns(conn)) {
                load.ready(now, &mut self.net, conn);
            }
            if self.net.has_more(conn) {
                self.unfinished.push(conn);
            }
        }
        self.engines.iter_mut().for_each(|e| e.tick(now, &mut self.net));
        self.engine_links.iter_mut().for_each(|link| link.tick(now, &mut self.net));
        self.peer_links.iter_mut().for_each(|link| link.tick(now));
        self.max_held = self.max_held.max(self.held());
        self.list.tick(now, &mut self.net);
        for (router, load) in self.routers.iter_mut().zip(&mut self.load_generators) {
            if router.client_address.is_none() {
                router.client_address = router.process.as_mut().and_then(Process::client_address);
                if let Some(at) = router.client_address {
                    load.router_up(now, at);
                }
            }
            load.tick(now, &mut self.net);
        }
        for (router, link) in self.routers.iter_mut().zip(&mut self.peer_links) {
            if router.peer_address.is_none() {
                router.peer_address = router.process.as_ref().and_then(Process::peer_address);
                link.to = router.peer_address;
            }
        }
        for (at, router) in self.routers.iter_mut().enumerate() {
            match (router.disconnected_since_ns, self.list.connected_since(at)) {
                (Some(since), Some(connected)) => {
                    router.longest_disconnect_ns =
                        router.longest_disconnect_ns.max(connected.saturating_sub(since));
                    router.disconnected_since_ns = None;
                }
                (Some(since), None) if !router.paused => {
                    router.longest_disconnect_ns =
                        router.longest_disconnect_ns.max(now.saturating_sub(since));
                }
                (None, None) if self.list_serving && router.process.is_some() => {
                    router.disconnected_since_ns = Some(now)
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Sends a request to a router's admin API. Returns the status and the body of the response.
    ///
    /// # Errors
    /// If the router has no admin API or does not respond.
    pub fn call(
        &mut self,
        router: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<(u16, String), String> {
        let log_text = self.log_text(router);
        let at =
            log_text.lines().find_map(|l| l.split_once("listens on ")?.1.strip_suffix(" for the operators"));
        let at: SocketAddr = at.ok_or("the router has no admin API")?.parse().map_err(|e| format!("{e}"))?;
        let length = body.len();
        let call =
            format!("{method} {path} HTTP/1.1\r\nHost: router\r\nContent-Length: {length}\r\n\r\n{body}");
        let exchange = std::thread::spawn(move || -> std::io::Result<String> {
            let mut stream = std::net::TcpStream::connect_timeout(&at, ADMIN_TIMEOUT)?;
            stream.set_read_timeout(Some(ADMIN_TIMEOUT))?;
            stream.write_all(call.as_bytes())?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer)
        });
        while !exchange.is_finished() {
            self.step(Duration::from_millis(5))?;
        }
        let answer =
            exchange.join().map_err(|_| "the request thread panicked")?.map_err(|e| e.to_string())?;
        let (head, text) = answer.split_once("\r\n\r\n").ok_or("the admin API did not respond")?;
        let status =
            head.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or("invalid status line")?;
        Ok((status, text.trim_end().to_owned()))
    }

    /// Number of queries sent to an engine between two times (ns).
    pub fn sent_within(&self, engine: usize, from: u64, to: u64) -> usize {
        let sends = self.engines[engine].sends.as_deref().unwrap_or_default();
        sends.iter().filter(|sent| (from..to).contains(&sent.at_ns)).count()
    }

    /// Fleet status of a router, from the program's own `fleet` command.
    ///
    /// # Errors
    /// If the command fails.
    pub fn fleet_status(&mut self, router: usize) -> Result<String, String> {
        let log_text = self.log_text(router);
        let at =
            log_text.lines().find_map(|l| l.split_once("listens on ")?.1.strip_suffix(" for the operators"));
        let at = at.ok_or("the router has no admin API")?;
        let mut command = std::process::Command::new(&self.setup.program);
        let output = command.args(["fleet", "--at", at]).output().map_err(|e| e.to_string())?;
        match output.status.success() {
            true => Ok(String::from_utf8_lossy(&output.stdout).into_owned()),
            false => Err(String::from_utf8_lossy(&output.stderr).into_owned()),
        }
    }

    /// Checks all records so far.
    pub fn audit(&self) -> Audit {
        let drained = self.engines.iter().zip(&self.drain_started_ns);
        let drained =
            drained.filter_map(|(engine, drained)| Some((engine.uid.clone(), (*drained)?))).collect();
        let sends = self.engines.iter().map(|e| (e.uid.as_str(), e.sends.as_deref().unwrap_or_default()));
        Audit::check(&sends.collect::<Vec<_>>(), &drained, &self.list.notified_ns)
    }

    /// Sum over the results of all clients.
    pub fn sum(&self, of: impl Fn(&RequestStats) -> f64) -> f64 {
        self.load_generators.iter().flat_map(|load| load.tallies.iter().flatten()).map(of).sum()
    }

    /// Contents of a router's log.
    pub fn log_text(&self, router: usize) -> String {
        self.routers[router].process.as_ref().map(Process::log_text).unwrap_or_default()
    }

    /// Stops the clients and the routers, each within `limit`. Checks that every call was answered
    /// once, that no query ran twice or was sent too late, and that all routers exited with
    /// success. Returns the routers' last counters.
    ///
    /// # Errors
    /// Describes the first check that failed.
    pub fn stop_and_verify(mut self, limit: Duration) -> Result<Vec<Counters>, String> {
        if !self.stop_clients(limit)? {
            let open: Vec<usize> = self.load_generators.iter().map(LoadGenerator::open).collect();
            return Err(format!("some calls were not answered; open by router: {open:?}"));
        }
        let audit = self.audit();
        let (unanswered, twice) = (self.sum(|t| t.unanswered as f64), self.sum(|t| t.twice as f64));
        if audit.sends == 0 || audit.late_sends + audit.duplicate_runs > 0 || unanswered + twice > 0.0 {
            return Err(format!("{audit:?}, {unanswered} unanswered, {twice} answered twice"));
        }
        match self.stop(limit)? {
            (counters, true) => Ok(counters),
            _ => Err("not all routers exited with success in time".into()),
        }
    }

    /// Stops all routers with SIGTERM. Returns their last counters, and whether all exited with
    /// success within `limit`.
    ///
    /// # Errors
    /// If the event loop fails.
    pub fn stop(&mut self, limit: Duration) -> Result<(Vec<Counters>, bool), String> {
        for process in self.routers.iter_mut().filter_map(|r| r.process.as_mut()) {
            process.signal(Signal::SIGCONT);
            process.signal(Signal::SIGTERM);
        }
        let end = self.clock.now_ns() + limit.as_nanos() as u64;
        let mut running = usize::MAX;
        while running > 0 && self.clock.now_ns() < end {
            self.step(Duration::from_nanos(MAX_POLL_NS))?;
            running = self
                .routers
                .iter_mut()
                .filter_map(|r| r.process.as_mut())
                .filter_map(|p| p.is_running().then_some(()))
                .count();
        }
        let mut all = Vec::new();
        let mut all_succeeded = running == 0;
        for router in &mut self.routers {
            let Some(mut process) = router.process.take() else { continue };
            all_succeeded &= process.ended_well() == Some(true);
            all.push(process.counters());
        }
        Ok((all, all_succeeded))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Processes end first, since their logs are in the directory.
        self.routers.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
