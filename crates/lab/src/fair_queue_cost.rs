//! Measures the cost of the fair queue: heap by number of clients, and time per request.

use std::time::Instant;

use marljunction_fair_queue::settings::FairQueueConfig;
use marljunction_fair_queue::{Arrival, FairQueue, FairQueueParams, QueueAction};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

use crate::HEAP;

/// Requests per batch; each batch is timed as a whole.
const BATCH: u64 = 1_000;
const BATCHES: usize = 300;

/// Sends requests of `identities` clients through a queue at twice its service rate. Returns the
/// peak heap use (bytes) and the median time per request (ns).
fn measure(identities: u64, seed: u64) -> (usize, f64) {
    let before = HEAP.current_usage();
    HEAP.reset_peak_usage();
    let params = FairQueueParams {
        weights: vec![8.0, 1.0, 1.0],
        classes: 3,
        max_retry_after_ns: Some(2_000_000_000),
        max_queued_bytes: 8 << 20,
        seed,
    };
    let (mut now, mut rng) = (1 << 60, StdRng::seed_from_u64(seed));
    let mut fair_queue = FairQueue::new(now, FairQueueConfig::default(), params);
    let (mut admitted, mut id) = (std::collections::VecDeque::new(), 0);
    let mut times = Vec::with_capacity(BATCHES);
    for _ in 0..BATCHES {
        let started = Instant::now();
        for _ in 0..BATCH {
            (now, id) = (now + 100_000, id + 1);
            let arrival = Arrival {
                id,
                tenant: rng.gen_range(0..3),
                client: rng.gen_range(0..identities),
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
                if admitted.len() >= 50 {
                    fair_queue.refused(now, id, false);
                } else {
                    fair_queue.accepted(now, id);
                    admitted.push_back(id);
                }
            }
            if id % 2 == 0 {
                admitted
                    .pop_front()
                    .into_iter()
                    .for_each(|first| fair_queue.finished(now, first, Some(true)));
            }
        }
        times.push(started.elapsed().as_nanos() as f64 / BATCH as f64);
    }
    times.sort_by(f64::total_cmp);
    (HEAP.peak_usage().saturating_sub(before), times[times.len() / 2])
}

/// Runs the measurement with few and with many clients.
pub fn run(seed: u64) -> Value {
    let (small, small_ns) = measure(100, seed);
    let (large, large_ns) = measure(100_000, seed);
    json!({
        "bytes_100": small, "bytes_100k": large, "bytes_100k_over_100": large as i64 - small as i64,
        "ns_per_request_100": small_ns, "ns_per_request": large_ns,
        "stated_bound_bytes": FairQueue::max_bytes(&FairQueueConfig::default(), 3, 1_000),
    })
}
