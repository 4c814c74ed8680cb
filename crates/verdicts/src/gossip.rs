//! News that is still spread: each thing is said in a number of rounds, the gravest first, and among the equally grave those that
//! were said least.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::evidence::{EvidenceTable, Finding};
use crate::message::{Message, EVIDENCE_BYTES, MESSAGE_BYTES, OVERRIDE_BYTES};
use crate::overrides::Overrides;

/// A thing that is spread; the order of the variants is that of their gravity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Item {
    Override(String),
    Fault(u64, u32),
    Recovery(u64, u32),
}

impl Item {
    /// How grave it is: the lowest is said first.
    fn priority(&self) -> u8 {
        match self {
            Item::Override(_) => 0,
            Item::Fault(..) => 1,
            Item::Recovery(..) => 2,
        }
    }

    fn bytes(&self) -> usize {
        match self {
            Item::Override(name) => name.len() + OVERRIDE_BYTES,
            Item::Fault(..) | Item::Recovery(..) => EVIDENCE_BYTES,
        }
    }
}

/// What is to be said, and how often still.
#[derive(Clone, Debug)]
pub(crate) struct GossipQueue {
    /// In how many rounds each thing is said (count).
    rounds: u32,
    items: BTreeMap<Item, u32>,
}

impl GossipQueue {
    /// Nothing yet; each thing is said in so many rounds.
    pub(crate) fn new(rounds: u32) -> GossipQueue {
        GossipQueue { rounds, items: BTreeMap::new() }
    }

    /// The word about an engine is news.
    pub(crate) fn push_override(&mut self, name: &str) {
        self.items.insert(Item::Override(name.to_owned()), self.rounds);
    }

    /// What a router found of an engine is news; it replaces what it found before.
    pub(crate) fn push_evidence(&mut self, engine: u64, observer: u32, finding: Finding) {
        let (added, replaced) = match finding.is_fault() {
            true => (Item::Fault(engine, observer), Item::Recovery(engine, observer)),
            false => (Item::Recovery(engine, observer), Item::Fault(engine, observer)),
        };
        self.items.remove(&replaced);
        self.items.insert(added, self.rounds);
    }

    /// Spreads no word any more.
    pub(crate) fn drop_overrides(&mut self) {
        self.items.retain(|item, _| !matches!(item, Item::Override(_)));
    }

    /// What is said in the next message, up to a datagram; `words` where they may be said. None where there is nothing.
    pub(crate) fn next_message(
        &mut self,
        now: u64,
        overrides: Option<&Overrides>,
        table: &EvidenceTable,
    ) -> Option<Message> {
        let batch = self.select_batch();
        let (mut named, mut evidence) = (Vec::new(), Vec::new());
        for item in batch {
            match &item {
                Item::Override(name) => {
                    let entry = overrides.and_then(|overrides| overrides.get(name));
                    named.extend(entry.map(|entry| (name.clone(), entry)));
                }
                Item::Fault(engine, observer) | Item::Recovery(engine, observer) => {
                    evidence.extend(table.export(now, *engine, *observer));
                }
            }
            self.count_down(&item);
        }
        let is_empty = named.is_empty() && evidence.is_empty();
        (!is_empty).then_some(Message::Update { overrides: named, evidence })
    }

    /// The things that come first and fit one message.
    fn select_batch(&self) -> Vec<Item> {
        let mut order: Vec<(&Item, &u32)> = self.items.iter().collect();
        order.sort_unstable_by_key(|(item, rounds_left)| (item.priority(), Reverse(**rounds_left), *item));
        let mut size = 0;
        let mut batch = Vec::new();
        for (item, _) in order {
            size += item.bytes();
            if size > MESSAGE_BYTES {
                break;
            }
            batch.push(item.clone());
        }
        batch
    }

    fn count_down(&mut self, item: &Item) {
        let Some(rounds_left) = self.items.get_mut(item) else { return };
        *rounds_left -= 1;
        if *rounds_left == 0 {
            self.items.remove(item);
        }
    }
}
