//! The program: one loop that gathers what is ready, hands it to the module in one go, and carries out what
//! came back.

use std::io::ErrorKind;
use std::path::PathBuf;
use std::time::Duration;

use log::{info, warn};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook_mio::v1_0::Signals;

use crate::behaviour::effects;
use crate::config::{EngineFile, Files, Limits, Read};
use crate::logger;
use marljunction_control::interface::{Effect, Settings, TenantId};
use marljunction_core::ending::Ending;
use marljunction_core::{Command, Router};
use marljunction_discovery::bans::{self, Bans, Refusal};
use marljunction_discovery::consul::Consul;
use marljunction_discovery::kept::{self, Kept, FILE_MOST};
use marljunction_discovery::stream::Stream;
use marljunction_discovery::{engine_id, Change, Pacing, Source};
use marljunction_door::{Door, Site};
use marljunction_engine::http::HttpEngines;
use marljunction_engine::postgres::PostgresEngines;
use marljunction_engine::{Backend, Context, Start};
use marljunction_fleet::{FleetConfig, FleetRuntime, FleetStart};
use marljunction_front::msgpack::MsgpackFront;
use marljunction_front::operator::{Call, OperatorFront, Reply};
use marljunction_front::postgres::{PostgresFront, PostgresSetup};
use marljunction_front::Directory;
use marljunction_language::value::{Value, What};
use marljunction_net::clock::Clock;
use marljunction_net::listener::Listen;
use marljunction_net::phase::Phase;
use marljunction_net::{Net, Owner, Room};
use marljunction_settings::atomic_file::write_atomically;
use marljunction_verdicts::stamp::Stamp;

const MSGPACK: Token = Token(0);
const POSTGRES: Token = Token(1);
const SIGNALS: Token = Token(2);
const OPERATOR: Token = Token(3);
const FLEET: Token = Token(4);
/// Numbers of connections start behind those of listeners.
const FIRST_CONN: u64 = 15;
/// Time after SIGTERM for which new connections are taken (ns): they go on coming for 400 ms.
const ACCEPT_ON_NS: u64 = 600_000_000;
/// Time after SIGTERM before which the program does not end (ns): requests come for 600 ms.
const STAY_NS: u64 = 800_000_000;
/// Time after SIGTERM behind the longest deadline, or behind this most of it, at which all that is still open
/// gets its final answer (ns): the program may be killed 0.3 s later.
const END_NS: u64 = 400_000_000;
const END_DEADLINE_NS: u64 = 3_000_000_000;
/// The same, at which the program ends whatever its clients do (ns).
const OVER_NS: u64 = 600_000_000;
/// Time between the last answer and the end (ns).
const LINGER_NS: u64 = 100_000_000;
/// Wait after which a listener is tried again when no descriptor was to be had (ns).
const ACCEPT_AGAIN_NS: u64 = 20_000_000;
/// The machine's words for no descriptor to be had, of all processes and of this one (`ENFILE`, `EMFILE`).
const NO_DESCRIPTOR: [i32; 2] = [23, 24];
/// Connections that are accepted in one round (count): hundreds may come at once, and others wait meanwhile.
const ACCEPT_MOST: usize = 64;
/// How often engines and discovery are looked after (ns).
const TICK_NS: u64 = 20_000_000;
/// How often the bans that the other process of an upgrade may have written are read (ns).
const BANS_READ_NS: u64 = 200_000_000;
/// How long a caller whose word goes to the whole fleet waits for those who have heard it (ns): shorter than a caller may be
/// at the door.
const CONFIRM_NS: u64 = 1_500_000_000;
/// The file of bans, in `$TMPDIR`.
const BANS_FILE: &str = "marljunction-bans";

/// What the configuration said of keys that only a restart applies.
#[derive(PartialEq)]
struct Told {
    listen: String,
    limits: Limits,
    settings: String,
}

/// A caller at the operators' door whose word is on its way to the fleet.
struct Confirming {
    conn: u64,
    call: Call,
    stamp: Stamp,
    /// When it is answered at the latest (ns).
    until_ns: u64,
}

