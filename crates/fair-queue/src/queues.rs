//! The queues themselves: lists in one table of entries, from which any entry leaves in constant time.

use slab::Slab;

use crate::room::Kind;
use crate::wheel::Key;
use crate::Arrival;

const NONE: u32 = u32::MAX;

/// Where an entry stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stand {
    /// In its queue.
    Queued,
    /// Among those who came back as they were told.
    Returned,
    /// The module has it: since when, and what its flow was charged.
    Shown {
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
    pub kind: Kind,
    /// What it is expected to hold (thread-nanoseconds).
    pub cost: f64,
    /// The same by its own word.
    pub said: f64,
    /// When it came (ns).
    pub came_ns: u64,
    /// It claims a promise.
    pub promised: bool,
    /// Where it stands.
    pub stand: Stand,
    /// Its timer, while it waits.
    pub timer: Option<Key>,
    before: u32,
    after: u32,
}

impl Entry {
    /// One that stands in no list yet.
    pub fn new(arrival: Arrival, flow: u64, kind: Kind, cost: f64, came_ns: u64) -> Self {
        Entry {
            arrival,
            flow,
            queue: 0,
            kind,
            cost,
            said: cost,
            came_ns,
            promised: false,
            stand: Stand::Returned,
            timer: None,
            before: NONE,
            after: NONE,
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
    pub truth: f64,
}

impl Default for Queue {
    fn default() -> Self {
        Queue { head: NONE, tail: NONE, count: 0, backlog: 0.0, truth: 1.0 }
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
    pub fn from_newest<'a>(&self, entries: &'a Slab<Entry>) -> impl Iterator<Item = usize> + 'a {
        let before = |key: &u32| Some(entries[*key as usize].before).filter(|b| *b != NONE);
        std::iter::successors(Some(self.tail).filter(|t| *t != NONE), before).map(|key| key as usize)
    }

    /// Adds an entry as the newest.
    pub fn push(&mut self, entries: &mut Slab<Entry>, key: usize) {
        let entry = &mut entries[key];
        (entry.before, entry.after) = (self.tail, NONE);
        self.count += 1;
        self.backlog += entry.cost;
        match std::mem::replace(&mut self.tail, key as u32) {
            NONE => self.head = key as u32,
            before => entries[before as usize].after = key as u32,
        }
    }

    /// Takes an entry out, wherever in the list it is.
    pub fn remove(&mut self, entries: &mut Slab<Entry>, key: usize) {
        let (before, after, cost) = (entries[key].before, entries[key].after, entries[key].cost);
        match before {
            NONE => self.head = after,
            before => entries[before as usize].after = after,
        }
        match after {
            NONE => self.tail = before,
            after => entries[after as usize].before = before,
        }
        self.count -= 1;
        self.backlog = if self.count == 0 { 0.0 } else { (self.backlog - cost).max(0.0) };
    }
}
