//! Fleets of membership instances in simulated time, over a network that loses, delays and
//! partitions datagrams.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use marljunction_peers::datagram::{Kind, MAX_CONTENT_BYTES, MAX_DATAGRAM_BYTES};
use marljunction_peers::{Event, Keys, Members, PeerIdentity, RejectReason, Settings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;
const STEP: u64 = 20 * MS;

fn keys(digit: char) -> Keys {
    Keys::read(&format!("{}\n", digit.to_string().repeat(64))).unwrap()
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (at >> 8) as u8, (at & 255) as u8], 7_000))
}

struct Fleet {
    members: Vec<Option<Members>>,
    settings: Settings,
    now: u64,
    in_transit: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    sequence: u64,
    rng: StdRng,
    loss: f64,
    jitter: u64,
    cut: BTreeSet<(usize, usize)>,
    events: Vec<(usize, Event)>,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let settings =
            Settings { routers: count as u32, seeds: vec![address(0), address(1)], ..Settings::default() };
        let mut fleet = Fleet {
            members: (0..count).map(|_| None).collect(),
            settings,
            now: 1_000 * S,
            in_transit: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            loss: 0.0,
            jitter: 3 * MS,
            cut: BTreeSet::new(),
            events: Vec::new(),
        };
        (0..count).for_each(|at| fleet.start(at, at));
        fleet
    }

    fn start(&mut self, at: usize, name: usize) {
        let (number, incarnation) = (name as u32, self.now + at as u64);
        let me =
            PeerIdentity { name: format!("r{name}"), number, address: address(at), incarnation, renewal: 0 };
        self.members[at] = Some(Members::new(me, keys('a'), &self.settings, incarnation ^ at as u64));
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(entry) = self.in_transit.first_entry().filter(|e| e.key().0 <= self.now) {
            let (to, datagram) = entry.remove();
            if let Some(members) = &mut self.members[to] {
                members.receive(self.now, &datagram);
            }
        }
        for at in 0..self.members.len() {
            let Some(members) = &mut self.members[at] else { continue };
            members.tick(self.now);
            let (out, events) = members.take();
            self.events.extend(events.into_iter().map(|event| (at, event)));
            for (to, datagram) in out {
                assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{} bytes", datagram.len());
                let Some(to) = (0..self.members.len()).find(|i| address(*i) == to) else { continue };
                if self.cut.contains(&(at, to)) || self.rng.gen_bool(self.loss) {
                    continue;
                }
                self.sequence += 1;
                let due = self.now + self.rng.gen_range(0..=self.jitter);
                self.in_transit.insert((due, self.sequence), (to, datagram));
            }
        }
    }

    fn run_until(&mut self, timeout_s: u64, what: &str, condition: impl Fn(&Fleet) -> bool) -> f64 {
        let start_ns = self.now;
        while !condition(self) {
            assert!(self.now < start_ns + timeout_s * S, "not within {timeout_s} s: {what}");
            self.step();
        }
        (self.now - start_ns) as f64 / 1e9
    }

    /// Numbers of the peers that a router considers reachable.
    fn known_peers(&self, at: usize) -> BTreeSet<u32> {
        self.members[at].as_ref().map(|m| m.up().map(|peer| peer.number).collect()).unwrap_or_default()
    }

    fn all_connected(&self, is_running: impl Fn(usize) -> bool) -> bool {
        let all: BTreeSet<u32> =
            (0..self.members.len()).filter(|at| is_running(*at)).map(|at| at as u32).collect();
        (0..self.members.len()).filter(|at| is_running(*at)).all(|at| {
            let mut others = all.clone();
            others.remove(&(at as u32));
            self.known_peers(at) == others
        })
    }
}

#[test]
fn routers_discover_each_other_through_seeds_with_30_percent_loss() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(20, seed);
        (fleet.loss, fleet.jitter) = (0.3, 200 * MS);
        fleet.run_until(60, "every router knows all others", |f| f.all_connected(|_| true));
    }
}

#[test]
fn two_hundred_routers_started_together_discover_each_other() {
    let mut fleet = Fleet::new(200, 1);
    let elapsed_s = fleet.run_until(60, "every router knows all others", |f| f.all_connected(|_| true));
    println!("200 routers discovered each other after {elapsed_s:.1} s");
}

