//! The core: requests, attempts and their outcomes. It owns the table of open requests, the timers, the
//! counters and the one final answer of each request. It knows no sockets and no wire.
//!
//! Fronts put requests in and take answers out; engines take attempts and report what becomes of them. All
//! that comes in is gathered, and [`Router::turn`] hands it to the decision module in one go.

#![forbid(unsafe_code)]

pub mod cold;
pub mod counters;
pub mod end_reason;
pub mod health;
pub mod limits;
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
use marljunction_door::{Advice, Arrival, Door, Verdict};
use marljunction_limits::node::Ticket;
use statement::Statement;

/// Time past a request's own within which its answer must have been given, or the core gives it (ns).
const ANSWER_GRACE_NS: u64 = 5_000_000;

/// Time past its class's whole one by which an attempt whose end is not known must be over (ns): its engine counts from when the
/// call came, and sockets are allowed 50 ms.
const UNCONFIRMED_END_GRACE_NS: u64 = 250_000_000;

/// Requests that may be open in all (count), and the bytes of their statements (share of the memory limit).
const MAX_OPEN_REQUESTS: usize = 1_000;
const MAX_STATEMENT_MEMORY_SHARE: f64 = 0.15;

/// Need of a request without an estimate (share of its class's aim x threads).
const DEFAULT_NEED_SHARE: f64 = 0.25;

/// Advice as clients are told it.
fn retry_after_ms(advice: Advice) -> u64 {
    advice.after_ns.div_ceil(1_000_000).max(1)
}

/// Where the answer to a request goes: a connection's number, never used twice, and a number of its own there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Client {
    /// The connection.
    pub conn: u64,
    /// The call on it.
    pub call: u64,
}

/// What a client asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// The client's own id of the request, passed on to engines.
    pub name: String,
    /// The token by which engines drop its repeats, passed on to them; none where its class has no such thing.
    pub token: Option<String>,
    /// Its class.
    pub class: ClassId,
    /// What requests of classes that keep their order take turns for; none for no turns.
    pub order_key: Option<u64>,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Its client, by the number of whatever names one.
    pub client: u64,
    /// Time until the answer must be on its way.
    pub time_left_ns: u64,
    /// Estimated work.
    pub work_estimate_ns: Option<u64>,
    /// Estimated memory.
    pub memory_estimate_mb: Option<f64>,
    /// The statement.
    pub statement: Statement,
}

/// A row, value by value; absent for NULL.
pub type Row = Vec<Option<Vec<u8>>>;

/// What an engine says of a column of its result.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Column {
    /// Its name.
    pub name: String,
    /// Its type by object id.
    pub type_id: u32,
    /// Size of the type; negative where it varies.
    pub size: i16,
    /// Modifier of the type.
    pub modifier: i32,
    /// Its values are in the type's binary form.
    pub binary: bool,
}

/// Rows of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rows {
    /// As text: a tab between columns, a line feed after each row.
    Text(Vec<u8>),
    /// Value by value, under the engine's columns.
    Cells(Vec<Column>, Vec<Row>),
}

impl Rows {
    /// As text.
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

    /// Value by value, with the engine's columns where it told them.
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
    /// All rows.
    Served(Rows),
    /// Refused: trying again does no harm.
    Refused {
        /// When to come back, in milliseconds.
        backoff_ms: u64,
        /// How the last attempt ended, where there was one.
        after: Option<EndReason>,
        /// The engine's own words, where it gave any.
        fault: Option<Fault>,
    },
    /// Failed; the last attempt's ending, where there was one, and the engine's own words.
    Failed(Option<EndReason>, Option<Fault>),
}

/// An engine's words on why a statement failed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// SQLSTATE.
    pub state: String,
    /// What went wrong.
    pub message: String,
}

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Its number, from 0.
    pub number: u32,
}

/// What the core wants done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an attempt to an engine.
    Start {
        /// The attempt.
        attempt: Attempt,
        /// Where to.
        engine: EngineId,
        /// How long the router will wait for it.
        timeout_ns: u64,
        /// Its priority.
        priority: u8,
        /// What to send.
        ask: Rc<ClientRequest>,
        /// It must not begin to go out later, as a repeat that engines would not drop any more (ns); none for any time.
        begin_by_ns: Option<u64>,
    },
    /// Give an attempt up; it stays out until its ending is reported.
    CancelAttempt(Attempt),
    /// Take an attempt back where its call was not wholly written yet; else leave it alone.
    CancelIfUnsent(Attempt),
    /// Change the priority of an attempt that is out.
    SetPriority(Attempt, u8),
    /// Give a client its final answer.
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
    /// The final answer was given, or is owed to nobody any more.
    concluded: bool,
    /// Its client left before the final answer.
    client_left: bool,
    /// When the first attempt that may have run was sent (ns).
    may_have_run_ns: Option<u64>,
    attempts: u32,
    in_flight: Option<InFlight>,
    last_end: Option<EndReason>,
    fault: Option<Fault>,
    priority: u8,
    received_ns: u64,
    expires_ns: u64,
    /// What it was admitted by, under limits that hold for the fleet.
    ticket: Option<Ticket>,
}

