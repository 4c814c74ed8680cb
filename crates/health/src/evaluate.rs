//! Evaluates evidence into the health status of engines. Pure: routers of one zone with the same
//! evidence compute the same result.

use std::collections::{BTreeMap, BTreeSet};

use crate::evidence::{EvidenceTable, Finding, StoredEvidence};
use crate::mix::mix_hash;
use crate::params::HealthParams;

/// Share of the routers with relevant reports on an engine that must report the same fault.
const MIN_AGREEMENT: f64 = 0.6;
/// Routers that an engine must have served since a fault was reported for the fault to be over.
const MIN_SERVING_ROUTERS: usize = 2;
/// Engines that a router must report as faulty before it can become a suspect.
const MIN_FAULTY_ENGINES: usize = 3;
/// Smallest latency ratio to other engines at which an engine counts as slow.
pub const MIN_SLOWDOWN: f64 = 2.0;

/// Health of an engine as the fleet sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum HealthStatus {
    /// No fault is known.
    #[default]
    Well,
    /// The engine is excluded and receives only probes.
    Out,
    /// The engine is slower than others, by this ratio.
    Slow(f64),
}

/// Result of an evaluation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evaluation {
    /// Engines that are excluded or slow.
    pub engines: BTreeMap<u64, HealthStatus>,
    /// Routers that report faults which others contradict. Their own network is probably at fault,
    /// so their evidence is ignored.
    pub suspects: BTreeSet<u32>,
}

/// Evidence on one engine that counts.
struct RelevantEvidence<'a> {
    bad: Vec<(u32, &'a StoredEvidence)>,
    good: Vec<(u32, &'a StoredEvidence)>,
}

/// Selects evidence on the current run of an engine, from one zone or from all. Reports of suspects
/// are left out, and so are faults that are over and successes from before the first remaining
/// fault.
fn relevant_evidence<'a>(
    table: &'a EvidenceTable,
    (engine, started_ms): (u64, u64),
    suspects: &BTreeSet<u32>,
    zone: Option<u64>,
) -> RelevantEvidence<'a> {
    let counts = |(observer, stored): &(u32, &StoredEvidence)| {
        stored.started_ms == started_ms
            && !suspects.contains(observer)
            && zone.is_none_or(|zone| stored.zone == zone)
    };
    let relevant = table.for_engine(engine).filter(counts);
    let (bad, good): (Vec<_>, Vec<_>) = relevant.partition(|(_, stored)| stored.finding.is_fault());
    let mut served_ns: Vec<u64> = good.iter().map(|(_, stored)| stored.reported_ns).collect();
    served_ns.sort_unstable_by(|a, b| b.cmp(a));
    let recovered_ns = served_ns.get(MIN_SERVING_ROUTERS - 1).copied().unwrap_or(0);
    let bad: Vec<(u32, &StoredEvidence)> =
        bad.into_iter().filter(|(_, stored)| stored.since_ns >= recovered_ns).collect();
    let first_fault_ns = bad.iter().map(|(_, stored)| stored.since_ns).min().unwrap_or(u64::MAX);
    let good = good.into_iter().filter(|(_, stored)| stored.reported_ns > first_fault_ns).collect();
    RelevantEvidence { bad, good }
}

/// Returns routers that report most of the engines they observed as faulty while, for most of
/// these, other observers contradict them.
fn suspects(table: &EvidenceTable, engines: &[(u64, u64)]) -> BTreeSet<u32> {
    let no_suspects = BTreeSet::new();
    let mut counts_by_observer = BTreeMap::<u32, (usize, usize, usize)>::new();
    for engine in engines {
        let all: Vec<(u32, &StoredEvidence)> =
            table.for_engine(engine.0).filter(|(_, stored)| stored.started_ms == engine.1).collect();
        let evidence = relevant_evidence(table, *engine, &no_suspects, None);
        for (observer, stored) in all {
            let (observed, bad, contradicted) = counts_by_observer.entry(observer).or_default();
            *observed += 1;
            if stored.finding.is_fault() {
                *bad += 1;
                let others = evidence.bad.iter().filter(|(other, _)| *other != observer).count();
                // No other router reports the fault, or more routers were served since.
                *contradicted += usize::from(others == 0 || evidence.good.len() > others);
            }
        }
    }
    let suspect = |(observed, bad, contradicted): &(usize, usize, usize)| {
        *bad >= MIN_FAULTY_ENGINES && bad * 2 > *observed && contradicted * 2 > *bad
    };
    counts_by_observer
        .into_iter()
        .filter(|(_, counts)| suspect(counts))
        .map(|(observer, _)| observer)
        .collect()
}

/// Whether enough routers report a fault, both in number and as a share of all reports.
fn has_quorum(bad: usize, good: usize, min_observers: usize) -> bool {
    bad >= min_observers && bad as f64 >= MIN_AGREEMENT * (bad + good) as f64
}

