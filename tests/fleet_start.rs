//! A fleet of real processes starts, loses its list service and comes back: what must hold whatever breaks. Verdicts are on
//! rules and on bounds that the settings give.

use std::path::Path;
use std::time::Duration;

use marljunction::config::StartFile;
use marljunction_discovery::bound::ListBound;
use marljunction_pacing::Pace;
use marljunction_testkit::audit::calls_within;
use marljunction_testkit::fleet::{Fleet, Setup, MEMORY_MB};
use marljunction_testkit::list::Behavior;
use rand::SeedableRng;

const ROUTERS: usize = 8;
const S: u64 = 1_000_000_000;
/// The coordinator's stream counts as silent after this (ns).
const SILENT_NS: u64 = marljunction_discovery::stream::SILENT_NS;
/// What a loaded machine may add to any bound (ns).
const MACHINE_NS: u64 = 2 * S;
/// Longer than anything that must happen takes.
const LIMIT: Duration = Duration::from_secs(20);

fn setup(name: &str) -> Setup {
    Setup {
        operator: Some("start: { budget: 40, longest: 1s }\n".into()),
        capacity: 40.0,
        rate: 5.0,
        ..Setup::new(Path::new(env!("CARGO_BIN_EXE_marljunction")), name, ROUTERS)
    }
}

/// The pace that follows from the operator's file above.
fn pace() -> Pace {
    StartFile { budget_per_s: 40.0, spread_ns: S, longest_ns: S, ..StartFile::default() }
        .pace(ROUTERS as u32, 0)
}

fn all_live(fleet: &Fleet) -> bool {
    fleet.connected() == ROUTERS
}

/// A fleet whose routers are all there and hear the list service.
fn settled(setup: Setup) -> Fleet {
    let mut fleet = Fleet::new(setup).unwrap();
    fleet.start_clients();
    fleet.start_all().unwrap();
    until(&mut fleet, "all routers have their streams", all_live);
    fleet
}

#[track_caller]
fn until(fleet: &mut Fleet, what: &str, condition: impl Fn(&Fleet) -> bool) {
    assert!(fleet.run_until(LIMIT, condition).unwrap(), "not within {LIMIT:?}: {what}");
}

fn run(fleet: &mut Fleet, ms: u64) {
    fleet.run(Duration::from_millis(ms)).unwrap();
}

/// Nobody may be blind for longer than the settings say while the service takes calls.
#[track_caller]
fn blind_within_bound(fleet: &Fleet) {
    let bound = pace().blind_at_most_ns(SILENT_NS) + MACHINE_NS;
    let worst = fleet.routers.iter().map(|r| r.longest_disconnect_ns).max().unwrap();
    assert!(worst <= bound, "{worst} ns without a stream, {bound} at most");
}

/// Each router's calls since `from` are within what the settings allow while the service is away.
#[track_caller]
fn calls_within_bound(fleet: &Fleet, from: u64) {
    let span = fleet.now() - from;
    let bound = pace().calls_at_most(span) as usize;
    for router in 0..ROUTERS {
        let of_router: Vec<_> = fleet.list.calls.iter().filter(|c| c.router == router).copied().collect();
        let (calls, _) = calls_within(&of_router, from, fleet.now(), S);
        assert!(calls <= bound, "router {router} made {calls} calls in {span} ns, {bound} at most");
    }
}

/// All streams end at once: each router calls once, and not all in one round.
#[track_caller]
fn come_back_out_of_step(fleet: &mut Fleet) {
    let from = fleet.now();
    fleet.close_list_streams();
    until(fleet, "all have their streams", all_live);
    let (calls, _) = calls_within(&fleet.list.calls, from, fleet.now(), S);
    assert_eq!(calls, ROUTERS, "one call each");
    let (_, together) = calls_within(&fleet.list.calls, from, fleet.now(), 20_000_000);
    assert!(together < ROUTERS, "all called within one round");
    blind_within_bound(fleet);
}

/// What holds at the end of every play.
#[track_caller]
fn end(fleet: Fleet) {
    assert_eq!(fleet.stop_and_verify(LIMIT).unwrap().len(), ROUTERS);
}

