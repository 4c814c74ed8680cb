//! The door's hard cases, in stepped time.

mod common;

use common::*;
use marljunction_fair_queue::settings::DoorSettings;
use marljunction_fair_queue::{Arrival, Door, Verdict};

fn fair() -> DoorSettings {
    DoorSettings::default()
}

/// One tenant floods at ten times the capacity from `identities` clients, another asks for half of its share.
fn flood(w: &mut World, seconds: u64, identities: u64) -> (Vec<u64>, Vec<u64>) {
    let (mut heavy, mut light) = (Vec::new(), Vec::new());
    for step in 0..seconds * 100 {
        for i in 0..10 {
            heavy.push(w.arrive(0, (step * 10 + i) % identities, 100, 100));
        }
        if step % 4 == 0 {
            light.push(w.arrive(1, step % 3, 100, 100));
        }
        w.wait(10);
    }
    (heavy, light)
}

#[test]
fn nobody_waits_while_there_is_room() {
    let mut w = World::new(&[1.0, 1.0], 100.0, fair());
    let ids: Vec<u64> = (0..90).map(|i| w.arrive(0, i, 100, 100)).collect();
    w.pump();
    w.shown.sort_unstable();
    assert_eq!(w.shown, ids);
    assert_eq!(w.door.next_due_ns(), None, "no timer is left behind");
}

#[test]
fn a_surge_of_identities_neither_starves_a_tenant_nor_grows_memory() {
    let bound = DoorSettings { queued: 500, ..fair() };
    let mut few = World::new(&[3.0, 1.0], 10.0, bound.clone());
    flood(&mut few, 8, 10);
    let mut many = World::new(&[3.0, 1.0], 10.0, bound.clone());
    let (_, light) = flood(&mut many, 50, 50_000);
    many.all_ended(8_000);
    let kept = many.served(&light) as f64 / light.len() as f64;
    assert!(kept >= 0.95, "the light tenant keeps {kept:.3}");
    let most = Door::most_bytes(&bound, 2, 10);
    assert!(many.door.bytes() <= most, "{} bytes, bound {most}", many.door.bytes());
    assert!(
        many.door.bytes() < few.door.bytes() + (1 << 20),
        "{} then {}",
        few.door.bytes(),
        many.door.bytes()
    );
}

#[test]
fn a_new_identity_on_every_request_costs_its_own_tenant_only() {
    let mut w = World::new(&[3.0, 1.0], 10.0, fair());
    let (heavy, light) = flood(&mut w, 8, u64::MAX);
    w.all_ended(8_000);
    assert!(w.served(&light) * 100 >= light.len() * 95, "{} of {}", w.served(&light), light.len());
    // What the light tenant leaves is lent: the capacity of 100 a second is used up.
    assert!(w.served(&heavy) + w.served(&light) >= 700, "{}", w.served(&heavy) + w.served(&light));
}

#[test]
fn a_client_that_floods_leaves_its_tenants_other_clients_their_part() {
    let mut w = World::new(&[1.0], 10.0, fair());
    let (mut one, mut others) = (Vec::new(), Vec::new());
    for step in 0..800 {
        (0..10).for_each(|_| one.push(w.arrive(0, 999, 100, 100)));
        if step % 4 == 0 {
            others.push(w.arrive(0, step % 5, 100, 100));
        }
        w.wait(10);
    }
    w.all_ended(8_000);
    assert!(w.served(&others) * 10 >= others.len() * 9, "{} of {}", w.served(&others), others.len());
    let heaviest = w.door.heaviest();
    assert!(heaviest[0].1 > 0.8, "the sketch names the one that floods: {heaviest:?}");
}

#[test]
fn who_says_a_millisecond_and_takes_a_second_pays_for_it() {
    let mut w = World::new(&[1.0, 1.0], 10.0, fair());
    let (mut liars, mut honest) = (0.0, 0.0);
    for _ in 0..3_000 {
        w.arrive_for(0, 1, 1, 1_000, 2_000);
        w.arrive_for(1, 2, 100, 100, 2_000);
        w.wait(10);
    }
    w.all_ended(20_000);
    for counters in w.door.counters().take(2).enumerate() {
        let (tenant, c) = counters;
        let held = (c.shown - c.turned_down) as f64 * if tenant == 0 { 1.0 } else { 0.1 };
        *(if tenant == 0 { &mut liars } else { &mut honest }) += held;
    }
    // Thread-seconds of 300 in all: a liar who were believed would have had nearly all of them.
    assert!(liars < 1.35 * honest, "liars held {liars:.0} s, the honest {honest:.0} s");
}

