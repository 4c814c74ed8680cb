//! Transitions between lifecycle phases, and what each phase allows.

use marljunction_net::phase::{Phase, MIN_IDLE_NS};

#[test]
fn a_drained_process_is_not_ready_and_closes_idle_connections_until_undrained() {
    let mut phase = Phase::Serving;
    assert!(phase.is_ready() && !phase.should_close(10 * MIN_IDLE_NS, 0));
    assert!(phase.is_well());
    assert!(phase.drain(100));
    assert!(!phase.is_well(), "a drained process asks for new clients");
    assert!(!phase.drain(200), "a second drain changed the phase");
    assert!(!phase.is_ready());
    assert!(!phase.should_close(100 + MIN_IDLE_NS - 1, 100), "closed before the minimum idle time");
    assert!(phase.should_close(100 + MIN_IDLE_NS, 100));
    assert!(phase.undrain());
    assert!(phase.is_ready() && !phase.should_close(10 * MIN_IDLE_NS, 0));
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
    assert!(phase.should_close(10 + MIN_IDLE_NS, 10));
    let mut alone = Phase::Serving;
    alone.stop(10, false);
    assert!(!alone.should_close(u64::MAX, 0), "closed an idle connection without a successor");
    assert!(alone.is_well() && !alone.is_ready(), "without a successor, new connections are still accepted");
    assert!(!phase.is_well());
}
