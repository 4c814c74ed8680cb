//! A hierarchical timing wheel: timers with insertion and removal in constant time.
//!
//! Scheme 7 of Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (1987): four levels of
//! 64 slots. Each slot is a doubly linked list, and entries move down a level when the time of
//! their slot begins. A bitmap per level marks the occupied slots, so that empty ones are skipped.

use slab::Slab;

/// Length of a tick as a power of two (ns): about a millisecond.
const TICK_BITS: u32 = 20;
/// Slots per level as a power of two, and levels. They cover 4.8 hours; later entries are placed
/// in the last slot and are moved again when it is reached.
const SLOT_BITS: u32 = 6;
const LEVELS: usize = 4;
const SLOTS: usize = 1 << SLOT_BITS;
const NONE: u32 = u32::MAX;

/// Identifies an entry of a [`TimingWheel`].
pub type TimerKey = usize;

struct Entry<T> {
    due: u64,
    value: T,
    slot_index: u16,
    prev_key: u32,
    next_key: u32,
}

/// Timers with a value each.
pub struct TimingWheel<T> {
    entries: Slab<Entry<T>>,
    heads: Vec<u32>,
    occupied: [u64; LEVELS],
    /// Number of the current tick.
    current_tick: u64,
}

impl<T> TimingWheel<T> {
    /// Creates an empty wheel whose time is `now_ns`.
    pub fn new(now_ns: u64) -> Self {
        TimingWheel {
            entries: Slab::new(),
            heads: vec![NONE; LEVELS * SLOTS],
            occupied: [0; LEVELS],
            current_tick: now_ns >> TICK_BITS,
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the wheel is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Heap memory in use (bytes).
    pub fn bytes(&self) -> usize {
        self.entries.capacity() * Self::entry_bytes() + self.heads.capacity() * 4
    }

    /// Memory of one entry (bytes).
    pub const fn entry_bytes() -> usize {
        std::mem::size_of::<Entry<T>>() + 8
    }

    /// Adds a value that is due at `due_ns`. One that is already due is returned by the next
    /// [`TimingWheel::expire`].
    pub fn insert(&mut self, due_ns: u64, value: T) -> TimerKey {
        let due = (due_ns >> TICK_BITS).max(self.current_tick);
        let key = self.entries.insert(Entry { due, value, slot_index: 0, prev_key: NONE, next_key: NONE });
        self.link(key);
        key
    }

    /// Removes an entry before it is due.
    pub fn remove(&mut self, key: TimerKey) -> Option<T> {
        self.entries.contains(key).then(|| {
            self.unlink(key);
            self.entries.remove(key).value
        })
    }

    /// Returns the value of an entry.
    pub fn get(&self, key: TimerKey) -> Option<&T> {
        self.entries.get(key).map(|e| &e.value)
    }

    /// Returns a lower bound of the earliest due time (ns), not before the current tick.
    pub fn next_due_ns(&self) -> Option<u64> {
        (0..LEVELS).filter_map(|level| self.next_tick_of(level)).min().map(|tick| tick << TICK_BITS)
    }

    /// Removes and returns one value that is due at `now_ns`, in order of ticks. An entry is due
    /// from the start of its tick, so that it never fires late.
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

    /// Returns the first tick at which an occupied slot of this level begins, or the current tick
    /// if that slot has already begun.
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

    /// Moves the entries of the current slots of the higher levels to the levels where they now
    /// belong.
    fn cascade(&mut self) {
        for level in (1..LEVELS).rev() {
            let slot = (self.current_tick >> (SLOT_BITS * level as u32)) as usize & (SLOTS - 1);
            let slot_index = level * SLOTS + slot;
            let mut head = std::mem::replace(&mut self.heads[slot_index], NONE);
            self.occupied[level] &= !(1 << slot);
            while head != NONE {
                let key = head as usize;
                head = self.entries[key].next_key;
                self.link(key);
            }
        }
    }

    fn link(&mut self, key: TimerKey) {
        let due = self.entries[key].due;
        let ahead = due.saturating_sub(self.current_tick);
        // An entry whose slot would wrap around to the current one is placed a level higher.
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
            self.entries[head as usize].prev_key = key as u32;
        }
        let entry = &mut self.entries[key];
        (entry.slot_index, entry.prev_key, entry.next_key) = (slot_index as u16, NONE, head);
        self.occupied[level] |= 1 << slot;
    }

    fn unlink(&mut self, key: TimerKey) {
        let (slot_index, prev_key, next_key) = {
            let e = &self.entries[key];
            (e.slot_index as usize, e.prev_key, e.next_key)
        };
        match prev_key {
            NONE => self.heads[slot_index] = next_key,
            prev_key => self.entries[prev_key as usize].next_key = next_key,
        }
        if next_key != NONE {
            self.entries[next_key as usize].prev_key = prev_key;
        }
        if self.heads[slot_index] == NONE {
            self.occupied[slot_index / SLOTS] &= !(1 << (slot_index % SLOTS));
        }
    }
}
