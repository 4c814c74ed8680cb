//! Names of requests that must not run again: of ended ones that may have run, and of those at other
//! processes of the router.
//!
//! A client that has left may come back with the id of its request. Engines tell queries apart by
//! that id alone, and a load must not run twice. Invariant: at most as many names are kept as the
//! memory limit allows; the oldest go first. No clock.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use log::warn;

/// Names kept for each megabyte of the memory limit; one takes about 150 bytes.
const NAMES_PER_MB: f64 = 64.0;

/// Why a request's name cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameConflict {
    /// A request with this name is open.
    Open,
    /// A request with this name may have run, and must not run again.
    MayHaveRun,
}

/// The name of a request that must not run again, at any process of its router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsedName {
    /// The name.
    pub name: String,
    /// Clock time until which it must not be used again (ns).
    pub until_ns: u64,
}

/// The names of requests that must not run again.
#[derive(Debug)]
pub struct RepeatGuard {
    /// Time until which each name is kept (ns).
    until_ns: HashMap<Rc<str>, u64>,
    /// The names, oldest first.
    names: VecDeque<Rc<str>>,
    max_names: usize,
    /// Names dropped before their time.
    dropped: u64,
    /// Names of requests at other processes of this router, with the time until which (ns).
    elsewhere: HashMap<String, u64>,
}

impl RepeatGuard {
    /// Starts without names, for a process with this memory limit.
    pub fn new(memory_mb: f64) -> RepeatGuard {
        let max_names = (memory_mb * NAMES_PER_MB) as usize;
        RepeatGuard {
            until_ns: HashMap::new(),
            names: VecDeque::new(),
            max_names,
            dropped: 0,
            elsewhere: HashMap::new(),
        }
    }

    /// Keeps a name until a time (ns).
    pub fn insert(&mut self, now_ns: u64, name: &str, until_ns: u64) {
        self.remove_expired(now_ns);
        if let Some(known) = self.until_ns.get_mut(name) {
            *known = until_ns.max(*known);
            return;
        }
        if self.names.len() >= self.max_names {
            self.drop_oldest();
        }
        let name: Rc<str> = name.into();
        self.until_ns.insert(name.clone(), until_ns);
        self.names.push_back(name);
    }

    /// Replaces the names of requests at other processes of this router.
    pub fn set_elsewhere(&mut self, names: Vec<UsedName>) {
        self.elsewhere = names.into_iter().map(|used| (used.name, used.until_ns)).collect();
    }

    /// Whether a request with this name must not run.
    pub fn contains(&self, now_ns: u64, name: &str) -> bool {
        self.is_kept(now_ns, name) || self.elsewhere.get(name).is_some_and(|until_ns| now_ns < *until_ns)
    }

    fn is_kept(&self, now_ns: u64, name: &str) -> bool {
        self.until_ns.get(name).is_some_and(|until_ns| now_ns < *until_ns)
    }

    /// The newest names, at most this many.
    pub fn newest(&self, count: usize) -> impl Iterator<Item = UsedName> + '_ {
        let name =
            |name: &Rc<str>| Some(UsedName { name: name.to_string(), until_ns: *self.until_ns.get(name)? });
        self.names.iter().rev().take(count).filter_map(name)
    }

    /// Number of names that were dropped before their time.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn remove_expired(&mut self, now_ns: u64) {
        while self.names.front().is_some_and(|name| !self.is_kept(now_ns, name)) {
            self.remove_first();
        }
    }

    fn drop_oldest(&mut self) {
        if self.dropped == 0 {
            warn!(
                "more than {} requests that must not run again are kept: the oldest are dropped",
                self.max_names
            );
        }
        self.dropped += 1;
        self.remove_first();
    }

    fn remove_first(&mut self) {
        if let Some(name) = self.names.pop_front() {
            self.until_ns.remove(&name);
        }
    }
}
