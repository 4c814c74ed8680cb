//! Deterministic pseudorandom numbers.

use crate::mix::mix_hash;

/// A generator that returns the same sequence for the same seed.
#[derive(Clone, Debug)]
pub(crate) struct Rng(u64);

impl Rng {
    pub(crate) fn new(seed: u64) -> Rng {
        Rng(mix_hash(seed))
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.0 = mix_hash(self.0.wrapping_add(0x9e37_79b9_7f4a_7c15));
        (self.0 % bound.max(1) as u64) as usize
    }
}
