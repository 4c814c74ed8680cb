//! What a router takes of what relays say, message by message.

mod common;

use std::net::SocketAddr;

use common::{address, bound_params, by_engine, engine, relay_settings, MS, S};
use marljunction_cells::counters::Reason;
use marljunction_cells::message::{Answer, Ask, Delta, Piece, Table};
use marljunction_cells::{
    CellId, Digest, Engine, EngineState, Message, PartUpdate, Relay, Subscriber, SubscriberSettings,
};

const INCARNATION: u64 = 50;

fn relays(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|at| address(1, at)).collect()
}

fn settings(count: usize) -> SubscriberSettings {
    SubscriberSettings {
        cell: by_engine(0, 2),
        router: 3,
        incarnation: INCARNATION,
        relays: relays(count),
        ask_ns: S,
        silence_ns: 3 * S,
        settle_ns: 5 * S,
        spread_ns: 0,
        stale_ns: 7 * S,
        seed: 9,
    }
}

fn engines(count: u64) -> Vec<Engine> {
    let cell = by_engine(0, 2);
    (0..).map(engine).filter(|engine| cell.contains(engine)).take(count as usize).collect()
}

/// The one ask to the current relay that is due.
fn asked(subscriber: &mut Subscriber, now: u64) -> (SocketAddr, Ask) {
    let relay = subscriber.relay().expect("a relay");
    let due = now.max(subscriber.next_due_ns());
    let sent = subscriber.tick(due);
    let to = sent.into_iter().find_map(|(to, message)| match message {
        Message::Ask(ask) if to == relay || subscriber.relay() == Some(to) => Some((to, ask)),
        _ => None,
    });
    to.expect("an ask")
}

fn answer(ask: &Ask, version: u64, contact_age_ms: u64) -> Answer {
    Answer {
        incarnation: ask.incarnation,
        sequence: ask.sequence,
        cell: ask.cell.hash(),
        version,
        contact_age_ms,
    }
}

fn pieces(ask: &Ask, version: u64, contact_age_ms: u64, engines: &[Engine]) -> Vec<Message> {
    let tables = Table::pack(engines);
    let (of, digest) = (tables.len() as u16, Digest::of(engines));
    let piece = |(at, table)| {
        let answer = answer(ask, version, contact_age_ms);
        Message::Piece(Piece { answer, digest, at: at as u16, of, table })
    };
    tables.into_iter().enumerate().map(piece).collect()
}

/// A subscriber that holds these engines at version 10, and the time.
fn synced_subscriber(count: usize, engines: &[Engine]) -> (Subscriber, u64) {
    let mut subscriber = Subscriber::new(S, settings(count));
    let (relay, ask) = asked(&mut subscriber, S);
    for piece in pieces(&ask, 10, 0, engines) {
        subscriber.receive(S, relay, piece);
    }
    assert_eq!(subscriber.version(), Some(10));
    (subscriber, S)
}

fn held(subscriber: &Subscriber) -> Vec<Engine> {
    subscriber.part().expect("a part").engines().cloned().collect()
}

fn delta(from: &[Engine], to: &[Engine], version: u64) -> Delta {
    let changed: Vec<&Engine> = to.iter().filter(|engine| !from.contains(engine)).collect();
    let gone = from.iter().filter(|engine| to.iter().all(|other| other.id != engine.id));
    Delta {
        incarnation: INCARNATION,
        cell: by_engine(0, 2).hash(),
        version,
        from: Digest::of(from),
        to: Digest::of(to),
        table: Table::pack(changed).swap_remove(0),
        gone: gone.map(|engine| engine.id).collect(),
    }
}

fn drained(engines: &[Engine]) -> Vec<Engine> {
    let mut after = engines.to_vec();
    after[0].state = EngineState::Draining;
    after
}

#[test]
fn a_part_counts_only_whole_and_what_is_missing_is_asked_for() {
    let all = engines(60);
    let mut subscriber = Subscriber::new(S, settings(1));
    let (relay, ask) = asked(&mut subscriber, S);
    let mut sent = pieces(&ask, 10, 0, &all);
    assert!(sent.len() > 2);
    let last = sent.pop().expect("a piece");
    for piece in sent {
        assert_eq!(subscriber.receive(S, relay, piece), None);
    }
    assert!(subscriber.part().is_none());
    let (_, again) = asked(&mut subscriber, S);
    assert_eq!(again.missing.map(|(_, missing)| missing.len()), Some(1));
    // The rest may answer the earlier ask.
    assert_eq!(subscriber.receive(2 * S, relay, last), Some(PartUpdate::Snapshot(all.clone())));
    assert_eq!(held(&subscriber), all);
}

