//! Settings, events and actions of the decision module. Times are in nanoseconds, work in
//! core-nanoseconds (time summed over all threads of a query), memory in megabytes.

/// A client request; unique within a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u64);

/// An engine; the same id on all routers and across restarts of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct EngineId(pub u64);

/// A request class: an index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ClassId(pub usize);

/// A tenant: an index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct TenantId(pub usize);

/// A zone; numbered by the embedding program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ZoneId(pub usize);

/// A machine kind: an index into [`Settings::kinds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct KindId(pub usize);

/// Identifies a timer; returned in [`Event::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

/// Effect of repeating a request of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    #[default]
    Idempotent,
    /// Engines in the deduplication scope drop repeats within the deduplication window.
    Deduplicated,
    /// Unsafe to repeat.
    AtMostOnce,
}

/// The engines among which repeats are dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DedupScope {
    /// All engines.
    #[default]
    All,
    /// Engines of one zone.
    Zone,
    /// Engines of one cell.
    Cell,
}

/// Turn of a serial request, as far as the other processes of an upgrade are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyTurn {
    /// No earlier request of its key is unfinished there. It may be sent from this clock time.
    From(u64),
    /// An earlier request of its key is unfinished there. [`Event::TurnGranted`] follows.
    Waiting,
}

impl Default for KeyTurn {
    fn default() -> KeyTurn {
        KeyTurn::From(0)
    }
}

/// Work sent to a cold engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdSend {
    /// The engine.
    pub engine: EngineId,
    /// Typical need of the request's class.
    pub need_ns: u64,
    /// 0 for light classes, 1 for heavy ones.
    pub lane: usize,
    /// Clock time until which it counts against the engine's budget.
    pub counts_until_ns: u64,
}

/// Settings of one request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// Target latency: answers within it, plus the stretch, have full worth.
    pub target_latency_ns: u64,
    /// Adds this multiple of work divided by threads to the target latency.
    pub target_latency_stretch: f64,
    /// Time after which the client gives up.
    pub deadline_ns: u64,
    /// Worth of one answer.
    pub worth: f64,
    /// Share of the worth of an answer between target and deadline.
    pub late_worth: f64,
    /// Threads per query.
    pub threads: f64,
    /// Effect of a repeat.
    pub effect: Effect,
    /// Engines that drop repeats, for deduplicated classes.
    pub dedup_scope: DedupScope,
    /// How long repeats are dropped, for deduplicated classes.
    pub dedup_window_ns: Option<u64>,
    /// Requests with the same key run one at a time, in order of acceptance.
    pub serial_by_key: bool,
    /// Zones that may serve the class; any if absent.
    pub only_zones: Option<Vec<ZoneId>>,
    /// Machine kinds that may serve the class; any if absent.
    pub only_kinds: Option<Vec<KindId>>,
    /// Queries of the class load (lock) their data set on the engine.
    pub is_load: bool,
    /// Queries of the class block while a load holds their data set.
    pub waits_for_loads: bool,
}

impl ClassSettings {
    /// Whether a request of this class may run on any engine, given whether it may have run before.
    pub fn is_repeat_safe(&self, may_have_run: bool) -> bool {
        match self.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => !may_have_run || self.dedup_scope == DedupScope::All,
            Effect::AtMostOnce => !may_have_run,
        }
    }
}

/// Settings of one machine kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindSettings {
    /// Cores; absent if unknown.
    pub cores: Option<f64>,
    /// Memory; absent if unknown.
    pub memory_mb: Option<f64>,
}

/// Settings of one tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantSettings {
    /// Requests per second, summed over all routers, within its share.
    pub allowance_per_s: Option<f64>,
}

/// Source of load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// No reports.
    #[default]
    None,
    /// Outcomes and probe results.
    Answers,
    /// Probe results only.
    Probes,
}

/// What happens when grants exceed an engine's memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemoryShortage {
    /// The query queues for memory.
    #[default]
    Wait,
    /// The grant is reduced to what is left, and the query spills.
    Shrink,
    /// Memory is overcommitted, and all queries slow down.
    Page,
}

/// Limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed regardless of traffic.
    pub floor: f64,
    /// Retries allowed per accepted request.
    pub per_request: f64,
    /// Window over which requests and retries are counted.
    pub window_ns: u64,
}

