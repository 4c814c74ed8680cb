//! Faults at the largest size: a zone gone and back, a region cut off and back, a tenth restarted, the list service away.

use std::time::{Duration, Instant};

use marljunction_testkit::hollow::fleet::HollowFleet;
use marljunction_testkit::hollow::protocol::{ExpectedLists, ListedState, ServiceCommand};
use serde::Serialize;

use super::engines_for;
use super::size::{Measured, ScaleFleet};
use super::ScaleError;

/// Zones and regions of the fleet: one in so many routers and engines is in each (count).
const ZONES: u32 = 25;
const REGIONS: u32 = 9;
/// One in so many routers is restarted.
const RESTARTED: u32 = 10;
/// How long a region is cut off: longer than a silent stream is believed; and the list service
/// away (full, quick).
const PARTITION_TIME: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(3)];
const OUTAGE_TIME: [Duration; 2] = [Duration::from_secs(6), Duration::from_millis(1_500)];
/// Changes while a part of the fleet can't hear them (count).
const CHANGES_DURING_FAULT: u32 = 4;
/// Longest time for all to know the right list again (s).
const TIMEOUT_S: u64 = 120;
/// A minute (s).
const MINUTE_S: f64 = 60.0;

/// What one fault cost.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FaultCost {
    /// The fault.
    pub fault: &'static str,
    /// Routers that it struck (count).
    #[serde(rename = "struck")]
    pub affected_routers: u32,
    /// Time from its end, or from its moment, until all routers that are there knew the right list (s).
    #[serde(rename = "all_know_s")]
    pub converged_s: f64,
    /// Time that was watched (s).
    #[serde(rename = "watched_s")]
    pub measured_s: f64,
    /// Processor time of a router that it struck, beyond quiet time (ms).
    pub processor_ms: f64,
    /// Most bytes that one router took, beyond quiet time.
    pub bytes: f64,
    /// Share of a core, and bytes a second, of a struck router in the minute of the fault.
    pub minute_core_share: f64,
    /// See `minute_core_share`.
    pub minute_bytes_per_s: f64,
}

/// One fault that is watched.
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

    /// What it cost; `since` is when all could begin to know better.
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

/// The faults one after the other; gives what each cost.
///
/// # Errors
/// Where a process has ended, or routers do not come to know the list in time.
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
        ScaleError::Timeout { routers, what: "all know the list after a fault", seconds: TIMEOUT_S };
    reached.map(drop).ok_or(timeout)
}

/// A zone is gone with its routers and engines; then all of it is back.
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

/// A region hears nothing and is not heard for a while, in which engines change.
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

/// A tenth of the routers starts anew, knowing nothing.
fn restart(fleet: &mut HollowFleet, largest_measured: &Measured) -> Result<FaultCost, ScaleError> {
    let routers = every_nth(RESTARTED, largest_measured.routers, 0);
    let list = fleet.counters()?.list;
    let measurement = FaultMeasurement::begin(fleet)?;
    let since = Instant::now();
    fleet.start_routers(&routers)?;
    await_all(fleet, &list)?;
    measurement.end(fleet, largest_measured, ("restart_a_tenth", routers.len() as u32, since))
}

/// The list service is away for a while, in which engines change.
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

/// Some engines are replaced; gives what the list is then.
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