#[test]
fn a_part_that_is_not_what_its_digest_says_is_not_taken() {
    let all = engines(10);
    let (mut subscriber, now) = synced_subscriber(1, &all);
    let (relay, ask) = asked(&mut subscriber, now);
    let Message::Piece(mut piece) = pieces(&ask, 11, 0, &all[..5]).remove(0) else { unreachable!() };
    piece.digest = Digest(1, 2);
    assert_eq!(subscriber.receive(now, relay, Message::Piece(piece)), None);
    assert_eq!((held(&subscriber), subscriber.passed().of(Reason::Spoilt)), (all, 1));
}

#[test]
fn counts_of_pieces_that_cannot_be_cost_no_memory() {
    let all = engines(10);
    let (mut subscriber, now) = synced_subscriber(1, &all);
    for (at, of) in [(0, 0), (0, u16::MAX), (9, 2)] {
        let (relay, ask) = asked(&mut subscriber, now);
        let Message::Piece(piece) = pieces(&ask, 11, 0, &all[..5]).remove(0) else { unreachable!() };
        let digest = if of == 0 { Digest::of(&[]) } else { piece.digest };
        assert_eq!(subscriber.receive(now, relay, Message::Piece(Piece { at, of, digest, ..piece })), None);
        let (_, again) = asked(&mut subscriber, now);
        assert!(of == 2 || again.missing.is_none(), "pieces are kept of {of}");
    }
    assert_eq!(held(&subscriber), all);
}

#[test]
fn a_lower_version_is_passed_over_and_counted() {
    let all = engines(10);
    let (mut subscriber, now) = synced_subscriber(3, &all);
    let (relay, ask) = asked(&mut subscriber, now);
    for piece in pieces(&ask, 9, 0, &all[..5]) {
        assert_eq!(subscriber.receive(now, relay, piece), None);
    }
    assert_eq!((held(&subscriber), subscriber.passed().of(Reason::Old)), (all, 1));
}

#[test]
fn another_content_of_the_same_version_is_passed_over() {
    let all = engines(10);
    let (mut subscriber, now) = synced_subscriber(3, &all);
    let (relay, ask) = asked(&mut subscriber, now);
    for piece in pieces(&ask, 10, 0, &all[..5]) {
        assert_eq!(subscriber.receive(now, relay, piece), None);
    }
    assert_eq!((held(&subscriber), subscriber.passed().of(Reason::Old)), (all, 1));
}

/// Answers each ask for so long with this version of these engines, as the relay that is asked (and no other) says.
fn all_say(
    subscriber: &mut Subscriber,
    mut now: u64,
    ns: u64,
    say: impl Fn(SocketAddr) -> (u64, u64),
) -> u64 {
    let end = now + ns;
    while now < end {
        now = now.max(subscriber.next_due_ns());
        for (to, message) in subscriber.tick(now) {
            let Message::Ask(ask) = message else { continue };
            let (version, age) = say(to);
            let few = engines(5);
            let behind = ask.least.is_some_and(|least| version < least);
            let answers = match behind {
                true => vec![Message::Behind(answer(&ask, version, age))],
                false if ask.have == Some(Digest::of(&few)) => {
                    vec![Message::Same(answer(&ask, version, age))]
                }
                false => pieces(&ask, version, age, &few),
            };
            answers.into_iter().for_each(|message| drop(subscriber.receive(now, to, message)));
        }
    }
    now
}

#[test]
fn a_service_that_counts_anew_is_believed_once_two_relays_said_so_for_the_settle_time() {
    let (mut subscriber, now) = synced_subscriber(3, &engines(10));
    let now = all_say(&mut subscriber, now, 4 * S, |_| (2, 0));
    assert_eq!(held(&subscriber), engines(10), "before the settle time");
    all_say(&mut subscriber, now, 4 * S, |_| (2, 0));
    assert_eq!((held(&subscriber), subscriber.version()), (engines(5), Some(2)));
}

