//! The door: whose turn it is to be shown to the decision module, and when those who are refused should come back.
//!
//! The module alone admits, sends and refuses. The door stands before it: it learns from the module's refusals how much
//! there is room for ([`room`]), adds no wait while there is room, and else divides the turns by weight among
//! tenants and evenly among a tenant's clients ([`fair`]), in memory that is bounded whatever the number of clients
//! ([`queues`], [`sketch`]). What can't be served in time any more is refused at that moment ([`wheel`]), with advice for
//! which room was set aside ([`calendar`]).
//!
//! Pure: time is passed in, nothing is read or written.

#![forbid(unsafe_code)]

pub mod calendar;
pub mod counters;
pub mod fair;
pub mod queues;
pub mod room;
pub mod settings;
pub mod sketch;
pub mod wheel;

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use slab::Slab;

use calendar::{Calendar, Promise};
use counters::TenantCounters;
use fair::{Discipline, StartTime};
use queues::{Entry, Queue, Stand};
use room::{Kind, Room, Surety};
use settings::{hand, DoorSettings, Identity, Order};
use sketch::Heavy;
use wheel::Wheel;

/// What a flow may owe of past service at most, over its weight's part of what all are served (ns): how long a
/// liar about cost pays for it.
const DEBT_NS: f64 = 5_000_000_000.0;
/// The same in thread-nanoseconds for a weight of 1, at so many threads served.
const DEBT_THREADS: f64 = 32.0;
/// Queues of one tenant that are looked at for a request that fits (count).
const LOOK: usize = 8;
/// Newest of a queue among which the one with the most worth for its cost is sought (count).
const NEWEST: usize = 8;
/// While the first in turn does not fit, as the module refuses its kind earlier, others may be served so far past it
/// (ns of what is served at a time, for a weight of 1); then all wait for it. Guards against a kind that never
/// fits because others fill the room each time.
const PASSING_NS: f64 = 60_000_000.0;
/// Wait that says of a tenant's queues that they do not empty, where none was shorter in an interval of so long (ns).
/// CoDel's way of telling a standing queue from a burst (Nichols and Jacobson, 2012).
const TARGET_NS: u64 = 30_000_000;
const INTERVAL_NS: u64 = 100_000_000;
/// Requests of a tenant that wait in a queue that may be said to stand (count).
const STANDING: u32 = 8;
/// Weight of a new figure in what is learned of classes and queues (share).
const LEARN: f64 = 0.05;
/// A promise is void where its client turned out to hold this multiple of what was set aside (ratio).
const OUTGROWN: f64 = 4.0;
/// Step by which the median of what requests of a class hold over their need is followed, and its bounds (ratio).
const MEDIAN_STEP: f64 = 1.02;
const HELD: [f64; 2] = [0.1, 8.0];
/// Bounds of what a queue's flows hold over what is expected of them (ratio).
const TRUTH: [f64; 2] = [0.25, 10_000.0];
/// A tenant counts among those that share the room for so long after its last request (ns).
const ACTIVE_NS: u64 = 5_000_000_000;
/// Identities that the sketch holds (count), and how often its weights are halved (ns).
const HEAVY: usize = 64;
const HALVE_NS: u64 = 10_000_000_000;
/// Soonest advice (ns): sooner than this nothing has changed.
const SOONEST_NS: u64 = 100_000_000;
/// Limit of a kind over the greatest limit below which no promise is made (ratio): the module refuses such heavy
/// requests first, as it is meant to.
const PROMISED_KINDS: f64 = 0.75;

/// A request at the door.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Its number, never used twice.
    pub id: u64,
    /// Its tenant; one past the last for none.
    pub tenant: usize,
    /// Its client, by [`Identity`].
    pub client: u64,
    /// Its class.
    pub class: usize,
    /// Threads that it runs on.
    pub threads: f64,
    /// Estimated work (core-nanoseconds).
    pub need_ns: f64,
    /// What an answer in time is worth, by any measure that is the same for all.
    pub worth: f64,
    /// When its answer is wanted (ns).
    pub wanted_ns: u64,
    /// When its client gives up (ns).
    pub expires_ns: u64,
    /// Memory that it takes while it waits (bytes).
    pub bytes: usize,
}

/// When a refused client should come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advice {
    /// From now (ns).
    pub after_ns: u64,
    /// Room is set aside for then.
    pub promised: bool,
}

