//! The list by cells: relays read the whole list, each router learns its cell's part of them by sealed datagrams.
//!
//! Bytes are counted by both sides: by the relays as they send, by the routers as they take.

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

/// Cells of a zone at the size to design for: 120 engines and 13 routers each (count).
const CELLS: u32 = 10;
/// Relays at the size to design for, and that size (count).
const RELAYS: u32 = 39;
const ROUTERS: u32 = 3_200;
/// Hosts of relays (count).
const RELAY_HOSTS: u32 = 2;
/// Time between a router's asks (ns): what the definitions of the operator's file give by default.
const ASK_NS: u64 = 1_000_000_000;
/// Quiet time that is measured, and changes that are told (full, quick).
const QUIET_TIME: [Duration; 2] = [Duration::from_secs(10), Duration::from_millis(1_500)];
const CHANGES: [u32; 2] = [20, 6];
/// Longest time for all to know their parts (s).
const TIMEOUT_S: u64 = 60;
/// How long a region is cut off, and the list service away (full, quick).
const PARTITION_TIME: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(3)];
const OUTAGE_TIME: [Duration; 2] = [Duration::from_secs(6), Duration::from_millis(1_500)];

/// What was measured, of one router where nothing else is said.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CellsMeasured {
    /// Routers, relays, cells of a zone and engines on the list (count).
    pub routers: u32,
    /// See `routers`.
    pub relays: u32,
    /// See `routers`.
    pub cells: u32,
    /// See `routers`.
    pub engines: u64,
    /// Engines of a part (count): mean and most.
    pub part_engines: f64,
    /// See `part_engines`.
    #[serde(rename = "part_engines_most")]
    pub max_part_engines: u64,
    /// Time from a router's start to its knowing its part, relays started with it (s): median and worst.
    pub list_learned_p50_s: f64,
    /// See `list_learned_p50_s`.
    pub list_learned_worst_s: f64,
    /// Bytes that a router took until it knew its part: mean and most.
    pub list_bytes: f64,
    /// See `list_bytes`.
    #[serde(rename = "list_bytes_most")]
    pub max_list_bytes: u64,
    /// Bytes that a router took until all knew their parts, its asks for what is new included: mean and most.
    pub start_bytes: f64,
    /// See `start_bytes`.
    #[serde(rename = "start_bytes_most")]
    pub max_start_bytes: u64,
    /// Bytes that routers did not take of those that relays sent (share).
    pub bytes_lost: f64,
    /// Processor time of a start (ms).
    pub start_processor_ms: f64,
    /// Share of a core in quiet time, with the part of the host's own loop.
    pub quiet_core_share: f64,
    /// Bytes that a router took and sent a second in quiet time.
    pub quiet_bytes_per_s: f64,
    /// Time until a change was everywhere (s): median over routers and changes, and worst.
    pub change_everywhere_p50_s: f64,
    /// See `change_everywhere_p50_s`.
    pub change_everywhere_worst_s: f64,
    /// Memory of a router (MB), with its part in its module.
    pub hollow_mb: f64,
    /// Share of a core that a relay takes in quiet time, and its memory (MB).
    pub relay_quiet_core_share: f64,
    /// See `relay_quiet_core_share`.
    pub relay_mb: f64,
    /// Time until all routers that are there knew their parts again, by fault (s).
    pub zone_gone_s: f64,
    /// See `zone_gone_s`.
    pub zone_back_s: f64,
    /// See `zone_gone_s`.
    pub region_cut_s: f64,
    /// See `zone_gone_s`.
    pub restart_a_tenth_s: f64,
    /// Most bytes that a router took in the restart.
    #[serde(rename = "restart_bytes_most")]
    pub max_restart_bytes: u64,
    /// See `zone_gone_s`.
    pub list_service_away_s: f64,
    /// See `zone_gone_s`: a third of the relays is gone, and a change is told at that moment.
    pub relays_gone_s: f64,
    /// Processes, and their memory (GiB).
    pub processes: u32,
    /// See `processes`.
    pub memory_gib: f64,
}

/// Measures a fleet of so many routers; relays in proportion.
///
/// # Errors
/// Where a process can't be had, or routers do not come to know their parts in time.
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
        cells: Some(CellsPlan { cells: CELLS, relays, hosts: RELAY_HOSTS, ask_ns: ASK_NS }),
        fleet: Some(fleet),
        seed: run.seed,
    }
}

impl CellsMeasured {
    /// Relays and routers at once, cold.
    fn start(&mut self, fleet: &mut HollowFleet) -> Result<(), ScaleError> {
        let list = fleet.counters()?.list;
        let empty_kb = (fleet.hosts_usage().resident_kb, fleet.relays_usage().resident_kb);
        let before_ns = fleet.hosts_usage().processor_ns;
        fleet.start_relays()?;
        fleet.start_routers(&(0..self.routers).collect::<Vec<_>>())?;
        self.await_parts(fleet, &list, "all know their parts after a start")?;
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

    /// Processor time (s) and bytes, taken and sent, of a router; processor time of a relay (s).
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
            let reached = self.await_parts(fleet, &sent_change.list, "a change is everywhere")?;
            // A router of another cell knew its part before; only those that had to learn count.
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
        self.await_parts(fleet, &sent_change.list, "all know their parts after a zone was gone")?;
        self.zone_gone_s = since.elapsed().as_secs_f64();
        let since = Instant::now();
        fleet.start_routers(&routers)?;
        let sent_change = fleet.replace(engines)?;
        self.await_parts(fleet, &sent_change.list, "all know their parts after a zone was back")?;
        self.zone_back_s = since.elapsed().as_secs_f64();
        Ok(())
    }

    /// A region hears no other and not the list service for a while, in which engines change.
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
        self.await_parts(fleet, &list, "all know their parts after a region was back")?;
        self.region_cut_s = since.elapsed().as_secs_f64();
        Ok(())
    }

    fn restart(&mut self, fleet: &mut HollowFleet) -> Result<(), ScaleError> {
        let restarted = every_nth(10, self.routers, 0);
        let list = fleet.counters()?.list;
        let since = Instant::now();
        fleet.start_routers(&restarted)?;
        self.await_parts(fleet, &list, "all know their parts after a tenth was restarted")?;
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
        self.await_parts(fleet, &list, "all know their parts after the list service was back")?;
        self.list_service_away_s = since.elapsed().as_secs_f64();
        Ok(())
    }

    fn stop_relays(&mut self, fleet: &mut HollowFleet) -> Result<(), ScaleError> {
        let stopped: Vec<u32> = fleet.plan().relays().into_iter().step_by(3).collect();
        let since = Instant::now();
        fleet.stop_routers(&stopped)?;
        let list = self.replace_some_engines(fleet)?;
        self.await_parts(fleet, &list, "all know their parts after relays were gone")?;
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
