//! Limits that hold for a fleet of real processes which talk over links that break. What engines hold at once is counted by the
//! engines themselves.

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
/// Requests that may be out at once, over all routers: two to each by its own share.
const MOST: usize = 12;
const S: u64 = 1_000_000_000;
const LIMITS: &str = "lease: 1s, limits: { all: { by: \"all\", at_once: 12 } }";
/// Longer than anything that must happen takes.
const LIMIT: Duration = Duration::from_secs(40);
/// What a loaded machine may add to a bound.
const MACHINE_NS: u64 = 3 * S;

/// Requests that are out for half a second in the mean, and at most two.
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

/// What the operator's file of the plays says. Read once: plays run side by side, and one would read what another half wrote.
fn file() -> FleetConfig {
    static FILE: OnceLock<FleetConfig> = OnceLock::new();
    let read = || {
        let path = std::env::temp_dir().join(format!("marljunction-limits-{}.conf", std::process::id()));
        let text = format!(
            "fleet: {{ listen: \"127.0.0.1:0\", key: \"key\", seeds: [], routers: {ROUTERS}, {LIMITS} }}\n"
        );
        std::fs::write(&path, text).unwrap();
        Operator::of_file(&path).unwrap().fleet.unwrap()
    };
    FILE.get_or_init(read).clone()
}

/// For how long units may lie idle once this happened.
fn idle_at_most(fault: Fault) -> Duration {
    let file = file();
    // The deadline, and what a request may have out behind it.
    let told = bound(&file.limits[0].limit, &file.limit_params(4_500_000_000), fault);
    assert_eq!(told.max_overshoot, 0.0);
    Duration::from_nanos(told.max_idle_ns + MACHINE_NS)
}

#[track_caller]
fn until(fleet: &mut Fleet, limit: Duration, what: &str, condition: impl Fn(&Fleet) -> bool) {
    let held = fleet.run_until(limit, condition).unwrap();
    assert!(held, "not within {limit:?}: {what}; {} held, at most {}", fleet.held(), fleet.max_held);
    assert!(fleet.max_held <= MOST, "{} were out at once, {MOST} may be", fleet.max_held);
}

/// A fleet whose clients all ask at router 0, for far more than it owns.
fn asked_at_one(name: &str) -> Fleet {
    let mut fleet = Fleet::new(setup(name)).unwrap();
    fleet.start_all().unwrap();
    until(&mut fleet, LIMIT, "all routers are there", |f| f.ready() == ROUTERS);
    fleet.start_clients_at(&[80.0]);
    // Its own two, and others' that it borrows.
    until(&mut fleet, LIMIT, "the limit is used by one", |f| f.held() >= MOST - 1);
    fleet
}

#[track_caller]
fn end(fleet: Fleet) {
    assert!(fleet.max_held <= MOST, "{} were out at once, {MOST} may be", fleet.max_held);
    fleet.stop_and_verify(LIMIT).unwrap();
}

#[test]
fn one_router_uses_what_the_others_do_not_and_gives_it_back() {
    let mut fleet = asked_at_one("one");
    fleet.run(Duration::from_secs(2)).unwrap();
    // Now all clients are at another one.
    let mut rates = [0.0; ROUTERS];
    rates[4] = 80.0;
    fleet.start_clients_at(&rates);
    let limit = idle_at_most(Fault::None) + Duration::from_secs(5);
    until(&mut fleet, limit, "the limit is used by another", |f| f.held() >= MOST - 1);
    end(fleet);
}

#[test]
fn a_cut_into_halves_leaves_each_its_own_and_never_more_than_the_limit() {
    let mut fleet = asked_at_one("halves");
    fleet.partition_into(&[0, 0, 0, 1, 1, 1]);
    // The other half asks too.
    fleet.start_clients_at(&[80.0, 0.0, 0.0, 80.0, 0.0, 0.0]);
    let limit = idle_at_most(Fault::Partition);
    until(&mut fleet, limit, "both halves use theirs", |f| {
        let by = |router: usize| f.load_generators[router].open();
        by(0) >= 4 && by(3) >= 4 && f.held() >= MOST - 2
    });
    fleet.run(Duration::from_secs(3)).unwrap();
    fleet.partition_into(&[0; ROUTERS]);
    fleet.start_clients_at(&[80.0]);
    until(&mut fleet, limit + LIMIT, "one uses it all again", |f| f.held() >= MOST - 1);
    end(fleet);
}

