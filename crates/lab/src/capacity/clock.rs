//! Processor time of the calling thread, by the machine's own clock for it: waiting and other threads do not count.

use nix::time::{clock_gettime, ClockId};

/// Processor time that the calling thread has used so far (ns).
pub fn thread_ns() -> u64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0, |at| at.tv_sec() as u64 * 1_000_000_000 + at.tv_nsec() as u64)
}

/// Processor time that a piece of work took (ns), and what it came to.
pub fn timed<T>(work: impl FnOnce() -> T) -> (u64, T) {
    let before = thread_ns();
    let result = work();
    (thread_ns() - before, result)
}
