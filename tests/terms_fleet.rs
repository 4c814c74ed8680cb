//! Terms of the operators' standing page on whole fleets of real processes: cold engines, and starts without the list service.
//! Verdicts are on bounds that the settings give.

use std::path::Path;
use std::time::Duration;

use marljunction_testkit::engine::ColdStart;
use marljunction_testkit::fleet::{classes, Fleet, Setup};
use marljunction_testkit::list::Behavior;
use marljunction_testkit::load::Class;
use marljunction_testkit::test_bed::COLD_START;

/// Part of what the settings allow that the routers keep for light classes, as much for heavy ones: half of 0.8 of what 0.85 of
/// the cores do (share).
const ONE_LANE: f64 = 0.8 * 0.85 / 2.0;
const S: u64 = 1_000_000_000;
/// Longer than anything that must happen takes.
const LIMIT: Duration = Duration::from_secs(40);
/// Within this nine in ten restarted processes are ready (ns).
const READY_NS: u64 = 10 * S;

/// Most calls of one engine within the settings' time over a part of what they allow then, chance of 2 roots and 2 included (ratio).
fn most_over_allowed(fleet: &Fleet, engine: usize, cold: &ColdStart, work_ns: f64, part: f64) -> f64 {
    let times: Vec<u64> = fleet.engines[engine].sends.iter().flatten().map(|sent| sent.at_ns).collect();
    let allowed = |at: u64| {
        let calls =
            part * cold.overload_multiple * cold.capacity(at) * cold.overload_window_ns as f64 / work_ns;
        calls + 2.0 * calls.sqrt() + 2.0
    };
    let within =
        |at: u64| times.iter().filter(|t| **t <= at && **t + cold.overload_window_ns > at).count() as f64;
    times.iter().map(|at| within(*at) / allowed(*at)).fold(0.0, f64::max)
}

#[test]
fn two_dozen_routers_together_stay_within_a_cold_engines_budget_under_a_burst() {
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
    assert!(fleet.run_until(LIMIT, |f| f.ready() == ROUTERS).unwrap(), "all routers are there");
    // The engine starts again as the burst comes, and is cold for longer than the test takes. Each router alone would send it
    // some calls in the first moment, as none has heard of the others' yet.
    fleet.start_clients_at(&[0.5; ROUTERS]);
    fleet.run(Duration::from_secs(4)).unwrap();
    fleet.restart_engines_cold();
    fleet.start_clients_at(&[100.0; ROUTERS]);
    fleet.run(Duration::from_secs(4)).unwrap();
    let cold = fleet.engines[0].cold.clone().unwrap();
    assert!(fleet.now() < cold.started_ns + COLD_START.1, "the engine is cold to the end");
    let most = most_over_allowed(&fleet, 0, &cold, work_ns, 1.0);
    assert!(most > 0.0 && most <= 1.0, "the engine got {most} of what the settings allow");
    let most = most_over_allowed(&fleet, 0, &cold, work_ns, ONE_LANE);
    println!("at most {most} of what the routers keep for one kind of classes");
    assert!(most <= 1.0, "the engine got {most} of what the routers keep for one kind of classes");
    drop(fleet);
}

#[test]
fn nine_in_ten_of_many_processes_that_start_at_once_without_the_list_service_are_ready_in_time() {
    // For a trial with more of them.
    let routers = std::env::var("TERMS_ROUTERS").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    let program = Path::new(env!("CARGO_BIN_EXE_marljunction"));
    let mut fleet = Fleet::new(Setup::new(program, "terms-ready", routers)).unwrap();
    fleet.start_clients();
    fleet.start_all().unwrap();
    assert!(fleet.run_until(LIMIT, |f| f.connected() == routers).unwrap(), "all hear the list service");
    fleet.set_list_behavior(Behavior::Unavailable);
    (0..routers).for_each(|router| fleet.kill(router));
    fleet.start_all().unwrap();
    let served = |f: &Fleet| f.load_generators.iter().filter(|load| load.first_answer_ns.is_some()).count();
    assert!(
        fleet.run_until(LIMIT, |f| served(f) * 10 >= routers * 9).unwrap(),
        "{} of {routers}",
        served(&fleet)
    );
    let started = fleet.routers.iter().zip(&fleet.load_generators);
    let mut took: Vec<u64> = started
        .map(|(router, load)| {
            load.first_answer_ns.map_or(u64::MAX, |at| at.saturating_sub(router.started_ns))
        })
        .collect();
    took.sort_unstable();
    let (nine_in_ten, half) = (took[routers * 9 / 10 - 1], took[routers / 2]);
    println!(
        "{routers} processes: half after {} ms, nine in ten after {} ms",
        half / 1_000_000,
        nine_in_ten / 1_000_000
    );
    assert!(nine_in_ten <= READY_NS, "nine in ten after {nine_in_ten} ns");
    assert_eq!(fleet.connected(), 0, "the list service was away");
}
