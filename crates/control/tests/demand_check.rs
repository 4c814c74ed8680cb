//! Admission check with one engine of 10 cores, one router and no load reports. Single-thread
//! queries with a target of 4 s may demand 40 core-seconds.

mod common;
use common::*;
use marljunction_control::interface::*;

/// Both classes use one thread; their targets are 1 s and 4 s.
fn harness() -> Harness {
    let mut s = settings();
    s.classes[1].threads = 1.0;
    Harness::new(s, &[1])
}

fn send_queries(w: &mut Harness, count: u64, work_ms: u64) {
    for id in 0..count {
        assert_eq!(sent_to(&w.send_request(request(id, 1, work_ms))), Some(1), "query {id}");
    }
}

#[test]
fn work_due_by_the_same_time_is_summed() {
    // 10 x 3.9 = 39 core-seconds of 40: 0.9 more is 39.9 / 40, 1.1 more is 40.1 / 40.
    let mut w = harness();
    send_queries(&mut w, 10, 3_900);
    assert!(refused(&w.send_request(request(90, 1, 1_100))));
    assert_eq!(sent_to(&w.send_request(request(91, 1, 900))), Some(1));
}

#[test]
fn queries_due_later_keep_their_capacity() {
    // The new query is due in 1 s: 0.9 / 10 passes on its own, but the demand until 4 s becomes
    // 39.5 + 0.9 = 40.4 of 40. With 0.4 it is 39.9.
    let mut w = harness();
    send_queries(&mut w, 10, 3_950);
    assert!(refused(&w.send_request(request(90, 0, 900))));
    assert_eq!(sent_to(&w.send_request(request(91, 0, 400))), Some(1));
}

#[test]
fn elapsed_time_reduces_remaining_work() {
    // After 1 s, 10 x 2.9 = 29 remain: with 3 more, due in 4 s, the demand is 32 / 40.
    let mut w = harness();
    send_queries(&mut w, 10, 3_900);
    assert_eq!(sent_to(&w.at(1_000).send_request(request(90, 1, 3_000))), Some(1));
}

#[test]
fn progress_updates_replace_elapsed_time() {
    // By elapsed time 29 remain after 1 s; updates report a tenth done, so 10 x 3.51 = 35.1 remain.
    // The ten are due in 3 s: 35.1 / 30 fails without a new query, 29 / 30 passes.
    let mut w = harness();
    send_queries(&mut w, 10, 3_900);
    w.at(1_000);
    for id in 0..10 {
        w.on(Event::Progress(RequestId(id), 0, AttemptUpdate::Progress(0.1)));
    }
    assert!(refused(&w.send_request(request(90, 0, 500))));
    let mut w = harness();
    send_queries(&mut w, 10, 3_900);
    assert_eq!(sent_to(&w.at(1_000).send_request(request(90, 0, 500))), Some(1));
}

#[test]
fn need_must_fit_the_remaining_time() {
    let mut w = harness();
    assert!(refused(&w.send_request(request(1, 0, 5_000))));
    let mut short = request(2, 0, 500);
    short.time_left_ns = 400 * MS;
    assert!(refused(&w.send_request(short)));
}

#[test]
fn client_time_limit_bounds_the_deadline() {
    // 2 s rather than 4: 20 core-seconds, 18 in use; 2.5 do not fit, 1.5 do.
    let mut w = harness();
    for id in 0..10 {
        let mut r = request(id, 1, 1_800);
        r.time_left_ns = 2 * S;
        assert_eq!(sent_to(&w.send_request(r)), Some(1));
    }
    let short = |id, ms| Request { time_left_ns: 2 * S, ..request(id, 1, ms) };
    assert!(refused(&w.send_request(short(90, 2_500))));
    assert_eq!(sent_to(&w.send_request(short(91, 1_500))), Some(1));
}

#[test]
fn engine_with_the_lowest_load_factor_is_chosen() {
    let mut s = settings();
    s.classes[1].threads = 1.0;
    let mut w = Harness::new(s, &[1, 2]);
    let first = sent_to(&w.send_request(request(1, 1, 3_000))).unwrap();
    let second = sent_to(&w.send_request(request(2, 1, 3_000))).unwrap();
    assert_ne!(first, second);
}

#[test]
fn refusal_is_immediate_with_bounded_retry_advice() {
    let mut w = harness();
    send_queries(&mut w, 10, 3_900);
    let actions = w.send_request(request(90, 1, 3_000));
    let advice = actions.iter().find_map(|a| match a {
        Action::Refuse { retry_after_ns, .. } => *retry_after_ns,
        _ => None,
    });
    assert!(advice.is_some_and(|a| (100 * MS..=2 * S).contains(&a)), "{actions:?}");
}

