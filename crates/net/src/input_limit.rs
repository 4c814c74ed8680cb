//! Reading within the limits on buffered input: that of one connection, and that of all clients
//! together, above which more than a small part of each client's input stays in its socket.

use std::io::{ErrorKind, Read};

use marljunction_core::end_reason::EndReason;

use crate::{Net, MAX_INPUT_BYTES};

/// Input of one client that is read whatever the others have buffered: more than most requests.
pub const MIN_INPUT_BYTES: usize = 2 << 10;

impl Net {
    /// Reads available input, up to the limits on it.
    pub(crate) fn read_available(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let is_client = conn.owner.is_client();
        while conn.ended.is_none() {
            if conn.input.len() >= MAX_INPUT_BYTES {
                conn.unread = true;
                return;
            }
            let allowed = match is_client && self.client_input_bytes >= self.limits.input {
                true => MIN_INPUT_BYTES.saturating_sub(conn.input.len()),
                false => self.scratch.len(),
            };
            if allowed == 0 {
                conn.unread = true;
                if !std::mem::replace(&mut conn.throttled, true) {
                    self.throttled.push(id);
                }
                return;
            }
            match conn.stream.read(&mut self.scratch[..allowed]) {
                Ok(0) => conn.ended = Some(EndReason::Cut),
                Ok(n) => {
                    self.received_bytes += n as u64;
                    let capacity = conn.input.capacity();
                    conn.input.extend(&self.scratch[..n]);
                    if is_client {
                        self.client_input_bytes += conn.input.capacity() - capacity;
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => conn.ended = Some(EndReason::Cut),
            }
        }
    }

    /// Returns whether reading stopped at a limit, so that the end of the connection may follow in the
    /// socket unseen.
    pub fn is_behind(&self, id: u64) -> bool {
        self.conns.get(&id).is_some_and(|conn| conn.unread)
    }

    /// Returns whether clients' input is left unread because too much is buffered. Room comes as
    /// messages are handled, or when a connection with an incomplete one is closed.
    pub fn is_input_full(&self) -> bool {
        self.client_input_bytes >= self.limits.input && !self.throttled.is_empty()
    }

    /// Returns the clients whose input was left unread, once there is room for it again.
    pub fn take_throttled(&mut self) -> Vec<u64> {
        if self.is_input_full() {
            return Vec::new();
        }
        let throttled = std::mem::take(&mut self.throttled);
        for id in &throttled {
            self.conns.entry(*id).and_modify(|conn| conn.throttled = false);
        }
        throttled
    }
}
