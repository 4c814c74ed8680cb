//! One size of the fleet: a cold start of all routers at once, quiet time, and ordinary changes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use marljunction_testkit::fleet::classes;
use marljunction_testkit::hollow::engine_table::in_zones;
use marljunction_testkit::hollow::fleet::{FleetPlan, HollowFleet};
use marljunction_testkit::hollow::protocol::{ListedState, RouterReport};
use marljunction_testkit::test_bed::{settings, SettingsParams};
use serde::Serialize;

use super::real::{RealRouters, RealUsage};
use super::{engines_before, Run, ScaleError};

/// Calls a second that the list service takes from the fleet.
pub const CALLS_PER_S: f64 = 400.0;
/// Whole lists that the service writes at a time: what is on its way is memory on both sides.
pub const CONCURRENT_SNAPSHOTS: usize = 16;
/// The service comments each second: what is left of that at the end of quiet time, and how often it is looked for.
const COMMENT_MARGIN: Duration = Duration::from_millis(400);
const COMMENT_POLL: Duration = Duration::from_millis(20);
/// Longest time for all routers to know the list after a start (s).
const START_LIMIT_S: u64 = 180;
/// Longest time for a change to be everywhere (s).
const CHANGE_LIMIT_S: u64 = 30;
/// Machines that fail, are restarted or replaced on an ordinary day of the fleet to design for, and its engines (count).
const MACHINES_A_DAY: f64 = 62.0 + 7_800.0;
const ENGINES: f64 = 30_000.0;
const DAY_S: f64 = 86_400.0;
/// Events that tell of one such machine: that it drains, and that another is there in its place.
const EVENTS_A_MACHINE: f64 = 2.0;
/// Real routers beside the hollow ones, in a full run and in a quick one (count).
const REAL_ROUTERS: [u32; 2] = [24, 6];
/// Time for which the hosts are watched with no router in them.
const EMPTY: Duration = Duration::from_millis(500);
/// Quiet time that is measured, and changes that are told (full, quick).
const QUIET: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(2)];
const CHANGES: [u32; 2] = [24, 10];

/// A size.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    routers: u32,
}

/// What was measured at a size, of one router where nothing else is said.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measured {
    /// Hollow routers (count).
    pub routers: u32,
    /// Engines on the list that every router came to know (count).
    pub engines: u64,
    /// Time from a router's start to its knowing the list (s): median and worst.
    pub list_learned_p50_s: f64,
    /// See `list_learned_p50_s`.
    pub list_learned_worst_s: f64,
    /// Time from the first router's start until all knew the list (s).
    pub start_all_s: f64,
    /// Bytes that a router took to know the list: mean, by the service's count.
    pub list_bytes: f64,
    /// Largest difference between the service's count and a router's own (share).
    pub bytes_disagreement: f64,
    /// Bytes that the list service wrote in the start of all (count).
    pub service_start_bytes: u64,
    /// Processor time of a start (ms).
    pub start_processor_ms: f64,
    /// Share of a core that the hosts' own loops take together, with no router in them.
    pub empty_hosts_core_share: f64,
    /// Share of a core that they take together in quiet time, with the routers.
    pub quiet_hosts_core_share: f64,
    /// Share of a core in quiet time, without the hosts' own loops.
    pub quiet_core_share: f64,
    /// Bytes a second in quiet time.
    pub quiet_bytes_per_s: f64,
    /// Processor time of one change (us).
    pub change_processor_us: f64,
    /// Bytes of one change.
    pub change_bytes: f64,
    /// Time until a change was everywhere (s): median over routers and changes, and worst.
    pub change_everywhere_p50_s: f64,
    /// See `change_everywhere_p50_s`.
    pub change_everywhere_worst_s: f64,
    /// Changes a second on the ordinary day of a fleet with so many engines.
    pub changes_per_s: f64,
    /// Share of a core on the ordinary day.
    pub control_core_share: f64,
    /// Bytes a second on the ordinary day.
    pub control_bytes_per_s: f64,
    /// Memory of a hollow router (MB): the hosts', less what they had before any router.
    pub hollow_mb: f64,
    /// Processes, and their memory (GiB) at most so far.
    pub processes: u32,
    /// See `processes`.
    pub memory_gib: f64,
    /// The real routers beside them.
    pub real: Option<RealUsage>,
}