#[test]
fn target_latency_bounds_demand_rather_than_the_deadline() {
    // With a stretch of 1 the target of 4 s is extended by the time alone.
    let mut w = harness();
    w.c = marljunction_control::Controller::new(
        {
            let mut s = settings();
            s.classes[1].threads = 1.0;
            s.classes[1].target_latency_stretch = 1.0;
            s
        },
        7,
    );
    w.on(Event::Membership(MembershipKind::Cached, vec![entry(1)]));
    // Target 4 + 3.9 = 7.9 s: 17 x 3.9 = 66.3 of 79 core-seconds, and within the limit of 25
    // threads.
    send_queries(&mut w, 17, 3_900);
    let mut strict = harness();
    send_queries(&mut strict, 10, 3_900);
    assert!(refused(&strict.send_request(request(90, 1, 3_900))));
}

#[test]
fn reported_busy_share_limits_capacity() {
    // Peers use nine of ten cores. With n own threads the available cores are the greater of the
    // idle core and a fair share, 10 x n / (n + 9): 3n core-seconds within 4 s are 12 / 12.3 for
    // the fourth query and 15 / 14.3 for the fifth. Without the report all five pass.
    let mut w = harness();
    let report = LoadReport { busy_share: Some(0.9), ..LoadReport::default() };
    w.on(Event::Probed(EngineId(1), Status::Done, Some(report)));
    send_queries(&mut w, 4, 3_000);
    assert!(refused(&w.send_request(request(90, 1, 3_000))));
    send_queries(&mut harness(), 5, 3_000);
}

#[test]
fn engines_without_reports_count_as_average() {
    // Engine 2 has no report: it counts as busy as engine 1, not as idle.
    let mut s = Settings { report_source: ReportSource::Probes, ..settings() };
    s.classes[1].threads = 1.0;
    let mut w = Harness::new(s, &[1, 2]);
    let report = LoadReport { busy_share: Some(1.0), ..LoadReport::default() };
    w.on(Event::Probed(EngineId(1), Status::Done, Some(report)));
    let placed = (0..12).filter(|id| sent_to(&w.send_request(request(*id, 1, 3_800))) == Some(2)).count();
    assert!(placed <= 2, "{placed} queries of 3.8 core-seconds on an engine without a report");
}

#[test]
fn estimates_are_corrected_by_reported_work() {
    // Reported work is twice the estimate: 1.9 estimated is 3.8 actual, so ten fit 40 core-seconds;
    // uncorrected, twenty-one would.
    let mut s = settings();
    s.classes[1].threads = 1.0;
    s.answers_report_cost = true;
    let mut w = Harness::new(s, &[1]);
    for id in 0..20 {
        w.serve(request(id, 1, 500), 1_000, Some(1_000));
    }
    let passed = (100..130).filter(|id| sent_to(&w.send_request(request(*id, 1, 1_900))).is_some()).count();
    assert_eq!(passed, 10);
}

#[test]
fn learned_mean_replaces_missing_estimates() {
    // Latency times threads is 3 core-seconds: thirteen fit 40 core-seconds, the fourteenth does
    // not.
    let mut s = settings();
    s.classes[1].threads = 1.0;
    let mut w = Harness::new(s, &[1]);
    for id in 0..20 {
        w.serve(request(id, 1, 0), 3_000, None);
    }
    let passed = (100..130).filter(|id| sent_to(&w.send_request(request(*id, 1, 0))).is_some()).count();
    assert!((11..=13).contains(&passed), "{passed}");
}

#[test]
fn light_traffic_uses_a_small_subset_of_engines() {
    // Sixty idle engines, one query at a time: spread over all, reports and connections would be
    // stale.
    let engines: Vec<u64> = (1..=60).collect();
    let used_engines = |seed| {
        let mut w = Harness::new(Settings { router_count: 100, ..settings() }, &engines);
        w.c = marljunction_control::Controller::new(Settings { router_count: 100, ..settings() }, seed);
        w.on(Event::Membership(MembershipKind::Cached, engines.iter().map(|e| entry(*e)).collect()));
        let mut used_engines = std::collections::BTreeSet::new();
        for id in 0..200 {
            w.now += 200 * MS;
            let engine = sent_to(&w.send_request(request(id, 0, 100))).expect("all are idle");
            w.finish(outcome(id, 0, engine, Status::Done, 100));
            used_engines.insert(engine);
        }
        used_engines
    };
    assert!(used_engines(1).len() <= 6, "{:?}", used_engines(1));
    let all: std::collections::BTreeSet<u64> = (0..100).flat_map(used_engines).collect();
    assert!(all.len() >= 58, "a hundred routers leave {} of 60 engines unused", 60 - all.len());
}

#[test]
fn other_engines_are_used_once_the_subset_is_full() {
    let engines: Vec<u64> = (1..=20).collect();
    let mut w = Harness::new(settings(), &engines);
    let used = (0..200).filter_map(|id| sent_to(&w.send_request(request(id, 0, 900))));
    let used: std::collections::BTreeSet<u64> = used.collect();
    assert!(used.len() >= 9, "200 queries of a thread each on {used:?}");
}
