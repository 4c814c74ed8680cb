//! The coordinator's stream of numbered events, over server-sent events.

use std::net::SocketAddr;

use log::{debug, info, warn};
use serde::Deserialize;

use super::age::Age;
use super::{engine_id, taken, Change, Fault, Pacing, Target};
use marljunction_control::interface::*;
use marljunction_http1::chunks::Chunks;
use marljunction_http1::head::read_head;
use marljunction_net::{Net, Owner};
use marljunction_pacing::{Failure, Pace, Pacer};
use marljunction_settings::{index_of, Names};

/// Silence after which the stream is taken for dead (ns): a comment comes each second.
pub const SILENT_NS: u64 = 2_200_000_000;
/// Longest line of the stream (bytes): a list of a thousand engines takes less.
const LINE_MOST: usize = 200 << 10;

#[derive(Deserialize)]
struct RawUpdate {
    index: u64,
    endpoints: RawList,
}

#[derive(Deserialize)]
struct RawList {
    #[serde(default)]
    all: bool,
    #[serde(default)]
    targets: Vec<RawTarget>,
}

#[derive(Deserialize)]
struct RawTarget {
    uid: String,
    endpoint: SocketAddr,
    az: Option<String>,
    model: Option<String>,
    pod_group: Option<u64>,
    state: String,
    #[serde(default)]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

/// A numbered event of the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Its number.
    pub index: u64,
    /// What it says.
    pub change: Change,
}

impl Update {
    /// Reads an event's JSON text.
    pub fn read(text: &str, names: &Names) -> Result<Update, String> {
        let raw: RawUpdate = serde_json::from_str(text).map_err(|e| format!("membership event: {e}"))?;
        let targets = raw.endpoints.targets.iter().map(|t| {
            let state = match t.state.as_str() {
                "in_service" => EngineState::Ready,
                "terminating" => EngineState::Draining,
                "terminated" => EngineState::Gone,
                other => return Err(format!("membership event: unknown state {other:?}")),
            };
            let entry = EngineEntry {
                engine: engine_id(&t.uid),
                zone: t.az.as_ref().and_then(|z| index_of(&names.zones, z)).map(ZoneId),
                kind: t.model.as_ref().and_then(|k| index_of(&names.kinds, k)).map(KindId),
                cell: t.pod_group,
                state,
                weight: t.capacity_hint,
                // The module's clock runs in Unix time: milliseconds need no more than this.
                started_ns: Some(t.boot_ms).filter(|ms| *ms > 0).map(|ms| ms.saturating_mul(1_000_000)),
            };
            Ok(Target { entry, address: t.endpoint })
        });
        let kind = if raw.endpoints.all { MembershipKind::Full } else { MembershipKind::Delta };
        Ok(Update { index: raw.index, change: Change { kind, targets: targets.collect::<Result<_, _>>()? } })
    }
}

/// A reader of server-sent events, over a body in chunks or as it is.
#[derive(Default)]
pub struct EventReader {
    chunks: Option<Chunks>,
    text: Vec<u8>,
    id: Option<u64>,
    data: String,
}

impl EventReader {
    /// A reader for a body in chunks, or not.
    pub fn new(chunked: bool) -> Self {
        EventReader { chunks: chunked.then(Chunks::default), ..EventReader::default() }
    }

    /// Takes what it can of `input`, adds the data of whole events to `out` with their numbers, and returns
    /// how much it took; an error where the stream can't be read or has ended.
    pub fn take(&mut self, input: &[u8], out: &mut Vec<(Option<u64>, String)>) -> Result<usize, String> {
        let (taken, ended) = match &mut self.chunks {
            Some(chunks) => chunks.take(input, &mut self.text)?,
            None => {
                self.text.extend_from_slice(input);
                (input.len(), false)
            }
        };
        while let Some(end) = self.text.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.text.drain(..=end).collect();
            self.line(String::from_utf8_lossy(&line).trim_end_matches(['\r', '\n']), out);
        }
        if self.text.len() > LINE_MOST || self.data.len() > LINE_MOST {
            return Err("a line is too long".into());
        }
        if ended {
            return Err("the stream has ended".into());
        }
        Ok(taken)
    }

    fn line(&mut self, line: &str, out: &mut Vec<(Option<u64>, String)>) {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.id = value.parse().ok(),
            "data" => {
                self.data.push_str(if self.data.is_empty() { "" } else { "\n" });
                self.data.push_str(value);
            }
            _ if line.is_empty() && !self.data.is_empty() => {
                out.push((self.id.take(), std::mem::take(&mut self.data)));
            }
            _ => {}
        }
    }
}

/// The subscription to the coordinator.
pub struct Stream {
    address: SocketAddr,
    names: Names,
    last: u64,
    conn: Option<u64>,
    reader: Option<EventReader>,
    /// When the present connection was last heard, or opened.
    heard_ns: u64,
    /// The last event that could not be read.
    spoilt: Option<u64>,
    /// No event has come on this connection yet.
    fresh: bool,
    pacer: Pacer,
    age: Age,
}

impl Stream {
    /// A subscription that starts behind event `last`.
    pub fn new(now: u64, address: SocketAddr, names: Names, last: u64, pacing: Pacing) -> Self {
        let pacer = Pacer::new(pacing.pace, pacing.seed, now);
        let age = Age::new(now, pacing.stale_ns);
        #[rustfmt::skip]
        let stream = Stream {
            address, names, last, conn: None, reader: None, heard_ns: 0, spoilt: None, fresh: true, pacer, age,
        };
        stream
    }

