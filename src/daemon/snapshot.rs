//! The last list of engines on disk, for a start without the list service.
//!
//! It is written aside and renamed, so that no start finds half of it. What the list service tells replaces it whole.

use std::path::{Path, PathBuf};

use log::{info, warn};
use marljunction_discovery::bound::ListBound;
use marljunction_discovery::cached_snapshot::{self, CachedSnapshot};
use marljunction_discovery::Change;
use marljunction_settings::atomic_file::write_atomically_with;

use super::Daemon;

/// When the list is written, and the file that it is kept in.
pub(super) struct Snapshot {
    pub(super) list: CachedSnapshot,
    bound: ListBound,
    /// None where it is not kept.
    path: Option<PathBuf>,
}

impl Snapshot {
    /// One that is kept in this file, up to a bound.
    pub(super) fn in_file(path: Option<PathBuf>, bound: ListBound) -> Snapshot {
        Snapshot { list: CachedSnapshot::new(bound), bound, path }
    }
}

impl Daemon {
    /// Takes the kept list for the list of engines, where there is one that can be believed: nothing is asked of the list service
    /// behind a number that it gave to another process.
    pub(super) fn read_snapshot(&mut self, max_age_ns: u64) {
        let Some(path) = self.engine_list.snapshot.path.clone() else { return };
        let size = match std::fs::metadata(&path) {
            Ok(metadata) => metadata.len(),
            Err(error) => return info!("no list of engines is kept in {}: {error}", path.display()),
        };
        match self.decode_snapshot(&path, size, max_age_ns) {
            Ok((mut change, age_ns)) => {
                self.retain_cell(&mut change);
                let contact_ns = self.clock.now_ns().saturating_sub(age_ns);
                if let Some(source) = &mut self.engine_list.source {
                    source.set_heard(contact_ns);
                }
                let (count, age_s) = (change.targets.len(), age_ns as f64 / 1e9);
                info!("starts with the {count} engines kept in {}, a list {age_s:.1} s old", path.display());
                self.apply_list_change(change);
            }
            Err(error) => warn!("the list kept in {} is not used: {error}", path.display()),
        }
    }

    /// The list in a file, and its age (ns).
    fn decode_snapshot(
        &self,
        path: &Path,
        size: u64,
        max_age_ns: u64,
    ) -> Result<(Change, u64), SnapshotError> {
        // Guards against a file that is read into memory before it is found too large.
        let bound = &self.engine_list.snapshot.bound;
        let max_bytes = bound.file_bytes as u64;
        if size > max_bytes {
            return Err(SnapshotError::Rejected(cached_snapshot::Refusal::Huge(size, max_bytes)));
        }
        let bytes = std::fs::read(path)?;
        let names = self.config.directory.names();
        cached_snapshot::decode(&bytes, names, self.clock.now_ns(), max_age_ns, bound)
            .map_err(SnapshotError::Rejected)
    }

    /// Writes the list, where that is due.
    pub(super) fn write_snapshot(&mut self, now: u64) {
        let source_age_ns = self.engine_list.source.as_ref().map(|source| source.age_ns(now));
        let subscriber = self.fleet.as_ref().and_then(|fleet| fleet.subscriber());
        let age_ns = source_age_ns.or(subscriber.map(|subscriber| subscriber.age_ns(now)));
        let contact_ns = age_ns.map_or(0, |age_ns| now.saturating_sub(age_ns));
        let roster = self.engine_list.exclusions.bans.listed();
        let Snapshot { list, path, .. } = &mut self.engine_list.snapshot;
        let Some(path) = path.as_ref().filter(|_| list.due(now, roster.len())) else { return };
        let names = self.config.directory.names();
        let written =
            write_atomically_with(path, |file| cached_snapshot::write(file, roster, names, contact_ns));
        list.written(path, written);
    }
}

/// Why a kept list is not used.
#[derive(Debug, thiserror::Error)]
enum SnapshotError {
    /// The file can't be read.
    #[error(transparent)]
    Unreadable(#[from] std::io::Error),
    /// What it holds can't be believed.
    #[error("{0}")]
    Rejected(cached_snapshot::Refusal),
}
