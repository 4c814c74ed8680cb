//! The side of the program that talks to the fleet's other routers: membership and shared limits over one socket.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

use log::{info, warn};
use marljunction_core::cold::ColdBudgets;
use marljunction_core::limits::{By, FleetLimits, Rule};
use marljunction_limits::bound::{bound, change, Fault, FAULTS};
use marljunction_limits::escrow::Peer;
use marljunction_limits::{Kind, Limit, Message, Mode, Node, Terms};
use marljunction_net::datagrams::Datagrams;
use marljunction_peers::{Event, Keys, Members, Settings, Who};
use mio::{Registry, Token};

use crate::config::Config;

/// Keys of all limits that one router tracks (count).
const KEYS_MOST: usize = 16_384;
/// What a request may have out behind its deadline (ns): a given-up attempt is out until its engine was told, or 2 s.
const BEHIND_NS: u64 = 2_500_000_000;
/// What a router that died had out runs on for so long (ns): engines end what nobody asks for.
const RUN_ON_NS: u64 = 2_100_000_000;
/// Largest part of a datagram that messages fill (bytes): the sender's name and the seal have the rest.
const MESSAGES_MOST: usize = 900;

/// A limit of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitFile {
    /// What is limited, and how it fails.
    pub limit: Limit,
    /// Whom it is for.
    pub by: By,
    /// Only this tenant's; none for all.
    pub tenant: Option<String>,
    /// Only this class; none for all.
    pub class: Option<String>,
}

/// The fleet, as the operator's file says.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetFile {
    /// Where datagrams are taken.
    pub listen: String,
    /// Where peers send them, where that is another address.
    pub advertise: Option<String>,
    /// The file of the fleet's keys.
    pub key: PathBuf,
    /// Routers that know others.
    pub seeds: Vec<String>,
    /// Routers that shares are fixed for.
    pub routers: u32,
    /// How long a loan lasts (ns).
    pub lease_ns: u64,
    /// How far a clock may run from true time (share).
    pub drift: f64,
    /// The limits.
    pub limits: Vec<LimitFile>,
    /// Budgets of cold engines are shared too.
    pub cold: bool,
}

impl FleetFile {
    /// The seed of clients' numbers: the same in all routers of the fleet, or a limit by client would be one to each router.
    ///
    /// # Errors
    /// Where the keys can't be read.
    pub fn clients_seed(&self) -> Result<u64, String> {
        read_keys(&self.key).map(|keys| keys.shared_seed())
    }

    /// What the fleet agrees on, where requests are out for `longest_ns` at most.
    pub fn terms(&self, longest_ns: u64) -> Terms {
        let settings = Settings { routers: self.routers, ..Settings::default() };
        Terms {
            routers: self.routers,
            lease_ns: self.lease_ns,
            drift: self.drift,
            longest_ns,
            run_on_ns: RUN_ON_NS,
            detect_ns: settings.detect_at_most_ns(),
        }
    }

    /// What follows from it for each limit and fault, as operators read it.
    pub fn bounds(&self, longest_ns: u64) -> Vec<String> {
        let terms = self.terms(longest_ns);
        let mut told = Vec::new();
        for LimitFile { limit, .. } in &self.limits {
            let units = limit.kind.units();
            let idle = if units < self.routers { ", fewer than routers: some own none of it" } else { "" };
            told.push(format!("limit {}: {units} units over {} routers{idle}", limit.name, self.routers));
            for (fault, name) in FAULTS {
                let b = bound(limit, &terms, fault);
                let over = match (b.over_at_most > 0.0, b.over_for_ns) {
                    (false, _) => "never over".to_owned(),
                    (true, u64::MAX) => {
                        format!("over by {:.1}% at most, until it is mended", b.over_at_most * 100.0)
                    }
                    (true, ns) => {
                        format!(
                            "over by {:.1}% at most, for {:.1} s at most",
                            b.over_at_most * 100.0,
                            ns as f64 / 1e9
                        )
                    }
                };
                told.push(format!(
                    "  {name}: {over}; idle for {:.1} s at most",
                    b.stale_at_most_ns as f64 / 1e9
                ));
            }
        }
        told
    }
}

