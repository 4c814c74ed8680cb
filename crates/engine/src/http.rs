//! Backend for engines that speak HTTP/1.1.
//!
//! A connection carries one call at a time. A query is not bound to a connection: a POST starts it,
//! GETs poll its status and fetch its result pages, a DELETE cancels it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use log::debug;

use super::{connect, Backend, Context, EngineTable, NewAttempt};
use marljunction_control::interface::{EngineId, LoadReport};
use marljunction_core::end_reason::EndReason;
use marljunction_core::{Attempt, ClientRequest, Rows};
use marljunction_discovery::Change;
use marljunction_http1::head::{has_complete_rows, parse_response, Head};
use marljunction_pacing::connection_budget::ConnectionBudget;

/// Longest idle time after which a connection is reused: a peer that has failed silently sends no
/// reset.
const MAX_REUSE_IDLE_NS: u64 = 2_000_000_000;
/// Shortest idle time before a connection is reused: surplus bytes behind the last response must
/// arrive first, or they would be read as part of the next one.
const MIN_REUSE_IDLE_NS: u64 = 15_000_000;
/// Most idle connections per engine.
const MAX_IDLE_CONNECTIONS: usize = 12;
/// Longest wait for a complete response; engines respond within 250 ms.
const RESPONSE_TIMEOUT_NS: u64 = 500_000_000;
/// Delay before a query is polled again if no connection could be established.
const RETRY_DELAY_NS: u64 = 200_000_000;
/// Time since the last call after which an unpolled query has ended. Engines end a query that is
/// not polled for 2 s; a poll that the engine holds open for up to 250 ms counts until it returns,
/// and the socket delays add up to 100 ms.
const UNPOLLED_EXPIRY_NS: u64 = 2_350_000_000;
/// Time for which engines hold a poll open without news, less what the network may take from it. An
/// equal answer that comes sooner may be a second copy of the one before.
const MIN_EQUAL_ANSWER_NS: u64 = 200_000_000;
/// Largest result.
const MAX_RESULT_BYTES: usize = 48_000;
/// Most times that the POST of a query is written, each time to another connection.
const MAX_POSTS: u32 = 3;
/// Most invalid responses to one query before the attempt fails.
const MAX_INVALID_RESPONSES: u32 = 5;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Idle,
    /// Starts a query (POST).
    Post(Attempt),
    /// Polls the status of a query (GET).
    Poll(Attempt),
    /// Fetches a result page (GET).
    FetchPage(Attempt, u32),
    SetPriority(Attempt),
    Cancel(Attempt),
    /// Waits for a response that is no longer needed.
    Discard,
}

struct Connection {
    engine: EngineId,
    /// Remote address; the engine may have moved since.
    address: SocketAddr,
    role: Role,
    up: bool,
    /// When its current call was sent or its last response arrived.
    since_ns: u64,
    /// The last response 202 to the current query.
    last_running: Vec<u8>,
    /// A response may have been a second copy, so that a call may still be unanswered.
    may_owe_response: bool,
}

impl Connection {
    /// Records a response that says that a query is running.
    fn record_running(&mut self, now: u64, response: &[u8]) {
        let is_early = now < self.since_ns.saturating_add(MIN_EQUAL_ANSWER_NS);
        self.may_owe_response |= is_early && self.last_running == response;
        self.last_running.clear();
        self.last_running.extend_from_slice(response);
    }
}

/// State of the cancellation of a query.
struct Cancellation {
    conn: Option<u64>,
    retry_at_ns: u64,
    /// The engine has confirmed the DELETE.
    acknowledged: bool,
}

/// A query of an attempt on an engine.
struct Query {
    engine: EngineId,
    /// Address that the POST was last sent to, and the connection that carried it.
    sent_to: Option<(SocketAddr, u64)>,
    client_request: Rc<ClientRequest>,
    class: String,
    timeout_ns: u64,
    at_most_once: bool,
    begin_by_ns: Option<u64>,
    /// The POST is fully written.
    fully_written: bool,
    /// The engine has responded to the POST or to a poll.
    is_known: bool,
    /// The fully written POST timed out; the engine may still read it after a later call.
    post_timed_out: bool,
    conn: Option<u64>,
    /// When a POST or a poll was last written.
    last_call_ns: u64,
    /// When to poll again if no connection does.
    retry_at_ns: u64,
    disconnects: u32,
    posts: u32,
    invalid_responses: u32,
    pages: u32,
    next_page: u32,
    rows: Vec<u8>,
    load_report: Option<LoadReport>,
    priority: u8,
    sent_priority: u8,
    priority_update_pending: bool,
    cancellation: Option<Cancellation>,
}