#[test]
fn routers_serve_what_they_know_while_the_list_service_is_away_from_the_start() {
    let mut fleet = Fleet::new(setup("away-at-start")).unwrap();
    fleet.set_list_behavior(Behavior::Unavailable);
    fleet.start_clients();
    let from = fleet.now();
    fleet.start_all().unwrap();
    until(&mut fleet, "all serve", |f| f.load_generators.iter().all(|load| load.first_answer_ns.is_some()));
    run(&mut fleet, 2_000);
    assert_eq!(fleet.connected(), 0);
    calls_within_bound(&fleet, from);
    fleet.set_list_behavior(Behavior::Normal);
    until(&mut fleet, "all have their streams", all_live);
    blind_within_bound(&fleet);
    end(fleet);
}

#[test]
fn a_service_that_is_away_under_load_is_called_within_the_bound_and_taken_back_at_a_tenth_of_its_capacity() {
    let mut fleet = settled(setup("away-and-back"));
    let from = fleet.now();
    fleet.set_list_behavior(Behavior::Unavailable);
    run(&mut fleet, 4_000);
    calls_within_bound(&fleet, from);
    fleet.list.set_capacity(4.0);
    let back = fleet.now();
    fleet.set_list_behavior(Behavior::Normal);
    until(&mut fleet, "all have their streams", all_live);
    let (calls, _) = calls_within(&fleet.list.calls, back, fleet.now(), S);
    assert!(calls <= 4 * ROUTERS, "{calls} calls for {ROUTERS} streams");
    end(fleet);
}

#[test]
fn a_service_that_says_nothing_or_nonsense_is_called_within_the_bound() {
    let mut fleet = settled(setup("nonsense"));
    for manner in [Behavior::NoResponse, Behavior::InvalidResponse, Behavior::TruncatedResponse] {
        fleet.close_list_streams();
        let from = fleet.now();
        fleet.set_list_behavior(manner);
        run(&mut fleet, 2_500);
        assert_eq!(fleet.connected(), 0);
        calls_within_bound(&fleet, from);
        fleet.set_list_behavior(Behavior::Normal);
        until(&mut fleet, "all have their streams", all_live);
    }
    blind_within_bound(&fleet);
    end(fleet);
}

#[test]
fn what_a_service_asks_for_as_it_turns_calls_away_is_kept_within_the_longest_wait() {
    let mut fleet = settled(setup("retry-after"));
    // The last is a date an hour ahead: the clock of a service may be any.
    let date = httpdate::fmt_http_date(std::time::SystemTime::now() + Duration::from_secs(3_600));
    for (after, least_ms) in [("0", 100), ("1", 950), ("86400", 950), ("soon", 100), (date.as_str(), 950)] {
        fleet.close_list_streams();
        let from = fleet.now();
        fleet.set_list_behavior(Behavior::Rejecting(after.into()));
        run(&mut fleet, 2_200);
        for router in 0..ROUTERS {
            let of_router: Vec<u64> =
                fleet.list.calls.iter().filter(|c| c.router == router).map(|c| c.at_ns).collect();
            let times: Vec<u64> = of_router.into_iter().filter(|at| *at >= from).collect();
            let waits: Vec<u64> = times.windows(2).map(|w| (w[1] - w[0]) / 1_000_000).collect();
            assert!(!waits.is_empty(), "{after}: it asks again");
            assert!(waits.iter().all(|ms| *ms + 25 >= least_ms), "{after}: waits of {waits:?} ms");
        }
        fleet.set_list_behavior(Behavior::Normal);
        until(&mut fleet, "all have their streams", all_live);
    }
    blind_within_bound(&fleet);
    end(fleet);
}

#[test]
fn streams_that_are_closed_after_a_second_each_or_all_at_once_come_back_out_of_step() {
    let mut fleet = settled(setup("closed"));
    let from = fleet.now();
    fleet.set_list_behavior(Behavior::ClosesAfter(S));
    run(&mut fleet, 6_000);
    // Each call is up for a second: fewer than one of them a second, and ever longer waits between.
    for router in 0..ROUTERS {
        let calls = fleet.list.calls.iter().filter(|c| c.router == router && c.at_ns >= from).count();
        assert!((1..=5).contains(&calls), "router {router} made {calls} calls");
    }
    fleet.set_list_behavior(Behavior::Normal);
    until(&mut fleet, "all have their streams", all_live);
    run(&mut fleet, 1_000);
    come_back_out_of_step(&mut fleet);
    end(fleet);
}

