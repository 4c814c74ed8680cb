//! How often what happened, and why messages were passed over.

use std::collections::{BTreeMap, BTreeSet};

use log::warn;

/// Why a message is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// It can't be read, or its pieces are not of the part that they say.
    Spoilt,
    /// It is of a lower version than what is known, or of the same version and another content.
    Old,
    /// It answers an ask of an earlier life of this router.
    OtherIncarnation,
    /// It answers no ask that is open.
    OtherAsk,
    /// It is for another router: of another cell, or with engines of another.
    OtherRouter,
    /// Its sender is no relay of the settings.
    Stranger,
    /// It is a change of a part that is not held.
    Gap,
    /// There is no room for a further router.
    Full,
    /// It names an engine that can't be told on.
    Engine,
}

/// All of them, for counters and the log.
pub const REASONS: [(Reason, &str, &str); 9] = [
    (Reason::Spoilt, "spoilt", "it can't be read, or is not what its digest says"),
    (Reason::Old, "old", "it is older than what is known"),
    (Reason::OtherIncarnation, "other_life", "it is for an earlier life of this process"),
    (Reason::OtherAsk, "other_ask", "it answers no ask that is open"),
    (Reason::OtherRouter, "other_router", "it is for another router's cell"),
    (Reason::Stranger, "stranger", "its sender is none of the relays"),
    (Reason::Gap, "gap", "it changes a part that is not held"),
    (Reason::Full, "full", "there are as many routers as may be"),
    (Reason::Engine, "engine", "an engine's names are too long to be told on"),
];

/// Counts of messages that were passed over, by why.
#[derive(Clone, Debug, Default)]
pub struct Passed {
    counts: BTreeMap<Reason, u64>,
    told: BTreeSet<Reason>,
}

impl Passed {
    /// Counts one; each reason is logged once.
    pub fn count(&mut self, reason: Reason, from: impl std::fmt::Display) {
        *self.counts.entry(reason).or_default() += 1;
        if self.told.insert(reason) {
            let why = REASONS.iter().find(|(r, _, _)| *r == reason).map_or("", |(_, _, why)| why);
            warn!(
                "a message about the list from {from} is passed over: {why}; further ones are only counted"
            );
        }
    }

    /// How many were passed over for this reason.
    pub fn of(&self, reason: Reason) -> u64 {
        self.counts.get(&reason).copied().unwrap_or(0)
    }

    /// All counts by name.
    pub fn all(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        REASONS.iter().map(|(reason, name, _)| (*name, self.of(*reason)))
    }
}

/// How often what happened at a subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubscriberCounters {
    /// Asks sent.
    pub asks: u64,
    /// Whole parts taken.
    pub wholes: u64,
    /// Changes taken.
    pub deltas: u64,
    /// Times that a relay was left for another.
    pub left: u64,
    /// Times that what is known got older than it may be.
    pub stale: u64,
}

/// How often what happened at a relay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayCounters {
    /// Asks heard.
    pub asks: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Parts computed.
    pub parts: u64,
    /// Changes sent.
    pub deltas: u64,
}