/// Evaluates the listed engines, given by name hash and start time, for a router in `zone`.
pub fn evaluate(
    table: &EvidenceTable,
    engines: &[(u64, u64)],
    params: &HealthParams,
    zone: u64,
) -> Evaluation {
    let suspects = suspects(table, engines);
    // A small fleet needs only a majority of its routers.
    let min_observers = (params.min_observers as usize).min(params.routers as usize / 2 + 1).max(2);
    let mut evaluation = Evaluation::default();
    let mut excluded: Vec<(usize, u64)> = Vec::new();
    for engine in engines {
        let in_zone = relevant_evidence(table, *engine, &suspects, Some(zone));
        let evidence = relevant_evidence(table, *engine, &suspects, None);
        let failed = |stored: &StoredEvidence| matches!(stored.finding, Finding::Silent | Finding::Spoils);
        let count = |evidence: &RelevantEvidence| {
            (evidence.bad.iter().filter(|(_, stored)| failed(stored)).count(), evidence.good.len())
        };
        // An engine that a single zone cannot reach is excluded in that zone only.
        let (all, in_zone) = (count(&evidence), count(&in_zone));
        if has_quorum(all.0, all.1, min_observers) || has_quorum(in_zone.0, in_zone.1, min_observers) {
            excluded.push((all.0.max(in_zone.0), engine.0));
            continue;
        }
        let mut ratios: Vec<f64> = evidence
            .bad
            .iter()
            .filter_map(|(_, stored)| match stored.finding {
                Finding::Slow(tenths) => Some(f64::from(tenths) / 10.0),
                _ => None,
            })
            .collect();
        ratios.sort_by(f64::total_cmp);
        if has_quorum(ratios.len(), evidence.good.len(), min_observers) {
            let ratio = ratios[ratios.len() / 2];
            if ratio >= MIN_SLOWDOWN {
                evaluation.engines.insert(engine.0, HealthStatus::Slow(ratio));
            }
        }
    }
    // Exclude the engines with the most reports first, up to the largest share.
    excluded.sort_by_key(|(bad, engine)| (std::cmp::Reverse(*bad), *engine));
    excluded.truncate((engines.len() as f64 * params.max_excluded) as usize);
    evaluation.engines.extend(excluded.into_iter().map(|(_, engine)| (engine, HealthStatus::Out)));
    evaluation.suspects = suspects;
    evaluation
}

/// Length of a probe turn in milliseconds.
pub const PROBE_TURN_MS: u64 = 1_000;
/// Routers that probe in one turn: before and after a router was served since the last fault. Two
/// routers must be served for the engine to return.
pub const PROBERS_PER_TURN: [usize; 2] = [1, 2];
/// Turns per probe of an engine that has been excluded for long and has not served since. Limits
/// what failing probes cost the fleet.
pub const TURNS_PER_LATE_PROBE: u64 = 4;
/// Time after the first fault in which an engine is probed in every turn, in nanoseconds.
pub const EARLY_PROBE_PERIOD_NS: u64 = 2_000_000_000;

/// Returns how many routers may probe an excluded engine in the current turn. An engine is probed
/// in every turn at first, then less often, and by more routers once it has served one.
pub fn prober_count(table: &EvidenceTable, engine: (u64, u64), now: u64) -> usize {
    let reports = || table.for_engine(engine.0).filter(|(_, stored)| stored.started_ms == engine.1);
    let fault_times =
        || reports().filter(|(_, stored)| stored.finding.is_fault()).map(|(_, stored)| stored.since_ns);
    let (first_fault_ns, last_fault_ns) =
        (fault_times().min().unwrap_or(now), fault_times().max().unwrap_or(now));
    if reports().any(|(_, stored)| !stored.finding.is_fault() && stored.reported_ns > last_fault_ns) {
        return PROBERS_PER_TURN[1];
    }
    let turn = now / 1_000_000 / PROBE_TURN_MS;
    let is_probe_turn = now.saturating_sub(first_fault_ns) < EARLY_PROBE_PERIOD_NS
        || (turn + mix_hash(engine.0)) % TURNS_PER_LATE_PROBE == 0;
    if is_probe_turn {
        PROBERS_PER_TURN[0]
    } else {
        0
    }
}

/// Whether this router is one of the `prober_count` routers that may probe an engine in the current
/// turn. A hash ranks the routers anew in each turn.
pub fn is_prober(
    engine: u64,
    unix_ms: u64,
    local_id: u32,
    others: impl Iterator<Item = u32>,
    prober_count: usize,
) -> bool {
    let rank = |router: u32| {
        mix_hash(engine ^ mix_hash(unix_ms / PROBE_TURN_MS) ^ u64::from(router).rotate_left(40))
    };
    let own = rank(local_id);
    others.filter(|other| rank(*other) > own).take(prober_count).count() < prober_count
}
