//! Fair queues ahead of the decision module, and retry-after advice for refused clients.
//!
//! The decision module admits, sends and refuses requests. The fair queue precedes it: it
//! estimates the module's concurrency limit from its refusals ([`concurrency_limit`]), adds no
//! wait below that limit, and otherwise shares the capacity by weight among tenants and equally
//! among the clients of a tenant ([`fair`]). Memory is bounded for any number of clients
//! ([`queues`], [`sketch`]). Requests that can no longer finish in time are refused at that moment
//! ([`wheel`]), and refused clients may get a reservation for a later time ([`calendar`]).
//!
//! Time is passed in; nothing here does I/O.

#![forbid(unsafe_code)]

pub mod calendar;
pub mod concurrency_limit;
pub mod counters;
pub mod fair;
pub mod queues;
pub mod settings;
pub mod sketch;
pub mod wheel;

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use slab::Slab;

use calendar::{Reservation, ReservationCalendar};
use concurrency_limit::{AdmissionConfidence, ConcurrencyLimit, RequestKind};
use counters::TenantCounters;
use fair::{Discipline, StartTimeFairQueue};
use queues::{Entry, EntryState, Queue};
use settings::{shuffle_shard, ClientHasher, FairQueueConfig, Order};
use sketch::HeavyHitters;
use wheel::TimingWheel;

/// Maximum charge that a flow carries for past service, at its share of the capacity (ns). Bounds
/// the penalty for underestimated costs.
const MAX_DEBT_NS: f64 = 5_000_000_000.0;
/// Capacity for which that is converted to thread time, for a weight of 1 (threads).
const MAX_DEBT_THREADS: f64 = 32.0;
/// Maximum number of a tenant's queues that are searched for a request that fits.
const MAX_QUEUES_SCANNED: usize = 8;
/// Maximum number of a queue's newest entries that are compared by value.
const MAX_NEWEST_SCANNED: usize = 8;
/// How far virtual time may pass a flow whose first request does not fit (ns of the capacity, for
/// a weight of 1). After that all flows wait for it. Otherwise a kind with a low limit could
/// starve behind others that fill the capacity.
const BYPASS_ALLOWANCE_NS: f64 = 60_000_000.0;
/// A queue is standing if its shortest wait in an interval exceeds the target (ns), as in CoDel
/// (Nichols and Jacobson, 2012).
const CODEL_TARGET_NS: u64 = 30_000_000;
const CODEL_INTERVAL_NS: u64 = 100_000_000;
/// Minimum number of a tenant's queued requests in a standing queue.
const MIN_STANDING_REQUESTS: u32 = 8;
/// Weight of a sample in the moving averages of classes and queues.
const AVERAGING_WEIGHT: f64 = 0.05;
/// A reservation is not honoured for a request that costs more than this multiple of it.
const MAX_COST_GROWTH: f64 = 4.0;
/// Relative step by which the median thread time of a class follows its samples, and bounds of
/// that median over the estimated need.
const MEDIAN_STEP: f64 = 1.02;
const USAGE_RATIO_BOUNDS: [f64; 2] = [0.1, 8.0];
/// Bounds of a queue's measured thread time over the expected one.
const COST_RATIO_BOUNDS: [f64; 2] = [0.25, 10_000.0];
/// A tenant counts as active for this time after its last request (ns).
const TENANT_ACTIVE_NS: u64 = 5_000_000_000;
/// Capacity of the heavy-hitter sketch, and the interval at which its weights are halved (ns).
const HEAVY_HITTERS_CAPACITY: usize = 64;
const HEAVY_HITTERS_HALVING_NS: u64 = 10_000_000_000;
/// Shortest retry-after delay (ns).
const MIN_RETRY_AFTER_NS: u64 = 100_000_000;
/// No reservation is made for a kind whose limit is below this share of the highest one: the
/// module refuses such heavy requests first.
const MIN_RESERVABLE_LIMIT_RATIO: f64 = 0.75;

/// A request that enters the fair queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Unique number.
    pub id: u64,
    /// Index of the tenant; out of range for none.
    pub tenant: usize,
    /// Hash of the client, by [`ClientHasher`].
    pub client: u64,
    /// Index of the class.
    pub class: usize,
    /// Threads in use while it runs.
    pub threads: f64,
    /// Estimated work (core-nanoseconds).
    pub need_ns: f64,
    /// Value of an answer in time, on one scale for all requests.
    pub worth: f64,
    /// When the answer should be complete (ns).
    pub target_end_ns: u64,
    /// When the client gives up (ns).
    pub expires_ns: u64,
    /// Memory held while it waits (bytes).
    pub bytes: usize,
}