    /// Calls made and turned away, and how old the news is.
    pub fn view(&self) -> ((u64, u64), &Age) {
        (self.pacer.calls(), &self.age)
    }

    /// Paces calls so from the next one on.
    pub fn set_pace(&mut self, pace: Pace, stale_ns: u64) {
        self.pacer.set_pace(pace);
        self.age.set_stale(stale_ns);
    }

    /// How old the news is, to be told.
    pub fn age_mut(&mut self) -> &mut Age {
        &mut self.age
    }

    /// Opens the stream where it is closed and a call is due, and closes it where it is silent.
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        match self.conn {
            Some(_) if now > self.heard_ns + SILENT_NS => {
                warn!("the coordinator's stream is silent");
                self.drop_conn(now, net, Failure::Away);
            }
            None if self.pacer.call(now) => match net.connect(self.address, Owner::Discovery) {
                Ok(conn) => {
                    (self.conn, self.reader, self.heard_ns, self.fresh) = (Some(conn), None, now, true);
                    let call = format!(
                        "GET /v2/stream HTTP/1.1\r\nHost: {}\r\nAccept: text/event-stream\r\nLast-Event-ID: {}\r\n\r\n",
                        self.address, self.last
                    );
                    net.send(conn, call.as_bytes());
                }
                Err(_) => self.pacer.failed(now, Failure::Away),
            },
            _ => {}
        }
        self.age.tick(now);
    }

    /// Goes on at another address behind the last event, and takes what of `known` is new.
    pub fn reload(
        &mut self,
        now: u64,
        net: &mut Net,
        address: SocketAddr,
        known: Vec<Update>,
    ) -> Vec<Change> {
        let news = known.into_iter().filter(|u| u.index > self.last).collect::<Vec<_>>();
        self.last = news.iter().map(|u| u.index).max().unwrap_or(self.last);
        if address != self.address {
            info!("membership news come from {address} now, behind event {}", self.last);
            self.address = address;
            if let Some(conn) = self.conn.take() {
                net.close(conn);
            }
            // All routers may be told of another address at one moment.
            self.pacer.restart(now);
            self.tick(now, net);
        }
        news.into_iter().map(|u| u.change).collect()
    }

    /// Ends the connection; a stream that was up has ended, a call that never was has failed.
    fn drop_conn(&mut self, now: u64, net: &mut Net, failure: Failure) {
        if let Some(conn) = self.conn.take() {
            net.close(conn);
        }
        match self.reader.take() {
            Some(_) => self.pacer.ended(now),
            None => self.pacer.failed(now, failure),
        }
    }

    /// Takes what has come in; gives the changes in order.
    pub fn ready(&mut self, now: u64, net: &mut Net, conn: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        if self.conn != Some(conn) {
            return changes;
        }
        let look = net.service(conn);
        let failure = match self.read(now, net, conn, &mut changes) {
            Ok(()) if look.ended.is_some() => Failure::Away,
            Ok(()) => return changes,
            Err(Fault::TurnedAway(after_ns)) => {
                debug!("the coordinator takes no more calls for now; it asks for {after_ns:?} ns");
                Failure::TurnedAway { after_ns }
            }
            Err(Fault::Broken(why)) => {
                info!("the coordinator's stream: {why}");
                Failure::Away
            }
        };
        self.drop_conn(now, net, failure);
        changes
    }

    fn read(&mut self, now: u64, net: &mut Net, conn: u64, changes: &mut Vec<Change>) -> Result<(), Fault> {
        let silent = net.input(conn).is_empty();
        if !silent {
            self.heard_ns = now;
        }
        if self.reader.is_none() {
            let Some((head, size)) = read_head(net.input(conn))? else { return Ok(()) };
            net.consume(conn, size);
            taken(now, &head)?;
            self.reader = Some(EventReader::new(head.chunked));
            self.pacer.taken(now);
        }
        if !silent {
            self.age.heard(now);
        }
        let (mut events, Some(reader)) = (Vec::new(), &mut self.reader) else { return Ok(()) };
        let taken = reader.take(net.input(conn), &mut events);
        net.consume(conn, *taken.as_ref().unwrap_or(&0));
        for (number, text) in events {
            let update = match Update::read(&text, &self.names) {
                Ok(update) => update,
                // Guards against an event that is lost for good because half of it came: it is asked for once
                // more. One that can't be read then costs itself only, never the stream.
                Err(fault) if number > Some(self.last) && number != self.spoilt => {
                    self.spoilt = number;
                    return Err(fault.into());
                }
                Err(fault) => {
                    warn!("{fault}");
                    continue;
                }
            };
            let index = number.unwrap_or(update.index);
            // Guards against a coordinator that started anew, whose news would be passed over until its numbers have
            // grown past the last: a whole list that opens a connection, below the number asked behind, is no repeat.
            let anew = std::mem::take(&mut self.fresh)
                && index < self.last
                && update.change.kind == MembershipKind::Full;
            if anew {
                info!("the coordinator counts anew: event {index} behind {}", self.last);
            }
            if anew || index > self.last {
                self.last = index;
                changes.push(update.change);
            }
        }
        Ok(taken.map(drop)?)
    }
}
