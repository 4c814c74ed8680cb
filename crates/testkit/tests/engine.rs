//! CPU of a stand-in engine: sharing by priority, loss of throughput under contention, locks on
//! data sets, and the poll timeout.

use marljunction_testkit::engine::{CpuModel, QueryStatus};

const MS: u64 = 1_000_000;

fn work_ns(ms: u64) -> f64 {
    (ms * MS) as f64
}

#[test]
fn single_query_takes_its_work_divided_by_its_threads() {
    let mut engine = CpuModel::new(0, 4.0);
    engine.start(0, "q", work_ns(100), 2.0, 1, None);
    assert_eq!(engine.poll(49 * MS, "q"), QueryStatus::Running(0.98));
    assert_eq!(engine.poll(51 * MS, "q"), QueryStatus::Done);
    assert_eq!(engine.poll(51 * MS, "other"), QueryStatus::Unknown);
}

#[test]
fn contended_cores_are_shared_by_priority() {
    let mut engine = CpuModel::new(0, 1.0);
    engine.start(0, "high", work_ns(100), 1.0, 3, None);
    engine.start(0, "low", work_ns(100), 1.0, 0, None);
    let QueryStatus::Running(low) = engine.poll(50 * MS, "low") else { panic!("the query is running") };
    let QueryStatus::Running(high) = engine.poll(50 * MS, "high") else { panic!("the query is running") };
    assert!((high / low - 16.0).abs() < 0.1, "high {high}, low {low}");
    assert!((low + high - 0.5).abs() < 0.01, "both share one core");
}

#[test]
fn too_many_threads_reduce_total_throughput() {
    let completed_share = |queries: usize| {
        let mut engine = CpuModel::new(0, 2.0);
        (0..queries).for_each(|i| engine.start(0, &format!("q{i}"), work_ns(1_000), 1.0, 1, None));
        let share = |status| if let QueryStatus::Running(share) = status { share } else { 1.0 };
        (0..queries).map(|i| share(engine.poll(100 * MS, &format!("q{i}")))).sum::<f64>()
    };
    assert!(
        (completed_share(4) - 0.2).abs() < 0.01,
        "two threads per core lose throughput: {}",
        completed_share(4)
    );
    assert!(
        completed_share(8) < 0.8 * completed_share(4),
        "{} with 8 threads, {} with 4",
        completed_share(8),
        completed_share(4)
    );
}

#[test]
fn load_waits_for_the_lock_on_its_data_set() {
    let mut engine = CpuModel::new(0, 4.0);
    engine.start(0, "first", work_ns(100), 1.0, 1, Some(7));
    engine.start(0, "second", work_ns(100), 1.0, 1, Some(7));
    engine.start(0, "elsewhere", work_ns(100), 1.0, 1, Some(8));
    assert_eq!(engine.poll(90 * MS, "second"), QueryStatus::Running(0.0));
    assert_eq!(engine.poll(101 * MS, "elsewhere"), QueryStatus::Done);
    engine.cancel(101 * MS, "first");
    assert_eq!(engine.poll(202 * MS, "second"), QueryStatus::Done);
}

#[test]
fn query_that_is_not_polled_is_cancelled() {
    let mut engine = CpuModel::new(0, 1.0);
    engine.start(0, "q", work_ns(10_000), 1.0, 1, None);
    assert!(matches!(engine.poll(1_900 * MS, "q"), QueryStatus::Running(_)));
    assert_eq!(engine.poll(4_000 * MS, "q"), QueryStatus::Unknown);
    assert_eq!(engine.query_count(), 0);
}
