//! A fleet of real processes starts, loses its list service and reconnects. List calls and
//! disconnects must stay within the bounds that follow from the settings.

use std::path::Path;
use std::time::Duration;

use marljunction::config::StartConfig;
use marljunction_discovery::bound::ListBound;
use marljunction_pacing::PacingParams;
use marljunction_testkit::audit::calls_within;
use marljunction_testkit::fleet::{Fleet, Setup, MEMORY_MB};
use marljunction_testkit::list::Behavior;
use rand::SeedableRng;

const ROUTERS: usize = 8;
const SECOND_NS: u64 = 1_000_000_000;
/// A stream without input for this long counts as failed.
const SILENT_NS: u64 = marljunction_discovery::stream::SILENT_NS;
/// Allowance for scheduling delays of a loaded machine.
const SCHEDULING_SLACK_NS: u64 = 2 * SECOND_NS;
/// Longest wait for any expected event.
const TIMEOUT: Duration = Duration::from_secs(20);

fn setup(name: &str) -> Setup {
    Setup {
        operator: Some("start: { budget: 40, longest: 1s }\n".into()),
        capacity: 40.0,
        rate: 5.0,
        ..Setup::new(Path::new(env!("CARGO_BIN_EXE_marljunction")), name, ROUTERS)
    }
}

/// The pacing parameters of the operator file above.
fn pacing_params() -> PacingParams {
    StartConfig { budget_per_s: 40.0, spread_ns: SECOND_NS, longest_ns: SECOND_NS, ..StartConfig::default() }
        .pace(ROUTERS as u32, 0)
}

fn all_connected(fleet: &Fleet) -> bool {
    fleet.connected() == ROUTERS
}

/// A started fleet, under client load, whose routers all have their list streams.
fn started_fleet(setup: Setup) -> Fleet {
    let mut fleet = Fleet::new(setup).unwrap();
    fleet.start_clients();
    fleet.start_all().unwrap();
    wait_until(&mut fleet, "all routers have their streams", all_connected);
    fleet
}

#[track_caller]
fn wait_until(fleet: &mut Fleet, what: &str, condition: impl Fn(&Fleet) -> bool) {
    assert!(fleet.run_until(TIMEOUT, condition).unwrap(), "not within {TIMEOUT:?}: {what}");
}

fn run(fleet: &mut Fleet, ms: u64) {
    fleet.run(Duration::from_millis(ms)).unwrap();
}

/// No router was disconnected from an available list service for longer than the settings allow.
#[track_caller]
fn assert_disconnects_within_bound(fleet: &Fleet) {
    let bound = pacing_params().max_reconnect_ns(SILENT_NS) + SCHEDULING_SLACK_NS;
    let longest_disconnect = fleet.routers.iter().map(|r| r.longest_disconnect_ns).max().unwrap();
    assert!(longest_disconnect <= bound, "{longest_disconnect} ns without a stream, {bound} at most");
}

/// Each router's calls since `from` are within what the settings allow during an outage.
#[track_caller]
fn assert_calls_within_bound(fleet: &Fleet, from: u64) {
    let span = fleet.now() - from;
    let bound = pacing_params().max_calls(span) as usize;
    for router in 0..ROUTERS {
        let of_router: Vec<_> = fleet.list.calls.iter().filter(|c| c.router == router).copied().collect();
        let (calls, _) = calls_within(&of_router, from, fleet.now(), SECOND_NS);
        assert!(calls <= bound, "router {router} made {calls} calls in {span} ns, {bound} at most");
    }
}

/// After all streams close at once, each router calls once, and not all in the same iteration.
#[track_caller]
fn assert_reconnects_are_spread(fleet: &mut Fleet) {
    let from = fleet.now();
    fleet.close_list_streams();
    wait_until(fleet, "all have their streams", all_connected);
    let (calls, _) = calls_within(&fleet.list.calls, from, fleet.now(), SECOND_NS);
    assert_eq!(calls, ROUTERS, "one call each");
    let (_, max_per_round) = calls_within(&fleet.list.calls, from, fleet.now(), 20_000_000);
    assert!(max_per_round < ROUTERS, "all routers called within 20 ms");
    assert_disconnects_within_bound(fleet);
}

