//! What routers say to each other of limits.

use serde::{Deserialize, Serialize};

/// What routers say to each other. Lost, doubled, late and reordered messages do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The sender wants to hold so many of the receiver's units.
    #[serde(rename = "Ask")]
    Request {
        /// The limit ([`Limit::id`](crate::Limit::id)).
        limit: u64,
        /// Its size ([`Limit::version`](crate::Limit::version)).
        version: u32,
        /// Hash of the key.
        key: u64,
        /// Grows with each ask of the sender.
        number: u64,
        /// Units, those that it holds included.
        units: u32,
    },
    /// The sender may hold so many.
    Grant {
        /// The limit.
        limit: u64,
        /// Its size.
        version: u32,
        /// Hash of the key.
        key: u64,
        /// The ask's number.
        number: u64,
        /// Units.
        units: u32,
    },
    /// The sender has started and does not know what it lent before.
    #[serde(rename = "Recall")]
    Query,
    /// All that the sender holds of the receiver's, as an answer to a recall of this life.
    #[serde(rename = "Holds")]
    Report {
        /// The receiver's life that asked.
        life: u64,
        /// Which of the sender's answers this is a part of: only parts of one make a whole.
        round: u64,
        /// Which of so many messages.
        part: u16,
        /// Messages in all.
        parts: u16,
        /// For how long the sender has been up (ns).
        up_ns: u64,
        /// What is held.
        held: Vec<HeldLease>,
    },
}

/// A loan, as its borrower tells it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldLease {
    /// The limit ([`Limit::id`](crate::Limit::id)).
    pub(crate) limit: u64,
    /// Its size as the borrower knows it.
    pub(crate) version: u32,
    /// Hash of the key.
    pub(crate) key: u64,
    /// Units.
    pub(crate) units: u32,
    /// For how long still (ns).
    pub(crate) left_ns: u64,
}
