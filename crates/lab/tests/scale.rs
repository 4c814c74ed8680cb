//! A small fleet of hollow routers on real sockets: each knows the service's list after each fault, both sides count the same
//! bytes, and what is broken is seen.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use marljunction_testkit::fleet::classes;
use marljunction_testkit::hollow::engine_table::in_zones;
use marljunction_testkit::hollow::fleet::{CellsPlan, FleetPlan, HollowFleet};
use marljunction_testkit::hollow::key_files::KeyFiles;
use marljunction_testkit::hollow::protocol::{FleetSetup, ListedState, ServiceCommand, ToldEvent};
use marljunction_testkit::test_bed::{settings, SettingsParams};

const ROUTERS: u32 = 40;
const ENGINES: u32 = 400;
const LIMIT: Duration = Duration::from_secs(20);
/// Longer than any change takes here, shorter than a stream that is dropped for silence.
const TOO_LONG: Duration = Duration::from_millis(1_500);

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
        settings: in_zones(settings(&site)).to_string(),
        module: true,
        list: true,
        cells: None,
        fleet: None,
        seed: 1,
    }
}

/// A fleet whose routers all know the list.
fn started() -> HollowFleet {
    let mut fleet = HollowFleet::start(plan()).unwrap();
    fleet.start_routers(&(0..ROUTERS).collect::<Vec<_>>()).unwrap();
    let list = fleet.counters().unwrap().list;
    assert_eq!(list.whole.engines, u64::from(ENGINES));
    assert!(fleet.await_list(&list, LIMIT).unwrap().is_some(), "not all learned the list");
    fleet
}

#[track_caller]
fn assert_all_know(fleet: &mut HollowFleet, told: &ToldEvent, what: &str) {
    let reached = fleet.await_list(&told.list, LIMIT).unwrap();
    assert!(reached.is_some(), "{what}: not all know the list");
    // The digests as the routers report them, not only as the hosts compare them.
    let reports = fleet.reports().unwrap();
    assert_eq!(reports.len(), fleet.there().len(), "{what}");
    let others: Vec<u32> = reports.iter().filter(|r| r.digest != told.list.whole).map(|r| r.number).collect();
    assert!(others.is_empty(), "{what}: {others:?} know another list");
    assert_eq!(fleet.counters().unwrap().list, told.list, "{what}");
}

fn every(count: u32, all: u32) -> Vec<u32> {
    (0..all).step_by(count as usize).collect()
}

#[test]
fn all_hollow_routers_know_the_services_list_after_each_fault() {
    let mut fleet = started();
    let told = fleet.change(vec![7], ListedState::Terminating).unwrap();
    assert_all_know(&mut fleet, &told, "a drain");

    let zone = every(25, ROUTERS);
    fleet.stop_routers(&zone).unwrap();
    let told = fleet.change(every(25, ENGINES), ListedState::Terminated).unwrap();
    assert_eq!(told.list.whole.engines, u64::from(ENGINES - ENGINES / 25));
    assert_all_know(&mut fleet, &told, "a zone gone");
    fleet.start_routers(&zone).unwrap();
    let told = fleet.replace(every(25, ENGINES)).unwrap();
    assert_all_know(&mut fleet, &told, "a zone back");

    let region = every(9, ROUTERS);
    fleet.fault(&ServiceCommand::Cut { routers: region.clone(), cut: true }).unwrap();
    let told = fleet.replace(vec![11, 12]).unwrap();
    assert_eq!(fleet.await_list(&told.list, TOO_LONG).unwrap(), None, "a cut router was told");
    fleet.fault(&ServiceCommand::Cut { routers: region, cut: false }).unwrap();
    assert_all_know(&mut fleet, &told, "a region back");

    fleet.start_routers(&every(10, ROUTERS)).unwrap();
    assert_all_know(&mut fleet, &told, "a tenth restarted");

    fleet.fault(&ServiceCommand::Away(true)).unwrap();
    let told = fleet.replace(vec![13]).unwrap();
    fleet.fault(&ServiceCommand::Away(false)).unwrap();
    assert_all_know(&mut fleet, &told, "the service back");
}

