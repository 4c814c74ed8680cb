//! Relays and cell routers as real processes: engine list updates arrive within the configured
//! bounds under faults.

use std::path::Path;
use std::time::Duration;

use marljunction::setup::Setup as Operator;
use marljunction_cells::bound::{bound_ns, Fault};
use marljunction_cells::cell::cell_of;
use marljunction_cells::{DivideBy, Engine, EngineState};
use marljunction_discovery::engine_id;
use marljunction_testkit::fleet::{Fleet, Setup};
use marljunction_testkit::link::Shape;
use marljunction_testkit::list::Behavior;

const RELAYS: usize = 2;
const ROUTERS: usize = 4;
const ENGINES: usize = 16;
const CELLS: u32 = 2;
/// Allowance for scheduling delays of a loaded machine.
const SCHEDULING_SLACK: Duration = Duration::from_secs(2);
/// Longest wait for any expected event.
const TIMEOUT: Duration = Duration::from_secs(30);

fn setup(name: &str) -> Setup {
    Setup {
        operator: Some("start: { budget: 40, longest: 1s, keep: \"{router_file}\" }\n".into()),
        fleet: Some("limits: {}".into()),
        engines: ENGINES,
        initial_list: false,
        capacity: 40.0,
        rate: 4.0,
        ..Setup::new(Path::new(env!("CARGO_BIN_EXE_marljunction")), name, RELAYS + ROUTERS)
    }
}

/// The list settings of a router with relays at these addresses.
fn cell_settings(relays: &[String]) -> String {
    format!("limits: {{}}, list: {{ relays: [{}], cells: {CELLS}, engines: {ENGINES} }}", relays.join(", "))
}

/// Bound on the delay of an engine list update under this fault.
fn max_update_delay(fault: Fault) -> Duration {
    let path = std::env::temp_dir().join(format!("marljunction-cells-{}-{fault:?}.conf", std::process::id()));
    let relays: Vec<String> = (0..RELAYS).map(|at| format!("\"127.0.0.1:{}\"", at + 1)).collect();
    let routers = RELAYS + ROUTERS;
    let text = format!(
        "start: {{ budget: 40, longest: 1s }}\nfleet: {{ listen: \"127.0.0.1:0\", key: \"key\", seeds: [], routers: {routers}, {} }}\n",
        cell_settings(&relays)
    );
    std::fs::write(&path, text).unwrap();
    let fleet = Operator::from_file(&path).unwrap().fleet.unwrap();
    let mut bound_params = fleet.list.as_ref().unwrap().bound_params(fleet.routers).unwrap();
    bound_params.loss = 0.3;
    Duration::from_nanos(bound_ns(&bound_params, fault)) + SCHEDULING_SLACK
}

/// The cell of the engine with this name.
fn cell_with(uid: &str) -> u32 {
    let engine = Engine {
        id: engine_id(uid).0,
        address: "127.0.0.1:1".parse().unwrap(),
        zone: Some("a".into()),
        kind: None,
        group: None,
        state: EngineState::Ready,
        weight: 1.0,
        started_ms: 0,
    };
    cell_of(&engine, CELLS, DivideBy::Engine)
}

/// Indexes of the engines in a cell.
fn cell_engines(cell: u32) -> Vec<usize> {
    (0..ENGINES).filter(|at| cell_with(&format!("e{at}")) == cell).collect()
}

/// The cell of a router, derived from its number.
fn cell(router: usize) -> u32 {
    router as u32 % CELLS
}

/// A fleet of relays followed by cell routers, not started yet.
fn fleet(name: &str) -> Fleet {
    let mut fleet = Fleet::new(setup(name)).unwrap();
    let relays: Vec<String> =
        fleet.peer_links[..RELAYS].iter().map(|link| format!("{:?}", link.address.to_string())).collect();
    for at in 0..RELAYS + ROUTERS {
        let text =
            if at < RELAYS { "limits: {}, list: { relay: true }".into() } else { cell_settings(&relays) };
        fleet.set_limits(at, &text).unwrap();
    }
    fleet
}

/// The engine count and draining engine count that a router reports for its cell.
fn part_counts(fleet: &mut Fleet, router: usize) -> Option<(usize, usize)> {
    let (_, text) = fleet.call(router, "GET", "/fleet", "").ok()?;
    let line = text.lines().find(|line| line.starts_with("cell "))?;
    let (_, summary) = line.split_once(": ")?;
    let words: Vec<&str> = summary.split(' ').collect();
    Some((words[0].parse().ok()?, words[2].parse().ok()?))
}

