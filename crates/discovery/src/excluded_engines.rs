//! Engines that operators took out, between the sources of membership and the module.
//!
//! A ban is membership news: while it holds, the module is told that the engine drains, whatever the lists say;
//! at its end, that the engine has just started, since operators restart an engine that they took out. So the
//! module's drain grace and its care of cold engines apply unchanged. Nothing here reads a clock or a file.

use std::collections::BTreeMap;

use marljunction_control::interface::{EngineId, EngineState, MembershipKind};
use marljunction_health::overrides::is_valid_engine_name;

use crate::listed_engines::ListedEngines;
use crate::{engine_id, Change, Target};

/// Engines that may be banned at once (count). Guards against a file or callers that name engines without end;
/// no fleet of the protocol holds so many.
pub const MAX_EXCLUDED: usize = 4096;

/// Why a call about an engine is a no.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExclusionError {
    /// No list has named an engine by that id.
    Unknown,
    /// The id is empty, too long, or holds what no id holds.
    Malformed,
    /// As many engines are banned as may be.
    Full,
}

/// Engines taken out, and what the lists said last of every engine that they name.
#[derive(Debug, Default)]
pub struct ExcludedEngines {
    /// Banned engines, with the name that they were banned by.
    local: BTreeMap<EngineId, String>,
    /// Engines that the whole fleet was told to leave out, by an operator at any router.
    fleet: BTreeMap<EngineId, String>,
    /// The latest entry of each engine that the lists name, to tell again where a ban ends.
    listed: ListedEngines,
    /// The latest entry of engines that the lists name no more, while they are local: up to the next whole list.
    unlisted: BTreeMap<EngineId, Target>,
}

impl ExcludedEngines {
    /// No engine local.
    pub fn new() -> Self {
        ExcludedEngines::default()
    }

    /// Whether an engine is local.
    pub fn is_excluded(&self, engine: EngineId) -> bool {
        self.local.contains_key(&engine) || self.fleet.contains_key(&engine)
    }

    /// The engines that the lists name.
    pub fn listed(&self) -> &ListedEngines {
        &self.listed
    }

    /// Whether a list names an engine now.
    pub fn is_listed(&self, name: &str) -> bool {
        is_valid_engine_name(name) && self.latest_target(engine_id(name)).is_some()
    }

    /// What the lists said last of an engine.
    fn latest_target(&self, id: EngineId) -> Option<Target> {
        self.listed.get(id).or_else(|| self.unlisted.get(&id).copied())
    }

