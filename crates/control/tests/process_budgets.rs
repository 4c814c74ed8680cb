//! The processes of an upgrade are one router to its budgets: of retries, and of cold engines.

mod common;
use common::*;
use marljunction_control::interface::*;

const OLD: RouterProcesses = RouterProcesses { running: 2, is_oldest: true };
const NEW: RouterProcesses = RouterProcesses { running: 2, is_oldest: false };
const ALONE: RouterProcesses = RouterProcesses { running: 1, is_oldest: true };
/// Window of the retry budget.
const WINDOW_NS: u64 = 10 * S;

fn retrying() -> Settings {
    let retry_budget = Some(RetryBudget { floor: 3.0, per_request: 0.1, window_ns: WINDOW_NS });
    Settings { retry_budget, ..settings() }
}

/// Number of retries that follow when `count` first attempts fail.
fn retries(w: &mut Harness, from: u64, count: u64) -> usize {
    let mut retries = 0;
    for id in from..from + count {
        let engine = sent_to(&w.send_request(request(id, 0, 100))).unwrap();
        let retried = sent_to(&w.finish(outcome(id, 0, engine, Status::Error, 1)));
        if let Some(engine) = retried {
            retries += 1;
            w.finish(outcome(id, 1, engine, Status::Done, 1));
        }
    }
    retries
}

/// Guards against two processes that both make the retries which a router may make regardless of
/// its traffic.
#[test]
fn both_processes_of_an_upgrade_stay_within_one_retry_budget() {
    let engines: Vec<u64> = (1..=12).collect();
    let mut old = Harness::new(retrying(), &engines);
    let mut new = Harness::new(retrying(), &engines);
    old.on(Event::Processes(OLD));
    new.on(Event::Processes(NEW));
    let total = retries(&mut old, 1, 10) + retries(&mut new, 1, 10);
    assert_eq!(total, 3 + 20 / 10, "the floor, and one for each tenth request");
}

#[test]
fn a_process_has_the_whole_retry_budget_one_window_after_the_older_one_ended() {
    let engines: Vec<u64> = (1..=12).collect();
    let mut new = Harness::new(retrying(), &engines);
    new.on(Event::Processes(NEW));
    new.at(1_000).on(Event::Processes(ALONE));
    assert_eq!(retries(new.at(10_900), 1, 5), 0, "the older one's retries still count");
    assert_eq!(retries(new.at(11_100), 11, 5), 4, "the floor, and one for ten requests");
}

fn cold() -> Settings {
    Settings {
        initial_capacity: Some(0.3),
        warmup_ns: Some(15 * S),
        overload_multiple: Some(2.5),
        overload_window_ns: Some(S),
        ..settings()
    }
}

/// A process that has known one engine for long, which has just started again.
fn beside_a_cold_engine(router_count: u32, processes: RouterProcesses) -> Harness {
    let mut w = Harness::new(Settings { router_count, ..cold() }, &[1]);
    w.on(Event::Processes(processes));
    w.at(5_000);
    let restarted = EngineEntry { started_ns: Some(w.now), ..entry(1) };
    w.on(Event::Membership(MembershipKind::Delta, vec![restarted]));
    w
}

/// How many queries a process sends to the engine within one overload window, if each completes at
/// once.
fn sends(mut w: Harness, work_ms: u64) -> usize {
    let mut sends = 0;
    for id in 1..400 {
        if let Some(engine) = sent_to(&w.at(5_000 + id).send_request(request(id, 0, work_ms))) {
            w.finish(outcome(id, 0, engine, Status::Done, 1));
            sends += 1;
        }
    }
    sends
}

/// Guards against two processes that each send a cold engine what its router may send.
#[test]
fn both_processes_of_an_upgrade_stay_within_one_share_of_a_cold_engine() {
    for router_count in [1, 4, 16] {
        for work_ms in [50, 100, 200] {
            let [alone, old, new] = [ALONE, OLD, NEW]
                .map(|processes| sends(beside_a_cold_engine(router_count, processes), work_ms));
            assert!(old > 0, "{router_count} {work_ms}: {old} of {alone}");
            assert!(old + new <= alone, "{router_count} {work_ms}: {old} and {new}, alone {alone}");
        }
    }
}

#[test]
fn both_processes_of_an_upgrade_stay_within_an_assigned_share_of_a_cold_engine() {
    let [alone, old, new] = [ALONE, OLD, NEW].map(|processes| {
        let mut w = beside_a_cold_engine(100, processes);
        w.on(Event::ColdShares(EngineId(1), [1.0, 1.0]));
        sends(w, 100)
    });
    assert!(old > 0 && new > 0 && old + new <= alone, "{old} and {new}, alone {alone}");
}
