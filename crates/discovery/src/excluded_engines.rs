//! Engines that operators have excluded. Applied to membership changes on their way from the source
//! to the decision module.
//!
//! An excluded engine is reported as draining, whatever its source says. When the exclusion ends,
//! it is reported as just started, since operators restart engines while they are excluded. So the
//! module's rules for draining and cold engines apply to it unchanged. No file access and no clock.

use std::collections::BTreeMap;

use marljunction_control::interface::{EngineId, EngineState, MembershipKind};
use marljunction_health::overrides::is_valid_engine_name;

use crate::listed_engines::ListedEngines;
use crate::{engine_id, Change, Target};

/// Most engines that one router may exclude. Guards against unbounded requests or files.
pub const MAX_EXCLUDED: usize = 4096;

/// Why an exclusion request fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExclusionError {
    /// The engine is neither listed nor excluded.
    Unknown,
    /// Not a valid engine id.
    Malformed,
    /// The maximum number of engines is excluded.
    Full,
}

/// Excluded engines, and the latest entry of every listed engine.
#[derive(Debug, Default)]
pub struct ExcludedEngines {
    /// Engines excluded by this router, with their names.
    local: BTreeMap<EngineId, String>,
    /// Engines excluded in the whole fleet, by an operator at any router.
    fleet: BTreeMap<EngineId, String>,
    /// Latest entries of the listed engines, reported again when an exclusion ends.
    listed: ListedEngines,
    /// Latest entries of engines that were excluded when they left the list. Once the exclusion has
    /// ended, the next full list drops them.
    unlisted: BTreeMap<EngineId, Target>,
}

impl ExcludedEngines {
    /// Starts with no engine excluded.
    pub fn new() -> Self {
        ExcludedEngines::default()
    }

    /// Whether an engine is excluded, by this router or in the fleet.
    pub fn is_excluded(&self, engine: EngineId) -> bool {
        self.local.contains_key(&engine) || self.fleet.contains_key(&engine)
    }

    /// The listed engines.
    pub fn listed(&self) -> &ListedEngines {
        &self.listed
    }

    /// Whether an engine is listed, or left the list while excluded.
    pub fn is_listed(&self, name: &str) -> bool {
        is_valid_engine_name(name) && self.latest_target(engine_id(name)).is_some()
    }

    /// Latest entry of an engine.
    fn latest_target(&self, id: EngineId) -> Option<Target> {
        self.listed.get(id).or_else(|| self.unlisted.get(&id).copied())
    }

    /// Replaces the engines that are excluded in the whole fleet. Returns the changes for the
    /// module. Engines that this router excludes itself stay excluded.
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

    /// Change that reports an engine as draining.
    fn draining_change(&self, id: EngineId) -> Option<Change> {
        let mut target = self.latest_target(id)?;
        if target.entry.state == EngineState::Ready {
            target.entry.state = EngineState::Draining;
        }
        Some(Change { kind: MembershipKind::Delta, targets: vec![target] })
    }

    /// Change that reports an engine as just started, whatever the list says of its start:
    /// operators restart engines while they are excluded.
    fn returning_change(&self, id: EngineId, now_ns: u64) -> Option<Change> {
        let mut target = self.latest_target(id)?;
        target.entry.started_ns = Some(now_ns.max(target.entry.started_ns.unwrap_or(0)));
        Some(Change { kind: MembershipKind::Delta, targets: vec![target] })
    }

    /// Names of the engines that this router excludes, sorted by id.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.local.values().map(String::as_str)
    }

    /// Records a change from the source. Returns it as the module should see it, with excluded
    /// engines draining.
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

    /// Retains the latest entries of excluded engines that a change is about to remove.
    fn retain_excluded(&mut self, change: &Change) {
        let ids: Vec<EngineId> = self.local.keys().chain(self.fleet.keys()).copied().collect();
        if change.kind != MembershipKind::Delta {
            let ExcludedEngines { local, fleet, unlisted, .. } = self;
            unlisted.retain(|id, _| local.contains_key(id) || fleet.contains_key(id));
            let targets = ids.iter().filter_map(|id| self.listed.get(*id));
            self.unlisted.extend(targets.map(|target| (target.entry.engine, target)));
        }
        let removed = change.targets.iter().filter(|target| target.entry.state == EngineState::Gone);
        for target in removed {
            let id = target.entry.engine;
            match self.is_excluded(id) {
                true => drop(self.unlisted.insert(id, *target)),
                false => drop(self.unlisted.remove(&id)),
            }
        }
    }

    /// Excludes an engine. Returns the change for the module, if the engine is listed and was not
    /// excluded already.
    ///
    /// # Errors
    /// [`ExclusionError::Unknown`] if the engine is neither listed nor excluded and
    /// `allow_unlisted` is false; [`ExclusionError::Malformed`]; [`ExclusionError::Full`].
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

    /// Ends this router's exclusion of an engine. Returns the change for the module, if the engine
    /// is listed and no longer excluded; it is reported as started at `now_ns` at the earliest.
    ///
    /// # Errors
    /// [`ExclusionError::Unknown`] if the engine is neither listed nor excluded by this router;
    /// [`ExclusionError::Malformed`].
    pub fn enable(&mut self, name: &str, now_ns: u64) -> Result<Option<Change>, ExclusionError> {
        let id = self.validated_id(name)?;
        if self.local.remove(&id).is_none() {
            return if self.latest_target(id).is_some() { Ok(None) } else { Err(ExclusionError::Unknown) };
        }
        Ok(if self.is_excluded(id) { None } else { self.returning_change(id, now_ns) })
    }

    /// Replaces this router's exclusions by those that another process has written. Returns the
    /// changes for the module.
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

    /// This router's exclusions as text: one name per line, sorted by id.
    pub fn to_text(&self) -> String {
        self.names().flat_map(|name| [name, "\n"]).collect()
    }
}

/// Parses text written by [`ExcludedEngines::to_text`]. Invalid names are skipped, and at most
/// [`MAX_EXCLUDED`] are read.
pub fn parse_names(text: &str) -> Vec<&str> {
    text.lines().map(str::trim).filter(|n| is_valid_engine_name(n)).take(MAX_EXCLUDED).collect()
}
