//! Whether the list service counts its events anew: relays that hear it say so for long enough.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Relays that must say so, where there are so many (count): one that lies about its number is not believed alone.
const MIN_OBSERVERS: usize = 2;

#[derive(Clone, Debug)]
struct Reports {
    first_ns: u64,
    last_ns: u64,
    relays: BTreeSet<SocketAddr>,
}

/// Relays that hear the list service and are behind what is held.
#[derive(Clone, Debug, Default)]
pub(crate) struct RestartDetector(Option<Reports>);

impl RestartDetector {
    /// A relay which hears the list service is behind what is held. What was said longer ago than the settle time is no witness
    /// for what is said now.
    pub(crate) fn record(&mut self, now: u64, relay: SocketAddr, settle_ns: u64) {
        let before = self.0.take().filter(|reports| now <= reports.last_ns.saturating_add(settle_ns));
        let reports = before.unwrap_or(Reports { first_ns: now, last_ns: now, relays: BTreeSet::new() });
        let reports = self.0.insert(reports);
        reports.last_ns = now;
        reports.relays.insert(relay);
    }

    /// A relay which hears the list service is where the held list is, or further.
    pub(crate) fn clear(&mut self) {
        self.0 = None;
    }

    /// Whether enough of so many relays have said so for the settle time.
    pub(crate) fn is_confirmed(&self, now: u64, settle_ns: u64, relays: usize) -> bool {
        let enough = |reports: &Reports| reports.relays.len() >= MIN_OBSERVERS.min(relays);
        self.0
            .as_ref()
            .is_some_and(|reports| enough(reports) && now >= reports.first_ns.saturating_add(settle_ns))
    }
}
