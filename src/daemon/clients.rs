//! Accepts connections within the limit on file descriptors.
//!
//! Invariants: each iteration accepts a bounded number of connections, so that open connections are
//! served in between; without a free descriptor an idle client is closed, or new connections wait
//! in the listener's backlog.

use std::io::ErrorKind;
use std::net::IpAddr;

use log::warn;
use marljunction_core::end_reason::EndReason;
use marljunction_net::Owner;

use super::Daemon;

/// Delay before accepting again after running out of file descriptors.
const ACCEPT_RETRY_DELAY_NS: u64 = 20_000_000;
/// System and process limit of file descriptors reached (`ENFILE`, `EMFILE`).
const NO_DESCRIPTOR_CODES: [i32; 2] = [23, 24];
/// Connections that a listener accepts in one iteration.
const MAX_ACCEPTS: usize = 64;

/// Result of accepting on a listener.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AcceptOutcome {
    /// More connections may be waiting.
    Continue,
    /// The backlog is empty.
    QueueEmpty,
    /// No file descriptor is available; to be retried later.
    RetryLater,
}

impl Daemon {
    /// Accepts clients on both protocols' listeners.
    pub(super) fn accept_clients(&mut self, now: u64) {
        self.listeners.retry_ns = None;
        for owner in [Owner::Msgpack, Owner::Postgres] {
            if self.accept_clients_of(now, owner) == AcceptOutcome::RetryLater {
                return;
            }
        }
    }

    /// Accepts connections to the admin API, which has its own connection limit.
    pub(super) fn accept_admin(&mut self, now: u64) {
        for _ in 0..MAX_ACCEPTS {
            if self.accept_one_admin(now) != AcceptOutcome::Continue {
                return;
            }
        }
        // The poll raises no further event for connections that still wait.
        self.listeners.retry_ns = Some(now);
    }

    /// Accepts again if a retry is due.
    pub(super) fn retry_accept(&mut self, now: u64) {
        if self.listeners.retry_ns.is_some_and(|at| now >= at) {
            self.accept_clients(now);
            self.accept_admin(now);
        }
    }

    fn accept_clients_of(&mut self, now: u64, owner: Owner) -> AcceptOutcome {
        // Guards against a burst of new connections that starves open ones.
        for _ in 0..MAX_ACCEPTS {
            let accepted = self.accept_one_client(now, owner);
            if accepted != AcceptOutcome::Continue {
                return accepted;
            }
        }
        self.listeners.retry_ns = Some(now);
        AcceptOutcome::Continue
    }

    fn accept_one_client(&mut self, now: u64, owner: Owner) -> AcceptOutcome {
        if self.client_listener(owner).is_none() {
            return AcceptOutcome::QueueEmpty;
        }
        let full = self.net.clients() >= self.listeners.max_clients && !self.net.close_oldest_lingering();
        // Without a free descriptor, an idle client is closed for the new one, or the new one
        // waits.
        let evicted = if full { self.idle_client(now) } else { None };
        if full && evicted.is_none() {
            self.listeners.retry_ns = Some(now + ACCEPT_RETRY_DELAY_NS);
            return AcceptOutcome::RetryLater;
        }
        let Some(listener) = self.client_listener(owner) else { return AcceptOutcome::QueueEmpty };
        match listener.accept() {
            Ok((stream, from)) => {
                if let Ok(conn) = self.net.add_accepted(stream, owner) {
                    self.register_client(now, owner, (conn, from.ip()), evicted);
                }
                AcceptOutcome::Continue
            }
            Err(error) => self.accept_failed(now, &error),
        }
    }

    fn accept_one_admin(&mut self, now: u64) -> AcceptOutcome {
        let Some(listener) = &self.listeners.admin else { return AcceptOutcome::QueueEmpty };
        match listener.accept() {
            Ok((stream, _)) => {
                match self.net.add_accepted(stream, Owner::Admin) {
                    Ok(conn) => self.admin.server.accept(now, &mut self.net, conn),
                    Err(_) => self.router.counters.short_of_descriptors += 1,
                }
                AcceptOutcome::Continue
            }
            Err(error) => self.accept_failed(now, &error),
        }
    }

    fn client_listener(&self, owner: Owner) -> Option<&mio::net::TcpListener> {
        match owner {
            Owner::Msgpack => self.listeners.msgpack.as_ref(),
            Owner::Postgres => self.listeners.postgres.as_ref(),
            _ => None,
        }
    }

    fn register_client(&mut self, now: u64, owner: Owner, (conn, peer): (u64, IpAddr), evicted: Option<u64>) {
        self.router.counters.accepted += 1;
        // Only once a new client is accepted: guards against closing idle clients without need.
        if let Some(eviction_candidate) = evicted {
            self.close_idle(eviction_candidate);
        }
        match (owner, &mut self.fronts.postgres) {
            (Owner::Postgres, Some(front)) => front.accept(now, conn, peer),
            _ => self.fronts.msgpack.accept(now, conn, peer),
        }
        // Guards against a cancel request that is read only after its statement has been sent.
        self.connection_ready(now, conn);
    }

    fn accept_failed(&mut self, now: u64, error: &std::io::Error) -> AcceptOutcome {
        match error.kind() {
            ErrorKind::WouldBlock => AcceptOutcome::QueueEmpty,
            ErrorKind::Interrupted | ErrorKind::ConnectionAborted => AcceptOutcome::Continue,
            _ if self.recover_from_accept_error(now, error) => AcceptOutcome::Continue,
            _ => AcceptOutcome::RetryLater,
        }
    }

    /// Handles a failed accept: closes an idle client if descriptors ran out, else schedules a
    /// retry. Returns whether accepting can be retried immediately.
    fn recover_from_accept_error(&mut self, now: u64, error: &std::io::Error) -> bool {
        warn!("could not accept a connection: {error}");
        self.router.counters.short_of_descriptors += 1;
        let short = error.raw_os_error().is_some_and(|code| NO_DESCRIPTOR_CODES.contains(&code));
        let eviction_candidate = if short { self.idle_client(now) } else { None };
        match eviction_candidate {
            Some(eviction_candidate) => self.close_idle(eviction_candidate),
            None => self.listeners.retry_ns = Some(now + ACCEPT_RETRY_DELAY_NS),
        }
        eviction_candidate.is_some()
    }

    /// Returns an idle client that can be closed. Reads from it first: guards against closing a
    /// client whose request is still unread.
    fn idle_client(&mut self, now: u64) -> Option<u64> {
        loop {
            let eviction_candidate = self.fronts.msgpack.eviction_candidate(now, &self.net)?;
            self.connection_ready(now, eviction_candidate);
            if self.fronts.msgpack.eviction_candidate(now, &self.net) == Some(eviction_candidate) {
                return Some(eviction_candidate);
            }
        }
    }

    fn close_idle(&mut self, conn: u64) {
        self.fronts.msgpack.close(&mut self.net, &mut self.router, conn, EndReason::Idle);
    }
}
