//! Measures a fleet of one size: a simultaneous start of all routers, quiet time, and changes of
//! engines.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use marljunction_testkit::fleet::classes;
use marljunction_testkit::hollow::engine_table::with_zones;
use marljunction_testkit::hollow::fleet::{FleetPlan, HollowFleet};
use marljunction_testkit::hollow::protocol::{ListedState, RouterReport};
use marljunction_testkit::test_bed::{settings, SettingsParams};
use serde::Serialize;

use super::real::{RealRouters, RealUsage};
use super::{engines_for, Run, ScaleError};

/// Calls per second that the list service accepts.
pub const CALLS_PER_S: f64 = 400.0;
/// Maximum number of full lists that the service writes at the same time; bounds the memory used on
/// both sides.
pub const CONCURRENT_SNAPSHOTS: usize = 16;
/// The service sends a comment each second: part of quiet time reserved to wait for one, and
/// interval between checks for it.
const COMMENT_MARGIN: Duration = Duration::from_millis(400);
const COMMENT_POLL: Duration = Duration::from_millis(20);
/// Timeout until all routers have the list after a start (s).
const START_TIMEOUT_S: u64 = 180;
/// Timeout until all routers have a change (s).
const CHANGE_TIMEOUT_S: u64 = 30;
/// Machines that fail, restart or are replaced per day in the design fleet, and its engines.
const MACHINES_PER_DAY: f64 = 62.0 + 7_800.0;
const ENGINES: f64 = 30_000.0;
const DAY_S: f64 = 86_400.0;
/// Events per such machine: one when it drains, one when it is replaced.
const EVENTS_PER_MACHINE: f64 = 2.0;
/// Number of real routers (full, quick).
const REAL_ROUTERS: [u32; 2] = [24, 6];
/// Measured time of hosts without routers.
const EMPTY_HOSTS_TIME: Duration = Duration::from_millis(500);
/// Measured quiet time, and number of published changes (full, quick).
const QUIET_TIME: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(2)];
const CHANGES: [u32; 2] = [24, 10];

/// A fleet size.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    routers: u32,
}

/// Measurements at a size, per router unless stated otherwise.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measured {
    /// Number of hollow routers.
    pub routers: u32,
    /// Smallest number of engines on a router's list.
    pub engines: u64,
    /// Time from a router's start until it has the list (s): median.
    pub list_learned_p50_s: f64,
    /// The same: maximum.
    pub list_learned_worst_s: f64,
    /// Time from the first router's start until all have the list (s).
    pub start_all_s: f64,
    /// Mean number of bytes that the service wrote to a router until all have the list.
    pub list_bytes: f64,
    /// Maximum relative difference between the service's and a router's count of bytes.
    pub bytes_disagreement: f64,
    /// Bytes that the list service wrote in total until all have the list.
    pub service_start_bytes: u64,
    /// Processor time until all have the list (ms).
    pub start_processor_ms: f64,
    /// Share of a core used by all hosts without routers.
    pub empty_hosts_core_share: f64,
    /// Share of a core used by all hosts in quiet time.
    pub quiet_hosts_core_share: f64,
    /// Share of a core in quiet time, without the hosts' event loops.
    pub quiet_core_share: f64,
    /// Bytes per second in quiet time.
    pub quiet_bytes_per_s: f64,
    /// Processor time of one change (us).
    pub change_processor_us: f64,
    /// Bytes of one change.
    pub change_bytes: f64,
    /// Time until a router has a change (s): median over routers and changes.
    pub change_everywhere_p50_s: f64,
    /// The same: maximum.
    pub change_everywhere_worst_s: f64,
    /// Changes per second on an ordinary day, in proportion to the number of engines.
    pub changes_per_s: f64,
    /// Share of a core on an ordinary day.
    pub control_core_share: f64,
    /// Bytes per second on an ordinary day.
    pub control_bytes_per_s: f64,
    /// Memory of a hollow router (MB): growth of the hosts' memory, divided by the routers.
    pub hollow_mb: f64,
    /// Number of processes.
    pub processes: u32,
    /// Peak memory of all processes so far (GiB).
    pub memory_gib: f64,
    /// Mean resource usage of the real routers.
    pub real: Option<RealUsage>,
}

/// A fleet of hollow and real routers.
pub struct ScaleFleet {
    /// The hollow routers.
    pub hollow: HollowFleet,
    /// The real routers.
    pub real: RealRouters,
}

impl Size {
    /// A size with this number of hollow routers, and engines in proportion.
    pub fn new(routers: u32) -> Size {
        Size { routers }
    }