/// Retry-after advice for a refused client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter {
    /// Delay from now (ns).
    pub after_ns: u64,
    /// Whether capacity is reserved for then.
    pub reserved: bool,
}

/// Action for a request, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueAction {
    /// Submit it to the decision module; [`FairQueue::accepted`] or [`FairQueue::refused`] must
    /// follow.
    Submit(u64),
    /// Refuse it.
    Refuse(u64, RetryAfter),
}

/// Statistics of a class.
#[derive(Clone, Copy, Debug)]
struct Class {
    /// Moving average of the estimated need (core-nanoseconds).
    mean_need_ns: f64,
    /// Median of the thread time over the estimated need.
    usage_ratio: f64,
}

struct Tenant {
    queues: Vec<Queue>,
    scheduler: StartTimeFairQueue,
    reserved_queue: Queue,
    queued: u32,
    backlog: f64,
    last_arrival_ns: u64,
    /// Start of the current CoDel interval, and the shortest wait in it (ns).
    codel_interval: (u64, u64),
    standing: bool,
    counters: TenantCounters,
}

impl Tenant {
    fn new(queues: usize) -> Self {
        Tenant {
            queues: vec![Queue::default(); queues],
            scheduler: StartTimeFairQueue::new(&vec![1.0; queues], MAX_DEBT_NS * MAX_DEBT_THREADS),
            reserved_queue: Queue::default(),
            queued: 0,
            backlog: 0.0,
            last_arrival_ns: 0,
            codel_interval: (0, u64::MAX),
            standing: false,
            counters: TenantCounters::default(),
        }
    }

    /// Records the wait of a submitted request, or of the oldest one.
    fn record_wait(&mut self, now: u64, wait: u64, capacity_threads: f64, stale_ns: u64) {
        self.codel_interval.1 = self.codel_interval.1.min(wait);
        if now >= self.codel_interval.0 + CODEL_INTERVAL_NS {
            // In a standing queue the newest are served first and wait little, so only an empty
            // queue ends the state. A few requests, or a backlog that the tenant's share serves
            // before it is stale, do not count as a standing queue.
            let exceeds_stale = self.backlog > capacity_threads * stale_ns as f64;
            self.standing |= self.codel_interval.1 > CODEL_TARGET_NS
                && self.queued >= MIN_STANDING_REQUESTS
                && exceeds_stale;
            self.codel_interval = (now, u64::MAX);
        }
    }
}

/// The fair queue of one router.
pub struct FairQueue {
    settings: FairQueueConfig,
    client_hasher: ClientHasher,
    /// Longest retry-after delay (ns); none if the module gives no delays.
    max_retry_after_ns: Option<u64>,
    max_queued_bytes: usize,
    entries: Slab<Entry>,
    /// Keys are assigned by the router or hashed with a secret, so clients cannot force
    /// collisions.
    by_id: FxHashMap<u64, usize>,
    tenants: Vec<Tenant>,
    scheduler: StartTimeFairQueue,
    classes: Vec<Class>,
    concurrency_limit: ConcurrencyLimit,
    timers: TimingWheel<usize>,
    calendar: ReservationCalendar,
    heavy_hitters: HeavyHitters,
    halved_ns: u64,
    queued: usize,
    queued_bytes: usize,
    /// Nothing queued fits, and no capacity was freed since that was determined.
    blocked: bool,
    /// Refusals that [`FairQueue::next_action`] has not returned yet.
    pending_actions: VecDeque<QueueAction>,
}

/// Parameters of a fair queue that come from the router.
#[derive(Clone, Debug)]
pub struct FairQueueParams {
    /// Weights by tenant; requests without a tenant get the mean weight.
    pub weights: Vec<f64>,
    /// Number of classes.
    pub classes: usize,
    /// Longest retry-after delay (ns); none if the module gives no delays.
    pub max_retry_after_ns: Option<u64>,
    /// Maximum memory of queued requests (bytes).
    pub max_queued_bytes: usize,
    /// Secret seed of the client hashes.
    pub seed: u64,
}

