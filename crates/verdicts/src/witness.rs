//! One router's own attempts as evidence: what it may say of each engine.

use std::collections::BTreeMap;

use crate::evidence::Finding;
use crate::judge::SLOW;

/// Engines that are watched at most (count).
const ENGINES_MOST: usize = 10_000;
/// Answers that a ratio is made of at least (count), and the weight of one more (share).
const ANSWERS: u32 = 8;
const WEIGHT: f64 = 0.12;
/// Weight of one answer in what a class takes on the average engine (share).
const CLASS_WEIGHT: f64 = 0.02;
/// The same failure is said again after so long at the earliest (ns).
const AGAIN_NS: u64 = 1_000_000_000;
/// Beyond this an answer counts as this much longer than usual (ratio).
const OUTLIER: f64 = 10.0;

/// How an attempt went, as far as its engine is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Went {
    /// Served, after so long (ns).
    Served(u64),
    /// There was no sign of life, as far as this attempt shows.
    Silent,
    /// It was given up, and the engine has answered that.
    Alive,
    /// The answer could not be read.
    Spoilt,
    /// It says nothing of the engine.
    Nothing,
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    started_ms: u64,
    served_ns: u64,
    bad: Option<(Finding, u64)>,
    /// When that was last said (ns).
    said_ns: u64,
    ratio: f64,
    answers: u32,
}

/// What one router saw of all engines.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    engines: BTreeMap<u64, Seen>,
    /// What a request of each class takes on the average engine (ns).
    classes: BTreeMap<usize, f64>,
}

impl Witness {
    /// An attempt that was sent at `sent_ns` has ended. Gives what is to be said of the engine now, and since when it is so (ns),
    /// where there is something to say.
    pub fn ended(
        &mut self,
        now: u64,
        (engine, started_ms): (u64, u64),
        class: usize,
        sent_ns: u64,
        went: Went,
    ) -> Option<(Finding, u64)> {
        if !self.engines.contains_key(&engine) && self.engines.len() >= ENGINES_MOST {
            return None;
        }
        let seen = self.engines.entry(engine).or_default();
        if seen.started_ms != started_ms {
            *seen = Seen { started_ms, ..Seen::default() };
        }
        match went {
            Went::Nothing => None,
            // It is there, however long it takes.
            Went::Alive => {
                seen.served_ns = now;
                let was = seen.bad.take_if(|(finding, _)| *finding == Finding::Silent);
                was.map(|_| (Finding::Well, now))
            }
            Went::Served(took) => {
                seen.served_ns = now;
                let usual = self.classes.entry(class).or_insert(took as f64);
                let ratio = (took as f64 / usual.max(1.0)).min(OUTLIER);
                *usual += (took as f64 - *usual).min(*usual * OUTLIER) * CLASS_WEIGHT;
                seen.answers = seen.answers.saturating_add(1);
                seen.ratio += (ratio - seen.ratio) * WEIGHT.max(1.0 / f64::from(seen.answers));
                let slow = self.slow(engine);
                let seen = self.engines.get_mut(&engine)?;
                match (seen.bad, slow) {
                    (Some((Finding::Slow(_), since)), Some(tenths)) => {
                        seen.bad = Some((Finding::Slow(tenths), since));
                        return None;
                    }
                    (_, Some(tenths)) => seen.bad = Some((Finding::Slow(tenths), sent_ns)),
                    (before, None) => {
                        seen.bad = None;
                        return Some((Finding::Well, now)).filter(|_| before.is_some());
                    }
                }
                seen.bad
            }
            // Guards against an engine that answers others meanwhile: one of many that is late, or was given up, is no silence.
            Went::Silent | Went::Spoilt if seen.served_ns >= sent_ns => None,
            Went::Silent | Went::Spoilt => {
                let finding = if went == Went::Silent { Finding::Silent } else { Finding::Spoils };
                // A failure that is new says more than that the last one has not been mended; not more often than others hear it.
                let said = seen.bad.is_some_and(|(before, _)| before == finding);
                if said && now < seen.said_ns.saturating_add(AGAIN_NS) {
                    return None;
                }
                seen.said_ns = now;
                seen.bad = Some((finding, sent_ns));
                seen.bad
            }
        }
    }

    /// How much slower than the median of the other engines one is (tenths), where that is enough to be said. All slow at once is
    /// nobody's fault.
    fn slow(&self, engine: u64) -> Option<u16> {
        let known = |s: &&Seen| s.answers >= ANSWERS;
        let own = self.engines.get(&engine).filter(known)?.ratio;
        let others = self.engines.iter().filter(|(id, s)| **id != engine && s.answers >= ANSWERS);
        let mut ratios: Vec<f64> = others.map(|(_, s)| s.ratio).collect();
        if ratios.len() < 2 {
            return None;
        }
        let middle = ratios.len() / 2;
        let (_, median, _) = ratios.select_nth_unstable_by(middle, f64::total_cmp);
        let times = own / median.max(f64::MIN_POSITIVE);
        (times >= SLOW).then_some((times * 10.0).min(1_000.0) as u16)
    }

    /// What this router holds against an engine, and since when (ns).
    pub fn bad(&self, engine: u64) -> Option<(Finding, u64)> {
        self.engines.get(&engine)?.bad
    }

    /// Forgets engines that the list has no more.
    pub fn keep(&mut self, there: impl Fn(u64) -> bool) {
        self.engines.retain(|engine, _| there(*engine));
    }
}
