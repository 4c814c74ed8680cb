//! The fronts: clients' messages become requests, answers become messages. All fronts make the same requests
//! of the same core.

#![forbid(unsafe_code)]

pub mod msgpack;
pub mod operator;
pub mod postgres;

use std::net::IpAddr;

use marljunction_control::interface::{ClassId, Effect, Settings, TenantId};
use marljunction_fair_queue::settings::{ClientHasher, ClientKey};
use marljunction_settings::{index_of, Names};

/// Time that an answer may take from here to the client (ns): what is left of a request's time is shorter by it.
pub const ANSWER_MARGIN_NS: u64 = 20_000_000;
/// Longest message of a client (bytes).
pub const MESSAGE_MOST: usize = 64 << 10;

/// What the fronts know of classes and tenants.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    names: Names,
    deadlines_ns: Vec<u64>,
    drops_repeats: Vec<bool>,
    who: ClientKey,
    client_hasher: ClientHasher,
}

impl Directory {
    /// Of a router's settings.
    pub fn new(names: Names, settings: &Settings) -> Self {
        let deadlines_ns = settings.classes.iter().map(|c| c.deadline_ns).collect();
        let drops_repeats = settings.classes.iter().map(|c| c.effect == Effect::Deduplicated).collect();
        Directory { names, deadlines_ns, drops_repeats, ..Directory::default() }
    }

    /// The names behind the module's numbers.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// What names a client, and the key of clients' numbers.
    pub fn with_clients(self, who: ClientKey, seed: u64) -> Self {
        Directory { who, client_hasher: ClientHasher::new(seed), ..self }
    }

    /// The number of the address that a client connects from.
    pub fn peer(&self, address: IpAddr) -> u64 {
        match address {
            IpAddr::V4(v4) => self.client_hasher.of(&v4.octets()),
            IpAddr::V6(v6) => self.client_hasher.of(&v6.octets()),
        }
    }

    /// The number of a client, by `named` where that finds the name that the operator chose, else by its address.
    pub fn client<'a>(&self, peer: u64, named: impl FnOnce(&ClientKey) -> Option<&'a str>) -> u64 {
        match &self.who {
            ClientKey::Peer => peer,
            who => named(who).map_or(peer, |name| self.client_hasher.of(name.as_bytes())),
        }
    }

    /// A class by its name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        index_of(&self.names.classes, name).map(ClassId)
    }

    /// A tenant by its name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        index_of(&self.names.tenants, name).map(TenantId)
    }

    /// The name of a class.
    pub fn class_name(&self, class: ClassId) -> &str {
        self.names.classes.get(class.0).map_or("", |n| n)
    }

    /// The name of a tenant.
    pub fn tenant_name(&self, tenant: TenantId) -> &str {
        self.names.tenants.get(tenant.0).map_or("", |n| n)
    }

    /// Whether engines drop repeats of a class's requests, by their tokens.
    pub fn drops_repeats(&self, class: ClassId) -> bool {
        self.drops_repeats.get(class.0) == Some(&true)
    }

    /// How long clients of a class wait at most.
    pub fn deadline_ns(&self, class: ClassId) -> u64 {
        self.deadlines_ns.get(class.0).copied().unwrap_or(0)
    }
}
