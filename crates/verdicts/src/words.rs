//! Operators' words: which engines are out, and which are back. The later stamp wins, so that merging is commutative, associative
//! and idempotent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::stamp::Stamp;

/// Words that are kept at most (count), and the longest name (bytes).
pub const WORDS_MOST: usize = 10_000;
/// Longest name of an engine (bytes).
pub const NAME_MOST: usize = 128;

/// What an operator said of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Word {
    /// When.
    pub stamp: Stamp,
    /// Out, or back.
    pub out: bool,
}

/// What became of a word that was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// It is the latest.
    News,
    /// It was known.
    Known,
    /// A later one was known.
    Older,
    /// It can't be one, or there is no room.
    Refused,
}

/// All words.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Words(BTreeMap<String, Word>);

/// Whether a text may be the name of an engine.
pub fn well_formed(name: &str) -> bool {
    !name.is_empty() && name.len() <= NAME_MOST && name.bytes().all(|b| b.is_ascii_graphic())
}

impl Words {
    /// Takes a word.
    pub fn merge(&mut self, name: &str, word: Word) -> Merged {
        if let Some(known) = self.0.get_mut(name) {
            // Two routers with one number may give one stamp to two words: then out wins everywhere.
            return match word.cmp(known) {
                std::cmp::Ordering::Greater => {
                    *known = word;
                    Merged::News
                }
                std::cmp::Ordering::Equal => Merged::Known,
                std::cmp::Ordering::Less => Merged::Older,
            };
        }
        if !well_formed(name) || self.0.len() >= WORDS_MOST && !self.forget_oldest_end() {
            return Merged::Refused;
        }
        self.0.insert(name.to_owned(), word);
        Merged::News
    }

    /// Makes room by the oldest word that an engine is back.
    fn forget_oldest_end(&mut self) -> bool {
        let oldest = self.0.iter().filter(|(_, w)| !w.out).min_by_key(|(_, w)| w.stamp);
        let Some(name) = oldest.map(|(name, _)| name.clone()) else { return false };
        self.0.remove(&name).is_some()
    }

    /// Forgets ends that are older than any cut may last: nobody says any more what they ended.
    pub fn forget(&mut self, now_ns: u64, remember_ns: u64) {
        let before = now_ns.saturating_sub(remember_ns) / 1_000_000;
        self.0.retain(|_, word| word.out || word.stamp.ms >= before);
    }

    /// A word.
    pub fn get(&self, name: &str) -> Option<Word> {
        self.0.get(name).copied()
    }

    /// All of them by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Word)> + '_ {
        self.0.iter().map(|(name, word)| (name.as_str(), *word))
    }

    /// Engines that are out.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.0.iter().filter(|(_, word)| word.out).map(|(name, _)| name.as_str())
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
        let line = |(name, w): (&str, Word)| {
            let what = if w.out { "out" } else { "back" };
            format!("{what} {} {} {} {name}\n", w.stamp.ms, w.stamp.count, w.stamp.router)
        };
        self.iter().map(line).collect()
    }

    /// What [`Words::to_text`] wrote; lines that can't be words are passed over.
    pub fn of_text(text: &str) -> Words {
        let mut words = Words::default();
        for line in text.lines().take(WORDS_MOST) {
            let fields: Vec<&str> = line.split(' ').collect();
            let [what @ ("out" | "back"), ms, count, router, name] = fields[..] else { continue };
            if let (Ok(ms), Ok(count), Ok(router)) = (ms.parse(), count.parse(), router.parse()) {
                words.merge(name, Word { stamp: Stamp { ms, count, router }, out: what == "out" });
            }
        }
        words
    }
}
