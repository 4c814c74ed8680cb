//! Messages between routers and relays. Each fits one datagram.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::cell::CellId;
use crate::digest::Digest;
use crate::engine::{join_address, split_address, Engine, EngineState};

/// Largest message, in bytes. The rest of a datagram is left for the signature and the sender's
/// identity.
pub const MAX_MESSAGE_BYTES: usize = 1_000;
/// Largest number of pieces in a snapshot. Bounds the memory that a router uses for assembly.
pub const MAX_PIECES: u16 = 1_024;
/// Largest number of missing pieces that one request names.
pub const MAX_MISSING: usize = 32;
/// Largest size of a piece or delta without its names and engines, in bytes.
const MAX_ENVELOPE_BYTES: usize = 120;

/// Why a message could not be decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// It is not a valid encoding.
    #[error("invalid encoding: {0}")]
    Format(#[from] rmp_serde::decode::Error),
    /// It exceeds the largest message size; holds its size in bytes.
    #[error("message too large: {0} bytes")]
    TooLarge(usize),
    /// It contains an engine with an invalid state, address, name or weight.
    #[error("engine with an invalid state, address, name or weight")]
    InvalidEngine,
}

/// Encoded engine: id, address (two halves of the IP, and the port), zone and kind as one-based
/// indices into the names of the table (0 for none), group, state, weight, and start time in Unix
/// milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row(u64, (u64, u64, u32), u8, u8, Option<u64>, u8, f64, u64);

/// Encoded engines, and the names that their rows refer to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    names: Vec<String>,
    rows: Vec<Row>,
}

impl Table {
    /// Encodes engines in as few tables as fit one message each. Returns one empty table if there
    /// are no engines.
    pub fn pack<'a>(engines: impl IntoIterator<Item = &'a Engine>) -> Vec<Table> {
        let mut tables = vec![Table::default()];
        let mut size = MAX_ENVELOPE_BYTES;
        for engine in engines {
            let needs_new_table = match tables.last_mut() {
                Some(table) => !table.push(engine, &mut size),
                None => true,
            };
            if needs_new_table {
                let mut table = Table::default();
                size = MAX_ENVELOPE_BYTES;
                table.push(engine, &mut size);
                tables.push(table);
            }
        }
        tables
    }

    /// Adds an engine if it fits, and returns whether it did. The first engine of a table is always
    /// added.
    fn push(&mut self, engine: &Engine, size: &mut usize) -> bool {
        let name_number = |name: &Option<Arc<str>>| match name {
            None => Some(0),
            Some(name) => self.names.iter().position(|n| **n == **name).map(|at| at as u8 + 1),
        };
        let (zone, kind) = (name_number(&engine.zone), name_number(&engine.kind));
        let new_names: Vec<String> = [(&engine.zone, zone), (&engine.kind, kind)]
            .into_iter()
            .filter(|(_, at)| at.is_none())
            .filter_map(|(name, _)| name.as_deref().map(str::to_owned))
            .collect();
        let number_or_next =
            |at: Option<u8>, before: usize| at.unwrap_or((self.names.len() + before) as u8 + 1);
        let row = Row(
            engine.id,
            split_address(engine.address),
            number_or_next(zone, 0),
            number_or_next(kind, usize::from(zone.is_none())),
            engine.group,
            engine.state.code(),
            engine.weight,
            engine.started_ms,
        );
        let bytes = encoded_size(&row) + new_names.iter().map(|name| name.len() + 5).sum::<usize>();
        let fits = *size + bytes <= MAX_MESSAGE_BYTES && self.names.len() + new_names.len() < 255;
        if !fits && !self.rows.is_empty() {
            return false;
        }
        *size += bytes;
        self.names.extend(new_names);
        self.rows.push(row);
        true
    }

    /// Returns whether a delta with this table and `removed` ids fits one message.
    pub fn fits_with_removed(&self, removed: usize) -> bool {
        MAX_ENVELOPE_BYTES + encoded_size(self) + removed * (size_of::<u64>() + 1) <= MAX_MESSAGE_BYTES
    }

    /// Decodes the engines.
    ///
    /// # Errors
    /// [`CodecError::InvalidEngine`] if a row is not a valid engine.
    pub fn engines(&self) -> Result<Vec<Engine>, CodecError> {
        let names: Vec<Arc<str>> = self.names.iter().map(|name| Arc::from(name.as_str())).collect();
        let name = |at: u8| match usize::from(at).checked_sub(1) {
            None => Ok(None),
            Some(at) => names.get(at).cloned().map(Some).ok_or(CodecError::InvalidEngine),
        };
        let engine = |Row(id, (high, low, port), zone, kind, group, state, weight, started_ms): &Row| {
            Ok(Engine {
                id: *id,
                address: join_address(*high, *low, *port).ok_or(CodecError::InvalidEngine)?,
                zone: name(*zone)?,
                kind: name(*kind)?,
                group: *group,
                state: EngineState::from_code(*state).ok_or(CodecError::InvalidEngine)?,
                weight: Some(*weight).filter(|weight| weight.is_finite()).ok_or(CodecError::InvalidEngine)?,
                started_ms: *started_ms,
            })
        };
        self.rows.iter().map(engine).collect()
    }
}

