//! The target size and the budgets at it, each with its source.

/// The source of most constants.
pub const REQUIREMENTS: &str = "the operators' requirements for the planned fleet";

/// A constant with its source.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Constant {
    /// Name on the page.
    pub name: &'static str,
    /// Value in `unit`.
    pub value: f64,
    /// Unit; empty for a plain count.
    pub unit: &'static str,
    /// Source of the value.
    pub source: &'static str,
}

const fn required(name: &'static str, value: f64, unit: &'static str) -> Constant {
    Constant { name, value, unit, source: REQUIREMENTS }
}

const fn assumed(name: &'static str, value: f64, unit: &'static str, source: &'static str) -> Constant {
    Constant { name, value, unit, source }
}

/// Routers.
pub const ROUTERS: Constant = required("routers", 3_200.0, "");
/// Engines.
pub const ENGINES: Constant = required("engines (databases)", 30_000.0, "");
/// Control machines.
pub const CONTROL_MACHINES: Constant = required("control machines", 39.0, "");
/// Regions.
pub const REGIONS: Constant = required("regions", 9.0, "");
/// Zones.
pub const ZONES: Constant = required("zones", 25.0, "");
/// Client connections.
pub const CONNECTIONS: Constant = required("client connections", 18e6, "");
/// Statements.
pub const STATEMENTS: Constant = required("statements", 3.5e6, "/s");
/// Changes of primary.
pub const PRIMARY_CHANGES: Constant = required("changes of primary", 26.0, "/day");
/// Time limit for a change of primary.
pub const MAX_PRIMARY_CHANGE_TIME: Constant = required("time limit for a change of primary", 16.0, "s");
/// Changes of configuration.
pub const CONFIG_CHANGES: Constant = required("configuration changes", 38_000.0, "/day");
/// Time limit for a change of configuration.
pub const MAX_CONFIG_CHANGE_TIME: Constant =
    required("time limit for a configuration change to apply everywhere", 5.0, "s");
/// Machines restarted or replaced.
pub const RESTARTS: Constant = required("machines restarted or replaced", 7_800.0, "/day");
/// Machines that fail.
pub const FAILURES: Constant = required("machines that fail", 62.0, "/day");
/// Time in which nine in ten restarted processes are ready.
pub const MAX_READY_TIME: Constant =
    required("time limit for nine in ten restarted processes to be ready", 10.0, "s");
/// Fraction of the routers that a release restarts at once.
pub const RELEASE_SHARE: Constant =
    required("fraction of the routers that a release restarts at once", 0.1, "");
/// Processor time of a router for control traffic and state.
pub const CONTROL_CORE: Constant = required("processor time of a router for control", 0.012, "cores");
/// Memory of a router for control state.
pub const CONTROL_MB: Constant = required("memory of a router for control", 32.0, "MB");
/// Network traffic of a router for control.
pub const CONTROL_BYTES: Constant = required("traffic of a router for control", 3_000.0, "bytes/s");

/// Delay after which an update of the engine list counts as late.
pub const MAX_UPDATE_DELAY: Constant = assumed(
    "largest delay of an update of the engine list",
    7.0,
    "s",
    "the platform's protocol documentation",
);
/// Processor time of a router for statements.
pub const ROUTER_CORES: Constant = assumed(
    "processor time of a router for statements",
    1.0,
    "cores",
    "one process, one thread: docs/architecture.md",
);
/// Memory of a router for clients.
pub const ROUTER_MB: Constant = assumed(
    "memory of a router for clients",
    192.0,
    "MB",
    "the memory limit of the measured process; not in the requirements",
);
/// Duration of a region outage.
pub const REGION_OUTAGE_TIME: Constant =
    assumed("duration of a region outage", 300.0, "s", "the requirements say minutes; five are assumed");
/// Traffic of one machine of the list service.
pub const SERVICE_BYTES: Constant = assumed(
    "traffic of one list service or control machine",
    125e6,
    "bytes/s",
    "assumed: one gigabit per second; not in the requirements",
);
/// Calls that the list service accepts.
pub const SERVICE_CALLS: Constant = assumed(
    "calls that the list service accepts",
    200.0,
    "/s",
    "the default of `start.budget` in the operator's file",
);
/// Configuration entries.
pub const CONFIG_ENTRIES: Constant =
    assumed("configuration entries", 30_000.0, "", "assumed: one per engine; not in the requirements");
