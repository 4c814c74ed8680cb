//! The core of the router: open requests, attempts, timers, counters, and exactly one final answer
//! per request.
//!
//! It does no input or output. Fronts submit requests and deliver answers; engine clients execute
//! attempts and report how they end. Events are queued, and [`Router::process_events`] passes them
//! to the decision module in one batch. Requests may wait in the fair queue before the module
//! receives them.

#![forbid(unsafe_code)]

pub mod cold;
pub mod counters;
pub mod end_reason;
pub mod health;
pub mod limits;
pub mod repeat_guard;
pub mod serial;
pub mod statement;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::rc::Rc;

use log::{debug, warn};

use counters::Counters;
use end_reason::{ControlEvent, EndReason};
use health::FleetHealth;
use limits::FleetLimits;
use marljunction_control::interface::*;
use marljunction_control::Controller;
use marljunction_fair_queue::{Arrival, FairQueue, QueueAction, RetryAfter};
use marljunction_limits::node::Permit;
use repeat_guard::{NameConflict, RepeatGuard, UsedName};
use serial::SerialChange;
use statement::Statement;

/// Time after a request's deadline at which the core answers it if nothing else did (ns).
const ANSWER_GRACE_NS: u64 = 5_000_000;

/// Time after the class deadline by which an attempt with an unconfirmed end must be over (ns): the
/// engine counts from when it received the call, and sockets may add 50 ms.
const UNCONFIRMED_END_GRACE_NS: u64 = 250_000_000;

/// Most names of requests that must not run again that other processes of this router are told of.
const MAX_SHARED_NAMES: usize = 512;

/// Maximum number of open requests outside the fair queue; each may hold a statement and a result.
const MAX_OPEN_REQUESTS: usize = 1_000;
/// Share of the memory limit for the statements of open requests.
const MAX_STATEMENT_MEMORY_SHARE: f64 = 0.15;

/// Work of a request without an estimate, as a share of its class's aim times threads.
const DEFAULT_NEED_SHARE: f64 = 0.25;

/// Converts retry advice to whole milliseconds, at least 1.
fn retry_after_ms(retry_after: RetryAfter) -> u64 {
    retry_after.after_ns.div_ceil(1_000_000).max(1)
}

/// Destination of an answer: a connection id, never reused, and a call id on that connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Client {
    /// The connection id.
    pub conn: u64,
    /// The call id on the connection.
    pub call: u64,
}

/// A client's request: its statement, class, identity, deadline and estimates.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// The request id that engines use.
    pub name: String,
    /// Deduplication token for engines; `None` if the class is not deduplicated.
    pub token: Option<String>,
    /// Its request class.
    pub class: ClassId,
    /// Requests of a serial class with the same key run one at a time.
    pub order_key: Option<u64>,
    /// Its tenant, if tenants are configured.
    pub tenant: Option<TenantId>,
    /// A numeric identity of its client.
    pub client: u64,
    /// Time until the answer must be sent.
    pub time_left_ns: u64,
    /// Estimated work in core-nanoseconds.
    pub work_estimate_ns: Option<u64>,
    /// Estimated memory in megabytes.
    pub memory_estimate_mb: Option<f64>,
    /// The SQL statement.
    pub statement: Statement,
}

/// The values of a row; `None` for NULL.
pub type Row = Vec<Option<Vec<u8>>>;

/// Metadata of a result column, as reported by the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Column {
    /// The column name.
    pub name: String,
    /// Type OID.
    pub type_id: u32,
    /// Size of the type; negative if variable.
    pub size: i16,
    /// Type modifier.
    pub modifier: i32,
    /// Whether values are in the type's binary format.
    pub binary: bool,
}

/// Rows of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rows {
    /// Text: columns separated by tabs, each row terminated by a line feed.
    Text(Vec<u8>),
    /// Column metadata and values.
    Cells(Vec<Column>, Vec<Row>),
}

impl Rows {
    /// Converts the rows to text; NULL becomes `\N`.
    pub fn into_text(self) -> Vec<u8> {
        match self {
            Rows::Text(text) => text,
            Rows::Cells(_, rows) => {
                let mut text = Vec::new();
                for row in rows {
                    for (i, cell) in row.iter().enumerate() {
                        text.extend_from_slice(if i > 0 { b"\t" } else { b"" });
                        text.extend_from_slice(cell.as_deref().unwrap_or(b"\\N"));
                    }
                    text.push(b'\n');
                }
                text
            }
        }
    }

    /// Converts the rows to values, with column metadata if the engine sent it.
    pub fn into_cells(self) -> (Vec<Column>, Vec<Row>) {
        match self {
            Rows::Cells(columns, rows) => (columns, rows),
            Rows::Text(text) => (Vec::new(), text_rows(&text)),
        }
    }
}

fn text_rows(text: &[u8]) -> Vec<Row> {
    let rows = text.split_inclusive(|b| *b == b'\n').map(|row| row.strip_suffix(b"\n").unwrap_or(row));
    rows.map(|row| row.split(|b| *b == b'\t').map(|cell| Some(cell.to_vec())).collect()).collect()
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The complete result.
    Served(Rows),
    /// Refused; a retry is safe.
    Refused {
        /// Retry delay in milliseconds.
        backoff_ms: u64,
        /// How the last attempt ended, if there was one.
        after: Option<EndReason>,
        /// The engine's error report, if it sent one.
        fault: Option<Fault>,
    },
    /// Failed, with the end reason of the last attempt and the engine's error report, if any.
    Failed(Option<EndReason>, Option<Fault>),
}

