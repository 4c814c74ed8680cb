//! Connections to one engine: all routers together keep to the bound, and one that refuses is tried one at a time.

use marljunction_pacing::opening::{Opening, Openings};
use marljunction_pacing::Pace;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const S: u64 = 1_000_000_000;

#[test]
fn all_routers_together_stay_under_the_bound_whatever_they_want() {
    for seed in 0..200 {
        let mut draws = StdRng::seed_from_u64(seed);
        let sharers = draws.gen_range(1..400);
        let limit = Openings { per_s: draws.gen_range(1.0..500.0), sharers, pace: Pace::default() };
        let mut routers: Vec<Opening> = (0..sharers).map(|i| Opening::new(limit, u64::from(i), 0)).collect();
        let (mut opened, mut now) = (0u64, 0);
        // Each wants far more than its part.
        while now < 5 * S {
            let at = draws.gen_range(0..routers.len());
            opened += u64::from(routers[at].may_open(now));
            now += draws.gen_range(0..400_000);
        }
        assert!(
            opened as f64 <= limit.at_most(now),
            "{opened} of {} at most, seed {seed}",
            limit.at_most(now)
        );
        assert!(
            opened as f64 >= (limit.per_s * 2.0).min(1_000.0),
            "the bound is used, seed {seed}: {opened}"
        );
    }
}

#[test]
fn an_engine_that_refuses_is_tried_by_one_connection_at_a_time_and_ever_more_rarely() {
    let limit = Openings { per_s: 1_000.0, sharers: 1, pace: Pace::default() };
    let mut opening = Opening::new(limit, 1, 0);
    assert!((0..20).all(|_| opening.may_open(0)));
    (0..20).for_each(|_| opening.refused(0));
    let mut tries = Vec::new();
    for now in (0..20_000).map(|ms| ms * 1_000_000) {
        if opening.may_open(now) {
            assert!(!opening.may_open(now), "one at a time");
            tries.push(now);
            opening.refused(now + 500_000);
        }
    }
    assert!((5..=20).contains(&tries.len()), "{} tries in 20 s", tries.len());
    opening.came_up();
    assert!((0..20).all(|_| opening.may_open(20 * S)), "it is there again");
}
