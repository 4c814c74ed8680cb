//! Replaces a file as a whole.

use std::path::Path;

/// Writes a file aside (`PATH.new`) and renames it, so that no reader sees half of it.
///
/// # Errors
/// Where it can't be written or renamed; what was there before stays then.
pub fn write_atomically(path: &Path, text: &str) -> std::io::Result<()> {
    let mut aside = path.as_os_str().to_owned();
    aside.push(".new");
    std::fs::write(&aside, text).and_then(|()| std::fs::rename(&aside, path))
}