/// Whether no byte of the POST was sent.
fn is_unsent(cx: &Context, query: &Query) -> bool {
    !query.fully_written && query.conn.is_none_or(|conn| cx.net.has_unstarted_output(conn))
}

/// Backend for engines that speak HTTP/1.1.
pub struct HttpBackend {
    engines: EngineTable<Vec<u64>>,
    connections: HashMap<u64, Connection>,
    queries: BTreeMap<Attempt, Query>,
    /// Idle time after which this router closes a connection: a third of the engines' timeout.
    idle_timeout_ns: u64,
    connect_timeout_ns: u64,
}

impl HttpBackend {
    /// Creates a backend without engines. Engines close connections that are idle for
    /// `idle_timeout_ns`; a connection that is not established within `connect_timeout_ns` fails.
    pub fn new(idle_timeout_ns: u64, connect_timeout_ns: u64) -> Self {
        HttpBackend {
            engines: EngineTable::default(),
            connections: HashMap::new(),
            queries: BTreeMap::new(),
            idle_timeout_ns: idle_timeout_ns / 3,
            connect_timeout_ns,
        }
    }

    /// Takes the most recently used idle connection to an engine that can be reused.
    fn take_idle(&mut self, now: u64, engine: EngineId) -> Option<u64> {
        let age = |conn: &u64| self.connections.get(conn).map(|c| now.saturating_sub(c.since_ns));
        let fit =
            |conn: &u64| age(conn).is_some_and(|age| (MIN_REUSE_IDLE_NS..=MAX_REUSE_IDLE_NS).contains(&age));
        let pool = &mut self.engines.get(engine)?.pool;
        pool.iter().rposition(fit).map(|index| pool.remove(index))
    }

    /// The address that the query of an attempt was sent to.
    fn query_address(&self, attempt: Attempt) -> Option<SocketAddr> {
        self.queries.get(&attempt)?.sent_to.map(|(address, _)| address)
    }

    /// Whether a response on this connection comes from the process that read the query's POST.
    fn is_from_query_process(&self, conn: u64, role: Role) -> bool {
        let (Role::Post(attempt) | Role::Poll(attempt)) = role else { return false };
        self.queries.get(&attempt).and_then(|query| query.sent_to).is_some_and(|(_, post)| post == conn)
    }

    /// Returns a connection for one call: an idle one unless `new_connection` is set, else a new
    /// one. Calls for a query that was sent go to the address that it was sent to.
    fn acquire(
        &mut self,
        cx: &mut Context,
        engine: EngineId,
        role: Role,
        new_connection: bool,
    ) -> Result<u64, EndReason> {
        let listed_address = self.engines.get(engine).ok_or(EndReason::NoDescriptor)?.address;
        let address = match role {
            Role::Poll(attempt)
            | Role::FetchPage(attempt, _)
            | Role::SetPriority(attempt)
            | Role::Cancel(attempt) => self.query_address(attempt).unwrap_or(listed_address),
            Role::Idle | Role::Post(_) | Role::Discard => listed_address,
        };
        // Idle connections lead to the listed address.
        let new_connection = new_connection || address != listed_address;
        while let Some(conn) = if new_connection { None } else { self.take_idle(cx.now, engine) } {
            // If the engine has closed the connection, it would be unknown whether the call
            // arrived.
            if cx.net.service(conn).ended.is_some() || !cx.net.input(conn).is_empty() {
                self.close(cx, conn);
                continue;
            }
            if let Some(connection) = self.connections.get_mut(&conn) {
                (connection.role, connection.since_ns) = (role, cx.now);
            }
            return Ok(conn);
        }
        let conn = match role {
            Role::Post(_) => self.engines.connect_paced(cx, engine)?,
            _ => connect(cx, address)?,
        };
        let connection = Connection {
            engine,
            address,
            role,
            up: false,
            since_ns: cx.now,
            last_running: Vec::new(),
            may_owe_response: false,
        };
        self.connections.insert(conn, connection);
        Ok(conn)
    }