#[test]
fn crash_is_detected_within_the_bound_and_restart_is_reported() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(8, seed);
        fleet.run_until(60, "every router knows all others", |f| f.all_connected(|_| true));
        let incarnation = fleet.members[3].take().unwrap().me().incarnation;
        let bound = fleet.settings.max_detection_ns().div_ceil(S);
        fleet.run_until(bound, "the router is removed everywhere", |f| f.all_connected(|at| at != 3));
        fleet.events.clear();
        fleet.start(3, 3);
        fleet.run_until(60, "every router knows all others", |f| f.all_connected(|_| true));
        let has_new_incarnation = |f: &Fleet| {
            f.members[0].as_ref().unwrap().up().any(|peer| peer.number == 3 && peer.incarnation > incarnation)
        };
        assert!(has_new_incarnation(&fleet));
        // A restart before the crash has been detected.
        fleet.start(5, 5);
        let restart_reported = |f: &Fleet| {
            let reported_at = |at: usize| {
                f.events.iter().any(|(observer, e)| {
                    *observer == at && matches!(e, Event::Restarted(_, peer) if peer.number == 5)
                })
            };
            (0..8).filter(|at| *at != 5).all(reported_at)
        };
        fleet.run_until(60, "the restart is reported everywhere", restart_reported);
    }
}

#[test]
fn leaving_router_is_removed_promptly() {
    let mut fleet = Fleet::new(8, 1);
    fleet.run_until(60, "every router knows all others", |f| f.all_connected(|_| true));
    let now = fleet.now;
    fleet.members[2].as_mut().unwrap().leave(now);
    fleet.step();
    fleet.members[2] = None;
    let elapsed_s =
        fleet.run_until(60, "the router is removed everywhere", |f| f.all_connected(|at| at != 2));
    assert!(elapsed_s < 3.0, "{elapsed_s} s");
}

#[test]
fn partitioned_halves_merge_after_healing() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(10, seed);
        fleet.run_until(60, "every router knows all others", |f| f.all_connected(|_| true));
        for (a, b) in (0..10).flat_map(|a| (0..10).map(move |b| (a, b))).filter(|(a, b)| (*a < 5) != (*b < 5))
        {
            fleet.cut.insert((a, b));
        }
        let bound = fleet.settings.max_detection_ns().div_ceil(S);
        fleet.run_until(bound, "each half knows only its own routers", |f| {
            (0..10).all(|at| f.known_peers(at).iter().all(|other| (at < 5) == (*other < 5)))
        });
        fleet.cut.clear();
        fleet.run_until(60, "every router knows all others", |f| f.all_connected(|_| true));
        assert!(
            !fleet.events.iter().any(|(_, e)| matches!(e, Event::DuplicateName)),
            "a partition was reported as a duplicate name"
        );
    }
}

#[test]
fn duplicate_name_is_reported_to_the_displaced_router() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(6, seed);
        fleet.run_until(60, "every router knows all others", |f| f.all_connected(|_| true));
        fleet.events.clear();
        // Process 5 restarts under the name of process 4, which is still running.
        fleet.start(5, 4);
        fleet.run_until(60, "the duplicate name is reported", |f| {
            f.events.iter().any(|(at, e)| *at == 4 && matches!(e, Event::DuplicateName))
        });
        let others = fleet.events.iter().any(|(at, e)| *at != 4 && matches!(e, Event::DuplicateName));
        assert!(!others, "reported by another router, seed {seed}");
    }
}

#[test]
fn restarted_router_is_not_reported_as_a_duplicate() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(5, seed);
        fleet.run_until(60, "every router knows all others", |f| f.all_connected(|_| true));
        fleet.start(2, 2);
        fleet.run_until(60, "the restart is reported everywhere", |f| {
            f.events.iter().filter(|(_, e)| matches!(e, Event::Restarted(..))).count() >= 4
        });
        (0..10 * S / STEP).for_each(|_| fleet.step());
        let is_duplicate = |e: &Event| matches!(e, Event::DuplicateName | Event::DuplicateNumber(_));
        assert!(!fleet.events.iter().any(|(_, e)| is_duplicate(e)), "seed {seed}");
    }
}

