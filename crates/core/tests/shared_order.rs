//! Serial requests of a router that shares their order with another process.

use marljunction_control::interface::*;
use marljunction_core::end_reason::EndReason;
use marljunction_core::serial::SerialChange;
use marljunction_core::{Attempt, Client, ClientRequest, Command, Router};

const MS: u64 = 1_000_000;
const T0: u64 = 1_700_000_000_000 * MS;
const DEADLINE_NS: u64 = 9_000 * MS;
const TIME_LEFT_NS: u64 = 8_000 * MS;
const KEY: u64 = 5;

fn router() -> Router {
    router_with(Settings::default())
}

fn router_with(settings: Settings) -> Router {
    let class = ClassSettings {
        target_latency_ns: DEADLINE_NS,
        deadline_ns: DEADLINE_NS,
        threads: 1.0,
        effect: Effect::AtMostOnce,
        serial_by_key: true,
        ..ClassSettings::default()
    };
    let kinds = vec![KindSettings { cores: Some(12.0), memory_mb: None }];
    let settings = Settings { classes: vec![class], kinds, may_cancel: true, ..settings };
    let mut router = Router::new(settings, 1, 64.0).with_shared_order(true);
    let engine = EngineEntry { engine: EngineId(1), kind: Some(KindId(0)), ..EngineEntry::default() };
    router.membership(MembershipKind::Full, vec![engine]);
    starts(&mut router, T0);
    router
}

fn submit(router: &mut Router, call: u64) -> RequestId {
    let client_request = ClientRequest {
        name: format!("{call:016x}"),
        order_key: Some(KEY),
        time_left_ns: TIME_LEFT_NS,
        work_estimate_ns: Some(100 * MS),
        ..ClientRequest::default()
    };
    router.accept_request(T0, Client { conn: 1, call }, client_request)
}

/// Processes all events; returns the requests that are sent.
fn starts(router: &mut Router, now: u64) -> Vec<RequestId> {
    let mut commands = Vec::new();
    router.process_events(now, &mut commands);
    let started =
        |c: &Command| if let Command::Start { attempt, .. } = c { Some(attempt.request) } else { None };
    commands.iter().filter_map(started).collect()
}

fn finished(request: RequestId, paused_until_ns: u64) -> SerialChange {
    SerialChange::Finished { request, key: KEY, paused_until_ns }
}

/// Guards against a request that is sent before the other process knows of it.
#[test]
fn a_request_is_announced_and_sent_in_its_turn() {
    let mut router = router();
    let request = submit(&mut router, 1);
    assert!(starts(&mut router, T0).is_empty());
    let over_by_ns = T0 + TIME_LEFT_NS + DEADLINE_NS + 250 * MS;
    assert_eq!(router.take_serial_changes(), [SerialChange::Taken { request, key: KEY, over_by_ns }]);
    router.set_turn(request, KeyTurn::Waiting);
    assert!(starts(&mut router, T0 + MS).is_empty());
    router.set_turn(request, KeyTurn::From(0));
    assert_eq!(starts(&mut router, T0 + 2 * MS), [request]);
    router.ended(Attempt { request, number: 0 }, EndReason::EngineError, None, None);
    starts(&mut router, T0 + 10 * MS);
    assert_eq!(router.take_serial_changes(), [finished(request, 0)]);
}

/// Guards against a key that the other process uses while an attempt may still run.
#[test]
fn a_request_is_finished_once_its_attempt_has_ended_with_the_pause_that_follows() {
    let mut router = router();
    let request = submit(&mut router, 1);
    starts(&mut router, T0);
    router.take_serial_changes();
    router.set_turn(request, KeyTurn::From(0));
    assert_eq!(starts(&mut router, T0), [request]);
    router.client_left(request, EndReason::ClientGone);
    starts(&mut router, T0 + MS);
    assert_eq!(router.take_serial_changes(), [], "the engine has not confirmed the cancellation");
    router.ended(Attempt { request, number: 0 }, EndReason::Abandoned, None, None);
    starts(&mut router, T0 + 2 * MS);
    assert_eq!(router.take_serial_changes(), [finished(request, T0 + DEADLINE_NS + 250 * MS)]);
}

/// Guards against a process that uses the retry budget of an older one.
#[test]
fn the_reserve_reaches_the_decision_module_before_the_requests_of_its_batch() {
    for (has_reserve, retries) in [(true, 1), (false, 0)] {
        let retry_budget = Some(RetryBudget { floor: 1.0, per_request: 0.0, window_ns: 1_000 * MS });
        let mut router = router_with(Settings { retry_budget, ..Settings::default() });
        let engines = [2, 3].map(|n| EngineEntry {
            engine: EngineId(n),
            kind: Some(KindId(0)),
            ..EngineEntry::default()
        });
        router.membership(MembershipKind::Delta, engines.to_vec());
        let request = submit(&mut router, 1);
        starts(&mut router, T0);
        router.set_turn(request, KeyTurn::From(0));
        assert_eq!(starts(&mut router, T0), [request]);
        router.ended(Attempt { request, number: 0 }, EndReason::Full, None, None);
        router.set_reserve(has_reserve);
        assert_eq!(starts(&mut router, T0 + MS).len(), retries);
    }
}

#[test]
fn a_request_that_gets_no_turn_is_answered_and_finished_at_its_deadline() {
    let mut router = router();
    let request = submit(&mut router, 1);
    starts(&mut router, T0);
    router.take_serial_changes();
    assert!(starts(&mut router, T0 + TIME_LEFT_NS + 5 * MS).is_empty());
    assert_eq!((router.counters.refused, router.unanswered()), (1, 0));
    assert_eq!(router.take_serial_changes(), [finished(request, 0)]);
    router.set_turn(request, KeyTurn::From(0));
    assert!(starts(&mut router, T0 + TIME_LEFT_NS + 6 * MS).is_empty());
}
