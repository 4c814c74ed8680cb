//! The core: requests, attempts and their outcomes. It owns the table of open requests, the timers, the
//! counters and the one final answer of each request. It knows no sockets and no wire.
//!
//! Fronts put requests in and take answers out; engines take attempts and report what becomes of them. All
//! that comes in is gathered, and [`Router::turn`] hands it to the decision module in one go.

#![forbid(unsafe_code)]

pub mod cold;
pub mod counters;
pub mod ending;
pub mod limits;
pub mod statement;
pub mod verdicts;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::rc::Rc;

use log::{debug, warn};

use counters::Counters;
use ending::{Ending, Meaning};
use limits::FleetLimits;
use marljunction_control::interface::*;
use marljunction_control::Controller;
use marljunction_door::{Advice, Arrival, Door, Verdict};
use marljunction_limits::node::Ticket;
use statement::Statement;
use verdicts::FleetVerdicts;

/// Time past a request's own within which its answer must have been given, or the core gives it (ns).
const FINAL_GRACE_NS: u64 = 5_000_000;

/// Time past its class's whole one by which an attempt whose end is not known must be over (ns): its engine counts from when the
/// call came, and sockets are allowed 50 ms.
const DOUBT_GRACE_NS: u64 = 250_000_000;

/// Requests that may be open in all (count), and the bytes of their statements (share of the memory limit).
const OPEN_MOST: usize = 1_000;
const HELD_MOST: f64 = 0.15;

/// Need of a request without an estimate (share of its class's aim x threads).
const USUAL_NEED: f64 = 0.25;

/// Advice as clients are told it.
fn milliseconds(advice: Advice) -> u64 {
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
pub struct Ask {
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
        after: Option<Ending>,
        /// The engine's own words, where it gave any.
        fault: Option<Fault>,
    },
    /// Failed; the last attempt's ending, where there was one, and the engine's own words.
    Failed(Option<Ending>, Option<Fault>),
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
        ask: Rc<Ask>,
        /// It must not begin to go out later, as a repeat that engines would not drop any more (ns); none for any time.
        begin_by_ns: Option<u64>,
    },
    /// Give an attempt up; it stays out until its ending is reported.
    GiveUp(Attempt),
    /// Take an attempt back where its call was not wholly written yet; else leave it alone.
    Withdraw(Attempt),
    /// Change the priority of an attempt that is out.
    Rank(Attempt, u8),
    /// Give a client its final answer.
    Answer(Client, Answer),
}

struct Out {
    number: u32,
    engine: EngineId,
    sent_ns: u64,
    given_up_ns: Option<u64>,
}

struct Open {
    ask: Rc<Ask>,
    client: Client,
    /// The final answer was given, or is owed to nobody any more.
    concluded: bool,
    /// Its client left before the final answer.
    left: bool,
    /// When the first attempt that may have run was sent (ns).
    may_have_run_ns: Option<u64>,
    attempts: u32,
    out: Option<Out>,
    last: Option<Ending>,
    fault: Option<Fault>,
    priority: u8,
    taken_ns: u64,
    expires_ns: u64,
    /// What it was admitted by, under limits that hold for the fleet.
    ticket: Option<Ticket>,
}

enum Inbound {
    Arrival(RequestId),
    Left(RequestId, Ending),
    Cancelled(RequestId),
    Note(Attempt, Note),
    Ended(Attempt, Ending, Option<Rows>, Option<LoadReport>),
    Membership(MembershipKind, Vec<EngineEntry>),
}

