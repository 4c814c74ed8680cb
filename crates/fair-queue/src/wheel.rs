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
pub type Key = usize;

struct Entry<T> {
    due: u64,
    value: T,
    place: u16,
    before: u32,
    after: u32,
}

/// Values by the time at which they are due.
pub struct Wheel<T> {
    entries: Slab<Entry<T>>,
    heads: Vec<u32>,
    full: [u64; LEVELS],
    /// The tick that has been reached.
    tick: u64,
}

impl<T> Wheel<T> {
    /// An empty wheel that starts at `now_ns`.
    pub fn new(now_ns: u64) -> Self {
        Wheel {
            entries: Slab::new(),
            heads: vec![NONE; LEVELS * SLOTS],
            full: [0; LEVELS],
            tick: now_ns >> TICK_BITS,
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
    pub fn insert(&mut self, due_ns: u64, value: T) -> Key {
        let due = (due_ns >> TICK_BITS).max(self.tick);
        let key = self.entries.insert(Entry { due, value, place: 0, before: NONE, after: NONE });
        self.link(key);
        key
    }

    /// Takes an entry out before it is due.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        self.entries.contains(key).then(|| {
            self.unlink(key);
            self.entries.remove(key).value
        })
    }

    /// The entry's value.
    pub fn get(&self, key: Key) -> Option<&T> {
        self.entries.get(key).map(|e| &e.value)
    }

    /// A time no later than the earliest due time, and no earlier than the present tick (ns).
    pub fn next_due_ns(&self) -> Option<u64> {
        (0..LEVELS).filter_map(|level| self.next_in(level)).min().map(|tick| tick << TICK_BITS)
    }

    /// Takes out one value that is due at `now_ns`, tick by tick in the order of time; a tick counts as due from
    /// its start, so that nothing comes out late.
    pub fn expire(&mut self, now_ns: u64) -> Option<T> {
        let target = now_ns >> TICK_BITS;
        loop {
            let head = self.heads[(self.tick & (SLOTS as u64 - 1)) as usize];
            if head != NONE && self.entries[head as usize].due <= self.tick {
                return self.remove(head as usize);
            }
            let next = (0..LEVELS).filter_map(|level| self.next_in(level)).min();
            match next {
                Some(next) if next <= target => {
                    self.tick = next.max(self.tick);
                    self.cascade();
                }
                _ => {
                    self.tick = self.tick.max(target);
                    self.cascade();
                    return None;
                }
            }
        }
    }

    /// The first tick at which a slot of this level that holds something begins, or now within it.
    fn next_in(&self, level: usize) -> Option<u64> {
        let full = self.full[level];
        if full == 0 {
            return None;
        }
        let shift = SLOT_BITS * level as u32;
        let at = self.tick >> shift;
        let ahead = u64::from(full.rotate_right((at & (SLOTS as u64 - 1)) as u32).trailing_zeros());
        Some(((at + ahead) << shift).max(self.tick))
    }

    /// Moves what the slots of the present tick hold on higher levels to where it belongs now.
    fn cascade(&mut self) {
        for level in (1..LEVELS).rev() {
            let slot = (self.tick >> (SLOT_BITS * level as u32)) as usize & (SLOTS - 1);
            let place = level * SLOTS + slot;
            let mut head = std::mem::replace(&mut self.heads[place], NONE);
            self.full[level] &= !(1 << slot);
            while head != NONE {
                let key = head as usize;
                head = self.entries[key].after;
                self.link(key);
            }
        }
    }

    fn link(&mut self, key: Key) {
        let due = self.entries[key].due;
        let ahead = due.saturating_sub(self.tick);
        // An entry whose slot on a level would be the present one again goes a level up.
        let level = (0..LEVELS - 1)
            .find(|level| {
                let shift = SLOT_BITS * *level as u32;
                (due >> shift) - (self.tick >> shift) < SLOTS as u64
            })
            .unwrap_or(LEVELS - 1);
        let shift = SLOT_BITS * level as u32;
        let most = ((SLOTS as u64 - 1) << shift).min(ahead);
        let slot = ((self.tick + most) >> shift) as usize & (SLOTS - 1);
        let place = level * SLOTS + slot;
        let head = std::mem::replace(&mut self.heads[place], key as u32);
        if head != NONE {
            self.entries[head as usize].before = key as u32;
        }
        let entry = &mut self.entries[key];
        (entry.place, entry.before, entry.after) = (place as u16, NONE, head);
        self.full[level] |= 1 << slot;
    }

    fn unlink(&mut self, key: Key) {
        let (place, before, after) = {
            let e = &self.entries[key];
            (e.place as usize, e.before, e.after)
        };
        match before {
            NONE => self.heads[place] = after,
            before => self.entries[before as usize].after = after,
        }
        if after != NONE {
            self.entries[after as usize].before = before;
        }
        if self.heads[place] == NONE {
            self.full[place / SLOTS] &= !(1 << (place % SLOTS));
        }
    }
}
