//! Backend for engines that speak PostgreSQL.
//!
//! An attempt is one extended query on a session of its own, and is cancelled by a `CancelRequest`.
//! A session is reused only after `ReadyForQuery` outside a transaction.

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

use super::{connect, Backend, Context, EngineTable, NewAttempt};
use marljunction_control::interface::EngineId;
use marljunction_core::end_reason::EndReason;
use marljunction_core::{Attempt, ClientRequest, Column, Fault, Row, Rows};
use marljunction_discovery::Change;
use marljunction_pacing::connection_budget::ConnectionBudget;

/// Longest idle time after which a session is reused.
const MAX_REUSE_IDLE_NS: u64 = 5_000_000_000;
/// Most idle sessions per engine.
const MAX_IDLE_SESSIONS: usize = 4;
/// Longest time until a new session is ready for a query.
const SESSION_OPEN_TIMEOUT_NS: u64 = 1_000_000_000;
/// Longest time from a cancellation to the end of the query; then its session is closed.
const CANCEL_TIMEOUT_NS: u64 = 500_000_000;
/// Most sessions opened for one attempt, each because the previous one broke while opening.
const MAX_SESSION_OPENS: u32 = 3;
/// Largest message; a result may take four times as much.
const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// The session is being opened, for an attempt unless that ended meanwhile.
    Opening(Option<Attempt>),
    Idle,
    Running(Attempt),
    /// Carries a `CancelRequest`; the engine closes it.
    Cancelling(Attempt),
}

struct Connection {
    engine: EngineId,
    /// Remote address; the engine may have moved since.
    address: SocketAddr,
    role: Role,
    up: bool,
    cancel_key: Option<(i32, i32)>,
    since_ns: u64,
}

struct Query {
    engine: EngineId,
    client_request: Rc<ClientRequest>,
    conn: u64,
    begin_by_ns: Option<u64>,
    /// The query was queued on the connection.
    queued: bool,
    /// The query is fully written.
    fully_written: bool,
    /// Sessions opened for the attempt.
    session_opens: u32,
    columns: Vec<Column>,
    rows: Vec<Row>,
    bytes: usize,
    complete: bool,
    error: Option<Fault>,
    cancelled_at_ns: Option<u64>,
}

/// Backend for engines that speak PostgreSQL.
pub struct PostgresBackend {
    engines: EngineTable<Vec<u64>>,
    connections: HashMap<u64, Connection>,
    queries: BTreeMap<Attempt, Query>,
    user: String,
    database: String,
    connect_timeout_ns: u64,
}

fn parse_error(body: &ErrorResponseBody) -> Fault {
    let (mut fault, mut field_iter) = (Fault::default(), body.fields());
    while let Ok(Some(field)) = field_iter.next() {
        let value = String::from_utf8_lossy(field.value_bytes()).into_owned();
        match field.type_() {
            b'C' => fault.state = value,
            b'M' => fault.message = value,
            _ => {}
        }
    }
    fault
}

fn parse_row(body: &DataRowBody) -> Option<Row> {
    let buffer = body.buffer();
    let ranges: Vec<_> = body.ranges().collect().ok()?;
    ranges.into_iter().map(|r| r.map_or(Some(None), |r| buffer.get(r).map(|b| Some(b.to_vec())))).collect()
}

fn parse_columns(body: &RowDescriptionBody) -> Option<Vec<Column>> {
    let column = |f: Field| {
        let (type_id, size, modifier) = (f.type_oid(), f.type_size(), f.type_modifier());
        Ok(Column { name: f.name().to_owned(), type_id, size, modifier, binary: f.format() == 1 })
    };
    body.fields().map(column).collect().ok()
}