impl Inbound {
    /// Its place among what one round brought. Who left is heard first, and then which engines there are: guards against an
    /// attempt that goes out for nobody, or to an engine that drains, as its cause happened to be read before. A result that
    /// came goes before a wish to end the request, which came too late then.
    fn place(&self) -> u8 {
        match self {
            Inbound::Left(..) => 0,
            Inbound::Membership(..) => 1,
            Inbound::Ended(_, Ending::Served, ..) => 2,
            Inbound::Cancelled(_) => 3,
            Inbound::Arrival(_) | Inbound::Note(..) | Inbound::Ended(..) => 4,
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
    verdicts: Option<FleetVerdicts>,
    open: HashMap<RequestId, Open>,
    timers: BinaryHeap<Reverse<(u64, u64, Timer)>>,
    batch: Vec<Inbound>,
    actions: Vec<Action>,
    serial: u64,
    /// Bytes of the open requests' statements.
    held: usize,
    held_most: usize,
    /// Ids of the open requests.
    names: HashSet<String>,
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
            verdicts: None,
            control: Controller::new(settings, seed),
            open: HashMap::new(),
            timers: BinaryHeap::new(),
            batch: Vec::new(),
            actions: Vec::new(),
            serial: 0,
            held: 0,
            held_most: (memory_mb * HELD_MOST * 1e6) as usize,
            names: HashSet::new(),
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
    pub fn with_verdicts(mut self, verdicts: Option<FleetVerdicts>) -> Self {
        self.verdicts = verdicts;
        self
    }

    /// What the fleet believes of engines, where it shares that.
    pub fn verdicts(&mut self) -> Option<&mut FleetVerdicts> {
        self.verdicts.as_mut()
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
    pub fn take(&mut self, now_ns: u64, client: Client, ask: Ask) -> RequestId {
        self.serial += 1;
        let id = RequestId(self.serial);
        let expires_ns = now_ns.saturating_add(ask.time_left_ns);
        self.held += ask.statement.text.len();
        self.names.insert(ask.name.clone());
        let open = Open {
            ask: Rc::new(ask),
            client,
            concluded: false,
            left: false,
            may_have_run_ns: None,
            attempts: 0,
            out: None,
            last: None,
            fault: None,
            priority: 1,
            taken_ns: now_ns,
            expires_ns,
            ticket: None,
        };
        self.open.insert(id, open);
        self.counters.taken += 1;
        self.set_timer(expires_ns.saturating_add(FINAL_GRACE_NS), Timer::Final(id));
        self.batch.push(Inbound::Arrival(id));
        id
    }

    /// The client waits no longer: nothing is owed.
    pub fn leave(&mut self, id: RequestId, ending: Ending) {
        self.batch.push(Inbound::Left(id, ending));
    }

    /// The client waits for the answer, but asks that the request be ended.
    pub fn cancel(&mut self, id: RequestId) {
        self.batch.push(Inbound::Cancelled(id));
    }

    /// An engine's words on why an attempt fails; its ending follows.
    pub fn fault(&mut self, at: Attempt, fault: Fault) {
        let open = self.open.get_mut(&at.request);
        if let Some(open) = open.filter(|o| o.out.as_ref().is_some_and(|c| c.number == at.number)) {
            open.fault = Some(fault);
        }
    }

    /// News of a running attempt.
    pub fn note(&mut self, attempt: Attempt, note: Note) {
        self.batch.push(Inbound::Note(attempt, note));
    }

    /// An attempt has ended; only the first ending of an attempt counts.
    pub fn ended(&mut self, at: Attempt, ending: Ending, rows: Option<Rows>, report: Option<LoadReport>) {
        self.batch.push(Inbound::Ended(at, ending, rows, report));
    }

    /// News of the engines.
    pub fn membership(&mut self, kind: MembershipKind, entries: Vec<EngineEntry>) {
        self.batch.push(Inbound::Membership(kind, entries));
    }

    /// Whether one more request may be taken: each may hold a statement and a result.
    pub fn has_room(&self) -> bool {
        // What waits at the door has a bound of its own, past which the door itself makes room.
        let (queued, bytes, bytes_most) =
            self.door.as_ref().map_or((0, 0, 0), |d| (d.queued(), d.held_bytes(), d.bytes_most()));
        self.open.len() - queued < OPEN_MOST && self.held - bytes < self.held_most - bytes_most
    }

    /// Bytes of statements that may wait at a door: half of what all may hold.
    pub fn door_bytes(memory_mb: f64) -> usize {
        (memory_mb * HELD_MOST * 1e6 / 2.0) as usize
    }

    /// Whether a request with this id is open: engines know queries by it.
    pub fn knows(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Ends all that is open, as the program has no more time to wait for it.
    pub fn end_all(&mut self, out: &mut Vec<Command>, now_ns: u64) {
        let mut open: Vec<RequestId> = self.open.keys().copied().collect();
        open.sort_unstable();
        for id in open {
            if let Some(open) = self.open.get_mut(&id).filter(|o| !o.concluded) {
                open.last = Some(Ending::Shutdown);
                self.overdue(now_ns, id, out);
            }
        }
    }

    /// Requests that are owed an answer.
    pub fn owed(&self) -> usize {
        self.open.values().filter(|o| !o.concluded).count()
    }

    /// When the next timer is due.
    pub fn next_due_ns(&self) -> Option<u64> {
        let timer = self.timers.peek().map(|Reverse((due, ..))| *due);
        let door = self.door.as_ref().and_then(Door::next_due_ns);
        timer.into_iter().chain(door).min()
    }

    /// Whether something waits for the module.
    pub fn has_news(&self) -> bool {
        !self.batch.is_empty()
    }

    fn set_timer(&mut self, due_ns: u64, timer: Timer) {
        self.serial += 1;
        self.timers.push(Reverse((due_ns, self.serial, timer)));
    }

    /// Hands all that was gathered, and all timers that are due, to the module; adds to `out` what is to be done.
    pub fn turn(&mut self, now_ns: u64, out: &mut Vec<Command>) {
        self.tell_shares(now_ns, out);
        self.tell_verdicts(now_ns, out);
        let mut batch = std::mem::take(&mut self.batch);
        batch.sort_by_key(Inbound::place);
        for inbound in batch.drain(..) {
            self.inbound(now_ns, inbound, out);
        }
        self.batch = batch;
        while self.timers.peek().is_some_and(|Reverse((due, ..))| *due <= now_ns) {
            let Some(Reverse((_, _, timer))) = self.timers.pop() else { break };
            match timer {
                Timer::Module(token) => self.decide(now_ns, Event::Timer(token), out),
                Timer::TimeOut(at) => self.time_out(now_ns, at, out),
                Timer::Final(id) => self.overdue(now_ns, id, out),
            }
        }
        self.open_door(now_ns, out);
    }

    /// Shows the module what the door lets through, and answers what the door refuses. The module's own refusals teach
    /// the door meanwhile, so that it is asked again after each.
    fn open_door(&mut self, now: u64, out: &mut Vec<Command>) {
        while let Some(verdict) = self.door.as_mut().and_then(|d| d.open(now)) {
            match verdict {
                Verdict::Show(id) => {
                    self.show(now, RequestId(id), out);
                    if let Some(door) = &mut self.door {
                        door.accepted(now, id);
                    }
                }
                Verdict::Refuse(id, advice) => {
                    let backoff_ms = milliseconds(advice);
                    let answer = Answer::Refused { backoff_ms, after: None, fault: None };
                    self.conclude(now, RequestId(id), answer, out);
                    self.tidy(RequestId(id));
                }
            }
        }
    }

    /// What the door is told of a request.
    fn at_door(&self, id: RequestId, open: &Open) -> Arrival {
        let (ask, class) = (&open.ask, &self.classes[open.ask.class.0]);
        let threads = class.threads.max(1.0);
        let usual_ns = class.aim_ns as f64 * threads * USUAL_NEED;
        let need_ns = ask.work_estimate_ns.map_or(usual_ns, |w| w as f64);
        let stretch_ns = (class.aim_stretch * need_ns / threads) as u64;
        Arrival {
            id: id.0,
            tenant: ask.tenant.map_or(usize::MAX, |t| t.0),
            client: ask.client,
            class: ask.class.0,
            threads,
            need_ns,
            worth: class.worth,
            wanted_ns: open.taken_ns.saturating_add(class.aim_ns).saturating_add(stretch_ns),
            expires_ns: open.expires_ns,
            bytes: ask.statement.text.len(),
        }
    }

    /// Hands a request to the module.
    fn show(&mut self, now: u64, id: RequestId, out: &mut Vec<Command>) {
        let Some(open) = self.open.get(&id) else { return };
        let ask = &open.ask;
        self.limits.iter_mut().for_each(|limits| limits.add_demand(now, ask.class));
        let request = Request {
            id,
            class: ask.class,
            key: ask.order_key,
            tenant: ask.tenant,
            time_left_ns: open.expires_ns.saturating_sub(now),
            waited_ns: now.saturating_sub(open.taken_ns),
            data_set: statement::table_group(&ask.statement.text),
            work_estimate_ns: ask.work_estimate_ns,
            memory_estimate_mb: ask.memory_estimate_mb,
            ..Request::default()
        };
        self.decide(now, Event::Arrival(request), out);
    }

    /// Tells the module what it may count on of cold engines' budgets, where the fleet shares them.
    fn tell_shares(&mut self, now: u64, out: &mut Vec<Command>) {
        let shares = self.limits.as_mut().map_or_else(Vec::new, |limits| limits.shares(now));
        for (engine, shares) in shares {
            self.decide(now, Event::ColdShares(engine, shares), out);
        }
    }

    /// Tells the module what the fleet believes of engines by now, where that has changed.
    fn tell_verdicts(&mut self, now: u64, out: &mut Vec<Command>) {
        let verdicts = self.verdicts.as_mut().map_or_else(Vec::new, |verdicts| verdicts.verdicts(now));
        for (engine, verdict) in verdicts {
            debug!("the fleet's verdict on {:016x} is {verdict:?}", engine.0);
            self.decide(now, Event::Judged(engine, verdict), out);
        }
    }

    /// Whether the fleet's limits admit a request; one that they do not is refused, with the time when its share is due.
    fn admitted(&mut self, now: u64, id: RequestId, out: &mut Vec<Command>) -> bool {
        let (Some(limits), Some(open)) = (&mut self.limits, self.open.get_mut(&id)) else { return true };
        match limits.admit(now, &open.ask) {
            Ok(ticket) => {
                open.ticket = Some(ticket);
                true
            }
            Err(after_ns) => {
                let backoff_ms = after_ns.div_ceil(1_000_000).max(1);
                self.conclude(now, id, Answer::Refused { backoff_ms, after: None, fault: None }, out);
                self.tidy(id);
                false
            }
        }
    }

    fn inbound(&mut self, now: u64, inbound: Inbound, out: &mut Vec<Command>) {
        match inbound {
            Inbound::Arrival(id) => {
                if !self.admitted(now, id, out) {
                    return;
                }
                let Some(open) = self.open.get(&id) else { return };
                // Guards against a request that passes an earlier one of its key at the door: the module keeps their order.
                if self.door.is_none() || self.takes_turns(&open.ask) {
                    return self.show(now, id, out);
                }
                let arrival = self.at_door(id, open);
                if let Some(door) = &mut self.door {
                    door.arrive(now, arrival);
                }
            }
            Inbound::Left(id, ending) => {
                let Some(open) = self.open.get_mut(&id) else { return };
                if !std::mem::replace(&mut open.concluded, true) {
                    open.left = true;
                    self.counters.left += 1;
                    self.counters.left_unsent += u64::from(open.out.is_none());
                    self.counters.ended(ending);
                    debug_assert_eq!(ending.meaning(), Meaning::Left);
                    self.left(now, id, out);
                }
            }
            Inbound::Cancelled(id) => {
                if self.open.get(&id).is_some_and(|o| !o.concluded) {
                    self.counters.ended(Ending::Forgotten);
                    self.end(now, id, Answer::Failed(Some(Ending::Forgotten), None), out);
                }
            }
            Inbound::Note(at, note) => {
                let current = self.open.get(&at.request).and_then(|o| o.out.as_ref());
                if current.is_some_and(|c| c.number == at.number) {
                    self.decide(now, Event::Progress(at.request, at.number, note), out);
                }
            }
            Inbound::Ended(at, ending, rows, report) => self.end_attempt(now, at, ending, rows, report, out),
            Inbound::Membership(kind, entries) => {
                self.counters.membership += 1;
                for e in &entries {
                    let started_ms = e.started_ns.map(|ns| ns / 1_000_000);
                    debug!("{kind:?} list: engine {:016x} {:?} started {started_ms:?}", e.engine.0, e.state);
                }
                self.limits.iter_mut().for_each(|limits| limits.change(now, kind, &entries));
                if let Some(verdicts) = &mut self.verdicts {
                    entries.iter().for_each(|entry| verdicts.tell_again(entry.engine));
                }
                self.decide(now, Event::Membership(kind, entries), out);
                self.tell_shares(now, out);
                self.tell_verdicts(now, out);
            }
        }
    }

    /// Nobody waits for a request any more: the module hears of it where it was shown it.
    fn left(&mut self, now: u64, id: RequestId, out: &mut Vec<Command>) {
        if !self.door.as_mut().is_some_and(|d| d.leave(now, id.0)) {
            self.unwanted(now, id, out);
        }
        self.tidy(id);
    }

    /// The module hears that nobody waits for a request. Where it may not, or does not, give up what is out, that is still
    /// taken back while it waits to be sent.
    fn unwanted(&mut self, now: u64, id: RequestId, out: &mut Vec<Command>) {
        self.decide(now, Event::Left(id), out);
        if let Some(ran) = self.open.get(&id).and_then(|o| o.out.as_ref()).filter(|o| o.given_up_ns.is_none())
        {
            out.push(Command::Withdraw(Attempt { request: id, number: ran.number }));
        }
    }

    fn end_attempt(
        &mut self,
        now: u64,
        at: Attempt,
        ending: Ending,
        rows: Option<Rows>,
        report: Option<LoadReport>,
        out: &mut Vec<Command>,
    ) {
        let Some(open) = self.open.get_mut(&at.request) else { return };
        // Guards against a second ending of one attempt, as when its time ran out while it was being given up.
        let Some(ran) = open.out.take_if(|o| o.number == at.number) else { return };
        self.counters.ended(ending);
        open.last = Some(ending);
        self.counters.left_unsent += u64::from(open.left && ending == Ending::Withdrawn);
        open.may_have_run_ns = open.may_have_run_ns.or(Some(ran.sent_ns).filter(|_| ending.may_have_run()));
        if let Some(verdicts) = &mut self.verdicts {
            verdicts.ended(now, (ran.engine, open.ask.class), (ran.sent_ns, ran.given_up_ns), ending);
        }
        let Meaning::Outcome(status) = ending.meaning() else { return };
        if let (Ending::Served, Some(rows), false) = (ending, rows, open.concluded) {
            open.concluded = true;
            self.counters.served += 1;
            out.push(Command::Answer(open.client, Answer::Served(rows)));
            if let Some(door) = &mut self.door {
                door.over(now, at.request.0, Some(true));
            }
        }
        let longest_ns = self.classes[open.ask.class.0].deadline_ns.saturating_add(DOUBT_GRACE_NS);
        let over_by_ns = if ending.leaves_doubt() { ran.sent_ns.saturating_add(longest_ns) } else { 0 };
        let outcome = Outcome {
            request: at.request,
            attempt: at.number,
            engine: ran.engine,
            status,
            latency_ns: now.saturating_sub(ran.sent_ns),
            concluded: open.concluded,
            work_ns: None,
            memory_mb: None,
            report,
            over_by_ns,
        };
        debug!(
            "{} attempt {} on {:016x} ended {ending:?} after {} ms",
            open.ask.name,
            at.number,
            ran.engine.0,
            outcome.latency_ns / 1_000_000
        );
        self.decide(now, Event::Outcome(outcome), out);
        self.tidy(at.request);
    }

    fn time_out(&mut self, now: u64, at: Attempt, out: &mut Vec<Command>) {
        let Some(open) = self.open.get(&at.request) else { return };
        let Some(ran) = open.out.as_ref().filter(|ran| ran.number == at.number) else { return };
        let (concluded, given_up) = (open.concluded, ran.given_up_ns.is_some());
        if !self.takes_turns(&open.ask) {
            out.push(Command::GiveUp(at));
            return self.end_attempt(now, at, Ending::TimedOut, None, None, out);
        }
        // Guards against the next request of the key running beside this attempt: it is out until its engine has been told.
        if !concluded {
            self.decide(now, Event::Expired(at.request), out);
        }
        if !given_up {
            self.act(now, Action::Cancel { request: at.request, attempt: at.number }, out);
        }
    }

    /// Whether a request takes turns with others of its key.
    fn takes_turns(&self, ask: &Ask) -> bool {
        ask.order_key.is_some() && self.classes[ask.class.0].serial_by_key
    }

    /// Guards against a request that nobody answers: its time is over, so it fails, or is refused where no
    /// attempt was made.
    fn overdue(&mut self, now: u64, id: RequestId, out: &mut Vec<Command>) {
        let Some(open) = self.open.get(&id).filter(|o| !o.concluded) else { return };
        warn!("request {} had no answer at its end", id.0);
        let answer = match open.attempts {
            0 => Answer::Refused { backoff_ms: 100, after: None, fault: None },
            _ => Answer::Failed(open.last, open.fault.clone()),
        };
        self.end(now, id, answer, out);
    }

    /// Ends a request that the module did not end: it hears of it where it was shown it.
    fn end(&mut self, now: u64, id: RequestId, answer: Answer, out: &mut Vec<Command>) {
        let waits = self.door.as_ref().is_some_and(|d| d.waits(id.0));
        self.conclude(now, id, answer, out);
        if !waits {
            self.unwanted(now, id, out);
        }
        self.tidy(id);
    }

    /// The one place where a request that was not served gets its final answer.
    fn conclude(&mut self, now: u64, id: RequestId, answer: Answer, out: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.concluded) else { return };
        open.concluded = true;
        match answer {
            Answer::Refused { .. } => self.counters.refused += 1,
            _ => self.counters.failed += 1,
        }
        out.push(Command::Answer(open.client, answer));
        if let Some(door) = &mut self.door {
            if door.waits(id.0) {
                door.leave(now, id.0);
            } else {
                door.over(now, id.0, Some(false));
            }
        }
    }

    fn tidy(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.concluded && o.out.is_none()) {
            let Some(open) = self.open.remove(&id) else { return };
            self.held -= open.ask.statement.text.len();
            self.names.remove(&open.ask.name);
            if let (Some(limits), Some(ticket)) = (&mut self.limits, open.ticket) {
                limits.over(ticket);
            }
        }
    }

    /// Hands one event to the module and takes its actions.
    fn decide(&mut self, now: u64, event: Event, out: &mut Vec<Command>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.control.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action, out);
        }
        self.actions = actions;
    }

