//! Simulated fleets with message loss, duplication, reordering, partitions and restarts. Guards
//! propagation bounds, exclusion decisions, and that reverted overrides never return.

use std::collections::{BTreeMap, BTreeSet};

use marljunction_health::bound::{convergence_bound_ns, evidence_expiry_bound_ns, propagation_bound_ns};
use marljunction_health::evidence::{Evidence, Finding, StoredEvidence};
use marljunction_health::observer::AttemptOutcome;
use marljunction_health::overrides::{Override, Overrides};
use marljunction_health::version::Version;
use marljunction_health::{HealthStatus, Message, Node};
use marljunction_testkit::health_fleet::{Fleet, MS, S, STEP_NS};
use rand::Rng;

fn excluded_by_evidence(node: &mut Node, engine: u64) -> bool {
    node.evaluation().engines.get(&engine) == Some(&HealthStatus::Out)
}

fn excluded_by_override(node: &Node, name: &str) -> bool {
    node.overrides().get(name).is_some_and(|entry| entry.excluded)
}

#[test]
fn an_override_reaches_all_routers_within_the_bound_despite_loss() {
    for (routers, seeds) in [(5, 300), (8, 300), (40, 60), (200, 6)] {
        let mut worst = 0.0f64;
        for seed in 0..seeds {
            let mut fleet = Fleet::new(routers, seed);
            if seed % 2 == 1 {
                fleet.degrade_network();
            }
            let now = fleet.now;
            let version = fleet.node(0).set_override(now, "e3", true).unwrap();
            let bound = propagation_bound_ns(&fleet.params);
            let elapsed_ns = fleet.run_until(bound, "all routers have the override", |f| {
                f.all(|node| excluded_by_override(node, "e3"))
            });
            worst = worst.max(elapsed_ns as f64 / bound as f64);
            fleet.run_until(2 * bound, "all routers acknowledged it", |f| {
                f.node(0).acks(version) + 1 == routers
            });
        }
        println!("{routers} routers: worst propagation is {worst:.2} of the bound");
        assert!(routers < 40 || worst >= 0.3, "the bound is too loose");
    }
}

#[test]
fn the_later_override_wins_on_both_sides_of_a_healed_partition() {
    for seed in 0..100 {
        let mut fleet = Fleet::new(6, seed);
        let now = fleet.now;
        fleet.node(0).set_override(now, "e1", true);
        fleet.run(3 * S);
        fleet.partition_into(|at| at / 3);
        // Conflicting changes: each side reverts what the other sets.
        let now = fleet.now;
        fleet.node(0).set_override(now, "e1", false);
        fleet.node(5).set_override(now, "e2", true);
        fleet.run(S);
        let now = fleet.now;
        fleet.node(4).set_override(now, "e1", true);
        fleet.node(1).set_override(now, "e2", false);
        fleet.run(5 * S);
        assert!(
            !excluded_by_override(fleet.node(2), "e1") && excluded_by_override(fleet.node(3), "e1"),
            "each side keeps its own override"
        );
        fleet.partitioned.clear();
        let bound = convergence_bound_ns(&fleet.params, 2);
        fleet.run_until(bound, "all routers agree", |f| {
            f.all(|n| {
                excluded_by_override(n, "e1") && n.overrides().get("e2").is_some_and(|entry| !entry.excluded)
            })
        });
    }
}

#[test]
fn partitions_with_thousands_of_overrides_converge_within_the_bound_without_a_full_sync() {
    let mut fleet = Fleet::new(6, 1);
    let now = fleet.now;
    for n in 0..2_000 {
        fleet.node(0).set_override(now, &format!("engine-{n}"), true);
    }
    fleet.run_until(600 * S, "all routers have all overrides", |f| f.all(|n| n.overrides().len() == 2_000));
    fleet.run(20 * S);
    fleet.partition_into(|at| at / 3);
    for n in 0..50 {
        fleet.node(1).set_override(now + 10 * S, &format!("left-{n}"), true);
        fleet.node(4).set_override(now + 10 * S, &format!("right-{n}"), true);
    }
    fleet.run(20 * S);
    let bytes = fleet.bytes;
    fleet.partitioned.clear();
    let bound = convergence_bound_ns(&fleet.params, 100 * 32);
    let elapsed_ns = fleet.run_until(bound, "all routers agree", |f| f.all(|n| n.overrides().len() == 2_100));
    println!("converged after {:.1} s and {} KB", elapsed_ns as f64 / 1e9, (fleet.bytes - bytes) / 1_000);
}

