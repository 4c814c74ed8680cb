//! The lifecycle phase of the process, and what it means for readiness, new connections and idle
//! ones.

/// A lifecycle phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Ready and serving.
    Serving,
    /// Drained by an operator at this time (ns): serves requests, is not ready, and closes idle
    /// client connections, so that their clients connect to another router.
    Drained(u64),
    /// Stopping: ends once all requests are answered. This phase is final. Idle client connections
    /// are closed only if a successor accepts from the same listening socket; else they stay to the
    /// end.
    Stopping {
        /// Start of the stop (ns).
        since: u64,
        /// A successor accepts from the same listening socket.
        handing_over: bool,
    },
}

/// Idle time after which a drained or stopping process closes a client connection. It must cover
/// the time in which a client sends its next request after a response.
pub const MIN_IDLE_NS: u64 = 50_000_000;

impl Phase {
    /// Returns whether the process reports that it is ready.
    pub fn is_ready(self) -> bool {
        self == Phase::Serving
    }

    /// Returns the answer to clients' `isWell`: whether to send new connections here. It stays true
    /// during a stop without a successor, when no other process would accept them.
    pub fn is_well(self) -> bool {
        matches!(self, Phase::Serving | Phase::Stopping { handing_over: false, .. })
    }

    /// Drains the process. Returns whether the phase changed.
    pub fn drain(&mut self, now_ns: u64) -> bool {
        let changed = *self == Phase::Serving;
        if changed {
            *self = Phase::Drained(now_ns);
        }
        changed
    }

    /// Ends the drain. Returns whether the phase changed. Has no effect on a stop.
    pub fn undrain(&mut self) -> bool {
        let changed = matches!(self, Phase::Drained(_));
        if changed {
            *self = Phase::Serving;
        }
        changed
    }

    /// Starts the stop, unless it has started already.
    pub fn stop(&mut self, now_ns: u64, handing_over: bool) {
        if !matches!(self, Phase::Stopping { .. }) {
            *self = Phase::Stopping { since: now_ns, handing_over };
        }
    }

    /// Returns the name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Serving => "serving",
            Phase::Drained(_) => "drained",
            Phase::Stopping { .. } => "stopping",
        }
    }

    /// Returns the start of the stop (ns), if the process is stopping.
    pub fn stopping_since(self) -> Option<u64> {
        match self {
            Phase::Stopping { since, .. } => Some(since),
            _ => None,
        }
    }

    /// Returns whether to close a client connection without open requests that was last active at
    /// `active_ns`.
    pub fn should_close(self, now_ns: u64, active_ns: u64) -> bool {
        let idle_long_enough = now_ns >= active_ns.saturating_add(MIN_IDLE_NS);
        match self {
            Phase::Serving | Phase::Stopping { handing_over: false, .. } => false,
            Phase::Drained(_) | Phase::Stopping { handing_over: true, .. } => idle_long_enough,
        }
    }
}
