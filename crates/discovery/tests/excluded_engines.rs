//! Checks how excluded engines change what the decision module sees.

use marljunction_control::interface::{EngineEntry, EngineState, MembershipKind};
use marljunction_discovery::excluded_engines::{parse_names, ExcludedEngines, ExclusionError, MAX_EXCLUDED};
use marljunction_discovery::{engine_id, Change, Target};

fn target(name: &str, state: EngineState) -> Target {
    let entry = EngineEntry { engine: engine_id(name), state, started_ns: Some(5), ..EngineEntry::default() };
    Target { entry, address: "127.0.0.1:4100".parse().unwrap() }
}

fn list(kind: MembershipKind, all: &[(&str, EngineState)]) -> Change {
    Change { kind, targets: all.iter().map(|(name, state)| target(name, *state)).collect() }
}

fn states(change: &Change) -> Vec<EngineState> {
    change.targets.iter().map(|t| t.entry.state).collect()
}

#[test]
fn an_excluded_engine_drains_until_it_is_enabled_again() {
    let mut exclusions = ExcludedEngines::new();
    exclusions.filter_change(list(
        MembershipKind::Full,
        &[("s-1", EngineState::Ready), ("s-2", EngineState::Ready)],
    ));
    let change = exclusions.disable("s-1", false).unwrap().expect("a change for the module");
    assert_eq!((change.kind, states(&change)), (MembershipKind::Delta, vec![EngineState::Draining]));
    let relisted = list(MembershipKind::Full, &[("s-1", EngineState::Ready), ("s-2", EngineState::Ready)]);
    assert_eq!(states(&exclusions.filter_change(relisted)), [EngineState::Draining, EngineState::Ready]);
    let delta = exclusions.filter_change(list(MembershipKind::Delta, &[("s-1", EngineState::Ready)]));
    assert_eq!(states(&delta), [EngineState::Draining]);
    // Excluded twice, enabled once.
    assert_eq!(exclusions.disable("s-1", false), Ok(None));
    let enabled = exclusions.enable("s-1", 1_000).unwrap().expect("a change for the module");
    assert_eq!(states(&enabled), [EngineState::Ready]);
    assert_eq!(enabled.targets[0].entry.started_ns, Some(1_000), "it returns cold");
    assert!(!exclusions.is_excluded(engine_id("s-1")));
    let delta = exclusions.filter_change(list(MembershipKind::Delta, &[("s-1", EngineState::Ready)]));
    assert_eq!(states(&delta), [EngineState::Ready]);
}

#[test]
fn an_unknown_or_malformed_id_is_an_error() {
    let mut exclusions = ExcludedEngines::new();
    exclusions.filter_change(list(MembershipKind::Full, &[("s-1", EngineState::Ready)]));
    assert_eq!(exclusions.disable("s-9", false), Err(ExclusionError::Unknown));
    assert_eq!(exclusions.enable("s-9", 1), Err(ExclusionError::Unknown));
    assert_eq!(exclusions.disable("s 1", false), Err(ExclusionError::Malformed));
    assert_eq!(exclusions.disable(&"s".repeat(200), false), Err(ExclusionError::Malformed));
    // Enabling an engine that is not excluded succeeds without a change.
    assert_eq!(exclusions.enable("s-1", 1), Ok(None));
    // No longer listed.
    exclusions.filter_change(list(MembershipKind::Full, &[]));
    assert_eq!(exclusions.disable("s-1", false), Err(ExclusionError::Unknown));
}

#[test]
fn an_exclusion_outlasts_the_removal_of_its_engine_from_the_list() {
    let mut exclusions = ExcludedEngines::new();
    exclusions.filter_change(list(MembershipKind::Full, &[("s-1", EngineState::Ready)]));
    exclusions.disable("s-1", false).unwrap();
    exclusions.filter_change(list(MembershipKind::Delta, &[("s-1", EngineState::Gone)]));
    exclusions.filter_change(list(MembershipKind::Full, &[]));
    let relisted = exclusions.filter_change(list(MembershipKind::Full, &[("s-1", EngineState::Ready)]));
    assert_eq!(states(&relisted), [EngineState::Draining]);
    let gone = exclusions.filter_change(list(MembershipKind::Delta, &[("s-1", EngineState::Gone)]));
    assert_eq!(states(&gone), [EngineState::Gone], "a removed engine is reported as gone");
}

