//! Faults at the largest size: a zone stopped and started again, a partitioned region, a restart of
//! a tenth of the routers, and an outage of the list service.

use std::time::{Duration, Instant};

use marljunction_testkit::hollow::fleet::HollowFleet;
use marljunction_testkit::hollow::protocol::{ExpectedLists, ListedState, ServiceCommand};
use serde::Serialize;

use super::engines_for;
use super::size::{Measured, ScaleFleet};
use super::ScaleError;

/// Number of zones and of regions; routers and engines are distributed over them by number.
const ZONES: u32 = 25;
const REGIONS: u32 = 9;
/// One in this many routers is restarted.
const RESTARTED: u32 = 10;
/// Duration of a region's partition and of the list service's outage (full, quick). In a full run
/// the partition is longer than the stream's silence timeout.
const PARTITION_TIME: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(3)];
const OUTAGE_TIME: [Duration; 2] = [Duration::from_secs(6), Duration::from_millis(1_500)];
/// Number of changes while a part of the fleet can't receive them.
const CHANGES_DURING_FAULT: u32 = 4;
/// Timeout until all routers have the current list (s).
const TIMEOUT_S: u64 = 120;
const MINUTE_S: f64 = 60.0;

/// Cost of a fault.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FaultCost {
    /// Name of the fault.
    pub fault: &'static str,
    /// Number of affected routers.
    #[serde(rename = "struck")]
    pub affected_routers: u32,
    /// Time until all running routers have the current list (s), from the end of an outage or
    /// partition, else from the fault.
    #[serde(rename = "all_know_s")]
    pub converged_s: f64,
    /// Measured time (s).
    #[serde(rename = "watched_s")]
    pub measured_s: f64,
    /// Processor time of an affected router in excess of quiet time (ms).
    pub processor_ms: f64,
    /// Maximum number of bytes written to a router, in excess of quiet time.
    pub bytes: f64,
    /// Share of a core used by an affected router in the minute of the fault.
    pub minute_core_share: f64,
    /// Bytes per second of the router with the most bytes in the minute of the fault.
    pub minute_bytes_per_s: f64,
}

/// Measurement of a fault: the counters at its start.
struct FaultMeasurement {
    started: Instant,
    processor_ns: u64,
    written: Vec<u64>,
}

impl FaultMeasurement {
    fn begin(fleet: &mut HollowFleet) -> Result<FaultMeasurement, ScaleError> {
        let written = fleet.counters()?.written;
        let processor_ns = fleet.hosts_usage().processor_ns;
        Ok(FaultMeasurement { started: Instant::now(), processor_ns, written })
    }

