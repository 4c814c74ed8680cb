//! Numbered membership updates of the coordinator: their JSON text, parsed at once or
//! incrementally.
//!
//! An update takes effect only once it is complete and valid. Its text is not buffered, only the
//! engines parsed so far.

use std::borrow::Cow;
use std::net::SocketAddr;

use serde::Deserialize;
use thiserror::Error;

use crate::bound::ListBound;
use crate::split::{SplitError, Splitter};
use crate::{engine_id, Change, Target};
use marljunction_control::interface::*;
use marljunction_settings::{index_of, Names};

/// JSON path of the engines.
const TARGETS: &[&str] = &["endpoints", "targets"];
/// Longest error text (bytes), as it may quote the input.
const MAX_REASON_BYTES: usize = 160;

/// Why a list of engines is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ListError {
    /// Longer than the memory limit allows.
    #[error("{bytes} bytes so far with {engines} engines; the memory limit allows {limit} bytes at most")]
    TooLong {
        /// Bytes read so far.
        bytes: usize,
        /// Engines parsed so far.
        engines: usize,
        /// Limit (bytes).
        limit: usize,
    },
    /// More engines than the memory limit allows.
    #[error("over {limit} engines in {bytes} bytes so far; the memory limit allows {limit} engines at most")]
    TooMany {
        /// Bytes read so far.
        bytes: usize,
        /// Limit (engines).
        limit: usize,
    },
    /// Invalid.
    #[error("{0}")]
    Invalid(String),
}

impl ListError {
    /// Whether the list is over a limit, rather than invalid.
    pub fn is_over_limit(&self) -> bool {
        !matches!(self, ListError::Invalid(_))
    }

    /// Creates an [`Invalid`](ListError::Invalid) error, with its text shortened to
    /// [`MAX_REASON_BYTES`].
    pub(crate) fn invalid(reason: impl std::fmt::Display) -> ListError {
        let mut reason = reason.to_string();
        if reason.len() > MAX_REASON_BYTES {
            let end = (0..=MAX_REASON_BYTES).rev().find(|at| reason.is_char_boundary(*at)).unwrap_or(0);
            reason.truncate(end);
            reason.push_str("...");
        }
        ListError::Invalid(reason)
    }
}

impl From<SplitError> for ListError {
    fn from(error: SplitError) -> ListError {
        ListError::invalid(error)
    }
}

impl From<serde_json::Error> for ListError {
    fn from(error: serde_json::Error) -> ListError {
        ListError::invalid(error)
    }
}

#[derive(Deserialize)]
struct RawUpdate<'a> {
    index: u64,
    #[serde(borrow)]
    endpoints: RawList<'a>,
}

#[derive(Deserialize)]
struct RawList<'a> {
    #[serde(default)]
    all: bool,
    #[serde(default, borrow)]
    targets: Vec<RawTarget<'a>>,
}

/// String that is copied only if it contains escapes.
#[derive(Deserialize)]
#[serde(transparent)]
pub(crate) struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

impl std::ops::Deref for Text<'_> {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

#[derive(Deserialize)]
struct RawTarget<'a> {
    #[serde(borrow)]
    uid: Text<'a>,
    endpoint: SocketAddr,
    #[serde(borrow)]
    az: Option<Text<'a>>,
    #[serde(borrow)]
    model: Option<Text<'a>>,
    pod_group: Option<u64>,
    state: RawState,
    #[serde(default)]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawState {
    InService,
    Terminating,
    Terminated,
}

impl RawTarget<'_> {
    fn target(&self, names: &Names) -> Target {
        let state = match self.state {
            RawState::InService => EngineState::Ready,
            RawState::Terminating => EngineState::Draining,
            RawState::Terminated => EngineState::Gone,
        };
        let entry = EngineEntry {
            engine: engine_id(&self.uid),
            zone: self.az.as_ref().and_then(|z| index_of(&names.zones, z)).map(ZoneId),
            kind: self.model.as_ref().and_then(|k| index_of(&names.kinds, k)).map(KindId),
            cell: self.pod_group,
            state,
            weight: self.capacity_hint,
            // Unix milliseconds fit into `u64` as nanoseconds; saturates for invalid values.
            started_ns: Some(self.boot_ms).filter(|ms| *ms > 0).map(|ms| ms.saturating_mul(1_000_000)),
        };
        Target { entry, address: self.endpoint }
    }
}

/// A numbered membership update.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Its number.
    pub index: u64,
    /// The membership change.
    pub change: Change,
}

impl Update {
    /// Parses the JSON text of an update.
    ///
    /// # Errors
    /// If it is invalid.
    pub fn read(text: &str, names: &Names) -> Result<Update, ListError> {
        Update::from_parts(text.as_bytes(), Vec::new(), names)
    }

    /// Creates an update from engines that were parsed before and the text without them.
    fn from_parts(text: &[u8], mut targets: Vec<Target>, names: &Names) -> Result<Update, ListError> {
        let raw: RawUpdate = serde_json::from_slice(text)?;
        targets.extend(raw.endpoints.targets.iter().map(|target| target.target(names)));
        let kind = if raw.endpoints.all { MembershipKind::Full } else { MembershipKind::Delta };
        Ok(Update { index: raw.index, change: Change { kind, targets } })
    }
}

/// Incremental reader of one update.
#[derive(Debug)]
pub struct UpdateReader {
    splitter: Splitter,
    bound: ListBound,
    targets: Vec<Target>,
    bytes: usize,
    /// Why the update is invalid. The rest of its text is skipped.
    invalid: Option<ListError>,
}

impl UpdateReader {
    /// Starts an update.
    pub fn new(bound: ListBound) -> UpdateReader {
        let splitter = Splitter::new(TARGETS, bound.entry_bytes);
        UpdateReader { splitter, bound, targets: Vec::new(), bytes: 0, invalid: None }
    }

    /// Bytes read so far.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Parses the next part of the text.
    ///
    /// # Errors
    /// If the update is over the bound. Invalid text is reported by [`UpdateReader::finish`].
    pub fn push(&mut self, piece: &[u8], names: &Names) -> Result<(), ListError> {
        let UpdateReader { splitter, bound, targets, bytes, invalid } = self;
        *bytes += piece.len();
        if *bytes > bound.event_bytes {
            let (bytes, engines) = (*bytes, targets.len());
            return Err(ListError::TooLong { bytes, engines, limit: bound.event_bytes });
        }
        if invalid.is_some() {
            return Ok(());
        }
        let result = splitter.push(piece, |entry| {
            if targets.len() >= bound.engines {
                return Err(ListError::TooMany { bytes: *bytes, limit: bound.engines });
            }
            targets.push(serde_json::from_slice::<RawTarget>(entry)?.target(names));
            Ok(())
        });
        match result {
            Err(error) if error.is_over_limit() => Err(error),
            Err(error) => {
                (*invalid, *targets) = (Some(error), Vec::new());
                Ok(())
            }
            Ok(()) => Ok(()),
        }
    }

    /// Returns the update once all of its text has been pushed.
    ///
    /// # Errors
    /// If it is incomplete or invalid.
    pub fn finish(self, names: &Names) -> Result<Update, ListError> {
        match self.invalid {
            Some(error) => Err(error),
            None => Update::from_parts(&self.splitter.finish()?, self.targets, names),
        }
    }
}
