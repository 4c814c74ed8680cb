//! Buffered input of a connection.
//!
//! Invariants: consuming a message moves no bytes; the capacity grows by little more than what arrives,
//! and an empty buffer keeps at most [`MAX_IDLE_BYTES`].

/// The capacity grows by at least this much.
const GROWTH_BYTES: usize = 4 << 10;
/// Maximum capacity of an empty buffer.
const MAX_IDLE_BYTES: usize = 512;

/// Input that has arrived and is not yet consumed.
#[derive(Debug, Default)]
pub(crate) struct InputBuffer {
    bytes: Vec<u8>,
    /// Bytes at the start that are consumed.
    consumed: usize,
}

impl InputBuffer {
    /// The bytes that are not yet consumed.
    pub(crate) fn unconsumed(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Number of bytes that are not yet consumed.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Memory of the buffer (bytes).
    pub(crate) fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Adds bytes that have arrived.
    pub(crate) fn extend(&mut self, arrived: &[u8]) {
        self.bytes.drain(..std::mem::take(&mut self.consumed));
        let needed = self.bytes.len() + arrived.len();
        if needed > self.bytes.capacity() {
            self.bytes.reserve_exact(arrived.len().next_multiple_of(GROWTH_BYTES));
        }
        self.bytes.extend_from_slice(arrived);
    }

    /// Removes bytes from the start; all, if there are fewer.
    pub(crate) fn consume(&mut self, bytes: usize) {
        self.consumed = self.consumed.saturating_add(bytes).min(self.bytes.len());
        if self.consumed == self.bytes.len() {
            self.bytes.clear();
            self.bytes.shrink_to(MAX_IDLE_BYTES);
            self.consumed = 0;
        }
    }
}