#[test]
fn an_engine_silent_for_a_quorum_is_excluded_until_two_routers_are_served() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(12, seed);
        if seed % 2 == 1 {
            fleet.degrade_network();
        }
        (0..2).for_each(|at| fleet.attempt_ended(at, 4, AttemptOutcome::Silent));
        fleet.run(propagation_bound_ns(&fleet.params));
        assert!(fleet.all(|n| !excluded_by_evidence(n, 4)), "two reports are below the quorum");
        fleet.attempt_ended(2, 4, AttemptOutcome::Silent);
        let bound = propagation_bound_ns(&fleet.params);
        fleet.run_until(bound, "excluded by all routers", |f| f.all(|n| excluded_by_evidence(n, 4)));
        // Few routers probe at once, and nearly all get a turn.
        let mut tried = BTreeSet::new();
        for _ in 0..60 * S / STEP_NS {
            fleet.step();
            let now = fleet.now;
            let turns: Vec<usize> =
                (0..12).filter(|at| fleet.nodes[*at].as_ref().unwrap().is_prober(now, 4)).collect();
            assert!(turns.len() <= 3, "{turns:?} probe at once");
            tried.extend(turns);
        }
        assert!(tried.len() >= 10, "{tried:?}");
        assert!(fleet.all(|n| excluded_by_evidence(n, 4)), "observers renew their evidence");
        fleet.attempt_ended(7, 4, AttemptOutcome::Served(MS));
        fleet.run(bound);
        assert!(fleet.all(|n| excluded_by_evidence(n, 4)), "one success is not enough");
        fleet.attempt_ended(8, 4, AttemptOutcome::Served(MS));
        fleet.run_until(bound, "included again by all routers", |f| f.all(|n| !excluded_by_evidence(n, 4)));
    }
}

#[test]
fn one_faulty_or_lying_router_excludes_no_engine() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(10, seed);
        fleet.degrade_network();
        // Other routers are served by every engine, and report it where a fault was reported.
        for _ in 0..20 {
            for engine in 0..20 {
                fleet.attempt_ended(3, engine, AttemptOutcome::Silent);
                (4..8).for_each(|at| fleet.attempt_ended(at, engine, AttemptOutcome::Served(MS)));
            }
            fleet.run(S);
            assert!(fleet.all(|n| n.evaluation().engines.is_empty()), "seed {seed}");
        }
        let now = fleet.now;
        let suspects = fleet.node(3).evaluation().suspects.clone();
        assert_eq!(suspects, BTreeSet::from([3]), "router 3 is the suspect at {now}");
        // A report in the name of another router is ignored by that router.
        let forged = |observer| Evidence {
            engine: 9,
            started_ms: 7,
            observer,
            incarnation: u64::MAX,
            number: 1,
            zone: 0,
            finding: Finding::Silent,
            since_ms: 0,
            age_ms: 0,
        };
        let message = Message::Update { overrides: Vec::new(), evidence: vec![forged(5)] };
        let now = fleet.now;
        fleet.node(5).receive(now, 3, message);
        let is_forged_report = |(engine, observer, stored): (u64, u32, &StoredEvidence)| {
            (engine, observer) == (9, 5) && stored.finding == Finding::Silent
        };
        assert!(!fleet.node(5).evidence().iter().any(is_forged_report));
    }
}

#[test]
fn an_engine_unreachable_from_one_zone_is_excluded_in_that_zone_only() {
    for seed in 0..30 {
        let mut fleet = Fleet::new(12, seed);
        for _ in 0..10 {
            [0, 2, 4, 6].into_iter().for_each(|at| fleet.attempt_ended(at, 4, AttemptOutcome::Silent));
            [1, 3, 5, 7, 9, 11]
                .into_iter()
                .for_each(|at| fleet.attempt_ended(at, 4, AttemptOutcome::Served(MS)));
            fleet.run(S);
        }
        let sides: Vec<bool> = (0..12).map(|at| excluded_by_evidence(fleet.node(at), 4)).collect();
        assert!(
            (0..12).all(|at| sides[at] == (at % 2 == 0)),
            "excluded in the unreachable zone only: {sides:?}"
        );
        let suspects = fleet.node(1).evaluation().suspects.clone();
        assert!(suspects.is_empty(), "one faulty engine makes no suspects: {suspects:?}");
    }
}