/// Encodes a request as an extended query; returns nothing if its text is not UTF-8 or cannot be
/// encoded.
fn encode_query(client_request: &ClientRequest) -> Option<BytesMut> {
    let (statement, mut bytes) = (&client_request.statement, BytesMut::new());
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

/// Whether no byte of the query was sent.
fn is_unsent(cx: &Context, query: &Query) -> bool {
    !query.fully_written && (!query.queued || cx.net.has_unstarted_output(query.conn))
}

impl PostgresBackend {
    /// Creates a backend without engines. Sessions are opened as this user on this database.
    pub fn new(user: String, database: String, connect_timeout_ns: u64) -> Self {
        let (engines, connections, queries) = (EngineTable::default(), HashMap::new(), BTreeMap::new());
        PostgresBackend { engines, connections, queries, user, database, connect_timeout_ns }
    }

    /// Opens a connection for a session.
    fn open_session(
        &mut self,
        cx: &mut Context,
        engine: EngineId,
        attempt: Attempt,
    ) -> Result<u64, EndReason> {
        let address = self.engines.get(engine).ok_or(EndReason::NoDescriptor)?.address;
        let conn = self.engines.connect_paced(cx, engine)?;
        self.add_connection(cx, conn, engine, address, Role::Opening(Some(attempt)));
        Ok(conn)
    }

    fn add_connection(&mut self, cx: &Context, conn: u64, engine: EngineId, address: SocketAddr, role: Role) {
        let connection = Connection { engine, address, role, up: false, cancel_key: None, since_ns: cx.now };
        self.connections.insert(conn, connection);
    }

    /// Returns a session for an attempt: an idle one unless `at_most_once` is set, else a new one.
    fn acquire_session(
        &mut self,
        cx: &mut Context,
        attempt: Attempt,
        engine: EngineId,
        at_most_once: bool,
    ) -> Result<u64, EndReason> {
        // A session that closes during the write would leave it unknown whether a query ran, so
        // queries that must not run twice get a new one.
        while let Some(conn) =
            if at_most_once { None } else { self.engines.get(engine).and_then(|record| record.pool.pop()) }
        {
            match self.connections.get_mut(&conn) {
                // The engine may have closed the session since it was last checked.
                Some(connection)
                    if connection.since_ns + MAX_REUSE_IDLE_NS >= cx.now
                        && cx.net.service(conn).ended.is_none() =>
                {
                    connection.role = Role::Running(attempt);
                    return Ok(conn);
                }
                _ => self.close(cx, conn),
            }
        }
        let conn = self.open_session(cx, engine, attempt)?;
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
        if let Some(record) = self.connections.remove(&conn).and_then(|c| self.engines.get(c.engine)) {
            record.pool.retain(|c| *c != conn);
        }
        cx.net.close(conn);
    }

    fn end_attempt(&mut self, cx: &mut Context, attempt: Attempt, end_reason: EndReason) {
        let Some(query) = self.queries.remove(&attempt) else { return };
        if let Some(fault) = query.error {
            cx.router.fault(attempt, fault);
        }
        let rows = (end_reason == EndReason::Served).then_some(Rows::Cells(query.columns, query.rows));
        cx.router.ended(attempt, end_reason, rows, None);
    }

    fn send_query(&mut self, cx: &mut Context, attempt: Attempt) {
        let Some(query) = self.queries.get_mut(&attempt) else { return };
        let conn = query.conn;
        match encode_query(&query.client_request) {
            Some(bytes) => {
                query.queued = true;
                match cx.net.send(conn, &bytes) {
                    true => self.record_written(cx, conn),
                    // Nothing was queued, so the query would count as fully written.
                    false => self.connection_lost(cx, conn, EndReason::Unsent),
                }
            }
            None => {
                query.error = Some(Fault { state: "22021".into(), message: "the text is not UTF-8".into() });
                self.end_attempt(cx, attempt, EndReason::Unsent);
                self.release(cx, conn);
            }
        }
    }

    /// Records when the query of a connection is fully written.
    fn record_written(&mut self, cx: &mut Context, conn: u64) {
        if let Some(Role::Running(attempt)) = self.connections.get(&conn).map(|c| c.role) {
            let drained = cx.net.drained(conn);
            self.queries.entry(attempt).and_modify(|q| q.fully_written |= q.queued && drained);
        }
    }

    /// Ends an attempt whose query is not fully written and so never runs. A session that is still
    /// being opened stays for other attempts.
    fn abort(&mut self, cx: &mut Context, attempt: Attempt, end_reason: EndReason) {
        let Some((conn, queued)) = self.queries.get(&attempt).map(|q| (q.conn, q.queued)) else { return };
        self.end_attempt(cx, attempt, end_reason);
        match self.connections.get_mut(&conn) {
            Some(connection) if !queued => connection.role = Role::Opening(None),
            _ => self.close(cx, conn),
        }
    }

    /// Ends the attempts of which no byte was sent and for which `should_abort` returns true.
    fn abort_unsent(
        &mut self,
        cx: &mut Context,
        should_abort: impl Fn(&EngineTable<Vec<u64>>, &Query) -> bool,
    ) {
        let should_abort = |query: &Query| is_unsent(cx, query) && should_abort(&self.engines, query);
        let unsent: Vec<Attempt> = self
            .queries
            .iter()
            .filter(|(_, query)| should_abort(query))
            .map(|(attempt, _)| *attempt)
            .collect();
        unsent.into_iter().for_each(|attempt| self.abort(cx, attempt, EndReason::Unsent));
    }

    fn release(&mut self, cx: &mut Context, conn: u64) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        (connection.role, connection.since_ns) = (Role::Idle, cx.now);
        match self
            .engines
            .get_listed_at(connection.engine, connection.address)
            .filter(|record| record.pool.len() < MAX_IDLE_SESSIONS)
        {
            Some(record) => record.pool.push(conn),
            None => self.close(cx, conn),
        }
    }

    /// Handles `ReadyForQuery`.
    fn ready_for_query(&mut self, cx: &mut Context, conn: u64, status: u8) {
        let Some(role) = self.connections.get(&conn).map(|c| c.role) else { return };
        match role {
            Role::Opening(Some(attempt)) => {
                self.connections.entry(conn).and_modify(|c| c.role = Role::Running(attempt));
                self.send_query(cx, attempt);
            }
            Role::Running(attempt) => {
                let Some(query) = self.queries.get(&attempt) else { return self.close(cx, conn) };
                let end_reason = match (query.complete, &query.error, query.cancelled_at_ns) {
                    (true, None, _) => EndReason::Served,
                    (_, _, Some(_)) => EndReason::GivenUp,
                    (_, Some(_), None) => EndReason::EngineError,
                    (false, None, None) => EndReason::Garbled,
                };
                let cancelled = query.cancelled_at_ns.is_some();
                self.end_attempt(cx, attempt, end_reason);
                // Inside a transaction the next query would become part of it, and a late
                // CancelRequest would cancel the next query.
                if status == b'I' && !cancelled {
                    self.release(cx, conn);
                } else {
                    self.close(cx, conn);
                }
            }
            Role::Opening(None) => self.release(cx, conn),
            Role::Idle | Role::Cancelling(_) => {}
        }
    }

    fn handle_message(&mut self, cx: &mut Context, conn: u64, message: Message) -> Result<(), EndReason> {
        let Some(connection) = self.connections.get_mut(&conn) else { return Ok(()) };
        let role = connection.role;
        let query = match role {
            Role::Running(attempt) => self.queries.get_mut(&attempt),
            _ => None,
        };
        match (message, role, query) {
            (Message::ReadyForQuery(body), ..) => self.ready_for_query(cx, conn, body.status()),
            (Message::BackendKeyData(body), ..) => {
                connection.cancel_key = Some((body.process_id(), body.secret_key()))
            }
            (Message::AuthenticationOk | Message::ParameterStatus(_) | Message::NoticeResponse(_), ..) => {}
            (Message::ErrorResponse(body), Role::Opening(attempt), _) => {
                let fault = parse_error(&body);
                debug!("engine refused the session: {} {}", fault.state, fault.message);
                // SQLSTATE 53300: too many connections.
                let full = fault.state == "53300";
                if let Some(attempt) = attempt {
                    self.end_attempt(cx, attempt, if full { EndReason::Full } else { EndReason::Refused });
                }
                return Err(EndReason::Refused);
            }
            (Message::ErrorResponse(body), _, Some(query)) => query.error = Some(parse_error(&body)),
            (Message::DataRow(body), _, Some(query)) => {
                let row = parse_row(&body).ok_or(EndReason::Garbled)?;
                query.bytes += row.iter().map(|c| c.as_ref().map_or(0, Vec::len) + 24).sum::<usize>();
                if query.bytes > 4 * MAX_MESSAGE_BYTES {
                    return Err(EndReason::Garbled);
                }
                query.rows.push(row);
            }
            (Message::CommandComplete(_) | Message::EmptyQueryResponse, _, Some(query)) => {
                query.complete = true
            }
            (Message::ParseComplete | Message::BindComplete, _, Some(_)) => {}
            (Message::NoData, _, Some(_)) => {}
            (Message::RowDescription(body), _, Some(query)) => {
                query.columns = parse_columns(&body).ok_or(EndReason::Garbled)?;
            }
            // Password requests, COPY, and unsolicited messages are not supported.
            _ => return Err(EndReason::Garbled),
        }
        Ok(())
    }

    /// Whether another session may be opened for an attempt.
    fn may_reopen(&self, attempt: Attempt) -> bool {
        self.queries.get(&attempt).is_some_and(|q| q.session_opens < MAX_SESSION_OPENS)
    }

    fn connection_lost(&mut self, cx: &mut Context, conn: u64, end_reason: EndReason) {
        let Some(connection) = self.connections.get(&conn) else { return };
        let (role, up) = (connection.role, connection.up);
        self.engines.connection_ended(cx.now, connection.engine, up, end_reason);
        self.close(cx, conn);
        match role {
            // A session that broke while opening ran nothing, and may be due to the network rather
            // than the engine.
            Role::Opening(Some(attempt))
                if matches!(end_reason, EndReason::Cut | EndReason::Reset) && self.may_reopen(attempt) =>
            {
                let Some(engine) = self.queries.get(&attempt).map(|q| q.engine) else { return };
                match self.acquire_session(cx, attempt, engine, true) {
                    Ok(conn) => {
                        self.queries
                            .entry(attempt)
                            .and_modify(|q| (q.conn, q.session_opens) = (conn, q.session_opens + 1));
                    }
                    Err(end_reason) => self.end_attempt(cx, attempt, end_reason),
                }
            }
            // The session was refused or never established, so nothing ran.
            Role::Opening(Some(attempt)) if end_reason == EndReason::Reset => {
                self.end_attempt(cx, attempt, EndReason::Refused)
            }
            Role::Opening(Some(attempt)) if up && end_reason != EndReason::Unreachable => {
                self.end_attempt(cx, attempt, EndReason::Refused)
            }
            Role::Opening(Some(attempt)) => self.end_attempt(cx, attempt, end_reason),
            Role::Running(attempt) => {
                let Some(query) = self.queries.get(&attempt) else { return };
                let end_reason = match (query.cancelled_at_ns, query.fully_written) {
                    (Some(_), _) => EndReason::GivenUp,
                    (None, false) => EndReason::Unsent,
                    (None, true) if end_reason == EndReason::Garbled => EndReason::Garbled,
                    (None, true) => EndReason::Cut,
                };
                self.end_attempt(cx, attempt, end_reason);
            }
            Role::Idle | Role::Opening(None) | Role::Cancelling(_) => {}
        }
    }
}