    /// The whole fleet leaves these engines out: what the module is to be told. An engine that a router's own ban holds too
    /// stays out.
    pub fn set_fleet_excluded<'a>(
        &mut self,
        names: impl Iterator<Item = &'a str>,
        now_ns: u64,
    ) -> Vec<Change> {
        let names = names.filter(|n| is_valid_engine_name(n)).map(|n| (engine_id(n), n.to_owned())).collect();
        let before = std::mem::replace(&mut self.fleet, names);
        let contains = |of: &BTreeMap<EngineId, String>, id: &EngineId| of.contains_key(id);
        let new: Vec<EngineId> = self
            .fleet
            .keys()
            .filter(|id| !contains(&before, id) && !contains(&self.local, id))
            .copied()
            .collect();
        let ended: Vec<EngineId> = before.keys().filter(|id| !self.is_excluded(**id)).copied().collect();
        let begins = new.iter().filter_map(|id| self.draining_change(*id));
        let ends = ended.iter().filter_map(|id| self.returning_change(*id, now_ns));
        begins.chain(ends).collect()
    }

    /// News that an engine drains.
    fn draining_change(&self, id: EngineId) -> Option<Change> {
        let mut target = self.latest_target(id)?;
        if target.entry.state == EngineState::Ready {
            target.entry.state = EngineState::Draining;
        }
        Some(Change { kind: MembershipKind::Delta, targets: vec![target] })
    }

    /// News that an engine is back. Operators restart an engine while it is out: it comes back cold, whatever the list last said.
    fn returning_change(&self, id: EngineId, now_ns: u64) -> Option<Change> {
        let mut target = self.latest_target(id)?;
        target.entry.started_ns = Some(now_ns.max(target.entry.started_ns.unwrap_or(0)));
        Some(Change { kind: MembershipKind::Delta, targets: vec![target] })
    }

    /// Names of the banned engines, in the order of their ids.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.local.values().map(String::as_str)
    }

    /// What a source said, as the module is to hear it: banned engines drain.
    pub fn filter_change(&mut self, mut change: Change) -> Change {
        self.retain_excluded(&change);
        self.listed.apply(&change);
        let ExcludedEngines { local, fleet, listed, unlisted } = self;
        unlisted.retain(|id, _| listed.get(*id).is_none());
        for target in &mut change.targets {
            let id = target.entry.engine;
            let is_excluded = local.contains_key(&id) || fleet.contains_key(&id);
            if is_excluded && target.entry.state == EngineState::Ready {
                target.entry.state = EngineState::Draining;
            }
        }
        change
    }

    /// Keeps what was known last of banned engines that a list is about to name no more.
    fn retain_excluded(&mut self, change: &Change) {
        let ids: Vec<EngineId> = self.local.keys().chain(self.fleet.keys()).copied().collect();
        if change.kind != MembershipKind::Delta {
            let ExcludedEngines { local, fleet, unlisted, .. } = self;
            unlisted.retain(|id, _| local.contains_key(id) || fleet.contains_key(id));
            let targets = ids.iter().filter_map(|id| self.listed.get(*id));
            self.unlisted.extend(targets.map(|target| (target.entry.engine, target)));
        }
        let gone = change.targets.iter().filter(|target| target.entry.state == EngineState::Gone);
        for target in gone {
            let id = target.entry.engine;
            match self.is_excluded(id) {
                true => drop(self.unlisted.insert(id, *target)),
                false => drop(self.unlisted.remove(&id)),
            }
        }
    }

    /// Takes an engine out: the module is told that it drains. Nothing to tell where it is out already, or no list
    /// has named it yet.
    ///
    /// # Errors
    /// [`Refusal::Unknown`] where no list names the engine and `known_or_not` is false: a no is owed for an id
    /// that nobody has. [`Refusal::Malformed`], [`Refusal::Full`] as they say.
    pub fn disable(&mut self, name: &str, allow_unlisted: bool) -> Result<Option<Change>, ExclusionError> {
        let id = self.validated_id(name)?;
        if !allow_unlisted && self.latest_target(id).is_none() && !self.is_excluded(id) {
            return Err(ExclusionError::Unknown);
        }
        if self.local.contains_key(&id) {
            return Ok(None);
        }
        if self.local.len() >= MAX_EXCLUDED {
            return Err(ExclusionError::Full);
        }
        let was_excluded = self.is_excluded(id);
        self.local.insert(id, name.to_owned());
        Ok(if was_excluded { None } else { self.draining_change(id) })
    }

    /// Puts an engine back: the module is told what the lists say of it, as of an engine that started at `now_ns`.
    /// Nothing to tell where it was not out, or no list names it.
    ///
    /// # Errors
    /// [`Refusal::Unknown`] where neither a list nor a ban names the engine; [`Refusal::Malformed`].
    pub fn enable(&mut self, name: &str, now_ns: u64) -> Result<Option<Change>, ExclusionError> {
        let id = self.validated_id(name)?;
        if self.local.remove(&id).is_none() {
            return if self.latest_target(id).is_some() { Ok(None) } else { Err(ExclusionError::Unknown) };
        }
        Ok(if self.is_excluded(id) { None } else { self.returning_change(id, now_ns) })
    }

    /// Makes the bans those of `names`, as another process wrote them: what the module is to be told.
    pub fn replace_all<'a>(&mut self, names: impl IntoIterator<Item = &'a str>, now_ns: u64) -> Vec<Change> {
        let names_by_id: BTreeMap<EngineId, &str> =
            names.into_iter().filter(|n| is_valid_engine_name(n)).map(|n| (engine_id(n), n)).collect();
        let ended: Vec<String> = self
            .local
            .iter()
            .filter(|(id, _)| !names_by_id.contains_key(id))
            .map(|(_, n)| n.clone())
            .collect();
        let ends = ended.iter().filter_map(|name| self.enable(name, now_ns).ok().flatten());
        let mut changes: Vec<Change> = ends.collect();
        for name in names_by_id.values() {
            changes.extend(self.disable(name, true).ok().flatten());
        }
        changes
    }

    fn validated_id(&self, name: &str) -> Result<EngineId, ExclusionError> {
        if is_valid_engine_name(name) {
            Ok(engine_id(name))
        } else {
            Err(ExclusionError::Malformed)
        }
    }

    /// The bans as a text: one name a line, in the order of their ids.
    pub fn to_text(&self) -> String {
        self.names().flat_map(|name| [name, "\n"]).collect()
    }
}

/// The names in a text that [`Bans::to_text`] wrote; lines that can't be names are passed over, and no more than
/// [`BANNED_MOST`] are read.
pub fn parse_names(text: &str) -> Vec<&str> {
    text.lines().map(str::trim).filter(|n| is_valid_engine_name(n)).take(MAX_EXCLUDED).collect()
}
