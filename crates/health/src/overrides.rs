//! Operators' overrides, which exclude or re-include engines. The later version wins, so merging is
//! commutative, associative and idempotent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::version::Version;

/// Largest number of stored overrides.
pub const MAX_OVERRIDES: usize = 10_000;
/// Longest name of an engine, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// An operator's decision on one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Override {
    /// Version that decides which override wins.
    #[serde(rename = "stamp")]
    pub version: Version,
    /// Whether the engine is excluded; `false` re-includes it.
    #[serde(rename = "out")]
    pub excluded: bool,
}

/// Result of merging a received override.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The override is the latest and was stored.
    Updated,
    /// The same override was already stored.
    Unchanged,
    /// A later override was already stored.
    Superseded,
    /// The engine's name is invalid, or there is no room.
    Rejected,
}

/// The latest override of each engine, by the engine's name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides(BTreeMap<String, Override>);

/// Whether a text is a valid engine name: printable ASCII without spaces, of bounded length.
pub fn is_valid_engine_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(|b| b.is_ascii_graphic())
}

impl Overrides {
    /// Stores an override unless a later one is stored for the same engine.
    pub fn merge(&mut self, name: &str, entry: Override) -> MergeOutcome {
        if let Some(known) = self.0.get_mut(name) {
            // Two routers configured with one number may issue equal versions; an exclusion then
            // wins.
            return match entry.cmp(known) {
                std::cmp::Ordering::Greater => {
                    *known = entry;
                    MergeOutcome::Updated
                }
                std::cmp::Ordering::Equal => MergeOutcome::Unchanged,
                std::cmp::Ordering::Less => MergeOutcome::Superseded,
            };
        }
        if !is_valid_engine_name(name) || self.0.len() >= MAX_OVERRIDES && !self.evict_oldest_inclusion() {
            return MergeOutcome::Rejected;
        }
        self.0.insert(name.to_owned(), entry);
        MergeOutcome::Updated
    }

    /// Evicts the oldest override that re-includes an engine. Returns `false` if there is none.
    fn evict_oldest_inclusion(&mut self) -> bool {
        let oldest =
            self.0.iter().filter(|(_, entry)| !entry.excluded).min_by_key(|(_, entry)| entry.version);
        let Some(name) = oldest.map(|(name, _)| name.clone()) else { return false };
        self.0.remove(&name).is_some()
    }

    /// Removes re-inclusions older than `override_memory_ns`. No partition lasts longer, so no peer
    /// still sends the exclusion that they revert.
    pub fn expire(&mut self, now_ns: u64, override_memory_ns: u64) {
        let before = now_ns.saturating_sub(override_memory_ns) / 1_000_000;
        self.0.retain(|_, entry| entry.excluded || entry.version.ms >= before);
    }

    /// Returns the override of an engine.
    pub fn get(&self, name: &str) -> Option<Override> {
        self.0.get(name).copied()
    }

    /// Iterates over all overrides by engine name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Override)> + '_ {
        self.0.iter().map(|(name, entry)| (name.as_str(), *entry))
    }

    /// Iterates over the names of excluded engines.
    pub fn excluded(&self) -> impl Iterator<Item = &str> {
        self.0.iter().filter(|(_, entry)| entry.excluded).map(|(name, _)| name.as_str())
    }

    /// Returns the number of overrides.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no overrides.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Formats all overrides as text, one per line.
    pub fn to_text(&self) -> String {
        let line = |(name, entry): (&str, Override)| {
            let state = if entry.excluded { "out" } else { "back" };
            format!("{state} {} {} {} {name}\n", entry.version.ms, entry.version.count, entry.version.router)
        };
        self.iter().map(line).collect()
    }

    /// Parses the output of [`Overrides::to_text`]; invalid lines are skipped.
    pub fn from_text(text: &str) -> Overrides {
        let mut overrides = Overrides::default();
        for line in text.lines().take(MAX_OVERRIDES) {
            let fields: Vec<&str> = line.split(' ').collect();
            let [state @ ("out" | "back"), ms, count, router, name] = fields[..] else { continue };
            if let (Ok(ms), Ok(count), Ok(router)) = (ms.parse(), count.parse(), router.parse()) {
                overrides.merge(
                    name,
                    Override { version: Version { ms, count, router }, excluded: state == "out" },
                );
            }
        }
        overrides
    }
}
