//! Draws by chance, the same for the same seed.

use crate::mix::mix;

/// A sequence of draws.
#[derive(Clone, Debug)]
pub(crate) struct Rng(u64);

impl Rng {
    pub(crate) fn new(seed: u64) -> Rng {
        Rng(mix(seed))
    }

    /// A number below this one; 0 where that is 0.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.0 = mix(self.0.wrapping_add(0x9e37_79b9_7f4a_7c15));
        (self.0 % bound.max(1) as u64) as usize
    }
}
