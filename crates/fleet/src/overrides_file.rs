//! The file that operators' overrides of engine health are kept in for the router's next start.
//!
//! It is written aside and renamed, so that no start finds half of it; a file that is too large or can't be read counts as none.

use std::path::{Path, PathBuf};

use log::{info, warn};
use marljunction_settings::atomic_file::write_atomically;
use marljunction_verdicts::overrides::Overrides;
use marljunction_verdicts::Node as HealthNode;

/// Name of the file in its directory.
const FILE_NAME: &str = "marljunction-verdicts";
/// Largest file that is read (bytes).
const MAX_FILE_BYTES: u64 = 4 << 20;
/// How often it is written though no override changed (ns): the age of what was heard last counts.
const REWRITE_PERIOD_NS: u64 = 30_000_000_000;
const NS_PER_MS: u64 = 1_000_000;

/// What makes a file outdated: the overrides' revision, and the period in which a peer was heard last.
type WrittenState = (u64, u64);

/// The file, and what it holds.
pub(crate) struct OverridesFile {
    path: PathBuf,
    written: Option<WrittenState>,
}

impl OverridesFile {
    /// The file in this directory.
    pub(crate) fn in_directory(directory: &Path) -> OverridesFile {
        OverridesFile { path: directory.join(FILE_NAME), written: None }
    }

    /// The overrides that were kept, and when a peer had last been heard then (ns); none and `now` where there is no file.
    pub(crate) fn load(&self, now: u64) -> (Overrides, u64) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) if text.len() as u64 <= MAX_FILE_BYTES => text,
            _ => return (Overrides::default(), now),
        };
        let head = text.lines().next();
        let heard_ms = head.and_then(|line| line.strip_prefix("heard ")?.parse::<u64>().ok());
        let overrides = Overrides::from_text(&text);
        info!("{} operators' words of the fleet were kept in {}", overrides.len(), self.path.display());
        (overrides, heard_ms.map_or(0, |ms| ms.saturating_mul(NS_PER_MS)))
    }

    /// Writes the overrides where they changed, and once a period.
    pub(crate) fn store(&mut self, node: &HealthNode) {
        // Half a minute says no less of how long nobody was heard than a second.
        let state = (node.revision(), node.last_contact_ns() / REWRITE_PERIOD_NS);
        let nothing_yet = self.written.is_none() && node.overrides().is_empty();
        if self.written == Some(state) || nothing_yet {
            return;
        }
        let text = format!("heard {}\n{}", node.last_contact_ns() / NS_PER_MS, node.overrides().to_text());
        if let Err(fault) = write_atomically(&self.path, &text) {
            warn!("operators' words could not be kept in {}: {fault}", self.path.display());
        }
        self.written = Some(state);
    }
}
