//! Measures list distribution by cells: relays read the full list, and each router receives the
//! part of its cell from them in signed datagrams.
//!
//! Bytes are counted on both sides: by the relays on send, by the routers on receipt.

use std::time::{Duration, Instant};

use marljunction_testkit::hollow::engine_table::ZONES;
use marljunction_testkit::hollow::fleet::{CellsPlan, FleetPlan, HollowFleet};
use marljunction_testkit::hollow::fleet_member::REGIONS;
use marljunction_testkit::hollow::key_files::KeyFiles;
use marljunction_testkit::hollow::protocol::{
    ExpectedLists, FleetSetup, ListedState, RouterReport, ServiceCommand,
};
use serde::Serialize;

use super::size::{hosts, median_and_worst, module_settings, CALLS_PER_S, CONCURRENT_SNAPSHOTS};
use super::{engines_for, Run, ScaleError};

/// Cells per zone at the design size, which has 120 engines and 13 routers per cell.
const CELLS: u32 = 10;
/// Relays and routers of the design fleet.
const RELAYS: u32 = 39;
const ROUTERS: u32 = 3_200;
/// Number of hosts of relays.
const RELAY_HOSTS: u32 = 2;
/// Interval between a router's requests (ns), as by default in the operator's configuration file.
const REQUEST_INTERVAL_NS: u64 = 1_000_000_000;
/// Measured quiet time, and number of published changes (full, quick).
const QUIET_TIME: [Duration; 2] = [Duration::from_secs(10), Duration::from_millis(1_500)];
const CHANGES: [u32; 2] = [20, 6];
/// Timeout until all routers have their parts (s).
const TIMEOUT_S: u64 = 60;
/// Duration of a region's partition and of the list service's outage (full, quick).
const PARTITION_TIME: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(3)];
const OUTAGE_TIME: [Duration; 2] = [Duration::from_secs(6), Duration::from_millis(1_500)];

/// Measurements, per router unless stated otherwise.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CellsMeasured {
    /// Number of routers.
    pub routers: u32,
    /// Number of relays.
    pub relays: u32,
    /// Cells per zone.
    pub cells: u32,
    /// Number of engines on the list.
    pub engines: u64,
    /// Mean number of engines of a part.
    pub part_engines: f64,
    /// Largest number of engines of a part.
    #[serde(rename = "part_engines_most")]
    pub max_part_engines: u64,
    /// Time from a router's start until it has its part, with relays started at the same time (s):
    /// median.
    pub list_learned_p50_s: f64,
    /// The same: maximum.
    pub list_learned_worst_s: f64,
    /// Bytes received by a router until it has its part: mean.
    pub list_bytes: f64,
    /// The same: maximum.
    #[serde(rename = "list_bytes_most")]
    pub max_list_bytes: u64,
    /// Bytes received by a router until all have their parts, including responses without changes:
    /// mean.
    pub start_bytes: f64,
    /// The same: maximum.
    #[serde(rename = "start_bytes_most")]
    pub max_start_bytes: u64,
    /// Share of the bytes sent by relays that routers did not receive.
    pub bytes_lost: f64,
    /// Processor time until all routers have their parts (ms).
    pub start_processor_ms: f64,
    /// Share of a core in quiet time, including the host's event loop.
    pub quiet_core_share: f64,
    /// Bytes sent and received per second in quiet time.
    pub quiet_bytes_per_s: f64,
    /// Time until a router has a change (s): median over routers and changes.
    pub change_everywhere_p50_s: f64,
    /// The same: maximum.
    pub change_everywhere_worst_s: f64,
    /// Memory (MB), with the part passed to the decision module.
    pub hollow_mb: f64,
    /// Share of a core used by a relay in quiet time.
    pub relay_quiet_core_share: f64,
    /// Memory of a relay (MB).
    pub relay_mb: f64,
    /// Time until all running routers have their parts after a zone was stopped (s).
    pub zone_gone_s: f64,
    /// The same after the zone was started again (s).
    pub zone_back_s: f64,
    /// The same after the partition of a region ended (s).
    pub region_cut_s: f64,
    /// The same after a tenth of the routers was restarted (s).
    pub restart_a_tenth_s: f64,
    /// Maximum number of bytes received by a restarted router.
    #[serde(rename = "restart_bytes_most")]
    pub max_restart_bytes: u64,
    /// The same after an outage of the list service ended (s).
    pub list_service_away_s: f64,
    /// The same after a third of the relays was stopped and a change was published (s).
    pub relays_gone_s: f64,
    /// Number of processes.
    pub processes: u32,
    /// Peak memory of all processes (GiB).
    pub memory_gib: f64,
}