/// An engine's error report on a failed statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// SQLSTATE.
    pub state: String,
    /// Error message.
    pub message: String,
}

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Attempt number, from 0.
    pub number: u32,
}

/// A command for the fronts and engine clients.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an attempt to an engine.
    Start {
        /// The attempt.
        attempt: Attempt,
        /// The target engine.
        engine: EngineId,
        /// Timeout of the attempt.
        timeout_ns: u64,
        /// Its priority.
        priority: u8,
        /// The request to send.
        client_request: Rc<ClientRequest>,
        /// Latest time to start sending (ns): afterwards, engines no longer deduplicate a repeat.
        /// `None` if unlimited.
        begin_by_ns: Option<u64>,
    },
    /// Cancel an attempt. It remains in flight until its end is reported.
    CancelAttempt(Attempt),
    /// Cancel an attempt if its call was not completely written; otherwise leave it running.
    CancelIfUnsent(Attempt),
    /// Change the priority of an attempt in flight.
    SetPriority(Attempt, u8),
    /// Send a client its final answer.
    Answer(Client, Answer),
}

struct InFlight {
    number: u32,
    engine: EngineId,
    sent_ns: u64,
    cancelled_ns: Option<u64>,
}

struct OpenRequest {
    client_request: Rc<ClientRequest>,
    client: Client,
    /// The final answer was sent or is no longer needed.
    concluded: bool,
    /// The client left before the final answer.
    client_left: bool,
    /// Send time of the first attempt that may have run (ns).
    may_have_run_ns: Option<u64>,
    attempts: u32,
    in_flight: Option<InFlight>,
    last_end: Option<EndReason>,
    fault: Option<Fault>,
    priority: u8,
    received_ns: u64,
    expires_ns: u64,
    /// Units held under fleet-wide limits.
    permit: Option<Permit>,
    shared_order: SharedOrderState,
}

/// How far a request is in the order that the processes of an upgrade share.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SharedOrderState {
    /// Not part of it.
    Absent,
    /// The other processes are told of it; its turn is not known yet.
    Announced,
    /// The decision module has the request.
    Submitted,
}

enum InboundEvent {
    Arrival(RequestId),
    ClientLeft(RequestId, EndReason),
    ClientCancelled(RequestId),
    AttemptUpdate(Attempt, AttemptUpdate),
    Ended(Attempt, EndReason, Option<Rows>, Option<LoadReport>),
    Membership(MembershipKind, Vec<EngineEntry>),
    Turn(RequestId, KeyTurn),
    Reserve(bool),
    ColdSendsElsewhere(Vec<ColdSend>),
}

impl InboundEvent {
    /// Processing order within a batch. Client departures and membership changes come first, so
    /// that no attempt is sent for an absent client or to a draining engine. A result precedes a
    /// cancellation of the same request, which is then too late.
    fn processing_order(&self) -> u8 {
        match self {
            InboundEvent::ClientLeft(..) => 0,
            InboundEvent::Membership(..) | InboundEvent::Reserve(_) | InboundEvent::ColdSendsElsewhere(_) => {
                1
            }
            InboundEvent::Ended(_, EndReason::Served, ..) => 2,
            InboundEvent::ClientCancelled(_) => 3,
            InboundEvent::Arrival(_)
            | InboundEvent::AttemptUpdate(..)
            | InboundEvent::Ended(..)
            | InboundEvent::Turn(..) => 4,
        }
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Module(TimerToken),
    TimeOut(Attempt),
    Final(RequestId),
}

/// The core of one router process.
pub struct Router {
    control: Controller,
    classes: Vec<ClassSettings>,
    fair_queue: Option<FairQueue>,
    limits: Option<FleetLimits>,
    health: Option<FleetHealth>,
    open: HashMap<RequestId, OpenRequest>,
    timers: BinaryHeap<Reverse<(u64, u64, Timer)>>,
    batch: Vec<InboundEvent>,
    actions: Vec<Action>,
    serial: u64,
    /// Total size of the statements of open requests (bytes).
    statement_bytes: usize,
    max_statement_bytes: usize,
    /// Names of the open requests.
    open_names: HashSet<String>,
    /// Names of requests that must not run again, apart from open ones of this process.
    repeat_guard: RepeatGuard,
    /// Number of changes of this process's names that must not run again.
    used_name_changes: u64,
    /// Changes that other processes of this router are to be told of; `None` if there can be none.
    serial_changes: Option<Vec<SerialChange>>,
    /// Whether this process has the reserve of its router's budgets, as last reported.
    has_reserve: bool,
    /// The counters.
    pub counters: Counters,
}

impl Router {
    /// Creates a core with a new decision module. `memory_mb` is the memory limit of the process.
    pub fn new(settings: Settings, seed: u64, memory_mb: f64) -> Self {
        Router {
            classes: settings.classes.clone(),
            fair_queue: None,
            limits: None,
            health: None,
            control: Controller::new(settings, seed),
            open: HashMap::new(),
            timers: BinaryHeap::new(),
            batch: Vec::new(),
            actions: Vec::new(),
            serial: 0,
            statement_bytes: 0,
            max_statement_bytes: (memory_mb * MAX_STATEMENT_MEMORY_SHARE * 1e6) as usize,
            open_names: HashSet::new(),
            repeat_guard: RepeatGuard::new(memory_mb),
            used_name_changes: 0,
            serial_changes: None,
            has_reserve: true,
            counters: Counters::default(),
        }
    }

