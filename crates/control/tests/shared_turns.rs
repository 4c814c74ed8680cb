//! Turns of serial requests that wait for requests of their key at another process of the router.

mod common;
use common::*;
use marljunction_control::interface::*;

fn serial() -> Settings {
    let mut s = settings();
    s.classes[1].serial_by_key = true;
    s
}

fn keyed(id: u64, turn: KeyTurn) -> Request {
    Request { key: Some(5), turn, ..request(id, 1, 1_000) }
}

/// Guards against a request that is sent beside an earlier one of its key at another process.
#[test]
fn a_request_is_sent_once_its_turn_is_granted() {
    let mut w = Harness::new(serial(), &[1, 2]);
    assert_eq!(sent_to(&w.send_request(keyed(1, KeyTurn::Waiting))), None);
    assert_eq!(sent_to(&w.send_request(keyed(2, KeyTurn::Waiting))), None);
    let first = sent_to(&w.at(500).on(Event::TurnGranted(RequestId(1), 0))).unwrap();
    let actions = w.at(600).finish(outcome(1, 0, first, Status::Done, 100));
    assert_eq!(sent_to(&actions), None, "the second one's turn is not granted yet");
    assert!(sent_to(&w.at(700).on(Event::TurnGranted(RequestId(2), 0))).is_some());
}

/// Guards against a request that is sent beside an attempt of another process that may still run.
#[test]
fn a_pause_that_another_process_told_delays_the_key() {
    for granted_later in [false, true] {
        let mut w = Harness::new(serial(), &[1, 2]);
        let resume_ns = T0 + 800 * MS;
        let actions = if granted_later {
            w.send_request(keyed(1, KeyTurn::Waiting));
            w.on(Event::TurnGranted(RequestId(1), resume_ns))
        } else {
            w.send_request(keyed(1, KeyTurn::From(resume_ns)))
        };
        assert_eq!(sent_to(&actions), None);
        assert_eq!(w.c.key_paused_until_ns(5), resume_ns);
        let (after, token) = timers(&actions)[0];
        assert_eq!(w.now + after, resume_ns);
        assert!(sent_to(&w.at(800).on(Event::Timer(token))).is_some());
    }
}

#[test]
fn a_request_whose_turn_does_not_come_is_refused_in_time() {
    let mut w = Harness::new(serial(), &[1, 2]);
    let (after, token) = timers(&w.send_request(keyed(1, KeyTurn::Waiting)))[0];
    w.now += after;
    assert!(w.now < T0 + 20 * S);
    assert!(refused(&w.on(Event::Timer(token))));
}
