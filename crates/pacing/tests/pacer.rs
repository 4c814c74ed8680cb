//! The pacer held against its bounds: whatever happens, over many seeds, alone and in a herd.

use marljunction_pacing::pacer::MAX_USELESS_WAIT_NS;
use marljunction_pacing::{Failure, Pace, Pacer, Unfit};
use marljunction_testkit::swarm::{ClientSwarm, Service};
use proptest::prelude::*;

const MS: u64 = 1_000_000;
const S: u64 = 1_000 * MS;

fn fleet(callers: u32, budget_per_s: f64) -> Pace {
    let spread_ns = Pace::default().longest_ns;
    Pace { callers: Some(callers), budget_per_s, spread_ns, ..Pace::default() }
}

fn swarm(count: u32, pace: Pace, capacity: f64, seed: u64) -> ClientSwarm<Pacer> {
    let one = |i: u32| Pacer::new(Pace { me: i, ..pace }, seed * 1_000 + u64::from(i), 0);
    ClientSwarm::new((0..count).map(one).collect(), Service::new(capacity))
}

#[derive(Clone, Debug)]
enum Step {
    Away,
    TurnedAway(Option<u64>),
    Up(u64),
    Answered(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Away),
        proptest::option::of(prop_oneof![Just(0), Just(S), Just(86_400 * S), Just(u64::MAX), 0..10 * S])
            .prop_map(Step::TurnedAway),
        (0..100 * S).prop_map(Step::Up),
        (0..20 * S).prop_map(Step::Answered),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn no_wait_is_longer_than_the_longest_and_what_is_asked_for_is_kept_within_it(
        steps in proptest::collection::vec(step(), 1..40),
        callers in proptest::option::of(1u32..2_000),
        me in 0u32..4_000,
        budget in 0.5f64..5_000.0,
        longest in 100 * MS..60 * S,
        seed: u64,
    ) {
        let pace =
            Pace { callers, me, budget_per_s: budget, spread_ns: longest, longest_ns: longest, ..Pace::default() };
        let mut now = 5 * S;
        let mut pacer = Pacer::new(pace, seed, now);
        for step in steps {
            let due = pacer.due_ns().expect("no call is out, so one is due");
            prop_assert!(due <= now + longest, "{} after {now}", due - now);
            prop_assert!(due <= now || !pacer.call(due - 1), "a call before its time");
            now = due;
            prop_assert!(pacer.call(now));
            prop_assert!(!pacer.call(now + 3_600 * S), "one call at a time");
            let asked = match step {
                Step::Away => {
                    pacer.failed(now, Failure::Away);
                    pace.shortest_ns
                }
                Step::TurnedAway(after_ns) => {
                    pacer.failed(now, Failure::TurnedAway { after_ns });
                    after_ns.unwrap_or(pace.shortest_ns).max(pace.shortest_ns)
                }
                Step::Up(time) => {
                    pacer.taken(now);
                    prop_assert!(pacer.due_ns().is_none());
                    now += time;
                    pacer.ended(now);
                    0
                }
                Step::Answered(time) => {
                    pacer.taken(now);
                    now += time;
                    pacer.answered(now);
                    0
                }
            };
            let due = pacer.due_ns().unwrap();
            let least = asked.min(longest / 10 * 9);
            prop_assert!(due >= now.saturating_add(least), "{} where {asked} was asked for", due - now);
        }
    }
}

#[test]
fn a_caller_that_stood_still_makes_one_call_not_all_that_it_missed() {
    let mut pacer = Pacer::new(fleet(1, 10.0), 7, 0);
    let woken = 3_600 * S;
    assert!(pacer.call(woken));
    pacer.failed(woken, Failure::Away);
    assert!(!pacer.call(woken), "the next one waits");
    assert!(pacer.due_ns().unwrap() >= woken + 100 * MS);
}

#[test]
fn waits_grow_while_a_service_is_away_and_what_was_up_for_long_starts_from_nothing() {
    let mut pacer = Pacer::new(fleet(1, 100.0), 3, 0);
    let mut waits = Vec::new();
    for _ in 0..12 {
        let now = pacer.due_ns().unwrap();
        assert!(pacer.call(now));
        pacer.failed(now, Failure::Away);
        waits.push(pacer.due_ns().unwrap() - now);
    }
    assert!(waits[0] <= 300 * MS && waits[11] >= 1_250 * MS, "{waits:?}");
    let now = pacer.due_ns().unwrap();
    assert!(pacer.call(now));
    pacer.taken(now);
    pacer.ended(now + 3_600 * S);
    assert!(pacer.due_ns().unwrap() - now - 3_600 * S <= 20 * MS, "it was well for an hour");
}

#[test]
fn a_service_that_drops_each_call_after_a_second_is_not_hammered() {
    for seed in 0..200 {
        let mut pacer = Pacer::new(fleet(3, 200.0), seed, 0);
        let (mut now, mut calls) = (0, 0);
        while now < 60 * S {
            now = pacer.due_ns().unwrap();
            assert!(pacer.call(now));
            calls += 1;
            pacer.taken(now);
            now += S;
            pacer.ended(now);
        }
        assert!(calls <= 30, "{calls} calls in a minute, seed {seed}");
    }
}