enum InboundEvent {
    Arrival(RequestId),
    ClientLeft(RequestId, EndReason),
    ClientCancelled(RequestId),
    Note(Attempt, Note),
    Ended(Attempt, EndReason, Option<Rows>, Option<LoadReport>),
    Membership(MembershipKind, Vec<EngineEntry>),
}

impl InboundEvent {
    /// Its place among what one round brought. Who left is heard first, and then which engines there are: guards against an
    /// attempt that goes out for nobody, or to an engine that drains, as its cause happened to be read before. A result that
    /// came goes before a wish to end the request, which came too late then.
    fn processing_order(&self) -> u8 {
        match self {
            InboundEvent::ClientLeft(..) => 0,
            InboundEvent::Membership(..) => 1,
            InboundEvent::Ended(_, EndReason::Served, ..) => 2,
            InboundEvent::ClientCancelled(_) => 3,
            InboundEvent::Arrival(_) | InboundEvent::Note(..) | InboundEvent::Ended(..) => 4,
        }
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Module(TimerToken),
    TimeOut(Attempt),
    Final(RequestId),
}

/// The core of one router.
pub struct Router {
    control: Controller,
    classes: Vec<ClassSettings>,
    door: Option<Door>,
    limits: Option<FleetLimits>,
    health: Option<FleetHealth>,
    open: HashMap<RequestId, OpenRequest>,
    timers: BinaryHeap<Reverse<(u64, u64, Timer)>>,
    batch: Vec<InboundEvent>,
    actions: Vec<Action>,
    serial: u64,
    /// Bytes of the open requests' statements.
    statement_bytes: usize,
    max_statement_bytes: usize,
    /// Ids of the open requests.
    open_names: HashSet<String>,
    /// The counters.
    pub counters: Counters,
}

impl Router {
    /// A core around a fresh decision module.
    pub fn new(settings: Settings, seed: u64, memory_mb: f64) -> Self {
        Router {
            classes: settings.classes.clone(),
            door: None,
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
            counters: Counters::default(),
        }
    }

    /// Puts a door before the module.
    pub fn with_door(mut self, door: Option<Door>) -> Self {
        self.door = door;
        self
    }

    /// Puts limits that hold for the fleet before the door.
    pub fn with_limits(mut self, limits: Option<FleetLimits>) -> Self {
        self.limits = limits;
        self
    }

    /// Shares what is believed of engines with the fleet.
    pub fn with_health(mut self, health: Option<FleetHealth>) -> Self {
        self.health = health;
        self
    }

    /// What the fleet believes of engines, where it shares that.
    pub fn health(&mut self) -> Option<&mut FleetHealth> {
        self.health.as_mut()
    }

    /// The limits that hold for the fleet, where there are some.
    pub fn limits(&mut self) -> Option<&mut FleetLimits> {
        self.limits.as_mut()
    }

    /// The door, where there is one.
    pub fn door(&mut self) -> Option<&mut Door> {
        self.door.as_mut()
    }

    /// Takes a request; it is owed one final answer from here on.
    pub fn take(&mut self, now_ns: u64, client: Client, client_request: ClientRequest) -> RequestId {
        self.serial += 1;
        let id = RequestId(self.serial);
        let expires_ns = now_ns.saturating_add(client_request.time_left_ns);
        self.statement_bytes += client_request.statement.text.len();
        self.open_names.insert(client_request.name.clone());
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
            ticket: None,
        };
        self.open.insert(id, open);
        self.counters.taken += 1;
        self.set_timer(expires_ns.saturating_add(ANSWER_GRACE_NS), Timer::Final(id));
        self.batch.push(InboundEvent::Arrival(id));
        id
    }

    /// The client waits no longer: nothing is owed.
    pub fn client_left(&mut self, id: RequestId, end_reason: EndReason) {
        self.batch.push(InboundEvent::ClientLeft(id, end_reason));
    }

