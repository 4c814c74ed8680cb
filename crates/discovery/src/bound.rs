//! Size limits for engine lists, computed from the configured memory limit.
//!
//! The text of a list is never buffered, only the engines parsed from it. So the number of engines
//! bounds the memory, and the length of the text bounds how much of an endless one is read.

/// Share of the memory limit for engines, in all tables of the program together.
const ENGINES_SHARE: f64 = 0.9;
/// Memory of one engine in all tables together while the next list is read.
const ENGINE_BYTES: f64 = 940.0;
/// Longest text of one event, as a share of the memory limit: at least 250 bytes per engine.
const EVENT_SHARE: f64 = 0.3;
/// Longest text of one Consul response, as a share of the memory limit: more than a kilobyte per
/// engine.
const RESPONSE_SHARE: f64 = 2.0;
/// One list entry may take this fraction of the longest event.
const ENTRY_BYTES_DIVISOR: usize = 64;
/// Longest text of one engine in a cached snapshot, and of the text around the engines.
const SNAPSHOT_ENTRY_BYTES: usize = 400;
const SNAPSHOT_FRAME_BYTES: usize = 1_000;

/// Size limits for engine lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListBound {
    /// Engines per list.
    pub engines: usize,
    /// Text of one event (bytes).
    pub event_bytes: usize,
    /// Text of one Consul response (bytes).
    pub response_bytes: usize,
    /// Text of one list entry (bytes).
    pub entry_bytes: usize,
    /// File of a cached snapshot (bytes).
    pub file_bytes: usize,
}

impl ListBound {
    /// Computes the limits for a process with this memory limit (MB).
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
    /// The limits for 32 MB, the smallest memory limit of a router.
    fn default() -> ListBound {
        ListBound::of(32.0)
    }
}
