//! Every decision of marljunction, and every number behind one. Its types, events and actions are in
//! `src/interface.rs`; how the paper's check became this one is told in `docs/design.md`.
//! Work is in core-nanoseconds, time in nanoseconds, room in cores.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;

// ---- Constants -----------------------------------------------------------------------------------

/// Weight of one more outcome in a learned mean (share): some thirty outcomes are remembered.
const LEARN_WEIGHT: f64 = 0.03;
/// The same for the mix of what is sent (share): some two hundred are remembered, as heavy ones are rare.
const TRAFFIC_MIX_WEIGHT: f64 = 0.005;
/// Outcomes before a learned figure is used at all (count): fewer say more of luck than of the class.
const MIN_OUTCOMES: f64 = 5.0;
/// One outcome counts for at most this multiple of the present mean (ratio): bad plans are not the usual.
const MAX_OUTLIER_RATIO: f64 = 6.0;
/// Mean need before anything is known (share of aim x threads): most classes aim well past their work.
const DEFAULT_NEED_SHARE: f64 = 0.25;
/// Weight of a new report in the figure of other gateways' threads (share): one report is noisy.
const REPORT_WEIGHT: f64 = 0.4;
/// Usual age of what a report shows (ns): this gateway's own part in it is that of so long ago.
const REPORT_AGE_NS: f64 = 400_000_000.0;
/// What each peer that reads the same report adds while it is on its way, against this gateway (ratio).
const PEER_GROWTH: f64 = 0.6;
/// Peers, and what is guessed of them from own threads, count at most as this multiple of what was heard of
/// them (ratio): a gateway that carries far more than others must not take all of them to be like itself.
const MAX_PEER_RATIO: f64 = 3.0;
/// Part of a query about to be sent that peers are taken to add with it (share).
const NEW_QUERY_SHARE: f64 = 0.3;
/// Life of what is known of an engine and of this gateway's own load (ns): an old figure gives way to the
/// fleet's average, an old success to a new failure.
const DECAY_NS: f64 = 3_500_000_000.0;
/// Where figures come with answers, what this gateway guesses from its own threads weighs as so many engines
/// heard (count): a second opinion on a few late figures, which falls as it sends less.
const PEER_ESTIMATE_WEIGHT: f64 = 2.0;
/// What is left of each figure for every refusal since the last one was heard (share): a gateway that takes
/// all for full sends nothing and hears nothing, for good.
const REFUSAL_DECAY: f64 = 0.97;
/// Threads a core that the time of an answer over alone stands for at most, and that being turned away as
/// full stands for (ratio): a jam of seconds, read as more, had gateways refuse most of what came after it.
const MAX_THREADS_FROM_LATENCY: f64 = 2.5;
/// Busy share from which what an engine holds is weighed in as threads, fully so at 1 (share).
const SATURATION_START: f64 = 0.5;
/// Threads a core that an engine holds from which they count though its cores are idle, fully so at one
/// more (ratio): fewer may just be reading, as queries do for half of their time.
const QUEUEING_START: f64 = 3.0;
/// Loads on a data set that an engine is taken to hold for each of this gateway's own there (ratio): 2 was
/// no better, as peers spread theirs too.
const PEER_LOADS_PER_OWN: f64 = 1.0;
/// Age of a figure at which its engine may be probed (ns): about one refresh of a report.
const PROBE_INTERVAL_NS: u64 = 500_000_000;
/// Memory over the estimate where the engine grants it, and over the corrected one where this gateway does
/// (ratio): a spill does several times the work, but idle memory is lost to others.
const ENGINE_GRANT_MARGIN: f64 = 1.2;
const ROUTER_GRANT_MARGIN: f64 = 1.4;
/// An attempt has outrun its need at this many deviations (of the logarithm) of its class's answers from what
/// was expected, within these multiples, as rough estimates show a bad plan late. The middle one is first.
const OVERRUN_DEVIATIONS: f64 = 2.2;
const MIN_OVERRUN: f64 = 2.0;
const DEFAULT_OVERRUN: f64 = 3.0;
const MAX_OVERRUN: f64 = 5.0;
/// The same for loads and what waits for them, against other classes (ratio).
const LOAD_OVERRUN_FACTOR: f64 = 3.0;
/// Share of further attempts that end in time where bad plans are drawn anew, outcomes that this is worth,
/// and times under it heeded: patience grows as its square where a new attempt takes as long again.
const INITIAL_RETRY_SUCCESS: f64 = 0.7;
const INITIAL_RETRY_COUNT: f64 = 3.0;
const MAX_RETRY_FACTOR: f64 = 3.0;
/// Data sets sent last to an engine that are taken as warm there (count), and what is left of the need of a
/// query on one (share): part of its reading is saved.
const MAX_WARM_DATA_SETS: usize = 4;
const WARM_NEED_SHARE: f64 = 0.7;
/// Threads a core beyond which an engine gets nothing more (ratio), as past it engines do less work in all;
/// more where queries wait in an engine's line for memory, as part of the threads it holds then do not run.
const MAX_THREADS_PER_CORE: f64 = 2.0;
const MAX_THREADS_PER_CORE_QUEUED: f64 = 2.5;
/// Share of an engine's memory that may be granted (share); less where grants are trimmed when it is short,
/// as queries then spill well before all of it is granted.
const MAX_MEMORY_SHARE: f64 = 0.9;
const MAX_MEMORY_SHARE_SHRUNK: f64 = 0.8;
/// The knee falls as this power of a query's need over its class's usual need, down to this share of itself:
/// a heavy query is worth no more than a light one of its class, and holds its threads for longer.
const COST_EXPONENT: f64 = 0.4;
const MIN_COST_FACTOR: f64 = 0.6;
/// Least time before an attempt is looked at (ns): network and scheduling take some of it.
const MIN_REVIEW_NS: u64 = 400_000_000;
/// Least weight of an outcome in an engine's failure share (share): three failures in a row suspend it. It is
/// more where the one before is old, so that an engine met every few seconds is suspended by one.
const MIN_FAILURE_WEIGHT: f64 = 0.25;
/// Failure share at which an engine is suspended (share).
const SUSPEND_FAILURE_SHARE: f64 = 0.5;
/// First and longest wait before a suspended engine is tried again (ns); each doubles the one before.
const MIN_TRIAL_BACKOFF_NS: u64 = 1_000_000_000;
const MAX_TRIAL_BACKOFF_NS: u64 = 8_000_000_000;
/// Share of this gateway's queries that may try suspended engines (share): many may be out, few queries come.
const TRIAL_SHARE: f64 = 0.05;
/// Weight of an answer in an engine's stretch (share).
const LATENCY_RATIO_WEIGHT: f64 = 0.15;
/// Stretch over the average engine's that is still taken for chance (ratio).
const SLOW_TOLERANCE: f64 = 1.2;
/// Busy share of the cores at which an engine's capacity is counted (share).
const CAPACITY_BUSY_SHARE: f64 = 0.85;
/// Part of a cold engine's budget that is used (share), and queries of a light class that it holds at least
/// as the engine starts (count).
const COLD_BUDGET_SHARE: f64 = 0.8;
const MIN_LIGHT_QUERIES: f64 = 8.0;
/// Threads a core that peers are taken to hold at most on a cold engine that is not heard of (ratio): its
/// budget keeps them from more.
const MAX_COLD_PEER_THREADS: f64 = 0.5;
/// Load factor added for an engine in another zone (ratio), as crossing has a small price.
const CROSS_ZONE_PENALTY: f64 = 0.05;
/// Engines that a gateway looks at first, the same ones for all of its requests, and gateways at least that
/// have an engine among their first ones, so that it is not left to a few (counts). Others only where none of
/// these passes. A hundred gateways that spread their thin traffic over all engines know none of them: their
/// figures are old, and connections close before they are used again.
const MIN_PREFERRED_ENGINES: usize = 5;
const MIN_ROUTERS_PER_ENGINE: usize = 8;
/// Of these, engines drawn for a request, of which the lowest factor picks: gateways that read the same
/// report must not all pick the same.
const MAX_CANDIDATES: u64 = 6;
/// Retry advice at least (ns): sooner than this nothing has changed.
const MIN_RETRY_AFTER_NS: u64 = 100_000_000;
/// Wait before membership is asked for again after a failure (ns).
const RESUBSCRIBE_DELAY_NS: u64 = 1_000_000_000;
/// Timer token for that; others hold a request, and an attempt or TURN in the low byte.
const SUBSCRIBE_TOKEN: u64 = u64::MAX >> 1;
const TURN_MARKER: u64 = 255;

