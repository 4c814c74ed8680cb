//! Regression tests for load estimation, health, cancellation and engine choice.

mod common;
use common::*;
use marljunction_control::interface::*;

fn count_sent(w: &mut Harness, ids: std::ops::Range<u64>, class: usize, work_ms: u64) -> u64 {
    ids.filter(|id| sent_to(&w.send_request(request(*id, class, work_ms))).is_some()).count() as u64
}

#[test]
fn threads_per_core_are_limited() {
    // Tiny queries create little demand, but 2.5 threads per core are the limit: 25 on 10 cores.
    let mut w = Harness::new(settings(), &[1]);
    assert_eq!(count_sent(&mut w, 0..40, 0, 10), 25);
}

#[test]
fn thread_limit_is_lower_for_heavier_queries_of_a_class() {
    let mut w = Harness::new(settings(), &[1]);
    for id in 0..300 {
        w.serve(request(id, 0, 10), 10, None);
    }
    count_sent(&mut w, 1_000..1_015, 0, 10);
    assert!(refused(&w.send_request(request(2_000, 0, 100))));
    assert!(sent_to(&w.send_request(request(2_001, 0, 10))).is_some());
}

#[test]
fn granted_memory_shows_load_beyond_saturated_cores() {
    // A busy share of 1 indicates 10 threads; a memory share of 0.9 at 500 MB x 1.2 per query
    // indicates 15, so fewer queries are sent.
    let passed = |memory| {
        let mut w = Harness::new(settings(), &[1]);
        let r = |id| Request { memory_estimate_mb: Some(500.0), ..request(id, 0, 300) };
        for id in 0..10 {
            w.serve(r(id), 300, None);
        }
        w.now += 10 * S;
        let report = LoadReport { busy_share: Some(1.0), memory_share: memory, ..LoadReport::default() };
        w.on(Event::Probed(EngineId(1), Status::Done, Some(report)));
        count_sent(&mut w, 100..140, 0, 300)
    };
    assert!(passed(Some(0.9)) < passed(None));
}

#[test]
fn light_queries_are_spread_over_engines() {
    // Both engines pass; the lower load factor decides, so both are used.
    let mut w = Harness::new(settings(), &[1, 2]);
    let busy = sent_to(&w.send_request(request(1, 1, 3_000))).unwrap();
    for id in 2..4 {
        w.send_request(request(id, 1, 3_000));
    }
    let free = sent_to(&w.send_request(request(10, 0, 900)));
    assert!(free.is_some() && busy > 0);
    let mut loads = [0, 0];
    for id in 20..32 {
        loads[sent_to(&w.send_request(request(id, 0, 100))).unwrap() as usize - 1] += 1;
    }
    assert!(loads[0] > 0 && loads[1] > 0, "{loads:?}");
}

#[test]
fn own_new_attempts_are_not_subtracted_from_reported_load() {
    // 12 in flight are reported while 8 new attempts are not yet included: the peers have 12, not
    // 4.
    let mut w = Harness::new(settings(), &[1]);
    w.serve(request(1, 0, 300), 300, None);
    w.now += 10 * S;
    let placed = count_sent(&mut w, 10..18, 0, 300);
    assert_eq!(placed, 8);
    let report = LoadReport { in_flight: Some(12.0), ..LoadReport::default() };
    w.on(Event::Probed(EngineId(1), Status::Done, Some(report)));
    assert_eq!(count_sent(&mut w, 20..25, 0, 300), 5, "12 + 8 + 5 threads are 2.5 per core");
    assert_eq!(count_sent(&mut w, 25..26, 0, 300), 0, "the next would exceed the thread limit");
}

#[test]
fn peer_growth_is_counted_on_top_of_a_report() {
    let passed = |router_count| {
        let mut w = Harness::new(Settings { router_count, ..settings() }, &[1]);
        let report = LoadReport { busy_share: Some(0.2), ..LoadReport::default() };
        w.on(Event::Probed(EngineId(1), Status::Done, Some(report)));
        count_sent(&mut w, 0..40, 0, 50)
    };
    assert!(passed(6) < passed(1));
}

#[test]
fn overrun_attempt_is_cancelled_and_retried() {
    let mut w = Harness::new(settings(), &[1, 2]);
    let actions = w.send_request(request(1, 1, 3_000));
    let first = sent_to(&actions).unwrap();
    let (after, token) = timers(&actions)[0];
    assert_eq!(after, 3_000 * MS, "3 times the expected 1 s, without samples");
    w.now += after;
    assert!(cancelled(&w.on(Event::Timer(token))));
    let again = w.finish(outcome(1, 0, first, Status::Cancelled, 3_000));
    assert!(sent_to(&again).is_some(), "{again:?}");
}

