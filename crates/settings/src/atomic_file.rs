//! Replaces a file as a whole.

use std::fs::File;
use std::io::Write;
use std::path::Path;

/// Writes a file aside (`PATH.new`) and renames it, so that no reader sees half of it.
///
/// # Errors
/// Where it can't be written or renamed; what was there before stays then.
pub fn write_atomically(path: &Path, text: &str) -> std::io::Result<()> {
    write_atomically_with(path, |mut file| file.write_all(text.as_bytes()))
}

/// The same, for a text that is written piece by piece and never held.
///
/// # Errors
/// Where it can't be written or renamed; what was there before stays then.
pub fn write_atomically_with(
    path: &Path,
    write: impl FnOnce(File) -> std::io::Result<()>,
) -> std::io::Result<()> {
    let mut aside = path.as_os_str().to_owned();
    aside.push(".new");
    File::create(&aside).and_then(write).and_then(|()| std::fs::rename(&aside, path))
}