#[test]
fn exclusions_are_bounded_and_uniform_slowness_excludes_nothing() {
    let mut fleet = Fleet::new(8, 3);
    for engine in 0..20 {
        for at in 0..8 {
            fleet.attempt_ended(at, engine, AttemptOutcome::Silent);
        }
    }
    fleet.run(propagation_bound_ns(&fleet.params));
    let excluded = fleet.node(2).evaluation().engines.len();
    assert_eq!(excluded, 6, "30% of 20 engines");
    let same = fleet.node(2).evaluation().clone();
    assert!(fleet.all(|n| *n.evaluation() == same), "all routers exclude the same engines");

    let mut fleet = Fleet::new(8, 4);
    for round in 0..40u64 {
        // The latency of all engines triples halfway.
        let latency_ns = if round < 20 { 10 * MS } else { 30 * MS };
        for engine in 0..20 {
            (0..8).for_each(|at| {
                fleet.attempt_ended(at, engine, AttemptOutcome::Served(latency_ns + engine * MS / 10))
            });
        }
        fleet.run(S);
        assert!(fleet.all(|n| n.evaluation().engines.is_empty()), "round {round}");
    }
}

#[test]
fn an_engine_slow_for_half_of_the_routers_is_slow_for_all() {
    let mut fleet = Fleet::new(8, 5);
    for _ in 0..40 {
        for engine in 0..20 {
            for at in 0..4 {
                let latency_ns = if engine == 6 { 35 * MS } else { 10 * MS };
                fleet.attempt_ended(at, engine, AttemptOutcome::Served(latency_ns));
            }
        }
        fleet.run(S / 2);
    }
    fleet.run(propagation_bound_ns(&fleet.params));
    assert!(fleet.all(
        |n| matches!(n.evaluation().engines.get(&6), Some(HealthStatus::Slow(r)) if (2.0..4.5).contains(r))
    ));
    assert!(fleet.all(|n| n.evaluation().engines.len() == 1));
}

#[test]
fn in_a_partition_evidence_expires_and_overrides_persist() {
    let mut fleet = Fleet::new(8, 6);
    fleet.partition_into(|at| usize::from(at >= 4));
    fleet.partitioned.clear();
    let now = fleet.now;
    fleet.node(0).set_override(now, "e1", true);
    (0..3).for_each(|at| fleet.attempt_ended(at, 4, AttemptOutcome::Silent));
    fleet.run(5 * S);
    assert!(fleet.all(|n| excluded_by_evidence(n, 4)));
    fleet.partition_into(|at| usize::from(at >= 4));
    fleet.run(evidence_expiry_bound_ns(&fleet.params) + S);
    assert!((4..8).all(|at| !excluded_by_evidence(fleet.node(at), 4)), "no observer on this side renews it");
    assert!((0..4).all(|at| excluded_by_evidence(fleet.node(at), 4)), "the observers on this side renew it");
    assert!(fleet.all(|n| excluded_by_override(n, "e1")));
}

#[test]
fn an_override_survives_a_restart_of_all_routers_and_precedes_readiness() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(6, seed);
        fleet.degrade_network();
        let now = fleet.now;
        fleet.node(2).set_override(now, "e9", true);
        fleet.run(6 * S);
        (0..6).for_each(|at| fleet.kill(at));
        fleet.run(2 * S);
        // Most routers lost their stored overrides.
        (1..6).for_each(|at| fleet.persisted[at] = (Overrides::default(), fleet.now));
        (0..6).for_each(|at| fleet.start(at));
        fleet.run_until(20 * S, "all routers are ready, none before it has the override", |f| {
            let now = f.now;
            assert!(
                f.all(|n| !n.is_synced(now) || excluded_by_override(n, "e9")),
                "seed {seed}: ready without the override"
            );
            f.all(|n| n.is_synced(now))
        });
    }
}

#[test]
fn a_joining_router_syncs_thousands_of_overrides_despite_loss() {
    let mut fleet = Fleet::new(3, 1);
    fleet.kill(2);
    let now = fleet.now;
    for n in 0..5_000 {
        fleet.node(0).set_override(now, &format!("engine-{n}"), true);
    }
    // The other peer restores them from its disk.
    fleet.persisted[1] = (fleet.node(0).overrides().clone(), now);
    fleet.kill(1);
    fleet.start(1);
    fleet.run(5 * S);
    fleet.degrade_network();
    fleet.persisted[2] = Default::default();
    fleet.start(2);
    let elapsed_ns = fleet.run_until(20 * S, "the joining router is ready", |f| {
        let now = f.now;
        f.node(2).is_synced(now)
    });
    assert_eq!(fleet.node(2).overrides().len(), 5_000);
    println!("5,000 overrides after {:.1} s", elapsed_ns as f64 / 1e9);
}

