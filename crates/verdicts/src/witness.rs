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

impl Seen {
    /// It is there, however long it takes.
    fn alive(&mut self, now: u64) -> Option<(Finding, u64)> {
        self.served_ns = now;
        let was_silent = self.bad.take_if(|(finding, _)| *finding == Finding::Silent);
        was_silent.map(|_| (Finding::Well, now))
    }

    /// An attempt failed. A failure that is new says more than that the last one has not been mended; not more often than others
    /// hear it.
    fn failed(&mut self, now: u64, finding: Finding, sent_ns: u64) -> Option<(Finding, u64)> {
        let said = self.bad.is_some_and(|(before, _)| before == finding);
        if said && now < self.said_ns.saturating_add(AGAIN_NS) {
            return None;
        }
        self.said_ns = now;
        self.bad = Some((finding, sent_ns));
        self.bad
    }

    fn count_answer(&mut self, ratio: f64) {
        self.answers = self.answers.saturating_add(1);
        self.ratio += (ratio - self.ratio) * WEIGHT.max(1.0 / f64::from(self.answers));
    }
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
            Went::Alive => seen.alive(now),
            Went::Served(took_ns) => {
                seen.served_ns = now;
                self.served(now, engine, class, sent_ns, took_ns)
            }
            // Guards against an engine that answers others meanwhile: one of many that is late, or was given up, is no silence.
            Went::Silent | Went::Spoilt if seen.served_ns >= sent_ns => None,
            Went::Silent => seen.failed(now, Finding::Silent, sent_ns),
            Went::Spoilt => seen.failed(now, Finding::Spoils, sent_ns),
        }
    }

    /// Takes how long an answer took: an engine is slow by its ratio to the others' alone.
    fn served(
        &mut self,
        now: u64,
        engine: u64,
        class: usize,
        sent_ns: u64,
        took_ns: u64,
    ) -> Option<(Finding, u64)> {
        let ratio = self.ratio_to_usual(class, took_ns as f64);
        self.engines.get_mut(&engine)?.count_answer(ratio);
        let slow = self.slow(engine);
        let seen = self.engines.get_mut(&engine)?;
        let Some(tenths) = slow else {
            let was_bad = seen.bad.take().is_some();
            return was_bad.then_some((Finding::Well, now));
        };
        if let Some((Finding::Slow(_), since_ns)) = seen.bad {
            seen.bad = Some((Finding::Slow(tenths), since_ns));
            return None;
        }
        seen.bad = Some((Finding::Slow(tenths), sent_ns));
        seen.bad
    }

    /// How much longer than usual an answer took (ratio), which counts in what is usual for its class.
    fn ratio_to_usual(&mut self, class: usize, took_ns: f64) -> f64 {
        let usual = self.classes.entry(class).or_insert(took_ns);
        let ratio = (took_ns / usual.max(1.0)).min(OUTLIER);
        *usual += (took_ns - *usual).min(*usual * OUTLIER) * CLASS_WEIGHT;
        ratio
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