/// Stops the fleet and runs the checks that hold for every test.
#[track_caller]
fn finish(fleet: Fleet) {
    assert_eq!(fleet.stop_and_verify(TIMEOUT).unwrap().len(), ROUTERS);
}

#[test]
fn routers_start_from_configured_engines_when_the_list_service_is_down() {
    let mut fleet = Fleet::new(setup("away-at-start")).unwrap();
    fleet.set_list_behavior(Behavior::Unavailable);
    fleet.start_clients();
    let from = fleet.now();
    fleet.start_all().unwrap();
    wait_until(&mut fleet, "all routers serve", |f| {
        f.load_generators.iter().all(|load| load.first_answer_ns.is_some())
    });
    run(&mut fleet, 2_000);
    assert_eq!(fleet.connected(), 0);
    assert_calls_within_bound(&fleet, from);
    fleet.set_list_behavior(Behavior::Normal);
    wait_until(&mut fleet, "all have their streams", all_connected);
    assert_disconnects_within_bound(&fleet);
    finish(fleet);
}

#[test]
fn list_calls_stay_bounded_during_an_outage_and_a_recovery_at_a_tenth_of_capacity() {
    let mut fleet = started_fleet(setup("away-and-back"));
    let from = fleet.now();
    fleet.set_list_behavior(Behavior::Unavailable);
    run(&mut fleet, 4_000);
    assert_calls_within_bound(&fleet, from);
    fleet.list.set_capacity(4.0);
    let back = fleet.now();
    fleet.set_list_behavior(Behavior::Normal);
    wait_until(&mut fleet, "all have their streams", all_connected);
    let (calls, _) = calls_within(&fleet.list.calls, back, fleet.now(), SECOND_NS);
    assert!(calls <= 4 * ROUTERS, "{calls} calls for {ROUTERS} streams");
    finish(fleet);
}

#[test]
fn list_calls_stay_bounded_when_responses_are_missing_or_invalid() {
    let mut fleet = started_fleet(setup("nonsense"));
    for behavior in [Behavior::NoResponse, Behavior::InvalidResponse, Behavior::TruncatedResponse] {
        fleet.close_list_streams();
        let from = fleet.now();
        fleet.set_list_behavior(behavior);
        run(&mut fleet, 2_500);
        assert_eq!(fleet.connected(), 0);
        assert_calls_within_bound(&fleet, from);
        fleet.set_list_behavior(Behavior::Normal);
        wait_until(&mut fleet, "all have their streams", all_connected);
    }
    assert_disconnects_within_bound(&fleet);
    finish(fleet);
}

#[test]
fn retry_after_is_honored_up_to_the_maximum_wait() {
    let mut fleet = started_fleet(setup("retry-after"));
    // The last value is an HTTP date one hour ahead.
    let date = httpdate::fmt_http_date(std::time::SystemTime::now() + Duration::from_secs(3_600));
    for (retry_after, min_ms) in [("0", 100), ("1", 950), ("86400", 950), ("soon", 100), (date.as_str(), 950)]
    {
        fleet.close_list_streams();
        let from = fleet.now();
        fleet.set_list_behavior(Behavior::Rejecting(retry_after.into()));
        run(&mut fleet, 2_200);
        for router in 0..ROUTERS {
            let of_router: Vec<u64> =
                fleet.list.calls.iter().filter(|c| c.router == router).map(|c| c.at_ns).collect();
            let times: Vec<u64> = of_router.into_iter().filter(|at| *at >= from).collect();
            let waits: Vec<u64> = times.windows(2).map(|w| (w[1] - w[0]) / 1_000_000).collect();
            assert!(!waits.is_empty(), "{retry_after}: router {router} did not call again");
            assert!(waits.iter().all(|ms| *ms + 25 >= min_ms), "{retry_after}: waits of {waits:?} ms");
        }
        fleet.set_list_behavior(Behavior::Normal);
        wait_until(&mut fleet, "all have their streams", all_connected);
    }
    assert_disconnects_within_bound(&fleet);
    finish(fleet);
}

