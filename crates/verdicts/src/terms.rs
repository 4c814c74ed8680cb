//! What all routers of a fleet agree on.

/// The parameters of one fleet, the same in all of its routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Routers that there are, about (count).
    pub routers: u32,
    /// Routers that must have seen the same of an engine, before others leave it out (count).
    pub witnesses: u32,
    /// Engines that evidence takes out at most (share of those that the list has).
    pub out_most: f64,
    /// Evidence that its witness does not say again is believed for so long (ns).
    pub fade_ns: u64,
    /// The longest cut after which no old word comes back (ns): words that end are remembered for so long.
    pub remember_ns: u64,
    /// How often a router says what is new (ns).
    pub round_ns: u64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            routers: 1,
            witnesses: 3,
            out_most: 0.3,
            fade_ns: 30_000_000_000,
            remember_ns: 24 * 3_600 * 1_000_000_000,
            round_ns: 200_000_000,
        }
    }
}
