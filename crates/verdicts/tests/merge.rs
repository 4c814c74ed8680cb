//! Words and evidence merge to the same whatever the order, and nothing that ended comes back.

use marljunction_verdicts::evidence::{Evidence, Finding, Table};
use marljunction_verdicts::stamp::{Stamp, StampClock};
use marljunction_verdicts::words::{Merged, Word, Words};
use proptest::prelude::*;

const S: u64 = 1_000_000_000;

fn word() -> impl Strategy<Value = (String, Word)> {
    let name = prop::sample::select(vec!["a", "b", "c"]);
    // Few values, so that equal stamps come too.
    (name, 0..4u64, 0..2u32, 0..2u32, any::<bool>()).prop_map(|(name, ms, count, router, out)| {
        (name.to_owned(), Word { stamp: Stamp { ms, count, router }, out })
    })
}

fn evidence() -> impl Strategy<Value = Evidence> {
    (0..3u64, 0..3u32, 0..2u64, 0..4u32).prop_map(|(engine, witness, life, number)| Evidence {
        engine,
        started_ms: 1,
        witness,
        life,
        number,
        zone: 0,
        // One that speaks the truth says one thing under one number.
        finding: [Finding::Well, Finding::Silent, Finding::Spoils][(number as usize) % 3],
        since_ms: 5,
        age_ms: 5,
    })
}

fn words(all: &[(String, Word)]) -> Words {
    let mut words = Words::default();
    for (name, word) in all {
        words.merge(name, *word);
    }
    words
}

fn table(all: &[Evidence]) -> Table {
    let mut table = Table::default();
    for said in all {
        table.merge(60 * S, said, 30 * S);
    }
    table
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn any_order_and_any_repeats_come_to_the_same(
        all in prop::collection::vec(word(), 0..12).prop_flat_map(|all| (Just(all.clone()), Just(all).prop_shuffle())),
        seen in prop::collection::vec(evidence(), 0..12).prop_flat_map(|all| (Just(all.clone()), Just(all).prop_shuffle())),
    ) {
        let twice: Vec<_> = all.1.iter().chain(&all.0).cloned().collect();
        prop_assert_eq!(words(&all.0), words(&all.1));
        prop_assert_eq!(words(&all.0), words(&twice));
        let twice: Vec<_> = seen.1.iter().chain(&seen.0).copied().collect();
        prop_assert_eq!(table(&seen.0), table(&seen.1));
        prop_assert_eq!(table(&seen.0), table(&twice));
    }

    #[test]
    fn what_was_merged_in_parts_is_as_if_it_were_merged_at_once(a in prop::collection::vec(word(), 0..8), b in prop::collection::vec(word(), 0..8)) {
        let mut one = words(&a);
        for (name, word) in words(&b).iter() {
            one.merge(name, word);
        }
        let all: Vec<_> = a.iter().chain(&b).cloned().collect();
        prop_assert_eq!(one, words(&all));
    }

    #[test]
    fn a_word_that_follows_upon_another_wins_whatever_the_clocks_say(ahead in 0..59_000u64, behind in 0..59_000u64) {
        let (mut here, mut there) = (StampClock::new(1), StampClock::new(2));
        let out = here.next((100_000 + ahead) * 1_000_000);
        prop_assert!(there.heard((100_000 + ahead - ahead.min(behind)) * 1_000_000, out));
        prop_assert!(there.next(50_000 * 1_000_000) > out);
    }

    #[test]
    fn words_are_kept_as_text(all in prop::collection::vec(word(), 0..12)) {
        let all = words(&all);
        prop_assert_eq!(Words::of_text(&all.to_text()), all);
    }
}

#[test]
fn a_clock_that_is_far_ahead_is_not_believed() {
    let mut clock = StampClock::new(1);
    assert!(!clock.heard(S, Stamp { ms: 3_600_000, count: 0, router: 2 }));
    assert!(clock.next(S).ms < 2_000);
}

#[test]
fn ten_thousand_words_and_no_more_are_kept_and_ends_make_room() {
    let mut words = Words::default();
    let word = |ms, out| Word { stamp: Stamp { ms, count: 0, router: 0 }, out };
    for n in 0..10_000u64 {
        assert_eq!(words.merge(&format!("e{n}"), word(n, n != 7)), Merged::News);
    }
    assert_eq!(words.merge("one-more", word(20_000, true)), Merged::News, "in place of an end");
    assert_eq!(words.get("e7"), None);
    assert_eq!(words.merge("and-another", word(20_000, true)), Merged::Refused);
    assert_eq!(words.merge("a b", word(1, true)), Merged::Refused, "not a name");
    assert_eq!(Words::of_text(&words.to_text()).len(), 10_000);
}
