//! Relays and routers of cells as real processes: what must hold whatever breaks. Verdicts are on the bounds that the settings give.

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
/// What a loaded machine may add to any bound.
const MACHINE: Duration = Duration::from_secs(2);
/// Longer than anything that must happen takes.
const LIMIT: Duration = Duration::from_secs(30);

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

/// What the operator's file of a router says of the list, where relays are at these addresses.
fn cell_file(relays: &[String]) -> String {
    format!("limits: {{}}, list: {{ relays: [{}], cells: {CELLS}, engines: {ENGINES} }}", relays.join(", "))
}

/// The longest until a change is known, with this fault.
fn within(fault: Fault) -> Duration {
    let path = std::env::temp_dir().join(format!("marljunction-cells-{}-{fault:?}.conf", std::process::id()));
    let relays: Vec<String> = (0..RELAYS).map(|at| format!("\"127.0.0.1:{}\"", at + 1)).collect();
    let routers = RELAYS + ROUTERS;
    let text = format!(
        "start: {{ budget: 40, longest: 1s }}\nfleet: {{ listen: \"127.0.0.1:0\", key: \"key\", seeds: [], routers: {routers}, {} }}\n",
        cell_file(&relays)
    );
    std::fs::write(&path, text).unwrap();
    let fleet = Operator::of_file(&path).unwrap().fleet.unwrap();
    let mut terms = fleet.list.as_ref().unwrap().terms(fleet.routers).unwrap();
    terms.loss = 0.3;
    Duration::from_nanos(bound_ns(&terms, fault)) + MACHINE
}

/// Engines of a cell.
fn engines_of(cell: u32) -> Vec<usize> {
    let of = |uid: &str| Engine {
        id: engine_id(uid).0,
        address: "127.0.0.1:1".parse().unwrap(),
        zone: Some("a".into()),
        kind: None,
        group: None,
        state: EngineState::Ready,
        weight: 1.0,
        started_ms: 0,
    };
    let is_in = |at: &usize| cell_of(&of(&format!("e{at}")), CELLS, DivideBy::Engine) == cell;
    (0..ENGINES).filter(is_in).collect()
}

/// The cell of a router, as its number says.
fn cell(router: usize) -> u32 {
    router as u32 % CELLS
}

/// A fleet whose first processes are relays and whose others are routers of cells, not started yet.
fn fleet(name: &str) -> Fleet {
    let mut fleet = Fleet::new(setup(name)).unwrap();
    let relays: Vec<String> =
        fleet.peer_links[..RELAYS].iter().map(|link| format!("{:?}", link.address.to_string())).collect();
    for at in 0..RELAYS + ROUTERS {
        let text = if at < RELAYS { "limits: {}, list: { relay: true }".into() } else { cell_file(&relays) };
        fleet.set_limits(at, &text).unwrap();
    }
    fleet
}

/// What a router says of its part: its engines, and how many of them drain.
fn part(fleet: &mut Fleet, router: usize) -> Option<(usize, usize)> {
    let (_, text) = fleet.call(router, "GET", "/fleet", "").ok()?;
    let line = text.lines().find(|line| line.starts_with("cell "))?;
    let (_, told) = line.split_once(": ")?;
    let words: Vec<&str> = told.split(' ').collect();
    Some((words[0].parse().ok()?, words[2].parse().ok()?))
}

/// Waits until all routers that are there and go on hold their cell's engines, with these draining; no longer than that.
#[track_caller]
fn all_hold(fleet: &mut Fleet, draining: &[usize], limit: Duration) {
    let end = fleet.now() + limit.as_nanos() as u64;
    for router in RELAYS..RELAYS + ROUTERS {
        let mine = engines_of(cell(router));
        let wanted = Some((mine.len(), mine.iter().filter(|engine| draining.contains(engine)).count()));
        loop {
            let held = part(fleet, router);
            if held == wanted {
                break;
            }
            assert!(fleet.now() < end, "router {router} holds {held:?}, not {wanted:?}, after {limit:?}");
            fleet.run(Duration::from_millis(20)).unwrap();
        }
    }
}

/// A fleet whose routers hold their parts, and whose clients ask.
fn settled(name: &str) -> Fleet {
    let mut fleet = fleet(name);
    fleet.start_all().unwrap();
    all_hold(&mut fleet, &[], LIMIT);
    fleet.start_clients();
    fleet
}

fn lossy(fleet: &mut Fleet, loss: f64) {
    for to in 0..RELAYS + ROUTERS {
        fleet.shape_peer_link(
            None,
            to,
            Shape { loss, duplication: loss / 2.0, jitter_ns: 20_000_000, ..Shape::default() },
        );
    }
}

/// An engine of each cell drains.
fn drain(fleet: &mut Fleet, nth: usize) -> Vec<usize> {
    let all: Vec<usize> = (0..CELLS).map(|cell| engines_of(cell)[nth]).collect();
    all.iter().for_each(|engine| fleet.drain(*engine));
    all
}

