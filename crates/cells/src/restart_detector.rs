//! Detection of a list service that restarted its event numbers.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of relays that must report a restart, if there are as many. Guards against a rollback
/// caused by one relay with a wrong version.
const MIN_OBSERVERS: usize = 2;

#[derive(Clone, Debug)]
struct Reports {
    first_ns: u64,
    last_ns: u64,
    relays: BTreeSet<SocketAddr>,
}

/// Relays that have contact to the list service and report a lower version than the part held.
#[derive(Clone, Debug, Default)]
pub(crate) struct RestartDetector(Option<Reports>);

impl RestartDetector {
    /// Records such a report. Earlier ones are dropped if the latest is older than `settle_ns`.
    pub(crate) fn record(&mut self, now: u64, relay: SocketAddr, settle_ns: u64) {
        let before = self.0.take().filter(|reports| now <= reports.last_ns.saturating_add(settle_ns));
        let reports = before.unwrap_or(Reports { first_ns: now, last_ns: now, relays: BTreeSet::new() });
        let reports = self.0.insert(reports);
        reports.last_ns = now;
        reports.relays.insert(relay);
    }

    /// Drops all reports: a relay with contact to the list service has the held version or a later
    /// one.
    pub(crate) fn clear(&mut self) {
        self.0 = None;
    }

    /// Returns whether enough of the `relays` have reported a lower version for `settle_ns`.
    pub(crate) fn is_confirmed(&self, now: u64, settle_ns: u64, relays: usize) -> bool {
        let enough = |reports: &Reports| reports.relays.len() >= MIN_OBSERVERS.min(relays);
        self.0
            .as_ref()
            .is_some_and(|reports| enough(reports) && now >= reports.first_ns.saturating_add(settle_ns))
    }
}
