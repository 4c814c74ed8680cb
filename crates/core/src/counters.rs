//! What the router took in, sent, answered and saw end.

use std::collections::BTreeMap;

use super::end_reason::{EndReason, END_REASONS};

/// The counters of one process; they only grow.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Requests taken.
    pub taken: u64,
    /// Attempts sent to engines.
    pub sent: u64,
    /// Answers: all rows.
    pub served: u64,
    /// Answers: trying again is harmless.
    pub refused: u64,
    /// Answers: failed.
    pub failed: u64,
    /// Requests whose client left before its answer.
    pub left: u64,
    /// Those of them that waited: nothing of them had wholly gone to an engine, and nothing did any more.
    pub left_unsent: u64,
    /// Messages of clients that were turned away before they became requests.
    pub rejected: u64,
    /// Client connections accepted.
    pub accepted: u64,
    /// Connections opened to engines.
    pub opened: u64,
    /// Times that no descriptor was to be had.
    pub short_of_descriptors: u64,
    /// Membership events taken.
    pub membership: u64,
    /// Answers of engines that were spoilt.
    pub spoilt: u64,
    /// Times that the configuration was read again.
    pub reloads: u64,
    /// Times that a new configuration could not be read.
    pub reloads_failed: u64,
    endings: BTreeMap<EndReason, u64>,
}

impl Counters {
    /// Counts one ending.
    pub fn ended(&mut self, end_reason: EndReason) {
        *self.endings.entry(end_reason).or_default() += 1;
    }

    /// How often something ended so.
    pub fn endings(&self, end_reason: EndReason) -> u64 {
        self.endings.get(&end_reason).copied().unwrap_or(0)
    }

    /// One line with all of them.
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
