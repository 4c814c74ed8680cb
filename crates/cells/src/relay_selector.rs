//! Choice of the relay that a router sends requests to, with backoff after failures.

use std::net::SocketAddr;

use crate::cell::mix_hash;
use crate::engine::split_address;

/// Backoff after the first failure of a relay, in request intervals. It doubles with each further
/// failure.
const INITIAL_BACKOFF_REQUESTS: u64 = 10;
/// Upper limit of the backoff, in request intervals.
const MAX_BACKOFF_REQUESTS: u64 = 80;

#[derive(Clone, Debug)]
struct Candidate {
    address: SocketAddr,
    backoff_until_ns: u64,
    failures: u32,
}

/// The relays in an order specific to the router, by rendezvous hashing: routers are spread evenly
/// over the relays, and the routers of a removed relay evenly over the others.
#[derive(Clone, Debug)]
pub(crate) struct RelaySelector {
    relays: Vec<Candidate>,
    current: usize,
    request_interval_ns: u64,
}

impl RelaySelector {
    pub(crate) fn new(router: u64, relays: &[SocketAddr], request_interval_ns: u64) -> RelaySelector {
        let mut ranked: Vec<(u64, SocketAddr)> = relays.iter().map(|at| (rank(router, *at), *at)).collect();
        ranked.sort_unstable();
        ranked.dedup();
        let candidate = |(_, address)| Candidate { address, backoff_until_ns: 0, failures: 0 };
        RelaySelector { relays: ranked.into_iter().map(candidate).collect(), current: 0, request_interval_ns }
    }

    /// Returns the relay in use; `None` if there are no relays.
    pub(crate) fn current(&self) -> Option<SocketAddr> {
        self.relays.get(self.current).map(|relay| relay.address)
    }

    pub(crate) fn contains(&self, relay: SocketAddr) -> bool {
        self.relays.iter().any(|candidate| candidate.address == relay)
    }

    pub(crate) fn len(&self) -> usize {
        self.relays.len()
    }

    /// Switches to the first relay without backoff, or to the next one if all have backoff. Returns
    /// whether a relay without backoff was found.
    pub(crate) fn fail_over(&mut self, now: u64) -> bool {
        let failed = self.current;
        self.back_off(now, failed);
        let available = |at: &usize| *at != failed && self.relays[*at].backoff_until_ns <= now;
        let first = (0..self.relays.len()).find(available);
        self.current = first.unwrap_or((failed + 1) % self.relays.len().max(1));
        first.is_some()
    }

    fn back_off(&mut self, now: u64, at: usize) {
        let request_interval_ns = self.request_interval_ns;
        if let Some(relay) = self.relays.get_mut(at) {
            let requests = (INITIAL_BACKOFF_REQUESTS << relay.failures.min(8)).min(MAX_BACKOFF_REQUESTS);
            relay.backoff_until_ns = now.saturating_add(requests.saturating_mul(request_interval_ns));
            relay.failures += 1;
        }
    }

    /// Returns a relay preferred over the current one whose backoff has expired. It gets a new
    /// backoff until it responds.
    pub(crate) fn retry_preferred(&mut self, now: u64) -> Option<SocketAddr> {
        let at = (0..self.current).find(|at| self.relays[*at].backoff_until_ns <= now)?;
        self.back_off(now, at);
        Some(self.relays[at].address)
    }

    /// Clears the backoff of a relay that responded, and switches to it if it is preferred over the
    /// current one.
    pub(crate) fn record_response(&mut self, relay: SocketAddr) {
        if let Some(at) = self.relays.iter().position(|candidate| candidate.address == relay) {
            self.relays[at].backoff_until_ns = 0;
            self.relays[at].failures = 0;
            self.current = self.current.min(at);
        }
    }
}

fn rank(router: u64, relay: SocketAddr) -> u64 {
    let (high, low, port) = split_address(relay);
    [high, low, u64::from(port)].into_iter().fold(mix_hash(router), |hash, part| mix_hash(hash ^ part))
}
