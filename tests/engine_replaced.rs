//! Another engine takes the address of one that crashed, with real processes: the routers do not
//! take it for the old one.

use std::path::Path;
use std::time::Duration;

use marljunction_testkit::fleet::{classes, Fleet, Setup};
use marljunction_testkit::load::Class;

const ROUTERS: usize = 3;
/// Longest wait for any expected event.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Lookups and loads that run long enough to be in flight when an engine crashes.
fn long_classes() -> Vec<Class> {
    let [lookup, _, load] = classes().try_into().unwrap();
    vec![
        Class { share: 0.5, work_ms: 300.0, ..lookup },
        Class { share: 0.5, work_ms: 400.0, threads: 1.0, ..load },
    ]
}

fn started_fleet(name: &str) -> Fleet {
    let setup = Setup {
        classes: long_classes(),
        rate: 10.0,
        ..Setup::new(Path::new(env!("CARGO_BIN_EXE_marljunction")), name, ROUTERS)
    };
    let mut fleet = Fleet::new(setup).unwrap();
    fleet.start_clients();
    fleet.start_all().unwrap();
    let all_connected = |f: &Fleet| f.connected() == ROUTERS;
    assert!(fleet.run_until(TIMEOUT, all_connected).unwrap(), "not all routers have their streams");
    fleet
}

/// Guards against: a router sends work for an engine that has gone to the one at its address, and so
/// sends on while that one drains.
#[test]
fn no_work_for_the_old_engine_reaches_a_draining_one_at_its_address() {
    let mut fleet = started_fleet("replaced-draining");
    let new = fleet.replace_engine(0).unwrap();
    fleet.announce_engine(new);
    fleet.run(Duration::from_secs(1)).unwrap();
    fleet.drain(new);
    fleet.run(Duration::from_secs(2)).unwrap();
    assert_eq!(fleet.audit().late_sends, 0, "{:?}", fleet.audit());
    fleet.remove_engine(0);
    fleet.stop_and_verify(TIMEOUT).unwrap();
}

/// Guards against: loads that run twice, or requests without an answer, while the list knows nothing
/// of a crash and of the engine that listens at the address since.
#[test]
fn no_load_runs_twice_while_the_list_names_an_engine_that_was_replaced() {
    let mut fleet = started_fleet("replaced-unlisted");
    for engine in 0..3 {
        fleet.run(Duration::from_secs(1)).unwrap();
        let from = fleet.now();
        let new = fleet.replace_engine(engine).unwrap();
        fleet.run(Duration::from_secs(1)).unwrap();
        assert!(fleet.sent_within(new, from, u64::MAX) > 0, "nothing was sent to the address");
        fleet.announce_engine(new);
        fleet.remove_engine(engine);
    }
    fleet.run(Duration::from_secs(1)).unwrap();
    fleet.stop_and_verify(TIMEOUT).unwrap();
}