/// A running router.
pub struct Daemon {
    poll: Poll,
    clock: Clock,
    net: Net,
    router: Router,
    files: Files,
    told: Told,
    /// What the operator's file said when it was last applied.
    operator: Option<Value>,
    settings: Settings,
    directory: Directory,
    /// Clients of MessagePack, of PostgreSQL, and the operators' door.
    listeners: [Option<TcpListener>; 3],
    /// The clients' listener is shared with whoever started this process: a successor takes from it.
    shared: bool,
    signals: Signals,
    clients_most: usize,
    /// The listener is to be tried again: it may hold connections that no event tells of.
    accept_at: Option<u64>,
    phase: Phase,
    /// Since when all that was taken is answered and written, while stopping.
    quiet_since: Option<u64>,
    msgpack: MsgpackFront,
    postgres: Option<PostgresFront>,
    engines: Box<dyn Backend>,
    discovery: Option<Source>,
    callers: OperatorFront,
    bans: Bans,
    /// The file of bans, and its text as last read or written.
    bans_file: Option<(PathBuf, String)>,
    bans_read_ns: u64,
    /// The list of engines as it was told, and the file that it is kept in for a start without the list service; none
    /// where it is not.
    /// What talks to the fleet's other routers; none where nothing does.
    fleet: Option<FleetRuntime>,
    /// Callers that wait until the fleet has heard what they said.
    confirming: Vec<Confirming>,
    /// Engines that operators took out of the whole fleet, as they were last told to the bans.
    fleet_out: Vec<String>,
    /// The revision of the fleet's words that the bans follow.
    followed: u64,
    kept: Kept,
    kept_file: Option<PathBuf>,
    /// Connections with input that no event tells of.
    unread: Vec<u64>,
    ticked_ns: u64,
    commands: Vec<Command>,
}

impl Daemon {
    /// Starts listening.
    pub fn start(files: Files) -> Result<Daemon, String> {
        let Read { mut config, postgres, door, start, fleet, operator, level } = files.read()?;
        logger::set_level(level);
        let io = |what: &str, e: std::io::Error| format!("{what}: {e}");
        let poll = Poll::new().map_err(|e| io("poll", e))?;
        let registry = poll.registry().try_clone().map_err(|e| io("poll", e))?;
        // Before anything says that this process is there: guards against a signal that ends it as it starts.
        let mut signals = Signals::new([SIGTERM, SIGUSR1, SIGHUP]).map_err(|e| io("signals", e))?;
        registry.register(&mut signals, SIGNALS, Interest::READABLE).map_err(|e| io("signals", e))?;
        let clients = Listen::of(&config.listen, files.inherited.as_deref())?;
        let listen = |how: Listen, token| {
            let mut listener = how.open().map_err(|e| io("listen", e))?;
            registry.register(&mut listener, token, Interest::READABLE).map_err(|e| io("listen", e))?;
            let local = listener.local_addr().map_err(|e| io("listen", e))?;
            info!(
                "{} listens on {local}{}{}",
                config.name,
                match token {
                    POSTGRES => " for PostgreSQL",
                    OPERATOR => " for the operators",
                    _ => "",
                },
                if how.is_shared() { ", on the socket handed down" } else { "" },
            );
            Ok::<_, String>(listener)
        };
        let first = listen(clients, MSGPACK)?;
        let second = postgres.as_ref().and_then(|p| p.listen.as_ref());
        let second = second.map(|at| listen(Listen::of(at, None)?, POSTGRES)).transpose()?;
        let operator_at = config.operator.as_deref().or(files.operator.as_deref());
        let door_for_operators = operator_at.map(|at| listen(Listen::of(at, None)?, OPERATOR)).transpose()?;
        let clock = Clock::start();
        let who = door.as_ref().map(|d| d.client.clone()).unwrap_or_default();
        // A limit by client holds for the fleet only where all routers know a client by one number.
        let clients_seed = match &fleet {
            Some(fleet) => FleetConfig::clients_seed(fleet).map_err(|e| e.to_string())?,
            None => config.seed,
        };
        let directory =
            Directory::new(config.names.clone(), &config.settings).with_clients(who, clients_seed);
        let door = door.map(|settings| {
            let site = Site {
                weights: config.weights(&settings),
                classes: config.settings.classes.len(),
                longest_ns: config.settings.max_retry_after_ns,
                bytes_most: Router::door_bytes(config.limits.memory_mb),
                seed: config.seed,
            };
            info!("a door stands before the module");
            Door::new(clock.now_ns(), settings, site)
        });
        let address = |at: &str| at.parse().map_err(|e| format!("address {at}: {e}"));
        let (gateways, me) = (config.settings.gateways, config.settings.gateway_index);
        let (seed, now) = (config.own_seed(), clock.now_ns());
        let pacing = Pacing { pace: start.pace(gateways, me), seed, stale_ns: start.stale_ns };
        // Cold engines' budgets are divided by the same count as the list service's.
        config.settings.gateways = pacing.pace.sharers();
        let names = config.names.clone();
        let discovery = match (postgres.as_ref().and_then(|p| p.consul.as_ref()), &config.coordinator) {
            (Some(consul), _) => {
                let consul =
                    Consul::new(now, address(&consul.address)?, consul.service.clone(), names, pacing);
                Some(Source::Consul(Box::new(consul)))
            }
            (None, Some(at)) => {
                let stream = Stream::new(now, address(at)?, names, config.known_index, pacing);
                Some(Source::Stream(Box::new(stream)))
            }
            (None, None) => None,
        };
        if discovery.is_some() {
            info!("{}", start.bounds(Some(gateways)));
        }
        let http = || HttpEngines::new(config.engine_idle_ns, config.connect_timeout_ns);
        let (mut engines, inlines): (Box<dyn Backend>, bool) =
            match postgres.as_ref().map(|p| p.engines.clone()) {
                Some(EngineFile::Postgres { user, database }) => {
                    (Box::new(PostgresEngines::new(user, database, config.connect_timeout_ns)), false)
                }
                _ => (Box::new(http()), true),
            };
        engines.set_openings(start.openings(pacing.pace).map(|openings| (openings, seed)));
        let front = match postgres {
            None => None,
            Some(file) => {
                let class = directory.class(&file.class).ok_or(format!("unknown class {:?}", file.class))?;
                let setup =
                    PostgresSetup { class, columns: file.columns, inlines, sessions_most: file.sessions };
                let setup = setup.within(config.limits.memory_mb);
                Some(PostgresFront::new(directory.clone(), setup, !config.seed))
            }
        };
        // Clients hold at most a third of the descriptors; the rest, less a few, is for engines.
        let sockets = config.limits.sockets.max(64);
        let kept_dir = files.kept.as_deref();
        let (fleet, limits, verdicts) = match fleet {
            Some(file) => {
                let FleetStart { runtime, limits, health } = FleetRuntime::start(
                    now,
                    &registry,
                    FLEET,
                    file,
                    config.identity(),
                    &config.settings,
                    &config.names,
                    kept_dir,
                )
                .map_err(|e| e.to_string())?;
                (Some(runtime), Some(limits), health)
            }
            None => (None, None, None),
        };
        let bans_file = files.kept.as_ref().map(|dir| (dir.join(BANS_FILE), String::new()));
        let mut daemon = Daemon {
            poll,
            clock,
            net: Net::new(registry, FIRST_CONN, Room::of(sockets, config.limits.memory_mb)),
            router: Router::new(config.settings.clone(), seed, config.limits.memory_mb)
                .with_door(door)
                .with_limits(limits)
                .with_verdicts(verdicts),
            msgpack: MsgpackFront::new(directory.clone()),
            postgres: front,
            files,
            told: Told { listen: config.listen, limits: config.limits, settings: config.settings_text },
            operator,
            settings: config.settings,
            directory,
            listeners: [Some(first), second, door_for_operators],
            shared: clients.is_shared(),
            signals,
            clients_most: sockets * 2 / 5,
            accept_at: None,
            phase: Phase::Serving,
            quiet_since: None,
            engines,
            discovery,
            callers: OperatorFront::new(config.limits.sockets),
            bans: Bans::new(),
            bans_file,
            bans_read_ns: 0,
            fleet,
            confirming: Vec::new(),
            fleet_out: Vec::new(),
            followed: 0,
            kept: Kept::default(),
            kept_file: start.keep.clone(),
            unread: Vec::new(),
            ticked_ns: 0,
            commands: Vec::new(),
        };
        daemon.net.hold_calls();
        daemon.read_bans(daemon.clock.now_ns());
        let told = config.known.iter().any(|update| !update.change.targets.is_empty());
        for update in config.known {
            daemon.change(update.change);
        }
        if !told {
            daemon.read_kept(start.keep_for_ns);
        }
        Ok(daemon)
    }

