//! The pieces of a part, until all are there.

use crate::digest::Digest;
use crate::engine::Engine;
use crate::message::{MAX_MISSING, MAX_PIECES};

/// What pieces must share to be put together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AssemblyKey {
    /// Digest of the whole part.
    pub digest: Digest,
    /// Pieces in all.
    pub piece_count: u16,
}

/// Pieces of one part. They may answer several asks and come from several relays: a part with one digest is cut in one way.
#[derive(Clone, Debug)]
pub(crate) struct Assembly {
    key: AssemblyKey,
    pieces: Vec<Option<Vec<Engine>>>,
    version: u64,
    confirmed_ns: u64,
}

impl Assembly {
    /// None for a count of pieces that can't be.
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

    /// Adds a piece. The whole counts as of the least version and time of its pieces.
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

    /// Numbers of the first pieces that are missing.
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
