//! The way to the engines: attempts go out, their news and endings come back.

#![forbid(unsafe_code)]

pub mod http;
pub mod postgres;

use std::net::SocketAddr;
use std::rc::Rc;

use marljunction_control::interface::EngineId;
use marljunction_core::ending::Ending;
use marljunction_core::{Ask, Attempt, Router};
use marljunction_discovery::Change;
use marljunction_net::{Net, Owner};
use marljunction_pacing::opening::{Opening, Openings};

/// An attempt to be started.
pub struct NewAttempt {
    /// The attempt.
    pub attempt: Attempt,
    /// Where to.
    pub engine: EngineId,
    /// How long the router will wait for it.
    pub timeout_ns: u64,
    /// Its priority.
    pub priority: u8,
    /// What to send.
    pub ask: Rc<Ask>,
    /// Name of its class.
    pub class: String,
    /// It must never run twice.
    pub at_most_once: bool,
    /// It must not begin to go out later (ns); none for any time.
    pub begin_by_ns: Option<u64>,
}

/// What a backend works with while it is called.
pub struct Context<'a> {
    /// The time.
    pub now: u64,
    /// The sockets.
    pub net: &'a mut Net,
    /// The core, which takes notes and endings.
    pub router: &'a mut Router,
}

/// A protocol that engines speak. Every attempt started gets exactly one ending reported to the core.
pub trait Backend {
    /// Opens connections for new work at this pace from here on, drawn by this seed.
    fn set_connection_budget(&mut self, connection_budget: Option<(Openings, u64)>);
    /// Takes news of the engines. What has not begun to go out to one that takes no new work any more never does.
    fn apply_change(&mut self, cx: &mut Context, change: &Change);
    /// Sends an attempt.
    fn start(&mut self, cx: &mut Context, new: NewAttempt);
    /// Gives an attempt up. Its ending is reported once the engine has been told.
    fn cancel(&mut self, cx: &mut Context, attempt: Attempt);
    /// Takes an attempt back where its call was not wholly written yet, and reports its ending; else does nothing.
    fn cancel_if_unsent(&mut self, cx: &mut Context, attempt: Attempt);
    /// Takes note of what was written to a connection of this backend at the end of a round.
    fn flushed(&mut self, cx: &mut Context, conn: u64);
    /// Changes an attempt's priority.
    fn set_priority(&mut self, cx: &mut Context, attempt: Attempt, priority: u8);
    /// Takes what has happened on a connection of this backend.
    fn ready(&mut self, cx: &mut Context, conn: u64);
    /// Looks after what is due.
    fn tick(&mut self, cx: &mut Context);
}

/// The engines that are known, with something of the backend's own for each.
pub struct EngineTable<T> {
    engines: std::collections::BTreeMap<EngineId, EngineRecord<T>>,
    /// What all routers together may open to one engine, and the seed of this router's draws; none for any number.
    connection_budget: Option<(Openings, u64)>,
}

/// A known engine.
pub struct EngineRecord<T> {
    /// Where it listens.
    pub address: SocketAddr,
    /// The list names it.
    pub is_listed: bool,
    /// It takes new work.
    pub accepts_work: bool,
    /// What the backend keeps for it.
    pub pool: T,
    /// How fast connections for new work are opened to it; none for any pace.
    pacer: Option<Box<Opening>>,
}

impl<T: Default> Default for EngineTable<T> {
    fn default() -> Self {
        EngineTable { engines: Default::default(), connection_budget: None }
    }
}

impl<T: Default> EngineTable<T> {
    /// Takes news of the engines; `busy` says which are still needed though no list names them.
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
                // Guards against a call that goes to whoever has the engine's old address now.
                record.pool = T::default();
                record.pacer = None;
            }
            (record.address, record.is_listed, record.accepts_work) =
                (target.address, is_listed, accepts_work);
        }
        // Guards against a table that grows with every engine that ever was.
        self.engines.retain(|id, record| record.is_listed || busy(*id));
    }

    /// Connections for new work are opened at this pace from here on.
    pub fn set_connection_budget(&mut self, connection_budget: Option<(Openings, u64)>) {
        // Guards against a reload that changes nothing of it and would let all rest anew.
        if connection_budget.map(|(budget, _)| budget) == self.connection_budget.map(|(budget, _)| budget) {
            return;
        }
        self.connection_budget = connection_budget;
        self.engines.values_mut().for_each(|record| record.pacer = None);
    }

    /// Starts a connection for new work, where the pace allows one more. Those that ask for news of a query or give one up
    /// are never held back.
    pub fn connect_paced(&mut self, cx: &mut Context, engine: EngineId) -> Result<u64, Ending> {
        if let Some((connection_budget, seed)) = self.connection_budget {
            let record = self.engines.get_mut(&engine).ok_or(Ending::NoDescriptor)?;
            let new = || Box::new(Opening::new(connection_budget, seed ^ engine.0, cx.now));
            if !record.pacer.get_or_insert_with(new).may_open(cx.now) {
                return Err(Ending::Paced);
            }
        }
        let connected = self.connect(cx, engine);
        connected.inspect_err(|ending| self.connection_ended(cx.now, engine, false, *ending))
    }

    /// A connection to one of them came up.
    pub fn connected(&mut self, engine: EngineId) {
        self.engines
            .get_mut(&engine)
            .and_then(|record| record.pacer.as_mut())
            .into_iter()
            .for_each(|pacer| pacer.came_up());
    }

    /// A connection to one of them ended, which was up or not: refused, or never up, speaks against the engine.
    pub fn connection_ended(&mut self, now: u64, engine: EngineId, up: bool, ending: Ending) {
        if up || !matches!(ending, Ending::Refused | Ending::Unreachable) {
            return;
        }
        let pacer = self.engines.get_mut(&engine).and_then(|record| record.pacer.as_mut());
        pacer.into_iter().for_each(|pacer| pacer.refused(now));
    }

    /// Starts a connection to one of them, and counts it.
    pub fn connect(&mut self, cx: &mut Context, engine: EngineId) -> Result<u64, Ending> {
        let address = self.get(engine).ok_or(Ending::NoDescriptor)?.address;
        let conn = cx.net.connect(address, Owner::Engine).inspect_err(|e| {
            cx.router.counters.short_of_descriptors += u64::from(*e == Ending::NoDescriptor);
        })?;
        cx.router.counters.opened += 1;
        Ok(conn)
    }

    /// Whether one of them takes new work.
    pub fn accepts_work(&self, engine: EngineId) -> bool {
        self.engines.get(&engine).is_some_and(|record| record.accepts_work)
    }

    /// One of them, where a connection to `to` may be kept for its further calls. Guards against one to an address that has
    /// passed to another engine since.
    pub fn get_listed_at(&mut self, engine: EngineId, address: SocketAddr) -> Option<&mut EngineRecord<T>> {
        self.get(engine).filter(|record| record.is_listed && record.address == address)
    }

    /// One of them.
    pub fn get(&mut self, engine: EngineId) -> Option<&mut EngineRecord<T>> {
        self.engines.get_mut(&engine)
    }
}
