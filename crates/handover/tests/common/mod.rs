//! A directory that several processes share, and short forms of changes.
#![allow(dead_code)]

use std::fs::File;
use std::path::PathBuf;

use marljunction_control::interface::RequestId;
use marljunction_core::serial::SerialChange;
use marljunction_handover::{Machine, ProcessId, SharedState, TakenRequest};
use nix::fcntl::{Flock, FlockArg};

pub const MS: u64 = 1_000_000;
pub const T0: u64 = 1_700_000_000_000 * MS;
/// Time by which the attempts of all requests are over.
pub const OVER_BY_NS: u64 = T0 + 60_000 * MS;

pub struct Directory(PathBuf);

impl Directory {
    pub fn new(name: &str) -> Directory {
        let name = format!("marljunction-handover-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Directory(path)
    }

    /// The view of the process with this number; it ends when the value is dropped.
    pub fn open(&self, number: u32) -> SharedState {
        self.open_at(number, Machine::default())
    }

    pub fn open_at(&self, number: u32, machine: Machine) -> SharedState {
        let (address, started_ns) = ("127.0.0.1:4100".parse().unwrap(), process(number).started_ns);
        SharedState::in_directory(&self.0, address, number, machine.epoch_ns + started_ns, machine)
    }

    pub fn table(&self) -> PathBuf {
        self.0.join("marljunction-handover-127.0.0.1_4100")
    }

    /// Holds the lock of the list.
    pub fn lock(&self) -> Flock<File> {
        let file = File::create(self.0.join("marljunction-handover-127.0.0.1_4100.lock")).unwrap();
        Flock::lock(file, FlockArg::LockExclusiveNonblock).unwrap()
    }

    pub fn files(&self) -> usize {
        std::fs::read_dir(&self.0).unwrap().count()
    }

    pub fn remove(&self) {
        std::fs::remove_dir_all(&self.0).unwrap();
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn process(number: u32) -> ProcessId {
    ProcessId { pid: number, started_ns: T0 + u64::from(number) }
}

pub fn taken(request: u64, key: u64) -> SerialChange {
    SerialChange::Taken { request: RequestId(request), key, over_by_ns: OVER_BY_NS }
}

pub fn finished(request: u64, key: u64, paused_until_ns: u64) -> SerialChange {
    SerialChange::Finished { request: RequestId(request), key, paused_until_ns }
}

pub fn entry(process: ProcessId, request: u64, key: u64) -> TakenRequest {
    TakenRequest { process, request, key, over_by_ns: OVER_BY_NS }
}
