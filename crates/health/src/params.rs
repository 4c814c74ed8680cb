//! Parameters that all routers of a fleet share.

/// Parameters of one fleet; they must be equal in all of its routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthParams {
    /// Number of routers in the fleet.
    pub routers: u32,
    /// Routers that must report the same fault before the fleet excludes an engine.
    pub min_observers: u32,
    /// Largest share of the listed engines that evidence may exclude at the same time.
    pub max_excluded: f64,
    /// Lifetime of evidence that its observer does not renew, in nanoseconds.
    pub evidence_lifetime_ns: u64,
    /// Longest partition, in nanoseconds, after which a reverted override cannot return. Overrides
    /// that re-include an engine are stored for this long.
    pub override_memory_ns: u64,
    /// Interval between gossip rounds, in nanoseconds.
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
