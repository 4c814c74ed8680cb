//! Incremental parser of Consul's catalog and health responses.
//!
//! A response takes effect only once it is complete and valid. Its text is not buffered, only the
//! engines parsed so far.

use std::borrow::Cow;
use std::net::{IpAddr, SocketAddr};

use serde::de::IgnoredAny;
use serde::Deserialize;

use crate::bound::ListBound;
use crate::split::Splitter;
use crate::update::{ListError, Text};
use crate::{engine_id, Target};
use marljunction_control::interface::*;
use marljunction_settings::{index_of, Names};

/// A query to Consul.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsulQuery {
    /// The registered engines.
    Catalog,
    /// The health checks of the engines.
    Health,
}

impl ConsulQuery {
    /// Path of the query, up to the service name.
    pub fn path(self) -> &'static str {
        match self {
            ConsulQuery::Catalog => "/v1/catalog/service/",
            ConsulQuery::Health => "/v1/health/service/",
        }
    }

    /// Name in log messages.
    pub fn name(self) -> &'static str {
        match self {
            ConsulQuery::Catalog => "catalog",
            ConsulQuery::Health => "health",
        }
    }
}

/// A complete response.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsulResponse {
    /// The engines, and the number of further ones with invalid addresses.
    Catalog(Vec<Target>, usize),
    /// Engine states, sorted by engine.
    Health(Vec<(EngineId, EngineState)>),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CatalogEntry<'a> {
    #[serde(rename = "ServiceID", borrow)]
    service_id: Cow<'a, str>,
    address: IpAddr,
    #[serde(default, borrow)]
    service_address: Cow<'a, str>,
    service_port: u16,
    #[serde(default, borrow)]
    service_meta: Option<Meta<'a>>,
}

/// Metadata that operators register for an engine.
#[derive(Default, Deserialize)]
struct Meta<'a> {
    #[serde(borrow)]
    az: Option<Text<'a>>,
    #[serde(borrow)]
    model: Option<Text<'a>>,
    #[serde(borrow)]
    pod_group: Option<Text<'a>>,
    #[serde(borrow)]
    boot_ms: Option<Text<'a>>,
}

impl CatalogEntry<'_> {
    /// The engine, with a placeholder state. `None` if its address is invalid.
    fn target(&self, names: &Names) -> Option<Target> {
        let ip = match self.service_address.as_ref() {
            "" => self.address,
            other => other.parse().ok()?,
        };
        let nothing = Meta::default();
        let meta = self.service_meta.as_ref().unwrap_or(&nothing);
        let started_ms = meta.boot_ms.as_ref().and_then(|ms| ms.parse().ok()).filter(|ms: &u64| *ms > 0);
        let entry = EngineEntry {
            engine: engine_id(&self.service_id),
            zone: meta.az.as_ref().and_then(|z| index_of(&names.zones, z)).map(ZoneId),
            kind: meta.model.as_ref().and_then(|k| index_of(&names.kinds, k)).map(KindId),
            cell: meta.pod_group.as_ref().and_then(|group| group.parse().ok()),
            state: EngineState::Gone,
            weight: 1.0,
            started_ns: started_ms.map(|ms| ms.saturating_mul(1_000_000)),
        };
        Some(Target { entry, address: SocketAddr::new(ip, self.service_port) })
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HealthEntry<'a> {
    #[serde(borrow)]
    service: HealthService<'a>,
    #[serde(default, borrow)]
    checks: Vec<HealthCheck<'a>>,
}

#[derive(Deserialize)]
struct HealthService<'a> {
    #[serde(rename = "ID", borrow)]
    id: Cow<'a, str>,
}

#[derive(Deserialize)]
struct HealthCheck<'a> {
    #[serde(rename = "CheckID", default, borrow)]
    id: Cow<'a, str>,
    #[serde(rename = "Status", borrow)]
    status: Cow<'a, str>,
}

/// State from an engine's checks: maintenance drains it, any other critical check excludes it.
fn health_state(checks: &[HealthCheck]) -> EngineState {
    let maintenance =
        |c: &HealthCheck| c.id.starts_with("_node_maintenance") || c.id.starts_with("_service_maintenance");
    let critical: Vec<&HealthCheck> = checks.iter().filter(|c| c.status == "critical").collect();
    match critical.is_empty() {
        true => EngineState::Ready,
        false if critical.iter().any(|c| maintenance(c)) => EngineState::Draining,
        false => EngineState::Gone,
    }
}

/// Incremental reader of one response.
#[derive(Debug)]
pub struct ResponseReader {
    splitter: Splitter,
    bound: ListBound,
    bytes: usize,
    response: ConsulResponse,
}

impl ResponseReader {
    /// Starts a response.
    pub fn new(query: ConsulQuery, bound: ListBound) -> ResponseReader {
        let response = match query {
            ConsulQuery::Catalog => ConsulResponse::Catalog(Vec::new(), 0),
            ConsulQuery::Health => ConsulResponse::Health(Vec::new()),
        };
        ResponseReader { splitter: Splitter::new(&[], bound.entry_bytes), bound, bytes: 0, response }
    }

    /// Bytes read so far.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Checks the length of the response against the bound.
    ///
    /// # Errors
    /// If it is over the bound.
    pub fn check_length(&self, bytes: usize) -> Result<(), ListError> {
        let limit = self.bound.response_bytes;
        match bytes > limit {
            true => Err(ListError::TooLong { bytes, engines: self.response.engines(), limit }),
            false => Ok(()),
        }
    }

    /// Parses the next part of the text.
    ///
    /// # Errors
    /// If the response is over the bound or invalid.
    pub fn push(&mut self, piece: &[u8], names: &Names) -> Result<(), ListError> {
        self.bytes += piece.len();
        self.check_length(self.bytes)?;
        let ResponseReader { splitter, bound, bytes, response } = self;
        splitter.push(piece, |entry| {
            if response.engines() >= bound.engines {
                return Err(ListError::TooMany { bytes: *bytes, limit: bound.engines });
            }
            response.push_entry(entry, names)
        })
    }

    /// Returns the response once all of its text has been pushed.
    ///
    /// # Errors
    /// If it is incomplete or invalid.
    pub fn finish(&mut self) -> Result<ConsulResponse, ListError> {
        let splitter = std::mem::replace(&mut self.splitter, Splitter::new(&[], self.bound.entry_bytes));
        let _: Vec<IgnoredAny> = serde_json::from_slice(&splitter.finish()?)?;
        let mut response = std::mem::replace(&mut self.response, ConsulResponse::Health(Vec::new()));
        if let ConsulResponse::Health(states) = &mut response {
            // If an engine is listed twice, the last entry counts.
            states.reverse();
            states.sort_by_key(|(engine, _)| *engine);
            states.dedup_by_key(|(engine, _)| *engine);
        }
        Ok(response)
    }
}

impl ConsulResponse {
    fn engines(&self) -> usize {
        match self {
            ConsulResponse::Catalog(targets, unresolved) => targets.len() + unresolved,
            ConsulResponse::Health(states) => states.len(),
        }
    }

    fn push_entry(&mut self, entry: &[u8], names: &Names) -> Result<(), ListError> {
        match self {
            ConsulResponse::Catalog(targets, unresolved) => {
                match serde_json::from_slice::<CatalogEntry>(entry)?.target(names) {
                    Some(target) => targets.push(target),
                    None => *unresolved += 1,
                }
            }
            ConsulResponse::Health(states) => {
                let entry: HealthEntry = serde_json::from_slice(entry)?;
                states.push((engine_id(&entry.service.id), health_state(&entry.checks)));
            }
        }
        Ok(())
    }
}
