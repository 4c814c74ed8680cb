//! The kept list: what is written is read again, and what can't be believed is refused whole.

use marljunction_control::interface::*;
use marljunction_discovery::kept::{decode, Kept, Refusal, FILE_MOST};
use marljunction_discovery::{Change, Target};
use marljunction_settings::Names;

const S: u64 = 1_000_000_000;
const NOW: u64 = 1_796_000_000 * S;

fn names() -> Names {
    Names { zones: vec!["a".into(), "b".into()], kinds: vec!["std".into()], ..Names::default() }
}

fn target(id: u64, state: EngineState) -> Target {
    let entry = EngineEntry {
        engine: EngineId(id),
        zone: Some(ZoneId(1)),
        kind: Some(KindId(0)),
        cell: Some(2),
        state,
        weight: 4.0,
        started_ns: Some(NOW - 5 * S),
    };
    Target { entry, address: format!("127.0.0.1:{}", 4_000 + id).parse().unwrap() }
}

fn change(kind: MembershipKind, targets: Vec<Target>) -> Change {
    Change { kind, targets }
}

fn file() -> String {
    let mut kept = Kept::default();
    kept.change(&change(
        MembershipKind::Full,
        vec![target(1, EngineState::Ready), target(2, EngineState::Ready), target(3, EngineState::Ready)],
    ));
    kept.change(&change(
        MembershipKind::Delta,
        vec![target(2, EngineState::Draining), target(3, EngineState::Gone)],
    ));
    kept.encode(&names(), NOW)
}

#[test]
fn what_is_written_is_read_again_with_its_age() {
    let (read, age) = decode(file().as_bytes(), &names(), NOW + 90 * S, 3_600 * S).unwrap();
    assert_eq!(age, 90 * S);
    assert_eq!(
        read,
        change(MembershipKind::Full, vec![target(1, EngineState::Ready), target(2, EngineState::Draining)])
    );
    // Names hold, numbers do not: the settings of the next start may list zones in another order.
    let turned = Names { zones: vec!["b".into(), "a".into()], ..names() };
    let (read, _) = decode(file().as_bytes(), &turned, NOW, 3_600 * S).unwrap();
    assert_eq!(read.targets[0].entry.zone, Some(ZoneId(0)));
    assert_eq!(decode(file().as_bytes(), &names(), NOW - 50 * S, S).unwrap().1, 0, "a clock that went back");
}

#[test]
fn a_file_cut_anywhere_or_with_any_bit_flipped_is_refused() {
    let whole = file().into_bytes();
    for size in 0..whole.len() {
        let refused = decode(&whole[..size], &names(), NOW, 3_600 * S).unwrap_err();
        assert!(matches!(refused, Refusal::NotAList | Refusal::Spoilt), "{size} bytes: {refused:?}");
    }
    for at in 0..whole.len() {
        for bit in 0..8 {
            let mut flipped = whole.clone();
            flipped[at] ^= 1 << bit;
            assert!(decode(&flipped, &names(), NOW, 3_600 * S).is_err(), "byte {at}, bit {bit}");
        }
    }
}

#[test]
fn other_versions_old_lists_and_huge_files_are_told_apart() {
    let read = |text: &str| decode(text.as_bytes(), &names(), NOW, 60 * S).unwrap_err();
    assert_eq!(read(""), Refusal::NotAList);
    assert_eq!(read("{}\n"), Refusal::NotAList);
    assert_eq!(read(&file().replacen(" 1 ", " 2 ", 1)), Refusal::Version(2));
    assert_eq!(read(&file().replacen(" 1 ", " 0 ", 1)), Refusal::Version(0));
    assert_eq!(decode(file().as_bytes(), &names(), NOW + 61 * S, 60 * S), Err(Refusal::Old(61 * S)));
    let huge = vec![b'x'; FILE_MOST as usize + 1];
    assert_eq!(decode(&huge, &names(), NOW, S), Err(Refusal::Huge(FILE_MOST + 1)));
    let mut many = Kept::default();
    many.change(&change(MembershipKind::Full, (0..10_001).map(|i| target(i, EngineState::Ready)).collect()));
    let text = many.encode(&names(), NOW);
    assert_eq!(decode(text.as_bytes(), &names(), NOW, S), Err(Refusal::Huge(10_001)));
}

#[test]
fn a_list_is_written_a_second_after_it_changed_at_most_and_again_as_it_ages() {
    let mut kept = Kept::default();
    assert!(!kept.due(NOW), "nothing to write yet");
    kept.change(&change(MembershipKind::Full, vec![target(1, EngineState::Ready)]));
    assert!(kept.due(NOW) && !kept.due(NOW + 9 * S) && kept.due(NOW + 10 * S));
    kept.change(&change(MembershipKind::Delta, vec![target(2, EngineState::Ready)]));
    assert!(!kept.due(NOW + 10 * S + 1) && kept.due(NOW + 11 * S));
    kept.change(&change(MembershipKind::Full, vec![]));
    assert!(!kept.due(NOW + 60 * S), "a list that names no engine does not push out one that does");
}
