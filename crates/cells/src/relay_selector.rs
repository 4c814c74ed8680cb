//! Which relay a router asks: an order of its own, and for how long a relay that failed it is left alone.

use std::net::SocketAddr;

use crate::cell::mix_hash;
use crate::engine::split_address;

/// A relay that failed is left alone for so many asks at first, and twice as long each further time, up to the second (asks).
const INITIAL_BACKOFF_REQUESTS: u64 = 10;
const MAX_BACKOFF_REQUESTS: u64 = 80;

#[derive(Clone, Debug)]
struct Candidate {
    address: SocketAddr,
    backoff_until_ns: u64,
    failures: u32,
}

/// The relays in a router's own order, by rendezvous hash: relays have about as many routers each, and those of one that is gone
/// spread over all others.
#[derive(Clone, Debug)]
pub(crate) struct RelaySelector {
    relays: Vec<Candidate>,
    current: usize,
    ask_ns: u64,
}

impl RelaySelector {
    pub(crate) fn new(router: u64, relays: &[SocketAddr], ask_ns: u64) -> RelaySelector {
        let mut ranked: Vec<(u64, SocketAddr)> = relays.iter().map(|at| (rank(router, *at), *at)).collect();
        ranked.sort_unstable();
        ranked.dedup();
        let candidate = |(_, address)| Candidate { address, backoff_until_ns: 0, failures: 0 };
        RelaySelector { relays: ranked.into_iter().map(candidate).collect(), current: 0, ask_ns }
    }

    /// The relay that is asked now; none where there are none.
    pub(crate) fn current(&self) -> Option<SocketAddr> {
        self.relays.get(self.current).map(|relay| relay.address)
    }

    pub(crate) fn contains(&self, relay: SocketAddr) -> bool {
        self.relays.iter().any(|candidate| candidate.address == relay)
    }

    pub(crate) fn len(&self) -> usize {
        self.relays.len()
    }

    /// Leaves the current relay for the first that is not left alone, or else for the next; whether the new one is not left
    /// alone.
    pub(crate) fn fail_over(&mut self, now: u64) -> bool {
        let failed = self.current;
        self.back_off(now, failed);
        let available = |at: &usize| *at != failed && self.relays[*at].backoff_until_ns <= now;
        let first = (0..self.relays.len()).find(available);
        self.current = first.unwrap_or((failed + 1) % self.relays.len().max(1));
        first.is_some()
    }

    fn back_off(&mut self, now: u64, at: usize) {
        let ask_ns = self.ask_ns;
        if let Some(relay) = self.relays.get_mut(at) {
            let requests = (INITIAL_BACKOFF_REQUESTS << relay.failures.min(8)).min(MAX_BACKOFF_REQUESTS);
            relay.backoff_until_ns = now.saturating_add(requests.saturating_mul(ask_ns));
            relay.failures += 1;
        }
    }

    /// A relay before the current one that may be tried again; it is left alone from here on until it answers.
    pub(crate) fn retry_preferred(&mut self, now: u64) -> Option<SocketAddr> {
        let at = (0..self.current).find(|at| self.relays[*at].backoff_until_ns <= now)?;
        self.back_off(now, at);
        Some(self.relays[at].address)
    }

    /// A relay has answered well: it is the current one where it stands before that, and is left alone no more.
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
