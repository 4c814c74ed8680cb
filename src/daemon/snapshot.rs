//! Snapshot of the engine list on disk, for a start without the list service.
//!
//! The file is replaced atomically. A list from the list service replaces the loaded snapshot.

use std::path::{Path, PathBuf};

use log::{info, warn};
use marljunction_discovery::bound::ListBound;
use marljunction_discovery::cached_snapshot::{self, CachedSnapshot};
use marljunction_discovery::Change;
use marljunction_settings::atomic_file::write_atomically_with;

use super::Daemon;

/// Schedule and file of the snapshot.
pub(super) struct Snapshot {
    pub(super) list: CachedSnapshot,
    bound: ListBound,
    /// `None` if no snapshot is stored.
    path: Option<PathBuf>,
}

impl Snapshot {
    /// A snapshot in the file `path`, limited in size by `bound`.
    pub(super) fn in_file(path: Option<PathBuf>, bound: ListBound) -> Snapshot {
        Snapshot { list: CachedSnapshot::new(bound), bound, path }
    }
}

impl Daemon {
    /// Loads the snapshot as the engine list if it is valid. The list service is not asked to
    /// resume from it, as its event index was given to another process.
    pub(super) fn read_snapshot(&mut self, max_age_ns: u64) {
        let Some(path) = self.engine_list.snapshot.path.clone() else { return };
        let size = match std::fs::metadata(&path) {
            Ok(metadata) => metadata.len(),
            Err(error) => return info!("no engine list snapshot at {}: {error}", path.display()),
        };
        match self.decode_snapshot(&path, size, max_age_ns) {
            Ok((mut change, age_ns)) => {
                self.retain_cell(&mut change);
                let contact_ns = self.clock.now_ns().saturating_sub(age_ns);
                if let Some(source) = &mut self.engine_list.source {
                    source.set_confirmed(contact_ns);
                }
                let (count, age_s) = (change.targets.len(), age_ns as f64 / 1e9);
                info!("starting with {count} engines from the snapshot {}, {age_s:.1} s old", path.display());
                self.apply_list_change(change);
            }
            Err(error) => warn!("engine list snapshot {} is not used: {error}", path.display()),
        }
    }

    /// Returns the list in a file, and its age in nanoseconds.
    fn decode_snapshot(
        &self,
        path: &Path,
        size: u64,
        max_age_ns: u64,
    ) -> Result<(Change, u64), SnapshotError> {
        // Checked first: guards against reading a file that is too large into memory.
        let bound = &self.engine_list.snapshot.bound;
        let max_bytes = bound.file_bytes as u64;
        if size > max_bytes {
            return Err(SnapshotError::Rejected(cached_snapshot::DecodeError::TooLarge(size, max_bytes)));
        }
        let bytes = std::fs::read(path)?;
        let names = self.config.directory.names();
        cached_snapshot::decode(&bytes, names, self.clock.now_ns(), max_age_ns, bound)
            .map_err(SnapshotError::Rejected)
    }

    /// Writes the snapshot if that is due.
    pub(super) fn write_snapshot(&mut self, now: u64) {
        let source_age_ns = self.engine_list.source.as_ref().map(|source| source.age_ns(now));
        let subscriber = self.fleet.as_ref().and_then(|fleet| fleet.subscriber());
        let age_ns = source_age_ns.or(subscriber.map(|subscriber| subscriber.age_ns(now)));
        let contact_ns = age_ns.map_or(0, |age_ns| now.saturating_sub(age_ns));
        let roster = self.engine_list.exclusions.excluded_engines.listed();
        let Snapshot { list, path, .. } = &mut self.engine_list.snapshot;
        let Some(path) = path.as_ref().filter(|_| list.due(now, roster.len())) else { return };
        let names = self.config.directory.names();
        let written =
            write_atomically_with(path, |file| cached_snapshot::write(file, roster, names, contact_ns));
        list.written(path, written);
    }
}

/// Why a snapshot is not used.
#[derive(Debug, thiserror::Error)]
enum SnapshotError {
    /// The file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] std::io::Error),
    /// The content is not valid.
    #[error("{0}")]
    Rejected(cached_snapshot::DecodeError),
}
