//! Errors of the shared state.

use std::path::PathBuf;

use thiserror::Error;

/// Why the list could not be shared.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// A file could not be opened, locked, read, or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The list was written by a build with another format.
    #[error("{path}: format {found} is not supported")]
    Version {
        /// The file.
        path: PathBuf,
        /// The format found.
        found: u32,
    },
}

impl HandoverError {
    /// Adds the path to an I/O error.
    pub(crate) fn at(path: &std::path::Path) -> impl FnOnce(std::io::Error) -> HandoverError + '_ {
        |source| HandoverError::File { path: path.to_owned(), source }
    }
}
