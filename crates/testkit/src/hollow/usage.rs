//! What a process uses, as the machine counts it.

use std::fs::read_to_string;
use std::path::Path;

/// What one process used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all its threads (ns).
    pub processor_ns: u64,
    /// Memory that it holds now, and held at most (KB).
    pub resident_kb: u64,
    /// See `resident_kb`.
    pub peak_kb: u64,
}

/// What a process used so far; nothing where it is not there.
pub fn of_process(id: u32) -> Usage {
    let status = read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let kilobytes = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    };
    Usage { processor_ns: processor_ns(id), resident_kb: kilobytes("VmRSS:"), peak_kb: kilobytes("VmHWM:") }
}

fn processor_ns(id: u32) -> u64 {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{id}/task")) else { return 0 };
    threads.flatten().filter_map(|thread| scheduled_ns(thread.path().join("schedstat"))).sum()
}

/// The first field of the scheduler's figures: the time on a core.
fn scheduled_ns(path: impl AsRef<Path>) -> Option<u64> {
    read_to_string(path).ok()?.split_whitespace().next()?.parse().ok()
}
