//! Bodies that come in chunks.

/// Largest chunk of a body that comes in chunks (bytes).
const CHUNK_MOST: u64 = 256 << 10;

/// A reader of bodies that come in chunks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chunks {
    /// Bytes of the present chunk that are to come; the line feed behind it counts.
    left: usize,
}

impl Chunks {
    /// Adds the body's bytes in `input` to `out`; returns how much was taken, and whether the body is whole.
    pub fn take(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<(usize, bool), String> {
        let mut taken = 0;
        while taken < input.len() {
            if self.left > 0 {
                let part = self.left.min(input.len() - taken);
                let body = part.min(self.left.saturating_sub(2));
                out.extend_from_slice(&input[taken..taken + body]);
                (self.left, taken) = (self.left - part, taken + part);
                continue;
            }
            match httparse::parse_chunk_size(&input[taken..]) {
                Ok(httparse::Status::Complete((head, 0))) => {
                    // The empty line behind the last chunk; no trailers are used.
                    return Ok(((taken + head + 2).min(input.len()), true));
                }
                Ok(httparse::Status::Complete((head, size))) if size <= CHUNK_MOST => {
                    (taken, self.left) = (taken + head, size as usize + 2);
                }
                Ok(httparse::Status::Partial) if input.len() - taken < 32 => break,
                _ => return Err("bad chunk".into()),
            }
        }
        Ok((taken, false))
    }
}