fn moving_average(old: f64, new: f64, weight: f64) -> f64 {
    old + weight * (new - old)
}

/// Returns the weights over their mean, followed by 1 for requests without a tenant.
fn normalize_weights(weights: &[f64]) -> Vec<f64> {
    let mean = weights.iter().sum::<f64>() / weights.len().max(1) as f64;
    weights.iter().map(|w| w / mean).chain([1.0]).collect()
}

impl FairQueue {
    /// Creates an empty fair queue.
    pub fn new(now: u64, settings: FairQueueConfig, params: FairQueueParams) -> Self {
        let fair = settings.order == Order::Fair;
        let weights = normalize_weights(&params.weights);
        let queues = if fair { settings.queues } else { 1 };
        let calendar = ReservationCalendar::new(
            now,
            weights.len(),
            settings.max_reservations,
            settings.reservation_window_ms.saturating_mul(1_000_000),
        );
        FairQueue {
            client_hasher: ClientHasher::new(params.seed),
            max_retry_after_ns: params.max_retry_after_ns,
            max_queued_bytes: params.max_queued_bytes,
            entries: Slab::new(),
            by_id: FxHashMap::default(),
            tenants: weights.iter().map(|_| Tenant::new(queues)).collect(),
            scheduler: StartTimeFairQueue::new(&weights, MAX_DEBT_NS * MAX_DEBT_THREADS),
            classes: vec![Class { mean_need_ns: 0.0, usage_ratio: 1.0 }; params.classes],
            concurrency_limit: ConcurrencyLimit::new(params.classes),
            timers: TimingWheel::new(now),
            calendar,
            heavy_hitters: HeavyHitters::new(HEAVY_HITTERS_CAPACITY),
            halved_ns: now,
            queued: 0,
            queued_bytes: 0,
            blocked: false,
            pending_actions: VecDeque::new(),
            settings,
        }
    }

    /// Applies new weights and those settings that can change at run time; queued requests stay.
    /// Returns the names of changed settings that need a restart.
    pub fn reload(&mut self, settings: FairQueueConfig, weights: &[f64]) -> Vec<&'static str> {
        let current = &self.settings;
        let changed = [
            ("order", current.order != settings.order),
            ("client", current.client != settings.client),
            ("queues", current.queues != settings.queues),
            ("promises", current.max_reservations != settings.max_reservations),
            ("window_ms", current.reservation_window_ms != settings.reservation_window_ms),
        ];
        self.scheduler.set_weights(&normalize_weights(weights));
        self.settings = FairQueueConfig {
            order: current.order,
            client: current.client.clone(),
            queues: current.queues,
            max_reservations: current.max_reservations,
            reservation_window_ms: current.reservation_window_ms,
            hand_size: settings.hand_size.min(current.queues),
            ..settings
        };
        changed.iter().filter(|(_, changed)| *changed).map(|(name, _)| *name).collect()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Memory of queued requests (bytes).
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Maximum memory of queued requests (bytes).
    pub fn max_queued_bytes(&self) -> usize {
        self.max_queued_bytes
    }

    /// Whether a request is queued, and so unknown to the decision module.
    pub fn waits(&self, id: u64) -> bool {
        let entry = self.by_id.get(&id).map(|key| &self.entries[*key]);
        entry.is_some_and(|e| !matches!(e.state, EntryState::Submitted { .. }))
    }

    /// Counters by tenant; the last are for requests without a tenant.
    pub fn counters(&self) -> impl Iterator<Item = &TenantCounters> {
        self.tenants.iter().map(|t| &t.counters)
    }

    /// The heaviest recent clients: hash of tenant and client, and its share of the requested
    /// thread time.
    pub fn heaviest(&self) -> Vec<(u64, f64)> {
        let total = self.heavy_hitters.total().max(f64::MIN_POSITIVE);
        self.heavy_hitters
            .top()
            .into_iter()
            .take(8)
            .map(|estimate| (estimate.key, estimate.lower_bound / total))
            .collect()
    }

    /// Usage and the learned limits.
    pub fn concurrency_limit(&self) -> &ConcurrencyLimit {
        &self.concurrency_limit
    }