/// Settings of a controller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Index of this router among its peers.
    pub router_index: u32,
    /// Routers that share the engines.
    pub router_count: u32,
    /// Zone of this router.
    pub zone: Option<ZoneId>,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The machine kinds.
    pub kinds: Vec<KindSettings>,
    /// The tenants; empty if there are none.
    pub tenants: Vec<TenantSettings>,
    /// Worth of a request beyond its tenant's share, as a multiple of its class's worth.
    pub over_share_worth: Option<f64>,
    /// Maximum attempts per request.
    pub max_attempts: Option<u32>,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Engines may be probed.
    pub may_probe: bool,
    /// Messages may be sent to peers.
    pub may_message_peers: bool,
    /// A request may have two attempts running (hedging).
    pub may_hedge: bool,
    /// Longest retry advice that clients honour; absent if they honour none.
    pub max_retry_after_ns: Option<u64>,
    /// Source of load reports.
    pub report_source: ReportSource,
    /// Engines honour memory grants.
    pub grants: bool,
    /// Engines honour priorities.
    pub priorities: bool,
    /// Maximum share of an engine's memory that one query is granted.
    pub max_grant_share: Option<f64>,
    /// What happens when grants exceed the memory.
    pub memory_shortage: MemoryShortage,
    /// Answers report the actual work and memory of the query.
    pub answers_report_cost: bool,
    /// Interval of progress updates; absent if there are none.
    pub progress_interval_ns: Option<u64>,
    /// Time after a drain notice until sends must have ended.
    pub drain_grace_ns: Option<u64>,
    /// Minimum share of its capacity that an engine starts with.
    pub initial_capacity: Option<f64>,
    /// Maximum time until an engine is warm.
    pub warmup_ns: Option<u64>,
    /// A cold engine fails if sent more than this multiple of its capacity for the overload window.
    pub overload_multiple: Option<f64>,
    /// How long a cold engine withstands an overload.
    pub overload_window_ns: Option<u64>,
    /// Pause of a key after an attempt that may still be running.
    pub order_pause_ns: Option<u64>,
    /// Limit on retries; unlimited if absent.
    pub retry_budget: Option<RetryBudget>,
    /// Membership updates must be subscribed to.
    pub must_subscribe: bool,
}

/// Load report of an engine; unreported figures are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Queries that are running or waiting.
    pub in_flight: Option<f64>,
    /// Queries waiting for memory.
    pub queued: Option<f64>,
    /// Busy share of the cores.
    pub busy_share: Option<f64>,
    /// Granted share of the memory.
    pub memory_share: Option<f64>,
    /// Busy share of the disks.
    pub disk_share: Option<f64>,
}

/// Membership state of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// Accepts queries.
    #[default]
    Ready,
    /// Finishes its queries, accepts no new ones.
    Draining,
    /// Removed.
    Gone,
}

/// Entry of the engine list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// The engine.
    pub engine: EngineId,
    /// Its zone; absent if unknown.
    pub zone: Option<ZoneId>,
    /// Its machine kind; absent if unknown.
    pub kind: Option<KindId>,
    /// Its cell; absent if unknown.
    pub cell: Option<u64>,
    /// Its state.
    pub state: EngineState,
    /// Relative capacity.
    pub weight: f64,
    /// Clock time of its latest start; absent if long ago.
    pub started_ns: Option<u64>,
}

/// Kind of a membership message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list from a cache, possibly stale.
    Cached,
    /// The subscription failed.
    Failed,
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant; absent if there are none.
    pub tenant: Option<TenantId>,
    /// Time left until the client gives up.
    pub time_left_ns: u64,
    /// Time spent in the fair queue.
    pub waited_ns: u64,
    /// Its order key, if any.
    pub key: Option<u64>,
    /// Its turn among the requests of its key at other processes of this router.
    pub turn: KeyTurn,
    /// The data set that it accesses.
    pub data_set: Option<u64>,
    /// Estimated work in core-nanoseconds.
    pub work_estimate_ns: Option<u64>,
    /// Estimated memory.
    pub memory_estimate_mb: Option<f64>,
    /// The client marked it as a repeat.
    pub is_repeat: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Completed.
    Done,
    /// Error response; may have run.
    Error,
    /// Rejected before running.
    Busy,
    /// No response in time; may still run.
    TimedOut,
    /// No connection; never ran.
    Refused,
    /// Connection broken; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    Skipped,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The engine.
    pub engine: EngineId,
    /// How it ended.
    pub status: Status,
    /// Time since sending.
    pub latency_ns: u64,
    /// The request needs no final answer any more.
    pub concluded: bool,
    /// Actual work in core-nanoseconds; absent if not reported.
    pub work_ns: Option<u64>,
    /// Actual memory; absent if not reported.
    pub memory_mb: Option<f64>,
    /// Load report of the engine, if one came along.
    pub report: Option<LoadReport>,
    /// Clock time until which the attempt may still be running on its engine; 0 if it has ended.
    pub may_run_until_ns: u64,
}