impl Backend for PostgresBackend {
    fn set_connection_budget(&mut self, connection_budget: Option<(ConnectionBudget, u64)>) {
        self.engines.set_connection_budget(connection_budget);
    }

    fn apply_change(&mut self, cx: &mut Context, change: &Change) {
        let (queries, connections) = (&self.queries, &self.connections);
        self.engines.apply_change(change, |id| {
            queries.values().any(|q| q.engine == id) || connections.values().any(|c| c.engine == id)
        });
        self.abort_unsent(cx, |engines, query| !engines.accepts_work(query.engine));
    }

    fn start(&mut self, cx: &mut Context, new: NewAttempt) {
        let attempt = new.attempt;
        let conn = match self.acquire_session(cx, attempt, new.engine, new.at_most_once) {
            Ok(conn) => conn,
            Err(end_reason) => return cx.router.ended(attempt, end_reason, None, None),
        };
        #[rustfmt::skip]
        let query = Query {
            engine: new.engine, client_request: new.client_request, conn, begin_by_ns: new.begin_by_ns, queued: false,
            fully_written: false, session_opens: 1, columns: Vec::new(), rows: Vec::new(), bytes: 0,
            complete: false, error: None, cancelled_at_ns: None,
        };
        self.queries.insert(attempt, query);
        if self.connections.get(&conn).is_some_and(|c| c.role == Role::Running(attempt)) {
            self.send_query(cx, attempt);
        }
    }

