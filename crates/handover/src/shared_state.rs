//! The shared list in a file that is replaced atomically, under a lock that no process waits for.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use log::{info, warn};
use marljunction_control::interface::{ColdSend, EngineId, KeyTurn, RequestId};
use marljunction_core::repeat_guard::UsedName;
use marljunction_core::serial::SerialChange;
use marljunction_settings::atomic_file::write_atomically;
use nix::fcntl::Flock;

use crate::error::HandoverError;
use crate::life::{is_locked, try_lock};
use crate::machine::Machine;
use crate::table::{ProcessId, SentToCold, Table, TakenName, TakenRequest, Told, VERSION};

/// Interval between checks for processes that ended and times that passed, beside another process.
const SHARED_CHECK_PERIOD_NS: u64 = 5_000_000;
/// Interval between reads while no other process runs: a new one is noticed.
const READ_PERIOD_NS: u64 = 200_000_000;

/// Paths of the files of one router, which all processes of an upgrade use.
struct Paths {
    table: PathBuf,
    /// Locked while the list is read and replaced.
    lock: PathBuf,
}

impl Paths {
    fn life_of(&self, process: ProcessId) -> PathBuf {
        let mut path = self.table.clone().into_os_string();
        path.push(format!(".{process}"));
        path.into()
    }
}

/// One process's view of the shared list.
pub struct SharedState {
    process: ProcessId,
    machine: Machine,
    paths: Paths,
    /// Held until the process ends; `None` until it first uses the list.
    life: Option<Flock<File>>,
    told: Told,
    /// Turns last returned.
    turns: BTreeMap<RequestId, KeyTurn>,
    /// Work of other processes on cold engines, as last returned.
    cold_sends_elsewhere: Vec<SentToCold>,
    /// Names of other processes' requests that must not run again, as last returned.
    names_elsewhere: Vec<TakenName>,
    /// The file as last read, with its list.
    last_read: Option<(String, Table)>,
    /// The list as last read or written.
    table: Table,
    /// Something that this process has told is not in the list yet.
    unwritten: bool,
    next_read_ns: u64,
    /// The last access failed.
    failed: bool,
    /// Number of running processes, as last logged.
    running: usize,
}

impl SharedState {
    /// Shares the list in `directory` with all processes that accept clients at `address`. `now` is
    /// the start of this process, whose system id is `pid`.
    pub fn in_directory(
        directory: &Path,
        address: SocketAddr,
        pid: u32,
        now: u64,
        machine: Machine,
    ) -> SharedState {
        let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '.';
        let address: String =
            address.to_string().chars().map(|c| if is_plain(c) { c } else { '_' }).collect();
        let name = format!("marljunction-handover-{address}");
        let table = Table::new(machine.boot.clone());
        let paths = Paths { table: directory.join(&name), lock: directory.join(format!("{name}.lock")) };
        SharedState {
            process: ProcessId { pid, started_ns: machine.machine_ns(now) },
            machine,
            paths,
            life: None,
            told: Told::default(),
            turns: BTreeMap::new(),
            cold_sends_elsewhere: Vec::new(),
            names_elsewhere: Vec::new(),
            last_read: None,
            table,
            unwritten: false,
            next_read_ns: 0,
            failed: false,
            running: 1,
        }
    }

    /// Tells the other processes of changes, and returns the turns that are new.
    ///
    /// A request gets its first turn once it is in the list, and another one if it had to wait. If
    /// the list is being changed by another process, both happen in a later call. If the list cannot
    /// be accessed, turns follow from what is known of the other processes, which is logged.
    pub fn exchange(&mut self, now: u64, changes: Vec<SerialChange>) -> Vec<(RequestId, KeyTurn)> {
        self.unwritten |= !changes.is_empty();
        changes.into_iter().for_each(|change| self.record(change));
        let is_due = self.unwritten || now >= self.next_read_ns || self.is_shared() && self.has_changed();
        if !is_due {
            return Vec::new();
        }
        let machine_now = self.machine.machine_ns(now);
        match self.synchronize(machine_now) {
            Ok(false) => return Vec::new(),
            Ok(true) => self.failed = false,
            Err(error) => self.continue_without(machine_now, &error),
        }
        self.unwritten = false;
        self.log_processes();
        let turns = self.new_turns();
        self.next_read_ns = now + if self.is_shared() { SHARED_CHECK_PERIOD_NS } else { READ_PERIOD_NS };
        turns
    }

