//! Sources of the engine list: the coordinator's event stream and Consul.

#![forbid(unsafe_code)]

pub mod address_owners;
pub mod bound;
pub mod cached_snapshot;
pub mod consul;
pub mod consul_response;
pub mod event;
pub mod excluded_engines;
pub mod listed_engines;
pub mod rejected_updates;
pub mod split;
pub mod staleness;
pub mod stream;
pub mod update;

use std::net::SocketAddr;

use thiserror::Error;

use crate::rejected_updates::RejectedUpdates;
use crate::update::ListError;
use marljunction_control::interface::{EngineEntry, EngineId, MembershipKind};
use marljunction_http1::chunks::ChunkError;
use marljunction_http1::head::Head;
use marljunction_net::Net;
use marljunction_pacing::PacingParams;

/// Parameters of a source.
#[derive(Clone, Copy, Debug)]
pub struct SourceParams {
    /// Pacing of calls to the service.
    pub pace: PacingParams,
    /// Seed for random waits. It has to differ between routers.
    pub seed: u64,
    /// Age from which the list counts as stale (ns).
    pub stale_ns: u64,
}

/// A source of membership changes.
pub enum Source {
    /// The platform's coordinator.
    Stream(Box<stream::Stream>),
    /// Consul.
    Consul(Box<consul::Consul>),
}

impl Source {
    /// Opens and closes connections as they are due.
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        match self {
            Source::Stream(stream) => stream.tick(now, net),
            Source::Consul(consul) => consul.tick(now, net),
        }
    }

    /// Replaces the pacing parameters and the staleness limit, from the next call on.
    pub fn set_pace(&mut self, pace: PacingParams, stale_ns: u64) {
        match self {
            Source::Stream(stream) => stream.set_pace(pace, stale_ns),
            Source::Consul(consul) => consul.set_pace(pace, stale_ns),
        }
    }

    /// Sets when the list was last confirmed (ns), as for a cached snapshot.
    pub fn set_confirmed(&mut self, confirmed_ns: u64) {
        match self {
            Source::Stream(stream) => stream.staleness_mut().set_confirmed(confirmed_ns),
            Source::Consul(consul) => consul.staleness_mut().set_confirmed(confirmed_ns),
        }
    }

    /// Age of the list (ns).
    pub fn age_ns(&self, now: u64) -> u64 {
        match self {
            Source::Stream(stream) => stream.stats().1.age_ns(now),
            Source::Consul(consul) => consul.stats().1.age_ns(now),
        }
    }

    /// Number of the last applied event; 0 if the service does not number them.
    pub fn last_event(&self) -> u64 {
        match self {
            Source::Stream(stream) => stream.position().0,
            Source::Consul(_) => 0,
        }
    }

    /// Whether a stream of numbered events is open.
    pub fn is_open(&self) -> bool {
        matches!(self, Source::Stream(stream) if stream.position().1)
    }

    /// Counters of calls, staleness and rejected updates.
    pub fn line(&self, now: u64) -> String {
        let ((calls, rejected), staleness) = match self {
            Source::Stream(stream) => stream.stats(),
            Source::Consul(consul) => consul.stats(),
        };
        let rejected_updates = match self {
            Source::Stream(stream) => RejectedUpdates::counters(&[stream.rejected_updates()]),
            Source::Consul(consul) => RejectedUpdates::counters(&consul.rejected_updates()),
        };
        let ms = |ns: u64| ns / 1_000_000;
        format!(
            "list_calls={calls} list_turned_away={rejected} list_age_ms={} list_age_most_ms={} list_stale={} {rejected_updates}",
            ms(staleness.age_ns(now)),
            ms(staleness.max_age_ns),
            staleness.stale_count
        )
    }

    /// Switches to another address, and returns those of the `known` updates that are new. The old
    /// connection is closed at once, so that the old service cannot send further changes.
    pub fn reload(
        &mut self,
        now: u64,
        net: &mut Net,
        address: SocketAddr,
        known: Vec<stream::Update>,
    ) -> Vec<Change> {
        match self {
            Source::Stream(stream) => stream.reload(now, net, address, known),
            Source::Consul(consul) => {
                consul.reload(now, net, address);
                Vec::new()
            }
        }
    }

    /// Processes input on a connection. Returns the changes in order.
    pub fn ready(&mut self, now: u64, net: &mut Net, conn: u64) -> Vec<Change> {
        match self {
            Source::Stream(stream) => stream.ready(now, net, conn),
            Source::Consul(consul) => consul.ready(now, net, conn).into_iter().collect(),
        }
    }
}

/// Why a call failed or ended.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SourceError {
    /// The service rejected the call because of its load, and asks for this wait (ns).
    #[error("call rejected because of load")]
    Rejected(Option<u64>),
    /// Any other status than success.
    #[error("status {0}")]
    Status(u16),
    /// Invalid response head.
    #[error("{0}")]
    Head(String),
    /// The response has no length.
    #[error("response has no length")]
    MissingLength,
    /// Invalid chunked encoding.
    #[error("{0}")]
    Chunk(#[from] ChunkError),
    /// The connection was closed or is silent.
    #[error("connection ended")]
    Ended,
    /// A list is over its bound or invalid.
    #[error("{0}")]
    List(#[from] ListError),
}

/// Checks the status of a response.
fn check_status(now: u64, head: &Head) -> Result<(), SourceError> {
    match head.status {
        200 => Ok(()),
        429 | 503 => Err(SourceError::Rejected(head.retry_after.map(|after| after.delay_ns(now)))),
        status => Err(SourceError::Status(status)),
    }
}

/// Additional time allowed for each byte of a list, beyond the silence limit: 10 KB/s.
const MAX_NS_PER_BYTE: u64 = 100_000;

/// An engine and its address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// Its entry for the decision module.
    pub entry: EngineEntry,
    /// The address at which it listens.
    pub address: SocketAddr,
}

/// A membership change.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Whether `targets` is a full list or a delta.
    pub kind: MembershipKind,
    /// The engines.
    pub targets: Vec<Target>,
}

/// Engine id from its name, the same in every router. The address is not part of it, as it may be
/// reassigned to another engine.
pub fn engine_id(name: &str) -> EngineId {
    let hash =
        name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    EngineId(hash >> 1)
}
