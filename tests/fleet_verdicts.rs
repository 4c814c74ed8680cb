//! What a fleet of real processes believes of its engines, while links between them and to the engines break. Whether a router
//! follows is seen at the engines, by what they are sent.

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
const S: u64 = 1_000_000_000;
const FLEET: &str = "lease: 1s, verdicts: { fade: 10s }, limits: {}";
/// Longer than anything that must happen takes.
const LIMIT: Duration = Duration::from_secs(40);
/// What a loaded machine may add to a bound.
const MACHINE_NS: u64 = 3 * S;
/// A router that hears that an engine is out sends it nothing from then on, but for what was decided before.
const DRAIN_NS: u64 = 500_000_000;

fn params() -> HealthParams {
    HealthParams { routers: ROUTERS as u32, evidence_lifetime_ns: 10 * S, ..HealthParams::default() }
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

/// A fleet that serves, each router some requests a second.
fn serving(name: &str) -> Fleet {
    let mut fleet = Fleet::new(Setup {
        fleet: Some(FLEET.into()),
        classes: class(),
        engines: ENGINES,
        engine_links: true,
        rate: 15.0,
        ..Setup::new(Path::new(env!("CARGO_BIN_EXE_marljunction")), name, ROUTERS)
    })
    .unwrap();
    fleet.start_all().unwrap();
    until(&mut fleet, LIMIT, "all routers are there", |f| f.ready() == ROUTERS);
    all_talk(&mut fleet);
    fleet.start_clients();
    until(&mut fleet, LIMIT, "all engines are sent to", |f| {
        (0..ENGINES).all(|e| f.sent_within(e, 0, u64::MAX) > 5)
    });
    fleet
}

/// Waits until every router knows all others.
fn all_talk(fleet: &mut Fleet) {
    for router in 0..ROUTERS {
        let whole = format!("{} peers can be reached", ROUTERS - 1);
        let end = fleet.now() + LIMIT.as_nanos() as u64;
        while !fleet.call(router, "GET", "/fleet/verdicts", "").unwrap().1.starts_with(&whole) {
            assert!(fleet.now() < end, "router {router} does not know all others");
            fleet.run(Duration::from_millis(100)).unwrap();
        }
    }
}

#[track_caller]
fn until(fleet: &mut Fleet, limit: Duration, what: &str, condition: impl Fn(&Fleet) -> bool) {
    assert!(fleet.run_until(limit, condition).unwrap(), "not within {limit:?}: {what}");
}

fn heard() -> Duration {
    Duration::from_nanos(propagation_bound_ns(&params()) + MACHINE_NS)
}

/// Waits until all routers that are there leave out these engines and no others, as their logs say it.
#[track_caller]
fn all_leave_out(fleet: &mut Fleet, limit: Duration, engines: &str) {
    let last = |f: &Fleet, router: usize| {
        let log_text = f.log_text(router);
        let line = log_text
            .lines()
            .rev()
            .find_map(|l| Some(l.split_once("the whole fleet leaves out:")?.1.trim().to_owned()));
        line.unwrap_or_default()
    };
    until(fleet, limit, &format!("all leave out {engines:?}"), |f| {
        (0..ROUTERS).filter(|r| f.routers[*r].process.is_some()).all(|r| last(f, r) == engines)
    });
}

/// Nothing is sent to an engine from here on, but for what was decided before.
#[track_caller]
fn gets_nothing(fleet: &mut Fleet, engine: usize) {
    let from = fleet.now() + DRAIN_NS;
    fleet.run(Duration::from_secs(3)).unwrap();
    let sent = fleet.sent_within(engine, from, u64::MAX);
    assert_eq!(sent, 0, "sent to an engine that is out");
}

#[track_caller]
fn end(fleet: Fleet) {
    fleet.stop_and_verify(LIMIT).unwrap();
}

#[test]
fn a_word_at_one_router_holds_for_all_and_so_does_its_end_at_another() {
    let mut fleet = serving("word");
    assert_eq!(fleet.call(0, "POST", "/fleet/engines/disable", "nobody").unwrap().0, 404);
    let (status, text) = fleet.call(0, "POST", "/fleet/engines/disable", "e1").unwrap();
    assert_eq!((status, text.as_str()), (200, "e1 is out; heard by 5 of 5 other routers"));
    all_leave_out(&mut fleet, heard(), "e1");
    gets_nothing(&mut fleet, 1);
    // The fleet's word stands above one router's own.
    assert_eq!(fleet.call(2, "POST", "/engines/disable", "e1").unwrap().0, 200);
    assert_eq!(fleet.call(2, "POST", "/engines/enable", "e1").unwrap().0, 409);
    let (status, text) = fleet.call(5, "POST", "/fleet/engines/enable", "e1").unwrap();
    assert_eq!((status, text.as_str()), (200, "e1 is back; heard by 5 of 5 other routers"));
    let back = fleet.now();
    until(&mut fleet, LIMIT, "it is sent to again", |f| f.sent_within(1, back, u64::MAX) > 5);
    let view = fleet.call(3, "GET", "/fleet/verdicts", "").unwrap().1;
    assert!(view.contains("engine e1 back by an operator at router 5"), "{view}");
    end(fleet);
}

#[test]
fn words_that_cross_in_a_cut_come_to_the_later_one_on_both_sides() {
    let mut fleet = serving("crossing");
    assert_eq!(fleet.call(0, "POST", "/fleet/engines/disable", "e1").unwrap().0, 200);
    all_leave_out(&mut fleet, heard(), "e1");
    fleet.partition_into(&[0, 0, 0, 1, 1, 1]);
    let back = fleet.call(1, "POST", "/fleet/engines/enable", "e1").unwrap();
    assert!(back.1.starts_with("e1 is back; heard by 2 of "), "{}", back.1);
    // Later, on the other side: it stays out, and another goes out too.
    assert_eq!(fleet.call(4, "POST", "/fleet/engines/disable", "e1").unwrap().0, 200);
    assert_eq!(fleet.call(4, "POST", "/fleet/engines/disable", "e2").unwrap().0, 200);
    fleet.run(Duration::from_secs(1)).unwrap();
    fleet.partition_into(&[0; ROUTERS]);
    // Those who were cut off have to be found first.
    let agree = Duration::from_nanos(convergence_bound_ns(&params(), 2) + MACHINE_NS) + LIMIT;
    all_leave_out(&mut fleet, agree, "e1 e2");
    gets_nothing(&mut fleet, 1);
    end(fleet);
}

#[test]
fn a_word_outlasts_the_death_of_all_and_one_without_a_disk_knows_it_before_it_is_ready() {
    let mut fleet = serving("all-killed");
    assert_eq!(fleet.call(3, "POST", "/fleet/engines/disable", "e4").unwrap().0, 200);
    all_leave_out(&mut fleet, heard(), "e4");
    (0..ROUTERS).for_each(|router| fleet.kill(router));
    std::fs::remove_dir_all(fleet.state_dir(2)).unwrap();
    fleet.start_all().unwrap();
    until(&mut fleet, LIMIT, "all routers are there", |f| f.ready() == ROUTERS);
    // The one that knows nothing may serve before it has heard its peers; it does not call itself ready.
    let limit = fleet.now() + LIMIT.as_nanos() as u64;
    while fleet.call(2, "GET", "/ready", "").unwrap().0 != 200 {
        assert!(fleet.now() < limit, "never ready");
    }
    let view = fleet.call(2, "GET", "/fleet/verdicts", "").unwrap().1;
    assert!(view.contains("engine e4 out by an operator at router 3"), "{view}");
    all_leave_out(&mut fleet, heard(), "e4");
    gets_nothing(&mut fleet, 4);
    end(fleet);
}

#[test]
fn one_that_stood_still_brings_nothing_back() {
    let mut fleet = serving("frozen");
    assert_eq!(fleet.call(1, "POST", "/fleet/engines/disable", "e3").unwrap().0, 200);
    fleet.set_paused(1, true);
    assert_eq!(fleet.call(0, "POST", "/fleet/engines/enable", "e3").unwrap().0, 200);
    fleet.run(Duration::from_secs(8)).unwrap();
    fleet.set_paused(1, false);
    all_leave_out(&mut fleet, heard() + LIMIT, "");
    fleet.run(Duration::from_secs(2)).unwrap();
    all_leave_out(&mut fleet, heard(), "");
    end(fleet);
}

/// A router of the fleet that tells all others, as soon as it knows them, that it finds every engine silent.
fn liar(seed: std::net::SocketAddr, stop: &AtomicBool) -> usize {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    let clock = marljunction_net::clock::Clock::start();
    let incarnation = clock.now_ns();
    let number = ROUTERS as u32;
    let me = PeerIdentity {
        name: "liar".into(),
        number,
        address: socket.local_addr().unwrap(),
        incarnation,
        renewal: 0,
    };
    let settings = Settings { routers: number + 1, seeds: vec![seed], ..Settings::default() };
    let mut members = Members::new(me, Keys::read(FLEET_KEY).unwrap(), &settings, 1);
    let (mut buffer, mut count, mut told) = ([0; 2_048], 0, 0);
    while !stop.load(Ordering::Relaxed) {
        if let Ok((size, _)) = socket.recv_from(&mut buffer) {
            members.receive(clock.now_ns(), &buffer[..size]);
        }
        let now = clock.now_ns();
        members.tick(now);
        if now >= told + S / 4 {
            told = now;
            count += 1;
            let lie = |engine: usize| Evidence {
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
            let news = Message::Update { overrides: Vec::new(), evidence: (0..ENGINES).map(lie).collect() };
            let log_text = rmp_serde::to_vec(&[news]).unwrap();
            let peers: Vec<_> = members.up().map(|who| who.address).collect();
            for at in peers {
                members.send_payload(at, Kind::Verdicts, &log_text);
            }
        }
        for (to, datagram) in members.take().0 {
            let _ = socket.send_to(&datagram, to);
        }
    }
    members.up().count()
}

#[test]
fn a_router_that_lies_takes_out_nothing() {
    let mut fleet = serving("liar");
    let stop = Arc::new(AtomicBool::new(false));
    let (until_then, seed) = (stop.clone(), fleet.peer_links[0].address);
    let liar = std::thread::spawn(move || liar(seed, &until_then));
    let heard = format!("router {ROUTERS} Silent");
    let end_ns = fleet.now() + LIMIT.as_nanos() as u64;
    while !(0..ROUTERS).all(|r| fleet.call(r, "GET", "/fleet/verdicts", "").unwrap().1.contains(&heard)) {
        assert!(fleet.now() < end_ns, "its word is not heard by all");
    }
    let from = fleet.now();
    fleet.run(Duration::from_secs(6)).unwrap();
    for router in 0..ROUTERS {
        assert!(!fleet.log_text(router).contains("is out by what the fleet"), "router {router} believes it");
    }
    assert!((0..ENGINES).all(|e| fleet.sent_within(e, from, u64::MAX) > 10), "all engines are sent to");
    stop.store(true, Ordering::Relaxed);
    assert_eq!(liar.join().unwrap(), ROUTERS, "it was one of them");
    end(fleet);
}

#[test]
fn an_engine_that_falls_silent_is_out_for_all_tried_by_few_and_back_once_it_serves() {
    let mut fleet = serving("silent");
    let name = |e: usize| format!("{:016x}", engine_id(&format!("e{e}")).0);
    let out = format!("engine {} is out by what the fleet", name(2));
    let back = format!("engine {} is back by what the fleet", name(2));
    let partitioned = Shape { partitioned: true, ..Shape::default() };
    fleet.shape(2, partitioned, partitioned);
    until(&mut fleet, LIMIT, "all leave it out", |f| (0..ROUTERS).all(|r| f.log_text(r).contains(&out)));
    fleet.run(Duration::from_secs(4)).unwrap();
    // Others are left in, whatever a router sees of them meanwhile.
    for engine in [0, 1, 3, 4] {
        let out = format!("engine {} is out by what the fleet", name(engine));
        assert!((0..ROUTERS).all(|r| !fleet.log_text(r).contains(&out)), "engine {engine} is well");
    }
    fleet.shape(2, Shape::default(), Shape::default());
    until(&mut fleet, LIMIT, "it is back for all", |f| (0..ROUTERS).all(|r| f.log_text(r).contains(&back)));
    let healed = fleet.now();
    until(&mut fleet, LIMIT, "all of them send to it", |f| f.sent_within(2, healed, u64::MAX) > 30);
    end(fleet);
}
