//! Engines that operators excluded on this router, shared with the other process of an upgrade
//! through a file that is replaced atomically.

use std::path::{Path, PathBuf};

use log::{info, warn};
use marljunction_discovery::excluded_engines::{self, ExcludedEngines};
use marljunction_settings::atomic_file::write_atomically;

use super::Daemon;

/// Name of the file in `$TMPDIR`.
const FILE_NAME: &str = "marljunction-bans";
/// Interval between reads of the file.
const READ_PERIOD_NS: u64 = 200_000_000;

/// The excluded engines, and the file that they are stored in.
pub(super) struct Exclusions {
    pub(super) excluded_engines: ExcludedEngines,
    /// Path and the text last read or written; `None` if they are not stored.
    file: Option<(PathBuf, String)>,
    last_read_ns: u64,
    /// Engines excluded fleet-wide, as last applied.
    pub(super) fleet_excluded: Vec<String>,
    /// Revision of the fleet's overrides that was last applied.
    pub(super) applied_revision: u64,
}

impl Exclusions {
    /// No exclusions yet; they are stored in `directory`.
    pub(super) fn in_directory(directory: Option<&Path>) -> Exclusions {
        Exclusions {
            excluded_engines: ExcludedEngines::new(),
            file: directory.map(|directory| (directory.join(FILE_NAME), String::new())),
            last_read_ns: 0,
            fleet_excluded: Vec::new(),
            applied_revision: 0,
        }
    }

    /// Writes the exclusions for the other process of an upgrade.
    pub(super) fn write(&mut self) {
        let Some((path, written)) = &mut self.file else { return };
        let text = self.excluded_engines.to_text();
        match write_atomically(path, &text) {
            Ok(()) => *written = text,
            Err(error) => warn!("could not write the excluded engines to {}: {error}", path.display()),
        }
    }
}

impl Daemon {
    /// Reads the file again if that is due.
    pub(super) fn poll_exclusions(&mut self, now: u64) {
        if now >= self.engine_list.exclusions.last_read_ns + READ_PERIOD_NS {
            self.read_exclusions(now);
        }
    }

    /// Applies the file if the other process of an upgrade changed it.
    pub(super) fn read_exclusions(&mut self, now: u64) {
        let exclusions = &mut self.engine_list.exclusions;
        exclusions.last_read_ns = now;
        let Some((path, seen)) = &mut exclusions.file else { return };
        let Ok(text) = std::fs::read_to_string(&*path) else { return };
        if text == *seen {
            return;
        }
        let changes = exclusions.excluded_engines.replace_all(excluded_engines::parse_names(&text), now);
        let names: Vec<&str> = exclusions.excluded_engines.names().collect();
        info!("excluded engines read from {}: {}", path.display(), names.join(" "));
        *seen = text;
        for change in changes {
            self.notify(change);
        }
    }
}
