//! Counters of relays and subscribers, and the reasons for rejecting messages.

use std::collections::{BTreeMap, BTreeSet};

use log::warn;

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// It could not be decoded, has invalid fields or pieces, or does not match its digest.
    Invalid,
    /// Its version is lower than the one held, or equal with different content.
    Outdated,
    /// It is for an earlier incarnation of this router.
    OtherIncarnation,
    /// It belongs to no outstanding request, or is a duplicated or reordered request.
    UnknownRequest,
    /// It is for another cell, contains engines of another cell, or has a direction that its
    /// recipient does not handle.
    WrongRecipient,
    /// Its sender is not a configured relay.
    UnknownSender,
    /// It is a delta based on a part that is not held.
    Gap,
    /// The relay already serves its largest number of routers.
    TooManyRouters,
    /// It contains an engine whose names are too long to publish.
    InvalidEngine,
}

/// All reasons with the names of their counters and descriptions for the log.
pub const REJECT_REASONS: [(RejectReason, &str, &str); 9] = [
    (RejectReason::Invalid, "spoilt", "it is invalid or does not match its digest"),
    (RejectReason::Outdated, "old", "its version is outdated"),
    (RejectReason::OtherIncarnation, "other_life", "it is for an earlier incarnation of this process"),
    (
        RejectReason::UnknownRequest,
        "other_ask",
        "it belongs to no outstanding request, or repeats an earlier one",
    ),
    (RejectReason::WrongRecipient, "other_router", "it is for another router or cell"),
    (RejectReason::UnknownSender, "stranger", "its sender is not a configured relay"),
    (RejectReason::Gap, "gap", "it is based on a part that is not held"),
    (RejectReason::TooManyRouters, "full", "the relay already serves its largest number of routers"),
    (RejectReason::InvalidEngine, "engine", "the names of an engine are too long to publish"),
];

/// Number of rejected messages by reason.
#[derive(Clone, Debug, Default)]
pub struct RejectedMessages {
    counts: BTreeMap<RejectReason, u64>,
    logged: BTreeSet<RejectReason>,
}

impl RejectedMessages {
    /// Counts a message. The first message of each reason is logged.
    pub fn count(&mut self, reason: RejectReason, from: impl std::fmt::Display) {
        *self.counts.entry(reason).or_default() += 1;
        if self.logged.insert(reason) {
            let description = REJECT_REASONS
                .iter()
                .find(|(r, _, _)| *r == reason)
                .map_or("", |(_, _, description)| description);
            warn!(
                "rejected a message about the engine list from {from}: {description}; further ones are only counted"
            );
        }
    }

    /// Returns the number of messages rejected for this reason.
    pub fn get(&self, reason: RejectReason) -> u64 {
        self.counts.get(&reason).copied().unwrap_or(0)
    }

    /// Returns all counts with their names.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        REJECT_REASONS.iter().map(|(reason, name, _)| (*name, self.get(*reason)))
    }
}

/// Counters of a subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubscriberCounters {
    /// Requests sent.
    pub requests: u64,
    /// Snapshots applied.
    pub snapshots: u64,
    /// Deltas applied.
    pub deltas: u64,
    /// Switches to another relay.
    pub failovers: u64,
    /// Times that the part exceeded its maximum age.
    pub stale_periods: u64,
}

/// Counters of a relay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayCounters {
    /// Requests received.
    pub requests: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Parts built from the list.
    pub parts_built: u64,
    /// Deltas sent.
    pub deltas: u64,
}
