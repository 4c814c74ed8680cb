//! A hierarchical timing wheel: what is due when, with insertion and removal in constant time.
//!
//! After Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (1987), scheme 7: four levels of 64 slots, each
//! slot a doubly linked list, and an entry moves down a level when its slot's time begins. A word of bits for each level
//! tells which slots hold something, so that empty time is passed over at once.

use slab::Slab;

/// Length of a tick as a power of two (ns): about a millisecond.
const TICK_BITS: u32 = 20;
/// Slots of a level as a power of two, and levels: times up to 4.8 hours ahead; later ones go round again.
const SLOT_BITS: u32 = 6;
const LEVELS: usize = 4;
const SLOTS: usize = 1 << SLOT_BITS;
const NONE: u32 = u32::MAX;

/// An entry of a [`Wheel`].
pub type TimerKey = usize;

struct Entry<T> {
    due: u64,
    value: T,
    slot_index: u16,
    prev: u32,
    next: u32,
}

/// Values by the time at which they are due.
pub struct TimingWheel<T> {
    entries: Slab<Entry<T>>,
    heads: Vec<u32>,
    occupied: [u64; LEVELS],
    /// The tick that has been reached.
    current_tick: u64,
}

impl<T> TimingWheel<T> {
    /// An empty wheel that starts at `now_ns`.
    pub fn new(now_ns: u64) -> Self {
        TimingWheel {
            entries: Slab::new(),
            heads: vec![NONE; LEVELS * SLOTS],
            occupied: [0; LEVELS],
            current_tick: now_ns >> TICK_BITS,
        }
    }

    /// Entries held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes taken from the heap.
    pub fn bytes(&self) -> usize {
        self.entries.capacity() * Self::entry_bytes() + self.heads.capacity() * 4
    }

    /// Bytes that one entry takes.
    pub const fn entry_bytes() -> usize {
        std::mem::size_of::<Entry<T>>() + 8
    }

    /// Adds a value that is due at `due_ns`; what is due already comes out at the next [`Wheel::expire`].
    pub fn insert(&mut self, due_ns: u64, value: T) -> TimerKey {
        let due = (due_ns >> TICK_BITS).max(self.current_tick);
        let key = self.entries.insert(Entry { due, value, slot_index: 0, prev: NONE, next: NONE });
        self.link(key);
        key
    }

    /// Takes an entry out before it is due.
    pub fn remove(&mut self, key: TimerKey) -> Option<T> {
        self.entries.contains(key).then(|| {
            self.unlink(key);
            self.entries.remove(key).value
        })
    }

    /// The entry's value.
    pub fn get(&self, key: TimerKey) -> Option<&T> {
        self.entries.get(key).map(|e| &e.value)
    }

    /// A time no later than the earliest due time, and no earlier than the present tick (ns).
    pub fn next_due_ns(&self) -> Option<u64> {
        (0..LEVELS).filter_map(|level| self.next_tick_of(level)).min().map(|tick| tick << TICK_BITS)
    }

    /// Takes out one value that is due at `now_ns`, tick by tick in the order of time; a tick counts as due from
    /// its start, so that nothing comes out late.
    pub fn expire(&mut self, now_ns: u64) -> Option<T> {
        let target = now_ns >> TICK_BITS;
        loop {
            let head = self.heads[(self.current_tick & (SLOTS as u64 - 1)) as usize];
            if head != NONE && self.entries[head as usize].due <= self.current_tick {
                return self.remove(head as usize);
            }
            let next_tick = (0..LEVELS).filter_map(|level| self.next_tick_of(level)).min();
            match next_tick {
                Some(next_tick) if next_tick <= target => {
                    self.current_tick = next_tick.max(self.current_tick);
                    self.cascade();
                }
                _ => {
                    self.current_tick = self.current_tick.max(target);
                    self.cascade();
                    return None;
                }
            }
        }
    }

    /// The first tick at which a slot of this level that holds something begins, or now within it.
    fn next_tick_of(&self, level: usize) -> Option<u64> {
        let occupied = self.occupied[level];
        if occupied == 0 {
            return None;
        }
        let shift = SLOT_BITS * level as u32;
        let at = self.current_tick >> shift;
        let ahead = u64::from(occupied.rotate_right((at & (SLOTS as u64 - 1)) as u32).trailing_zeros());
        Some(((at + ahead) << shift).max(self.current_tick))
    }

    /// Moves what the slots of the present tick hold on higher levels to where it belongs now.
    fn cascade(&mut self) {
        for level in (1..LEVELS).rev() {
            let slot = (self.current_tick >> (SLOT_BITS * level as u32)) as usize & (SLOTS - 1);
            let slot_index = level * SLOTS + slot;
            let mut head = std::mem::replace(&mut self.heads[slot_index], NONE);
            self.occupied[level] &= !(1 << slot);
            while head != NONE {
                let key = head as usize;
                head = self.entries[key].next;
                self.link(key);
            }
        }
    }

    fn link(&mut self, key: TimerKey) {
        let due = self.entries[key].due;
        let ahead = due.saturating_sub(self.current_tick);
        // An entry whose slot on a level would be the present one again goes a level up.
        let level = (0..LEVELS - 1)
            .find(|level| {
                let shift = SLOT_BITS * *level as u32;
                (due >> shift) - (self.current_tick >> shift) < SLOTS as u64
            })
            .unwrap_or(LEVELS - 1);
        let shift = SLOT_BITS * level as u32;
        let max_ahead = ((SLOTS as u64 - 1) << shift).min(ahead);
        let slot = ((self.current_tick + max_ahead) >> shift) as usize & (SLOTS - 1);
        let slot_index = level * SLOTS + slot;
        let head = std::mem::replace(&mut self.heads[slot_index], key as u32);
        if head != NONE {
            self.entries[head as usize].prev = key as u32;
        }
        let entry = &mut self.entries[key];
        (entry.slot_index, entry.prev, entry.next) = (slot_index as u16, NONE, head);
        self.occupied[level] |= 1 << slot;
    }

    fn unlink(&mut self, key: TimerKey) {
        let (slot_index, prev, next) = {
            let e = &self.entries[key];
            (e.slot_index as usize, e.prev, e.next)
        };
        match prev {
            NONE => self.heads[slot_index] = next,
            prev => self.entries[prev as usize].next = next,
        }
        if next != NONE {
            self.entries[next as usize].prev = prev;
        }
        if self.heads[slot_index] == NONE {
            self.occupied[slot_index / SLOTS] &= !(1 << (slot_index % SLOTS));
        }
    }
}
