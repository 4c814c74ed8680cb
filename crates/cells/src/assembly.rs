//! Assembly of a snapshot from its pieces.

use crate::digest::Digest;
use crate::engine::Engine;
use crate::message::{MAX_MISSING, MAX_PIECES};

/// What pieces of one snapshot have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AssemblyKey {
    /// Digest of the complete part.
    pub digest: Digest,
    /// Number of pieces.
    pub piece_count: u16,
}

/// Received pieces of one part. They may belong to several requests and relays: parts with equal
/// digests are divided into equal pieces.
#[derive(Clone, Debug)]
pub(crate) struct Assembly {
    key: AssemblyKey,
    pieces: Vec<Option<Vec<Engine>>>,
    version: u64,
    confirmed_ns: u64,
}

impl Assembly {
    /// Creates an assembly without pieces; `None` if the number of pieces is invalid.
    pub(crate) fn new(key: AssemblyKey) -> Option<Assembly> {
        let valid = (1..=MAX_PIECES).contains(&key.piece_count);
        valid.then(|| Assembly {
            key,
            pieces: vec![None; usize::from(key.piece_count)],
            version: u64::MAX,
            confirmed_ns: u64::MAX,
        })
    }

    pub(crate) fn key(&self) -> &AssemblyKey {
        &self.key
    }

    /// Adds a piece. The part gets the lowest version and the earliest confirmation time of its
    /// pieces.
    pub(crate) fn add(&mut self, index: u16, engines: Vec<Engine>, version: u64, confirmed_ns: u64) {
        if let Some(slot) = self.pieces.get_mut(usize::from(index)) {
            *slot = Some(engines);
            self.version = self.version.min(version);
            self.confirmed_ns = self.confirmed_ns.min(confirmed_ns);
        }
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.pieces.iter().all(Option::is_some)
    }

    /// Returns the indices of the first missing pieces.
    pub(crate) fn missing(&self) -> Vec<u16> {
        let all = self.pieces.iter().enumerate().filter(|(_, piece)| piece.is_none());
        all.map(|(index, _)| index as u16).take(MAX_MISSING).collect()
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn confirmed_ns(&self) -> u64 {
        self.confirmed_ns
    }

    pub(crate) fn into_engines(self) -> impl Iterator<Item = Engine> {
        self.pieces.into_iter().flatten().flatten()
    }
}
