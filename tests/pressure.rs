//! Clients that press on a real router: well-behaved clients beside them are served in time, and the
//! router stays within its memory limit.

use std::path::Path;
use std::time::Duration;

use marljunction_testkit::pressure::trouble::Trouble;
use marljunction_testkit::pressure::{Limits, Measured, PressureBed};
use rstest::rstest;

/// Time for which the well-behaved clients are measured.
const TIME: Duration = Duration::from_millis(1_500);
/// Time for which the trouble acts before that.
const LEAD: Duration = Duration::from_millis(500);

/// Limits of the router: the smallest memory limit, and connections that the default limit on open
/// files of a process allows.
const LIMITS: Limits = Limits { memory_mb: 32, sockets: 2_200 };

fn bed(name: &str) -> PressureBed {
    PressureBed::start(Path::new(env!("CARGO_BIN_EXE_marljunction")), name, LIMITS).unwrap()
}

/// What well-behaved clients see beside the trouble.
fn measure(bed: &PressureBed, trouble: Trouble) -> Measured {
    let _pressure = trouble.start(bed.addresses);
    std::thread::sleep(LEAD);
    bed.measure(TIME).unwrap()
}

/// Guards against: while one client sends without pause, others wait for many of its turns.
#[rstest]
#[case::readiness(Trouble::Readiness)]
#[case::forget(Trouble::Forget)]
#[case::unknown_notifications(Trouble::UnknownNotifications)]
#[case::invalid_calls(Trouble::InvalidCalls)]
#[case::new_names(Trouble::NewNames)]
#[case::nested_bytes(Trouble::NestedBytes)]
#[case::syncs(Trouble::Syncs)]
#[case::invalid_queries(Trouble::InvalidQueries)]
#[case::new_parameters(Trouble::NewParameters)]
fn one_client_without_pause_delays_others_by_20_ms_at_most(#[case] trouble: Trouble) {
    let bed = bed(&format!("pressure-{trouble:?}"));
    let calm = measure(&bed, Trouble::Calm);
    let pressed = measure(&bed, trouble);
    let extra_ms = pressed.quantile_ms(0.5) - calm.quantile_ms(0.5);
    assert!(extra_ms <= 20.0, "{trouble:?}: {extra_ms} ms more in the median");
    assert_eq!((pressed.lost, pressed.refused), (0, 0), "{trouble:?}");
    let peak_mb = bed.peak_memory_mb();
    assert!(peak_mb <= LIMITS.memory_mb as f64, "{trouble:?}: {peak_mb} MB");
}

/// Guards against: hundreds of clients that stop half way in a large message take more memory than
/// the process may have.
#[rstest]
#[case::heads(Trouble::HalfHeads(800))]
#[case::statements(Trouble::HalfStatements(800))]
#[case::heads_beside_requests(Trouble::HalfHeadsBesideRequests(800))]
#[case::queries(Trouble::HalfQueries(800))]
fn unfinished_messages_stay_within_the_memory_limit(#[case] trouble: Trouble) {
    let bed = bed(&format!("pressure-{trouble:?}").replace(['(', ')'], "-"));
    let measured = measure(&bed, trouble);
    let peak_mb = bed.peak_memory_mb();
    assert!(peak_mb <= LIMITS.memory_mb as f64, "{trouble:?}: {peak_mb} MB");
    assert_eq!(measured.lost, 0, "{trouble:?}");
}