/// What follows for a cold engine's budget, as operators read it.
fn budget_told(limit: &Limit, terms: &Terms) -> String {
    let stale = |fault| bound(limit, terms, fault).stale_at_most_ns as f64 / 1e9;
    format!(
        "{} units in any {:.1} s over {} routers, never over; idle for {:.1} s at most, {:.1} s in a cut, {:.1} s after all died",
        limit.kind.units(),
        limit.kind.run_on_ns(terms) as f64 / 1e9,
        terms.routers,
        stale(Fault::None),
        stale(Fault::Cut),
        stale(Fault::AllDied),
    )
}

/// Reads a file of the fleet's keys.
fn read_keys(path: &PathBuf) -> Result<Keys, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Keys::read(&text).map_err(|fault| format!("{}: {fault}", path.display()))
}

/// The socket, and what is known of the peers.
pub struct FleetSide {
    datagrams: Datagrams,
    members: Members,
    file: FleetFile,
    told: u64,
}

impl FleetSide {
    /// Opens the socket; gives the limits that stand before the module too.
    ///
    /// # Errors
    /// Where the socket can't be opened, the keys can't be read, or a limit names a tenant or class that is not in the
    /// settings.
    pub fn start(
        now: u64,
        registry: &Registry,
        token: Token,
        file: FleetFile,
        config: &Config,
    ) -> Result<(FleetSide, FleetLimits), String> {
        let address = |at: &str| at.parse::<SocketAddr>().map_err(|e| format!("fleet: address {at}: {e}"));
        let datagrams = Datagrams::open(registry, token, address(&file.listen)?)
            .map_err(|e| format!("fleet: {}: {e}", file.listen))?;
        let local = datagrams.address().map_err(|e| format!("fleet: {e}"))?;
        let advertised = file.advertise.as_deref().map_or(Ok(local), address)?;
        let number = config.settings.gateway_index;
        let me = Who { name: config.name.clone(), number, address: advertised, life: now, renewal: 0 };
        let seeds = file.seeds.iter().map(|at| address(at)).collect::<Result<_, _>>()?;
        let settings = Settings { routers: file.routers, seeds, ..Settings::default() };
        let members = Members::new(me, read_keys(&file.key)?, &settings, config.own_seed());
        let longest_ns = longest_ns(config);
        let mut limits: Vec<Limit> = file.limits.iter().map(|l| l.limit.clone()).collect();
        let cold = file.cold.then(|| ColdBudgets::new(&config.settings, limits.len())).flatten();
        let (cold, budgets) = cold.unzip();
        for budget in budgets.into_iter().flatten() {
            let terms = file.terms(longest_ns);
            info!("{}: {}", budget.name, budget_told(&budget, &terms));
            limits.push(budget);
        }
        let node = Node::new(now, Peer { number, life: now }, file.terms(longest_ns), limits, KEYS_MOST);
        let rules = file.limits.iter().map(|l| rule(l, config)).collect::<Result<_, _>>()?;
        let limits =
            FleetLimits::new(node, rules, &config.names.tenants, &config.names.classes).with_cold(cold);
        info!("{} talks to the fleet on {local} as router {number} of {}", config.name, file.routers);
        file.bounds(longest_ns).iter().for_each(|line| info!("{line}"));
        Ok((FleetSide { datagrams, members, file, told: 0 }, limits))
    }

    /// Reads the keys again, and goes by the limits that the operator's file now has: a reload may have changed both.
    pub fn reload(&mut self, now: u64, file: Option<&FleetFile>, config: &Config, limits: &mut FleetLimits) {
        match read_keys(&self.file.key) {
            Ok(keys) => self.members.set_keys(keys),
            Err(fault) => warn!("the fleet's keys stay as they were: {fault}"),
        }
        let Some(file) = file else { return warn!("a fleet that is there no more needs a restart") };
        if (FleetFile { limits: self.file.limits.clone(), ..file.clone() }) != self.file {
            return warn!("changes of the fleet other than its limits need a restart");
        }
        if file.limits != self.file.limits {
            self.resize(now, file.clone(), config, limits);
        }
    }