    /// Whether another process of this router was running when the list was last read.
    pub fn is_shared(&self) -> bool {
        self.running > 1
    }

    /// Whether this process has the reserve of its router's budgets.
    pub fn has_reserve(&self) -> bool {
        self.table.has_reserve(self.process)
    }

    /// Tells the other processes at the next exchange what this one has sent to cold engines.
    pub fn tell_cold_sends(&mut self, sends: &[ColdSend]) {
        let (process, machine) = (self.process, &self.machine);
        let entries = sends.iter().map(|send| SentToCold {
            process,
            engine: send.engine.0,
            need_ns: send.need_ns,
            lane: send.lane,
            counts_until_ns: machine.machine_ns(send.counts_until_ns),
        });
        self.told.cold_sends = entries.collect();
        self.unwritten = true;
    }

    /// Returns the work of other processes on cold engines, if it has changed since the last call.
    pub fn new_cold_sends_elsewhere(&mut self) -> Option<Vec<ColdSend>> {
        let sends = self.table.cold_sends_beside(self.process);
        if sends == self.cold_sends_elsewhere {
            return None;
        }
        self.cold_sends_elsewhere = sends;
        let entries = self.cold_sends_elsewhere.iter().map(|send| ColdSend {
            engine: EngineId(send.engine),
            need_ns: send.need_ns,
            lane: send.lane,
            counts_until_ns: self.machine.process_ns(send.counts_until_ns),
        });
        Some(entries.collect())
    }

    /// Tells the other processes at the next exchange which requests of this one must not run again.
    pub fn tell_names(&mut self, names: Vec<UsedName>) {
        let machine = &self.machine;
        let taken =
            |used: UsedName| TakenName { name: used.name, until_ns: machine.machine_ns(used.until_ns) };
        self.told.names = names.into_iter().map(taken).collect();
        self.unwritten = true;
    }

    /// Returns the names of other processes' requests that must not run again, if they have changed
    /// since the last call.
    pub fn new_names_elsewhere(&mut self) -> Option<Vec<UsedName>> {
        // Compared before they are copied: this runs in each iteration of the event loop.
        if self.table.names_beside(self.process).eq(&self.names_elsewhere) {
            return None;
        }
        self.names_elsewhere = self.table.names_beside(self.process).cloned().collect();
        let machine = &self.machine;
        let used = |taken: &TakenName| UsedName {
            name: taken.name.clone(),
            until_ns: machine.process_ns(taken.until_ns),
        };
        Some(self.names_elsewhere.iter().map(used).collect())
    }

    /// Tells the other processes at the next exchange that this one is stopping.
    pub fn begin_stop(&mut self) {
        self.told.is_stopping = true;
        self.unwritten = true;
    }

    fn log_processes(&mut self) {
        let running = self.table.processes().count();
        if std::mem::replace(&mut self.running, running) != running {
            info!("running processes of this router: {running}");
        }
    }

    fn record(&mut self, change: SerialChange) {
        match change {
            SerialChange::Taken { request, key, over_by_ns } => {
                let (process, request) = (self.process, request.0);
                let over_by_ns = self.machine.machine_ns(over_by_ns);
                self.told.open.push(TakenRequest { process, request, key, over_by_ns });
            }
            SerialChange::Finished { request, key, paused_until_ns } => {
                self.told.open.retain(|taken| taken.request != request.0);
                self.turns.remove(&request);
                self.told.pauses.insert(key, self.machine.machine_ns(paused_until_ns));
            }
        }
    }

