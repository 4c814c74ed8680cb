//! Random variation of request intervals, from a seed.

use crate::cell::mix_hash;

/// Largest deviation from an interval in either direction, as a fraction of it.
pub(crate) const JITTER_FRACTION: f64 = 0.1;

/// Deterministic random generator.
#[derive(Clone, Debug)]
pub(crate) struct Jitter(u64);

impl Jitter {
    pub(crate) fn new(seed: u64) -> Jitter {
        Jitter(seed)
    }

    /// Returns a number from 0 up to, but not including, 1.
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(1);
        (mix_hash(self.0) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a random time below `ns`.
    pub(crate) fn below(&mut self, ns: u64) -> u64 {
        (self.uniform() * ns as f64) as u64
    }

    /// Returns `ns` with a random deviation.
    pub(crate) fn apply(&mut self, ns: u64) -> u64 {
        ((1.0 - JITTER_FRACTION + 2.0 * JITTER_FRACTION * self.uniform()) * ns as f64) as u64
    }
}

/// Returns the longest time that [`Jitter::apply`] returns for `ns`.
pub(crate) fn max_jittered(ns: u64) -> u64 {
    (ns as f64 * (1.0 + JITTER_FRACTION)) as u64
}
