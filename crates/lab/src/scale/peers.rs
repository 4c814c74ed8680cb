//! What routers say to each other, by the size of the fleet: membership, limits and engines' health over real datagrams.
//!
//! The list is left out, so that each cost is its own. A size at which not all know all in time is told with the fewest peers that a
//! router knew; its figures are of a fleet that still joins.

use std::path::Path;
use std::time::{Duration, Instant};

use marljunction_testkit::hollow::fleet::{FleetPlan, HollowFleet};
use marljunction_testkit::hollow::fleet_member::REGIONS;
use marljunction_testkit::hollow::key_files::KeyFiles;
use marljunction_testkit::hollow::protocol::FleetSetup;
use serde::Serialize;

use super::size::{hosts, module_settings};
use super::{Run, ScaleError};

/// Units a second of the one limit.
const LIMIT_PER_S: f64 = 50_000.0;
/// Quiet time that is measured (full, quick).
const QUIET_TIME: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(2)];
/// Time between the join and quiet time (full, quick).
const SETTLE_TIME: [Duration; 2] = [Duration::from_secs(8), Duration::from_secs(3)];
/// Longest time for all to know all (full, quick; s).
const JOIN_TIMEOUT_S: [u64; 2] = [45, 15];
/// How long a region is cut off: longer than peers are suspected.
const PARTITION_TIME: Duration = Duration::from_secs(6);

/// What was measured at a size, of one router where nothing else is said.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PeersMeasured {
    /// Hollow routers (count).
    pub routers: u32,
    /// Time until each knew all others (s); none where that was not so in time.
    pub join_s: Option<f64>,
    /// Fewest peers that a router knew at the end of the join (count).
    #[serde(rename = "fewest_peers")]
    pub min_peers: u32,
    /// Bytes sent in the join: mean.
    pub join_bytes: f64,
    /// Processor time of the join (ms).
    pub join_processor_ms: f64,
    /// Share of a core in quiet time; 0 where that was not measured.
    pub quiet_core_share: f64,
    /// Bytes sent a second in quiet time: mean; 0 where that was not measured.
    pub quiet_bytes_per_s: f64,
    /// Memory (MB).
    pub hollow_mb: f64,
    /// Time until all knew who was there after a zone was gone, a region was back and a tenth was restarted (s); none where that
    /// was not measured or not so in time.
    pub zone_gone_s: Option<f64>,
    /// See `zone_gone_s`.
    pub region_back_s: Option<f64>,
    /// See `zone_gone_s`.
    pub restart_a_tenth_s: Option<f64>,
    /// Memory of all processes (GiB).
    pub memory_gib: f64,
}

/// Measures a fleet of a size. A quick run measures quiet time at its largest size only, and no faults.
///
/// # Errors
/// Where a process can't be had or has ended.
pub fn measure(run: &Run, routers: u32, largest: bool) -> Result<PeersMeasured, ScaleError> {
    let keys = KeyFiles::new(&format!("peers-{routers}"))?;
    let mut fleet = HollowFleet::start(plan(run, routers, keys.path()))?;
    let mut measured = PeersMeasured { routers, ..PeersMeasured::default() };
    let limit = Duration::from_secs(JOIN_TIMEOUT_S[usize::from(run.quick)]);
    measured.join(&mut fleet, limit)?;
    // What was learned in a join is told on for a while.
    if largest || !run.quick {
        std::thread::sleep(SETTLE_TIME[usize::from(run.quick)]);
        measured.quiet(&mut fleet, QUIET_TIME[usize::from(run.quick)])?;
    }
    if largest && !run.quick && measured.join_s.is_some() {
        measured.faults(&mut fleet, &keys, limit)?;
    }
    let kb = fleet.hosts_usage().peak_kb + fleet.service_usage().peak_kb;
    measured.memory_gib = kb as f64 / f64::from(1 << 20);
    Ok(measured)
}

