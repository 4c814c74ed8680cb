//! A simulated decision module with a fixed number of threads, in simulated time.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};

use marljunction_fair_queue::settings::FairQueueConfig;
use marljunction_fair_queue::{Arrival, FairQueue, FairQueueParams, QueueAction, RetryAfter};

pub const MS: u64 = 1_000_000;
pub const S: u64 = 1_000 * MS;
pub const T0: u64 = 1_700_000_000 * S;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Served,
    /// Refused by the fair queue, or by the module once it was submitted.
    Refused(RetryAfter),
}

pub struct Simulation {
    pub fair_queue: FairQueue,
    pub now: u64,
    /// Threads of the module.
    pub capacity: f64,
    pub used: f64,
    running: BTreeMap<(u64, u64), f64>,
    service_times: HashMap<u64, (u64, f64)>,
    next_id: u64,
    /// When and how each request ended.
    pub ends: HashMap<u64, (u64, End)>,
    /// Requests in order of submission.
    pub submitted: Vec<u64>,
}

impl Simulation {
    pub fn new(weights: &[f64], capacity: f64, settings: FairQueueConfig) -> Simulation {
        let params = FairQueueParams {
            weights: weights.to_vec(),
            classes: 2,
            max_retry_after_ns: Some(2 * S),
            max_queued_bytes: 64 << 20,
            seed: 7,
        };
        Simulation {
            fair_queue: FairQueue::new(T0, settings, params),
            now: T0,
            capacity,
            used: 0.0,
            running: BTreeMap::new(),
            service_times: HashMap::new(),
            next_id: 0,
            ends: HashMap::new(),
            submitted: Vec::new(),
        }
    }

    /// Queues a request with an estimate of `estimate_ms` that runs on one thread for
    /// `service_ms`, and is due within a second.
    pub fn enqueue(&mut self, tenant: usize, client: u64, estimate_ms: u64, service_ms: u64) -> u64 {
        self.enqueue_within(tenant, client, estimate_ms, service_ms, 1_000)
    }

    pub fn enqueue_within(
        &mut self,
        tenant: usize,
        client: u64,
        estimate_ms: u64,
        service_ms: u64,
        target_ms: u64,
    ) -> u64 {
        self.next_id += 1;
        self.service_times.insert(self.next_id, (service_ms * MS, 1.0));
        self.fair_queue.enqueue(
            self.now,
            Arrival {
                id: self.next_id,
                tenant,
                client,
                class: 0,
                threads: 1.0,
                worth: 1.0,
                need_ns: (estimate_ms * MS) as f64,
                target_end_ns: self.now + target_ms * MS,
                expires_ns: self.now + 6 * target_ms * MS,
                bytes: 100,
            },
        );
        self.next_id
    }

    /// Carries out the actions of the fair queue, as the core does.
    pub fn run_actions(&mut self) {
        while let Some(queue_action) = self.fair_queue.next_action(self.now) {
            match queue_action {
                QueueAction::Refuse(id, retry_after) => self.end(id, End::Refused(retry_after)),
                QueueAction::Submit(id) => {
                    self.submitted.push(id);
                    let (service_ns, threads) = self.service_times[&id];
                    if self.used + threads > self.capacity {
                        let retry_after =
                            self.fair_queue.refused(self.now, id, false).expect("retry-after advice");
                        self.end(id, End::Refused(retry_after));
                    } else {
                        self.used += threads;
                        self.running.insert((self.now + service_ns, id), threads);
                        self.fair_queue.accepted(self.now, id);
                    }
                }
            }
        }
    }

    fn end(&mut self, id: u64, end: End) {
        let twice = self.ends.insert(id, (self.now, end));
        assert_eq!(twice, None, "request {id} ended twice");
    }

    /// Advances the time to `to`, with a step at each event.
    pub fn advance_to(&mut self, to: u64) {
        self.run_actions();
        loop {
            let due = self.fair_queue.next_due_ns().map(|d| d.max(self.now + MS));
            let next_end = self.running.keys().next().map(|(at, _)| *at);
            let next = due.into_iter().chain(next_end).min().filter(|next| *next <= to);
            let Some(next) = next else { break };
            self.now = self.now.max(next);
            while let Some(((_, id), threads)) = self.running.first_key_value().map(|(k, v)| (*k, *v)) {
                if *self.running.keys().next().map(|(at, _)| at).unwrap() > self.now {
                    break;
                }
                self.running.pop_first();
                self.used -= threads;
                self.fair_queue.finished(self.now, id, Some(true));
                self.end(id, End::Served);
            }
            self.run_actions();
        }
        self.now = to;
    }

    pub fn advance_ms(&mut self, ms: u64) {
        self.advance_to(self.now + ms * MS);
    }

    pub fn served(&self, ids: &[u64]) -> usize {
        ids.iter().filter(|id| matches!(self.ends.get(id), Some((_, End::Served)))).count()
    }

    pub fn reserved_at(&self, id: u64) -> Option<u64> {
        match self.ends.get(&id) {
            Some((at, End::Refused(retry_after))) if retry_after.reserved => Some(at + retry_after.after_ns),
            _ => None,
        }
    }

    /// Advances the time and asserts that every request has ended.
    pub fn assert_all_ended(&mut self, within_ms: u64) {
        self.advance_ms(within_ms);
        let open: Vec<u64> = (1..=self.next_id).filter(|id| !self.ends.contains_key(id)).collect();
        assert!(open.is_empty(), "{} requests have not ended: {:?}", open.len(), &open[..open.len().min(5)]);
    }
}
