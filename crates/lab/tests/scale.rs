//! A small fleet of hollow routers on real sockets: every router has the service's list after each
//! fault, both sides count the same bytes, and a missed change is detected.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use marljunction_testkit::fleet::classes;
use marljunction_testkit::hollow::engine_table::with_zones;
use marljunction_testkit::hollow::fleet::{CellsPlan, FleetPlan, HollowFleet};
use marljunction_testkit::hollow::key_files::KeyFiles;
use marljunction_testkit::hollow::protocol::{FleetSetup, ListedState, SentChange, ServiceCommand};
use marljunction_testkit::test_bed::{settings, SettingsParams};

const ROUTERS: u32 = 40;
const ENGINES: u32 = 400;
const TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than any change takes here, shorter than the stream's silence timeout.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);

fn plan() -> FleetPlan {
    let classes = classes();
    let site = SettingsParams {
        classes: &classes,
        tenants: &[("all", 100.0)],
        cores: 8.0,
        max_retry_after_ms: 1_000,
        routers: ROUTERS,
        router_index: 0,
        cold: false,
    };
    FleetPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_marljunction-lab")),
        routers: ROUTERS,
        real_routers: 0,
        engines: ENGINES,
        hosts: 2,
        calls_per_s: 200.0,
        concurrent_snapshots: 8,
        settings: with_zones(settings(&site)).to_string(),
        module: true,
        list: true,
        cells: None,
        fleet: None,
        seed: 1,
    }
}

/// Starts a fleet and waits until all routers have the list.
fn started_fleet() -> HollowFleet {
    let mut fleet = HollowFleet::start(plan()).unwrap();
    fleet.start_routers(&(0..ROUTERS).collect::<Vec<_>>()).unwrap();
    let list = fleet.counters().unwrap().list;
    assert_eq!(list.full_list.engines, u64::from(ENGINES));
    assert!(fleet.await_list(&list, TIMEOUT).unwrap().is_some(), "not all routers received the list");
    fleet
}

#[track_caller]
fn assert_all_have_list(fleet: &mut HollowFleet, sent_change: &SentChange, what: &str) {
    let reached = fleet.await_list(&sent_change.list, TIMEOUT).unwrap();
    assert!(reached.is_some(), "{what}: not all routers have the list");
    // Also check the digests that the routers report, beside the hosts' own comparison.
    let reports = fleet.reports().unwrap();
    assert_eq!(reports.len(), fleet.running().len(), "{what}");
    let mismatching: Vec<u32> =
        reports.iter().filter(|r| r.digest != sent_change.list.full_list).map(|r| r.number).collect();
    assert!(mismatching.is_empty(), "{what}: routers {mismatching:?} have another list");
    assert_eq!(fleet.counters().unwrap().list, sent_change.list, "{what}");
}

fn every_nth(count: u32, all: u32) -> Vec<u32> {
    (0..all).step_by(count as usize).collect()
}

#[test]
fn all_routers_have_the_service_list_after_each_fault() {
    let mut fleet = started_fleet();
    let sent_change = fleet.change(vec![7], ListedState::Terminating).unwrap();
    assert_all_have_list(&mut fleet, &sent_change, "drain");

    let zone = every_nth(25, ROUTERS);
    fleet.stop_routers(&zone).unwrap();
    let sent_change = fleet.change(every_nth(25, ENGINES), ListedState::Terminated).unwrap();
    assert_eq!(sent_change.list.full_list.engines, u64::from(ENGINES - ENGINES / 25));
    assert_all_have_list(&mut fleet, &sent_change, "zone stopped");
    fleet.start_routers(&zone).unwrap();
    let sent_change = fleet.replace(every_nth(25, ENGINES)).unwrap();
    assert_all_have_list(&mut fleet, &sent_change, "zone started");

    let region = every_nth(9, ROUTERS);
    fleet.inject_fault(&ServiceCommand::Partition { routers: region.clone(), partitioned: true }).unwrap();
    let sent_change = fleet.replace(vec![11, 12]).unwrap();
    assert_eq!(
        fleet.await_list(&sent_change.list, CHANGE_TIMEOUT).unwrap(),
        None,
        "a partitioned router received a change"
    );
    fleet.inject_fault(&ServiceCommand::Partition { routers: region, partitioned: false }).unwrap();
    assert_all_have_list(&mut fleet, &sent_change, "partition ended");

    fleet.start_routers(&every_nth(10, ROUTERS)).unwrap();
    assert_all_have_list(&mut fleet, &sent_change, "a tenth restarted");

    fleet.inject_fault(&ServiceCommand::SetUnavailable(true)).unwrap();
    let sent_change = fleet.replace(vec![13]).unwrap();
    fleet.inject_fault(&ServiceCommand::SetUnavailable(false)).unwrap();
    assert_all_have_list(&mut fleet, &sent_change, "outage ended");
}

