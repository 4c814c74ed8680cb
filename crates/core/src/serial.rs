//! Changes of the requests that run one at a time by key, for the order that the processes of an
//! upgrade share.

use marljunction_control::interface::RequestId;

/// A change of the unfinished requests of serial classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SerialChange {
    /// A request was accepted. It is submitted to the decision module with its first turn.
    Taken {
        /// The request.
        request: RequestId,
        /// Its order key.
        key: u64,
        /// Clock time by which its last attempt must be over (ns).
        over_by_ns: u64,
    },
    /// A request has its final answer, and all its attempts have ended.
    Finished {
        /// The request.
        request: RequestId,
        /// Its order key.
        key: u64,
        /// Clock time until which the key is paused, as an attempt may still run (ns); 0 without a
        /// pause.
        paused_until_ns: u64,
    },
}