    fn cancel(&mut self, cx: &mut Context, attempt: Attempt) {
        self.cancel_if_unsent(cx, attempt);
        let Some(query) = self.queries.get_mut(&attempt).filter(|q| q.cancelled_at_ns.is_none()) else {
            return;
        };
        let (conn, engine) = (query.conn, query.engine);
        query.cancelled_at_ns = Some(cx.now);
        let session = self.connections.get(&conn).and_then(|c| Some((c.address, c.cancel_key?)));
        let Some((address, (number, cancel_key))) = session else {
            return self.connection_lost(cx, conn, EndReason::Cut);
        };
        if let Ok(cancel) = connect(cx, address) {
            self.add_connection(cx, cancel, engine, address, Role::Cancelling(attempt));
            let mut bytes = BytesMut::new();
            frontend::cancel_request(number, cancel_key, &mut bytes);
            cx.net.send(cancel, &bytes);
        }
    }

    fn cancel_if_unsent(&mut self, cx: &mut Context, attempt: Attempt) {
        if self.queries.get(&attempt).is_some_and(|q| !q.fully_written) {
            self.abort(cx, attempt, EndReason::Withdrawn);
        }
    }

    fn flushed(&mut self, cx: &mut Context, conn: u64) {
        self.record_written(cx, conn);
    }

