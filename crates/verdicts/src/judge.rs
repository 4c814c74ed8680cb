//! From evidence to judgements. Pure, and the same in all routers that hold the same evidence.

use std::collections::{BTreeMap, BTreeSet};

use crate::evidence::{Finding, Held, Table};
use crate::mix::mix;
use crate::terms::Terms;

/// Part of those who say something new of an engine that must say the same (share).
const AGREE: f64 = 0.6;
/// Routers that must have been served by an engine since it was last found bad, for that to be over (count).
const SERVED: usize = 2;
/// Engines of which a router must know something, for it to be a suspect itself (count).
const KNOWS: usize = 3;
/// How much slower than others an engine must be (ratio).
pub const SLOW: f64 = 2.0;

/// What is believed of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Judgement {
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
pub struct Judged {
    /// Engines of which something is believed.
    pub engines: BTreeMap<u64, Judgement>,
    /// Routers whose own network is at fault by all that others see: their evidence does not count.
    pub suspects: BTreeSet<u32>,
}

/// Evidence of one engine that counts.
struct Case<'a> {
    bad: Vec<(u32, &'a Held)>,
    good: Vec<(u32, &'a Held)>,
}

/// What is said of this life of an engine by those who are no suspects, in one zone or in all. Findings that are over are left out: enough others were
/// served since. So is praise from before the first finding: it says nothing of what came after.
fn case<'a>(
    table: &'a Table,
    (engine, started_ms): (u64, u64),
    suspects: &BTreeSet<u32>,
    zone: Option<u64>,
) -> Case<'a> {
    let counts = |(w, held): &(u32, &Held)| {
        held.started_ms == started_ms && !suspects.contains(w) && zone.is_none_or(|zone| held.zone == zone)
    };
    let of = table.of(engine).filter(counts);
    let (bad, good): (Vec<_>, Vec<_>) = of.partition(|(_, held)| held.finding.is_bad());
    let mut served: Vec<u64> = good.iter().map(|(_, held)| held.at_ns).collect();
    served.sort_unstable_by(|a, b| b.cmp(a));
    let over = served.get(SERVED - 1).copied().unwrap_or(0);
    let bad: Vec<(u32, &Held)> = bad.into_iter().filter(|(_, held)| held.since_ns >= over).collect();
    let first = bad.iter().map(|(_, held)| held.since_ns).min().unwrap_or(u64::MAX);
    let good = good.into_iter().filter(|(_, held)| held.at_ns > first).collect();
    Case { bad, good }
}

/// Routers that find most of the engines bad that they know, while for most of these others who know them do not.
fn suspects(table: &Table, engines: &[(u64, u64)]) -> BTreeSet<u32> {
    let nobody = BTreeSet::new();
    let mut knows = BTreeMap::<u32, (usize, usize, usize)>::new();
    for engine in engines {
        let all: Vec<(u32, &Held)> =
            table.of(engine.0).filter(|(_, held)| held.started_ms == engine.1).collect();
        let case = case(table, *engine, &nobody, None);
        for (witness, held) in all {
            let (known, bad, alone) = knows.entry(witness).or_default();
            *known += 1;
            if held.finding.is_bad() {
                *bad += 1;
                let others = case.bad.iter().filter(|(w, _)| *w != witness).count();
                // Alone with it, or against more who were served since.
                *alone += usize::from(others == 0 || case.good.len() > others);
            }
        }
    }
    let suspect =
        |(known, bad, alone): &(usize, usize, usize)| *bad >= KNOWS && bad * 2 > *known && alone * 2 > *bad;
    knows.into_iter().filter(|(_, counts)| suspect(counts)).map(|(witness, _)| witness).collect()
}

/// Whether enough of them agree.
fn agreed(bad: usize, good: usize, need: usize) -> bool {
    bad >= need && bad as f64 >= AGREE * (bad + good) as f64
}

