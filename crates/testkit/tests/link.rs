//! Shapers of links: order, loss, duplication and partitions, repeatable by seed.

use marljunction_testkit::link::{Shape, Shaper};
use proptest::prelude::*;

const MS: u64 = 1_000_000;

proptest! {
    #[test]
    fn stream_keeps_all_bytes_in_order_under_any_shape(
        parts in proptest::collection::vec((0..50 * MS, proptest::collection::vec(any::<u8>(), 1..40)), 1..40),
        delay in 0..100 * MS,
        jitter in 0..100 * MS,
        bytes_per_s in proptest::option::of(1_000u64..100_000),
        seed: u64,
    ) {
        let mut shaper = Shaper::new(seed);
        shaper.set(0, Shape { delay_ns: delay, jitter_ns: jitter, bytes_per_s, ..Shape::default() });
        let (mut now, mut sent, mut received) = (0, Vec::new(), Vec::new());
        for (wait, bytes) in parts {
            now += wait;
            shaper.push_stream(now, &bytes);
            sent.extend(bytes);
            received.extend(shaper.pull_stream(now));
            prop_assert!(sent.starts_with(&received));
        }
        for _ in 0..5_000 {
            now += MS;
            received.extend(shaper.pull_stream(now));
        }
        prop_assert_eq!(sent, received);
    }
}

#[test]
fn partition_holds_stream_bytes_and_drops_datagrams() {
    let mut shaper = Shaper::new(1);
    shaper.set(0, Shape { partitioned: true, ..Shape::default() });
    shaper.push_stream(0, b"held");
    shaper.push_datagram(0, b"lost");
    assert!(shaper.pull_stream(9_000 * MS).is_empty() && shaper.pull_datagrams(9_000 * MS).is_empty());
    shaper.set(9_000 * MS, Shape::default());
    assert_eq!(shaper.pull_stream(9_000 * MS), b"held");
    assert!(shaper.pull_datagrams(9_000 * MS).is_empty());
    assert_eq!(shaper.lost, 1);
}

#[test]
fn datagram_faults_match_the_shape_and_repeat_for_a_seed() {
    let run = |seed| {
        let mut shaper = Shaper::new(seed);
        let shape =
            Shape { delay_ns: 10 * MS, jitter_ns: 50 * MS, loss: 0.3, duplication: 0.1, ..Shape::default() };
        shaper.set(0, shape);
        (0..10_000u64).for_each(|i| shaper.push_datagram(i * MS, &i.to_le_bytes()));
        (shaper.pull_datagrams(u64::MAX), shaper.lost)
    };
    let (received, lost) = run(7);
    assert_eq!((received.clone(), lost), run(7));
    assert!((2_800..3_200).contains(&lost), "{lost} lost");
    let duplicated = received.len() as u64 - (10_000 - lost);
    assert!((600..800).contains(&duplicated), "{duplicated} duplicated");
    assert!(received.windows(2).filter(|w| w[0] > w[1]).count() > 1_000, "too few reordered");
}