    /// Starts a fleet of this size and measures it; returns the fleet for further use.
    ///
    /// # Errors
    /// If a process fails or a phase does not complete in time.
    pub fn measure(self, run: &Run) -> Result<(Measured, ScaleFleet), ScaleError> {
        let real_routers = REAL_ROUTERS[usize::from(run.quick)];
        let plan = self.plan(run, real_routers);
        let hollow = HollowFleet::start(plan)?;
        let real = RealRouters::new(run, self.routers, real_routers)?;
        let mut fleet = ScaleFleet { hollow, real };
        let mut measured = Measured { routers: self.routers, ..Measured::default() };
        measured.empty(&fleet);
        measured.start(&mut fleet)?;
        measured.quiet(&mut fleet, QUIET_TIME[usize::from(run.quick)])?;
        measured.changes(&mut fleet, CHANGES[usize::from(run.quick)])?;
        measured.compute_totals();
        measured.real = Some(fleet.real.usage());
        measured.record_memory(&fleet);
        Ok((measured, fleet))
    }

    fn plan(self, run: &Run, real_routers: u32) -> FleetPlan {
        FleetPlan {
            program: run.lab.clone(),
            routers: self.routers,
            real_routers,
            engines: engines_for(self.routers),
            hosts: hosts(),
            calls_per_s: CALLS_PER_S,
            concurrent_snapshots: CONCURRENT_SNAPSHOTS,
            settings: module_settings(self.routers),
            module: false,
            list: true,
            cells: None,
            fleet: None,
            seed: run.seed,
        }
    }
}

/// Number of hosts of hollow routers: one per core, within bounds.
pub fn hosts() -> u32 {
    std::thread::available_parallelism().map_or(4, |n| n.get() as u32).clamp(2, 8)
}

/// Settings of the decision module for a fleet of this number of routers.
pub fn module_settings(routers: u32) -> String {
    let classes = classes();
    let site = SettingsParams {
        classes: &classes,
        tenants: &[("all", 100.0)],
        cores: 8.0,
        max_retry_after_ms: 1_000,
        routers,
        router_index: 0,
        cold: false,
    };
    with_zones(settings(&site)).to_string()
}

impl Measured {
    /// Measures the hosts' event loops without routers.
    fn empty(&mut self, fleet: &ScaleFleet) {
        let (started, before) = (Instant::now(), fleet.hollow.hosts_usage().processor_ns);
        std::thread::sleep(EMPTY_HOSTS_TIME);
        let spent_s = (fleet.hollow.hosts_usage().processor_ns - before) as f64 / 1e9;
        self.empty_hosts_core_share = spent_s / started.elapsed().as_secs_f64();
    }

    /// Starts all routers at once.
    fn start(&mut self, fleet: &mut ScaleFleet) -> Result<(), ScaleError> {
        let empty_kb = fleet.hollow.hosts_usage().resident_kb;
        let numbers: Vec<u32> = (0..self.routers).collect();
        let list = fleet.hollow.counters()?.list;
        let (started, used) = (Instant::now(), fleet.hollow.hosts_usage().processor_ns);
        fleet.hollow.start_routers(&numbers)?;
        fleet.real.start(&fleet.hollow)?;
        let limit = Duration::from_secs(START_TIMEOUT_S);
        let reached = fleet.hollow.await_list(&list, limit)?;
        reached.ok_or(self.timeout("all routers have the list after a start", START_TIMEOUT_S))?;
        self.start_all_s = started.elapsed().as_secs_f64();
        let used = fleet.hollow.hosts_usage().processor_ns - used;
        self.start_processor_ms = used as f64 / 1e6 / f64::from(self.routers);
        let (counters, reports) = (fleet.hollow.counters()?, fleet.hollow.reports()?);
        self.engines = reports.iter().map(|report| report.digest.engines).min().unwrap_or(0);
        let hollow = &counters.written[..self.routers as usize];
        self.service_start_bytes = counters.written.iter().sum();
        self.list_bytes = hollow.iter().sum::<u64>() as f64 / f64::from(self.routers);
        self.bytes_disagreement = disagreement(hollow, &reports);
        let mut learned: Vec<f64> = reports.iter().filter_map(learned_s).collect();
        (self.list_learned_p50_s, self.list_learned_worst_s) = median_and_worst(&mut learned);
        let resident_kb = fleet.hollow.hosts_usage().resident_kb.saturating_sub(empty_kb);
        self.hollow_mb = resident_kb as f64 / 1024.0 / f64::from(self.routers);
        fleet.real.await_list(list.full_list.engines, &fleet.hollow)?;
        Ok(())
    }

    /// Measures quiet time, in which the service only sends comments. It starts and ends
    /// right after a comment, so that a whole number of them is counted.
    fn quiet(&mut self, fleet: &mut ScaleFleet, time: Duration) -> Result<(), ScaleError> {
        await_comment(&mut fleet.hollow)?;
        let (started, before) = (Instant::now(), self.spent(fleet)?);
        fleet.real.measure_quiet(time.saturating_sub(COMMENT_MARGIN));
        await_comment(&mut fleet.hollow)?;
        let (elapsed_s, after) = (started.elapsed().as_secs_f64(), self.spent(fleet)?);
        let empty_share = self.empty_hosts_core_share / f64::from(self.routers);
        let share = (after.0 - before.0) / elapsed_s;
        self.quiet_hosts_core_share = share * f64::from(self.routers);
        self.quiet_core_share = (share - empty_share).max(0.0);
        self.quiet_bytes_per_s = (after.1 - before.1) / elapsed_s;
        Ok(())
    }

