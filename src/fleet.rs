//! The side of the program that talks to the fleet's other routers: membership and shared limits over one socket.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use log::{info, warn};
use marljunction_core::cold::ColdBudgets;
use marljunction_core::limits::{By, FleetLimits, Rule};
use marljunction_core::verdicts::FleetVerdicts;
use marljunction_core::Router;
use marljunction_limits::bound::{bound, change, Fault, FAULTS};
use marljunction_limits::escrow::Peer;
use marljunction_limits::terms::stable_hash;
use marljunction_limits::{Kind as LimitKind, Limit, Message, Mode, Node, Terms};
use marljunction_net::datagrams::Datagrams;
use marljunction_peers::seal::Kind;
use marljunction_peers::{Event, Keys, Members, Settings, Who};
use marljunction_verdicts::bound::{agree_within_ns, beat_ns, fades_within_ns, heard_within_ns};
use marljunction_verdicts::words::Words;
use marljunction_verdicts::Message as OfEngines;
use mio::{Registry, Token};
use serde::Serialize;

use crate::config::{write_aside, Config};

/// Keys of all limits that one router tracks (count).
const KEYS_MOST: usize = 16_384;
/// What a request may have out behind its deadline (ns): a given-up attempt is out until its engine was told, or 2 s.
const BEHIND_NS: u64 = 2_500_000_000;
/// What a router that died had out runs on for so long (ns): engines end what nobody asks for.
const RUN_ON_NS: u64 = 2_100_000_000;
/// The file of operators' words, in `$TMPDIR`, and its largest size that is read (bytes).
const WORDS_FILE: &str = "marljunction-verdicts";
const WORDS_FILE_MOST: u64 = 4 << 20;
/// How often they are kept anew though nothing changed (ns): their age counts.
const KEPT_EVERY_NS: u64 = 30_000_000_000;
/// A router that did nothing for so long stood still (ns); what peers said of engines meanwhile is passed over as it wakes,
/// for so long (ns): they say what counts again.
const STOOD_STILL_NS: u64 = 1_000_000_000;
const DEAF_NS: u64 = 300_000_000;
/// Pieces of evidence that are shown (count).
const VIEWED_MOST: usize = 200;
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

