//! Bodies that come in chunks. A chunk is passed on as it comes and never held, so its length has no bound here: who reads the
//! body bounds it.

use thiserror::Error;

/// Longest line that tells a chunk's size (bytes).
const MAX_SIZE_LINE: usize = 32;
/// Bytes of the line feed behind a chunk.
const LINE_FEED: usize = 2;

/// Why a body in chunks can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChunkError {
    /// The line that tells a chunk's size is none.
    #[error("a chunk's size can't be read")]
    Size,
    /// A chunk is longer than memory has addresses.
    #[error("a chunk of {0} bytes")]
    TooLong(u64),
}

/// A reader of bodies that come in chunks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chunks {
    /// Bytes of the present chunk that are to come; the line feed behind it counts.
    left: usize,
}

impl Chunks {
    /// Adds the body's bytes in `input` to `out`; returns how much was taken (bytes), and whether the body is whole.
    ///
    /// # Errors
    /// Where what tells a chunk's size can't be read.
    pub fn take(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<(usize, bool), ChunkError> {
        let mut taken = 0;
        while taken < input.len() {
            if self.left > 0 {
                let part = self.left.min(input.len() - taken);
                let body = part.min(self.left.saturating_sub(LINE_FEED));
                out.extend_from_slice(&input[taken..taken + body]);
                (self.left, taken) = (self.left - part, taken + part);
                continue;
            }
            match httparse::parse_chunk_size(&input[taken..]) {
                Ok(httparse::Status::Complete((head, 0))) => {
                    // The empty line behind the last chunk; no trailers are used.
                    return Ok(((taken + head + LINE_FEED).min(input.len()), true));
                }
                Ok(httparse::Status::Complete((head, size))) => {
                    let left = usize::try_from(size).ok().and_then(|size| size.checked_add(LINE_FEED));
                    self.left = left.ok_or(ChunkError::TooLong(size))?;
                    taken += head;
                }
                Ok(httparse::Status::Partial) if input.len() - taken < MAX_SIZE_LINE => break,
                _ => return Err(ChunkError::Size),
            }
        }
        Ok((taken, false))
    }
}