#[test]
fn closed_streams_back_off_and_reconnect_spread_out() {
    let mut fleet = started_fleet(setup("closed"));
    let from = fleet.now();
    fleet.set_list_behavior(Behavior::ClosesAfter(SECOND_NS));
    run(&mut fleet, 6_000);
    // Each stream lasts a second and the waits grow, so there is less than one call per second.
    for router in 0..ROUTERS {
        let calls = fleet.list.calls.iter().filter(|c| c.router == router && c.at_ns >= from).count();
        assert!((1..=5).contains(&calls), "router {router} made {calls} calls");
    }
    fleet.set_list_behavior(Behavior::Normal);
    wait_until(&mut fleet, "all have their streams", all_connected);
    run(&mut fleet, 1_000);
    assert_reconnects_are_spread(&mut fleet);
    finish(fleet);
}

#[test]
fn routers_follow_a_list_service_that_restarts_its_event_numbers() {
    let mut fleet = started_fleet(setup("numbers"));
    // Move the event numbers well past those of the restarted service.
    (0..5).for_each(|_| fleet.republish_list());
    fleet.drain(1);
    run(&mut fleet, 300);
    fleet.restart_list();
    wait_until(&mut fleet, "all have their streams", all_connected);
    fleet.drain(0);
    run(&mut fleet, 1_500);
    for router in 0..ROUTERS {
        assert!(
            fleet.log_text(router).contains("restarted its event numbering"),
            "router {router} did not follow the new numbers"
        );
    }
    let late_sends = |f: &Fleet| f.audit().late_sends;
    assert_eq!(late_sends(&fleet), 0, "a drain under the new numbers was ignored");
    finish(fleet);
}

#[test]
fn a_drain_reaches_partitioned_routers_once_links_heal() {
    let mut fleet = started_fleet(setup("cut"));
    (0..ROUTERS / 2).for_each(|router| fleet.set_partitioned(router, true));
    run(&mut fleet, 500);
    fleet.drain(0);
    // Long enough for the partitioned routers to detect it and to retry.
    run(&mut fleet, 3_000);
    (0..ROUTERS / 2).for_each(|router| fleet.set_partitioned(router, false));
    wait_until(&mut fleet, "all routers received the drain", |f| {
        (0..ROUTERS).all(|router| f.list.notified_ns.contains_key(&(router, "e0".to_owned())))
    });
    run(&mut fleet, 1_500);
    assert_disconnects_within_bound(&fleet);
    finish(fleet);
}

#[test]
fn a_drain_during_reconnection_is_honored_by_all_routers() {
    let mut fleet = started_fleet(setup("drain-waiting"));
    fleet.close_list_streams();
    wait_until(&mut fleet, "half of the routers have their streams", |f| f.connected() >= ROUTERS / 2);
    fleet.drain(2);
    wait_until(&mut fleet, "all routers received the drain", |f| {
        (0..ROUTERS).all(|router| f.list.notified_ns.contains_key(&(router, "e2".to_owned())))
    });
    run(&mut fleet, 1_500);
    assert_disconnects_within_bound(&fleet);
    finish(fleet);
}

/// Guards against: after an outage of the list service, routers learn of a drain only when it has
/// been binding for seconds. An update counts as delivered after 7 s, outage or not.
#[test]
fn a_drain_during_an_outage_is_honored_when_it_binds() {
    let mut fleet = started_fleet(Setup { operator: None, rate: 20.0, ..setup("drain-in-outage") });
    let list_calls = fleet.list.calls.len();
    fleet.set_list_behavior(Behavior::Unavailable);
    fleet.close_list_streams();
    run(&mut fleet, 1_500);
    fleet.drain(0);
    run(&mut fleet, 6_500);
    let outage_calls = fleet.list.calls.len() - list_calls;
    let max_calls = ROUTERS as u64
        * PacingParams { callers: Some(ROUTERS as u32), ..PacingParams::default() }.max_calls(9 * SECOND_NS);
    assert!(outage_calls as u64 <= max_calls, "{outage_calls} calls, {max_calls} at most");
    fleet.set_list_behavior(Behavior::Normal);
    wait_until(&mut fleet, "all routers received the drain", |f| {
        (0..ROUTERS).all(|router| f.list.notified_ns.contains_key(&(router, "e0".to_owned())))
    });
    run(&mut fleet, 1_000);
    assert_eq!(fleet.audit().late_sends, 0, "queries sent to an engine whose drain was binding");
    finish(fleet);
}