/// Has the door learn its limit, and returns refused clients with their promises.
fn promised(w: &mut World) -> Vec<(u64, u64)> {
    let mut out = Vec::new();
    for step in 0..300 {
        out.extend((0..3).map(|i| (step * 3 + i, w.arrive(0, step * 3 + i, 100, 100))));
        w.wait(10);
    }
    let known: Vec<(u64, u64)> =
        out.iter().filter_map(|(client, id)| w.promised(*id).map(|at| (*client, at))).collect();
    known.into_iter().filter(|(_, at)| *at > w.now).collect()
}

#[test]
fn promised_clients_that_return_in_their_window_are_served() {
    let mut w = World::new(&[1.0], 10.0, fair());
    let (mut asked, mut due, mut client) = (Vec::new(), Vec::new(), 0);
    for _ in 0..1_500 {
        for _ in 0..3 {
            client += 1;
            asked.push((client, w.arrive(0, client, 100, 100)));
        }
        w.wait(10);
        asked.retain(|(client, id)| {
            due.extend(w.promised(*id).map(|at| (*client, at)));
            !w.ends.contains_key(id)
        });
        let (now, later): (Vec<_>, Vec<_>) = due.iter().partition(|(_, at)| *at <= w.now);
        due = later;
        now.iter().for_each(|(client, _)| {
            w.arrive(0, *client, 100, 100);
        });
    }
    w.all_ended(8_000);
    let counters = *w.door.counters().next().unwrap();
    assert!(counters.claimed >= 100, "{counters:?}");
    assert!(counters.kept * 100 >= counters.claimed * 99, "{counters:?}");
}

#[test]
fn all_promised_clients_may_come_back_in_one_instant() {
    let mut w = World::new(&[1.0], 10.0, fair());
    let due = promised(&mut w);
    assert!(due.len() >= 20, "{} promises", due.len());
    let last = due.iter().map(|(_, at)| *at).max().unwrap();
    // Half a second past the last: those whose window is over come too, and claim nothing.
    let at = due.iter().map(|(_, at)| *at).min().unwrap().max(last.saturating_sub(400 * MS));
    w.pass(at);
    let before = w.door.counters().next().unwrap().kept;
    for (client, _) in &due {
        w.arrive(0, *client, 100, 100);
    }
    w.all_ended(8_000);
    let c = *w.door.counters().next().unwrap();
    assert!(c.claimed > 0 && c.kept - before >= c.claimed * 95 / 100, "{c:?}");
}

#[test]
fn with_half_of_the_engines_lost_most_promises_hold_and_the_rest_break_fairly() {
    let mut w = World::new(&[1.0, 1.0], 20.0, fair());
    let mut due: Vec<(usize, u64, u64)> = Vec::new();
    for step in 0..300 {
        for i in 0..6u64 {
            let tenant = (i % 2) as usize;
            let id = w.arrive(tenant, step * 6 + i, 100, 100);
            due.push((tenant, step * 6 + i, id));
        }
        w.wait(10);
    }
    w.capacity = 10.0;
    let mut due: Vec<(usize, u64, u64)> =
        due.iter().filter_map(|(t, c, id)| w.promised(*id).map(|at| (*t, *c, at))).collect();
    due.retain(|(_, _, at)| *at > w.now);
    due.sort_by_key(|(_, _, at)| *at);
    assert!(due.len() >= 40, "{} promises", due.len());
    for (tenant, client, at) in &due {
        w.pass((*at).max(w.now));
        w.arrive(*tenant, *client, 100, 100);
        // The flood goes on meanwhile.
        (0..4).for_each(|i| {
            w.arrive(i % 2, 1 << 40 | w.now ^ i as u64, 100, 100);
        });
    }
    w.all_ended(8_000);
    let c: Vec<_> = w.door.counters().copied().collect();
    let (claimed, kept) = (c[0].claimed + c[1].claimed, c[0].kept + c[1].kept);
    assert!(claimed >= 40 && kept * 100 >= claimed * 90, "{kept} of {claimed}: {c:?}");
    assert!(c[0].broken.abs_diff(c[1].broken) <= 4, "{c:?}");
}

