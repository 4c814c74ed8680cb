//! Hashes of all that a router holds, by bucket, and what two routers whose hashes differ hand over to each other.

use crate::bound::HANDED_MOST;
use crate::draws::Draws;
use crate::evidence::{Evidence, Table};
use crate::message::{split_words, Message, Named, EVIDENCE_BYTES, MESSAGE_BYTES};
use crate::mix::mix;
use crate::words::Words;

/// Buckets of a digest (count).
const BUCKETS: usize = 32;

/// Hashes by bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Digest {
    pub(crate) words: Vec<u32>,
    pub(crate) evidence: Vec<u32>,
}

impl Digest {
    /// Of these words, none where they may not be said, and of this evidence.
    pub(crate) fn of(words: Option<&Words>, table: &Table) -> Digest {
        let mut digest = Digest { words: vec![0; BUCKETS], evidence: vec![0; BUCKETS] };
        for (name, word) in words.into_iter().flat_map(Words::iter) {
            let hash = name_hash(name);
            let version = mix(hash ^ mix(word.stamp.ms ^ u64::from(word.stamp.count) << 44));
            let state = mix(u64::from(word.stamp.router) << 1 | u64::from(word.out));
            digest.words[bucket(hash)] ^= (version ^ state) as u32;
        }
        for (engine, witness, held) in table.iter() {
            let of = mix(engine ^ mix(u64::from(witness) ^ held.version.0)) ^ mix(u64::from(held.version.1));
            digest.evidence[bucket(engine)] ^= mix(of) as u32;
        }
        digest
    }

    /// Words in the buckets in which a peer's differ, in messages that fit datagrams. Another part each time, where there is more
    /// than one comparison hands over.
    pub(crate) fn differing_words(
        &self,
        theirs: &Digest,
        words: Option<&Words>,
        draws: &mut Draws,
    ) -> Vec<Message> {
        let differs = |name: &str| {
            let at = bucket(name_hash(name));
            self.words.get(at) != theirs.words.get(at)
        };
        let all = words.into_iter().flat_map(Words::iter).filter(|(name, _)| differs(name));
        let all: Vec<Named> = all.map(|(name, word)| (name.to_owned(), word)).collect();
        let parts = split_words(some_of(&all, draws));
        let parts = parts.into_iter().filter(|part| !part.is_empty());
        parts.map(|words| Message::News { words, evidence: Vec::new() }).collect()
    }

    /// The same for evidence.
    pub(crate) fn differing_evidence(
        &self,
        now: u64,
        theirs: &Digest,
        table: &Table,
        draws: &mut Draws,
    ) -> Vec<Message> {
        let differs = |engine: u64| {
            let at = bucket(engine);
            self.evidence.get(at) != theirs.evidence.get(at)
        };
        let all = table.iter().filter(|(engine, ..)| differs(*engine));
        let all: Vec<(u64, u32)> = all.map(|(engine, witness, _)| (engine, witness)).collect();
        let some = some_of(&all, draws).into_iter();
        let said: Vec<Evidence> =
            some.filter_map(|(engine, witness)| table.say(now, engine, witness)).collect();
        let parts = said.chunks(MESSAGE_BYTES / EVIDENCE_BYTES);
        parts.map(|part| Message::News { words: Vec::new(), evidence: part.to_vec() }).collect()
    }
}

/// As many as one comparison hands over, from a place by chance on.
fn some_of<T: Clone>(all: &[T], draws: &mut Draws) -> Vec<T> {
    let from = draws.below(all.len());
    all.iter().cycle().skip(from).take(all.len().min(HANDED_MOST)).cloned().collect()
}

fn name_hash(name: &str) -> u64 {
    mix(name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)))
}

fn bucket(hash: u64) -> usize {
    (mix(hash) % BUCKETS as u64) as usize
}