#[test]
fn slow_progress_cancels_early_and_normal_progress_does_not() {
    let mut w = Harness::new(settings(), &[1]);
    w.send_request(request(1, 1, 9_000));
    w.at(2_000);
    assert!(!cancelled(&w.on(Event::Progress(RequestId(1), 0, AttemptUpdate::Progress(0.6)))));
    w.send_request(request(2, 1, 9_000));
    w.at(4_000);
    assert!(cancelled(&w.on(Event::Progress(RequestId(2), 0, AttemptUpdate::Progress(0.05)))));
}

#[test]
fn at_most_once_attempt_is_not_cancelled_when_overrun() {
    let mut s = settings();
    s.classes[1].effect = Effect::AtMostOnce;
    let mut w = Harness::new(s, &[1, 2]);
    let (after, token) = timers(&w.send_request(request(1, 1, 3_000)))[0];
    w.now += after;
    assert!(!cancelled(&w.on(Event::Timer(token))));
}

#[test]
fn failing_engine_is_suspended_and_readmitted_by_a_trial() {
    let mut w = Harness::new(settings(), &[1, 2]);
    for id in 0..12 {
        let engine = sent_to(&w.send_request(request(id, 0, 100))).unwrap();
        w.now += 5 * MS;
        if engine == 1 {
            let again = w.finish(outcome(id, 0, 1, Status::Error, 5));
            assert_eq!(sent_to(&again), Some(2), "an error is retried on another engine");
            w.finish(outcome(id, 1, 2, Status::Done, 100));
        } else {
            w.finish(outcome(id, 0, 2, Status::Done, 100));
        }
    }
    for id in 20..30 {
        assert_eq!(sent_to(&w.send_request(request(id, 0, 100))), Some(2), "suspended");
    }
    // After the backoff one query is a trial; no second one is sent while it runs.
    w.now += 2 * S;
    let tried: Vec<u64> =
        (30..40).filter(|id| sent_to(&w.send_request(request(*id, 0, 100))) == Some(1)).collect();
    assert_eq!(tried.len(), 1);
    w.finish(outcome(tried[0], 0, 1, Status::Done, 100));
    let back = (40..50).filter(|id| sent_to(&w.send_request(request(*id, 0, 100))) == Some(1)).count();
    assert!(back > 1, "readmitted");
}

#[test]
fn refused_connection_suspends_at_once_and_the_request_is_retried() {
    let mut w = Harness::new(settings(), &[1, 2]);
    let first = sent_to(&w.send_request(request(1, 0, 100))).unwrap();
    let other = 3 - first;
    assert_eq!(sent_to(&w.finish(outcome(1, 0, first, Status::Refused, 1))), Some(other));
    assert_eq!(sent_to(&w.send_request(request(2, 0, 100))), Some(other));
}

#[test]
fn unresponsive_engine_is_suspended_by_overrun_attempts() {
    let mut w = Harness::new(settings(), &[1, 2]);
    w.on(Event::Membership(
        MembershipKind::Delta,
        vec![EngineEntry { state: EngineState::Draining, ..entry(2) }],
    ));
    for id in 0..3 {
        let actions = w.send_request(request(id, 0, 100));
        assert_eq!(sent_to(&actions), Some(1));
        let (after, token) = timers(&actions)[0];
        w.now += after;
        assert!(cancelled(&w.on(Event::Timer(token))));
        w.finish(outcome(id, 0, 1, Status::Cancelled, 400));
    }
    assert!(refused(&w.send_request(request(9, 0, 100))), "nothing is sent to an unresponsive engine");
}

#[test]
fn slow_engine_receives_less() {
    let mut w = Harness::new(settings(), &[1, 2, 3]);
    for id in 0..60 {
        let engine = sent_to(&w.send_request(request(id, 0, 100))).unwrap();
        let latency = if engine == 1 { 800 } else { 100 };
        w.now += latency * MS;
        w.finish(outcome(id, 0, engine, Status::Done, latency));
    }
    let mut to_slow = 0;
    for id in 100..130 {
        to_slow += u32::from(sent_to(&w.send_request(request(id, 1, 2_000))) == Some(1));
    }
    assert!(to_slow < 8, "{to_slow} of 30 to an engine eight times slower; an even share is 10");
}

#[test]
fn earlier_due_times_get_higher_priority_where_supported() {
    let mut w = Harness::new(Settings { priorities: true, ..settings() }, &[1]);
    w.send_request(request(1, 1, 3_000));
    let actions = w.send_request(request(2, 0, 100));
    let mut priority = [None; 3];
    for a in &actions {
        if let Action::SetTerms { request, priority: p, .. } = a {
            priority[request.0 as usize] = Some(*p);
        }
    }
    assert_eq!(priority[2], Some(3));
    assert!(priority[1] < Some(3) && priority[1].is_some());
    let mut w = Harness::new(settings(), &[1]);
    w.send_request(request(1, 1, 3_000));
    assert!(!w.send_request(request(2, 0, 100)).iter().any(|a| matches!(a, Action::SetTerms { .. })));
}

