//! Files of the fleet's keys, one a region: other keys in one cut the region off.

use std::path::{Path, PathBuf};

use super::fleet_side::{key_file, REGIONS};
use super::{io, HollowError};
use crate::fleet::FLEET_KEY;

/// Another key than all regions have at first.
const OTHER_KEY: &str = "6f746865722d6b65792d6f662d612d726567696f6e2d746861742069732063ff";

/// The files, in a folder that goes with this value.
#[derive(Debug)]
pub struct KeyFiles(PathBuf);

impl KeyFiles {
    /// The same key for all regions, in a folder named by `name`, which no other of this process has now.
    ///
    /// # Errors
    /// Where the files can't be written.
    pub fn new(name: &str) -> Result<KeyFiles, HollowError> {
        let dir = std::env::temp_dir().join(format!("marljunction-keys-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(io("keys"))?;
        let files = KeyFiles(dir);
        for region in 0..REGIONS {
            files.set_cut(region, false)?;
        }
        Ok(files)
    }

    /// Writes a region's file: another key than the others have, or the same again.
    ///
    /// # Errors
    /// Where it can't be written.
    pub fn set_cut(&self, region: u32, cut: bool) -> Result<(), HollowError> {
        let key = if cut { OTHER_KEY } else { FLEET_KEY };
        std::fs::write(key_file(&self.0, region), key).map_err(io("keys"))
    }

    /// The folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for KeyFiles {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
