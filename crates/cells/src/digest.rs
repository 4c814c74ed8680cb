//! Digest of a part of the list.

use serde::{Deserialize, Serialize};

use crate::engine::{split_address, Engine};

/// Digest of a part: the first 128 bits of a BLAKE3 hash over its engines in order of their ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub u64, pub u64);

impl Digest {
    /// Computes the digest of engines, which must be in order of their ids.
    pub fn of<'a>(engines: impl IntoIterator<Item = &'a Engine>) -> Digest {
        let mut hasher = blake3::Hasher::new();
        let mut text = Vec::new();
        for engine in engines {
            text.clear();
            write(engine, &mut text);
            hasher.update(&text);
        }
        let hash = hasher.finalize();
        let number = |bytes: &[u8]| bytes.iter().fold(0, |all, byte| all << 8 | u64::from(*byte));
        Digest(number(&hash.as_bytes()[..8]), number(&hash.as_bytes()[8..16]))
    }
}

fn write(engine: &Engine, to: &mut Vec<u8>) {
    let (high, low, port) = split_address(engine.address);
    for number in [engine.id, high, low, u64::from(port), engine.weight.to_bits(), engine.started_ms] {
        to.extend_from_slice(&number.to_le_bytes());
    }
    to.push(engine.state.code());
    to.push(u8::from(engine.group.is_some()));
    to.extend_from_slice(&engine.group.unwrap_or(0).to_le_bytes());
    for name in [&engine.zone, &engine.kind] {
        // The length delimits the name; zero stands for no name.
        let length = name.as_ref().map_or(0, |name| name.len() as u64 + 1);
        to.extend_from_slice(&length.to_le_bytes());
        to.extend_from_slice(name.as_deref().unwrap_or_default().as_bytes());
    }
}
