//! Atomic replacement of files.

use std::fs::File;
use std::io::Write;
use std::path::Path;

/// Writes `PATH.new` and renames it to `PATH`, so that readers never see a partial file.
///
/// # Errors
/// If it can't be written or renamed. The previous file is left in place.
pub fn write_atomically(path: &Path, text: &str) -> std::io::Result<()> {
    write_atomically_with(path, |mut file| file.write_all(text.as_bytes()))
}

/// Like [`write_atomically`], with the content written by a function.
///
/// # Errors
/// If it can't be written or renamed. The previous file is left in place.
pub fn write_atomically_with(
    path: &Path,
    write: impl FnOnce(File) -> std::io::Result<()>,
) -> std::io::Result<()> {
    let mut aside = path.as_os_str().to_owned();
    aside.push(".new");
    File::create(&aside).and_then(write).and_then(|()| std::fs::rename(&aside, path))
}
