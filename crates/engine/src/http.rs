//! Engines that speak HTTP/1.1: one call at a time on a connection, queries that belong to no connection.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use log::debug;

use super::{Backend, Context, EngineTable, NewAttempt};
use marljunction_control::interface::{EngineId, LoadReport};
use marljunction_core::ending::Ending;
use marljunction_core::{Ask, Attempt, Rows};
use marljunction_discovery::Change;
use marljunction_http1::head::{has_complete_rows, parse_response, Head};
use marljunction_pacing::opening::Openings;

/// An idle connection is used again only so soon after its last answer (ns): a silent machine never resets.
const MAX_REUSE_IDLE_NS: u64 = 2_000_000_000;
/// A connection is used for another query only so long after its last answer (ns): what an engine sends behind
/// that answer, more than belongs to it, would be read as the next one's.
const MIN_REUSE_IDLE_NS: u64 = 15_000_000;
/// Idle connections kept for an engine (count).
const MAX_IDLE_CONNECTIONS: usize = 12;
/// Time without a whole answer after which a connection is given up (ns): engines answer within 250 ms.
const RESPONSE_TIMEOUT_NS: u64 = 500_000_000;
/// Wait before a query is asked after again where no connection came up (ns).
const RETRY_DELAY_NS: u64 = 200_000_000;
/// An engine ends a query that nobody asks for in 2 s. The call that asked last may have come later than it was written, and
/// counts as asking while the engine holds it for news, 250 ms; with the allowance for sockets, twice (ns).
const UNPOLLED_EXPIRY_NS: u64 = 2_350_000_000;
/// Largest result (bytes).
const MAX_RESULT_BYTES: usize = 48_000;
/// Times that a query's start is written to a new connection because the one before came to nothing (count).
const MAX_POSTS: u32 = 3;
/// Times that a query's answer or one page of it is asked for again because it was spoilt (count).
const MAX_INVALID_RESPONSES: u32 = 5;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Idle,
    /// The call that starts a query.
    Post(Attempt),
    /// Asks for a query's news.
    Poll(Attempt),
    /// Fetches a page.
    FetchPage(Attempt, u32),
    SetPriority(Attempt),
    Cancel(Attempt),
    /// Waits for an answer that nobody needs.
    Discard,
}

struct Connection {
    engine: EngineId,
    /// Where it leads, which may be another's address by now.
    address: SocketAddr,
    role: Role,
    up: bool,
    /// When its present call was made, or its last answer came.
    since_ns: u64,
}

/// How far giving up has come.
struct Cancellation {
    conn: Option<u64>,
    retry_at_ns: u64,
    /// The engine has said that it was told.
    acknowledged: bool,
}

/// A query on an engine.
struct Query {
    engine: EngineId,
    ask: Rc<Ask>,
    class: String,
    timeout_ns: u64,
    at_most_once: bool,
    begin_by_ns: Option<u64>,
    /// The call that starts it was wholly written.
    fully_written: bool,
    /// The engine has answered something about it.
    is_known: bool,
    /// The engine stood still as it got the call that starts it, and may read that behind a later one.
    post_timed_out: bool,
    conn: Option<u64>,
    /// When it was last asked for on a connection that was up.
    last_call_ns: u64,
    /// When to ask for it again, while no connection does.
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

/// Whether nothing of the call that starts a query has gone out.
fn is_unsent(cx: &Context, query: &Query) -> bool {
    !query.fully_written && query.conn.is_none_or(|conn| cx.net.is_unbegun(conn))
}

/// The backend for such engines.
pub struct HttpBackend {
    engines: EngineTable<Vec<u64>>,
    connections: HashMap<u64, Connection>,
    queries: BTreeMap<Attempt, Query>,
    idle_timeout_ns: u64,
    connect_timeout_ns: u64,
}

impl HttpBackend {
    /// No engines yet. They close connections that are idle for `idle_ns`; one that is not up after
    /// `connect_ns` never will be.
    pub fn new(idle_timeout_ns: u64, connect_timeout_ns: u64) -> Self {
        HttpBackend {
            engines: EngineTable::default(),
            connections: HashMap::new(),
            queries: BTreeMap::new(),
            idle_timeout_ns: idle_timeout_ns / 3,
            connect_timeout_ns,
        }
    }