#[test]
fn a_full_fleet_restart_makes_one_list_call_per_router() {
    let mut fleet = started_fleet(setup("killed"));
    for _ in 0..2 {
        (0..ROUTERS).for_each(|router| fleet.kill(router));
        wait_until(&mut fleet, "the service has noticed the disconnects", |f| f.connected() == 0);
        let from = fleet.now();
        fleet.start_all().unwrap();
        wait_until(&mut fleet, "all have their streams", all_connected);
        let (calls, _) = calls_within(&fleet.list.calls, from, fleet.now(), SECOND_NS);
        assert_eq!(calls, ROUTERS);
        wait_until(&mut fleet, "all routers serve", |f| {
            f.load_generators.iter().all(|load| load.first_answer_ns.is_some())
        });
    }
    assert_disconnects_within_bound(&fleet);
    finish(fleet);
}

#[test]
fn a_resumed_router_makes_one_list_call() {
    let mut fleet = started_fleet(setup("frozen"));
    fleet.set_list_behavior(Behavior::Unavailable);
    wait_until(&mut fleet, "the router has made failed calls", |f| {
        f.list.calls.iter().filter(|c| c.router == 3).count() >= 3
    });
    fleet.set_paused(3, true);
    run(&mut fleet, 5_000);
    fleet.set_list_behavior(Behavior::Normal);
    let resumed_ns = fleet.now();
    fleet.set_paused(3, false);
    wait_until(&mut fleet, "all have their streams", all_connected);
    run(&mut fleet, 1_000);
    let calls = fleet.list.calls.iter().filter(|c| c.router == 3 && c.at_ns >= resumed_ns).count();
    assert_eq!(calls, 1, "one call, not one per missed timer");
    finish(fleet);
}

#[test]
fn routers_with_the_same_seed_and_number_reconnect_spread_out() {
    let operator = Some("start: { budget: 8, longest: 1s }\n".into());
    let mut fleet = started_fleet(Setup { same_identity: true, operator, ..setup("same") });
    // Equal numbers give all routers the same slot, which random jitter moves by up to 1/8 of the
    // window of 1 s.
    assert_reconnects_are_spread(&mut fleet);
    finish(fleet);
}

#[test]
fn a_fleet_without_engines_serves_once_the_list_arrives() {
    let mut fleet = started_fleet(Setup { initial_list: false, ..setup("nothing-known") });
    let before = fleet.audit().sends;
    wait_until(&mut fleet, "work reaches the engines", |f| f.audit().sends > before + 20);
    assert_disconnects_within_bound(&fleet);
    finish(fleet);
}

#[test]
fn a_start_without_the_list_service_uses_a_valid_cached_snapshot() {
    let operator = Some("start: { budget: 40, longest: 1s, keep: \"{router_file}\" }\n".into());
    let mut fleet = started_fleet(Setup { operator, ..setup("kept") });
    wait_until(&mut fleet, "all routers have saved a snapshot", |f| {
        (0..ROUTERS).all(|router| f.router_file(router).exists())
    });
    fleet.set_list_behavior(Behavior::Unavailable);
    (0..ROUTERS).for_each(|router| fleet.kill(router));
    // One engine has crashed before the restart, and some snapshot files are invalid.
    fleet.crash_engine(1);
    let original = std::fs::read(fleet.router_file(0)).unwrap();
    let too_large = ListBound::of(MEMORY_MB.into()).file_bytes + 1;
    let newer = String::from_utf8_lossy(&original).replacen(" 1 ", " 2 ", 1);
    let invalid_files: [(&[u8], &str); 4] = [
        (&original[..original.len() / 2], "wrong checksum"),
        (newer.as_bytes(), "version 2"),
        (b"", "not a cached snapshot"),
        (&vec![b'x'; too_large], "bytes exceed the"),
    ];
    for (router, (bytes, _)) in invalid_files.iter().enumerate() {
        std::fs::write(fleet.router_file(router), bytes).unwrap();
    }
    fleet.set_initial_list(false);
    fleet.start_all().unwrap();
    wait_until(&mut fleet, "the routers with a valid snapshot serve", |f| {
        f.load_generators[invalid_files.len()..].iter().all(|load| load.first_answer_ns.is_some())
    });
    wait_until(&mut fleet, "work reaches the engines", |f| f.audit().sends > 0);
    for router in 0..ROUTERS {
        let log_text = fleet.log_text(router);
        match invalid_files.get(router) {
            Some((_, why)) => {
                assert!(log_text.contains("is not used") && log_text.contains(why), "{why}: {log_text}")
            }
            None => assert!(log_text.contains("starting with 4 engines from the snapshot"), "{log_text}"),
        }
    }
    fleet.set_list_behavior(Behavior::Normal);
    wait_until(&mut fleet, "all have their streams", all_connected);
    finish(fleet);
}