/// Measures a fleet with a proportional number of relays.
///
/// # Errors
/// If a process fails or routers do not receive their parts in time.
pub fn measure(run: &Run, routers: u32) -> Result<CellsMeasured, ScaleError> {
    let keys = KeyFiles::new(&format!("cells-{routers}"))?;
    let relays = (RELAYS * routers).div_ceil(ROUTERS).max(3);
    let mut fleet = HollowFleet::start(plan(run, routers, relays, &keys))?;
    let mut measured = CellsMeasured { routers, relays, cells: CELLS, ..CellsMeasured::default() };
    let quick = usize::from(run.quick);
    measured.start(&mut fleet)?;
    measured.quiet(&mut fleet, QUIET_TIME[quick])?;
    measured.changes(&mut fleet, CHANGES[quick])?;
    measured.zone(&mut fleet)?;
    measured.region(&mut fleet, &keys, PARTITION_TIME[quick])?;
    measured.restart(&mut fleet)?;
    measured.service(&mut fleet, OUTAGE_TIME[quick])?;
    measured.stop_relays(&mut fleet)?;
    let kb = fleet.hosts_usage().peak_kb + fleet.relays_usage().peak_kb + fleet.service_usage().peak_kb;
    measured.memory_gib = kb as f64 / f64::from(1 << 20);
    measured.processes = fleet.processes() as u32 + 1;
    Ok(measured)
}

fn plan(run: &Run, routers: u32, relays: u32, keys: &KeyFiles) -> FleetPlan {
    let fleet =
        FleetSetup { keys: keys.path().to_owned(), seeds: Vec::new(), limit_per_s: None, health: false };
    FleetPlan {
        program: run.lab.clone(),
        routers,
        real_routers: 0,
        engines: engines_for(routers),
        hosts: hosts(),
        calls_per_s: CALLS_PER_S,
        concurrent_snapshots: CONCURRENT_SNAPSHOTS,
        settings: module_settings(routers),
        module: true,
        list: false,
        cells: Some(CellsPlan {
            cells: CELLS,
            relays,
            hosts: RELAY_HOSTS,
            request_interval_ns: REQUEST_INTERVAL_NS,
        }),
        fleet: Some(fleet),
        seed: run.seed,
    }
}

impl CellsMeasured {
    /// Starts all relays and routers at once.
    fn start(&mut self, fleet: &mut HollowFleet) -> Result<(), ScaleError> {
        let list = fleet.counters()?.list;
        let empty_kb = (fleet.hosts_usage().resident_kb, fleet.relays_usage().resident_kb);
        let before_ns = fleet.hosts_usage().processor_ns;
        fleet.start_relays()?;
        fleet.start_routers(&(0..self.routers).collect::<Vec<_>>())?;
        self.await_parts(fleet, &list, "all routers have their parts after a start")?;
        let spent_ms = (fleet.hosts_usage().processor_ns - before_ns) as f64 / 1e6;
        self.start_processor_ms = spent_ms / f64::from(self.routers);
        let reports = fleet.reports()?;
        let (routers, relays) = reports.split_at(self.routers as usize);
        self.engines = list.full_list.engines;
        self.part_engines = mean(routers, |report| report.digest.engines);
        self.max_part_engines = max_of(routers, |report| report.digest.engines);
        self.list_bytes = mean(routers, |report| report.fleet_learned_bytes);
        self.max_list_bytes = max_of(routers, |report| report.fleet_learned_bytes);
        self.start_bytes = mean(routers, |report| report.fleet_received_bytes);
        self.max_start_bytes = max_of(routers, |report| report.fleet_received_bytes);
        let sent = relays.iter().map(|report| report.fleet_bytes).sum::<u64>() as f64;
        self.bytes_lost = 1.0 - self.start_bytes * f64::from(self.routers) / sent.max(1.0);
        let learned = |r: &RouterReport| Some(r.learned_ns?.saturating_sub(r.started_ns) as f64 / 1e9);
        let mut learned: Vec<f64> = routers.iter().filter_map(learned).collect();
        (self.list_learned_p50_s, self.list_learned_worst_s) = median_and_worst(&mut learned);
        let megabytes =
            |kb: u64, empty: u64, count: u32| kb.saturating_sub(empty) as f64 / 1024.0 / f64::from(count);
        self.hollow_mb = megabytes(fleet.hosts_usage().resident_kb, empty_kb.0, self.routers);
        self.relay_mb = megabytes(fleet.relays_usage().resident_kb, empty_kb.1, self.relays);
        Ok(())
    }

