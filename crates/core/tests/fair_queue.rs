//! The core with a fair queue: each request gets exactly one final answer.

use std::collections::HashMap;

use marljunction_control::interface::*;
use marljunction_core::end_reason::EndReason;
use marljunction_core::{Answer, Attempt, Client, ClientRequest, Command, Router, Rows};
use marljunction_fair_queue::settings::FairQueueConfig;
use marljunction_fair_queue::{FairQueue, FairQueueParams};

const MS: u64 = 1_000_000;
const T0: u64 = 1_700_000_000_000 * MS;

struct TestRouter {
    router: Router,
    now: u64,
    calls: u64,
    out: Vec<(Attempt, EngineId)>,
    answers: HashMap<u64, Answer>,
}

fn settings() -> Settings {
    let class = ClassSettings {
        target_latency_ns: 1_000 * MS,
        deadline_ns: 6_000 * MS,
        worth: 1.0,
        threads: 1.0,
        ..ClassSettings::default()
    };
    let load = ClassSettings { effect: Effect::AtMostOnce, serial_by_key: true, ..class.clone() };
    Settings {
        router_count: 1,
        classes: vec![class, load],
        kinds: vec![KindSettings { cores: Some(4.0), memory_mb: None }],
        tenants: vec![TenantSettings::default(); 2],
        max_attempts: Some(4),
        may_cancel: true,
        max_retry_after_ns: Some(1_000 * MS),
        ..Settings::default()
    }
}

impl TestRouter {
    fn new(fair_queue: FairQueueConfig) -> TestRouter {
        let params = FairQueueParams {
            weights: vec![1.0, 1.0],
            classes: 2,
            max_retry_after_ns: Some(1_000 * MS),
            max_queued_bytes: Router::max_queued_bytes(64.0),
            seed: 3,
        };
        let router =
            Router::new(settings(), 1, 64.0).with_fair_queue(Some(FairQueue::new(T0, fair_queue, params)));
        let mut w = TestRouter { router, now: T0, calls: 0, out: Vec::new(), answers: HashMap::new() };
        let entry = EngineEntry {
            engine: EngineId(5),
            kind: Some(KindId(0)),
            state: EngineState::Ready,
            weight: 1.0,
            ..EngineEntry::default()
        };
        w.router.membership(MembershipKind::Full, vec![entry]);
        w.process_events();
        w
    }

    fn submit(&mut self, tenant: usize, class: usize) -> (u64, RequestId) {
        self.submit_with_key(tenant, class, None)
    }

    fn submit_with_key(&mut self, tenant: usize, class: usize, order_key: Option<u64>) -> (u64, RequestId) {
        self.calls += 1;
        let client_request = ClientRequest {
            name: format!("{:016x}", self.calls),
            class: ClassId(class),
            order_key,
            tenant: Some(TenantId(tenant)),
            client: self.calls % 7,
            time_left_ns: 5_000 * MS,
            work_estimate_ns: Some(200 * MS),
            ..ClientRequest::default()
        };
        let id = self.router.accept_request(self.now, Client { conn: 1, call: self.calls }, client_request);
        (self.calls, id)
    }

    fn process_events(&mut self) {
        let mut commands = Vec::new();
        loop {
            self.router.process_events(self.now, &mut commands);
            for command in commands.drain(..) {
                match command {
                    Command::Start { attempt, engine, .. } => self.out.push((attempt, engine)),
                    Command::Answer(client, answer) => {
                        let previous = self.answers.insert(client.call, answer);
                        assert!(previous.is_none(), "call {} got a second final answer", client.call);
                    }
                    Command::CancelAttempt(at) => {
                        self.out.retain(|(a, _)| *a != at);
                        self.router.ended(at, EndReason::GivenUp, None, None);
                    }
                    // Calls are completely sent at once here.
                    Command::SetPriority(..) | Command::CancelIfUnsent(_) => {}
                }
            }
            if !self.router.has_pending_events() {
                return;
            }
        }
    }

    /// Ends the oldest attempt.
    fn end(&mut self, end_reason: EndReason) {
        let (at, _) = self.out.remove(0);
        let rows = (end_reason == EndReason::Served).then(|| Rows::Text(b"1\n".to_vec()));
        self.router.ended(at, end_reason, rows, None);
        self.process_events();
    }

    fn wait(&mut self, ms: u64) {
        let to = self.now + ms * MS;
        while let Some(due) = self.router.next_due_ns().filter(|due| *due <= to) {
            self.now = self.now.max(due) + 1;
            self.process_events();
        }
        self.now = to;
        self.process_events();
    }

    fn queued(&mut self) -> usize {
        self.router.fair_queue().map_or(0, |queue| queue.queued())
    }

    /// Submits requests until a queue forms; returns all calls.
    fn fill(&mut self) -> Vec<(u64, RequestId)> {
        // Enough at once that a quarter is refused; a queue forms from then on.
        let mut all: Vec<_> = (0..40).map(|i| self.submit(i % 2, 0)).collect();
        self.process_events();
        all.extend((0..40).map(|i| self.submit(i % 2, 0)));
        self.process_events();
        assert!(self.queued() >= 20 && self.out.len() >= 4, "{} {}", self.queued(), self.out.len());
        all
    }