/// Request of a router for the part of its cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Incarnation of the router, which increases with each start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Sequence number, which increases with each request of the router.
    pub sequence: u64,
    /// Cell of the router.
    pub cell: CellId,
    /// Digest of the part that the router holds.
    #[serde(rename = "have")]
    pub held_digest: Option<Digest>,
    /// Lowest version that the router accepts; `None` for any.
    #[serde(rename = "least")]
    pub min_version: Option<u64>,
    /// Digest of an incomplete snapshot, and the first indices of its missing pieces.
    pub missing: Option<(Digest, Vec<u16>)>,
}

/// Request that a response belongs to, and the state of the relay at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHeader {
    /// Incarnation of the router, from the request.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Sequence number of the request.
    pub sequence: u64,
    /// Hash of the cell.
    pub cell: u64,
    /// Number of the last event of the list service that the relay has applied.
    pub version: u64,
    /// Time since the relay last had contact with the list service, in milliseconds.
    #[serde(rename = "heard_age_ms")]
    pub contact_age_ms: u64,
}

/// One piece of a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// Request that it belongs to.
    #[serde(rename = "answer")]
    pub header: ResponseHeader,
    /// Digest of the complete part.
    pub digest: Digest,
    /// Index of the piece.
    #[serde(rename = "at")]
    pub index: u16,
    /// Number of pieces.
    #[serde(rename = "of")]
    pub count: u16,
    /// Engines of the piece.
    pub table: Table,
}

/// Change of a part, sent without a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Incarnation of the router, from its latest request.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Hash of the cell.
    pub cell: u64,
    /// Number of the list service's event.
    pub version: u64,
    /// Digest of the part before the change.
    pub from: Digest,
    /// Digest of the part after the change.
    pub to: Digest,
    /// Added and changed engines.
    pub table: Table,
    /// Ids of removed engines.
    #[serde(rename = "gone")]
    pub removed: Vec<u64>,
}

/// A message of one datagram. The variants are encoded by their names on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Request of a router.
    #[serde(rename = "Ask")]
    Request(Request),
    /// The router already holds the current part.
    #[serde(rename = "Same")]
    Unchanged(ResponseHeader),
    /// The relay has a lower version than the router accepts.
    Behind(ResponseHeader),
    /// One piece of a snapshot.
    Piece(Piece),
    /// The part has changed.
    Delta(Delta),
    /// The relay cannot serve the part, for example because it has not received a full list yet.
    NotReady(ResponseHeader),
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into memory cannot fail for these types.
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// [`CodecError`] if it is too large or invalid.
    pub fn decode(bytes: &[u8]) -> Result<Message, CodecError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(CodecError::TooLarge(bytes.len()));
        }
        Ok(rmp_serde::from_slice(bytes)?)
    }
}

fn encoded_size(value: &impl Serialize) -> usize {
    rmp_serde::to_vec(value).map_or(MAX_MESSAGE_BYTES, |bytes| bytes.len())
}
