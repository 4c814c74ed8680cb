//! Messages that routers exchange about engine health, and their sizes.

use serde::{Deserialize, Serialize};

use crate::evidence::Evidence;
use crate::overrides::Override;
use crate::version::Version;

/// Target size of one message in bytes; it fits a datagram.
pub(crate) const MESSAGE_BYTES: usize = 800;
/// Encoded size of a piece of evidence, and of an override without the engine's name, in bytes.
pub(crate) const EVIDENCE_BYTES: usize = 60;
pub(crate) const OVERRIDE_BYTES: usize = 32;

/// An override with the name of its engine.
pub type NamedOverride = (String, Override);

/// Messages between routers. They may be lost, duplicated, delayed or reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Recent changes.
    #[serde(rename = "News")]
    Update {
        /// Changed overrides.
        #[serde(rename = "words")]
        overrides: Vec<NamedOverride>,
        /// Changed evidence.
        evidence: Vec<Evidence>,
    },
    /// Hashes of the sender's whole state, which the receiver compares with its own.
    Digest {
        /// Hashes of overrides, by bucket.
        #[serde(rename = "words")]
        overrides: Vec<u32>,
        /// Hashes of evidence, by bucket.
        evidence: Vec<u32>,
        /// Whether this replies to a digest of the receiver.
        #[serde(rename = "answers")]
        is_reply: bool,
    },
    /// Acknowledges an override that the receiver issued.
    #[serde(rename = "Heard")]
    Ack(Version),
    /// Requests all overrides. Sent after a start, and after isolation for longer than the override
    /// memory.
    #[serde(rename = "AskAll")]
    FullSyncRequest {
        /// Number of the request.
        #[serde(rename = "round")]
        request_id: u32,
        /// Parts that are still missing; empty in the first request.
        #[serde(rename = "wants")]
        missing_parts: Vec<u16>,
    },
    /// The sender has no confirmed overrides to send.
    #[serde(rename = "Doubts")]
    FullSyncUnavailable,
    /// One part of all overrides.
    #[serde(rename = "All")]
    FullSyncPart {
        /// Number of the request.
        #[serde(rename = "round")]
        request_id: u32,
        /// Index of this part.
        part: u16,
        /// Number of parts.
        parts: u16,
        /// Overrides of this part.
        #[serde(rename = "words")]
        overrides: Vec<NamedOverride>,
    },
}

/// Splits overrides into parts that fit a datagram each.
pub(crate) fn split_overrides(overrides: Vec<NamedOverride>) -> Vec<Vec<NamedOverride>> {
    let (mut all, mut part, mut size) = (Vec::new(), Vec::new(), 0);
    for entry in overrides {
        let bytes = entry.0.len() + OVERRIDE_BYTES;
        if size + bytes > MESSAGE_BYTES && !part.is_empty() {
            all.push(std::mem::take(&mut part));
            size = 0;
        }
        size += bytes;
        part.push(entry);
    }
    all.push(part);
    all
}
