//! Messages about leases between routers.

use serde::{Deserialize, Serialize};

/// A message between two routers. The protocol tolerates loss, duplication, delay and reordering.
/// The order of the fields and the names in `serde(rename)` are part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The sender wants to hold units of the receiver.
    #[serde(rename = "Ask")]
    Request {
        /// [`Limit::id`](crate::Limit::id).
        limit: u64,
        /// [`Limit::version`](crate::Limit::version).
        version: u32,
        /// Hash of the key.
        key: u64,
        /// Sequence number, increasing with each request of the sender.
        number: u64,
        /// Total units to hold, including those already held.
        units: u32,
    },
    /// The sender leases units to the receiver, in answer to a request.
    Grant {
        /// [`Limit::id`](crate::Limit::id).
        limit: u64,
        /// [`Limit::version`](crate::Limit::version).
        version: u32,
        /// Hash of the key.
        key: u64,
        /// Sequence number of the request.
        number: u64,
        /// Units that the receiver may hold.
        units: u32,
    },
    /// The sender has restarted and asks which of its units the receiver holds.
    #[serde(rename = "Recall")]
    Query,
    /// All units of the receiver that the sender holds, in answer to a query.
    #[serde(rename = "Holds")]
    Report {
        /// Incarnation of the receiver that sent the query.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Sequence number of the report. Only parts of the same report complete it.
        round: u64,
        /// Index of this message among the `parts` of the report.
        part: u16,
        /// Number of messages in the report.
        parts: u16,
        /// How long the sender has been running (ns).
        up_ns: u64,
        /// The leases in this part.
        held: Vec<HeldLease>,
    },
}

/// A lease as reported by its holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldLease {
    /// [`Limit::id`](crate::Limit::id).
    pub(crate) limit: u64,
    /// [`Limit::version`](crate::Limit::version) as the holder knows it.
    pub(crate) version: u32,
    pub(crate) key: u64,
    pub(crate) units: u32,
    /// Remaining time (ns).
    pub(crate) left_ns: u64,
}