#[test]
fn restarted_router_uses_the_cached_engine_list() {
    let mut w = Harness::new(settings(), &[1, 2]);
    assert!(sent_to(&w.send_request(request(1, 0, 0))).is_some());
}

#[test]
fn unusual_valid_input_is_handled() {
    let mut w = Harness::new(settings(), &[]);
    assert!(refused(&w.send_request(request(1, 0, 100))), "no engines");
    let mut w = Harness::with(settings(), vec![EngineEntry { kind: None, weight: 0.0, ..entry(1) }]);
    let expired = Request { time_left_ns: 0, ..request(1, 0, 100) };
    assert!(refused(&w.send_request(expired)));
    assert!(w.on(Event::Left(RequestId(77))).is_empty());
    assert!(w.finish(outcome(77, 0, 1, Status::Done, 5)).is_empty());
    assert!(w.on(Event::Timer(TimerToken(12_345))).is_empty());
    assert!(w.on(Event::Progress(RequestId(77), 3, AttemptUpdate::Waiting)).is_empty());
    assert!(w.on(Event::PeerMessage(3, vec![1, 2])).is_empty());
}

#[test]
fn repeated_resets_suspend_an_engine_but_one_does_not() {
    for (resets, out) in [(1, false), (3, true)] {
        let mut w = Harness::new(settings(), &[1]);
        w.serve(request(99, 0, 100), 100, None);
        let ids: Vec<u64> = (0..resets).collect();
        ids.iter().for_each(|id| drop(w.send_request(request(*id, 0, 100))));
        ids.iter().for_each(|id| drop(w.finish(outcome(*id, 0, 1, Status::Reset, 5))));
        assert_eq!(refused(&w.send_request(request(50, 0, 100))), out, "{resets} resets");
    }
}

#[test]
fn cold_engine_without_report_is_used() {
    // Peers have 11 threads on the 10 cores of the warm engine. With as many assumed, the cold one,
    // with the capacity of 4 cores, would exceed the thread limit and stay unused.
    let s = Settings { warmup_ns: Some(10 * S), initial_capacity: Some(0.4), ..settings() };
    let mut w = Harness::with(s, vec![entry(1), EngineEntry { started_ns: Some(T0), ..entry(2) }]);
    w.serve(request(99, 0, 100), 100, None);
    let report = LoadReport { in_flight: Some(11.0), ..LoadReport::default() };
    w.on(Event::Probed(EngineId(1), Status::Done, Some(report)));
    let cold = (0..8).filter(|id| sent_to(&w.send_request(request(*id, 0, 100))) == Some(2)).count();
    assert!(cold > 0);
}

#[test]
fn overrun_attempt_too_late_for_a_retry_is_refused_at_once() {
    let mut w = Harness::new(settings(), &[1, 2]);
    let (_, token) = timers(&w.send_request(Request { time_left_ns: 3_500 * MS, ..request(1, 1, 3_000) }))[0];
    let actions = w.at(3_100).on(Event::Timer(token));
    assert!(cancelled(&actions) && refused(&actions), "0.4 s remain, a retry needs 1 s");
}

#[test]
fn overrun_limit_follows_latency_variance() {
    // Latencies as expected: cancelled at 2x. Off by a factor of two either way: at exp(2.2 x ln
    // 2), 4.6x.
    for (latencies, multiple) in [([100, 100], 2.0), ([50, 200], 4.59)] {
        let mut w = Harness::new(settings(), &[1]);
        for id in 0..200 {
            w.serve(request(id, 0, 100), latencies[id as usize % 2], None);
        }
        let (after, _) = timers(&w.send_request(request(900, 0, 400)))[0];
        let seen = after as f64 / (400 * MS) as f64;
        assert!((seen - multiple).abs() < 0.05, "{seen} for {multiple}");
    }
}

#[test]
fn overrun_deduplicated_request_is_cancelled_if_all_engines_drop_repeats() {
    for (scope, moved) in [(DedupScope::All, true), (DedupScope::Cell, false)] {
        let mut s = settings();
        s.classes[1].effect = Effect::Deduplicated;
        s.classes[1].dedup_scope = scope;
        s.classes[1].dedup_window_ns = Some(20 * S);
        let mut w = Harness::new(s, &[1, 2]);
        let (after, token) = timers(&w.send_request(request(1, 1, 3_000)))[0];
        w.now += after;
        assert_eq!(cancelled(&w.on(Event::Timer(token))), moved, "{scope:?}");
    }
}

