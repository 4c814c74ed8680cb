//! News that is still spread: each thing is said in a number of rounds, the gravest first, and among the equally grave those that
//! were said least.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::evidence::{Finding, Table};
use crate::message::{Message, EVIDENCE_BYTES, MESSAGE_BYTES, WORD_BYTES};
use crate::words::Words;

/// A thing that is spread; the order of the variants is that of their gravity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Item {
    Word(String),
    Bad(u64, u32),
    Well(u64, u32),
}

impl Item {
    /// How grave it is: the lowest is said first.
    fn gravity(&self) -> u8 {
        match self {
            Item::Word(_) => 0,
            Item::Bad(..) => 1,
            Item::Well(..) => 2,
        }
    }

    fn bytes(&self) -> usize {
        match self {
            Item::Word(name) => name.len() + WORD_BYTES,
            Item::Bad(..) | Item::Well(..) => EVIDENCE_BYTES,
        }
    }
}

/// What is to be said, and how often still.
#[derive(Clone, Debug)]
pub(crate) struct HotNews {
    /// In how many rounds each thing is said (count).
    rounds: u32,
    items: BTreeMap<Item, u32>,
}

impl HotNews {
    /// Nothing yet; each thing is said in so many rounds.
    pub(crate) fn new(rounds: u32) -> HotNews {
        HotNews { rounds, items: BTreeMap::new() }
    }

    /// The word about an engine is news.
    pub(crate) fn add_word(&mut self, name: &str) {
        self.items.insert(Item::Word(name.to_owned()), self.rounds);
    }

    /// What a router found of an engine is news; it replaces what it found before.
    pub(crate) fn add_evidence(&mut self, engine: u64, witness: u32, finding: Finding) {
        let (new, other) = match finding.is_bad() {
            true => (Item::Bad(engine, witness), Item::Well(engine, witness)),
            false => (Item::Well(engine, witness), Item::Bad(engine, witness)),
        };
        self.items.remove(&other);
        self.items.insert(new, self.rounds);
    }

    /// Spreads no word any more.
    pub(crate) fn forget_words(&mut self) {
        self.items.retain(|item, _| !matches!(item, Item::Word(_)));
    }

    /// What is said in the next message, up to a datagram; `words` where they may be said. None where there is nothing.
    pub(crate) fn next(&mut self, now: u64, words: Option<&Words>, table: &Table) -> Option<Message> {
        let said = self.gravest();
        let (mut named, mut evidence) = (Vec::new(), Vec::new());
        for item in said {
            match &item {
                Item::Word(name) => {
                    let word = words.and_then(|words| words.get(name));
                    named.extend(word.map(|word| (name.clone(), word)));
                }
                Item::Bad(engine, witness) | Item::Well(engine, witness) => {
                    evidence.extend(table.say(now, *engine, *witness));
                }
            }
            self.count_down(&item);
        }
        let nothing = named.is_empty() && evidence.is_empty();
        (!nothing).then_some(Message::News { words: named, evidence })
    }

    /// The things that come first and fit one message.
    fn gravest(&self) -> Vec<Item> {
        let mut order: Vec<(&Item, &u32)> = self.items.iter().collect();
        order.sort_unstable_by_key(|(item, left)| (item.gravity(), Reverse(**left), *item));
        let mut size = 0;
        let mut fitting = Vec::new();
        for (item, _) in order {
            size += item.bytes();
            if size > MESSAGE_BYTES {
                break;
            }
            fitting.push(item.clone());
        }
        fitting
    }

    fn count_down(&mut self, item: &Item) {
        let Some(left) = self.items.get_mut(item) else { return };
        *left -= 1;
        if *left == 0 {
            self.items.remove(item);
        }
    }
}