    /// Adds a fair queue before the decision module.
    pub fn with_fair_queue(mut self, fair_queue: Option<FairQueue>) -> Self {
        self.fair_queue = fair_queue;
        self
    }

    /// Adds fleet-wide limits before the fair queue.
    pub fn with_limits(mut self, limits: Option<FleetLimits>) -> Self {
        self.limits = limits;
        self
    }

    /// Shares the order of serial requests with other processes of this router: each is submitted to
    /// the decision module once [`Router::set_turn`] has told its turn.
    pub fn with_shared_order(mut self, shared: bool) -> Self {
        self.serial_changes = shared.then(Vec::new);
        self
    }

    /// Adds engine health shared by the fleet.
    pub fn with_health(mut self, health: Option<FleetHealth>) -> Self {
        self.health = health;
        self
    }

    /// Engine health, if the fleet shares it.
    pub fn health(&mut self) -> Option<&mut FleetHealth> {
        self.health.as_mut()
    }

    /// The fleet-wide limits, if configured.
    pub fn limits(&mut self) -> Option<&mut FleetLimits> {
        self.limits.as_mut()
    }

    /// The fair queue, if configured.
    pub fn fair_queue(&mut self) -> Option<&mut FairQueue> {
        self.fair_queue.as_mut()
    }

    /// Accepts a request, which will get exactly one final answer unless its client leaves.
    pub fn accept_request(
        &mut self,
        now_ns: u64,
        client: Client,
        client_request: ClientRequest,
    ) -> RequestId {
        self.serial += 1;
        let id = RequestId(self.serial);
        let expires_ns = now_ns.saturating_add(client_request.time_left_ns);
        self.statement_bytes += client_request.statement.text.len();
        self.open_names.insert(client_request.name.clone());
        self.used_name_changes += u64::from(self.must_not_repeat(client_request.class));
        let open = OpenRequest {
            client_request: Rc::new(client_request),
            client,
            concluded: false,
            client_left: false,
            may_have_run_ns: None,
            attempts: 0,
            in_flight: None,
            last_end: None,
            fault: None,
            priority: 1,
            received_ns: now_ns,
            expires_ns,
            permit: None,
            shared_order: SharedOrderState::Absent,
        };
        self.open.insert(id, open);
        self.counters.taken += 1;
        self.set_timer(expires_ns.saturating_add(ANSWER_GRACE_NS), Timer::Final(id));
        self.batch.push(InboundEvent::Arrival(id));
        id
    }

    /// Reports that the client left; the request needs no answer.
    pub fn client_left(&mut self, id: RequestId, end_reason: EndReason) {
        self.batch.push(InboundEvent::ClientLeft(id, end_reason));
    }

    /// Cancels a request whose client still waits for the answer.
    pub fn cancel(&mut self, id: RequestId) {
        self.batch.push(InboundEvent::ClientCancelled(id));
    }

    /// Records an engine's error report on an attempt; its end is reported separately.
    pub fn fault(&mut self, at: Attempt, fault: Fault) {
        let open = self.open.get_mut(&at.request);
        if let Some(open) = open.filter(|o| o.in_flight.as_ref().is_some_and(|c| c.number == at.number)) {
            open.fault = Some(fault);
        }
    }

    /// Reports progress of a running attempt.
    pub fn attempt_update(&mut self, attempt: Attempt, update: AttemptUpdate) {
        self.batch.push(InboundEvent::AttemptUpdate(attempt, update));
    }

    /// Reports the end of an attempt. Only the first report for an attempt counts.
    pub fn ended(
        &mut self,
        at: Attempt,
        end_reason: EndReason,
        rows: Option<Rows>,
        report: Option<LoadReport>,
    ) {
        self.batch.push(InboundEvent::Ended(at, end_reason, rows, report));
    }

    /// Reports a change of the engine list.
    pub fn membership(&mut self, kind: MembershipKind, entries: Vec<EngineEntry>) {
        self.batch.push(InboundEvent::Membership(kind, entries));
    }

