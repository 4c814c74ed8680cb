//! Operators' words: which engines are out, and which are back. The later stamp wins, so that merging is commutative, associative
//! and idempotent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::version::Version;

/// Words that are kept at most (count), and the longest name (bytes).
pub const MAX_OVERRIDES: usize = 10_000;
/// Longest name of an engine (bytes).
pub const MAX_NAME_BYTES: usize = 128;

/// What an operator said of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Override {
    /// When.
    #[serde(rename = "stamp")]
    pub version: Version,
    /// Out, or back.
    #[serde(rename = "out")]
    pub excluded: bool,
}

/// What became of a word that was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It is the latest.
    Updated,
    /// It was known.
    Unchanged,
    /// A later one was known.
    Superseded,
    /// It can't be one, or there is no room.
    Rejected,
}

/// All words.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides(BTreeMap<String, Override>);

/// Whether a text may be the name of an engine.
pub fn is_valid_engine_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(|b| b.is_ascii_graphic())
}

impl Overrides {
    /// Takes a word.
    pub fn merge(&mut self, name: &str, entry: Override) -> MergeOutcome {
        if let Some(known) = self.0.get_mut(name) {
            // Two routers with one number may give one stamp to two words: then out wins everywhere.
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

    /// Makes room by the oldest word that an engine is back.
    fn evict_oldest_inclusion(&mut self) -> bool {
        let oldest =
            self.0.iter().filter(|(_, entry)| !entry.excluded).min_by_key(|(_, entry)| entry.version);
        let Some(name) = oldest.map(|(name, _)| name.clone()) else { return false };
        self.0.remove(&name).is_some()
    }

    /// Forgets ends that are older than any cut may last: nobody says any more what they ended.
    pub fn expire(&mut self, now_ns: u64, override_memory_ns: u64) {
        let before = now_ns.saturating_sub(override_memory_ns) / 1_000_000;
        self.0.retain(|_, entry| entry.excluded || entry.version.ms >= before);
    }

    /// A word.
    pub fn get(&self, name: &str) -> Option<Override> {
        self.0.get(name).copied()
    }

    /// All of them by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Override)> + '_ {
        self.0.iter().map(|(name, entry)| (name.as_str(), *entry))
    }

    /// Engines that are out.
    pub fn excluded(&self) -> impl Iterator<Item = &str> {
        self.0.iter().filter(|(_, entry)| entry.excluded).map(|(name, _)| name.as_str())
    }

    /// How many there are (count).
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// As text, a word a line.
    pub fn to_text(&self) -> String {
        let line = |(name, entry): (&str, Override)| {
            let state = if entry.excluded { "out" } else { "back" };
            format!("{state} {} {} {} {name}\n", entry.version.ms, entry.version.count, entry.version.router)
        };
        self.iter().map(line).collect()
    }

    /// What [`Words::to_text`] wrote; lines that can't be words are passed over.
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
