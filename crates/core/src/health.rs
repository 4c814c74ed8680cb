//! Engine health shared by the fleet: reports ends of attempts as observations and gives verdicts
//! to the decision module.

use std::collections::{BTreeMap, BTreeSet};

use log::info;
use marljunction_control::interface::{ClassId, EngineEntry, EngineId, EngineState, MembershipKind, Verdict};
use marljunction_health::observer::AttemptOutcome;
use marljunction_health::{HealthStatus, Node};

use crate::end_reason::{EndReason, HealthSignal};

/// A cancelled attempt that ends within this time (ns) was confirmed by its engine; without
/// confirmation it is assumed to have ended after 2 s.
const CANCEL_REPLY_NS: u64 = 1_500_000_000;

/// Minimum time between evaluations of the evidence (ns).
const EVALUATION_INTERVAL_NS: u64 = 50_000_000;

/// One router's view of engine health.
pub struct FleetHealth {
    node: Node,
    /// Start time of each listed engine (ms), as the list states it.
    engines: BTreeMap<EngineId, u64>,
    /// Verdicts last given to the module.
    reported: BTreeMap<EngineId, Verdict>,
    /// Engines whose verdict is to be repeated even if unchanged.
    resend: BTreeSet<EngineId>,
    /// Earliest next evaluation (ns): evidence arrives in many datagrams.
    next_evaluation_ns: u64,
}

impl FleetHealth {
    /// Wraps `node`, with no list of engines yet.
    pub fn new(node: Node) -> FleetHealth {
        FleetHealth {
            node,
            engines: BTreeMap::new(),
            reported: BTreeMap::new(),
            resend: BTreeSet::new(),
            next_evaluation_ns: 0,
        }
    }

    /// The state machine that exchanges evidence with peers.
    pub fn node(&mut self) -> &mut Node {
        &mut self.node
    }

    /// Applies a change of the engine list.
    pub fn change(&mut self, kind: MembershipKind, entries: impl Iterator<Item = EngineEntry>) {
        if matches!(kind, MembershipKind::Full | MembershipKind::Cached) {
            self.engines.clear();
        }
        for entry in entries {
            match entry.state {
                EngineState::Gone => drop(self.engines.remove(&entry.engine)),
                _ => drop(self.engines.insert(entry.engine, entry.started_ns.unwrap_or(0) / 1_000_000)),
            }
        }
        self.node.set_engines(self.engines.iter().map(|(id, started)| (id.0, *started)).collect());
    }

    /// Records a cancelled attempt as unanswered at once, before the engine confirms the
    /// cancellation.
    pub fn attempt_cancelled(&mut self, now: u64, engine: EngineId, class: ClassId, sent_ns: u64) {
        if let Some(started) = self.engines.get(&engine) {
            self.node.ended(now, (engine.0, *started), class.0, sent_ns, AttemptOutcome::Silent);
        }
    }

    /// Records the end of an attempt, cancelled at `cancelled_ns` or not.
    pub fn attempt_ended(
        &mut self,
        now: u64,
        (engine, class): (EngineId, ClassId),
        (sent_ns, cancelled_ns): (u64, Option<u64>),
        end_reason: EndReason,
    ) {
        let Some(started) = self.engines.get(&engine) else { return };
        let within_reply_time = |at: u64| now < at.saturating_add(CANCEL_REPLY_NS);
        let observation = match end_reason.health_signal() {
            // The engine confirmed the cancellation, so it is alive.
            HealthSignal::NoResponse
                if end_reason == EndReason::GivenUp && cancelled_ns.is_some_and(within_reply_time) =>
            {
                AttemptOutcome::Alive
            }
            HealthSignal::Served => AttemptOutcome::Served(now.saturating_sub(sent_ns)),
            HealthSignal::NoResponse => AttemptOutcome::Silent,
            HealthSignal::InvalidResponse => AttemptOutcome::InvalidResponse,
            HealthSignal::Inconclusive => AttemptOutcome::Inconclusive,
        };
        self.node.ended(now, (engine.0, *started), class.0, sent_ns, observation);
    }

    /// Formats the counters as one line.
    pub fn line(&self) -> String {
        let (counts, node) = (self.node.counts, &self.node);
        format!(
            "verdict_news={} verdict_refused={} verdict_suspected={} verdict_words={} verdict_evidence={}",
            counts.merged,
            counts.refused,
            counts.suspected,
            node.overrides().len(),
            node.evidence().len()
        )
    }

    /// Returns the verdicts that the module has not received yet.
    pub fn changed_verdicts(&mut self, now: u64) -> Vec<(EngineId, Verdict)> {
        if now < self.next_evaluation_ns {
            return Vec::new();
        }
        self.next_evaluation_ns = now + EVALUATION_INTERVAL_NS;
        let evaluation = self.node.evaluation().engines.clone();
        if evaluation.is_empty() && self.reported.is_empty() {
            self.resend.clear();
            return Vec::new();
        }
        let verdict = |(engine, judgement): (&u64, &HealthStatus)| {
            let verdict = match judgement {
                HealthStatus::Well => Verdict::Well,
                HealthStatus::Out if self.node.is_prober(now, *engine) => Verdict::Trial,
                HealthStatus::Out => Verdict::Out,
                HealthStatus::Slow(ratio) => Verdict::Slow(*ratio),
            };
            (EngineId(*engine), verdict)
        };
        let current: BTreeMap<EngineId, Verdict> = evaluation.iter().map(verdict).collect();
        let recovered =
            self.reported.keys().filter(|id| !current.contains_key(id)).map(|id| (*id, Verdict::Well));
        let mut changed: Vec<(EngineId, Verdict)> = recovered.collect();
        let resend = std::mem::take(&mut self.resend);
        let is_changed = |id: &EngineId, v: &Verdict| self.reported.get(id) != Some(v) || resend.contains(id);
        changed.extend(current.iter().filter(|(id, v)| is_changed(id, v)).map(|(id, v)| (*id, *v)));
        let out = |v: Option<&Verdict>| matches!(v, Some(Verdict::Out | Verdict::Trial));
        // A trial is not a change of state.
        for (engine, verdict) in changed.iter().filter(|(id, v)| out(Some(v)) != out(self.reported.get(id))) {
            let state_name = if out(Some(verdict)) { "out" } else { "back" };
            info!("engine {:016x} is {state_name} by what the fleet has seen", engine.0);
        }
        self.reported = current;
        changed
    }

    /// Repeats the verdict on an engine that restarted, or that the module may have forgotten.
    pub fn resend_verdict(&mut self, engine: EngineId) {
        self.resend.insert(engine);
        self.next_evaluation_ns = 0;
    }
}
