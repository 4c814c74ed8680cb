//! Fleet-wide engine health and overrides across real processes with faulty links. Routers are
//! checked by the requests that the engines receive.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use marljunction_discovery::engine_id;
use marljunction_health::bound::{convergence_bound_ns, propagation_bound_ns};
use marljunction_health::evidence::{Evidence, Finding};
use marljunction_health::{HealthParams, Message};
use marljunction_peers::datagram::Kind;
use marljunction_peers::{Keys, Members, PeerIdentity, Settings};
use marljunction_testkit::fleet::{classes, Fleet, Setup, FLEET_KEY};
use marljunction_testkit::link::Shape;
use marljunction_testkit::load::Class;

const ROUTERS: usize = 6;
const ENGINES: usize = 5;
const SECOND_NS: u64 = 1_000_000_000;
const FLEET_SETTINGS: &str = "lease: 1s, verdicts: { fade: 10s }, limits: {}";
/// Longest wait for any expected event.
const TIMEOUT: Duration = Duration::from_secs(40);
/// Allowance for scheduling delays of a loaded machine.
const SCHEDULING_SLACK_NS: u64 = 3 * SECOND_NS;
/// Requests already assigned to an engine may still be sent this long after its exclusion.
const DRAIN_NS: u64 = 500_000_000;

fn params() -> HealthParams {
    HealthParams { routers: ROUTERS as u32, evidence_lifetime_ns: 10 * SECOND_NS, ..HealthParams::default() }
}

fn class() -> Vec<Class> {
    let usual = classes().swap_remove(0);
    vec![Class {
        work_ms: 30.0,
        spread: 0.4,
        share: 1.0,
        target_latency_ms: 1_000.0,
        deadline_ms: 2_500.0,
        ..usual
    }]
}

/// A started fleet under client load, with all routers connected and all engines used.
fn started_fleet(name: &str) -> Fleet {
    let mut fleet = Fleet::new(Setup {
        fleet: Some(FLEET_SETTINGS.into()),
        classes: class(),
        engines: ENGINES,
        engine_links: true,
        rate: 15.0,
        ..Setup::new(Path::new(env!("CARGO_BIN_EXE_marljunction")), name, ROUTERS)
    })
    .unwrap();
    fleet.start_all().unwrap();
    wait_until(&mut fleet, TIMEOUT, "all routers are ready", |f| f.ready() == ROUTERS);
    wait_for_all_peers(&mut fleet);
    fleet.start_clients();
    wait_until(&mut fleet, TIMEOUT, "all engines receive requests", |f| {
        (0..ENGINES).all(|e| f.sent_within(e, 0, u64::MAX) > 5)
    });
    fleet
}

/// Waits until every router reaches all others.
fn wait_for_all_peers(fleet: &mut Fleet) {
    for router in 0..ROUTERS {
        let expected = format!("{} peers can be reached", ROUTERS - 1);
        let deadline_ns = fleet.now() + TIMEOUT.as_nanos() as u64;
        while !fleet.call(router, "GET", "/fleet/verdicts", "").unwrap().1.starts_with(&expected) {
            assert!(fleet.now() < deadline_ns, "router {router} does not reach all others");
            fleet.run(Duration::from_millis(100)).unwrap();
        }
    }
}

#[track_caller]
fn wait_until(fleet: &mut Fleet, timeout: Duration, what: &str, condition: impl Fn(&Fleet) -> bool) {
    assert!(fleet.run_until(timeout, condition).unwrap(), "not within {timeout:?}: {what}");
}

fn max_propagation() -> Duration {
    Duration::from_nanos(propagation_bound_ns(&params()) + SCHEDULING_SLACK_NS)
}

/// Waits until the logs of all running routers show exactly these engines as excluded.
#[track_caller]
fn wait_until_excluded(fleet: &mut Fleet, timeout: Duration, engines: &str) {
    let last_excluded = |f: &Fleet, router: usize| {
        let log_text = f.log_text(router);
        let line = log_text
            .lines()
            .rev()
            .find_map(|l| Some(l.split_once("engines excluded fleet-wide:")?.1.trim().to_owned()));
        line.unwrap_or_default()
    };
    wait_until(fleet, timeout, &format!("all routers exclude {engines:?}"), |f| {
        (0..ROUTERS).filter(|r| f.routers[*r].process.is_some()).all(|r| last_excluded(f, r) == engines)
    });
}

/// From now on, an excluded engine receives only requests that were already assigned to it.
#[track_caller]
fn assert_receives_nothing(fleet: &mut Fleet, engine: usize) {
    let from = fleet.now() + DRAIN_NS;
    fleet.run(Duration::from_secs(3)).unwrap();
    let sent = fleet.sent_within(engine, from, u64::MAX);
    assert_eq!(sent, 0, "requests were sent to an excluded engine");
}

#[track_caller]
fn finish(fleet: Fleet) {
    fleet.stop_and_verify(TIMEOUT).unwrap();
}