    fn send_call(
        &mut self,
        cx: &mut Context,
        conn: u64,
        method: &str,
        path: &str,
        headers: &str,
        body: &[u8],
    ) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.since_ns = cx.now;
        let host = connection.address;
        let mut bytes = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}").into_bytes();
        if method == "POST" || method == "PUT" {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        if !cx.net.send(conn, &bytes) {
            // Nothing was queued, so the call would count as fully written.
            self.connection_lost(cx, conn, EndReason::Unsent);
        }
    }

    /// Returns a connection to the pool, unless an answer to an earlier call may still come on it.
    fn release(&mut self, cx: &mut Context, conn: Option<u64>) {
        let Some((conn, connection)) = conn.and_then(|c| Some((c, self.connections.get_mut(&c)?))) else {
            return;
        };
        (connection.role, connection.since_ns) = (Role::Idle, cx.now);
        connection.last_running.clear();
        if connection.may_owe_response {
            return self.close(cx, conn);
        }
        match self
            .engines
            .get_listed_at(connection.engine, connection.address)
            .filter(|record| record.pool.len() < MAX_IDLE_CONNECTIONS)
        {
            Some(record) => record.pool.push(conn),
            None => self.close(cx, conn),
        }
    }

    fn close(&mut self, cx: &mut Context, conn: u64) {
        if let Some(connection) = self.connections.remove(&conn) {
            if let Some(record) = self.engines.get(connection.engine) {
                record.pool.retain(|c| *c != conn);
            }
        }
        cx.net.close(conn);
    }

    /// Reports the outcome of an attempt and releases its connections.
    fn end_attempt(&mut self, cx: &mut Context, attempt: Attempt, end_reason: EndReason) {
        let Some(query) = self.queries.remove(&attempt) else { return };
        let rows = (end_reason == EndReason::Served).then_some(Rows::Text(query.rows));
        cx.router.ended(attempt, end_reason, rows, query.load_report);
        let conns = query.conn.into_iter().chain(query.cancellation.and_then(|c| c.conn));
        let mut conns: Vec<u64> = conns.collect();
        if query.priority_update_pending {
            let role = Role::SetPriority(attempt);
            conns.extend(self.connections.iter().filter(|(_, c)| c.role == role).map(|(conn, _)| *conn));
        }
        conns.into_iter().for_each(|conn| self.discard(cx, conn));
    }

    /// Gives up a connection's call. One that was not sent must not be: the next attempt of the
    /// request has the same id, and may be at the same address.
    fn discard(&mut self, cx: &mut Context, conn: u64) {
        let Some(connection) = self.connections.get_mut(&conn).filter(|c| c.role != Role::Idle) else {
            return;
        };
        connection.role = Role::Discard;
        if cx.net.has_unstarted_output(conn) {
            self.close(cx, conn);
        }
    }

    /// Ends an attempt whose POST is not fully written. Closing its connection is enough: an
    /// incomplete call never starts a query.
    fn abort(&mut self, cx: &mut Context, attempt: Attempt, end_reason: EndReason) {
        let conn = self.queries.get_mut(&attempt).and_then(|q| q.conn.take());
        self.end_attempt(cx, attempt, end_reason);
        conn.into_iter().for_each(|conn| self.close(cx, conn));
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

    fn post(&mut self, cx: &mut Context, attempt: Attempt, new_connection: bool) {
        let Some(query) = self.queries.get(&attempt) else { return };
        let engine = query.engine;
        // The engine may have started draining since the previous POST.
        if !self.engines.accepts_work(engine) {
            return self.end_attempt(cx, attempt, EndReason::Unsent);
        }
        // A reused connection may close during the write, and then it is unknown whether the query
        // ran.
        let conn = match self.acquire(cx, engine, Role::Post(attempt), new_connection || query.at_most_once) {
            Ok(conn) => conn,
            Err(end_reason) => return self.end_attempt(cx, attempt, end_reason),
        };
        let address = self.connections.get(&conn).map(|connection| connection.address);
        let Some(query) = self.queries.get_mut(&attempt) else { return };
        query.sent_to = address.map(|address| (address, conn));
        (query.conn, query.last_call_ns, query.posts) = (Some(conn), cx.now, query.posts + 1);
        let token = query
            .client_request
            .token
            .as_ref()
            .map_or_else(String::new, |token| format!("Once-Key: {token}\r\n"));
        let headers = format!(
            "Request-Id: {}\r\nKind: {}\r\nTimeout-Ms: {}\r\nPool-Rank: {}\r\n{token}",
            query.client_request.name,
            query.class,
            (query.timeout_ns / 1_000_000).max(1),
            query.priority
        );
        query.sent_priority = query.priority;
        let Some(body) = query.client_request.statement.inlined() else {
            return self.end_attempt(cx, attempt, EndReason::Unsent);
        };
        self.send_call(cx, conn, "POST", "/o", &headers, &body);
        self.record_written(cx, conn);
    }

    /// Records when the current call of a connection is fully written.
    fn record_written(&mut self, cx: &mut Context, conn: u64) {
        if !cx.net.drained(conn) {
            return;
        }
        match self.connections.get(&conn).map(|c| c.role) {
            // The time of the write counts, not the time at which the connection was opened.
            Some(Role::Post(attempt)) => {
                let unwritten = self.queries.get_mut(&attempt).filter(|q| !q.fully_written);
                unwritten.into_iter().for_each(|q| (q.fully_written, q.last_call_ns) = (true, cx.now));
            }
            Some(Role::Poll(attempt) | Role::FetchPage(attempt, _)) => {
                self.queries.entry(attempt).and_modify(|q| q.last_call_ns = q.last_call_ns.max(cx.now));
            }
            _ => {}
        }
    }

    /// Polls the status of a query or fetches its next page, on `reuse` if given.
    fn poll(&mut self, cx: &mut Context, attempt: Attempt, reuse: Option<u64>) {
        let Some(query) = self.queries.get(&attempt) else { return };
        if let Some(cancellation) = &query.cancellation {
            // The pending DELETE may still be refused when no other connection is left, so it moves
            // to this one unless its connection is established.
            let pending = cancellation.conn;
            let is_connected = pending.and_then(|conn| self.connections.get(&conn)).is_some_and(|c| c.up);
            self.queries.entry(attempt).and_modify(|q| q.conn = None);
            let Some(conn) = reuse.filter(|_| !is_connected) else { return self.release(cx, reuse) };
            pending.into_iter().for_each(|conn| self.discard(cx, conn));
            return self.send_cancel_on(cx, attempt, conn);
        }
        let role =
            if query.pages > 0 { Role::FetchPage(attempt, query.next_page) } else { Role::Poll(attempt) };
        let (engine, path) = (query.engine, format!("/o/{}/{}", query.client_request.name, query.next_page));
        let found = match reuse {
            Some(conn) => Ok(conn),
            None => self.acquire(cx, engine, role, true),
        };
        let Some(query) = self.queries.get_mut(&attempt) else { return };
        match found {
            Ok(conn) => {
                query.conn = Some(conn);
                if let Some(connection) = self.connections.get_mut(&conn) {
                    connection.role = role;
                }
                self.send_call(cx, conn, "GET", &path, "", b"");
                self.record_written(cx, conn);
            }
            Err(EndReason::Refused) => self.end_attempt(cx, attempt, EndReason::Cut),
            Err(_) => (query.conn, query.retry_at_ns) = (None, cx.now + RETRY_DELAY_NS),
        }
    }

    fn send_priority(&mut self, cx: &mut Context, attempt: Attempt) {
        let Some(query) = self.queries.get(&attempt) else { return };
        let due = query.is_known
            && !query.priority_update_pending
            && query.cancellation.is_none()
            && query.priority != query.sent_priority;
        if !due {
            return;
        }
        let (engine, priority, path) =
            (query.engine, query.priority, format!("/o/{}", query.client_request.name));
        let Ok(conn) = self.acquire(cx, engine, Role::SetPriority(attempt), false) else { return };
        self.queries
            .entry(attempt)
            .and_modify(|q| (q.priority_update_pending, q.sent_priority) = (true, priority));
        self.send_call(cx, conn, "PUT", &path, "", priority.to_string().as_bytes());
    }

    fn send_cancel(&mut self, cx: &mut Context, attempt: Attempt) {
        let Some(query) = self.queries.get(&attempt) else { return };
        let (engine, last_call_ns) = (query.engine, query.last_call_ns);
        let found = self.acquire(cx, engine, Role::Cancel(attempt), false);
        match found {
            Ok(conn) => self.send_cancel_on(cx, attempt, conn),
            Err(EndReason::Refused) if !self.has_open_call(attempt) => {
                self.end_attempt(cx, attempt, EndReason::Abandoned)
            }
            // The engine has ended the unpolled query.
            Err(_) if cx.now >= last_call_ns + UNPOLLED_EXPIRY_NS => {
                self.end_attempt(cx, attempt, EndReason::Abandoned)
            }
            Err(_) => {
                if let Some(cancellation) =
                    self.queries.get_mut(&attempt).and_then(|q| q.cancellation.as_mut())
                {
                    (cancellation.conn, cancellation.retry_at_ns) = (None, cx.now + RETRY_DELAY_NS / 2);
                }
            }
        }
    }

    /// Sends the DELETE on this connection.
    fn send_cancel_on(&mut self, cx: &mut Context, attempt: Attempt, conn: u64) {
        let Some(query) = self.queries.get_mut(&attempt) else { return };
        let path = format!("/o/{}", query.client_request.name);
        let Some(cancellation) = &mut query.cancellation else { return };
        cancellation.conn = Some(conn);
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.role = Role::Cancel(attempt);
        }
        self.send_call(cx, conn, "DELETE", &path, "", b"");
        self.record_written(cx, conn);
    }

    /// Whether the POST or a poll is open on an established connection. A process that exits resets
    /// it, so while it is open a refused connection only means that the engine accepts no new ones.
    fn has_open_call(&self, attempt: Attempt) -> bool {
        let conn = self.queries.get(&attempt).and_then(|q| q.conn);
        conn.and_then(|conn| self.connections.get(&conn)).is_some_and(|c| c.up)
    }

    /// Handles a complete response. `conn` is absent if the connection cannot be reused.
    /// `is_from_query_process` is false if another process at the query's address may have sent it.
    fn handle_response(
        &mut self,
        cx: &mut Context,
        conn: Option<u64>,
        role: Role,
        is_from_query_process: bool,
        head: Head,
        body: Vec<u8>,
    ) {
        match role {
            Role::Idle => {}
            Role::Discard => self.release(cx, conn),
            // Another status belongs to an earlier call, and would count as a confirmed
            // cancellation while the query runs.
            Role::Cancel(_) | Role::SetPriority(_) if !matches!(head.status, 204 | 500) => {
                self.invalid_response(cx, conn, role, "unexpected status");
            }
            Role::Cancel(attempt) => {
                self.release(cx, conn);
                // After a stall the engine may have processed the DELETE before the POST, and start
                // the query afterwards. The DELETE is repeated once the POST has had time to be
                // read.
                let open_call = self.has_open_call(attempt);
                let Some(query) = self.queries.get_mut(&attempt) else { return };
                match query
                    .cancellation
                    .as_mut()
                    .filter(|cancellation| !query.is_known && (open_call || !cancellation.acknowledged))
                {
                    Some(cancellation) => {
                        (cancellation.conn, cancellation.acknowledged) = (None, true);
                        cancellation.retry_at_ns =
                            if open_call { u64::MAX } else { cx.now + RETRY_DELAY_NS / 2 };
                    }
                    None => self.end_attempt(cx, attempt, EndReason::GivenUp),
                }
            }
            Role::SetPriority(attempt) => {
                self.queries.entry(attempt).and_modify(|q| q.priority_update_pending = false);
                self.release(cx, conn);
                self.send_priority(cx, attempt);
            }
            Role::Post(attempt) | Role::Poll(attempt) => {
                let Some(query) = self.queries.get_mut(&attempt) else { return self.release(cx, conn) };
                // Page 0 carries the number of pages; any other page belongs to another call.
                let is_result = head.status == 200;
                if is_result
                    && (head.pages.is_none_or(|n| n == 0) || head.page.is_some() || !has_complete_rows(&body))
                {
                    return self.invalid_response(cx, conn, role, "not a valid first page");
                }
                // After a stall the engine may still read the POST of a query that it does not know
                // yet. Polls once more before the attempt fails.
                if head.status == 500
                    && std::mem::take(&mut query.post_timed_out)
                    && query.cancellation.is_none()
                {
                    (query.conn, query.retry_at_ns) = (None, cx.now + RETRY_DELAY_NS / 2);
                    return self.release(cx, conn);
                }
                let is_first_response = !std::mem::replace(&mut query.is_known, true);
                (query.fully_written, query.disconnects, query.post_timed_out) = (true, 0, false);
                query.load_report = head.load_report.or(query.load_report);
                match (head.status, head.never_ran) {
                    (202, _) => {
                        if let Some(note) = head.note {
                            cx.router.attempt_update(attempt, note);
                        }
                        // The pending DELETE may have been processed before the POST; it is sent
                        // again.
                        let pending = query
                            .cancellation
                            .as_mut()
                            .filter(|_| is_first_response)
                            .and_then(|c| c.conn.take());
                        pending.into_iter().for_each(|conn| self.discard(cx, conn));
                        self.poll(cx, attempt, conn);
                        self.send_priority(cx, attempt);
                    }
                    (200, _) => {
                        (query.pages, query.next_page, query.rows) = (head.pages.unwrap_or(1), 1, body);
                        self.fetch_next_page_or_end(cx, attempt, conn);
                    }
                    (503, true) if is_from_query_process => self.finish(cx, attempt, conn, EndReason::Full),
                    (504, true) if is_from_query_process => self.finish(cx, attempt, conn, EndReason::Over),
                    // It never ran at the process that says so, which may not be the one that had it.
                    (503 | 504, true) | (500, _) => self.finish(cx, attempt, conn, EndReason::EngineError),
                    _ => self.invalid_response(cx, conn, role, "unexpected status"),
                }
            }
            Role::FetchPage(attempt, number) => {
                let Some(query) = self.queries.get_mut(&attempt) else { return self.release(cx, conn) };
                if head.status == 500 {
                    return self.finish(cx, attempt, conn, EndReason::EngineError);
                }
                let fits = head.status == 200 && head.page == Some(number) && has_complete_rows(&body);
                if !fits || query.rows.len() + body.len() > MAX_RESULT_BYTES {
                    return self.invalid_response(cx, conn, role, "unexpected or oversized page");
                }
                query.load_report = head.load_report.or(query.load_report);
                query.rows.extend_from_slice(&body);
                (query.next_page, query.disconnects, query.invalid_responses) = (query.next_page + 1, 0, 0);
                self.fetch_next_page_or_end(cx, attempt, conn);
            }
        }
    }

    fn fetch_next_page_or_end(&mut self, cx: &mut Context, attempt: Attempt, conn: Option<u64>) {
        let Some(query) = self.queries.get(&attempt) else { return };
        if query.next_page >= query.pages {
            self.finish(cx, attempt, conn, EndReason::Served);
        } else {
            self.poll(cx, attempt, conn);
        }
    }

    fn finish(&mut self, cx: &mut Context, attempt: Attempt, conn: Option<u64>, end_reason: EndReason) {
        self.release(cx, conn);
        // The open POST or poll of a cancelled query gets a 500 before the DELETE gets its response;
        // that is no failure of the engine.
        let was_cancelled = end_reason == EndReason::EngineError
            && self.queries.get(&attempt).is_some_and(|q| q.cancellation.is_some());
        self.end_attempt(cx, attempt, if was_cancelled { EndReason::GivenUp } else { end_reason });
    }

    /// Closes the connection of a response that is malformed or belongs to another call. The engine
    /// still has the query, so it is polled on a new connection, up to a limit.
    fn invalid_response(&mut self, cx: &mut Context, conn: Option<u64>, role: Role, reason: &str) {
        debug!("invalid engine response to {role:?}: {reason}");
        cx.router.counters.spoilt += 1;
        conn.into_iter().for_each(|conn| self.close(cx, conn));
        if let Role::Post(attempt) | Role::Poll(attempt) | Role::FetchPage(attempt, _) = role {
            let Some(query) = self.queries.get_mut(&attempt) else { return };
            // A response means that the engine has the query.
            (query.invalid_responses, query.fully_written) = (query.invalid_responses + 1, true);
            if query.invalid_responses > MAX_INVALID_RESPONSES {
                return self.end_attempt(cx, attempt, EndReason::Garbled);
            }
        }
        self.handle_disconnect(cx, role, true, EndReason::Garbled);
    }

    /// Handles the end of a connection.
    fn connection_lost(&mut self, cx: &mut Context, conn: u64, end_reason: EndReason) {
        let Some(connection) = self.connections.get(&conn) else { return };
        let (role, up) = (connection.role, connection.up);
        self.engines.connection_ended(cx.now, connection.engine, up, end_reason);
        self.close(cx, conn);
        self.handle_disconnect(cx, role, up, end_reason);
    }

    /// Retries or ends what the connection was used for.
    fn handle_disconnect(&mut self, cx: &mut Context, role: Role, up: bool, end_reason: EndReason) {
        debug!("{role:?}: {} connection ended: {end_reason:?}", if up { "established" } else { "pending" });
        match role {
            Role::Idle | Role::Discard => {}
            Role::SetPriority(attempt) => {
                self.queries.entry(attempt).and_modify(|q| q.priority_update_pending = false);
            }
            Role::Cancel(attempt) => {
                if !up && end_reason == EndReason::Refused && !self.has_open_call(attempt) {
                    return self.end_attempt(cx, attempt, EndReason::Abandoned);
                }
                let last_call_ns = self.queries.get(&attempt).map_or(0, |q| q.last_call_ns);
                if cx.now >= last_call_ns + UNPOLLED_EXPIRY_NS {
                    return self.end_attempt(cx, attempt, EndReason::Abandoned);
                }
                if let Some(cancellation) =
                    self.queries.get_mut(&attempt).and_then(|q| q.cancellation.as_mut())
                {
                    (cancellation.conn, cancellation.retry_at_ns) =
                        (None, if up { cx.now } else { cx.now + RETRY_DELAY_NS / 2 });
                }
            }
            Role::Post(attempt) => {
                let Some(query) = self.queries.get_mut(&attempt) else { return };
                query.conn = None;
                if let Some(cancellation) = &mut query.cancellation {
                    cancellation.retry_at_ns = cancellation.retry_at_ns.min(cx.now + RETRY_DELAY_NS / 2);
                    return;
                }
                let may_retry = query.posts < MAX_POSTS;
                match end_reason {
                    EndReason::Reset if !up && !may_retry => {
                        self.end_attempt(cx, attempt, EndReason::Refused)
                    }
                    EndReason::Reset if !up => self.post(cx, attempt, true),
                    _ if !up => self.end_attempt(cx, attempt, end_reason),
                    // The POST was cut off, so the query did not start.
                    _ if !query.fully_written && may_retry => self.post(cx, attempt, true),
                    _ if !query.fully_written => self.end_attempt(cx, attempt, EndReason::Unsent),
                    _ => {
                        query.last_call_ns = cx.now;
                        self.poll_again(cx, attempt);
                    }
                }
            }
            Role::Poll(attempt) | Role::FetchPage(attempt, _) => {
                let Some(query) = self.queries.get_mut(&attempt) else { return };
                query.conn = None;
                if query.cancellation.is_some() {
                    return;
                }
                if !up && end_reason == EndReason::Refused {
                    // The engine process has exited, and the query may have run.
                    self.end_attempt(cx, attempt, EndReason::Cut);
                } else if !up && end_reason != EndReason::Reset {
                    query.retry_at_ns = cx.now + RETRY_DELAY_NS;
                } else {
                    self.poll_again(cx, attempt);
                }
            }
        }
    }

    /// Polls on a new connection, at once after the first disconnect and delayed after further
    /// ones.
    fn poll_again(&mut self, cx: &mut Context, attempt: Attempt) {
        let Some(query) = self.queries.get_mut(&attempt) else { return };
        query.disconnects += 1;
        if query.disconnects > 1 {
            query.retry_at_ns = cx.now + RETRY_DELAY_NS;
        } else {
            self.poll(cx, attempt, None);
        }
    }
}

