//! Engine list from Consul: the catalog names the engines, the health API their states. Both are
//! read by blocking queries, which Consul answers when something changes.

use std::net::SocketAddr;

use log::{info, warn};

use super::staleness::Staleness;
use super::{check_status, Change, SourceError, SourceParams, Target, MAX_NS_PER_BYTE};
use crate::bound::ListBound;
use crate::consul_response::{ConsulQuery, ConsulResponse, ResponseReader};
use crate::rejected_updates::{RejectReason, RejectedUpdates};
use marljunction_control::interface::*;
use marljunction_http1::chunks::ChunkedDecoder;
use marljunction_http1::head::{parse_response_head, Head};
use marljunction_net::{Net, Owner};
use marljunction_pacing::{Failure, Pacer, PacingParams};
use marljunction_settings::Names;

/// Longest time for which Consul holds a blocking query (s).
const WAIT_S: u64 = 10;
/// Silence after which a query has failed (ns). Consul adds up to a sixteenth to the wait.
const SILENT_NS: u64 = (WAIT_S + 2) * 1_000_000_000;

/// A blocking query that is repeated.
struct Watch {
    query: ConsulQuery,
    index: u64,
    conn: Option<u64>,
    head: Option<Head>,
    chunks: ChunkedDecoder,
    /// Buffer for the decoded chunks of one read.
    text: Vec<u8>,
    body: ResponseReader,
    /// When the current query was sent.
    sent_ns: u64,
    /// A query is in flight. Otherwise the connection, if any, is idle.
    in_flight: bool,
    pacer: Pacer,
    rejected_updates: RejectedUpdates,
}

/// The catalog and health queries for one service.
pub struct Consul {
    address: SocketAddr,
    service: String,
    names: Names,
    bound: ListBound,
    watches: [Watch; 2],
    catalog: Option<Vec<Target>>,
    /// Sorted by engine.
    health: Option<Vec<(EngineId, EngineState)>>,
    staleness: Staleness,
}

/// Divides the pacing parameters between the two queries: each router counts as two callers.
fn per_watch(pace: PacingParams) -> [PacingParams; 2] {
    let callers = pace.callers.map(|n| n.saturating_mul(2));
    [0, 1].map(|watch| PacingParams {
        callers,
        caller_index: pace.caller_index.saturating_mul(2).saturating_add(watch),
        ..pace
    })
}

impl Watch {
    fn new(query: ConsulQuery, bound: ListBound, pacer: Pacer) -> Self {
        Watch {
            query,
            index: 0,
            conn: None,
            head: None,
            chunks: ChunkedDecoder::default(),
            text: Vec::new(),
            body: ResponseReader::new(query, bound),
            sent_ns: 0,
            in_flight: false,
            pacer,
            rejected_updates: RejectedUpdates::default(),
        }
    }

    /// When the current query fails. Guards against a response that arrives a byte at a time
    /// without end.
    fn deadline_ns(&self) -> u64 {
        self.sent_ns + SILENT_NS + (self.body.bytes() as u64).saturating_mul(MAX_NS_PER_BYTE)
    }

    /// Ends a failed query and its connection, and schedules the next one.
    fn fail(&mut self, now: u64, net: &mut Net, fault: SourceError) {
        let failure = self.record_failure(fault);
        let is_accepted = self.head.is_some();
        self.drop_conn(net);
        match failure {
            // Each such call costs Consul a response, unlike one that gets none.
            Failure::Unavailable if is_accepted => self.pacer.ended(now),
            _ => self.pacer.failed(now, failure),
        }
    }

    /// Counts and logs a failed query.
    fn record_failure(&mut self, fault: SourceError) -> Failure {
        let name = self.query.name();
        match fault {
            SourceError::Rejected(after_ns) => return Failure::Rejected { after_ns },
            SourceError::List(error) if error.is_over_limit() => {
                self.rejected_updates.record(RejectReason::TooLarge, || {
                    format!("consul {name} response is too large: {error}; the previous list stays in force")
                });
                return Failure::Unusable;
            }
            SourceError::List(error) => {
                self.rejected_updates
                    .record(RejectReason::Invalid, || format!("invalid consul {name} response: {error}"));
            }
            SourceError::Ended if self.head.is_some() => {
                let bytes = self.body.bytes();
                self.rejected_updates.record(RejectReason::Truncated, || {
                    format!("consul {name} response ended after {bytes} bytes")
                });
            }
            other => self
                .rejected_updates
                .record(RejectReason::CallFailed, || format!("consul {name} query failed: {other}")),
        }
        Failure::Unavailable
    }