/// Update of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptUpdate {
    /// Completed share of the attempt.
    Progress(f64),
    /// It spills; the value is the missing megabytes.
    Spilling(f64),
    /// It waits for memory or for a load.
    Waiting,
}

/// Health of an engine as agreed by all routers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Verdict {
    /// Healthy.
    #[default]
    Well,
    /// Excluded: receives no requests.
    Out,
    /// Excluded, but this router may try it with one request that is safe to repeat.
    Trial,
    /// Slow: latency as a multiple of that of other engines.
    Slow(f64),
}

/// Input of a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The engine list has changed.
    Membership(MembershipKind, Vec<EngineEntry>),
    /// A request has arrived; it requires exactly one final answer.
    Arrival(Request),
    /// A streamed answer has started: the attempt can no longer be cancelled or repeated.
    Started(RequestId, u32),
    /// Update of a running attempt.
    Progress(RequestId, u32, AttemptUpdate),
    /// An attempt has ended.
    Outcome(Outcome),
    /// A probe has ended.
    Probed(EngineId, Status, Option<LoadReport>),
    /// This router's shares of a cold engine's budgets for light and heavy classes have changed,
    /// where routers divide these among themselves.
    ColdShares(EngineId, [f64; 2]),
    /// The shared verdict on an engine has changed.
    VerdictChanged(EngineId, Verdict),
    /// The requests of its key that a request waits for at another process are finished. It may be
    /// sent from this clock time.
    TurnGranted(RequestId, u64),
    /// Whether this process has the reserve of its router's budgets, which one process of an upgrade
    /// has: the retries that do not depend on traffic, and a query that exceeds a cold engine's
    /// budget.
    Reserve(bool),
    /// All that other processes of this router sent to cold engines and that still counts.
    ColdSendsElsewhere(Vec<ColdSend>),
    /// A peer has sent a message.
    PeerMessage(u32, Vec<u8>),
    /// The client has disconnected.
    Left(RequestId),
    /// The request has expired while an attempt is running whose outcome will follow: a final
    /// answer is due.
    Expired(RequestId),
    /// A timer is due.
    Timer(TimerToken),
}

/// Output of a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The engine.
        engine: EngineId,
        /// Timeout of the attempt.
        timeout_ns: u64,
    },
    /// The attempt that follows uses part of a cold engine's assigned budget.
    ColdSent {
        /// The request.
        request: RequestId,
        /// The engine.
        engine: EngineId,
        /// 0 for light classes, 1 for heavy ones.
        lane: usize,
        /// Share of the lane's budget.
        share: f64,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: refused; a retry is safe.
    Refuse {
        /// The request.
        request: RequestId,
        /// When the client should retry; absent if it gets no advice.
        retry_after_ns: Option<u64>,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// Memory grant and priority of a request's next attempts; the priority also applies to running
    /// ones.
    SetTerms {
        /// The request.
        request: RequestId,
        /// Memory grant; 0 leaves the choice to the engine.
        memory_mb: u64,
        /// Priority, 0 (lowest) to 3.
        priority: u8,
    },
    /// Request an [`Event::Timer`].
    SetTimer {
        /// Delay from now.
        after_ns: u64,
        /// Returned in the event.
        token: TimerToken,
    },
    /// Probe an engine.
    Probe(EngineId),
    /// Send a message to one peer, or to all peers if absent.
    SendToPeer(Option<u32>, Vec<u8>),
    /// Subscribe to membership updates.
    Subscribe,
    /// Write a line to the operators' log.
    Log(String),
}
