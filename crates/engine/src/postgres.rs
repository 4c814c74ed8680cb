//! Engines that speak PostgreSQL: an attempt is one extended query on a session of its own; giving up is a
//! `CancelRequest`. A session is used again only after `ReadyForQuery` in no transaction.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use fallible_iterator::FallibleIterator;
use log::debug;
use postgres_protocol::message::backend::{
    DataRowBody, ErrorResponseBody, Field, Header, Message, RowDescriptionBody,
};
use postgres_protocol::message::frontend;
use postgres_protocol::IsNull;

use super::{Backend, Context, Start, Targets};
use marljunction_control::interface::EngineId;
use marljunction_core::end_reason::EndReason;
use marljunction_core::{Attempt, ClientRequest, Column, Fault, Row, Rows};
use marljunction_discovery::Change;
use marljunction_pacing::opening::Openings;

/// A session is used again so soon after its last query (ns).
const REUSE_NS: u64 = 5_000_000_000;
/// Sessions kept for an engine (count).
const IDLE_MOST: usize = 4;
/// Time that a session may take to open (ns).
const OPEN_NS: u64 = 1_000_000_000;
/// Time that a cancelled query may take to say so, before its session is closed (ns).
const CANCEL_NS: u64 = 500_000_000;
/// Sessions opened for an attempt because the one before broke as it opened (count).
const STARTS_MOST: u32 = 3;
/// Largest result, and longest message (bytes).
const RESULT_MOST: usize = 64 << 10;

/// What a session of an engine is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It opens, for an attempt that may be given up meanwhile.
    Opens(Option<Attempt>),
    Idle,
    Runs(Attempt),
    /// It carries a `CancelRequest`; the engine closes it.
    Cancels(Attempt),
}

struct Line {
    engine: EngineId,
    /// Where it leads, which may be another's address by now.
    to: SocketAddr,
    role: Role,
    up: bool,
    key: Option<(i32, i32)>,
    since_ns: u64,
}

struct Run {
    engine: EngineId,
    ask: Rc<ClientRequest>,
    conn: u64,
    begin_by_ns: Option<u64>,
    /// The query was handed to the connection, and wholly written to it.
    sent: bool,
    whole: bool,
    /// Sessions that were opened for it.
    starts: u32,
    columns: Vec<Column>,
    rows: Vec<Row>,
    bytes: usize,
    complete: bool,
    failed: Option<Fault>,
    /// When it was given up.
    leaving_ns: Option<u64>,
}

/// The backend for such engines.
pub struct PostgresEngines {
    targets: Targets<Vec<u64>>,
    lines: HashMap<u64, Line>,
    runs: BTreeMap<Attempt, Run>,
    user: String,
    database: String,
    connect_ns: u64,
}

fn fields(body: &ErrorResponseBody) -> Fault {
    let (mut fault, mut fields) = (Fault::default(), body.fields());
    while let Ok(Some(field)) = fields.next() {
        let value = String::from_utf8_lossy(field.value_bytes()).into_owned();
        match field.type_() {
            b'C' => fault.state = value,
            b'M' => fault.message = value,
            _ => {}
        }
    }
    fault
}

fn cells(body: &DataRowBody) -> Option<Row> {
    let buffer = body.buffer();
    let ranges: Vec<_> = body.ranges().collect().ok()?;
    ranges.into_iter().map(|r| r.map_or(Some(None), |r| buffer.get(r).map(|b| Some(b.to_vec())))).collect()
}

fn columns(body: &RowDescriptionBody) -> Option<Vec<Column>> {
    let column = |f: Field| {
        let (type_id, size, modifier) = (f.type_oid(), f.type_size(), f.type_modifier());
        Ok(Column { name: f.name().to_owned(), type_id, size, modifier, binary: f.format() == 1 })
    };
    body.fields().map(column).collect().ok()
}

