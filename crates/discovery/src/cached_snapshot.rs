//! The cached snapshot of the engine list, for a start without the list service: its file format,
//! and when it is written. No file access and no clock.

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

/// First field of a file, and version of the format.
const MAGIC: &str = "marljunction-list";
const VERSION: u32 = 1;
/// JSON path of the engines.
const ENGINES: &[&str] = &["engines"];
/// Hex digits of the checksum.
const CHECKSUM_DIGITS: usize = 64;
/// Shortest interval between writes, and the interval at which an unchanged list is written again
/// so that its recorded age stays correct.
const MIN_WRITE_INTERVAL_NS: u64 = 1_000_000_000;
const MAX_WRITE_INTERVAL_NS: u64 = 10_000_000_000;

/// Why a snapshot is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// Empty, or not a snapshot file.
    #[error("not a cached snapshot")]
    NotASnapshot,
    /// Written in an unsupported version of the format.
    #[error("format version {0} is not supported, only version {VERSION}")]
    Version(u32),
    /// The checksum is wrong: the file is truncated or was modified.
    #[error("wrong checksum: the file is truncated or was modified")]
    ChecksumMismatch,
    /// The checksum is correct but the contents are invalid.
    #[error("invalid contents: {0}")]
    Unreadable(ListError),
    /// Size of the file, and the limit (bytes).
    #[error("its {0} bytes exceed the {1} that the memory limit allows")]
    TooLarge(u64, u64),
    /// More engines than the limit, which it holds.
    #[error("more than {0} engines, the most that the memory limit allows")]
    TooManyEngines(usize),
    /// The list is older than allowed. Holds its age (ns).
    #[error("its age of {} s exceeds the maximum", .0 / 1_000_000_000)]
    TooOld(u64),
}

#[derive(Deserialize)]
struct Body<'a> {
    /// When the list was last confirmed by its source (Unix ms).
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

/// Decides when the list is written, and logs lists and writes that fail once each.
#[derive(Clone, Debug, Default)]
pub struct CachedSnapshot {
    bound: ListBound,
    changed: bool,
    written_ns: u64,
    /// Whether these warnings were logged: the list is over the bound; a write failed.
    logged: [bool; 2],
}

impl CachedSnapshot {
    /// Creates the schedule for lists up to a bound.
    pub fn new(bound: ListBound) -> CachedSnapshot {
        CachedSnapshot { bound, ..CachedSnapshot::default() }
    }

    /// Records that the list has changed.
    pub fn changed(&mut self) {
        self.changed = true;
    }

    /// Whether a list of this many engines should be written now; if so, the caller is expected to
    /// do it. An empty list is never written, as it is of no use at a start, nor one over the
    /// bound, as no start would accept it.
    pub fn due(&mut self, now: u64, engines: usize) -> bool {
        let interval_ns = if self.changed { MIN_WRITE_INTERVAL_NS } else { MAX_WRITE_INTERVAL_NS };
        let due = engines > 0 && now >= self.written_ns + interval_ns;
        if due {
            (self.changed, self.written_ns) = (false, now);
        }
        due && self.is_within_bound(engines)
    }

    /// Records the result of a write. Only the first of several failures is logged.
    pub fn written(&mut self, path: &Path, written: io::Result<()>) {
        match written {
            Ok(()) => self.logged[1] = false,
            Err(e) if !std::mem::replace(&mut self.logged[1], true) => {
                warn!("cannot write the engine list to {}: {e}", path.display());
            }
            Err(_) => {}
        }
    }

    /// Whether the list is within the bound. Only the first of several that are not is logged.
    fn is_within_bound(&mut self, engines: usize) -> bool {
        let limit = self.bound.engines;
        if engines <= limit {
            self.logged[0] = false;
        } else if !std::mem::replace(&mut self.logged[0], true) {
            warn!("not caching the list of {engines} engines: the memory limit allows {limit}");
        }
        engines <= limit
    }
}

/// Writes a list that was last confirmed at `confirmed_ns` (Unix ns). It is written entry by entry,
/// never buffered as a whole, with the checksum last.
///
/// # Errors
/// If `out` fails. The output is then invalid.
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

/// Writer that computes the checksum of what it writes.
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

/// Decodes a snapshot. Returns the list and its age at `now` (Unix ns), 0 if it lies in the future.
///
/// # Errors
/// If the file is invalid, older than `max_age_ns` or over `bound`. Nothing of it is used then.
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
    // The version comes first, as other versions may define the other fields differently.
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

/// Returns when the list was last confirmed (Unix ms), and its engines.
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