    fn set_priority(&mut self, _: &mut Context, _: Attempt, _: u8) {
        // The protocol has no priorities.
    }

    fn ready(&mut self, cx: &mut Context, conn: u64) {
        let readiness = cx.net.service(conn);
        if let Some(connection) = self.connections.get_mut(&conn) {
            if readiness.up && !connection.up {
                self.engines.connected(connection.engine);
            }
            connection.up |= readiness.up;
        }
        self.record_written(cx, conn);
        while self.connections.contains_key(&conn) {
            let input = cx.net.input(conn);
            let size = match Header::parse(input) {
                Ok(None) => break,
                Ok(Some(header)) if header.len() as usize <= MAX_MESSAGE_BYTES => header.len() as usize + 1,
                _ => return self.connection_lost(cx, conn, EndReason::Garbled),
            };
            if input.len() < size {
                break;
            }
            let mut bytes = BytesMut::from(&input[..size]);
            cx.net.consume(conn, size);
            let parsed = Message::parse(&mut bytes).ok().flatten().ok_or(EndReason::Garbled);
            if let Err(end_reason) = parsed.and_then(|message| self.handle_message(cx, conn, message)) {
                return self.connection_lost(cx, conn, end_reason);
            }
        }
        if let Some(end_reason) = readiness.ended {
            self.connection_lost(cx, conn, end_reason);
        }
    }

    fn tick(&mut self, cx: &mut Context) {
        let mut timed_out: Vec<(u64, EndReason)> = Vec::new();
        for (conn, connection) in &self.connections {
            let age = cx.now.saturating_sub(connection.since_ns);
            match connection.role {
                Role::Opening(_) if !connection.up && age > self.connect_timeout_ns => {
                    timed_out.push((*conn, EndReason::Unreachable))
                }
                Role::Opening(_) if age > SESSION_OPEN_TIMEOUT_NS => {
                    timed_out.push((*conn, EndReason::Unreachable))
                }
                Role::Idle if age > MAX_REUSE_IDLE_NS => timed_out.push((*conn, EndReason::Idle)),
                Role::Cancelling(_) if age > CANCEL_TIMEOUT_NS => timed_out.push((*conn, EndReason::Idle)),
                Role::Running(attempt) => {
                    let cancelled_at_ns = self.queries.get(&attempt).and_then(|q| q.cancelled_at_ns);
                    if cancelled_at_ns.is_some_and(|since| cx.now > since + CANCEL_TIMEOUT_NS) {
                        timed_out.push((*conn, EndReason::Cut));
                    }
                }
                _ => {}
            }
        }
        timed_out.sort_unstable();
        timed_out.into_iter().for_each(|(conn, end_reason)| self.connection_lost(cx, conn, end_reason));
        // A retry whose session was opened too late must not be sent: engines would run it again.
        let now = cx.now;
        self.abort_unsent(cx, |_, query| query.begin_by_ns.is_some_and(|by| now > by));
    }
}
