//! The processes of an upgrade are one router to its budgets: of retries, and of cold engines.

mod common;
use common::*;
use marljunction_control::interface::*;

/// Window of the retry budget.
const WINDOW_NS: u64 = 10 * S;

fn retrying() -> Harness {
    let retry_budget = Some(RetryBudget { floor: 3.0, per_request: 0.1, window_ns: WINDOW_NS });
    let engines: Vec<u64> = (1..=12).collect();
    Harness::new(Settings { retry_budget, ..settings() }, &engines)
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
    let (mut old, mut new) = (retrying(), retrying());
    old.on(Event::Reserve(true));
    new.on(Event::Reserve(false));
    let total = retries(&mut old, 1, 10) + retries(&mut new, 1, 10);
    assert_eq!(total, 3 + 20 / 10, "the floor, and one for each tenth request");
}

#[test]
fn a_process_has_the_whole_retry_budget_one_window_after_the_older_one_ended() {
    let mut new = retrying();
    new.on(Event::Reserve(false));
    new.at(1_000).on(Event::Reserve(true));
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
fn beside_a_cold_engine(router_count: u32, has_reserve: bool) -> Harness {
    let mut w = Harness::new(Settings { router_count, ..cold() }, &[1]);
    w.on(Event::Reserve(has_reserve));
    w.at(5_000);
    let restarted = EngineEntry { started_ns: Some(w.now), ..entry(1) };
    w.on(Event::Membership(MembershipKind::Delta, vec![restarted]));
    w
}

/// How many queries a process sends to the engine at this time, of two that arrive and complete at
/// once.
fn sends(w: &mut Harness, at_ms: u64, work_ms: u64) -> usize {
    w.at(5_000 + at_ms);
    let mut sends = 0;
    for id in [2 * at_ms, 2 * at_ms + 1] {
        if let Some(engine) = sent_to(&w.send_request(request(id, 0, work_ms))) {
            w.finish(outcome(id, 0, engine, Status::Done, 1));
            sends += 1;
        }
    }
    sends
}

/// How many queries two processes send within one overload window, each of which knows what the other
/// one sent.
fn sends_of_both(old: &mut Harness, new: &mut Harness, work_ms: u64) -> usize {
    (1..900)
        .map(|at_ms| {
            let of_old = sends(old, at_ms, work_ms);
            new.on(Event::ColdSendsElsewhere(old.c.cold_sends(old.now)));
            let of_new = sends(new, at_ms, work_ms);
            old.on(Event::ColdSendsElsewhere(new.c.cold_sends(new.now)));
            of_old + of_new
        })
        .sum()
}

/// Guards against two processes that each send a cold engine what its router may send.
#[test]
fn both_processes_of_an_upgrade_stay_within_one_share_of_a_cold_engine() {
    for router_count in [1, 4, 16] {
        for work_ms in [50, 100, 200] {
            let mut alone = beside_a_cold_engine(router_count, true);
            let of_one: usize = (1..900).map(|at_ms| sends(&mut alone, at_ms, work_ms)).sum();
            let mut old = beside_a_cold_engine(router_count, true);
            let mut new = beside_a_cold_engine(router_count, false);
            let of_both = sends_of_both(&mut old, &mut new, work_ms);
            assert_eq!(of_both, of_one, "{router_count} routers, {work_ms} ms");
            assert!(of_one > 0);
        }
    }
}

#[test]
fn both_processes_of_an_upgrade_stay_within_an_assigned_share_of_a_cold_engine() {
    let assigned = |has_reserve| {
        let mut w = beside_a_cold_engine(100, has_reserve);
        w.on(Event::ColdShares(EngineId(1), [1.0, 1.0]));
        w
    };
    let mut alone = assigned(true);
    let of_one: usize = (1..900).map(|at_ms| sends(&mut alone, at_ms, 100)).sum();
    let of_both = sends_of_both(&mut assigned(true), &mut assigned(false), 100);
    assert!(of_one > 1 && of_both == of_one, "{of_both}, alone {of_one}");
}

#[test]
fn a_process_without_the_reserve_sends_no_query_that_exceeds_the_share() {
    // The share of one of sixteen routers is less than one query of 400 ms.
    let mut old = beside_a_cold_engine(16, true);
    assert_eq!((1..5).map(|at_ms| sends(&mut old, at_ms, 400)).sum::<usize>(), 1);
    let mut new = beside_a_cold_engine(16, false);
    assert_eq!((1..5).map(|at_ms| sends(&mut new, at_ms, 400)).sum::<usize>(), 0);
    new.on(Event::Reserve(true));
    assert_eq!(sends(&mut new, 900, 400), 0, "what the other one sent may still count");
    assert_eq!(sends(&mut new, 1_100, 400), 1);
}
