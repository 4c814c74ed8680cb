//! Signal handling and graceful shutdown.
//!
//! Invariants: accepted requests are answered before the process exits, as long as there is time;
//! the process exits before it may be killed, whatever its clients do.

use log::info;
use marljunction_handover::SharedState;
use marljunction_net::phase::Phase;
use signal_hook::consts::{SIGHUP, SIGTERM};

use super::Daemon;

/// Time after SIGTERM during which connections are accepted; clients may open them for 400 ms.
const ACCEPT_AFTER_STOP_NS: u64 = 600_000_000;
/// Earliest exit after SIGTERM; clients may send requests for 600 ms.
const MIN_STOP_NS: u64 = 800_000_000;
/// Upper bound on the longest deadline that the shutdown waits for.
const MAX_DEADLINE_NS: u64 = 3_000_000_000;
/// Time after the longest deadline at which open requests get their final answer; the process may
/// be killed 0.3 s later.
const FINAL_ANSWERS_DELAY_NS: u64 = 400_000_000;
/// Time after the longest deadline at which the process exits in any case.
const FORCED_EXIT_DELAY_NS: u64 = 600_000_000;
/// Time between the last answer and the exit, in which clients can read it.
const LINGER_NS: u64 = 100_000_000;

/// Progress of the shutdown.
pub(super) struct StopState {
    pub(super) phase: Phase,
    /// Since when all requests are answered and all answers written, while stopping.
    quiet_since_ns: Option<u64>,
}

impl StopState {
    /// A process that is serving.
    pub(super) fn serving() -> StopState {
        StopState { phase: Phase::Serving, quiet_since_ns: None }
    }
}

impl Daemon {
    /// Handles the signals received.
    pub(super) fn handle_signals(&mut self, now: u64) {
        let signals: Vec<i32> = self.event_loop.signals.pending().collect();
        for signal in signals {
            match signal {
                SIGTERM => self.begin_stop(now),
                SIGHUP => self.reload(now),
                _ => self.log_counters(),
            }
        }
    }

    fn begin_stop(&mut self, now: u64) {
        info!("SIGTERM received, stopping");
        if let Some(fleet) = &mut self.fleet {
            fleet.leave(now);
        }
        self.handover.iter_mut().for_each(SharedState::begin_stop);
        self.stop.phase.stop(now, self.listeners.shared);
        self.fronts.msgpack.set_well(self.stop.phase.is_well());
        self.apply_close_policy(now);
        // The next process accepts on the same socket: guards against connections accepted only to
        // be closed.
        if self.listeners.shared {
            self.listeners.msgpack = None;
        }
    }

    /// Gives open requests their final answer once time has run out, before a possible SIGKILL.
    pub(super) fn end_all(&mut self, now: u64) {
        if !self.must_answer_all(now) || self.router.unanswered() == 0 {
            return;
        }
        let mut commands = Vec::new();
        self.router.end_all(&mut commands, now);
        for command in commands {
            self.execute(now, command);
        }
    }

    /// Advances the shutdown; returns whether all requests are answered, or time has run out.
    pub(super) fn finished(&mut self, now: u64) -> bool {
        let Some(since_ns) = self.stop.phase.stopping_since() else { return false };
        if now >= since_ns + ACCEPT_AFTER_STOP_NS {
            self.close_client_listeners(now);
        }
        let quiet = self.is_quiet(now);
        let awaits_clients = self.listeners.accepts_clients() && !self.must_answer_all(now);
        let done = now >= since_ns + MIN_STOP_NS && !awaits_clients && quiet;
        // Guards against a client that keeps sending, or never reads, and so delays the exit
        // forever.
        done || self.is_past_deadlines(now, FORCED_EXIT_DELAY_NS)
    }

    /// Closes the client listeners once their backlog is empty. Guards against resetting
    /// connections in the backlog, with the requests on them.
    fn close_client_listeners(&mut self, now: u64) {
        if !self.listeners.accepts_clients() {
            return;
        }
        self.accept_clients(now);
        if self.listeners.retry_ns.is_none() {
            self.listeners.close_for_clients();
        }
    }

    /// Returns whether all answers have been written for [`LINGER_NS`]. Guards against lost
    /// answers: an exit with unread input resets the connection, so clients need time to read
    /// first.
    fn is_quiet(&mut self, now: u64) -> bool {
        let answered =
            self.router.unanswered() == 0 && self.net.all_written() && self.event_loop.unread.is_empty();
        if !answered {
            self.stop.quiet_since_ns = None;
        }
        let quiet_since_ns = *self.stop.quiet_since_ns.get_or_insert(now);
        answered && now >= quiet_since_ns + LINGER_NS
    }

    /// Returns whether it is time to give all open requests their final answer.
    fn must_answer_all(&self, now: u64) -> bool {
        self.is_past_deadlines(now, FINAL_ANSWERS_DELAY_NS)
    }

    /// Returns whether the longest deadline, up to [`MAX_DEADLINE_NS`], plus `extra_ns` has passed
    /// since SIGTERM.
    fn is_past_deadlines(&self, now: u64, extra_ns: u64) -> bool {
        let deadlines_ns = self.config.settings.classes.iter().map(|class| class.deadline_ns);
        let longest_ns = deadlines_ns.max().unwrap_or(0).min(MAX_DEADLINE_NS);
        self.stop.phase.stopping_since().is_some_and(|since_ns| now >= since_ns + longest_ns + extra_ns)
    }
}