    /// Heap memory of the fair queue's tables (bytes).
    pub fn bytes(&self) -> usize {
        let queues = |t: &Tenant| t.queues.capacity() * std::mem::size_of::<Queue>() + t.scheduler.bytes();
        self.entries.capacity() * (std::mem::size_of::<Entry>() + 8)
            + self.by_id.capacity() * 2 * 16
            + self.tenants.iter().map(queues).sum::<usize>()
            + self.scheduler.bytes()
            + self.concurrency_limit.bytes()
            + self.timers.bytes()
            + self.calendar.bytes()
            + self.heavy_hitters.bytes()
            + self.pending_actions.capacity() * std::mem::size_of::<QueueAction>()
    }

    /// Upper bound of the tables' memory (bytes) with this many submitted requests. Tables that
    /// double as they grow count twice.
    pub fn max_bytes(settings: &FairQueueConfig, tenants: usize, submitted: usize) -> usize {
        let entry = std::mem::size_of::<Entry>() + 8 + 32 + TimingWheel::<usize>::entry_bytes();
        let queue = std::mem::size_of::<Queue>() + 96;
        let fixed = (tenants + 1) * settings.queues * queue + 256 * (tenants + 4) * 8 + (64 << 10);
        2 * (settings.queued + submitted) * entry
            + 2 * settings.max_reservations * ReservationCalendar::reservation_bytes()
            + fixed
    }

    /// Lane of a tenant. With FIFO order all tenants share one.
    fn lane(&self, tenant: usize) -> usize {
        if self.settings.order == Order::Fair {
            tenant.min(self.tenants.len() - 1)
        } else {
            0
        }
    }

    /// Queues a request. [`FairQueue::next_action`] submits it at once if it fits.
    pub fn enqueue(&mut self, now: u64, mut arrival: Arrival) {
        arrival.tenant = arrival.tenant.min(self.tenants.len() - 1);
        let class = &mut self.classes[arrival.class];
        class.mean_need_ns = if class.mean_need_ns > 0.0 {
            moving_average(class.mean_need_ns, arrival.need_ns, AVERAGING_WEIGHT)
        } else {
            arrival.need_ns
        };
        let kind = RequestKind::of(arrival.class, arrival.need_ns / class.mean_need_ns.max(1.0));
        let expected = (arrival.need_ns * class.usage_ratio).max(1.0);
        let flow = self.client_hasher.flow(arrival.tenant, arrival.client);
        if now >= self.halved_ns + HEAVY_HITTERS_HALVING_NS {
            self.halved_ns = now;
            self.heavy_hitters.halve();
        }
        self.heavy_hitters.add(flow, expected);
        let lane = self.lane(arrival.tenant);
        // Corrects the expected cost by the queue's history, which steers clients with accurate
        // estimates to queues of their like. No request runs longer than its client waits.
        let max_thread_ns = (arrival.expires_ns.saturating_sub(now) as f64 * arrival.threads).max(expected);
        let cost = |queue: &Queue| (expected * queue.cost_ratio).min(max_thread_ns);
        let queues = &self.tenants[lane].queues;
        let backlog_with = |at: &usize| queues[*at].backlog + cost(&queues[*at]);
        let shard = shuffle_shard(flow, queues.len(), self.settings.hand_size);
        let queue = shard.min_by(|a, b| backlog_with(a).total_cmp(&backlog_with(b))).unwrap_or(0);
        let mut entry = Entry::new(arrival, flow, kind, expected, now);
        (entry.cost, entry.queue) = (cost(&queues[queue]), queue);
        // A reservation whose cost was underestimated by far is not honoured.
        let reservation =
            self.calendar.claim(now, flow, expected).filter(|r| entry.cost <= r.cost * MAX_COST_GROWTH);
        let own_tenant = &mut self.tenants[arrival.tenant];
        own_tenant.counters.arrivals += 1;
        own_tenant.counters.claims += u64::from(reservation.is_some());
        own_tenant.last_arrival_ns = now;
        let latest_start = latest_start_ns(now, &arrival);
        let stale = now + self.settings.stale_ms * 1_000_000;
        self.queued_bytes += arrival.bytes;
        self.queued += 1;
        entry.reserved = reservation.is_some();
        entry.state = if entry.reserved { EntryState::Reserved } else { EntryState::Queued };
        let due = if entry.reserved { latest_start } else { latest_start.min(stale) };
        let key = self.entries.insert(entry);
        self.entries[key].timer = Some(self.timers.insert(due, key));
        let tenant = &mut self.tenants[lane];
        if self.entries[key].reserved {
            tenant.reserved_queue.push(&mut self.entries, key);
        } else {
            tenant.queues[queue].push(&mut self.entries, key);
            tenant.scheduler.activate(queue, 0.0);
        }
        tenant.queued += 1;
        tenant.backlog += self.entries[key].cost;
        self.scheduler.activate(lane, 0.0);
        self.by_id.insert(arrival.id, key);
        let e = &self.entries[key];
        self.blocked = self.blocked
            && !self.concurrency_limit.fits(now, e.kind, e.arrival.threads, AdmissionConfidence::AtLimit);
        self.evict_excess(now);
    }

