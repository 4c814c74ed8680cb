//! Limits the rate of new connections to one engine, shared by all routers: a token bucket for each
//! router, and backoff for an engine that fails.

use crate::pace::{PacingParams, MAX_BACKOFF_FLOOR_NS};
use crate::pacer::{Failure, Pacer};

/// Burst size of the token bucket, as seconds of the router's rate.
const BURST_S: f64 = 1.0;

/// Rate at which all routers together may open connections to one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionBudget {
    /// Connections per second.
    pub per_s: f64,
    /// Routers that share the rate.
    pub caller_count: u32,
    /// Backoff for an engine that refuses connections.
    pub pace: PacingParams,
}

impl ConnectionBudget {
    /// This router's share of the rate (connections per second).
    fn share(&self) -> f64 {
        self.per_s / f64::from(self.caller_count.max(1))
    }

    /// Size of this router's token bucket. At least one, or a router with a small share could never
    /// connect.
    fn burst(&self) -> f64 {
        (self.share() * BURST_S).max(1.0)
    }

    /// Most connections that all routers together open to one engine within `span_ns`.
    pub fn max_connections(&self, span_ns: u64) -> f64 {
        f64::from(self.caller_count.max(1)) * self.burst() + self.per_s * span_ns as f64 / 1e9
    }
}

/// One router's token bucket and backoff for connections to one engine.
#[derive(Clone, Debug)]
pub struct ConnectionPacer {
    budget: ConnectionBudget,
    tokens: f64,
    refilled_ns: u64,
    /// The last connection failed: connections are tried one at a time, with backoff.
    failing: bool,
    pacer: Pacer,
}

impl ConnectionPacer {
    /// Starts with a full bucket.
    pub fn new(budget: ConnectionBudget, seed: u64, now: u64) -> ConnectionPacer {
        let pace = PacingParams { spread_ns: 0, outage_retry_ns: MAX_BACKOFF_FLOOR_NS, ..budget.pace };
        let pacer = Pacer::new(pace, seed, now);
        ConnectionPacer { budget, tokens: budget.burst(), refilled_ns: now, failing: false, pacer }
    }

    /// Takes a token if one is available and no backoff is pending. Returns whether a connection
    /// may be opened.
    pub fn try_acquire(&mut self, now: u64) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_ns) as f64 / 1e9;
        self.tokens = (self.tokens + elapsed_s * self.budget.share()).min(self.budget.burst());
        self.refilled_ns = self.refilled_ns.max(now);
        let may_open = self.tokens >= 1.0 && (!self.failing || self.pacer.call(now));
        self.tokens -= if may_open { 1.0 } else { 0.0 };
        may_open
    }

    /// Records that a connection was established, which ends the backoff.
    pub fn record_success(&mut self) {
        self.failing = false;
    }

    /// Records that a connection was refused or could not be established.
    pub fn record_failure(&mut self, now: u64) {
        if !self.failing {
            self.pacer.restart(now);
        }
        self.failing = true;
        self.pacer.failed(now, Failure::Unavailable);
    }
}
