//! Where news of the engines comes from.

pub mod consul;
pub mod stream;

use std::net::SocketAddr;

use crate::interface::{EngineEntry, EngineId, MembershipKind};
use crate::net::Net;

/// Largest chunk of a body that comes in chunks (bytes).
const CHUNK_MOST: u64 = 256 << 10;

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

/// A reader of bodies that come in chunks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chunks {
    /// Bytes of the present chunk that are to come; the line feed behind it counts.
    left: usize,
}

impl Chunks {
    /// Adds the body's bytes in `input` to `out`; returns how much was taken, and whether the body is whole.
    pub fn take(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<(usize, bool), String> {
        let mut taken = 0;
        while taken < input.len() {
            if self.left > 0 {
                let part = self.left.min(input.len() - taken);
                let body = part.min(self.left.saturating_sub(2));
                out.extend_from_slice(&input[taken..taken + body]);
                (self.left, taken) = (self.left - part, taken + part);
                continue;
            }
            match httparse::parse_chunk_size(&input[taken..]) {
                Ok(httparse::Status::Complete((head, 0))) => {
                    // The empty line behind the last chunk; no trailers are used.
                    return Ok(((taken + head + 2).min(input.len()), true));
                }
                Ok(httparse::Status::Complete((head, size))) if size <= CHUNK_MOST => {
                    (taken, self.left) = (taken + head, size as usize + 2);
                }
                Ok(httparse::Status::Partial) if input.len() - taken < 32 => break,
                _ => return Err("bad chunk".into()),
            }
        }
        Ok((taken, false))
    }
}

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