    /// The client waits for the answer, but asks that the request be ended.
    pub fn cancel(&mut self, id: RequestId) {
        self.batch.push(InboundEvent::ClientCancelled(id));
    }

    /// An engine's words on why an attempt fails; its ending follows.
    pub fn fault(&mut self, at: Attempt, fault: Fault) {
        let open = self.open.get_mut(&at.request);
        if let Some(open) = open.filter(|o| o.in_flight.as_ref().is_some_and(|c| c.number == at.number)) {
            open.fault = Some(fault);
        }
    }

    /// News of a running attempt.
    pub fn note(&mut self, attempt: Attempt, note: Note) {
        self.batch.push(InboundEvent::Note(attempt, note));
    }

    /// An attempt has ended; only the first ending of an attempt counts.
    pub fn ended(
        &mut self,
        at: Attempt,
        end_reason: EndReason,
        rows: Option<Rows>,
        report: Option<LoadReport>,
    ) {
        self.batch.push(InboundEvent::Ended(at, end_reason, rows, report));
    }

    /// News of the engines.
    pub fn membership(&mut self, kind: MembershipKind, entries: Vec<EngineEntry>) {
        self.batch.push(InboundEvent::Membership(kind, entries));
    }

    /// Whether one more request may be taken: each may hold a statement and a result.
    pub fn has_capacity(&self) -> bool {
        // What waits at the door has a bound of its own, past which the door itself makes room.
        let (queued, bytes, bytes_most) =
            self.door.as_ref().map_or((0, 0, 0), |d| (d.queued(), d.held_bytes(), d.bytes_most()));
        self.open.len() - queued < MAX_OPEN_REQUESTS
            && self.statement_bytes - bytes < self.max_statement_bytes - bytes_most
    }

    /// Bytes of statements that may wait at a door: half of what all may hold.
    pub fn max_queued_bytes(memory_mb: f64) -> usize {
        (memory_mb * MAX_STATEMENT_MEMORY_SHARE * 1e6 / 2.0) as usize
    }

    /// Whether a request with this id is open: engines know queries by it.
    pub fn has_open_request(&self, name: &str) -> bool {
        self.open_names.contains(name)
    }

    /// Ends all that is open, as the program has no more time to wait for it.
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

    /// Requests that are owed an answer.
    pub fn unanswered(&self) -> usize {
        self.open.values().filter(|o| !o.concluded).count()
    }

    /// When the next timer is due.
    pub fn next_due_ns(&self) -> Option<u64> {
        let timer = self.timers.peek().map(|Reverse((due, ..))| *due);
        let door = self.door.as_ref().and_then(Door::next_due_ns);
        timer.into_iter().chain(door).min()
    }

    /// Whether something waits for the module.
    pub fn has_pending_events(&self) -> bool {
        !self.batch.is_empty()
    }

    fn set_timer(&mut self, due_ns: u64, timer: Timer) {
        self.serial += 1;
        self.timers.push(Reverse((due_ns, self.serial, timer)));
    }

