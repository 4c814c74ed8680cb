//! Checks which of several engines at one address the program sends work to.

use marljunction_control::interface::{EngineEntry, EngineState, MembershipKind};
use marljunction_discovery::address_owners::AddressOwners;
use marljunction_discovery::listed_engines::ListedEngines;
use marljunction_discovery::{engine_id, Change, Target};

const NOW_NS: u64 = 1_000;
const READY: EngineState = EngineState::Ready;
const DRAINING: EngineState = EngineState::Draining;
const GONE: EngineState = EngineState::Gone;

/// Name, port, state and start of an engine.
type Entry = (&'static str, u16, EngineState, u64);

/// The list as the program sees it.
#[derive(Default)]
struct List {
    owners: AddressOwners,
    listed: ListedEngines,
}

impl List {
    fn apply(&mut self, kind: MembershipKind, entries: &[Entry]) -> &mut List {
        let target = |(name, port, state, started_ns): &Entry| Target {
            entry: EngineEntry {
                engine: engine_id(name),
                state: *state,
                started_ns: Some(*started_ns).filter(|ns| *ns > 0),
                ..EngineEntry::default()
            },
            address: ([127, 0, 0, 1], *port).into(),
        };
        let change = Change { kind, targets: entries.iter().map(target).collect() };
        let change = self.owners.filter_change(&self.listed, change, NOW_NS);
        self.listed.apply(&change);
        self
    }

    fn full(&mut self, entries: &[Entry]) -> &mut List {
        self.apply(MembershipKind::Full, entries)
    }

    fn delta(&mut self, entries: &[Entry]) -> &mut List {
        self.apply(MembershipKind::Delta, entries)
    }

    /// State and start of an engine, as the program sees it.
    fn seen(&self, name: &str) -> Option<(EngineState, u64)> {
        let entry = self.listed.get(engine_id(name))?.entry;
        Some((entry.state, entry.started_ns.unwrap_or(0)))
    }
}

/// Guards against: work for an engine that has gone reaches the one that has its address now.
#[test]
fn an_engine_whose_address_another_one_has_taken_gets_no_work() {
    let mut list = List::default();
    list.full(&[("old", 1, READY, 0), ("other", 2, READY, 0)]).delta(&[("new", 1, READY, 0)]);
    assert_eq!(list.seen("old"), Some((DRAINING, 0)));
    assert_eq!(list.seen("new"), Some((READY, 0)));
    assert_eq!(list.seen("other"), Some((READY, 0)));
    // Also where the new one takes no work itself.
    list.delta(&[("new", 1, DRAINING, 0)]);
    assert_eq!((list.seen("old"), list.seen("new")), (Some((DRAINING, 0)), Some((DRAINING, 0))));
    list.delta(&[("old", 1, GONE, 0)]);
    assert_eq!((list.seen("old"), list.seen("new")), (None, Some((DRAINING, 0))));
}

#[test]
fn an_update_of_the_old_engine_does_not_take_the_address_back() {
    let mut list = List::default();
    list.full(&[("old", 1, READY, 0)]).delta(&[("new", 1, READY, 0)]).delta(&[("old", 1, READY, 0)]);
    assert_eq!((list.seen("old"), list.seen("new")), (Some((DRAINING, 0)), Some((READY, 0))));
    // The list comes whole, as after a reconnection.
    list.full(&[("new", 1, READY, 0), ("old", 1, READY, 0)]);
    assert_eq!((list.seen("old"), list.seen("new")), (Some((DRAINING, 0)), Some((READY, 0))));
    // Its process has started again there.
    list.delta(&[("old", 1, READY, 70)]);
    assert_eq!((list.seen("old"), list.seen("new")), (Some((READY, NOW_NS)), Some((DRAINING, 0))));
}

#[test]
fn the_old_engine_returns_cold_once_it_alone_names_its_address() {
    let mut list = List::default();
    list.full(&[("old", 1, READY, 0)]).delta(&[("new", 1, READY, 0)]).delta(&[("new", 1, GONE, 0)]);
    assert_eq!((list.seen("old"), list.seen("new")), (Some((READY, NOW_NS)), None));
    list.delta(&[("new", 1, READY, 0)]).delta(&[("new", 2, READY, 0)]);
    assert_eq!((list.seen("old"), list.seen("new")), (Some((READY, NOW_NS)), Some((READY, 0))));
    list.delta(&[("old", 2, READY, 0)]).delta(&[("new", 3, READY, 0)]);
    assert_eq!((list.seen("old"), list.seen("new")), (Some((READY, 0)), Some((READY, NOW_NS))));
    list.delta(&[("old", 3, READY, 0)]).full(&[("new", 3, READY, 0)]);
    assert_eq!((list.seen("old"), list.seen("new")), (None, Some((READY, NOW_NS))));
}

#[test]
fn a_whole_list_decides_by_start_and_leaves_equal_claims_alone() {
    let mut list = List::default();
    list.full(&[("late", 1, READY, 60), ("early", 1, READY, 50), ("a", 2, READY, 0), ("b", 2, READY, 0)]);
    assert_eq!((list.seen("late"), list.seen("early")), (Some((READY, 60)), Some((DRAINING, 50))));
    assert_eq!((list.seen("a"), list.seen("b")), (Some((READY, 0)), Some((READY, 0))));
}

#[test]
fn the_last_of_several_entries_in_a_change_counts() {
    let mut list = List::default();
    list.full(&[("old", 1, READY, 0)]).delta(&[("new", 1, READY, 0), ("new", 2, READY, 0)]);
    assert_eq!((list.seen("old"), list.seen("new")), (Some((READY, 0)), Some((READY, 0))));
    list.delta(&[("old", 1, GONE, 0), ("new", 1, READY, 0)]);
    assert_eq!((list.seen("old"), list.seen("new")), (None, Some((READY, 0))));
}