    /// Membership news, as the module is to hear it: through the bans.
    fn change(&mut self, change: Change) {
        self.kept.change(&change);
        if let Some(verdicts) = self.router.verdicts() {
            verdicts.change(change.kind, change.targets.iter().map(|target| target.entry));
        }
        let change = self.bans.pass(change);
        self.tell(change);
    }

    fn tell(&mut self, change: Change) {
        let now = self.clock.now_ns();
        let mut cx = Context { now, net: &mut self.net, router: &mut self.router };
        self.engines.change(&mut cx, &change);
        let entries = change.targets.iter().map(|t| t.entry).collect();
        self.router.membership(change.kind, entries);
    }

    /// Takes the kept list for the list of engines, where there is one that can be believed. What the list service tells
    /// then replaces it whole: nothing is asked behind a number that it gave to another process.
    fn read_kept(&mut self, most_ns: u64) {
        let Some(path) = self.kept_file.clone() else { return };
        let size = match std::fs::metadata(&path) {
            Ok(about) => about.len(),
            Err(e) => return info!("no list of engines is kept in {}: {e}", path.display()),
        };
        // Guards against a file that is read into memory before it is found too large.
        let read = match size {
            size if size > FILE_MOST => Err(kept::Refusal::Huge(size).to_string()),
            _ => std::fs::read(&path).map_err(|e| e.to_string()).and_then(|bytes| {
                let names = self.directory.names();
                kept::decode(&bytes, names, self.clock.now_ns(), most_ns)
                    .map_err(|refusal| refusal.to_string())
            }),
        };
        match read {
            Ok((change, age)) => {
                let heard = self.clock.now_ns().saturating_sub(age);
                self.discovery.iter_mut().for_each(|d| d.set_heard(heard));
                let (count, age) = (change.targets.len(), age as f64 / 1e9);
                info!("starts with the {count} engines kept in {}, a list {age:.1} s old", path.display());
                self.change(change);
            }
            Err(why) => warn!("the list kept in {} is not used: {why}", path.display()),
        }
    }