    /// Takes an idle connection to an engine that was of use just now.
    fn take_idle(&mut self, now: u64, engine: EngineId) -> Option<u64> {
        let age = |conn: &u64| self.connections.get(conn).map(|c| now.saturating_sub(c.since_ns));
        let fit =
            |conn: &u64| age(conn).is_some_and(|age| (MIN_REUSE_IDLE_NS..=MAX_REUSE_IDLE_NS).contains(&age));
        let pool = &mut self.engines.get(engine)?.pool;
        pool.iter().rposition(fit).map(|index| pool.remove(index))
    }

    /// A connection for one call: an idle one that was of use just now, else a new one.
    fn acquire(
        &mut self,
        cx: &mut Context,
        engine: EngineId,
        role: Role,
        new_connection: bool,
    ) -> Result<u64, Ending> {
        let address = self.engines.get(engine).ok_or(Ending::NoDescriptor)?.address;
        while let Some(conn) = if new_connection { None } else { self.take_idle(cx.now, engine) } {
            // Guards against a call on a connection that its engine has closed since it was last looked at: nobody could tell
            // whether it came.
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
            _ => self.engines.connect(cx, engine)?,
        };
        self.connections.insert(conn, Connection { engine, address, role, up: false, since_ns: cx.now });
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
        let host =
            self.engines.get(connection.engine).map(|record| record.address.to_string()).unwrap_or_default();
        let mut bytes = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}").into_bytes();
        if method == "POST" || method == "PUT" {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        if !cx.net.send(conn, &bytes) {
            // Guards against a call that passes for written, as nothing of it waits.
            self.connection_lost(cx, conn, Ending::Unsent);
        }
    }

    /// A connection is free again.
    fn release(&mut self, cx: &mut Context, conn: Option<u64>) {
        let Some((conn, connection)) = conn.and_then(|c| Some((c, self.connections.get_mut(&c)?))) else {
            return;
        };
        (connection.role, connection.since_ns) = (Role::Idle, cx.now);
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

    /// Reports the one ending of an attempt, and lets its connections go.
    fn end_attempt(&mut self, cx: &mut Context, attempt: Attempt, ending: Ending) {
        let Some(query) = self.queries.remove(&attempt) else { return };
        let rows = (ending == Ending::Served).then_some(Rows::Text(query.rows));
        cx.router.ended(attempt, ending, rows, query.load_report);
        let conns = query.conn.into_iter().chain(query.cancellation.and_then(|c| c.conn));
        for conn in conns.collect::<Vec<_>>() {
            if let Some(connection) = self.connections.get_mut(&conn).filter(|c| c.role != Role::Idle) {
                connection.role = Role::Discard;
            }
        }
    }

    /// Ends an attempt whose call was not wholly written: without the rest it never runs, so closing its connection is enough.
    fn abort(&mut self, cx: &mut Context, attempt: Attempt, ending: Ending) {
        let conn = self.queries.get_mut(&attempt).and_then(|q| q.conn.take());
        self.end_attempt(cx, attempt, ending);
        conn.into_iter().for_each(|conn| self.close(cx, conn));
    }

    /// Ends the attempts of which nothing has gone out and that `which` says must not begin any more.
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
        unsent.into_iter().for_each(|attempt| self.abort(cx, attempt, Ending::Unsent));
    }