#[test]
fn query_goes_to_an_engine_with_its_data_set_cached() {
    // All engines are equally loaded; only the cached data sets differ.
    let mut w = Harness::new(settings(), &[1, 2, 3]);
    let on = |id, set| Request { data_set: Some(set), ..request(id, 1, 1_000) };
    let home_engine: Vec<u64> = (0..3).map(|set| sent_to(&w.send_request(on(set, set))).unwrap()).collect();
    assert_eq!(home_engine.iter().sum::<u64>(), 6, "one on each engine");
    for (set, engine) in home_engine.iter().enumerate() {
        w.finish(outcome(set as u64, 0, *engine, Status::Done, 333));
    }
    for round in 1..6 {
        for set in [2, 0, 1] {
            let id = round * 10 + set as u64;
            assert_eq!(sent_to(&w.send_request(on(id, set as u64))), Some(home_engine[set]));
            w.finish(outcome(id, 0, home_engine[set], Status::Done, 333));
        }
    }
}

#[test]
fn probe_rate_is_independent_of_fleet_size() {
    // Load is reported by probes only: each arrival probes one of sixty engines, and all have their
    // turn.
    let s = Settings { report_source: ReportSource::Probes, ..settings() };
    let ids: Vec<u64> = (1..61).collect();
    let mut w = Harness::new(s, &ids);
    let mut probed = std::collections::BTreeSet::new();
    for id in 0..60 {
        w.now += 10 * MS;
        let probes = w.send_request(request(id, 0, 100));
        let probes: Vec<_> = probes.iter().filter(|a| matches!(a, Action::Probe(_))).collect();
        assert_eq!(probes.len(), 1);
        if let Action::Probe(engine) = probes[0] {
            w.on(Event::Probed(
                *engine,
                Status::Done,
                Some(LoadReport { busy_share: Some(0.1), ..LoadReport::default() }),
            ));
            probed.insert(*engine);
        }
    }
    assert!(probed.len() >= 50, "{}", probed.len());
}

#[test]
fn refusing_router_recovers_by_probing() {
    // Both engines are reported full. Without probes nothing would be sent and no report received.
    let mut w = Harness::new(Settings { report_source: ReportSource::Answers, ..settings() }, &[1, 2]);
    let report = |all| Some(LoadReport { in_flight: Some(all), ..LoadReport::default() });
    w.serve(request(1, 0, 100), 100, None);
    for engine in [1, 2] {
        w.on(Event::Probed(EngineId(engine), Status::Done, report(60.0)));
    }
    assert!(refused(&w.send_request(request(2, 0, 100))));
    for id in 3..30 {
        w.now += 300 * MS;
        for action in w.send_request(request(id, 0, 100)) {
            match action {
                Action::Probe(engine) => drop(w.on(Event::Probed(engine, Status::Done, report(2.0)))),
                Action::Send { .. } => return,
                _ => {}
            }
        }
    }
    panic!("refused for eight seconds after the engines became idle");
}

#[test]
fn rarely_used_engine_is_suspended_by_one_failure() {
    // A recent success outweighs one failure; after a long gap the failure dominates.
    for (gap_ms, out) in [(100, false), (10_000, true)] {
        let mut w = Harness::new(settings(), &[1]);
        w.serve(request(1, 0, 100), 100, None);
        w.now += gap_ms * MS;
        w.send_request(request(2, 0, 100));
        w.finish(outcome(2, 0, 1, Status::Reset, 5));
        assert_eq!(refused(&w.send_request(request(3, 0, 100))), out, "{gap_ms} ms after the last outcome");
    }
}

#[test]
fn trials_of_suspended_engines_are_rate_limited() {
    // Nineteen of twenty engines fail: unlimited, each would cost a query every few seconds.
    let ids: Vec<u64> = (1..21).collect();
    let mut w = Harness::new(settings(), &ids);
    for engine in 2..21 {
        w.on(Event::Membership(
            MembershipKind::Delta,
            ids.iter()
                .map(|e| EngineEntry {
                    state: if *e == engine { EngineState::Ready } else { EngineState::Draining },
                    ..entry(*e)
                })
                .collect(),
        ));
        assert_eq!(sent_to(&w.send_request(request(engine, 0, 100))), Some(engine));
        w.finish(outcome(engine, 0, engine, Status::Refused, 1));
    }
    w.on(Event::Membership(MembershipKind::Full, ids.iter().map(|e| entry(*e)).collect()));
    w.now += 2 * S;
    let mut tried = 0;
    for id in 100..200 {
        w.now += 100 * MS;
        let actions = w.send_request(request(id, 0, 50));
        let engine = sent_to(&actions).unwrap();
        if engine == 1 {
            w.finish(outcome(id, 0, 1, Status::Done, 50));
        } else {
            tried += 1;
            w.finish(outcome(id, 0, engine, Status::Refused, 1));
        }
    }
    assert!((1..=6).contains(&tried), "{tried} of 100 queries were trials of suspended engines");
}

