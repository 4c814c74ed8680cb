//! Reservations of future capacity for refused clients that return in time.
//!
//! The near future is a ring of slots. A share of each slot's capacity can be reserved, divided
//! among tenants by weight. A reservation takes its cost from the first slot in which its tenant
//! has enough capacity left, and the rest from the slots after it. A client that returns within
//! its window claims its reservation.

use rustc_hash::FxHashMap;

use crate::wheel::{TimerKey, TimingWheel};

/// Length of a slot (ns).
pub const SLOT_NS: u64 = 50_000_000;
/// Number of slots: 12.8 s.
const SLOT_COUNT: usize = 256;
/// Share of the capacity that can be reserved, low enough for most reservations to hold after the
/// loss of half of the engines.
const RESERVABLE_SHARE: f64 = 0.4;
/// Minimum free part of the first slot, as a share of the cost or of the slot's capacity.
const MIN_FIRST_SLOT_SHARE: f64 = 0.25;
/// Reservations can be claimed this early (ns), to allow for inexact clocks and network delays.
const CLAIM_EARLY_NS: u64 = 30_000_000;
/// A request cannot claim a reservation if its estimated cost is more than this multiple of the
/// reserved request's.
const MAX_CLAIM_RATIO: f64 = 2.0;

#[derive(Clone, Debug, Default)]
struct Slot {
    /// Number of the slot since the epoch; the ring's entry is reused for later slots.
    number: u64,
    reserved: Vec<f64>,
}

/// Reserved capacity for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// Flow of the client.
    pub flow: u64,
    /// Tenant of the flow.
    pub tenant: usize,
    /// When the client should return (ns).
    pub at_ns: u64,
    /// Reserved thread time (thread-nanoseconds).
    pub cost: f64,
    /// Cost before the queue's correction (thread-nanoseconds); compared when the reservation is
    /// claimed.
    pub estimated_cost: f64,
}

/// Outstanding reservations and the capacity reserved for them.
pub struct ReservationCalendar {
    slots: Vec<Slot>,
    /// Reservations by the end of their window.
    reservations: TimingWheel<Reservation>,
    keys_by_flow: FxHashMap<u64, Vec<TimerKey>>,
    max_reservations: usize,
    window_ns: u64,
}

impl ReservationCalendar {
    /// Creates a calendar for up to `max_reservations` reservations, each of which can be claimed
    /// for `window_ns` after its time.
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

    /// Number of outstanding reservations.
    pub fn len(&self) -> usize {
        self.reservations.len()
    }

    /// Whether there are no outstanding reservations.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// Heap memory in use (bytes).
    pub fn bytes(&self) -> usize {
        let slots = self.slots.len() * std::mem::size_of::<Slot>();
        let reserved: usize = self.slots.iter().map(|s| s.reserved.capacity() * 8).sum();
        let key_lists: usize = self.keys_by_flow.values().map(|l| l.capacity() * 8).sum();
        slots + reserved + key_lists + self.reservations.bytes() + self.keys_by_flow.capacity() * 2 * 32
    }

    /// Memory of one reservation (bytes), as an upper bound.
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

    /// Reserves capacity for a request and returns when its client should return, within the
    /// `bounds` (minimum and maximum delay, ns). `threads` is the estimated capacity and
    /// `tenant_share` the tenant's share of it. Returns none if too little capacity is free.
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
        // The last slot must end within the maximum delay, and the ring must hold the slots after
        // it.
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
        // Spreads the clients of a slot over its length.
        let at_ns = first_slot * SLOT_NS + flow.rotate_left(17) % SLOT_NS;
        let key = self.reservations.insert(at_ns + self.window_ns, Reservation { at_ns, ..request });
        self.keys_by_flow.entry(flow).or_default().push(key);
        Some(at_ns)
    }

    /// Returns the claimed reservation of a flow: the oldest whose window is open.
    pub fn claim(&mut self, now: u64, flow: u64, estimated_cost: f64) -> Option<Reservation> {
        let keys = self.keys_by_flow.get(&flow)?;
        let claimable = |key: &&TimerKey| {
            self.reservations.get(**key).is_some_and(|r| {
                now + CLAIM_EARLY_NS >= r.at_ns && estimated_cost <= r.estimated_cost * MAX_CLAIM_RATIO
            })
        };
        let key =
            *keys.iter().filter(claimable).min_by_key(|key| self.reservations.get(**key).map(|r| r.at_ns))?;
        let reservation = self.reservations.remove(key);
        self.prune_keys(flow);
        reservation
    }

    /// Removes one reservation whose window has ended.
    pub fn expire(&mut self, now: u64) -> Option<Reservation> {
        let reservation = self.reservations.expire(now)?;
        self.prune_keys(reservation.flow);
        Some(reservation)
    }

    /// When the next window ends (ns).
    pub fn next_due_ns(&self) -> Option<u64> {
        self.reservations.next_due_ns()
    }

    /// Drops the keys of a flow that no longer refer to one of its reservations.
    fn prune_keys(&mut self, flow: u64) {
        if let Some(keys) = self.keys_by_flow.get_mut(&flow) {
            keys.retain(|key| self.reservations.get(*key).is_some_and(|r| r.flow == flow));
            if keys.is_empty() {
                self.keys_by_flow.remove(&flow);
            }
        }
    }
}