#[test]
fn one_relay_that_lies_about_its_number_takes_nobody_back() {
    let (mut subscriber, now) = synced_subscriber(3, &engines(10));
    let liar = relays(3)[0];
    // The others can't be reached by their news: they hold what is known.
    let mut now = now;
    let end = now + 60 * S;
    while now < end {
        now = now.max(subscriber.next_due_ns());
        for (to, message) in subscriber.tick(now) {
            let Message::Ask(ask) = message else { continue };
            let answers = match to == liar {
                true if ask.least.is_some() => vec![Message::Behind(answer(&ask, 3, 0))],
                true => pieces(&ask, 3, 0, &engines(5)),
                // Loss: nobody else is heard.
                false => Vec::new(),
            };
            answers.into_iter().for_each(|message| drop(subscriber.receive(now, to, message)));
        }
    }
    assert_eq!((held(&subscriber), subscriber.version()), (engines(10), Some(10)));
}

#[test]
fn a_number_that_was_too_high_is_left_behind_once_the_others_said_theirs_for_the_settle_time() {
    let (mut subscriber, now) = synced_subscriber(3, &engines(10));
    let relay = subscriber.relay().expect("a relay");
    let (_, ask) = asked(&mut subscriber, now);
    subscriber.receive(now, relay, Message::Same(answer(&ask, u64::MAX, 0)));
    assert_eq!(subscriber.version(), Some(u64::MAX));
    // That relay is gone; the others are where the service is.
    all_say(&mut subscriber, now, 12 * S, |_| (11, 0));
    assert_eq!((held(&subscriber), subscriber.version()), (engines(5), Some(11)));
}

#[test]
fn relays_that_do_not_hear_their_service_are_no_witnesses_that_it_counts_anew() {
    let (mut subscriber, now) = synced_subscriber(3, &engines(10));
    all_say(&mut subscriber, now, 60 * S, |_| (2, 4_000));
    assert_eq!((held(&subscriber), subscriber.version()), (engines(10), Some(10)));
}

#[test]
fn answers_of_another_life_ask_or_cell_and_of_strangers_are_dropped_and_counted() {
    let all = engines(10);
    let (mut subscriber, now) = synced_subscriber(1, &all);
    let (relay, ask) = asked(&mut subscriber, now);
    let whole = |change: &dyn Fn(&mut Piece)| {
        let Message::Piece(mut piece) = pieces(&ask, 11, 0, &all[..5]).remove(0) else { unreachable!() };
        change(&mut piece);
        Message::Piece(piece)
    };
    let other_cell: Vec<Engine> =
        (0..40).map(engine).filter(|e| by_engine(1, 2).contains(e)).take(5).collect();
    let cases: [(SocketAddr, Message, Reason); 5] = [
        (relay, whole(&|piece| piece.answer.incarnation = INCARNATION - 1), Reason::OtherIncarnation),
        (relay, whole(&|piece| piece.answer.sequence += 1), Reason::OtherAsk),
        (relay, whole(&|piece| piece.answer.cell += 1), Reason::OtherRouter),
        (relay, pieces(&ask, 11, 0, &other_cell).remove(0), Reason::OtherRouter),
        (address(7, 7), whole(&|_| ()), Reason::Stranger),
    ];
    for (from, message, reason) in cases {
        let before = subscriber.passed().of(reason);
        assert_eq!(subscriber.receive(now, from, message), None, "{reason:?}");
        assert_eq!(
            (held(&subscriber), subscriber.passed().of(reason)),
            (all.clone(), before + 1),
            "{reason:?}"
        );
    }
    assert!(subscriber.receive(now, relay, whole(&|_| ())).is_some(), "what is right is taken");
}