/// A fleet of a size, with its real routers.
pub struct ScaleFleet {
    /// The hollow part.
    pub hollow: HollowFleet,
    /// The real routers.
    pub real: RealRouters,
}

impl Size {
    /// So many hollow routers, and engines in proportion.
    pub fn new(routers: u32) -> Size {
        Size { routers }
    }

    /// Starts a fleet of this size and measures it; gives the fleet too.
    ///
    /// # Errors
    /// Where a process can't be had, or a phase does not end in time.
    pub fn measure(self, run: &Run) -> Result<(Measured, ScaleFleet), ScaleError> {
        let real_routers = REAL_ROUTERS[usize::from(run.quick)];
        let plan = self.plan(run, real_routers);
        let hollow = HollowFleet::start(plan)?;
        let real = RealRouters::new(run, self.routers, real_routers)?;
        let mut fleet = ScaleFleet { hollow, real };
        let mut measured = Measured { routers: self.routers, ..Measured::default() };
        measured.empty(&fleet);
        measured.start(&mut fleet)?;
        measured.quiet(&mut fleet, QUIET[usize::from(run.quick)])?;
        measured.changes(&mut fleet, CHANGES[usize::from(run.quick)])?;
        measured.sum_up();
        measured.real = Some(fleet.real.usage());
        measured.note_memory(&fleet);
        Ok((measured, fleet))
    }

