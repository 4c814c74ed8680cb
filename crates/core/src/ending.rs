//! Every way in which a connection, or what was under way on it, can end, and what each means.

use marljunction_control::interface::Status;

/// How a connection, a call or an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ending {
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
pub enum Meaning {
    /// The outcome of an attempt.
    Outcome(Status),
    /// The client has left.
    Left,
    /// Nothing: no request is touched.
    Nothing,
}

/// What an ending shows of the engine itself, as evidence for all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    /// It served.
    Served,
    /// It gave no sign of life, as far as this shows.
    Silent,
    /// It answered what can't be read.
    Spoilt,
    /// Nothing of it.
    Nothing,
}

/// All endings, for counters.
pub const ENDINGS: [(Ending, &str); 21] = [
    (Ending::Served, "served"),
    (Ending::EngineError, "engine_error"),
    (Ending::Full, "full"),
    (Ending::Over, "over"),
    (Ending::Refused, "refused"),
    (Ending::Unreachable, "unreachable"),
    (Ending::Reset, "reset"),
    (Ending::Unsent, "unsent"),
    (Ending::NoDescriptor, "no_descriptor"),
    (Ending::Paced, "paced"),
    (Ending::Cut, "cut"),
    (Ending::Garbled, "garbled"),
    (Ending::TimedOut, "timed_out"),
    (Ending::GivenUp, "given_up"),
    (Ending::Abandoned, "abandoned"),
    (Ending::Withdrawn, "withdrawn"),
    (Ending::ClientGone, "client_gone"),
    (Ending::Forgotten, "forgotten"),
    (Ending::Idle, "idle"),
    (Ending::Silent, "silent"),
    (Ending::Shutdown, "shutdown"),
];

impl Ending {
    /// The one place where an ending becomes what the module is told.
    pub fn meaning(self) -> Meaning {
        match self {
            Ending::Served => Meaning::Outcome(Status::Done),
            Ending::EngineError | Ending::Garbled => Meaning::Outcome(Status::Error),
            Ending::Full => Meaning::Outcome(Status::Busy),
            Ending::Refused | Ending::Unreachable => Meaning::Outcome(Status::Refused),
            // Guards against a bad link that is taken for a dead process: the module would leave the engine out
            // and take it for cold afterwards.
            Ending::Over | Ending::Reset | Ending::Unsent | Ending::NoDescriptor | Ending::Paced => {
                Meaning::Outcome(Status::Skipped)
            }
            Ending::Cut => Meaning::Outcome(Status::Reset),
            Ending::TimedOut => Meaning::Outcome(Status::TimedOut),
            Ending::GivenUp | Ending::Abandoned | Ending::Withdrawn => Meaning::Outcome(Status::Cancelled),
            Ending::ClientGone | Ending::Forgotten => Meaning::Left,
            Ending::Idle | Ending::Silent | Ending::Shutdown => Meaning::Nothing,
        }
    }

    /// What the end of a client's connection is: it has gone, unless more waited for it than is allowed.
    pub fn of_client(self) -> Ending {
        match self {
            Ending::Garbled => Ending::Garbled,
            _ => Ending::ClientGone,
        }
    }

    /// Whether an attempt that ended so may have run.
    pub fn may_have_run(self) -> bool {
        match self.meaning() {
            Meaning::Outcome(Status::Busy | Status::Refused | Status::Skipped) => false,
            Meaning::Outcome(_) => self != Ending::Withdrawn,
            Meaning::Left | Meaning::Nothing => false,
        }
    }

    /// Whether an attempt that ended so may still be running until its class's time is over: its engine did not say that it ended, and
    /// one that stands still may go on with it later.
    pub fn leaves_doubt(self) -> bool {
        matches!(self, Ending::Cut | Ending::Garbled | Ending::TimedOut | Ending::Abandoned)
    }

    /// The one place where an ending becomes evidence of its engine.
    pub fn sight(self) -> Sight {
        match self {
            Ending::Served => Sight::Served,
            Ending::Refused
            | Ending::Unreachable
            | Ending::Cut
            | Ending::TimedOut
            | Ending::GivenUp
            | Ending::Abandoned
            | Ending::Withdrawn => Sight::Silent,
            Ending::Garbled => Sight::Spoilt,
            // It answered, or was never reached for reasons of this router's own.
            Ending::EngineError
            | Ending::Full
            | Ending::Over
            | Ending::Reset
            | Ending::Unsent
            | Ending::NoDescriptor
            | Ending::Paced
            | Ending::ClientGone
            | Ending::Forgotten
            | Ending::Idle
            | Ending::Silent
            | Ending::Shutdown => Sight::Nothing,
        }
    }
}
