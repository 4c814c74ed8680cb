//! Every way in which a connection, or what was under way on it, can end, and what each means.

use marljunction_control::interface::Status;

/// How a connection, a call or an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndReason {
    /// The engine gave the whole result.
    Served,
    /// The engine answered that the query failed, or that it does not know it.
    EngineError,
    /// The engine is full: the query never ran.
    Full,
    /// The engine found the request over already: it never ran.
    Over,
    /// The engine refused the connection, or the session on it: nothing ran.
    Refused,
    /// No connection came up in time: nothing ran.
    Unreachable,
    /// The connection was reset as it came up: nothing ran, and the engine may be well.
    Reset,
    /// The connection broke before the call was wholly written: it never ran.
    Unsent,
    /// No descriptor, or no known address, for the call: it was never sent.
    NoDescriptor,
    /// The router's part of the connections that an engine may be sent is used up: nothing was sent.
    Paced,
    /// The connection broke after the call was wholly written, and nobody knows the query any more.
    Cut,
    /// The peer sent what cannot be read, or more than is allowed.
    Garbled,
    /// The attempt's time ran out.
    TimedOut,
    /// The attempt was given up.
    GivenUp,
    /// The attempt was given up, and its engine could not be told.
    Abandoned,
    /// The attempt was given up before its call was wholly written: it never ran.
    Withdrawn,
    /// The client closed its connection, or it broke.
    ClientGone,
    /// The client took back one request, or asked for its cancellation.
    Forgotten,
    /// The connection had nothing to do, or was closed to free a descriptor.
    Idle,
    /// The client never made a call, or sent half of one and no more.
    Silent,
    /// The program is ending.
    Shutdown,
}

/// What an ending is to the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlEvent {
    /// The outcome of an attempt.
    Outcome(Status),
    /// The client has left.
    Left,
    /// Nothing: no request is touched.
    NoEvent,
}

/// What an ending shows of the engine itself, as evidence for all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// It served.
    Served,
    /// It gave no sign of life, as far as this shows.
    NoResponse,
    /// It answered what can't be read.
    InvalidResponse,
    /// Nothing of it.
    Inconclusive,
}

/// All endings, for counters.
pub const END_REASONS: [(EndReason, &str); 21] = [
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
    (EndReason::Shutdown, "shutdown"),
];

impl EndReason {
    /// The one place where an ending becomes what the module is told.
    pub fn control_event(self) -> ControlEvent {
        match self {
            EndReason::Served => ControlEvent::Outcome(Status::Done),
            EndReason::EngineError | EndReason::Garbled => ControlEvent::Outcome(Status::Error),
            EndReason::Full => ControlEvent::Outcome(Status::Busy),
            EndReason::Refused | EndReason::Unreachable => ControlEvent::Outcome(Status::Refused),
            // Guards against a bad link that is taken for a dead process: the module would leave the engine out
            // and take it for cold afterwards.
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
            EndReason::Idle | EndReason::Silent | EndReason::Shutdown => ControlEvent::NoEvent,
        }
    }

    /// What the end of a client's connection is: it has gone, unless more waited for it than is allowed.
    pub fn for_client_connection(self) -> EndReason {
        match self {
            EndReason::Garbled => EndReason::Garbled,
            _ => EndReason::ClientGone,
        }
    }

    /// Whether an attempt that ended so may have run.
    pub fn may_have_run(self) -> bool {
        match self.control_event() {
            ControlEvent::Outcome(Status::Busy | Status::Refused | Status::Skipped) => false,
            ControlEvent::Outcome(_) => self != EndReason::Withdrawn,
            ControlEvent::Left | ControlEvent::NoEvent => false,
        }
    }

    /// Whether an attempt that ended so may still be running until its class's time is over: its engine did not say that it ended, and
    /// one that stands still may go on with it later.
    pub fn may_still_run(self) -> bool {
        matches!(self, EndReason::Cut | EndReason::Garbled | EndReason::TimedOut | EndReason::Abandoned)
    }

    /// The one place where an ending becomes evidence of its engine.
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
            // It answered, or was never reached for reasons of this router's own.
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
            | EndReason::Shutdown => HealthSignal::Inconclusive,
        }
    }
}