    /// Returns the changes since the last call that other processes of this router are to be told of.
    pub fn take_serial_changes(&mut self) -> Vec<SerialChange> {
        self.serial_changes.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Reports whether this process has the reserve of its router's budgets.
    pub fn set_reserve(&mut self, has_reserve: bool) {
        if std::mem::replace(&mut self.has_reserve, has_reserve) != has_reserve {
            self.batch.push(InboundEvent::Reserve(has_reserve));
        }
    }

    /// Reports all that other processes of this router sent to cold engines and that still counts.
    pub fn set_cold_sends_elsewhere(&mut self, sends: Vec<ColdSend>) {
        self.batch.push(InboundEvent::ColdSendsElsewhere(sends));
    }

    /// Returns what this process has sent to cold engines and still counts, if that has grown since
    /// `told`, a count of such sends that is updated.
    pub fn new_cold_sends(&self, now_ns: u64, told: &mut u64) -> Option<Vec<ColdSend>> {
        let count = self.control.cold_send_count();
        (std::mem::replace(told, count) != count).then(|| self.control.cold_sends(now_ns))
    }

    /// Reports the turn of a serial request among those of its key at other processes.
    pub fn set_turn(&mut self, request: RequestId, turn: KeyTurn) {
        self.batch.push(InboundEvent::Turn(request, turn));
    }

    /// Whether another request may be accepted.
    pub fn has_capacity(&self) -> bool {
        // The fair queue bounds and evicts its own requests.
        let (queued, bytes, max_queued_bytes) = self
            .fair_queue
            .as_ref()
            .map_or((0, 0, 0), |queue| (queue.queued(), queue.queued_bytes(), queue.max_queued_bytes()));
        self.open.len() - queued < MAX_OPEN_REQUESTS
            && self.statement_bytes - bytes < self.max_statement_bytes - max_queued_bytes
    }

    /// Maximum statement bytes in the fair queue: half of the total.
    pub fn max_queued_bytes(memory_mb: f64) -> usize {
        (memory_mb * MAX_STATEMENT_MEMORY_SHARE * 1e6 / 2.0) as usize
    }

    /// Returns why a new request cannot have this name, by which engines identify queries.
    pub fn name_conflict(&self, now_ns: u64, name: &str) -> Option<NameConflict> {
        if self.open_names.contains(name) {
            return Some(NameConflict::Open);
        }
        self.repeat_guard.contains(now_ns, name).then_some(NameConflict::MayHaveRun)
    }

    /// Reports the names of requests at other processes of this router that must not run here.
    pub fn set_names_elsewhere(&mut self, names: Vec<UsedName>) {
        self.repeat_guard.set_elsewhere(names);
    }

    /// Returns the names of this process's requests that must not run elsewhere, if they have changed
    /// since `told`, a count of changes that is updated. At most [`MAX_SHARED_NAMES`]: open requests
    /// first, then the newest that ended.
    pub fn new_used_names(&self, told: &mut u64) -> Option<Vec<UsedName>> {
        if std::mem::replace(told, self.used_name_changes) == self.used_name_changes {
            return None;
        }
        let open = self.open.values().filter(|open| self.must_not_repeat(open.client_request.class));
        let name = |open: &OpenRequest| UsedName {
            name: open.client_request.name.clone(),
            until_ns: open.expires_ns.saturating_add(self.classes[open.client_request.class.0].deadline_ns),
        };
        let names = open.map(name).chain(self.repeat_guard.newest(MAX_SHARED_NAMES));
        Some(names.take(MAX_SHARED_NAMES).collect())
    }

    /// Whether a request of this class must not run again once it may have run.
    fn must_not_repeat(&self, class: ClassId) -> bool {
        !self.classes[class.0].is_repeat_safe(true)
    }

    /// Number of requests that must not run again and were forgotten before their time.
    pub fn forgotten_names(&self) -> u64 {
        self.repeat_guard.dropped()
    }

    /// Answers all open requests at shutdown.
    pub fn end_all(&mut self, commands: &mut Vec<Command>, now_ns: u64) {
        let mut open: Vec<RequestId> = self.open.keys().copied().collect();
        open.sort_unstable();
        for id in open {
            if let Some(open) = self.open.get_mut(&id).filter(|o| !o.concluded) {
                open.last_end = Some(EndReason::Shutdown);
                self.answer_expired(now_ns, id, commands);
            }
        }
    }

    /// Number of requests without a final answer.
    pub fn unanswered(&self) -> usize {
        self.open.values().filter(|o| !o.concluded).count()
    }

    /// Due time of the next timer (ns).
    pub fn next_due_ns(&self) -> Option<u64> {
        let timer = self.timers.peek().map(|Reverse((due, ..))| *due);
        let fair_queue = self.fair_queue.as_ref().and_then(FairQueue::next_due_ns);
        timer.into_iter().chain(fair_queue).min()
    }

    /// Whether events wait for [`Router::process_events`].
    pub fn has_pending_events(&self) -> bool {
        !self.batch.is_empty()
    }

    fn set_timer(&mut self, due_ns: u64, timer: Timer) {
        self.serial += 1;
        self.timers.push(Reverse((due_ns, self.serial, timer)));
    }

    /// Passes all queued events and due timers to the decision module and appends the resulting
    /// commands.
    pub fn process_events(&mut self, now_ns: u64, commands: &mut Vec<Command>) {
        self.send_cold_shares(now_ns, commands);
        self.send_verdicts(now_ns, commands);
        let mut batch = std::mem::take(&mut self.batch);
        batch.sort_by_key(InboundEvent::processing_order);
        for event in batch.drain(..) {
            self.handle_inbound(now_ns, event, commands);
        }
        self.batch = batch;
        while self.timers.peek().is_some_and(|Reverse((due, ..))| *due <= now_ns) {
            let Some(Reverse((_, _, timer))) = self.timers.pop() else { break };
            match timer {
                Timer::Module(token) => self.decide(now_ns, Event::Timer(token), commands),
                Timer::TimeOut(at) => self.handle_timeout(now_ns, at, commands),
                Timer::Final(id) => self.answer_expired(now_ns, id, commands),
            }
        }
        self.poll_fair_queue(now_ns, commands);
    }

    /// Submits the requests that the fair queue releases and answers those that it refuses.
    /// The queue is polled again after each, because refusals by the module change its state.
    fn poll_fair_queue(&mut self, now: u64, commands: &mut Vec<Command>) {
        while let Some(queue_action) = self.fair_queue.as_mut().and_then(|queue| queue.next_action(now)) {
            match queue_action {
                QueueAction::Submit(id) => {
                    self.submit_to_controller(now, RequestId(id), KeyTurn::default(), commands);
                    if let Some(fair_queue) = &mut self.fair_queue {
                        fair_queue.accepted(now, id);
                    }
                }
                QueueAction::Refuse(id, retry_after) => {
                    let backoff_ms = retry_after_ms(retry_after);
                    let answer = Answer::Refused { backoff_ms, after: None, fault: None };
                    self.conclude(now, RequestId(id), answer, commands);
                    self.remove_if_done(now, RequestId(id));
                }
            }
        }
    }

    /// Describes a request to the fair queue.
    fn fair_queue_arrival(&self, id: RequestId, open: &OpenRequest) -> Arrival {
        let (client_request, class) = (&open.client_request, &self.classes[open.client_request.class.0]);
        let threads = class.threads.max(1.0);
        let default_need_ns = class.target_latency_ns as f64 * threads * DEFAULT_NEED_SHARE;
        let need_ns = client_request.work_estimate_ns.map_or(default_need_ns, |w| w as f64);
        let stretch_ns = (class.target_latency_stretch * need_ns / threads) as u64;
        Arrival {
            id: id.0,
            tenant: client_request.tenant.map_or(usize::MAX, |t| t.0),
            client: client_request.client,
            class: client_request.class.0,
            threads,
            need_ns,
            worth: class.worth,
            target_end_ns: open
                .received_ns
                .saturating_add(class.target_latency_ns)
                .saturating_add(stretch_ns),
            expires_ns: open.expires_ns,
            bytes: client_request.statement.text.len(),
        }
    }

    /// Submits a request to the decision module.
    fn submit_to_controller(&mut self, now: u64, id: RequestId, turn: KeyTurn, commands: &mut Vec<Command>) {
        let Some(open) = self.open.get(&id) else { return };
        let client_request = &open.client_request;
        self.limits.iter_mut().for_each(|limits| limits.record_demand(now, client_request.class));
        let request = Request {
            id,
            class: client_request.class,
            key: client_request.order_key,
            turn,
            tenant: client_request.tenant,
            time_left_ns: open.expires_ns.saturating_sub(now),
            waited_ns: now.saturating_sub(open.received_ns),
            data_set: statement::table_group(&client_request.statement.text),
            work_estimate_ns: client_request.work_estimate_ns,
            memory_estimate_mb: client_request.memory_estimate_mb,
            ..Request::default()
        };
        self.decide(now, Event::Arrival(request), commands);
    }

    /// Sends changed shares of cold engines' budgets to the decision module.
    fn send_cold_shares(&mut self, now: u64, commands: &mut Vec<Command>) {
        let shares = self.limits.as_mut().map_or_else(Vec::new, |limits| limits.changed_shares(now));
        for (engine, shares) in shares {
            self.decide(now, Event::ColdShares(engine, shares), commands);
        }
    }

    /// Sends changed verdicts on engines to the decision module.
    fn send_verdicts(&mut self, now: u64, commands: &mut Vec<Command>) {
        let changed = self.health.as_mut().map_or_else(Vec::new, |health| health.changed_verdicts(now));
        for (engine, verdict) in changed {
            debug!("the fleet's verdict on {:016x} is {verdict:?}", engine.0);
            self.decide(now, Event::VerdictChanged(engine, verdict), commands);
        }
    }

    /// Admits a request under the fleet-wide limits, or refuses it with a retry delay.
    fn admit_under_limits(&mut self, now: u64, id: RequestId, commands: &mut Vec<Command>) -> bool {
        let (Some(limits), Some(open)) = (&mut self.limits, self.open.get_mut(&id)) else { return true };
        match limits.admit(now, &open.client_request) {
            Ok(permit) => {
                open.permit = Some(permit);
                true
            }
            Err(after_ns) => {
                let backoff_ms = after_ns.div_ceil(1_000_000).max(1);
                self.conclude(now, id, Answer::Refused { backoff_ms, after: None, fault: None }, commands);
                self.remove_if_done(now, id);
                false
            }
        }
    }

    fn handle_inbound(&mut self, now: u64, event: InboundEvent, commands: &mut Vec<Command>) {
        match event {
            InboundEvent::Arrival(id) => {
                // Another process may have told of it since the front took it.
                let name = self.open.get(&id).map(|open| &open.client_request.name);
                if name.is_some_and(|name| self.repeat_guard.contains(now, name)) {
                    self.conclude(now, id, Answer::Failed(None, None), commands);
                    return self.remove_if_done(now, id);
                }
                if !self.admit_under_limits(now, id, commands) {
                    return;
                }
                let Some(open) = self.open.get(&id) else { return };
                // Serial requests bypass the queue, where a later one could overtake: the module
                // keeps their order.
                let serial = self.runs_serially(&open.client_request);
                if serial && self.serial_changes.is_some() {
                    return self.announce_serial(id);
                }
                if serial || self.fair_queue.is_none() {
                    return self.submit_to_controller(now, id, KeyTurn::default(), commands);
                }
                let arrival = self.fair_queue_arrival(id, open);
                if let Some(fair_queue) = &mut self.fair_queue {
                    fair_queue.enqueue(now, arrival);
                }
            }
            InboundEvent::ClientLeft(id, end_reason) => {
                let Some(open) = self.open.get_mut(&id) else { return };
                if !std::mem::replace(&mut open.concluded, true) {
                    open.client_left = true;
                    self.counters.left += 1;
                    self.counters.left_unsent += u64::from(open.in_flight.is_none());
                    self.counters.ended(end_reason);
                    debug_assert_eq!(end_reason.control_event(), ControlEvent::Left);
                    self.handle_client_left(now, id, commands);
                }
            }
            InboundEvent::ClientCancelled(id) => {
                if self.open.get(&id).is_some_and(|o| !o.concluded) {
                    self.counters.ended(EndReason::Forgotten);
                    self.end_request(now, id, Answer::Failed(Some(EndReason::Forgotten), None), commands);
                }
            }
            InboundEvent::AttemptUpdate(at, update) => {
                let current = self.open.get(&at.request).and_then(|o| o.in_flight.as_ref());
                if current.is_some_and(|c| c.number == at.number) {
                    self.decide(now, Event::Progress(at.request, at.number, update), commands);
                }
            }
            InboundEvent::Reserve(has_reserve) => self.decide(now, Event::Reserve(has_reserve), commands),
            InboundEvent::ColdSendsElsewhere(sends) => {
                self.decide(now, Event::ColdSendsElsewhere(sends), commands)
            }
            InboundEvent::Turn(id, turn) => self.handle_turn(now, id, turn, commands),
            InboundEvent::Ended(at, end_reason, rows, report) => {
                self.end_attempt(now, at, end_reason, rows, report, commands)
            }
            InboundEvent::Membership(kind, entries) => {
                self.counters.membership += 1;
                for e in &entries {
                    let started_ms = e.started_ns.map(|ns| ns / 1_000_000);
                    debug!("{kind:?} list: engine {:016x} {:?} started {started_ms:?}", e.engine.0, e.state);
                }
                self.limits.iter_mut().for_each(|limits| limits.update_engines(now, kind, &entries));
                if let Some(health) = &mut self.health {
                    entries.iter().for_each(|entry| health.resend_verdict(entry.engine));
                }
                self.decide(now, Event::Membership(kind, entries), commands);
                self.send_cold_shares(now, commands);
                self.send_verdicts(now, commands);
            }
        }
    }

    /// Tells the other processes of this router of a serial request.
    fn announce_serial(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let (Some(changes), Some(key)) = (&mut self.serial_changes, open.client_request.order_key) else {
            return;
        };
        let max_attempt_ns =
            self.classes[open.client_request.class.0].deadline_ns.saturating_add(UNCONFIRMED_END_GRACE_NS);
        open.shared_order = SharedOrderState::Announced;
        let over_by_ns = open.expires_ns.saturating_add(max_attempt_ns);
        changes.push(SerialChange::Taken { request: id, key, over_by_ns });
    }

    /// Submits a serial request with its first turn; a later one ends its wait for other processes.
    fn handle_turn(&mut self, now: u64, id: RequestId, turn: KeyTurn, commands: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.concluded) else { return };
        let state = std::mem::replace(&mut open.shared_order, SharedOrderState::Submitted);
        match (state, turn) {
            (SharedOrderState::Submitted, KeyTurn::From(resume_ns)) => {
                self.decide(now, Event::TurnGranted(id, resume_ns), commands)
            }
            (SharedOrderState::Submitted, KeyTurn::Waiting) => {}
            _ => self.submit_to_controller(now, id, turn, commands),
        }
    }

