//! What routers say to each other of engines, and how much of it fits one datagram.

use serde::{Deserialize, Serialize};

use crate::evidence::Evidence;
use crate::overrides::Override;
use crate::version::Version;

/// Bytes that one message fills about (bytes): it fits a datagram.
pub(crate) const MESSAGE_BYTES: usize = 800;
/// Bytes of a piece of evidence, and of a word beside its name, as they are packed (bytes).
pub(crate) const EVIDENCE_BYTES: usize = 60;
pub(crate) const OVERRIDE_BYTES: usize = 32;

/// A word with the engine that it is about.
pub type NamedOverride = (String, Override);

/// What routers say to each other. Lost, doubled, late and reordered messages do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender has heard or seen of late.
    #[serde(rename = "News")]
    Update {
        /// Words.
        #[serde(rename = "words")]
        overrides: Vec<NamedOverride>,
        /// Evidence.
        evidence: Vec<Evidence>,
    },
    /// Hashes of all that the sender holds, to be compared.
    Digest {
        /// Of words, by bucket.
        #[serde(rename = "words")]
        overrides: Vec<u32>,
        /// Of evidence, by bucket.
        evidence: Vec<u32>,
        /// It is an answer to one of the receiver's.
        #[serde(rename = "answers")]
        is_reply: bool,
    },
    /// The sender has heard this word of the receiver's.
    #[serde(rename = "Heard")]
    Ack(Version),
    /// The sender has started, or was alone for longer than words are remembered, and wants all words.
    #[serde(rename = "AskAll")]
    FullSyncRequest {
        /// Which of its asks.
        #[serde(rename = "round")]
        request_id: u32,
        /// The parts that are missing still; none for the first ones.
        #[serde(rename = "wants")]
        missing_parts: Vec<u16>,
    },
    /// The sender was alone for too long itself, and has no words to hand over.
    #[serde(rename = "Doubts")]
    FullSyncUnavailable,
    /// All words, in parts.
    #[serde(rename = "All")]
    FullSyncPart {
        /// The ask's.
        #[serde(rename = "round")]
        request_id: u32,
        /// Which part.
        part: u16,
        /// Parts in all.
        parts: u16,
        /// Words.
        #[serde(rename = "words")]
        overrides: Vec<NamedOverride>,
    },
}

/// Cuts words into parts that fit a datagram.
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