    /// Evicts requests while the queue exceeds its bounds, from the lane with the largest backlog
    /// over its weight.
    fn evict_excess(&mut self, now: u64) {
        while self.queued > self.settings.queued || self.queued_bytes > self.max_queued_bytes {
            let excess = |lane: &usize| self.tenants[*lane].backlog / self.scheduler.weight(*lane);
            let queued = (0..self.tenants.len()).filter(|lane| self.tenants[*lane].queued > 0);
            let Some(lane) = queued.max_by(|a, b| excess(a).total_cmp(&excess(b))) else { return };
            let tenant = &self.tenants[lane];
            let longest_queue = tenant.queues.iter().max_by(|a, b| a.backlog.total_cmp(&b.backlog));
            // Evicts the request that would be submitted last. Requests with a reservation are
            // evicted only if nothing else is left.
            let last = |q: &Queue| if tenant.standing { q.oldest() } else { q.newest() };
            let Some(key) = longest_queue.and_then(last).or(tenant.reserved_queue.newest()) else { return };
            self.tenants[self.entries[key].arrival.tenant].counters.evicted += 1;
            self.refuse(now, key);
        }
    }

    /// Removes an entry from its queue.
    fn remove_from_queue(&mut self, key: usize) {
        let entry = &mut self.entries[key];
        let (state, queue, cost, bytes) = (entry.state, entry.queue, entry.cost, entry.arrival.bytes);
        let timer = entry.timer.take();
        let lane = self.lane(self.entries[key].arrival.tenant);
        if let Some(timer) = timer {
            self.timers.remove(timer);
        }
        let tenant = &mut self.tenants[lane];
        match state {
            EntryState::Queued => {
                tenant.queues[queue].remove(&mut self.entries, key);
                if tenant.queues[queue].count == 0 {
                    tenant.scheduler.deactivate(queue);
                }
            }
            EntryState::Reserved => tenant.reserved_queue.remove(&mut self.entries, key),
            EntryState::Submitted { .. } => return,
        }
        tenant.queued -= 1;
        tenant.backlog = if tenant.queued == 0 { 0.0 } else { (tenant.backlog - cost).max(0.0) };
        if tenant.queued == 0 {
            (tenant.standing, tenant.codel_interval) = (false, (0, u64::MAX));
            self.scheduler.deactivate(lane);
        }
        self.queued -= 1;
        self.queued_bytes -= bytes;
    }

    fn refuse(&mut self, now: u64, key: usize) {
        self.remove_from_queue(key);
        let entry = self.remove_entry(key);
        let retry_after = self.schedule_retry(now, &entry);
        if entry.reserved {
            self.tenants[entry.arrival.tenant].counters.claims_failed += 1;
        }
        self.pending_actions.push_back(QueueAction::Refuse(entry.arrival.id, retry_after));
    }

    fn remove_entry(&mut self, key: usize) -> Entry {
        self.blocked = false;
        let entry = self.entries.remove(key);
        self.by_id.remove(&entry.arrival.id);
        entry
    }

    /// Share of a tenant in the capacity, by weight among the recently active tenants.
    fn tenant_share(&self, now: u64, tenant: usize) -> f64 {
        let active = |t: &usize| self.tenants[*t].last_arrival_ns + TENANT_ACTIVE_NS >= now;
        let weights = (0..self.tenants.len()).filter(active).map(|t| self.scheduler.weight(t));
        self.scheduler.weight(tenant) / weights.sum::<f64>().max(1e-9)
    }