#[test]
fn a_service_that_starts_anew_with_its_numbers_at_1_is_followed() {
    let mut fleet = settled(setup("numbers"));
    // Numbers that no router can fall behind by chance.
    (0..5).for_each(|_| fleet.republish_list());
    fleet.drain(1);
    run(&mut fleet, 300);
    fleet.restart_list();
    until(&mut fleet, "all have their streams", all_live);
    fleet.drain(0);
    run(&mut fleet, 1_500);
    for router in 0..ROUTERS {
        assert!(fleet.log_text(router).contains("counts anew"), "router {router} follows the new numbers");
    }
    let sent_late = |f: &Fleet| f.audit().late_sends;
    assert_eq!(sent_late(&fleet), 0, "a drain told under the new numbers binds");
    end(fleet);
}

#[test]
fn half_of_the_fleet_cut_off_hears_of_a_drain_once_its_links_are_mended() {
    let mut fleet = settled(setup("cut"));
    (0..ROUTERS / 2).for_each(|router| fleet.set_partitioned(router, true));
    run(&mut fleet, 500);
    fleet.drain(0);
    // Till they have noticed the silence and wait or call in vain.
    run(&mut fleet, 3_000);
    (0..ROUTERS / 2).for_each(|router| fleet.set_partitioned(router, false));
    until(&mut fleet, "all were told", |f| {
        (0..ROUTERS).all(|router| f.list.notified_ns.contains_key(&(router, "e0".to_owned())))
    });
    run(&mut fleet, 1_500);
    blind_within_bound(&fleet);
    end(fleet);
}

#[test]
fn a_drain_told_while_half_of_the_fleet_waits_to_reconnect_binds_all() {
    let mut fleet = settled(setup("drain-waiting"));
    fleet.close_list_streams();
    until(&mut fleet, "half are back", |f| f.connected() >= ROUTERS / 2);
    fleet.drain(2);
    until(&mut fleet, "all were told", |f| {
        (0..ROUTERS).all(|router| f.list.notified_ns.contains_key(&(router, "e2".to_owned())))
    });
    run(&mut fleet, 1_500);
    blind_within_bound(&fleet);
    end(fleet);
}

#[test]
fn the_whole_fleet_killed_and_started_at_once_twice_makes_one_call_each() {
    let mut fleet = settled(setup("killed"));
    for _ in 0..2 {
        (0..ROUTERS).for_each(|router| fleet.kill(router));
        until(&mut fleet, "the service has seen them go", |f| f.connected() == 0);
        let from = fleet.now();
        fleet.start_all().unwrap();
        until(&mut fleet, "all have their streams", all_live);
        let (calls, _) = calls_within(&fleet.list.calls, from, fleet.now(), S);
        assert_eq!(calls, ROUTERS);
        until(&mut fleet, "all serve", |f| {
            f.load_generators.iter().all(|load| load.first_answer_ns.is_some())
        });
    }
    blind_within_bound(&fleet);
    end(fleet);
}

#[test]
fn a_router_that_stood_still_past_its_timers_makes_one_call() {
    let mut fleet = settled(setup("frozen"));
    fleet.set_list_behavior(Behavior::Unavailable);
    until(&mut fleet, "it has tried in vain", |f| f.list.calls.iter().filter(|c| c.router == 3).count() >= 3);
    fleet.set_paused(3, true);
    run(&mut fleet, 5_000);
    fleet.set_list_behavior(Behavior::Normal);
    let woken = fleet.now();
    fleet.set_paused(3, false);
    until(&mut fleet, "all have their streams", all_live);
    run(&mut fleet, 1_000);
    let calls = fleet.list.calls.iter().filter(|c| c.router == 3 && c.at_ns >= woken).count();
    assert_eq!(calls, 1, "one call, not one for each that it missed");
    end(fleet);
}

#[test]
fn routers_with_one_seed_and_number_by_mistake_come_up_and_out_of_step() {
    let operator = Some("start: { budget: 8, longest: 1s }\n".into());
    let mut fleet = settled(Setup { same_identity: true, operator, ..setup("same") });
    // With one number all have the same place, which chance moves by an eighth of the window of 1 s.
    come_back_out_of_step(&mut fleet);
    end(fleet);
}

#[test]
fn a_fleet_that_knows_no_engine_serves_once_the_service_has_told_it() {
    let mut fleet = settled(Setup { initial_list: false, ..setup("nothing-known") });
    let before = fleet.audit().sends;
    until(&mut fleet, "work reaches the engines", |f| f.audit().sends > before + 20);
    blind_within_bound(&fleet);
    end(fleet);
}

