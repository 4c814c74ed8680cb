//! The module's interface: settings in, events in, actions out. Times are nanoseconds, work is
//! core-nanoseconds (the time of all threads of a query, as if on one core), memory is megabytes.

/// A client request, as this gateway knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u64);

/// An engine; the same number at every gateway, and over restarts of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct EngineId(pub u64);

/// A request class: an index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ClassId(pub usize);

/// A tenant: an index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct TenantId(pub usize);

/// A zone (machine room), numbered by whoever embeds the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ZoneId(pub usize);

/// A machine kind: an index into [`Settings::kinds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct KindId(pub usize);

/// A number for a timer, given back in [`Event::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerToken(pub u64);

/// What repeating a request of a class does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    #[default]
    Idempotent,
    /// Repeats are dropped by the engines of a group while they remember the first.
    Deduplicated,
    /// Unsafe to repeat.
    AtMostOnce,
}

/// The engines that drop each other's repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// Settings of one request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// Answers within this time (plus the stretch) earn the full worth.
    pub target_latency_ns: u64,
    /// The aim is longer by this times the query's work divided by its threads.
    pub target_latency_stretch: f64,
    /// Class deadline: how long a client waits in all.
    pub deadline_ns: u64,
    /// Worth of one answer.
    pub worth: f64,
    /// Fraction of the worth that an answer earns between aim and deadline.
    pub late_worth: f64,
    /// Threads that a query runs on.
    pub threads: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// For deduplicated classes, who drops repeats.
    pub dedup_scope: DedupScope,
    /// For deduplicated classes, how long repeats are dropped.
    pub dedup_window_ns: Option<u64>,
    /// Requests with one key run one at a time, in the order taken.
    pub serial_by_key: bool,
    /// The only zones that may serve the class, where bound.
    pub only_zones: Option<Vec<ZoneId>>,
    /// The only machine kinds that may serve the class, where bound.
    pub only_kinds: Option<Vec<KindId>>,
    /// A query of the class holds its data set on its engine.
    pub is_load: bool,
    /// A query of the class stands still while a load holds its data set.
    pub waits_for_loads: bool,
}

/// What is known of one machine kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindSettings {
    /// Cores, where told.
    pub cores: Option<f64>,
    /// Memory, where told.
    pub memory_mb: Option<f64>,
}

/// What is known of one tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantSettings {
    /// Requests a second, over all gateways, within its share.
    pub allowance_per_s: Option<f64>,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportSource {
    /// Nowhere.
    #[default]
    None,
    /// Outcomes and probe results.
    Answers,
    /// Probe results only.
    Probes,
}

/// What happens when grants pass an engine's memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemoryShortage {
    /// The query waits in line.
    #[default]
    Wait,
    /// It gets what is left, and spills.
    Shrink,
    /// It is let in, and all slow down.
    Page,
}

/// Limit on attempts beyond a request's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts allowed whatever the traffic.
    pub floor: f64,
    /// Attempts allowed for each request taken.
    pub per_request: f64,
    /// The window over which both are counted.
    pub window_ns: u64,
}

/// All that a controller is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of this gateway among its peers.
    pub router_index: u32,
    /// Gateways that share the engines.
    pub router_count: u32,
    /// Zone of this gateway.
    pub zone: Option<ZoneId>,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The machine kinds.
    pub kinds: Vec<KindSettings>,
    /// The tenants; empty where there are none.
    pub tenants: Vec<TenantSettings>,
    /// Worth of a request over its tenant's share, against its class's.
    pub over_share_worth: Option<f64>,
    /// Attempts allowed for a request.
    pub max_attempts: Option<u32>,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Engines may be probed.
    pub may_probe: bool,
    /// Peers may be sent messages.
    pub may_message_peers: bool,
    /// A request may have two attempts out.
    pub may_hedge: bool,
    /// Longest retry advice that clients honour; absent where they get none.
    pub max_retry_after_ns: Option<u64>,
    /// Where load reports come from.
    pub report_source: ReportSource,
    /// Memory grants are heeded.
    pub grants: bool,
    /// Priorities are heeded.
    pub priorities: bool,
    /// Largest share of an engine's memory that one query gets.
    pub max_grant_share: Option<f64>,
    /// What happens when grants pass the memory.
    pub memory_shortage: MemoryShortage,
    /// Answers tell the query's true work and memory.
    pub answers_report_cost: bool,
    /// Time between progress notes; absent where there are none.
    pub progress_interval_ns: Option<u64>,
    /// Time after a drain notice within which sends must have ended.
    pub drain_grace_ns: Option<u64>,
    /// Share of its capacity that an engine starts with, at least.
    pub initial_capacity: Option<f64>,
    /// Longest time until an engine is warm.
    pub warmup_ns: Option<u64>,
    /// A cold engine sent more than this multiple of its capacity falls over...
    pub overload_multiple: Option<f64>,
    /// ...when that lasts this long.
    pub overload_window_ns: Option<u64>,
    /// Rest of a key after an attempt that may still be running.
    pub order_pause_ns: Option<u64>,
    /// Limit on attempts beyond the first, where there is one.
    pub retry_budget: Option<RetryBudget>,
    /// Membership news must be asked for.
    pub must_subscribe: bool,
}

