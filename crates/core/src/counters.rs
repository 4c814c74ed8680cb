//! Counters of requests, attempts, connections and end reasons.

use std::collections::BTreeMap;

use super::end_reason::{EndReason, END_REASONS};

/// The counters of one process. They never decrease; fields have the names of the metrics.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Requests accepted.
    pub taken: u64,
    /// Attempts sent to engines.
    pub sent: u64,
    /// Requests answered with a result.
    pub served: u64,
    /// Requests refused; a retry is safe.
    pub refused: u64,
    /// Requests answered with a failure.
    pub failed: u64,
    /// Requests whose client disconnected or cancelled before the answer.
    pub left: u64,
    /// Requests counted in `left` with no attempt in flight, or whose attempt was cancelled unsent.
    pub left_unsent: u64,
    /// Client messages rejected before they became requests.
    pub rejected: u64,
    /// Client connections accepted.
    pub accepted: u64,
    /// Connections opened to engines.
    pub opened: u64,
    /// Times that no file descriptor was available.
    pub short_of_descriptors: u64,
    /// Membership events processed.
    pub membership: u64,
    /// Engine responses that could not be parsed.
    pub spoilt: u64,
    /// Successful reloads of the configuration.
    pub reloads: u64,
    /// Failed reloads of the configuration.
    pub reloads_failed: u64,
    endings: BTreeMap<EndReason, u64>,
}

impl Counters {
    /// Counts one end of a connection, call or attempt.
    pub fn ended(&mut self, end_reason: EndReason) {
        *self.endings.entry(end_reason).or_default() += 1;
    }

    /// Returns how often this end reason occurred.
    pub fn endings(&self, end_reason: EndReason) -> u64 {
        self.endings.get(&end_reason).copied().unwrap_or(0)
    }

    /// Formats all counters as one line of `name=value` pairs.
    pub fn line(&self) -> String {
        let mut line = format!(
            "taken={} sent={} served={} refused={} failed={} left={} left_unsent={} rejected={} accepted={} opened={} \
             short_of_descriptors={} membership={} spoilt={} reloads={} reloads_failed={}",
            self.taken,
            self.sent,
            self.served,
            self.refused,
            self.failed,
            self.left,
            self.left_unsent,
            self.rejected,
            self.accepted,
            self.opened,
            self.short_of_descriptors,
            self.membership,
            self.spoilt,
            self.reloads,
            self.reloads_failed
        );
        for (end_reason, name) in END_REASONS {
            line.push_str(&format!(" ended_{name}={}", self.endings(end_reason)));
        }
        line
    }
}
