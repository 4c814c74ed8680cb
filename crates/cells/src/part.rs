//! The part of the list that one cell has: its engines by id, and their digest.

use std::collections::BTreeMap;

use crate::digest::Digest;
use crate::engine::{Engine, EngineState};

/// A part of the list. Engines that are gone are not in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    engines: BTreeMap<u64, Engine>,
    digest: Digest,
}

impl Part {
    /// A part of these engines.
    pub fn new(engines: impl IntoIterator<Item = Engine>) -> Part {
        let here = engines.into_iter().filter(|engine| engine.state != EngineState::Gone);
        Part::from_engines(here.map(|engine| (engine.id, engine)).collect())
    }

    fn from_engines(engines: BTreeMap<u64, Engine>) -> Part {
        let digest = Digest::of(engines.values());
        Part { engines, digest }
    }

    /// Its digest.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Its engines, by id.
    pub fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// The engine with this id.
    pub fn get(&self, id: u64) -> Option<&Engine> {
        self.engines.get(&id)
    }

    /// Engines in it (count).
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// The part with these engines changed or added, and those taken out.
    pub fn with_changes(&self, changed: &[Engine], removed: &[u64]) -> Part {
        let mut engines = self.engines.clone();
        for id in removed {
            engines.remove(id);
        }
        engines.extend(changed.iter().map(|engine| (engine.id, engine.clone())));
        Part::from_engines(engines)
    }

    /// What makes this part of an earlier one: engines that came or changed, and ids of those that went.
    pub fn diff_from<'a>(&'a self, earlier: &Part) -> (Vec<&'a Engine>, Vec<u64>) {
        let changed = self.engines.values().filter(|engine| earlier.get(engine.id) != Some(*engine));
        let removed = earlier.engines.keys().filter(|id| !self.engines.contains_key(id));
        (changed.collect(), removed.copied().collect())
    }
}
