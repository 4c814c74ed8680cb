//! Incremental decoder for the chunked transfer coding.
//!
//! Decoded bytes are passed on as they arrive; the caller limits the size of the body.

use thiserror::Error;

/// Longest chunk-size line, including extensions.
const MAX_SIZE_LINE_BYTES: usize = 32;
/// Length of the CRLF that ends each chunk.
const CRLF_BYTES: usize = 2;

/// Why a chunked body cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ChunkError {
    /// The chunk-size line is malformed or too long.
    #[error("invalid chunk size")]
    Size,
    /// The size of a chunk, in bytes, does not fit into `usize`.
    #[error("chunk of {0} bytes is too large")]
    TooLong(u64),
}

/// Decoder of one chunked body.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChunkedDecoder {
    /// Bytes left of the current chunk, including its CRLF.
    remaining: usize,
}

impl ChunkedDecoder {
    /// Decodes `input` and appends the body to `out`. Returns the number of input bytes consumed,
    /// and whether the body is complete.
    ///
    /// # Errors
    /// If a chunk size is malformed or too large.
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
                    // Skips the empty line after the last chunk; trailers are not supported.
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