#[test]
fn routers_with_equal_reports_choose_different_engines() {
    // Of forty routers with the same reports, few choose the one engine with a lower load.
    let ids: Vec<u64> = (1..41).collect();
    let mut picked = std::collections::BTreeMap::new();
    for seed in 0..40 {
        let mut w = Harness { c: marljunction_control::Controller::new(settings(), seed), now: T0 };
        w.on(Event::Membership(MembershipKind::Cached, ids.iter().map(|e| entry(*e)).collect()));
        w.serve(request(1, 0, 100), 100, None);
        for engine in &ids {
            let in_flight = Some(if *engine == 7 { 4.0 } else { 5.0 });
            let report = LoadReport { in_flight, ..LoadReport::default() };
            w.on(Event::Probed(EngineId(*engine), Status::Done, Some(report)));
        }
        *picked.entry(sent_to(&w.send_request(request(2, 0, 300))).unwrap()).or_insert(0) += 1;
    }
    assert!(picked.len() >= 15 && picked.get(&7).is_none_or(|n| *n <= 12), "{picked:?}");
}

#[test]
fn latency_indicates_load_without_reports() {
    // Engine 1 answers 2.4 times as slowly as its reported work takes alone.
    let s = Settings { router_count: 2, answers_report_cost: true, ..settings() };
    let mut w = Harness::new(s, &[1, 2]);
    for id in 0..40 {
        let engine = sent_to(&w.send_request(request(id, 0, 100))).unwrap();
        let latency = if engine == 1 { 240 } else { 100 };
        w.now += latency * MS;
        let work_ns = Some(100 * MS);
        w.finish(Outcome { work_ns, ..outcome(id, 0, engine, Status::Done, latency) });
    }
    let crowded = (100..120).filter(|id| sent_to(&w.send_request(request(*id, 1, 1_500))) == Some(1)).count();
    assert!(crowded <= 3, "{crowded} of 20 on the engine with high latency");
}

#[test]
fn memory_grants_exceed_the_corrected_estimate_by_a_margin() {
    // Reported memory is twice the estimate: 100 MB estimated is granted 2 x 1.4. Without reported
    // memory the engine chooses.
    for (reported, grant) in [(Some(200.0), 280), (None, 0)] {
        let s = Settings { grants: true, priorities: true, max_grant_share: Some(0.5), ..settings() };
        let mut w = Harness::new(s, &[1]);
        let r = |id| Request { memory_estimate_mb: Some(100.0), ..request(id, 0, 100) };
        assert_eq!(sent_to(&w.send_request(r(1))), Some(1));
        w.finish(Outcome { memory_mb: reported, ..outcome(1, 0, 1, Status::Done, 100) });
        let granted = w.send_request(r(2)).iter().find_map(|a| match a {
            Action::SetTerms { memory_mb, .. } => Some(*memory_mb),
            _ => None,
        });
        assert_eq!(granted.unwrap_or(0), grant, "{reported:?}");
    }
}

#[test]
fn blocked_loads_have_a_higher_overrun_limit() {
    // An expected 1 s is overrun at 3 s, but a load may wait for another one. It is still cancelled
    // at 9 s, since its engine may hang.
    for (is_load, waits_for_loads, patience) in [(false, false, 3), (true, false, 9), (false, true, 9)] {
        let mut s = settings();
        (s.classes[1].is_load, s.classes[1].waits_for_loads) = (is_load, waits_for_loads);
        let mut w = Harness::new(s, &[1, 2]);
        let (after, token) = timers(&w.send_request(request(1, 1, 3_000)))[0];
        assert_eq!(after, patience * S);
        w.now += after;
        assert!(cancelled(&w.on(Event::Timer(token))));
    }
}

#[test]
fn one_slow_answer_does_not_block_an_engine_for_long() {
    // One answer takes ten times as long as alone: the engine counts as full at first, but is used
    // again within a second without a newer report.
    let s = Settings { router_count: 2, answers_report_cost: true, ..settings() };
    let mut w = Harness::new(s, &[1]);
    sent_to(&w.send_request(request(1, 0, 100))).unwrap();
    w.now += S;
    w.finish(Outcome { work_ns: Some(100 * MS), ..outcome(1, 0, 1, Status::Done, 1_000) });
    let open = (0..40).find(|i| {
        w.now += 100 * MS;
        sent_to(&w.send_request(request(10 + i, 0, 100))).is_some()
    });
    assert!(open.is_some_and(|i| i <= 10), "{open:?} tenths of a second");
}

