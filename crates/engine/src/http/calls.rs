//! Calls to engines: start, poll, priority and cancellation of a query.

use marljunction_core::end_reason::EndReason;
use marljunction_core::Attempt;

use super::connections::Role;
use super::{HttpBackend, RETRY_DELAY_NS, UNPOLLED_EXPIRY_NS};
use crate::Context;

impl HttpBackend {
    pub(super) fn send_call(
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

    pub(super) fn post(&mut self, cx: &mut Context, attempt: Attempt, new_connection: bool) {
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
    pub(super) fn record_written(&mut self, cx: &mut Context, conn: u64) {
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
    pub(super) fn poll(&mut self, cx: &mut Context, attempt: Attempt, reuse: Option<u64>) {
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

    pub(super) fn send_priority(&mut self, cx: &mut Context, attempt: Attempt) {
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

    pub(super) fn send_cancel(&mut self, cx: &mut Context, attempt: Attempt) {
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
    pub(super) fn send_cancel_on(&mut self, cx: &mut Context, attempt: Attempt, conn: u64) {
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
    pub(super) fn has_open_call(&self, attempt: Attempt) -> bool {
        let conn = self.queries.get(&attempt).and_then(|q| q.conn);
        conn.and_then(|conn| self.connections.get(&conn)).is_some_and(|c| c.up)
    }
}