    /// Removes a request whose client left from the fair queue, or notifies the decision
    /// module.
    fn handle_client_left(&mut self, now: u64, id: RequestId, commands: &mut Vec<Command>) {
        if !self.fair_queue.as_mut().is_some_and(|queue| queue.cancel(now, id.0)) {
            self.notify_client_left(now, id, commands);
        }
        self.remove_if_done(now, id);
    }

    /// Notifies the decision module that a client left. An attempt that the module does not cancel
    /// is cancelled here if it is still unsent.
    fn notify_client_left(&mut self, now: u64, id: RequestId, commands: &mut Vec<Command>) {
        self.decide(now, Event::Left(id), commands);
        if let Some(in_flight) =
            self.open.get(&id).and_then(|o| o.in_flight.as_ref()).filter(|o| o.cancelled_ns.is_none())
        {
            commands.push(Command::CancelIfUnsent(Attempt { request: id, number: in_flight.number }));
        }
    }

    fn end_attempt(
        &mut self,
        now: u64,
        at: Attempt,
        end_reason: EndReason,
        rows: Option<Rows>,
        report: Option<LoadReport>,
        commands: &mut Vec<Command>,
    ) {
        let Some(open) = self.open.get_mut(&at.request) else { return };
        // Ignores a second end of an attempt, such as a timeout during its cancellation.
        let Some(in_flight) = open.in_flight.take_if(|o| o.number == at.number) else { return };
        self.counters.ended(end_reason);
        open.last_end = Some(end_reason);
        self.counters.left_unsent += u64::from(open.client_left && end_reason == EndReason::Withdrawn);
        open.may_have_run_ns =
            open.may_have_run_ns.or(Some(in_flight.sent_ns).filter(|_| end_reason.may_have_run()));
        if let Some(health) = &mut self.health {
            health.attempt_ended(
                now,
                (in_flight.engine, open.client_request.class),
                (in_flight.sent_ns, in_flight.cancelled_ns),
                end_reason,
            );
        }
        let ControlEvent::Outcome(status) = end_reason.control_event() else { return };
        if let (EndReason::Served, Some(rows), false) = (end_reason, rows, open.concluded) {
            open.concluded = true;
            self.counters.served += 1;
            commands.push(Command::Answer(open.client, Answer::Served(rows)));
            if let Some(fair_queue) = &mut self.fair_queue {
                fair_queue.finished(now, at.request.0, Some(true));
            }
        }
        let max_request_ns =
            self.classes[open.client_request.class.0].deadline_ns.saturating_add(UNCONFIRMED_END_GRACE_NS);
        let may_run_until_ns =
            if end_reason.may_still_run() { in_flight.sent_ns.saturating_add(max_request_ns) } else { 0 };
        let outcome = Outcome {
            request: at.request,
            attempt: at.number,
            engine: in_flight.engine,
            status,
            latency_ns: now.saturating_sub(in_flight.sent_ns),
            concluded: open.concluded,
            work_ns: None,
            memory_mb: None,
            report,
            may_run_until_ns,
        };
        debug!(
            "{} attempt {} on {:016x} ended {end_reason:?} after {} ms",
            open.client_request.name,
            at.number,
            in_flight.engine.0,
            outcome.latency_ns / 1_000_000
        );
        self.decide(now, Event::Outcome(outcome), commands);
        self.remove_if_done(now, at.request);
    }

