//! What the lists said last of every engine that they name: one table for all who need it, in the order of the engines' numbers.
//!
//! Sorted and without gaps, as a large list is nearly all that a router holds of its engines here.

use crate::{Change, Target};
use marljunction_control::interface::{EngineId, EngineState, MembershipKind};

/// The engines that the lists name.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// By engine, each once, none of them gone.
    targets: Vec<Target>,
}

impl Roster {
    /// Engines that are named (count).
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether none is named.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// What is known of an engine; none where no list names it.
    pub fn get(&self, engine: EngineId) -> Option<&Target> {
        let at = self.targets.binary_search_by_key(&engine, |target| target.entry.engine).ok()?;
        self.targets.get(at)
    }

    /// All of them, in order.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter()
    }

    /// Takes news; of an engine that it names twice, the last counts.
    pub fn change(&mut self, change: &Change) {
        if change.kind != MembershipKind::Delta {
            // Before the new one is made: guards against memory for both at once.
            self.targets = Vec::new();
            self.targets = in_order(&change.targets);
            return self.targets.retain(|target| target.entry.state != EngineState::Gone);
        }
        let news = in_order(&change.targets);
        let (mut new, mut gone) = (Vec::new(), false);
        for target in news {
            gone |= target.entry.state == EngineState::Gone;
            match self.targets.binary_search_by_key(&target.entry.engine, |known| known.entry.engine) {
                Ok(at) => self.targets[at] = target,
                Err(_) => new.push(target),
            }
        }
        if !new.is_empty() {
            self.targets.extend(new);
            // Two runs in order: one pass.
            self.targets.sort_by_key(|target| target.entry.engine);
        }
        if gone {
            self.targets.retain(|target| target.entry.state != EngineState::Gone);
        }
    }
}

/// Engines in the order of their numbers, each as it is named last.
fn in_order(targets: &[Target]) -> Vec<Target> {
    let mut order: Vec<(EngineId, usize)> =
        targets.iter().enumerate().map(|(at, target)| (target.entry.engine, at)).collect();
    order.sort_unstable_by(|(a, first), (b, second)| a.cmp(b).then(second.cmp(first)));
    order.dedup_by_key(|(engine, _)| *engine);
    order.iter().map(|(_, at)| targets[*at]).collect()
}
