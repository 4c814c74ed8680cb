//! Resource usage of a process, from `/proc`.

use std::fs::read_to_string;
use std::path::Path;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all threads (ns).
    pub processor_ns: u64,
    /// Resident memory now (KB).
    pub resident_kb: u64,
    /// Peak resident memory (KB).
    pub peak_kb: u64,
}

/// Resource usage of a process so far; zero if it does not exist.
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

/// The first field of `schedstat`: time spent on a core (ns).
fn scheduled_ns(path: impl AsRef<Path>) -> Option<u64> {
    read_to_string(path).ok()?.split_whitespace().next()?.parse().ok()
}