    fn post(&mut self, cx: &mut Context, attempt: Attempt, new_connection: bool) {
        let Some(query) = self.queries.get(&attempt) else { return };
        let engine = query.engine;
        // Guards against new work for an engine that began to drain while the connections before came to nothing.
        if !self.engines.accepts_work(engine) {
            return self.end_attempt(cx, attempt, Ending::Unsent);
        }
        // An idle connection may close as it is written to, and then nobody knows what came of it.
        let conn = match self.acquire(cx, engine, Role::Post(attempt), new_connection || query.at_most_once) {
            Ok(conn) => conn,
            Err(ending) => return self.end_attempt(cx, attempt, ending),
        };
        let Some(query) = self.queries.get_mut(&attempt) else { return };
        (query.conn, query.last_call_ns, query.posts) = (Some(conn), cx.now, query.posts + 1);
        let token =
            query.ask.token.as_ref().map_or_else(String::new, |token| format!("Once-Key: {token}\r\n"));
        let headers = format!(
            "Request-Id: {}\r\nKind: {}\r\nTimeout-Ms: {}\r\nPool-Rank: {}\r\n{token}",
            query.ask.name,
            query.class,
            (query.timeout_ns / 1_000_000).max(1),
            query.priority
        );
        query.sent_priority = query.priority;
        let Some(body) = query.ask.statement.inlined() else {
            return self.end_attempt(cx, attempt, Ending::Unsent);
        };
        self.send_call(cx, conn, "POST", "/o", &headers, &body);
        self.record_written(cx, conn);
    }