/// What becomes of a request at the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The module is to see it now; [`Door::accepted`] or [`Door::refused`] must follow.
    Show(u64),
    /// It is refused.
    Refuse(u64, Advice),
}

/// What is known of a class.
#[derive(Clone, Copy, Debug)]
struct Class {
    /// Mean need of what comes.
    need: f64,
    /// What a request holds over its need.
    held: f64,
}

struct Tenant {
    queues: Vec<Queue>,
    turns: StartTime,
    returned: Queue,
    queued: u32,
    backlog: f64,
    came_ns: u64,
    /// The interval in which the shortest wait is sought, and that wait.
    interval: (u64, u64),
    standing: bool,
    counters: TenantCounters,
}

impl Tenant {
    fn new(queues: usize) -> Self {
        Tenant {
            queues: vec![Queue::default(); queues],
            turns: StartTime::new(&vec![1.0; queues], DEBT_NS * DEBT_THREADS),
            returned: Queue::default(),
            queued: 0,
            backlog: 0.0,
            came_ns: 0,
            interval: (0, u64::MAX),
            standing: false,
            counters: TenantCounters::default(),
        }
    }

    /// Takes the wait of one that is shown, or of the oldest still there.
    fn waited(&mut self, now: u64, wait: u64, rate: f64, stale_ns: u64) {
        self.interval.1 = self.interval.1.min(wait);
        if now >= self.interval.0 + INTERVAL_NS {
            // Once it stands, the newest go first and wait little: only an empty queue tells that it is over. A few that
            // wait are no standing queue, nor is what the tenant's own part of the room serves before it is stale.
            let long = self.backlog > rate * stale_ns as f64;
            self.standing |= self.interval.1 > TARGET_NS && self.queued >= STANDING && long;
            self.interval = (now, u64::MAX);
        }
    }
}

/// The door of one router.
pub struct Door {
    settings: DoorSettings,
    identity: Identity,
    /// Longest advice (ns); none where the settings allow none.
    longest_ns: Option<u64>,
    bytes_most: usize,
    entries: Slab<Entry>,
    /// Numbers of requests and flows are the router's own or hashed with a key: nobody chooses them.
    by_id: FxHashMap<u64, usize>,
    tenants: Vec<Tenant>,
    turns: StartTime,
    classes: Vec<Class>,
    room: Room,
    timers: Wheel<usize>,
    calendar: Calendar,
    heavy: Heavy,
    halved_ns: u64,
    queued: usize,
    held_bytes: usize,
    /// Nothing that waits fits, and no room came free since that was found.
    blocked: bool,
    /// Refusals that were decided but not told yet.
    verdicts: VecDeque<Verdict>,
}

/// What a door is built for.
#[derive(Clone, Debug)]
pub struct Site {
    /// Weights by tenant; one more is added for requests of none.
    pub weights: Vec<f64>,
    /// Classes (count).
    pub classes: usize,
    /// Longest advice to clients (ns), where advice is allowed.
    pub longest_ns: Option<u64>,
    /// Bytes that queued requests may hold.
    pub bytes_most: usize,
    /// Seed of the clients' numbers.
    pub seed: u64,
}

fn blend(old: f64, new: f64, weight: f64) -> f64 {
    old + weight * (new - old)
}

/// The weights over their mean, and behind them that of requests of no tenant, which is the mean.
fn with_none(weights: &[f64]) -> Vec<f64> {
    let mean = weights.iter().sum::<f64>() / weights.len().max(1) as f64;
    weights.iter().map(|w| w / mean).chain([1.0]).collect()
}

impl Door {
    /// A door that knows nothing yet.
    pub fn new(now: u64, settings: DoorSettings, site: Site) -> Self {
        let fair = settings.order == Order::Fair;
        let weights = with_none(&site.weights);
        let queues = if fair { settings.queues } else { 1 };
        let calendar = Calendar::new(
            now,
            weights.len(),
            settings.promises,
            settings.window_ms.saturating_mul(1_000_000),
        );
        Door {
            identity: Identity::new(site.seed),
            longest_ns: site.longest_ns,
            bytes_most: site.bytes_most,
            entries: Slab::new(),
            by_id: FxHashMap::default(),
            tenants: weights.iter().map(|_| Tenant::new(queues)).collect(),
            turns: StartTime::new(&weights, DEBT_NS * DEBT_THREADS),
            classes: vec![Class { need: 0.0, held: 1.0 }; site.classes],
            room: Room::new(site.classes),
            timers: Wheel::new(now),
            calendar,
            heavy: Heavy::new(HEAVY),
            halved_ns: now,
            queued: 0,
            held_bytes: 0,
            blocked: false,
            verdicts: VecDeque::new(),
            settings,
        }
    }

