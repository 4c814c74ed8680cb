//! What routers saw of engines themselves. A piece of evidence is one router's of one engine; only that router says it anew, under
//! its life and a number that grows, so that merging needs no order and an old message never brings back what was taken back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Pieces of evidence that are kept at most (count).
pub const MAX_EVIDENCE: usize = 30_000;

/// What was seen of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Finding {
    /// It served.
    Well,
    /// It gave no sign of life since an attempt was sent.
    Silent,
    /// Its answers can't be read.
    Spoils,
    /// It takes so much longer than other engines (tenths).
    Slow(u16),
}

impl Finding {
    /// Whether it speaks against the engine.
    pub fn is_fault(self) -> bool {
        self != Finding::Well
    }
}

/// A piece of evidence, as it is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    /// The engine, by the hash of its name.
    pub engine: u64,
    /// Which of its lives: when it started (ms), as the list says.
    pub started_ms: u64,
    /// The router that saw it, and which of its lives.
    #[serde(rename = "witness")]
    pub observer: u32,
    /// The witness's life.
    pub life: u64,
    /// Grows with each that the witness says of the engine.
    pub number: u32,
    /// The witness's zone, as a number that all agree on.
    pub zone: u64,
    /// What it saw.
    pub finding: Finding,
    /// Since when (ms before it was said), and when the witness last held to it.
    pub since_ms: u32,
    /// When the witness last held to it (ms before it was said).
    pub age_ms: u32,
}

/// A piece of evidence, as it is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredEvidence {
    /// Which of the engine's lives.
    pub started_ms: u64,
    /// Which of the witness's lives, and the number.
    pub version: (u64, u32),
    /// The witness's zone.
    pub zone: u64,
    /// What it saw.
    pub finding: Finding,
    /// Since when, by our clock (ns).
    pub since_ns: u64,
    /// When the witness last held to it, by our clock (ns).
    pub reported_ns: u64,
}

/// All evidence, by engine and witness.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceTable(BTreeMap<(u64, u32), StoredEvidence>);

impl EvidenceTable {
    /// Takes a piece; whether it is news. What is older than `fade_ns` is not taken.
    pub fn merge(&mut self, now: u64, report: &Evidence, evidence_lifetime_ns: u64) -> bool {
        let ago = |ms: u32| now.saturating_sub(u64::from(ms) * 1_000_000);
        let stored = StoredEvidence {
            started_ms: report.started_ms,
            version: (report.life, report.number),
            zone: report.zone,
            finding: report.finding,
            since_ns: ago(report.since_ms),
            reported_ns: ago(report.age_ms),
        };
        if u64::from(report.age_ms) * 1_000_000 >= evidence_lifetime_ns {
            return false;
        }
        let key = (report.engine, report.observer);
        match self.0.get(&key) {
            Some(known) if known.version >= stored.version => false,
            None if self.0.len() >= MAX_EVIDENCE => false,
            _ => {
                self.0.insert(key, stored);
                true
            }
        }
    }

    /// Forgets what has faded.
    pub fn expire(&mut self, now: u64, evidence_lifetime_ns: u64) {
        self.0.retain(|_, stored| now < stored.reported_ns.saturating_add(evidence_lifetime_ns));
    }

    /// A piece, as it is said now.
    pub fn export(&self, now: u64, engine: u64, observer: u32) -> Option<Evidence> {
        let stored = self.0.get(&(engine, observer))?;
        let ago = |ns: u64| (now.saturating_sub(ns) / 1_000_000).min(u64::from(u32::MAX)) as u32;
        Some(Evidence {
            engine,
            started_ms: stored.started_ms,
            observer,
            life: stored.version.0,
            number: stored.version.1,
            zone: stored.zone,
            finding: stored.finding,
            since_ms: ago(stored.since_ns),
            age_ms: ago(stored.reported_ns),
        })
    }

    /// All of it.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u32, &StoredEvidence)> + '_ {
        self.0.iter().map(|((engine, observer), stored)| (*engine, *observer, stored))
    }

    /// What is said of one engine, by witness.
    pub fn for_engine(&self, engine: u64) -> impl Iterator<Item = (u32, &StoredEvidence)> + '_ {
        self.0.range((engine, 0)..=(engine, u32::MAX)).map(|((_, observer), stored)| (*observer, stored))
    }

    /// How much there is (count).
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
