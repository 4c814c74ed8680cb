//! Promises: who was told to come back when, and the room that is set aside for them.
//!
//! Time ahead is a ring of slots. A slot has room for a part of what the engines serve in it, divided among the
//! flows' tenants by weight; a promise takes its cost from the first slot of its tenant that has some left, and from those
//! behind it what that one lacks. Whoever comes back within the promise's window claims it.

use rustc_hash::FxHashMap;

use crate::wheel::{TimerKey, TimingWheel};

/// Length of a slot (ns).
pub const SLOT_NS: u64 = 50_000_000;
/// Slots ahead (count): 12.8 s.
const SLOT_COUNT: usize = 256;
/// Part of what is served that may be promised (share): half of the engines may go, and the rest still keeps it.
const RESERVABLE_SHARE: f64 = 0.4;
/// Least part of a promise's cost, or of a slot, that the first slot must have left (share).
const MIN_FIRST_SLOT_SHARE: f64 = 0.25;
/// A promise may be claimed so long before its time (ns): clocks and networks are not exact.
const CLAIM_EARLY_NS: u64 = 30_000_000;
/// A request that says more than this multiple of what was promised is not the promised one (ratio).
const MAX_CLAIM_RATIO: f64 = 2.0;

#[derive(Clone, Debug, Default)]
struct Slot {
    /// Which slot since the beginning of time this is.
    number: u64,
    reserved: Vec<f64>,
}

/// A promise that was made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// Whose flow.
    pub flow: u64,
    /// The flow's tenant.
    pub tenant: usize,
    /// When to come back.
    pub at_ns: u64,
    /// What is set aside (thread-nanoseconds).
    pub cost: f64,
    /// What the request was expected to hold by its own word (thread-nanoseconds).
    pub estimated_cost: f64,
}

/// Promises and the room set aside for them.
pub struct ReservationCalendar {
    slots: Vec<Slot>,
    /// Promises by the end of their window.
    reservations: TimingWheel<Reservation>,
    keys_by_flow: FxHashMap<u64, Vec<TimerKey>>,
    max_reservations: usize,
    window_ns: u64,
}

impl ReservationCalendar {
    /// Nothing promised; `most` promises at a time, each of which may be claimed for `window_ns`.
    pub fn new(now: u64, tenants: usize, max_reservations: usize, window_ns: u64) -> Self {
        let slot = Slot { number: 0, reserved: vec![0.0; tenants] };
        ReservationCalendar {
            slots: vec![slot; SLOT_COUNT],
            reservations: TimingWheel::new(now),
            keys_by_flow: FxHashMap::default(),
            max_reservations,
            window_ns,
        }
    }

    /// Promises that are out.
    pub fn len(&self) -> usize {
        self.reservations.len()
    }

    /// Whether none is out.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// Bytes taken from the heap.
    pub fn bytes(&self) -> usize {
        let slots = self.slots.len() * std::mem::size_of::<Slot>();
        let reserved: usize = self.slots.iter().map(|s| s.reserved.capacity() * 8).sum();
        let key_lists: usize = self.keys_by_flow.values().map(|l| l.capacity() * 8).sum();
        slots + reserved + key_lists + self.reservations.bytes() + self.keys_by_flow.capacity() * 2 * 32
    }

    /// Bytes that one promise takes at most.
    pub const fn reservation_bytes() -> usize {
        TimingWheel::<Reservation>::entry_bytes() + 64 + 4 * 8
    }

    fn slot_at(&mut self, number: u64) -> &mut Slot {
        let slot = &mut self.slots[number as usize % SLOT_COUNT];
        if slot.number != number {
            slot.number = number;
            slot.reserved.fill(0.0);
        }
        slot
    }

    /// Sets room aside for what `asked` costs, no sooner and no later than the `bounds` from now; gives when to come
    /// back. `threads` is what the engines serve at a time, `share` the tenant's part of it. None where all is given
    /// away.
    pub fn reserve(
        &mut self,
        now: u64,
        request: Reservation,
        threads: f64,
        tenant_share: f64,
        bounds: [u64; 2],
    ) -> Option<u64> {
        let Reservation { flow, tenant, cost, .. } = request;
        let [min_after_ns, max_after_ns] = bounds;
        if self.reservations.len() >= self.max_reservations {
            return None;
        }
        let slot_capacity = threads * RESERVABLE_SHARE * tenant_share * SLOT_NS as f64;
        let earliest = (now + min_after_ns).div_ceil(SLOT_NS);
        // The last slot must end within the longest advice; the ring must hold what follows it.
        let latest = ((now + max_after_ns) / SLOT_NS).min(earliest + SLOT_COUNT as u64 / 2);
        let min_free = cost.min(slot_capacity) * MIN_FIRST_SLOT_SHARE;
        let first_slot = (earliest..latest)
            .find(|n| slot_capacity - self.slot_at(*n).reserved[tenant] >= min_free.max(1.0))?;
        let (mut remaining, mut number) = (cost, first_slot);
        while remaining > 0.0 && number < first_slot + SLOT_COUNT as u64 / 4 {
            let slot = self.slot_at(number);
            let amount = (slot_capacity - slot.reserved[tenant]).clamp(0.0, remaining);
            slot.reserved[tenant] += amount;
            (remaining, number) = (remaining - amount, number + 1);
        }
        // Spread within the slot, so that those of one slot do not come back in one instant.
        let at_ns = first_slot * SLOT_NS + flow.rotate_left(17) % SLOT_NS;
        let key = self.reservations.insert(at_ns + self.window_ns, Reservation { at_ns, ..request });
        self.keys_by_flow.entry(flow).or_default().push(key);
        Some(at_ns)
    }

    /// A request of a flow has come: the promise that it claims, the oldest whose window is open.
    pub fn claim(&mut self, now: u64, flow: u64, estimated_cost: f64) -> Option<Reservation> {
        let keys = self.keys_by_flow.get(&flow)?;
        let claimable = |key: &&TimerKey| {
            self.reservations.get(**key).is_some_and(|p| {
                now + CLAIM_EARLY_NS >= p.at_ns && estimated_cost <= p.estimated_cost * MAX_CLAIM_RATIO
            })
        };
        let key =
            *keys.iter().filter(claimable).min_by_key(|key| self.reservations.get(**key).map(|p| p.at_ns))?;
        let reservation = self.reservations.remove(key);
        self.prune_keys(flow);
        reservation
    }

    /// Takes out one promise whose window is over.
    pub fn expire(&mut self, now: u64) -> Option<Reservation> {
        let reservation = self.reservations.expire(now)?;
        self.prune_keys(reservation.flow);
        Some(reservation)
    }

    /// When the next window ends.
    pub fn next_due_ns(&self) -> Option<u64> {
        self.reservations.next_due_ns()
    }

    /// Takes the keys out of a flow's list that hold no promise of the flow any more.
    fn prune_keys(&mut self, flow: u64) {
        if let Some(keys) = self.keys_by_flow.get_mut(&flow) {
            keys.retain(|key| self.reservations.get(*key).is_some_and(|p| p.flow == flow));
            if keys.is_empty() {
                self.keys_by_flow.remove(&flow);
            }
        }
    }
}