    /// Takes note of calls that have been wholly written.
    fn record_written(&mut self, cx: &mut Context, conn: u64) {
        if !cx.net.drained(conn) {
            return;
        }
        match self.connections.get(&conn).map(|c| c.role) {
            // The engine has it from now on, however long its connection took to come up.
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

    /// Asks for a query's news, or for its next page.
    fn poll(&mut self, cx: &mut Context, attempt: Attempt, reuse: Option<u64>) {
        let Some(query) = self.queries.get(&attempt) else { return };
        if let Some(cancellation) = &query.cancellation {
            // Guards against a refusal that comes after this answer, when no connection of the query's stands any
            // more: this one carries the DELETE unless another already does.
            let pending = cancellation.conn;
            let is_connected = pending.and_then(|conn| self.connections.get(&conn)).is_some_and(|c| c.up);
            self.queries.entry(attempt).and_modify(|q| q.conn = None);
            let Some(conn) = reuse.filter(|_| !is_connected) else { return self.release(cx, reuse) };
            if let Some(connection) = pending.and_then(|conn| self.connections.get_mut(&conn)) {
                connection.role = Role::Discard;
            }
            return self.send_cancel_on(cx, attempt, conn);
        }
        let role =
            if query.pages > 0 { Role::FetchPage(attempt, query.next_page) } else { Role::Poll(attempt) };
        let (engine, path) = (query.engine, format!("/o/{}/{}", query.ask.name, query.next_page));
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
            Err(Ending::Refused) => self.end_attempt(cx, attempt, Ending::Cut),
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
        let (engine, priority, path) = (query.engine, query.priority, format!("/o/{}", query.ask.name));
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
            Err(Ending::Refused) if !self.is_polling(attempt) => {
                self.end_attempt(cx, attempt, Ending::Abandoned)
            }
            // A query that nobody asks for ends by itself.
            Err(_) if cx.now >= last_call_ns + UNPOLLED_EXPIRY_NS => {
                self.end_attempt(cx, attempt, Ending::Abandoned)
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

    /// Gives a query up by a call on this connection.
    fn send_cancel_on(&mut self, cx: &mut Context, attempt: Attempt, conn: u64) {
        let Some(query) = self.queries.get_mut(&attempt) else { return };
        let path = format!("/o/{}", query.ask.name);
        let Some(cancellation) = &mut query.cancellation else { return };
        cancellation.conn = Some(conn);
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.role = Role::Cancel(attempt);
        }
        self.send_call(cx, conn, "DELETE", &path, "", b"");
        self.record_written(cx, conn);
    }

    /// Whether a connection that is up still waits for a query's news. A process that has gone resets it, so
    /// while it stands a refused connection says only that the engine takes no new ones: it may be draining, or
    /// hold as many as it can.
    fn is_polling(&self, attempt: Attempt) -> bool {
        let conn = self.queries.get(&attempt).and_then(|q| q.conn);
        conn.and_then(|conn| self.connections.get(&conn)).is_some_and(|c| c.up)
    }

    /// Takes a whole answer; its connection is absent where it can carry nothing more.
    fn handle_response(
        &mut self,
        cx: &mut Context,
        conn: Option<u64>,
        role: Role,
        head: Head,
        body: Vec<u8>,
    ) {
        match role {
            Role::Idle => {}
            Role::Discard => self.release(cx, conn),
            // Guards against an answer to an earlier call that is taken for this one's: the attempt would count
            // as given up while it runs.
            Role::Cancel(_) | Role::SetPriority(_) if !matches!(head.status, 204 | 500) => {
                self.invalid_response(cx, conn, role, "no answer to this call");
            }
            Role::Cancel(attempt) => {
                self.release(cx, conn);
                // Guards against a second copy: an engine that stood still may read this call before the one that starts the
                // query, and take that up afterwards. It is told once more, when it has had time to read that one.
                let polling = self.is_polling(attempt);
                let Some(query) = self.queries.get_mut(&attempt) else { return };
                match query
                    .cancellation
                    .as_mut()
                    .filter(|cancellation| !query.is_known && (polling || !cancellation.acknowledged))
                {
                    Some(cancellation) => {
                        (cancellation.conn, cancellation.acknowledged) = (None, true);
                        cancellation.retry_at_ns =
                            if polling { u64::MAX } else { cx.now + RETRY_DELAY_NS / 2 };
                    }
                    None => self.end_attempt(cx, attempt, Ending::GivenUp),
                }
            }
            Role::SetPriority(attempt) => {
                self.queries.entry(attempt).and_modify(|q| q.priority_update_pending = false);
                self.release(cx, conn);
                self.send_priority(cx, attempt);
            }
            Role::Post(attempt) | Role::Poll(attempt) => {
                let Some(query) = self.queries.get_mut(&attempt) else { return self.release(cx, conn) };
                // Page 0 tells how many there are; a page that does not is another call's.
                let is_result = head.status == 200;
                if is_result
                    && (head.pages.is_none_or(|n| n == 0) || head.page.is_some() || !has_complete_rows(&body))
                {
                    return self.invalid_response(cx, conn, role, "no first page");
                }
                // Guards against a second copy: an engine that stood still may take a query up that it did not know just now. It
                // is asked once more, when it has had time to read the call that starts it.
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
                            cx.router.note(attempt, note);
                        }
                        // Guards against an end that was read before the start: it is told anew behind that.
                        let pending = query
                            .cancellation
                            .as_mut()
                            .filter(|_| is_first_response)
                            .and_then(|c| c.conn.take());
                        if let Some(connection) = pending.and_then(|conn| self.connections.get_mut(&conn)) {
                            connection.role = Role::Discard;
                        }
                        self.poll(cx, attempt, conn);
                        self.send_priority(cx, attempt);
                    }
                    (200, _) => {
                        (query.pages, query.next_page, query.rows) = (head.pages.unwrap_or(1), 1, body);
                        self.fetch_next_page_or_end(cx, attempt, conn);
                    }
                    (503, true) => self.finish(cx, attempt, conn, Ending::Full),
                    (504, true) => self.finish(cx, attempt, conn, Ending::Over),
                    (500, _) => self.finish(cx, attempt, conn, Ending::EngineError),
                    _ => self.invalid_response(cx, conn, role, "no answer that the protocol knows"),
                }
            }
            Role::FetchPage(attempt, number) => {
                let Some(query) = self.queries.get_mut(&attempt) else { return self.release(cx, conn) };
                if head.status == 500 {
                    return self.finish(cx, attempt, conn, Ending::EngineError);
                }
                let fits = head.status == 200 && head.page == Some(number) && has_complete_rows(&body);
                if !fits || query.rows.len() + body.len() > MAX_RESULT_BYTES {
                    return self.invalid_response(cx, conn, role, "another page");
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
            self.finish(cx, attempt, conn, Ending::Served);
        } else {
            self.poll(cx, attempt, conn);
        }
    }

    fn finish(&mut self, cx: &mut Context, attempt: Attempt, conn: Option<u64>, ending: Ending) {
        self.release(cx, conn);
        // Guards against a cancel that counts as the engine's failure: the call that waits for news is answered so
        // once the engine has given the query up, before the DELETE's own answer.
        let was_cancelled = ending == Ending::EngineError
            && self.queries.get(&attempt).is_some_and(|q| q.cancellation.is_some());
        self.end_attempt(cx, attempt, if was_cancelled { Ending::GivenUp } else { ending });
    }

    /// An answer can't be read, or can't be this call's: its connection is of no use any more. The engine still
    /// knows the query, so the answer is fetched again on a new one before it is called failed.
    fn invalid_response(&mut self, cx: &mut Context, conn: Option<u64>, role: Role, reason: &str) {
        debug!("an engine's answer to {role:?}: {reason}");
        cx.router.counters.spoilt += 1;
        conn.into_iter().for_each(|conn| self.close(cx, conn));
        if let Role::Post(attempt) | Role::Poll(attempt) | Role::FetchPage(attempt, _) = role {
            let Some(query) = self.queries.get_mut(&attempt) else { return };
            // It has answered, so it has the query.
            (query.invalid_responses, query.fully_written) = (query.invalid_responses + 1, true);
            if query.invalid_responses > MAX_INVALID_RESPONSES {
                return self.end_attempt(cx, attempt, Ending::Garbled);
            }
        }
        self.handle_disconnect(cx, role, true, Ending::Garbled);
    }

    /// A connection is over.
    fn connection_lost(&mut self, cx: &mut Context, conn: u64, ending: Ending) {
        let Some(connection) = self.connections.get(&conn) else { return };
        let (role, up) = (connection.role, connection.up);
        self.engines.connection_ended(cx.now, connection.engine, up, ending);
        self.close(cx, conn);
        self.handle_disconnect(cx, role, up, ending);
    }

    /// What the end of a connection means depends on what it was used for.
    fn handle_disconnect(&mut self, cx: &mut Context, role: Role, up: bool, ending: Ending) {
        debug!("{role:?}: connection {} ended {ending:?}", if up { "that was up" } else { "not yet up" });
        match role {
            Role::Idle | Role::Discard => {}
            Role::SetPriority(attempt) => {
                self.queries.entry(attempt).and_modify(|q| q.priority_update_pending = false);
            }
            Role::Cancel(attempt) => {
                if !up && ending == Ending::Refused && !self.is_polling(attempt) {
                    return self.end_attempt(cx, attempt, Ending::Abandoned);
                }
                let last_call_ns = self.queries.get(&attempt).map_or(0, |q| q.last_call_ns);
                if cx.now >= last_call_ns + UNPOLLED_EXPIRY_NS {
                    return self.end_attempt(cx, attempt, Ending::Abandoned);
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
                match ending {
                    Ending::Reset if !up && !may_retry => self.end_attempt(cx, attempt, Ending::Refused),
                    Ending::Reset if !up => self.post(cx, attempt, true),
                    _ if !up => self.end_attempt(cx, attempt, ending),
                    // Guards against a connection that closed as the call was written to it: it never ran.
                    _ if !query.fully_written && may_retry => self.post(cx, attempt, true),
                    _ if !query.fully_written => self.end_attempt(cx, attempt, Ending::Unsent),
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
                if !up && ending == Ending::Refused {
                    // The process is gone, and the query with it: it may have run.
                    self.end_attempt(cx, attempt, Ending::Cut);
                } else if !up && ending != Ending::Reset {
                    query.retry_at_ns = cx.now + RETRY_DELAY_NS;
                } else {
                    self.poll_again(cx, attempt);
                }
            }
        }
    }

    /// A query belongs to no connection: after a broken one it is asked for on another.
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
    fn set_connection_budget(&mut self, connection_budget: Option<(Openings, u64)>) {
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
            ask: new.ask,
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
            self.abort(cx, attempt, Ending::Withdrawn);
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
            // Guards against bytes that nobody asked for: they would stand before the next call's answer.
            return self.close(cx, conn);
        }
        while let Some(role) = self.connections.get(&conn).map(|c| c.role) {
            match parse_response(cx.net.input(conn)) {
                Ok(None) => break,
                Ok(Some((head, body_start, body_end))) => {
                    let (body, trailing) =
                        (&cx.net.input(conn)[body_start..body_end], &cx.net.input(conn)[body_end..]);
                    // Guards against a length told too short: what is behind a whole answer may be the rest of
                    // it, unless it starts like an answer of its own.
                    if !trailing.is_empty() && !trailing.starts_with(b"HTTP/1.1 ") && !body.is_empty() {
                        return self.invalid_response(cx, Some(conn), role, "bytes behind an answer");
                    }
                    let (body, is_last) = (body.to_vec(), head.connection_close || !trailing.is_empty());
                    cx.net.consume(conn, body_end);
                    if is_last {
                        // Guards against bytes behind an answer that are read as the next one's: it has no next.
                        self.close(cx, conn);
                        return self.handle_response(cx, None, role, head, body);
                    }
                    self.handle_response(cx, Some(conn), role, head, body);
                }
                Err(reason) => return self.invalid_response(cx, Some(conn), role, &reason),
            }
        }
        if let Some(ending) = readiness.ended {
            self.connection_lost(cx, conn, ending);
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
                    late.push((*conn, Ending::Unreachable))
                }
                _ if connection.up && age > RESPONSE_TIMEOUT_NS => late.push((*conn, Ending::Cut)),
                _ => {}
            }
        }
        stale.sort_unstable();
        late.sort_unstable();
        stale.into_iter().for_each(|conn| self.close(cx, conn));
        for (conn, ending) in late {
            if let Some(Connection { role: Role::Post(attempt), up: true, .. }) = self.connections.get(&conn)
            {
                self.queries.entry(*attempt).and_modify(|q| q.post_timed_out = q.fully_written);
            }
            self.connection_lost(cx, conn, ending);
        }
        // Guards against a repeat that goes out, as its connection comes up late, when engines would run it again.
        let now = cx.now;
        self.abort_unsent(cx, |_, query| query.begin_by_ns.is_some_and(|by| now > by));
        // Guards against waiting for a query on an engine that is cut off: since it could last have been asked it
        // has ended the query by itself, if it ever took it up.
        let is_expired = |q: &Query| {
            q.fully_written && q.cancellation.is_none() && cx.now > q.last_call_ns + UNPOLLED_EXPIRY_NS
        };
        let expired: Vec<Attempt> =
            self.queries.iter().filter(|(_, q)| is_expired(q)).map(|(attempt, _)| *attempt).collect();
        expired.into_iter().for_each(|attempt| self.end_attempt(cx, attempt, Ending::Cut));
        let due: Vec<(Attempt, bool)> = self
            .queries
            .iter()
            .filter_map(|(attempt, query)| match &query.cancellation {
                None => (query.conn.is_none() && cx.now >= query.retry_at_ns).then_some((*attempt, false)),
                // Guards against a second copy: a call that was written to a machine that stands still for a while has
                // not come, whatever the socket took. Only its answer, or time, says that the query is over.
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
                    self.end_attempt(cx, attempt, Ending::Abandoned)
                }
                true => self.send_cancel(cx, attempt),
            }
        }
    }
}
