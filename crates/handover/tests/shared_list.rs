//! Two or three processes of a router share the order of their serial requests.

use marljunction_control::interface::{ColdSend, EngineId, KeyTurn, RequestId};
use marljunction_core::repeat_guard::UsedName;
use marljunction_core::serial::SerialChange;
use marljunction_handover::{Machine, Table, Told, ORPHANED_ATTEMPT_NS};

mod common;
use common::{finished, process, taken, Directory, MS, OVER_BY_NS, T0};

#[test]
fn a_request_waits_for_earlier_ones_of_its_key_at_another_process() {
    let directory = Directory::new("waits");
    let (mut old, mut new) = (directory.open(1), directory.open(2));
    assert_eq!(old.exchange(T0, vec![taken(1, 5)]), [(RequestId(1), KeyTurn::From(0))]);
    assert_eq!(old.exchange(T0, vec![taken(2, 5)]), [(RequestId(2), KeyTurn::From(0))]);
    let turns = new.exchange(T0, vec![taken(1, 5), taken(2, 6)]);
    assert_eq!(turns, [(RequestId(1), KeyTurn::Waiting), (RequestId(2), KeyTurn::From(0))]);
    old.exchange(T0 + MS, vec![finished(1, 5, 0)]);
    assert_eq!(new.exchange(T0 + 10 * MS, vec![]), [], "one is left");
    old.exchange(T0 + 11 * MS, vec![finished(2, 5, T0 + 100 * MS)]);
    let turns = new.exchange(T0 + 20 * MS, vec![]);
    assert_eq!(turns, [(RequestId(1), KeyTurn::From(T0 + 100 * MS))]);
}

#[test]
fn the_old_process_waits_for_earlier_ones_of_the_new_one() {
    let directory = Directory::new("reverse");
    let (mut old, mut new) = (directory.open(1), directory.open(2));
    assert_eq!(new.exchange(T0, vec![taken(1, 5)]), [(RequestId(1), KeyTurn::From(0))]);
    assert_eq!(old.exchange(T0, vec![taken(7, 5)]), [(RequestId(7), KeyTurn::Waiting)]);
    new.exchange(T0 + MS, vec![finished(1, 5, 0)]);
    assert_eq!(old.exchange(T0 + 10 * MS, vec![]), [(RequestId(7), KeyTurn::From(0))]);
}

#[test]
fn a_pause_of_a_finished_request_holds_for_the_other_process() {
    let directory = Directory::new("pause");
    let (mut old, mut new) = (directory.open(1), directory.open(2));
    old.exchange(T0, vec![taken(1, 5)]);
    old.exchange(T0, vec![finished(1, 5, T0 + 500 * MS)]);
    let turns = new.exchange(T0 + 100 * MS, vec![taken(1, 5)]);
    assert_eq!(turns, [(RequestId(1), KeyTurn::From(T0 + 500 * MS))]);
}

/// Guards against a pause that a step of the system clock between two starts shortens.
#[test]
fn a_pause_holds_between_processes_whose_clocks_differ() {
    let directory = Directory::new("clocks");
    let ahead_ns = 10_000 * MS;
    let machine = |epoch_ns| Machine { epoch_ns, boot: "this".into() };
    let (mut old, mut new) = (directory.open_at(1, machine(0)), directory.open_at(2, machine(ahead_ns)));
    old.exchange(T0, vec![taken(1, 5)]);
    old.exchange(T0, vec![finished(1, 5, T0 + 500 * MS)]);
    let turns = new.exchange(T0 + ahead_ns + 100 * MS, vec![taken(1, 5)]);
    assert_eq!(turns, [(RequestId(1), KeyTurn::From(T0 + ahead_ns + 500 * MS))]);
    let mut rebooted = directory.open_at(3, Machine { epoch_ns: 0, boot: "next".into() });
    assert_eq!(rebooted.exchange(T0, vec![taken(1, 5)]), [(RequestId(1), KeyTurn::From(0))]);
}