#[test]
fn connections_to_each_engine_stay_within_the_configured_rate() {
    let operator = Some("start: { budget: 40, longest: 1s, connections: 2 }\n".into());
    let mut fleet = Fleet::new(Setup { operator, rate: 40.0, engines: 3, ..setup("connections") }).unwrap();
    fleet.start_clients();
    fleet.start_all().unwrap();
    wait_until(&mut fleet, "all routers have their streams", all_connected);
    run(&mut fleet, 3_000);
    fleet.crash_engine(0);
    run(&mut fleet, 2_000);
    let start_config = StartConfig { connections_per_s: Some(2.0), ..StartConfig::default() };
    let bound = start_config.connection_budget(pacing_params()).unwrap();
    let since = fleet.routers.iter().map(|r| r.started_ns).min().unwrap();
    let max_opened = bound.max_connections(fleet.now() - since);
    for engine in &fleet.engines {
        let opened = engine.opened_for_work;
        assert!(
            opened > 0 && opened as f64 <= max_opened,
            "{opened} connections for work, {max_opened} at most"
        );
    }
    finish(fleet);
}

#[test]
fn engine_link_faults_lose_no_answer_and_run_nothing_twice() {
    let mut fleet = started_fleet(Setup { engine_links: true, rate: 10.0, ..setup("links") });
    let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    let faults = "0s link 0 cut-back\n0s link 1 slow 200ms\n0s link 2 trickle 20000\n1s link 1 reset\n\
                  1s link 3 cut-there\n2s link 0 mend\n2s link 3 mend\n2s link 2 reset\n3s link 1 mend\n3s link 2 mend\n";
    let start_ns = fleet.now();
    for event in marljunction_testkit::schedule::read(faults).unwrap() {
        let wait = (start_ns + event.at_ns).saturating_sub(fleet.now());
        fleet.run(Duration::from_nanos(wait)).unwrap();
        fleet.apply(&event.fault, &mut rng).unwrap();
    }
    run(&mut fleet, 500);
    finish(fleet);
}

#[test]
fn dropping_a_fleet_ends_all_its_processes() {
    let mut fleet = started_fleet(setup("survivors"));
    let ids: Vec<u32> = fleet.routers.iter().filter_map(|r| r.process.as_ref()).map(|p| p.id()).collect();
    fleet.set_paused(0, true);
    drop(fleet);
    assert_eq!(ids.len(), ROUTERS);
    for id in ids {
        assert!(!Path::new(&format!("/proc/{id}")).exists(), "process {id} is still running");
    }
}

/// Guards against: the clients of a router that comes up late send although all were stopped, so a
/// test that waits for the end of their calls never ends.
#[test]
fn stopped_clients_do_not_send_when_their_router_comes_up() {
    let mut fleet = Fleet::new(setup("late-router")).unwrap();
    fleet.start_clients();
    assert!(fleet.stop_clients(TIMEOUT).unwrap());
    fleet.start_all().unwrap();
    wait_until(&mut fleet, "all routers are ready", |f| f.ready() == ROUTERS);
    run(&mut fleet, 1_500);
    assert_eq!(fleet.sum(|tally| tally.requests as f64), 0.0);
}
