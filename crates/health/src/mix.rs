//! Bit mixing for hashes and pseudorandom numbers.

/// Spreads a number over all 64 bits.
pub(crate) fn mix_hash(x: u64) -> u64 {
    let x = (x ^ (x >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 32)
}