    /// Reads the list and replaces it if it changes. Returns false if another process holds the
    /// lock.
    fn synchronize(&mut self, now: u64) -> Result<bool, HandoverError> {
        let read = self.read()?;
        let (table, _) = self.revise(now, &read)?;
        // Reads without the lock: guards against a process that is suspended while it holds the
        // lock though it has nothing to tell.
        if table == read && self.life.is_some() {
            self.table = table;
            return Ok(true);
        }
        let Some(_lock) = try_lock(&self.paths.lock)? else {
            self.table = table;
            return Ok(false);
        };
        if self.life.is_none() {
            self.life = try_lock(&self.paths.life_of(self.process))?;
        }
        let read = self.read()?;
        let (table, ended) = self.revise(now, &read)?;
        self.write(&table)?;
        for process in ended {
            info!("process {process} of this router has ended");
            // A file that stays behind is empty and does no harm.
            let _ = std::fs::remove_file(self.paths.life_of(process));
        }
        self.table = table;
        Ok(true)
    }

    /// Returns the list with what this process tells, without what is over, and the processes that
    /// ended.
    fn revise(&mut self, now: u64, read: &Table) -> Result<(Table, Vec<ProcessId>), HandoverError> {
        let mut table = read.clone();
        let ended = self.ended_processes(&table)?;
        table.remove_processes(now, &ended);
        self.told.pauses.retain(|_, until_ns| *until_ns > now);
        self.told.cold_sends.retain(|send| send.counts_until_ns >= now);
        self.told.names.retain(|taken| taken.until_ns > now);
        table.update(self.process, &self.told);
        table.remove_expired(now);
        Ok((table, ended))
    }

    fn read(&mut self) -> Result<Table, HandoverError> {
        let path = &self.paths.table;
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(self.empty_table()),
            Err(error) => return Err(HandoverError::at(path)(error)),
        };
        if let Some((_, table)) = self.last_read.as_ref().filter(|(last, _)| *last == text) {
            return Ok(table.clone());
        }
        match serde_json::from_str::<Table>(&text) {
            Ok(table) if table.version == VERSION && table.boot == self.machine.boot => {
                self.last_read = Some((text, table.clone()));
                Ok(table)
            }
            // No process of an earlier run of the machine is left.
            Ok(table) if table.version == VERSION => Ok(self.empty_table()),
            Ok(table) => Err(HandoverError::Version { path: path.clone(), found: table.version }),
            Err(error) => {
                warn!("{}: {error}; the list starts anew", path.display());
                Ok(self.empty_table())
            }
        }
    }

    /// Whether another process has changed the list since it was last read.
    fn has_changed(&self) -> bool {
        let text = std::fs::read_to_string(&self.paths.table).unwrap_or_default();
        self.last_read.as_ref().is_none_or(|(last, _)| *last != text)
    }

    fn empty_table(&self) -> Table {
        Table::new(self.machine.boot.clone())
    }

    fn write(&mut self, table: &Table) -> Result<(), HandoverError> {
        let path = &self.paths.table;
        let text = serde_json::to_string(table).map_err(std::io::Error::from);
        let written = text.and_then(|text| write_atomically(path, &text).map(|()| text));
        self.last_read = Some((written.map_err(HandoverError::at(path))?, table.clone()));
        Ok(())
    }

    fn ended_processes(&self, table: &Table) -> Result<Vec<ProcessId>, HandoverError> {
        let mut ended = Vec::new();
        for process in table.processes().filter(|process| *process != self.process) {
            if !is_locked(&self.paths.life_of(process))? {
                ended.push(process);
            }
        }
        Ok(ended)
    }

    /// Guards against a full disk that stops serial requests of a router with a single process.
    fn continue_without(&mut self, now: u64, error: &HandoverError) {
        if !std::mem::replace(&mut self.failed, true) {
            warn!("the order of serial requests is not shared: {error}");
        }
        self.table.update(self.process, &self.told);
        self.table.remove_expired(now);
    }

    fn new_turns(&mut self) -> Vec<(RequestId, KeyTurn)> {
        let mut turns = self.table.turns(self.process);
        for (_, turn) in &mut turns {
            if let KeyTurn::From(machine_ns) = turn {
                *machine_ns = self.machine.process_ns(*machine_ns);
            }
        }
        turns.retain(|(request, turn)| match self.turns.get(request) {
            None => true,
            Some(KeyTurn::Waiting) => *turn != KeyTurn::Waiting,
            Some(KeyTurn::From(_)) => false,
        });
        self.turns.extend(turns.iter().copied());
        turns
    }
}