/// The extended query of a request; absent where its text can't be sent.
fn query(ask: &ClientRequest) -> Option<BytesMut> {
    let (statement, mut bytes) = (&ask.statement, BytesMut::new());
    let text = std::str::from_utf8(&statement.text).ok()?;
    frontend::parse("", text, statement.params.iter().map(|p| p.type_id), &mut bytes).ok()?;
    let formats = statement.params.iter().map(|p| i16::from(p.binary));
    let value = |value: &Option<Vec<u8>>, out: &mut BytesMut| {
        out.extend_from_slice(value.as_deref().unwrap_or_default());
        Ok(if value.is_some() { IsNull::No } else { IsNull::Yes })
    };
    let values = statement.params.iter().map(|p| &p.value);
    let results = statement.results.iter().map(|b| i16::from(*b));
    frontend::bind("", "", formats, values, value, results, &mut bytes).ok()?;
    frontend::describe(b'P', "", &mut bytes).ok()?;
    frontend::execute("", 0, &mut bytes).ok()?;
    frontend::sync(&mut bytes);
    Some(bytes)
}

/// Whether nothing of an attempt's query has gone out.
fn unbegun(cx: &Context, run: &Run) -> bool {
    !run.whole && (!run.sent || cx.net.is_unbegun(run.conn))
}

impl PostgresEngines {
    /// No engines yet; sessions are opened as this user, on this database.
    pub fn new(user: String, database: String, connect_ns: u64) -> Self {
        let (targets, lines, runs) = (Targets::default(), HashMap::new(), BTreeMap::new());
        PostgresEngines { targets, lines, runs, user, database, connect_ns }
    }

    fn connect(&mut self, cx: &mut Context, engine: EngineId, role: Role) -> Result<u64, EndReason> {
        let to = self.targets.get(engine).ok_or(EndReason::NoDescriptor)?.address;
        let conn = match role {
            Role::Opens(_) => self.targets.connect_for_work(cx, engine)?,
            _ => self.targets.connect(cx, engine)?,
        };
        self.lines.insert(conn, Line { engine, to, role, up: false, key: None, since_ns: cx.now });
        Ok(conn)
    }

    /// A session for an attempt: one that is ready, else a new one.
    fn session(
        &mut self,
        cx: &mut Context,
        at: Attempt,
        engine: EngineId,
        once: bool,
    ) -> Result<u64, EndReason> {
        // Guards against a load that is written to a session which is closing: nobody could tell what came of it.
        while let Some(conn) = if once { None } else { self.targets.get(engine).and_then(|k| k.own.pop()) } {
            match self.lines.get_mut(&conn) {
                // Guards against a query in a session that its engine has closed since it was last looked at.
                Some(line) if line.since_ns + REUSE_NS >= cx.now && cx.net.service(conn).ended.is_none() => {
                    line.role = Role::Runs(at);
                    return Ok(conn);
                }
                _ => self.close(cx, conn),
            }
        }
        let conn = self.connect(cx, engine, Role::Opens(Some(at)))?;
        let mut bytes = BytesMut::new();
        let params = [
            ("user", self.user.as_str()),
            ("database", &self.database),
            ("application_name", "marljunction"),
        ];
        frontend::startup_message(params, &mut bytes).map_err(|_| EndReason::Unsent)?;
        if !cx.net.send(conn, &bytes) {
            self.close(cx, conn);
            return Err(EndReason::Unsent);
        }
        Ok(conn)
    }

    fn close(&mut self, cx: &mut Context, conn: u64) {
        if let Some(known) = self.lines.remove(&conn).and_then(|l| self.targets.get(l.engine)) {
            known.own.retain(|c| *c != conn);
        }
        cx.net.close(conn);
    }

    fn end(&mut self, cx: &mut Context, at: Attempt, ending: EndReason) {
        let Some(run) = self.runs.remove(&at) else { return };
        if let Some(fault) = run.failed {
            cx.router.fault(at, fault);
        }
        let rows = (ending == EndReason::Served).then_some(Rows::Cells(run.columns, run.rows));
        cx.router.ended(at, ending, rows, None);
    }

    fn send(&mut self, cx: &mut Context, at: Attempt) {
        let Some(run) = self.runs.get_mut(&at) else { return };
        let conn = run.conn;
        match query(&run.ask) {
            Some(bytes) => {
                run.sent = true;
                match cx.net.send(conn, &bytes) {
                    true => self.written(cx, conn),
                    // Guards against a query that passes for written, as nothing of it waits.
                    false => self.lost(cx, conn, EndReason::Unsent),
                }
            }
            None => {
                run.failed = Some(Fault { state: "22021".into(), message: "the text is not UTF-8".into() });
                self.end(cx, at, EndReason::Unsent);
                self.rest(cx, conn);
            }
        }
    }

