//! Where news of the engines comes from.

#![forbid(unsafe_code)]

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

/// How calls for news are paced.
#[derive(Clone, Copy, Debug)]
pub struct SourceParams {
    /// What the fleet may ask of the service.
    pub pace: PacingParams,
    /// Seed of this router's draws: no other router's.
    pub seed: u64,
    /// Staleness from which news counts as too old (ns).
    pub stale_ns: u64,
}

/// Where membership news comes from.
pub enum Source {
    /// The platform's coordinator.
    Stream(Box<stream::Stream>),
    /// Consul.
    Consul(Box<consul::Consul>),
}

impl Source {
    /// Looks after its connections.
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        match self {
            Source::Stream(stream) => stream.tick(now, net),
            Source::Consul(consul) => consul.tick(now, net),
        }
    }

    /// Paces calls so from the next one on.
    pub fn set_pace(&mut self, pace: PacingParams, stale_ns: u64) {
        match self {
            Source::Stream(stream) => stream.set_pace(pace, stale_ns),
            Source::Consul(consul) => consul.set_pace(pace, stale_ns),
        }
    }

    /// What is known was last right then (ns), as of a list that was kept.
    pub fn set_confirmed(&mut self, confirmed_ns: u64) {
        match self {
            Source::Stream(stream) => stream.staleness_mut().set_confirmed(confirmed_ns),
            Source::Consul(consul) => consul.staleness_mut().set_confirmed(confirmed_ns),
        }
    }

    /// How old the news is (ns).
    pub fn age_ns(&self, now: u64) -> u64 {
        match self {
            Source::Stream(stream) => stream.stats().1.age_ns(now),
            Source::Consul(consul) => consul.stats().1.age_ns(now),
        }
    }

    /// Number of the last event that was taken; 0 where the service numbers none.
    pub fn last_event(&self) -> u64 {
        match self {
            Source::Stream(stream) => stream.position().0,
            Source::Consul(_) => 0,
        }
    }

    /// Whether a stream of numbered events is open now.
    pub fn is_open(&self) -> bool {
        matches!(self, Source::Stream(stream) if stream.position().1)
    }

    /// What calls for news came to, and how old the news is, as counters.
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

    /// Asks at another address from here on; gives what of `known` is news. The old connection is dropped at
    /// once: guards against an old source that still talks behind a new one.
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

    /// Takes what has come in on one of them; gives the changes in order.
    pub fn ready(&mut self, now: u64, net: &mut Net, conn: u64) -> Vec<Change> {
        match self {
            Source::Stream(stream) => stream.ready(now, net, conn),
            Source::Consul(consul) => consul.ready(now, net, conn).into_iter().collect(),
        }
    }
}

/// Why a call for news came to nothing, or to an end.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SourceError {
    /// The service is there and takes no more calls for now; for how long it wants none (ns).
    #[error("it takes no more calls for now")]
    Rejected(Option<u64>),
    /// It answers otherwise than with news.
    #[error("status {0}")]
    Status(u16),
    /// The head of its answer can't be read.
    #[error("{0}")]
    Head(String),
    /// The length of its answer is not told.
    #[error("the body's length is not told")]
    MissingLength,
    /// The chunks of its answer can't be read.
    #[error("{0}")]
    Chunk(#[from] ChunkError),
    /// It has ended, or is silent.
    #[error("it has ended")]
    Ended,
    /// A list is over its bound, or can't be read.
    #[error("{0}")]
    List(#[from] ListError),
}

/// Whether a service took a call, by the head of its answer.
fn check_status(now: u64, head: &Head) -> Result<(), SourceError> {
    match head.status {
        200 => Ok(()),
        429 | 503 => Err(SourceError::Rejected(head.retry_after.map(|after| after.delay_ns(now)))),
        status => Err(SourceError::Status(status)),
    }
}

/// Time that a list may take for each of its bytes, behind what it may take in any case (ns): 10 KB/s.
const MAX_NS_PER_BYTE: u64 = 100_000;

/// An engine and where it listens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// What the module is told of it.
    pub entry: EngineEntry,
    /// Where it listens.
    pub address: SocketAddr,
}

/// One membership event, from whatever source.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// How to read the list.
    pub kind: MembershipKind,
    /// The list.
    pub targets: Vec<Target>,
}

/// The module's number of an engine, from its name: the same in every router. An address may pass to a new
/// engine, so it says nothing.
pub fn engine_id(name: &str) -> EngineId {
    let hash =
        name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    EngineId(hash >> 1)
}
