//! Guards that overrides and evidence merge independently of order and repetition, and the limits
//! of stored overrides and clocks.

use marljunction_health::evidence::{Evidence, EvidenceTable, Finding};
use marljunction_health::overrides::{MergeOutcome, Override, Overrides};
use marljunction_health::version::{Version, VersionClock};
use proptest::prelude::*;

const S: u64 = 1_000_000_000;

fn entry() -> impl Strategy<Value = (String, Override)> {
    let name = prop::sample::select(vec!["a", "b", "c"]);
    // Few values, so that equal versions occur.
    (name, 0..4u64, 0..2u32, 0..2u32, any::<bool>()).prop_map(|(name, ms, count, router, excluded)| {
        (name.to_owned(), Override { version: Version { ms, count, router }, excluded })
    })
}

fn evidence() -> impl Strategy<Value = Evidence> {
    (0..3u64, 0..3u32, 0..2u64, 0..4u32).prop_map(|(engine, observer, incarnation, number)| Evidence {
        engine,
        started_ms: 1,
        observer,
        incarnation,
        number,
        zone: 0,
        // A correct observer uses each sequence number for one finding only.
        finding: [Finding::Well, Finding::Silent, Finding::Spoils][(number as usize) % 3],
        since_ms: 5,
        age_ms: 5,
    })
}

fn overrides(all: &[(String, Override)]) -> Overrides {
    let mut overrides = Overrides::default();
    for (name, entry) in all {
        overrides.merge(name, *entry);
    }
    overrides
}

fn table(all: &[Evidence]) -> EvidenceTable {
    let mut table = EvidenceTable::default();
    for report in all {
        table.merge(60 * S, report, 30 * S);
    }
    table
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn merging_is_independent_of_order_and_repetition(
        all in prop::collection::vec(entry(), 0..12).prop_flat_map(|all| (Just(all.clone()), Just(all).prop_shuffle())),
        reports in prop::collection::vec(evidence(), 0..12).prop_flat_map(|all| (Just(all.clone()), Just(all).prop_shuffle())),
    ) {
        let twice: Vec<_> = all.1.iter().chain(&all.0).cloned().collect();
        prop_assert_eq!(overrides(&all.0), overrides(&all.1));
        prop_assert_eq!(overrides(&all.0), overrides(&twice));
        let twice: Vec<_> = reports.1.iter().chain(&reports.0).copied().collect();
        prop_assert_eq!(table(&reports.0), table(&reports.1));
        prop_assert_eq!(table(&reports.0), table(&twice));
    }

    #[test]
    fn merging_two_sets_equals_merging_all_entries(a in prop::collection::vec(entry(), 0..8), b in prop::collection::vec(entry(), 0..8)) {
        let mut one = overrides(&a);
        for (name, entry) in overrides(&b).iter() {
            one.merge(name, entry);
        }
        let all: Vec<_> = a.iter().chain(&b).cloned().collect();
        prop_assert_eq!(one, overrides(&all));
    }

    #[test]
    fn a_version_issued_after_observing_another_is_later_despite_clock_skew(ahead in 0..59_000u64, behind in 0..59_000u64) {
        let (mut leading, mut lagging) = (VersionClock::new(1), VersionClock::new(2));
        let first = leading.next((100_000 + ahead) * 1_000_000);
        prop_assert!(lagging.observe((100_000 + ahead - ahead.min(behind)) * 1_000_000, first));
        prop_assert!(lagging.next(50_000 * 1_000_000) > first);
    }

    #[test]
    fn overrides_round_trip_through_text(all in prop::collection::vec(entry(), 0..12)) {
        let all = overrides(&all);
        prop_assert_eq!(Overrides::from_text(&all.to_text()), all);
    }
}

#[test]
fn a_version_too_far_ahead_is_rejected_and_does_not_advance_the_clock() {
    let mut clock = VersionClock::new(1);
    assert!(!clock.observe(S, Version { ms: 3_600_000, count: 0, router: 2 }));
    assert!(clock.next(S).ms < 2_000);
}

#[test]
fn overrides_are_bounded_and_inclusions_are_evicted_first() {
    let mut overrides = Overrides::default();
    let entry = |ms, excluded| Override { version: Version { ms, count: 0, router: 0 }, excluded };
    for n in 0..10_000u64 {
        assert_eq!(overrides.merge(&format!("e{n}"), entry(n, n != 7)), MergeOutcome::Updated);
    }
    assert_eq!(
        overrides.merge("one-more", entry(20_000, true)),
        MergeOutcome::Updated,
        "it replaces a re-inclusion"
    );
    assert_eq!(overrides.get("e7"), None);
    assert_eq!(overrides.merge("and-another", entry(20_000, true)), MergeOutcome::Rejected);
    assert_eq!(overrides.merge("a b", entry(1, true)), MergeOutcome::Rejected, "invalid name");
    assert_eq!(Overrides::from_text(&overrides.to_text()).len(), 10_000);
}