#[test]
fn a_herd_keeps_to_the_budget_at_the_start_while_the_service_is_away_and_as_it_is_back() {
    for seed in 0..300 {
        for (count, capacity) in [(20, 50.0), (100, 25.0), (300, 75.0), (300, 100.0)] {
            let mut swarm = swarm(count, fleet(count, capacity), capacity, seed);
            let (ideal, n) = (f64::from(count) / capacity * 1e9, u64::from(count));
            let told = |what: &str, p| format!("{what} of {count} at {capacity}, seed {seed}: {p:?}");
            // Few callers that all fit into a second's calls are no matter for pacing.
            let settled = 1.5 * ideal.max(1e9);
            let start = swarm.run_for(60 * S);
            assert!(start.calls * 2 <= n * 3, "{}", told("start", start));
            assert!(start.settled_ns.is_some_and(|ns| ns as f64 <= settled), "{}", told("start", start));
            assert!(start.max_calls_per_s as f64 <= capacity * 1.5, "{}", told("start", start));
            swarm.now += 30 * S;
            swarm.disconnect_all();
            swarm.service.unavailable = true;
            let unavailable = swarm.run_for(10 * S);
            assert!(unavailable.calls <= 10 * n, "{}", told("away", unavailable));
            assert!(count < 100 || unavailable.calls <= 5 * n, "{}", told("away", unavailable));
            assert!(unavailable.max_calls_per_s as f64 <= capacity * 1.5, "{}", told("away", unavailable));
            swarm.service.unavailable = false;
            let back = swarm.run_for(60 * S);
            assert!(back.calls * 2 <= n * 3, "{}", told("back", back));
            assert!(
                back.settled_ns.is_some_and(|ns| ns as f64 <= settled.max(3e9)),
                "{}",
                told("back", back)
            );
            assert!(
                count < 100 || back.max_calls_per_100ms * 100 <= 15 * count as usize,
                "{}",
                told("back", back)
            );
        }
    }
}

#[test]
fn a_herd_whose_count_is_wrong_or_unknown_settles_with_few_calls() {
    for seed in 0..100 {
        for callers in [None, Some(50), Some(100), Some(200), Some(400), Some(1)] {
            let pace = Pace { callers, ..fleet(0, 50.0) };
            let mut swarm = swarm(200, pace, 50.0, seed);
            for what in ["start", "back"] {
                let passed = swarm.run_for(120 * S);
                let told = format!("{what}, told {callers:?}, seed {seed}: {passed:?}");
                assert!(passed.settled_ns.is_some_and(|ns| ns <= 15 * S), "{told}");
                assert!(passed.calls <= 800, "{told}");
                swarm.now += 20 * S;
                swarm.disconnect_all();
            }
        }
    }
}

#[test]
fn callers_with_one_seed_and_one_number_by_mistake_still_settle() {
    let pace = Pace { me: 0, ..fleet(200, 50.0) };
    // Their seeds differ by name and address only, which is what the program sees to.
    let callers = (0..200).map(|i| Pacer::new(pace, i, 0)).collect();
    let mut swarm = ClientSwarm::new(callers, Service::new(50.0));
    let start = swarm.run_for(60 * S);
    assert!(start.calls <= 600 && start.settled_ns.is_some_and(|ns| ns <= 12 * S), "{start:?}");
}

#[test]
fn the_longest_wait_follows_from_how_late_news_may_be() {
    let pace = Pace::default();
    let silent = 2_200 * MS;
    assert_eq!(pace.longest_ns, 4_300 * MS);
    assert!(pace.blind_at_most_ns(silent) <= marljunction_pacing::pace::TOLD_NS);
    assert_eq!(pace.unfit(), None);
    assert_eq!(
        Pace { callers: Some(300), me: 299, ..pace }.window_ns(),
        100 * MS,
        "nobody has to wait by default"
    );
    assert_eq!(Pace { budget_per_s: 0.0, ..pace }.unfit(), Some(Unfit::Budget));
    assert_eq!(Pace { longest_ns: 1, ..pace }.unfit(), Some(Unfit::LongestBelowShortest));
    let thin = fleet(1_000, 50.0);
    assert!(matches!(thin.unfit(), Some(Unfit::ShareOverLongest(share)) if share > 20 * S));
    assert_eq!(thin.window_ns(), thin.longest_ns, "a fleet goes over the budget rather than be told late");
}

#[test]
fn an_answer_that_is_of_no_use_is_asked_for_ever_more_rarely_and_the_next_good_one_at_once() {
    for seed in 0..50 {
        let pace = Pace::default();
        let (mut pacer, mut waits) = (Pacer::new(pace, seed, 0), Vec::new());
        for _ in 0..20 {
            let now = pacer.due_ns().unwrap();
            assert!(pacer.call(now));
            pacer.taken(now);
            pacer.failed(now, Failure::Useless);
            waits.push(pacer.due_ns().unwrap() - now);
        }
        assert!(waits[..4].windows(2).all(|pair| pair[1] > pair[0]), "{waits:?}");
        let longest = MAX_USELESS_WAIT_NS;
        assert!(waits[8..].iter().all(|wait| (longest / 2..=longest).contains(wait)), "{waits:?}");
        // What fails otherwise waits no longer than the settings say.
        let now = pacer.due_ns().unwrap();
        assert!(pacer.call(now));
        pacer.failed(now, Failure::Away);
        assert!(pacer.due_ns().unwrap() - now <= pace.longest_ns);
    }
}
