//! Connections to engines, and the pools of idle ones.

use std::hash::{DefaultHasher, Hasher};
use std::net::SocketAddr;

use marljunction_control::interface::EngineId;
use marljunction_core::end_reason::EndReason;
use marljunction_core::Attempt;

use super::{HttpBackend, MAX_REUSE_IDLE_NS};
use crate::{connect, Context};

/// Most idle connections per engine.
const MAX_IDLE_CONNECTIONS: usize = 12;
/// Shortest idle time before a connection is reused: surplus bytes behind the last response must
/// arrive first, or they would be read as part of the next one.
const MIN_REUSE_IDLE_NS: u64 = 15_000_000;
/// Time for which engines hold a poll open without news, less what the network may take from it. An
/// equal answer that comes sooner may be a second copy of the one before.
const MIN_EQUAL_ANSWER_NS: u64 = 200_000_000;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
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

/// A connection to an engine.
pub(super) struct Connection {
    pub(super) engine: EngineId,
    /// Remote address; the engine may have moved since.
    pub(super) address: SocketAddr,
    pub(super) role: Role,
    pub(super) up: bool,
    /// When its current call was sent or its last response arrived.
    pub(super) since_ns: u64,
    /// Hash of the last response 202 to the current query.
    pub(super) last_running: Option<u64>,
    /// A response may have been a second copy, so that a call may still be unanswered.
    pub(super) may_owe_response: bool,
}

impl Connection {
    /// Records a response that says that a query is running.
    pub(super) fn record_running(&mut self, now: u64, response: &[u8]) {
        let is_early = now < self.since_ns.saturating_add(MIN_EQUAL_ANSWER_NS);
        let mut hasher = DefaultHasher::new();
        hasher.write(response);
        let hash = Some(hasher.finish());
        self.may_owe_response |= is_early && self.last_running == hash;
        self.last_running = hash;
    }
}

impl HttpBackend {
    /// Takes the most recently used idle connection to an engine that can be reused.
    pub(super) fn take_idle(&mut self, now: u64, engine: EngineId) -> Option<u64> {
        let age = |conn: &u64| self.connections.get(conn).map(|c| now.saturating_sub(c.since_ns));
        let fit =
            |conn: &u64| age(conn).is_some_and(|age| (MIN_REUSE_IDLE_NS..=MAX_REUSE_IDLE_NS).contains(&age));
        let pool = &mut self.engines.get(engine)?.pool;
        pool.iter().rposition(fit).map(|index| pool.remove(index))
    }

    /// The address that the query of an attempt was sent to.
    pub(super) fn query_address(&self, attempt: Attempt) -> Option<SocketAddr> {
        self.queries.get(&attempt)?.sent_to.map(|(address, _)| address)
    }

    /// Whether a response on this connection comes from the process that read the query's POST.
    pub(super) fn is_from_query_process(&self, conn: u64, role: Role) -> bool {
        let (Role::Post(attempt) | Role::Poll(attempt)) = role else { return false };
        self.queries.get(&attempt).and_then(|query| query.sent_to).is_some_and(|(_, post)| post == conn)
    }

    /// Returns a connection for one call: an idle one unless `new_connection` is set, else a new
    /// one. Calls for a query that was sent go to the address that it was sent to.
    pub(super) fn acquire(
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
            last_running: None,
            may_owe_response: false,
        };
        self.connections.insert(conn, connection);
        Ok(conn)
    }

    /// Returns a connection to the pool, unless an answer to an earlier call may still come on it.
    pub(super) fn release(&mut self, cx: &mut Context, conn: Option<u64>) {
        let Some((conn, connection)) = conn.and_then(|c| Some((c, self.connections.get_mut(&c)?))) else {
            return;
        };
        (connection.role, connection.since_ns) = (Role::Idle, cx.now);
        connection.last_running = None;
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

    pub(super) fn close(&mut self, cx: &mut Context, conn: u64) {
        if let Some(connection) = self.connections.remove(&conn) {
            if let Some(record) = self.engines.get(connection.engine) {
                record.pool.retain(|c| *c != conn);
            }
        }
        cx.net.close(conn);
    }

    /// Gives up a connection's call. One that was not sent must not be: the next attempt of the
    /// request has the same id, and may be at the same address.
    pub(super) fn discard(&mut self, cx: &mut Context, conn: u64) {
        let Some(connection) = self.connections.get_mut(&conn).filter(|c| c.role != Role::Idle) else {
            return;
        };
        connection.role = Role::Discard;
        if cx.net.has_unstarted_output(conn) {
            self.close(cx, conn);
        }
    }
}