/// The relay that most routers ask.
fn busiest_relay(fleet: &mut Fleet) -> usize {
    let mut asked = |relay: usize| -> usize {
        let (_, text) = fleet.call(relay, "GET", "/fleet", "").unwrap();
        let line = text.lines().find(|line| line.starts_with("relay ")).unwrap_or_default().to_owned();
        let words: Vec<&str> = line.split(' ').collect();
        let before = words.iter().position(|word| *word == "routers").unwrap_or(1) - 1;
        words[before].parse().unwrap_or(0)
    };
    let counts: Vec<usize> = (0..RELAYS).map(&mut asked).collect();
    if counts[0] >= counts[1] {
        0
    } else {
        1
    }
}

#[test]
fn routers_learn_only_their_cells_engines_serve_and_hear_of_drains() {
    let mut fleet = settled("cells-serve");
    let drained = drain(&mut fleet, 0);
    all_hold(&mut fleet, &drained, within(Fault::None));
    let from = fleet.now();
    fleet.run(Duration::from_secs(2)).unwrap();
    for engine in &drained {
        assert_eq!(fleet.sent_within(*engine, from, fleet.now()), 0, "engine {engine} drains");
    }
    let served = fleet.sum(|tally| tally.served as f64);
    assert!(served > 0.0, "nothing was served");
    // No router of a cell calls the list service.
    assert!(fleet.list.calls.iter().all(|call| call.router < RELAYS), "{:?}", fleet.list.calls);
    fleet.stop_and_verify(LIMIT).unwrap();
}

#[test]
fn drains_reach_all_routers_though_a_third_of_the_datagrams_are_lost() {
    let mut fleet = settled("cells-loss");
    lossy(&mut fleet, 0.3);
    let mut drained = Vec::new();
    for nth in 0..2 {
        drained.extend(drain(&mut fleet, nth));
        all_hold(&mut fleet, &drained, within(Fault::Loss));
    }
    lossy(&mut fleet, 0.0);
    fleet.stop_and_verify(LIMIT).unwrap();
}

#[test]
fn routers_go_on_with_another_relay_when_theirs_is_killed_and_with_a_new_one_under_its_address() {
    let mut fleet = settled("cells-kill");
    let relay = busiest_relay(&mut fleet);
    fleet.kill(relay);
    let mut drained = drain(&mut fleet, 0);
    all_hold(&mut fleet, &drained, within(Fault::RelayStops));
    fleet.start(relay).unwrap();
    drained.extend(drain(&mut fleet, 1));
    all_hold(&mut fleet, &drained, within(Fault::RelayReplaced));
    // Now the one that was never killed: all depend on the new process.
    assert!(
        fleet.run_until(LIMIT, |fleet| fleet.connected() == RELAYS).unwrap(),
        "the new relay has no stream"
    );
    fleet.kill(1 - relay);
    drained.extend(drain(&mut fleet, 2));
    all_hold(&mut fleet, &drained, within(Fault::RelayStops) + within(Fault::RelayReplaced));
    fleet.stop_and_verify(LIMIT).unwrap();
}

#[test]
fn a_relay_that_stands_still_and_goes_on_takes_nobody_back() {
    let mut fleet = settled("cells-freeze");
    let relay = busiest_relay(&mut fleet);
    fleet.set_paused(relay, true);
    let drained = drain(&mut fleet, 0);
    all_hold(&mut fleet, &drained, within(Fault::RelayStops));
    fleet.set_paused(relay, false);
    let end = fleet.now() + 5_000_000_000;
    while fleet.now() < end {
        all_hold(&mut fleet, &drained, Duration::ZERO);
        fleet.run(Duration::from_millis(20)).unwrap();
    }
    fleet.stop_and_verify(LIMIT).unwrap();
}

#[test]
fn what_is_known_stays_in_force_while_the_list_service_is_away_and_routers_that_start_know_what_relays_do() {
    let mut fleet = settled("cells-away");
    fleet.set_list_behavior(Behavior::Unavailable);
    fleet.kill(RELAYS);
    fleet.start(RELAYS).unwrap();
    let ready = |fleet: &Fleet| fleet.ready() == RELAYS + ROUTERS;
    assert!(fleet.run_until(LIMIT, ready).unwrap(), "the router is not there again");
    all_hold(&mut fleet, &[], LIMIT);
    fleet.set_list_behavior(Behavior::Normal);
    let drained = drain(&mut fleet, 0);
    all_hold(&mut fleet, &drained, within(Fault::ServiceAway));
    fleet.stop_and_verify(LIMIT).unwrap();
}

#[test]
fn a_service_that_counts_anew_is_followed() {
    let mut fleet = settled("cells-anew");
    for _ in 0..5 {
        fleet.republish_list();
    }
    let drained = drain(&mut fleet, 0);
    all_hold(&mut fleet, &drained, within(Fault::None));
    fleet.restart_list();
    let more = drain(&mut fleet, 1);
    let all: Vec<usize> = drained.into_iter().chain(more).collect();
    all_hold(&mut fleet, &all, within(Fault::ServiceAnew));
    fleet.stop_and_verify(LIMIT).unwrap();
}
