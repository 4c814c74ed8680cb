//! How fast new connections for new work are opened to one engine, so that all routers together keep to what it bears.

use crate::pace::PacingParams;
use crate::pacer::{Failure, Pacer};

/// Connections that one router may open at once after a rest, at most (count): what it opens in so much of its rate.
const BURST_S: f64 = 1.0;

/// What all routers together may open to one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionBudget {
    /// Connections a second.
    pub per_s: f64,
    /// Routers that share them.
    pub caller_count: u32,
    /// How one that refuses connections is tried again.
    pub pace: PacingParams,
}

impl ConnectionBudget {
    /// This router's part (connections a second).
    fn share(&self) -> f64 {
        self.per_s / f64::from(self.caller_count.max(1))
    }

    /// Connections that this router may open at once after a rest (count): at least one, or it could open none.
    fn burst(&self) -> f64 {
        (self.share() * BURST_S).max(1.0)
    }

    /// The most connections that all routers together open to one engine within `span_ns` (count).
    pub fn max_connections(&self, span_ns: u64) -> f64 {
        f64::from(self.caller_count.max(1)) * self.burst() + self.per_s * span_ns as f64 / 1e9
    }
}

/// The pace of one router's connections to one engine.
#[derive(Clone, Debug)]
pub struct ConnectionPacer {
    budget: ConnectionBudget,
    tokens: f64,
    refilled_ns: u64,
    /// It refuses connections: one at a time tries it, ever more rarely.
    failing: bool,
    pacer: Pacer,
}

impl ConnectionPacer {
    /// A rested one.
    pub fn new(budget: ConnectionBudget, seed: u64, now: u64) -> ConnectionPacer {
        let pacer = Pacer::new(PacingParams { spread_ns: 0, ..budget.pace }, seed, now);
        ConnectionPacer { budget, tokens: budget.burst(), refilled_ns: now, failing: false, pacer }
    }

    /// Takes the leave to open one connection, where there is one.
    pub fn try_acquire(&mut self, now: u64) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_ns) as f64 / 1e9;
        self.tokens = (self.tokens + elapsed_s * self.budget.share()).min(self.budget.burst());
        self.refilled_ns = self.refilled_ns.max(now);
        let may_open = self.tokens >= 1.0 && (!self.failing || self.pacer.call(now));
        self.tokens -= if may_open { 1.0 } else { 0.0 };
        may_open
    }

    /// A connection came up.
    pub fn record_success(&mut self) {
        self.failing = false;
    }

    /// A connection was refused, or did not come up.
    pub fn record_failure(&mut self, now: u64) {
        if !self.failing {
            self.pacer.restart(now);
        }
        self.failing = true;
        self.pacer.failed(now, Failure::Unavailable);
    }
}