#[test]
fn thread_limit_is_lower_where_queries_do_not_queue_for_memory() {
    // 2.5 threads per core where some may queue for memory, 2 where all run.
    for (memory_shortage, most) in
        [(MemoryShortage::Wait, 25), (MemoryShortage::Shrink, 20), (MemoryShortage::Page, 20)]
    {
        let mut w = Harness::new(Settings { memory_shortage, ..settings() }, &[1]);
        assert_eq!(count_sent(&mut w, 0..40, 0, 10), most, "{memory_shortage:?}");
    }
}

#[test]
fn one_own_query_is_not_multiplied_by_all_peers() {
    // One heavy query was sent to an engine reported as mostly idle. Multiplied by 300 peers it
    // would count as hundreds of threads, and the engine would be refused.
    let ids: Vec<u64> = (1..61).collect();
    let mut w = Harness::new(Settings { router_count: 300, ..settings() }, &ids);
    for engine in &ids {
        let report = LoadReport { busy_share: Some(0.3), ..LoadReport::default() };
        w.on(Event::Probed(EngineId(*engine), Status::Done, Some(report)));
    }
    w.on(Event::Membership(MembershipKind::Full, vec![entry(1)]));
    assert_eq!(sent_to(&w.send_request(request(1, 1, 3_000))), Some(1));
    let mut list: Vec<EngineEntry> = ids.iter().map(|e| entry(*e)).collect();
    list[1..].iter_mut().for_each(|e| e.state = EngineState::Draining);
    w.on(Event::Membership(MembershipKind::Full, list));
    assert_eq!(sent_to(&w.send_request(request(2, 0, 100))), Some(1));
}

/// Settings in which probes report load.
fn settings_with_probes() -> Settings {
    Settings { report_source: ReportSource::Probes, ..settings() }
}

fn report_load(w: &mut Harness, engine: u64, report: LoadReport) {
    w.on(Event::Probed(EngineId(engine), Status::Done, Some(report)));
}

#[test]
fn granted_memory_does_not_outweigh_idle_cores() {
    // Granted memory of 0.8, converted to threads by this router's few queries, would indicate a
    // full engine although only a fifth of its cores is busy.
    let mut w = Harness::new(settings_with_probes(), &[1]);
    let with_memory = |id| Request { memory_estimate_mb: Some(100.0), ..request(id, 0, 300) };
    w.serve(with_memory(1), 300, None);
    w.now += 10 * S;
    let report = LoadReport { busy_share: Some(0.2), memory_share: Some(0.8), ..LoadReport::default() };
    report_load(&mut w, 1, report);
    assert_eq!(sent_to(&w.send_request(with_memory(2))), Some(1));
}

#[test]
fn engine_with_granted_memory_receives_nothing_more() {
    // Memory limits an engine despite idle cores; the limit is lower where grants shrink.
    let report = |x| LoadReport { busy_share: Some(0.3), memory_share: Some(x), ..LoadReport::default() };
    for (memory_shortage, granted, full) in [
        (MemoryShortage::Page, 1.2, true),
        (MemoryShortage::Page, 0.85, false),
        (MemoryShortage::Shrink, 0.85, true),
        (MemoryShortage::Shrink, 0.3, false),
    ] {
        let mut w = Harness::new(Settings { memory_shortage, ..settings_with_probes() }, &[1]);
        report_load(&mut w, 1, report(granted));
        assert_eq!(refused(&w.send_request(request(1, 0, 300))), full, "{memory_shortage:?} at {granted}");
    }
}

#[test]
fn busy_disks_count_as_busy_cores() {
    // Queries on an engine with busy disks wait even if its cores are idle.
    for (busy, idle) in [(1, 2), (2, 1)] {
        let mut w = Harness::new(settings_with_probes(), &[1, 2]);
        let report =
            |disks| LoadReport { busy_share: Some(0.3), disk_share: Some(disks), ..LoadReport::default() };
        report_load(&mut w, busy, report(0.95));
        report_load(&mut w, idle, report(0.4));
        assert_eq!(sent_to(&w.send_request(request(1, 0, 300))), Some(idle));
    }
}

#[test]
fn many_in_flight_queries_indicate_overload_despite_idle_cores() {
    // Six queries per core and a busy share of 0.6: the disks, which are not reported, are full.
    let mut w = Harness::new(settings_with_probes(), &[1]);
    w.serve(request(1, 0, 300), 300, None);
    let report = LoadReport { busy_share: Some(0.6), in_flight: Some(60.0), ..LoadReport::default() };
    w.now += 10 * S;
    report_load(&mut w, 1, report);
    assert!(refused(&w.send_request(request(2, 0, 300))));
}

