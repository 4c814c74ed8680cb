//! The list of unfinished serial requests of all processes of a router. No I/O, no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use marljunction_control::interface::{KeyTurn, RequestId};
use serde::{Deserialize, Serialize};

/// Format of the list.
pub(crate) const VERSION: u32 = 1;

/// How long an attempt of a process that ended may continue (ns): engines end a query that nobody
/// has polled for 2 s, and learn of the last poll late.
pub const ORPHANED_ATTEMPT_NS: u64 = 2_350_000_000;

/// Identifies a process, also after its process id is used again; ordered by start. Times are of the
/// machine's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId {
    /// Its start (ns).
    pub started_ns: u64,
    /// The system's id of the process.
    pub pid: u32,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.pid, self.started_ns)
    }
}

/// A serial request that is not finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakenRequest {
    /// The process that took it.
    pub process: ProcessId,
    /// Its id in that process.
    pub request: u64,
    /// Its order key.
    pub key: u64,
    /// Time by which its last attempt must be over (ns).
    pub over_by_ns: u64,
}

/// Work that a process sent to a cold engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentToCold {
    /// The process that sent it.
    pub process: ProcessId,
    /// The engine.
    pub engine: u64,
    /// Typical need of the request's class (core-nanoseconds).
    pub need_ns: u64,
    /// 0 for light classes, 1 for heavy ones.
    pub lane: usize,
    /// Time until which it counts against the engine's budget (ns).
    pub counts_until_ns: u64,
}

/// The name of a request that must not run again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakenName {
    /// The name.
    pub name: String,
    /// Time until which it must not be used again (ns).
    pub until_ns: u64,
}

/// The names of a process's requests that must not run again, also once the process has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ProcessNames {
    process: ProcessId,
    names: Vec<TakenName>,
}

/// What a process tells the others.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// Its unfinished requests, in the order in which it took them.
    pub open: Vec<TakenRequest>,
    /// Time until which no request of a key may be sent (ns), by key.
    pub pauses: BTreeMap<u64, u64>,
    /// Its work on cold engines that still counts.
    pub cold_sends: Vec<SentToCold>,
    /// Names of its requests that must not run again.
    pub names: Vec<TakenName>,
    /// Whether it is stopping.
    pub is_stopping: bool,
}

/// The shared list. Times are of the machine's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    pub(crate) version: u32,
    /// The run of the machine that the times belong to.
    pub(crate) boot: String,
    processes: BTreeSet<ProcessId>,
    /// Those of them that are stopping.
    stopping: BTreeSet<ProcessId>,
    /// In the order in which they were taken.
    requests: Vec<TakenRequest>,
    /// Time until which no request of a key may be sent (ns), by key.
    pauses: BTreeMap<u64, u64>,
    /// Work on cold engines that still counts.
    cold_sends: Vec<SentToCold>,
    /// Absent in the list of an older program.
    #[serde(default)]
    names: Vec<ProcessNames>,
}

impl Table {
    /// An empty list of a run of the machine.
    pub fn new(boot: String) -> Table {
        Table {
            version: VERSION,
            boot,
            processes: BTreeSet::new(),
            stopping: BTreeSet::new(),
            requests: Vec::new(),
            pauses: BTreeMap::new(),
            cold_sends: Vec::new(),
            names: Vec::new(),
        }
    }

    /// The processes that use the list.
    pub fn processes(&self) -> impl Iterator<Item = ProcessId> + '_ {
        self.processes.iter().copied()
    }

    /// Whether a process has the reserve of its router's budgets: the oldest one that is not stopping
    /// has it, or the oldest one if all are stopping.
    pub fn has_reserve(&self, process: ProcessId) -> bool {
        let mut serving = self.processes.iter().filter(|known| !self.stopping.contains(known));
        let holder = serving.next().or(self.processes.first());
        holder.is_none_or(|holder| *holder == process)
    }

    /// Work on cold engines of other processes that still counts.
    pub fn cold_sends_beside(&self, process: ProcessId) -> Vec<SentToCold> {
        self.cold_sends.iter().filter(|send| send.process != process).copied().collect()
    }

    /// Names of other processes' requests that must not run again.
    pub fn names_beside(&self, process: ProcessId) -> impl Iterator<Item = &TakenName> {
        let others = self.names.iter().filter(move |told| told.process != process);
        others.flat_map(|told| &told.names)
    }

    /// Replaces what a process has told. Requests that are in the list already keep their place.
    pub fn update(&mut self, process: ProcessId, told: &Told) {
        let Told { open, pauses, cold_sends, names, is_stopping } = told;
        self.processes.insert(process);
        if *is_stopping {
            self.stopping.insert(process);
        }
        self.cold_sends.retain(|send| send.process != process);
        self.cold_sends.extend(cold_sends);
        self.names.retain(|told| told.process != process);
        if !names.is_empty() {
            self.names.push(ProcessNames { process, names: names.clone() });
        }
        let is_open: BTreeSet<u64> = open.iter().map(|taken| taken.request).collect();
        self.requests.retain(|taken| taken.process != process || is_open.contains(&taken.request));
        let own = self.requests.iter().filter(|taken| taken.process == process);
        let known: BTreeSet<u64> = own.map(|taken| taken.request).collect();
        self.requests.extend(open.iter().filter(|taken| !known.contains(&taken.request)));
        for (key, until_ns) in pauses {
            self.pause(*key, *until_ns);
        }
    }

    /// Removes processes that ended, with their requests. The first request of a key may be running
    /// on its engine still, and pauses the key; later ones never ran.
    pub fn remove_processes(&mut self, now: u64, ended: &[ProcessId]) {
        let mut keys = BTreeSet::new();
        let first_of_keys: Vec<TakenRequest> =
            self.requests.iter().filter(|taken| keys.insert(taken.key)).copied().collect();
        for first in first_of_keys.iter().filter(|first| ended.contains(&first.process)) {
            let orphan_over_ns = now.saturating_add(ORPHANED_ATTEMPT_NS);
            self.pause(first.key, orphan_over_ns.min(first.over_by_ns));
        }
        self.requests.retain(|taken| !ended.contains(&taken.process));
        self.processes.retain(|process| !ended.contains(process));
        self.stopping.retain(|process| !ended.contains(process));
    }

    /// Removes requests that must be over, so that a suspended process does not block a key forever,
    /// and pauses and work on cold engines that no longer count.
    pub fn remove_expired(&mut self, now: u64) {
        self.requests.retain(|taken| taken.over_by_ns > now);
        self.pauses.retain(|_, until_ns| *until_ns > now);
        self.cold_sends.retain(|send| send.counts_until_ns >= now);
        self.names.iter_mut().for_each(|told| told.names.retain(|taken| taken.until_ns > now));
        self.names.retain(|told| !told.names.is_empty());
    }

    /// Returns the turn of each request of a process.
    pub fn turns(&self, process: ProcessId) -> Vec<(RequestId, KeyTurn)> {
        let mut held_by_others = BTreeSet::new();
        let mut turns = Vec::new();
        for taken in &self.requests {
            if taken.process != process {
                held_by_others.insert(taken.key);
                continue;
            }
            let paused_until_ns = self.pauses.get(&taken.key).copied().unwrap_or(0);
            let turn = match held_by_others.contains(&taken.key) {
                true => KeyTurn::Waiting,
                false => KeyTurn::From(paused_until_ns),
            };
            turns.push((RequestId(taken.request), turn));
        }
        turns
    }

    fn pause(&mut self, key: u64, until_ns: u64) {
        let paused = self.pauses.entry(key).or_default();
        *paused = until_ns.max(*paused);
    }
}
