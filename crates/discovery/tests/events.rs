//! Checks the event reader on input in pieces of any size, on large lists and on invalid events.

mod common;

use std::time::Instant;

use common::{assert_names, chunked, event, list, names, target};
use marljunction_control::interface::{EngineState, MembershipKind};
use marljunction_discovery::bound::ListBound;
use marljunction_discovery::event::{Event, EventReader};
use marljunction_discovery::update::{ListError, Update};
use marljunction_discovery::SourceError;

/// Reads a body in pieces of `piece` bytes.
fn read(body: &[u8], is_chunked: bool, piece: usize) -> (Vec<Event>, Result<(), SourceError>) {
    let (names, mut out) = (names(), Vec::new());
    let mut reader = EventReader::new(is_chunked, ListBound::default());
    let mut input = Vec::new();
    for part in body.chunks(piece) {
        input.extend_from_slice(part);
        match reader.decode(&input, &names, &mut out) {
            Ok(consumed) => drop(input.drain(..consumed)),
            Err(fault) => return (out, Err(fault)),
        }
    }
    (out, Ok(()))
}

#[test]
fn large_lists_are_read_in_pieces_of_any_size() {
    for (engines, pieces) in [(1_000, vec![1, 7, 4096]), (5_000, vec![1_448]), (30_000, vec![1_448, 65_536])]
    {
        let body = event(7, &list(7, engines)).into_bytes();
        for piece in pieces {
            for is_chunked in [false, true] {
                let body = if is_chunked { chunked(&body, 16_000) } else { body.clone() };
                let from = Instant::now();
                let (events, ended) = read(&body, is_chunked, piece);
                println!("{engines} engines, pieces of {piece}, chunked {is_chunked}: {:?}", from.elapsed());
                assert_eq!(ended, Ok(()));
                let [Event { number: Some(7), update: Ok(update) }] = &events[..] else {
                    panic!("one event")
                };
                assert_names(&update.change, engines);
            }
        }
    }
}

#[test]
fn a_whole_list_may_come_in_one_chunk() {
    let body = event(7, &list(7, 5_000)).into_bytes();
    let (events, ended) = read(&chunked(&body, body.len()), true, 10_000);
    assert_eq!(ended, Ok(()));
    assert_names(&events[0].update.as_ref().unwrap().change, 5_000);
}

#[test]
fn an_event_is_read_the_same_in_pieces_of_any_size() {
    let text = format!(
        r#" {{ "more": {{"targets":[{{"x":1}}],"a\"b]":"}}"}}, "index" : 9, "endpoints" : {{ "targets" : [ {} , {} ] , "all" : false }} }} "#,
        target(1, "terminating"),
        target(2, "terminated")
    );
    let whole = Update::read(&text, &names()).unwrap();
    assert_eq!((whole.index, whole.change.kind), (9, MembershipKind::Delta));
    let states: Vec<EngineState> = whole.change.targets.iter().map(|t| t.entry.state).collect();
    assert_eq!(states, [EngineState::Draining, EngineState::Gone]);
    let body = format!(":hi\r\nretry: 5\nid: 9\r\nevent: x\ndata: {text}\r\n\r\n:bye\n").into_bytes();
    for piece in 1..body.len() {
        let (events, ended) = read(&body, false, piece);
        assert_eq!((ended, events.len()), (Ok(()), 1), "pieces of {piece}");
        assert_eq!((events[0].number, events[0].update.as_ref()), (Some(9), Ok(&whole)), "pieces of {piece}");
    }
    // Data in several lines, with the id after it.
    let lines: Vec<String> = text.split(" , ").map(|part| format!("data:{part}\n")).collect();
    let body = format!("{}data: ,\nid:9\n\n", lines[0]) + &format!("data:{text}\nid:9\n\n");
    let (events, _) = read(body.as_bytes(), false, 11);
    assert!(matches!(events[0].update, Err(ListError::Invalid(_))), "cut between two entries");
    assert_eq!((events[1].number, events[1].update.as_ref()), (Some(9), Ok(&whole)));
}