    /// Hands all that was gathered, and all timers that are due, to the module; adds to `out` what is to be done.
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
        self.poll_door(now_ns, commands);
    }

    /// Shows the module what the door lets through, and answers what the door refuses. The module's own refusals teach
    /// the door meanwhile, so that it is asked again after each.
    fn poll_door(&mut self, now: u64, commands: &mut Vec<Command>) {
        while let Some(verdict) = self.door.as_mut().and_then(|d| d.open(now)) {
            match verdict {
                Verdict::Show(id) => {
                    self.submit_to_controller(now, RequestId(id), commands);
                    if let Some(door) = &mut self.door {
                        door.accepted(now, id);
                    }
                }
                Verdict::Refuse(id, advice) => {
                    let backoff_ms = retry_after_ms(advice);
                    let answer = Answer::Refused { backoff_ms, after: None, fault: None };
                    self.conclude(now, RequestId(id), answer, commands);
                    self.remove_if_done(RequestId(id));
                }
            }
        }
    }

    /// What the door is told of a request.
    fn door_arrival(&self, id: RequestId, open: &OpenRequest) -> Arrival {
        let (client_request, class) = (&open.client_request, &self.classes[open.client_request.class.0]);
        let threads = class.threads.max(1.0);
        let default_need_ns = class.aim_ns as f64 * threads * DEFAULT_NEED_SHARE;
        let need_ns = client_request.work_estimate_ns.map_or(default_need_ns, |w| w as f64);
        let stretch_ns = (class.aim_stretch * need_ns / threads) as u64;
        Arrival {
            id: id.0,
            tenant: client_request.tenant.map_or(usize::MAX, |t| t.0),
            client: client_request.client,
            class: client_request.class.0,
            threads,
            need_ns,
            worth: class.worth,
            wanted_ns: open.received_ns.saturating_add(class.aim_ns).saturating_add(stretch_ns),
            expires_ns: open.expires_ns,
            bytes: client_request.statement.text.len(),
        }
    }

    /// Hands a request to the module.
    fn submit_to_controller(&mut self, now: u64, id: RequestId, commands: &mut Vec<Command>) {
        let Some(open) = self.open.get(&id) else { return };
        let client_request = &open.client_request;
        self.limits.iter_mut().for_each(|limits| limits.record_demand(now, client_request.class));
        let request = Request {
            id,
            class: client_request.class,
            key: client_request.order_key,
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

    /// Tells the module what it may count on of cold engines' budgets, where the fleet shares them.
    fn send_cold_shares(&mut self, now: u64, commands: &mut Vec<Command>) {
        let shares = self.limits.as_mut().map_or_else(Vec::new, |limits| limits.changed_shares(now));
        for (engine, shares) in shares {
            self.decide(now, Event::ColdShares(engine, shares), commands);
        }
    }

    /// Tells the module what the fleet believes of engines by now, where that has changed.
    fn send_verdicts(&mut self, now: u64, commands: &mut Vec<Command>) {
        let changed = self.health.as_mut().map_or_else(Vec::new, |health| health.changed_verdicts(now));
        for (engine, verdict) in changed {
            debug!("the fleet's verdict on {:016x} is {verdict:?}", engine.0);
            self.decide(now, Event::Judged(engine, verdict), commands);
        }
    }

    /// Whether the fleet's limits admit a request; one that they do not is refused, with the time when its share is due.
    fn admit_under_limits(&mut self, now: u64, id: RequestId, commands: &mut Vec<Command>) -> bool {
        let (Some(limits), Some(open)) = (&mut self.limits, self.open.get_mut(&id)) else { return true };
        match limits.admit(now, &open.client_request) {
            Ok(ticket) => {
                open.ticket = Some(ticket);
                true
            }
            Err(after_ns) => {
                let backoff_ms = after_ns.div_ceil(1_000_000).max(1);
                self.conclude(now, id, Answer::Refused { backoff_ms, after: None, fault: None }, commands);
                self.remove_if_done(id);
                false
            }
        }
    }

    fn handle_inbound(&mut self, now: u64, event: InboundEvent, commands: &mut Vec<Command>) {
        match event {
            InboundEvent::Arrival(id) => {
                if !self.admit_under_limits(now, id, commands) {
                    return;
                }
                let Some(open) = self.open.get(&id) else { return };
                // Guards against a request that passes an earlier one of its key at the door: the module keeps their order.
                if self.door.is_none() || self.runs_serially(&open.client_request) {
                    return self.submit_to_controller(now, id, commands);
                }
                let arrival = self.door_arrival(id, open);
                if let Some(door) = &mut self.door {
                    door.arrive(now, arrival);
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
            InboundEvent::Note(at, note) => {
                let current = self.open.get(&at.request).and_then(|o| o.in_flight.as_ref());
                if current.is_some_and(|c| c.number == at.number) {
                    self.decide(now, Event::Progress(at.request, at.number, note), commands);
                }
            }
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

    /// Nobody waits for a request any more: the module hears of it where it was shown it.
    fn handle_client_left(&mut self, now: u64, id: RequestId, commands: &mut Vec<Command>) {
        if !self.door.as_mut().is_some_and(|d| d.leave(now, id.0)) {
            self.notify_client_left(now, id, commands);
        }
        self.remove_if_done(id);
    }

    /// The module hears that nobody waits for a request. Where it may not, or does not, give up what is out, that is still
    /// taken back while it waits to be sent.
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
        // Guards against a second ending of one attempt, as when its time ran out while it was being given up.
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
            if let Some(door) = &mut self.door {
                door.over(now, at.request.0, Some(true));
            }
        }
        let longest_ns =
            self.classes[open.client_request.class.0].deadline_ns.saturating_add(UNCONFIRMED_END_GRACE_NS);
        let over_by_ns =
            if end_reason.may_still_run() { in_flight.sent_ns.saturating_add(longest_ns) } else { 0 };
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
            over_by_ns,
        };
        debug!(
            "{} attempt {} on {:016x} ended {end_reason:?} after {} ms",
            open.client_request.name,
            at.number,
            in_flight.engine.0,
            outcome.latency_ns / 1_000_000
        );
        self.decide(now, Event::Outcome(outcome), commands);
        self.remove_if_done(at.request);
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
        // Guards against the next request of the key running beside this attempt: it is out until its engine has been told.
        if !concluded {
            self.decide(now, Event::Expired(at.request), commands);
        }
        if !cancelled {
            self.act(now, Action::Cancel { request: at.request, attempt: at.number }, commands);
        }
    }

    /// Whether a request takes turns with others of its key.
    fn runs_serially(&self, client_request: &ClientRequest) -> bool {
        client_request.order_key.is_some() && self.classes[client_request.class.0].serial_by_key
    }

    /// Guards against a request that nobody answers: its time is over, so it fails, or is refused where no
    /// attempt was made.
    fn answer_expired(&mut self, now: u64, id: RequestId, commands: &mut Vec<Command>) {
        let Some(open) = self.open.get(&id).filter(|o| !o.concluded) else { return };
        warn!("request {} had no answer at its end", id.0);
        let answer = match open.attempts {
            0 => Answer::Refused { backoff_ms: 100, after: None, fault: None },
            _ => Answer::Failed(open.last_end, open.fault.clone()),
        };
        self.end_request(now, id, answer, commands);
    }

    /// Ends a request that the module did not end: it hears of it where it was shown it.
    fn end_request(&mut self, now: u64, id: RequestId, answer: Answer, commands: &mut Vec<Command>) {
        let waits = self.door.as_ref().is_some_and(|d| d.waits(id.0));
        self.conclude(now, id, answer, commands);
        if !waits {
            self.notify_client_left(now, id, commands);
        }
        self.remove_if_done(id);
    }

    /// The one place where a request that was not served gets its final answer.
    fn conclude(&mut self, now: u64, id: RequestId, answer: Answer, commands: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.concluded) else { return };
        open.concluded = true;
        match answer {
            Answer::Refused { .. } => self.counters.refused += 1,
            _ => self.counters.failed += 1,
        }
        commands.push(Command::Answer(open.client, answer));
        if let Some(door) = &mut self.door {
            if door.waits(id.0) {
                door.leave(now, id.0);
            } else {
                door.over(now, id.0, Some(false));
            }
        }
    }

    fn remove_if_done(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.concluded && o.in_flight.is_none()) {
            let Some(open) = self.open.remove(&id) else { return };
            self.statement_bytes -= open.client_request.statement.text.len();
            self.open_names.remove(&open.client_request.name);
            if let (Some(limits), Some(ticket)) = (&mut self.limits, open.ticket) {
                limits.release(ticket);
            }
        }
    }

    /// Hands one event to the module and takes its actions.
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
                    "{} attempt {} of class {class} goes to {:016x}",
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
                    ask: client_request,
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
                    debug!("{} attempt {attempt} is given up", open.client_request.name);
                    let class = open.client_request.class;
                    if let Some(in_flight) =
                        open.in_flight.as_mut().filter(|in_flight| in_flight.number == attempt)
                    {
                        in_flight.cancelled_ns = Some(now);
                        if let Some(health) = &mut self.health {
                            health.cancelled(now, in_flight.engine, class, in_flight.sent_ns);
                        }
                    }
                }
                commands.push(Command::CancelAttempt(Attempt { request, number: attempt }))
            }
            Action::Refuse { request, retry_after_ns } => {
                let Some(open) = self.open.get(&request) else { return };
                let (after, fault) = (open.last_end, open.fault.clone());
                let sent = open.attempts > 0;
                let advice = self.door.as_mut().and_then(|d| d.refused(now, request.0, sent));
                let module_ms = retry_after_ns.unwrap_or(100_000_000).div_ceil(1_000_000).max(1);
                let backoff_ms =
                    advice.filter(|_| retry_after_ns.is_some()).map_or(module_ms, retry_after_ms);
                self.conclude(now, request, Answer::Refused { backoff_ms, after, fault }, commands);
                self.remove_if_done(request);
            }
            Action::Fail(request) => {
                let Some(open) = self.open.get(&request) else { return };
                let answer = Answer::Failed(open.last_end, open.fault.clone());
                self.conclude(now, request, answer, commands);
                self.remove_if_done(request);
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
            // This program has no probes, no peers and a feed that needs no asking.
            Action::Probe(_) | Action::Tell(..) | Action::Subscribe => {}
        }
    }
}