    /// Goes by other limits from here on, and says what that means until all routers do.
    fn resize(&mut self, now: u64, file: FleetFile, config: &Config, limits: &mut FleetLimits) {
        let with_rule = |l: &LimitFile| rule(l, config).map(|rule| (l.limit.clone(), rule));
        let read = match file.limits.iter().map(with_rule).collect::<Result<Vec<_>, String>>() {
            Ok(read) => read,
            Err(fault) => return warn!("the limits stay as they were: {fault}"),
        };
        let terms = file.terms(longest_ns(config));
        for (limit, _) in &read {
            let before = self.file.limits.iter().map(|l| &l.limit).find(|l| l.id() == limit.id());
            match before {
                None => info!(
                    "limit {}: new, its shares are used once all that peers may hold is over",
                    limit.name
                ),
                Some(before) if before.version() != limit.version() => {
                    let b = change(before, limit, &terms);
                    info!(
                        "limit {}: changed; over by {:.1}% at most until all routers know it and for {:.1} s more",
                        limit.name,
                        b.over_at_most * 100.0,
                        b.over_for_ns as f64 / 1e9
                    );
                }
                Some(_) => {}
            }
        }
        limits.resize(now, read);
        self.file = file;
    }

    /// Whether datagrams were left to be read.
    pub fn has_more(&self) -> bool {
        self.datagrams.more
    }

    /// Takes what has come in.
    pub fn ready(&mut self, now: u64, limits: &mut FleetLimits) {
        let members = &mut self.members;
        self.datagrams.receive(|datagram| members.hear(now, datagram));
        self.carry_out(now, limits);
    }

    /// Passes time.
    pub fn tick(&mut self, now: u64, limits: &mut FleetLimits) {
        self.members.tick(now);
        let said = limits.node().tick(now);
        self.say(said);
        self.carry_out(now, limits);
    }

    /// Tells the peers that this router leaves.
    pub fn leave(&mut self, now: u64) {
        self.members.leave(now);
        for (to, datagram) in self.members.take().0 {
            self.datagrams.send(to, &datagram);
        }
    }

    fn carry_out(&mut self, now: u64, limits: &mut FleetLimits) {
        // What becomes known may call for answers, which are sent in the next turn of this.
        loop {
            let (out, events) = self.members.take();
            for (to, datagram) in out {
                self.datagrams.send(to, &datagram);
            }
            if events.is_empty() {
                return;
            }
            events.into_iter().for_each(|event| self.event(now, event, limits));
        }
    }

    fn event(&mut self, now: u64, event: Event, limits: &mut FleetLimits) {
        match event {
            Event::Said(who, said) => {
                let Ok(messages) = rmp_serde::from_slice::<Vec<Message>>(&said) else { return };
                let from = Peer { number: who.number, life: who.life };
                let answers = messages.into_iter().flat_map(|message| limits.node().hear(now, from, message));
                let answers = answers.collect();
                // Nobody came or went by it.
                return self.say_at(who.address, answers);
            }
            Event::Up(who) => self.log(format!("{} is there, at {}", who.name, who.address)),
            Event::Down(who) => self.log(format!("{} is gone, or can't be reached", who.name)),
            Event::Again(before, who) if before.address != who.address => self.log(format!(
                "{} has started again, at {}; if the one at {} is there still, two have its name",
                who.name, who.address, before.address
            )),
            Event::Again(_, who) => self.log(format!("{} has started again", who.name)),
            Event::SameNumber(who) => warn!(
                "the fleet: {} at {} has this one's number {}: its shares are used twice",
                who.name, who.address, who.number
            ),
            Event::SameName => warn!(
                "the fleet: peers take this router for gone again and again: another has this one's name, and shares are used twice"
            ),
        }
        let reachable: BTreeSet<u32> = self.members.up().map(|who| who.number).collect();
        limits.node().set_reachable(now, reachable);
    }

    /// A line for a change of state, up to a bound: a fleet that flaps must not fill the log.
    fn log(&mut self, line: String) {
        self.told += 1;
        if self.told <= 1_000 || self.told % 100 == 0 {
            info!("the fleet: {line}");
        }
    }

    fn say(&mut self, said: Vec<(u32, Message)>) {
        let mut by_peer = BTreeMap::<u32, Vec<Message>>::new();
        for (to, message) in said {
            by_peer.entry(to).or_default().push(message);
        }
        if by_peer.is_empty() {
            return;
        }
        let addresses: BTreeMap<u32, SocketAddr> =
            self.members.up().map(|who| (who.number, who.address)).collect();
        for (to, messages) in by_peer {
            // A number that nobody is known by hears nothing.
            if let Some(address) = addresses.get(&to) {
                self.say_at(*address, messages);
            }
        }
    }

