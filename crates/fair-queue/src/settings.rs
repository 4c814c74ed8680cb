//! Configuration of the fair queue, and the assignment of clients to queues.

use std::collections::BTreeMap;

use serde::Deserialize;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Queueing order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Weighted among tenants, equal among the clients of a tenant.
    #[default]
    Fair,
    /// First come, first served over all requests: a baseline for comparison.
    Fifo,
}

/// What identifies a client within its tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientKey {
    /// Its network address.
    #[default]
    Peer,
    /// The user of its PostgreSQL session, else its address.
    User,
    /// The `application_name` of its PostgreSQL session, else its address.
    ApplicationName,
    /// A field of its MessagePack call, else its address.
    Field(String),
}

/// Configuration of the fair queue.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FairQueueConfig {
    /// Queueing order.
    pub order: Order,
    /// What identifies a client.
    pub client: ClientKey,
    /// Weights by tenant. A tenant that is not listed is weighted by its allowance.
    pub weights: BTreeMap<String, f64>,
    /// Queues per tenant.
    pub queues: usize,
    /// Queues that one client may use.
    #[serde(rename = "hand")]
    pub hand_size: usize,
    /// Maximum number of queued requests.
    pub queued: usize,
    /// Maximum number of outstanding reservations.
    #[serde(rename = "promises")]
    pub max_reservations: usize,
    /// Time for which a reservation can be claimed (ms).
    #[serde(rename = "window_ms")]
    pub reservation_window_ms: u64,
    /// Wait after which a request in a standing queue is refused as stale (ms).
    pub stale_ms: u64,
}

impl Default for FairQueueConfig {
    fn default() -> Self {
        FairQueueConfig {
            order: Order::Fair,
            client: ClientKey::Peer,
            weights: BTreeMap::new(),
            queues: 64,
            hand_size: 4,
            queued: 2_000,
            max_reservations: 4_096,
            reservation_window_ms: 500,
            stale_ms: 400,
        }
    }
}

impl FairQueueConfig {
    /// Returns the first value that is out of range, as an error message. The bounds limit memory.
    pub fn find_error(&self) -> Option<String> {
        let within = |name: &str, value: usize, min_value: usize, max_value: usize| {
            (value < min_value || value > max_value)
                .then(|| format!("door: {name} is {value}: must be between {min_value} and {max_value}"))
        };
        let weight = |(name, w): (&String, &f64)| {
            (!w.is_finite() || *w <= 0.0 || *w > 1e6)
                .then(|| format!("door: the weight of {name} is {w}: must be above 0 and at most 1000000"))
        };
        within("queues", self.queues, 1, 1_024)
            .or_else(|| within("hand", self.hand_size, 1, self.queues.min(16)))
            .or_else(|| within("queued", self.queued, 1, 100_000))
            .or_else(|| within("promises", self.max_reservations, 0, 100_000))
            .or_else(|| within("window_ms", self.reservation_window_ms as usize, 50, 60_000))
            .or_else(|| within("stale_ms", self.stale_ms as usize, 1, 60_000))
            .or_else(|| self.weights.iter().find_map(weight))
    }
}

/// Keyed hash of client names and flows (SipHash-1-3, Aumasson and Bernstein, 2012). The secret
/// seed keeps clients from choosing names that collide with another's queues.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientHasher {
    seed: u64,
}

impl ClientHasher {
    /// Creates a hasher with this key.
    pub fn new(seed: u64) -> Self {
        ClientHasher { seed }
    }

    /// Hashes a client name.
    pub fn of(&self, name: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.seed, 0x6d61_726c);
        hasher.write(name);
        hasher.finish()
    }

    /// Hashes a client of a tenant to its flow.
    pub fn flow(&self, tenant: usize, client: u64) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.seed, 0x666c_6f77);
        hasher.write_usize(tenant);
        hasher.write_u64(client);
        hasher.finish()
    }
}

/// Selects the queues that a flow may use, without replacement (shuffle sharding, as in
/// Kubernetes' API Priority and Fairness). Two flows rarely have all their queues in common.
pub fn shuffle_shard(flow: u64, queues: usize, count: usize) -> impl Iterator<Item = usize> {
    let mut sorted = [usize::MAX; 16];
    let mut rest = flow;
    (0..count.min(queues).min(16)).map(move |i| {
        let remaining = (queues - i) as u64;
        let mut index = (rest % remaining) as usize;
        rest = (rest / remaining) ^ flow.rotate_left(7 * (i as u32 + 1));
        // Converts the index among the remaining queues to one among all; `sorted` holds the
        // queues selected so far in ascending order.
        for selected in &sorted[..i] {
            index += usize::from(index >= *selected);
        }
        let position = sorted[..i].partition_point(|selected| *selected < index);
        sorted.copy_within(position..i, position + 1);
        sorted[position] = index;
        index
    })
}