    /// Publishes changes, each once all routers have the previous one; their cost is the excess
    /// over quiet time.
    fn changes(&mut self, fleet: &mut ScaleFleet, changes: u32) -> Result<(), ScaleError> {
        let (started, before) = (Instant::now(), self.spent(fleet)?);
        let mut delays = Vec::new();
        let engines = engines_for(self.routers);
        for change in 0..changes {
            let engine = vec![change / 2 * 7_919 % engines];
            let sent_change = match change % 2 {
                0 => fleet.hollow.change(engine, ListedState::Terminating)?,
                _ => fleet.hollow.replace(engine)?,
            };
            let reached =
                fleet.hollow.await_list(&sent_change.list, Duration::from_secs(CHANGE_TIMEOUT_S))?;
            let reached = reached.ok_or(self.timeout("all routers have a change", CHANGE_TIMEOUT_S))?;
            delays.extend(reached.iter().map(|(_, at)| at.saturating_sub(sent_change.sent_ns) as f64 / 1e9));
        }
        let (elapsed_s, after) = (started.elapsed().as_secs_f64(), self.spent(fleet)?);
        let excess = |spent: f64, quiet: f64| (spent - quiet * elapsed_s).max(0.0) / f64::from(changes);
        self.change_processor_us = excess(
            after.0 - before.0,
            self.quiet_core_share + self.empty_hosts_core_share / f64::from(self.routers),
        ) * 1e6;
        self.change_bytes = excess(after.1 - before.1, self.quiet_bytes_per_s);
        (self.change_everywhere_p50_s, self.change_everywhere_worst_s) = median_and_worst(&mut delays);
        Ok(())
    }

    /// Means so far: processor time (s) and bytes of a router.
    fn spent(&self, fleet: &mut ScaleFleet) -> Result<(f64, f64), ScaleError> {
        let routers = f64::from(self.routers);
        let processor_s = fleet.hollow.hosts_usage().processor_ns as f64 / 1e9;
        let written = fleet.hollow.counters()?.written;
        let bytes = written[..self.routers as usize].iter().sum::<u64>() as f64;
        Ok((processor_s / routers, bytes / routers))
    }

    fn compute_totals(&mut self) {
        let engines = self.engines as f64;
        self.changes_per_s = MACHINES_PER_DAY * EVENTS_PER_MACHINE / DAY_S * engines / ENGINES;
        self.control_core_share = self.quiet_core_share + self.change_processor_us / 1e6 * self.changes_per_s;
        self.control_bytes_per_s = self.quiet_bytes_per_s + self.change_bytes * self.changes_per_s;
    }

    /// Records the number of processes and their peak memory.
    pub fn record_memory(&mut self, fleet: &ScaleFleet) {
        let real = fleet.real.peak_kb();
        let hollow = fleet.hollow.hosts_usage().peak_kb + fleet.hollow.service_usage().peak_kb;
        self.processes = (fleet.hollow.processes() + fleet.real.count()) as u32 + 1;
        self.memory_gib = self.memory_gib.max((real + hollow) as f64 / f64::from(1 << 20));
    }

    fn timeout(&self, what: &'static str, seconds: u64) -> ScaleError {
        ScaleError::Timeout { routers: self.routers, what, seconds }
    }
}

/// Waits for the service's next comment.
fn await_comment(fleet: &mut HollowFleet) -> Result<(), ScaleError> {
    let before = fleet.counters()?.written;
    let end = Instant::now() + 5 * COMMENT_MARGIN;
    while fleet.counters()?.written == before && Instant::now() < end {
        std::thread::sleep(COMMENT_POLL);
    }
    Ok(())
}

fn learned_s(report: &RouterReport) -> Option<f64> {
    Some(report.learned_ns?.saturating_sub(report.started_ns) as f64 / 1e9)
}

/// Maximum relative difference between the bytes written to a router and those that it read.
fn disagreement(written: &[u64], reports: &[RouterReport]) -> f64 {
    let read: BTreeMap<u32, u64> =
        reports.iter().map(|report| (report.number, report.received_bytes)).collect();
    let share = |(number, written): (usize, &u64)| {
        let read = read.get(&(number as u32)).copied().unwrap_or(0);
        written.abs_diff(read) as f64 / (*written).max(1) as f64
    };
    written.iter().enumerate().map(share).fold(0.0, f64::max)
}

/// Median and maximum; zeros if there are no values.
pub fn median_and_worst(values: &mut [f64]) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let median = values.get(values.len() / 2).copied().unwrap_or(0.0);
    (median, values.last().copied().unwrap_or(0.0))
}