#[test]
fn only_the_first_request_of_an_ended_process_pauses_its_key() {
    let directory = Directory::new("ended");
    let (mut old, mut new) = (directory.open(1), directory.open(2));
    old.exchange(T0, vec![taken(1, 5), taken(2, 5), taken(3, 6)]);
    new.exchange(T0, vec![taken(1, 5), taken(2, 6)]);
    drop(old);
    let resume_ns = T0 + MS * 300 + ORPHANED_ATTEMPT_NS;
    let turns = new.exchange(T0 + 300 * MS, vec![]);
    let expected = [1, 2].map(|number| (RequestId(number), KeyTurn::From(resume_ns)));
    assert_eq!(turns, expected);
    drop(new);
    let turns = directory.open(3).exchange(T0 + 400 * MS, vec![taken(1, 7)]);
    assert_eq!(turns, [(RequestId(1), KeyTurn::From(0))], "another key is free after a restart");
}

#[test]
fn a_suspended_process_blocks_a_key_only_until_its_requests_must_be_over() {
    let directory = Directory::new("suspended");
    let (mut old, mut new) = (directory.open(1), directory.open(2));
    old.exchange(T0, vec![taken(1, 5)]);
    let later = SerialChange::Taken { request: RequestId(1), key: 5, over_by_ns: OVER_BY_NS + 500 * MS };
    assert_eq!(new.exchange(T0, vec![later]), [(RequestId(1), KeyTurn::Waiting)]);
    assert_eq!(new.exchange(OVER_BY_NS - MS, vec![]), []);
    assert_eq!(new.exchange(OVER_BY_NS + 10 * MS, vec![]), [(RequestId(1), KeyTurn::From(0))]);
}

/// Guards against a process that is suspended while it holds the lock, and suspends the other.
#[test]
fn a_held_lock_delays_the_turn_without_blocking() {
    let directory = Directory::new("locked");
    let mut new = directory.open(2);
    let lock = directory.lock();
    assert_eq!(new.exchange(T0, vec![taken(1, 5)]), []);
    assert_eq!(new.exchange(T0 + MS, vec![]), []);
    drop(lock);
    assert_eq!(new.exchange(T0 + 2 * MS, vec![]), [(RequestId(1), KeyTurn::From(0))]);
}

#[test]
fn without_its_directory_a_process_keeps_the_order_that_it_knows() {
    let directory = Directory::new("gone");
    let (mut old, mut new) = (directory.open(1), directory.open(2));
    old.exchange(T0, vec![taken(1, 5)]);
    new.exchange(T0, vec![taken(1, 5)]);
    directory.remove();
    let turns = new.exchange(T0 + 10 * MS, vec![taken(2, 6), taken(3, 5)]);
    assert_eq!(turns, [(RequestId(2), KeyTurn::From(0)), (RequestId(3), KeyTurn::Waiting)]);
}

#[test]
fn a_damaged_list_starts_anew_and_one_of_another_format_is_kept() {
    let directory = Directory::new("damaged");
    let mut new = directory.open(1);
    new.exchange(T0, vec![]);
    std::fs::write(directory.table(), "{").unwrap();
    assert_eq!(new.exchange(T0, vec![taken(1, 5)]), [(RequestId(1), KeyTurn::From(0))]);
    let other =
        r#"{"version":2,"processes":[],"requests":[],"stopping":[],"pauses":{},"cold_sends":[],"boot":""}"#;
    std::fs::write(directory.table(), other).unwrap();
    assert_eq!(new.exchange(T0, vec![taken(2, 5)]), [(RequestId(2), KeyTurn::From(0))]);
    assert_eq!(std::fs::read_to_string(directory.table()).unwrap(), other);
}

#[test]
fn files_of_ended_processes_are_removed() {
    let directory = Directory::new("files");
    for number in 1..=5 {
        directory.open(number).exchange(T0, vec![taken(1, 5)]);
    }
    // The list, its lock, and the file of the last process.
    assert_eq!(directory.files(), 3);
}

