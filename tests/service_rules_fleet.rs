//! Operating requirements for fleets of real processes: cold engines, and starts without the list
//! service. The bounds follow from the settings.

use std::path::Path;
use std::time::Duration;

use marljunction_testkit::engine::ColdStart;
use marljunction_testkit::fleet::{classes, Fleet, Setup};
use marljunction_testkit::list::Behavior;
use marljunction_testkit::load::Class;
use marljunction_testkit::test_bed::COLD_START;

/// Share of an engine's budget that routers reserve for light classes, and again for heavy ones:
/// half of 0.8 of what 0.85 of the cores can do.
const CLASS_GROUP_SHARE: f64 = 0.8 * 0.85 / 2.0;
const SECOND_NS: u64 = 1_000_000_000;
/// Longest wait for any expected event.
const TIMEOUT: Duration = Duration::from_secs(40);
/// 90% of restarted processes must be ready within this time.
const MAX_READY_TIME_NS: u64 = 10 * SECOND_NS;

/// Largest ratio of calls to an engine within the overload window to `budget_share` of what the
/// settings allow at that time, with a statistical margin of 2 square roots plus 2 calls.
fn max_budget_use(fleet: &Fleet, engine: usize, cold: &ColdStart, work_ns: f64, budget_share: f64) -> f64 {
    let times: Vec<u64> = fleet.engines[engine].sends.iter().flatten().map(|sent| sent.at_ns).collect();
    let allowed = |at: u64| {
        let calls =
            budget_share * cold.overload_multiple * cold.capacity(at) * cold.overload_window_ns as f64
                / work_ns;
        calls + 2.0 * calls.sqrt() + 2.0
    };
    let calls_in_window =
        |at: u64| times.iter().filter(|t| **t <= at && **t + cold.overload_window_ns > at).count() as f64;
    times.iter().map(|at| calls_in_window(*at) / allowed(*at)).fold(0.0, f64::max)
}

#[test]
fn a_burst_from_24_routers_stays_within_a_cold_engines_budget() {
    const ROUTERS: usize = 24;
    let class = Class { share: 1.0, work_ms: 100.0, spread: 0.0, ..classes()[0].clone() };
    let work_ns = class.work_ms * 1e6;
    let program = Path::new(env!("CARGO_BIN_EXE_marljunction"));
    let setup = Setup {
        engines: 1,
        cores: 2.0,
        cold: true,
        classes: vec![class],
        ..Setup::new(program, "terms-cold", ROUTERS)
    };
    let mut fleet = Fleet::new(setup).unwrap();
    fleet.start_all().unwrap();
    assert!(fleet.run_until(TIMEOUT, |f| f.ready() == ROUTERS).unwrap(), "all routers are there");
    // The engine restarts as the burst begins and stays cold for the whole test. At first no router
    // has received the others' reports, so each sends some calls on its own.
    fleet.start_clients_at(&[0.5; ROUTERS]);
    fleet.run(Duration::from_secs(4)).unwrap();
    fleet.restart_engines_cold();
    fleet.start_clients_at(&[100.0; ROUTERS]);
    fleet.run(Duration::from_secs(4)).unwrap();
    let cold = fleet.engines[0].cold.clone().unwrap();
    assert!(fleet.now() < cold.started_ns + COLD_START.1, "the engine must stay cold to the end");
    let max_use = max_budget_use(&fleet, 0, &cold, work_ns, 1.0);
    assert!(max_use > 0.0 && max_use <= 1.0, "the engine got {max_use} of its budget");
    let max_use = max_budget_use(&fleet, 0, &cold, work_ns, CLASS_GROUP_SHARE);
    println!("at most {max_use} of the budget share of one class group");
    assert!(max_use <= 1.0, "the engine got {max_use} of the budget share of one class group");
    drop(fleet);
}

#[test]
fn ninety_percent_of_routers_started_without_the_list_service_are_ready_in_time() {
    // The variable allows runs with more routers.
    let routers = std::env::var("RULES_ROUTERS").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    let program = Path::new(env!("CARGO_BIN_EXE_marljunction"));
    let mut fleet = Fleet::new(Setup::new(program, "terms-ready", routers)).unwrap();
    fleet.start_clients();
    fleet.start_all().unwrap();
    assert!(
        fleet.run_until(TIMEOUT, |f| f.connected() == routers).unwrap(),
        "all routers have their streams"
    );
    fleet.set_list_behavior(Behavior::Unavailable);
    (0..routers).for_each(|router| fleet.kill(router));
    fleet.start_all().unwrap();
    let served = |f: &Fleet| f.load_generators.iter().filter(|load| load.first_answer_ns.is_some()).count();
    assert!(
        fleet.run_until(TIMEOUT, |f| served(f) * 10 >= routers * 9).unwrap(),
        "{} of {routers}",
        served(&fleet)
    );
    let started = fleet.routers.iter().zip(&fleet.load_generators);
    let mut ready_times_ns: Vec<u64> = started
        .map(|(router, load)| {
            load.first_answer_ns.map_or(u64::MAX, |at| at.saturating_sub(router.started_ns))
        })
        .collect();
    ready_times_ns.sort_unstable();
    let (p90_ns, median_ns) = (ready_times_ns[routers * 9 / 10 - 1], ready_times_ns[routers / 2]);
    println!(
        "{routers} processes: 50% ready after {} ms, 90% after {} ms",
        median_ns / 1_000_000,
        p90_ns / 1_000_000
    );
    assert!(p90_ns <= MAX_READY_TIME_NS, "90% ready after {p90_ns} ns");
    assert_eq!(fleet.connected(), 0, "the list service must stay unavailable");
}
