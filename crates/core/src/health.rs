//! What the fleet believes of engines, between the endings of attempts and the module.

use std::collections::{BTreeMap, BTreeSet};

use log::info;
use marljunction_control::interface::{ClassId, EngineEntry, EngineId, EngineState, MembershipKind, Verdict};
use marljunction_verdicts::witness::Went;
use marljunction_verdicts::{Judgement, Node};

use crate::end_reason::{EndReason, HealthSignal};

/// The end of a given-up attempt that comes sooner was told by its engine (ns): one that can't be told is taken to have ended it
/// by itself after 2 s.
const CANCEL_REPLY_NS: u64 = 1_500_000_000;

/// All evidence is judged this often at most (ns).
const EVALUATION_INTERVAL_NS: u64 = 50_000_000;

/// The verdicts of one router.
pub struct FleetHealth {
    node: Node,
    /// When each engine of the list started (ms), by what the list says.
    engines: BTreeMap<EngineId, u64>,
    reported: BTreeMap<EngineId, Verdict>,
    /// Engines of which the module is to be told once more, whatever it was told last.
    resend: BTreeSet<EngineId>,
    /// When all evidence is judged next (ns): news comes in many datagrams.
    next_evaluation_ns: u64,
}

impl FleetHealth {
    /// What `node` keeps, before any list of engines.
    pub fn new(node: Node) -> FleetHealth {
        FleetHealth {
            node,
            engines: BTreeMap::new(),
            reported: BTreeMap::new(),
            resend: BTreeSet::new(),
            next_evaluation_ns: 0,
        }
    }

    /// What this router keeps and says.
    pub fn node(&mut self) -> &mut Node {
        &mut self.node
    }

    /// News of the engines, as the lists say it.
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

    /// An attempt is given up: that it is silent is known now, and not once the engine has had its time to be told so.
    pub fn attempt_cancelled(&mut self, now: u64, engine: EngineId, class: ClassId, sent_ns: u64) {
        if let Some(started) = self.engines.get(&engine) {
            self.node.ended(now, (engine.0, *started), class.0, sent_ns, Went::Silent);
        }
    }

    /// An attempt has ended, which was given up at a time (ns) or not.
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
            // The engine answered the call that ends it: else its end is taken for granted later.
            HealthSignal::NoResponse
                if end_reason == EndReason::GivenUp && cancelled_ns.is_some_and(within_reply_time) =>
            {
                Went::Alive
            }
            HealthSignal::Served => Went::Served(now.saturating_sub(sent_ns)),
            HealthSignal::NoResponse => Went::Silent,
            HealthSignal::InvalidResponse => Went::Spoilt,
            HealthSignal::Inconclusive => Went::Nothing,
        };
        self.node.ended(now, (engine.0, *started), class.0, sent_ns, observation);
    }

    /// Counters, as one line.
    pub fn line(&self) -> String {
        let (counts, node) = (self.node.counts, &self.node);
        format!(
            "verdict_news={} verdict_refused={} verdict_suspected={} verdict_words={} verdict_evidence={}",
            counts.news,
            counts.refused,
            counts.suspected,
            node.words().len(),
            node.evidence().len()
        )
    }

    /// What the module is to be told anew.
    pub fn changed_verdicts(&mut self, now: u64) -> Vec<(EngineId, Verdict)> {
        if now < self.next_evaluation_ns {
            return Vec::new();
        }
        self.next_evaluation_ns = now + EVALUATION_INTERVAL_NS;
        let judged = self.node.judged().engines.clone();
        if judged.is_empty() && self.reported.is_empty() {
            self.resend.clear();
            return Vec::new();
        }
        let verdict = |(engine, judgement): (&u64, &Judgement)| {
            let verdict = match judgement {
                Judgement::Well => Verdict::Well,
                Judgement::Out if self.node.tries(now, *engine) => Verdict::Trial,
                Judgement::Out => Verdict::Out,
                Judgement::Slow(ratio) => Verdict::Slow(*ratio),
            };
            (EngineId(*engine), verdict)
        };
        let current: BTreeMap<EngineId, Verdict> = judged.iter().map(verdict).collect();
        let recovered =
            self.reported.keys().filter(|id| !current.contains_key(id)).map(|id| (*id, Verdict::Well));
        let mut changed: Vec<(EngineId, Verdict)> = recovered.collect();
        let resend = std::mem::take(&mut self.resend);
        let is_changed = |id: &EngineId, v: &Verdict| self.reported.get(id) != Some(v) || resend.contains(id);
        changed.extend(current.iter().filter(|(id, v)| is_changed(id, v)).map(|(id, v)| (*id, *v)));
        let out = |v: Option<&Verdict>| matches!(v, Some(Verdict::Out | Verdict::Trial));
        // Turns to try it are no change of state.
        for (engine, verdict) in changed.iter().filter(|(id, v)| out(Some(v)) != out(self.reported.get(id))) {
            let state_name = if out(Some(verdict)) { "out" } else { "back" };
            info!("engine {:016x} is {state_name} by what the fleet has seen", engine.0);
        }
        self.reported = current;
        changed
    }

    /// An engine starts again, or comes back to the module: it is told what is believed of it once more.
    pub fn resend_verdict(&mut self, engine: EngineId) {
        self.resend.insert(engine);
        self.next_evaluation_ns = 0;
    }
}
