//! The last list of engines, kept for a start without the list service: what is in it, when it is to be written, and what of
//! a file can be believed. Pure; files and clocks are the caller's.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use marljunction_control::interface::*;
use marljunction_settings::{index_of, Names};
use serde::{Deserialize, Serialize};

use super::{Change, Target};

/// The first word of a file, and the version of what follows.
const WORD: &str = "marljunction-list";
const VERSION: u32 = 1;
/// Largest file that is read (bytes), and most engines that one may name (count).
pub const FILE_MOST: u64 = 4 << 20;
const ENGINES_MOST: usize = 10_000;
/// Least time between writes (ns), and time after which a list that has not changed is written again, so that its age is
/// told right.
const WRITE_NS: u64 = 1_000_000_000;
const REWRITE_NS: u64 = 10_000_000_000;

/// Why a file is not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is empty, or not a file of this kind.
    NotAList,
    /// It was written by another version of the format.
    Version(u32),
    /// Its checksum is not that of what it holds: it is torn, or was changed.
    Spoilt,
    /// It holds what can't be read though its checksum is right.
    Unreadable(String),
    /// It is larger than a list may be (bytes, or engines).
    Huge(u64),
    /// It is older than it may be (ns).
    Old(u64),
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::NotAList => write!(f, "it is no kept list"),
            Refusal::Version(found) => {
                write!(f, "it is of version {found} of the format, and this program reads version {VERSION}")
            }
            Refusal::Spoilt => write!(f, "it is torn or was changed: its checksum is wrong"),
            Refusal::Unreadable(why) => write!(f, "it can't be read: {why}"),
            Refusal::Huge(size) => write!(f, "it is too large ({size})"),
            Refusal::Old(age) => {
                write!(f, "it is {} s old, which is more than it may be", age / 1_000_000_000)
            }
        }
    }
}

#[derive(Serialize, Deserialize)]
struct Body {
    /// When the list was last known to be right (Unix ms).
    heard_ms: u64,
    engines: Vec<Entry>,
}

#[derive(Serialize, Deserialize)]
struct Entry {
    id: u64,
    address: SocketAddr,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    zone: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    kind: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    cell: Option<u64>,
    #[serde(default)]
    draining: bool,
    weight: f64,
    #[serde(default)]
    started_ms: u64,
}

/// The list as it is now, and when it is to be written.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    targets: BTreeMap<EngineId, Target>,
    changed: bool,
    written_ns: u64,
}

impl Kept {
    /// Takes news.
    pub fn change(&mut self, change: &Change) {
        if change.kind != MembershipKind::Delta {
            self.targets.clear();
        }
        for target in &change.targets {
            match target.entry.state {
                EngineState::Gone => drop(self.targets.remove(&target.entry.engine)),
                _ => drop(self.targets.insert(target.entry.engine, *target)),
            }
        }
        self.changed = true;
    }

    /// Engines on the list (count).
    pub fn engines(&self) -> usize {
        self.targets.len()
    }

    /// Whether the list is to be written now; what was asked counts as written. Nothing is written of a list that names no
    /// engine: a start with none would be no better for it.
    pub fn due(&mut self, now: u64) -> bool {
        let wait = if self.changed { WRITE_NS } else { REWRITE_NS };
        let due = !self.targets.is_empty() && now >= self.written_ns + wait;
        if due {
            (self.changed, self.written_ns) = (false, now);
        }
        due
    }

    /// The file's text, of a list that was last known to be right at `heard_ns` (Unix ns).
    pub fn encode(&self, names: &Names, heard_ns: u64) -> String {
        let name = |list: &[String], at: Option<usize>| at.and_then(|at| list.get(at).cloned());
        let entry = |target: &Target| Entry {
            id: target.entry.engine.0,
            address: target.address,
            zone: name(&names.zones, target.entry.zone.map(|z| z.0)),
            kind: name(&names.kinds, target.entry.kind.map(|k| k.0)),
            cell: target.entry.cell,
            draining: target.entry.state == EngineState::Draining,
            weight: target.entry.weight,
            started_ms: target.entry.started_ns.unwrap_or(0) / 1_000_000,
        };
        let body =
            Body { heard_ms: heard_ns / 1_000_000, engines: self.targets.values().map(entry).collect() };
        let body = serde_json::to_string(&body).unwrap_or_default();
        format!("{WORD} {VERSION} {}\n{body}\n", blake3::hash(body.as_bytes()).to_hex())
    }
}

/// Reads a file's text: the list, and how old it is at `now` (Unix ns; a file from the future is as new as can be). One
/// older than `most_ns` is refused.
///
/// # Errors
/// Where it can't be believed: nothing of it is used then.
pub fn decode(bytes: &[u8], names: &Names, now: u64, most_ns: u64) -> Result<(Change, u64), Refusal> {
    if bytes.len() as u64 > FILE_MOST {
        return Err(Refusal::Huge(bytes.len() as u64));
    }
    let text = std::str::from_utf8(bytes).map_err(|_| Refusal::NotAList)?;
    let (head, body) = text.split_once('\n').ok_or(Refusal::NotAList)?;
    let words: Vec<&str> = head.split(' ').collect();
    let [WORD, version, sum] = words[..] else { return Err(Refusal::NotAList) };
    // The version comes first: what another one means by its other fields is not known here.
    let version: u32 = version.parse().map_err(|_| Refusal::NotAList)?;
    if version != VERSION {
        return Err(Refusal::Version(version));
    }
    let body = body.strip_suffix('\n').ok_or(Refusal::Spoilt)?;
    if blake3::hash(body.as_bytes()).to_hex().as_str() != sum {
        return Err(Refusal::Spoilt);
    }
    let body: Body = serde_json::from_str(body).map_err(|e| Refusal::Unreadable(e.to_string()))?;
    if body.engines.len() > ENGINES_MOST {
        return Err(Refusal::Huge(body.engines.len() as u64));
    }
    let age = now.saturating_sub(body.heard_ms.saturating_mul(1_000_000));
    if age > most_ns {
        return Err(Refusal::Old(age));
    }
    let target = |e: Entry| Target {
        entry: EngineEntry {
            engine: EngineId(e.id),
            zone: e.zone.and_then(|z| index_of(&names.zones, &z)).map(ZoneId),
            kind: e.kind.and_then(|k| index_of(&names.kinds, &k)).map(KindId),
            cell: e.cell,
            state: if e.draining { EngineState::Draining } else { EngineState::Ready },
            weight: e.weight,
            started_ns: Some(e.started_ms.saturating_mul(1_000_000)).filter(|ns| *ns > 0),
        },
        address: e.address,
    };
    let targets = body.engines.into_iter().map(target).collect();
    Ok((Change { kind: MembershipKind::Full, targets }, age))
}
