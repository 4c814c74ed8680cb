//! What one round brings, in whatever order it was read.

use marljunction_control::interface::*;
use marljunction_core::ending::Ending;
use marljunction_core::{Answer, Ask, Attempt, Client, Command, Router, Rows};

const MS: u64 = 1_000_000;
const T0: u64 = 1_700_000_000_000 * MS;
const WINDOW: u64 = 700 * MS;

fn router(class: ClassSettings) -> Router {
    let class = ClassSettings { aim_ns: 9_000 * MS, deadline_ns: 9_000 * MS, threads: 1.0, ..class };
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
    turn(&mut router, T0);
    router
}

fn turn(router: &mut Router, now: u64) -> Vec<Command> {
    let mut commands = Vec::new();
    router.turn(now, &mut commands);
    commands
}

fn take(router: &mut Router, call: u64) -> RequestId {
    let ask = Ask { name: format!("{call:016x}"), time_left_ns: 8_000 * MS, ..Ask::default() };
    router.take(T0, Client { conn: 1, call }, ask)
}

fn starts(commands: &[Command]) -> Vec<Option<u64>> {
    let begin =
        |c: &Command| if let Command::Start { begin_by_ns, .. } = c { Some(*begin_by_ns) } else { None };
    commands.iter().filter_map(begin).collect()
}

#[test]
fn a_wish_to_end_a_request_comes_too_late_for_a_result_that_came_in_its_round() {
    let mut router = router(ClassSettings::default());
    let request = take(&mut router, 1);
    assert_eq!(starts(&turn(&mut router, T0)).len(), 1);
    router.cancel(request);
    let rows = Some(Rows::Text(b"1\n".to_vec()));
    router.ended(Attempt { request, number: 0 }, Ending::Served, rows, None);
    let commands = turn(&mut router, T0 + MS);
    assert!(matches!(commands[..], [Command::Answer(_, Answer::Served(_)), ..]), "{commands:?}");
    assert_eq!((router.counters.served, router.counters.failed), (1, 0));
}

#[test]
fn who_left_in_a_round_gets_no_further_attempt_in_it() {
    let mut router = router(ClassSettings::default());
    let request = take(&mut router, 1);
    turn(&mut router, T0);
    router.ended(Attempt { request, number: 0 }, Ending::Full, None, None);
    router.leave(request, Ending::ClientGone);
    assert!(starts(&turn(&mut router, T0 + MS)).is_empty());
    assert_eq!((router.counters.left, router.owed()), (1, 0));
}

#[test]
fn a_repeat_is_told_by_when_engines_drop_it() {
    let class = ClassSettings {
        effect: Effect::Deduplicated,
        dedup_window_ns: Some(WINDOW),
        ..ClassSettings::default()
    };
    let mut router = router(class);
    let request = take(&mut router, 1);
    assert_eq!(starts(&turn(&mut router, T0)), [None]);
    // The first never ran, the second may have: the window is counted from that one.
    router.ended(Attempt { request, number: 0 }, Ending::Full, None, None);
    assert_eq!(starts(&turn(&mut router, T0 + 100 * MS)), [None]);
    router.ended(Attempt { request, number: 1 }, Ending::Cut, None, None);
    let again = starts(&turn(&mut router, T0 + 200 * MS));
    assert!(again.is_empty() || again == [Some(T0 + 100 * MS + WINDOW)], "{again:?}");
    assert!(!again.is_empty(), "the module sends it again");
}

#[test]
fn what_is_taken_and_left_in_one_round_is_never_sent() {
    let mut router = router(ClassSettings::default());
    let request = take(&mut router, 1);
    router.leave(request, Ending::Forgotten);
    assert!(starts(&turn(&mut router, T0)).is_empty());
    assert_eq!((router.counters.left_unsent, router.counters.sent, router.owed()), (1, 0, 0));
}
