//! The shared list in a file that is replaced atomically, under a lock that no process waits for.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use log::{info, warn};
use marljunction_control::interface::{KeyTurn, RequestId, RouterProcesses};
use marljunction_core::serial::SerialChange;
use marljunction_settings::atomic_file::write_atomically;
use nix::fcntl::Flock;

use crate::error::HandoverError;
use crate::life::{is_locked, try_lock};
use crate::machine::Machine;
use crate::table::{ProcessId, Table, TakenRequest, VERSION};

/// Interval between reads while a request waits for another process.
const WAITING_READ_PERIOD_NS: u64 = 5_000_000;
/// Interval between reads otherwise: an ended process is noticed, and its files are removed.
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
    /// Unfinished requests of this process, in the order in which it took them.
    open: Vec<TakenRequest>,
    /// Pauses that this process has told, by key (ns on the machine's clock).
    pauses: BTreeMap<u64, u64>,
    /// Turns last returned.
    told: BTreeMap<RequestId, KeyTurn>,
    /// The list as last read or written.
    table: Table,
    /// Something that this process has told is not in the list yet.
    unwritten: bool,
    next_read_ns: u64,
    /// The last access failed.
    failed: bool,
    /// The running processes, as last logged.
    logged: RouterProcesses,
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
            open: Vec::new(),
            pauses: BTreeMap::new(),
            told: BTreeMap::new(),
            table,
            unwritten: false,
            next_read_ns: 0,
            failed: false,
            logged: RouterProcesses::default(),
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
        if !self.unwritten && now < self.next_read_ns {
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
        let waits = self.told.values().any(|turn| *turn == KeyTurn::Waiting);
        self.next_read_ns = now + if waits { WAITING_READ_PERIOD_NS } else { READ_PERIOD_NS };
        turns
    }

    /// The processes of this router that ran when the list was last read.
    pub fn processes(&self) -> RouterProcesses {
        self.table.processes_beside(self.process)
    }

    fn log_processes(&mut self) {
        let processes = self.processes();
        if std::mem::replace(&mut self.logged, processes) != processes {
            info!("running processes of this router: {}", processes.running);
        }
    }

    fn record(&mut self, change: SerialChange) {
        match change {
            SerialChange::Taken { request, key, over_by_ns } => {
                let (process, request) = (self.process, request.0);
                let over_by_ns = self.machine.machine_ns(over_by_ns);
                self.open.push(TakenRequest { process, request, key, over_by_ns });
            }
            SerialChange::Finished { request, key, paused_until_ns } => {
                self.open.retain(|taken| taken.request != request.0);
                self.told.remove(&request);
                self.pauses.insert(key, self.machine.machine_ns(paused_until_ns));
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
        let (table, ended) = self.revise(now, &self.read()?)?;
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
        self.pauses.retain(|_, until_ns| *until_ns > now);
        table.update(self.process, &self.open, &self.pauses);
        table.remove_expired(now);
        Ok((table, ended))
    }

    fn read(&self) -> Result<Table, HandoverError> {
        let path = &self.paths.table;
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(self.empty_table()),
            Err(error) => return Err(HandoverError::at(path)(error)),
        };
        match serde_json::from_str::<Table>(&text) {
            Ok(table) if table.version == VERSION && table.boot == self.machine.boot => Ok(table),
            // No process of an earlier run of the machine is left.
            Ok(table) if table.version == VERSION => Ok(self.empty_table()),
            Ok(table) => Err(HandoverError::Version { path: path.clone(), found: table.version }),
            Err(error) => {
                warn!("{}: {error}; the list starts anew", path.display());
                Ok(self.empty_table())
            }
        }
    }

    fn empty_table(&self) -> Table {
        Table::new(self.machine.boot.clone())
    }

    fn write(&self, table: &Table) -> Result<(), HandoverError> {
        let path = &self.paths.table;
        let text = serde_json::to_string(table).map_err(std::io::Error::from);
        text.and_then(|text| write_atomically(path, &text)).map_err(HandoverError::at(path))
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
        self.table.update(self.process, &self.open, &self.pauses);
        self.table.remove_expired(now);
    }

    fn new_turns(&mut self) -> Vec<(RequestId, KeyTurn)> {
        let mut turns = self.table.turns(self.process);
        for (_, turn) in &mut turns {
            if let KeyTurn::From(machine_ns) = turn {
                *machine_ns = self.machine.process_ns(*machine_ns);
            }
        }
        turns.retain(|(request, turn)| match self.told.get(request) {
            None => true,
            Some(KeyTurn::Waiting) => *turn != KeyTurn::Waiting,
            Some(KeyTurn::From(_)) => false,
        });
        self.told.extend(turns.iter().copied());
        turns
    }
}
