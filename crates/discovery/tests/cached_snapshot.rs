//! Checks that a written snapshot is decoded unchanged, and that an invalid one is rejected as a
//! whole.

use marljunction_control::interface::*;
use marljunction_discovery::bound::ListBound;
use marljunction_discovery::cached_snapshot::{self, CachedSnapshot, DecodeError};
use marljunction_discovery::listed_engines::ListedEngines;
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
    Target { entry, address: format!("127.0.0.1:{}", 4_000 + id % 60_000).parse().unwrap() }
}

fn change(kind: MembershipKind, targets: Vec<Target>) -> Change {
    Change { kind, targets }
}

fn decode(bytes: &[u8], names: &Names, now: u64, max_age_ns: u64) -> Result<(Change, u64), DecodeError> {
    cached_snapshot::decode(bytes, names, now, max_age_ns, &ListBound::default())
}

fn encode(listed_engines: &ListedEngines) -> String {
    let mut out = std::io::Cursor::new(Vec::new());
    cached_snapshot::write(&mut out, listed_engines, &names(), NOW).unwrap();
    String::from_utf8(out.into_inner()).unwrap()
}

fn ready(engines: usize) -> Change {
    change(MembershipKind::Full, (0..engines as u64).map(|i| target(i, EngineState::Ready)).collect())
}

fn file() -> String {
    let mut listed_engines = ListedEngines::default();
    listed_engines.apply(&change(
        MembershipKind::Full,
        vec![target(1, EngineState::Ready), target(2, EngineState::Ready), target(3, EngineState::Ready)],
    ));
    listed_engines.apply(&change(
        MembershipKind::Delta,
        vec![target(2, EngineState::Draining), target(3, EngineState::Gone)],
    ));
    encode(&listed_engines)
}

#[test]
fn a_written_snapshot_is_decoded_with_its_age() {
    let (read, age) = decode(file().as_bytes(), &names(), NOW + 90 * S, 3_600 * S).unwrap();
    assert_eq!(age, 90 * S);
    assert_eq!(
        read,
        change(MembershipKind::Full, vec![target(1, EngineState::Ready), target(2, EngineState::Draining)])
    );
    // Zones are stored by name, as the settings of the next start may list them in another order.
    let reordered = Names { zones: vec!["b".into(), "a".into()], ..names() };
    let (read, _) = decode(file().as_bytes(), &reordered, NOW, 3_600 * S).unwrap();
    assert_eq!(read.targets[0].entry.zone, Some(ZoneId(0)));
    assert_eq!(decode(file().as_bytes(), &names(), NOW - 50 * S, S).unwrap().1, 0, "the clock was set back");
}

#[test]
fn a_truncated_file_or_one_with_a_flipped_bit_is_rejected() {
    let whole = file().into_bytes();
    for size in 0..whole.len() {
        let error = decode(&whole[..size], &names(), NOW, 3_600 * S).unwrap_err();
        assert!(
            matches!(error, DecodeError::NotASnapshot | DecodeError::ChecksumMismatch),
            "{size} bytes: {error:?}"
        );
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
fn unsupported_versions_and_files_over_a_limit_have_their_own_errors() {
    let read = |text: &str| decode(text.as_bytes(), &names(), NOW, 60 * S).unwrap_err();
    assert_eq!(read(""), DecodeError::NotASnapshot);
    assert_eq!(read("{}\n"), DecodeError::NotASnapshot);
    assert_eq!(read(&file().replacen(" 1 ", " 2 ", 1)), DecodeError::Version(2));
    assert_eq!(read(&file().replacen(" 1 ", " 0 ", 1)), DecodeError::Version(0));
    assert_eq!(decode(file().as_bytes(), &names(), NOW + 61 * S, 60 * S), Err(DecodeError::TooOld(61 * S)));
    let bound = ListBound::default();
    let huge = vec![b'x'; bound.file_bytes + 1];
    let limit = bound.file_bytes as u64;
    assert_eq!(decode(&huge, &names(), NOW, S), Err(DecodeError::TooLarge(limit + 1, limit)));
    let mut many = ListedEngines::default();
    many.apply(&ready(bound.engines + 1));
    assert_eq!(
        decode(encode(&many).as_bytes(), &names(), NOW, S),
        Err(DecodeError::TooManyEngines(bound.engines))
    );
}

#[test]
fn a_snapshot_of_30000_engines_survives_a_round_trip() {
    let mut listed_engines = ListedEngines::default();
    listed_engines.apply(&ready(30_000));
    let (read, _) = decode(encode(&listed_engines).as_bytes(), &names(), NOW, S).unwrap();
    assert_eq!(read.targets, listed_engines.iter().collect::<Vec<_>>());
    assert_eq!(read.targets.len(), 30_000);
}

#[test]
fn a_snapshot_over_the_bound_is_not_written() {
    let bound = ListBound::of(1.0);
    let mut snapshot = CachedSnapshot::new(bound);
    assert!(!snapshot.due(NOW, bound.engines + 1) && snapshot.due(NOW + 10 * S, bound.engines));
}

#[test]
fn a_snapshot_is_written_within_a_second_of_a_change_and_refreshed_every_ten() {
    let mut snapshot = CachedSnapshot::new(ListBound::default());
    assert!(!snapshot.due(NOW, 0), "nothing to write yet");
    snapshot.changed();
    assert!(snapshot.due(NOW, 1) && !snapshot.due(NOW + 9 * S, 1) && snapshot.due(NOW + 10 * S, 1));
    snapshot.changed();
    assert!(!snapshot.due(NOW + 10 * S + 1, 2) && snapshot.due(NOW + 11 * S, 2));
    snapshot.changed();
    assert!(!snapshot.due(NOW + 60 * S, 0), "an empty list does not replace another one");
}
