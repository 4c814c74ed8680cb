//! Measures communication between routers by fleet size: membership, limits and engine health over
//! real datagrams, without an engine list.
//!
//! If the join does not complete in time, the smallest number of known peers is reported, and the
//! figures are those of a fleet that is still joining.

use std::path::Path;
use std::time::{Duration, Instant};

use marljunction_testkit::hollow::fleet::{FleetPlan, HollowFleet};
use marljunction_testkit::hollow::fleet_member::REGIONS;
use marljunction_testkit::hollow::key_files::KeyFiles;
use marljunction_testkit::hollow::protocol::FleetSetup;
use serde::Serialize;

use super::size::{hosts, module_settings};
use super::{Run, ScaleError};

/// Rate of the shared limit (units per second).
const LIMIT_PER_S: f64 = 50_000.0;
/// Measured quiet time (full, quick).
const QUIET_TIME: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(2)];
/// Time between the join and the measured quiet time (full, quick).
const SETTLE_TIME: [Duration; 2] = [Duration::from_secs(8), Duration::from_secs(3)];
/// Timeout of the join (full, quick; s).
const JOIN_TIMEOUT_S: [u64; 2] = [45, 15];
/// Duration of a region's partition: longer than the suspicion timeout of peers.
const PARTITION_TIME: Duration = Duration::from_secs(6);

/// Measurements at a size, per router unless stated otherwise.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PeersMeasured {
    /// Number of hollow routers.
    pub routers: u32,
    /// Time until every router knows all others (s); none if the join timed out.
    pub join_s: Option<f64>,
    /// Smallest number of peers that a router knows at the end of the join.
    #[serde(rename = "fewest_peers")]
    pub min_peers: u32,
    /// Mean number of bytes sent in the join.
    pub join_bytes: f64,
    /// Processor time of the join (ms).
    pub join_processor_ms: f64,
    /// Share of a core in quiet time; 0 if not measured.
    pub quiet_core_share: f64,
    /// Mean number of bytes sent per second in quiet time; 0 if not measured.
    pub quiet_bytes_per_s: f64,
    /// Memory (MB).
    pub hollow_mb: f64,
    /// Time until every running router knows all others after a zone was stopped (s); none if not
    /// measured or timed out.
    pub zone_gone_s: Option<f64>,
    /// The same after the partition of a region ended (s).
    pub region_back_s: Option<f64>,
    /// The same after a tenth of the routers was restarted (s).
    pub restart_a_tenth_s: Option<f64>,
    /// Peak memory of all processes (GiB).
    pub memory_gib: f64,
}

/// Measures a fleet of a size. A quick run measures quiet time at its largest size only, and no
/// faults.
///
/// # Errors
/// If a process can't be started or has exited.
pub fn measure(run: &Run, routers: u32, largest: bool) -> Result<PeersMeasured, ScaleError> {
    let keys = KeyFiles::new(&format!("peers-{routers}"))?;
    let mut fleet = HollowFleet::start(plan(run, routers, keys.path()))?;
    let mut measured = PeersMeasured { routers, ..PeersMeasured::default() };
    let limit = Duration::from_secs(JOIN_TIMEOUT_S[usize::from(run.quick)]);
    measured.join(&mut fleet, limit)?;
    // Gossip about the join continues for a while.
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

    /// Means so far: processor time (s) and bytes sent of a router.
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