#[test]
fn an_invalid_event_does_not_affect_the_next_one() {
    let (one, two) = (target(1, "in_service"), target(2, "in_service"));
    let with = |targets: &str| format!(r#"{{"index":3,"endpoints":{{"all":true,"targets":{targets}}}}}"#);
    let invalid = [
        with(&format!("[{one} {two}]")),
        with(&format!("[{one},,{two}]")),
        with(&format!("[,{one}]")),
        with(&format!("[{one},]")),
        with(&format!("[{one},7]")),
        with(&format!("[{one}")),
        with(&format!("[{one}]]")),
        with(&format!("[{}]", one.replace("in_service", "dozing"))),
        with(&format!("[{}]", one.replace("uid", "id"))),
        with(&format!(r#"[{one}],"targets":[{two}]"#)),
        with(&format!("[{one}]")).replace("\"index\":3,", ""),
        format!("{} x", with(&format!("[{one}]"))),
        list(3, 40)[..2_000].to_owned(),
    ];
    for text in &invalid {
        let body = event(3, text) + &event(4, &list(4, 2));
        let (events, ended) = read(body.as_bytes(), false, 100);
        assert_eq!((ended, events.len()), (Ok(()), 2), "{text}");
        assert!(matches!(&events[0].update, Err(ListError::Invalid(_))), "{text}");
        assert_names(&events[1].update.as_ref().unwrap().change, 2);
    }
}

#[test]
fn the_error_of_an_invalid_event_is_truncated() {
    let text = list(3, 1).replace("in_service", &"é".repeat(20_000));
    let (events, _) = read(event(3, &text).as_bytes(), false, 1_000);
    let Err(ListError::Invalid(why)) = &events[0].update else { panic!("spoilt") };
    assert!(why.len() < 200, "{} bytes", why.len());
}

#[test]
fn the_bounds_scale_with_the_memory_limit() {
    let (small, large) = (ListBound::of(32.0), ListBound::of(320.0));
    assert!(small.engines >= 30_000, "{small:?}");
    // Engines of these tests have about 200 bytes.
    assert!(small.event_bytes > 30_000 * 200, "{small:?}");
    let ten = |a: usize, b: usize| assert!(b.abs_diff(a * 10) <= a, "{a} and {b}");
    ten(small.engines, large.engines);
    ten(small.event_bytes, large.event_bytes);
    ten(small.response_bytes, large.response_bytes);
    ten(small.entry_bytes, large.entry_bytes);
    ten(small.file_bytes, large.file_bytes);
    assert_eq!(ListBound::of(f64::NAN).engines, 0);
}

#[test]
fn an_endless_line_of_any_field_is_rejected_at_the_bound() {
    let limit = ListBound::default().event_bytes;
    for line in ["data: ", "data: {\"index\":3,\"endpoints\":{\"targets\":[", ":", "id: ", "x", "event:"] {
        let mut body = line.as_bytes().to_vec();
        body.resize(limit + 2_000, if line.ends_with('[') { b' ' } else { b'1' });
        let (events, ended) = read(&body, false, 50_000);
        let Err(SourceError::List(ListError::TooLong { bytes, limit: reported, .. })) = ended else {
            panic!("{line}: {ended:?}")
        };
        assert!(
            events.is_empty() && reported == limit && bytes > limit && bytes <= limit + 50_000,
            "{line}: {bytes}"
        );
    }
}

#[test]
fn a_list_with_more_engines_than_the_bound_is_rejected() {
    let limit = ListBound::default().engines;
    let (events, ended) = read(event(3, &list(3, limit + 1)).as_bytes(), false, 65_536);
    assert!(events.is_empty());
    let Err(SourceError::List(ListError::TooMany { bytes, limit: reported })) = ended else {
        panic!("{ended:?}")
    };
    assert!(reported == limit && bytes > limit * 150);
    let (events, ended) = read(event(3, &list(3, limit)).as_bytes(), false, 65_536);
    assert_eq!((events.len(), ended), (1, Ok(())));
}
