//! Batches of events: the result must not depend on the order in which events of a batch were read.
//! Also guards deduplication windows and the serialization of requests by key.

use marljunction_control::interface::*;
use marljunction_core::end_reason::EndReason;
use marljunction_core::{Answer, Attempt, Client, ClientRequest, Command, Router, Rows};

const MS: u64 = 1_000_000;
const T0: u64 = 1_700_000_000_000 * MS;
const WINDOW: u64 = 700 * MS;

fn router(class: ClassSettings) -> Router {
    let class =
        ClassSettings { target_latency_ns: 9_000 * MS, deadline_ns: 9_000 * MS, threads: 1.0, ..class };
    let kinds = vec![KindSettings { cores: Some(12.0), memory_mb: None }];
    let settings = Settings { classes: vec![class], kinds, may_cancel: true, ..Settings::default() };
    let mut router = Router::new(settings, 1, 64.0);
    let engine = |n| EngineEntry {
        engine: EngineId(n),
        kind: Some(KindId(0)),
        state: EngineState::Ready,
        ..EngineEntry::default()
    };
    router.membership(MembershipKind::Full, vec![engine(1), engine(2), engine(3)]);
    process_events(&mut router, T0);
    router
}

fn process_events(router: &mut Router, now: u64) -> Vec<Command> {
    let mut commands = Vec::new();
    router.process_events(now, &mut commands);
    commands
}

fn submit(router: &mut Router, call: u64) -> RequestId {
    let client_request =
        ClientRequest { name: format!("{call:016x}"), time_left_ns: 8_000 * MS, ..ClientRequest::default() };
    router.accept_request(T0, Client { conn: 1, call }, client_request)
}

fn starts(commands: &[Command]) -> Vec<Option<u64>> {
    let begin =
        |c: &Command| if let Command::Start { begin_by_ns, .. } = c { Some(*begin_by_ns) } else { None };
    commands.iter().filter_map(begin).collect()
}

#[test]
fn a_result_takes_precedence_over_a_cancellation_in_the_same_batch() {
    let mut router = router(ClassSettings::default());
    let request = submit(&mut router, 1);
    assert_eq!(starts(&process_events(&mut router, T0)).len(), 1);
    router.cancel(request);
    let rows = Some(Rows::Text(b"1\n".to_vec()));
    router.ended(Attempt { request, number: 0 }, EndReason::Served, rows, None);
    let commands = process_events(&mut router, T0 + MS);
    assert!(matches!(commands[..], [Command::Answer(_, Answer::Served(_)), ..]), "{commands:?}");
    assert_eq!((router.counters.served, router.counters.failed), (1, 0));
}

#[test]
fn no_retry_is_sent_for_a_client_that_left_in_the_same_batch() {
    let mut router = router(ClassSettings::default());
    let request = submit(&mut router, 1);
    process_events(&mut router, T0);
    router.ended(Attempt { request, number: 0 }, EndReason::Full, None, None);
    router.client_left(request, EndReason::ClientGone);
    assert!(starts(&process_events(&mut router, T0 + MS)).is_empty());
    assert_eq!((router.counters.left, router.unanswered()), (1, 0));
}

#[test]
fn a_retry_of_a_deduplicated_request_carries_the_end_of_the_deduplication_window() {
    let class = ClassSettings {
        effect: Effect::Deduplicated,
        dedup_window_ns: Some(WINDOW),
        ..ClassSettings::default()
    };
    let mut router = router(class);
    let request = submit(&mut router, 1);
    assert_eq!(starts(&process_events(&mut router, T0)), [None]);
    // The first attempt never ran, the second may have: the window starts at the second.
    router.ended(Attempt { request, number: 0 }, EndReason::Full, None, None);
    assert_eq!(starts(&process_events(&mut router, T0 + 100 * MS)), [None]);
    router.ended(Attempt { request, number: 1 }, EndReason::Cut, None, None);
    let again = starts(&process_events(&mut router, T0 + 200 * MS));
    assert!(again.is_empty() || again == [Some(T0 + 100 * MS + WINDOW)], "{again:?}");
    assert!(!again.is_empty(), "the request is retried");
}