    /// Keeps the list of engines, where it is due. Guards against a start that finds half a file: it is written aside and
    /// renamed.
    fn write_kept(&mut self, now: u64) {
        let heard = self.discovery.as_ref().map_or(0, |d| now.saturating_sub(d.age_ns(now)));
        let Some(path) = self.kept_file.as_ref().filter(|_| self.kept.due(now)) else { return };
        let text = self.kept.encode(self.directory.names(), heard);
        if let Err(e) = write_atomically(path, &text) {
            warn!("the list of engines could not be kept in {}: {e}", path.display());
        }
    }

    /// Serves until told to stop.
    pub fn run(&mut self) -> Result<(), String> {
        let mut events = Events::with_capacity(1024);
        loop {
            match self.poll.poll(&mut events, Some(self.wait())) {
                Ok(()) => {}
                // Guards against a process that stood still and finds its timers past and its news unread: what is due is looked at
                // with what came, never before it.
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => return Err(format!("poll: {e}")),
            }
            let now = self.clock.now_ns();
            for event in events.iter().filter(|e| e.is_read_closed()) {
                self.net.peer_closed(event.token().0 as u64);
            }
            let mut tokens: Vec<usize> = events.iter().map(|e| e.token().0).collect();
            tokens.extend(std::mem::take(&mut self.unread).into_iter().map(|conn| conn as usize));
            for token in tokens {
                match Token(token) {
                    MSGPACK | POSTGRES => self.accept(now),
                    OPERATOR => self.accept_operators(now),
                    SIGNALS => self.signal(now),
                    FLEET => self.hear_fleet(now),
                    Token(conn) => self.ready(now, conn as u64),
                }
            }
            if self.accept_at.is_some_and(|at| now >= at) {
                self.accept(now);
                self.accept_operators(now);
            }
            if now >= self.ticked_ns + TICK_NS {
                self.ticked_ns = now;
                self.tick(now);
            }
            self.turn();
            self.end_all(now);
            self.release();
            if self.finished(now) {
                self.net.finish_all(now);
                self.tell_counters();
                let line = self.counters_line();
                info!("ends; {line}");
                return Ok(());
            }
        }
    }

    fn wait(&self) -> Duration {
        if !self.unread.is_empty() || self.router.has_news() {
            return Duration::ZERO;
        }
        let now = self.clock.now_ns();
        let due = self.router.next_due_ns().unwrap_or(u64::MAX).min(self.ticked_ns + TICK_NS);
        let due = due.min(self.accept_at.unwrap_or(u64::MAX));
        Duration::from_nanos(due.saturating_sub(now))
    }

    fn accept(&mut self, now: u64) {
        self.accept_at = None;
        for (owner, at) in [(Owner::Msgpack, 0), (Owner::Postgres, 1)] {
            let mut accepted = 0;
            while self.listeners[at].is_some() {
                // Guards against hundreds that connect at once: who is connected already has its turn first.
                accepted += 1;
                if accepted > ACCEPT_MOST {
                    self.accept_at = Some(now);
                    break;
                }
                let full = self.net.clients() >= self.clients_most && !self.net.drop_leaver();
                // Guards against running out of descriptors: who has nothing open makes room, else all wait.
                let idle = if full { self.idle(now) } else { None };
                if full && idle.is_none() {
                    self.accept_at = Some(now + ACCEPT_AGAIN_NS);
                    return;
                }
                let Some(listener) = &self.listeners[at] else { break };
                match listener.accept().map(|(stream, from)| (self.net.adopt(stream, owner), from.ip())) {
                    Ok((Ok(conn), peer)) => {
                        self.router.counters.accepted += 1;
                        // Only now: guards against closing one whenever nobody else comes.
                        if let Some(idle) = idle {
                            self.msgpack.close(&mut self.net, &mut self.router, idle, Ending::Idle);
                        }
                        match (owner, &mut self.postgres) {
                            (Owner::Postgres, Some(front)) => front.accept(now, conn, peer),
                            _ => self.msgpack.accept(now, conn, peer),
                        }
                        // What it has sent counts in this round: guards against a cancel that is heard only after what it ends has
                        // gone out.
                        self.ready(now, conn);
                    }
                    Ok((Err(_), _)) => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                    Err(e) => {
                        if !self.makes_room(now, &e) {
                            return;
                        }
                    }
                }
            }
        }
    }

    /// A connection could not be accepted: whether it can be tried again at once, as somebody made room for it. Guards against
    /// spinning on a listener that has no descriptor to give, and against those who wait in its queue behind clients with nothing
    /// open, where the machine gives fewer descriptors than the configuration says.
    fn makes_room(&mut self, now: u64, fault: &std::io::Error) -> bool {
        warn!("accept: {fault}");
        self.router.counters.short_of_descriptors += 1;
        let short = fault.raw_os_error().is_some_and(|code| NO_DESCRIPTOR.contains(&code));
        let idle = if short { self.idle(now) } else { None };
        match idle {
            Some(idle) => self.msgpack.close(&mut self.net, &mut self.router, idle, Ending::Idle),
            None => self.accept_at = Some(now + ACCEPT_AGAIN_NS),
        }
        idle.is_some()
    }

