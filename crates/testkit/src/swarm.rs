//! Simulated clients of one service in stepped time, without sockets. Used to test pacing over
//! many seeds.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use marljunction_pacing::{Failure, Pacer};

/// Policy by which a client paces its calls.
pub trait PacingPolicy {
    /// Time of the next call; `None` while a call is pending or its stream is open.
    fn due_ns(&self) -> Option<u64>;
    /// Makes the call that is due. Returns whether a call is allowed now.
    fn call(&mut self, now: u64) -> bool;
    /// The service accepted the call.
    fn accepted(&mut self, now: u64);
    /// The call failed.
    fn failed(&mut self, now: u64, failure: Failure);
    /// The accepted stream ended.
    fn ended(&mut self, now: u64);
}

impl PacingPolicy for Pacer {
    fn due_ns(&self) -> Option<u64> {
        Pacer::due_ns(self)
    }

    fn call(&mut self, now: u64) -> bool {
        Pacer::call(self, now)
    }

    fn accepted(&mut self, now: u64) {
        Pacer::accepted(self, now);
    }

    fn failed(&mut self, now: u64, failure: Failure) {
        Pacer::failed(self, now, failure);
    }

    fn ended(&mut self, now: u64) {
        Pacer::ended(self, now);
    }
}

/// A service with a token bucket that holds one second's calls.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Calls accepted per second.
    pub capacity: f64,
    /// Value of `Retry-After` for rejected calls.
    pub after_ns: Option<u64>,
    /// Whether every call fails as unreachable.
    pub unavailable: bool,
    tokens: f64,
    refilled_at_ns: u64,
}

impl Service {
    /// A service with a full token bucket.
    pub fn new(capacity: f64) -> Service {
        let after_ns = Some(1_000_000_000);
        Service { capacity, after_ns, unavailable: false, tokens: capacity, refilled_at_ns: 0 }
    }

    fn answer(&mut self, now: u64) -> Result<(), Failure> {
        let stats = now.saturating_sub(self.refilled_at_ns) as f64 / 1e9;
        (self.tokens, self.refilled_at_ns) = ((self.tokens + stats * self.capacity).min(self.capacity), now);
        if self.unavailable {
            return Err(Failure::Unavailable);
        }
        if self.tokens < 1.0 {
            return Err(Failure::Rejected { after_ns: self.after_ns });
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

/// Clients and their service.
pub struct ClientSwarm<W> {
    /// Pacing policies of the clients.
    pub clients: Vec<W>,
    /// The service.
    pub service: Service,
    up: Vec<bool>,
    /// Current time (ns).
    pub now: u64,
}

/// Statistics of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct SwarmStats {
    /// Calls.
    pub calls: u64,
    /// Largest number of calls within one second.
    pub max_calls_per_s: usize,
    /// Largest number of calls within 100 ms.
    pub max_calls_per_100ms: usize,
    /// Time from the start of the run until the last client was connected; `None` if some are not.
    pub settled_ns: Option<u64>,
}

/// Largest number of calls within a sliding window.
#[derive(Default)]
struct SlidingMax {
    window: VecDeque<u64>,
    peak: usize,
}

impl SlidingMax {
    fn add(&mut self, at: u64, window_ns: u64) {
        while self.window.front().is_some_and(|first| first + window_ns <= at) {
            self.window.pop_front();
        }
        self.window.push_back(at);
        self.peak = self.peak.max(self.window.len());
    }
}

impl<W: PacingPolicy> ClientSwarm<W> {
    /// Clients that all start now.
    pub fn new(clients: Vec<W>, service: Service) -> ClientSwarm<W> {
        ClientSwarm { up: vec![false; clients.len()], clients, service, now: 0 }
    }

    /// Runs until all clients are connected or `limit_ns` has passed. A response takes one
    /// millisecond.
    pub fn run_for(&mut self, limit_ns: u64) -> SwarmStats {
        let (began, end) = (self.now, self.now + limit_ns);
        let mut stats = SwarmStats::default();
        let (mut per_second, mut per_100ms) = (SlidingMax::default(), SlidingMax::default());
        let due = |at: usize, client: &W| client.due_ns().map(|due| Reverse((due, at)));
        let mut queue: BinaryHeap<Reverse<(u64, usize)>> =
            self.clients.iter().enumerate().filter_map(|(at, client)| due(at, client)).collect();
        while self.up.iter().any(|up| !up) || self.service.unavailable {
            let Some(Reverse((at_ns, at))) = queue.pop().filter(|Reverse((due, _))| *due < end) else {
                break;
            };
            let client = &mut self.clients[at];
            self.now = self.now.max(at_ns);
            if !client.call(self.now) {
                continue;
            }
            stats.calls += 1;
            per_second.add(self.now, 1_000_000_000);
            per_100ms.add(self.now, 100_000_000);
            match self.service.answer(self.now) {
                Ok(()) => {
                    client.accepted(self.now + 1_000_000);
                    self.up[at] = true;
                }
                Err(failure) => client.failed(self.now + 1_000_000, failure),
            }
            queue.extend(due(at, &self.clients[at]));
        }
        if self.up.iter().all(|up| *up) {
            stats.settled_ns = Some(self.now - began);
        } else {
            self.now = end;
        }
        (stats.max_calls_per_s, stats.max_calls_per_100ms) = (per_second.peak, per_100ms.peak);
        stats
    }

    /// Ends all open streams.
    pub fn disconnect_all(&mut self) {
        for (client, up) in self.clients.iter_mut().zip(&mut self.up) {
            if std::mem::take(up) {
                client.ended(self.now);
            }
        }
    }
}