#[test]
fn a_joining_router_that_syncs_from_a_stale_peer_converges_later() {
    for seed in 0..30 {
        let mut fleet = Fleet::new(6, seed);
        let now = fleet.now;
        fleet.node(0).set_override(now, "e1", true);
        fleet.run(3 * S);
        // Router 5 is partitioned and misses the reversal; router 4 then joins on its side.
        fleet.kill(4);
        fleet.persisted[4] = (Overrides::default(), fleet.now);
        fleet.partition_into(|at| usize::from(at >= 4));
        let now = fleet.now;
        fleet.node(0).set_override(now, "e1", false);
        fleet.run(3 * S);
        fleet.start(4);
        fleet.run(3 * S);
        assert!(excluded_by_override(fleet.node(4), "e1"));
        fleet.partitioned.clear();
        fleet.run_until(convergence_bound_ns(&fleet.params, 1), "all routers agree", |f| {
            f.all(|n| !excluded_by_override(n, "e1"))
        });
    }
}

#[test]
fn a_reverted_override_does_not_return_after_a_short_or_a_long_partition() {
    for (longer, restarts) in [(false, false), (true, false), (true, true)] {
        let mut fleet = Fleet::new(5, 8);
        let now = fleet.now;
        fleet.node(0).set_override(now, "e1", true);
        fleet.run(3 * S);
        fleet.partition_into(|at| usize::from(at == 4));
        let now = fleet.now;
        fleet.node(0).set_override(now, "e1", false);
        fleet.run(3 * S);
        // The clock jumps instead of stepping through a day.
        fleet.now += if longer {
            fleet.params.override_memory_ns + 60 * S
        } else {
            fleet.params.override_memory_ns - 60 * S
        };
        fleet.run(3 * S);
        let forgotten = fleet.node(1).overrides().get("e1").is_none();
        assert_eq!(forgotten, longer);
        assert!(excluded_by_override(fleet.node(4), "e1"));
        if restarts {
            // Stored overrides are as old as the last contact with a peer, not as the file.
            fleet.kill(4);
            fleet.start(4);
            fleet.run(2 * S);
        }
        fleet.partitioned.clear();
        fleet.run_until(convergence_bound_ns(&fleet.params, 1), "all routers agree", |f| {
            f.all(|n| !excluded_by_override(n, "e1"))
        });
        fleet.run(10 * S);
        assert!(fleet.all(|n| !excluded_by_override(n, "e1")), "the reverted override returned");
    }
}

#[test]
fn a_fleet_down_for_longer_than_the_override_memory_restores_stored_overrides() {
    let mut fleet = Fleet::new(5, 9);
    let now = fleet.now;
    fleet.node(0).set_override(now, "e1", true);
    fleet.run(5 * S);
    (0..5).for_each(|at| fleet.kill(at));
    fleet.now += 2 * fleet.params.override_memory_ns;
    (0..5).for_each(|at| fleet.start(at));
    fleet.run_until(10 * S, "all routers are ready", |f| {
        let now = f.now;
        f.all(|n| n.is_synced(now))
    });
    assert!(fleet.all(|n| excluded_by_override(n, "e1")));
    let now = fleet.now;
    fleet.node(3).set_override(now, "e1", false);
    fleet.run_until(propagation_bound_ns(&fleet.params), "the reversal reaches all routers", |f| {
        f.all(|n| !excluded_by_override(n, "e1"))
    });
}

#[test]
fn a_new_fleet_of_hundreds_is_ready_soon() {
    for routers in [2, 5, 300] {
        let mut fleet = Fleet::new(routers, 1);
        let elapsed_ns = fleet.run_until(10 * S, "all routers are ready", |f| {
            let now = f.now;
            f.all(|n| n.is_synced(now))
        });
        println!("{routers} routers ready after 3 s plus {:.1} s", elapsed_ns as f64 / 1e9);
    }
}

