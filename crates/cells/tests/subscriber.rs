//! Handling of single messages by subscribers and relays.

mod common;

use std::net::SocketAddr;

use common::{address, bound_params, cell_id, engine, relay_settings, MS, S};
use marljunction_cells::counters::RejectReason;
use marljunction_cells::message::{Delta, Piece, Request, ResponseHeader, Table};
use marljunction_cells::{
    CellId, Digest, Engine, EngineState, Message, PartUpdate, Relay, Subscriber, SubscriberSettings,
};

const INCARNATION: u64 = 50;

fn relays(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|at| address(1, at)).collect()
}

fn settings(count: usize) -> SubscriberSettings {
    SubscriberSettings {
        cell: cell_id(0, 2),
        router: 3,
        incarnation: INCARNATION,
        relays: relays(count),
        request_interval_ns: S,
        silence_ns: 3 * S,
        settle_ns: 5 * S,
        spread_ns: 0,
        stale_ns: 7 * S,
        seed: 9,
    }
}

fn engines(count: u64) -> Vec<Engine> {
    let cell = cell_id(0, 2);
    (0..).map(engine).filter(|engine| cell.contains(engine)).take(count as usize).collect()
}

/// Advances to the next request, and returns the one sent to the current relay.
fn next_request(subscriber: &mut Subscriber, now: u64) -> (SocketAddr, Request) {
    let relay = subscriber.relay().expect("a relay");
    let due = now.max(subscriber.next_due_ns());
    let sent = subscriber.tick(due);
    let to = sent.into_iter().find_map(|(to, message)| match message {
        Message::Request(request) if to == relay || subscriber.relay() == Some(to) => Some((to, request)),
        _ => None,
    });
    to.expect("a request")
}

fn header(request: &Request, version: u64, contact_age_ms: u64) -> ResponseHeader {
    ResponseHeader {
        incarnation: request.incarnation,
        sequence: request.sequence,
        cell: request.cell.hash(),
        version,
        contact_age_ms,
    }
}

fn pieces(request: &Request, version: u64, contact_age_ms: u64, engines: &[Engine]) -> Vec<Message> {
    let tables = Table::pack(engines);
    let (count, digest) = (tables.len() as u16, Digest::of(engines));
    let piece = |(at, table)| {
        let header = header(request, version, contact_age_ms);
        Message::Piece(Piece { header, digest, index: at as u16, count, table })
    };
    tables.into_iter().enumerate().map(piece).collect()
}