/// Load report of an engine; what it does not hold is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Queries in hand.
    pub in_flight: Option<f64>,
    /// Queries waiting for memory.
    pub queued: Option<f64>,
    /// Share of the cores that is busy.
    pub busy_share: Option<f64>,
    /// Share of the memory that is granted.
    pub memory_share: Option<f64>,
    /// Share of the disks that is busy.
    pub disk_share: Option<f64>,
}

/// What membership says of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// Takes queries.
    #[default]
    Ready,
    /// Finishes what it holds; gets nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the list of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// The engine.
    pub engine: EngineId,
    /// Its zone, where known.
    pub zone: Option<ZoneId>,
    /// Its machine kind, where known.
    pub kind: Option<KindId>,
    /// Its cell.
    pub cell: Option<u64>,
    /// Its state.
    pub state: EngineState,
    /// A figure to compare it with other engines.
    pub weight: f64,
    /// Clock time of its latest start; absent for long ago.
    pub started_ns: Option<u64>,
}

/// How a membership message is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last held, perhaps stale.
    Cached,
    /// Asking for it failed.
    Failed,
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Time until its client gives up.
    pub time_left_ns: u64,
    /// How long ago it was taken: it waited for its turn since.
    pub waited_ns: u64,
    /// Its order key, where it has one.
    pub key: Option<u64>,
    /// The data set that it reads or writes.
    pub data_set: Option<u64>,
    /// Estimated work in core-nanoseconds.
    pub work_estimate_ns: Option<u64>,
    /// Estimated memory.
    pub memory_estimate_mb: Option<f64>,
    /// The client marks it as a repeat.
    pub is_repeat: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Done,
    /// Error answer; may have run.
    Error,
    /// Turned away unseen.
    Busy,
    /// No answer in time; may run still.
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

/// How an attempt ended, with what came along.
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
    /// The request has concluded.
    pub concluded: bool,
    /// True work in core-nanoseconds, where told.
    pub work_ns: Option<u64>,
    /// True memory, where told.
    pub memory_mb: Option<f64>,
    /// Load report of the engine, where one came.
    pub report: Option<LoadReport>,
    /// Clock time until which it may still be running, as its engine did not say that it is over; 0 where it is.
    pub may_run_until_ns: u64,
}

/// News of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptUpdate {
    /// Share of the attempt that is done.
    Progress(f64),
    /// It spills; megabytes missing.
    Spilling(f64),
    /// It waits for memory or for a load.
    Waiting,
}

/// What the gateways together believe of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Verdict {
    /// Nothing against it.
    #[default]
    Well,
    /// It gets nothing.
    Out,
    /// It is out, and this gateway may try it with one request that a repeat does not harm.
    Trial,
    /// It takes so much longer than others (ratio).
    Slow(f64),
}

/// What happens to a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the engines.
    Membership(MembershipKind, Vec<EngineEntry>),
    /// A request has arrived; it is owed one final answer.
    Arrival(Request),
    /// A streamed answer has started: the attempt belongs to the client.
    Started(RequestId, u32),
    /// News of a running attempt.
    Progress(RequestId, u32, AttemptUpdate),
    /// An attempt has ended.
    Outcome(Outcome),
    /// A probe has ended.
    Probed(EngineId, Status, Option<LoadReport>),
    /// Parts of a cold engine's budgets for light and heavy classes that are this gateway's from here on (shares),
    /// where gateways share them out among themselves.
    ColdShares(EngineId, [f64; 2]),
    /// What the gateways together believe of an engine from here on, where they share it.
    VerdictChanged(EngineId, Verdict),
    /// A peer has sent a message.
    PeerMessage(u32, Vec<u8>),
    /// The client has left.
    Left(RequestId),
    /// The request's time is over while an attempt is out whose outcome comes once it is over: its final answer is due.
    Expired(RequestId),
    /// A timer is due.
    Timer(TimerToken),
}

/// What a controller wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        engine: EngineId,
        /// Time-out of the attempt.
        timeout_ns: u64,
    },
    /// The attempt that follows takes so much of a cold engine's budget, where its shares were told.
    ColdSent {
        /// The request.
        request: RequestId,
        /// The engine.
        engine: EngineId,
        /// 0 for light classes, 1 for heavy ones.
        lane: usize,
        /// Part of the lane's budget (share).
        share: f64,
    },
    /// Cease waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: refused, a retry does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// When the client should come back.
        retry_after_ns: Option<u64>,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// Memory grant and priority (0 to 3) of the next attempts; the priority also of running ones.
    SetTerms {
        /// The request.
        request: RequestId,
        /// Memory; 0 leaves it to the engine.
        memory_mb: u64,
        /// Priority.
        priority: u8,
    },
    /// Ask for [`Event::Timer`].
    SetTimer {
        /// From now.
        after_ns: u64,
        /// Given back.
        token: TimerToken,
    },
    /// Probe an engine.
    Probe(EngineId),
    /// Send a message to one peer, or to all.
    SendToPeer(Option<u32>, Vec<u8>),
    /// Subscribe to membership news.
    Subscribe,
    /// Leave a line for the operators.
    Log(String),
}