    fn finish(&mut self) {
        for _ in 0..400 {
            if self.out.is_empty() {
                break;
            }
            self.end(EndReason::Served);
        }
        self.wait(7_000);
        assert_eq!((self.router.unanswered(), self.queued()), (0, 0));
        let c = &self.router.counters;
        assert_eq!(c.taken, c.served + c.refused + c.failed + c.left);
        assert_eq!(
            self.router.fair_queue().unwrap().concurrency_limit().used(),
            0.0,
            "all capacity is free again"
        );
    }
}

#[test]
fn queued_requests_are_served_as_capacity_becomes_available() {
    let mut w = TestRouter::new(FairQueueConfig::default());
    w.fill();
    let before = w.router.counters.sent;
    for _ in 0..10 {
        w.now += 20 * MS;
        w.end(EndReason::Served);
    }
    let fair_queue = w.router.fair_queue().unwrap();
    let state =
        format!("{:?} {:?}", fair_queue.concurrency_limit(), fair_queue.counters().collect::<Vec<_>>());
    let sent = w.router.counters.sent - before;
    assert!(sent >= 5, "finished requests admit queued ones: {sent} {state}");
    w.finish();
    assert_eq!(w.answers.len() as u64, w.router.counters.taken);
}

#[test]
fn queued_requests_whose_client_leaves_or_cancels_are_never_sent() {
    let mut w = TestRouter::new(FairQueueConfig::default());
    let all = w.fill();
    let waits: Vec<_> =
        all.iter().copied().filter(|(_, id)| w.router.fair_queue().unwrap().waits(id.0)).collect();
    let sent = w.router.counters.sent;
    for (i, (_, id)) in waits.iter().enumerate() {
        if i % 2 == 0 {
            w.router.client_left(*id, EndReason::Forgotten);
        } else {
            w.router.cancel(*id);
        }
    }
    w.process_events();
    assert_eq!((w.queued(), w.router.counters.sent), (0, sent));
    for (i, (call, _)) in waits.iter().enumerate() {
        assert_eq!(w.answers.contains_key(call), i % 2 == 1, "only cancelled requests are answered");
    }
    w.finish();
}

#[test]
fn queued_requests_that_cannot_be_served_in_time_are_refused() {
    let mut w = TestRouter::new(FairQueueConfig { stale_ms: 60_000, ..FairQueueConfig::default() });
    let all = w.fill();
    w.wait(1_500);
    assert_eq!(w.queued(), 0, "no request waits past its useful time");
    for (call, _) in all {
        if let Some(Answer::Refused { backoff_ms, .. }) = w.answers.get(&call) {
            assert!((1..=1_000).contains(backoff_ms));
        }
    }
    w.finish();
}

#[test]
fn shutdown_answers_all_open_requests() {
    let mut w = TestRouter::new(FairQueueConfig::default());
    w.fill();
    let mut commands = Vec::new();
    w.router.end_all(&mut commands, w.now);
    for command in commands {
        if let Command::Answer(client, answer) = command {
            assert!(w.answers.insert(client.call, answer).is_none());
        }
    }
    assert_eq!((w.router.unanswered(), w.queued()), (0, 0));
    assert_eq!(w.answers.len() as u64, w.router.counters.taken);
}

#[test]
fn a_load_that_may_have_run_fails_and_releases_its_capacity() {
    let mut w = TestRouter::new(FairQueueConfig::default());
    let (call, _) = w.submit(0, 1);
    w.process_events();
    w.end(EndReason::Cut);
    assert!(matches!(w.answers[&call], Answer::Failed(..)));
    let (call, _) = w.submit(0, 1);
    w.process_events();
    w.end(EndReason::Refused);
    assert!(matches!(w.answers[&call], Answer::Refused { .. }), "it never ran, and there is no other engine");
    w.finish();
}

#[test]
fn a_full_queue_evicts_and_does_not_block_new_requests() {
    let mut w = TestRouter::new(FairQueueConfig { queued: 10, ..FairQueueConfig::default() });
    w.fill_beyond_bound();
    assert!(w.queued() <= 10);
    assert!(w.router.has_capacity(), "the queue has its own bound");
    w.finish();
}

impl TestRouter {
    fn fill_beyond_bound(&mut self) {
        for i in 0..200 {
            self.submit(i % 2, 0);
            self.process_events();
        }
    }
}

#[test]
fn serial_requests_bypass_the_queue() {
    let mut w = TestRouter::new(FairQueueConfig::default());
    w.fill();
    let queued = w.queued();
    assert!(queued > 0);
    w.submit_with_key(0, 1, Some(7));
    w.process_events();
    assert_eq!(w.queued(), queued);
    w.submit(0, 1);
    w.process_events();
    assert!(w.queued() > queued, "requests without a key are queued");
}