    /// Takes note of a query that has been wholly written.
    fn written(&mut self, cx: &mut Context, conn: u64) {
        if let Some(Role::Runs(at)) = self.lines.get(&conn).map(|l| l.role) {
            let drained = cx.net.drained(conn);
            self.runs.entry(at).and_modify(|r| r.whole |= r.sent && drained);
        }
    }

    /// Ends an attempt whose query was not wholly written: it never ran, and without the rest it never will. A session that
    /// still opens is kept for others.
    fn take_back(&mut self, cx: &mut Context, at: Attempt, ending: EndReason) {
        let Some((conn, sent)) = self.runs.get(&at).map(|r| (r.conn, r.sent)) else { return };
        self.end(cx, at, ending);
        match self.lines.get_mut(&conn) {
            Some(line) if !sent => line.role = Role::Opens(None),
            _ => self.close(cx, conn),
        }
    }

    /// Ends the attempts of which nothing has gone out and that `which` says must not begin any more.
    fn take_back_unbegun(&mut self, cx: &mut Context, which: impl Fn(&Targets<Vec<u64>>, &Run) -> bool) {
        let which = |run: &Run| unbegun(cx, run) && which(&self.targets, run);
        let over: Vec<Attempt> = self.runs.iter().filter(|(_, run)| which(run)).map(|(at, _)| *at).collect();
        over.into_iter().for_each(|at| self.take_back(cx, at, EndReason::Unsent));
    }

    fn rest(&mut self, cx: &mut Context, conn: u64) {
        let Some(line) = self.lines.get_mut(&conn) else { return };
        (line.role, line.since_ns) = (Role::Idle, cx.now);
        match self.targets.keeps(line.engine, line.to).filter(|k| k.own.len() < IDLE_MOST) {
            Some(known) => known.own.push(conn),
            None => self.close(cx, conn),
        }
    }

    /// The engine is ready for a query in this session.
    fn ready_for_query(&mut self, cx: &mut Context, conn: u64, status: u8) {
        let Some(role) = self.lines.get(&conn).map(|l| l.role) else { return };
        match role {
            Role::Opens(Some(at)) => {
                self.lines.entry(conn).and_modify(|l| l.role = Role::Runs(at));
                self.send(cx, at);
            }
            Role::Runs(at) => {
                let Some(run) = self.runs.get(&at) else { return self.close(cx, conn) };
                let ending = match (run.complete, &run.failed, run.leaving_ns) {
                    (true, None, _) => EndReason::Served,
                    (_, _, Some(_)) => EndReason::GivenUp,
                    (_, Some(_), None) => EndReason::EngineError,
                    (false, None, None) => EndReason::Garbled,
                };
                let cancelled = run.leaving_ns.is_some();
                self.end(cx, at, ending);
                // Guards against a session that is still in a transaction, which the next query would be part of,
                // and against a late CancelRequest, which would end the next query.
                if status == b'I' && !cancelled {
                    self.rest(cx, conn);
                } else {
                    self.close(cx, conn);
                }
            }
            Role::Opens(None) => self.rest(cx, conn),
            Role::Idle | Role::Cancels(_) => {}
        }
    }

