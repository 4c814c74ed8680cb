//! Processor time of the calling thread, from the thread's CPU clock.

use nix::time::{clock_gettime, ClockId};

/// Processor time of the calling thread so far (ns); 0 if the clock is unavailable.
pub fn thread_ns() -> u64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0, |at| at.tv_sec() as u64 * 1_000_000_000 + at.tv_nsec() as u64)
}

/// Runs work; returns its processor time (ns) and its result.
pub fn timed<T>(work: impl FnOnce() -> T) -> (u64, T) {
    let before = thread_ns();
    let result = work();
    (thread_ns() - before, result)
}