impl Backend for HttpBackend {
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
        let query = Query {
            engine: new.engine,
            sent_to: None,
            client_request: new.client_request,
            class: new.class,
            timeout_ns: new.timeout_ns,
            at_most_once: new.at_most_once,
            begin_by_ns: new.begin_by_ns,
            fully_written: false,
            is_known: false,
            post_timed_out: false,
            conn: None,
            last_call_ns: cx.now,
            retry_at_ns: 0,
            disconnects: 0,
            posts: 0,
            invalid_responses: 0,
            pages: 0,
            next_page: 0,
            rows: Vec::new(),
            load_report: None,
            priority: new.priority,
            sent_priority: new.priority,
            priority_update_pending: false,
            cancellation: None,
        };
        self.queries.insert(new.attempt, query);
        self.post(cx, new.attempt, false);
    }

    fn cancel(&mut self, cx: &mut Context, attempt: Attempt) {
        self.cancel_if_unsent(cx, attempt);
        let Some(query) = self.queries.get_mut(&attempt).filter(|q| q.cancellation.is_none()) else { return };
        query.cancellation = Some(Cancellation { conn: None, retry_at_ns: cx.now, acknowledged: false });
        self.send_cancel(cx, attempt);
    }

    fn cancel_if_unsent(&mut self, cx: &mut Context, attempt: Attempt) {
        if self.queries.get(&attempt).is_some_and(|q| !q.fully_written) {
            self.abort(cx, attempt, EndReason::Withdrawn);
        }
    }

    fn flushed(&mut self, cx: &mut Context, conn: u64) {
        self.record_written(cx, conn);
    }

    fn set_priority(&mut self, cx: &mut Context, attempt: Attempt, priority: u8) {
        self.queries.entry(attempt).and_modify(|q| q.priority = priority);
        self.send_priority(cx, attempt);
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
        if !cx.net.input(conn).is_empty() && self.connections.get(&conn).is_some_and(|c| c.role == Role::Idle)
        {
            // Unsolicited bytes would be read as part of the next response.
            return self.close(cx, conn);
        }
        while let Some(role) = self.connections.get(&conn).map(|c| c.role) {
            match parse_response(cx.net.input(conn)) {
                Ok(None) => break,
                Ok(Some((head, body_start, body_end))) => {
                    let (body, trailing) =
                        (&cx.net.input(conn)[body_start..body_end], &cx.net.input(conn)[body_end..]);
                    // Bytes behind the body that do not start a response show a `Content-Length`
                    // that is too small.
                    if !trailing.is_empty() && !trailing.starts_with(b"HTTP/1.1 ") && !body.is_empty() {
                        return self.invalid_response(cx, Some(conn), role, "trailing bytes after the body");
                    }
                    if let Some(connection) = self.connections.get_mut(&conn).filter(|_| head.status == 202) {
                        connection.record_running(cx.now, &cx.net.input(conn)[..body_end]);
                    }
                    let is_from_query_process = self.is_from_query_process(conn, role);
                    let (body, is_last) = (body.to_vec(), head.connection_close || !trailing.is_empty());
                    cx.net.consume(conn, body_end);
                    if is_last {
                        // Bytes behind a response must not be read as part of the next one.
                        self.close(cx, conn);
                        return self.handle_response(cx, None, role, is_from_query_process, head, body);
                    }
                    self.handle_response(cx, Some(conn), role, is_from_query_process, head, body);
                }
                Err(reason) => return self.invalid_response(cx, Some(conn), role, &reason),
            }
        }
        if let Some(end_reason) = readiness.ended {
            self.connection_lost(cx, conn, end_reason);
        }
    }

    fn tick(&mut self, cx: &mut Context) {
        let (mut late, mut stale) = (Vec::new(), Vec::new());
        for (conn, connection) in &self.connections {
            let age = cx.now.saturating_sub(connection.since_ns);
            match connection.role {
                Role::Idle if age > self.idle_timeout_ns.min(MAX_REUSE_IDLE_NS) => stale.push(*conn),
                Role::Idle => {}
                _ if !connection.up && age > self.connect_timeout_ns => {
                    late.push((*conn, EndReason::Unreachable))
                }
                _ if connection.up && age > RESPONSE_TIMEOUT_NS => late.push((*conn, EndReason::Cut)),
                _ => {}
            }
        }
        stale.sort_unstable();
        late.sort_unstable();
        stale.into_iter().for_each(|conn| self.close(cx, conn));
        for (conn, end_reason) in late {
            if let Some(Connection { role: Role::Post(attempt), up: true, .. }) = self.connections.get(&conn)
            {
                self.queries.entry(*attempt).and_modify(|q| q.post_timed_out = q.fully_written);
            }
            self.connection_lost(cx, conn, end_reason);
        }
        // A retry whose connection was established too late must not be sent: engines would run it
        // again.
        let now = cx.now;
        self.abort_unsent(cx, |_, query| query.begin_by_ns.is_some_and(|by| now > by));
        // A disconnected engine has ended the unpolled query by now, if it ever started.
        let is_expired = |q: &Query| {
            q.fully_written && q.cancellation.is_none() && cx.now > q.last_call_ns + UNPOLLED_EXPIRY_NS
        };
        let expired: Vec<Attempt> =
            self.queries.iter().filter(|(_, q)| is_expired(q)).map(|(attempt, _)| *attempt).collect();
        expired.into_iter().for_each(|attempt| self.end_attempt(cx, attempt, EndReason::Cut));
        let due: Vec<(Attempt, bool)> = self
            .queries
            .iter()
            .filter_map(|(attempt, query)| match &query.cancellation {
                None => (query.conn.is_none() && cx.now >= query.retry_at_ns).then_some((*attempt, false)),
                // A POST written to a stalled engine may still be read later, so only a response or
                // the expiry ends the query.
                Some(cancellation) => (cancellation.conn.is_none() && cx.now >= cancellation.retry_at_ns
                    || cx.now > query.last_call_ns + UNPOLLED_EXPIRY_NS)
                    .then_some((*attempt, true)),
            })
            .collect();
        for (attempt, is_cancelled) in due {
            let last_call_ns = self.queries.get(&attempt).map_or(0, |q| q.last_call_ns);
            match is_cancelled {
                false => self.poll(cx, attempt, None),
                true if cx.now > last_call_ns + UNPOLLED_EXPIRY_NS => {
                    self.end_attempt(cx, attempt, EndReason::Abandoned)
                }
                true => self.send_cancel(cx, attempt),
            }
        }
    }
}
