//! The last list of engines, kept for a start without the list service: what is in it, when it is to be written, and what of
//! a file can be believed. Pure; files and clocks are the caller's.

use std::io::{self, BufWriter, Seek, SeekFrom, Write};
use std::net::SocketAddr;
use std::path::Path;

use log::warn;
use marljunction_control::interface::*;
use marljunction_settings::{index_of, Names};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Change, Target};
use crate::bound::ListBound;
use crate::listed_engines::ListedEngines;
use crate::split::{SplitError, Splitter};
use crate::update::{ListError, Text};

/// The first word of a file, and the version of what follows.
const MAGIC: &str = "marljunction-list";
const VERSION: u32 = 1;
/// Where a file's engines are in its text.
const ENGINES: &[&str] = &["engines"];
/// Digits of a checksum.
const CHECKSUM_DIGITS: usize = 64;
/// Least time between writes (ns), and time after which a list that has not changed is written again, so that its age is
/// told right.
const MIN_WRITE_INTERVAL_NS: u64 = 1_000_000_000;
const MAX_WRITE_INTERVAL_NS: u64 = 10_000_000_000;

/// Why a file is not used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// It is empty, or not a file of this kind.
    #[error("it is no kept list")]
    NotASnapshot,
    /// It was written by another version of the format.
    #[error("it is of version {0} of the format, and this program reads version {VERSION}")]
    Version(u32),
    /// Its checksum is not that of what it holds: it is torn, or was changed.
    #[error("it is torn or was changed: its checksum is wrong")]
    ChecksumMismatch,
    /// It holds what can't be read though its checksum is right.
    #[error("it can't be read: {0}")]
    Unreadable(ListError),
    /// It is larger than a list may be under the memory limit (bytes).
    #[error("its {0} bytes are more than the {1} that the memory limit allows")]
    TooLarge(u64, u64),
    /// It names more engines than a list may under the memory limit (count).
    #[error("it names over {0} engines, which is all that the memory limit allows")]
    TooManyEngines(usize),
    /// It is older than it may be (ns).
    #[error("it is {} s old, which is more than it may be", .0 / 1_000_000_000)]
    TooOld(u64),
}

#[derive(Deserialize)]
struct Body<'a> {
    /// When the list was last known to be right (Unix ms).
    #[serde(rename = "heard_ms")]
    confirmed_ms: u64,
    #[serde(borrow)]
    engines: Vec<Entry<'a>>,
}

#[derive(Deserialize)]
struct Entry<'a> {
    id: u64,
    address: SocketAddr,
    #[serde(default, borrow)]
    zone: Option<Text<'a>>,
    #[serde(default, borrow)]
    kind: Option<Text<'a>>,
    #[serde(default)]
    cell: Option<u64>,
    #[serde(default)]
    draining: bool,
    weight: f64,
    #[serde(default)]
    started_ms: u64,
}

#[derive(Serialize)]
struct EncodedEntry<'a> {
    id: u64,
    address: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    zone: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    kind: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    cell: Option<u64>,
    draining: bool,
    weight: f64,
    started_ms: u64,
}

impl Entry<'_> {
    fn target(&self, names: &Names) -> Target {
        let entry = EngineEntry {
            engine: EngineId(self.id),
            zone: self.zone.as_ref().and_then(|z| index_of(&names.zones, z)).map(ZoneId),
            kind: self.kind.as_ref().and_then(|k| index_of(&names.kinds, k)).map(KindId),
            cell: self.cell,
            state: if self.draining { EngineState::Draining } else { EngineState::Ready },
            weight: self.weight,
            started_ns: Some(self.started_ms.saturating_mul(1_000_000)).filter(|ns| *ns > 0),
        };
        Target { entry, address: self.address }
    }
}

impl<'a> EncodedEntry<'a> {
    fn of(target: &Target, names: &'a Names) -> EncodedEntry<'a> {
        let name = |list: &'a [String], at: Option<usize>| at.and_then(|at| list.get(at)).map(String::as_str);
        EncodedEntry {
            id: target.entry.engine.0,
            address: target.address,
            zone: name(&names.zones, target.entry.zone.map(|z| z.0)),
            kind: name(&names.kinds, target.entry.kind.map(|k| k.0)),
            cell: target.entry.cell,
            draining: target.entry.state == EngineState::Draining,
            weight: target.entry.weight,
            started_ms: target.entry.started_ns.unwrap_or(0) / 1_000_000,
        }
    }
}

/// When the list is to be written.
#[derive(Clone, Debug, Default)]
pub struct CachedSnapshot {
    bound: ListBound,
    changed: bool,
    written_ns: u64,
    /// It was said that the list is too large to be kept, and that it could not be written.
    logged: [bool; 2],
}

impl CachedSnapshot {
    /// A list that is kept up to a bound.
    pub fn new(bound: ListBound) -> CachedSnapshot {
        CachedSnapshot { bound, ..CachedSnapshot::default() }
    }

    /// The list has changed.
    pub fn changed(&mut self) {
        self.changed = true;
    }

    /// Whether the list of so many engines is to be written now; what was asked counts as written. Nothing is written of a list that names no
    /// engine: a start with none would be no better for it. Nor of one over the bound, which no start would read.
    pub fn due(&mut self, now: u64, engines: usize) -> bool {
        let interval_ns = if self.changed { MIN_WRITE_INTERVAL_NS } else { MAX_WRITE_INTERVAL_NS };
        let due = engines > 0 && now >= self.written_ns + interval_ns;
        if due {
            (self.changed, self.written_ns) = (false, now);
        }
        due && self.is_within_bound(engines)
    }

