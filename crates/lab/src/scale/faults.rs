//! Faults at the largest size: a zone gone and back, a region cut off and back, a tenth restarted, the list service away.

use std::time::{Duration, Instant};

use marljunction_testkit::hollow::fleet::HollowFleet;
use marljunction_testkit::hollow::protocol::{ExpectedLists, ListedState, ServiceCommand};
use serde::Serialize;

use super::engines_before;
use super::size::{Measured, ScaleFleet};
use super::ScaleError;

/// Zones and regions of the fleet: one in so many routers and engines is in each (count).
const ZONES: u32 = 25;
const REGIONS: u32 = 9;
/// One in so many routers is restarted.
const RESTARTED: u32 = 10;
/// How long a region is cut off: longer than a silent stream is believed; and the list service
/// away (full, quick).
const CUT: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(3)];
const AWAY: [Duration; 2] = [Duration::from_secs(6), Duration::from_millis(1_500)];
/// Changes while a part of the fleet can't hear them (count).
const UNHEARD_CHANGES: u32 = 4;
/// Longest time for all to know the right list again (s).
const LIMIT_S: u64 = 120;
/// A minute (s).
const MINUTE_S: f64 = 60.0;

/// What one fault cost.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FaultCost {
    /// The fault.
    pub fault: &'static str,
    /// Routers that it struck (count).
    pub struck: u32,
    /// Time from its end, or from its moment, until all routers that are there knew the right list (s).
    pub all_know_s: f64,
    /// Time that was watched (s).
    pub watched_s: f64,
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
struct Watch {
    began: Instant,
    processor_ns: u64,
    written: Vec<u64>,
}

impl Watch {
    fn begin(fleet: &mut HollowFleet) -> Result<Watch, ScaleError> {
        let written = fleet.counters()?.written;
        let processor_ns = fleet.hosts_usage().processor_ns;
        Ok(Watch { began: Instant::now(), processor_ns, written })
    }