    /// Computes the cost; `since` is the time from which all routers can receive the current list.
    fn end(
        self,
        fleet: &mut HollowFleet,
        largest_measured: &Measured,
        (fault, affected_routers, since): (&'static str, u32, Instant),
    ) -> Result<FaultCost, ScaleError> {
        let converged_s = since.elapsed().as_secs_f64();
        let measured_s = self.started.elapsed().as_secs_f64();
        let spent_s = (fleet.hosts_usage().processor_ns - self.processor_ns) as f64 / 1e9;
        let quiet_share = largest_measured.quiet_core_share * f64::from(largest_measured.routers)
            + largest_measured.empty_hosts_core_share;
        let quiet_s = quiet_share * measured_s;
        let processor_ms = (spent_s - quiet_s).max(0.0) * 1e3 / f64::from(affected_routers);
        let written = fleet.counters()?.written;
        let hollow = written.iter().zip(&self.written).take(largest_measured.routers as usize);
        let largest = hollow.map(|(after, before)| after - before).max().unwrap_or(0) as f64;
        let bytes = (largest - largest_measured.quiet_bytes_per_s * measured_s).max(0.0);
        let minute_s = measured_s.max(MINUTE_S);
        Ok(FaultCost {
            fault,
            affected_routers,
            converged_s,
            measured_s,
            processor_ms,
            bytes,
            minute_core_share: largest_measured.control_core_share + processor_ms / 1e3 / minute_s,
            minute_bytes_per_s: largest_measured.control_bytes_per_s + bytes / minute_s,
        })
    }
}

/// Injects the faults one after the other and returns the cost of each.
///
/// # Errors
/// If a process has exited or routers do not receive the list in time.
pub fn run(
    fleet: &mut ScaleFleet,
    largest_measured: &Measured,
    quick: bool,
) -> Result<Vec<FaultCost>, ScaleError> {
    let hollow = &mut fleet.hollow;
    let mut costs = Vec::new();
    costs.extend(zone(hollow, largest_measured)?);
    costs.push(region(hollow, largest_measured, PARTITION_TIME[usize::from(quick)])?);
    costs.push(restart(hollow, largest_measured)?);
    costs.push(service(hollow, largest_measured, OUTAGE_TIME[usize::from(quick)])?);
    Ok(costs)
}

fn every_nth(count: u32, all: u32, of: u32) -> Vec<u32> {
    (0..all).filter(|number| number % count == of).collect()
}

fn await_all(fleet: &mut HollowFleet, list: &ExpectedLists) -> Result<(), ScaleError> {
    let reached = fleet.await_list(list, Duration::from_secs(TIMEOUT_S))?;
    let routers = fleet.plan().routers;
    let timeout =
        ScaleError::Timeout { routers, what: "all routers have the list after a fault", seconds: TIMEOUT_S };
    reached.map(drop).ok_or(timeout)
}

/// Stops the routers and engines of a zone, then starts them again.
fn zone(fleet: &mut HollowFleet, largest_measured: &Measured) -> Result<[FaultCost; 2], ScaleError> {
    let routers = every_nth(ZONES, largest_measured.routers, 3);
    let engines = every_nth(ZONES, engines_for(largest_measured.routers), 3);
    let measurement = FaultMeasurement::begin(fleet)?;
    fleet.stop_routers(&routers)?;
    let sent_change = fleet.change(engines.clone(), ListedState::Terminated)?;
    let since = Instant::now();
    await_all(fleet, &sent_change.list)?;
    let stopped = measurement.end(
        fleet,
        largest_measured,
        ("zone_gone", largest_measured.routers - routers.len() as u32, since),
    )?;
    let measurement = FaultMeasurement::begin(fleet)?;
    let since = Instant::now();
    fleet.start_routers(&routers)?;
    let sent_change = fleet.replace(engines)?;
    await_all(fleet, &sent_change.list)?;
    let back = measurement.end(fleet, largest_measured, ("zone_back", routers.len() as u32, since))?;
    Ok([stopped, back])
}

/// Partitions a region from the list service while engines change.
fn region(
    fleet: &mut HollowFleet,
    largest_measured: &Measured,
    partition_time: Duration,
) -> Result<FaultCost, ScaleError> {
    let routers = every_nth(REGIONS, largest_measured.routers, 1);
    let measurement = FaultMeasurement::begin(fleet)?;
    fleet.inject_fault(&ServiceCommand::Partition { routers: routers.clone(), partitioned: true })?;
    let list = replace_some_engines(fleet, largest_measured)?;
    std::thread::sleep(partition_time);
    fleet.inject_fault(&ServiceCommand::Partition { routers: routers.clone(), partitioned: false })?;
    let since = Instant::now();
    await_all(fleet, &list)?;
    measurement.end(fleet, largest_measured, ("region_cut", routers.len() as u32, since))
}

/// Restarts a tenth of the routers without any state.
fn restart(fleet: &mut HollowFleet, largest_measured: &Measured) -> Result<FaultCost, ScaleError> {
    let routers = every_nth(RESTARTED, largest_measured.routers, 0);
    let list = fleet.counters()?.list;
    let measurement = FaultMeasurement::begin(fleet)?;
    let since = Instant::now();
    fleet.start_routers(&routers)?;
    await_all(fleet, &list)?;
    measurement.end(fleet, largest_measured, ("restart_a_tenth", routers.len() as u32, since))
}

/// Stops the list service while engines change.
fn service(
    fleet: &mut HollowFleet,
    largest_measured: &Measured,
    outage_time: Duration,
) -> Result<FaultCost, ScaleError> {
    let measurement = FaultMeasurement::begin(fleet)?;
    fleet.inject_fault(&ServiceCommand::SetUnavailable(true))?;
    let list = replace_some_engines(fleet, largest_measured)?;
    std::thread::sleep(outage_time);
    fleet.inject_fault(&ServiceCommand::SetUnavailable(false))?;
    let since = Instant::now();
    await_all(fleet, &list)?;
    measurement.end(fleet, largest_measured, ("list_service_away", largest_measured.routers, since))
}

/// Replaces some engines and returns the expected list.
fn replace_some_engines(
    fleet: &mut HollowFleet,
    largest_measured: &Measured,
) -> Result<ExpectedLists, ScaleError> {
    let engines = engines_for(largest_measured.routers);
    let mut list = ExpectedLists::default();
    for change in 0..CHANGES_DURING_FAULT {
        list = fleet.replace(vec![(change * 104_729 + 17) % engines])?.list;
    }
    Ok(list)
}