#[test]
fn a_start_without_the_list_service_uses_the_kept_list_where_it_can_be_believed() {
    let operator = Some("start: { budget: 40, longest: 1s, keep: \"{router_file}\" }\n".into());
    let mut fleet = settled(Setup { operator, ..setup("kept") });
    until(&mut fleet, "all have kept their list", |f| {
        (0..ROUTERS).all(|router| f.router_file(router).exists())
    });
    fleet.set_list_behavior(Behavior::Unavailable);
    (0..ROUTERS).for_each(|router| fleet.kill(router));
    // One engine is gone by the next start, and some files are not what they were.
    fleet.crash_engine(1);
    let whole = std::fs::read(fleet.router_file(0)).unwrap();
    let too_large = ListBound::of(MEMORY_MB.into()).file_bytes + 1;
    let newer = String::from_utf8_lossy(&whole).replacen(" 1 ", " 2 ", 1);
    let spoilt: [(&[u8], &str); 4] = [
        (&whole[..whole.len() / 2], "torn"),
        (newer.as_bytes(), "version 2"),
        (b"", "no kept list"),
        (&vec![b'x'; too_large], "bytes are more than the"),
    ];
    for (router, (bytes, _)) in spoilt.iter().enumerate() {
        std::fs::write(fleet.router_file(router), bytes).unwrap();
    }
    fleet.set_initial_list(false);
    fleet.start_all().unwrap();
    until(&mut fleet, "those with a list serve", |f| {
        f.load_generators[spoilt.len()..].iter().all(|load| load.first_answer_ns.is_some())
    });
    until(&mut fleet, "work reaches the engines", |f| f.audit().sends > 0);
    for router in 0..ROUTERS {
        let log_text = fleet.log_text(router);
        match spoilt.get(router) {
            Some((_, why)) => {
                assert!(log_text.contains("is not used") && log_text.contains(why), "{why}: {log_text}")
            }
            None => assert!(log_text.contains("starts with the 4 engines kept"), "{log_text}"),
        }
    }
    fleet.set_list_behavior(Behavior::Normal);
    until(&mut fleet, "all have their streams", all_live);
    end(fleet);
}

#[test]
fn an_engine_gets_no_more_connections_than_the_settings_allow_and_one_that_is_gone_is_tried_ever_more_rarely()
{
    let operator = Some("start: { budget: 40, longest: 1s, connections: 2 }\n".into());
    let mut fleet = Fleet::new(Setup { operator, rate: 40.0, engines: 3, ..setup("connections") }).unwrap();
    fleet.start_clients();
    fleet.start_all().unwrap();
    until(&mut fleet, "all routers have their streams", all_live);
    run(&mut fleet, 3_000);
    fleet.crash_engine(0);
    run(&mut fleet, 2_000);
    let file = StartFile { connections_per_s: Some(2.0), ..StartFile::default() };
    let bound = file.openings(pace()).unwrap();
    let since = fleet.routers.iter().map(|r| r.started_ns).min().unwrap();
    let most = bound.at_most(fleet.now() - since);
    for engine in &fleet.engines {
        let opened = engine.opened_for_work;
        assert!(opened > 0 && opened as f64 <= most, "{opened} connections for work, {most} at most");
    }
    end(fleet);
}

#[test]
fn links_to_engines_that_are_cut_one_way_slow_or_reset_cost_no_answer_and_run_nothing_twice() {
    let mut fleet = settled(Setup { engine_links: true, rate: 10.0, ..setup("links") });
    let mut draws = rand::rngs::StdRng::seed_from_u64(1);
    let faults = "0s link 0 cut-back\n0s link 1 slow 200ms\n0s link 2 trickle 20000\n1s link 1 reset\n\
                  1s link 3 cut-there\n2s link 0 mend\n2s link 3 mend\n2s link 2 reset\n3s link 1 mend\n3s link 2 mend\n";
    let began = fleet.now();
    for event in marljunction_testkit::schedule::read(faults).unwrap() {
        let wait = (began + event.at_ns).saturating_sub(fleet.now());
        fleet.run(Duration::from_nanos(wait)).unwrap();
        fleet.apply(&event.fault, &mut draws).unwrap();
    }
    run(&mut fleet, 500);
    end(fleet);
}

#[test]
fn no_process_survives_its_fleet() {
    let mut fleet = settled(setup("survivors"));
    let ids: Vec<u32> = fleet.routers.iter().filter_map(|r| r.process.as_ref()).map(|p| p.id()).collect();
    fleet.set_paused(0, true);
    drop(fleet);
    assert_eq!(ids.len(), ROUTERS);
    for id in ids {
        assert!(!Path::new(&format!("/proc/{id}")).exists(), "process {id} is still there");
    }
}