// ---- State ---------------------------------------------------------------------------------------

/// A learned mean: its first values count alike, later ones by LEARN.
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

/// What has been learned of a class: work, work told and estimated of the same queries, need of what arrives,
/// memory over its estimate, and squared logarithm of time taken over time expected.
#[derive(Default)]
struct ClassModel {
    work: LearnedMean,
    reported_work: LearnedMean,
    estimated_work: LearnedMean,
    typical_need: LearnedMean,
    memory_ratio: LearnedMean,
    latency_variance: LearnedMean,
    /// Share of the attempts after an outrun one that did end in time.
    retry_success: LearnedMean,
}

/// An attempt out on an engine.
struct RunningAttempt {
    request: RequestId,
    attempt: u32,
    due_ns: u64,
    need_ns: f64,
    threads: f64,
    sent_ns: u64,
    expected_ns: f64,
    progress: Option<(u64, f64)>,
    priority: u8,
    grant_mb: u64,
}

/// An engine, as this gateway sees it.
#[derive(Default)]
struct Engine {
    entry: EngineEntry,
    cores: f64,
    memory_mb: f64,
    /// Sorted by due time, then by request.
    running: Vec<RunningAttempt>,
    /// When the last report came, and the others' threads that it and earlier ones show.
    reported_ns: Option<u64>,
    peer_threads: f64,
    /// Share of its memory that was granted then.
    granted_share: f64,
    /// Own threads of late: when it was brought up to date, and their mean over a report's age.
    lagged_threads: (u64, f64),
    probing: bool,
    failure_share: f64,
    suspended: bool,
    next_trial_ns: u64,
    backoff_ns: u64,
    last_success_ns: u64,
    last_outcome_ns: u64,
    /// Time taken against time expected, of late; 0 before its first answer, when it counts as average.
    latency_ratio: f64,
    cold_start_ns: Option<u64>,
    unreachable: bool,
    /// Data sets sent here, the latest last.
    warm_data_sets: VecDeque<u64>,
    /// Usual work sent of late, while cold, and its lane.
    recent_sends: Vec<(u64, f64, usize)>,
    /// Shares of the light and heavy lane's budget that are this gateway's while cold, where it is told them.
    cold_shares: Option<[f64; 2]>,
    /// What all gateways together believe of it, where that is told.
    verdict: Verdict,
}

