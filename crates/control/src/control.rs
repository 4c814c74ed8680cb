//! The decision module: admission control, engine choice, retries and cancellation. Types, events
//! and actions are defined in `src/interface.rs`. It reads no clock: the time is an argument of
//! each event.
//!
//! Units: work in core-nanoseconds, time in nanoseconds, capacity in cores, memory in megabytes.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;
use crate::process_budgets::ReserveHistory;

// ---- Constants -----------------------------------------------------------------------------------

/// Weight of a new sample in a learned mean: about thirty outcomes are remembered.
const LEARN_WEIGHT: f64 = 0.03;
/// Weight of a new attempt in the traffic mix: about two hundred are remembered. It is smaller than
/// [`LEARN_WEIGHT`], since heavy queries are rare.
const TRAFFIC_MIX_WEIGHT: f64 = 0.005;
/// Samples required before estimates are corrected by reported work: fewer show chance rather than
/// the class.
const MIN_OUTCOMES: f64 = 5.0;
/// A sample is capped at this multiple of the current mean, so that one bad plan does not dominate
/// it.
const MAX_OUTLIER_RATIO: f64 = 6.0;
/// Need of a class without samples, as a share of target latency times threads: most classes have a
/// target well above their work.
const DEFAULT_NEED_SHARE: f64 = 0.25;
/// Weight of a new load report in an engine's peer threads: a single report is noisy.
const REPORT_WEIGHT: f64 = 0.4;
/// Typical age of the state that a load report describes (ns). This router's own part in the report
/// is what it had on the engine that long ago.
const REPORT_AGE_NS: f64 = 400_000_000.0;
/// Load that each peer adds between two reports, as a multiple of what this router adds.
const PEER_GROWTH: f64 = 0.6;
/// Cap on the peers' load inferred from this router's own, as a multiple of their reported load: a
/// router with much traffic must not assume that all peers have as much.
const MAX_PEER_RATIO: f64 = 3.0;
/// Share of a query about to be sent that peers are assumed to send along with it.
const NEW_QUERY_SHARE: f64 = 0.3;
/// Decay time of engine state and of this router's own load (ns): an old report gives way to the
/// average engine's, an old success to a new failure.
const DECAY_NS: f64 = 3_500_000_000.0;
/// Weight of the peers' load inferred from this router's own, in engines with a fresh report: a second
/// opinion where reports are few and late. Unused where probes report load.
const PEER_ESTIMATE_WEIGHT: f64 = 2.0;
/// Factor on reported load for each refusal since the last report. Without it a router that
/// considers every engine full would send nothing, receive no reports, and refuse forever.
const REFUSAL_DECAY: f64 = 0.97;
/// Maximum threads per core inferred from latency alone; assumed for an engine that rejects with
/// `Busy`. Without the cap, a jam of a few seconds makes routers refuse most of what follows it.
const MAX_THREADS_FROM_LATENCY: f64 = 2.5;
/// Busy share above which in-flight queries and granted memory count as threads, in full at 1.
const SATURATION_START: f64 = 0.5;
/// In-flight threads per core above which they count despite idle cores, in full at one more. Below
/// it queries may just be reading, as they do for half of their time.
const QUEUEING_START: f64 = 3.0;
/// Loads on a data set that peers are assumed to have on an engine for each of this router's own
/// there: peers spread their loads over the engines as well.
const PEER_LOADS_PER_OWN: f64 = 1.0;
/// Age of a report after which its engine may be probed (ns): about the time in which an engine
/// refreshes its report.
const PROBE_INTERVAL_NS: u64 = 500_000_000;
/// Memory granted over the estimate where the engine grants it, and over the corrected estimate
/// where this router does. A spill costs several times the work, an unused grant is lost to other
/// queries.
const ENGINE_GRANT_MARGIN: f64 = 1.2;
const ROUTER_GRANT_MARGIN: f64 = 1.4;
/// An attempt is overrun at this many standard deviations (of log latency) over its expected time.
const OVERRUN_DEVIATIONS: f64 = 2.2;
/// Bounds of that multiple of the expected time, and its value without samples. With rough estimates
/// a bad plan shows late.
const MIN_OVERRUN: f64 = 2.0;
const DEFAULT_OVERRUN: f64 = 3.0;
const MAX_OVERRUN: f64 = 5.0;
/// Factor on the overrun multiple for loads and queries that wait for loads.
const LOAD_OVERRUN_FACTOR: f64 = 3.0;
/// Prior for the share of retries that are not overrun themselves, and its weight in samples. It
/// holds where the plan of each attempt is drawn anew.
const INITIAL_RETRY_SUCCESS: f64 = 0.7;
const INITIAL_RETRY_COUNT: f64 = 3.0;
/// Cap on the prior over the learned share; the overrun multiple grows with its square, since
/// cancelling is useless where a retry takes as long.
const MAX_RETRY_FACTOR: f64 = 3.0;
/// Data sets per engine assumed to be cached: the latest ones sent to it.
const MAX_WARM_DATA_SETS: usize = 4;
/// Need of a query on a cached data set, as a share of its full need: part of its reading is saved.
const WARM_NEED_SHARE: f64 = 0.7;
/// Threads per core above which an engine receives nothing more, as its throughput falls beyond.
/// The limit is higher where queries queue for memory, since queued threads do not run.
const MAX_THREADS_PER_CORE: f64 = 2.0;
const MAX_THREADS_PER_CORE_QUEUED: f64 = 2.5;
/// Share of an engine's memory that may be granted; lower where grants shrink under pressure, since
/// queries spill before all of it is granted.
const MAX_MEMORY_SHARE: f64 = 0.9;
const MAX_MEMORY_SHARE_SHRUNK: f64 = 0.8;
/// The thread limit falls with this power of a query's need over the typical need of its class,
/// down to the minimum factor: a heavy query has the worth of a light one but occupies its threads
/// for longer.
const COST_EXPONENT: f64 = 0.4;
const MIN_COST_FACTOR: f64 = 0.6;
/// Minimum time before an attempt is reviewed (ns), to allow for network and scheduling delays.
const MIN_REVIEW_NS: u64 = 400_000_000;
/// Minimum weight of an outcome in an engine's failure share: three failures in a row suspend it. The
/// weight grows with the time since the previous outcome, so that one failure suspends an engine that
/// is rarely used.
const MIN_FAILURE_WEIGHT: f64 = 0.25;
/// Failure share at which an engine is suspended.
const SUSPEND_FAILURE_SHARE: f64 = 0.5;
/// Bounds of the exponential backoff between trials of a suspended engine (ns).
const MIN_TRIAL_BACKOFF_NS: u64 = 1_000_000_000;
const MAX_TRIAL_BACKOFF_NS: u64 = 8_000_000_000;
/// Trials of suspended engines allowed per arrival (token bucket with a capacity of one): many engines
/// may be suspended while few requests arrive.
const TRIAL_SHARE: f64 = 0.05;
/// Weight of a new sample in an engine's latency ratio.
const LATENCY_RATIO_WEIGHT: f64 = 0.15;
/// Latency ratio over the average engine's that is attributed to chance.
const SLOW_TOLERANCE: f64 = 1.2;
/// Busy share of the cores that defines an engine's capacity.
const CAPACITY_BUSY_SHARE: f64 = 0.85;
/// Share of a cold engine's budget that is used.
const COLD_BUDGET_SHARE: f64 = 0.8;
/// A class is light if this many of its queries fit the budget of an engine that has just started.
const MIN_LIGHT_QUERIES: f64 = 8.0;
/// Cap on the peer threads per core assumed on a cold engine without a report: its budget keeps peers
/// from more.
const MAX_COLD_PEER_THREADS: f64 = 0.5;
/// Load factor added for an engine in another zone, as crossing zones has a small price.
const CROSS_ZONE_PENALTY: f64 = 0.05;
/// Minimum engines in a router's preferred subset, which is the same for all of its requests. Other
/// engines are used only if none of the subset passes. A subset keeps reports recent and
/// connections open where each router has little traffic.
const MIN_PREFERRED_ENGINES: usize = 5;
/// Average number of routers, at least, whose subset contains a given engine: no engine is left to a
/// few routers.
const MIN_ROUTERS_PER_ENGINE: usize = 8;
/// Engines of the subset compared for one request, drawn at random on average: routers with the
/// same report must not all choose the same engine.
const MAX_CANDIDATES: u64 = 6;
/// Minimum retry advice (ns): sooner than this the load has not changed.
const MIN_RETRY_AFTER_NS: u64 = 100_000_000;
/// Delay before a failed membership subscription is repeated (ns).
const RESUBSCRIBE_DELAY_NS: u64 = 1_000_000_000;
/// Timer token of that delay. Other tokens hold a request, and in the low byte an attempt or
/// `TURN_MARKER`.
const SUBSCRIBE_TOKEN: u64 = u64::MAX >> 1;
const TURN_MARKER: u64 = 255;