    fn quiet(&mut self, fleet: &mut HollowFleet, time: Duration) -> Result<(), ScaleError> {
        let (started, before) = (Instant::now(), self.spent(fleet)?);
        std::thread::sleep(time);
        let (elapsed_s, after) = (started.elapsed().as_secs_f64(), self.spent(fleet)?);
        self.quiet_core_share = (after.0 - before.0) / elapsed_s;
        self.quiet_bytes_per_s = (after.1 - before.1) / elapsed_s;
        self.relay_quiet_core_share = (after.2 - before.2) / elapsed_s;
        Ok(())
    }

    /// Means so far: processor time (s) and bytes sent and received of a router, and processor time
    /// of a relay (s).
    fn spent(&self, fleet: &mut HollowFleet) -> Result<(f64, f64, f64), ScaleError> {
        let reports = fleet.reports()?;
        let bytes = mean(&reports[..self.routers as usize], |r| r.fleet_bytes + r.fleet_received_bytes);
        let processor_s = fleet.hosts_usage().processor_ns as f64 / 1e9 / f64::from(self.routers);
        let relay_s = fleet.relays_usage().processor_ns as f64 / 1e9 / f64::from(self.relays);
        Ok((processor_s, bytes, relay_s))
    }

    fn changes(&mut self, fleet: &mut HollowFleet, changes: u32) -> Result<(), ScaleError> {
        let engines = engines_for(self.routers);
        let mut delays = Vec::new();
        for change in 0..changes {
            let engine = vec![change / 2 * 7_919 % engines];
            let sent_change = match change % 2 {
                0 => fleet.change(engine, ListedState::Terminating)?,
                _ => fleet.replace(engine)?,
            };
            let reached = self.await_parts(fleet, &sent_change.list, "all routers have a change")?;
            // Routers of other cells already had their parts and do not count.
            let delayed =
                reached.iter().filter(|(number, at)| *number < self.routers && *at >= sent_change.sent_ns);
            delays.extend(delayed.map(|(_, at)| (at - sent_change.sent_ns) as f64 / 1e9));
        }
        (self.change_everywhere_p50_s, self.change_everywhere_worst_s) = median_and_worst(&mut delays);
        Ok(())
    }

    fn zone(&mut self, fleet: &mut HollowFleet) -> Result<(), ScaleError> {
        let routers = every_nth(ZONES, self.routers, 3);
        let engines = every_nth(ZONES, engines_for(self.routers), 3);
        let since = Instant::now();
        fleet.stop_routers(&routers)?;
        let sent_change = fleet.change(engines.clone(), ListedState::Terminated)?;
        self.await_parts(fleet, &sent_change.list, "all routers have their parts after a zone was stopped")?;
        self.zone_gone_s = since.elapsed().as_secs_f64();
        let since = Instant::now();
        fleet.start_routers(&routers)?;
        let sent_change = fleet.replace(engines)?;
        self.await_parts(fleet, &sent_change.list, "all routers have their parts after a zone was started")?;
        self.zone_back_s = since.elapsed().as_secs_f64();
        Ok(())
    }

