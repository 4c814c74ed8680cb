//! The protocol fronts for clients and the admin API. The client fronts parse messages into
//! requests of the core and encode its answers.

#![forbid(unsafe_code)]

pub mod admin;
pub mod msgpack;
pub mod postgres;

use std::collections::HashMap;
use std::net::IpAddr;

use marljunction_control::interface::{ClassId, Effect, Settings, TenantId};
use marljunction_fair_queue::settings::{ClientHasher, ClientKey};
use marljunction_settings::{index_of, Names};

/// Time reserved for the way of an answer to the client, subtracted from a request's timeout.
pub const ANSWER_MARGIN_NS: u64 = 20_000_000;
/// Maximum size of a client's message.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Messages of one connection that are handled in one turn.
const MAX_MESSAGES_PER_TURN: usize = 64;
/// Bytes of a connection's messages after which its turn ends.
const MAX_BYTES_PER_TURN: usize = 16 << 10;

/// Returns the ids of the connections for which `condition` holds, in order.
fn ids_where<T>(connections: &HashMap<u64, T>, condition: impl Fn(&T) -> bool) -> Vec<u64> {
    let selected = connections.iter().filter(|(_, connection)| condition(connection));
    let mut ids: Vec<u64> = selected.map(|(conn, _)| *conn).collect();
    ids.sort_unstable();
    ids
}

/// Classes and tenants by name, and how clients are identified.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    names: Names,
    deadlines_ns: Vec<u64>,
    deduplicates: Vec<bool>,
    client_key: ClientKey,
    client_hasher: ClientHasher,
}

impl Directory {
    /// Creates a directory from a router's settings.
    pub fn new(names: Names, settings: &Settings) -> Self {
        let deadlines_ns = settings.classes.iter().map(|c| c.deadline_ns).collect();
        let deduplicates = settings.classes.iter().map(|c| c.effect == Effect::Deduplicated).collect();
        Directory { names, deadlines_ns, deduplicates, ..Directory::default() }
    }

    /// Returns the names of the decision module's ids.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Sets what identifies a client, and the seed of the hash that forms client ids.
    pub fn with_client_identity(self, client_key: ClientKey, seed: u64) -> Self {
        Directory { client_key, client_hasher: ClientHasher::new(seed), ..self }
    }

    /// Returns the id of a client's address.
    pub fn peer(&self, address: IpAddr) -> u64 {
        match address {
            IpAddr::V4(v4) => self.client_hasher.of(&v4.octets()),
            IpAddr::V6(v6) => self.client_hasher.of(&v6.octets()),
        }
    }

    /// Returns the id of a client: by the name that `read_name` returns, else the id of its
    /// address.
    pub fn client<'a>(&self, peer: u64, read_name: impl FnOnce(&ClientKey) -> Option<&'a str>) -> u64 {
        match &self.client_key {
            ClientKey::Peer => peer,
            client_key => read_name(client_key).map_or(peer, |name| self.client_hasher.of(name.as_bytes())),
        }
    }

    /// Looks up a class by name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        index_of(&self.names.classes, name).map(ClassId)
    }

    /// Looks up a tenant by name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        index_of(&self.names.tenants, name).map(TenantId)
    }

    /// Returns the name of a class, empty if it is unknown.
    pub fn class_name(&self, class: ClassId) -> &str {
        self.names.classes.get(class.0).map_or("", |n| n)
    }

    /// Returns the name of a tenant, empty if it is unknown.
    pub fn tenant_name(&self, tenant: TenantId) -> &str {
        self.names.tenants.get(tenant.0).map_or("", |n| n)
    }

    /// Returns whether engines deduplicate a class's requests by their tokens.
    pub fn deduplicates(&self, class: ClassId) -> bool {
        self.deduplicates.get(class.0) == Some(&true)
    }

    /// Returns the time limit of a class's requests (ns).
    pub fn deadline_ns(&self, class: ClassId) -> u64 {
        self.deadlines_ns.get(class.0).copied().unwrap_or(0)
    }
}