// ---- State ---------------------------------------------------------------------------------------

/// A running mean: arithmetic at first, exponentially weighted by [`LEARN_WEIGHT`] later.
#[derive(Clone, Copy, Default)]
struct LearnedMean {
    count: f64,
    value: f64,
}

impl LearnedMean {
    fn add(&mut self, value: f64) {
        self.count += 1.0;
        self.value = blend(self.value, value, LEARN_WEIGHT.max(1.0 / self.count));
    }

    fn or(&self, default: f64) -> f64 {
        Some(self.value).filter(|_| self.count > 0.0).unwrap_or(default)
    }
}

/// Statistics of one request class.
#[derive(Default)]
struct ClassModel {
    /// Work of completed attempts: as reported, else latency times threads.
    work: LearnedMean,
    /// Reported and estimated work of the queries that have both.
    reported_work: LearnedMean,
    estimated_work: LearnedMean,
    /// Need of the requests that arrived.
    typical_need: LearnedMean,
    /// Reported memory over the estimate.
    memory_ratio: LearnedMean,
    /// Squared logarithm of latency over expected time.
    latency_variance: LearnedMean,
    /// Share of retries after an overrun attempt that completed in time.
    retry_success: LearnedMean,
}

/// An attempt that is running on an engine.
struct RunningAttempt {
    request: RequestId,
    attempt: u32,
    due_ns: u64,
    need_ns: f64,
    threads: f64,
    sent_ns: u64,
    expected_ns: f64,
    /// Time and completed share of the last progress update.
    progress: Option<(u64, f64)>,
    priority: u8,
    grant_mb: u64,
    /// The engine as listed when the attempt was sent.
    entry: EngineEntry,
}

/// State of an engine as observed by this router.
#[derive(Default)]
struct Engine {
    entry: EngineEntry,
    cores: f64,
    memory_mb: f64,
    /// Sorted by due time, then by request.
    running: Vec<RunningAttempt>,
    /// Time of the last load report.
    reported_ns: Option<u64>,
    peer_threads: f64,
    /// Granted share of the memory in the last report.
    granted_share: f64,
    /// Time of the last update, and own threads averaged over the age of a report.
    lagged_threads: (u64, f64),
    probing: bool,
    failure_share: f64,
    suspended: bool,
    next_trial_ns: u64,
    backoff_ns: u64,
    last_success_ns: u64,
    last_outcome_ns: u64,
    /// Recent latency over expected time; 0 before the first success (counts as average).
    latency_ratio: f64,
    cold_start_ns: Option<u64>,
    unreachable: bool,
    /// Data sets of the last attempts, the latest one last.
    warm_data_sets: VecDeque<u64>,
    /// Time, typical need and lane of the attempts sent within the overload window.
    recent_sends: Vec<(u64, f64, usize)>,
    /// Those of other processes of this router while the engine is cold.
    sends_elsewhere: Vec<(u64, f64, usize)>,
    /// This router's shares of the light and heavy lane's budget while the engine is cold, where
    /// assigned.
    cold_shares: Option<[f64; 2]>,
    /// Shared verdict of all routers, where they exchange verdicts.
    verdict: Verdict,
}

/// A request that awaits its final answer or has an attempt running.
#[derive(Default)]
struct Pending {
    request: Request,
    accepted_ns: u64,
    expires_ns: u64,
    attempts: u32,
    running_on: Option<EngineId>,
    cancelled: bool,
    concluded: bool,
    failed_engine: Option<EngineId>,
    /// Send time of the first attempt that may have run, and its engine as listed then.
    may_have_run: Option<(u64, EngineEntry)>,
}

/// The decision state of one router.
#[derive(Default)]
pub struct Controller {
    settings: Settings,
    seed: u64,
    first_event_ns: Option<u64>,
    models: Vec<ClassModel>,
    engines: BTreeMap<EngineId, Engine>,
    pending: BTreeMap<RequestId, Pending>,
    /// Latency over expected time, across all engines.
    latency_ratio: LearnedMean,
    /// Probes report load, so it is not inferred from own threads or latency.
    probes_report_load: bool,
    /// Requests refused since the last load report.
    refusals_since_report: i32,
    /// Token bucket for trials of suspended engines.
    trial_tokens: f64,
    /// Per order key: the queued requests, and the time from which the next may be sent.
    key_queues: BTreeMap<u64, (VecDeque<RequestId>, u64)>,
    arrivals: VecDeque<u64>,
    retries: VecDeque<u64>,
    /// Whether this process has the reserve of its router's budgets.
    reserve: ReserveHistory,
    /// Number of attempts sent to cold engines.
    cold_send_count: u64,
    /// Decayed means of the work, the time alone, and memory times time alone of sent attempts:
    /// converts queries and granted memory to threads.
    traffic_mix: [f64; 3],
    /// Time of the last update, decayed mean of own threads, and decayed sends per nanosecond.
    own_load: (u64, f64, f64),
}

type Actions = Vec<Action>;

/// Inputs of one engine choice that are the same for all engines: peer threads per core, mean
/// granted share and latency ratio, number of peers assumed to send alike between reports; due
/// time, need and threads of the request.
#[derive(Default)]
struct PickContext {
    peer_threads: f64,
    granted_share: f64,
    latency_ratio: f64,
    peers: f64,
    due_ns: u64,
    need_ns: f64,
    threads: f64,
}

/// Result of an admission check that passed.
struct Admission {
    load_factor: f64,
    due_ns: u64,
    threads_per_core: f64,
    need_ns: f64,
}

/// Finalizer of a 64-bit hash.
fn hash64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Need of a query of a class without samples.
fn default_need(class: &ClassSettings) -> f64 {
    class.target_latency_ns as f64 * class.threads.max(1.0) * DEFAULT_NEED_SHARE
}

/// Returns a class's lane on a cold engine (0 light, 1 heavy), the engine's budget for one overload
/// window at full capacity, and the largest default need in the lane. None if the settings have no
/// overload limit.
pub fn cold_lane(s: &Settings, cores: f64, class: ClassId) -> Option<(usize, f64, f64)> {
    let (overload, start, overload_window_ns) =
        (s.overload_multiple?, s.initial_capacity?, s.overload_window_ns?);
    let budget = overload * cores * CAPACITY_BUSY_SHARE * overload_window_ns as f64 * COLD_BUDGET_SHARE;
    let heavy = |need: f64| need * MIN_LIGHT_QUERIES > budget * start;
    let lane = heavy(default_need(&s.classes[class.0]));
    let needs = s.classes.iter().map(default_need).filter(|need| heavy(*need) == lane);
    Some((usize::from(lane), budget, needs.fold(1.0, f64::max)))
}

/// Whether `to` drops repeats of what `first` has run. An unknown zone or cell matches nothing: two
/// engines of which it is unknown need not share it.
fn is_in_dedup_scope(scope: DedupScope, first: &EngineEntry, to: &EngineEntry) -> bool {
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => first.zone.is_some() && first.zone == to.zone,
        DedupScope::Cell => first.cell.is_some() && first.cell == to.cell,
    }
}

fn review_token(id: RequestId, attempt: u32) -> TimerToken {
    TimerToken(id.0 << 8 | u64::from(attempt.min(254)))
}

/// Latency ratio of an engine over the average engine's, at least 1.
fn slowness(e: &Engine, context: &PickContext) -> f64 {
    let reported = if let Verdict::Slow(ratio) = e.verdict { ratio } else { 0.0 };
    ((e.latency_ratio / context.latency_ratio).max(reported) / SLOW_TOLERANCE).max(1.0)
}