#[test]
fn removed_engines_are_not_candidates() {
    // After hundreds of engines were added and removed, the idle one of the remaining two is always
    // chosen.
    let mut w = Harness::new(settings_with_probes(), &[1, 2]);
    let gone = |id| EngineEntry { state: EngineState::Gone, ..entry(id) };
    let (added, removed) = ((100..500).map(entry).collect(), (100..500).map(gone).collect());
    w.on(Event::Membership(MembershipKind::Delta, added));
    w.on(Event::Membership(MembershipKind::Delta, removed));
    let report = |busy| LoadReport { busy_share: Some(busy), ..LoadReport::default() };
    for id in 1..400 {
        report_load(&mut w, 1, report(0.5));
        report_load(&mut w, 2, report(0.0));
        assert_eq!(sent_to(&w.send_request(request(id, 0, 10))), Some(2), "request {id}");
        w.finish(outcome(id, 0, 2, Status::Done, 10));
    }
}

#[test]
fn loads_on_one_data_set_are_spread_over_engines() {
    // The second load on a data set would wait for the first, so it goes to the busier engine. The
    // third would wait too long on either and is refused; a load on another data set is not.
    let mut s = settings_with_probes();
    s.classes[0].is_load = true;
    let mut w = Harness::new(s, &[1, 2]);
    let load = |id, set| Request { data_set: Some(set), ..request(id, 0, 900) };
    let report = |busy| LoadReport { busy_share: Some(busy), ..LoadReport::default() };
    report_load(&mut w, 1, report(0.0));
    report_load(&mut w, 2, report(0.3));
    assert_eq!(sent_to(&w.send_request(load(1, 7))), Some(1));
    assert_eq!(sent_to(&w.send_request(load(2, 7))), Some(2));
    assert!(refused(&w.send_request(load(3, 7))));
    assert_eq!(sent_to(&w.send_request(load(4, 8))), Some(1));
}

#[test]
fn moderate_in_flight_counts_do_not_hide_idle_cores() {
    // Nearly three queries per core and a busy share of 0.4: most of them read, and cores are free.
    let mut w = Harness::new(settings_with_probes(), &[1]);
    w.serve(request(1, 0, 300), 300, None);
    let report = LoadReport { busy_share: Some(0.4), in_flight: Some(28.0), ..LoadReport::default() };
    w.now += 10 * S;
    report_load(&mut w, 1, report);
    assert!(sent_to(&w.send_request(request(2, 0, 300))).is_some());
}

#[test]
fn refusing_router_without_probes_recovers() {
    // Reports only come with answers, so a router that refuses everything would receive none.
    let s = Settings { report_source: ReportSource::Answers, may_probe: false, ..settings() };
    let mut w = Harness::new(s, &[1]);
    w.send_request(request(1, 0, 300));
    let mut full = outcome(1, 0, 1, Status::Done, 300);
    full.report =
        Some(LoadReport { busy_share: Some(1.0), memory_share: Some(1.3), ..LoadReport::default() });
    w.finish(full);
    let tries = (2..80).find(|id| sent_to(&w.send_request(request(*id, 0, 300))).is_some());
    let tries = tries.expect("refused indefinitely");
    assert!(tries > 5, "a recent report still counts: sent at request {tries}");
}

#[test]
fn rejecting_engine_is_avoided_for_a_while() {
    // It rejects within milliseconds without a load report: by latency it would look idle.
    let mut w = Harness::new(settings(), &[1, 2]);
    let first = sent_to(&w.send_request(request(1, 0, 300))).expect("sent");
    let next = sent_to(&w.finish(outcome(1, 0, first, Status::Busy, 2))).expect("sent again");
    assert_ne!(first, next);
    for id in 2..8 {
        assert_eq!(sent_to(&w.send_request(request(id, 0, 300))), Some(next));
    }
}

#[test]
fn overrun_limit_grows_if_retries_are_overrun_too() {
    // The estimates of the class are too low, so cancelling only wastes work.
    let run = |overrun_requests: u64| {
        let engines: Vec<u64> = (1..41).collect();
        let mut w = Harness::new(Settings { max_attempts: Some(9), ..settings() }, &engines);
        for id in 0..overrun_requests {
            let mut engine = sent_to(&w.send_request(request(id, 1, 300))).expect("sent");
            for attempt in 0..3 {
                w.now += 2 * S;
                w.on(Event::Progress(RequestId(id), attempt, AttemptUpdate::Progress(0.02)));
                let again = w.finish(outcome(id, attempt, engine, Status::Cancelled, 2_000));
                engine = sent_to(&again).expect("sent again");
            }
            w.on(Event::Left(RequestId(id)));
        }
        w.send_request(request(900, 1, 3_000));
        w.now += 2 * S;
        cancelled(&w.on(Event::Progress(RequestId(900), 0, AttemptUpdate::Progress(0.25))))
    };
    assert!(run(0), "an overrun attempt is cancelled at first");
    assert!(!run(4), "it may continue if retries were overrun as well");
}