#[test]
fn invalid_datagrams_are_counted_and_have_no_effect() {
    let mut fleet = Fleet::new(3, 1);
    fleet.run_until(60, "every router knows all others", |f| f.all_connected(|_| true));
    let (now, mut rng) = (fleet.now, StdRng::seed_from_u64(5));
    let members = fleet.members[0].as_mut().unwrap();
    members.take();
    let valid = keys('a').sign(Kind::Limits, b"what is sealed but can't be read");
    let mut sent = 0;
    let mut deliver = |members: &mut Members, datagram: &[u8]| {
        members.receive(now, datagram);
        sent += 1;
    };
    for size in 0..valid.len() {
        deliver(members, &valid[..size]);
    }
    for at in 0..valid.len() * 8 {
        let mut flipped = valid.clone();
        flipped[at / 8] ^= 1 << (at % 8);
        deliver(members, &flipped);
    }
    for _ in 0..2_000 {
        let noise: Vec<u8> = (0..rng.gen_range(0..1_400)).map(|_| rng.gen()).collect();
        deliver(members, &noise);
    }
    deliver(members, &keys('b').sign(Kind::Members, b"of another fleet"));
    deliver(members, &vec![b'm'; MAX_DATAGRAM_BYTES + 1]);
    let mut newer_version = valid.clone();
    newer_version[2] += 1;
    deliver(members, &newer_version);
    for kind in [Kind::Members, Kind::Limits] {
        deliver(members, &keys('a').sign(kind, b"what is sealed but can't be read"));
    }
    let rejected: u64 = members.rejected_datagrams().map(|(_, n)| n).sum();
    assert_eq!(rejected, sent);
    assert_eq!(members.take(), (vec![], vec![]), "no reply and no event");
    assert!(fleet.all_connected(|_| true));
}

#[test]
fn key_rotation_accepts_both_keys() {
    let (old, new) = ("a".repeat(64), "b".repeat(64));
    let read = |text: String| Keys::read(&text).unwrap();
    let (before, both, after) =
        (read(old.clone()), read(format!("{new}\n{old} # the last one\n")), read(new.clone()));
    let verified = |verifier: &Keys, signer: &Keys| {
        verifier.verify(&signer.sign(Kind::Limits, b"x")).map(|(_, c)| c.to_vec())
    };
    for (verifier, signer, accepted) in [
        (&before, &before, true),
        (&both, &before, true),
        (&both, &both, true),
        (&after, &both, true),
        (&before, &both, false),
        (&after, &before, false),
    ] {
        assert_eq!(
            verified(verifier, signer),
            if accepted { Ok(b"x".to_vec()) } else { Err(RejectReason::Mac) }
        );
    }
    // The seed depends on the signing key only.
    assert_eq!(both.shared_seed(), after.shared_seed());
    assert_ne!(before.shared_seed(), after.shared_seed());
    for wrong in ["", "# nothing", "abc", &"g".repeat(64), &format!("{old}\n{new}\n{old}")] {
        let fault = Keys::read(wrong).unwrap_err();
        assert!(wrong.is_empty() || !fault.contains(wrong), "the message quotes a key: {fault}");
    }
}

#[test]
fn payload_is_delivered_with_its_sender() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run_until(60, "every router knows all others", |f| f.all_connected(|_| true));
    let members = fleet.members[0].as_mut().unwrap();
    assert!(members.send_payload(address(1), Kind::Limits, b"hello"));
    assert!(
        !members.send_payload(address(1), Kind::Limits, &vec![0; MAX_CONTENT_BYTES]),
        "payload exceeds a datagram"
    );
    fleet.run_until(5, "the payload is delivered", |f| {
        f.events.iter().any(|(at, e)| {
            *at == 1
                && matches!(e, Event::Payload(peer, Kind::Limits, payload) if peer.number == 0 && payload == b"hello")
        })
    });
}

/// Number of peers that a router of a fleet of `routers` tracks after `peers` others have joined.
fn peers_known_after_joins(routers: u32, peers: usize) -> usize {
    let settings = Settings { routers, ..Settings::default() };
    let start = |at: usize, settings: &Settings| {
        let (number, incarnation) = (at as u32, S + at as u64);
        let me =
            PeerIdentity { name: format!("r{at}"), number, address: address(at), incarnation, renewal: 0 };
        Members::new(me, keys('a'), settings, at as u64)
    };
    let mut one = start(0, &settings);
    let joining = Settings { seeds: vec![address(0)], ..settings.clone() };
    for at in 1..=peers {
        let mut peer = start(at, &joining);
        peer.tick(S);
        peer.take().0.iter().for_each(|(_, datagram)| one.receive(S, datagram));
        one.take();
    }
    one.up().count()
}

#[test]
fn all_routers_of_a_large_fleet_are_tracked() {
    let peers = Settings::default().max_peers() + 100;
    assert_eq!(peers_known_after_joins(peers as u32 + 1, peers), peers);
}

#[test]
fn peers_beyond_the_bound_are_ignored() {
    let max_peers = Settings { routers: 4, ..Settings::default() }.max_peers();
    let peer_count = peers_known_after_joins(4, max_peers + 50);
    assert!(peer_count <= max_peers, "{peer_count} of {max_peers}");
    assert!(peer_count >= max_peers - 1, "{peer_count} of {max_peers}");
}
