//! The asks of a subscriber that are open, and when the next is due.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::digest::Digest;

/// Asks whose answers are still taken (count).
const MAX_OPEN: usize = 64;

/// An ask whose answer is still taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Open {
    pub sequence: u64,
    pub relay: SocketAddr,
    pub sent_ns: u64,
    /// What was held then.
    pub have: Option<Digest>,
}

/// Asks, and what comes of them at the relay that is asked now.
#[derive(Clone, Debug, Default)]
pub(crate) struct Asking {
    open: VecDeque<Open>,
    pub sequence: u64,
    pub sent_ns: u64,
    pub due_ns: u64,
    /// Asks in a row without an answer (count).
    pub unanswered: u32,
    /// Asks in a row without an answer of any relay (count).
    pub silent: u32,
    /// Answers in a row that were old (count), and the last ask that one was to.
    pub old: u32,
    pub old_sequence: u64,
}

impl Asking {
    /// None sent yet; the first is due then (ns).
    pub(crate) fn new(due_ns: u64) -> Asking {
        Asking { due_ns, ..Asking::default() }
    }

    /// Notes an ask that is sent.
    pub(crate) fn add(&mut self, open: Open) {
        self.open.push_back(open);
        if self.open.len() > MAX_OPEN {
            self.open.pop_front();
        }
    }

    /// The ask with this number to this relay, where its answer is still taken.
    pub(crate) fn find(&self, relay: SocketAddr, sequence: u64) -> Option<Open> {
        self.open.iter().find(|open| open.sequence == sequence && open.relay == relay).copied()
    }
}