/// Exponential decay factor for the time between `since` and `now`.
fn decay(now: u64, since: u64, decay_ns: f64) -> f64 {
    (-(now.saturating_sub(since) as f64) / decay_ns).exp()
}

/// Weight of the last load report of an engine; 0 without one.
fn freshness(now: u64, e: &Engine) -> f64 {
    e.reported_ns.map_or(0.0, |t| decay(now, t, DECAY_NS))
}

fn blend(old: f64, new: f64, weight: f64) -> f64 {
    old + weight * (new - old)
}

// ---- Event handling ------------------------------------------------------------------------------

impl Controller {
    /// Creates a controller without engines; the seed breaks ties.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let retry_success = LearnedMean { count: INITIAL_RETRY_COUNT, value: INITIAL_RETRY_SUCCESS };
        let models =
            settings.classes.iter().map(|_| ClassModel { retry_success, ..ClassModel::default() }).collect();
        Controller { settings, seed, models, trial_tokens: 1.0, ..Controller::default() }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now_ns: u64, event: Event, out: &mut Vec<Action>) {
        if self.first_event_ns.is_none() {
            self.first_event_ns = Some(now_ns);
            out.extend(self.settings.must_subscribe.then_some(Action::Subscribe));
        }
        let (own_load, left) = (self.own_load, decay(now_ns, self.own_load.0, DECAY_NS));
        let threads = self.engines.values().map(Self::own_threads).sum();
        self.own_load = (now_ns, blend(threads, own_load.1, left), own_load.2 * left);
        match event {
            Event::Membership(kind, entries) => self.on_membership(kind, entries, out),
            Event::Arrival(request) => self.on_arrival(now_ns, request, out),
            // The stream belongs to the client: no final answer is due, and it must not be
            // cancelled.
            Event::Started(id, _) => drop(self.pending.get_mut(&id).map(|p| p.concluded = true)),
            Event::Progress(id, n, AttemptUpdate::Progress(share)) => {
                self.on_progress(now_ns, id, n, share, out)
            }
            Event::ColdShares(engine, shares) => {
                self.engines.entry(engine).and_modify(|e| e.cold_shares = Some(shares));
            }
            Event::VerdictChanged(engine, verdict) => self.on_verdict(engine, verdict),
            Event::TurnGranted(id, resume_ns) => self.on_turn_granted(now_ns, id, resume_ns, out),
            Event::Reserve(has_reserve) => self.on_reserve(now_ns, has_reserve),
            Event::ColdSendsElsewhere(sends) => self.on_cold_sends_elsewhere(&sends),
            Event::Progress(..) | Event::PeerMessage(..) => {}
            Event::Outcome(outcome) => self.on_outcome(now_ns, outcome, out),
            Event::Probed(engine, status, report) => {
                self.engines.entry(engine).and_modify(|e| e.probing = false);
                self.record_report(now_ns, engine, report.filter(|_| status == Status::Done), None);
            }
            Event::Left(id) => self.on_left(now_ns, id, out),
            Event::Expired(id) => self.reject(id, 0.0, out),
            Event::Timer(TimerToken(SUBSCRIBE_TOKEN)) => out.push(Action::Subscribe),
            Event::Timer(TimerToken(token)) => {
                let id = RequestId(token >> 8);
                match token & 255 {
                    TURN_MARKER => self.on_turn_timer(now_ns, id, out),
                    attempt => self.review_attempt(now_ns, id, attempt as u32, out),
                }
            }
        }
    }

    fn on_membership(&mut self, kind: MembershipKind, list: Vec<EngineEntry>, out: &mut Actions) {
        if kind == MembershipKind::Failed {
            let resubscribe =
                Action::SetTimer { after_ns: RESUBSCRIBE_DELAY_NS, token: TimerToken(SUBSCRIBE_TOKEN) };
            return out.extend(self.settings.must_subscribe.then_some(resubscribe));
        }
        if kind != MembershipKind::Delta {
            self.engines.values_mut().for_each(|e| e.entry.state = EngineState::Gone);
        }
        for entry in list {
            let kind = entry.kind.and_then(|k| self.settings.kinds.get(k.0));
            let cores = kind.and_then(|k| k.cores).filter(|c| *c > 0.0).unwrap_or(1.0);
            let memory_mb = kind.and_then(|k| k.memory_mb).unwrap_or(f64::INFINITY);
            let e = self.engines.entry(entry.engine).or_insert_with(|| Engine {
                entry,
                backoff_ns: MIN_TRIAL_BACKOFF_NS,
                last_outcome_ns: self.first_event_ns.unwrap_or(0),
                cold_start_ns: entry.started_ns,
                ..Engine::default()
            });
            if entry.started_ns > e.entry.started_ns {
                // The process restarted: its failure and load state no longer applies.
                (e.cold_start_ns, e.suspended, e.unreachable) = (entry.started_ns, false, false);
                (e.failure_share, e.latency_ratio, e.peer_threads, e.reported_ns) = (0.0, 0.0, 0.0, None);
                e.verdict = Verdict::Well;
                e.warm_data_sets.clear();
            }
            (e.entry, e.cores, e.memory_mb) = (entry, cores, memory_mb);
        }
        self.remove_departed();
    }

    /// Applies a shared verdict. A readmission also ends the local suspension.
    fn on_verdict(&mut self, engine: EngineId, verdict: Verdict) {
        let Some(e) = self.engines.get_mut(&engine) else { return };
        let was_out = matches!(e.verdict, Verdict::Out | Verdict::Trial);
        if was_out && !matches!(verdict, Verdict::Out | Verdict::Trial) {
            (e.suspended, e.failure_share, e.backoff_ns) = (false, 0.0, MIN_TRIAL_BACKOFF_NS);
        }
        e.verdict = verdict;
    }

    /// Removes departed engines that have no running attempt. Guards against a table that grows with
    /// every engine that ever was, and against draws among engines that are gone.
    fn remove_departed(&mut self) {
        self.engines.retain(|_, e| e.entry.state != EngineState::Gone || !e.running.is_empty());
    }

    fn on_arrival(&mut self, now: u64, request: Request, out: &mut Actions) {
        let need = self.need(&request);
        self.models[request.class.0].typical_need.add(need);
        self.trial_tokens = (self.trial_tokens + TRIAL_SHARE).min(1.0);
        let window_ns = self.settings.retry_budget.map_or(0, |b| b.window_ns);
        self.arrivals.push_back(now);
        for times in [&mut self.arrivals, &mut self.retries] {
            times.retain(|t| t.saturating_add(window_ns) >= now);
        }
        let expires_ns = now.saturating_add(request.time_left_ns);
        let accepted_ns = now.saturating_sub(request.waited_ns);
        let pending = Pending { request, accepted_ns, expires_ns, ..Pending::default() };
        self.pending.insert(request.id, pending);
        self.probe_one(now, out);
        if let Some(key) = self.order_key(&request) {
            if let KeyTurn::From(resume_ns) = request.turn {
                self.pause_key(key, resume_ns);
            }
            self.key_queues.entry(key).or_default().0.push_back(request.id);
            return self.on_turn_timer(now, request.id, out);
        }
        self.dispatch(now, request.id, out);
    }

    fn on_left(&mut self, now: u64, id: RequestId, out: &mut Actions) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        p.concluded = true;
        let (request, attempts) = (p.request, p.attempts);
        if p.running_on.is_none() {
            self.pending.remove(&id);
        } else if self.settings.may_cancel && !std::mem::replace(&mut p.cancelled, true) {
            out.push(Action::Cancel { request: id, attempt: attempts - 1 });
        }
        if let Some(key) = self.order_key(&request) {
            self.advance(now, key, out);
        }
    }

    fn on_reserve(&mut self, now: u64, has_reserve: bool) {
        let retry_window_ns = self.settings.retry_budget.map_or(0, |budget| budget.window_ns);
        let longest_window_ns = retry_window_ns.max(self.settings.overload_window_ns.unwrap_or(0));
        self.reserve.record(now, has_reserve, longest_window_ns);
    }

    fn on_cold_sends_elsewhere(&mut self, sends: &[ColdSend]) {
        let overload_window_ns = self.settings.overload_window_ns.unwrap_or(0);
        self.engines.values_mut().for_each(|e| e.sends_elsewhere.clear());
        for send in sends {
            if let Some(e) = self.engines.get_mut(&send.engine) {
                let sent_ns = send.counts_until_ns.saturating_sub(overload_window_ns);
                e.sends_elsewhere.push((sent_ns, send.need_ns as f64, send.lane));
            }
        }
    }

    /// Number of attempts that this process has sent to cold engines.
    pub fn cold_send_count(&self) -> u64 {
        self.cold_send_count
    }

    /// What this process has sent to cold engines and still counts against their budgets.
    pub fn cold_sends(&self, now: u64) -> Vec<ColdSend> {
        let overload_window_ns = self.settings.overload_window_ns.unwrap_or(0);
        let cold = self.engines.values().filter(|e| self.warmup_progress(now, e).is_some());
        let sends = cold.flat_map(|e| {
            e.recent_sends.iter().map(move |(sent_ns, need_ns, lane)| ColdSend {
                engine: e.entry.engine,
                need_ns: *need_ns as u64,
                lane: *lane,
                counts_until_ns: sent_ns.saturating_add(overload_window_ns),
            })
        });
        sends.filter(|send| send.counts_until_ns >= now).collect()
    }

    /// Applies the end of all earlier requests of a key at another process of this router.
    fn on_turn_granted(&mut self, now: u64, id: RequestId, resume_ns: u64, out: &mut Actions) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        p.request.turn = KeyTurn::From(resume_ns);
        let request = p.request;
        let Some(key) = self.order_key(&request) else { return };
        self.pause_key(key, resume_ns);
        self.advance(now, key, out);
    }

    fn pause_key(&mut self, key: u64, until_ns: u64) {
        let key_queue = self.key_queues.entry(key).or_default();
        key_queue.1 = until_ns.max(key_queue.1);
    }

    /// Clock time until which a key is paused after an attempt that may still run; 0 if it is not.
    pub fn key_paused_until_ns(&self, key: u64) -> u64 {
        self.key_queues.get(&key).map_or(0, |key_queue| key_queue.1)
    }

    /// Dispatches an ordered request if it is its turn, or refuses it once its need exceeds its
    /// remaining time.
    fn on_turn_timer(&mut self, now: u64, id: RequestId, out: &mut Actions) {
        let Some(request) = self.pending.get(&id).map(|p| p.request) else { return };
        if let Some(key) = self.order_key(&request) {
            self.advance(now, key, out);
        }
        let Some(p) = self.pending.get(&id).filter(|p| p.attempts == 0) else { return };
        let alone = self.need(&request) / self.threads(request.class);
        let slack = p.expires_ns.saturating_sub(now) as f64 - alone;
        if slack <= 1.0 {
            return self.reject(id, 0.0, out);
        }
        out.push(Action::SetTimer { after_ns: slack as u64, token: TimerToken(id.0 << 8 | TURN_MARKER) });
    }

    /// Dispatches the first unfinished request of a key.
    fn advance(&mut self, now: u64, key: u64, out: &mut Actions) {
        while let Some((queue, resume_ns)) = self.key_queues.get_mut(&key) {
            let Some(&first) = queue.front() else {
                return self.key_queues.retain(|_, turn| !turn.0.is_empty() || turn.1 > now);
            };
            match self.pending.get(&first) {
                None => drop(queue.pop_front()),
                Some(p) if p.running_on.is_some() || p.concluded => return,
                Some(p) if p.request.turn == KeyTurn::Waiting => return,
                Some(_) if *resume_ns > now => {
                    let token = TimerToken(first.0 << 8 | TURN_MARKER);
                    out.push(Action::SetTimer { after_ns: *resume_ns - now, token });
                    return;
                }
                Some(_) => self.dispatch(now, first, out),
            }
        }
    }

    // ---- Need and capacity -----------------------------------------------------------------------

    fn threads(&self, class: ClassId) -> f64 {
        self.settings.classes[class.0].threads.max(1.0)
    }

    /// Multiple of the expected time at which an attempt of a class is overrun.
    fn overrun_multiple(&self, class_id: ClassId) -> f64 {
        let latency_variance = self.models[class_id.0].latency_variance;
        let learned =
            (OVERRUN_DEVIATIONS * latency_variance.value.sqrt()).exp().clamp(MIN_OVERRUN, MAX_OVERRUN);
        // Loads, and queries that wait for loads, block on their data set: no sign of a bad plan.
        let class = &self.settings.classes[class_id.0];
        let load_factor = if class.is_load || class.waits_for_loads { LOAD_OVERRUN_FACTOR } else { 1.0 };
        let retry_factor = (INITIAL_RETRY_SUCCESS / self.models[class_id.0].retry_success.value)
            .clamp(1.0, MAX_RETRY_FACTOR)
            .powi(2);
        Some(learned).filter(|_| latency_variance.count > 0.0).unwrap_or(DEFAULT_OVERRUN)
            * load_factor
            * retry_factor
    }

    /// Expected work of a request (core-nanoseconds).
    fn need(&self, r: &Request) -> f64 {
        let (class, model) = (&self.settings.classes[r.class.0], &self.models[r.class.0]);
        match r.work_estimate_ns {
            Some(estimate)
                if model.reported_work.count >= MIN_OUTCOMES && model.estimated_work.value > 0.0 =>
            {
                estimate as f64 * model.reported_work.value / model.estimated_work.value
            }
            Some(estimate) => estimate as f64,
            None => model.work.or(default_need(class)).max(1.0),
        }
    }

    /// Remaining work of an attempt (core-nanoseconds).
    fn remaining(r: &RunningAttempt, now: u64) -> f64 {
        let spent = match r.progress {
            Some((at, share)) => share * r.need_ns + now.saturating_sub(at) as f64 * r.threads,
            None => now.saturating_sub(r.sent_ns) as f64 * r.threads,
        };
        (r.need_ns - spent).max(0.0)
    }

    fn own_threads(e: &Engine) -> f64 {
        e.running.iter().map(|r| r.threads).sum()
    }

    /// Updates the lagged own threads; must be called before own threads change.
    fn update_lagged_threads(now: u64, e: &mut Engine) {
        e.lagged_threads = (
            now,
            blend(Self::own_threads(e), e.lagged_threads.1, decay(now, e.lagged_threads.0, REPORT_AGE_NS)),
        );
    }

    /// Computes the engine-independent inputs of a choice.
    fn context(&self, now: u64) -> PickContext {
        let (mut reported, mut weight, mut all, mut ready, mut granted_share) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for e in self.engines.values().filter(|e| e.entry.state == EngineState::Ready && !e.suspended) {
            let fresh = freshness(now, e);
            (reported, weight) = (reported + fresh * e.peer_threads, weight + fresh * e.cores);
            granted_share += fresh * e.granted_share * e.cores;
            (all, ready) = (all + e.cores * self.capacity_share(now, e), ready + 1.0);
        }
        // Infers the peers' load from this router's own, as if all sent the same.
        let peers = self.settings.router_count.saturating_sub(1) as f64;
        let send_share = (self.own_load.2 * REPORT_AGE_NS / f64::max(ready, 1.0)).min(1.0);
        let estimate = peers * self.own_load.1 / f64::max(all, 1.0);
        let estimate_weight = if self.probes_report_load {
            f64::MIN_POSITIVE
        } else {
            PEER_ESTIMATE_WEIGHT * all / f64::max(ready, 1.0)
        };
        let limit = if weight > 0.0 { MAX_PEER_RATIO * reported / weight } else { estimate };
        let peer_threads = (reported + estimate.min(limit) * estimate_weight) / (weight + estimate_weight);
        let peers = peers.min(MAX_PEER_RATIO * peer_threads * all / self.own_load.1.max(1.0));
        PickContext {
            peer_threads,
            granted_share: granted_share / weight.max(f64::MIN_POSITIVE),
            latency_ratio: self.latency_ratio.or(1.0).max(0.1),
            peers: peers * PEER_GROWTH * send_share * send_share,
            ..PickContext::default()
        }
    }

    /// Estimated threads of other routers on an engine: the last report, decaying towards the
    /// average engine. The average is capped for a cold engine, which would otherwise stay unused
    /// while others are full.
    fn peer_threads(&self, now: u64, e: &Engine, context: &PickContext) -> f64 {
        let cold = self.warmup_progress(now, e).is_some() && self.settings.overload_multiple.is_some();
        let average = context.peer_threads.min(if cold { MAX_COLD_PEER_THREADS } else { f64::INFINITY });
        self.discounted(now, e, e.peer_threads, average * e.cores * self.capacity_share(now, e))
    }

    /// A reported figure, decayed towards the average and reduced for refusals since the last
    /// report.
    fn discounted(&self, now: u64, e: &Engine, reported: f64, average: f64) -> f64 {
        blend(average, reported, freshness(now, e)) * REFUSAL_DECAY.powi(self.refusals_since_report)
    }

    /// Estimated threads that peers have added since the last report, as they read the same one. They
    /// add more, the more often this router sends to an engine while a report is fresh.
    fn peer_growth(&self, e: &Engine, new: f64, context: &PickContext) -> f64 {
        (Self::own_threads(e) + NEW_QUERY_SHARE * new - e.lagged_threads.1).max(0.0) * context.peers
    }

    /// Cores available to this router's queries with `new` more threads, and threads per core.
    fn available_cores(&self, now: u64, e: &Engine, new: f64, context: &PickContext) -> (f64, f64) {
        let cores = e.cores * self.capacity_share(now, e);
        let own_load = Self::own_threads(e) + new;
        let peer_threads = self.peer_threads(now, e, context) + self.peer_growth(e, new, context);
        let idle = (cores - peer_threads).max(cores * own_load / (own_load + peer_threads).max(1.0));
        (idle.min(cores) / slowness(e, context), (own_load + peer_threads) / cores)
    }

    /// Completed share of the warm-up; none if the engine is warm.
    fn warmup_progress(&self, now: u64, e: &Engine) -> Option<f64> {
        let part = now.saturating_sub(e.cold_start_ns?) as f64 / self.settings.warmup_ns? as f64;
        (part < 1.0).then_some(part)
    }

    /// Share of its full capacity that an engine has; below 1 while cold.
    fn capacity_share(&self, now: u64, e: &Engine) -> f64 {
        let from = self.settings.initial_capacity.unwrap_or(1.0);
        self.warmup_progress(now, e).map_or(1.0, |part| from + (1.0 - from) * part)
    }

    // ---- Admission check -------------------------------------------------------------------------

    /// Due time of a request: its latency target, or the deadline once the target cannot be met.
    /// Planning for the deadline alone would fill engines with work of little worth.
    fn due_ns(&self, now: u64, p: &Pending) -> u64 {
        let class = &self.settings.classes[p.request.class.0];
        let alone = self.need(&p.request) / self.threads(p.request.class);
        let target = p
            .accepted_ns
            .saturating_add(class.target_latency_ns + (class.target_latency_stretch * alone) as u64);
        let deadline = p.accepted_ns.saturating_add(class.deadline_ns).min(p.expires_ns);
        Some(target).filter(|w| *w > now.saturating_add(alone as u64)).map_or(deadline, |w| w.min(deadline))
    }

    /// Checks whether an engine can complete its attempts in time with the request added. Returns
    /// the load factor, as an error if it exceeds 1 or another limit.
    fn admit(&self, now: u64, p: &Pending, e: &Engine, context: &PickContext) -> Result<Admission, f64> {
        let (due, threads) = (context.due_ns, context.threads);
        let window = due.saturating_sub(now) as f64;
        let (available_cores, threads_per_core) = self.available_cores(now, e, threads, context);
        // A slow engine reaches the thread limit earlier, in proportion to its slowness.
        let slowed = threads_per_core * slowness(e, context);
        let warm = p.request.data_set.is_some_and(|set| e.warm_data_sets.contains(&set));
        let need = context.need_ns * if warm { WARM_NEED_SHARE } else { 1.0 };
        if need / threads > window {
            return Err(f64::INFINITY);
        }
        let typical_need = self.models[p.request.class.0].typical_need.or(need);
        let base_limit = if self.settings.memory_shortage == MemoryShortage::Wait {
            MAX_THREADS_PER_CORE_QUEUED
        } else {
            MAX_THREADS_PER_CORE
        };
        let limit = base_limit * (typical_need / need).powf(COST_EXPONENT).clamp(MIN_COST_FACTOR, 1.0);
        if slowed > limit {
            return Err(slowed / limit);
        }
        // Beyond the memory limit queries wait, spill, or slow each other down.
        let requested = p.request.memory_estimate_mb.unwrap_or(0.0) * ENGINE_GRANT_MARGIN / e.memory_mb;
        let memory = self.discounted(now, e, e.granted_share, context.granted_share)
            + requested * (1.0 + context.peers);
        let max_memory = if self.settings.memory_shortage == MemoryShortage::Shrink {
            MAX_MEMORY_SHARE_SHRUNK
        } else {
            MAX_MEMORY_SHARE
        };
        if memory > max_memory {
            return Err(memory / max_memory);
        }
        // Engines share cores among threads regardless of due times, so the request must also fit
        // at an equal share.
        let (mut sum, mut max_load) = (need, need / threads * slowed / window.max(1.0));
        let later = e.running.partition_point(|q| q.due_ns <= due);
        sum += e.running[..later].iter().map(|q| Self::remaining(q, now)).sum::<f64>();
        max_load = max_load.max(sum / (window * available_cores).max(1.0));
        for q in &e.running[later..] {
            let (remaining_work, capacity) =
                (Self::remaining(q, now), (q.due_ns - now) as f64 * available_cores);
            if remaining_work > capacity {
                continue;
            }
            sum += remaining_work;
            max_load = max_load.max(sum / capacity);
        }
        max_load += self.load_wait_ns(p, e, context) / window.max(1.0);
        (max_load <= 1.0)
            .then_some(Admission { load_factor: max_load, due_ns: due, threads_per_core, need_ns: need })
            .ok_or(max_load)
    }

    /// Time that a load waits for this router's loads on the same data set of an engine. Prevents
    /// loads from piling up on one engine, each holding threads and memory until its turn.
    fn load_wait_ns(&self, p: &Pending, e: &Engine, context: &PickContext) -> f64 {
        let load = |r: &Request| r.data_set.filter(|_| self.settings.classes[r.class.0].is_load);
        let Some(set) = load(&p.request) else { return 0.0 };
        let same =
            |q: &&RunningAttempt| self.pending.get(&q.request).and_then(|p| load(&p.request)) == Some(set);
        let before: f64 = e.running.iter().filter(same).map(|q| q.expected_ns).sum();
        before * context.latency_ratio.max(1.0) * PEER_LOADS_PER_OWN
    }

    /// This router's rank of an engine, lowest first; the order of two engines does not change as
    /// others come and go.
    fn preference(&self, e: &Engine) -> u64 {
        hash64(self.seed ^ e.entry.engine.0)
    }

    /// Returns the eligible engine with the lowest passing load factor, else the lowest factor that
    /// failed.
    fn pick(&self, now: u64, p: &Pending) -> Result<(EngineId, Admission), f64> {
        let (due_ns, need_ns) = (self.due_ns(now, p), self.need(&p.request));
        let context =
            PickContext { due_ns, need_ns, threads: self.threads(p.request.class), ..self.context(now) };
        let ready = |e: &&Engine| e.entry.state == EngineState::Ready && !e.suspended;
        let mut ready: Vec<u64> = self.engines.values().filter(ready).map(|e| self.preference(e)).collect();
        let preferred_count = (MIN_ROUTERS_PER_ENGINE * ready.len()
            / self.settings.router_count.max(1) as usize)
            .max(MIN_PREFERRED_ENGINES);
        let all = preferred_count > ready.len();
        let max_preference = if all { u64::MAX } else { *ready.select_nth_unstable(preferred_count - 1).1 };
        let draw_range = preferred_count.min(self.engines.len()) as u64;
        let mut best: Option<(f64, u64, EngineId, Admission)> = None;
        let mut lowest = f64::INFINITY;
        for (id, e) in &self.engines {
            if !self.is_eligible(now, p, e) {
                continue;
            }
            match self.admit(now, p, e, &context) {
                Err(load_factor) => lowest = lowest.min(load_factor),
                Ok(admission) => {
                    let other_zone = e.entry.zone != self.settings.zone;
                    let tie = hash64(self.seed ^ id.0 ^ p.request.id.0.rotate_left(32));
                    // Few routers may send to a cold engine, so these always consider it.
                    let candidate = self.preference(e) <= max_preference && tie % draw_range < MAX_CANDIDATES;
                    let on_trial = e.verdict == Verdict::Trial;
                    let candidate = candidate || self.warmup_progress(now, e).is_some() || on_trial;
                    let rank = admission.load_factor
                        + CROSS_ZONE_PENALTY * f64::from(other_zone)
                        + f64::from(!candidate);
                    let rank = rank - f64::from(on_trial);
                    if best.as_ref().is_none_or(|b| (rank, tie) < (b.0, b.1)) {
                        best = Some((rank, tie, *id, admission));
                    }
                }
            }
        }
        best.map(|(_, _, id, admission)| (id, admission)).ok_or(lowest)
    }

    // ---- Dispatch --------------------------------------------------------------------------------

    fn dispatch(&mut self, now: u64, id: RequestId, out: &mut Actions) {
        let Some(p) = self.pending.get(&id) else { return };
        if p.expires_ns <= now || !self.may_attempt(now, p) {
            return self.reject(id, 0.0, out);
        }
        match self.pick(now, p) {
            Ok((engine, admission)) => self.send(now, id, engine, admission, out),
            Err(load_factor) => {
                let window = self.due_ns(now, p).saturating_sub(now) as f64;
                self.refusals_since_report += i32::from(load_factor.is_finite());
                let wait = if load_factor.is_finite() { (load_factor - 1.0) * window } else { window };
                self.reject(id, wait, out);
            }
        }
    }

    fn send(&mut self, now: u64, id: RequestId, engine: EngineId, admission: Admission, out: &mut Actions) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        let (request, attempt, due_ns, timeout_ns) =
            (p.request, p.attempts, admission.due_ns, p.expires_ns - now);
        (p.attempts, p.running_on, p.cancelled) = (attempt + 1, Some(engine), false);
        let threads = self.threads(request.class);
        let typical_need = self.models[request.class.0].typical_need.value;
        let (alone, overrun_multiple) = (admission.need_ns / threads, self.overrun_multiple(request.class));
        let ratio = self.models[request.class.0].memory_ratio;
        let granting = self.settings.grants && ratio.count > 0.0;
        let margin = if granting { ROUTER_GRANT_MARGIN } else { ENGINE_GRANT_MARGIN };
        let memory = request.memory_estimate_mb.unwrap_or(0.0) * ratio.or(1.0) * margin;
        for (mean, new) in self.traffic_mix.iter_mut().zip([admission.need_ns, alone, memory * alone]) {
            *mean = blend(*mean, new, TRAFFIC_MIX_WEIGHT);
        }
        self.retries.extend((attempt > 0).then_some(now));
        self.own_load.2 += 1.0 / DECAY_NS;
        let overload_window_ns = self.settings.overload_window_ns.unwrap_or(0);
        let capacity_share = self.engines.get(&engine).map_or(1.0, |e| self.capacity_share(now, e));
        let Some(e) = self.engines.get_mut(&engine) else { return };
        let (lane, budget, _) = cold_lane(&self.settings, e.cores, request.class).unwrap_or_default();
        if e.cold_shares.is_some() && capacity_share < 1.0 {
            let share = typical_need / (budget * capacity_share / 2.0);
            out.push(Action::ColdSent { request: id, engine, lane, share });
        }
        // The grant is the estimate corrected by reported memory; 0 leaves the choice to the
        // engine.
        let max_grant_mb = e.memory_mb * self.settings.max_grant_share.unwrap_or(1.0);
        let grant_mb = if granting { memory.min(max_grant_mb).ceil() as u64 } else { 0 };
        Self::update_lagged_threads(now, e);
        e.warm_data_sets.retain(|set| Some(*set) != request.data_set);
        e.warm_data_sets.extend(request.data_set);
        e.warm_data_sets.drain(..e.warm_data_sets.len().saturating_sub(MAX_WARM_DATA_SETS));
        self.cold_send_count += u64::from(capacity_share < 1.0);
        e.recent_sends.push((now, typical_need, lane));
        e.recent_sends.retain(|s| s.0 + overload_window_ns >= now);
        if e.suspended {
            (self.trial_tokens, e.next_trial_ns) = (0.0, now + e.backoff_ns);
            e.backoff_ns = (e.backoff_ns * 2).min(MAX_TRIAL_BACKOFF_NS);
        }
        let expected_ns = alone * admission.threads_per_core.max(1.0);
        let at = e.running.partition_point(|q| (q.due_ns, q.request) < (due_ns, id));
        let (request, sent_ns, need_ns, progress, priority) = (id, now, admission.need_ns, None, 1);
        let entry = e.entry;
        #[rustfmt::skip]
        let running = RunningAttempt {
            request, attempt, due_ns, need_ns, threads, sent_ns, expected_ns, progress, priority, grant_mb,
            entry,
        };
        e.running.insert(at, running);
        self.set_priorities(now, engine, (grant_mb > 0).then_some(id), out);
        out.push(Action::Send { request: id, engine, timeout_ns });
        let after_ns = ((expected_ns * overrun_multiple) as u64).max(MIN_REVIEW_NS);
        out.push(Action::SetTimer { after_ns, token: review_token(id, attempt) });
    }

    /// Assigns priorities by due time, one per quartile; overdue attempts get the lowest.
    fn set_priorities(
        &mut self,
        now: u64,
        engine: EngineId,
        new_attempt: Option<RequestId>,
        out: &mut Actions,
    ) {
        let Some(e) = self.engines.get_mut(&engine) else { return };
        let late = e.running.partition_point(|q| q.due_ns <= now);
        let count = (e.running.len() - late).max(1);
        for (i, r) in e.running.iter_mut().enumerate() {
            let priority = match i.checked_sub(late) {
                _ if !self.settings.priorities => 1,
                None => 0,
                Some(position) => 3 - (4 * position / count).min(3) as u8,
            };
            if priority != r.priority || new_attempt == Some(r.request) {
                r.priority = priority;
                out.push(Action::SetTerms { request: r.request, memory_mb: r.grant_mb, priority });
            }
        }
    }

    /// Probes the engine with the oldest report: at most one per arrival, regardless of fleet size.
    fn probe_one(&mut self, now: u64, out: &mut Actions) {
        let enabled = self.settings.may_probe && self.settings.report_source == ReportSource::Probes;
        let old = |e: &Engine| e.reported_ns.is_none_or(|t| t + PROBE_INTERVAL_NS <= now) && !e.probing;
        let due =
            self.engines.values_mut().filter(|e| enabled && old(e) && e.entry.state == EngineState::Ready);
        if let Some(e) = due.min_by_key(|e| (e.reported_ns, hash64(self.seed ^ now ^ e.entry.engine.0))) {
            e.probing = true;
            out.push(Action::Probe(e.entry.engine));
        }
    }

    // ---- Outcomes --------------------------------------------------------------------------------

    fn on_progress(&mut self, now: u64, id: RequestId, attempt: u32, share: f64, out: &mut Actions) {
        let Some(engine) = self.pending.get(&id).and_then(|p| p.running_on) else { return };
        let Some(e) = self.engines.get_mut(&engine) else { return };
        if let Some(r) = e.running.iter_mut().find(|r| r.request == id && r.attempt == attempt) {
            r.progress = Some((now, share.clamp(0.0, 1.0)));
            self.review_attempt(now, id, attempt, out);
        }
    }

    /// Records a load report. Without load figures, latency over the time alone stands in for them.
    fn record_report(
        &mut self,
        now: u64,
        engine: EngineId,
        report: Option<LoadReport>,
        latency_over_alone: Option<f64>,
    ) {
        let report = report.unwrap_or_default();
        let latency_over_alone =
            latency_over_alone.filter(|_| self.settings.router_count > 1 && !self.probes_report_load);
        let threads_per_query = self.traffic_mix[0] / self.traffic_mix[1].max(1.0);
        let cores = self.engines.get(&engine).map_or(0.0, |e| e.cores * self.capacity_share(now, e));
        let Some(e) = self.engines.get_mut(&engine) else { return };
        Self::update_lagged_threads(now, e);
        // The busy share saturates at 1; granted memory still shows how many queries share the
        // cores.
        let granted_share =
            report.memory_share.filter(|_| self.traffic_mix[2] > 0.0 && e.memory_mb.is_finite());
        let by_memory =
            granted_share.map_or(0.0, |x| x * e.memory_mb * self.traffic_mix[0] / self.traffic_mix[2]);
        let busy = report.busy_share.map_or(0.0, |share| share.max(report.disk_share.unwrap_or(0.0)));
        let saturation = ((busy - SATURATION_START) / (1.0 - SATURATION_START)).clamp(0.0, 1.0);
        // In-flight counts also show full disks that are not reported while cores are idle.
        let in_flight_threads = report.in_flight.map_or(0.0, |n| n * threads_per_query);
        let blocked_share = saturation.max((in_flight_threads / e.cores - QUEUEING_START).clamp(0.0, 1.0));
        let busy = busy * e.cores;
        let peer_threads = match (report.busy_share, report.in_flight, latency_over_alone) {
            (Some(_), ..) => {
                busy + ((in_flight_threads - busy) * blocked_share)
                    .max((by_memory - busy) * saturation)
                    .max(0.0)
            }
            (_, Some(_), _) => in_flight_threads,
            (.., Some(latency_over_alone)) => latency_over_alone.min(MAX_THREADS_FROM_LATENCY) * cores,
            _ => return,
        } - e.lagged_threads.1;
        self.probes_report_load |= report.busy_share.or(report.in_flight).is_some()
            && self.settings.report_source == ReportSource::Probes;
        self.refusals_since_report = 0;
        e.granted_share = report.memory_share.unwrap_or(0.0);
        let old = freshness(now, e);
        e.peer_threads = blend(peer_threads.max(0.0), e.peer_threads, old * (1.0 - REPORT_WEIGHT));
        e.reported_ns = Some(now);
    }

    fn on_outcome(&mut self, now: u64, o: Outcome, out: &mut Actions) {
        let ran = self.engines.get_mut(&o.engine).and_then(|e| {
            let at = e.running.iter().position(|r| r.request == o.request && r.attempt == o.attempt)?;
            Self::update_lagged_threads(now, e);
            Some(e.running.remove(at))
        });
        let Some(ran) = ran else { return };
        self.learn(&o, &ran);
        self.update_health(now, &o, &ran);
        let alone = o.work_ns.map_or(ran.need_ns, |w| w as f64).max(1.0) / ran.threads;
        let latency_over_alone = (o.status == Status::Done).then_some(o.latency_ns as f64 / alone);
        self.record_report(now, o.engine, o.report, latency_over_alone);
        if let Some(e) = self.engines.get_mut(&o.engine).filter(|_| o.status == Status::Busy) {
            // Rejected at its session limit: counts as a report of a full engine.
            (e.peer_threads, e.reported_ns) =
                (e.peer_threads.max(MAX_THREADS_FROM_LATENCY * e.cores), Some(now));
        }
        self.remove_departed();
        let Some(p) = self.pending.get_mut(&o.request) else { return };
        p.running_on = None;
        p.failed_engine = (o.status != Status::Done && !p.cancelled).then_some(o.engine);
        let never_ran = matches!(o.status, Status::Busy | Status::Refused | Status::Skipped);
        if !never_ran && p.may_have_run.is_none() {
            p.may_have_run = Some((ran.sent_ns, ran.entry));
        }
        let request = p.request;
        if o.concluded || p.concluded {
            self.pending.remove(&o.request);
        } else {
            self.dispatch(now, o.request, out);
        }
        let Some(key) = self.order_key(&request) else { return };
        let may_still_run = matches!(o.status, Status::TimedOut | Status::Reset | Status::Cancelled);
        if may_still_run || o.may_run_until_ns > now {
            // The attempt may still run: later requests of its key wait, its own retry does not.
            let paused_until_ns = now + self.settings.order_pause_ns.unwrap_or(0);
            self.pause_key(key, paused_until_ns.max(o.may_run_until_ns));
        }
        self.advance(now, key, out);
    }

    /// Updates the statistics of a class with a finished attempt.
    fn learn(&mut self, o: &Outcome, ran: &RunningAttempt) {
        let reported = o.work_ns.filter(|_| self.settings.answers_report_cost);
        let Some(p) = self.pending.get(&o.request) else { return };
        let (request, m) = (p.request, &mut self.models[p.request.class.0]);
        // A cancelled attempt counts only if the engine was responsive since it was sent.
        let done = self.engines.get(&o.engine).is_some_and(|e| e.last_success_ns >= ran.sent_ns);
        if o.attempt > 0 && (p.cancelled && (done || ran.progress.is_some()) || o.status == Status::Done) {
            m.retry_success.add(f64::from(!p.cancelled));
        }
        if o.status != Status::Done {
            return;
        }
        let work = reported.map_or(o.latency_ns as f64 * ran.threads, |w| w as f64);
        m.work.add(work.min(m.work.or(work) * MAX_OUTLIER_RATIO));
        m.latency_variance.add((o.latency_ns.max(1) as f64 / ran.expected_ns.max(1.0)).ln().powi(2));
        if let (Some(reported), Some(estimate)) = (reported, request.work_estimate_ns) {
            let ratio = m.reported_work.or(1.0) / m.estimated_work.or(1.0).max(1.0);
            m.reported_work.add((reported as f64).min(estimate as f64 * ratio * MAX_OUTLIER_RATIO));
            m.estimated_work.add(estimate as f64);
        }
        if let (Some(reported), Some(estimate)) = (o.memory_mb, request.memory_estimate_mb) {
            m.memory_ratio.add((reported / estimate.max(1.0)).min(MAX_OUTLIER_RATIO));
        }
    }

    /// Retry advice, bounded by what clients honour; none if they get no advice.
    fn retry_after_ns(&self, wait_ns: f64) -> Option<u64> {
        self.settings.max_retry_after_ns.map(|longest| (wait_ns as u64).max(MIN_RETRY_AFTER_NS).min(longest))
    }

    /// Sends the final answer: a refusal if a repeat is safe, else a failure. Later requests of its
    /// key wait for an attempt that is still running.
    fn reject(&mut self, id: RequestId, wait_ns: f64, out: &mut Actions) {
        let Some(p) = self.pending.remove(&id) else { return };
        let refuse = Action::Refuse { request: id, retry_after_ns: self.retry_after_ns(wait_ns) };
        let is_repeat_safe =
            self.is_repeat_safe(p.request.class, p.may_have_run.is_some() || p.running_on.is_some());
        out.push(if is_repeat_safe { refuse } else { Action::Fail(id) });
        self.pending.extend(p.running_on.map(|_| (id, Pending { concluded: true, ..p })));
    }

    // ---- Health ----------------------------------------------------------------------------------

    /// Updates the health of an engine with the outcome of an attempt.
    fn update_health(&mut self, now: u64, o: &Outcome, ran: &RunningAttempt) {
        let cancelled = self.pending.get(&o.request).is_some_and(|p| p.concluded);
        let Some(e) = self.engines.get_mut(&o.engine) else { return };
        let unresponsive = e.last_success_ns < ran.sent_ns && !cancelled;
        let weight = MIN_FAILURE_WEIGHT.max(1.0 - decay(now, e.last_outcome_ns, DECAY_NS));
        e.last_outcome_ns = now;
        match o.status {
            Status::Done => {
                if e.unreachable {
                    // It may have restarted: treated as cold before the list reports a start.
                    (e.unreachable, e.cold_start_ns) = (false, Some(now));
                }
                (e.suspended, e.backoff_ns, e.last_success_ns) = (false, MIN_TRIAL_BACKOFF_NS, now);
                e.failure_share = blend(e.failure_share.min(SUSPEND_FAILURE_SHARE), 0.0, weight);
                let ratio = (o.latency_ns as f64 / ran.expected_ns.max(1.0)).min(MAX_OUTLIER_RATIO);
                let previous =
                    if e.latency_ratio > 0.0 { e.latency_ratio } else { self.latency_ratio.or(1.0) };
                e.latency_ratio = blend(previous, ratio, LATENCY_RATIO_WEIGHT);
                self.latency_ratio.add(ratio);
            }
            // No connection: suspended until a trial succeeds. Resets alone may be due to a bad
            // link; a dead process refuses the next connection.
            Status::Refused => (e.unreachable, e.failure_share) = (true, 1.0),
            Status::Busy | Status::Skipped => {}
            Status::TimedOut | Status::Cancelled if !unresponsive => {}
            _ => e.failure_share = blend(e.failure_share, 1.0, weight),
        }
        if e.failure_share >= SUSPEND_FAILURE_SHARE && !e.suspended {
            e.suspended = true;
            e.next_trial_ns = now + e.backoff_ns;
        }
    }

    /// Reviews an attempt, and cancels it if it is overrun (bad plan, hung or slow engine) and a
    /// repeat is safe. It is cancelled even if no retry is possible, since it would hold its
    /// threads for many times its need; its outcome leads to a retry or a refusal.
    fn review_attempt(&mut self, now: u64, id: RequestId, attempt: u32, out: &mut Actions) {
        let Some(p) = self.pending.get(&id) else { return };
        let Some(e) = p.running_on.and_then(|engine| self.engines.get(&engine)) else { return };
        let Some(r) = e.running.iter().find(|r| r.request == id && r.attempt == attempt) else { return };
        if p.concluded || p.cancelled {
            return;
        }
        let (_, threads_per_core) = self.available_cores(now, e, 0.0, &self.context(now));
        let expected =
            r.need_ns / r.threads * threads_per_core.max(1.0) * e.latency_ratio.clamp(1.0, MIN_OVERRUN);
        let age = now.saturating_sub(r.sent_ns) as f64;
        let progress = |(at, share): (u64, f64)| at.saturating_sub(r.sent_ns) as f64 / share.max(0.01);
        let projected = r.progress.map_or(age, progress);
        let overrun_ns = (expected * self.overrun_multiple(p.request.class)).max(MIN_REVIEW_NS as f64);
        if projected >= overrun_ns && self.is_repeat_safe(p.request.class, true) && self.settings.may_cancel {
            // Too late for a retry: the final answer is sent now rather than with the outcome.
            let time_left = p.expires_ns.saturating_sub(now) as f64;
            let no_retry = time_left < r.need_ns / r.threads || !self.may_attempt(now, p);
            self.pending.entry(id).and_modify(|p| p.cancelled = true);
            out.push(Action::Cancel { request: id, attempt });
            if no_retry {
                self.reject(id, expected, out);
            }
            return;
        }
        let after = if age < overrun_ns { overrun_ns - age } else { expected.max(MIN_REVIEW_NS as f64) };
        if r.progress.is_none_or(|(at, _)| at != now) {
            out.push(Action::SetTimer { after_ns: after as u64 + 1, token: review_token(id, attempt) });
        }
    }

    // ---- Retry and placement rules ---------------------------------------------------------------

    /// The key by which a request is ordered; none if its class is not serial by key.
    fn order_key(&self, r: &Request) -> Option<u64> {
        r.key.filter(|_| self.settings.classes[r.class.0].serial_by_key)
    }

    /// Whether a repeat is safe, given that an earlier attempt may have run.
    fn is_repeat_safe(&self, class: ClassId, may_have_run: bool) -> bool {
        self.settings.classes[class.0].is_repeat_safe(may_have_run)
    }

    /// Whether another attempt is safe. A deduplicated request that may have run is repeated only
    /// within its deduplication window, and only on an engine in the same scope.
    fn may_repeat(&self, now: u64, p: &Pending, to: Option<&EngineEntry>) -> bool {
        let class = &self.settings.classes[p.request.class.0];
        let (sent, at) = match (class.effect, p.may_have_run) {
            (_, None) | (Effect::Idempotent, _) => return true,
            (Effect::AtMostOnce, Some(_)) => return false,
            (Effect::Deduplicated, Some(first)) => first,
        };
        let in_scope = to.is_none_or(|to| is_in_dedup_scope(class.dedup_scope, &at, to));
        in_scope && class.dedup_window_ns.is_some_and(|w| now < sent.saturating_add(w))
    }

    /// Whether a request may have another attempt: maximum attempts, effect, retry budget.
    fn may_attempt(&self, now: u64, p: &Pending) -> bool {
        let attempt_ok = self.settings.max_attempts.is_none_or(|most| p.attempts < most);
        let budget_ok = p.attempts == 0
            || self.settings.retry_budget.is_none_or(|b| {
                let since = now.saturating_sub(b.window_ns);
                let made = self.retries.iter().filter(|t| **t >= since).count() as f64;
                let arrivals = self.arrivals.iter().filter(|t| **t > since).count() as f64;
                // Each process of this router counts its own traffic; one of them has the floor.
                let floor = if self.reserve.throughout(now, b.window_ns) { b.floor } else { 0.0 };
                made + 1.0 <= floor + b.per_request * arrivals
            });
        self.may_repeat(now, p, None) && attempt_ok && budget_ok
    }

    /// Whether an engine may receive a request, apart from its load.
    fn is_eligible(&self, now: u64, p: &Pending, e: &Engine) -> bool {
        let class = &self.settings.classes[p.request.class.0];
        let placement_ok =
            class.only_zones.as_ref().is_none_or(|l| e.entry.zone.is_some_and(|z| l.contains(&z)))
                && class.only_kinds.as_ref().is_none_or(|l| e.entry.kind.is_some_and(|k| l.contains(&k)));
        let healthy = match e.verdict {
            Verdict::Out => false,
            Verdict::Trial => e.running.is_empty() && self.is_repeat_safe(p.request.class, true),
            _ => !e.suspended || now >= e.next_trial_ns && self.trial_tokens >= 1.0,
        };
        let not_failed_here = p.failed_engine != Some(e.entry.engine);
        let ready = e.entry.state == EngineState::Ready && placement_ok && healthy && not_failed_here;
        ready && self.may_repeat(now, p, Some(&e.entry)) && self.fits_cold_budget(now, p, e)
    }

    /// Whether a request fits this router's share of a cold engine's budget. Light and heavy
    /// classes have half of the budget each. Without assigned shares, a subset of routers owns the
    /// engine: as many as whole queries fit by the settings alone, chosen by router and engine
    /// number so that all routers agree. An owner may send one query per overload window, or as
    /// many as its part holds. A router that restarted meanwhile waits for one window. An engine
    /// back from refused connections has no owners until its start is announced. What other
    /// processes of this router send counts as well, and one process may send a query that exceeds
    /// the share.
    fn fits_cold_budget(&self, now: u64, p: &Pending, e: &Engine) -> bool {
        let s = &self.settings;
        let (Some(since), Some(_)) = (e.cold_start_ns, self.warmup_progress(now, e)) else { return true };
        let class = p.request.class;
        let rules = (s.initial_capacity, s.overload_window_ns, cold_lane(s, e.cores, class));
        let (Some(start), Some(overload_window_ns), Some((lane, budget, largest))) = rules else {
            return true;
        };
        let router_count = u64::from(s.router_count.max(1));
        let rank = (u64::from(s.router_index) + hash64(e.entry.engine.0) % router_count) % router_count;
        let just_restarted =
            self.first_event_ns.is_some_and(|b| b > since && now < b.saturating_add(overload_window_ns));
        let half = budget * self.capacity_share(now, e) / 2.0;
        let typical_need = self.models[class.0].typical_need.value;
        let has_reserve = self.reserve.throughout(now, overload_window_ns);
        let sends = || e.recent_sends.iter().chain(&e.sends_elsewhere);
        let recent = || sends().filter(|s| s.0 + overload_window_ns >= now);
        if let Some(shares) = e.cold_shares {
            let sent: f64 = recent().filter(|s| s.2 == lane).map(|s| s.1).sum();
            let may_exceed = has_reserve && shares[lane] >= 1.0;
            return sent + typical_need <= half * shares[lane] || sent <= 0.0 && may_exceed;
        }
        let started = e.entry.started_ns.zip(s.warmup_ns);
        let announced = started.is_some_and(|(at, cold)| now < at.saturating_add(cold));
        let max_owners = if announced { router_count as f64 } else { 1.0 };
        let owners = (half / largest).floor().clamp(1.0, max_owners);
        let same = |s: &&(u64, f64, usize)| usize::from(s.1 * MIN_LIGHT_QUERIES > budget * start) == lane;
        let sent: f64 = recent().filter(same).map(|s| s.1).sum();
        let fits = sent <= 0.0 && has_reserve || sent + typical_need <= half / owners;
        fits && !just_restarted && (!announced || (rank as f64) < owners)
    }
}
