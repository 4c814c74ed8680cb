//! From evidence to judgements. Pure, and the same in all routers that hold the same evidence.

use std::collections::{BTreeMap, BTreeSet};

use crate::evidence::{EvidenceTable, Finding, StoredEvidence};
use crate::mix::mix;
use crate::params::HealthParams;

/// Part of those who say something new of an engine that must say the same (share).
const MIN_AGREEMENT: f64 = 0.6;
/// Routers that must have been served by an engine since it was last found bad, for that to be over (count).
const MIN_SERVING_ROUTERS: usize = 2;
/// Engines of which a router must know something, for it to be a suspect itself (count).
const MIN_FAULTY_ENGINES: usize = 3;
/// How much slower than others an engine must be (ratio).
pub const MIN_SLOWDOWN: f64 = 2.0;

/// What is believed of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum HealthStatus {
    /// Nothing against it.
    #[default]
    Well,
    /// Nothing goes there but trials.
    Out,
    /// It takes so much longer than others (ratio).
    Slow(f64),
}

/// What follows from all evidence.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evaluation {
    /// Engines of which something is believed.
    pub engines: BTreeMap<u64, HealthStatus>,
    /// Routers whose own network is at fault by all that others see: their evidence does not count.
    pub suspects: BTreeSet<u32>,
}

/// Evidence of one engine that counts.
struct RelevantEvidence<'a> {
    bad: Vec<(u32, &'a StoredEvidence)>,
    good: Vec<(u32, &'a StoredEvidence)>,
}

/// What is said of this life of an engine by those who are no suspects, in one zone or in all. Findings that are over are left out: enough others were
/// served since. So is praise from before the first finding: it says nothing of what came after.
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

/// Routers that find most of the engines bad that they know, while for most of these others who know them do not.
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
                // Alone with it, or against more who were served since.
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

/// Whether enough of them agree.
fn has_quorum(bad: usize, good: usize, min_observers: usize) -> bool {
    bad >= min_observers && bad as f64 >= MIN_AGREEMENT * (bad + good) as f64
}

/// What a router in `zone` believes of the engines that the list has (by the hash of their names, and when they started).
pub fn evaluate(
    table: &EvidenceTable,
    engines: &[(u64, u64)],
    params: &HealthParams,
    zone: u64,
) -> Evaluation {
    let suspects = suspects(table, engines);
    // A fleet smaller than the witnesses asked for must do with a majority of itself.
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
        // What only one zone can't reach is out for that zone alone.
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
    // The worst first, and no more than may be out together.
    excluded.sort_by_key(|(bad, engine)| (std::cmp::Reverse(*bad), *engine));
    excluded.truncate((engines.len() as f64 * params.max_excluded) as usize);
    evaluation.engines.extend(excluded.into_iter().map(|(_, engine)| (engine, HealthStatus::Out)));
    evaluation.suspects = suspects;
    evaluation
}

/// How long a router's turn to try an engine lasts (ms).
pub const PROBE_TURN_MS: u64 = 1_000;
/// Routers whose turn it is at once (count), before any was served since and after: enough to bring it back have to be.
pub const PROBERS_PER_TURN: [usize; 2] = [1, 2];
/// Turns of which one is taken, once an engine has been out for long and nothing has been served (count): what it would cost the
/// fleet to find it silent once more each second adds up.
pub const TURNS_PER_LATE_PROBE: u64 = 4;
/// An engine that has been out for less is tried in every turn (ns).
pub const EARLY_PROBE_PERIOD_NS: u64 = 2_000_000_000;

/// How many routers may try an engine that is out in the turn of this time (count): one in each turn as it has just gone out, or
/// else now and then; more as one was served by it since.
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
        || (turn + mix(engine.0)) % TURNS_PER_LATE_PROBE == 0;
    if is_probe_turn {
        PROBERS_PER_TURN[0]
    } else {
        0
    }
}

/// Whether it is this router's turn to send one request to an engine that is out, of so many triers: few of all routers, others
/// after them.
pub fn is_prober(
    engine: u64,
    unix_ms: u64,
    local_id: u32,
    others: impl Iterator<Item = u32>,
    prober_count: usize,
) -> bool {
    let rank = |router: u32| mix(engine ^ mix(unix_ms / PROBE_TURN_MS) ^ u64::from(router).rotate_left(40));
    let own = rank(local_id);
    others.filter(|other| rank(*other) > own).take(prober_count).count() < prober_count
}