    fn plan(self, run: &Run, real_routers: u32) -> FleetPlan {
        FleetPlan {
            program: run.lab.clone(),
            routers: self.routers,
            real_routers,
            engines: engines_before(self.routers),
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

/// Hosts of hollow routers: one a core, within bounds (count).
pub fn hosts() -> u32 {
    std::thread::available_parallelism().map_or(4, |n| n.get() as u32).clamp(2, 8)
}

/// The module's settings of a fleet with so many routers.
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
    in_zones(settings(&site)).to_string()
}

impl Measured {
    /// The hosts' own loops, with no router in them.
    fn empty(&mut self, fleet: &ScaleFleet) {
        let (began, before) = (Instant::now(), fleet.hollow.hosts_usage().processor_ns);
        std::thread::sleep(EMPTY);
        let spent_s = (fleet.hollow.hosts_usage().processor_ns - before) as f64 / 1e9;
        self.empty_hosts_core_share = spent_s / began.elapsed().as_secs_f64();
    }

    /// All routers at once, cold.
    fn start(&mut self, fleet: &mut ScaleFleet) -> Result<(), ScaleError> {
        let empty_kb = fleet.hollow.hosts_usage().resident_kb;
        let numbers: Vec<u32> = (0..self.routers).collect();
        let list = fleet.hollow.counters()?.list;
        let (began, used) = (Instant::now(), fleet.hollow.hosts_usage().processor_ns);
        fleet.hollow.start_routers(&numbers)?;
        fleet.real.start(&fleet.hollow)?;
        let limit = Duration::from_secs(START_LIMIT_S);
        let reached = fleet.hollow.await_list(&list, limit)?;
        reached.ok_or(self.late("all know the list after a start", START_LIMIT_S))?;
        self.start_all_s = began.elapsed().as_secs_f64();
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
        fleet.real.await_list(list.whole.engines, &fleet.hollow)?;
        Ok(())
    }

    /// Nothing happens but the service's comments: from one of them to another, so that none is counted by half.
    fn quiet(&mut self, fleet: &mut ScaleFleet, time: Duration) -> Result<(), ScaleError> {
        await_comment(&mut fleet.hollow)?;
        let (began, before) = (Instant::now(), self.spent(fleet)?);
        fleet.real.measure_quiet(time.saturating_sub(COMMENT_MARGIN));
        await_comment(&mut fleet.hollow)?;
        let (passed_s, after) = (began.elapsed().as_secs_f64(), self.spent(fleet)?);
        let empty_share = self.empty_hosts_core_share / f64::from(self.routers);
        let share = (after.0 - before.0) / passed_s;
        self.quiet_hosts_core_share = share * f64::from(self.routers);
        self.quiet_core_share = (share - empty_share).max(0.0);
        self.quiet_bytes_per_s = (after.1 - before.1) / passed_s;
        Ok(())
    }

    /// Changes one after the other, each awaited everywhere; what they cost is what goes beyond quiet time.
    fn changes(&mut self, fleet: &mut ScaleFleet, changes: u32) -> Result<(), ScaleError> {
        let (began, before) = (Instant::now(), self.spent(fleet)?);
        let mut delays = Vec::new();
        let engines = engines_before(self.routers);
        for change in 0..changes {
            let engine = vec![change / 2 * 7_919 % engines];
            let told = match change % 2 {
                0 => fleet.hollow.change(engine, ListedState::Terminating)?,
                _ => fleet.hollow.replace(engine)?,
            };
            let reached = fleet.hollow.await_list(&told.list, Duration::from_secs(CHANGE_LIMIT_S))?;
            let reached = reached.ok_or(self.late("a change is everywhere", CHANGE_LIMIT_S))?;
            delays.extend(reached.iter().map(|(_, at)| at.saturating_sub(told.at_ns) as f64 / 1e9));
        }
        let (passed_s, after) = (began.elapsed().as_secs_f64(), self.spent(fleet)?);
        let beyond = |spent: f64, quiet: f64| (spent - quiet * passed_s).max(0.0) / f64::from(changes);
        self.change_processor_us = beyond(
            after.0 - before.0,
            self.quiet_core_share + self.empty_hosts_core_share / f64::from(self.routers),
        ) * 1e6;
        self.change_bytes = beyond(after.1 - before.1, self.quiet_bytes_per_s);
        (self.change_everywhere_p50_s, self.change_everywhere_worst_s) = median_and_worst(&mut delays);
        Ok(())
    }

    /// Processor time (s) and bytes of a router so far.
    fn spent(&self, fleet: &mut ScaleFleet) -> Result<(f64, f64), ScaleError> {
        let routers = f64::from(self.routers);
        let processor_s = fleet.hollow.hosts_usage().processor_ns as f64 / 1e9;
        let written = fleet.hollow.counters()?.written;
        let bytes = written[..self.routers as usize].iter().sum::<u64>() as f64;
        Ok((processor_s / routers, bytes / routers))
    }

    fn sum_up(&mut self) {
        let engines = self.engines as f64;
        self.changes_per_s = MACHINES_A_DAY * EVENTS_A_MACHINE / DAY_S * engines / ENGINES;
        self.control_core_share = self.quiet_core_share + self.change_processor_us / 1e6 * self.changes_per_s;
        self.control_bytes_per_s = self.quiet_bytes_per_s + self.change_bytes * self.changes_per_s;
    }

    /// Notes how many processes there are and what they held at most.
    pub fn note_memory(&mut self, fleet: &ScaleFleet) {
        let real = fleet.real.peak_kb();
        let hollow = fleet.hollow.hosts_usage().peak_kb + fleet.hollow.service_usage().peak_kb;
        self.processes = (fleet.hollow.processes() + fleet.real.count()) as u32 + 1;
        self.memory_gib = self.memory_gib.max((real + hollow) as f64 / f64::from(1 << 20));
    }

    fn late(&self, what: &'static str, seconds: u64) -> ScaleError {
        ScaleError::Late { routers: self.routers, what, seconds }
    }
}

/// Waits until the service has written its next comment to all.
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

/// Largest difference between what the service wrote to a router and what that read (share).
fn disagreement(written: &[u64], reports: &[RouterReport]) -> f64 {
    let read: BTreeMap<u32, u64> =
        reports.iter().map(|report| (report.number, report.received_bytes)).collect();
    let share = |(number, written): (usize, &u64)| {
        let read = read.get(&(number as u32)).copied().unwrap_or(0);
        written.abs_diff(read) as f64 / (*written).max(1) as f64
    };
    written.iter().enumerate().map(share).fold(0.0, f64::max)
}

/// The median and the largest; nothing of nothing.
pub fn median_and_worst(values: &mut [f64]) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let median = values.get(values.len() / 2).copied().unwrap_or(0.0);
    (median, values.last().copied().unwrap_or(0.0))
}