#[test]
fn weights_change_with_ten_thousand_queued_and_none_is_lost() {
    let settings = DoorSettings { queued: 20_000, stale_ms: 60_000, ..fair() };
    let mut w = World::new(&[1.0, 1.0], 10.0, settings.clone());
    for i in 0..5_000 {
        w.arrive_for(0, i, 1, 1, 20_000);
        w.arrive_for(1, i, 1, 1, 20_000);
    }
    w.wait(100);
    let queued = w.door.queued();
    assert!(queued > 8_000, "{queued} are queued");
    let restart = w.door.reload(DoorSettings { queues: 8, ..settings }, &[9.0, 1.0]);
    assert_eq!(restart, ["queues"]);
    assert_eq!(w.door.queued(), queued);
    let from = w.shown.len();
    w.wait(300);
    let heavy = w.shown[from..].iter().filter(|id| *id % 2 == 1).count();
    let part = heavy as f64 / (w.shown.len() - from) as f64;
    assert!((part - 0.9).abs() < 0.03, "the new weights hold at once: {part:.2}");
    w.all_ended(60_000);
}

#[test]
fn one_session_with_many_statements_has_no_more_than_many_with_one() {
    let mut w = World::new(&[1.0], 1.0, DoorSettings { hand: 1, queues: 512, stale_ms: 60_000, ..fair() });
    // The limit is learned first.
    (0..12).for_each(|_| {
        w.arrive(0, 77, 10, 10);
    });
    w.wait(500);
    let many: Vec<u64> = (0..100).map(|_| w.arrive_for(0, 1, 10, 10, 10_000)).collect();
    let singles: Vec<u64> = (0..50).map(|i| w.arrive_for(0, 1_000 + i, 10, 10, 10_000)).collect();
    w.wait(700);
    let (a, b) = (w.served(&many), w.served(&singles));
    assert!(b >= 40 && a <= 20, "the one got {a} turns, the fifty {b}");
}

#[test]
fn a_tenant_that_was_absent_has_no_claim_on_the_past() {
    let mut w = World::new(&[1.0, 1.0], 10.0, fair());
    for _ in 0..500 {
        (0..3).for_each(|i| {
            w.arrive(0, i, 100, 100);
        });
        w.wait(10);
    }
    let from = w.shown.len();
    let mut back = Vec::new();
    for _ in 0..200 {
        (0..3).for_each(|i| {
            w.arrive(0, i, 100, 100);
        });
        (0..3).for_each(|i| back.push(w.arrive(1, i, 100, 100)));
        w.wait(10);
    }
    let late: std::collections::HashSet<u64> = back.iter().copied().collect();
    let served = w.shown[from..].iter().filter(|id| matches!(w.ends.get(id), Some((_, End::Served))));
    let (own, all) = served.fold((0, 0), |(own, all), id| (own + usize::from(late.contains(id)), all + 1));
    let part = f64::from(own as u32) / f64::from(all);
    assert!((0.42..0.58).contains(&part), "the tenant that came back has {part:.2} of the turns");
}

#[test]
fn what_cannot_be_met_any_more_is_refused_at_that_moment() {
    let mut w = World::new(&[1.0], 1.0, DoorSettings { stale_ms: 60_000, ..fair() });
    w.arrive_for(0, 1, 100, 30_000, 100_000);
    w.pump();
    w.arrive(0, 2, 100, 100);
    w.wait(10);
    let start = w.now;
    let ids: Vec<u64> = (0..100).map(|i| w.arrive(0, i, 300, 300)).collect();
    w.wait(2_000);
    for id in ids {
        let (at, end) = w.ends[&id];
        assert!(matches!(end, End::Refused(_)));
        // Wanted within 1,000 ms, and alone it takes 300: never later, and no more than a tick or two earlier.
        let after_ms = (at - start) as f64 / MS as f64;
        assert!((695.0..=700.0).contains(&after_ms) || after_ms < 1.0, "refused after {after_ms} ms");
    }
    assert_eq!(w.door.queued(), 0);
}

#[test]
fn behind_a_queue_that_stands_the_newest_goes_first() {
    let served_in_time = |stale_ms| {
        let mut w = World::new(&[1.0], 10.0, DoorSettings { stale_ms, ..fair() });
        let mut ids = Vec::new();
        for _ in 0..600 {
            (0..2).for_each(|i| ids.push(w.arrive(0, i, 100, 100)));
            w.wait(10);
        }
        w.all_ended(10_000);
        let waits: Vec<u64> = w.door.counters().map(|c| c.waited_ns / c.waited.max(1) / MS).collect();
        (w.served(&ids), waits[0])
    };
    let (served, wait_ms) = served_in_time(400);
    assert!(served >= 520, "{served} of 600 possible");
    assert!(wait_ms < 150, "mean wait {wait_ms} ms of those shown");
}

