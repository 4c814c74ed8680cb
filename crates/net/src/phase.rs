//! The phase of the process: serving, drained by its operators, or stopping; and what each means for readiness,
//! for new connections and for clients' idle ones. Nothing here reads a clock: times come in.

/// Where the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Serves, and says that it is ready.
    Serving,
    /// Told to drain at this time (ns): serves what comes, says that it is not ready, and closes clients'
    /// connections as they fall idle, so that their clients go elsewhere.
    Drained(u64),
    /// Told to stop at this time (ns): takes nothing new and ends once all is answered. Nothing brings it back.
    /// Where a successor takes from the same listening socket, it closes clients' connections as they fall idle,
    /// as a drained process does, so that they go on with the successor; else they stay until the end.
    Stopping {
        /// When it was told (ns).
        since: u64,
        /// A successor takes over the listening socket.
        handing_over: bool,
    },
}

/// Time for which a client's connection with nothing open must have been quiet before a drained or stopping
/// process closes it (ns). Guards against closing one on a call that its client is writing as its answer goes
/// out; the operators' front stops new connections 0.2 s after a no, and clients keep to those that are open.
pub const MIN_IDLE_NS: u64 = 50_000_000;

impl Phase {
    /// Whether the process says that it is ready to serve.
    pub fn is_ready(self) -> bool {
        self == Phase::Serving
    }

    /// Whether the process tells clients that it is well, and so takes new connections: as ready, and also while
    /// it stops alone, when it still takes connections for a while, since no successor would take them.
    pub fn is_well(self) -> bool {
        matches!(self, Phase::Serving | Phase::Stopping { handing_over: false, .. })
    }

    /// Told to drain; true where that is news.
    pub fn drain(&mut self, now_ns: u64) -> bool {
        let changed = *self == Phase::Serving;
        if changed {
            *self = Phase::Drained(now_ns);
        }
        changed
    }

    /// Told that the drain is over; true where that is news. A stop is not undone.
    pub fn undrain(&mut self) -> bool {
        let changed = matches!(self, Phase::Drained(_));
        if changed {
            *self = Phase::Serving;
        }
        changed
    }

    /// Told to stop, with a successor on the same listening socket or not; the first time counts.
    pub fn stop(&mut self, now_ns: u64, handing_over: bool) {
        if !matches!(self, Phase::Stopping { .. }) {
            *self = Phase::Stopping { since: now_ns, handing_over };
        }
    }

    /// Its name, for those who ask.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Serving => "serving",
            Phase::Drained(_) => "drained",
            Phase::Stopping { .. } => "stopping",
        }
    }

    /// Since when the process stops, where it does.
    pub fn stopping_since(self) -> Option<u64> {
        match self {
            Phase::Stopping { since, .. } => Some(since),
            _ => None,
        }
    }

    /// Whether a client's connection that has nothing open and was last busy at `busy_ns` is to be closed now.
    pub fn should_close(self, now_ns: u64, active_ns: u64) -> bool {
        let idle_long_enough = now_ns >= active_ns.saturating_add(MIN_IDLE_NS);
        match self {
            Phase::Serving | Phase::Stopping { handing_over: false, .. } => false,
            Phase::Drained(_) | Phase::Stopping { handing_over: true, .. } => idle_long_enough,
        }
    }
}
