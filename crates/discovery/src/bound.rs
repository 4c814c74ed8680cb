//! How large a list of engines may be: computed from the memory limit of the configuration, no constant of its own.
//!
//! The text of a list is never held, only the engines that it names; so the count of engines bounds memory, and the length of
//! the text bounds how long one that never ends is read.

/// Part of the memory limit that engines may take in all tables of the program together (share).
const ENGINES_SHARE: f64 = 0.9;
/// What one engine takes in all tables together while the next list is read (bytes), as measured.
const ENGINE_BYTES: f64 = 940.0;
/// Longest text of one event (share of the memory limit): 250 bytes an engine at least.
const EVENT_SHARE: f64 = 0.3;
/// Longest text of one of Consul's answers (share of the memory limit): a kilobyte and more is said of each engine.
const RESPONSE_SHARE: f64 = 2.0;
/// Part of the longest event that one entry of a list may take.
const ENTRY_BYTES_DIVISOR: usize = 64;
/// Longest text of one engine in a kept list, and of what stands around all of them (bytes).
const SNAPSHOT_ENTRY_BYTES: usize = 400;
const SNAPSHOT_FRAME_BYTES: usize = 1_000;

/// How large a list of engines may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListBound {
    /// Engines on one list (count).
    pub engines: usize,
    /// Text of one event (bytes).
    pub event_bytes: usize,
    /// Text of one of Consul's answers (bytes).
    pub response_bytes: usize,
    /// Text of one entry of either (bytes).
    pub entry_bytes: usize,
    /// A kept list's file (bytes).
    pub file_bytes: usize,
}

impl ListBound {
    /// Of a process that may use so much memory (MB).
    pub fn of(memory_mb: f64) -> ListBound {
        let memory = memory_mb * 1e6;
        let engines = (memory * ENGINES_SHARE / ENGINE_BYTES) as usize;
        let event_bytes = (memory * EVENT_SHARE) as usize;
        ListBound {
            engines,
            event_bytes,
            response_bytes: (memory * RESPONSE_SHARE) as usize,
            entry_bytes: event_bytes / ENTRY_BYTES_DIVISOR,
            file_bytes: engines.saturating_mul(SNAPSHOT_ENTRY_BYTES).saturating_add(SNAPSHOT_FRAME_BYTES),
        }
    }
}

impl Default for ListBound {
    /// Of a process with 32 MB, the least that a router is given.
    fn default() -> ListBound {
        ListBound::of(32.0)
    }
}