#[test]
fn a_holder_that_is_killed_frees_what_it_held_within_the_bound() {
    let mut fleet = asked_at_one("holder-killed");
    fleet.kill(0);
    let mut rates = [0.0; ROUTERS];
    rates[1] = 80.0;
    fleet.start_clients_at(&rates);
    until(&mut fleet, idle_at_most(Fault::HolderCrashed), "another uses all but the dead one's", |f| {
        f.held() >= MOST - 3
    });
    end(fleet);
}

#[test]
fn a_holder_that_stands_still_past_its_lease_admits_nothing_on_it_as_it_goes_on() {
    let mut fleet = asked_at_one("holder-frozen");
    fleet.set_paused(0, true);
    let mut rates = [0.0; ROUTERS];
    rates[2] = 80.0;
    fleet.start_clients_at(&rates);
    until(&mut fleet, idle_at_most(Fault::HolderCrashed), "another uses it", |f| f.held() >= MOST - 3);
    rates[0] = 80.0;
    fleet.start_clients_at(&rates);
    fleet.set_paused(0, false);
    fleet.run(Duration::from_secs(4)).unwrap();
    end(fleet);
}

#[test]
fn an_owner_that_is_killed_and_back_at_once_lends_nothing_twice() {
    let mut fleet = asked_at_one("owner-killed");
    for owner in 1..4 {
        fleet.kill(owner);
        fleet.start(owner).unwrap();
    }
    // They want their own units as they are back.
    fleet.start_clients_at(&[80.0, 20.0, 20.0, 20.0]);
    until(&mut fleet, LIMIT, "all are there", |f| f.ready() == ROUTERS);
    fleet.run(Duration::from_secs(6)).unwrap();
    until(&mut fleet, idle_at_most(Fault::OwnerRestarted), "the limit is used", |f| f.held() >= MOST - 1);
    end(fleet);
}

#[test]
fn a_fleet_that_is_killed_whole_and_started_counts_no_share_twice_and_soon_serves() {
    let mut fleet = asked_at_one("all-killed");
    (0..ROUTERS).for_each(|router| fleet.kill(router));
    fleet.start_all().unwrap();
    fleet.start_clients_at(&[80.0; 2]);
    let limit = idle_at_most(Fault::AllRestarted);
    until(&mut fleet, limit, "something is served again", |f| f.load_generators[0].first_answer_ns.is_some());
    until(&mut fleet, LIMIT, "the limit is used", |f| f.held() >= MOST - 1);
    end(fleet);
}

#[test]
fn links_that_lose_a_third_and_put_the_rest_out_of_order_break_no_limit() {
    let mut fleet = asked_at_one("lossy");
    let bad = Shape { loss: 0.3, duplication: 0.2, delay_ns: S / 50, jitter_ns: S / 2, ..Shape::default() };
    (0..ROUTERS).for_each(|to| fleet.shape_peer_link(None, to, bad));
    fleet.start_clients_at(&[80.0, 0.0, 40.0, 0.0, 20.0, 0.0]);
    fleet.run(Duration::from_secs(6)).unwrap();
    // One that hears and is not heard.
    for to in 1..ROUTERS {
        fleet.shape_peer_link(Some(0), to, Shape { partitioned: true, ..bad });
    }
    fleet.run(Duration::from_secs(6)).unwrap();
    end(fleet);
}

