//! How often what happened, and why messages were passed over.

use std::collections::{BTreeMap, BTreeSet};

use log::warn;

/// Why a message is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// It can't be read, or its pieces are not of the part that they say.
    Invalid,
    /// It is of a lower version than what is known, or of the same version and another content.
    Outdated,
    /// It answers an ask of an earlier life of this router.
    OtherIncarnation,
    /// It answers no ask that is open.
    UnknownRequest,
    /// It is for another router: of another cell, or with engines of another.
    WrongRecipient,
    /// Its sender is no relay of the settings.
    UnknownSender,
    /// It is a change of a part that is not held.
    Gap,
    /// There is no room for a further router.
    TooManyRouters,
    /// It names an engine that can't be told on.
    InvalidEngine,
}

/// All of them, for counters and the log.
pub const REJECT_REASONS: [(RejectReason, &str, &str); 9] = [
    (RejectReason::Invalid, "spoilt", "it can't be read, or is not what its digest says"),
    (RejectReason::Outdated, "old", "it is older than what is known"),
    (RejectReason::OtherIncarnation, "other_life", "it is for an earlier life of this process"),
    (RejectReason::UnknownRequest, "other_ask", "it answers no ask that is open"),
    (RejectReason::WrongRecipient, "other_router", "it is for another router's cell"),
    (RejectReason::UnknownSender, "stranger", "its sender is none of the relays"),
    (RejectReason::Gap, "gap", "it changes a part that is not held"),
    (RejectReason::TooManyRouters, "full", "there are as many routers as may be"),
    (RejectReason::InvalidEngine, "engine", "an engine's names are too long to be told on"),
];

/// Counts of messages that were passed over, by why.
#[derive(Clone, Debug, Default)]
pub struct RejectedMessages {
    counts: BTreeMap<RejectReason, u64>,
    logged: BTreeSet<RejectReason>,
}

impl RejectedMessages {
    /// Counts one; each reason is logged once.
    pub fn count(&mut self, reason: RejectReason, from: impl std::fmt::Display) {
        *self.counts.entry(reason).or_default() += 1;
        if self.logged.insert(reason) {
            let description = REJECT_REASONS
                .iter()
                .find(|(r, _, _)| *r == reason)
                .map_or("", |(_, _, description)| description);
            warn!(
                "a message about the list from {from} is passed over: {description}; further ones are only counted"
            );
        }
    }

    /// How many were passed over for this reason.
    pub fn get(&self, reason: RejectReason) -> u64 {
        self.counts.get(&reason).copied().unwrap_or(0)
    }

    /// All counts by name.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        REJECT_REASONS.iter().map(|(reason, name, _)| (*name, self.get(*reason)))
    }
}

/// How often what happened at a subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubscriberCounters {
    /// Asks sent.
    pub requests: u64,
    /// Whole parts taken.
    pub snapshots: u64,
    /// Changes taken.
    pub deltas: u64,
    /// Times that a relay was left for another.
    pub failovers: u64,
    /// Times that what is known got older than it may be.
    pub stale_periods: u64,
}

/// How often what happened at a relay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayCounters {
    /// Asks heard.
    pub requests: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Parts computed.
    pub parts_built: u64,
    /// Changes sent.
    pub deltas: u64,
}