    /// What became of a write; a file that can't be written is told of once.
    pub fn written(&mut self, path: &Path, written: io::Result<()>) {
        match written {
            Ok(()) => self.logged[1] = false,
            Err(e) if !std::mem::replace(&mut self.logged[1], true) => {
                warn!("the list of engines could not be kept in {}: {e}", path.display());
            }
            Err(_) => {}
        }
    }

    /// Whether the list is within its bound; one that is not is told of once.
    fn is_within_bound(&mut self, engines: usize) -> bool {
        let limit = self.bound.engines;
        if engines <= limit {
            self.logged[0] = false;
        } else if !std::mem::replace(&mut self.logged[0], true) {
            warn!("the list of {engines} engines is not kept: the memory limit allows {limit}");
        }
        engines <= limit
    }
}

/// Writes a file's text, of a list that was last known to be right at `confirmed_ns` (Unix ns). It is written entry by entry, its
/// checksum last, and never held.
///
/// # Errors
/// What `out` says: the file is of no use then.
pub fn write<W: Write + Seek>(
    out: W,
    listed_engines: &ListedEngines,
    names: &Names,
    confirmed_ns: u64,
) -> io::Result<()> {
    let head = format!("{MAGIC} {VERSION} ");
    let mut text = HashingWriter { out: BufWriter::new(out), hasher: blake3::Hasher::new() };
    writeln!(text.out, "{head}{:0>CHECKSUM_DIGITS$}", "")?;
    write!(text, "{{\"heard_ms\":{},\"engines\":[", confirmed_ns / 1_000_000)?;
    let mut entry = Vec::new();
    for (at, target) in listed_engines.iter().enumerate() {
        entry.clear();
        entry.extend_from_slice(if at > 0 { b"," } else { b"" });
        serde_json::to_writer(&mut entry, &EncodedEntry::of(&target, names))?;
        text.write_all(&entry)?;
    }
    text.write_all(b"]}")?;
    let HashingWriter { mut out, hasher } = text;
    out.write_all(b"\n")?;
    out.seek(SeekFrom::Start(head.len() as u64))?;
    out.write_all(hasher.finalize().to_hex().as_bytes())?;
    out.flush()
}

/// What is written is summed up.
struct HashingWriter<W: Write> {
    out: BufWriter<W>,
    hasher: blake3::Hasher,
}

impl<W: Write> Write for HashingWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.hasher.update(bytes);
        self.out.write_all(bytes)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}

/// Reads a file's text: the list, and how old it is at `now` (Unix ns; a file from the future is as new as can be). One
/// older than `most_ns` is refused, and one over `bound`.
///
/// # Errors
/// Where it can't be believed: nothing of it is used then.
pub fn decode(
    bytes: &[u8],
    names: &Names,
    now: u64,
    max_age_ns: u64,
    bound: &ListBound,
) -> Result<(Change, u64), DecodeError> {
    if bytes.len() > bound.file_bytes {
        return Err(DecodeError::TooLarge(bytes.len() as u64, bound.file_bytes as u64));
    }
    let text = std::str::from_utf8(bytes).map_err(|_| DecodeError::NotASnapshot)?;
    let (head, body) = text.split_once('\n').ok_or(DecodeError::NotASnapshot)?;
    let fields: Vec<&str> = head.split(' ').collect();
    let [MAGIC, version, checksum] = fields[..] else { return Err(DecodeError::NotASnapshot) };
    // The version comes first: what another one means by its other fields is not known here.
    let version: u32 = version.parse().map_err(|_| DecodeError::NotASnapshot)?;
    if version != VERSION {
        return Err(DecodeError::Version(version));
    }
    let body = body.strip_suffix('\n').ok_or(DecodeError::ChecksumMismatch)?;
    if blake3::hash(body.as_bytes()).to_hex().as_str() != checksum {
        return Err(DecodeError::ChecksumMismatch);
    }
    let (confirmed_ms, targets) = read_body(body, names, bound)?;
    let age = now.saturating_sub(confirmed_ms.saturating_mul(1_000_000));
    if age > max_age_ns {
        return Err(DecodeError::TooOld(age));
    }
    Ok((Change { kind: MembershipKind::Full, targets }, age))
}

/// When the list was last known to be right (Unix ms), and its engines.
fn read_body(body: &str, names: &Names, bound: &ListBound) -> Result<(u64, Vec<Target>), DecodeError> {
    let unreadable = |error: serde_json::Error| DecodeError::Unreadable(ListError::from(error));
    let mut targets = Vec::new();
    let mut splitter = Splitter::new(ENGINES, bound.entry_bytes);
    splitter.push(body.as_bytes(), |entry| {
        if targets.len() >= bound.engines {
            return Err(DecodeError::TooManyEngines(bound.engines));
        }
        let entry: Entry = serde_json::from_slice(entry).map_err(unreadable)?;
        targets.push(entry.target(names));
        Ok(())
    })?;
    let rest = splitter.finish()?;
    let body: Body = serde_json::from_slice(&rest).map_err(unreadable)?;
    targets.extend(body.engines.iter().map(|entry| entry.target(names)));
    Ok((body.confirmed_ms, targets))
}

impl From<SplitError> for DecodeError {
    fn from(error: SplitError) -> DecodeError {
        DecodeError::Unreadable(ListError::from(error))
    }
}