#[test]
fn who_leaves_the_queue_leaves_nothing_behind() {
    let mut w = World::new(&[1.0], 1.0, fair());
    w.arrive_for(0, 1, 100, 30_000, 100_000);
    w.pump();
    w.arrive(0, 2, 100, 100);
    w.wait(1);
    let waiting: Vec<u64> = (0..500).map(|i| w.arrive(0, i, 100, 100)).collect();
    w.pump();
    let queued: Vec<u64> = waiting.into_iter().filter(|id| w.door.waits(*id)).collect();
    assert!(queued.len() > 400, "{}", queued.len());
    for id in &queued {
        assert!(w.door.leave(w.now, *id), "the module never saw it");
        assert!(!w.door.leave(w.now, *id), "it leaves once");
    }
    assert_eq!((w.door.queued(), w.door.held_bytes(), w.door.next_due_ns().is_some()), (0, 0, true));
    assert_eq!(w.door.open(w.now), None);
}

#[test]
fn a_full_queue_pushes_out_whoever_has_the_most_in_it() {
    let mut w = World::new(&[1.0, 1.0], 1.0, DoorSettings { queued: 50, ..fair() });
    w.arrive_for(0, 1, 100, 30_000, 100_000);
    w.pump();
    w.arrive(0, 2, 100, 100);
    w.wait(1);
    (0..500).for_each(|i| {
        w.arrive(0, i, 100, 100);
    });
    let light: Vec<u64> = (0..20).map(|i| w.arrive(1, i, 100, 100)).collect();
    w.pump();
    assert!(light.iter().all(|id| w.door.waits(*id)), "none of the light tenant's is pushed out");
    let c: Vec<_> = w.door.counters().copied().collect();
    assert!(c[0].pushed_out >= 430 && c[1].pushed_out == 0, "{c:?}");
    assert!((40..=50).contains(&w.door.queued()), "{}", w.door.queued());
}

#[test]
fn advice_past_the_longest_is_the_longest_and_no_promise() {
    let mut w = World::new(&[1.0], 2.0, fair());
    let ids: Vec<u64> = (0..400).map(|i| w.arrive(0, i, 1_000, 1_000)).collect();
    w.all_ended(10_000);
    let refused = ids.iter().filter_map(|id| match w.ends[id].1 {
        End::Refused(advice) => Some(advice),
        End::Served => None,
    });
    let advice: Vec<_> = refused.collect();
    assert!(advice.iter().all(|a| a.after_ns <= 2 * S && a.after_ns > 0));
    assert!(advice.iter().filter(|a| !a.promised).all(|a| a.after_ns == 2 * S));
    let promised = advice.iter().filter(|a| a.promised).count();
    assert!(
        promised > 0 && promised < 10,
        "{promised} promises of a second on two threads, two seconds ahead"
    );
}

#[test]
fn a_shown_request_that_nobody_waits_for_frees_its_room() {
    let mut w = World::new(&[1.0], 10.0, fair());
    let arrival = Arrival { id: 9_000, threads: 4.0, need_ns: 1e8, wanted_ns: T0 + S, ..Arrival::default() };
    w.door.arrive(w.now, Arrival { expires_ns: T0 + 6 * S, ..arrival });
    assert_eq!(w.door.open(w.now), Some(Verdict::Show(9_000)));
    w.door.accepted(w.now, 9_000);
    assert_eq!(w.door.room().used(), 4.0);
    assert!(!w.door.leave(w.now + S, 9_000), "the module has it");
    assert_eq!(w.door.room().used(), 0.0);
}

#[test]
fn single_refusals_limit_nothing_and_a_crowd_that_is_over_is_forgotten() {
    let mut w = World::new(&[1.0], 10.0, fair());
    // One in ten is refused for a reason of its own, as where no engine may run it.
    for i in 0..200 {
        let id = w.arrive(0, i, 10, 10);
        if i % 10 == 0 {
            assert_eq!(w.door.open(w.now), Some(Verdict::Show(id)));
            w.door.refused(w.now, id, false);
        }
        w.wait(10);
    }
    assert!(!w.door.room().is_limited());
    let c = *w.door.counters().next().unwrap();
    assert_eq!((c.waited, c.shown), (0, 200), "nobody waits");
    (0..40).for_each(|i| {
        w.arrive(0, i, 100, 100);
    });
    w.wait(50);
    assert!(w.door.room().is_limited());
    w.wait(3_000);
    w.arrive(0, 1, 10, 10);
    w.pump();
    assert!(!w.door.room().is_limited(), "nobody has waited for a second");
}