#[test]
fn a_request_whose_client_leaves_in_the_same_batch_is_never_sent() {
    let mut router = router(ClassSettings::default());
    let request = submit(&mut router, 1);
    router.client_left(request, EndReason::Forgotten);
    assert!(starts(&process_events(&mut router, T0)).is_empty());
    assert_eq!((router.counters.left_unsent, router.counters.sent, router.unanswered()), (1, 0, 0));
}

/// Submits a request of a serial class; all have the same key.
fn submit_serial(router: &mut Router, call: u64, time_left_ns: u64) -> RequestId {
    submit_serial_at(router, T0, call, time_left_ns)
}

fn submit_serial_at(router: &mut Router, now: u64, call: u64, time_left_ns: u64) -> RequestId {
    let (name, work_estimate_ns) = (format!("{call:016x}"), Some(100 * MS));
    let client_request = ClientRequest {
        name,
        order_key: Some(5),
        time_left_ns,
        work_estimate_ns,
        ..ClientRequest::default()
    };
    router.accept_request(now, Client { conn: 1, call }, client_request)
}

fn serial_router() -> Router {
    router(ClassSettings { effect: Effect::AtMostOnce, serial_by_key: true, ..ClassSettings::default() })
}

#[test]
fn an_expired_serial_request_is_answered_at_once_and_blocks_its_key_until_its_attempt_ends() {
    let mut router = serial_router();
    let first = submit_serial(&mut router, 1, 1_000 * MS);
    submit_serial(&mut router, 2, 8_000 * MS);
    assert_eq!(starts(&process_events(&mut router, T0)).len(), 1);
    let commands = process_events(&mut router, T0 + 1_000 * MS);
    assert!(commands.iter().any(|c| matches!(c, Command::Answer(_, Answer::Failed(..)))), "{commands:?}");
    assert!(commands.iter().any(|c| matches!(c, Command::CancelAttempt(_))), "{commands:?}");
    assert!(starts(&commands).is_empty(), "the engine is not notified yet");
    router.ended(Attempt { request: first, number: 0 }, EndReason::GivenUp, None, None);
    assert_eq!(starts(&process_events(&mut router, T0 + 1_010 * MS)).len(), 1);
    assert_eq!((router.counters.failed, router.unanswered()), (1, 1));
}

#[test]
fn a_serial_request_whose_client_left_blocks_its_key_until_its_attempt_ends() {
    let mut router = serial_router();
    let first = submit_serial(&mut router, 1, 1_000 * MS);
    submit_serial(&mut router, 2, 8_000 * MS);
    process_events(&mut router, T0);
    router.client_left(first, EndReason::ClientGone);
    assert!(starts(&process_events(&mut router, T0 + 900 * MS)).is_empty());
    assert!(
        starts(&process_events(&mut router, T0 + 1_100 * MS)).is_empty(),
        "the engine is not notified yet"
    );
    router.ended(Attempt { request: first, number: 0 }, EndReason::GivenUp, None, None);
    assert_eq!(starts(&process_events(&mut router, T0 + 1_200 * MS)).len(), 1);
}

#[test]
fn an_attempt_with_an_unconfirmed_end_blocks_its_key_until_the_class_deadline() {
    for (end_reason, waits) in [
        (EndReason::Cut, true),
        (EndReason::Garbled, true),
        (EndReason::Abandoned, true),
        (EndReason::EngineError, false),
        (EndReason::GivenUp, false),
    ] {
        let mut router = serial_router();
        let first = submit_serial(&mut router, 1, 1_000 * MS);
        process_events(&mut router, T0);
        router.ended(Attempt { request: first, number: 0 }, end_reason, None, None);
        process_events(&mut router, T0 + 100 * MS);
        submit_serial_at(&mut router, T0 + 5_000 * MS, 2, 8_000 * MS);
        let mut started = |ms: u64| starts(&process_events(&mut router, T0 + ms * MS)).len();
        // The class deadline after the send, plus the grace time.
        let (before_deadline, at_deadline) =
            (started(5_000) + started(9_000) + started(9_240), started(9_250));
        assert_eq!((before_deadline, at_deadline), if waits { (0, 1) } else { (1, 0) }, "{end_reason:?}");
    }
}
