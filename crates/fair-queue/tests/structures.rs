//! Property tests of the data structures against simple reference models.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use marljunction_fair_queue::fair::{Discipline, StartTimeFairQueue};
use marljunction_fair_queue::settings::{shuffle_shard, ClientHasher, FairQueueConfig};
use marljunction_fair_queue::sketch::HeavyHitters;
use marljunction_fair_queue::wheel::TimingWheel;
use proptest::prelude::*;

const TICK: u64 = 1 << 20;

#[derive(Clone, Debug)]
enum Step {
    Insert(u64),
    Remove(usize),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let far = prop_oneof![0..200_u64, 0..10_000_u64, 0..40_000_000_u64];
    let step = prop_oneof![
        4 => far.clone().prop_map(Step::Insert),
        1 => any::<usize>().prop_map(Step::Remove),
        2 => far.prop_map(Step::Pass),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// For any sequence of insertions, removals and steps, the wheel returns the same values as a
    /// sorted map, tick by tick.
    #[test]
    fn timing_wheel_matches_a_sorted_map(start in 0..1_u64 << 40, steps in steps()) {
        let mut now = start * TICK;
        let (mut wheel, mut reference, mut keys) = (TimingWheel::new(now), BTreeMap::new(), HashMap::new());
        for (n, step) in steps.into_iter().enumerate() {
            match step {
                Step::Insert(ticks) => {
                    let due = now + ticks * TICK;
                    keys.insert(n, wheel.insert(due, n));
                    reference.insert((due / TICK, n), ());
                }
                Step::Remove(pick) => {
                    let Some(&(due, n)) = reference.keys().nth(pick % reference.len().max(1)) else { continue };
                    reference.remove(&(due, n));
                    prop_assert_eq!(wheel.remove(keys[&n]), Some(n));
                }
                Step::Pass(ticks) => {
                    now += ticks * TICK;
                    let (mut got, mut target_ms) = (Vec::new(), Vec::new());
                    while let Some(n) = wheel.expire(now) {
                        got.push(n);
                    }
                    while let Some((&(due, n), ())) = reference.first_key_value().filter(|((d, _), ())| *d <= now / TICK) {
                        reference.remove(&(due, n));
                        target_ms.push(n);
                    }
                    got.sort_unstable();
                    target_ms.sort_unstable();
                    prop_assert_eq!(got, target_ms);
                }
            }
            prop_assert_eq!(wheel.len(), reference.len());
            let first = reference.keys().next().map(|(due, _)| *due * TICK);
            let next_due = wheel.next_due_ns();
            prop_assert_eq!(next_due.is_some(), first.is_some());
            prop_assert!(next_due <= first && next_due.is_none_or(|t| t >= now / TICK * TICK));
        }
    }

    /// The bound of Goyal, Vin and Cheng: for two backlogged flows the weighted service differs by
    /// at most the sum of their maximum costs over their weights.
    #[test]
    fn start_time_fair_queueing_bounds_the_service_difference(
        weights in proptest::collection::vec(1..20_u32, 2..8),
        costs in proptest::collection::vec(1..1_000_u32, 50..400),
    ) {
        let weights: Vec<f64> = weights.into_iter().map(f64::from).collect();
        let mut fair = StartTimeFairQueue::new(&weights, f64::INFINITY);
        (0..weights.len()).for_each(|flow| fair.activate(flow, 0.0));
        let mut got = vec![0.0; weights.len()];
        let max_cost = 1_000.0;
        for cost in costs {
            let flow = fair.pick().unwrap();
            fair.charge(flow, f64::from(cost), 0.0);
            got[flow] += f64::from(cost);
            for (a, b) in (0..weights.len()).flat_map(|a| (0..a).map(move |b| (a, b))) {
                let apart = (got[a] / weights[a] - got[b] / weights[b]).abs();
                prop_assert!(apart <= max_cost / weights[a] + max_cost / weights[b] + 1e-6, "{apart}");
            }
        }
    }

    /// The service to other flows between two turns of a backlogged flow is bounded by their
    /// weights and maximum costs.
    #[test]
    fn a_backlogged_flow_waits_no_longer_than_the_bound(
        weights in proptest::collection::vec(1..10_u32, 2..6),
        costs in proptest::collection::vec(1..100_u32, 100..300),
    ) {
        let weights: Vec<f64> = weights.into_iter().map(f64::from).collect();
        let mut fair = StartTimeFairQueue::new(&weights, f64::INFINITY);
        (0..weights.len()).for_each(|flow| fair.activate(flow, 0.0));
        let (mut since, mut last) = (vec![0.0; weights.len()], vec![0.0; weights.len()]);
        for cost in costs.into_iter().map(f64::from) {
            let flow = fair.pick().unwrap();
            fair.charge(flow, cost, 0.0);
            for other in 0..weights.len() {
                since[other] += cost;
                // Each of the others may get its weighted equivalent of the flow's last turn, plus
                // two maximum costs.
                let others = (0..weights.len()).filter(|o| *o != other);
                let bound: f64 =
                    others.map(|o| (last[other] / weights[other]) * weights[o] + 2.0 * 100.0).sum::<f64>();
                prop_assert!(other == flow || since[other] <= bound + last[other] + 1e-6);
            }
            (since[flow], last[flow]) = (0.0, cost);
        }
    }

    /// Corrections shift a flow's start tag, never before virtual time or beyond the maximum debt.
    #[test]
    fn debt_is_bounded(deltas in proptest::collection::vec(-2_000.0..5_000.0_f64, 1..100)) {
        let mut fair = StartTimeFairQueue::new(&[1.0, 1.0], 10_000.0);
        fair.activate(0, 0.0);
        fair.activate(1, 0.0);
        for delta in deltas {
            fair.correct(0, delta);
            prop_assert!((0.0..=10_000.0).contains(&fair.ahead(0)));
            let flow = fair.pick().unwrap();
            fair.charge(flow, 100.0, 0.0);
        }
    }

    /// Every key above its share of the stream has a counter, and the bounds of all counters hold.
    #[test]
    fn heavy_hitter_estimates_stay_within_bounds(stream in proptest::collection::vec((0..200_u64, 1..50_u32), 1..2_000)) {
        let (mut sketch, mut reference, mut total) = (HeavyHitters::new(16), HashMap::new(), 0.0);
        for (who, weight) in stream {
            sketch.add(who, f64::from(weight));
            *reference.entry(who).or_insert(0.0) += f64::from(weight);
            total += f64::from(weight);
        }
        for (who, weight) in reference {
            match sketch.get(who) {
                Some(estimate) => prop_assert!(estimate.lower_bound <= weight + 1e-6 && weight <= estimate.upper_bound + 1e-6),
                None => prop_assert!(weight <= total / 16.0 + 1e-6, "weight {weight} of {total} has no counter"),
            }
        }
        prop_assert!(sketch.top().windows(2).all(|w| w[0].upper_bound >= w[1].upper_bound));
    }

    /// Selects the requested number of distinct queues, and the same ones each time.
    #[test]
    fn shuffle_shard_picks_distinct_queues(flow: u64, queues in 1..1_024_usize, count in 1..16_usize) {
        let dealt: Vec<usize> = shuffle_shard(flow, queues, count).collect();
        prop_assert_eq!(dealt.len(), count.min(queues));
        prop_assert!(dealt.iter().all(|q| *q < queues));
        prop_assert_eq!(dealt.iter().collect::<BTreeSet<_>>().len(), dealt.len());
        prop_assert_eq!(shuffle_shard(flow, queues, count).collect::<Vec<_>>(), dealt);
    }
}

#[test]
fn shards_spread_evenly_over_the_queues() {
    let (client_hasher, mut dealt) = (ClientHasher::new(5), vec![0_u32; 64]);
    for client in 0..16_000 {
        shuffle_shard(client_hasher.flow(0, client), 64, 4).for_each(|q| dealt[q] += 1);
    }
    assert!(dealt.iter().all(|n| (850..1_150).contains(n)), "{dealt:?}");
}

#[test]
fn out_of_range_settings_are_named_in_the_error() {
    for (text, part) in [
        (r#"{"queues": 0}"#, "queues is 0"),
        (r#"{"queues": 2, "hand": 4}"#, "hand is 4"),
        (r#"{"queued": 1000000}"#, "queued is 1000000"),
        (r#"{"window_ms": 1}"#, "window_ms is 1"),
        (r#"{"weights": {"a": -1}}"#, "weight of a is -1"),
    ] {
        let settings: FairQueueConfig = serde_json::from_str(text).unwrap();
        let error = settings.find_error().unwrap_or_default();
        assert!(error.contains(part), "{text}: {error}");
    }
    assert!(serde_json::from_str::<FairQueueConfig>(r#"{"order": "lifo"}"#).is_err());
    assert!(serde_json::from_str::<FairQueueConfig>(r#"{"wieghts": {}}"#).is_err());
    assert_eq!(serde_json::from_str::<FairQueueConfig>("{}").unwrap(), FairQueueConfig::default());
    assert_eq!(FairQueueConfig::default().find_error(), None);
}
