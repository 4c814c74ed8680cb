//! Accepts connections, within the bounds on descriptors.
//!
//! Invariants: one iteration accepts a bounded number, so that those who are connected have their turn; where no descriptor is to
//! be had, an idle client makes room, or all wait in the listener's queue.

use std::io::ErrorKind;
use std::net::IpAddr;

use log::warn;
use marljunction_core::end_reason::EndReason;
use marljunction_net::Owner;

use super::Daemon;

/// Wait after which a listener is tried again when no descriptor was to be had (ns).
const ACCEPT_RETRY_DELAY_NS: u64 = 20_000_000;
/// The machine's codes for no descriptor to be had, of all processes and of this one (`ENFILE`, `EMFILE`).
const NO_DESCRIPTOR_CODES: [i32; 2] = [23, 24];
/// Connections that a listener accepts in one iteration (count): hundreds may come at once, and others wait meanwhile.
const MAX_ACCEPTS: usize = 64;

/// What one attempt to accept came to.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AcceptOutcome {
    /// There may be more.
    Continue,
    /// Nothing waits any more.
    QueueEmpty,
    /// No descriptor is to be had: it is tried again later.
    RetryLater,
}

impl Daemon {
    /// Accepts clients of both protocols.
    pub(super) fn accept_clients(&mut self, now: u64) {
        self.listeners.retry_ns = None;
        for owner in [Owner::Msgpack, Owner::Postgres] {
            if self.accept_clients_of(now, owner) == AcceptOutcome::RetryLater {
                return;
            }
        }
    }

    /// Accepts connections to the admin API: at once, however busy the router is, within the API's own bound.
    pub(super) fn accept_admin(&mut self, now: u64) {
        for _ in 0..MAX_ACCEPTS {
            if self.accept_one_admin(now) != AcceptOutcome::Continue {
                return;
            }
        }
        // No further event tells of those who still wait.
        self.listeners.retry_ns = Some(now);
    }

    /// Tries the listeners again where that is due.
    pub(super) fn retry_accept(&mut self, now: u64) {
        if self.listeners.retry_ns.is_some_and(|at| now >= at) {
            self.accept_clients(now);
            self.accept_admin(now);
        }
    }

    fn accept_clients_of(&mut self, now: u64, owner: Owner) -> AcceptOutcome {
        // Guards against hundreds that connect at once: who is connected already has its turn first.
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
        let full = self.net.clients() >= self.listeners.max_clients && !self.net.drop_leaver();
        // Guards against running out of descriptors: who has nothing open makes room, else all wait.
        let evicted = if full { self.idle_client(now) } else { None };
        if full && evicted.is_none() {
            self.listeners.retry_ns = Some(now + ACCEPT_RETRY_DELAY_NS);
            return AcceptOutcome::RetryLater;
        }
        let Some(listener) = self.client_listener(owner) else { return AcceptOutcome::QueueEmpty };
        match listener.accept() {
            Ok((stream, from)) => {
                if let Ok(conn) = self.net.adopt(stream, owner) {
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
                match self.net.adopt(stream, Owner::Operator) {
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
        // Only now: guards against closing one whenever nobody else comes.
        if let Some(idle) = evicted {
            self.close_idle(idle);
        }
        match (owner, &mut self.fronts.postgres) {
            (Owner::Postgres, Some(front)) => front.accept(now, conn, peer),
            _ => self.fronts.msgpack.accept(now, conn, peer),
        }
        // What it has sent counts in this iteration: guards against a cancel that is heard only after what it ends has gone out.
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

    /// A connection could not be accepted: whether it can be tried again at once, as a client made room for it. Guards against
    /// spinning on a listener that has no descriptor to give, and against those who wait in its queue behind clients with nothing
    /// open, where the machine gives fewer descriptors than the configuration says.
    fn recover_from_accept_error(&mut self, now: u64, error: &std::io::Error) -> bool {
        warn!("accept: {error}");
        self.router.counters.short_of_descriptors += 1;
        let short = error.raw_os_error().is_some_and(|code| NO_DESCRIPTOR_CODES.contains(&code));
        let idle = if short { self.idle_client(now) } else { None };
        match idle {
            Some(idle) => self.close_idle(idle),
            None => self.listeners.retry_ns = Some(now + ACCEPT_RETRY_DELAY_NS),
        }
        idle.is_some()
    }

    /// The client that makes room for another, looked at once more. Guards against one that does so with its request unread.
    fn idle_client(&mut self, now: u64) -> Option<u64> {
        loop {
            let idle = self.fronts.msgpack.idle(now, &self.net)?;
            self.connection_ready(now, idle);
            if self.fronts.msgpack.idle(now, &self.net) == Some(idle) {
                return Some(idle);
            }
        }
    }

    fn close_idle(&mut self, conn: u64) {
        self.fronts.msgpack.close(&mut self.net, &mut self.router, conn, EndReason::Idle);
    }
}
