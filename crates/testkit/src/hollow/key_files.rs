//! Key files of the fleet, one per region: another key partitions the region from the fleet.

use std::path::{Path, PathBuf};

use super::fleet_member::{key_file, REGIONS};
use super::{io, HollowError};
use crate::fleet::FLEET_KEY;

/// Key of a partitioned region.
const PARTITION_KEY: &str = "6f746865722d6b65792d6f662d612d726567696f6e2d746861742069732063ff";

/// The key files, in a directory that is removed on drop.
#[derive(Debug)]
pub struct KeyFiles(PathBuf);

impl KeyFiles {
    /// Writes the same key for all regions. `name` must be unique within the process.
    ///
    /// # Errors
    /// If the files can't be written.
    pub fn new(name: &str) -> Result<KeyFiles, HollowError> {
        let dir = std::env::temp_dir().join(format!("marljunction-keys-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(io("keys"))?;
        let files = KeyFiles(dir);
        for region in 0..REGIONS {
            files.set_partitioned(region, false)?;
        }
        Ok(files)
    }

    /// Writes the key file of a region, with a different key if it is to be partitioned.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_partitioned(&self, region: u32, partitioned: bool) -> Result<(), HollowError> {
        let key = if partitioned { PARTITION_KEY } else { FLEET_KEY };
        std::fs::write(key_file(&self.0, region), key).map_err(io("keys"))
    }

    /// Path of the directory.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for KeyFiles {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
