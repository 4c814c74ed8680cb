//! What the operator chooses.

use std::collections::BTreeMap;

use serde::Deserialize;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// How the door divides what the module takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// By weight among tenants, evenly among a tenant's clients.
    #[default]
    Fair,
    /// All in the order in which they came: to compare with.
    Fifo,
}

/// What names a client within its tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientKey {
    /// The address that it connects from.
    #[default]
    Peer,
    /// The user of its PostgreSQL session; else its address.
    User,
    /// The `application_name` of its PostgreSQL session; else its address.
    ApplicationName,
    /// A field of its MessagePack call; else its address.
    Field(String),
}

/// The door's own file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FairQueueConfig {
    /// How to divide.
    pub order: Order,
    /// What names a client.
    pub client: ClientKey,
    /// Weights by tenant; one that is not named has that of its allowance.
    pub weights: BTreeMap<String, f64>,
    /// Queues of a tenant (count), over which its clients are spread.
    pub queues: usize,
    /// Queues that one client may use (count).
    #[serde(rename = "hand")]
    pub hand_size: usize,
    /// Requests that may be queued in all (count).
    pub queued: usize,
    /// Promises that may be out in all (count).
    #[serde(rename = "promises")]
    pub max_reservations: usize,
    /// Time for which a promise may be claimed (ms).
    #[serde(rename = "window_ms")]
    pub reservation_window_ms: u64,
    /// Wait past which a request is stale while its tenant's queues do not empty (ms).
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
    /// What is wrong with it, where something is; every figure has bounds, as memory is taken by them.
    pub fn fault(&self) -> Option<String> {
        let within = |name: &str, value: usize, least: usize, most: usize| {
            (value < least || value > most)
                .then(|| format!("door: {name} is {value}, not {least} to {most}: choose one within"))
        };
        let weight = |(name, w): (&String, &f64)| {
            (!w.is_finite() || *w <= 0.0 || *w > 1e6)
                .then(|| format!("door: the weight of {name} is {w}, not above 0 and up to 1000000"))
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

/// Numbers for clients' names: keyed by the process's seed (SipHash-1-3, Aumasson and Bernstein, 2012), so that
/// nobody can choose a name that shares another's queues.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientHasher {
    seed: u64,
}

impl ClientHasher {
    /// Keyed by this seed.
    pub fn new(seed: u64) -> Self {
        ClientHasher { seed }
    }

    /// The number of a name.
    pub fn of(&self, name: &[u8]) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.seed, 0x6d61_726c);
        hasher.write(name);
        hasher.finish()
    }

    /// The number of a client of a tenant.
    pub fn flow(&self, tenant: usize, client: u64) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(self.seed, 0x666c_6f77);
        hasher.write_usize(tenant);
        hasher.write_u64(client);
        hasher.finish()
    }
}

/// The queues that a flow may use: a hand dealt from all of them without replacement (shuffle sharding, as in
/// Kubernetes' API priority and fairness), so that a flow which fills its own shares all of them with few others.
pub fn shuffle_shard(flow: u64, queues: usize, count: usize) -> impl Iterator<Item = usize> {
    let mut sorted = [usize::MAX; 16];
    let mut rest = flow;
    (0..count.min(queues).min(16)).map(move |i| {
        let left = (queues - i) as u64;
        let mut card = (rest % left) as usize;
        rest = (rest / left) ^ flow.rotate_left(7 * (i as u32 + 1));
        // The card's place among those that are left becomes its number among all.
        // Those dealt before are kept in order beside their deal.
        for taken in &sorted[..i] {
            card += usize::from(card >= *taken);
        }
        let place = sorted[..i].partition_point(|taken| *taken < card);
        sorted.copy_within(place..i, place + 1);
        sorted[place] = card;
        card
    })
}