    /// Puts messages into as few datagrams as they fit.
    fn say_at(&mut self, to: SocketAddr, messages: Vec<Message>) {
        let mut some: Vec<Message> = Vec::new();
        let mut size = 0;
        for message in messages {
            let bytes = rmp_serde::to_vec(&message).map_or(0, |b| b.len());
            if size + bytes > MESSAGES_MOST && !some.is_empty() {
                self.send(to, &std::mem::take(&mut some));
                size = 0;
            }
            size += bytes;
            some.push(message);
        }
        if !some.is_empty() {
            self.send(to, &some);
        }
    }

    fn send(&mut self, to: SocketAddr, messages: &[Message]) {
        if let Ok(bytes) = rmp_serde::to_vec(messages) {
            self.members.say(to, &bytes);
        }
    }

    /// What is known, as `marljunction fleet` prints it.
    pub fn view(&mut self, now: u64, limits: &mut FleetLimits) -> String {
        let mut text = format!("router {} of {}", self.members.me().number, self.file.routers);
        if limits.node().recovers() {
            text.push_str(", asks what it lent before");
        }
        for who in self.members.up() {
            let age = now.saturating_sub(who.life) as f64 / 1e9;
            text.push_str(&format!(
                "\npeer {} number {} at {} up {age:.0} s",
                who.name, who.number, who.address
            ));
        }
        let places: Vec<u16> = limits.places().collect();
        for (at, file) in places.into_iter().zip(&self.file.limits) {
            let (kind, refused) = (file.limit.kind, limits.refused(at));
            text.push_str(&format!("\nlimit {} {kind:?} refused {refused}", file.limit.name));
            for (key, look) in limits.node().busiest(now, at) {
                text.push_str(&format!(
                    "\n  key {key:016x} owned {} lent {} borrowed {} usable {} out {}",
                    look.owned, look.lent, look.borrowed, look.usable, look.out
                ));
            }
        }
        let (datagrams, bytes) = self.members.sent();
        let spoilt: Vec<String> = self.members.spoilt().map(|(why, n)| format!("{why} {n}")).collect();
        text.push_str(&format!(
            "\nsent {datagrams} datagrams, {bytes} bytes; passed over: {}",
            spoilt.join(", ")
        ));
        text
    }

    /// Counters, as one line.
    pub fn line(&self, limits: &FleetLimits) -> String {
        let spoilt: u64 = self.members.spoilt().map(|(_, n)| n).sum();
        let refused = limits.refused_in_all();
        format!(
            "fleet_peers={} fleet_datagrams={} fleet_bytes={} fleet_spoilt={spoilt} fleet_limited={refused}",
            self.members.up().count(),
            self.members.sent().0,
            self.members.sent().1,
        )
    }
}

/// The longest that a request is out, its given-up attempts included (ns).
fn longest_ns(config: &Config) -> u64 {
    config.settings.classes.iter().map(|c| c.deadline_ns).max().unwrap_or(0) + BEHIND_NS
}

/// Which requests a limit counts, by the numbers of the settings.
fn rule(file: &LimitFile, config: &Config) -> Result<Rule, String> {
    let find = |what: &str, names: &[String], name: &Option<String>| match name {
        None => Ok(None),
        Some(name) => {
            let fault = || format!("fleet: limit {}: no {what} {name} in the settings", file.limit.name);
            marljunction_settings::index_of(names, name).map(Some).ok_or_else(fault)
        }
    };
    let tenant = find("tenant", &config.names.tenants, &file.tenant)?;
    let class = find("class", &config.names.classes, &file.class)?;
    let (tenant, class) = (
        tenant.map(marljunction_control::interface::TenantId),
        class.map(marljunction_control::interface::ClassId),
    );
    Ok(Rule { by: file.by, tenant, class })
}

/// What a limit's fields say: a rate with its burst, or how many at once.
pub fn kind(rate: Option<f64>, burst: Option<f64>, at_once: Option<f64>) -> Option<Kind> {
    match (rate, at_once) {
        (Some(per_s), None) => Some(Kind::Rate { per_s, burst: burst.unwrap_or(per_s).max(1.0) as u32 }),
        (None, Some(at_once)) => Some(Kind::Concurrency { at_once: at_once as u32 }),
        _ => None,
    }
}

/// How a limit fails.
pub fn mode(over: Option<f64>, for_ns: Option<f64>) -> Mode {
    match (over, for_ns) {
        (Some(over), Some(for_ns)) => Mode::Bounded { over, for_ns: for_ns as u64 },
        _ => Mode::Strict,
    }
}