#[test]
fn stale_overrides_of_a_resumed_router_change_nothing() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(6, seed);
        fleet.degrade_network();
        let now = fleet.now;
        fleet.node(3).set_override(now, "e1", true);
        // The router is frozen with queued gossip while another reverts the override.
        fleet.run(2 * S);
        fleet.paused.insert(3);
        fleet.run(S);
        let now = fleet.now;
        fleet.node(0).set_override(now, "e1", false);
        fleet.run(10 * S);
        fleet.paused.clear();
        fleet.run_until(
            propagation_bound_ns(&fleet.params),
            "the frozen router learns of the reversal",
            |f| !excluded_by_override(f.node(3), "e1"),
        );
        fleet.run(5 * S);
        assert!(fleet.all(|n| !excluded_by_override(n, "e1")));
    }
}

#[test]
fn all_routers_converge_to_the_latest_overrides_under_random_faults() {
    for seed in 0..200 {
        let mut fleet = Fleet::new(6, seed);
        // Latest override of each engine by version; all routers must end with it.
        let mut last = BTreeMap::<String, Override>::new();
        for _ in 0..40 {
            let at = fleet.draws.gen_range(0..6);
            match fleet.draws.gen_range(0..9) {
                0 => {
                    let split = fleet.draws.gen_range(1..6);
                    fleet.partition_into(|at| usize::from(at >= split));
                }
                1 => fleet.partitioned.clear(),
                2 => fleet.degrade_network(),
                3 => (fleet.loss, fleet.duplication, fleet.jitter_ns) = (0.0, 0.0, 3 * MS),
                4 => fleet.kill(at),
                5 => (0..6).for_each(|at| fleet.start(at)),
                6 => drop(fleet.paused.insert(at)),
                7 => fleet.paused.clear(),
                _ => {}
            }
            let (name, excluded) = (format!("e{}", fleet.draws.gen_range(0..3)), fleet.draws.gen_bool(0.5));
            let now = fleet.now;
            let running = fleet.nodes[at].as_mut().filter(|_| !fleet.paused.contains(&at));
            if let Some(version) = running.and_then(|node| node.set_override(now, &name, excluded)) {
                let entry = last.entry(name).or_insert(Override { version: Version::default(), excluded });
                *entry = (*entry).max(Override { version, excluded });
            }
            let ns = fleet.draws.gen_range(50 * MS..2 * S);
            fleet.run(ns);
        }
        (fleet.loss, fleet.duplication, fleet.jitter_ns) = (0.0, 0.0, 3 * MS);
        fleet.partitioned.clear();
        fleet.paused.clear();
        (0..6).for_each(|at| fleet.start(at));
        let bound = convergence_bound_ns(&fleet.params, 3);
        let same = last.clone();
        fleet.run_until(bound, "all routers have the latest overrides", move |f| {
            f.all(|n| same.iter().all(|(name, entry)| n.overrides().get(name) == Some(*entry)))
        });
        fleet.run(5 * S);
        assert!(
            fleet.all(|n| last.iter().all(|(name, entry)| n.overrides().get(name) == Some(*entry))),
            "seed {seed}"
        );
    }
}

#[test]
fn evidence_of_an_earlier_run_of_an_engine_does_not_count() {
    let mut fleet = Fleet::new(6, 1);
    (0..4).for_each(|at| fleet.attempt_ended(at, 4, AttemptOutcome::Silent));
    fleet.run(3 * S);
    assert!(fleet.all(|n| excluded_by_evidence(n, 4)));
    fleet.engines[4].1 = 99;
    let engines = fleet.engines.clone();
    fleet.nodes.iter_mut().flatten().for_each(|n| n.set_engines(engines.clone()));
    assert!(fleet.all(|n| !excluded_by_evidence(n, 4)));
}

#[test]
fn a_flapping_engine_is_not_excluded_forever() {
    let mut fleet = Fleet::new(8, 2);
    for second in 0..30u64 {
        for at in 0..8 {
            fleet.attempt_ended(
                at,
                4,
                if second % 2 == 0 { AttemptOutcome::Silent } else { AttemptOutcome::Served(MS) },
            );
        }
        fleet.run(S);
    }
    for at in 0..8 {
        fleet.attempt_ended(at, 4, AttemptOutcome::Served(MS));
    }
    fleet.run_until(propagation_bound_ns(&fleet.params), "included again by all routers", |f| {
        f.all(|n| !excluded_by_evidence(n, 4))
    });
}