#[test]
fn an_override_at_one_router_applies_to_all_and_can_be_revoked_at_another() {
    let mut fleet = started_fleet("word");
    assert_eq!(fleet.call(0, "POST", "/fleet/engines/disable", "nobody").unwrap().0, 404);
    let (status, text) = fleet.call(0, "POST", "/fleet/engines/disable", "e1").unwrap();
    assert_eq!((status, text.as_str()), (200, "e1 is out; heard by 5 of 5 other routers"));
    wait_until_excluded(&mut fleet, max_propagation(), "e1");
    assert_receives_nothing(&mut fleet, 1);
    // A fleet-wide override takes precedence over a router's own.
    assert_eq!(fleet.call(2, "POST", "/engines/disable", "e1").unwrap().0, 200);
    assert_eq!(fleet.call(2, "POST", "/engines/enable", "e1").unwrap().0, 409);
    let (status, text) = fleet.call(5, "POST", "/fleet/engines/enable", "e1").unwrap();
    assert_eq!((status, text.as_str()), (200, "e1 is back; heard by 5 of 5 other routers"));
    let back = fleet.now();
    wait_until(&mut fleet, TIMEOUT, "the engine receives requests again", |f| {
        f.sent_within(1, back, u64::MAX) > 5
    });
    let view = fleet.call(3, "GET", "/fleet/verdicts", "").unwrap().1;
    assert!(view.contains("engine e1 back by an operator at router 5"), "{view}");
    finish(fleet);
}

#[test]
fn conflicting_overrides_in_a_partition_converge_to_the_latest() {
    let mut fleet = started_fleet("crossing");
    assert_eq!(fleet.call(0, "POST", "/fleet/engines/disable", "e1").unwrap().0, 200);
    wait_until_excluded(&mut fleet, max_propagation(), "e1");
    fleet.partition_into(&[0, 0, 0, 1, 1, 1]);
    let back = fleet.call(1, "POST", "/fleet/engines/enable", "e1").unwrap();
    assert!(back.1.starts_with("e1 is back; heard by 2 of "), "{}", back.1);
    // A later override on the other side excludes e1 again, and e2 too.
    assert_eq!(fleet.call(4, "POST", "/fleet/engines/disable", "e1").unwrap().0, 200);
    assert_eq!(fleet.call(4, "POST", "/fleet/engines/disable", "e2").unwrap().0, 200);
    fleet.run(Duration::from_secs(1)).unwrap();
    fleet.partition_into(&[0; ROUTERS]);
    // The partitioned routers must first rediscover each other.
    let convergence =
        Duration::from_nanos(convergence_bound_ns(&params(), 2) + SCHEDULING_SLACK_NS) + TIMEOUT;
    wait_until_excluded(&mut fleet, convergence, "e1 e2");
    assert_receives_nothing(&mut fleet, 1);
    finish(fleet);
}

#[test]
fn an_override_survives_a_full_restart_and_loads_before_a_stateless_router_is_ready() {
    let mut fleet = started_fleet("all-killed");
    assert_eq!(fleet.call(3, "POST", "/fleet/engines/disable", "e4").unwrap().0, 200);
    wait_until_excluded(&mut fleet, max_propagation(), "e4");
    (0..ROUTERS).for_each(|router| fleet.kill(router));
    std::fs::remove_dir_all(fleet.state_dir(2)).unwrap();
    fleet.start_all().unwrap();
    wait_until(&mut fleet, TIMEOUT, "all routers are ready", |f| f.ready() == ROUTERS);
    // The router without state may serve before it has synced with its peers, but is not ready
    // until then.
    let deadline_ns = fleet.now() + TIMEOUT.as_nanos() as u64;
    while fleet.call(2, "GET", "/ready", "").unwrap().0 != 200 {
        assert!(fleet.now() < deadline_ns, "the router did not become ready");
    }
    let view = fleet.call(2, "GET", "/fleet/verdicts", "").unwrap().1;
    assert!(view.contains("engine e4 out by an operator at router 3"), "{view}");
    wait_until_excluded(&mut fleet, max_propagation(), "e4");
    assert_receives_nothing(&mut fleet, 4);
    finish(fleet);
}

#[test]
fn a_resumed_router_does_not_restore_a_revoked_override() {
    let mut fleet = started_fleet("frozen");
    assert_eq!(fleet.call(1, "POST", "/fleet/engines/disable", "e3").unwrap().0, 200);
    fleet.set_paused(1, true);
    assert_eq!(fleet.call(0, "POST", "/fleet/engines/enable", "e3").unwrap().0, 200);
    fleet.run(Duration::from_secs(8)).unwrap();
    fleet.set_paused(1, false);
    wait_until_excluded(&mut fleet, max_propagation() + TIMEOUT, "");
    fleet.run(Duration::from_secs(2)).unwrap();
    wait_until_excluded(&mut fleet, max_propagation(), "");
    finish(fleet);
}