    /// Takes new weights and the settings that can change while requests wait; none of them is lost or moved. Gives
    /// the names of settings that need a restart.
    pub fn reload(&mut self, settings: DoorSettings, weights: &[f64]) -> Vec<&'static str> {
        let now = &self.settings;
        let changed = [
            ("order", now.order != settings.order),
            ("client", now.client != settings.client),
            ("queues", now.queues != settings.queues),
            ("promises", now.promises != settings.promises),
            ("window_ms", now.window_ms != settings.window_ms),
        ];
        self.turns.reweigh(&with_none(weights));
        self.settings = DoorSettings {
            order: now.order,
            client: now.client.clone(),
            queues: now.queues,
            promises: now.promises,
            window_ms: now.window_ms,
            hand: settings.hand.min(now.queues),
            ..settings
        };
        changed.iter().filter(|(_, changed)| *changed).map(|(name, _)| *name).collect()
    }

    // ---- What there is -------------------------------------------------------------------------------

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Bytes that those hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Bytes that they may hold.
    pub fn bytes_most(&self) -> usize {
        self.bytes_most
    }

    /// Whether a request waits at the door: the module does not know it.
    pub fn waits(&self, id: u64) -> bool {
        let entry = self.by_id.get(&id).map(|key| &self.entries[*key]);
        entry.is_some_and(|e| !matches!(e.stand, Stand::Shown { .. }))
    }

    /// Counters by tenant; the last is for requests of none.
    pub fn counters(&self) -> impl Iterator<Item = &TenantCounters> {
        self.tenants.iter().map(|t| &t.counters)
    }

    /// The heaviest clients of late as tenant's number and client's share of all that was asked for.
    pub fn heaviest(&self) -> Vec<(u64, f64)> {
        let total = self.heavy.total().max(f64::MIN_POSITIVE);
        self.heavy.top().into_iter().take(8).map(|held| (held.who, held.least / total)).collect()
    }

    /// What the room was learned to be.
    pub fn room(&self) -> &Room {
        &self.room
    }

    /// Bytes taken from the heap for the door's own tables.
    pub fn bytes(&self) -> usize {
        let queues = |t: &Tenant| t.queues.capacity() * std::mem::size_of::<Queue>() + t.turns.bytes();
        self.entries.capacity() * (std::mem::size_of::<Entry>() + 8)
            + self.by_id.capacity() * 2 * 16
            + self.tenants.iter().map(queues).sum::<usize>()
            + self.turns.bytes()
            + self.room.bytes()
            + self.timers.bytes()
            + self.calendar.bytes()
            + self.heavy.bytes()
            + self.verdicts.capacity() * std::mem::size_of::<Verdict>()
    }

    /// Bytes that the tables of a door take at most, with so many requests shown; tables that double as they grow
    /// count twice.
    pub fn most_bytes(settings: &DoorSettings, tenants: usize, shown: usize) -> usize {
        let entry = std::mem::size_of::<Entry>() + 8 + 32 + Wheel::<usize>::entry_bytes();
        let queue = std::mem::size_of::<Queue>() + 96;
        let fixed = (tenants + 1) * settings.queues * queue + 256 * (tenants + 4) * 8 + (64 << 10);
        2 * (settings.queued + shown) * entry + 2 * settings.promises * Calendar::promise_bytes() + fixed
    }

    // ---- Coming and going -------------------------------------------------------------------------------

    /// The lane of a tenant: all share one where the order is that of arrival.
    fn lane(&self, tenant: usize) -> usize {
        if self.settings.order == Order::Fair {
            tenant.min(self.tenants.len() - 1)
        } else {
            0
        }
    }

    /// A request has come; [`Door::open`] tells what becomes of it, in the same round where there is room.
    pub fn arrive(&mut self, now: u64, mut arrival: Arrival) {
        arrival.tenant = arrival.tenant.min(self.tenants.len() - 1);
        let class = &mut self.classes[arrival.class];
        class.need =
            if class.need > 0.0 { blend(class.need, arrival.need_ns, LEARN) } else { arrival.need_ns };
        let kind = Kind::of(arrival.class, arrival.need_ns / class.need.max(1.0));
        let expected = (arrival.need_ns * class.held).max(1.0);
        let flow = self.identity.flow(arrival.tenant, arrival.client);
        if now >= self.halved_ns + HALVE_NS {
            self.halved_ns = now;
            self.heavy.halve();
        }
        self.heavy.add(flow, expected);
        let lane = self.lane(arrival.tenant);
        // What a queue's earlier requests held over what they said counts for this one, so that who says the truth
        // goes to the queues of those who do. Nothing is held for longer than its client waits.
        let longest = (arrival.expires_ns.saturating_sub(now) as f64 * arrival.threads).max(expected);
        let cost = |queue: &Queue| (expected * queue.truth).min(longest);
        let queues = &self.tenants[lane].queues;
        let behind = |at: &usize| queues[*at].backlog + cost(&queues[*at]);
        let dealt = hand(flow, queues.len(), self.settings.hand);
        let queue = dealt.min_by(|a, b| behind(a).total_cmp(&behind(b))).unwrap_or(0);
        let mut entry = Entry::new(arrival, flow, kind, expected, now);
        (entry.cost, entry.queue) = (cost(&queues[queue]), queue);
        // Guards against room that was set aside by a client's word alone: what is known of it by now counts.
        let claimed = self.calendar.claim(now, flow, expected).filter(|p| entry.cost <= p.cost * OUTGROWN);
        let own = &mut self.tenants[arrival.tenant];
        own.counters.came += 1;
        own.counters.claimed += u64::from(claimed.is_some());
        own.came_ns = now;
        let latest = latest_ns(now, &arrival);
        let stale = now + self.settings.stale_ms * 1_000_000;
        self.held_bytes += arrival.bytes;
        self.queued += 1;
        entry.promised = claimed.is_some();
        entry.stand = if entry.promised { Stand::Returned } else { Stand::Queued };
        let due = if entry.promised { latest } else { latest.min(stale) };
        let key = self.entries.insert(entry);
        self.entries[key].timer = Some(self.timers.insert(due, key));
        let tenant = &mut self.tenants[lane];
        if self.entries[key].promised {
            tenant.returned.push(&mut self.entries, key);
        } else {
            tenant.queues[queue].push(&mut self.entries, key);
            tenant.turns.activate(queue, 0.0);
        }
        tenant.queued += 1;
        tenant.backlog += self.entries[key].cost;
        self.turns.activate(lane, 0.0);
        self.by_id.insert(arrival.id, key);
        let e = &self.entries[key];
        self.blocked = self.blocked && !self.room.fits(now, e.kind, e.arrival.threads, Surety::Any);
        self.push_out(now);
    }

    /// Guards against a queue that grows: whoever has the most in it over its weight makes room.
    fn push_out(&mut self, now: u64) {
        while self.queued > self.settings.queued || self.held_bytes > self.bytes_most {
            let over = |lane: &usize| self.tenants[*lane].backlog / self.turns.weight(*lane);
            let queued = (0..self.tenants.len()).filter(|lane| self.tenants[*lane].queued > 0);
            let Some(lane) = queued.max_by(|a, b| over(a).total_cmp(&over(b))) else { return };
            let tenant = &self.tenants[lane];
            let longest = tenant.queues.iter().max_by(|a, b| a.backlog.total_cmp(&b.backlog));
            // The one that would be shown last; those who came back as told only where nobody else waits.
            let last = |q: &Queue| if tenant.standing { q.oldest() } else { q.newest() };
            let Some(key) = longest.and_then(last).or(tenant.returned.newest()) else { return };
            self.tenants[self.entries[key].arrival.tenant].counters.pushed_out += 1;
            self.refuse(now, key);
        }
    }

    /// Takes an entry out of its queue.
    fn unqueue(&mut self, key: usize) {
        let entry = &mut self.entries[key];
        let (stand, queue, cost, bytes) = (entry.stand, entry.queue, entry.cost, entry.arrival.bytes);
        let timer = entry.timer.take();
        let lane = self.lane(self.entries[key].arrival.tenant);
        if let Some(timer) = timer {
            self.timers.remove(timer);
        }
        let tenant = &mut self.tenants[lane];
        match stand {
            Stand::Queued => {
                tenant.queues[queue].remove(&mut self.entries, key);
                if tenant.queues[queue].count == 0 {
                    tenant.turns.deactivate(queue);
                }
            }
            Stand::Returned => tenant.returned.remove(&mut self.entries, key),
            Stand::Shown { .. } => return,
        }
        tenant.queued -= 1;
        tenant.backlog = if tenant.queued == 0 { 0.0 } else { (tenant.backlog - cost).max(0.0) };
        if tenant.queued == 0 {
            (tenant.standing, tenant.interval) = (false, (0, u64::MAX));
            self.turns.deactivate(lane);
        }
        self.queued -= 1;
        self.held_bytes -= bytes;
    }

    fn refuse(&mut self, now: u64, key: usize) {
        self.unqueue(key);
        let entry = self.forget(key);
        let advice = self.advise(now, &entry);
        if entry.promised {
            self.tenants[entry.arrival.tenant].counters.broken += 1;
        }
        self.verdicts.push_back(Verdict::Refuse(entry.arrival.id, advice));
    }

    fn forget(&mut self, key: usize) -> Entry {
        self.blocked = false;
        let entry = self.entries.remove(key);
        self.by_id.remove(&entry.arrival.id);
        entry
    }

    /// A tenant's part of the room, among those seen of late.
    fn share(&self, now: u64, tenant: usize) -> f64 {
        let active = |t: &usize| self.tenants[*t].came_ns + ACTIVE_NS >= now;
        let weights = (0..self.tenants.len()).filter(active).map(|t| self.turns.weight(t));
        self.turns.weight(tenant) / weights.sum::<f64>().max(1e-9)
    }

    /// Threads of the room that are a lane's while all want more than there is.
    fn rate(&self, lane: usize) -> f64 {
        let queued = (0..self.tenants.len()).filter(|t| self.tenants[*t].queued > 0 || *t == lane);
        let weights: f64 = queued.map(|t| self.turns.weight(t)).sum();
        self.room.served() * self.turns.weight(lane) / weights.max(1e-9)
    }

    /// When a refused request's client should come back, with room set aside for it where there is some.
    fn advise(&mut self, now: u64, entry: &Entry) -> Advice {
        let tenant = entry.arrival.tenant;
        let Some(longest_ns) = self.longest_ns.filter(|_| self.settings.order == Order::Fair) else {
            return Advice { after_ns: self.longest_ns.unwrap_or(SOONEST_NS), promised: false };
        };
        let likely = self.room.limit(entry.kind) >= self.room.greatest() * PROMISED_KINDS;
        let share = self.share(now, tenant);
        let threads = self.room.served();
        let at = likely
            .then(|| {
                let (flow, cost) = (entry.flow, entry.cost);
                let promise = Promise { flow, tenant, at_ns: 0, cost, said: entry.said };
                self.calendar.promise(now, promise, threads, share.min(1.0), [SOONEST_NS, longest_ns])
            })
            .flatten();
        let counters = &mut self.tenants[tenant].counters;
        match at {
            Some(at) => {
                counters.promised += 1;
                Advice { after_ns: at.saturating_sub(now), promised: true }
            }
            None => {
                counters.unpromised += 1;
                Advice { after_ns: longest_ns, promised: false }
            }
        }
    }

    /// The client of a request waits no longer. True where the request stood at the door: the module never saw it.
    pub fn leave(&mut self, now: u64, id: u64) -> bool {
        let Some(&key) = self.by_id.get(&id) else { return false };
        if matches!(self.entries[key].stand, Stand::Shown { .. }) {
            self.over(now, id, None);
            return false;
        }
        self.unqueue(key);
        let entry = self.forget(key);
        self.tenants[entry.arrival.tenant].counters.left += 1;
        true
    }

    // ---- Whose turn it is -------------------------------------------------------------------------------

    /// When [`Door::open`] has something to do at the latest, if nothing else happens.
    pub fn next_due_ns(&self) -> Option<u64> {
        let due = [self.timers.next_due_ns(), self.calendar.next_due_ns()];
        due.into_iter().flatten().min()
    }

    /// What is to be done next; to be called until there is nothing more.
    pub fn open(&mut self, now: u64) -> Option<Verdict> {
        while let Some(Promise { tenant, .. }) = self.calendar.expire(now) {
            self.tenants[tenant].counters.expired += 1;
        }
        while let Some(key) = self.timers.expire(now) {
            self.entries[key].timer = None;
            self.time_out(now, key);
        }
        if let Some(verdict) = self.verdicts.pop_front() {
            return Some(verdict);
        }
        if self.blocked {
            self.room.wait(now);
            return None;
        }
        let next = self.next(now);
        self.blocked = next.is_none() && self.queued > 0;
        next.map(|key| self.show(now, key))
    }

    /// Takes the wait of one of a lane's.
    fn waited(&mut self, now: u64, lane: usize, wait: u64) {
        let (rate, stale_ns) = (self.rate(lane), self.settings.stale_ms * 1_000_000);
        self.tenants[lane].waited(now, wait, rate, stale_ns);
    }

    /// A queued request's time is over, or it has become stale.
    fn time_out(&mut self, now: u64, key: usize) {
        let entry = &self.entries[key];
        let latest = latest_ns(entry.came_ns, &entry.arrival);
        let lane = self.lane(entry.arrival.tenant);
        // The wheel's ticks are coarser than times: what is due within its tick is due now.
        if latest.saturating_sub(now) > 2_000_000 {
            let wait = now.saturating_sub(entry.came_ns);
            self.waited(now, lane, wait);
            if !self.tenants[lane].standing || self.settings.order == Order::Fifo {
                self.entries[key].timer = Some(self.timers.insert(latest, key));
                return;
            }
            self.tenants[self.entries[key].arrival.tenant].counters.stale += 1;
        } else {
            self.tenants[self.entries[key].arrival.tenant].counters.hopeless += 1;
        }
        self.refuse(now, key);
    }

    /// The entry that is shown next: those who came back as told first, then by turns, passing over what does not
    /// fit yet.
    fn next(&mut self, now: u64) -> Option<usize> {
        let mut returned = false;
        for lane in self.turns.in_order() {
            let Some(key) = self.tenants[lane].returned.oldest() else { continue };
            let e = &self.entries[key];
            if self.room.fits(now, e.kind, e.arrival.threads, Surety::Promised) {
                return Some(key);
            }
            returned = true;
        }
        if returned {
            // Whoever was promised room is next: nobody else takes it meanwhile.
            return None;
        }
        let passing = PASSING_NS * self.room.served().max(1.0);
        let past = |turns: &StartTime, first: &mut f64, flow: usize| {
            *first = first.min(turns.tag(flow));
            turns.tag(flow) > *first + passing / turns.weight(flow)
        };
        let mut first_lane = f64::INFINITY;
        for lane in self.turns.in_order() {
            if past(&self.turns, &mut first_lane, lane) {
                return None;
            }
            let tenant = &self.tenants[lane];
            // Who wants no more than its part has no share in finding out where the limit is.
            let sure = !tenant.standing && self.settings.order == Order::Fair;
            let surety = if sure { Surety::Clear } else { Surety::Any };
            let mut first_queue = f64::INFINITY;
            let standing = tenant.standing && self.settings.order == Order::Fair;
            for queue in tenant.turns.in_order().take(LOOK) {
                if past(&tenant.turns, &mut first_queue, queue) {
                    break;
                }
                let queue = &tenant.queues[queue];
                let Some(key) = (if standing { self.best(queue) } else { queue.oldest() }) else { continue };
                let e = &self.entries[key];
                if self.room.fits(now, e.kind, e.arrival.threads, surety) {
                    return Some(key);
                }
            }
        }
        None
    }

    /// Behind a queue that does not empty: of its newest few, which can still be met in time, the one with the most
    /// worth for what it holds. Not all can be served, and the heavy are worth no more than the light of their class.
    fn best(&self, queue: &Queue) -> Option<usize> {
        let worth = |key: &usize| self.entries[*key].arrival.worth / self.entries[*key].cost.max(1.0);
        queue.from_newest(&self.entries).take(NEWEST).min_by(|a, b| worth(b).total_cmp(&worth(a)))
    }

    fn show(&mut self, now: u64, key: usize) -> Verdict {
        let stand = self.entries[key].stand;
        let e = &self.entries[key];
        let (own, cost, threads, wait) =
            (e.arrival.tenant, e.cost, e.arrival.threads, now.saturating_sub(e.came_ns));
        let lane = self.lane(own);
        let queue = e.queue;
        self.turns.charge(lane, cost, 0.0);
        self.tenants[lane].turns.charge(queue, cost, 0.0);
        if stand == Stand::Queued {
            self.waited(now, lane, wait);
        }
        self.unqueue(key);
        self.room.take(threads);
        self.entries[key].stand = Stand::Shown { at_ns: now, charged: cost };
        let counters = &mut self.tenants[own].counters;
        counters.shown += 1;
        if wait > 0 {
            counters.waited += 1;
            counters.waited_ns += wait;
            counters.longest_ns = counters.longest_ns.max(wait);
        }
        Verdict::Show(self.entries[key].arrival.id)
    }

    // ---- What the module says -------------------------------------------------------------------------------

    /// The module took a shown request.
    pub fn accepted(&mut self, now: u64, id: u64) {
        let Some(e) = self.by_id.get(&id).map(|key| &self.entries[*key]) else { return };
        let waited = self.queued > 0;
        self.blocked = false;
        self.room.taken(now, e.kind, e.arrival.threads, waited);
    }

    /// The module refused a shown request: gives when its client should come back. Where it was sent before, it
    /// was refused for another reason than want of room.
    pub fn refused(&mut self, now: u64, id: u64, sent: bool) -> Option<Advice> {
        let key = *self.by_id.get(&id)?;
        if sent {
            let entry = self.entries[key].clone();
            self.over(now, id, Some(false));
            return Some(self.advise(now, &entry));
        }
        let entry = self.forget(key);
        let Stand::Shown { charged, .. } = entry.stand else { return None };
        self.room.refused(now, entry.kind, entry.arrival.threads);
        self.recharge(&entry, -charged);
        let counters = &mut self.tenants[entry.arrival.tenant].counters;
        counters.turned_down += 1;
        counters.broken += u64::from(entry.promised);
        Some(self.advise(now, &entry))
    }

    /// A shown request is over: served or not, or, where nothing is given, of no interest to anybody any more. What
    /// it held corrects what its flow was charged.
    pub fn over(&mut self, now: u64, id: u64, served: Option<bool>) {
        let Some(&key) = self.by_id.get(&id) else { return };
        let Stand::Shown { at_ns, charged } = self.entries[key].stand else { return };
        let entry = self.forget(key);
        let threads = entry.arrival.threads;
        self.room.over(threads);
        let held = now.saturating_sub(at_ns) as f64 * threads;
        self.recharge(&entry, held - charged);
        let class = &mut self.classes[entry.arrival.class];
        if served == Some(true) {
            // The median, found by steps: guards against a figure that is made by few who say next to nothing.
            let longer = held > entry.arrival.need_ns * class.held;
            let step = if longer { MEDIAN_STEP } else { 1.0 / MEDIAN_STEP };
            class.held = (class.held * step).clamp(HELD[0], HELD[1]);
        }
        let expected = (entry.arrival.need_ns * class.held).max(1.0);
        let lane = self.lane(entry.arrival.tenant);
        if let Some(queue) = self.tenants[lane].queues.get_mut(entry.queue) {
            let truth = (held / expected).clamp(TRUTH[0], TRUTH[1]);
            queue.truth = blend(queue.truth, truth, 4.0 * LEARN).clamp(TRUTH[0], TRUTH[1]);
        }
        self.heavy.add(entry.flow, (held - entry.cost).max(0.0));
        if let (true, Some(served)) = (entry.promised, served) {
            let counters = &mut self.tenants[entry.arrival.tenant].counters;
            counters.kept += u64::from(served);
            counters.broken += u64::from(!served);
        }
    }

    fn recharge(&mut self, entry: &Entry, delta: f64) {
        let lane = self.lane(entry.arrival.tenant);
        self.turns.correct(lane, delta);
        self.tenants[lane].turns.correct(entry.queue, delta);
    }
}

/// The last moment at which a request can still begin: alone on its threads it would just be in time, for when its
/// answer is wanted, or where that can't be met from the start, for when its client gives up.
fn latest_ns(came_ns: u64, arrival: &Arrival) -> u64 {
    let alone = (arrival.need_ns / arrival.threads.max(1.0)) as u64;
    let wanted = arrival.wanted_ns.saturating_sub(alone);
    let last = arrival.expires_ns.saturating_sub(alone);
    if wanted > came_ns {
        wanted.min(last)
    } else {
        last.max(came_ns)
    }
}
