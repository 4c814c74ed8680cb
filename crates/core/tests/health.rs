//! Verdicts given to the decision module, including repeats after changes of the engine list.

use marljunction_control::interface::{EngineEntry, EngineId, MembershipKind, Verdict};
use marljunction_core::health::FleetHealth;
use marljunction_health::evidence::{Evidence, Finding};
use marljunction_health::overrides::Overrides;
use marljunction_health::{HealthParams, Message, Node};

const S: u64 = 1_000_000_000;
const T0: u64 = 1_000 * S;
const ENGINE: EngineId = EngineId(5);

fn report(health: &mut FleetHealth, now: u64, observer: u32, number: u32, finding: Finding) {
    let (engine, started_ms, incarnation, zone) = (ENGINE.0, 0, 1, 0);
    let evidence =
        Evidence { engine, started_ms, observer, incarnation, number, zone, finding, since_ms: 0, age_ms: 0 };
    health.node().receive(now, observer, Message::Update { overrides: Vec::new(), evidence: vec![evidence] });
}

#[test]
fn a_recovered_engine_gets_a_well_verdict_when_the_list_repeats_it() {
    let params = HealthParams { routers: 8, ..HealthParams::default() };
    let mut health = FleetHealth::new(Node::new(T0, (0, T0, 0), params, (Overrides::default(), T0)));
    let entries: Vec<EngineEntry> =
        (5..10).map(|id| EngineEntry { engine: EngineId(id), ..EngineEntry::default() }).collect();
    health.change(MembershipKind::Full, entries.iter().copied());
    assert!(health.changed_verdicts(T0).is_empty());
    (1..4).for_each(|observer| report(&mut health, T0 + S, observer, 1, Finding::Silent));
    let changed = health.changed_verdicts(T0 + S);
    assert!(matches!(changed[..], [(ENGINE, Verdict::Out | Verdict::Trial)]), "{changed:?}");
    // The module may have forgotten the engine: the verdict is repeated.
    health.resend_verdict(ENGINE);
    assert_eq!(health.changed_verdicts(T0 + S), changed);
    // Two routers are served, and a list names the engine before the module gets the new verdict.
    (4..6).for_each(|observer| report(&mut health, T0 + 3 * S, observer, 1, Finding::Well));
    health.resend_verdict(ENGINE);
    assert_eq!(health.changed_verdicts(T0 + 3 * S), [(ENGINE, Verdict::Well)]);
    assert!(health.changed_verdicts(T0 + 4 * S).is_empty());
}
