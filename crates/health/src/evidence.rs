//! Evidence of engine health. Each piece has one writer: only the router that observed an engine
//! updates its report. Versions order the updates, so merging does not depend on the order of
//! arrival.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Largest number of stored pieces of evidence.
pub const MAX_EVIDENCE: usize = 30_000;

/// What a router observed of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Finding {
    /// It served a request.
    Well,
    /// It has not responded since an attempt was sent.
    Silent,
    /// Its responses are malformed.
    Spoils,
    /// It is slower than other engines, by this ratio in tenths.
    Slow(u16),
}

impl Finding {
    /// Whether the finding reports a fault.
    pub fn is_fault(self) -> bool {
        self != Finding::Well
    }
}

/// Evidence as it is sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    /// Hash of the engine's name.
    pub engine: u64,
    /// Start time of the engine in milliseconds, as listed. It identifies one run of the engine.
    pub started_ms: u64,
    /// Router that observed the engine.
    #[serde(rename = "witness")]
    pub observer: u32,
    /// Incarnation of the observer.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Sequence number, which grows with each report of the observer.
    pub number: u32,
    /// Hash of the observer's zone name.
    pub zone: u64,
    /// What was observed.
    pub finding: Finding,
    /// Time since the finding began, in milliseconds before sending.
    pub since_ms: u32,
    /// Time since the observer last reported it, in milliseconds before sending.
    pub age_ms: u32,
}

/// Evidence as it is stored, with times of the local clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredEvidence {
    /// Start time of the engine in milliseconds.
    pub started_ms: u64,
    /// Incarnation of the observer, and sequence number.
    pub version: (u64, u32),
    /// Hash of the observer's zone name.
    pub zone: u64,
    /// What was observed.
    pub finding: Finding,
    /// When the finding began, in nanoseconds.
    pub since_ns: u64,
    /// When the observer last reported it, in nanoseconds.
    pub reported_ns: u64,
}

/// All evidence, by engine and observer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceTable(BTreeMap<(u64, u32), StoredEvidence>);

impl EvidenceTable {
    /// Stores a report if it is newer than the stored one and younger than `evidence_lifetime_ns`.
    /// Returns whether it was stored.
    pub fn merge(&mut self, now: u64, report: &Evidence, evidence_lifetime_ns: u64) -> bool {
        let ago = |ms: u32| now.saturating_sub(u64::from(ms) * 1_000_000);
        let stored = StoredEvidence {
            started_ms: report.started_ms,
            version: (report.incarnation, report.number),
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

    /// Removes evidence older than `evidence_lifetime_ns`.
    pub fn expire(&mut self, now: u64, evidence_lifetime_ns: u64) {
        self.0.retain(|_, stored| now < stored.reported_ns.saturating_add(evidence_lifetime_ns));
    }

    /// Returns the evidence of one observer on one engine, as it is sent at `now`.
    pub fn export(&self, now: u64, engine: u64, observer: u32) -> Option<Evidence> {
        let stored = self.0.get(&(engine, observer))?;
        let ago = |ns: u64| (now.saturating_sub(ns) / 1_000_000).min(u64::from(u32::MAX)) as u32;
        Some(Evidence {
            engine,
            started_ms: stored.started_ms,
            observer,
            incarnation: stored.version.0,
            number: stored.version.1,
            zone: stored.zone,
            finding: stored.finding,
            since_ms: ago(stored.since_ns),
            age_ms: ago(stored.reported_ns),
        })
    }

    /// Iterates over all evidence as engine, observer and report.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u32, &StoredEvidence)> + '_ {
        self.0.iter().map(|((engine, observer), stored)| (*engine, *observer, stored))
    }

    /// Iterates over the evidence on one engine, by observer.
    pub fn for_engine(&self, engine: u64) -> impl Iterator<Item = (u32, &StoredEvidence)> + '_ {
        self.0.range((engine, 0)..=(engine, u32::MAX)).map(|((_, observer), stored)| (*observer, stored))
    }

    /// Returns the number of stored pieces of evidence.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