    fn act(&mut self, now: u64, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send { request, engine, timeout_ns } => {
                let Some(open) = self.open.get_mut(&request) else { return };
                let attempt = Attempt { request, number: open.attempts };
                open.attempts += 1;
                open.out = Some(Out { number: attempt.number, engine, sent_ns: now, given_up_ns: None });
                let (priority, ask, may_have_run_ns) =
                    (open.priority, open.ask.clone(), open.may_have_run_ns);
                let class = ask.class.0;
                debug!("{} attempt {} of class {class} goes to {:016x}", ask.name, attempt.number, engine.0);
                let due = now.saturating_add(timeout_ns).min(open.expires_ns);
                self.counters.sent += 1;
                self.set_timer(due, Timer::TimeOut(attempt));
                let timeout_ns = due.saturating_sub(now);
                let class = &self.classes[class];
                let window_ns = class.dedup_window_ns.filter(|_| class.effect == Effect::Deduplicated);
                let begin_by_ns =
                    may_have_run_ns.zip(window_ns).map(|(sent, window)| sent.saturating_add(window));
                out.push(Command::Start { attempt, engine, timeout_ns, priority, ask, begin_by_ns });
            }
            Action::ColdSent { request, engine, lane, share } => {
                let class = self.open.get(&request).map(|open| open.ask.class);
                if let (Some(limits), Some(class)) = (&mut self.limits, class) {
                    limits.sent(now, class, engine, lane, share);
                }
            }
            Action::Cancel { request, attempt } => {
                if let Some(open) = self.open.get_mut(&request) {
                    debug!("{} attempt {attempt} is given up", open.ask.name);
                    let class = open.ask.class;
                    if let Some(ran) = open.out.as_mut().filter(|ran| ran.number == attempt) {
                        ran.given_up_ns = Some(now);
                        if let Some(verdicts) = &mut self.verdicts {
                            verdicts.given_up(now, ran.engine, class, ran.sent_ns);
                        }
                    }
                }
                out.push(Command::GiveUp(Attempt { request, number: attempt }))
            }
            Action::Refuse { request, retry_after_ns } => {
                let Some(open) = self.open.get(&request) else { return };
                let (after, fault) = (open.last, open.fault.clone());
                let sent = open.attempts > 0;
                let advice = self.door.as_mut().and_then(|d| d.refused(now, request.0, sent));
                let module_ms = retry_after_ns.unwrap_or(100_000_000).div_ceil(1_000_000).max(1);
                let backoff_ms = advice.filter(|_| retry_after_ns.is_some()).map_or(module_ms, milliseconds);
                self.conclude(now, request, Answer::Refused { backoff_ms, after, fault }, out);
                self.tidy(request);
            }
            Action::Fail(request) => {
                let Some(open) = self.open.get(&request) else { return };
                let answer = Answer::Failed(open.last, open.fault.clone());
                self.conclude(now, request, answer, out);
                self.tidy(request);
            }
            Action::SetTerms { request, priority, .. } => {
                let Some(open) = self.open.get_mut(&request) else { return };
                open.priority = priority;
                if let Some(ran) = &open.out {
                    out.push(Command::Rank(Attempt { request, number: ran.number }, priority));
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
