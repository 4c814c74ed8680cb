//! What the fleet believes of engines, between the endings of attempts and the module.

use std::collections::{BTreeMap, BTreeSet};

use log::info;
use marljunction_control::interface::{ClassId, EngineEntry, EngineId, EngineState, MembershipKind, Verdict};
use marljunction_verdicts::observer::AttemptOutcome;
use marljunction_verdicts::{HealthStatus, Node};

use crate::ending::{Ending, Sight};

/// The end of a given-up attempt that comes sooner was told by its engine (ns): one that can't be told is taken to have ended it
/// by itself after 2 s.
const ANSWERED_NS: u64 = 1_500_000_000;

/// All evidence is judged this often at most (ns).
const JUDGED_NS: u64 = 50_000_000;

/// The verdicts of one router.
pub struct FleetVerdicts {
    node: Node,
    /// When each engine of the list started (ms), by what the list says.
    engines: BTreeMap<EngineId, u64>,
    told: BTreeMap<EngineId, Verdict>,
    /// Engines of which the module is to be told once more, whatever it was told last.
    again: BTreeSet<EngineId>,
    /// When all evidence is judged next (ns): news comes in many datagrams.
    next_ns: u64,
}

impl FleetVerdicts {
    /// What `node` keeps, before any list of engines.
    pub fn new(node: Node) -> FleetVerdicts {
        FleetVerdicts {
            node,
            engines: BTreeMap::new(),
            told: BTreeMap::new(),
            again: BTreeSet::new(),
            next_ns: 0,
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
    pub fn given_up(&mut self, now: u64, engine: EngineId, class: ClassId, sent_ns: u64) {
        if let Some(started) = self.engines.get(&engine) {
            self.node.ended(now, (engine.0, *started), class.0, sent_ns, AttemptOutcome::Silent);
        }
    }

    /// An attempt has ended, which was given up at a time (ns) or not.
    pub fn ended(
        &mut self,
        now: u64,
        (engine, class): (EngineId, ClassId),
        (sent_ns, given_up_ns): (u64, Option<u64>),
        ending: Ending,
    ) {
        let Some(started) = self.engines.get(&engine) else { return };
        let soon = |at: u64| now < at.saturating_add(ANSWERED_NS);
        let went = match ending.sight() {
            // The engine answered the call that ends it: else its end is taken for granted later.
            Sight::Silent if ending == Ending::GivenUp && given_up_ns.is_some_and(soon) => {
                AttemptOutcome::Alive
            }
            Sight::Served => AttemptOutcome::Served(now.saturating_sub(sent_ns)),
            Sight::Silent => AttemptOutcome::Silent,
            Sight::Spoilt => AttemptOutcome::Spoilt,
            Sight::Nothing => AttemptOutcome::Nothing,
        };
        self.node.ended(now, (engine.0, *started), class.0, sent_ns, went);
    }

    /// Counters, as one line.
    pub fn line(&self) -> String {
        let (counts, node) = (self.node.counts, &self.node);
        format!(
            "verdict_news={} verdict_refused={} verdict_suspected={} verdict_words={} verdict_evidence={}",
            counts.news,
            counts.refused,
            counts.suspected,
            node.overrides().len(),
            node.evidence().len()
        )
    }

    /// What the module is to be told anew.
    pub fn verdicts(&mut self, now: u64) -> Vec<(EngineId, Verdict)> {
        if now < self.next_ns {
            return Vec::new();
        }
        self.next_ns = now + JUDGED_NS;
        let evaluation = self.node.evaluation().engines.clone();
        if evaluation.is_empty() && self.told.is_empty() {
            self.again.clear();
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
        let now_so: BTreeMap<EngineId, Verdict> = evaluation.iter().map(verdict).collect();
        let ended = self.told.keys().filter(|id| !now_so.contains_key(id)).map(|id| (*id, Verdict::Well));
        let mut changed: Vec<(EngineId, Verdict)> = ended.collect();
        let again = std::mem::take(&mut self.again);
        let news = |id: &EngineId, v: &Verdict| self.told.get(id) != Some(v) || again.contains(id);
        changed.extend(now_so.iter().filter(|(id, v)| news(id, v)).map(|(id, v)| (*id, *v)));
        let out = |v: Option<&Verdict>| matches!(v, Some(Verdict::Out | Verdict::Trial));
        // Turns to try it are no change of state.
        for (engine, verdict) in changed.iter().filter(|(id, v)| out(Some(v)) != out(self.told.get(id))) {
            let what = if out(Some(verdict)) { "out" } else { "back" };
            info!("engine {:016x} is {what} by what the fleet has seen", engine.0);
        }
        self.told = now_so;
        changed
    }

    /// An engine starts again, or comes back to the module: it is told what is believed of it once more.
    pub fn tell_again(&mut self, engine: EngineId) {
        self.again.insert(engine);
        self.next_ns = 0;
    }
}
