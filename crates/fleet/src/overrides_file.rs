//! File that stores operators' overrides of engine health for the next start.
//!
//! The file is replaced atomically. A file that is too large or cannot be read is ignored.

use std::path::{Path, PathBuf};

use log::{info, warn};
use marljunction_health::overrides::Overrides;
use marljunction_health::Node as HealthNode;
use marljunction_settings::atomic_file::write_atomically;

/// Name of the file in its directory.
const FILE_NAME: &str = "marljunction-verdicts";
/// Largest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// Interval at which the file is rewritten without changed overrides, in nanoseconds. It stores the
/// time of the last contact with a peer.
const REWRITE_PERIOD_NS: u64 = 30_000_000_000;
const NS_PER_MS: u64 = 1_000_000;

/// State that the file was written for: the revision of the overrides, and the rewrite period of
/// the last contact with a peer.
type WrittenState = (u64, u64);

/// The file and the state that it was last written for.
pub(crate) struct OverridesFile {
    path: PathBuf,
    written: Option<WrittenState>,
}

impl OverridesFile {
    /// Uses the file in `directory`.
    pub(crate) fn in_directory(directory: &Path) -> OverridesFile {
        OverridesFile { path: directory.join(FILE_NAME), written: None }
    }

    /// Loads the overrides and the time of the last contact with a peer, in nanoseconds. Without a
    /// usable file, returns no overrides and `now`.
    pub(crate) fn load(&self, now: u64) -> (Overrides, u64) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) if text.len() as u64 <= MAX_FILE_BYTES => text,
            _ => return (Overrides::default(), now),
        };
        let head = text.lines().next();
        let heard_ms = head.and_then(|line| line.strip_prefix("heard ")?.parse::<u64>().ok());
        let overrides = Overrides::from_text(&text);
        info!("loaded {} operators' overrides of the fleet from {}", overrides.len(), self.path.display());
        (overrides, heard_ms.map_or(0, |ms| ms.saturating_mul(NS_PER_MS)))
    }

    /// Writes the file if the overrides changed, and once per rewrite period.
    pub(crate) fn store(&mut self, node: &HealthNode) {
        // A period is precise enough for the time of the last contact.
        let state = (node.revision(), node.last_contact_ns() / REWRITE_PERIOD_NS);
        let nothing_yet = self.written.is_none() && node.overrides().is_empty();
        if self.written == Some(state) || nothing_yet {
            return;
        }
        let text = format!("heard {}\n{}", node.last_contact_ns() / NS_PER_MS, node.overrides().to_text());
        if let Err(fault) = write_atomically(&self.path, &text) {
            warn!("could not store operators' overrides in {}: {fault}", self.path.display());
        }
        self.written = Some(state);
    }
}
