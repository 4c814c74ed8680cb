//! Fleet-wide limits across real processes with faulty links between them. Concurrent requests are
//! counted at the engines.

use std::path::Path;
use std::sync::OnceLock;
use std::time::Duration;

use marljunction::setup::Setup as Operator;
use marljunction_fleet::FleetConfig;
use marljunction_limits::bound::{bound, resize_bound, Fault};
use marljunction_limits::{Kind, Limit};
use marljunction_testkit::fleet::{classes, Fleet, Setup};
use marljunction_testkit::link::Shape;
use marljunction_testkit::load::Class;

const ROUTERS: usize = 6;
/// Fleet-wide concurrency limit; each router owns two units.
const MAX_CONCURRENT: usize = 12;
const SECOND_NS: u64 = 1_000_000_000;
const LIMITS: &str = "lease: 1s, limits: { all: { by: \"all\", at_once: 12 } }";
/// Longest wait for any expected event.
const TIMEOUT: Duration = Duration::from_secs(40);
/// Allowance for scheduling delays of a loaded machine.
const SCHEDULING_SLACK_NS: u64 = 3 * SECOND_NS;

/// Requests that run for 0.5 s on average and at most 2 s.
fn class() -> Vec<Class> {
    let usual = classes().swap_remove(0);
    vec![Class {
        work_ms: 500.0,
        spread: 0.4,
        share: 1.0,
        target_latency_ms: 1_500.0,
        deadline_ms: 2_000.0,
        ..usual
    }]
}

fn setup(name: &str) -> Setup {
    Setup {
        fleet: Some(LIMITS.into()),
        classes: class(),
        engines: 6,
        ..Setup::new(Path::new(env!("CARGO_BIN_EXE_marljunction")), name, ROUTERS)
    }
}

/// The configuration from the tests' operator file. Loaded once, since tests that run in parallel
/// share the file.
fn fleet_config() -> FleetConfig {
    static CONFIG: OnceLock<FleetConfig> = OnceLock::new();
    let load_config = || {
        let path = std::env::temp_dir().join(format!("marljunction-limits-{}.conf", std::process::id()));
        let text = format!(
            "fleet: {{ listen: \"127.0.0.1:0\", key: \"key\", seeds: [], routers: {ROUTERS}, {LIMITS} }}\n"
        );
        std::fs::write(&path, text).unwrap();
        Operator::from_file(&path).unwrap().fleet.unwrap()
    };
    CONFIG.get_or_init(load_config).clone()
}

/// Bound on how long units may stay unused after this fault.
fn max_idle(fault: Fault) -> Duration {
    let fleet_config = fleet_config();
    // The maximum request time: the deadline plus the time that an attempt may run past it.
    let limit_bound = bound(&fleet_config.limits[0].limit, &fleet_config.limit_params(4_500_000_000), fault);
    assert_eq!(limit_bound.max_overshoot, 0.0);
    Duration::from_nanos(limit_bound.max_idle_ns + SCHEDULING_SLACK_NS)
}

#[track_caller]
fn wait_until(fleet: &mut Fleet, limit: Duration, what: &str, condition: impl Fn(&Fleet) -> bool) {
    let reached = fleet.run_until(limit, condition).unwrap();
    assert!(reached, "not within {limit:?}: {what}; {} running, at most {}", fleet.held(), fleet.max_held);
    assert!(fleet.max_held <= MAX_CONCURRENT, "{} ran at once, {MAX_CONCURRENT} are allowed", fleet.max_held);
}

/// A fleet whose clients all use router 0, with far more load than its own units allow.
fn fleet_with_one_busy_router(name: &str) -> Fleet {
    let mut fleet = Fleet::new(setup(name)).unwrap();
    fleet.start_all().unwrap();
    wait_until(&mut fleet, TIMEOUT, "all routers are ready", |f| f.ready() == ROUTERS);
    fleet.start_clients_at(&[80.0]);
    // Its own two units and those leased from others.
    wait_until(&mut fleet, TIMEOUT, "one router uses the limit", |f| f.held() >= MAX_CONCURRENT - 1);
    fleet
}

#[track_caller]
fn finish(fleet: Fleet) {
    assert!(fleet.max_held <= MAX_CONCURRENT, "{} ran at once, {MAX_CONCURRENT} are allowed", fleet.max_held);
    fleet.stop_and_verify(TIMEOUT).unwrap();
}

#[test]
fn one_router_leases_unused_units_and_returns_them() {
    let mut fleet = fleet_with_one_busy_router("one");
    fleet.run(Duration::from_secs(2)).unwrap();
    // All clients move to another router.
    let mut rates = [0.0; ROUTERS];
    rates[4] = 80.0;
    fleet.start_clients_at(&rates);
    let limit = max_idle(Fault::None) + Duration::from_secs(5);
    wait_until(&mut fleet, limit, "another router uses the limit", |f| f.held() >= MAX_CONCURRENT - 1);
    finish(fleet);
}