    fn drop_conn(&mut self, net: &mut Net) {
        self.conn.take().into_iter().for_each(|conn| net.close(conn));
        self.in_flight = false;
    }

    fn send_query(
        &mut self,
        (now, bound): (u64, ListBound),
        net: &mut Net,
        conn: u64,
        to: SocketAddr,
        service: &str,
    ) {
        (self.sent_ns, self.in_flight, self.head, self.chunks) = (now, true, None, ChunkedDecoder::default());
        self.body = ResponseReader::new(self.query, bound);
        let request = format!(
            "GET {}{service}?index={}&wait={WAIT_S}s HTTP/1.1\r\nHost: {to}\r\nAccept: application/json\r\n\r\n",
            self.query.path(),
            self.index
        );
        net.send(conn, request.as_bytes());
    }

    /// Reads the response. Returns it once it is complete.
    fn read(
        &mut self,
        now: u64,
        net: &mut Net,
        conn: u64,
        names: &Names,
    ) -> Result<Option<ConsulResponse>, SourceError> {
        if self.head.is_none() {
            let Some((head, size)) = parse_response_head(net.input(conn)).map_err(SourceError::Head)? else {
                return Ok(None);
            };
            net.consume(conn, size);
            check_status(now, &head)?;
            self.pacer.accepted(now);
            if let Some(length) = head.length.filter(|_| !head.chunked) {
                self.body.check_length(length)?;
            }
            self.head = Some(head);
        }
        let Some(head) = &self.head else { return Ok(None) };
        let input = net.input(conn);
        let (consumed, complete) = match (head.chunked, head.length) {
            (true, _) => {
                self.text.clear();
                let decoded = self.chunks.decode(input, &mut self.text)?;
                self.body.push(&self.text, names)?;
                decoded
            }
            (false, Some(length)) => {
                let part = (length - self.body.bytes().min(length)).min(input.len());
                self.body.push(&input[..part], names)?;
                (part, self.body.bytes() >= length)
            }
            (false, None) => return Err(SourceError::MissingLength),
        };
        net.consume(conn, consumed);
        if !complete {
            return Ok(None);
        }
        // A lower index, or none, means that Consul has restarted: the next query must not wait.
        let index = head.consul_index.unwrap_or(0);
        let response = self.body.finish()?;
        self.index = if index < self.index { 0 } else { index };
        Ok(Some(response))
    }
}

impl Consul {
    /// Creates the queries for a service, within the default bound.
    pub fn new(now: u64, address: SocketAddr, service: String, names: Names, pacing: SourceParams) -> Self {
        let [catalog, health] = per_watch(pacing.pace);
        let bound = ListBound::default();
        let watches = [
            Watch::new(ConsulQuery::Catalog, bound, Pacer::new(catalog, pacing.seed, now)),
            Watch::new(ConsulQuery::Health, bound, Pacer::new(health, !pacing.seed, now)),
        ];
        let staleness = Staleness::new(now, pacing.stale_ns + SILENT_NS);
        Consul { address, service, names, bound, watches, catalog: None, health: None, staleness }
    }

    /// Sets the size limits of responses.
    pub fn with_bound(mut self, bound: ListBound) -> Self {
        self.bound = bound;
        self
    }

    /// Rejected updates of the catalog and health queries.
    pub fn rejected_updates(&self) -> [RejectedUpdates; 2] {
        [self.watches[0].rejected_updates, self.watches[1].rejected_updates]
    }

    /// Replaces the pacing parameters and the staleness limit.
    pub fn set_pace(&mut self, pace: PacingParams, stale_ns: u64) {
        for (watch, pace) in self.watches.iter_mut().zip(per_watch(pace)) {
            watch.pacer.set_pace(pace);
        }
        self.staleness.set_stale_ns(stale_ns + SILENT_NS);
    }