    /// The client that makes room for another, looked at once more. Guards against one that does so with its request unread.
    fn idle(&mut self, now: u64) -> Option<u64> {
        loop {
            let idle = self.msgpack.idle(now, &self.net)?;
            self.ready(now, idle);
            if self.msgpack.idle(now, &self.net) == Some(idle) {
                return Some(idle);
            }
        }
    }

    /// Callers at the operators' door: taken at once, however busy the router is, within the door's bound.
    fn accept_operators(&mut self, now: u64) {
        for _ in 0..ACCEPT_MOST {
            let Some(listener) = &self.listeners[2] else { return };
            match listener.accept() {
                Ok((stream, _)) => match self.net.adopt(stream, Owner::Operator) {
                    Ok(conn) => self.callers.accept(now, &mut self.net, conn),
                    Err(_) => self.router.counters.short_of_descriptors += 1,
                },
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    if !self.makes_room(now, &e) {
                        return;
                    }
                }
            }
        }
        // No further event tells of those who still wait.
        self.accept_at = Some(now);
    }

    /// Carries out one call of the operators and answers it.
    fn call(&mut self, now: u64, conn: u64, call: Call) {
        let refused = |refusal: Refusal, id: &str| match refusal {
            Refusal::Unknown => Reply::new(404, format!("no engine {id}")),
            Refusal::Malformed => Reply::new(400, "the body is not an engine's id"),
            Refusal::Full => Reply::new(409, "as many engines are out as may be"),
        };
        let reply = match &call {
            Call::Ready if !self.knows_words(now) => {
                Reply::new(503, "not ready: asks the fleet which engines are out")
            }
            Call::Ready if self.phase.is_ready() => Reply::new(200, "ready"),
            Call::DisableForAll(id) | Call::EnableForAll(id) => match self.say_word(now, id, &call) {
                Ok(stamp) => {
                    let until_ns = now + CONFIRM_NS;
                    return self.confirming.push(Confirming { conn, call, stamp, until_ns });
                }
                Err(reply) => reply,
            },
            Call::Verdicts => match (&self.fleet, self.router.verdicts()) {
                (Some(fleet), Some(verdicts)) => Reply::new(200, fleet.view_health(now, verdicts)),
                _ => Reply::new(404, "this router shares no verdicts"),
            },
            Call::Ready => Reply::new(503, format!("not ready: {}", self.phase.name())),
            Call::Disable(id) => match self.bans.disable(id, false) {
                Ok(change) => {
                    change.into_iter().for_each(|change| self.tell(change));
                    self.write_bans();
                    Reply::new(200, format!("{id} is out"))
                }
                Err(refusal) => refused(refusal, id),
            },
            Call::Enable(id) => match (self.bans.holds(engine_id(id)), self.bans.enable(id, now)) {
                (true, Ok(change)) => {
                    change.into_iter().for_each(|change| self.tell(change));
                    self.write_bans();
                    match self.bans.holds(engine_id(id)) {
                        true => Reply::new(409, format!("the whole fleet leaves {id} out")),
                        false => Reply::new(200, format!("{id} is back")),
                    }
                }
                (false, Ok(_)) => Reply::new(200, format!("{id} was not out")),
                (_, Err(refusal)) => refused(refusal, id),
            },
            Call::Fleet => match (&mut self.fleet, self.router.limits()) {
                (Some(fleet), Some(limits)) => Reply::new(200, fleet.view(now, limits)),
                _ => Reply::new(404, "this router talks to no fleet"),
            },
            Call::Drain if self.phase.stopping_since().is_some() => Reply::new(409, "stopping"),
            Call::Drain => {
                self.phase.drain(now);
                Reply::new(200, "drained")
            }
            Call::Undrain if self.phase.stopping_since().is_some() => Reply::new(409, "stopping"),
            Call::Undrain => {
                self.phase.undrain();
                Reply::new(200, "serving")
            }
        };
        self.msgpack.set_well(self.phase.is_well());
        self.callers.answer(now, &mut self.net, conn, &call, reply);
    }

    /// Whether it knows which engines the fleet was told to leave out.
    fn knows_words(&mut self, now: u64) -> bool {
        self.router.verdicts().is_none_or(|verdicts| verdicts.node().knows(now))
    }

    /// Says an operator's word to the fleet.
    fn say_word(&mut self, now: u64, id: &str, call: &Call) -> Result<Stamp, Reply> {
        let out = matches!(call, Call::DisableForAll(_));
        let known = self.bans.knows(id);
        let Some(verdicts) = self.router.verdicts() else {
            return Err(Reply::new(404, "this router shares no verdicts"));
        };
        if !known && verdicts.node().words().get(id).is_none() {
            return Err(Reply::new(404, format!("no engine {id}")));
        }
        let stamp = verdicts.node().say(now, id, out);
        self.follow_words(now);
        stamp.ok_or_else(|| Reply::new(409, "as many engines are out as may be"))
    }

    /// Makes the bans those that the fleet was told of.
    fn follow_words(&mut self, now: u64) {
        let Some(verdicts) = self.router.verdicts() else { return };
        let revision = verdicts.node().revision();
        if revision == self.followed {
            return;
        }
        self.followed = revision;
        let out: Vec<String> = verdicts.node().words().out().map(str::to_owned).collect();
        if out == self.fleet_out {
            return;
        }
        info!("the whole fleet leaves out: {}", out.join(" "));
        let changes = self.bans.set_fleet(out.iter().map(String::as_str), now);
        self.fleet_out = out;
        changes.into_iter().for_each(|change| self.tell(change));
    }

    /// Answers callers whose word all peers have heard, and those that have waited long enough.
    fn confirm(&mut self, now: u64) {
        for waits in std::mem::take(&mut self.confirming) {
            let Some(verdicts) = self.router.verdicts() else { continue };
            let (heard, peers) = (verdicts.node().heard_by(waits.stamp), verdicts.node().peers());
            if heard < peers && now < waits.until_ns {
                self.confirming.push(waits);
                continue;
            }
            let (Call::DisableForAll(id) | Call::EnableForAll(id)) = &waits.call else { continue };
            let what = if matches!(waits.call, Call::DisableForAll(_)) { "out" } else { "back" };
            let text = format!("{id} is {what}; heard by {heard} of {peers} other routers");
            self.callers.answer(now, &mut self.net, waits.conn, &waits.call, Reply::new(200, text));
        }
    }

    /// Reads the bans that the other process of an upgrade may have written, where they changed.
    fn read_bans(&mut self, now: u64) {
        self.bans_read_ns = now;
        let Some((path, seen)) = &self.bans_file else { return };
        let Ok(text) = std::fs::read_to_string(path) else { return };
        if text == *seen {
            return;
        }
        let changes = self.bans.adopt(bans::read_text(&text), now);
        info!("bans read from {}: {}", path.display(), self.bans.names().collect::<Vec<_>>().join(" "));
        self.bans_file = Some((path.clone(), text));
        changes.into_iter().for_each(|change| self.tell(change));
    }

    /// Keeps the bans for a successor. Guards against a successor that reads half a file: it is written aside and
    /// renamed.
    fn write_bans(&mut self) {
        let Some((path, seen)) = &mut self.bans_file else { return };
        let text = self.bans.to_text();
        match write_atomically(path, &text) {
            Ok(()) => *seen = text,
            Err(e) => warn!("the bans could not be kept in {}: {e}", path.display()),
        }
    }

    fn signal(&mut self, now: u64) {
        for signal in self.signals.pending().collect::<Vec<_>>() {
            match signal {
                SIGTERM => {
                    info!("told to stop");
                    self.fleet.iter_mut().for_each(|fleet| fleet.leave(now));
                    self.phase.stop(now, self.shared);
                    self.msgpack.set_well(self.phase.is_well());
                    // Guards against connections taken only to be closed: a successor accepts from the same socket.
                    if self.shared {
                        self.listeners[0] = None;
                    }
                }
                SIGHUP => self.reload(now),
                _ => self.tell_counters(),
            }
        }
    }

    /// All counters in one line.
    fn counters_line(&mut self) -> String {
        let engines = self.kept.engines();
        let list = self.discovery.as_ref().map(|d| d.line(self.clock.now_ns())).unwrap_or_default();
        let mut list = format!("list_engines={engines} {list}");
        if let (Some(fleet), Some(limits)) = (&self.fleet, self.router.limits()) {
            list.push(' ');
            list.push_str(&fleet.line(limits));
        }
        if let Some(verdicts) = self.router.verdicts() {
            list.push(' ');
            list.push_str(&verdicts.line());
        }
        format!("{} {} {list}", self.router.counters.line(), self.callers.counters.line())
            .trim_end()
            .to_owned()
    }

    /// Logs all counters, and the door's by tenant where there is one.
    fn tell_counters(&mut self) {
        let line = self.counters_line();
        info!("{line}");
        let Some(door) = self.router.door() else { return };
        let room = door.room();
        info!("door queued={} used={:.1} served={:.1}", door.queued(), room.used(), room.served());
        for (tenant, counters) in door.counters().enumerate() {
            let fields: Vec<String> = counters.fields().iter().map(|(k, v)| format!("{k}={v}")).collect();
            let name = self.directory.tenant_name(TenantId(tenant));
            info!("door tenant={} {}", if name.is_empty() { "-" } else { name }, fields.join(" "));
        }
        for (flow, share) in door.heaviest() {
            info!("door client={flow:016x} asked_for={share:.3}");
        }
    }

    /// Reads the configuration again. What can change while requests are open is applied: where news of the
    /// engines comes from, and news that the file holds. Guards against a file that is replaced badly: one that
    /// can't be read leaves all as it is.
    fn reload(&mut self, now: u64) {
        let Read { config, postgres, door, start, fleet, operator, level } = match self.files.read() {
            Ok(read) => read,
            Err(fault) => {
                self.router.counters.reloads_failed += 1;
                return warn!("the configuration stays as it was: {fault}");
            }
        };
        let weights = door.as_ref().map(|d| config.weights(d));
        let consul = postgres.and_then(|p| p.consul);
        let address = match (&self.discovery, &consul, &config.coordinator) {
            (Some(Source::Consul(_)), Some(consul), _) => Some(&consul.address),
            (Some(Source::Stream(_)), _, Some(coordinator)) => Some(coordinator),
            _ => None,
        };
        let address = address.map(|at| at.parse().map_err(|e| format!("address {at}: {e}"))).transpose();
        let address = match address {
            Ok(address) => address,
            Err(fault) => {
                self.router.counters.reloads_failed += 1;
                return warn!("the configuration stays as it was: {fault}");
            }
        };
        self.router.counters.reloads += 1;
        let nothing = Value::new(What::Record(Default::default()), Default::default());
        let [before, now_says] = [&self.operator, &operator].map(|v| v.as_ref().unwrap_or(&nothing));
        effects(before, now_says).iter().for_each(|effect| info!("the operator's file: {effect}"));
        logger::set_level(level);
        self.operator = operator;
        let pace = start.pace(config.settings.gateways, config.settings.gateway_index);
        if let Some(discovery) = &mut self.discovery {
            discovery.set_pace(pace, start.stale_ns);
        }
        if let (Some(side), Some(limits)) = (&mut self.fleet, self.router.limits()) {
            side.reload(now, fleet.as_ref(), &config.settings, &config.names, limits);
        }
        self.engines.set_openings(start.openings(pace).map(|openings| (openings, config.own_seed())));
        let changes = match (&mut self.discovery, address) {
            (Some(discovery), Some(address)) => discovery.reload(now, &mut self.net, address, config.known),
            _ => Vec::new(),
        };
        info!("the configuration was read again; {} membership events were new", changes.len());
        changes.into_iter().for_each(|change| self.change(change));
        if let (Some(door), Some(settings), Some(weights)) = (self.router.door(), door, weights) {
            let restart = door.reload(settings, &weights);
            info!("the door has weights {weights:?}");
            if !restart.is_empty() {
                warn!("changes of the door's {} need a restart", restart.join(", "));
            }
        }
        if self.discovery.is_some() && address.is_none() {
            warn!("another source of membership news needs a restart");
        }
        let told = Told { listen: config.listen, limits: config.limits, settings: config.settings_text };
        if told != self.told {
            warn!("changes of listen, limits or settings need a restart");
        }
    }

    fn ready(&mut self, now: u64, conn: u64) {
        match self.net.owner(conn) {
            None => {}
            Some(Owner::Leaver) => self.net.discard(conn),
            Some(Owner::Msgpack) => self.msgpack.ready(now, &mut self.net, &mut self.router, conn),
            Some(Owner::Postgres) => {
                if let Some(front) = &mut self.postgres {
                    front.ready(now, &mut self.net, &mut self.router, conn);
                }
            }
            Some(Owner::Engine) => {
                let mut cx = Context { now, net: &mut self.net, router: &mut self.router };
                self.engines.ready(&mut cx, conn);
            }
            Some(Owner::Operator) => {
                if let Some(call) = self.callers.ready(now, &mut self.net, conn) {
                    self.call(now, conn, call);
                }
            }
            Some(Owner::Discovery) => {
                let found = self.discovery.as_mut().map(|d| d.ready(now, &mut self.net, conn));
                found.into_iter().flatten().for_each(|change| self.change(change));
            }
        }
        if self.net.has_more(conn) || self.msgpack.has_more(conn) {
            self.unread.push(conn);
        }
    }

    fn tick(&mut self, now: u64) {
        let mut cx = Context { now, net: &mut self.net, router: &mut self.router };
        self.engines.tick(&mut cx);
        self.net.tick(now);
        self.callers.tick(now, &mut self.net);
        self.msgpack.tick(now, &mut self.net, &mut self.router);
        let phase = self.phase;
        self.msgpack.close_quiet(now, &mut self.net, &mut self.router, |busy| phase.closes(now, busy));
        if now >= self.bans_read_ns + BANS_READ_NS {
            self.read_bans(now);
        }
        if let Some(front) = &mut self.postgres {
            front.tick(now, &mut self.net, &mut self.router);
            front.close_quiet(now, &mut self.net, &mut self.router, |busy| phase.closes(now, busy));
        }
        if let Some(discovery) = &mut self.discovery {
            discovery.tick(now, &mut self.net);
        }
        self.write_kept(now);
        if let Some(fleet) = &mut self.fleet {
            fleet.tick(now, &mut self.router);
            self.follow_words(now);
            self.confirm(now);
        }
    }

    /// Datagrams of the fleet's other routers.
    fn hear_fleet(&mut self, now: u64) {
        if let Some(fleet) = &mut self.fleet {
            fleet.ready(now, &mut self.router);
            if fleet.has_more() {
                self.unread.push(FLEET.0 as u64);
            }
        }
        // A word counts from when it was heard.
        self.follow_words(now);
    }

    /// Hands what was gathered to the module and carries out what came back; what fails at once is handed
    /// over in its turn.
    fn turn(&mut self) {
        loop {
            let now = self.clock.now_ns();
            let mut commands = std::mem::take(&mut self.commands);
            self.router.turn(now, &mut commands);
            for command in commands.drain(..) {
                self.carry_out(now, command);
            }
            self.commands = commands;
            if !self.router.has_news() {
                return;
            }
        }
    }

    fn carry_out(&mut self, now: u64, command: Command) {
        let mut cx = Context { now, net: &mut self.net, router: &mut self.router };
        match command {
            Command::Start { attempt, engine, timeout_ns, priority, ask, begin_by_ns } => {
                let class = self.directory.class_name(ask.class).to_owned();
                let once = self.settings.classes[ask.class.0].effect == Effect::AtMostOnce;
                let start = Start { attempt, engine, timeout_ns, priority, ask, class, once, begin_by_ns };
                self.engines.start(&mut cx, start);
            }
            Command::GiveUp(attempt) => self.engines.give_up(&mut cx, attempt),
            Command::Withdraw(attempt) => self.engines.withdraw(&mut cx, attempt),
            Command::Rank(attempt, priority) => self.engines.rank(&mut cx, attempt, priority),
            Command::Answer(client, answer) => match (self.net.owner(client.conn), &mut self.postgres) {
                (Some(Owner::Msgpack), _) => {
                    self.msgpack.answer(now, &mut self.net, &mut self.router, client, answer);
                }
                (Some(Owner::Postgres), Some(front)) => {
                    front.answer(now, &mut self.net, &mut self.router, client, answer);
                }
                _ => {}
            },
        }
    }

    /// Lets out what the round has for engines.
    fn release(&mut self) {
        let now = self.clock.now_ns();
        for conn in self.net.release() {
            let mut cx = Context { now, net: &mut self.net, router: &mut self.router };
            self.engines.flushed(&mut cx, conn);
        }
    }

    /// Guards against requests that SIGKILL finds unanswered: they get an answer while there is time.
    fn end_all(&mut self, now: u64) {
        if self.is_last(now) && self.router.owed() > 0 {
            let mut commands = Vec::new();
            self.router.end_all(&mut commands, now);
            commands.into_iter().for_each(|command| self.carry_out(now, command));
        }
    }

    /// Whether the process has been told to stop for so long that it may be killed soon.
    fn is_last(&self, now: u64) -> bool {
        self.is_past(now, END_NS)
    }

    /// Whether so long has passed behind the longest deadline, or the most of it that counts, since the process was told to stop.
    fn is_past(&self, now: u64, long_ns: u64) -> bool {
        let longest = self.settings.classes.iter().map(|c| c.deadline_ns).max().unwrap_or(0);
        let end_ns = longest.min(END_DEADLINE_NS) + long_ns;
        self.phase.stopping_since().is_some_and(|since| now >= since + end_ns)
    }

    /// Whether clients can still connect.
    fn listens(&self) -> bool {
        self.listeners[..2].iter().any(Option::is_some)
    }

    /// After SIGTERM: takes nothing new past a while, and ends once all is answered and written.
    fn finished(&mut self, now: u64) -> bool {
        let Some(since) = self.phase.stopping_since() else { return false };
        if now >= since + ACCEPT_ON_NS && self.listens() {
            // Guards against connections that the machine has accepted and a listener that closes would reset, with the
            // requests on them: it is closed once nothing waits in it.
            self.accept(now);
            if self.accept_at.is_none() {
                // The operators' door stays open to the end: it tells that the process is not ready.
                (self.listeners[0], self.listeners[1]) = (None, None);
            }
        }
        let answered = self.router.owed() == 0 && self.net.all_written() && self.unread.is_empty();
        if !answered {
            self.quiet_since = None;
        }
        // Guards against an answer that is reset away: an exit with unread input resets its connection, so the
        // client gets time to read what was just written.
        let quiet = *self.quiet_since.get_or_insert(now);
        let waits = self.listens() && !self.is_last(now);
        let quiet = now >= since + STAY_NS && answered && !waits && now >= quiet + LINGER_NS;
        // Guards against a stop that is held up for ever by a client that never stops sending, or never reads.
        quiet || self.is_past(now, OVER_NS)
    }
}
