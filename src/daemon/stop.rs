//! Signals, and the way from SIGTERM to the end of the process.
//!
//! Invariants: what was taken is answered before the end, as long as there is time; the process ends before it may be killed,
//! whatever its clients do.

use log::info;
use marljunction_net::phase::Phase;
use signal_hook::consts::{SIGHUP, SIGTERM};

use super::Daemon;

/// Time after SIGTERM for which new connections are taken (ns): they go on coming for 400 ms.
const ACCEPT_AFTER_STOP_NS: u64 = 600_000_000;
/// Time after SIGTERM before which the program does not end (ns): requests come for 600 ms.
const MIN_STOP_NS: u64 = 800_000_000;
/// Longest part of the longest deadline that the end waits for (ns).
const MAX_DEADLINE_NS: u64 = 3_000_000_000;
/// Time behind the longest deadline at which all that is still open gets its final answer (ns): the program may be killed 0.3 s
/// later.
const FINAL_ANSWERS_DELAY_NS: u64 = 400_000_000;
/// Time behind the longest deadline at which the program ends whatever its clients do (ns).
const FORCED_EXIT_DELAY_NS: u64 = 600_000_000;
/// Time between the last answer and the end (ns).
const LINGER_NS: u64 = 100_000_000;

/// Where the process is in its life.
pub(super) struct StopState {
    pub(super) phase: Phase,
    /// Since when all that was taken is answered and written (ns), while stopping.
    quiet_since_ns: Option<u64>,
}

impl StopState {
    /// A process that serves.
    pub(super) fn serving() -> StopState {
        StopState { phase: Phase::Serving, quiet_since_ns: None }
    }
}

impl Daemon {
    /// Does what the signals ask for that have come in.
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
        info!("told to stop");
        if let Some(fleet) = &mut self.fleet {
            fleet.leave(now);
        }
        self.stop.phase.stop(now, self.listeners.shared);
        self.fronts.msgpack.set_well(self.stop.phase.is_well());
        // Guards against connections taken only to be closed: a successor accepts from the same socket.
        if self.listeners.shared {
            self.listeners.msgpack = None;
        }
    }

    /// Guards against requests that SIGKILL finds unanswered: they get an answer while there is time.
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

    /// After SIGTERM: takes nothing new past a while; whether all is answered and written, or there is no more time.
    pub(super) fn finished(&mut self, now: u64) -> bool {
        let Some(since_ns) = self.stop.phase.stopping_since() else { return false };
        if now >= since_ns + ACCEPT_AFTER_STOP_NS {
            self.close_client_listeners(now);
        }
        let quiet = self.is_quiet(now);
        let awaits_clients = self.listeners.accepts_clients() && !self.must_answer_all(now);
        let done = now >= since_ns + MIN_STOP_NS && !awaits_clients && quiet;
        // Guards against a stop that is held up for ever by a client that never stops sending, or never reads.
        done || self.is_past_deadlines(now, FORCED_EXIT_DELAY_NS)
    }

    /// Guards against connections that the machine has accepted and a listener that closes would reset, with the requests on them:
    /// it is closed once nothing waits in it.
    fn close_client_listeners(&mut self, now: u64) {
        if !self.listeners.accepts_clients() {
            return;
        }
        self.accept_clients(now);
        if self.listeners.retry_ns.is_none() {
            self.listeners.close_for_clients();
        }
    }

    /// Whether all has been answered and written for long enough. Guards against an answer that is reset away: an exit with unread
    /// input resets its connection, so the client gets time to read what was just written.
    fn is_quiet(&mut self, now: u64) -> bool {
        let answered =
            self.router.unanswered() == 0 && self.net.all_written() && self.event_loop.unread.is_empty();
        if !answered {
            self.stop.quiet_since_ns = None;
        }
        let quiet_since_ns = *self.stop.quiet_since_ns.get_or_insert(now);
        answered && now >= quiet_since_ns + LINGER_NS
    }

    /// Whether the process has been told to stop for so long that all still open gets its final answer.
    fn must_answer_all(&self, now: u64) -> bool {
        self.is_past_deadlines(now, FINAL_ANSWERS_DELAY_NS)
    }

    /// Whether so long (ns) has passed behind the longest deadline, or the most of it that counts, since the process was told to
    /// stop.
    fn is_past_deadlines(&self, now: u64, extra_ns: u64) -> bool {
        let deadlines_ns = self.config.settings.classes.iter().map(|class| class.deadline_ns);
        let longest_ns = deadlines_ns.max().unwrap_or(0).min(MAX_DEADLINE_NS);
        self.stop.phase.stopping_since().is_some_and(|since_ns| now >= since_ns + longest_ns + extra_ns)
    }
}
