//! One router process among stand-in engines, a coordinator and clients, all driven by one event
//! loop.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use marljunction_net::clock::Clock;
use marljunction_net::{ConnectionLimits, Net};
use mio::{Events, Poll, Token};
use serde_json::{json, Value};

use crate::load::{Class, LoadGenerator, Source};
use crate::process;
use crate::server::{Coordinator, Engine};

const FIRST_CONNECTION: u64 = 1_000;
const COORDINATOR_TOKEN: usize = 999;
const MAX_POLL_MS: u64 = 20;

/// Configuration of a test bed.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Router program.
    pub program: std::path::PathBuf,
    /// Name that no other test bed uses at the same time.
    pub name: String,
    /// Number of engines.
    pub engines: usize,
    /// Cores per engine.
    pub cores: f64,
    /// Tenants by name and weight.
    pub tenants: Vec<(&'static str, f64)>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Configuration of the fair queue, if any.
    pub fair_queue: Option<Value>,
    /// Largest `Retry-After` in the settings.
    pub max_retry_after_ms: u64,
    /// Share of rejected clients without a reservation that return.
    pub return_share: f64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// A router process and its stand-ins.
pub struct TestBed {
    poll: Poll,
    clock: Clock,
    net: Net,
    engines: Vec<Engine>,
    coordinator: Coordinator,
    /// Simulated clients.
    pub load: LoadGenerator,
    child: Child,
    log: Option<BufReader<std::process::ChildStderr>>,
    dir: std::path::PathBuf,
    revision: u64,
}

/// Results reported by the router at its end.
#[derive(Clone, Debug, Default)]
pub struct ExitReport {
    /// Counters of the router.
    pub counters: Vec<(String, u64)>,
    /// Counters of the fair queue by tenant.
    pub fair_queue: Vec<(String, Vec<(String, u64)>)>,
    /// Peak resident memory in KB.
    pub peak_kb: u64,
    /// Whether the process ended by itself with success.
    pub ended_well: bool,
}

impl ExitReport {
    /// Value of a counter.
    pub fn counter(&self, name: &str) -> u64 {
        process::counter(&self.counters, name)
    }

    /// Sum of a counter of the fair queue over all tenants.
    pub fn fair_queue(&self, name: &str) -> u64 {
        self.fair_queue.iter().map(|(_, fields)| process::counter(fields, name)).sum()
    }
}

/// Input of a router's settings.
#[derive(Clone, Copy, Debug)]
pub struct SettingsParams<'a> {
    /// Request classes.
    pub classes: &'a [Class],
    /// Tenants by name and weight.
    pub tenants: &'a [(&'static str, f64)],
    /// Cores per engine.
    pub cores: f64,
    /// Largest `Retry-After`.
    pub max_retry_after_ms: u64,
    /// Number of routers in the settings.
    pub routers: u32,
    /// Index of this router.
    pub router_index: u32,
    /// Whether engines warm up as [`COLD_START`] defines.
    pub cold: bool,
}

/// Warmup of engines: initial share of the capacity, warmup time (ns), multiple of the capacity
/// that crashes an engine, and its window (ns).
pub const COLD_START: (f64, u64, f64, u64) = (0.32, 15_000_000_000, 2.5, 1_000_000_000);

/// Settings of one router as JSON.
pub fn settings(params: &SettingsParams) -> Value {
    let ns = |ms: f64| (ms * 1e6) as u64;
    let classes: Vec<Value> = params
        .classes
        .iter()
        .map(|c| {
            json!({"name": c.name, "aim_ns": ns(c.target_latency_ms), "aim_stretch": c.target_latency_stretch,
                   "give_up_ns": ns(c.deadline_ms), "worth": c.worth, "late_worth": c.late_worth,
                   "effect": if c.load { "at_most_once" } else { "idempotent" }})
        })
        .collect();
    let tenants: Vec<Value> = params
        .tenants
        .iter()
        .map(|(name, weight)| json!({"name": name, "allowance_per_s": weight}))
        .collect();
    let of = |f: fn(&Class) -> Value| params.classes.iter().map(f).collect::<Vec<Value>>();
    let mut guarantees = json!({"drain_grace_ns": 500_000_000u64});
    if params.cold {
        let (initial_capacity, warmup_ns, overload_multiple, overload_window_ns) = COLD_START;
        guarantees = json!({"drain_grace_ns": 500_000_000u64, "start_capacity": initial_capacity, "cold_ns": warmup_ns,
                            "tip_multiple": overload_multiple, "fall_ns": overload_window_ns});
    }
    json!({
        "azs": ["a"], "balancers": params.routers, "me": params.router_index, "zone": "a", "kinds": ["std"], "membership_mode": "automatic",
        "load_report": {"fields": ["busy", "rif"], "how": "answers"}, "realms": tenants, "over_share_worth": 0.1,
        "family_info": {"cores_by_kind": [params.cores], "dop": of(|c| json!(c.threads)), "lanes_count": true,
            "out_of_memory": "swap", "progress_pace_ns": 500_000_000u64, "ram_of_kind_mb": [1e6],
            "takes_grants": false, "waits_for_loads": of(|_| json!(false)), "writes_tables": of(|c| json!(c.load))},
        "guarantees": guarantees,
        "limits": {"cancelling": true, "conn_idle_ns": 30_000_000_000u64, "connect_timeout_ns": 250_000_000u64,
            "max_retry_after_ns": params.max_retry_after_ms * 1_000_000, "retry_after": true, "send_cap": 4},
        "request_classes": classes,
    })
}