#[test]
fn a_change_is_taken_from_exactly_the_part_held_and_says_nothing_of_how_fresh_it_is() {
    let all = engines(10);
    let after = drained(&all);
    let (mut subscriber, now) = synced_subscriber(2, &all);
    let (relay, _) = asked(&mut subscriber, now);
    let age = subscriber.age_ns(now);
    let cases: [(Delta, Reason); 5] = [
        (Delta { version: 10, ..delta(&all, &after, 11) }, Reason::Old),
        (Delta { incarnation: INCARNATION + 1, ..delta(&all, &after, 11) }, Reason::OtherIncarnation),
        (Delta { cell: 7, ..delta(&all, &after, 11) }, Reason::OtherRouter),
        (Delta { to: Digest(3, 4), ..delta(&all, &after, 11) }, Reason::Spoilt),
        (delta(&after, &all, 11), Reason::Gap),
    ];
    for (wrong, reason) in cases {
        assert_eq!(subscriber.receive(now, relay, Message::Delta(wrong)), None, "{reason:?}");
        assert_eq!((held(&subscriber), subscriber.passed().of(reason)), (all.clone(), 1), "{reason:?}");
    }
    let news = subscriber.receive(now, relay, Message::Delta(delta(&all, &after, 11)));
    assert_eq!(news, Some(PartUpdate::Delta(vec![after[0].clone()], Vec::new())));
    assert_eq!((held(&subscriber), subscriber.version(), subscriber.age_ns(now)), (after, Some(11), age));
}

#[test]
fn a_change_of_a_part_that_is_not_held_is_asked_for_soon_and_no_more_often_than_that() {
    let all = engines(10);
    let (mut subscriber, now) = synced_subscriber(2, &all);
    let (relay, ask) = asked(&mut subscriber, now);
    let now = subscriber.next_due_ns() - 249 * MS;
    subscriber.receive(now, relay, Message::Same(answer(&ask, 10, 0)));
    let before = subscriber.next_due_ns();
    let sent = before;
    for _ in 0..100 {
        subscriber.receive(now, relay, Message::Delta(delta(&all[..4], &all[..3], 12)));
    }
    assert!(subscriber.next_due_ns() < sent && subscriber.next_due_ns() <= now + S / 10);
    assert!(subscriber.next_due_ns() >= now.min(S + S / 10), "an ask at once for each");
}

#[test]
fn freshness_counts_from_when_the_ask_was_sent_less_the_age_that_the_relay_tells() {
    let all = engines(10);
    let (mut subscriber, now) = synced_subscriber(1, &all);
    let sent = subscriber.next_due_ns();
    let (relay, ask) = asked(&mut subscriber, now);
    let late = sent + 5 * S;
    subscriber.receive(late, relay, Message::Same(answer(&ask, 10, 700)));
    assert_eq!(subscriber.age_ns(late), 5 * S + 700 * MS);
}

#[test]
fn that_nothing_changed_is_said_of_the_part_that_was_held_when_it_was_asked() {
    let all = engines(10);
    let after = drained(&all);
    let (mut subscriber, now) = synced_subscriber(1, &all);
    let (relay, ask) = asked(&mut subscriber, now);
    subscriber.receive(now, relay, Message::Delta(delta(&all, &after, 11)));
    let age = subscriber.age_ns(now);
    subscriber.receive(now, relay, Message::Same(answer(&ask, 12, 0)));
    assert_eq!((subscriber.version(), subscriber.age_ns(now)), (Some(11), age));
}

#[test]
fn a_relay_that_is_silent_stale_or_not_ready_is_left_for_another_and_gone_back_to() {
    type Say = fn(&Ask) -> Vec<Message>;
    let cases: [Say; 3] = [
        |_| Vec::new(),
        |ask| vec![Message::NotReady(answer(ask, 0, 0))],
        |ask| vec![Message::Same(answer(ask, 10, 4_000))],
    ];
    for (at, bad) in cases.into_iter().enumerate() {
        let (mut subscriber, mut now) = synced_subscriber(3, &engines(10));
        let first = subscriber.relay().expect("a relay");
        let run = |subscriber: &mut Subscriber, mut now: u64, ns: u64, is_bad: bool| {
            let end = now + ns;
            while now < end {
                now = now.max(subscriber.next_due_ns());
                for (to, message) in subscriber.tick(now) {
                    let Message::Ask(ask) = message else { continue };
                    let good = vec![Message::Same(answer(&ask, 10, 0))];
                    let said = if is_bad && to == first { bad(&ask) } else { good };
                    said.into_iter().for_each(|message| drop(subscriber.receive(now, to, message)));
                }
            }
            now
        };
        now = run(&mut subscriber, now, 3 * S, true);
        assert_ne!(subscriber.relay(), Some(first), "case {at}");
        assert!(subscriber.age_ns(now) <= 2 * S, "case {at}");
        run(&mut subscriber, now, 90 * S, false);
        assert_eq!(subscriber.relay(), Some(first), "case {at}");
    }
}