fn plan(run: &Run, routers: u32, keys: &Path) -> FleetPlan {
    let fleet =
        FleetSetup { keys: keys.to_owned(), seeds: Vec::new(), limit_per_s: Some(LIMIT_PER_S), health: true };
    FleetPlan {
        program: run.lab.clone(),
        routers,
        real_routers: 0,
        engines: 0,
        hosts: hosts(),
        calls_per_s: 1_000.0,
        concurrent_snapshots: 1,
        settings: module_settings(routers),
        module: false,
        list: false,
        cells: None,
        fleet: Some(fleet),
        seed: run.seed,
    }
}

impl PeersMeasured {
    fn join(&mut self, fleet: &mut HollowFleet, limit: Duration) -> Result<(), ScaleError> {
        let empty_kb = fleet.hosts_usage().resident_kb;
        let (started, before) = (Instant::now(), self.spent(fleet)?);
        fleet.start_seeds()?;
        let others: Vec<u32> = (0..self.routers).filter(|number| !fleet.running().contains(number)).collect();
        fleet.start_routers(&others)?;
        let joined = fleet.await_peers(self.routers - 1, limit)?;
        self.join_s = joined.map(|_| started.elapsed().as_secs_f64());
        let after = self.spent(fleet)?;
        self.join_processor_ms = (after.0 - before.0) * 1e3;
        self.join_bytes = after.1;
        let peers = fleet.reports()?.into_iter().map(|report| report.peers);
        self.min_peers = peers.min().unwrap_or(0);
        let kb = fleet.hosts_usage().resident_kb.saturating_sub(empty_kb);
        self.hollow_mb = kb as f64 / 1024.0 / f64::from(self.routers);
        Ok(())
    }

    fn quiet(&mut self, fleet: &mut HollowFleet, time: Duration) -> Result<(), ScaleError> {
        let (started, before) = (Instant::now(), self.spent(fleet)?);
        std::thread::sleep(time);
        let (elapsed_s, after) = (started.elapsed().as_secs_f64(), self.spent(fleet)?);
        self.quiet_core_share = (after.0 - before.0) / elapsed_s;
        self.quiet_bytes_per_s = (after.1 - before.1) / elapsed_s;
        Ok(())
    }

    /// Processor time (s) and bytes sent of a router so far.
    fn spent(&self, fleet: &mut HollowFleet) -> Result<(f64, f64), ScaleError> {
        let routers = f64::from(self.routers);
        let processor_s = fleet.hosts_usage().processor_ns as f64 / 1e9;
        let bytes = fleet.reports()?.iter().map(|report| report.fleet_bytes).sum::<u64>() as f64;
        Ok((processor_s / routers, bytes / routers))
    }

    fn faults(
        &mut self,
        fleet: &mut HollowFleet,
        keys: &KeyFiles,
        limit: Duration,
    ) -> Result<(), ScaleError> {
        let all: Vec<u32> = (0..self.routers).collect();
        let every_nth = |count: u32, of: u32| -> Vec<u32> {
            all.iter().copied().filter(|number| number % count == of).collect()
        };
        let zone = every_nth(25, 4);
        let since = Instant::now();
        fleet.stop_routers(&zone)?;
        let stopped = fleet.await_peers(self.routers - zone.len() as u32 - 1, limit)?;
        self.zone_gone_s = stopped.map(|_| since.elapsed().as_secs_f64());
        fleet.start_routers(&zone)?;
        fleet.await_peers(self.routers - 1, limit)?;

        let region = every_nth(REGIONS, 5);
        keys.set_partitioned(5, true)?;
        fleet.reload_keys(&region)?;
        std::thread::sleep(PARTITION_TIME);
        keys.set_partitioned(5, false)?;
        fleet.reload_keys(&region)?;
        let since = Instant::now();
        let back = fleet.await_peers(self.routers - 1, limit)?;
        self.region_back_s = back.map(|_| since.elapsed().as_secs_f64());

        let since = Instant::now();
        fleet.start_routers(&every_nth(10, 0))?;
        let known = fleet.await_peers(self.routers - 1, limit)?;
        self.restart_a_tenth_s = known.map(|_| since.elapsed().as_secs_f64());
        Ok(())
    }
}