/// Shared-limit keys with demand beyond the router's own share.
pub const LIMIT_KEYS: Constant = assumed(
    "shared-limit keys for which a tenth of the routers need more than their own share",
    16.0,
    "",
    "assumed; not in the requirements",
);
/// Warmup time of an engine.
pub const COLD_TIME: Constant = assumed(
    "warmup time of an engine",
    15.0,
    "s",
    "the simulated engines of the tests; not in the requirements",
);
/// Cells per zone.
pub const CELLS: Constant = assumed("cells per zone, if cells are configured", 10.0, "", "deploy/cells.conf");

/// Largest datagram.
pub const MAX_DATAGRAM: Constant =
    assumed("largest datagram between routers", 1_200.0, "bytes", "`MAX_DATAGRAM_BYTES` in crates/peers");

/// All constants, in the order of the page.
pub const ALL: [Constant; 29] = [
    ROUTERS,
    ENGINES,
    CONTROL_MACHINES,
    REGIONS,
    ZONES,
    CONNECTIONS,
    STATEMENTS,
    PRIMARY_CHANGES,
    MAX_PRIMARY_CHANGE_TIME,
    CONFIG_CHANGES,
    MAX_CONFIG_CHANGE_TIME,
    RESTARTS,
    FAILURES,
    MAX_READY_TIME,
    RELEASE_SHARE,
    CONTROL_CORE,
    CONTROL_MB,
    CONTROL_BYTES,
    MAX_UPDATE_DELAY,
    ROUTER_CORES,
    ROUTER_MB,
    REGION_OUTAGE_TIME,
    SERVICE_BYTES,
    SERVICE_CALLS,
    CONFIG_ENTRIES,
    LIMIT_KEYS,
    COLD_TIME,
    CELLS,
    MAX_DATAGRAM,
];

/// Seconds per day.
pub const DAY_S: f64 = 86_400.0;
/// Seconds per minute.
pub const MINUTE_S: f64 = 60.0;
/// List entries that announce a restart: `terminating`, `terminated`, `in_service`.
pub const RESTART_ENTRIES: f64 = 3.0;
/// List entries that announce a failure: `terminated`, `in_service`.
pub const FAILURE_ENTRIES: f64 = 2.0;
/// List entries that announce a change of primary: one for the old and one for the new primary.
pub const PRIMARY_ENTRIES: f64 = 2.0;

/// Fraction of all machines that are engines.
pub fn engine_share() -> f64 {
    ENGINES.value / (ENGINES.value + ROUTERS.value + CONTROL_MACHINES.value)
}

/// Fraction of all machines that are routers.
pub fn router_share() -> f64 {
    ROUTERS.value / (ENGINES.value + ROUTERS.value + CONTROL_MACHINES.value)
}

/// Engines per cell.
pub fn engines_per_cell() -> f64 {
    engines_per_zone() / CELLS.value
}

/// Routers that use one relay.
pub fn routers_per_relay() -> f64 {
    (ROUTERS.value / CONTROL_MACHINES.value).round()
}

/// Statements per second and router.
pub fn statements_per_router() -> f64 {
    STATEMENTS.value / ROUTERS.value
}

/// Client connections per router.
pub fn connections_per_router() -> f64 {
    CONNECTIONS.value / ROUTERS.value
}

/// Starts of one router per second.
pub fn starts_per_router_s() -> f64 {
    RESTARTS.value * router_share() / ROUTERS.value / DAY_S
}

/// List entries that change per second on an ordinary day.
pub fn entries_per_s() -> f64 {
    let of_engines = (RESTARTS.value * RESTART_ENTRIES + FAILURES.value * FAILURE_ENTRIES) * engine_share();
    (of_engines + PRIMARY_CHANGES.value * PRIMARY_ENTRIES) / DAY_S
}

/// Engines per zone.
pub fn engines_per_zone() -> f64 {
    ENGINES.value / ZONES.value
}

/// List entries that change per second in the minute in which a zone is lost and replaced.
pub fn lost_zone_entries_per_s() -> f64 {
    engines_per_zone() * FAILURE_ENTRIES / MINUTE_S
}