    /// Capacity that a lane gets while all queued lanes compete (threads).
    fn lane_capacity(&self, lane: usize) -> f64 {
        let queued = (0..self.tenants.len()).filter(|t| self.tenants[*t].queued > 0 || *t == lane);
        let weights: f64 = queued.map(|t| self.scheduler.weight(t)).sum();
        self.concurrency_limit.estimated_capacity() * self.scheduler.weight(lane) / weights.max(1e-9)
    }

    /// Returns retry-after advice, with a reservation if there is capacity for one.
    fn schedule_retry(&mut self, now: u64, entry: &Entry) -> RetryAfter {
        let tenant = entry.arrival.tenant;
        let Some(max_retry_after_ns) = self.max_retry_after_ns.filter(|_| self.settings.order == Order::Fair)
        else {
            return RetryAfter {
                after_ns: self.max_retry_after_ns.unwrap_or(MIN_RETRY_AFTER_NS),
                reserved: false,
            };
        };
        let reservable = self.concurrency_limit.limit(entry.kind)
            >= self.concurrency_limit.max_limit() * MIN_RESERVABLE_LIMIT_RATIO;
        let share = self.tenant_share(now, tenant);
        let threads = self.concurrency_limit.estimated_capacity();
        let at = reservable
            .then(|| {
                let (flow, cost) = (entry.flow, entry.cost);
                let reservation =
                    Reservation { flow, tenant, at_ns: 0, cost, estimated_cost: entry.estimated_cost };
                self.calendar.reserve(
                    now,
                    reservation,
                    threads,
                    share.min(1.0),
                    [MIN_RETRY_AFTER_NS, max_retry_after_ns],
                )
            })
            .flatten();
        let counters = &mut self.tenants[tenant].counters;
        match at {
            Some(at) => {
                counters.reservations += 1;
                RetryAfter { after_ns: at.saturating_sub(now), reserved: true }
            }
            None => {
                counters.unreserved += 1;
                RetryAfter { after_ns: max_retry_after_ns, reserved: false }
            }
        }
    }

    /// Removes a request whose client left. Returns true if it was queued, so that the decision
    /// module does not know it.
    pub fn cancel(&mut self, now: u64, id: u64) -> bool {
        let Some(&key) = self.by_id.get(&id) else { return false };
        if matches!(self.entries[key].state, EntryState::Submitted { .. }) {
            self.finished(now, id, None);
            return false;
        }
        self.remove_from_queue(key);
        let entry = self.remove_entry(key);
        self.tenants[entry.arrival.tenant].counters.client_left += 1;
        true
    }

    /// When [`FairQueue::next_action`] must be called next, if nothing else happens (ns).
    pub fn next_due_ns(&self) -> Option<u64> {
        let due = [self.timers.next_due_ns(), self.calendar.next_due_ns()];
        due.into_iter().flatten().min()
    }

    /// Returns the next action; to be called until it returns none.
    pub fn next_action(&mut self, now: u64) -> Option<QueueAction> {
        while let Some(Reservation { tenant, .. }) = self.calendar.expire(now) {
            self.tenants[tenant].counters.expired_reservations += 1;
        }
        while let Some(key) = self.timers.expire(now) {
            self.entries[key].timer = None;
            self.handle_timer(now, key);
        }
        if let Some(queue_action) = self.pending_actions.pop_front() {
            return Some(queue_action);
        }
        if self.blocked {
            self.concurrency_limit.record_wait(now);
            return None;
        }
        let next = self.select_next(now);
        self.blocked = next.is_none() && self.queued > 0;
        next.map(|key| self.submit(now, key))
    }

    /// Records the wait of a lane's request.
    fn record_wait(&mut self, now: u64, lane: usize, wait: u64) {
        let (capacity_threads, stale_ns) = (self.lane_capacity(lane), self.settings.stale_ms * 1_000_000);
        self.tenants[lane].record_wait(now, wait, capacity_threads, stale_ns);
    }

