//! Queue of recent changes. Each change is sent in a fixed number of rounds: overrides first, then
//! faults, then recoveries; within one priority, the changes sent least often go first.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::evidence::{EvidenceTable, Finding};
use crate::message::{Message, EVIDENCE_BYTES, MESSAGE_BYTES, OVERRIDE_BYTES};
use crate::overrides::Overrides;

/// A queued change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Item {
    Override(String),
    Fault(u64, u32),
    Recovery(u64, u32),
}

impl Item {
    /// Priority of the change; the lowest value is sent first.
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

/// Changes to send, with the number of rounds left for each.
#[derive(Clone, Debug)]
pub(crate) struct GossipQueue {
    /// Number of rounds in which each change is sent.
    rounds: u32,
    items: BTreeMap<Item, u32>,
}

impl GossipQueue {
    /// Creates an empty queue that sends each change in `rounds` rounds.
    pub(crate) fn new(rounds: u32) -> GossipQueue {
        GossipQueue { rounds, items: BTreeMap::new() }
    }

    /// Queues the override of an engine.
    pub(crate) fn push_override(&mut self, name: &str) {
        self.items.insert(Item::Override(name.to_owned()), self.rounds);
    }

    /// Queues a finding; it replaces the earlier finding of the same observer on the same engine.
    pub(crate) fn push_evidence(&mut self, engine: u64, observer: u32, finding: Finding) {
        let (added, replaced) = match finding.is_fault() {
            true => (Item::Fault(engine, observer), Item::Recovery(engine, observer)),
            false => (Item::Recovery(engine, observer), Item::Fault(engine, observer)),
        };
        self.items.remove(&replaced);
        self.items.insert(added, self.rounds);
    }

    /// Removes all overrides from the queue.
    pub(crate) fn drop_overrides(&mut self) {
        self.items.retain(|item, _| !matches!(item, Item::Override(_)));
    }

    /// Returns the next message, which fits a datagram, or `None` if there is nothing to send. If
    /// `overrides` is `None`, queued overrides are counted as sent but left out.
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

    /// Selects the first changes by priority that fit one message.
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