    fn message(&mut self, cx: &mut Context, conn: u64, message: Message) -> Result<(), EndReason> {
        let Some(line) = self.lines.get_mut(&conn) else { return Ok(()) };
        let role = line.role;
        let run = match role {
            Role::Runs(at) => self.runs.get_mut(&at),
            _ => None,
        };
        match (message, role, run) {
            (Message::ReadyForQuery(body), ..) => self.ready_for_query(cx, conn, body.status()),
            (Message::BackendKeyData(body), ..) => line.key = Some((body.process_id(), body.secret_key())),
            (Message::AuthenticationOk | Message::ParameterStatus(_) | Message::NoticeResponse(_), ..) => {}
            (Message::ErrorResponse(body), Role::Opens(at), _) => {
                let fault = fields(&body);
                debug!("an engine refused a session: {} {}", fault.state, fault.message);
                // The session was refused: nothing ran.
                let full = fault.state == "53300";
                if let Some(at) = at {
                    self.end(cx, at, if full { EndReason::Full } else { EndReason::Refused });
                }
                return Err(EndReason::Refused);
            }
            (Message::ErrorResponse(body), _, Some(run)) => run.failed = Some(fields(&body)),
            (Message::DataRow(body), _, Some(run)) => {
                let row = cells(&body).ok_or(EndReason::Garbled)?;
                run.bytes += row.iter().map(|c| c.as_ref().map_or(0, Vec::len) + 24).sum::<usize>();
                if run.bytes > 4 * RESULT_MOST {
                    return Err(EndReason::Garbled);
                }
                run.rows.push(row);
            }
            (Message::CommandComplete(_) | Message::EmptyQueryResponse, _, Some(run)) => run.complete = true,
            (Message::ParseComplete | Message::BindComplete, _, Some(_)) => {}
            (Message::NoData, _, Some(_)) => {}
            (Message::RowDescription(body), _, Some(run)) => {
                run.columns = columns(&body).ok_or(EndReason::Garbled)?;
            }
            // A password, a copy, or what nobody asked for.
            _ => return Err(EndReason::Garbled),
        }
        Ok(())
    }

    /// Whether one more session may be opened for an attempt.
    fn starts(&self, at: Attempt) -> bool {
        self.runs.get(&at).is_some_and(|r| r.starts < STARTS_MOST)
    }

    fn lost(&mut self, cx: &mut Context, conn: u64, ending: EndReason) {
        let Some(line) = self.lines.get(&conn) else { return };
        let (role, up) = (line.role, line.up);
        self.targets.broke(cx.now, line.engine, up, ending);
        self.close(cx, conn);
        match role {
            // Guards against a bad link that is taken for a dead engine: a session that broke as it opened is
            // opened again, as nothing ran.
            Role::Opens(Some(at))
                if matches!(ending, EndReason::Cut | EndReason::Reset) && self.starts(at) =>
            {
                let Some(engine) = self.runs.get(&at).map(|r| r.engine) else { return };
                match self.session(cx, at, engine, true) {
                    Ok(conn) => {
                        self.runs.entry(at).and_modify(|r| (r.conn, r.starts) = (conn, r.starts + 1));
                    }
                    Err(ending) => self.end(cx, at, ending),
                }
            }
            // A session that was refused, or that never opened: nothing ran.
            Role::Opens(Some(at)) if ending == EndReason::Reset => self.end(cx, at, EndReason::Refused),
            Role::Opens(Some(at)) if up && ending != EndReason::Unreachable => {
                self.end(cx, at, EndReason::Refused)
            }
            Role::Opens(Some(at)) => self.end(cx, at, ending),
            Role::Runs(at) => {
                let Some(run) = self.runs.get(&at) else { return };
                let ending = match (run.leaving_ns, run.whole) {
                    (Some(_), _) => EndReason::GivenUp,
                    (None, false) => EndReason::Unsent,
                    (None, true) if ending == EndReason::Garbled => EndReason::Garbled,
                    (None, true) => EndReason::Cut,
                };
                self.end(cx, at, ending);
            }
            Role::Idle | Role::Opens(None) | Role::Cancels(_) => {}
        }
    }
}

impl Backend for PostgresEngines {
    fn set_openings(&mut self, openings: Option<(Openings, u64)>) {
        self.targets.set_openings(openings);
    }

    fn change(&mut self, cx: &mut Context, change: &Change) {
        let (runs, lines) = (&self.runs, &self.lines);
        self.targets.change(change, |id| {
            runs.values().any(|r| r.engine == id) || lines.values().any(|l| l.engine == id)
        });
        self.take_back_unbegun(cx, |targets, run| !targets.serves(run.engine));
    }