    /// Handles a request that can no longer finish in time or that has become stale.
    fn handle_timer(&mut self, now: u64, key: usize) {
        let entry = &self.entries[key];
        let latest_start = latest_start_ns(entry.arrived_ns, &entry.arrival);
        let lane = self.lane(entry.arrival.tenant);
        // Ticks of the wheel are coarser than times: entries due within two milliseconds are due
        // now.
        if latest_start.saturating_sub(now) > 2_000_000 {
            let wait = now.saturating_sub(entry.arrived_ns);
            self.record_wait(now, lane, wait);
            if !self.tenants[lane].standing || self.settings.order == Order::Fifo {
                self.entries[key].timer = Some(self.timers.insert(latest_start, key));
                return;
            }
            self.tenants[self.entries[key].arrival.tenant].counters.stale += 1;
        } else {
            self.tenants[self.entries[key].arrival.tenant].counters.too_late += 1;
        }
        self.refuse(now, key);
    }

    /// Selects the next entry to submit: reservations first, then by start tag, skipping requests
    /// that do not fit yet.
    fn select_next(&mut self, now: u64) -> Option<usize> {
        let mut reserved_waiting = false;
        for lane in self.scheduler.by_start_tag() {
            let Some(key) = self.tenants[lane].reserved_queue.oldest() else { continue };
            let e = &self.entries[key];
            if self.concurrency_limit.fits(now, e.kind, e.arrival.threads, AdmissionConfidence::Reserved) {
                return Some(key);
            }
            reserved_waiting = true;
        }
        if reserved_waiting {
            // A waiting reservation blocks all other requests.
            return None;
        }
        let allowance = BYPASS_ALLOWANCE_NS * self.concurrency_limit.estimated_capacity().max(1.0);
        let exceeds_bypass = |scheduler: &StartTimeFairQueue, first: &mut f64, flow: usize| {
            *first = first.min(scheduler.start_tag(flow));
            scheduler.start_tag(flow) > *first + allowance / scheduler.weight(flow)
        };
        let mut first_lane = f64::INFINITY;
        for lane in self.scheduler.by_start_tag() {
            if exceeds_bypass(&self.scheduler, &mut first_lane, lane) {
                return None;
            }
            let tenant = &self.tenants[lane];
            // Only tenants with a standing queue probe the limit, where requests may be refused.
            let below_limit = !tenant.standing && self.settings.order == Order::Fair;
            let confidence =
                if below_limit { AdmissionConfidence::BelowLimit } else { AdmissionConfidence::AtLimit };
            let mut first_queue = f64::INFINITY;
            let standing = tenant.standing && self.settings.order == Order::Fair;
            for queue in tenant.scheduler.by_start_tag().take(MAX_QUEUES_SCANNED) {
                if exceeds_bypass(&tenant.scheduler, &mut first_queue, queue) {
                    break;
                }
                let queue = &tenant.queues[queue];
                let Some(key) = (if standing { self.best_of_newest(queue) } else { queue.oldest() }) else {
                    continue;
                };
                let e = &self.entries[key];
                if self.concurrency_limit.fits(now, e.kind, e.arrival.threads, confidence) {
                    return Some(key);
                }
            }
        }
        None
    }

    /// Selects the entry of the highest value per cost among the newest of a standing queue, which
    /// can still finish in time. Not all can be served.
    fn best_of_newest(&self, queue: &Queue) -> Option<usize> {
        let worth = |key: &usize| self.entries[*key].arrival.worth / self.entries[*key].cost.max(1.0);
        queue
            .iter_from_newest(&self.entries)
            .take(MAX_NEWEST_SCANNED)
            .min_by(|a, b| worth(b).total_cmp(&worth(a)))
    }

    fn submit(&mut self, now: u64, key: usize) -> QueueAction {
        let state = self.entries[key].state;
        let e = &self.entries[key];
        let (own_tenant, cost, threads, wait) =
            (e.arrival.tenant, e.cost, e.arrival.threads, now.saturating_sub(e.arrived_ns));
        let lane = self.lane(own_tenant);
        let queue = e.queue;
        self.scheduler.charge(lane, cost, 0.0);
        self.tenants[lane].scheduler.charge(queue, cost, 0.0);
        if state == EntryState::Queued {
            self.record_wait(now, lane, wait);
        }
        self.remove_from_queue(key);
        self.concurrency_limit.acquire(threads);
        self.entries[key].state = EntryState::Submitted { at_ns: now, charged: cost };
        let counters = &mut self.tenants[own_tenant].counters;
        counters.submitted += 1;
        if wait > 0 {
            counters.waited += 1;
            counters.waited_ns += wait;
            counters.max_wait_ns = counters.max_wait_ns.max(wait);
        }
        QueueAction::Submit(self.entries[key].arrival.id)
    }

