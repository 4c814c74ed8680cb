//! What the module is told of what the fleet believes, whatever else is told meanwhile.

use marljunction_control::interface::{EngineEntry, EngineId, MembershipKind, Verdict};
use marljunction_core::verdicts::FleetVerdicts;
use marljunction_verdicts::evidence::{Evidence, Finding};
use marljunction_verdicts::overrides::Overrides;
use marljunction_verdicts::{HealthParams, Message, Node};

const S: u64 = 1_000_000_000;
const T0: u64 = 1_000 * S;
const ENGINE: EngineId = EngineId(5);

fn says(verdicts: &mut FleetVerdicts, now: u64, observer: u32, number: u32, finding: Finding) {
    let (engine, started_ms, life, zone) = (ENGINE.0, 0, 1, 0);
    let said = Evidence { engine, started_ms, observer, life, number, zone, finding, since_ms: 0, age_ms: 0 };
    verdicts.node().receive(now, observer, Message::Update { overrides: Vec::new(), evidence: vec![said] });
}

#[test]
fn an_engine_that_comes_back_as_the_list_names_it_again_does_not_stay_out() {
    let params = HealthParams { routers: 8, ..HealthParams::default() };
    let mut verdicts = FleetVerdicts::new(Node::new(T0, (0, T0, 0), params, (Overrides::default(), T0)));
    let entries: Vec<EngineEntry> =
        (5..10).map(|id| EngineEntry { engine: EngineId(id), ..EngineEntry::default() }).collect();
    verdicts.change(MembershipKind::Full, entries.iter().copied());
    assert!(verdicts.verdicts(T0).is_empty());
    (1..4).for_each(|observer| says(&mut verdicts, T0 + S, observer, 1, Finding::Silent));
    let told = verdicts.verdicts(T0 + S);
    assert!(matches!(told[..], [(ENGINE, Verdict::Out | Verdict::Trial)]), "{told:?}");
    // The module may have forgotten it: it is told what is so once more.
    verdicts.tell_again(ENGINE);
    assert_eq!(verdicts.verdicts(T0 + S), told);
    // Two are served, and a list names the engine before the module has heard of that.
    (4..6).for_each(|observer| says(&mut verdicts, T0 + 3 * S, observer, 1, Finding::Well));
    verdicts.tell_again(ENGINE);
    assert_eq!(verdicts.verdicts(T0 + 3 * S), [(ENGINE, Verdict::Well)]);
    assert!(verdicts.verdicts(T0 + 4 * S).is_empty());
}
