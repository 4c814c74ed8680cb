//! When a router asks: intervals with a part of chance, drawn from its own seed.

use crate::cell::mix_hash;

/// Chance's part of an interval: it is drawn within this share below and above.
pub(crate) const JITTER_FRACTION: f64 = 0.1;

/// Draws that follow from a seed.
#[derive(Clone, Debug)]
pub(crate) struct Jitter(u64);

impl Jitter {
    pub(crate) fn new(seed: u64) -> Jitter {
        Jitter(seed)
    }

    /// A number from 0 to 1.
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(1);
        (mix_hash(self.0) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A time below this (ns).
    pub(crate) fn below(&mut self, ns: u64) -> u64 {
        (self.uniform() * ns as f64) as u64
    }

    /// About this interval (ns).
    pub(crate) fn apply(&mut self, ns: u64) -> u64 {
        ((1.0 - JITTER_FRACTION + 2.0 * JITTER_FRACTION * self.uniform()) * ns as f64) as u64
    }
}

/// The longest that [`Draws::about`] gives (ns).
pub(crate) fn max_jittered(ns: u64) -> u64 {
    (ns as f64 * (1.0 + JITTER_FRACTION)) as u64
}