#[test]
fn a_partition_leaves_each_half_its_share_within_the_limit() {
    let mut fleet = fleet_with_one_busy_router("halves");
    fleet.partition_into(&[0, 0, 0, 1, 1, 1]);
    // Both halves have load.
    fleet.start_clients_at(&[80.0, 0.0, 0.0, 80.0, 0.0, 0.0]);
    let limit = max_idle(Fault::Partition);
    wait_until(&mut fleet, limit, "both halves use their units", |f| {
        let open_requests = |router: usize| f.load_generators[router].open();
        open_requests(0) >= 4 && open_requests(3) >= 4 && f.held() >= MAX_CONCURRENT - 2
    });
    fleet.run(Duration::from_secs(3)).unwrap();
    fleet.partition_into(&[0; ROUTERS]);
    fleet.start_clients_at(&[80.0]);
    wait_until(&mut fleet, limit + TIMEOUT, "one router uses the whole limit again", |f| {
        f.held() >= MAX_CONCURRENT - 1
    });
    finish(fleet);
}

#[test]
fn leases_of_a_killed_holder_expire_within_the_bound() {
    let mut fleet = fleet_with_one_busy_router("holder-killed");
    fleet.kill(0);
    let mut rates = [0.0; ROUTERS];
    rates[1] = 80.0;
    fleet.start_clients_at(&rates);
    wait_until(
        &mut fleet,
        max_idle(Fault::HolderCrashed),
        "another router uses all but the killed router's units",
        |f| f.held() >= MAX_CONCURRENT - 3,
    );
    finish(fleet);
}

#[test]
fn a_holder_resumed_after_expiry_admits_nothing_on_its_lease() {
    let mut fleet = fleet_with_one_busy_router("holder-frozen");
    fleet.set_paused(0, true);
    let mut rates = [0.0; ROUTERS];
    rates[2] = 80.0;
    fleet.start_clients_at(&rates);
    wait_until(&mut fleet, max_idle(Fault::HolderCrashed), "another router uses the limit", |f| {
        f.held() >= MAX_CONCURRENT - 3
    });
    rates[0] = 80.0;
    fleet.start_clients_at(&rates);
    fleet.set_paused(0, false);
    fleet.run(Duration::from_secs(4)).unwrap();
    finish(fleet);
}

#[test]
fn an_owner_restarted_at_once_leases_nothing_twice() {
    let mut fleet = fleet_with_one_busy_router("owner-killed");
    for owner in 1..4 {
        fleet.kill(owner);
        fleet.start(owner).unwrap();
    }
    // The restarted owners need their own units.
    fleet.start_clients_at(&[80.0, 20.0, 20.0, 20.0]);
    wait_until(&mut fleet, TIMEOUT, "all routers are ready", |f| f.ready() == ROUTERS);
    fleet.run(Duration::from_secs(6)).unwrap();
    wait_until(&mut fleet, max_idle(Fault::OwnerRestarted), "the limit is used", |f| {
        f.held() >= MAX_CONCURRENT - 1
    });
    finish(fleet);
}

#[test]
fn a_full_fleet_restart_counts_no_share_twice_and_resumes_service() {
    let mut fleet = fleet_with_one_busy_router("all-killed");
    (0..ROUTERS).for_each(|router| fleet.kill(router));
    fleet.start_all().unwrap();
    fleet.start_clients_at(&[80.0; 2]);
    let limit = max_idle(Fault::AllRestarted);
    wait_until(&mut fleet, limit, "requests are served again", |f| {
        f.load_generators[0].first_answer_ns.is_some()
    });
    wait_until(&mut fleet, TIMEOUT, "the limit is used", |f| f.held() >= MAX_CONCURRENT - 1);
    finish(fleet);
}

#[test]
fn datagram_loss_and_reordering_never_exceed_the_limit() {
    let mut fleet = fleet_with_one_busy_router("lossy");
    let lossy = Shape {
        loss: 0.3,
        duplication: 0.2,
        delay_ns: SECOND_NS / 50,
        jitter_ns: SECOND_NS / 2,
        ..Shape::default()
    };
    (0..ROUTERS).for_each(|to| fleet.shape_peer_link(None, to, lossy));
    fleet.start_clients_at(&[80.0, 0.0, 40.0, 0.0, 20.0, 0.0]);
    fleet.run(Duration::from_secs(6)).unwrap();
    // A one-way partition: router 0 receives but cannot send.
    for to in 1..ROUTERS {
        fleet.shape_peer_link(Some(0), to, Shape { partitioned: true, ..lossy });
    }
    fleet.run(Duration::from_secs(6)).unwrap();
    finish(fleet);
}