#[test]
fn service_and_routers_count_the_same_bytes() {
    let mut fleet = started_fleet();
    let list = fleet.counters().unwrap().snapshot_bytes;
    let end = Instant::now() + TIMEOUT;
    loop {
        // A comment may be in transit between the two.
        let (written, reports) = (fleet.counters().unwrap().written, fleet.reports().unwrap());
        let read: Vec<u64> = reports.iter().map(|report| report.received_bytes).collect();
        assert!(read.iter().all(|bytes| *bytes > list && *bytes < 2 * list), "{list}: {read:?}");
        if read == written {
            return;
        }
        assert!(Instant::now() < end, "written {written:?}, read {read:?}");
    }
}

#[test]
fn each_hollow_router_has_its_own_sockets() {
    let fleet = started_fleet();
    let sockets: usize = fleet.host_pids().into_iter().map(socket_count).sum();
    // Standard input and output of the hosts are pipes, not sockets.
    assert!(sockets >= ROUTERS as usize, "{sockets} sockets for {ROUTERS} routers");
}

/// Number of distinct sockets of a process.
fn socket_count(process: u32) -> usize {
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap().flatten();
    let links = descriptors.filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let sockets = links.map(|link| link.display().to_string()).filter(|link| link.starts_with("socket:"));
    sockets.collect::<BTreeSet<_>>().len()
}

#[test]
fn a_router_that_missed_a_change_is_detected() {
    let mut fleet = started_fleet();
    fleet.inject_fault(&ServiceCommand::SkipNext { router: 5 }).unwrap();
    let sent_change = fleet.change(vec![9], ListedState::Terminating).unwrap();
    assert_eq!(
        fleet.await_list(&sent_change.list, CHANGE_TIMEOUT).unwrap(),
        None,
        "no router missed the change"
    );
    let reports = fleet.reports().unwrap();
    let mismatching: Vec<u32> =
        reports.iter().filter(|r| r.digest != sent_change.list.full_list).map(|r| r.number).collect();
    assert_eq!(mismatching, [5]);
}

#[test]
fn cell_routers_have_their_parts_after_each_fault() {
    let keys = KeyFiles::new("cells").unwrap();
    let fleet =
        FleetSetup { keys: keys.path().to_owned(), seeds: Vec::new(), limit_per_s: None, health: false };
    let cells = CellsPlan { cells: 2, relays: 3, hosts: 1, request_interval_ns: 200_000_000 };
    let mut fleet =
        HollowFleet::start(FleetPlan { list: false, cells: Some(cells), fleet: Some(fleet), ..plan() })
            .unwrap();
    let list = fleet.counters().unwrap().list;
    fleet.start_relays().unwrap();
    fleet.start_routers(&(0..ROUTERS).collect::<Vec<_>>()).unwrap();
    assert!(fleet.await_list(&list, TIMEOUT).unwrap().is_some(), "not all routers received their parts");
    let reports = fleet.reports().unwrap();
    let (routers, relays) = reports.split_at(ROUTERS as usize);
    assert!(relays.iter().all(|relay| relay.digest == list.full_list), "{relays:?}");
    // A zone has 16 engines, and a part must not contain all of them.
    assert!(routers.iter().all(|router| (1..16).contains(&router.digest.engines)), "{routers:?}");
    // Routers of cells do not read from the list service.
    assert!(routers.iter().all(|router| router.received_bytes == 0), "{routers:?}");

    let stopped = fleet.plan().relays()[0];
    fleet.stop_routers(&[stopped]).unwrap();
    let sent_change = fleet.replace(every_nth(7, ENGINES)).unwrap();
    assert!(fleet.await_list(&sent_change.list, TIMEOUT).unwrap().is_some(), "relay stopped");

    fleet.inject_fault(&ServiceCommand::SetUnavailable(true)).unwrap();
    let sent_change = fleet.replace(every_nth(11, ENGINES)).unwrap();
    assert_eq!(
        fleet.await_list(&sent_change.list, CHANGE_TIMEOUT).unwrap(),
        None,
        "a change was received during the outage"
    );
    fleet.inject_fault(&ServiceCommand::SetUnavailable(false)).unwrap();
    assert!(fleet.await_list(&sent_change.list, TIMEOUT).unwrap().is_some(), "outage ended");

    let restarted = every_nth(10, ROUTERS);
    fleet.start_routers(&restarted).unwrap();
    assert!(fleet.await_list(&sent_change.list, TIMEOUT).unwrap().is_some(), "a tenth restarted");
}