#[test]
fn both_sides_count_the_same_bytes() {
    let mut fleet = started();
    let list = fleet.counters().unwrap().snapshot_bytes;
    let end = Instant::now() + LIMIT;
    loop {
        // A comment may be on its way between the two.
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
fn hollow_routers_have_sockets_of_their_own() {
    let fleet = started();
    let sockets: usize = fleet.host_ids().into_iter().map(sockets_of).sum();
    // Each host has its own standard input and output too, which are pipes.
    assert!(sockets >= ROUTERS as usize, "{sockets} sockets for {ROUTERS} routers");
}

/// Sockets that a process holds (count), each once.
fn sockets_of(process: u32) -> usize {
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap().flatten();
    let links = descriptors.filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let sockets = links.map(|link| link.display().to_string()).filter(|link| link.starts_with("socket:"));
    sockets.collect::<BTreeSet<_>>().len()
}

#[test]
fn a_router_that_was_not_told_a_change_is_seen() {
    let mut fleet = started();
    fleet.fault(&ServiceCommand::SkipNext { router: 5 }).unwrap();
    let told = fleet.change(vec![9], ListedState::Terminating).unwrap();
    assert_eq!(fleet.await_list(&told.list, TOO_LONG).unwrap(), None, "nobody missed it");
    let reports = fleet.reports().unwrap();
    let others: Vec<u32> = reports.iter().filter(|r| r.digest != told.list.whole).map(|r| r.number).collect();
    assert_eq!(others, [5]);
}

#[test]
fn routers_of_cells_know_their_parts_after_each_fault() {
    let keys = KeyFiles::new("cells").unwrap();
    let fleet =
        FleetSetup { keys: keys.path().to_owned(), seeds: Vec::new(), limit_per_s: None, health: false };
    let cells = CellsPlan { cells: 2, relays: 3, hosts: 1, ask_ns: 200_000_000 };
    let mut fleet =
        HollowFleet::start(FleetPlan { list: false, cells: Some(cells), fleet: Some(fleet), ..plan() })
            .unwrap();
    let list = fleet.counters().unwrap().list;
    fleet.start_relays().unwrap();
    fleet.start_routers(&(0..ROUTERS).collect::<Vec<_>>()).unwrap();
    assert!(fleet.await_list(&list, LIMIT).unwrap().is_some(), "not all learned their parts");
    let reports = fleet.reports().unwrap();
    let (routers, relays) = reports.split_at(ROUTERS as usize);
    assert!(relays.iter().all(|relay| relay.digest == list.whole), "{relays:?}");
    // A zone has 16 engines here, and none of the parts may be all of them, or none would be a part.
    assert!(routers.iter().all(|router| (1..16).contains(&router.digest.engines)), "{routers:?}");
    // Of the list service they took nothing.
    assert!(routers.iter().all(|router| router.received_bytes == 0), "{routers:?}");

    let gone = fleet.plan().relays()[0];
    fleet.stop_routers(&[gone]).unwrap();
    let told = fleet.replace(every(7, ENGINES)).unwrap();
    assert!(fleet.await_list(&told.list, LIMIT).unwrap().is_some(), "a relay gone");

    fleet.fault(&ServiceCommand::Away(true)).unwrap();
    let told = fleet.replace(every(11, ENGINES)).unwrap();
    assert_eq!(fleet.await_list(&told.list, TOO_LONG).unwrap(), None, "nobody could know it");
    fleet.fault(&ServiceCommand::Away(false)).unwrap();
    assert!(fleet.await_list(&told.list, LIMIT).unwrap().is_some(), "the service back");

    let restarted = every(10, ROUTERS);
    fleet.start_routers(&restarted).unwrap();
    assert!(fleet.await_list(&told.list, LIMIT).unwrap().is_some(), "a tenth restarted");
}