    fn handle_timeout(&mut self, now: u64, at: Attempt, commands: &mut Vec<Command>) {
        let Some(open) = self.open.get(&at.request) else { return };
        let Some(in_flight) = open.in_flight.as_ref().filter(|in_flight| in_flight.number == at.number)
        else {
            return;
        };
        let (concluded, cancelled) = (open.concluded, in_flight.cancelled_ns.is_some());
        if !self.runs_serially(&open.client_request) {
            commands.push(Command::CancelAttempt(at));
            return self.end_attempt(now, at, EndReason::TimedOut, None, None, commands);
        }
        // The attempt of a serial request stays in flight until the engine is notified, so that the
        // next request of its key does not run concurrently.
        if !concluded {
            self.decide(now, Event::Expired(at.request), commands);
        }
        if !cancelled {
            self.act(now, Action::Cancel { request: at.request, attempt: at.number }, commands);
        }
    }

    /// Whether requests with this one's key run one at a time.
    fn runs_serially(&self, client_request: &ClientRequest) -> bool {
        client_request.order_key.is_some() && self.classes[client_request.class.0].serial_by_key
    }

    /// Answers a request whose deadline passed without an answer: failed, or refused if no attempt
    /// was made.
    fn answer_expired(&mut self, now: u64, id: RequestId, commands: &mut Vec<Command>) {
        let Some(open) = self.open.get(&id).filter(|o| !o.concluded) else { return };
        warn!("request {} had no answer at its deadline", id.0);
        let answer = match open.attempts {
            0 => Answer::Refused { backoff_ms: 100, after: None, fault: None },
            _ => Answer::Failed(open.last_end, open.fault.clone()),
        };
        self.end_request(now, id, answer, commands);
    }