#[test]
fn a_per_client_limit_holds_across_routers() {
    // All test clients have one address, which identifies a client by default.
    let limits = "lease: 1s, limits: { all: { by: \"client\", at_once: 12 } }";
    let mut fleet = Fleet::new(Setup { fleet: Some(limits.into()), ..setup("client") }).unwrap();
    fleet.start_all().unwrap();
    wait_until(&mut fleet, TIMEOUT, "all routers are ready", |f| f.ready() == ROUTERS);
    fleet.start_clients_at(&[40.0; ROUTERS]);
    wait_until(&mut fleet, TIMEOUT, "the limit is used", |f| f.held() >= MAX_CONCURRENT - 1);
    // Long enough for each router to lease the others' units of the shared key.
    fleet.run(Duration::from_secs(4)).unwrap();
    finish(fleet);
}

#[test]
fn a_limit_reduced_on_half_the_fleet_stays_under_the_old_size_until_all_apply_it() {
    let mut fleet = fleet_with_one_busy_router("resized");
    let smaller = LIMITS.replace("at_once: 12", "at_once: 6");
    let has_applied = |f: &Fleet, router: usize| f.log_text(router).contains("limit all: changed");
    for router in [0, 2, 4] {
        fleet.set_limits(router, &smaller).unwrap();
    }
    wait_until(&mut fleet, TIMEOUT, "half of the routers have applied it", |f| {
        [0, 2, 4].iter().all(|r| has_applied(f, *r))
    });
    fleet.start_clients_at(&[60.0; ROUTERS]);
    fleet.run(Duration::from_secs(4)).unwrap();
    for router in [1, 3, 5] {
        fleet.set_limits(router, &smaller).unwrap();
    }
    wait_until(&mut fleet, TIMEOUT, "all routers have applied it", |f| {
        (0..ROUTERS).all(|r| has_applied(f, r))
    });
    // Requests and leases under the old size have ended after this time.
    let fleet_config = fleet_config();
    let old = &fleet_config.limits[0].limit;
    let new = Limit { kind: Kind::Concurrency { at_once: 6 }, ..old.clone() };
    let resize = resize_bound(old, &new, &fleet_config.limit_params(4_500_000_000));
    assert!(
        (resize.max_overshoot - 1.0).abs() < 1e-9,
        "the old limit of 12 exceeds the new limit of 6 by 100%"
    );
    fleet.run(Duration::from_nanos(resize.overshoot_ns)).unwrap();
    fleet.max_held = 0;
    fleet.run(Duration::from_secs(3)).unwrap();
    assert!((4..=6).contains(&fleet.max_held), "{} ran at once, 6 are allowed", fleet.max_held);
    finish(fleet);
}

#[test]
fn duplicate_router_names_overshoot_by_at_most_one_share_and_are_logged() {
    let mut fleet = Fleet::new(Setup { duplicate_identity: true, ..setup("doubled") }).unwrap();
    fleet.start_all().unwrap();
    wait_until(&mut fleet, TIMEOUT, "all routers are ready", |f| f.ready() == ROUTERS);
    fleet.start_clients_at(&[40.0; ROUTERS]);
    let is_logged = |f: &Fleet| {
        [0, ROUTERS - 1].iter().any(|r| f.log_text(*r).contains("another router has the same name"))
    };
    assert!(fleet.run_until(TIMEOUT, is_logged).unwrap(), "neither router logged the duplicate name");
    // No router has the last number, so any lease it might hold must expire before its units are
    // used.
    assert!(
        fleet.run_until(TIMEOUT, |f| f.held() >= MAX_CONCURRENT - 3).unwrap(),
        "{} running at most",
        fleet.max_held
    );
    fleet.run(Duration::from_secs(4)).unwrap();
    let fleet_config = fleet_config();
    let limit_bound = bound(
        &fleet_config.limits[0].limit,
        &fleet_config.limit_params(4_500_000_000),
        Fault::DuplicateNumber,
    );
    let max_allowed = MAX_CONCURRENT + (limit_bound.max_overshoot * MAX_CONCURRENT as f64).round() as usize;
    assert!(fleet.max_held <= max_allowed, "{} ran at once, {max_allowed} are allowed", fleet.max_held);
    fleet.max_held = 0;
    finish(fleet);
}

#[test]
fn a_router_reports_its_peers_and_limits() {
    let mut fleet = fleet_with_one_busy_router("asked");
    let status = fleet.fleet_status(0).unwrap();
    for line in ["router 0 of 6", "peer r5 number 5", "limit all", "owned 2", "passed over: size 0"] {
        assert!(status.contains(line), "{line:?} is not in\n{status}");
    }
    finish(fleet);
}
