//! Overload, fairness and reservations of the fair queue, in simulated time.

mod common;

use common::*;
use marljunction_fair_queue::settings::FairQueueConfig;
use marljunction_fair_queue::{Arrival, FairQueue, QueueAction};

fn fair() -> FairQueueConfig {
    FairQueueConfig::default()
}

/// Tenant 0 offers ten times the capacity from `identities` clients, tenant 1 half of its share.
/// Returns the requests of both.
fn flood(sim: &mut Simulation, seconds: u64, identities: u64) -> (Vec<u64>, Vec<u64>) {
    let (mut heavy, mut light) = (Vec::new(), Vec::new());
    for step in 0..seconds * 100 {
        for i in 0..10 {
            heavy.push(sim.enqueue(0, (step * 10 + i) % identities, 100, 100));
        }
        if step % 4 == 0 {
            light.push(sim.enqueue(1, step % 3, 100, 100));
        }
        sim.advance_ms(10);
    }
    (heavy, light)
}

#[test]
fn requests_do_not_wait_below_the_limit() {
    let mut sim = Simulation::new(&[1.0, 1.0], 100.0, fair());
    let ids: Vec<u64> = (0..90).map(|i| sim.enqueue(0, i, 100, 100)).collect();
    sim.run_actions();
    sim.submitted.sort_unstable();
    assert_eq!(sim.submitted, ids);
    assert_eq!(sim.fair_queue.next_due_ns(), None, "no timer remains");
}

#[test]
fn many_client_identities_do_not_starve_a_tenant_or_grow_memory() {
    let bound = FairQueueConfig { queued: 500, ..fair() };
    let mut few = Simulation::new(&[3.0, 1.0], 10.0, bound.clone());
    flood(&mut few, 8, 10);
    let mut many = Simulation::new(&[3.0, 1.0], 10.0, bound.clone());
    let (_, light) = flood(&mut many, 50, 50_000);
    many.assert_all_ended(8_000);
    let light_share = many.served(&light) as f64 / light.len() as f64;
    assert!(light_share >= 0.95, "the light tenant is served {light_share:.3}");
    let max_bytes = FairQueue::max_bytes(&bound, 2, 10);
    assert!(many.fair_queue.bytes() <= max_bytes, "{} bytes, bound {max_bytes}", many.fair_queue.bytes());
    assert!(
        many.fair_queue.bytes() < few.fair_queue.bytes() + (1 << 20),
        "{} bytes with few clients, {} with many",
        few.fair_queue.bytes(),
        many.fair_queue.bytes()
    );
}

#[test]
fn a_new_identity_per_request_affects_only_its_own_tenant() {
    let mut sim = Simulation::new(&[3.0, 1.0], 10.0, fair());
    let (heavy, light) = flood(&mut sim, 8, u64::MAX);
    sim.assert_all_ended(8_000);
    assert!(sim.served(&light) * 100 >= light.len() * 95, "{} of {}", sim.served(&light), light.len());
    // The share that the light tenant leaves goes to the heavy one.
    assert!(sim.served(&heavy) + sim.served(&light) >= 700, "{}", sim.served(&heavy) + sim.served(&light));
}

#[test]
fn a_flooding_client_does_not_starve_its_tenants_other_clients() {
    let mut sim = Simulation::new(&[1.0], 10.0, fair());
    let (mut one, mut others) = (Vec::new(), Vec::new());
    for step in 0..800 {
        (0..10).for_each(|_| one.push(sim.enqueue(0, 999, 100, 100)));
        if step % 4 == 0 {
            others.push(sim.enqueue(0, step % 5, 100, 100));
        }
        sim.advance_ms(10);
    }
    sim.assert_all_ended(8_000);
    assert!(sim.served(&others) * 10 >= others.len() * 9, "{} of {}", sim.served(&others), others.len());
    let heaviest = sim.fair_queue.heaviest();
    assert!(heaviest[0].1 > 0.8, "the flooding client is the heaviest: {heaviest:?}");
}

