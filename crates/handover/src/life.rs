//! Whether a process is running: it holds a lock on a file of its own until it ends, however it
//! ends.

use std::fs::File;
use std::io::ErrorKind;
use std::path::Path;

use nix::errno::Errno;
use nix::fcntl::{Flock, FlockArg};

use crate::error::HandoverError;

/// Opens a file, created if needed, and locks it. Returns `None` if another process holds the lock.
pub(crate) fn try_lock(path: &Path) -> Result<Option<Flock<File>>, HandoverError> {
    let file = File::options().create(true).truncate(false).write(true).open(path);
    lock(file.map_err(HandoverError::at(path))?, path)
}

/// Whether a process holds the lock on a file; not if there is no such file.
pub(crate) fn is_locked(path: &Path) -> Result<bool, HandoverError> {
    match File::open(path) {
        Ok(file) => Ok(lock(file, path)?.is_none()),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(false),
        Err(error) => Err(HandoverError::at(path)(error)),
    }
}

fn lock(file: File, path: &Path) -> Result<Option<Flock<File>>, HandoverError> {
    match Flock::lock(file, FlockArg::LockExclusiveNonblock) {
        Ok(locked) => Ok(Some(locked)),
        Err((_, Errno::EWOULDBLOCK)) => Ok(None),
        Err((_, error)) => Err(HandoverError::at(path)(error.into())),
    }
}