/// Returns a subscriber that holds these engines at version 10, and the time.
fn synced_subscriber(count: usize, engines: &[Engine]) -> (Subscriber, u64) {
    let mut subscriber = Subscriber::new(S, settings(count));
    let (relay, request) = next_request(&mut subscriber, S);
    for piece in pieces(&request, 10, 0, engines) {
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
    let removed = from.iter().filter(|engine| to.iter().all(|other| other.id != engine.id));
    Delta {
        incarnation: INCARNATION,
        cell: cell_id(0, 2).hash(),
        version,
        from: Digest::of(from),
        to: Digest::of(to),
        table: Table::pack(changed).swap_remove(0),
        removed: removed.map(|engine| engine.id).collect(),
    }
}

fn drained(engines: &[Engine]) -> Vec<Engine> {
    let mut after = engines.to_vec();
    after[0].state = EngineState::Draining;
    after
}

#[test]
fn a_snapshot_is_applied_once_complete_and_missing_pieces_are_requested() {
    let all = engines(60);
    let mut subscriber = Subscriber::new(S, settings(1));
    let (relay, request) = next_request(&mut subscriber, S);
    let mut sent = pieces(&request, 10, 0, &all);
    assert!(sent.len() > 2);
    let last = sent.pop().expect("a piece");
    for piece in sent {
        assert_eq!(subscriber.receive(S, relay, piece), None);
    }
    assert!(subscriber.part().is_none());
    let (_, again) = next_request(&mut subscriber, S);
    assert_eq!(again.missing.map(|(_, missing)| missing.len()), Some(1));
    // The missing piece may belong to the earlier request.
    assert_eq!(subscriber.receive(2 * S, relay, last), Some(PartUpdate::Snapshot(all.clone())));
    assert_eq!(held(&subscriber), all);
}

#[test]
fn a_snapshot_with_a_wrong_digest_is_rejected() {
    let all = engines(10);
    let (mut subscriber, now) = synced_subscriber(1, &all);
    let (relay, request) = next_request(&mut subscriber, now);
    let Message::Piece(mut piece) = pieces(&request, 11, 0, &all[..5]).remove(0) else { unreachable!() };
    piece.digest = Digest(1, 2);
    assert_eq!(subscriber.receive(now, relay, Message::Piece(piece)), None);
    assert_eq!((held(&subscriber), subscriber.rejected().get(RejectReason::Invalid)), (all, 1));
}

#[test]
fn invalid_piece_counts_allocate_no_memory() {
    let all = engines(10);
    let (mut subscriber, now) = synced_subscriber(1, &all);
    for (index, count) in [(0, 0), (0, u16::MAX), (9, 2)] {
        let (relay, request) = next_request(&mut subscriber, now);
        let Message::Piece(piece) = pieces(&request, 11, 0, &all[..5]).remove(0) else { unreachable!() };
        let digest = if count == 0 { Digest::of(&[]) } else { piece.digest };
        assert_eq!(
            subscriber.receive(now, relay, Message::Piece(Piece { index, count, digest, ..piece })),
            None
        );
        let (_, again) = next_request(&mut subscriber, now);
        assert!(count == 2 || again.missing.is_none(), "retains pieces of {count}");
    }
    assert_eq!(held(&subscriber), all);
}

#[test]
fn a_lower_version_is_rejected() {
    let all = engines(10);
    let (mut subscriber, now) = synced_subscriber(3, &all);
    let (relay, request) = next_request(&mut subscriber, now);
    for piece in pieces(&request, 9, 0, &all[..5]) {
        assert_eq!(subscriber.receive(now, relay, piece), None);
    }
    assert_eq!((held(&subscriber), subscriber.rejected().get(RejectReason::Outdated)), (all, 1));
}

#[test]
fn different_content_of_the_same_version_is_rejected() {
    let all = engines(10);
    let (mut subscriber, now) = synced_subscriber(3, &all);
    let (relay, request) = next_request(&mut subscriber, now);
    for piece in pieces(&request, 10, 0, &all[..5]) {
        assert_eq!(subscriber.receive(now, relay, piece), None);
    }
    assert_eq!((held(&subscriber), subscriber.rejected().get(RejectReason::Outdated)), (all, 1));
}

/// Answers all requests for `ns` with the version and contact age that `state_at` gives for a
/// relay.
fn respond_to_all(
    subscriber: &mut Subscriber,
    mut now: u64,
    ns: u64,
    state_at: impl Fn(SocketAddr) -> (u64, u64),
) -> u64 {
    let end = now + ns;
    while now < end {
        now = now.max(subscriber.next_due_ns());
        for (to, message) in subscriber.tick(now) {
            let Message::Request(request) = message else { continue };
            let (version, age) = state_at(to);
            let few = engines(5);
            let is_behind = request.min_version.is_some_and(|min_version| version < min_version);
            let responses = match is_behind {
                true => vec![Message::Behind(header(&request, version, age))],
                false if request.held_digest == Some(Digest::of(&few)) => {
                    vec![Message::Unchanged(header(&request, version, age))]
                }
                false => pieces(&request, version, age, &few),
            };
            responses.into_iter().for_each(|message| drop(subscriber.receive(now, to, message)));
        }
    }
    now
}

#[test]
fn a_version_restart_is_accepted_after_two_relays_report_it_for_the_settle_time() {
    let (mut subscriber, now) = synced_subscriber(3, &engines(10));
    let now = respond_to_all(&mut subscriber, now, 4 * S, |_| (2, 0));
    assert_eq!(held(&subscriber), engines(10), "before the settle time");
    respond_to_all(&mut subscriber, now, 4 * S, |_| (2, 0));
    assert_eq!((held(&subscriber), subscriber.version()), (engines(5), Some(2)));
}

#[test]
fn one_relay_with_a_wrong_version_cannot_cause_a_rollback() {
    let (mut subscriber, now) = synced_subscriber(3, &engines(10));
    let faulty = relays(3)[0];
    let mut now = now;
    let end = now + 60 * S;
    while now < end {
        now = now.max(subscriber.next_due_ns());
        for (to, message) in subscriber.tick(now) {
            let Message::Request(request) = message else { continue };
            let responses = match to == faulty {
                true if request.min_version.is_some() => vec![Message::Behind(header(&request, 3, 0))],
                true => pieces(&request, 3, 0, &engines(5)),
                // No other relay responds.
                false => Vec::new(),
            };
            responses.into_iter().for_each(|message| drop(subscriber.receive(now, to, message)));
        }
    }
    assert_eq!((held(&subscriber), subscriber.version()), (engines(10), Some(10)));
}

#[test]
fn a_version_that_is_too_high_is_replaced_after_the_settle_time() {
    let (mut subscriber, now) = synced_subscriber(3, &engines(10));
    let relay = subscriber.relay().expect("a relay");
    let (_, request) = next_request(&mut subscriber, now);
    subscriber.receive(now, relay, Message::Unchanged(header(&request, u64::MAX, 0)));
    assert_eq!(subscriber.version(), Some(u64::MAX));
    // All relays report the current version.
    respond_to_all(&mut subscriber, now, 12 * S, |_| (11, 0));
    assert_eq!((held(&subscriber), subscriber.version()), (engines(5), Some(11)));
}

#[test]
fn relays_without_contact_with_the_service_do_not_confirm_a_version_restart() {
    let (mut subscriber, now) = synced_subscriber(3, &engines(10));
    respond_to_all(&mut subscriber, now, 60 * S, |_| (2, 4_000));
    assert_eq!((held(&subscriber), subscriber.version()), (engines(10), Some(10)));
}

#[test]
fn responses_to_another_incarnation_request_or_cell_or_from_unknown_senders_are_rejected() {
    let all = engines(10);
    let (mut subscriber, now) = synced_subscriber(1, &all);
    let (relay, request) = next_request(&mut subscriber, now);
    let changed_piece = |change: &dyn Fn(&mut Piece)| {
        let Message::Piece(mut piece) = pieces(&request, 11, 0, &all[..5]).remove(0) else { unreachable!() };
        change(&mut piece);
        Message::Piece(piece)
    };
    let other_cell: Vec<Engine> = (0..40).map(engine).filter(|e| cell_id(1, 2).contains(e)).take(5).collect();
    let cases: [(SocketAddr, Message, RejectReason); 5] = [
        (
            relay,
            changed_piece(&|piece| piece.header.incarnation = INCARNATION - 1),
            RejectReason::OtherIncarnation,
        ),
        (relay, changed_piece(&|piece| piece.header.sequence += 1), RejectReason::UnknownRequest),
        (relay, changed_piece(&|piece| piece.header.cell += 1), RejectReason::WrongRecipient),
        (relay, pieces(&request, 11, 0, &other_cell).remove(0), RejectReason::WrongRecipient),
        (address(7, 7), changed_piece(&|_| ()), RejectReason::UnknownSender),
    ];
    for (from, message, reason) in cases {
        let before = subscriber.rejected().get(reason);
        assert_eq!(subscriber.receive(now, from, message), None, "{reason:?}");
        assert_eq!(
            (held(&subscriber), subscriber.rejected().get(reason)),
            (all.clone(), before + 1),
            "{reason:?}"
        );
    }
    assert!(subscriber.receive(now, relay, changed_piece(&|_| ())).is_some(), "a valid response is accepted");
}

#[test]
fn a_delta_applies_only_to_its_base_and_does_not_reset_the_age() {
    let all = engines(10);
    let after = drained(&all);
    let (mut subscriber, now) = synced_subscriber(2, &all);
    let (relay, _) = next_request(&mut subscriber, now);
    let age = subscriber.age_ns(now);
    let cases: [(Delta, RejectReason); 5] = [
        (Delta { version: 10, ..delta(&all, &after, 11) }, RejectReason::Outdated),
        (Delta { incarnation: INCARNATION + 1, ..delta(&all, &after, 11) }, RejectReason::OtherIncarnation),
        (Delta { cell: 7, ..delta(&all, &after, 11) }, RejectReason::WrongRecipient),
        (Delta { to: Digest(3, 4), ..delta(&all, &after, 11) }, RejectReason::Invalid),
        (delta(&after, &all, 11), RejectReason::Gap),
    ];
    for (wrong, reason) in cases {
        assert_eq!(subscriber.receive(now, relay, Message::Delta(wrong)), None, "{reason:?}");
        assert_eq!((held(&subscriber), subscriber.rejected().get(reason)), (all.clone(), 1), "{reason:?}");
    }
    let updates = subscriber.receive(now, relay, Message::Delta(delta(&all, &after, 11)));
    assert_eq!(updates, Some(PartUpdate::Delta(vec![after[0].clone()], Vec::new())));
    assert_eq!((held(&subscriber), subscriber.version(), subscriber.age_ns(now)), (after, Some(11), age));
}

#[test]
fn a_delta_with_another_base_triggers_one_early_request() {
    let all = engines(10);
    let (mut subscriber, now) = synced_subscriber(2, &all);
    let (relay, request) = next_request(&mut subscriber, now);
    let now = subscriber.next_due_ns() - 249 * MS;
    subscriber.receive(now, relay, Message::Unchanged(header(&request, 10, 0)));
    let before = subscriber.next_due_ns();
    let sent = before;
    for _ in 0..100 {
        subscriber.receive(now, relay, Message::Delta(delta(&all[..4], &all[..3], 12)));
    }
    assert!(subscriber.next_due_ns() < sent && subscriber.next_due_ns() <= now + S / 10);
    assert!(subscriber.next_due_ns() >= now.min(S + S / 10), "an immediate request for each delta");
}

#[test]
fn age_counts_from_when_the_request_was_sent_plus_the_age_at_the_relay() {
    let all = engines(10);
    let (mut subscriber, now) = synced_subscriber(1, &all);
    let sent = subscriber.next_due_ns();
    let (relay, request) = next_request(&mut subscriber, now);
    let late = sent + 5 * S;
    subscriber.receive(late, relay, Message::Unchanged(header(&request, 10, 700)));
    assert_eq!(subscriber.age_ns(late), 5 * S + 700 * MS);
}

#[test]
fn unchanged_refers_to_the_part_held_when_the_request_was_sent() {
    let all = engines(10);
    let after = drained(&all);
    let (mut subscriber, now) = synced_subscriber(1, &all);
    let (relay, request) = next_request(&mut subscriber, now);
    subscriber.receive(now, relay, Message::Delta(delta(&all, &after, 11)));
    let age = subscriber.age_ns(now);
    subscriber.receive(now, relay, Message::Unchanged(header(&request, 12, 0)));
    assert_eq!((subscriber.version(), subscriber.age_ns(now)), (Some(11), age));
}

#[test]
fn a_silent_stale_or_unready_relay_is_replaced_until_it_recovers() {
    type Respond = fn(&Request) -> Vec<Message>;
    let cases: [Respond; 3] = [
        |_| Vec::new(),
        |request| vec![Message::NotReady(header(request, 0, 0))],
        |request| vec![Message::Unchanged(header(request, 10, 4_000))],
    ];
    for (at, faulty_response) in cases.into_iter().enumerate() {
        let (mut subscriber, mut now) = synced_subscriber(3, &engines(10));
        let first = subscriber.relay().expect("a relay");
        let run = |subscriber: &mut Subscriber, mut now: u64, ns: u64, is_faulty: bool| {
            let end = now + ns;
            while now < end {
                now = now.max(subscriber.next_due_ns());
                for (to, message) in subscriber.tick(now) {
                    let Message::Request(request) = message else { continue };
                    let valid_response = vec![Message::Unchanged(header(&request, 10, 0))];
                    let replies =
                        if is_faulty && to == first { faulty_response(&request) } else { valid_response };
                    replies.into_iter().for_each(|message| drop(subscriber.receive(now, to, message)));
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
fn without_responses_requests_are_paced_and_the_part_is_retained() {
    let all = engines(10);
    let (mut subscriber, mut now) = synced_subscriber(3, &all);
    let (before, end) = (subscriber.counters().requests, now + 600 * S);
    while now < end {
        now = now.max(subscriber.next_due_ns());
        subscriber.tick(now);
    }
    let requests = subscriber.counters().requests - before;
    assert!((500..=760).contains(&requests), "{requests} requests in 600 s");
    assert_eq!((held(&subscriber), subscriber.counters().stale_periods), (all, 1));
}

#[test]
fn routers_of_a_removed_relay_spread_over_all_others() {
    let selected_relay = |router: u64, relays: Vec<SocketAddr>| {
        Subscriber::new(S, SubscriberSettings { router, relays, ..settings(1) }).relay().expect("a relay")
    };
    let count = |relays: &[SocketAddr], routers: u64| -> Vec<usize> {
        let chosen: Vec<SocketAddr> =
            (0..routers).map(|router| selected_relay(router, relays.to_vec())).collect();
        relays.iter().map(|relay| chosen.iter().filter(|at| *at == relay).count()).collect()
    };
    let all = relays(39);
    let loads = count(&all, 3_200);
    assert!(loads.iter().all(|load| (50..=120).contains(load)), "{loads:?}");
    let moved = (0..3_200)
        .filter(|router| selected_relay(*router, all.clone()) != selected_relay(*router, all[1..].to_vec()));
    assert_eq!(moved.count(), loads[0], "only routers of the removed relay move");
}

/// Returns a relay and the address of a router.
fn relay(now: u64) -> (Relay, SocketAddr) {
    (Relay::new(now, relay_settings(&bound_params())), address(2, 0))
}

fn request(sequence: u64, cell: CellId) -> Message {
    Message::Request(Request {
        incarnation: INCARNATION,
        sequence,
        cell,
        held_digest: None,
        min_version: None,
        missing: None,
    })
}

#[test]
fn a_relay_is_not_ready_before_it_has_a_full_list_and_contact_with_its_service() {
    let (mut relay, router) = relay(S);
    let responses = |relay: &mut Relay, sequence: u64, now: u64| {
        relay.receive(now, router, request(sequence, cell_id(0, 2)));
        relay.tick(now).into_iter().map(|(_, message)| message).collect::<Vec<_>>()
    };
    assert!(matches!(responses(&mut relay, 1, S)[..], [Message::NotReady(_)]));
    relay.apply_update(5, false, engines(3));
    relay.record_service_contact(S, 0);
    assert!(matches!(responses(&mut relay, 2, S)[..], [Message::NotReady(_)]), "without a full list");
    let (mut other, _) = self::relay(S);
    other.apply_update(5, true, engines(3));
    assert!(
        matches!(responses(&mut other, 1, S)[..], [Message::NotReady(_)]),
        "without contact with the service"
    );
    relay.apply_update(6, true, engines(3));
    assert!(matches!(responses(&mut relay, 3, S)[..], [Message::Piece(_)]));
}

#[test]
fn a_resumed_relay_does_not_report_queued_updates_as_fresh() {
    let (mut relay, router) = relay(S);
    relay.apply_update(5, true, engines(3));
    relay.record_service_contact(S, 0);
    let resumed = 61 * S;
    relay.record_service_contact(resumed, 0);
    relay.receive(resumed, router, request(1, cell_id(0, 2)));
    let age_ms = relay.tick(resumed).into_iter().find_map(|(_, message)| match message {
        Message::Piece(piece) => Some(piece.header.contact_age_ms),
        _ => None,
    });
    assert_eq!(age_ms, Some(60_000));
    // After the silence time, contact counts again.
    let mut now = resumed;
    while now < resumed + 4 * S {
        now += 20 * MS;
        relay.tick(now);
        relay.record_service_contact(now, 0);
    }
    relay.receive(now, router, request(2, cell_id(0, 2)));
    let fresh = relay.tick(now).into_iter().all(|(_, message)| match message {
        Message::Piece(piece) => piece.header.contact_age_ms == 0,
        _ => false,
    });
    assert!(fresh);
}

#[test]
fn a_relay_paused_before_its_first_contact_is_not_ready_when_it_resumes() {
    let (mut relay, router) = relay(S);
    let resumed = 20 * S;
    relay.apply_update(5, true, engines(3));
    relay.record_service_contact(resumed, 0);
    relay.receive(resumed, router, request(1, cell_id(0, 2)));
    assert!(matches!(relay.tick(resumed)[..], [(_, Message::NotReady(_))]));
}

#[test]
fn a_delta_is_sent_at_once_to_affected_routers_only() {
    let (mut relay, first) = relay(S);
    relay.apply_update(5, true, (0..40).map(engine).collect());
    relay.record_service_contact(S, 0);
    let second = address(2, 1);
    relay.receive(S, first, request(1, cell_id(0, 2)));
    relay.receive(S, second, request(1, cell_id(1, 2)));
    relay.tick(S);
    let mut draining = engines(1);
    draining[0].state = EngineState::Draining;
    relay.apply_update(6, false, draining.clone());
    let sent = relay.tick(S + MS);
    let [(to, Message::Delta(delta))] = &sent[..] else { panic!("{sent:?}") };
    assert_eq!((*to, delta.version, delta.table.engines().expect("engines")), (first, 6, draining));
    assert!(relay.tick(S + 2 * MS).is_empty());
}

#[test]
fn a_change_too_large_for_a_datagram_is_sent_as_a_snapshot() {
    let (mut relay, router) = relay(S);
    let all = engines(100);
    relay.apply_update(5, true, all.clone());
    relay.record_service_contact(S, 0);
    relay.receive(S, router, request(1, cell_id(0, 2)));
    relay.tick(S);
    let reweighted = all.into_iter().map(|engine| Engine { weight: 2.0, ..engine });
    relay.apply_update(6, false, reweighted.collect());
    let sent = relay.tick(S + MS);
    assert!(sent.len() > 1, "{} datagrams", sent.len());
    assert!(sent.iter().all(|(_, message)| matches!(message, Message::Piece(_))));
}

#[test]
fn a_relay_limits_its_send_rate_and_its_number_of_routers() {
    let few = bound_params();
    let mut relay = Relay::new(S, relay_settings(&few));
    relay.apply_update(5, true, (0..12_000).map(engine).collect());
    relay.record_service_contact(S, 0);
    let budget = relay_settings(&few).budget_per_s() as usize;
    let (mut now, mut sent, mut sequence) = (S, 0, 0);
    while now < 11 * S {
        now += 20 * MS;
        sequence += 1;
        // More requests from more routers than configured.
        for router in 0..100 {
            relay.receive(now, address(2, router), request(sequence, cell_id(0, 1)));
        }
        let sent_now = relay.tick(now).len();
        assert!(sent_now <= budget / 20 + 1, "{sent_now} datagrams at once");
        sent += sent_now;
    }
    assert!(sent <= 10 * budget + budget / 10, "{sent} datagrams in 10 s");
    assert!(sent >= 9 * budget, "{sent} datagrams in 10 s");
    assert_eq!(relay.routers(), 2 * few.routers as usize);
    assert!(relay.rejected().get(RejectReason::TooManyRouters) > 0);
    // Routers that send no more requests are removed.
    relay.tick(now + 11 * S);
    assert_eq!(relay.routers(), 0);
}

#[test]
fn reordered_or_duplicated_requests_are_not_answered_again() {
    let (mut relay, router) = relay(S);
    relay.apply_update(5, true, engines(3));
    relay.record_service_contact(S, 0);
    for (sequence, is_answered) in [(5, true), (4, false), (5, false), (6, true)] {
        relay.receive(S, router, request(sequence, cell_id(0, 2)));
        assert_eq!(!relay.tick(S).is_empty(), is_answered, "{sequence}");
    }
}

#[test]
fn an_engine_with_names_too_long_for_a_datagram_is_left_out() {
    let (mut relay, router) = relay(S);
    let mut all = engines(3);
    let long = Engine { id: 77, kind: Some("k".repeat(2_000).into()), ..all[0].clone() };
    all.push(long);
    relay.apply_update(5, true, all);
    relay.record_service_contact(S, 0);
    relay.receive(S, router, request(1, cell_id(0, 2)));
    assert_eq!((relay.engines(), relay.rejected().get(RejectReason::InvalidEngine)), (3, 1));
    assert!(relay.tick(S).iter().all(|(_, message)| message.encode().len() < 1_000));
}