#[test]
fn asks_are_paced_and_what_is_known_stays_where_nobody_answers() {
    let all = engines(10);
    let (mut subscriber, mut now) = synced_subscriber(3, &all);
    let (before, end) = (subscriber.counters().asks, now + 600 * S);
    while now < end {
        now = now.max(subscriber.next_due_ns());
        subscriber.tick(now);
    }
    let asks = subscriber.counters().asks - before;
    assert!((500..=760).contains(&asks), "{asks} asks in 600 s");
    assert_eq!((held(&subscriber), subscriber.counters().stale), (all, 1));
}

#[test]
fn routers_of_a_relay_that_is_gone_spread_over_all_others() {
    let order = |router: u64, relays: Vec<SocketAddr>| {
        Subscriber::new(S, SubscriberSettings { router, relays, ..settings(1) }).relay().expect("a relay")
    };
    let count = |relays: &[SocketAddr], routers: u64| -> Vec<usize> {
        let chosen: Vec<SocketAddr> = (0..routers).map(|router| order(router, relays.to_vec())).collect();
        relays.iter().map(|relay| chosen.iter().filter(|at| *at == relay).count()).collect()
    };
    let all = relays(39);
    let loads = count(&all, 3_200);
    assert!(loads.iter().all(|load| (50..=120).contains(load)), "{loads:?}");
    let moved = (0..3_200).filter(|router| order(*router, all.clone()) != order(*router, all[1..].to_vec()));
    assert_eq!(moved.count(), loads[0], "only those of the relay that is gone move");
}

/// A relay and its one router, at this time.
fn relay(now: u64) -> (Relay, SocketAddr) {
    (Relay::new(now, relay_settings(&bound_params())), address(2, 0))
}

fn ask(sequence: u64, cell: CellId) -> Message {
    Message::Ask(Ask { incarnation: INCARNATION, sequence, cell, have: None, least: None, missing: None })
}

#[test]
fn a_relay_that_has_not_learned_a_whole_list_and_heard_its_service_says_so() {
    let (mut relay, router) = relay(S);
    let says = |relay: &mut Relay, sequence: u64, now: u64| {
        relay.receive(now, router, ask(sequence, by_engine(0, 2)));
        relay.tick(now).into_iter().map(|(_, message)| message).collect::<Vec<_>>()
    };
    assert!(matches!(says(&mut relay, 1, S)[..], [Message::NotReady(_)]));
    relay.apply_update(5, false, engines(3));
    relay.heard(S, 0);
    assert!(matches!(says(&mut relay, 2, S)[..], [Message::NotReady(_)]), "changes alone are no list");
    let (mut other, _) = self::relay(S);
    other.apply_update(5, true, engines(3));
    assert!(matches!(says(&mut other, 1, S)[..], [Message::NotReady(_)]), "the service was not heard");
    relay.apply_update(6, true, engines(3));
    assert!(matches!(says(&mut relay, 3, S)[..], [Message::Piece(_)]));
}

#[test]
fn a_relay_that_stood_still_does_not_take_what_waited_for_fresh() {
    let (mut relay, router) = relay(S);
    relay.apply_update(5, true, engines(3));
    relay.heard(S, 0);
    let thaw = 61 * S;
    relay.heard(thaw, 0);
    relay.receive(thaw, router, ask(1, by_engine(0, 2)));
    let told = relay.tick(thaw).into_iter().find_map(|(_, message)| match message {
        Message::Piece(piece) => Some(piece.answer.contact_age_ms),
        _ => None,
    });
    assert_eq!(told, Some(60_000));
    // It goes on: from some time on, what is heard counts.
    let mut now = thaw;
    while now < thaw + 4 * S {
        now += 20 * MS;
        relay.tick(now);
        relay.heard(now, 0);
    }
    relay.receive(now, router, ask(2, by_engine(0, 2)));
    let fresh = relay.tick(now).into_iter().all(|(_, message)| match message {
        Message::Piece(piece) => piece.answer.contact_age_ms == 0,
        _ => false,
    });
    assert!(fresh);
}