    /// Partitions a region from the other regions and the list service while engines change.
    fn region(
        &mut self,
        fleet: &mut HollowFleet,
        keys: &KeyFiles,
        partition_time: Duration,
    ) -> Result<(), ScaleError> {
        const REGION: u32 = 1;
        let region: Vec<u32> =
            fleet.running().iter().copied().filter(|number| number % REGIONS == REGION).collect();
        keys.set_partitioned(REGION, true)?;
        fleet.reload_keys(&region)?;
        fleet.inject_fault(&ServiceCommand::Partition { routers: region.clone(), partitioned: true })?;
        let list = self.replace_some_engines(fleet)?;
        std::thread::sleep(partition_time);
        keys.set_partitioned(REGION, false)?;
        fleet.reload_keys(&region)?;
        fleet.inject_fault(&ServiceCommand::Partition { routers: region, partitioned: false })?;
        let since = Instant::now();
        self.await_parts(fleet, &list, "all routers have their parts after a partition")?;
        self.region_cut_s = since.elapsed().as_secs_f64();
        Ok(())
    }

    fn restart(&mut self, fleet: &mut HollowFleet) -> Result<(), ScaleError> {
        let restarted = every_nth(10, self.routers, 0);
        let list = fleet.counters()?.list;
        let since = Instant::now();
        fleet.start_routers(&restarted)?;
        self.await_parts(fleet, &list, "all routers have their parts after a tenth was restarted")?;
        self.restart_a_tenth_s = since.elapsed().as_secs_f64();
        let reports = fleet.reports()?;
        let of_them = reports.iter().filter(|report| restarted.contains(&report.number));
        self.max_restart_bytes = of_them.map(|report| report.fleet_received_bytes).max().unwrap_or(0);
        Ok(())
    }

    fn service(&mut self, fleet: &mut HollowFleet, outage_time: Duration) -> Result<(), ScaleError> {
        fleet.inject_fault(&ServiceCommand::SetUnavailable(true))?;
        let list = self.replace_some_engines(fleet)?;
        std::thread::sleep(outage_time);
        fleet.inject_fault(&ServiceCommand::SetUnavailable(false))?;
        let since = Instant::now();
        self.await_parts(fleet, &list, "all routers have their parts after an outage of the list service")?;
        self.list_service_away_s = since.elapsed().as_secs_f64();
        Ok(())
    }

    fn stop_relays(&mut self, fleet: &mut HollowFleet) -> Result<(), ScaleError> {
        let stopped: Vec<u32> = fleet.plan().relays().into_iter().step_by(3).collect();
        let since = Instant::now();
        fleet.stop_routers(&stopped)?;
        let list = self.replace_some_engines(fleet)?;
        self.await_parts(fleet, &list, "all routers have their parts after relays were stopped")?;
        self.relays_gone_s = since.elapsed().as_secs_f64();
        Ok(())
    }

    fn replace_some_engines(&self, fleet: &mut HollowFleet) -> Result<ExpectedLists, ScaleError> {
        let engines = engines_for(self.routers);
        let some = (0..ZONES).map(|change| change * 104_729 % engines).collect();
        Ok(fleet.replace(some)?.list)
    }

    fn await_parts(
        &self,
        fleet: &mut HollowFleet,
        list: &ExpectedLists,
        what: &'static str,
    ) -> Result<Vec<(u32, u64)>, ScaleError> {
        let timeout = ScaleError::Timeout { routers: self.routers, what, seconds: TIMEOUT_S };
        fleet.await_list(list, Duration::from_secs(TIMEOUT_S))?.ok_or(timeout)
    }
}

fn every_nth(count: u32, all: u32, of: u32) -> Vec<u32> {
    (0..all).filter(|number| number % count == of).collect()
}

fn mean(reports: &[RouterReport], of: impl Fn(&RouterReport) -> u64) -> f64 {
    reports.iter().map(of).sum::<u64>() as f64 / reports.len().max(1) as f64
}

fn max_of(reports: &[RouterReport], of: impl Fn(&RouterReport) -> u64) -> u64 {
    reports.iter().map(of).max().unwrap_or(0)
}
