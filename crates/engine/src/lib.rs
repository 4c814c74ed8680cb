//! Backends that send attempts to engines and report their progress and outcome to the core.

#![forbid(unsafe_code)]

pub mod http;
pub mod postgres;

use std::net::SocketAddr;
use std::rc::Rc;

use marljunction_control::interface::EngineId;
use marljunction_core::end_reason::EndReason;
use marljunction_core::{Attempt, ClientRequest, Router};
use marljunction_discovery::Change;
use marljunction_net::{Net, Owner};
use marljunction_pacing::connection_budget::{ConnectionBudget, ConnectionPacer};

/// An attempt for a backend to start.
pub struct NewAttempt {
    /// Identifies the attempt.
    pub attempt: Attempt,
    /// Target engine.
    pub engine: EngineId,
    /// Time that the router waits for the result.
    pub timeout_ns: u64,
    /// Priority sent to the engine.
    pub priority: u8,
    /// The request whose statement is sent.
    pub client_request: Rc<ClientRequest>,
    /// Name of the request's class.
    pub class: String,
    /// The query must not run more than once.
    pub at_most_once: bool,
    /// Time after which sending must not begin; no limit if absent.
    pub begin_by_ns: Option<u64>,
}

/// What each call to a backend gets access to.
pub struct Context<'a> {
    /// Current time in nanoseconds.
    pub now: u64,
    /// All connections of the router.
    pub net: &'a mut Net,
    /// The core, to which progress and outcomes are reported.
    pub router: &'a mut Router,
}

/// Client of a protocol that engines speak.
///
/// Reports exactly one outcome to the core for each attempt started.
pub trait Backend {
    /// Replaces the budget for connections opened for new queries, and the seed of its random
    /// delays.
    fn set_connection_budget(&mut self, connection_budget: Option<(ConnectionBudget, u64)>);
    /// Applies a change of the engine list. Attempts for engines that no longer accept new queries
    /// end as unsent if none of their bytes were sent.
    fn apply_change(&mut self, cx: &mut Context, change: &Change);
    /// Starts an attempt.
    fn start(&mut self, cx: &mut Context, new: NewAttempt);
    /// Cancels an attempt. Its outcome is reported once the engine confirms the cancellation, or
    /// can no longer be running the query.
    fn cancel(&mut self, cx: &mut Context, attempt: Attempt);
    /// Cancels an attempt whose query is not fully written yet, and reports its outcome. Has no
    /// effect on other attempts.
    fn cancel_if_unsent(&mut self, cx: &mut Context, attempt: Attempt);
    /// Records which queries are fully written after data was flushed to a connection of this
    /// backend.
    fn flushed(&mut self, cx: &mut Context, conn: u64);
    /// Changes the priority of an attempt.
    fn set_priority(&mut self, cx: &mut Context, attempt: Attempt, priority: u8);
    /// Handles readiness of a connection of this backend.
    fn ready(&mut self, cx: &mut Context, conn: u64);
    /// Handles timeouts and retries that are due.
    fn tick(&mut self, cx: &mut Context);
}

/// Known engines, each with a connection pool of the backend's type `T`.
pub struct EngineTable<T> {
    engines: std::collections::BTreeMap<EngineId, EngineRecord<T>>,
    /// Connections that all routers together may open to one engine, and the seed of this router's
    /// retry delays; unlimited if absent.
    connection_budget: Option<(ConnectionBudget, u64)>,
}

/// A known engine and the backend's state for it.
pub struct EngineRecord<T> {
    /// Address that the engine listens on.
    pub address: SocketAddr,
    /// The current engine list contains the engine.
    pub is_listed: bool,
    /// The engine accepts new queries.
    pub accepts_work: bool,
    /// Idle connections to the engine.
    pub pool: T,
    /// Paces connections for new queries; created with the first one.
    pacer: Option<Box<ConnectionPacer>>,
}

impl<T: Default> Default for EngineTable<T> {
    fn default() -> Self {
        EngineTable { engines: Default::default(), connection_budget: None }
    }
}