/// What a router in `zone` believes of the engines that the list has (by the hash of their names, and when they started).
pub fn judge(table: &Table, engines: &[(u64, u64)], terms: &Terms, zone: u64) -> Judged {
    let suspects = suspects(table, engines);
    // A fleet smaller than the witnesses asked for must do with a majority of itself.
    let need = (terms.witnesses as usize).min(terms.routers as usize / 2 + 1).max(2);
    let mut judged = Judged::default();
    let mut out: Vec<(usize, u64)> = Vec::new();
    for engine in engines {
        let here = case(table, *engine, &suspects, Some(zone));
        let case = case(table, *engine, &suspects, None);
        let dead = |held: &Held| matches!(held.finding, Finding::Silent | Finding::Spoils);
        let count = |case: &Case| (case.bad.iter().filter(|(_, h)| dead(h)).count(), case.good.len());
        // What only one zone can't reach is out for that zone alone.
        let (all, here) = (count(&case), count(&here));
        if agreed(all.0, all.1, need) || agreed(here.0, here.1, need) {
            out.push((all.0.max(here.0), engine.0));
            continue;
        }
        let mut ratios: Vec<f64> = case
            .bad
            .iter()
            .filter_map(|(_, held)| match held.finding {
                Finding::Slow(tenths) => Some(f64::from(tenths) / 10.0),
                _ => None,
            })
            .collect();
        ratios.sort_by(f64::total_cmp);
        if agreed(ratios.len(), case.good.len(), need) {
            let ratio = ratios[ratios.len() / 2];
            if ratio >= SLOW {
                judged.engines.insert(engine.0, Judgement::Slow(ratio));
            }
        }
    }
    // The worst first, and no more than may be out together.
    out.sort_by_key(|(bad, engine)| (std::cmp::Reverse(*bad), *engine));
    out.truncate((engines.len() as f64 * terms.out_most) as usize);
    judged.engines.extend(out.into_iter().map(|(_, engine)| (engine, Judgement::Out)));
    judged.suspects = suspects;
    judged
}

/// How long a router's turn to try an engine lasts (ms).
pub const TURN_MS: u64 = 1_000;
/// Routers whose turn it is at once (count), before any was served since and after: enough to bring it back have to be.
pub const TRIERS: [usize; 2] = [1, 2];
/// Turns of which one is taken, once an engine has been out for long and nothing has been served (count): what it would cost the
/// fleet to find it silent once more each second adds up.
pub const RARE: u64 = 4;
/// An engine that has been out for less is tried in every turn (ns).
pub const SOON_NS: u64 = 2_000_000_000;

/// How many routers may try an engine that is out in the turn of this time (count): one in each turn as it has just gone out, or
/// else now and then; more as one was served by it since.
pub fn triers(table: &Table, engine: (u64, u64), now: u64) -> usize {
    let of = || table.of(engine.0).filter(|(_, held)| held.started_ms == engine.1);
    let bad = || of().filter(|(_, held)| held.finding.is_bad()).map(|(_, held)| held.since_ns);
    let (first, last) = (bad().min().unwrap_or(now), bad().max().unwrap_or(now));
    if of().any(|(_, held)| !held.finding.is_bad() && held.at_ns > last) {
        return TRIERS[1];
    }
    let turn = now / 1_000_000 / TURN_MS;
    let its_turn = now.saturating_sub(first) < SOON_NS || (turn + mix(engine.0)) % RARE == 0;
    if its_turn {
        TRIERS[0]
    } else {
        0
    }
}

/// Whether it is this router's turn to send one request to an engine that is out, of so many triers: few of all routers, others
/// after them.
pub fn tries(engine: u64, unix_ms: u64, me: u32, others: impl Iterator<Item = u32>, triers: usize) -> bool {
    let rank = |router: u32| mix(engine ^ mix(unix_ms / TURN_MS) ^ u64::from(router).rotate_left(40));
    let own = rank(me);
    others.filter(|other| rank(*other) > own).take(triers).count() < triers
}