#[test]
fn busy_router_does_not_assume_equally_busy_peers() {
    // Peers use a fifth of the engines; this one of fifty routers sends ten queries per second.
    let mut w = Harness::new(Settings { router_count: 50, ..settings_with_probes() }, &[1, 2, 3]);
    let report = LoadReport { busy_share: Some(0.2), ..LoadReport::default() };
    for id in 0..40 {
        w.now += 100 * MS;
        for engine in 1..4 {
            report_load(&mut w, engine, report);
        }
        let engine =
            sent_to(&w.send_request(request(id, 1, 600))).unwrap_or_else(|| panic!("query {id} refused"));
        w.finish(outcome(id, 0, engine, Status::Done, 200));
    }
}

#[test]
fn refusal_after_an_overrun_has_retry_advice() {
    // An attempt that is overrun too late for a retry is refused with advice.
    let mut w = Harness::new(Settings { max_attempts: Some(1), ..settings() }, &[1]);
    w.send_request(request(1, 0, 300));
    w.now += 2 * S;
    let out = w.on(Event::Progress(RequestId(1), 0, AttemptUpdate::Progress(0.05)));
    let advice = out.iter().find_map(|a| match a {
        Action::Refuse { retry_after_ns, .. } => Some(*retry_after_ns),
        _ => None,
    });
    assert!(advice.expect("refused at once").is_some_and(|ns| (100 * MS..=2 * S).contains(&ns)));
}

#[test]
fn unused_engines_are_not_slow_after_one_fast_answer() {
    // The first latency is a tenth of the expected one; relative to it, unused engines must not
    // look slow.
    let mut w = Harness::new(settings(), &[1, 2, 3]);
    let first = sent_to(&w.send_request(request(1, 0, 500))).expect("sent");
    w.now += 40 * MS;
    w.finish(outcome(1, 0, first, Status::Done, 40));
    w.on(Event::Membership(
        MembershipKind::Delta,
        vec![EngineEntry { state: EngineState::Draining, ..entry(first) }],
    ));
    for id in 2..6 {
        assert!(
            sent_to(&w.send_request(request(id, 0, 900))).is_some(),
            "{id} refused by engines that have not answered"
        );
    }
}

#[test]
fn excluded_engine_gets_one_trial_at_a_time_and_is_readmitted_at_once() {
    let mut s = settings();
    s.classes[1].effect = Effect::AtMostOnce;
    let mut w = Harness::new(s, &[1]);
    w.on(Event::VerdictChanged(EngineId(1), Verdict::Out));
    assert!(refused(&w.send_request(request(1, 0, 100))));
    w.on(Event::VerdictChanged(EngineId(1), Verdict::Trial));
    assert_eq!(
        sent_to(&w.send_request(request(2, 1, 100))),
        None,
        "at-most-once requests are not used as trials"
    );
    assert_eq!(sent_to(&w.send_request(request(3, 0, 100))), Some(1));
    assert!(refused(&w.send_request(request(4, 0, 100))), "one at a time");
    // The local trial failed, but the shared verdict readmits the engine.
    w.finish(outcome(3, 0, 1, Status::Refused, 5));
    w.on(Event::VerdictChanged(EngineId(1), Verdict::Well));
    assert_eq!(sent_to(&w.send_request(request(5, 0, 100))), Some(1));
    // A restart of the engine clears the verdict.
    w.on(Event::VerdictChanged(EngineId(1), Verdict::Out));
    let started = EngineEntry { started_ns: Some(T0 + 1), ..entry(1) };
    w.on(Event::Membership(MembershipKind::Delta, vec![started]));
    assert_eq!(sent_to(&w.send_request(request(6, 0, 100))), Some(1));
}

#[test]
fn engine_with_slow_verdict_receives_less() {
    let mut counts = [0; 2];
    for (at, verdict) in [Verdict::Well, Verdict::Slow(4.0)].into_iter().enumerate() {
        let mut w = Harness::new(settings(), &[1, 2]);
        w.on(Event::VerdictChanged(EngineId(1), verdict));
        for id in 0..12 {
            counts[at] += usize::from(sent_to(&w.send_request(request(id, 0, 500))) == Some(1));
        }
    }
    assert!(counts[1] * 2 <= counts[0], "{counts:?} of twelve");
}