impl<T: Default> EngineTable<T> {
    /// Applies a change of the engine list. Engines that are not listed stay while `busy` returns
    /// true.
    pub fn apply_change(&mut self, change: &Change, busy: impl Fn(EngineId) -> bool) {
        use marljunction_control::interface::{EngineState, MembershipKind};
        if change.kind != MembershipKind::Delta {
            self.engines
                .values_mut()
                .for_each(|record| (record.is_listed, record.accepts_work) = (false, false));
        }
        for target in &change.targets {
            let is_listed = target.entry.state != EngineState::Gone;
            let accepts_work = target.entry.state == EngineState::Ready;
            let new = || EngineRecord {
                address: target.address,
                is_listed,
                accepts_work,
                pool: T::default(),
                pacer: None,
            };
            let record = self.engines.entry(target.entry.engine).or_insert_with(new);
            if record.address != target.address {
                // The old address may belong to another engine by now.
                record.pool = T::default();
                record.pacer = None;
            }
            (record.address, record.is_listed, record.accepts_work) =
                (target.address, is_listed, accepts_work);
        }
        // Unlisted engines would otherwise accumulate.
        self.engines.retain(|id, record| record.is_listed || busy(*id));
    }

    /// Replaces the connection budget and resets the pacers, unless the budget is unchanged.
    pub fn set_connection_budget(&mut self, connection_budget: Option<(ConnectionBudget, u64)>) {
        // A reload without a change must not reset the pacers, which would allow a burst.
        if connection_budget.map(|(budget, _)| budget) == self.connection_budget.map(|(budget, _)| budget) {
            return;
        }
        self.connection_budget = connection_budget;
        self.engines.values_mut().for_each(|record| record.pacer = None);
    }

    /// Opens a connection for a new query, within the connection budget. Calls for a query that was
    /// sent use [`connect`] and are never delayed.
    ///
    /// # Errors
    /// [`EndReason::Paced`] if the budget is used up; [`EndReason::NoDescriptor`] if the engine is
    /// unknown; else as for [`connect`].
    pub fn connect_paced(&mut self, cx: &mut Context, engine: EngineId) -> Result<u64, EndReason> {
        if let Some((connection_budget, seed)) = self.connection_budget {
            let record = self.engines.get_mut(&engine).ok_or(EndReason::NoDescriptor)?;
            let new = || Box::new(ConnectionPacer::new(connection_budget, seed ^ engine.0, cx.now));
            if !record.pacer.get_or_insert_with(new).try_acquire(cx.now) {
                return Err(EndReason::Paced);
            }
        }
        let address = self.get(engine).ok_or(EndReason::NoDescriptor)?.address;
        let connected = connect(cx, address);
        connected.inspect_err(|end_reason| self.connection_ended(cx.now, engine, false, *end_reason))
    }

    /// Records that a connection to an engine was established.
    pub fn connected(&mut self, engine: EngineId) {
        self.engines
            .get_mut(&engine)
            .and_then(|record| record.pacer.as_mut())
            .into_iter()
            .for_each(|pacer| pacer.record_success());
    }

    /// Records that a connection ended. It counts against the engine if it was refused or never
    /// established.
    pub fn connection_ended(&mut self, now: u64, engine: EngineId, up: bool, end_reason: EndReason) {
        if up || !matches!(end_reason, EndReason::Refused | EndReason::Unreachable) {
            return;
        }
        let pacer = self.engines.get_mut(&engine).and_then(|record| record.pacer.as_mut());
        pacer.into_iter().for_each(|pacer| pacer.record_failure(now));
    }

    /// Whether an engine accepts new queries.
    pub fn accepts_work(&self, engine: EngineId) -> bool {
        self.engines.get(&engine).is_some_and(|record| record.accepts_work)
    }

    /// Returns an engine that is listed at this address. Connections to a former address must not
    /// be reused, since it may belong to another engine by now.
    pub fn get_listed_at(&mut self, engine: EngineId, address: SocketAddr) -> Option<&mut EngineRecord<T>> {
        self.get(engine).filter(|record| record.is_listed && record.address == address)
    }

    /// Returns a known engine.
    pub fn get(&mut self, engine: EngineId) -> Option<&mut EngineRecord<T>> {
        self.engines.get_mut(&engine)
    }
}

/// Opens a connection to an address of an engine. Calls for a query that was sent go where it was
/// sent: its engine may be listed elsewhere by now, and the process there does not know the query.
///
/// # Errors
/// [`EndReason::NoDescriptor`] if no file descriptor is available, or why the connection failed at
/// once.
pub fn connect(cx: &mut Context, address: SocketAddr) -> Result<u64, EndReason> {
    let conn = cx.net.connect(address, Owner::Engine).inspect_err(|e| {
        cx.router.counters.short_of_descriptors += u64::from(*e == EndReason::NoDescriptor);
    })?;
    cx.router.counters.opened += 1;
    Ok(conn)
}
