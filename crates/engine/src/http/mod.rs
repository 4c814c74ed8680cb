//! Backend for engines that speak HTTP/1.1.
//!
//! A connection carries one call at a time. A query is not bound to a connection: a POST starts it,
//! GETs poll its status and fetch its result pages, a DELETE cancels it.

mod calls;
mod connections;
mod disconnects;
mod query;
mod responses;

use std::collections::{BTreeMap, HashMap};

use super::{Backend, Context, EngineTable, NewAttempt};
use marljunction_core::end_reason::EndReason;
use marljunction_core::{Attempt, Rows};
use marljunction_discovery::Change;
use marljunction_http1::head::parse_response;
use marljunction_pacing::connection_budget::ConnectionBudget;

use connections::{Connection, Role};
use query::{is_unsent, Cancellation, Query};

/// Longest idle time after which a connection is reused: a peer that has failed silently sends no
/// reset.
const MAX_REUSE_IDLE_NS: u64 = 2_000_000_000;
/// Longest wait for a complete response; engines respond within 250 ms.
const RESPONSE_TIMEOUT_NS: u64 = 500_000_000;
/// Delay before a query is polled again if no connection could be established.
const RETRY_DELAY_NS: u64 = 200_000_000;
/// Time since the last call after which an unpolled query has ended. Engines end a query that is
/// not polled for 2 s; a poll that the engine holds open for up to 250 ms counts until it returns,
/// and the socket delays add up to 100 ms.
const UNPOLLED_EXPIRY_NS: u64 = 2_350_000_000;

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