    fn start(&mut self, cx: &mut Context, start: Start) {
        let at = start.attempt;
        let conn = match self.session(cx, at, start.engine, start.once) {
            Ok(conn) => conn,
            Err(ending) => return cx.router.ended(at, ending, None, None),
        };
        #[rustfmt::skip]
        let run = Run {
            engine: start.engine, ask: start.ask, conn, begin_by_ns: start.begin_by_ns, sent: false, whole: false, starts: 1, columns: Vec::new(), rows: Vec::new(), bytes: 0,
            complete: false, failed: None, leaving_ns: None,
        };
        self.runs.insert(at, run);
        if self.lines.get(&conn).is_some_and(|l| l.role == Role::Runs(at)) {
            self.send(cx, at);
        }
    }

    fn give_up(&mut self, cx: &mut Context, at: Attempt) {
        self.withdraw(cx, at);
        let Some(run) = self.runs.get_mut(&at).filter(|r| r.leaving_ns.is_none()) else { return };
        let (conn, engine) = (run.conn, run.engine);
        run.leaving_ns = Some(cx.now);
        let Some((number, key)) = self.lines.get(&conn).and_then(|l| l.key) else {
            return self.lost(cx, conn, EndReason::Cut);
        };
        if let Ok(cancel) = self.connect(cx, engine, Role::Cancels(at)) {
            let mut bytes = BytesMut::new();
            frontend::cancel_request(number, key, &mut bytes);
            cx.net.send(cancel, &bytes);
        }
    }

    fn withdraw(&mut self, cx: &mut Context, at: Attempt) {
        if self.runs.get(&at).is_some_and(|r| !r.whole) {
            self.take_back(cx, at, EndReason::Withdrawn);
        }
    }

    fn flushed(&mut self, cx: &mut Context, conn: u64) {
        self.written(cx, conn);
    }

    fn rank(&mut self, _: &mut Context, _: Attempt, _: u8) {
        // The protocol has no priorities.
    }

    fn ready(&mut self, cx: &mut Context, conn: u64) {
        let look = cx.net.service(conn);
        if let Some(line) = self.lines.get_mut(&conn) {
            if look.up && !line.up {
                self.targets.came_up(line.engine);
            }
            line.up |= look.up;
        }
        self.written(cx, conn);
        while self.lines.contains_key(&conn) {
            let input = cx.net.input(conn);
            let size = match Header::parse(input) {
                Ok(None) => break,
                Ok(Some(header)) if header.len() as usize <= RESULT_MOST => header.len() as usize + 1,
                _ => return self.lost(cx, conn, EndReason::Garbled),
            };
            if input.len() < size {
                break;
            }
            let mut bytes = BytesMut::from(&input[..size]);
            cx.net.consume(conn, size);
            let parsed = Message::parse(&mut bytes).ok().flatten().ok_or(EndReason::Garbled);
            if let Err(ending) = parsed.and_then(|message| self.message(cx, conn, message)) {
                return self.lost(cx, conn, ending);
            }
        }
        if let Some(ending) = look.ended {
            self.lost(cx, conn, ending);
        }
    }

    fn tick(&mut self, cx: &mut Context) {
        let mut over: Vec<(u64, EndReason)> = Vec::new();
        for (conn, line) in &self.lines {
            let age = cx.now.saturating_sub(line.since_ns);
            match line.role {
                Role::Opens(_) if !line.up && age > self.connect_ns => {
                    over.push((*conn, EndReason::Unreachable))
                }
                Role::Opens(_) if age > OPEN_NS => over.push((*conn, EndReason::Unreachable)),
                Role::Idle if age > REUSE_NS => over.push((*conn, EndReason::Idle)),
                Role::Cancels(_) if age > CANCEL_NS => over.push((*conn, EndReason::Idle)),
                Role::Runs(at) => {
                    let leaving = self.runs.get(&at).and_then(|r| r.leaving_ns);
                    if leaving.is_some_and(|since| cx.now > since + CANCEL_NS) {
                        over.push((*conn, EndReason::Cut));
                    }
                }
                _ => {}
            }
        }
        over.sort_unstable();
        over.into_iter().for_each(|(conn, ending)| self.lost(cx, conn, ending));
        // Guards against a repeat that goes out, as its session opens late, when engines would run it again.
        let now = cx.now;
        self.take_back_unbegun(cx, |_, run| run.begin_by_ns.is_some_and(|by| now > by));
    }
}