/// A request that is owed an answer, or has an attempt out.
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
    /// When and where an attempt that may have run was sent; its engine may be forgotten since.
    may_have_run: Option<(u64, EngineEntry)>,
}

/// The decisions of one gateway.
#[derive(Default)]
pub struct Controller {
    settings: Settings,
    seed: u64,
    first_event_ns: Option<u64>,
    models: Vec<ClassModel>,
    engines: BTreeMap<EngineId, Engine>,
    pending: BTreeMap<RequestId, Pending>,
    /// Time taken against time expected, over all engines.
    latency_ratio: LearnedMean,
    /// Probes tell load: no guess from own threads, nor the time that answers take, stands in for it.
    probes_report_load: bool,
    /// Requests refused since a figure was last heard.
    refusals_since_report: i32,
    /// Trials of suspended engines that may be made.
    trial_tokens: f64,
    key_queues: BTreeMap<u64, (VecDeque<RequestId>, u64)>,
    arrivals: VecDeque<u64>,
    retries: VecDeque<u64>,
    /// Work, time alone, memory x time alone sent, decayed: threads that a query or a granted MB stands for.
    traffic_mix: [f64; 3],
    /// Own threads in the mean and sends a nanosecond, and when they were brought up to now.
    own_load: (u64, f64, f64),
}

type Actions = Vec<Action>;

/// What one pick knows of all engines: others' threads a core, mean stretch, peers that do as this gateway
/// does while a report is on its way; and the d, C and threads of its request.
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

/// A pass of the demand check.
struct Admission {
    load_factor: f64,
    due_ns: u64,
    threads_per_core: f64,
    need_ns: f64,
}

fn hash64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Need of a query of a class by settings alone.
fn default_need(class: &ClassSettings) -> f64 {
    class.target_latency_ns as f64 * class.threads.max(1.0) * DEFAULT_NEED_SHARE
}

/// The lane of a class on a cold engine (0 for light ones, 1 for heavy), the engine's budget for a window as
/// if it were warm, and what a query of the lane needs at most by settings alone.
pub fn cold_lane(s: &Settings, cores: f64, class: ClassId) -> Option<(usize, f64, f64)> {
    let (overload, start, overload_window_ns) =
        (s.overload_multiple?, s.initial_capacity?, s.overload_window_ns?);
    let budget = overload * cores * CAPACITY_BUSY_SHARE * overload_window_ns as f64 * COLD_BUDGET_SHARE;
    let heavy = |need: f64| need * MIN_LIGHT_QUERIES > budget * start;
    let lane = heavy(default_need(&s.classes[class.0]));
    let needs = s.classes.iter().map(default_need).filter(|need| heavy(*need) == lane);
    Some((usize::from(lane), budget, needs.fold(1.0, f64::max)))
}

fn review_token(id: RequestId, attempt: u32) -> TimerToken {
    TimerToken(id.0 << 8 | u64::from(attempt.min(254)))
}

/// How much longer than the average engine this one takes.
fn slowness(e: &Engine, context: &PickContext) -> f64 {
    let reported = if let Verdict::Slow(ratio) = e.verdict { ratio } else { 0.0 };
    ((e.latency_ratio / context.latency_ratio).max(reported) / SLOW_TOLERANCE).max(1.0)
}

/// Part of what was known `since` then that still holds, at a life of `life_ns`.
fn decay(now: u64, since: u64, decay_ns: f64) -> f64 {
    (-(now.saturating_sub(since) as f64) / decay_ns).exp()
}

/// Weight that the last figure heard of an engine still has; none where nothing was heard.
fn freshness(now: u64, e: &Engine) -> f64 {
    e.reported_ns.map_or(0.0, |t| decay(now, t, DECAY_NS))
}

fn blend(old: f64, new: f64, weight: f64) -> f64 {
    old + weight * (new - old)
}

// ---- Event entry ---------------------------------------------------------------------------------

