//! What routers and relays say to each other about the list: each message fits one datagram.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::cell::CellId;
use crate::digest::Digest;
use crate::engine::{join_address, split_address, Engine, EngineState};

/// Largest message (bytes): the seal and the sender's name have the rest of a datagram.
pub const MAX_MESSAGE_BYTES: usize = 1_000;
/// Most pieces that a part comes in (count): what a router puts together is bounded.
pub const MAX_PIECES: u16 = 1_024;
/// Most pieces that one ask names as missing (count).
pub const MAX_MISSING: usize = 32;
/// What stands in a piece or delta besides names and engines, at most (bytes).
const MAX_ENVELOPE_BYTES: usize = 120;

/// Why a message is passed over.
#[derive(Debug, Error)]
pub enum CodecError {
    /// It is no message.
    #[error("it can't be read: {0}")]
    Format(#[from] rmp_serde::decode::Error),
    /// It is larger than a message may be (bytes).
    #[error("it is too large: {0} bytes")]
    TooLarge(usize),
    /// It names an engine in a way that can't be.
    #[error("it names an engine with a state, address or name that can't be")]
    InvalidEngine,
}

/// An engine in a datagram: id, address (two halves and a port), numbers of zone and kind in the message's names plus one (0 for
/// none), group, state, weight, start (Unix ms).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row(u64, (u64, u64, u32), u8, u8, Option<u64>, u8, f64, u64);

/// Engines, with the names that their rows refer to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    names: Vec<String>,
    rows: Vec<Row>,
}

impl Table {
    /// Engines in as few tables as fit a message each; one empty table for none.
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

    /// Adds an engine where it fits; whether it did. A table's first always fits, or its message would hold none.
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

    /// Whether a change with this table fits one message with so many ids of engines that went.
    pub fn fits_with_removed(&self, removed: usize) -> bool {
        MAX_ENVELOPE_BYTES + encoded_size(self) + removed * (size_of::<u64>() + 1) <= MAX_MESSAGE_BYTES
    }

    /// The engines.
    ///
    /// # Errors
    /// Where a row is of no engine.
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

/// A router asks for its cell's part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The router's life: larger with each start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Grows with each of its asks.
    pub sequence: u64,
    /// Its cell.
    pub cell: CellId,
    /// The part that it holds.
    #[serde(rename = "have")]
    pub held_digest: Option<Digest>,
    /// The version that a part must not be below; none for any.
    #[serde(rename = "least")]
    pub min_version: Option<u64>,
    /// The part that it has pieces of, and the numbers of those missing, the first of them.
    pub missing: Option<(Digest, Vec<u16>)>,
}

/// Which ask an answer is to, and what the relay knew then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHeader {
    /// The router's life, as it asked.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The ask.
    pub sequence: u64,
    /// The cell's number.
    pub cell: u64,
    /// Number of the list service's last event that the relay has taken.
    pub version: u64,
    /// How long ago the relay last heard the list service (ms).
    #[serde(rename = "heard_age_ms")]
    pub contact_age_ms: u64,
}

/// A piece of the whole part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// What it answers.
    #[serde(rename = "answer")]
    pub header: ResponseHeader,
    /// Digest of the whole part.
    pub digest: Digest,
    /// Which piece this is, of how many.
    #[serde(rename = "at")]
    pub index: u16,
    /// Pieces in all.
    #[serde(rename = "of")]
    pub count: u16,
    /// The engines.
    pub table: Table,
}

/// A change of a part, told without being asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The router's life, as it asked last.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The cell's number.
    pub cell: u64,
    /// Number of the list service's event.
    pub version: u64,
    /// The part before, and after.
    pub from: Digest,
    /// The part after.
    pub to: Digest,
    /// Engines that came or changed.
    pub table: Table,
    /// Ids of engines that went.
    #[serde(rename = "gone")]
    pub removed: Vec<u64>,
}

/// One datagram's message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A router asks.
    #[serde(rename = "Ask")]
    Request(Request),
    /// The router holds what the relay does.
    #[serde(rename = "Same")]
    Unchanged(ResponseHeader),
    /// The relay is at a lower version than the router asked for.
    Behind(ResponseHeader),
    /// A piece of the whole part.
    Piece(Piece),
    /// The part has changed.
    Delta(Delta),
    /// The relay has not learned a whole list yet.
    NotReady(ResponseHeader),
}

impl Message {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Writing into memory can't fail, and all fields are of kinds that the format has.
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Reads what [`Message::encode`] wrote.
    ///
    /// # Errors
    /// Where it is too large, cut, or no message.
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