/// What is believed of engines, as the operator's file says.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictsFile {
    /// Routers that must have seen the same.
    pub witnesses: u32,
    /// Engines that evidence takes out at most (share).
    pub out_most: f64,
    /// How long evidence is believed that is not said again (ns).
    pub fade_ns: u64,
    /// The longest cut after which no word that ended comes back (ns).
    pub remember_ns: u64,
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
    /// What is believed of engines is shared; none for not.
    pub verdicts: Option<VerdictsFile>,
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

    /// What the fleet agrees on for verdicts, where it shares them.
    pub fn verdict_terms(&self) -> Option<marljunction_verdicts::Terms> {
        let file = self.verdicts.as_ref()?;
        Some(marljunction_verdicts::Terms {
            routers: self.routers,
            witnesses: file.witnesses,
            out_most: file.out_most,
            fade_ns: file.fade_ns,
            remember_ns: file.remember_ns,
            ..marljunction_verdicts::Terms::default()
        })
    }

    /// What follows for verdicts, as operators read it.
    fn verdicts_told(&self) -> Option<String> {
        let terms = self.verdict_terms()?;
        let seconds = |ns: u64| ns as f64 / 1e9;
        Some(format!(
            "verdicts: heard by all that can be reached within {:.1} s; sides of a cut agree within {:.1} s of its end and {:.1} s \
             for each {} things in which they differ; evidence fades within {:.1} s of its witness's last word",
            seconds(heard_within_ns(&terms)),
            seconds(agree_within_ns(&terms, 0)),
            seconds(beat_ns(&terms)),
            marljunction_verdicts::node::HANDED_MOST,
            seconds(fades_within_ns(&terms)),
        ))
    }

    /// What follows from it for each limit and fault, as operators read it.
    pub fn bounds(&self, longest_ns: u64) -> Vec<String> {
        let terms = self.terms(longest_ns);
        let mut told: Vec<String> = self.verdicts_told().into_iter().collect();
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
    /// When it last did anything (ns), and until when verdicts that come are passed over.
    seen_ns: u64,
    deaf_until_ns: u64,
    /// The file that operators' words are kept in, and their revision and the period as they were written last.
    words_file: Option<(PathBuf, Option<(u64, u64)>)>,
    /// Whether this router was the suspect when that was last told.
    suspect: bool,
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
        kept: Option<&Path>,
    ) -> Result<(FleetSide, FleetLimits, Option<FleetVerdicts>), String> {
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
        let terms = file.terms(longest_ns);
        for budget in budgets.into_iter().flatten() {
            info!("{}: {}", budget.name, budget_told(&budget, &terms));
            limits.push(budget);
        }
        let node = Node::new(now, Peer { number, life: now }, terms, limits, KEYS_MOST);
        let rules = file.limits.iter().map(|l| rule(l, config)).collect::<Result<_, _>>()?;
        let limits =
            FleetLimits::new(node, rules, &config.names.tenants, &config.names.classes).with_cold(cold);
        info!("{} talks to the fleet on {local} as router {number} of {}", config.name, file.routers);
        file.bounds(longest_ns).iter().for_each(|line| info!("{line}"));
        let words_file = kept.map(|dir| (dir.join(WORDS_FILE), None));
        let verdicts = file.verdict_terms().map(|terms| {
            let words =
                words_file.as_ref().map_or((Words::default(), now), |(path, _)| read_words(path, now));
            let zone = config.settings.zone.and_then(|zone| config.names.zones.get(zone.0));
            let zone = stable_hash([zone.map_or("", String::as_str).as_bytes()]);
            FleetVerdicts::new(marljunction_verdicts::Node::new(now, (number, now, zone), terms, words))
        });
        let side = FleetSide {
            datagrams,
            members,
            file,
            told: 0,
            seen_ns: now,
            deaf_until_ns: 0,
            words_file,
            suspect: false,
        };
        Ok((side, limits, verdicts))
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

    /// Notices that this router stood still: what waits for it is old, and nobody said how old.
    fn wake(&mut self, now: u64) {
        if now.saturating_sub(self.seen_ns) >= STOOD_STILL_NS {
            self.deaf_until_ns = now + DEAF_NS;
        }
        self.seen_ns = now;
    }

    /// Takes what has come in.
    pub fn ready(&mut self, now: u64, router: &mut Router) {
        self.wake(now);
        let members = &mut self.members;
        self.datagrams.receive(|datagram| members.hear(now, datagram));
        self.carry_out(now, router);
    }

    /// Passes time.
    pub fn tick(&mut self, now: u64, router: &mut Router) {
        self.wake(now);
        self.members.tick(now);
        let said = router.limits().map(|limits| limits.node().tick(now)).unwrap_or_default();
        self.say(Kind::Limits, said);
        if let Some(verdicts) = router.verdicts() {
            let said = verdicts.node().tick(now);
            let suspect = verdicts.node().is_suspect();
            self.say(Kind::Verdicts, said);
            if suspect != self.suspect {
                self.suspect = suspect;
                match suspect {
                    true => warn!("this router finds engines bad that serve the others: its own network may be at fault"),
                    false => info!("this router is no suspect any more"),
                }
            }
            self.keep_words(verdicts.node());
        }
        self.carry_out(now, router);
    }

    /// Keeps the operators' words for the next start: as they change, and once a while, as their age counts.
    fn keep_words(&mut self, node: &marljunction_verdicts::Node) {
        let Some((path, kept)) = &mut self.words_file else { return };
        // Half a minute says no less of how long nobody was heard than a second.
        let state = (node.revision(), node.heard_ns() / KEPT_EVERY_NS);
        if *kept == Some(state) || node.words().is_empty() && kept.is_none() {
            return;
        }
        let text = format!("heard {}\n{}", node.heard_ns() / 1_000_000, node.words().to_text());
        if let Err(e) = write_aside(path, &text) {
            warn!("operators' words could not be kept in {}: {e}", path.display());
        }
        *kept = Some(state);
    }

    /// Tells the peers that this router leaves.
    pub fn leave(&mut self, now: u64) {
        self.members.leave(now);
        for (to, datagram) in self.members.take().0 {
            self.datagrams.send(to, &datagram);
        }
    }

    fn carry_out(&mut self, now: u64, router: &mut Router) {
        // What becomes known may call for answers, which are sent in the next turn of this.
        loop {
            let (out, events) = self.members.take();
            for (to, datagram) in out {
                self.datagrams.send(to, &datagram);
            }
            if events.is_empty() {
                return;
            }
            events.into_iter().for_each(|event| self.event(now, event, router));
        }
    }

    fn event(&mut self, now: u64, event: Event, router: &mut Router) {
        match event {
            // Nobody came or went by what was said.
            Event::Said(who, Kind::Verdicts, said) => return self.heard_of_engines(now, who.number, &said, router),
            Event::Said(who, _, said) => {
                let Ok(messages) = rmp_serde::from_slice::<Vec<Message>>(&said) else { return };
                let Some(limits) = router.limits() else { return };
                let from = Peer { number: who.number, life: who.life };
                let answers = messages.into_iter().flat_map(|message| limits.node().hear(now, from, message));
                let answers: Vec<Message> = answers.collect();
                return self.say_at(who.address, Kind::Limits, answers);
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
        if let Some(verdicts) = router.verdicts() {
            verdicts.node().set_peers(reachable.iter().copied().collect());
        }
        if let Some(limits) = router.limits() {
            limits.node().set_reachable(now, reachable);
        }
    }

    fn heard_of_engines(&mut self, now: u64, from: u32, said: &[u8], router: &mut Router) {
        let Some(verdicts) = router.verdicts().filter(|_| now >= self.deaf_until_ns) else { return };
        let Ok(messages) = rmp_serde::from_slice::<Vec<OfEngines>>(said) else { return };
        let answers: Vec<(u32, OfEngines)> =
            messages.into_iter().flat_map(|message| verdicts.node().hear(now, from, message)).collect();
        self.say(Kind::Verdicts, answers);
    }

    /// A line for a change of state, up to a bound: a fleet that flaps must not fill the log.
    fn log(&mut self, line: String) {
        self.told += 1;
        if self.told <= 1_000 || self.told % 100 == 0 {
            info!("the fleet: {line}");
        }
    }

    fn say<M: Serialize>(&mut self, kind: Kind, said: Vec<(u32, M)>) {
        let mut by_peer = BTreeMap::<u32, Vec<M>>::new();
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
                self.say_at(*address, kind, messages);
            }
        }
    }

    /// Puts messages into as few datagrams as they fit.
    fn say_at<M: Serialize>(&mut self, to: SocketAddr, kind: Kind, messages: Vec<M>) {
        let mut some: Vec<M> = Vec::new();
        let mut size = 0;
        for message in messages {
            let bytes = rmp_serde::to_vec(&message).map_or(0, |b| b.len());
            if size + bytes > MESSAGES_MOST && !some.is_empty() {
                self.send(to, kind, &std::mem::take(&mut some));
                size = 0;
            }
            size += bytes;
            some.push(message);
        }
        if !some.is_empty() {
            self.send(to, kind, &some);
        }
    }

    fn send<M: Serialize>(&mut self, to: SocketAddr, kind: Kind, messages: &[M]) {
        if let Ok(bytes) = rmp_serde::to_vec(messages) {
            self.members.say(to, kind, &bytes);
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

    /// What the fleet believes of engines, as the operators' door shows it.
    pub fn view_verdicts(&self, now: u64, verdicts: &mut FleetVerdicts) -> String {
        let node = verdicts.node();
        let judged = node.judged().clone();
        let seconds = |ns: u64| now.saturating_sub(ns) as f64 / 1e9;
        let mut text = format!("{} peers can be reached", node.peers());
        for (name, word) in node.words().iter() {
            let (what, by) = (if word.out { "out" } else { "back" }, word.stamp.router);
            let age = seconds(word.stamp.ms.saturating_mul(1_000_000));
            text.push_str(&format!("\nengine {name} {what} by an operator at router {by} {age:.0} s ago"));
        }
        for (engine, judgement) in &judged.engines {
            text.push_str(&format!("\nengine {engine:016x} {judgement:?} by evidence"));
        }
        for (engine, witness, held) in node.evidence().iter().take(VIEWED_MOST) {
            text.push_str(&format!(
                "\n  engine {engine:016x} router {witness} {:?} since {:.1} s, said {:.1} s ago",
                held.finding,
                seconds(held.since_ns),
                seconds(held.at_ns)
            ));
        }
        for router in &judged.suspects {
            text.push_str(&format!(
                "\nrouter {router} finds engines bad that serve others: it does not count"
            ));
        }
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

/// Operators' words as they were kept, and when a peer had last been heard then (ns).
fn read_words(path: &Path, now: u64) -> (Words, u64) {
    let text = match std::fs::read_to_string(path) {
        Ok(text) if text.len() as u64 <= WORDS_FILE_MOST => text,
        _ => return (Words::default(), now),
    };
    let heard = text.lines().next().and_then(|line| line.strip_prefix("heard ")?.parse::<u64>().ok());
    let words = Words::of_text(&text);
    info!("{} operators' words of the fleet were kept in {}", words.len(), path.display());
    (words, heard.map_or(0, |ms| ms.saturating_mul(1_000_000)))
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
pub fn kind(rate: Option<f64>, burst: Option<f64>, at_once: Option<f64>) -> Option<LimitKind> {
    match (rate, at_once) {
        (Some(per_s), None) => Some(LimitKind::Rate { per_s, burst: burst.unwrap_or(per_s).max(1.0) as u32 }),
        (None, Some(at_once)) => Some(LimitKind::Concurrency { at_once: at_once as u32 }),
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
