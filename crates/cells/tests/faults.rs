//! Routers and relays under faults in stepped time: what is held is always a past state of the list, and no older than the bound.

mod common;

use common::*;
use marljunction_cells::bound::{bound_ns, BoundParams, Fault};
use rand::Rng;

/// Schedules of each fault (count).
const SEEDS: u64 = 40;

/// Runs with changes at random moments, and faults made and mended by `fault` each so often; no router may be behind for longer
/// than the bound, counted from no earlier than the time that `fault` gave last.
fn holds(bound_params: &BoundParams, fault: Fault, mut make: impl FnMut(&mut World, u32) -> u64) {
    let bound = bound_ns(bound_params, fault);
    for seed in 0..SEEDS {
        let mut world = World::new(seed, bound_params.clone());
        world.settle(60 * S);
        let mut since = 0;
        for round in 0..6 {
            since = make(&mut world, round).max(since);
            let end = world.now + 6 * S;
            while world.now < end {
                if world.rng.gen_bool(0.02) {
                    world.change();
                }
                world.step();
                for at in 0..world.routers.len() {
                    let lag = world.lag_ns(at).min(world.now.saturating_sub(since));
                    assert!(
                        lag <= bound,
                        "seed {seed}: router {at} is {} ms behind at {} ms; {fault:?} allows {} ms",
                        lag / MS,
                        world.now / MS,
                        bound / MS
                    );
                }
            }
        }
    }
}

#[test]
fn a_change_is_known_within_the_bound_with_nothing_at_fault() {
    holds(&bound_params(), Fault::None, |world, _| {
        world.shape.in_order = true;
        0
    });
}

#[test]
fn a_change_is_known_within_the_bound_with_datagrams_that_overtake_each_other() {
    holds(&bound_params(), Fault::Reordering, |_, _| 0);
}

#[test]
fn a_change_is_known_within_the_bound_with_a_third_of_datagrams_lost_and_many_doubled() {
    let bound_params = BoundParams { loss: 0.3, ..bound_params() };
    holds(&bound_params, Fault::Loss, |world, _| {
        world.shape = Shape { loss: 0.3, doubled: 0.2, ..Shape::default() };
        0
    });
}

#[test]
fn a_change_is_known_within_the_bound_with_a_relay_killed() {
    holds(&bound_params(), Fault::RelayStopped, |world, round| {
        let at = round as usize / 2 % world.relays.len();
        match round % 2 {
            0 => world.kill_relay(at),
            _ => world.start_relay(at),
        }
        0
    });
}

#[test]
fn a_change_is_known_within_the_bound_with_a_relay_that_stands_still_and_goes_on() {
    holds(&bound_params(), Fault::RelayStopped, |world, round| {
        let at = round as usize / 2 % world.relays.len();
        world.relays[at].frozen = round % 2 == 0;
        0
    });
}

#[test]
fn a_change_is_known_within_the_bound_with_relays_replaced_under_their_addresses() {
    holds(&bound_params(), Fault::RelayReplaced, |world, round| {
        let at = round as usize % world.relays.len();
        world.start_relay(at);
        // The new process has not reached the list service yet.
        if round % 2 == 0 {
            world.relays[at].events.clear();
            world.relays[at].hears = false;
        }
        let before = (at + world.relays.len() - 1) % world.relays.len();
        world.start_relay(before);
        0
    });
}

#[test]
fn a_change_is_known_within_the_bound_after_a_cut_from_all_relays() {
    holds(&bound_params(), Fault::Partition, |world, round| {
        world.shape.cut = round % 2 == 0;
        match world.shape.cut {
            true => u64::MAX,
            false => world.now,
        }
        .min(world.now + 6 * S)
    });
}

#[test]
fn a_change_is_known_within_the_bound_once_the_list_service_is_back() {
    holds(&bound_params(), Fault::ServiceUnavailable, |world, round| {
        world.set_away(round % 2 == 0);
        if round % 2 == 0 {
            world.now + 6 * S
        } else {
            world.now
        }
    });
}

#[test]
fn a_change_is_known_within_the_bound_when_the_list_service_counts_anew() {
    holds(&bound_params(), Fault::VersionRestart, |world, round| {
        if round % 3 == 1 {
            world.count_anew();
        }
        0
    });
}

#[test]
fn cold_routers_learn_their_parts_within_the_bound() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, bound_params());
        // Relays have the list: what is bounded is what the routers take.
        world.run(STEP);
        world.settle(bound_ns(&bound_params(), Fault::ColdStart));
        let many = BoundParams { relays: 12, ..bound_params() };
        let mut world = World::new(seed, many.clone());
        (1..world.relays.len()).for_each(|at| world.kill_relay(at));
        world.settle(bound_ns(&many, Fault::ColdStartOneRelay));
    }
}

/// Faults of all kinds at random, at once; then all is mended.
#[test]
fn what_is_held_is_always_a_past_state_and_the_present_one_once_all_is_mended() {
    for seed in 1_000..1_000 + 200 {
        let mut world = World::new(seed, bound_params());
        for _ in 0..12 {
            disturb(&mut world);
            let end = world.now + world.rng.gen_range(100 * MS..5 * S);
            while world.now < end {
                if world.rng.gen_bool(0.05) {
                    world.change();
                }
                world.step();
            }
        }
        world.shape = Shape::default();
        for at in 0..world.relays.len() {
            world.relays[at].lies = 0;
            world.start_relay(at);
        }
        world.set_away(false);
        let limit =
            bound_ns(&bound_params(), Fault::VersionRestart) + bound_ns(&bound_params(), Fault::RelayStopped);
        world.settle(limit);
    }
}

fn disturb(world: &mut World) {
    let at = world.rng.gen_range(0..world.relays.len());
    match world.rng.gen_range(0..10) {
        0 => world.kill_relay(at),
        1 => world.start_relay(at),
        2 => world.relays[at].frozen = true,
        3 => world.relays[at].frozen = false,
        4 => {
            let away = world.rng.gen_bool(0.5);
            world.set_away(away);
        }
        5 => world.count_anew(),
        6 => world.relays[at].lies = world.rng.gen_range(-50..50),
        7 => {
            let at = world.rng.gen_range(0..world.routers.len());
            world.restart_router(at);
        }
        _ => {
            let loss = world.rng.gen_range(0.0..0.6);
            let doubled = world.rng.gen_range(0.0..0.5);
            world.shape = Shape { loss, doubled, cut: world.rng.gen_bool(0.2), in_order: false };
        }
    }
}

/// Whatever is frozen, killed, replaced, late or lost: a router that says how old its part is at most says the truth.
#[test]
fn the_age_that_a_router_tells_is_never_less_than_the_true_one() {
    for seed in 0..200 {
        let mut world = World::new(seed, bound_params());
        for _ in 0..10 {
            disturb(&mut world);
            // A relay that lies tells an old list for a new one; numbers alone are checked elsewhere.
            world.relays.iter_mut().for_each(|relay| relay.lies = 0);
            let end = world.now + world.rng.gen_range(100 * MS..5 * S);
            while world.now < end {
                if world.rng.gen_bool(0.05) {
                    world.change();
                }
                world.step();
                for at in 0..world.routers.len() {
                    let (lag, age) = (world.lag_ns(at), world.routers[at].machine.age_ns(world.now));
                    if world.routers[at].machine.part().is_some() {
                        assert!(lag <= age + 2 * STEP, "seed {seed}: router {at}: {lag} ns old, says {age}");
                    }
                }
            }
        }
    }
}
