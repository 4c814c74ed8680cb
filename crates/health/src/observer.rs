//! Derives evidence on engines from the attempts of this router.

use std::collections::BTreeMap;

use crate::evaluate::MIN_SLOWDOWN;
use crate::evidence::Finding;

/// Largest number of observed engines.
const MAX_ENGINES: usize = 10_000;
/// Responses required before the latency ratio of an engine counts, and the smallest weight of a
/// new response in that ratio.
const MIN_RESPONSES: u32 = 8;
const SMOOTHING: f64 = 0.12;
/// Weight of a new response in the average latency of its class.
const CLASS_SMOOTHING: f64 = 0.02;
/// Shortest interval at which the same fault is reported again, in nanoseconds.
const REPEAT_INTERVAL_NS: u64 = 1_000_000_000;
/// Latency ratios are clamped to this value.
const MAX_RATIO: f64 = 10.0;

/// What the end of an attempt shows about its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The engine served the request; latency in nanoseconds.
    Served(u64),
    /// The engine did not respond.
    Silent,
    /// The attempt was given up and the engine acknowledged its cancellation.
    Alive,
    /// The response was malformed.
    InvalidResponse,
    /// The attempt shows nothing about the engine.
    Inconclusive,
}

#[derive(Clone, Copy, Debug, Default)]
struct EngineObservations {
    started_ms: u64,
    served_ns: u64,
    fault: Option<(Finding, u64)>,
    /// When the fault was last reported, in nanoseconds.
    reported_ns: u64,
    ratio: f64,
    responses: u32,
}

impl EngineObservations {
    /// The engine responds, regardless of its latency.
    fn record_alive(&mut self, now: u64) -> Option<(Finding, u64)> {
        self.served_ns = now;
        let was_silent = self.fault.take_if(|(finding, _)| *finding == Finding::Silent);
        was_silent.map(|_| (Finding::Well, now))
    }

    /// Records a failed attempt. A repeated failure shows that the fault persists; it is reported
    /// at most once per `REPEAT_INTERVAL_NS`.
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

/// Observations of this router on all engines.
#[derive(Clone, Debug, Default)]
pub struct LocalObserver {
    engines: BTreeMap<u64, EngineObservations>,
    /// Average latency of each request class over all engines, in nanoseconds.
    classes: BTreeMap<usize, f64>,
}

impl LocalObserver {
    /// Records the end of an attempt sent at `sent_ns`. Returns the finding to report and the time
    /// since which it holds, in nanoseconds, or `None` if there is nothing to report.
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
            AttemptOutcome::Inconclusive => None,
            AttemptOutcome::Alive => observed.record_alive(now),
            AttemptOutcome::Served(latency_ns) => {
                observed.served_ns = now;
                self.record_served(now, engine, class, sent_ns, latency_ns)
            }
            // An engine that served a request since the attempt was sent is not silent.
            AttemptOutcome::Silent | AttemptOutcome::InvalidResponse if observed.served_ns >= sent_ns => None,
            AttemptOutcome::Silent => observed.record_failure(now, Finding::Silent, sent_ns),
            AttemptOutcome::InvalidResponse => observed.record_failure(now, Finding::Spoils, sent_ns),
        }
    }

    /// Records a latency. An engine counts as slow only relative to the other engines.
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

    /// Returns the latency relative to the class average, and updates that average.
    fn relative_latency(&mut self, class: usize, latency_ns: f64) -> f64 {
        let average_ns = self.classes.entry(class).or_insert(latency_ns);
        let ratio = (latency_ns / average_ns.max(1.0)).min(MAX_RATIO);
        *average_ns += (latency_ns - *average_ns).min(*average_ns * MAX_RATIO) * CLASS_SMOOTHING;
        ratio
    }

    /// Returns the slowdown relative to the median of the other engines, in tenths, if it reaches
    /// [`MIN_SLOWDOWN`]. Slowness that all engines share is not reported.
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

    /// Returns the current fault of an engine and the time since which it holds, in nanoseconds.
    pub fn fault(&self, engine: u64) -> Option<(Finding, u64)> {
        self.engines.get(&engine)?.fault
    }

    /// Removes engines that are no longer listed.
    pub fn retain_engines(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.engines.retain(|engine, _| is_listed(*engine));
    }
}
