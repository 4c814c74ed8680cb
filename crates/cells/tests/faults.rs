//! Simulated faults: the part of a router is always a past state of the list, and its lag stays
//! within the bound.

mod common;

use common::*;
use marljunction_cells::bound::{bound_ns, BoundParams, Fault};
use rand::Rng;

/// Number of schedules per fault.
const SEEDS: u64 = 40;

/// Runs random changes while `inject` starts and ends faults between rounds. The lag of each router
/// must stay within the bound, counted from the latest time that `inject` returned.
fn assert_lag_within_bound(
    bound_params: &BoundParams,
    fault: Fault,
    mut inject: impl FnMut(&mut Simulation, u32) -> u64,
) {
    let bound = bound_ns(bound_params, fault);
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(seed, bound_params.clone());
        sim.run_until_current(60 * S);
        let mut faults_end_ns = 0;
        for round in 0..6 {
            faults_end_ns = inject(&mut sim, round).max(faults_end_ns);
            let end = sim.now + 6 * S;
            while sim.now < end {
                if sim.rng.gen_bool(0.02) {
                    sim.change();
                }
                sim.step();
                for at in 0..sim.routers.len() {
                    let lag = sim.lag_ns(at).min(sim.now.saturating_sub(faults_end_ns));
                    assert!(
                        lag <= bound,
                        "seed {seed}: router {at} is {} ms behind at {} ms; {fault:?} allows {} ms",
                        lag / MS,
                        sim.now / MS,
                        bound / MS
                    );
                }
            }
        }
    }
}

#[test]
fn changes_arrive_within_the_bound_without_faults() {
    assert_lag_within_bound(&bound_params(), Fault::None, |sim, _| {
        sim.network.in_order = true;
        0
    });
}

#[test]
fn changes_arrive_within_the_bound_with_reordered_datagrams() {
    assert_lag_within_bound(&bound_params(), Fault::Reordering, |_, _| 0);
}

#[test]
fn changes_arrive_within_the_bound_with_loss_and_duplication() {
    let bound_params = BoundParams { loss: 0.3, ..bound_params() };
    assert_lag_within_bound(&bound_params, Fault::Loss, |sim, _| {
        sim.network = NetworkFaults { loss: 0.3, duplication: 0.2, ..NetworkFaults::default() };
        0
    });
}

#[test]
fn changes_arrive_within_the_bound_with_a_killed_relay() {
    assert_lag_within_bound(&bound_params(), Fault::RelayStopped, |sim, round| {
        let at = round as usize / 2 % sim.relays.len();
        match round % 2 {
            0 => sim.kill_relay(at),
            _ => sim.start_relay(at),
        }
        0
    });
}

#[test]
fn changes_arrive_within_the_bound_with_a_paused_relay() {
    assert_lag_within_bound(&bound_params(), Fault::RelayStopped, |sim, round| {
        let at = round as usize / 2 % sim.relays.len();
        sim.relays[at].paused = round % 2 == 0;
        0
    });
}

#[test]
fn changes_arrive_within_the_bound_with_relays_replaced_at_their_addresses() {
    assert_lag_within_bound(&bound_params(), Fault::RelayReplaced, |sim, round| {
        let at = round as usize % sim.relays.len();
        sim.start_relay(at);
        // The new process has no contact with the list service yet.
        if round % 2 == 0 {
            sim.relays[at].events.clear();
            sim.relays[at].connected = false;
        }
        let before = (at + sim.relays.len() - 1) % sim.relays.len();
        sim.start_relay(before);
        0
    });
}

#[test]
fn changes_arrive_within_the_bound_after_a_partition_from_all_relays() {
    assert_lag_within_bound(&bound_params(), Fault::Partition, |sim, round| {
        sim.network.partitioned = round % 2 == 0;
        match sim.network.partitioned {
            true => u64::MAX,
            false => sim.now,
        }
        .min(sim.now + 6 * S)
    });
}

