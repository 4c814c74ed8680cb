//! The queues themselves: lists in one table of entries, from which any entry leaves in constant time.

use slab::Slab;

use crate::concurrency_limit::RequestKind;
use crate::wheel::TimerKey;
use crate::Arrival;

const NONE: u32 = u32::MAX;

/// Where an entry stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EntryState {
    /// In its queue.
    Queued,
    /// Among those who came back as they were told.
    Reserved,
    /// The module has it: since when, and what its flow was charged.
    Submitted {
        /// Since when (ns).
        at_ns: u64,
        /// Charged (thread-nanoseconds).
        charged: f64,
    },
}

/// A request at the door or behind it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What is known of it.
    pub arrival: Arrival,
    /// Its flow.
    pub flow: u64,
    /// Its queue within its tenant's lane.
    pub queue: usize,
    /// Its kind.
    pub kind: RequestKind,
    /// What it is expected to hold (thread-nanoseconds).
    pub cost: f64,
    /// The same by its own word.
    pub estimated_cost: f64,
    /// When it came (ns).
    pub arrived_ns: u64,
    /// It claims a promise.
    pub reserved: bool,
    /// Where it stands.
    pub state: EntryState,
    /// Its timer, while it waits.
    pub timer: Option<TimerKey>,
    prev: u32,
    next: u32,
}

impl Entry {
    /// One that stands in no list yet.
    pub fn new(arrival: Arrival, flow: u64, kind: RequestKind, cost: f64, arrived_ns: u64) -> Self {
        Entry {
            arrival,
            flow,
            queue: 0,
            kind,
            cost,
            estimated_cost: cost,
            arrived_ns,
            reserved: false,
            state: EntryState::Reserved,
            timer: None,
            prev: NONE,
            next: NONE,
        }
    }
}

/// A list of entries, oldest first.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    head: u32,
    tail: u32,
    /// Entries in it.
    pub count: u32,
    /// What they are expected to hold in all.
    pub backlog: f64,
    /// What its flows held over what was expected of them, of late.
    pub cost_ratio: f64,
}

impl Default for Queue {
    fn default() -> Self {
        Queue { head: NONE, tail: NONE, count: 0, backlog: 0.0, cost_ratio: 1.0 }
    }
}

impl Queue {
    /// The oldest entry.
    pub fn oldest(&self) -> Option<usize> {
        (self.head != NONE).then_some(self.head as usize)
    }

    /// The newest entry.
    pub fn newest(&self) -> Option<usize> {
        (self.tail != NONE).then_some(self.tail as usize)
    }

    /// Its entries, the newest first.
    pub fn iter_from_newest<'a>(&self, entries: &'a Slab<Entry>) -> impl Iterator<Item = usize> + 'a {
        let prev = |key: &u32| Some(entries[*key as usize].prev).filter(|b| *b != NONE);
        std::iter::successors(Some(self.tail).filter(|t| *t != NONE), prev).map(|key| key as usize)
    }

    /// Adds an entry as the newest.
    pub fn push(&mut self, entries: &mut Slab<Entry>, key: usize) {
        let entry = &mut entries[key];
        (entry.prev, entry.next) = (self.tail, NONE);
        self.count += 1;
        self.backlog += entry.cost;
        match std::mem::replace(&mut self.tail, key as u32) {
            NONE => self.head = key as u32,
            prev => entries[prev as usize].next = key as u32,
        }
    }

    /// Takes an entry out, wherever in the list it is.
    pub fn remove(&mut self, entries: &mut Slab<Entry>, key: usize) {
        let (prev, next, cost) = (entries[key].prev, entries[key].next, entries[key].cost);
        match prev {
            NONE => self.head = next,
            prev => entries[prev as usize].next = next,
        }
        match next {
            NONE => self.tail = prev,
            next => entries[next as usize].prev = prev,
        }
        self.count -= 1;
        self.backlog = if self.count == 0 { 0.0 } else { (self.backlog - cost).max(0.0) };
    }
}