impl Controller {
    /// A controller that knows nothing yet; the seed breaks its ties.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let retry_success = LearnedMean { count: INITIAL_RETRY_COUNT, value: INITIAL_RETRY_SUCCESS };
        let models =
            settings.classes.iter().map(|_| ClassModel { retry_success, ..ClassModel::default() }).collect();
        Controller { settings, seed, models, trial_tokens: 1.0, ..Controller::default() }
    }

    /// Takes one event, and adds what is to be done to `out`.
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
            // A started stream belongs to the client: nothing is owed, nothing may be cancelled.
            Event::Started(id, _) => drop(self.pending.get_mut(&id).map(|p| p.concluded = true)),
            Event::Progress(id, n, AttemptUpdate::Progress(share)) => {
                self.on_progress(now_ns, id, n, share, out)
            }
            Event::ColdShares(engine, shares) => {
                self.engines.entry(engine).and_modify(|e| e.cold_shares = Some(shares));
            }
            Event::VerdictChanged(engine, verdict) => self.on_verdict(engine, verdict),
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
            let ask = Action::SetTimer { after_ns: RESUBSCRIBE_DELAY_NS, token: TimerToken(SUBSCRIBE_TOKEN) };
            return out.extend(self.settings.must_subscribe.then_some(ask));
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
                // Told of a restart: what was held against the old process is void, what is cold is not.
                (e.cold_start_ns, e.suspended, e.unreachable) = (entry.started_ns, false, false);
                (e.failure_share, e.latency_ratio, e.peer_threads, e.reported_ns) = (0.0, 0.0, 0.0, None);
                e.verdict = Verdict::Well;
                e.warm_data_sets.clear();
            }
            (e.entry, e.cores, e.memory_mb) = (entry, cores, memory_mb);
        }
        self.remove_departed();
    }

    /// One that was out for all is back for all: this gateway's own trials are not waited for.
    fn on_verdict(&mut self, engine: EngineId, verdict: Verdict) {
        let Some(e) = self.engines.get_mut(&engine) else { return };
        let was_out = matches!(e.verdict, Verdict::Out | Verdict::Trial);
        if was_out && !matches!(verdict, Verdict::Out | Verdict::Trial) {
            (e.suspended, e.failure_share, e.backoff_ns) = (false, 0.0, MIN_TRIAL_BACKOFF_NS);
        }
        e.verdict = verdict;
    }

    /// Guards against a table that grows with every engine that ever was, and against picks that draw from
    /// engines that are gone: those that no attempt is out on any more are forgotten.
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

    /// An order-bound request has its turn, or is refused as soon as its need no longer fits its time.
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

    /// Lets the first unfinished request of a key have its turn.
    fn advance(&mut self, now: u64, key: u64, out: &mut Actions) {
        while let Some((queue, resume_ns)) = self.key_queues.get_mut(&key) {
            let Some(&first) = queue.front() else {
                return self.key_queues.retain(|_, turn| !turn.0.is_empty() || turn.1 > now);
            };
            match self.pending.get(&first) {
                None => drop(queue.pop_front()),
                Some(p) if p.running_on.is_some() || p.concluded => return,
                Some(_) if *resume_ns > now => {
                    let token = TimerToken(first.0 << 8 | TURN_MARKER);
                    out.push(Action::SetTimer { after_ns: *resume_ns - now, token });
                    return;
                }
                Some(_) => self.dispatch(now, first, out),
            }
        }
    }

    // ---- Need and room ---------------------------------------------------------------------------

    fn threads(&self, class: ClassId) -> f64 {
        self.settings.classes[class.0].threads.max(1.0)
    }

    /// Multiple of its expected time at which an attempt of a class has outrun its need.
    fn overrun_multiple(&self, class_id: ClassId) -> f64 {
        let latency_variance = self.models[class_id.0].latency_variance;
        let learned =
            (OVERRUN_DEVIATIONS * latency_variance.value.sqrt()).exp().clamp(MIN_OVERRUN, MAX_OVERRUN);
        // A load, and what waits for loads, stands still behind others' on its data set: no bad plan.
        let class = &self.settings.classes[class_id.0];
        let load_factor = if class.is_load || class.waits_for_loads { LOAD_OVERRUN_FACTOR } else { 1.0 };
        let retry_factor = (INITIAL_RETRY_SUCCESS / self.models[class_id.0].retry_success.value)
            .clamp(1.0, MAX_RETRY_FACTOR)
            .powi(2);
        Some(learned).filter(|_| latency_variance.count > 0.0).unwrap_or(DEFAULT_OVERRUN)
            * load_factor
            * retry_factor
    }

    /// C of a request, in core-nanoseconds.
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

    /// R of an attempt: its need less what it has done.
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

    /// Brings the lagged own threads up to now; to be called before they change.
    fn update_lagged_threads(now: u64, e: &mut Engine) {
        e.lagged_threads = (
            now,
            blend(Self::own_threads(e), e.lagged_threads.1, decay(now, e.lagged_threads.0, REPORT_AGE_NS)),
        );
    }

    /// What one pick knows of all engines: taken once, as it is the same for each of them.
    fn context(&self, now: u64) -> PickContext {
        let (mut reported, mut weight, mut all, mut ready, mut granted_share) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for e in self.engines.values().filter(|e| e.entry.state == EngineState::Ready && !e.suspended) {
            let fresh = freshness(now, e);
            (reported, weight) = (reported + fresh * e.peer_threads, weight + fresh * e.cores);
            granted_share += fresh * e.granted_share * e.cores;
            (all, ready) = (all + e.cores * self.capacity_share(now, e), ready + 1.0);
        }
        // A second opinion: each peer is taken to hold what this gateway holds in the mean.
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

    /// Threads of other gateways on an engine: as reported, and the older that is, the more as on the average
    /// engine. A cold one holds what its budget lets through, or it would stay unused while others are full.
    fn peer_threads(&self, now: u64, e: &Engine, context: &PickContext) -> f64 {
        let cold = self.warmup_progress(now, e).is_some() && self.settings.overload_multiple.is_some();
        let average = context.peer_threads.min(if cold { MAX_COLD_PEER_THREADS } else { f64::INFINITY });
        self.discounted(now, e, e.peer_threads, average * e.cores * self.capacity_share(now, e))
    }

    /// What still holds of a figure heard of an engine, against the average of all.
    fn discounted(&self, now: u64, e: &Engine, reported: f64, average: f64) -> f64 {
        blend(average, reported, freshness(now, e)) * REFUSAL_DECAY.powi(self.refusals_since_report)
    }

    /// Threads that peers added since the report was made, as they read the same: the more of them, the more
    /// often this gateway sends to an engine while a report is fresh.
    fn peer_growth(&self, e: &Engine, new: f64, context: &PickContext) -> f64 {
        (Self::own_threads(e) + NEW_QUERY_SHARE * new - e.lagged_threads.1).max(0.0) * context.peers
    }

    /// Cores that this gateway's queries may count on with `new` more threads, and threads a core.
    fn available_cores(&self, now: u64, e: &Engine, new: f64, context: &PickContext) -> (f64, f64) {
        let cores = e.cores * self.capacity_share(now, e);
        let own_load = Self::own_threads(e) + new;
        let peer_threads = self.peer_threads(now, e, context) + self.peer_growth(e, new, context);
        let idle = (cores - peer_threads).max(cores * own_load / (own_load + peer_threads).max(1.0));
        (idle.min(cores) / slowness(e, context), (own_load + peer_threads) / cores)
    }

    /// Part of its warming that a cold engine has behind it.
    fn warmup_progress(&self, now: u64, e: &Engine) -> Option<f64> {
        let part = now.saturating_sub(e.cold_start_ns?) as f64 / self.settings.warmup_ns? as f64;
        (part < 1.0).then_some(part)
    }

    /// Share of its capacity that an engine has: less than one while it is cold.
    fn capacity_share(&self, now: u64, e: &Engine) -> f64 {
        let from = self.settings.initial_capacity.unwrap_or(1.0);
        self.warmup_progress(now, e).map_or(1.0, |part| from + (1.0 - from) * part)
    }

    // ---- Demand check ----------------------------------------------------------------------------

    /// d of a request: the wanted time rather than the class deadline, which lies far past it and would fill
    /// engines with work that earns little; the deadline where the wanted time can't be met any more.
    fn due_ns(&self, now: u64, p: &Pending) -> u64 {
        let class = &self.settings.classes[p.request.class.0];
        let alone = self.need(&p.request) / self.threads(p.request.class);
        let wanted = p
            .accepted_ns
            .saturating_add(class.target_latency_ns + (class.target_latency_stretch * alone) as u64);
        let last = p.accepted_ns.saturating_add(class.deadline_ns).min(p.expires_ns);
        Some(wanted).filter(|w| *w > now.saturating_add(alone as u64)).map_or(last, |w| w.min(last))
    }

    /// The two-stage check of a request on an engine: its load factor where it passes.
    fn admit(&self, now: u64, p: &Pending, e: &Engine, context: &PickContext) -> Result<Admission, f64> {
        let (due, threads) = (context.due_ns, context.threads);
        let window = due.saturating_sub(now) as f64;
        let (available_cores, threads_per_core) = self.available_cores(now, e, threads, context);
        // A thread of a slowed engine is as good as a part of one: E shrinks R there, the crowd must not.
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
        // Memory is room of its own kind: past all of it queries wait, spill, or slow each other down.
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
        // Engines share their cores among threads, whatever the deadlines: the newcomer's part must do too.
        let (mut sum, mut worst) = (need, need / threads * slowed / window.max(1.0));
        let later = e.running.partition_point(|q| q.due_ns <= due);
        sum += e.running[..later].iter().map(|q| Self::remaining(q, now)).sum::<f64>();
        worst = worst.max(sum / (window * available_cores).max(1.0));
        for q in &e.running[later..] {
            let (rest, span) = (Self::remaining(q, now), (q.due_ns - now) as f64 * available_cores);
            if rest > span {
                continue;
            }
            sum += rest;
            worst = worst.max(sum / span);
        }
        worst += self.load_wait_ns(p, e, context) / window.max(1.0);
        (worst <= 1.0)
            .then_some(Admission { load_factor: worst, due_ns: due, threads_per_core, need_ns: need })
            .ok_or(worst)
    }

    /// How long a load stands still behind this gateway's own on the same data set of an engine. Guards
    /// against loads that pile up on one while others hold none: each keeps its threads and memory until its
    /// turn.
    fn load_wait_ns(&self, p: &Pending, e: &Engine, context: &PickContext) -> f64 {
        let load = |r: &Request| r.data_set.filter(|_| self.settings.classes[r.class.0].is_load);
        let Some(set) = load(&p.request) else { return 0.0 };
        let same =
            |q: &&RunningAttempt| self.pending.get(&q.request).and_then(|p| load(&p.request)) == Some(set);
        let before: f64 = e.running.iter().filter(same).map(|q| q.expected_ns).sum();
        before * context.latency_ratio.max(1.0) * PEER_LOADS_PER_OWN
    }

    /// This gateway's own order of all engines: lowest first; that of two stays as others come and go.
    fn preference(&self, e: &Engine) -> u64 {
        hash64(self.seed ^ e.entry.engine.0)
    }

    /// The usable engine with the lowest passing factor; else the lowest factor that failed.
    fn pick(&self, now: u64, p: &Pending) -> Result<(EngineId, Admission), f64> {
        let (due_ns, need_ns) = (self.due_ns(now, p), self.need(&p.request));
        let context =
            PickContext { due_ns, need_ns, threads: self.threads(p.request.class), ..self.context(now) };
        let ready = |e: &&Engine| e.entry.state == EngineState::Ready && !e.suspended;
        let mut ready: Vec<u64> = self.engines.values().filter(ready).map(|e| self.preference(e)).collect();
        let first = (MIN_ROUTERS_PER_ENGINE * ready.len() / self.settings.router_count.max(1) as usize)
            .max(MIN_PREFERRED_ENGINES);
        let all = first > ready.len();
        let last = if all { u64::MAX } else { *ready.select_nth_unstable(first - 1).1 };
        let among = first.min(self.engines.len()) as u64;
        let mut best: Option<(f64, u64, EngineId, Admission)> = None;
        let mut lowest = f64::INFINITY;
        for (id, e) in &self.engines {
            if !self.is_eligible(now, p, e) {
                continue;
            }
            match self.admit(now, p, e, &context) {
                Err(load_factor) => lowest = lowest.min(load_factor),
                Ok(pass) => {
                    let crosses = e.entry.zone != self.settings.zone;
                    let tie = hash64(self.seed ^ id.0 ^ p.request.id.0.rotate_left(32));
                    // Few may send to a cold engine: they always look at it.
                    let drawn = self.preference(e) <= last && tie % among < MAX_CANDIDATES;
                    let on_trial = e.verdict == Verdict::Trial;
                    let drawn = drawn || self.warmup_progress(now, e).is_some() || on_trial;
                    let rank = pass.load_factor + CROSS_ZONE_PENALTY * f64::from(crosses) + f64::from(!drawn);
                    let rank = rank - f64::from(on_trial);
                    if best.as_ref().is_none_or(|b| (rank, tie) < (b.0, b.1)) {
                        best = Some((rank, tie, *id, pass));
                    }
                }
            }
        }
        best.map(|(_, _, id, pass)| (id, pass)).ok_or(lowest)
    }

    // ---- Dispatch --------------------------------------------------------------------------------

    fn dispatch(&mut self, now: u64, id: RequestId, out: &mut Actions) {
        let Some(p) = self.pending.get(&id) else { return };
        if p.expires_ns <= now || !self.may_attempt(now, p) {
            return self.reject(id, 0.0, out);
        }
        match self.pick(now, p) {
            Ok((engine, pass)) => self.send(now, id, engine, pass, out),
            Err(load_factor) => {
                let window = self.due_ns(now, p).saturating_sub(now) as f64;
                self.refusals_since_report += i32::from(load_factor.is_finite());
                let wait = if load_factor.is_finite() { (load_factor - 1.0) * window } else { window };
                self.reject(id, wait, out);
            }
        }
    }

    fn send(&mut self, now: u64, id: RequestId, engine: EngineId, pass: Admission, out: &mut Actions) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        let (request, attempt, due_ns, timeout_ns) = (p.request, p.attempts, pass.due_ns, p.expires_ns - now);
        (p.attempts, p.running_on, p.cancelled) = (attempt + 1, Some(engine), false);
        let threads = self.threads(request.class);
        let typical_need = self.models[request.class.0].typical_need.value;
        let (alone, overrun_multiple) = (pass.need_ns / threads, self.overrun_multiple(request.class));
        let ratio = self.models[request.class.0].memory_ratio;
        let granting = self.settings.grants && ratio.count > 0.0;
        let margin = if granting { ROUTER_GRANT_MARGIN } else { ENGINE_GRANT_MARGIN };
        let memory = request.memory_estimate_mb.unwrap_or(0.0) * ratio.or(1.0) * margin;
        for (mean, new) in self.traffic_mix.iter_mut().zip([pass.need_ns, alone, memory * alone]) {
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
        // Memory is granted by the estimate, corrected by what answers progress; 0 leaves it to the engine.
        let most = e.memory_mb * self.settings.max_grant_share.unwrap_or(1.0);
        let grant_mb = if granting { memory.min(most).ceil() as u64 } else { 0 };
        Self::update_lagged_threads(now, e);
        e.warm_data_sets.retain(|set| Some(*set) != request.data_set);
        e.warm_data_sets.extend(request.data_set);
        e.warm_data_sets.drain(..e.warm_data_sets.len().saturating_sub(MAX_WARM_DATA_SETS));
        e.recent_sends.push((now, typical_need, lane));
        e.recent_sends.retain(|s| s.0 + overload_window_ns >= now);
        if e.suspended {
            (self.trial_tokens, e.next_trial_ns) = (0.0, now + e.backoff_ns);
            e.backoff_ns = (e.backoff_ns * 2).min(MAX_TRIAL_BACKOFF_NS);
        }
        let expected_ns = alone * pass.threads_per_core.max(1.0);
        let at = e.running.partition_point(|q| (q.due_ns, q.request) < (due_ns, id));
        let (request, sent_ns, need_ns, progress, priority) = (id, now, pass.need_ns, None, 1);
        #[rustfmt::skip]
        let running = RunningAttempt {
            request, attempt, due_ns, need_ns, threads, sent_ns, expected_ns, progress, priority, grant_mb,
        };
        e.running.insert(at, running);
        self.set_priorities(now, engine, (grant_mb > 0).then_some(id), out);
        out.push(Action::Send { request: id, engine, timeout_ns });
        let after_ns = ((expected_ns * overrun_multiple) as u64).max(MIN_REVIEW_NS);
        out.push(Action::SetTimer { after_ns, token: review_token(id, attempt) });
    }

    /// Nearer deadlines get higher priority: each quarter of the queries in order has one; late, the lowest.
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

    /// Probes the engine unheard longest, one an arrival at the most, whatever the fleet's size.
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

    /// Takes a report; where it tells no load, how many times longer than alone an answer took stands for it.
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
        // Busy cores stop at all of them; granted memory goes on telling how many queries share them.
        let granted_share =
            report.memory_share.filter(|_| self.traffic_mix[2] > 0.0 && e.memory_mb.is_finite());
        let by_memory =
            granted_share.map_or(0.0, |x| x * e.memory_mb * self.traffic_mix[0] / self.traffic_mix[2]);
        let busy = report.busy_share.map_or(0.0, |cores| cores.max(report.disk_share.unwrap_or(0.0)));
        let saturation = ((busy - SATURATION_START) / (1.0 - SATURATION_START)).clamp(0.0, 1.0);
        // A count is no guess: disks may be full where they are not told, and cores idle meanwhile.
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
        let entry = self.engines.get(&o.engine).map_or_else(EngineEntry::default, |e| e.entry);
        let alone = o.work_ns.map_or(ran.need_ns, |w| w as f64).max(1.0) / ran.threads;
        let latency_over_alone = (o.status == Status::Done).then_some(o.latency_ns as f64 / alone);
        self.record_report(now, o.engine, o.report, latency_over_alone);
        if let Some(e) = self.engines.get_mut(&o.engine).filter(|_| o.status == Status::Busy) {
            // Turned away at its session limit: a report of its own, whatever others say.
            (e.peer_threads, e.reported_ns) =
                (e.peer_threads.max(MAX_THREADS_FROM_LATENCY * e.cores), Some(now));
        }
        self.remove_departed();
        let Some(p) = self.pending.get_mut(&o.request) else { return };
        p.running_on = None;
        p.failed_engine = (o.status != Status::Done && !p.cancelled).then_some(o.engine);
        let never_ran = matches!(o.status, Status::Busy | Status::Refused | Status::Skipped);
        if !never_ran && p.may_have_run.is_none() {
            p.may_have_run = Some((ran.sent_ns, entry));
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
            // The attempt may still run: later requests of its key wait, its own next try need not.
            let paused_until_ns = now + self.settings.order_pause_ns.unwrap_or(0);
            let turn = self.key_queues.entry(key).or_default();
            turn.1 = paused_until_ns.max(o.may_run_until_ns).max(turn.1);
        }
        self.advance(now, key, out);
    }

    /// Takes what a finished attempt tells of its class.
    fn learn(&mut self, o: &Outcome, ran: &RunningAttempt) {
        let reported = o.work_ns.filter(|_| self.settings.answers_report_cost);
        let Some(p) = self.pending.get(&o.request) else { return };
        let (request, m) = (p.request, &mut self.models[p.request.class.0]);
        // An engine that showed no sign of life since tells nothing of the class.
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

    /// When a client is told to come back, as far as it would heed that.
    fn retry_after_ns(&self, wait_ns: f64) -> Option<u64> {
        self.settings.max_retry_after_ns.map(|longest| (wait_ns as u64).max(MIN_RETRY_AFTER_NS).min(longest))
    }

    /// Final answer at once: a refusal where a retry does no harm, else a failure. Later ones of its key wait
    /// for an attempt that is still out.
    fn reject(&mut self, id: RequestId, wait_ns: f64, out: &mut Actions) {
        let Some(p) = self.pending.remove(&id) else { return };
        let refuse = Action::Refuse { request: id, retry_after_ns: self.retry_after_ns(wait_ns) };
        let is_repeat_safe =
            self.is_repeat_safe(p.request.class, p.may_have_run.is_some() || p.running_on.is_some());
        out.push(if is_repeat_safe { refuse } else { Action::Fail(id) });
        self.pending.extend(p.running_on.map(|_| (id, Pending { concluded: true, ..p })));
    }

    // ---- Health ----------------------------------------------------------------------------------

    /// Judges an engine by an outcome against what was expected of it.
    fn update_health(&mut self, now: u64, o: &Outcome, ran: &RunningAttempt) {
        let cancelled = self.pending.get(&o.request).is_some_and(|p| p.concluded);
        let Some(e) = self.engines.get_mut(&o.engine) else { return };
        let silent = e.last_success_ns < ran.sent_ns && !cancelled;
        let weight = MIN_FAILURE_WEIGHT.max(1.0 - decay(now, e.last_outcome_ns, DECAY_NS));
        e.last_outcome_ns = now;
        match o.status {
            Status::Done => {
                if e.unreachable {
                    // It was out of reach and is back: perhaps restarted, and cold before the list says so.
                    (e.unreachable, e.cold_start_ns) = (false, Some(now));
                }
                (e.suspended, e.backoff_ns, e.last_success_ns) = (false, MIN_TRIAL_BACKOFF_NS, now);
                e.failure_share = blend(e.failure_share.min(SUSPEND_FAILURE_SHARE), 0.0, weight);
                let ratio = (o.latency_ns as f64 / ran.expected_ns.max(1.0)).min(MAX_OUTLIER_RATIO);
                let before = if e.latency_ratio > 0.0 { e.latency_ratio } else { self.latency_ratio.or(1.0) };
                e.latency_ratio = blend(before, ratio, LATENCY_RATIO_WEIGHT);
                self.latency_ratio.add(ratio);
            }
            // The process is gone or out of reach: no more to it until a trial succeeds. Resets alone may be
            // a bad link; a process that died refuses the next connection.
            Status::Refused => (e.unreachable, e.failure_share) = (true, 1.0),
            Status::Busy | Status::Skipped => {}
            Status::TimedOut | Status::Cancelled if !silent => {}
            _ => e.failure_share = blend(e.failure_share, 1.0, weight),
        }
        if e.failure_share >= SUSPEND_FAILURE_SHARE && !e.suspended {
            e.suspended = true;
            e.next_trial_ns = now + e.backoff_ns;
        }
    }

    /// Looks at an attempt that should have ended: bad plan, hung or slowed engine alike. Where a repeat is
    /// safe, or dropped by every engine, it is cancelled whatever comes next, since it would hold its threads
    /// for many times its need; its outcome has the check find it an engine, or refuses it.
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
        let patience = (expected * self.overrun_multiple(p.request.class)).max(MIN_REVIEW_NS as f64);
        if projected >= patience && self.is_repeat_safe(p.request.class, true) && self.settings.may_cancel {
            // Too late for another attempt: the final answer goes out at once, not with the outcome.
            let left = p.expires_ns.saturating_sub(now) as f64;
            let last = left < r.need_ns / r.threads || !self.may_attempt(now, p);
            self.pending.entry(id).and_modify(|p| p.cancelled = true);
            out.push(Action::Cancel { request: id, attempt });
            if last {
                self.reject(id, expected, out);
            }
            return;
        }
        let after = if age < patience { patience - age } else { expected.max(MIN_REVIEW_NS as f64) };
        if r.progress.is_none_or(|(at, _)| at != now) {
            out.push(Action::SetTimer { after_ns: after as u64 + 1, token: review_token(id, attempt) });
        }
    }

    // ---- Rule guards -----------------------------------------------------------------------------

    /// The key that a request waits its turn for.
    fn order_key(&self, r: &Request) -> Option<u64> {
        r.key.filter(|_| self.settings.classes[r.class.0].serial_by_key)
    }

    /// Whether a repeat does no harm, given that an attempt may have run.
    fn is_repeat_safe(&self, class: ClassId, may_have_run: bool) -> bool {
        let class = &self.settings.classes[class.0];
        match class.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => !may_have_run || class.dedup_scope == DedupScope::All,
            Effect::AtMostOnce => !may_have_run,
        }
    }

    /// Whether an attempt may follow the ones before: what may have run and is not safe to repeat goes again
    /// only while it is remembered, and only to an engine of those that drop its repeats.
    fn may_repeat(&self, now: u64, p: &Pending, to: Option<&EngineEntry>) -> bool {
        let class = &self.settings.classes[p.request.class.0];
        let (sent, at) = match (class.effect, p.may_have_run) {
            (_, None) | (Effect::Idempotent, _) => return true,
            (Effect::AtMostOnce, Some(_)) => return false,
            (Effect::Deduplicated, Some(first)) => first,
        };
        let group = to.is_none_or(|to| match class.dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => at.zone == to.zone,
            DedupScope::Cell => at.cell == to.cell,
        });
        group && class.dedup_window_ns.is_some_and(|w| now < sent.saturating_add(w))
    }

    /// Whether a request may have one more attempt: attempts allowed, effect and retry budget.
    fn may_attempt(&self, now: u64, p: &Pending) -> bool {
        let attempt_ok = self.settings.max_attempts.is_none_or(|most| p.attempts < most);
        let budget_ok = p.attempts == 0
            || self.settings.retry_budget.is_none_or(|b| {
                let since = now.saturating_sub(b.window_ns);
                let made = self.retries.iter().filter(|t| **t >= since).count() as f64;
                let arrivals = self.arrivals.iter().filter(|t| **t > since).count() as f64;
                made + 1.0 <= b.floor + b.per_request * arrivals
            });
        self.may_repeat(now, p, None) && attempt_ok && budget_ok
    }

    /// Whether an engine may be sent this request at all.
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

    /// Whether a cold engine stays within this gateway's share of what does not push it over. Light and heavy
    /// classes have half of the budget each: the share that is told, or else it is owned by as many gateways
    /// as whole queries of theirs fit in by settings alone, so that all know the owners by their numbers and
    /// the engine's. An owner may send one query in a window, or as many as its share holds. A gateway that
    /// restarted meanwhile waits for a window. An engine back from refused connections has no owners until
    /// told.
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
        let recent = || e.recent_sends.iter().filter(|s| s.0 + overload_window_ns >= now);
        if let Some(shares) = e.cold_shares {
            let sent: f64 = recent().filter(|s| s.2 == lane).map(|s| s.1).sum();
            return sent + typical_need <= half * shares[lane] || sent <= 0.0 && shares[lane] >= 1.0;
        }
        let started = e.entry.started_ns.zip(s.warmup_ns);
        let announced = started.is_some_and(|(at, cold)| now < at.saturating_add(cold));
        let max_owners = if announced { router_count as f64 } else { 1.0 };
        let owners = (half / largest).floor().clamp(1.0, max_owners);
        let same = |s: &&(u64, f64, usize)| usize::from(s.1 * MIN_LIGHT_QUERIES > budget * start) == lane;
        let sent: f64 = recent().filter(same).map(|s| s.1).sum();
        let fits = sent <= 0.0 || sent + typical_need <= half / owners;
        fits && !just_restarted && (!announced || (rank as f64) < owners)
    }
}
