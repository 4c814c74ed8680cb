//! The timing wheel and the heavy-hitter sketch against simple structures, and one request through
//! the fair queue.

#![allow(missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};

use criterion::{black_box, criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion};
use marljunction_fair_queue::settings::FairQueueConfig;
use marljunction_fair_queue::sketch::HeavyHitters;
use marljunction_fair_queue::wheel::TimingWheel;
use marljunction_fair_queue::{Arrival, FairQueue, FairQueueParams, QueueAction};

/// SplitMix64.
fn random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (*state ^ (*state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Half of the timers are removed before they are due, as most queued requests are submitted in
/// time. The binary heap cannot remove one, so it keeps cancelled timers until they are due.
fn timers(c: &mut Criterion) {
    let mut group = c.benchmark_group("timer: insert, half removed, half due");
    for held in [1_000_u64, 100_000] {
        group.bench_function(BenchmarkId::new("wheel", held), |b| {
            let (mut now, mut seed, mut wheel) = (0, 1, TimingWheel::new(0));
            let mut keys = std::collections::VecDeque::new();
            b.iter(|| {
                now += 2_000_000_000 / held;
                keys.push_back(wheel.insert(now + random(&mut seed) % 4_000_000_000, keys.len()));
                if keys.len() as u64 > held {
                    let key = keys.pop_front().unwrap();
                    if key % 2 == 0 {
                        black_box(wheel.remove(key));
                    }
                }
                while let Some(value) = wheel.expire(now) {
                    black_box(value);
                }
            });
        });
        group.bench_function(BenchmarkId::new("binary heap", held), |b| {
            let (mut now, mut seed, mut serial) = (0_u64, 1, 0_u64);
            let (mut heap, mut dead) = (BinaryHeap::new(), std::collections::HashSet::new());
            b.iter(|| {
                now += 2_000_000_000 / held;
                serial += 1;
                heap.push(Reverse((now + random(&mut seed) % 4_000_000_000, serial)));
                if serial > held && serial % 2 == 0 {
                    dead.insert(serial - held);
                }
                while heap.peek().is_some_and(|Reverse((due, _))| *due <= now) {
                    let Reverse((_, n)) = heap.pop().unwrap();
                    dead.remove(&n);
                    black_box(n);
                }
            });
        });
        group.bench_function(BenchmarkId::new("sorted set", held), |b| {
            let (mut now, mut seed, mut serial) = (0_u64, 1, 0_u64);
            let (mut set, mut keys) = (BTreeSet::new(), std::collections::VecDeque::new());
            b.iter(|| {
                now += 2_000_000_000 / held;
                serial += 1;
                let key = (now + random(&mut seed) % 4_000_000_000, serial);
                set.insert(key);
                keys.push_back(key);
                if keys.len() as u64 > held {
                    let key = keys.pop_front().unwrap();
                    if key.1 % 2 == 0 {
                        black_box(set.remove(&key));
                    }
                }
                while set.first().is_some_and(|(due, _)| *due <= now) {
                    black_box(set.pop_first());
                }
            });
        });
    }
    group.finish();
}

fn sketches(c: &mut Criterion) {
    let mut group = c.benchmark_group("heaviest of a stream");
    for identities in [100_u64, 100_000] {
        group.bench_function(BenchmarkId::new("space-saving of 64", identities), |b| {
            let (mut seed, mut sketch) = (1, HeavyHitters::new(64));
            b.iter(|| sketch.add(random(&mut seed) % identities, 1.0));
        });
        group.bench_function(BenchmarkId::new("plain map", identities), |b| {
            let (mut seed, mut map) = (1, HashMap::<u64, f64>::new());
            b.iter(|| *map.entry(random(&mut seed) % identities).or_default() += 1.0);
        });
    }
    group.finish();
}

fn requests(c: &mut Criterion) {
    let mut group = c.benchmark_group("one request through the fair queue");
    for identities in [100_u64, 100_000] {
        group.bench_function(BenchmarkId::from_parameter(identities), |b| {
            let params = FairQueueParams {
                weights: vec![8.0, 1.0, 1.0],
                classes: 3,
                max_retry_after_ns: Some(1_000_000_000),
                max_queued_bytes: 8 << 20,
                seed: 1,
            };
            let (mut now, mut id, mut seed) = (1_u64 << 60, 0, 1);
            let mut fair_queue = FairQueue::new(now, FairQueueConfig::default(), params);
            let mut submitted = std::collections::VecDeque::new();
            b.iter_batched(
                || random(&mut seed),
                |draw| {
                    (now, id) = (now + 100_000, id + 1);
                    let arrival = Arrival {
                        id,
                        tenant: (draw % 3) as usize,
                        client: (draw >> 8) % identities,
                        class: 0,
                        threads: 1.0,
                        worth: 1.0,
                        need_ns: 1e8,
                        target_end_ns: now + 1_000_000_000,
                        expires_ns: now + 6_000_000_000,
                        bytes: 100,
                    };
                    fair_queue.enqueue(now, arrival);
                    while let Some(queue_action) = fair_queue.next_action(now) {
                        let QueueAction::Submit(id) = queue_action else { continue };
                        // Half of the load exceeds the capacity: the module runs fifty requests at
                        // a time.
                        if submitted.len() >= 50 {
                            black_box(fair_queue.refused(now, id, false));
                        } else {
                            fair_queue.accepted(now, id);
                            submitted.push_back(id);
                        }
                    }
                    if id % 2 == 0 {
                        if let Some(first) = submitted.pop_front() {
                            fair_queue.finished(now, first, Some(true));
                        }
                    }
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, timers, sketches, requests);
criterion_main!(benches);
