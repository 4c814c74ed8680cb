//! What routers say to each other of engines, and how much of it fits one datagram.

use serde::{Deserialize, Serialize};

use crate::evidence::Evidence;
use crate::stamp::Stamp;
use crate::words::Word;

/// Bytes that one message fills about (bytes): it fits a datagram.
pub(crate) const MESSAGE_BYTES: usize = 800;
/// Bytes of a piece of evidence, and of a word beside its name, as they are packed (bytes).
pub(crate) const EVIDENCE_BYTES: usize = 60;
pub(crate) const WORD_BYTES: usize = 32;

/// A word with the engine that it is about.
pub type Named = (String, Word);

/// What routers say to each other. Lost, doubled, late and reordered messages do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender has heard or seen of late.
    News {
        /// Words.
        words: Vec<Named>,
        /// Evidence.
        evidence: Vec<Evidence>,
    },
    /// Hashes of all that the sender holds, to be compared.
    Digest {
        /// Of words, by bucket.
        words: Vec<u32>,
        /// Of evidence, by bucket.
        evidence: Vec<u32>,
        /// It is an answer to one of the receiver's.
        answers: bool,
    },
    /// The sender has heard this word of the receiver's.
    Heard(Stamp),
    /// The sender has started, or was alone for longer than words are remembered, and wants all words.
    AskAll {
        /// Which of its asks.
        round: u32,
        /// The parts that are missing still; none for the first ones.
        wants: Vec<u16>,
    },
    /// The sender was alone for too long itself, and has no words to hand over.
    Doubts,
    /// All words, in parts.
    All {
        /// The ask's.
        round: u32,
        /// Which part.
        part: u16,
        /// Parts in all.
        parts: u16,
        /// Words.
        words: Vec<Named>,
    },
}

/// Cuts words into parts that fit a datagram.
pub(crate) fn split_words(words: Vec<Named>) -> Vec<Vec<Named>> {
    let (mut all, mut part, mut size) = (Vec::new(), Vec::new(), 0);
    for word in words {
        let bytes = word.0.len() + WORD_BYTES;
        if size + bytes > MESSAGE_BYTES && !part.is_empty() {
            all.push(std::mem::take(&mut part));
            size = 0;
        }
        size += bytes;
        part.push(word);
    }
    all.push(part);
    all
}
