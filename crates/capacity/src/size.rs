//! The size to design for and the budgets at it, once, each with where it comes from.

/// Where most of them come from.
pub const REQUIREMENTS: &str = "the operators' letter on the fleet ahead";

/// A number of the size, with its source.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Constant {
    /// What it is of.
    pub name: &'static str,
    /// Its value.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// Where it comes from.
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
/// Machines set aside for control.
pub const CONTROL_MACHINES: Constant = required("machines set aside for control", 39.0, "");
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
/// Time for a change of primary.
pub const MAX_PRIMARY_CHANGE_TIME: Constant = required("a change of primary is over within", 16.0, "s");
/// Changes of configuration.
pub const CONFIG_CHANGES: Constant = required("changes of configuration", 38_000.0, "/day");
/// Time for a change of configuration.
pub const MAX_CONFIG_CHANGE_TIME: Constant =
    required("a change of configuration is in force everywhere within", 5.0, "s");
/// Machines restarted or replaced.
pub const RESTARTS: Constant = required("machines restarted or replaced", 7_800.0, "/day");
/// Machines that fail.
pub const FAILURES: Constant = required("machines that fail", 62.0, "/day");
/// Time for a restart.
pub const MAX_READY_TIME: Constant = required("nine in ten restarted processes are ready within", 10.0, "s");
/// Part of the routers that a release restarts.
pub const RELEASE_SHARE: Constant = required("part of the routers that a release restarts at once", 0.1, "");
/// Processor time of a router for control.
pub const CONTROL_CORE: Constant = required("processor time of a router for control", 0.012, "cores");
/// Memory of a router for control.
pub const CONTROL_MB: Constant = required("memory of a router for control", 32.0, "MB");
/// Traffic of a router for control.
pub const CONTROL_BYTES: Constant = required("traffic of a router for control", 3_000.0, "bytes/s");

/// How late news may be told.
pub const MAX_UPDATE_DELAY: Constant =
    assumed("news of the list counts as told after", 7.0, "s", "the platform's page on its protocol");
/// What one router's process can use.
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
    "the memory limit that the measured program had; the letter names none",
);
/// How long a region is away.
pub const REGION_OUTAGE_TIME: Constant =
    assumed("a region is away for", 300.0, "s", "the letter says minutes; five are assumed");
/// What a list service can send.
pub const SERVICE_BYTES: Constant = assumed(
    "traffic of one machine of the list service or of control",
    125e6,
    "bytes/s",
    "assumed: one gigabit a second; the letter names none",
);
/// Calls that the list service takes.
pub const SERVICE_CALLS: Constant = assumed(
    "calls that the list service takes",
    200.0,
    "/s",
    "the default of `start.budget` in the operator's file",
);
/// Entries of the configuration.
pub const CONFIG_ENTRIES: Constant = assumed(
    "entries of the configuration",
    30_000.0,
    "",
    "assumed: one for each engine; the letter names none",
);
/// Keys of limits that are wanted beyond shares.
pub const LIMIT_KEYS: Constant = assumed(
    "keys of shared limits that a tenth of the routers want beyond their own units",
    16.0,
    "",
    "assumed; the letter names none",
);
/// How long an engine is cold.
pub const COLD_TIME: Constant =
    assumed("an engine is cold for", 15.0, "s", "the stand-ins' engines; the letter names none");
/// Cells of a zone.
pub const CELLS: Constant = assumed("cells of a zone, where there are cells", 10.0, "", "deploy/cells.conf");

/// Largest datagram.
pub const MAX_DATAGRAM: Constant =
    assumed("largest datagram between routers", 1_200.0, "bytes", "`DATAGRAM_MOST` in crates/peers");

/// All of them, in the order of the page.
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

/// Seconds of a day.
pub const DAY_S: f64 = 86_400.0;
/// Seconds of the worst minute.
pub const MINUTE_S: f64 = 60.0;
/// Entries of the list by which a restart, a failure and a change of primary are told, by the states that the protocol has:
/// `terminating`, `terminated`, `in_service`; `terminated`, `in_service`; the old primary and the new one.
pub const RESTART_ENTRIES: f64 = 3.0;
/// See [`RESTART_ENTRIES`].
pub const FAILURE_ENTRIES: f64 = 2.0;
/// See [`RESTART_ENTRIES`].
pub const PRIMARY_ENTRIES: f64 = 2.0;

/// Part of all machines that are engines.
pub fn engine_share() -> f64 {
    ENGINES.value / (ENGINES.value + ROUTERS.value + CONTROL_MACHINES.value)
}

/// Part of all machines that are routers.
pub fn router_share() -> f64 {
    ROUTERS.value / (ENGINES.value + ROUTERS.value + CONTROL_MACHINES.value)
}

/// Engines of one cell.
pub fn engines_per_cell() -> f64 {
    engines_per_zone() / CELLS.value
}

/// Routers that ask one relay.
pub fn routers_per_relay() -> f64 {
    (ROUTERS.value / CONTROL_MACHINES.value).round()
}

/// Statements a second of one router.
pub fn statements_per_router() -> f64 {
    STATEMENTS.value / ROUTERS.value
}

/// Client connections of one router.
pub fn connections_per_router() -> f64 {
    CONNECTIONS.value / ROUTERS.value
}

/// Starts of one router's machine in a second.
pub fn starts_per_router_s() -> f64 {
    RESTARTS.value * router_share() / ROUTERS.value / DAY_S
}

/// Entries of the list that change in a second of an ordinary day.
pub fn entries_per_s() -> f64 {
    let of_engines = (RESTARTS.value * RESTART_ENTRIES + FAILURES.value * FAILURE_ENTRIES) * engine_share();
    (of_engines + PRIMARY_CHANGES.value * PRIMARY_ENTRIES) / DAY_S
}

/// Engines of one zone.
pub fn engines_per_zone() -> f64 {
    ENGINES.value / ZONES.value
}

/// Entries a second in the minute in which a zone is lost and its engines are replaced.
pub fn lost_zone_entries_per_s() -> f64 {
    engines_per_zone() * FAILURE_ENTRIES / MINUTE_S
}