#[test]
fn a_relay_that_stood_still_before_it_ever_heard_its_service_is_not_ready_as_it_wakes() {
    let (mut relay, router) = relay(S);
    let thaw = 20 * S;
    relay.apply_update(5, true, engines(3));
    relay.heard(thaw, 0);
    relay.receive(thaw, router, ask(1, by_engine(0, 2)));
    assert!(matches!(relay.tick(thaw)[..], [(_, Message::NotReady(_))]));
}

#[test]
fn a_change_goes_at_once_to_the_routers_whose_part_it_touches_and_to_no_other() {
    let (mut relay, first) = relay(S);
    relay.apply_update(5, true, (0..40).map(engine).collect());
    relay.heard(S, 0);
    let second = address(2, 1);
    relay.receive(S, first, ask(1, by_engine(0, 2)));
    relay.receive(S, second, ask(1, by_engine(1, 2)));
    relay.tick(S);
    let mut drains = engines(1);
    drains[0].state = EngineState::Draining;
    relay.apply_update(6, false, drains.clone());
    let sent = relay.tick(S + MS);
    let [(to, Message::Delta(delta))] = &sent[..] else { panic!("{sent:?}") };
    assert_eq!((*to, delta.version, delta.table.engines().expect("engines")), (first, 6, drains));
    assert!(relay.tick(S + 2 * MS).is_empty());
}

#[test]
fn a_change_that_fits_no_datagram_is_told_as_the_whole_part() {
    let (mut relay, router) = relay(S);
    let all = engines(100);
    relay.apply_update(5, true, all.clone());
    relay.heard(S, 0);
    relay.receive(S, router, ask(1, by_engine(0, 2)));
    relay.tick(S);
    let heavier = all.into_iter().map(|engine| Engine { weight: 2.0, ..engine });
    relay.apply_update(6, false, heavier.collect());
    let sent = relay.tick(S + MS);
    assert!(sent.len() > 1, "{} datagrams", sent.len());
    assert!(sent.iter().all(|(_, message)| matches!(message, Message::Piece(_))));
}

#[test]
fn what_a_relay_sends_is_bounded_by_its_budget_and_what_it_keeps_by_its_routers() {
    let few = bound_params();
    let mut relay = Relay::new(S, relay_settings(&few));
    relay.apply_update(5, true, (0..12_000).map(engine).collect());
    relay.heard(S, 0);
    let budget = relay_settings(&few).budget_per_s() as usize;
    let (mut now, mut sent, mut sequence) = (S, 0, 0);
    while now < 11 * S {
        now += 20 * MS;
        sequence += 1;
        // Far more ask, and far more often, than the settings say.
        for router in 0..100 {
            relay.receive(now, address(2, router), ask(sequence, by_engine(0, 1)));
        }
        let told = relay.tick(now).len();
        assert!(told <= budget / 20 + 1, "{told} datagrams at once");
        sent += told;
    }
    assert!(sent <= 10 * budget + budget / 10, "{sent} datagrams in 10 s");
    assert!(sent >= 9 * budget, "{sent} datagrams in 10 s");
    assert_eq!(relay.routers(), 2 * few.routers as usize);
    assert!(relay.passed().of(Reason::Full) > 0);
    // Those that say nothing more are forgotten.
    relay.tick(now + 11 * S);
    assert_eq!(relay.routers(), 0);
}

#[test]
fn asks_that_were_overtaken_or_doubled_are_not_answered_again() {
    let (mut relay, router) = relay(S);
    relay.apply_update(5, true, engines(3));
    relay.heard(S, 0);
    for (sequence, answered) in [(5, true), (4, false), (5, false), (6, true)] {
        relay.receive(S, router, ask(sequence, by_engine(0, 2)));
        assert_eq!(!relay.tick(S).is_empty(), answered, "{sequence}");
    }
}

#[test]
fn an_engine_whose_names_fit_no_datagram_costs_itself_only() {
    let (mut relay, router) = relay(S);
    let mut all = engines(3);
    let long = Engine { id: 77, kind: Some("k".repeat(2_000).into()), ..all[0].clone() };
    all.push(long);
    relay.apply_update(5, true, all);
    relay.heard(S, 0);
    relay.receive(S, router, ask(1, by_engine(0, 2)));
    assert_eq!((relay.engines(), relay.passed().of(Reason::Engine)), (3, 1));
    assert!(relay.tick(S).iter().all(|(_, message)| message.encode().len() < 1_000));
}