#[test]
fn underestimated_cost_is_charged_after_service() {
    let mut sim = Simulation::new(&[1.0, 1.0], 10.0, fair());
    let (mut underestimated, mut accurate) = (0.0, 0.0);
    for _ in 0..3_000 {
        sim.enqueue_within(0, 1, 1, 1_000, 2_000);
        sim.enqueue_within(1, 2, 100, 100, 2_000);
        sim.advance_ms(10);
    }
    sim.assert_all_ended(20_000);
    for counters in sim.fair_queue.counters().take(2).enumerate() {
        let (tenant, c) = counters;
        let thread_s = (c.submitted - c.refused_by_module) as f64 * if tenant == 0 { 1.0 } else { 0.1 };
        *(if tenant == 0 { &mut underestimated } else { &mut accurate }) += thread_s;
    }
    // 300 thread-seconds in all: without the correction nearly all of them would go to the
    // underestimated requests.
    assert!(
        underestimated < 1.35 * accurate,
        "underestimated requests used {underestimated:.0} s, accurate ones {accurate:.0} s"
    );
}

/// Overloads the queue until it has a limit, and returns the refused clients with reservations.
fn clients_with_reservations(sim: &mut Simulation) -> Vec<(u64, u64)> {
    let mut out = Vec::new();
    for step in 0..300 {
        out.extend((0..3).map(|i| (step * 3 + i, sim.enqueue(0, step * 3 + i, 100, 100))));
        sim.advance_ms(10);
    }
    let reserved_clients: Vec<(u64, u64)> =
        out.iter().filter_map(|(client, id)| sim.reserved_at(*id).map(|at| (*client, at))).collect();
    reserved_clients.into_iter().filter(|(_, at)| *at > sim.now).collect()
}

#[test]
fn clients_returning_in_their_reservation_window_are_served() {
    let mut sim = Simulation::new(&[1.0], 10.0, fair());
    let (mut pending, mut returns, mut client) = (Vec::new(), Vec::new(), 0);
    for _ in 0..1_500 {
        for _ in 0..3 {
            client += 1;
            pending.push((client, sim.enqueue(0, client, 100, 100)));
        }
        sim.advance_ms(10);
        pending.retain(|(client, id)| {
            returns.extend(sim.reserved_at(*id).map(|at| (*client, at)));
            !sim.ends.contains_key(id)
        });
        let (now, later): (Vec<_>, Vec<_>) = returns.iter().partition(|(_, at)| *at <= sim.now);
        returns = later;
        now.iter().for_each(|(client, _)| {
            sim.enqueue(0, *client, 100, 100);
        });
    }
    sim.assert_all_ended(8_000);
    let counters = *sim.fair_queue.counters().next().unwrap();
    assert!(counters.claims >= 100, "{counters:?}");
    assert!(counters.claims_served * 100 >= counters.claims * 99, "{counters:?}");
}

#[test]
fn reservations_hold_when_all_clients_return_at_once() {
    let mut sim = Simulation::new(&[1.0], 10.0, fair());
    let returns = clients_with_reservations(&mut sim);
    assert!(returns.len() >= 20, "{} reservations", returns.len());
    let last = returns.iter().map(|(_, at)| *at).max().unwrap();
    // The reservations whose windows have ended are not claimed.
    let at = returns.iter().map(|(_, at)| *at).min().unwrap().max(last.saturating_sub(400 * MS));
    sim.advance_to(at);
    let before = sim.fair_queue.counters().next().unwrap().claims_served;
    for (client, _) in &returns {
        sim.enqueue(0, *client, 100, 100);
    }
    sim.assert_all_ended(8_000);
    let c = *sim.fair_queue.counters().next().unwrap();
    assert!(c.claims > 0 && c.claims_served - before >= c.claims * 95 / 100, "{c:?}");
}

