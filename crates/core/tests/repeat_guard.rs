//! Requests that may have run and must not run again.

use marljunction_control::interface::*;
use marljunction_core::end_reason::EndReason;
use marljunction_core::repeat_guard::{NameConflict, RepeatGuard};
use marljunction_core::{Client, ClientRequest, Command, Router};
use rstest::rstest;

const MS: u64 = 1_000_000;
const T0: u64 = 1_700_000_000_000 * MS;
const DEADLINE_NS: u64 = 9_000 * MS;
const NAME: &str = "9b1f03aa5c7e2d41";

/// A router with one engine and one class.
fn router(effect: Effect, dedup_scope: DedupScope) -> Router {
    let class = ClassSettings {
        target_latency_ns: DEADLINE_NS,
        deadline_ns: DEADLINE_NS,
        threads: 1.0,
        effect,
        dedup_scope,
        ..ClassSettings::default()
    };
    let kinds = vec![KindSettings { cores: Some(12.0), memory_mb: None }];
    let settings = Settings { classes: vec![class], kinds, may_cancel: true, ..Settings::default() };
    let mut router = Router::new(settings, 1, 64.0);
    let engine = EngineEntry { engine: EngineId(1), kind: Some(KindId(0)), ..EngineEntry::default() };
    router.membership(MembershipKind::Full, vec![engine]);
    router
}

/// Sends a request whose client leaves before its attempt ends so.
fn leave(router: &mut Router, end_reason: EndReason) {
    let client_request = ClientRequest {
        name: NAME.into(),
        time_left_ns: 8_000 * MS,
        work_estimate_ns: Some(100 * MS),
        ..ClientRequest::default()
    };
    let request = router.accept_request(T0, Client { conn: 1, call: 1 }, client_request);
    let mut commands = Vec::new();
    router.process_events(T0, &mut commands);
    let Some(Command::Start { attempt, .. }) = commands.first() else { panic!("not sent") };
    router.client_left(request, EndReason::ClientGone);
    router.process_events(T0, &mut Vec::new());
    assert_eq!(router.name_conflict(T0, NAME), Some(NameConflict::Open));
    router.ended(*attempt, end_reason, None, None);
    router.process_events(T0, &mut Vec::new());
}

/// Guards against: a load that may have run is sent again when its client comes back with its id.
#[rstest]
#[case::load(Effect::AtMostOnce, DedupScope::All, EndReason::GivenUp, Some(NameConflict::MayHaveRun))]
#[case::broken(Effect::AtMostOnce, DedupScope::All, EndReason::Cut, Some(NameConflict::MayHaveRun))]
#[case::in_a_cell(Effect::Deduplicated, DedupScope::Cell, EndReason::GivenUp, Some(NameConflict::MayHaveRun))]
#[case::everywhere(Effect::Deduplicated, DedupScope::All, EndReason::GivenUp, None)]
#[case::lookup(Effect::Idempotent, DedupScope::All, EndReason::GivenUp, None)]
#[case::unsent(Effect::AtMostOnce, DedupScope::All, EndReason::Withdrawn, None)]
fn a_request_that_may_have_run_is_not_repeated_for_its_deadline(
    #[case] effect: Effect,
    #[case] dedup_scope: DedupScope,
    #[case] end_reason: EndReason,
    #[case] expected: Option<NameConflict>,
) {
    let mut router = router(effect, dedup_scope);
    leave(&mut router, end_reason);
    assert_eq!(router.name_conflict(T0 + DEADLINE_NS - 1, NAME), expected);
    assert_eq!(router.name_conflict(T0 + DEADLINE_NS, NAME), None);
}

#[test]
fn the_number_of_names_is_bounded_and_the_oldest_go_first() {
    let mut guard = RepeatGuard::new(1.0);
    let names: Vec<String> = (0..65).map(|i| format!("{i:016x}")).collect();
    for (at, name) in names.iter().enumerate() {
        guard.insert(T0, name, T0 + DEADLINE_NS + at as u64);
    }
    assert_eq!((guard.dropped(), guard.contains(T0, &names[0])), (1, false));
    assert!(names[1..].iter().all(|name| guard.contains(T0, name)));
    // The others are over by then, and make room.
    let later = T0 + 2 * DEADLINE_NS;
    for name in &names {
        guard.insert(later, name, later + 1);
    }
    assert_eq!(guard.dropped(), 2);
}
