//! Keeps the buffered input of all clients within its share of the memory limit.
//!
//! Invariants: a connection with an open request is never closed for it; while input has no room, what
//! clients send beyond a small part stays in their sockets.

use log::warn;
use marljunction_core::end_reason::EndReason;
use marljunction_net::{Owner, MIN_INPUT_BYTES};

use super::Daemon;

impl Daemon {
    /// Makes room for input that was left unread, and has it read in the next iteration.
    pub(super) fn relieve_input(&mut self) {
        while self.net.is_input_full() {
            let Some(conn) = self.largest_incomplete_input() else { break };
            self.close_for_input(conn);
        }
        self.event_loop.unread.extend(self.net.take_throttled());
    }

    /// The connection without open requests whose incomplete message takes the most memory, if that is
    /// more than what is read of each in any case.
    fn largest_incomplete_input(&self) -> Option<u64> {
        let msgpack = self.fronts.msgpack.largest_incomplete(&self.net);
        let postgres = self.fronts.postgres.as_ref().and_then(|front| front.largest_incomplete(&self.net));
        let largest = msgpack.max(postgres);
        largest.filter(|(bytes, _)| *bytes >= MIN_INPUT_BYTES).map(|(_, conn)| conn)
    }

    fn close_for_input(&mut self, conn: u64) {
        if self.router.counters.endings(EndReason::InputLimit) == 0 {
            warn!("the clients' unfinished messages exceed their share of memory, closing the largest");
        }
        self.router.counters.rejected += 1;
        match (self.net.owner(conn), &mut self.fronts.postgres) {
            (Some(Owner::Postgres), Some(front)) => {
                front.close(&mut self.net, &mut self.router, conn, EndReason::InputLimit);
            }
            _ => {
                self.fronts.msgpack.close(&mut self.net, &mut self.router, conn, EndReason::InputLimit);
            }
        }
    }
}