#[test]
fn most_reservations_hold_after_losing_half_of_the_capacity() {
    let mut sim = Simulation::new(&[1.0, 1.0], 20.0, fair());
    let mut returns: Vec<(usize, u64, u64)> = Vec::new();
    for step in 0..300 {
        for i in 0..6u64 {
            let tenant = (i % 2) as usize;
            let id = sim.enqueue(tenant, step * 6 + i, 100, 100);
            returns.push((tenant, step * 6 + i, id));
        }
        sim.advance_ms(10);
    }
    sim.capacity = 10.0;
    let mut returns: Vec<(usize, u64, u64)> =
        returns.iter().filter_map(|(t, c, id)| sim.reserved_at(*id).map(|at| (*t, *c, at))).collect();
    returns.retain(|(_, _, at)| *at > sim.now);
    returns.sort_by_key(|(_, _, at)| *at);
    assert!(returns.len() >= 40, "{} reservations", returns.len());
    for (tenant, client, at) in &returns {
        sim.advance_to((*at).max(sim.now));
        sim.enqueue(*tenant, *client, 100, 100);
        // The overload continues.
        (0..4).for_each(|i| {
            sim.enqueue(i % 2, 1 << 40 | sim.now ^ i as u64, 100, 100);
        });
    }
    sim.assert_all_ended(8_000);
    let c: Vec<_> = sim.fair_queue.counters().copied().collect();
    let (claims, claims_served) = (c[0].claims + c[1].claims, c[0].claims_served + c[1].claims_served);
    assert!(claims >= 40 && claims_served * 100 >= claims * 90, "{claims_served} of {claims}: {c:?}");
    assert!(c[0].claims_failed.abs_diff(c[1].claims_failed) <= 4, "{c:?}");
}

#[test]
fn a_weight_change_loses_no_queued_request() {
    let settings = FairQueueConfig { queued: 20_000, stale_ms: 60_000, ..fair() };
    let mut sim = Simulation::new(&[1.0, 1.0], 10.0, settings.clone());
    for i in 0..5_000 {
        sim.enqueue_within(0, i, 1, 1, 20_000);
        sim.enqueue_within(1, i, 1, 1, 20_000);
    }
    sim.advance_ms(100);
    let queued = sim.fair_queue.queued();
    assert!(queued > 8_000, "{queued} are queued");
    let restart = sim.fair_queue.reload(FairQueueConfig { queues: 8, ..settings }, &[9.0, 1.0]);
    assert_eq!(restart, ["queues"]);
    assert_eq!(sim.fair_queue.queued(), queued);
    let from = sim.submitted.len();
    sim.advance_ms(300);
    let heavy = sim.submitted[from..].iter().filter(|id| *id % 2 == 1).count();
    let share = heavy as f64 / (sim.submitted.len() - from) as f64;
    assert!((share - 0.9).abs() < 0.03, "the new weights apply at once: {share:.2}");
    sim.assert_all_ended(60_000);
}

#[test]
fn a_client_with_many_statements_gets_no_extra_share() {
    let mut sim = Simulation::new(
        &[1.0],
        1.0,
        FairQueueConfig { hand_size: 1, queues: 512, stale_ms: 60_000, ..fair() },
    );
    // The limit is learned first.
    (0..12).for_each(|_| {
        sim.enqueue(0, 77, 10, 10);
    });
    sim.advance_ms(500);
    let many: Vec<u64> = (0..100).map(|_| sim.enqueue_within(0, 1, 10, 10, 10_000)).collect();
    let singles: Vec<u64> = (0..50).map(|i| sim.enqueue_within(0, 1_000 + i, 10, 10, 10_000)).collect();
    sim.advance_ms(700);
    let (a, b) = (sim.served(&many), sim.served(&singles));
    assert!(b >= 40 && a <= 20, "{a} of the single client were served, {b} of the fifty");
}

