//! The phase of the process.

use marljunction_net::phase::{Phase, MIN_IDLE_NS};

#[test]
fn a_drained_process_is_not_ready_and_closes_idle_connections_until_undrained() {
    let mut phase = Phase::Serving;
    assert!(phase.is_ready() && !phase.should_close(10 * MIN_IDLE_NS, 0));
    assert!(phase.is_well());
    assert!(phase.drain(100));
    assert!(!phase.is_well(), "its clients are to go elsewhere");
    assert!(!phase.drain(200), "a second drain is no news");
    assert!(!phase.is_ready());
    assert!(!phase.should_close(100 + MIN_IDLE_NS - 1, 100), "busy a moment ago: its client may be writing");
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
    assert_eq!(phase.stopping_since(), Some(10), "the first stop counts");
    assert!(!phase.undrain() && !phase.drain(30) && !phase.is_ready());
    assert!(phase.should_close(10 + MIN_IDLE_NS, 10));
    let mut alone = Phase::Serving;
    alone.stop(10, false);
    assert!(!alone.should_close(u64::MAX, 0), "without a successor, clients stay to the end");
    assert!(alone.is_well() && !alone.is_ready(), "alone, it takes connections for a while yet");
    assert!(!phase.is_well());
}
