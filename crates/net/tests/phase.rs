//! Transitions between lifecycle phases, and what each phase allows.

use marljunction_net::phase::{
    ClosePolicy, Phase, FORCED_CLOSE_AFTER_NS, LAST_REQUESTS_AFTER_NS, MIN_IDLE_NS,
};

/// Whether a connection that was last active at `active_ns` is closed as idle.
fn closes_idle(phase: Phase, now_ns: u64, active_ns: u64) -> bool {
    phase.close_policy(now_ns).closes_idle(now_ns, active_ns)
}

#[test]
fn a_drained_process_is_not_ready_and_closes_idle_connections_until_undrained() {
    let mut phase = Phase::Serving;
    assert!(phase.is_ready() && !closes_idle(phase, 10 * MIN_IDLE_NS, 0));
    assert!(phase.is_well());
    assert!(phase.drain(100));
    assert!(!phase.is_well(), "a drained process asks for new clients");
    assert!(!phase.drain(200), "a second drain changed the phase");
    assert!(!phase.is_ready());
    assert!(!closes_idle(phase, 100 + MIN_IDLE_NS - 1, 100), "closed before the minimum idle time");
    assert!(closes_idle(phase, 100 + MIN_IDLE_NS, 100));
    assert!(phase.undrain());
    assert!(phase.is_ready() && !closes_idle(phase, 10 * MIN_IDLE_NS, 0));
    assert!(!phase.undrain());
}

#[test]
fn a_stop_is_final_and_closes_idle_connections_only_for_a_successor() {
    let mut phase = Phase::Serving;
    phase.drain(5);
    phase.stop(10, true);
    phase.stop(20, false);
    assert_eq!(phase.stopping_since(), Some(10), "a second stop moved the start");
    assert!(!phase.undrain() && !phase.drain(30) && !phase.is_ready());
    assert!(closes_idle(phase, 10 + MIN_IDLE_NS, 10));
    let mut alone = Phase::Serving;
    alone.stop(10, false);
    assert!(!closes_idle(alone, u64::MAX, 0), "closed an idle connection without a successor");
    assert!(alone.is_well() && !alone.is_ready(), "without a successor, new connections are still accepted");
    assert!(!phase.is_well());
}

/// Guards against: a drained process keeps a connection for ever whose client never pauses.
#[test]
fn a_drained_process_stops_waiting_for_pauses_and_then_for_its_clients() {
    let mut phase = Phase::Serving;
    phase.drain(100);
    let policy_after = |after_ns| phase.close_policy(100 + after_ns);
    assert_eq!(policy_after(LAST_REQUESTS_AFTER_NS - 1), ClosePolicy::WhenIdle);
    assert_eq!(policy_after(LAST_REQUESTS_AFTER_NS), ClosePolicy::WhenAnswered);
    assert_eq!(policy_after(FORCED_CLOSE_AFTER_NS - 1), ClosePolicy::WhenAnswered);
    assert_eq!(policy_after(FORCED_CLOSE_AFTER_NS), ClosePolicy::Forced);
    let closes = |policy: ClosePolicy| (policy.closes_answered(), policy.is_forced());
    assert_eq!(closes(ClosePolicy::WhenIdle), (false, false));
    assert_eq!(closes(ClosePolicy::WhenAnswered), (true, false));
    assert_eq!(closes(ClosePolicy::Forced), (true, true));
    phase.undrain();
    assert_eq!(phase.close_policy(u64::MAX), ClosePolicy::Keep);
}