#[test]
fn a_limit_by_client_holds_for_a_client_that_asks_at_several_routers() {
    // All clients of the rig come from one address, which is what names a client where nothing else is set.
    let limits = "lease: 1s, limits: { all: { by: \"client\", at_once: 12 } }";
    let mut fleet = Fleet::new(Setup { fleet: Some(limits.into()), ..setup("client") }).unwrap();
    fleet.start_all().unwrap();
    until(&mut fleet, LIMIT, "all routers are there", |f| f.ready() == ROUTERS);
    fleet.start_clients_at(&[40.0; ROUTERS]);
    until(&mut fleet, LIMIT, "the limit is used", |f| f.held() >= MOST - 1);
    // Long enough for each router to borrow what the others would have of a key of their own.
    fleet.run(Duration::from_secs(4)).unwrap();
    end(fleet);
}

#[test]
fn a_limit_made_smaller_on_half_of_the_fleet_is_never_over_its_old_size_and_then_holds_for_all() {
    let mut fleet = asked_at_one("resized");
    let smaller = LIMITS.replace("at_once: 12", "at_once: 6");
    let knows = |f: &Fleet, router: usize| f.log_text(router).contains("limit all: changed");
    for router in [0, 2, 4] {
        fleet.set_limits(router, &smaller).unwrap();
    }
    until(&mut fleet, LIMIT, "half of them know it", |f| [0, 2, 4].iter().all(|r| knows(f, *r)));
    fleet.start_clients_at(&[60.0; ROUTERS]);
    fleet.run(Duration::from_secs(4)).unwrap();
    for router in [1, 3, 5] {
        fleet.set_limits(router, &smaller).unwrap();
    }
    until(&mut fleet, LIMIT, "all of them know it", |f| (0..ROUTERS).all(|r| knows(f, r)));
    // What was out and lent by the old size is over then.
    let file = file();
    let old = &file.limits[0].limit;
    let new = Limit { kind: Kind::Concurrency { at_once: 6 }, ..old.clone() };
    let left = resize_bound(old, &new, &file.limit_params(4_500_000_000));
    assert!((left.max_overshoot - 1.0).abs() < 1e-9, "twelve are one time over six");
    fleet.run(Duration::from_nanos(left.overshoot_ns)).unwrap();
    fleet.max_held = 0;
    fleet.run(Duration::from_secs(3)).unwrap();
    assert!((4..=6).contains(&fleet.max_held), "{} were out, six may be", fleet.max_held);
    end(fleet);
}

#[test]
fn two_routers_with_one_name_are_over_by_one_share_at_most_and_the_log_says_so() {
    let mut fleet = Fleet::new(Setup { duplicate_identity: true, ..setup("doubled") }).unwrap();
    fleet.start_all().unwrap();
    until(&mut fleet, LIMIT, "all routers are there", |f| f.ready() == ROUTERS);
    fleet.start_clients_at(&[40.0; ROUTERS]);
    let told = |f: &Fleet| {
        [0, ROUTERS - 1].iter().any(|r| f.log_text(*r).contains("another router has the same name"))
    };
    assert!(fleet.run_until(LIMIT, told).unwrap(), "neither is told of the other");
    // Nobody has the last number, so that all that it may have borrowed has to run out before anything is used.
    assert!(fleet.run_until(LIMIT, |f| f.held() >= MOST - 3).unwrap(), "{} held at most", fleet.max_held);
    fleet.run(Duration::from_secs(4)).unwrap();
    let file = file();
    let b = bound(&file.limits[0].limit, &file.limit_params(4_500_000_000), Fault::DuplicateNumber);
    let most = MOST + (b.max_overshoot * MOST as f64).round() as usize;
    assert!(fleet.max_held <= most, "{} were out, {most} may be", fleet.max_held);
    fleet.max_held = 0;
    end(fleet);
}

#[test]
fn what_a_router_knows_of_its_fleet_can_be_asked() {
    let mut fleet = asked_at_one("asked");
    let told = fleet.fleet_status(0).unwrap();
    for line in ["router 0 of 6", "peer r5 number 5", "limit all", "owned 2", "passed over: size 0"] {
        assert!(told.contains(line), "{line:?} is not in\n{told}");
    }
    end(fleet);
}
