//! The list of engines as a hollow router holds it: a fingerprint of each engine, and their sum.
//!
//! Sixteen bytes an engine, so that thousands of routers with a whole list each fit one machine. What a list costs a whole router
//! is measured with the decision module.

use std::net::SocketAddr;

use marljunction_control::interface::{EngineState, MembershipKind};
use marljunction_discovery::{Change, Target};

use super::protocol::ListDigest;

/// The list of one router.
#[derive(Clone, Debug, Default)]
pub struct KnownList {
    /// Engine number and fingerprint, in order of the numbers.
    engines: Vec<(u64, u64)>,
    sum: u64,
}

impl KnownList {
    /// Takes a change.
    pub fn apply(&mut self, change: &Change) {
        match change.kind {
            MembershipKind::Full => self.replace(&change.targets),
            // Of a list that is not known to be whole nothing is taken away, and a call that failed names nothing.
            _ => change.targets.iter().for_each(|target| self.put(target)),
        }
    }

    /// What sums it up.
    pub fn digest(&self) -> ListDigest {
        ListDigest { engines: self.engines.len() as u64, sum: self.sum }
    }

    fn replace(&mut self, targets: &[Target]) {
        let there = targets.iter().filter(|target| target.entry.state != EngineState::Gone);
        self.engines = there.map(|target| (target.entry.engine.0, fingerprint_of(target))).collect();
        self.engines.sort_unstable();
        self.sum = self.engines.iter().fold(0, |sum, (_, fingerprint)| sum.wrapping_add(*fingerprint));
    }

    fn put(&mut self, target: &Target) {
        let (engine, gone) = (target.entry.engine.0, target.entry.state == EngineState::Gone);
        let fingerprint = fingerprint_of(target);
        match self.engines.binary_search_by_key(&engine, |(known, _)| *known) {
            Ok(at) if gone => self.sum = self.sum.wrapping_sub(self.engines.remove(at).1),
            Ok(at) => {
                self.sum = self.sum.wrapping_sub(self.engines[at].1).wrapping_add(fingerprint);
                self.engines[at].1 = fingerprint;
            }
            Err(_) if gone => {}
            Err(at) => {
                self.engines.insert(at, (engine, fingerprint));
                self.sum = self.sum.wrapping_add(fingerprint);
            }
        }
    }
}

fn fingerprint_of(target: &Target) -> u64 {
    let entry = &target.entry;
    let draining = entry.state == EngineState::Draining;
    fingerprint(entry.engine.0, target.address, draining, entry.started_ns.unwrap_or(0) / 1_000_000)
}

/// A number that differs where an engine's name, address, state or start differs.
pub fn fingerprint(engine: u64, address: SocketAddr, draining: bool, boot_ms: u64) -> u64 {
    let host = match address {
        SocketAddr::V4(at) => u128::from(u32::from(*at.ip())),
        SocketAddr::V6(at) => u128::from(*at.ip()),
    };
    let parts =
        [engine, host as u64, (host >> 64) as u64, u64::from(address.port()), u64::from(draining), boot_ms];
    parts.into_iter().fold(0x9e37_79b9_7f4a_7c15, |hash, part| mix(hash ^ part))
}

/// Spreads each bit over all: splitmix64's last step.
fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