#[test]
fn requests_keep_their_place_when_a_process_repeats_them() {
    let (first, second) = (process(1), process(2));
    let mut table = Table::new(String::new());
    let of = |process, request| common::entry(process, request, 5);
    let told = |open: &[_]| Told { open: open.to_vec(), ..Told::default() };
    table.update(first, &told(&[of(first, 1)]));
    table.update(second, &told(&[of(second, 1)]));
    table.update(first, &told(&[of(first, 1), of(first, 2)]));
    assert_eq!(table.turns(second), [(RequestId(1), KeyTurn::Waiting)]);
    let turns = [(RequestId(1), KeyTurn::From(0)), (RequestId(2), KeyTurn::Waiting)];
    assert_eq!(table.turns(first), turns);
}

#[test]
fn the_oldest_process_that_is_not_stopping_has_the_reserve() {
    let directory = Directory::new("reserve");
    let (mut old, mut new) = (directory.open(1), directory.open(2));
    old.exchange(T0, vec![]);
    assert!(old.has_reserve());
    new.exchange(T0, vec![]);
    old.exchange(T0 + 250 * MS, vec![]);
    assert_eq!((old.has_reserve(), new.has_reserve()), (true, false));
    old.begin_stop();
    old.exchange(T0 + 260 * MS, vec![]);
    new.exchange(T0 + 270 * MS, vec![]);
    assert_eq!((old.has_reserve(), new.has_reserve()), (false, true));
    drop(old);
    new.begin_stop();
    new.exchange(T0 + 500 * MS, vec![]);
    assert!(new.has_reserve(), "it has no successor");
}

#[test]
fn work_on_cold_engines_is_known_to_the_other_process_while_it_counts() {
    let directory = Directory::new("cold");
    let (mut old, mut new) = (directory.open(1), directory.open(2));
    let send = |engine, until_ms| ColdSend {
        engine: EngineId(engine),
        need_ns: 7,
        lane: 1,
        counts_until_ns: T0 + until_ms * MS,
    };
    old.tell_cold_sends(&[send(1, 500), send(2, 900)]);
    old.exchange(T0, vec![]);
    new.exchange(T0, vec![]);
    assert_eq!(new.new_cold_sends_elsewhere(), Some(vec![send(1, 500), send(2, 900)]));
    assert_eq!(new.new_cold_sends_elsewhere(), None);
    // It counts on after the end of the process that sent it.
    drop(old);
    new.exchange(T0 + 600 * MS, vec![]);
    assert_eq!(new.new_cold_sends_elsewhere(), Some(vec![send(2, 900)]));
    new.exchange(T0 + 1_000 * MS, vec![]);
    assert_eq!(new.new_cold_sends_elsewhere(), Some(vec![]));
}

/// Guards against: a load runs again at the new process after the old one, which had it, has ended.
#[test]
fn names_that_must_not_run_again_outlast_their_process() {
    let directory = Directory::new("names");
    let (mut old, mut new) = (directory.open(1), directory.open(2));
    let used = |name: &str, until_ns| UsedName { name: name.into(), until_ns };
    old.exchange(T0, vec![]);
    new.exchange(T0, vec![]);
    old.tell_names(vec![used("a", T0 + 100 * MS), used("b", T0 + 500 * MS)]);
    old.exchange(T0 + MS, vec![]);
    new.exchange(T0 + 10 * MS, vec![]);
    let told = vec![used("a", T0 + 100 * MS), used("b", T0 + 500 * MS)];
    assert_eq!(new.new_names_elsewhere(), Some(told));
    assert_eq!(new.new_names_elsewhere(), None, "unchanged");
    assert_eq!(old.new_names_elsewhere(), None, "its own");
    drop(old);
    new.exchange(T0 + 200 * MS, vec![]);
    assert_eq!(new.new_names_elsewhere(), Some(vec![used("b", T0 + 500 * MS)]));
    new.exchange(T0 + 600 * MS, vec![]);
    assert_eq!(new.new_names_elsewhere(), Some(vec![]));
}