#[test]
fn changes_arrive_within_the_bound_after_the_list_service_returns() {
    assert_lag_within_bound(&bound_params(), Fault::ServiceUnavailable, |sim, round| {
        sim.set_unavailable(round % 2 == 0);
        if round % 2 == 0 {
            sim.now + 6 * S
        } else {
            sim.now
        }
    });
}

#[test]
fn changes_arrive_within_the_bound_after_a_version_restart() {
    assert_lag_within_bound(&bound_params(), Fault::VersionRestart, |sim, round| {
        if round % 3 == 1 {
            sim.restart_versions();
        }
        0
    });
}

#[test]
fn cold_routers_receive_their_parts_within_the_bound() {
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(seed, bound_params());
        // The bound counts from when the relays have the list.
        sim.run(STEP_NS);
        sim.run_until_current(bound_ns(&bound_params(), Fault::ColdStart));
        let many = BoundParams { relays: 12, ..bound_params() };
        let mut sim = Simulation::new(seed, many.clone());
        (1..sim.relays.len()).for_each(|at| sim.kill_relay(at));
        sim.run_until_current(bound_ns(&many, Fault::ColdStartOneRelay));
    }
}

/// Guards against invented states and lasting divergence under combined random faults.
#[test]
fn routers_hold_only_past_states_and_converge_after_random_faults() {
    for seed in 1_000..1_000 + 200 {
        let mut sim = Simulation::new(seed, bound_params());
        for _ in 0..12 {
            inject_random_fault(&mut sim);
            let end = sim.now + sim.rng.gen_range(100 * MS..5 * S);
            while sim.now < end {
                if sim.rng.gen_bool(0.05) {
                    sim.change();
                }
                sim.step();
            }
        }
        sim.network = NetworkFaults::default();
        for at in 0..sim.relays.len() {
            sim.relays[at].version_offset = 0;
            sim.start_relay(at);
        }
        sim.set_unavailable(false);
        let limit =
            bound_ns(&bound_params(), Fault::VersionRestart) + bound_ns(&bound_params(), Fault::RelayStopped);
        sim.run_until_current(limit);
    }
}

fn inject_random_fault(sim: &mut Simulation) {
    let at = sim.rng.gen_range(0..sim.relays.len());
    match sim.rng.gen_range(0..10) {
        0 => sim.kill_relay(at),
        1 => sim.start_relay(at),
        2 => sim.relays[at].paused = true,
        3 => sim.relays[at].paused = false,
        4 => {
            let unavailable = sim.rng.gen_bool(0.5);
            sim.set_unavailable(unavailable);
        }
        5 => sim.restart_versions(),
        6 => sim.relays[at].version_offset = sim.rng.gen_range(-50..50),
        7 => {
            let at = sim.rng.gen_range(0..sim.routers.len());
            sim.restart_router(at);
        }
        _ => {
            let loss = sim.rng.gen_range(0.0..0.6);
            let duplication = sim.rng.gen_range(0.0..0.5);
            sim.network =
                NetworkFaults { loss, duplication, partitioned: sim.rng.gen_bool(0.2), in_order: false };
        }
    }
}

/// Guards against a router that reports an outdated part as fresh.
#[test]
fn the_reported_age_is_never_less_than_the_true_age() {
    for seed in 0..200 {
        let mut sim = Simulation::new(seed, bound_params());
        for _ in 0..10 {
            inject_random_fault(&mut sim);
            // A relay with wrong versions may present an old list as current.
            sim.relays.iter_mut().for_each(|relay| relay.version_offset = 0);
            let end = sim.now + sim.rng.gen_range(100 * MS..5 * S);
            while sim.now < end {
                if sim.rng.gen_bool(0.05) {
                    sim.change();
                }
                sim.step();
                for at in 0..sim.routers.len() {
                    let (lag, age) = (sim.lag_ns(at), sim.routers[at].machine.age_ns(sim.now));
                    if sim.routers[at].machine.part().is_some() {
                        assert!(
                            lag <= age + 2 * STEP_NS,
                            "seed {seed}: router {at}: {lag} ns old, reports {age}"
                        );
                    }
                }
            }
        }
    }
}