/// Waits until all cell routers report their cell's engines, with these draining.
#[track_caller]
fn wait_for_parts(fleet: &mut Fleet, draining: &[usize], timeout: Duration) {
    let end = fleet.now() + timeout.as_nanos() as u64;
    for router in RELAYS..RELAYS + ROUTERS {
        let own_engines = cell_engines(cell(router));
        let expected =
            Some((own_engines.len(), own_engines.iter().filter(|engine| draining.contains(engine)).count()));
        loop {
            let actual = part_counts(fleet, router);
            if actual == expected {
                break;
            }
            assert!(
                fleet.now() < end,
                "router {router} holds {actual:?}, not {expected:?}, after {timeout:?}"
            );
            fleet.run(Duration::from_millis(20)).unwrap();
        }
    }
}

/// A started fleet whose routers have their cells' lists, under client load.
fn started_fleet(name: &str) -> Fleet {
    let mut fleet = fleet(name);
    fleet.start_all().unwrap();
    wait_for_parts(&mut fleet, &[], TIMEOUT);
    fleet.start_clients();
    fleet
}

fn set_loss(fleet: &mut Fleet, loss: f64) {
    for to in 0..RELAYS + ROUTERS {
        fleet.shape_peer_link(
            None,
            to,
            Shape { loss, duplication: loss / 2.0, jitter_ns: 20_000_000, ..Shape::default() },
        );
    }
}

/// Drains the nth engine of each cell.
fn drain(fleet: &mut Fleet, nth: usize) -> Vec<usize> {
    let all: Vec<usize> = (0..CELLS).map(|cell| cell_engines(cell)[nth]).collect();
    all.iter().for_each(|engine| fleet.drain(*engine));
    all
}

/// The relay with the most routers.
fn busiest_relay(fleet: &mut Fleet) -> usize {
    let mut router_count = |relay: usize| -> usize {
        let (_, text) = fleet.call(relay, "GET", "/fleet", "").unwrap();
        let line = text.lines().find(|line| line.starts_with("relay ")).unwrap_or_default().to_owned();
        let words: Vec<&str> = line.split(' ').collect();
        let before = words.iter().position(|word| *word == "routers").unwrap_or(1) - 1;
        words[before].parse().unwrap_or(0)
    };
    let counts: Vec<usize> = (0..RELAYS).map(&mut router_count).collect();
    if counts[0] >= counts[1] {
        0
    } else {
        1
    }
}

#[test]
fn routers_receive_only_their_cells_engines_and_stop_using_draining_ones() {
    let mut fleet = started_fleet("cells-serve");
    let drained = drain(&mut fleet, 0);
    wait_for_parts(&mut fleet, &drained, max_update_delay(Fault::None));
    let from = fleet.now();
    fleet.run(Duration::from_secs(2)).unwrap();
    for engine in &drained {
        assert_eq!(fleet.sent_within(*engine, from, fleet.now()), 0, "engine {engine} is draining");
    }
    let served = fleet.sum(|tally| tally.served as f64);
    assert!(served > 0.0, "no request was served");
    // Cell routers do not call the list service.
    assert!(fleet.list.calls.iter().all(|call| call.router < RELAYS), "{:?}", fleet.list.calls);
    fleet.stop_and_verify(TIMEOUT).unwrap();
}

#[test]
fn drains_reach_all_routers_despite_30_percent_datagram_loss() {
    let mut fleet = started_fleet("cells-loss");
    set_loss(&mut fleet, 0.3);
    let mut drained = Vec::new();
    for nth in 0..2 {
        drained.extend(drain(&mut fleet, nth));
        wait_for_parts(&mut fleet, &drained, max_update_delay(Fault::Loss));
    }
    set_loss(&mut fleet, 0.0);
    fleet.stop_and_verify(TIMEOUT).unwrap();
}

#[test]
fn routers_fail_over_to_another_relay_and_to_a_restarted_relay() {
    let mut fleet = started_fleet("cells-kill");
    let relay = busiest_relay(&mut fleet);
    fleet.kill(relay);
    let mut drained = drain(&mut fleet, 0);
    wait_for_parts(&mut fleet, &drained, max_update_delay(Fault::RelayStopped));
    fleet.start(relay).unwrap();
    drained.extend(drain(&mut fleet, 1));
    wait_for_parts(&mut fleet, &drained, max_update_delay(Fault::RelayReplaced));
    // Kill the other relay, so that all routers depend on the restarted one.
    assert!(
        fleet.run_until(TIMEOUT, |fleet| fleet.connected() == RELAYS).unwrap(),
        "the restarted relay has no stream"
    );
    fleet.kill(1 - relay);
    drained.extend(drain(&mut fleet, 2));
    wait_for_parts(
        &mut fleet,
        &drained,
        max_update_delay(Fault::RelayStopped) + max_update_delay(Fault::RelayReplaced),
    );
    fleet.stop_and_verify(TIMEOUT).unwrap();
}

