//! FIFO queues as linked lists in one table of entries; any entry is removed in constant time.

use slab::Slab;

use crate::concurrency_limit::RequestKind;
use crate::wheel::TimerKey;
use crate::Arrival;

const NONE: u32 = u32::MAX;

/// State of an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EntryState {
    /// Waits in the queue of its flow.
    Queued,
    /// Waits with a claimed reservation, ahead of the queues.
    Reserved,
    /// Submitted to the decision module.
    Submitted {
        /// Time of submission (ns).
        at_ns: u64,
        /// Cost charged to the flow (thread-nanoseconds).
        charged: f64,
    },
}

/// A request that waits or was submitted.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The request.
    pub arrival: Arrival,
    /// Flow of the client.
    pub flow: u64,
    /// Index of its queue within the lane.
    pub queue: usize,
    /// Class and size.
    pub kind: RequestKind,
    /// Expected thread time (thread-nanoseconds), corrected by the queue's cost ratio.
    pub cost: f64,
    /// Expected thread time before that correction (thread-nanoseconds).
    pub estimated_cost: f64,
    /// Time of arrival (ns).
    pub arrived_ns: u64,
    /// Whether it claimed a reservation.
    pub reserved: bool,
    /// Current state.
    pub state: EntryState,
    /// Timer while it waits.
    pub timer: Option<TimerKey>,
    prev: u32,
    next: u32,
}

impl Entry {
    /// Creates an entry that is in no list.
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
    /// Number of entries.
    pub count: u32,
    /// Sum of the entries' costs (thread-nanoseconds).
    pub backlog: f64,
    /// Moving average of the measured thread time over the expected one.
    pub cost_ratio: f64,
}

impl Default for Queue {
    fn default() -> Self {
        Queue { head: NONE, tail: NONE, count: 0, backlog: 0.0, cost_ratio: 1.0 }
    }
}

impl Queue {
    /// Key of the oldest entry.
    pub fn oldest(&self) -> Option<usize> {
        (self.head != NONE).then_some(self.head as usize)
    }

    /// Key of the newest entry.
    pub fn newest(&self) -> Option<usize> {
        (self.tail != NONE).then_some(self.tail as usize)
    }

    /// Iterates over the keys, newest first.
    pub fn iter_from_newest<'a>(&self, entries: &'a Slab<Entry>) -> impl Iterator<Item = usize> + 'a {
        let prev = |key: &u32| Some(entries[*key as usize].prev).filter(|b| *b != NONE);
        std::iter::successors(Some(self.tail).filter(|t| *t != NONE), prev).map(|key| key as usize)
    }

    /// Appends an entry.
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

    /// Removes an entry at any position.
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
