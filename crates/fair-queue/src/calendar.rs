//! Promises: who was told to come back when, and the room that is set aside for them.
//!
//! Time ahead is a ring of slots. A slot has room for a part of what the engines serve in it, divided among the
//! flows' tenants by weight; a promise takes its cost from the first slot of its tenant that has some left, and from those
//! behind it what that one lacks. Whoever comes back within the promise's window claims it.

use rustc_hash::FxHashMap;

use crate::wheel::{Key, Wheel};

/// Length of a slot (ns).
pub const SLOT_NS: u64 = 50_000_000;
/// Slots ahead (count): 12.8 s.
const SLOTS: usize = 256;
/// Part of what is served that may be promised (share): half of the engines may go, and the rest still keeps it.
const PROMISED: f64 = 0.4;
/// Least part of a promise's cost, or of a slot, that the first slot must have left (share).
const FIRST: f64 = 0.25;
/// A promise may be claimed so long before its time (ns): clocks and networks are not exact.
const EARLY_NS: u64 = 30_000_000;
/// A request that says more than this multiple of what was promised is not the promised one (ratio).
const LIKE: f64 = 2.0;

#[derive(Clone, Debug, Default)]
struct Slot {
    /// Which slot since the beginning of time this is.
    number: u64,
    taken: Vec<f64>,
}

/// A promise that was made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Promise {
    /// Whose flow.
    pub flow: u64,
    /// The flow's tenant.
    pub tenant: usize,
    /// When to come back.
    pub at_ns: u64,
    /// What is set aside (thread-nanoseconds).
    pub cost: f64,
    /// What the request was expected to hold by its own word (thread-nanoseconds).
    pub said: f64,
}

/// Promises and the room set aside for them.
pub struct Calendar {
    slots: Vec<Slot>,
    /// Promises by the end of their window.
    book: Wheel<Promise>,
    of_flow: FxHashMap<u64, Vec<Key>>,
    most: usize,
    window_ns: u64,
}

impl Calendar {
    /// Nothing promised; `most` promises at a time, each of which may be claimed for `window_ns`.
    pub fn new(now: u64, tenants: usize, most: usize, window_ns: u64) -> Self {
        let slot = Slot { number: 0, taken: vec![0.0; tenants] };
        Calendar {
            slots: vec![slot; SLOTS],
            book: Wheel::new(now),
            of_flow: FxHashMap::default(),
            most,
            window_ns,
        }
    }

    /// Promises that are out.
    pub fn len(&self) -> usize {
        self.book.len()
    }

    /// Whether none is out.
    pub fn is_empty(&self) -> bool {
        self.book.is_empty()
    }

    /// Bytes taken from the heap.
    pub fn bytes(&self) -> usize {
        let slots = self.slots.len() * std::mem::size_of::<Slot>();
        let taken: usize = self.slots.iter().map(|s| s.taken.capacity() * 8).sum();
        let lists: usize = self.of_flow.values().map(|l| l.capacity() * 8).sum();
        slots + taken + lists + self.book.bytes() + self.of_flow.capacity() * 2 * 32
    }

    /// Bytes that one promise takes at most.
    pub const fn promise_bytes() -> usize {
        Wheel::<Promise>::entry_bytes() + 64 + 4 * 8
    }

    fn taken(&mut self, number: u64) -> &mut Slot {
        let slot = &mut self.slots[number as usize % SLOTS];
        if slot.number != number {
            slot.number = number;
            slot.taken.fill(0.0);
        }
        slot
    }

    /// Sets room aside for what `asked` costs, no sooner and no later than the `bounds` from now; gives when to come
    /// back. `threads` is what the engines serve at a time, `share` the tenant's part of it. None where all is given
    /// away.
    pub fn promise(
        &mut self,
        now: u64,
        asked: Promise,
        threads: f64,
        share: f64,
        bounds: [u64; 2],
    ) -> Option<u64> {
        let Promise { flow, tenant, cost, .. } = asked;
        let [soonest_ns, longest_ns] = bounds;
        if self.book.len() >= self.most {
            return None;
        }
        let room = threads * PROMISED * share * SLOT_NS as f64;
        let first = (now + soonest_ns).div_ceil(SLOT_NS);
        // The last slot must end within the longest advice; the ring must hold what follows it.
        let last = ((now + longest_ns) / SLOT_NS).min(first + SLOTS as u64 / 2);
        let least = cost.min(room) * FIRST;
        let found = (first..last).find(|n| room - self.taken(*n).taken[tenant] >= least.max(1.0))?;
        let (mut left, mut number) = (cost, found);
        while left > 0.0 && number < found + SLOTS as u64 / 4 {
            let slot = self.taken(number);
            let part = (room - slot.taken[tenant]).clamp(0.0, left);
            slot.taken[tenant] += part;
            (left, number) = (left - part, number + 1);
        }
        // Spread within the slot, so that those of one slot do not come back in one instant.
        let at_ns = found * SLOT_NS + flow.rotate_left(17) % SLOT_NS;
        let key = self.book.insert(at_ns + self.window_ns, Promise { at_ns, ..asked });
        self.of_flow.entry(flow).or_default().push(key);
        Some(at_ns)
    }

    /// A request of a flow has come: the promise that it claims, the oldest whose window is open.
    pub fn claim(&mut self, now: u64, flow: u64, said: f64) -> Option<Promise> {
        let keys = self.of_flow.get(&flow)?;
        let open = |key: &&Key| {
            self.book.get(**key).is_some_and(|p| now + EARLY_NS >= p.at_ns && said <= p.said * LIKE)
        };
        let key = *keys.iter().filter(open).min_by_key(|key| self.book.get(**key).map(|p| p.at_ns))?;
        let promise = self.book.remove(key);
        self.unlist(flow);
        promise
    }

    /// Takes out one promise whose window is over.
    pub fn expire(&mut self, now: u64) -> Option<Promise> {
        let promise = self.book.expire(now)?;
        self.unlist(promise.flow);
        Some(promise)
    }

    /// When the next window ends.
    pub fn next_due_ns(&self) -> Option<u64> {
        self.book.next_due_ns()
    }

    /// Takes the keys out of a flow's list that hold no promise of the flow any more.
    fn unlist(&mut self, flow: u64) {
        if let Some(keys) = self.of_flow.get_mut(&flow) {
            keys.retain(|key| self.book.get(*key).is_some_and(|p| p.flow == flow));
            if keys.is_empty() {
                self.of_flow.remove(&flow);
            }
        }
    }
}