    /// Records that the decision module accepted a submitted request.
    pub fn accepted(&mut self, now: u64, id: u64) {
        let Some(e) = self.by_id.get(&id).map(|key| &self.entries[*key]) else { return };
        let waited = self.queued > 0;
        self.blocked = false;
        self.concurrency_limit.accepted(now, e.kind, e.arrival.threads, waited);
    }

    /// Records that the decision module refused a submitted request, and returns retry-after
    /// advice. A request that was `sent` before was refused for another cause than lack of
    /// capacity.
    pub fn refused(&mut self, now: u64, id: u64, sent: bool) -> Option<RetryAfter> {
        let key = *self.by_id.get(&id)?;
        if sent {
            let entry = self.entries[key].clone();
            self.finished(now, id, Some(false));
            return Some(self.schedule_retry(now, &entry));
        }
        let entry = self.remove_entry(key);
        let EntryState::Submitted { charged, .. } = entry.state else { return None };
        self.concurrency_limit.refused(now, entry.kind, entry.arrival.threads);
        self.correct_charge(&entry, -charged);
        let counters = &mut self.tenants[entry.arrival.tenant].counters;
        counters.refused_by_module += 1;
        counters.claims_failed += u64::from(entry.reserved);
        Some(self.schedule_retry(now, &entry))
    }

    /// Records that a submitted request finished: served or not, or cancelled if none. The
    /// measured thread time corrects the charge of its flow.
    pub fn finished(&mut self, now: u64, id: u64, served: Option<bool>) {
        let Some(&key) = self.by_id.get(&id) else { return };
        let EntryState::Submitted { at_ns, charged } = self.entries[key].state else { return };
        let entry = self.remove_entry(key);
        let threads = entry.arrival.threads;
        self.concurrency_limit.release(threads);
        let thread_ns = now.saturating_sub(at_ns) as f64 * threads;
        self.correct_charge(&entry, thread_ns - charged);
        let class = &mut self.classes[entry.arrival.class];
        if served == Some(true) {
            // Steps towards the median, so that a few large underestimates have little effect.
            let longer = thread_ns > entry.arrival.need_ns * class.usage_ratio;
            let step = if longer { MEDIAN_STEP } else { 1.0 / MEDIAN_STEP };
            class.usage_ratio =
                (class.usage_ratio * step).clamp(USAGE_RATIO_BOUNDS[0], USAGE_RATIO_BOUNDS[1]);
        }
        let expected = (entry.arrival.need_ns * class.usage_ratio).max(1.0);
        let lane = self.lane(entry.arrival.tenant);
        if let Some(queue) = self.tenants[lane].queues.get_mut(entry.queue) {
            let ratio = (thread_ns / expected).clamp(COST_RATIO_BOUNDS[0], COST_RATIO_BOUNDS[1]);
            queue.cost_ratio = moving_average(queue.cost_ratio, ratio, 4.0 * AVERAGING_WEIGHT)
                .clamp(COST_RATIO_BOUNDS[0], COST_RATIO_BOUNDS[1]);
        }
        self.heavy_hitters.add(entry.flow, (thread_ns - entry.cost).max(0.0));
        if let (true, Some(served)) = (entry.reserved, served) {
            let counters = &mut self.tenants[entry.arrival.tenant].counters;
            counters.claims_served += u64::from(served);
            counters.claims_failed += u64::from(!served);
        }
    }

    fn correct_charge(&mut self, entry: &Entry, delta: f64) {
        let lane = self.lane(entry.arrival.tenant);
        self.scheduler.correct(lane, delta);
        self.tenants[lane].scheduler.correct(entry.queue, delta);
    }
}

/// Latest time at which a request can start and still finish by its target, running alone. If the
/// target was out of reach at arrival, the expiry time counts instead.
fn latest_start_ns(arrived_ns: u64, arrival: &Arrival) -> u64 {
    let alone_ns = (arrival.need_ns / arrival.threads.max(1.0)) as u64;
    let latest_for_target = arrival.target_end_ns.saturating_sub(alone_ns);
    let latest_before_expiry = arrival.expires_ns.saturating_sub(alone_ns);
    if latest_for_target > arrived_ns {
        latest_for_target.min(latest_before_expiry)
    } else {
        latest_before_expiry.max(arrived_ns)
    }
}