/// Joins the fleet as a router that reports every engine as unresponsive to all its peers. Returns
/// the number of peers at the end.
fn false_reporter(seed: std::net::SocketAddr, stop: &AtomicBool) -> usize {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    let clock = marljunction_net::clock::Clock::start();
    let incarnation = clock.now_ns();
    let number = ROUTERS as u32;
    let identity = PeerIdentity {
        name: "liar".into(),
        number,
        address: socket.local_addr().unwrap(),
        incarnation,
        renewal: 0,
    };
    let settings = Settings { routers: number + 1, seeds: vec![seed], ..Settings::default() };
    let mut members = Members::new(identity, Keys::read(FLEET_KEY).unwrap(), &settings, 1);
    let (mut buffer, mut count, mut last_sent_ns) = ([0; 2_048], 0, 0);
    while !stop.load(Ordering::Relaxed) {
        if let Ok((size, _)) = socket.recv_from(&mut buffer) {
            members.receive(clock.now_ns(), &buffer[..size]);
        }
        let now = clock.now_ns();
        members.tick(now);
        if now >= last_sent_ns + SECOND_NS / 4 {
            last_sent_ns = now;
            count += 1;
            let false_evidence = |engine: usize| Evidence {
                engine: engine_id(&format!("e{engine}")).0,
                started_ms: 0,
                observer: number,
                incarnation,
                number: count,
                zone: 0,
                finding: Finding::Silent,
                since_ms: 0,
                age_ms: 0,
            };
            let update = Message::Update {
                overrides: Vec::new(),
                evidence: (0..ENGINES).map(false_evidence).collect(),
            };
            let payload = rmp_serde::to_vec(&[update]).unwrap();
            let peers: Vec<_> = members.up().map(|who| who.address).collect();
            for at in peers {
                members.send_payload(at, Kind::Health, &payload);
            }
        }
        for (to, datagram) in members.take().0 {
            let _ = socket.send_to(&datagram, to);
        }
    }
    members.up().count()
}

#[test]
fn false_evidence_from_one_router_excludes_nothing() {
    let mut fleet = started_fleet("liar");
    let stop = Arc::new(AtomicBool::new(false));
    let (stop_flag, seed) = (stop.clone(), fleet.peer_links[0].address);
    let false_reporter = std::thread::spawn(move || false_reporter(seed, &stop_flag));
    let reported = format!("router {ROUTERS} Silent");
    let deadline_ns = fleet.now() + TIMEOUT.as_nanos() as u64;
    while !(0..ROUTERS).all(|r| fleet.call(r, "GET", "/fleet/verdicts", "").unwrap().1.contains(&reported)) {
        assert!(fleet.now() < deadline_ns, "not all routers received the false evidence");
    }
    let from = fleet.now();
    fleet.run(Duration::from_secs(6)).unwrap();
    for router in 0..ROUTERS {
        assert!(
            !fleet.log_text(router).contains("is out by what the fleet"),
            "router {router} acted on the false evidence"
        );
    }
    assert!((0..ENGINES).all(|e| fleet.sent_within(e, from, u64::MAX) > 10), "all engines receive requests");
    stop.store(true, Ordering::Relaxed);
    assert_eq!(false_reporter.join().unwrap(), ROUTERS, "the false reporter was not a member with all peers");
    finish(fleet);
}

#[test]
fn an_unresponsive_engine_is_excluded_by_all_and_readmitted_once_it_serves() {
    let mut fleet = started_fleet("silent");
    let name = |e: usize| format!("{:016x}", engine_id(&format!("e{e}")).0);
    let out = format!("engine {} is out by what the fleet", name(2));
    let back = format!("engine {} is back by what the fleet", name(2));
    let partitioned = Shape { partitioned: true, ..Shape::default() };
    fleet.shape(2, partitioned, partitioned);
    wait_until(&mut fleet, TIMEOUT, "all routers exclude the engine", |f| {
        (0..ROUTERS).all(|r| f.log_text(r).contains(&out))
    });
    fleet.run(Duration::from_secs(4)).unwrap();
    // The other engines stay included.
    for engine in [0, 1, 3, 4] {
        let out = format!("engine {} is out by what the fleet", name(engine));
        assert!(
            (0..ROUTERS).all(|r| !fleet.log_text(r).contains(&out)),
            "healthy engine {engine} was excluded"
        );
    }
    fleet.shape(2, Shape::default(), Shape::default());
    wait_until(&mut fleet, TIMEOUT, "all routers readmit the engine", |f| {
        (0..ROUTERS).all(|r| f.log_text(r).contains(&back))
    });
    let healed = fleet.now();
    wait_until(&mut fleet, TIMEOUT, "the engine receives requests again from the routers", |f| {
        f.sent_within(2, healed, u64::MAX) > 30
    });
    finish(fleet);
}