impl TestBed {
    /// Starts the stand-ins and the program.
    pub fn start(setup: &Setup) -> Result<TestBed, String> {
        let context = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
        let poll = Poll::new().map_err(context("poll"))?;
        let registry = poll.registry().try_clone().map_err(context("poll"))?;
        let clock = Clock::start();
        let now = clock.now_ns();
        let mut engines = Vec::new();
        for i in 0..setup.engines {
            let engine = Engine::new(&registry, i, &format!("e{i}"), now, setup.cores);
            engines.push(engine.map_err(context("engine"))?);
        }
        let coordinator = Coordinator::new(&registry, COORDINATOR_TOKEN).map_err(context("coordinator"))?;
        let net = Net::new(
            registry,
            FIRST_CONNECTION,
            ConnectionLimits { engines: 100_000, output: 256 << 20, input: 1 << 30 },
        );
        let all: Vec<Value> = engines.iter().map(|e| engine_entry(e, "in_service")).collect();
        let params = SettingsParams {
            classes: &setup.classes,
            tenants: &setup.tenants,
            cores: setup.cores,
            max_retry_after_ms: setup.max_retry_after_ms,
            routers: 1,
            router_index: 0,
            cold: false,
        };
        let config = json!({
            "name": setup.name, "listen": "127.0.0.1:0", "seed": format!("{:016x}", setup.seed),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": coordinator.address.to_string(),
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"all": true, "targets": all}}]},
            "settings": settings(&params),
        });
        let dir = std::env::temp_dir().join(format!("marljunction-{}-{}", std::process::id(), setup.name));
        std::fs::create_dir_all(&dir).map_err(context("directory"))?;
        let write = |name: &str, value: &Value| {
            let path = dir.join(name);
            std::fs::write(&path, value.to_string()).map(|()| path).map_err(context("file"))
        };
        let mut command = process::command(&setup.program);
        command.env("ROUTER_CONFIG", write("config.json", &config)?).stderr(Stdio::piped());
        command.env_remove("MARLJUNCTION_POSTGRES").env_remove("MARLJUNCTION_SETUP");
        if let Some(fair_queue) = &setup.fair_queue {
            // A record of the configuration language accepts JSON syntax.
            let path = dir.join("operator.conf");
            std::fs::write(&path, format!("door: {fair_queue}\n")).map_err(context("file"))?;
            command.env("MARLJUNCTION_SETUP", path);
        }
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", setup.program.display()))?;
        let mut log = BufReader::new(child.stderr.take().ok_or("standard error is not captured")?);
        let to = loop {
            let mut line = String::new();
            if log.read_line(&mut line).map_err(context("log"))? == 0 {
                return Err("the program exited before it listened".into());
            }
            let at = line.split("listens on ").nth(1).and_then(|l| l.split_whitespace().next());
            if let Some(at) = at.and_then(|at| at.parse::<SocketAddr>().ok()) {
                break at;
            }
        };
        let classes = setup.classes.clone();
        let load = LoadGenerator::new(to, classes, setup.max_retry_after_ms, setup.return_share, setup.seed);
        let log = Some(log);
        Ok(TestBed { poll, clock, net, engines, coordinator, load, child, log, dir, revision: 1 })
    }

    /// Runs for `time` with these request sources.
    pub fn run_workload(&mut self, sources: Vec<Source>, time: Duration) -> Result<(), String> {
        let now = self.clock.now_ns();
        self.load.start_phase(now, sources);
        self.run_until(now + time.as_nanos() as u64, false)
    }

    /// Sends no new requests and runs until all are answered, for at most `limit`.
    pub fn drain(&mut self, limit: Duration) -> Result<(), String> {
        self.load.stop_sending();
        self.run_until(self.clock.now_ns() + limit.as_nanos() as u64, true)
    }

    /// Crashes engines and reports them as terminated on the coordinator's stream.
    pub fn kill(&mut self, count: usize) {
        let mut removed = Vec::new();
        for engine in self.engines.iter_mut().filter(|e| e.is_up()).take(count) {
            engine.crash(&mut self.net);
            removed.push(engine_entry(engine, "terminated"));
        }
        self.revision += 1;
        let index = self.revision;
        let event = json!({"index": index, "endpoints": {"rev": index, "all": false, "targets": removed}});
        self.coordinator.publish(&mut self.net, index, &event);
    }

    /// Runs of at-most-once queries beyond the first of each.
    pub fn duplicate_runs(&self) -> u64 {
        let mut runs = std::collections::BTreeMap::<&str, u64>::new();
        for (name, count) in self.engines.iter().flat_map(|e| &e.at_most_once_starts) {
            *runs.entry(name).or_default() += u64::from(*count);
        }
        runs.values().map(|n| n - 1).sum()
    }

    fn run_until(&mut self, end: u64, until_answered: bool) -> Result<(), String> {
        let mut events = Events::with_capacity(1_024);
        let mut unfinished: Vec<u64> = Vec::new();
        loop {
            let now = self.clock.now_ns();
            if now >= end || until_answered && self.load.open() == 0 {
                return Ok(());
            }
            let engines = self.engines.iter().filter_map(Engine::next_due_ns).min().unwrap_or(u64::MAX);
            let due = engines.min(self.load.next_due_ns()).min(end).saturating_sub(now);
            let wait = if unfinished.is_empty() { due.min(MAX_POLL_MS * 1_000_000) } else { 0 };
            match self.poll.poll(&mut events, Some(Duration::from_nanos(wait))) {
                Err(e) if e.kind() != std::io::ErrorKind::Interrupted => return Err(format!("poll: {e}")),
                _ => {}
            }
            let now = self.clock.now_ns();
            let mut conns: Vec<u64> = std::mem::take(&mut unfinished);
            for event in &events {
                match event.token() {
                    Token(COORDINATOR_TOKEN) => self.coordinator.accept(&mut self.net),
                    Token(at) if at < self.engines.len() => self.engines[at].accept(&mut self.net),
                    Token(conn) => conns.push(conn as u64),
                }
            }
            for conn in conns {
                if self.load.owns(conn) {
                    self.load.ready(now, &mut self.net, conn);
                } else if self.coordinator.owns(conn) {
                    self.coordinator.ready(&mut self.net, conn);
                } else if let Some(engine) = self.engines.iter_mut().find(|e| e.owns(conn)) {
                    engine.ready(now, &mut self.net, conn);
                }
                if self.net.has_more(conn) {
                    unfinished.push(conn);
                }
            }
            self.engines.iter_mut().for_each(|e| e.tick(now, &mut self.net));
            self.coordinator.tick(now, &mut self.net);
            self.load.tick(now, &mut self.net);
        }
    }

    /// Stops the program with SIGTERM. Returns what it reported.
    pub fn stop(mut self) -> Result<ExitReport, String> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let peak_kb = peak.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0);
        let sent = Command::new("kill").arg("-TERM").arg(self.child.id().to_string()).status();
        sent.map_err(|e| format!("kill: {e}"))?;
        let mut log = self.log.take().ok_or("standard error is not captured")?;
        let reader = std::thread::spawn(move || {
            let mut text = String::new();
            // An unreadable log counts as ended.
            let _ = log.read_to_string(&mut text);
            text
        });
        let end = self.clock.now_ns() + 8_000_000_000;
        while !reader.is_finished() && self.clock.now_ns() < end {
            self.run_until(self.clock.now_ns() + 50_000_000, false)?;
        }
        if !reader.is_finished() {
            // The process did not end in time; killing it closes its log.
            let _ = self.child.kill();
        }
        let ended_well = self.child.wait().is_ok_and(|status| status.success());
        let text = reader.join().map_err(|_| "the log reader panicked")?;
        let counters =
            text.lines().rev().find(|l| l.contains("stopped; ")).map(process::counters).unwrap_or_default();
        let tenants = text.lines().filter_map(|l| {
            let (name, fields) = l.split_once("door tenant=")?.1.split_once(' ')?;
            Some((name.to_owned(), process::counters(fields)))
        });
        Ok(ExitReport { counters, fair_queue: tenants.collect(), peak_kb, ended_well })
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        // Kills the program if the test bed was not stopped.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

pub(crate) fn engine_entry(engine: &Engine, state: &str) -> Value {
    let boot_ms = engine.cold.as_ref().map_or(0, |cold| cold.started_ns / 1_000_000);
    json!({"uid": engine.uid, "endpoint": engine.advertised_address.unwrap_or(engine.address).to_string(), "az": "a", "model": "std", "state": state,
           "capacity_hint": 1, "boot_ms": boot_ms})
}

/// Path of the router program next to the current executable.
pub fn sibling_program() -> Option<std::path::PathBuf> {
    let current = std::env::current_exe().ok()?;
    let sibling = current.parent()?.join("marljunction");
    Path::new(&sibling).exists().then_some(sibling)
}