    /// The staleness of the list, to update.
    pub fn staleness_mut(&mut self) -> &mut Staleness {
        &mut self.staleness
    }

    /// Calls made and calls rejected because of load, and the staleness of the list.
    pub fn stats(&self) -> ((u64, u64), &Staleness) {
        let [a, b] = [0, 1].map(|i| self.watches[i].pacer.calls());
        ((a.0 + b.0, a.1 + b.1), &self.staleness)
    }

    /// Sends queries that are due, and ends those that have timed out.
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        for watch in &mut self.watches {
            if watch.in_flight && now > watch.deadline_ns() {
                watch.fail(now, net, SourceError::Ended);
            }
            if watch.in_flight || !watch.pacer.call(now) {
                continue;
            }
            match watch.conn.map_or_else(|| net.connect(self.address, Owner::Discovery), Ok) {
                Ok(conn) => {
                    watch.conn = Some(conn);
                    watch.send_query((now, self.bound), net, conn, self.address, &self.service);
                }
                Err(_) => watch.pacer.failed(now, Failure::Unavailable),
            }
        }
        self.staleness.tick(now);
    }

    /// Switches to another address. Both queries start again there, as indexes belong to a server.
    pub fn reload(&mut self, now: u64, net: &mut Net, address: SocketAddr) {
        if address == self.address {
            return;
        }
        info!("consul address changed to {address}");
        self.address = address;
        (self.catalog, self.health) = (None, None);
        for watch in &mut self.watches {
            watch.drop_conn(net);
            watch.index = 0;
            watch.pacer.restart(now);
        }
        self.tick(now, net);
    }

    /// Processes input on a connection. Returns the full list after each complete response, once
    /// both queries have been answered.
    pub fn ready(&mut self, now: u64, net: &mut Net, conn: u64) -> Option<Change> {
        let at = self.watches.iter().position(|w| w.conn == Some(conn))?;
        let ended = net.service(conn).ended.is_some();
        if !self.watches[at].in_flight {
            // No query is in flight: the connection was closed, or sent unrequested data.
            self.watches[at].drop_conn(net);
            return None;
        }
        match self.watches[at].read(now, net, conn, &self.names) {
            Ok(Some(response)) => return self.apply_response(now, net, at, response, ended),
            Ok(None) if ended => self.watches[at].fail(now, net, SourceError::Ended),
            Ok(None) => {}
            Err(fault) => self.watches[at].fail(now, net, fault),
        }
        None
    }

    /// Applies a complete response.
    fn apply_response(
        &mut self,
        now: u64,
        net: &mut Net,
        at: usize,
        response: ConsulResponse,
        ended: bool,
    ) -> Option<Change> {
        let watch = &mut self.watches[at];
        (watch.in_flight, watch.head) = (false, None);
        watch.pacer.answered(now);
        watch.rejected_updates.accepted();
        if ended {
            watch.drop_conn(net);
        }
        match response {
            ConsulResponse::Catalog(targets, unresolved) => {
                if unresolved > 0 {
                    warn!("consul catalog has {unresolved} engines with invalid addresses");
                }
                self.catalog = Some(targets);
            }
            ConsulResponse::Health(states) => self.health = Some(states),
        }
        // The list is not confirmed while either query's responses are too large.
        if !self.watches.iter().any(|watch| watch.rejected_updates.is_too_large()) {
            self.staleness.confirm(now);
        }
        self.tick(now, net);
        self.merged_list()
    }

    /// The full list, once both queries have been answered: the engines of the catalog, with the
    /// states of their health checks.
    fn merged_list(&self) -> Option<Change> {
        let (catalog, health) = (self.catalog.as_ref()?, self.health.as_ref()?);
        let state = |engine: EngineId| {
            let at = health.binary_search_by_key(&engine, |(id, _)| *id).ok()?;
            Some(health[at].1)
        };
        let mut targets = catalog.clone();
        for target in &mut targets {
            target.entry.state = state(target.entry.engine).unwrap_or(EngineState::Gone);
        }
        Some(Change { kind: MembershipKind::Full, targets })
    }
}
