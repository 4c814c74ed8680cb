//! The part of the engine list that belongs to one cell.

use std::collections::BTreeMap;

use crate::digest::Digest;
use crate::engine::{Engine, EngineState};

/// Engines of a cell by id, with their digest. Engines in state `Gone` are not included.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    engines: BTreeMap<u64, Engine>,
    digest: Digest,
}

impl Part {
    /// Creates a part from engines; those in state `Gone` are left out.
    pub fn new(engines: impl IntoIterator<Item = Engine>) -> Part {
        let here = engines.into_iter().filter(|engine| engine.state != EngineState::Gone);
        Part::from_engines(here.map(|engine| (engine.id, engine)).collect())
    }

    fn from_engines(engines: BTreeMap<u64, Engine>) -> Part {
        let digest = Digest::of(engines.values());
        Part { engines, digest }
    }

    /// Returns the digest.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the engines in order of their ids.
    pub fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// Returns the engine with this id.
    pub fn get(&self, id: u64) -> Option<&Engine> {
        self.engines.get(&id)
    }

    /// Returns the number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether there are no engines.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Returns a copy with the `changed` engines added or replaced and the `removed` ids left out.
    pub fn with_changes(&self, changed: &[Engine], removed: &[u64]) -> Part {
        let mut engines = self.engines.clone();
        for id in removed {
            engines.remove(id);
        }
        engines.extend(changed.iter().map(|engine| (engine.id, engine.clone())));
        Part::from_engines(engines)
    }

    /// Returns the engines that were added or changed since an earlier part, and the ids of those
    /// removed.
    pub fn diff_from<'a>(&'a self, earlier: &Part) -> (Vec<&'a Engine>, Vec<u64>) {
        let changed = self.engines.values().filter(|engine| earlier.get(engine.id) != Some(*engine));
        let removed = earlier.engines.keys().filter(|id| !self.engines.contains_key(id));
        (changed.collect(), removed.copied().collect())
    }
}
