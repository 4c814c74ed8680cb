//! One router's own attempts as evidence: what it may say of each engine.

use std::collections::BTreeMap;

use crate::evaluate::MIN_SLOWDOWN;
use crate::evidence::Finding;

/// Engines that are watched at most (count).
const MAX_ENGINES: usize = 10_000;
/// Answers that a ratio is made of at least (count), and the weight of one more (share).
const MIN_RESPONSES: u32 = 8;
const SMOOTHING: f64 = 0.12;
/// Weight of one answer in what a class takes on the average engine (share).
const CLASS_SMOOTHING: f64 = 0.02;
/// The same failure is said again after so long at the earliest (ns).
const REPEAT_INTERVAL_NS: u64 = 1_000_000_000;
/// Beyond this an answer counts as this much longer than usual (ratio).
const MAX_RATIO: f64 = 10.0;

/// How an attempt went, as far as its engine is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
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
struct EngineObservations {
    started_ms: u64,
    served_ns: u64,
    fault: Option<(Finding, u64)>,
    /// When that was last said (ns).
    reported_ns: u64,
    ratio: f64,
    responses: u32,
}

impl EngineObservations {
    /// It is there, however long it takes.
    fn record_alive(&mut self, now: u64) -> Option<(Finding, u64)> {
        self.served_ns = now;
        let was_silent = self.fault.take_if(|(finding, _)| *finding == Finding::Silent);
        was_silent.map(|_| (Finding::Well, now))
    }

    /// An attempt failed. A failure that is new says more than that the last one has not been mended; not more often than others
    /// hear it.
    fn record_failure(&mut self, now: u64, finding: Finding, sent_ns: u64) -> Option<(Finding, u64)> {
        let unchanged = self.fault.is_some_and(|(before, _)| before == finding);
        if unchanged && now < self.reported_ns.saturating_add(REPEAT_INTERVAL_NS) {
            return None;
        }
        self.reported_ns = now;
        self.fault = Some((finding, sent_ns));
        self.fault
    }

    fn record_latency(&mut self, ratio: f64) {
        self.responses = self.responses.saturating_add(1);
        self.ratio += (ratio - self.ratio) * SMOOTHING.max(1.0 / f64::from(self.responses));
    }
}

/// What one router saw of all engines.
#[derive(Clone, Debug, Default)]
pub struct LocalObserver {
    engines: BTreeMap<u64, EngineObservations>,
    /// What a request of each class takes on the average engine (ns).
    classes: BTreeMap<usize, f64>,
}

impl LocalObserver {
    /// An attempt that was sent at `sent_ns` has ended. Gives what is to be said of the engine now, and since when it is so (ns),
    /// where there is something to say.
    pub fn record_attempt(
        &mut self,
        now: u64,
        (engine, started_ms): (u64, u64),
        class: usize,
        sent_ns: u64,
        outcome: AttemptOutcome,
    ) -> Option<(Finding, u64)> {
        if !self.engines.contains_key(&engine) && self.engines.len() >= MAX_ENGINES {
            return None;
        }
        let observed = self.engines.entry(engine).or_default();
        if observed.started_ms != started_ms {
            *observed = EngineObservations { started_ms, ..EngineObservations::default() };
        }
        match outcome {
            AttemptOutcome::Nothing => None,
            AttemptOutcome::Alive => observed.record_alive(now),
            AttemptOutcome::Served(latency_ns) => {
                observed.served_ns = now;
                self.record_served(now, engine, class, sent_ns, latency_ns)
            }
            // Guards against an engine that answers others meanwhile: one of many that is late, or was given up, is no silence.
            AttemptOutcome::Silent | AttemptOutcome::Spoilt if observed.served_ns >= sent_ns => None,
            AttemptOutcome::Silent => observed.record_failure(now, Finding::Silent, sent_ns),
            AttemptOutcome::Spoilt => observed.record_failure(now, Finding::Spoils, sent_ns),
        }
    }

    /// Takes how long an answer took: an engine is slow by its ratio to the others' alone.
    fn record_served(
        &mut self,
        now: u64,
        engine: u64,
        class: usize,
        sent_ns: u64,
        latency_ns: u64,
    ) -> Option<(Finding, u64)> {
        let ratio = self.relative_latency(class, latency_ns as f64);
        self.engines.get_mut(&engine)?.record_latency(ratio);
        let slowdown_tenths = self.slowdown_tenths(engine);
        let observed = self.engines.get_mut(&engine)?;
        let Some(tenths) = slowdown_tenths else {
            let was_faulty = observed.fault.take().is_some();
            return was_faulty.then_some((Finding::Well, now));
        };
        if let Some((Finding::Slow(_), since_ns)) = observed.fault {
            observed.fault = Some((Finding::Slow(tenths), since_ns));
            return None;
        }
        observed.fault = Some((Finding::Slow(tenths), sent_ns));
        observed.fault
    }

    /// How much longer than usual an answer took (ratio), which counts in what is usual for its class.
    fn relative_latency(&mut self, class: usize, latency_ns: f64) -> f64 {
        let average_ns = self.classes.entry(class).or_insert(latency_ns);
        let ratio = (latency_ns / average_ns.max(1.0)).min(MAX_RATIO);
        *average_ns += (latency_ns - *average_ns).min(*average_ns * MAX_RATIO) * CLASS_SMOOTHING;
        ratio
    }

    /// How much slower than the median of the other engines one is (tenths), where that is enough to be said. All slow at once is
    /// nobody's fault.
    fn slowdown_tenths(&self, engine: u64) -> Option<u16> {
        let enough = |s: &&EngineObservations| s.responses >= MIN_RESPONSES;
        let own = self.engines.get(&engine).filter(enough)?.ratio;
        let others = self.engines.iter().filter(|(id, s)| **id != engine && s.responses >= MIN_RESPONSES);
        let mut ratios: Vec<f64> = others.map(|(_, s)| s.ratio).collect();
        if ratios.len() < 2 {
            return None;
        }
        let middle = ratios.len() / 2;
        let (_, median, _) = ratios.select_nth_unstable_by(middle, f64::total_cmp);
        let slowdown = own / median.max(f64::MIN_POSITIVE);
        (slowdown >= MIN_SLOWDOWN).then_some((slowdown * 10.0).min(1_000.0) as u16)
    }

    /// What this router holds against an engine, and since when (ns).
    pub fn fault(&self, engine: u64) -> Option<(Finding, u64)> {
        self.engines.get(&engine)?.fault
    }

    /// Forgets engines that the list has no more.
    pub fn retain_engines(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.engines.retain(|engine, _| is_listed(*engine));
    }
}