#[test]
fn an_idle_tenant_earns_no_credit() {
    let mut sim = Simulation::new(&[1.0, 1.0], 10.0, fair());
    for _ in 0..500 {
        (0..3).for_each(|i| {
            sim.enqueue(0, i, 100, 100);
        });
        sim.advance_ms(10);
    }
    let from = sim.submitted.len();
    let mut returning = Vec::new();
    for _ in 0..200 {
        (0..3).for_each(|i| {
            sim.enqueue(0, i, 100, 100);
        });
        (0..3).for_each(|i| returning.push(sim.enqueue(1, i, 100, 100)));
        sim.advance_ms(10);
    }
    let late: std::collections::HashSet<u64> = returning.iter().copied().collect();
    let served = sim.submitted[from..].iter().filter(|id| matches!(sim.ends.get(id), Some((_, End::Served))));
    let (own, all) = served.fold((0, 0), |(own, all), id| (own + usize::from(late.contains(id)), all + 1));
    let share = f64::from(own as u32) / f64::from(all);
    assert!((0.42..0.58).contains(&share), "the returning tenant got {share:.2} of the service");
}

#[test]
fn requests_are_refused_once_their_target_is_out_of_reach() {
    let mut sim = Simulation::new(&[1.0], 1.0, FairQueueConfig { stale_ms: 60_000, ..fair() });
    sim.enqueue_within(0, 1, 100, 30_000, 100_000);
    sim.run_actions();
    sim.enqueue(0, 2, 100, 100);
    sim.advance_ms(10);
    let start = sim.now;
    let ids: Vec<u64> = (0..100).map(|i| sim.enqueue(0, i, 300, 300)).collect();
    sim.advance_ms(2_000);
    for id in ids {
        let (at, end) = sim.ends[&id];
        assert!(matches!(end, End::Refused(_)));
        // Due within 1,000 ms with a need of 300 ms, so refused at 700 ms, at most a few ticks
        // early.
        let after_ms = (at - start) as f64 / MS as f64;
        assert!((695.0..=700.0).contains(&after_ms) || after_ms < 1.0, "refused after {after_ms} ms");
    }
    assert_eq!(sim.fair_queue.queued(), 0);
}

#[test]
fn a_standing_queue_serves_the_newest_first() {
    let served_in_time = |stale_ms| {
        let mut sim = Simulation::new(&[1.0], 10.0, FairQueueConfig { stale_ms, ..fair() });
        let mut ids = Vec::new();
        for _ in 0..600 {
            (0..2).for_each(|i| ids.push(sim.enqueue(0, i, 100, 100)));
            sim.advance_ms(10);
        }
        sim.assert_all_ended(10_000);
        let waits: Vec<u64> = sim.fair_queue.counters().map(|c| c.waited_ns / c.waited.max(1) / MS).collect();
        (sim.served(&ids), waits[0])
    };
    let (served, wait_ms) = served_in_time(400);
    assert!(served >= 520, "{served} of 600 possible");
    assert!(wait_ms < 150, "mean wait of submitted requests: {wait_ms} ms");
}

#[test]
fn cancelled_requests_release_all_state() {
    let mut sim = Simulation::new(&[1.0], 1.0, fair());
    sim.enqueue_within(0, 1, 100, 30_000, 100_000);
    sim.run_actions();
    sim.enqueue(0, 2, 100, 100);
    sim.advance_ms(1);
    let waiting: Vec<u64> = (0..500).map(|i| sim.enqueue(0, i, 100, 100)).collect();
    sim.run_actions();
    let queued: Vec<u64> = waiting.into_iter().filter(|id| sim.fair_queue.waits(*id)).collect();
    assert!(queued.len() > 400, "{}", queued.len());
    for id in &queued {
        assert!(sim.fair_queue.cancel(sim.now, *id), "it was queued");
        assert!(!sim.fair_queue.cancel(sim.now, *id), "it is removed once");
    }
    assert_eq!(
        (sim.fair_queue.queued(), sim.fair_queue.queued_bytes(), sim.fair_queue.next_due_ns().is_some()),
        (0, 0, true)
    );
    assert_eq!(sim.fair_queue.next_action(sim.now), None);
}