#[test]
fn a_resumed_relay_does_not_revert_its_routers() {
    let mut fleet = started_fleet("cells-freeze");
    let relay = busiest_relay(&mut fleet);
    fleet.set_paused(relay, true);
    let drained = drain(&mut fleet, 0);
    wait_for_parts(&mut fleet, &drained, max_update_delay(Fault::RelayStopped));
    fleet.set_paused(relay, false);
    let end = fleet.now() + 5_000_000_000;
    while fleet.now() < end {
        wait_for_parts(&mut fleet, &drained, Duration::ZERO);
        fleet.run(Duration::from_millis(20)).unwrap();
    }
    fleet.stop_and_verify(TIMEOUT).unwrap();
}

#[test]
fn relays_supply_a_restarted_router_while_the_list_service_is_down() {
    let mut fleet = started_fleet("cells-away");
    fleet.set_list_behavior(Behavior::Unavailable);
    fleet.kill(RELAYS);
    fleet.start(RELAYS).unwrap();
    let ready = |fleet: &Fleet| fleet.ready() == RELAYS + ROUTERS;
    assert!(fleet.run_until(TIMEOUT, ready).unwrap(), "the restarted router is not ready");
    wait_for_parts(&mut fleet, &[], TIMEOUT);
    fleet.set_list_behavior(Behavior::Normal);
    let drained = drain(&mut fleet, 0);
    wait_for_parts(&mut fleet, &drained, max_update_delay(Fault::ServiceUnavailable));
    fleet.stop_and_verify(TIMEOUT).unwrap();
}

#[test]
fn routers_follow_a_list_service_whose_version_restarts() {
    let mut fleet = started_fleet("cells-anew");
    for _ in 0..5 {
        fleet.republish_list();
    }
    let drained = drain(&mut fleet, 0);
    wait_for_parts(&mut fleet, &drained, max_update_delay(Fault::None));
    fleet.restart_list();
    let more = drain(&mut fleet, 1);
    let all: Vec<usize> = drained.into_iter().chain(more).collect();
    wait_for_parts(&mut fleet, &all, max_update_delay(Fault::VersionRestart));
    fleet.stop_and_verify(TIMEOUT).unwrap();
}

/// Guards against: a check that counts a drain as told to a process that was killed before it. The
/// process that follows it starts from its snapshot and cannot know of the drain.
#[test]
fn a_drain_after_a_kill_is_not_counted_as_told() {
    let mut fleet = started_fleet("cells-told");
    let relay = busiest_relay(&mut fleet);
    fleet.kill(relay);
    let drained = drain(&mut fleet, 0);
    let is_told = |engine: &usize| fleet.list.notified_ns.contains_key(&(relay, format!("e{engine}")));
    assert!(!drained.iter().any(is_told), "told to a process that had been killed");
    fleet.run(Duration::from_secs(1)).unwrap();
    fleet.stop_and_verify(TIMEOUT).unwrap();
}

/// Guards against: routers of a cell send work for an engine that has gone to the one at its
/// address, which is in another cell, so that only a relay sees both.
#[test]
fn an_engine_whose_address_one_of_another_cell_has_taken_drains() {
    let mut fleet = started_fleet("cells-replaced");
    let old_cell = 1 - cell_with(&format!("e{ENGINES}"));
    let old = cell_engines(old_cell)[0];
    let new = fleet.replace_engine(old).unwrap();
    assert_eq!(new, ENGINES);
    fleet.announce_engine(new);
    let router = (RELAYS..RELAYS + ROUTERS).find(|router| cell(*router) == old_cell).unwrap();
    let expected = Some((cell_engines(old_cell).len(), 1));
    let end = fleet.now() + max_update_delay(Fault::None).as_nanos() as u64;
    while part_counts(&mut fleet, router) != expected {
        assert!(fleet.now() < end, "{:?}, not {expected:?}", part_counts(&mut fleet, router));
        fleet.run(Duration::from_millis(20)).unwrap();
    }
    fleet.remove_engine(old);
    fleet.run(Duration::from_secs(1)).unwrap();
    fleet.stop_and_verify(TIMEOUT).unwrap();
}
