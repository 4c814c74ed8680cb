//! Whether the list service counts its events anew: relays that hear it say so for long enough.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Relays that must say so, where there are so many (count): one that lies about its number is not believed alone.
const WITNESSES: usize = 2;

#[derive(Clone, Debug)]
struct Said {
    since_ns: u64,
    last_ns: u64,
    relays: BTreeSet<SocketAddr>,
}

/// Relays that hear the list service and are behind what is held.
#[derive(Clone, Debug, Default)]
pub(crate) struct Anew(Option<Said>);

impl Anew {
    /// A relay which hears the list service is behind what is held. What was said longer ago than the settle time is no witness
    /// for what is said now.
    pub(crate) fn note(&mut self, now: u64, relay: SocketAddr, settle_ns: u64) {
        let before = self.0.take().filter(|said| now <= said.last_ns.saturating_add(settle_ns));
        let said = before.unwrap_or(Said { since_ns: now, last_ns: now, relays: BTreeSet::new() });
        let said = self.0.insert(said);
        said.last_ns = now;
        said.relays.insert(relay);
    }

    /// A relay which hears the list service is where the held list is, or further.
    pub(crate) fn forget(&mut self) {
        self.0 = None;
    }

    /// Whether enough of so many relays have said so for the settle time.
    pub(crate) fn is_believed(&self, now: u64, settle_ns: u64, relays: usize) -> bool {
        let enough = |said: &Said| said.relays.len() >= WITNESSES.min(relays);
        self.0.as_ref().is_some_and(|said| enough(said) && now >= said.since_ns.saturating_add(settle_ns))
    }
}