#[test]
fn a_full_queue_evicts_from_the_largest_backlog() {
    let mut sim = Simulation::new(&[1.0, 1.0], 1.0, FairQueueConfig { queued: 50, ..fair() });
    sim.enqueue_within(0, 1, 100, 30_000, 100_000);
    sim.run_actions();
    sim.enqueue(0, 2, 100, 100);
    sim.advance_ms(1);
    (0..500).for_each(|i| {
        sim.enqueue(0, i, 100, 100);
    });
    let light: Vec<u64> = (0..20).map(|i| sim.enqueue(1, i, 100, 100)).collect();
    sim.run_actions();
    assert!(light.iter().all(|id| sim.fair_queue.waits(*id)), "no request of the light tenant is evicted");
    let c: Vec<_> = sim.fair_queue.counters().copied().collect();
    assert!(c[0].evicted >= 430 && c[1].evicted == 0, "{c:?}");
    assert!((40..=50).contains(&sim.fair_queue.queued()), "{}", sim.fair_queue.queued());
}

#[test]
fn retry_after_without_a_reservation_is_the_maximum() {
    let mut sim = Simulation::new(&[1.0], 2.0, fair());
    let ids: Vec<u64> = (0..400).map(|i| sim.enqueue(0, i, 1_000, 1_000)).collect();
    sim.assert_all_ended(10_000);
    let refused = ids.iter().filter_map(|id| match sim.ends[id].1 {
        End::Refused(retry_after) => Some(retry_after),
        End::Served => None,
    });
    let retry_after: Vec<_> = refused.collect();
    assert!(retry_after.iter().all(|a| a.after_ns <= 2 * S && a.after_ns > 0));
    assert!(retry_after.iter().filter(|a| !a.reserved).all(|a| a.after_ns == 2 * S));
    let reserved_count = retry_after.iter().filter(|a| a.reserved).count();
    assert!(
        reserved_count > 0 && reserved_count < 10,
        "{reserved_count} reservations of one second on two threads within two seconds"
    );
}

#[test]
fn a_cancelled_submitted_request_frees_its_threads() {
    let mut sim = Simulation::new(&[1.0], 10.0, fair());
    let arrival =
        Arrival { id: 9_000, threads: 4.0, need_ns: 1e8, target_end_ns: T0 + S, ..Arrival::default() };
    sim.fair_queue.enqueue(sim.now, Arrival { expires_ns: T0 + 6 * S, ..arrival });
    assert_eq!(sim.fair_queue.next_action(sim.now), Some(QueueAction::Submit(9_000)));
    sim.fair_queue.accepted(sim.now, 9_000);
    assert_eq!(sim.fair_queue.concurrency_limit().used(), 4.0);
    assert!(!sim.fair_queue.cancel(sim.now + S, 9_000), "it was submitted");
    assert_eq!(sim.fair_queue.concurrency_limit().used(), 0.0);
}

#[test]
fn isolated_refusals_set_no_limit_and_an_idle_limit_expires() {
    let mut sim = Simulation::new(&[1.0], 10.0, fair());
    // One in ten is refused for a cause other than capacity.
    for i in 0..200 {
        let id = sim.enqueue(0, i, 10, 10);
        if i % 10 == 0 {
            assert_eq!(sim.fair_queue.next_action(sim.now), Some(QueueAction::Submit(id)));
            sim.fair_queue.refused(sim.now, id, false);
        }
        sim.advance_ms(10);
    }
    assert!(!sim.fair_queue.concurrency_limit().is_limited());
    let c = *sim.fair_queue.counters().next().unwrap();
    assert_eq!((c.waited, c.submitted), (0, 200), "no request waits");
    (0..40).for_each(|i| {
        sim.enqueue(0, i, 100, 100);
    });
    sim.advance_ms(50);
    assert!(sim.fair_queue.concurrency_limit().is_limited());
    sim.advance_ms(3_000);
    sim.enqueue(0, 1, 10, 10);
    sim.run_actions();
    assert!(!sim.fair_queue.concurrency_limit().is_limited(), "no request has waited for a second");
}
