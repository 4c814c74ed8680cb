//! Bodies that come in chunks. A chunk is passed on as it comes and never held, so its length has no bound here: who reads the
//! body bounds it.

use thiserror::Error;

/// Longest line that tells a chunk's size (bytes).
const MAX_SIZE_LINE_BYTES: usize = 32;
/// Bytes of the line feed behind a chunk.
const CRLF_BYTES: usize = 2;

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
pub struct ChunkedDecoder {
    /// Bytes of the present chunk that are to come; the line feed behind it counts.
    remaining: usize,
}

impl ChunkedDecoder {
    /// Adds the body's bytes in `input` to `out`; returns how much was taken (bytes), and whether the body is whole.
    ///
    /// # Errors
    /// Where what tells a chunk's size can't be read.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<(usize, bool), ChunkError> {
        let mut consumed = 0;
        while consumed < input.len() {
            if self.remaining > 0 {
                let part = self.remaining.min(input.len() - consumed);
                let body = part.min(self.remaining.saturating_sub(CRLF_BYTES));
                out.extend_from_slice(&input[consumed..consumed + body]);
                (self.remaining, consumed) = (self.remaining - part, consumed + part);
                continue;
            }
            match httparse::parse_chunk_size(&input[consumed..]) {
                Ok(httparse::Status::Complete((head, 0))) => {
                    // The empty line behind the last chunk; no trailers are used.
                    return Ok(((consumed + head + CRLF_BYTES).min(input.len()), true));
                }
                Ok(httparse::Status::Complete((head, size))) => {
                    let remaining = usize::try_from(size).ok().and_then(|size| size.checked_add(CRLF_BYTES));
                    self.remaining = remaining.ok_or(ChunkError::TooLong(size))?;
                    consumed += head;
                }
                Ok(httparse::Status::Partial) if input.len() - consumed < MAX_SIZE_LINE_BYTES => break,
                _ => return Err(ChunkError::Size),
            }
        }
        Ok((consumed, false))
    }
}