    /// Ends a request without a decision of the module, and notifies the module if it has the
    /// request.
    fn end_request(&mut self, now: u64, id: RequestId, answer: Answer, commands: &mut Vec<Command>) {
        let waits = self.fair_queue.as_ref().is_some_and(|queue| queue.waits(id.0));
        self.conclude(now, id, answer, commands);
        if !waits {
            self.notify_client_left(now, id, commands);
        }
        self.remove_if_done(now, id);
    }

    /// Sends the final answer of a request that was not served.
    fn conclude(&mut self, now: u64, id: RequestId, answer: Answer, commands: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.concluded) else { return };
        open.concluded = true;
        match answer {
            Answer::Refused { .. } => self.counters.refused += 1,
            _ => self.counters.failed += 1,
        }
        commands.push(Command::Answer(open.client, answer));
        if let Some(fair_queue) = &mut self.fair_queue {
            if fair_queue.waits(id.0) {
                fair_queue.cancel(now, id.0);
            } else {
                fair_queue.finished(now, id.0, Some(false));
            }
        }
    }

    fn remove_if_done(&mut self, now: u64, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.concluded && o.in_flight.is_none()) {
            let Some(open) = self.open.remove(&id) else { return };
            self.statement_bytes -= open.client_request.statement.text.len();
            self.open_names.remove(&open.client_request.name);
            self.used_name_changes += u64::from(self.must_not_repeat(open.client_request.class));
            let class = &self.classes[open.client_request.class.0];
            if !class.is_repeat_safe(open.may_have_run_ns.is_some()) {
                // No client waits longer for an answer, all its tries together.
                let until_ns = now.saturating_add(class.deadline_ns);
                self.repeat_guard.insert(now, &open.client_request.name, until_ns);
            }
            if let (Some(limits), Some(permit)) = (&mut self.limits, open.permit) {
                limits.release(permit);
            }
            if open.shared_order != SharedOrderState::Absent {
                self.finish_serial(id, open.client_request.order_key);
            }
        }
    }

    /// Tells the other processes of this router of the end of a serial request.
    fn finish_serial(&mut self, request: RequestId, key: Option<u64>) {
        let (Some(changes), Some(key)) = (&mut self.serial_changes, key) else { return };
        let paused_until_ns = self.control.key_paused_until_ns(key);
        changes.push(SerialChange::Finished { request, key, paused_until_ns });
    }

    /// Passes one event to the decision module and executes its actions.
    fn decide(&mut self, now: u64, event: Event, commands: &mut Vec<Command>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.control.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action, commands);
        }
        self.actions = actions;
    }

    fn act(&mut self, now: u64, action: Action, commands: &mut Vec<Command>) {
        match action {
            Action::Send { request, engine, timeout_ns } => {
                let Some(open) = self.open.get_mut(&request) else { return };
                let attempt = Attempt { request, number: open.attempts };
                open.attempts += 1;
                open.in_flight =
                    Some(InFlight { number: attempt.number, engine, sent_ns: now, cancelled_ns: None });
                let (priority, client_request, may_have_run_ns) =
                    (open.priority, open.client_request.clone(), open.may_have_run_ns);
                let class = client_request.class.0;
                debug!(
                    "{} attempt {} of class {class} sent to {:016x}",
                    client_request.name, attempt.number, engine.0
                );
                let due = now.saturating_add(timeout_ns).min(open.expires_ns);
                self.counters.sent += 1;
                self.set_timer(due, Timer::TimeOut(attempt));
                let timeout_ns = due.saturating_sub(now);
                let class = &self.classes[class];
                let window_ns = class.dedup_window_ns.filter(|_| class.effect == Effect::Deduplicated);
                let begin_by_ns =
                    may_have_run_ns.zip(window_ns).map(|(sent, window)| sent.saturating_add(window));
                commands.push(Command::Start {
                    attempt,
                    engine,
                    timeout_ns,
                    priority,
                    client_request,
                    begin_by_ns,
                });
            }
            Action::ColdSent { request, engine, lane, share } => {
                let class = self.open.get(&request).map(|open| open.client_request.class);
                if let (Some(limits), Some(class)) = (&mut self.limits, class) {
                    limits.record_sent(now, class, engine, lane, share);
                }
            }
            Action::Cancel { request, attempt } => {
                if let Some(open) = self.open.get_mut(&request) {
                    debug!("{} attempt {attempt} cancelled", open.client_request.name);
                    let class = open.client_request.class;
                    if let Some(in_flight) =
                        open.in_flight.as_mut().filter(|in_flight| in_flight.number == attempt)
                    {
                        in_flight.cancelled_ns = Some(now);
                        if let Some(health) = &mut self.health {
                            health.attempt_cancelled(now, in_flight.engine, class, in_flight.sent_ns);
                        }
                    }
                }
                commands.push(Command::CancelAttempt(Attempt { request, number: attempt }))
            }
            Action::Refuse { request, retry_after_ns } => {
                let Some(open) = self.open.get(&request) else { return };
                let (after, fault) = (open.last_end, open.fault.clone());
                let sent = open.attempts > 0;
                let retry_after =
                    self.fair_queue.as_mut().and_then(|queue| queue.refused(now, request.0, sent));
                let module_ms = retry_after_ns.unwrap_or(100_000_000).div_ceil(1_000_000).max(1);
                let backoff_ms =
                    retry_after.filter(|_| retry_after_ns.is_some()).map_or(module_ms, retry_after_ms);
                self.conclude(now, request, Answer::Refused { backoff_ms, after, fault }, commands);
                self.remove_if_done(now, request);
            }
            Action::Fail(request) => {
                let Some(open) = self.open.get(&request) else { return };
                let answer = Answer::Failed(open.last_end, open.fault.clone());
                self.conclude(now, request, answer, commands);
                self.remove_if_done(now, request);
            }
            Action::SetTerms { request, priority, .. } => {
                let Some(open) = self.open.get_mut(&request) else { return };
                open.priority = priority;
                if let Some(in_flight) = &open.in_flight {
                    commands
                        .push(Command::SetPriority(Attempt { request, number: in_flight.number }, priority));
                }
            }
            Action::SetTimer { after_ns, token } => {
                self.set_timer(now.saturating_add(after_ns), Timer::Module(token))
            }
            Action::Log(text) => log::info!("{text}"),
            // Probes, peer messages and subscriptions are not used by this program.
            Action::Probe(_) | Action::SendToPeer(..) | Action::Subscribe => {}
        }
    }
}
