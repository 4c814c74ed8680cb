//! The clock that all processes of a machine share, and the run of the machine that it counts from.

use nix::time::{clock_gettime, ClockId};

/// Changes with each boot of the machine (Linux).
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// Relates a process's clock to the machine's monotonic clock, which a step of the system clock
/// between the starts of two processes does not change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    /// The process's clock at the start of the machine's (ns).
    pub epoch_ns: u64,
    /// Identifies this run of the machine; empty if unknown.
    pub boot: String,
}

impl Machine {
    /// Reads the machine's clock and boot id. `now_ns` is the time on the process's clock.
    pub fn at(now_ns: u64) -> Machine {
        // Without such a clock, times are those of the process.
        let monotonic = clock_gettime(ClockId::CLOCK_MONOTONIC).ok();
        let monotonic_ns =
            monotonic.map_or(0, |time| time.tv_sec() as u64 * 1_000_000_000 + time.tv_nsec() as u64);
        let boot = std::fs::read_to_string(BOOT_ID_FILE).unwrap_or_default();
        Machine { epoch_ns: now_ns.saturating_sub(monotonic_ns), boot: boot.trim().to_owned() }
    }

    /// Converts a time of the process's clock to the machine's; 0 stays 0.
    pub(crate) fn machine_ns(&self, process_ns: u64) -> u64 {
        process_ns.saturating_sub(self.epoch_ns)
    }

    /// Converts a time of the machine's clock to the process's; 0 stays 0.
    pub(crate) fn process_ns(&self, machine_ns: u64) -> u64 {
        if machine_ns == 0 {
            return 0;
        }
        machine_ns.saturating_add(self.epoch_ns)
    }
}
