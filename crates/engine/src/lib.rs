//! The way to the engines: attempts go out, their news and endings come back.

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
use marljunction_pacing::opening::{Opening, Openings};

/// An attempt to be started.
pub struct Start {
    /// The attempt.
    pub attempt: Attempt,
    /// Where to.
    pub engine: EngineId,
    /// How long the router will wait for it.
    pub timeout_ns: u64,
    /// Its priority.
    pub priority: u8,
    /// What to send.
    pub ask: Rc<ClientRequest>,
    /// Name of its class.
    pub class: String,
    /// It must never run twice.
    pub once: bool,
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
    fn set_openings(&mut self, openings: Option<(Openings, u64)>);
    /// Takes news of the engines. What has not begun to go out to one that takes no new work any more never does.
    fn change(&mut self, cx: &mut Context, change: &Change);
    /// Sends an attempt.
    fn start(&mut self, cx: &mut Context, start: Start);
    /// Gives an attempt up. Its ending is reported once the engine has been told.
    fn give_up(&mut self, cx: &mut Context, attempt: Attempt);
    /// Takes an attempt back where its call was not wholly written yet, and reports its ending; else does nothing.
    fn withdraw(&mut self, cx: &mut Context, attempt: Attempt);
    /// Takes note of what was written to a connection of this backend at the end of a round.
    fn flushed(&mut self, cx: &mut Context, conn: u64);
    /// Changes an attempt's priority.
    fn rank(&mut self, cx: &mut Context, attempt: Attempt, priority: u8);
    /// Takes what has happened on a connection of this backend.
    fn ready(&mut self, cx: &mut Context, conn: u64);
    /// Looks after what is due.
    fn tick(&mut self, cx: &mut Context);
}

/// The engines that are known, with something of the backend's own for each.
pub struct Targets<T> {
    all: std::collections::BTreeMap<EngineId, Known<T>>,
    /// What all routers together may open to one engine, and the seed of this router's draws; none for any number.
    openings: Option<(Openings, u64)>,
}

/// A known engine.
pub struct Known<T> {
    /// Where it listens.
    pub address: SocketAddr,
    /// The list names it.
    pub listed: bool,
    /// It takes new work.
    pub serves: bool,
    /// What the backend keeps for it.
    pub own: T,
    /// How fast connections for new work are opened to it; none for any pace.
    opening: Option<Box<Opening>>,
}

impl<T: Default> Default for Targets<T> {
    fn default() -> Self {
        Targets { all: Default::default(), openings: None }
    }
}

impl<T: Default> Targets<T> {
    /// Takes news of the engines; `busy` says which are still needed though no list names them.
    pub fn change(&mut self, change: &Change, busy: impl Fn(EngineId) -> bool) {
        use marljunction_control::interface::{EngineState, MembershipKind};
        if change.kind != MembershipKind::Delta {
            self.all.values_mut().for_each(|k| (k.listed, k.serves) = (false, false));
        }
        for target in &change.targets {
            let listed = target.entry.state != EngineState::Gone;
            let serves = target.entry.state == EngineState::Ready;
            let new = || Known { address: target.address, listed, serves, own: T::default(), opening: None };
            let known = self.all.entry(target.entry.engine).or_insert_with(new);
            if known.address != target.address {
                // Guards against a call that goes to whoever has the engine's old address now.
                known.own = T::default();
                known.opening = None;
            }
            (known.address, known.listed, known.serves) = (target.address, listed, serves);
        }
        // Guards against a table that grows with every engine that ever was.
        self.all.retain(|id, known| known.listed || busy(*id));
    }

    /// Connections for new work are opened at this pace from here on.
    pub fn set_openings(&mut self, openings: Option<(Openings, u64)>) {
        // Guards against a reload that changes nothing of it and would let all rest anew.
        if openings.map(|(openings, _)| openings) == self.openings.map(|(openings, _)| openings) {
            return;
        }
        self.openings = openings;
        self.all.values_mut().for_each(|known| known.opening = None);
    }

    /// Starts a connection for new work, where the pace allows one more. Those that ask for news of a query or give one up
    /// are never held back.
    pub fn connect_for_work(&mut self, cx: &mut Context, engine: EngineId) -> Result<u64, EndReason> {
        if let Some((openings, seed)) = self.openings {
            let known = self.all.get_mut(&engine).ok_or(EndReason::NoDescriptor)?;
            let new = || Box::new(Opening::new(openings, seed ^ engine.0, cx.now));
            if !known.opening.get_or_insert_with(new).may_open(cx.now) {
                return Err(EndReason::Paced);
            }
        }
        let connected = self.connect(cx, engine);
        connected.inspect_err(|ending| self.broke(cx.now, engine, false, *ending))
    }

    /// A connection to one of them came up.
    pub fn came_up(&mut self, engine: EngineId) {
        self.all
            .get_mut(&engine)
            .and_then(|k| k.opening.as_mut())
            .into_iter()
            .for_each(|opening| opening.came_up());
    }

    /// A connection to one of them ended, which was up or not: refused, or never up, speaks against the engine.
    pub fn broke(&mut self, now: u64, engine: EngineId, up: bool, ending: EndReason) {
        if up || !matches!(ending, EndReason::Refused | EndReason::Unreachable) {
            return;
        }
        let opening = self.all.get_mut(&engine).and_then(|k| k.opening.as_mut());
        opening.into_iter().for_each(|opening| opening.refused(now));
    }

    /// Starts a connection to one of them, and counts it.
    pub fn connect(&mut self, cx: &mut Context, engine: EngineId) -> Result<u64, EndReason> {
        let to = self.get(engine).ok_or(EndReason::NoDescriptor)?.address;
        let conn = cx.net.connect(to, Owner::Engine).inspect_err(|e| {
            cx.router.counters.short_of_descriptors += u64::from(*e == EndReason::NoDescriptor);
        })?;
        cx.router.counters.opened += 1;
        Ok(conn)
    }

    /// Whether one of them takes new work.
    pub fn serves(&self, engine: EngineId) -> bool {
        self.all.get(&engine).is_some_and(|k| k.serves)
    }

    /// One of them, where a connection to `to` may be kept for its further calls. Guards against one to an address that has
    /// passed to another engine since.
    pub fn keeps(&mut self, engine: EngineId, to: SocketAddr) -> Option<&mut Known<T>> {
        self.get(engine).filter(|k| k.listed && k.address == to)
    }

    /// One of them.
    pub fn get(&mut self, engine: EngineId) -> Option<&mut Known<T>> {
        self.all.get_mut(&engine)
    }
}
