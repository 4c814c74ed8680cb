//! Digests of a router's state for anti-entropy: hashes by bucket, and the entries of buckets that
//! differ between two routers.

use crate::bound::MAX_ITEMS_PER_DIGEST;
use crate::evidence::{Evidence, EvidenceTable};
use crate::message::{split_overrides, Message, NamedOverride, EVIDENCE_BYTES, MESSAGE_BYTES};
use crate::mix::mix_hash;
use crate::overrides::Overrides;
use crate::rng::Rng;

const BUCKETS: usize = 32;

/// Hashes by bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Digest {
    pub(crate) overrides: Vec<u32>,
    pub(crate) evidence: Vec<u32>,
}

impl Digest {
    /// Computes the digest of the overrides, if given, and of the evidence.
    pub(crate) fn of(overrides: Option<&Overrides>, table: &EvidenceTable) -> Digest {
        let mut digest = Digest { overrides: vec![0; BUCKETS], evidence: vec![0; BUCKETS] };
        for (name, entry) in overrides.into_iter().flat_map(Overrides::iter) {
            let hash = name_hash(name);
            let version = mix_hash(hash ^ mix_hash(entry.version.ms ^ u64::from(entry.version.count) << 44));
            let state = mix_hash(u64::from(entry.version.router) << 1 | u64::from(entry.excluded));
            digest.overrides[bucket(hash)] ^= (version ^ state) as u32;
        }
        for (engine, observer, stored) in table.iter() {
            let hash = mix_hash(engine ^ mix_hash(u64::from(observer) ^ stored.version.0))
                ^ mix_hash(u64::from(stored.version.1));
            digest.evidence[bucket(engine)] ^= mix_hash(hash) as u32;
        }
        digest
    }

    /// Returns messages with overrides from the buckets that differ from the peer's digest. At most
    /// [`MAX_ITEMS_PER_DIGEST`] are sent, from a random offset so that repeated exchanges cover
    /// all.
    pub(crate) fn differing_overrides(
        &self,
        theirs: &Digest,
        overrides: Option<&Overrides>,
        rng: &mut Rng,
    ) -> Vec<Message> {
        let differs = |name: &str| {
            let at = bucket(name_hash(name));
            self.overrides.get(at) != theirs.overrides.get(at)
        };
        let all = overrides.into_iter().flat_map(Overrides::iter).filter(|(name, _)| differs(name));
        let all: Vec<NamedOverride> = all.map(|(name, entry)| (name.to_owned(), entry)).collect();
        let parts = split_overrides(sample(&all, rng));
        let parts = parts.into_iter().filter(|part| !part.is_empty());
        parts.map(|overrides| Message::Update { overrides, evidence: Vec::new() }).collect()
    }

    /// Returns messages with evidence from the buckets that differ, limited in the same way.
    pub(crate) fn differing_evidence(
        &self,
        now: u64,
        theirs: &Digest,
        table: &EvidenceTable,
        rng: &mut Rng,
    ) -> Vec<Message> {
        let differs = |engine: u64| {
            let at = bucket(engine);
            self.evidence.get(at) != theirs.evidence.get(at)
        };
        let all = table.iter().filter(|(engine, ..)| differs(*engine));
        let all: Vec<(u64, u32)> = all.map(|(engine, observer, _)| (engine, observer)).collect();
        let sampled = sample(&all, rng).into_iter();
        let evidence: Vec<Evidence> =
            sampled.filter_map(|(engine, observer)| table.export(now, engine, observer)).collect();
        let parts = evidence.chunks(MESSAGE_BYTES / EVIDENCE_BYTES);
        parts.map(|part| Message::Update { overrides: Vec::new(), evidence: part.to_vec() }).collect()
    }
}

/// Selects up to [`MAX_ITEMS_PER_DIGEST`] items from a random offset.
fn sample<T: Clone>(all: &[T], rng: &mut Rng) -> Vec<T> {
    let from = rng.below(all.len());
    all.iter().cycle().skip(from).take(all.len().min(MAX_ITEMS_PER_DIGEST)).cloned().collect()
}

fn name_hash(name: &str) -> u64 {
    mix_hash(
        name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)),
    )
}

fn bucket(hash: u64) -> usize {
    (mix_hash(hash) % BUCKETS as u64) as usize
}
