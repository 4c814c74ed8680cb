//! What all routers of a fleet agree on.

/// The parameters of one fleet, the same in all of its routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthParams {
    /// Routers that there are, about (count).
    pub routers: u32,
    /// Routers that must have seen the same of an engine, before others leave it out (count).
    pub min_observers: u32,
    /// Engines that evidence takes out at most (share of those that the list has).
    pub max_excluded: f64,
    /// Evidence that its witness does not say again is believed for so long (ns).
    pub evidence_lifetime_ns: u64,
    /// The longest cut after which no old word comes back (ns): words that end are remembered for so long.
    pub override_memory_ns: u64,
    /// How often a router says what is new (ns).
    pub gossip_interval_ns: u64,
}

impl Default for HealthParams {
    fn default() -> Self {
        HealthParams {
            routers: 1,
            min_observers: 3,
            max_excluded: 0.3,
            evidence_lifetime_ns: 30_000_000_000,
            override_memory_ns: 24 * 3_600 * 1_000_000_000,
            gossip_interval_ns: 200_000_000,
        }
    }
}
