//! Checks that all routers together keep to the connection budget, and that a failing engine is
//! retried by one connection at a time.

use marljunction_pacing::connection_budget::{ConnectionBudget, ConnectionPacer};
use marljunction_pacing::PacingParams;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const S: u64 = 1_000_000_000;

#[test]
fn all_routers_together_keep_to_the_connection_budget() {
    for seed in 0..200 {
        let mut draws = StdRng::seed_from_u64(seed);
        let caller_count = draws.gen_range(1..400);
        let limit = ConnectionBudget {
            per_s: draws.gen_range(1.0..500.0),
            caller_count,
            pace: PacingParams::default(),
        };
        let mut routers: Vec<ConnectionPacer> =
            (0..caller_count).map(|i| ConnectionPacer::new(limit, u64::from(i), 0)).collect();
        let (mut opened, mut now) = (0u64, 0);
        // Each router tries to open far more than its share.
        while now < 5 * S {
            let at = draws.gen_range(0..routers.len());
            opened += u64::from(routers[at].try_acquire(now));
            now += draws.gen_range(0..400_000);
        }
        assert!(
            opened as f64 <= limit.max_connections(now),
            "{opened} of {} at most, seed {seed}",
            limit.max_connections(now)
        );
        assert!(
            opened as f64 >= (limit.per_s * 2.0).min(1_000.0),
            "the bound is used, seed {seed}: {opened}"
        );
    }
}

#[test]
fn a_failing_engine_is_probed_by_one_connection_at_a_time_with_backoff() {
    let limit = ConnectionBudget { per_s: 1_000.0, caller_count: 1, pace: PacingParams::default() };
    let mut pacer = ConnectionPacer::new(limit, 1, 0);
    assert!((0..20).all(|_| pacer.try_acquire(0)));
    (0..20).for_each(|_| pacer.record_failure(0));
    let mut tries = Vec::new();
    for now in (0..20_000).map(|ms| ms * 1_000_000) {
        if pacer.try_acquire(now) {
            assert!(!pacer.try_acquire(now), "one at a time");
            tries.push(now);
            pacer.record_failure(now + 500_000);
        }
    }
    assert!((5..=20).contains(&tries.len()), "{} tries in 20 s", tries.len());
    pacer.record_success();
    assert!((0..20).all(|_| pacer.try_acquire(20 * S)), "backoff ended");
}
