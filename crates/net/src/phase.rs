//! The lifecycle phase of the process, and what it means for readiness, new connections and idle
//! ones.

/// A lifecycle phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Ready and serving.
    Serving,
    /// Drained by an operator at this time (ns): serves requests, is not ready, and closes client
    /// connections by [`ClosePolicy`], so that their clients connect to another router.
    Drained(u64),
    /// Stopping: ends once all requests are answered. This phase is final. Client connections are
    /// closed before the end only if a successor accepts from the same listening socket.
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
/// Time after which a drained process no longer waits for a connection to become idle. Clients that
/// are told to go elsewhere before it would still be sent here.
pub const LAST_REQUESTS_AFTER_NS: u64 = 1_000_000_000;
/// Time after which a drained process closes each connection without an open request.
pub const FORCED_CLOSE_AFTER_NS: u64 = 3_000_000_000;

/// Which client connections a process closes. None is ever closed with an open request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ClosePolicy {
    /// None.
    #[default]
    Keep,
    /// Those that are idle for [`MIN_IDLE_NS`].
    WhenIdle,
    /// Those whose requests are all answered, however short their clients pause. A connection gets
    /// at most one more request accepted, and only if it has none open; others are refused.
    WhenAnswered,
    /// As `WhenAnswered`, also in the middle of a message or of a result in parts.
    Forced,
}

impl ClosePolicy {
    /// The policy of a process that wants its clients to go elsewhere since `since_ns`.
    fn draining(since_ns: u64, now_ns: u64) -> ClosePolicy {
        if now_ns < since_ns.saturating_add(LAST_REQUESTS_AFTER_NS) {
            ClosePolicy::WhenIdle
        } else if now_ns < since_ns.saturating_add(FORCED_CLOSE_AFTER_NS) {
            ClosePolicy::WhenAnswered
        } else {
            ClosePolicy::Forced
        }
    }

    /// Returns whether a connection without open requests that was last active at `active_ns` is
    /// closed as idle.
    pub fn closes_idle(self, now_ns: u64, active_ns: u64) -> bool {
        self != ClosePolicy::Keep && now_ns >= active_ns.saturating_add(MIN_IDLE_NS)
    }

    /// Returns whether a connection is closed as soon as its requests are answered.
    pub fn closes_answered(self) -> bool {
        matches!(self, ClosePolicy::WhenAnswered | ClosePolicy::Forced)
    }

    /// Returns whether a connection is closed in the middle of a message.
    pub fn is_forced(self) -> bool {
        self == ClosePolicy::Forced
    }
}

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

    /// Returns which client connections are closed.
    pub fn close_policy(self, now_ns: u64) -> ClosePolicy {
        match self {
            Phase::Serving | Phase::Stopping { handing_over: false, .. } => ClosePolicy::Keep,
            Phase::Drained(since) | Phase::Stopping { since, handing_over: true } => {
                ClosePolicy::draining(since, now_ns)
            }
        }
    }
}