#[test]
fn exclusions_pass_to_a_successor_process_as_text() {
    let mut exclusions = ExcludedEngines::new();
    exclusions.filter_change(list(
        MembershipKind::Full,
        &[("s-1", EngineState::Ready), ("s-2", EngineState::Ready)],
    ));
    exclusions.disable("s-2", false).unwrap();
    exclusions.disable("s-1", false).unwrap();
    let text = exclusions.to_text();
    // The successor reads the exclusions before any list.
    let mut successor = ExcludedEngines::new();
    assert!(successor.replace_all(parse_names(&text), 7).is_empty(), "not listed yet: no changes");
    let listed = successor.filter_change(list(
        MembershipKind::Full,
        &[("s-1", EngineState::Ready), ("s-3", EngineState::Ready)],
    ));
    assert_eq!(states(&listed), [EngineState::Draining, EngineState::Ready]);
    // The other process has enabled s-1.
    let changes = successor.replace_all(parse_names("s-2\n"), 9);
    assert_eq!(changes.len(), 1);
    assert_eq!(
        (states(&changes[0]), changes[0].targets[0].entry.started_ns),
        (vec![EngineState::Ready], Some(9))
    );
    assert!(successor.is_excluded(engine_id("s-2")) && !successor.is_excluded(engine_id("s-1")));
    assert_eq!(parse_names("s-1\n\nnot an id\n s-2 \n"), ["s-1", "s-2"]);
}

#[test]
fn the_number_of_exclusions_is_bounded() {
    let mut exclusions = ExcludedEngines::new();
    let names: Vec<String> = (0..MAX_EXCLUDED + 10).map(|n| format!("s-{n}")).collect();
    exclusions.replace_all(names.iter().map(String::as_str), 1);
    assert_eq!(exclusions.names().count(), MAX_EXCLUDED);
    assert_eq!(exclusions.disable("s-extra", true), Err(ExclusionError::Full));
}

#[test]
fn fleet_and_local_exclusions_are_independent() {
    let mut exclusions = ExcludedEngines::new();
    exclusions
        .filter_change(list(MembershipKind::Full, &[("e1", EngineState::Ready), ("e2", EngineState::Ready)]));
    let states = |changes: Vec<Change>| -> Vec<EngineState> { changes.iter().flat_map(states).collect() };
    assert_eq!(
        states(exclusions.set_fleet_excluded(["e1", "nobody"].into_iter(), 5)),
        [EngineState::Draining]
    );
    assert!(exclusions.is_excluded(engine_id("e1")) && exclusions.is_excluded(engine_id("nobody")));
    // A local exclusion adds nothing while the fleet excludes the engine, and outlasts that
    // exclusion.
    assert_eq!(exclusions.disable("e1", false), Ok(None));
    assert_eq!(exclusions.enable("e1", 6), Ok(None));
    assert_eq!(exclusions.disable("e1", false), Ok(None));
    assert_eq!(exclusions.set_fleet_excluded(std::iter::empty(), 7), Vec::new());
    assert!(exclusions.is_excluded(engine_id("e1")));
    assert_eq!(states(exclusions.enable("e1", 8).unwrap().into_iter().collect()), [EngineState::Ready]);
    // Only local exclusions are written.
    exclusions.disable("e2", false).unwrap();
    exclusions.set_fleet_excluded(["e1"].into_iter(), 9);
    assert_eq!(exclusions.to_text(), "e2\n");
    // A list that reports the engines as ready does not end their exclusion, and they return cold.
    let passed = exclusions
        .filter_change(list(MembershipKind::Full, &[("e1", EngineState::Ready), ("e2", EngineState::Ready)]));
    assert!(passed.targets.iter().all(|t| t.entry.state == EngineState::Draining));
    let enabled = exclusions.set_fleet_excluded(std::iter::empty(), 10);
    assert_eq!(enabled[0].targets[0].entry.started_ns, Some(10));
}
