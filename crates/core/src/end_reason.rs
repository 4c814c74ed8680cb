//! Reasons for which a connection, call or attempt ends, and what each implies for control and
//! engine health.

use marljunction_control::interface::Status;

/// Why a connection, a call or an attempt ended. Clients receive the names of variants as text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndReason {
    /// The engine returned the complete result.
    Served,
    /// The engine reported that the query failed or is unknown to it.
    EngineError,
    /// The engine was at capacity; the query never ran.
    Full,
    /// The request's deadline had passed when the engine received it; it never ran.
    Over,
    /// The engine refused the connection or the session; nothing ran.
    Refused,
    /// No connection was established in time; nothing ran.
    Unreachable,
    /// The connection was reset while being established; nothing ran, and the engine may be
    /// healthy.
    Reset,
    /// The connection broke before the call was completely written; it never ran.
    Unsent,
    /// No file descriptor or no known address for the call; it was never sent.
    NoDescriptor,
    /// The router's limit on new connections to the engine was reached; nothing was sent.
    Paced,
    /// The connection broke after the call was completely written; the query may have run.
    Cut,
    /// The peer sent malformed or too much data.
    Garbled,
    /// The attempt timed out.
    TimedOut,
    /// The attempt was cancelled.
    GivenUp,
    /// The attempt was cancelled, but its engine could not be notified.
    Abandoned,
    /// The attempt was cancelled before its call was completely written; it never ran.
    Withdrawn,
    /// The client's connection was closed or lost.
    ClientGone,
    /// The client withdrew or cancelled one request.
    Forgotten,
    /// The connection was idle, or was closed to free a descriptor.
    Idle,
    /// The client sent no complete call in time.
    Silent,
    /// The client's message was incomplete while all clients together had too much input buffered.
    InputLimit,
    /// The process is shutting down.
    Shutdown,
}

/// How an end reason is reported to the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlEvent {
    /// The outcome of an attempt.
    Outcome(Status),
    /// The client disconnected or withdrew.
    Left,
    /// Not reported: no request is affected.
    NoEvent,
}

/// What an end reason shows about the engine's health, as evidence shared between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The engine returned a result.
    Served,
    /// The engine showed no sign of life.
    NoResponse,
    /// The engine's response could not be parsed.
    InvalidResponse,
    /// No conclusion about the engine.
    Inconclusive,
}

/// All end reasons with their counter names.
pub const END_REASONS: [(EndReason, &str); 22] = [
    (EndReason::Served, "served"),
    (EndReason::EngineError, "engine_error"),
    (EndReason::Full, "full"),
    (EndReason::Over, "over"),
    (EndReason::Refused, "refused"),
    (EndReason::Unreachable, "unreachable"),
    (EndReason::Reset, "reset"),
    (EndReason::Unsent, "unsent"),
    (EndReason::NoDescriptor, "no_descriptor"),
    (EndReason::Paced, "paced"),
    (EndReason::Cut, "cut"),
    (EndReason::Garbled, "garbled"),
    (EndReason::TimedOut, "timed_out"),
    (EndReason::GivenUp, "given_up"),
    (EndReason::Abandoned, "abandoned"),
    (EndReason::Withdrawn, "withdrawn"),
    (EndReason::ClientGone, "client_gone"),
    (EndReason::Forgotten, "forgotten"),
    (EndReason::Idle, "idle"),
    (EndReason::Silent, "silent"),
    (EndReason::InputLimit, "input_limit"),
    (EndReason::Shutdown, "shutdown"),
];

impl EndReason {
    /// Maps the end reason to its report to the decision module.
    pub fn control_event(self) -> ControlEvent {
        match self {
            EndReason::Served => ControlEvent::Outcome(Status::Done),
            EndReason::EngineError | EndReason::Garbled => ControlEvent::Outcome(Status::Error),
            EndReason::Full => ControlEvent::Outcome(Status::Busy),
            EndReason::Refused | EndReason::Unreachable => ControlEvent::Outcome(Status::Refused),
            // Not `Refused`: a bad link is not a dead process. The module would exclude the engine
            // and then treat it as cold.
            EndReason::Over
            | EndReason::Reset
            | EndReason::Unsent
            | EndReason::NoDescriptor
            | EndReason::Paced => ControlEvent::Outcome(Status::Skipped),
            EndReason::Cut => ControlEvent::Outcome(Status::Reset),
            EndReason::TimedOut => ControlEvent::Outcome(Status::TimedOut),
            EndReason::GivenUp | EndReason::Abandoned | EndReason::Withdrawn => {
                ControlEvent::Outcome(Status::Cancelled)
            }
            EndReason::ClientGone | EndReason::Forgotten => ControlEvent::Left,
            EndReason::Idle | EndReason::Silent | EndReason::InputLimit | EndReason::Shutdown => {
                ControlEvent::NoEvent
            }
        }
    }

    /// Maps the reason to the one counted for a client's connection.
    pub fn for_client_connection(self) -> EndReason {
        match self {
            EndReason::Garbled => EndReason::Garbled,
            _ => EndReason::ClientGone,
        }
    }

    /// Whether an attempt that ended for this reason may have run.
    pub fn may_have_run(self) -> bool {
        match self.control_event() {
            ControlEvent::Outcome(Status::Busy | Status::Refused | Status::Skipped) => false,
            ControlEvent::Outcome(_) => self != EndReason::Withdrawn,
            ControlEvent::Left | ControlEvent::NoEvent => false,
        }
    }

    /// Whether an attempt that ended for this reason may still be running, until its class's
    /// deadline: its engine did not confirm the end, and a stalled engine may resume it later.
    pub fn may_still_run(self) -> bool {
        matches!(self, EndReason::Cut | EndReason::Garbled | EndReason::TimedOut | EndReason::Abandoned)
    }

    /// Maps the end reason to evidence of the engine's health.
    pub fn health_signal(self) -> HealthSignal {
        match self {
            EndReason::Served => HealthSignal::Served,
            EndReason::Refused
            | EndReason::Unreachable
            | EndReason::Cut
            | EndReason::TimedOut
            | EndReason::GivenUp
            | EndReason::Abandoned
            | EndReason::Withdrawn => HealthSignal::NoResponse,
            EndReason::Garbled => HealthSignal::InvalidResponse,
            // The engine answered, or the cause is not the engine.
            EndReason::EngineError
            | EndReason::Full
            | EndReason::Over
            | EndReason::Reset
            | EndReason::Unsent
            | EndReason::NoDescriptor
            | EndReason::Paced
            | EndReason::ClientGone
            | EndReason::Forgotten
            | EndReason::Idle
            | EndReason::Silent
            | EndReason::InputLimit
            | EndReason::Shutdown => HealthSignal::Inconclusive,
        }
    }
}