    /// What it cost; `since` is when all could begin to know better.
    fn end(
        self,
        fleet: &mut HollowFleet,
        most: &Measured,
        (fault, struck, since): (&'static str, u32, Instant),
    ) -> Result<FaultCost, ScaleError> {
        let all_know_s = since.elapsed().as_secs_f64();
        let watched_s = self.began.elapsed().as_secs_f64();
        let spent_s = (fleet.hosts_usage().processor_ns - self.processor_ns) as f64 / 1e9;
        let quiet_share = most.quiet_core_share * f64::from(most.routers) + most.empty_hosts_core_share;
        let quiet_s = quiet_share * watched_s;
        let processor_ms = (spent_s - quiet_s).max(0.0) * 1e3 / f64::from(struck);
        let written = fleet.counters()?.written;
        let hollow = written.iter().zip(&self.written).take(most.routers as usize);
        let largest = hollow.map(|(after, before)| after - before).max().unwrap_or(0) as f64;
        let bytes = (largest - most.quiet_bytes_per_s * watched_s).max(0.0);
        let minute_s = watched_s.max(MINUTE_S);
        Ok(FaultCost {
            fault,
            struck,
            all_know_s,
            watched_s,
            processor_ms,
            bytes,
            minute_core_share: most.control_core_share + processor_ms / 1e3 / minute_s,
            minute_bytes_per_s: most.control_bytes_per_s + bytes / minute_s,
        })
    }
}

/// The faults one after the other; gives what each cost.
///
/// # Errors
/// Where a process has ended, or routers do not come to know the list in time.
pub fn run(fleet: &mut ScaleFleet, most: &Measured, quick: bool) -> Result<Vec<FaultCost>, ScaleError> {
    let hollow = &mut fleet.hollow;
    let mut costs = Vec::new();
    costs.extend(zone(hollow, most)?);
    costs.push(region(hollow, most, CUT[usize::from(quick)])?);
    costs.push(restart(hollow, most)?);
    costs.push(service(hollow, most, AWAY[usize::from(quick)])?);
    Ok(costs)
}

fn one_in(count: u32, all: u32, of: u32) -> Vec<u32> {
    (0..all).filter(|number| number % count == of).collect()
}

fn await_all(fleet: &mut HollowFleet, list: &ExpectedLists) -> Result<(), ScaleError> {
    let reached = fleet.await_list(list, Duration::from_secs(LIMIT_S))?;
    let routers = fleet.plan().routers;
    let late = ScaleError::Timeout { routers, what: "all know the list after a fault", seconds: LIMIT_S };
    reached.map(drop).ok_or(late)
}

/// A zone is gone with its routers and engines; then all of it is back.
fn zone(fleet: &mut HollowFleet, most: &Measured) -> Result<[FaultCost; 2], ScaleError> {
    let routers = one_in(ZONES, most.routers, 3);
    let engines = one_in(ZONES, engines_before(most.routers), 3);
    let watch = Watch::begin(fleet)?;
    fleet.stop_routers(&routers)?;
    let told = fleet.change(engines.clone(), ListedState::Terminated)?;
    let since = Instant::now();
    await_all(fleet, &told.list)?;
    let gone = watch.end(fleet, most, ("zone_gone", most.routers - routers.len() as u32, since))?;
    let watch = Watch::begin(fleet)?;
    let since = Instant::now();
    fleet.start_routers(&routers)?;
    let told = fleet.replace(engines)?;
    await_all(fleet, &told.list)?;
    let back = watch.end(fleet, most, ("zone_back", routers.len() as u32, since))?;
    Ok([gone, back])
}

/// A region hears nothing and is not heard for a while, in which engines change.
fn region(fleet: &mut HollowFleet, most: &Measured, cut_for: Duration) -> Result<FaultCost, ScaleError> {
    let routers = one_in(REGIONS, most.routers, 1);
    let watch = Watch::begin(fleet)?;
    fleet.inject_fault(&ServiceCommand::Partition { routers: routers.clone(), partitioned: true })?;
    let list = change_some(fleet, most)?;
    std::thread::sleep(cut_for);
    fleet.inject_fault(&ServiceCommand::Partition { routers: routers.clone(), partitioned: false })?;
    let since = Instant::now();
    await_all(fleet, &list)?;
    watch.end(fleet, most, ("region_cut", routers.len() as u32, since))
}

/// A tenth of the routers starts anew, knowing nothing.
fn restart(fleet: &mut HollowFleet, most: &Measured) -> Result<FaultCost, ScaleError> {
    let routers = one_in(RESTARTED, most.routers, 0);
    let list = fleet.counters()?.list;
    let watch = Watch::begin(fleet)?;
    let since = Instant::now();
    fleet.start_routers(&routers)?;
    await_all(fleet, &list)?;
    watch.end(fleet, most, ("restart_a_tenth", routers.len() as u32, since))
}

/// The list service is away for a while, in which engines change.
fn service(fleet: &mut HollowFleet, most: &Measured, away_for: Duration) -> Result<FaultCost, ScaleError> {
    let watch = Watch::begin(fleet)?;
    fleet.inject_fault(&ServiceCommand::SetUnavailable(true))?;
    let list = change_some(fleet, most)?;
    std::thread::sleep(away_for);
    fleet.inject_fault(&ServiceCommand::SetUnavailable(false))?;
    let since = Instant::now();
    await_all(fleet, &list)?;
    watch.end(fleet, most, ("list_service_away", most.routers, since))
}

/// Some engines are replaced; gives what the list is then.
fn change_some(fleet: &mut HollowFleet, most: &Measured) -> Result<ExpectedLists, ScaleError> {
    let engines = engines_before(most.routers);
    let mut list = ExpectedLists::default();
    for change in 0..UNHEARD_CHANGES {
        list = fleet.replace(vec![(change * 104_729 + 17) % engines])?.list;
    }
    Ok(list)
}
