//! Consul: the catalogue says which engines there are, the health API which of them are well. Both are asked
//! by blocking queries, which are answered once something has changed.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use log::{info, warn};
use serde::Deserialize;

use super::{engine_id, Change, Target};
use marljunction_control::interface::*;
use marljunction_http1::chunks::Chunks;
use marljunction_http1::head::{read_head, Head};
use marljunction_net::{Net, Owner};
use marljunction_settings::{index_of, Names};

/// How long a blocking query may wait for a change.
const WAIT_S: u64 = 10;
/// Silence after which a query is taken for lost (ns): Consul adds up to a sixteenth to the wait.
const SILENT_NS: u64 = (WAIT_S + 2) * 1_000_000_000;
/// Wait after a failed query (ns).
const AGAIN_NS: u64 = 500_000_000;
/// Largest answer (bytes).
const ANSWER_MOST: usize = 1 << 20;

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CatalogEntry {
    #[serde(rename = "ServiceID")]
    service_id: String,
    address: IpAddr,
    #[serde(default)]
    service_address: String,
    service_port: u16,
    #[serde(default)]
    service_meta: BTreeMap<String, String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HealthEntry {
    service: HealthService,
    #[serde(default)]
    checks: Vec<HealthCheck>,
}

#[derive(Deserialize)]
struct HealthService {
    #[serde(rename = "ID")]
    id: String,
}

#[derive(Deserialize)]
struct HealthCheck {
    #[serde(rename = "CheckID", default)]
    id: String,
    #[serde(rename = "Status")]
    status: String,
}

/// The state that an engine's checks show: maintenance drains it, any other critical check takes it out.
fn state_of(checks: &[HealthCheck]) -> EngineState {
    let maintenance =
        |c: &HealthCheck| c.id.starts_with("_node_maintenance") || c.id.starts_with("_service_maintenance");
    let critical: Vec<&HealthCheck> = checks.iter().filter(|c| c.status == "critical").collect();
    match critical.is_empty() {
        true => EngineState::Ready,
        false if critical.iter().any(|c| maintenance(c)) => EngineState::Draining,
        false => EngineState::Gone,
    }
}

/// One blocking query that is asked over and over.
struct Watch {
    path: &'static str,
    index: u64,
    conn: Option<u64>,
    head: Option<Head>,
    chunks: Chunks,
    body: Vec<u8>,
    heard_ns: u64,
}

/// The two watches on one service.
pub struct Consul {
    address: SocketAddr,
    service: String,
    names: Names,
    watches: [Watch; 2],
    catalog: Option<Vec<CatalogEntry>>,
    health: Option<BTreeMap<String, EngineState>>,
}

impl Watch {
    fn new(path: &'static str) -> Self {
        #[rustfmt::skip]
        let watch = Watch {
            path, index: 0, conn: None, head: None, chunks: Chunks::default(), body: Vec::new(), heard_ns: 0,
        };
        watch
    }

    fn ask(&mut self, now: u64, net: &mut Net, conn: u64, to: SocketAddr, service: &str) {
        (self.heard_ns, self.head, self.chunks) = (now, None, Chunks::default());
        self.body.clear();
        let call = format!(
            "GET {}{service}?index={}&wait={WAIT_S}s HTTP/1.1\r\nHost: {to}\r\nAccept: application/json\r\n\r\n",
            self.path, self.index
        );
        net.send(conn, call.as_bytes());
    }

    /// The body of the answer, once it has come whole.
    fn read(&mut self, net: &mut Net, conn: u64) -> Result<Option<Vec<u8>>, String> {
        if self.head.is_none() {
            let Some((head, size)) = read_head(net.input(conn))? else { return Ok(None) };
            net.consume(conn, size);
            if head.status != 200 {
                return Err(format!("status {}", head.status));
            }
            self.head = Some(head);
        }
        let Some(head) = &self.head else { return Ok(None) };
        let input = net.input(conn);
        let (taken, whole) = match (head.chunked, head.length) {
            (true, _) => self.chunks.take(input, &mut self.body)?,
            (false, Some(length)) => {
                let part = (length - self.body.len().min(length)).min(input.len());
                self.body.extend_from_slice(&input[..part]);
                (part, self.body.len() >= length)
            }
            (false, None) => return Err("the body's length is not told".into()),
        };
        net.consume(conn, taken);
        if self.body.len() > ANSWER_MOST {
            return Err("the answer is too long".into());
        }
        if !whole {
            return Ok(None);
        }
        // An index that goes back, or none, means that Consul started anew: the next query must not wait.
        let index = head.consul_index.unwrap_or(0);
        self.index = if index < self.index { 0 } else { index };
        Ok(Some(std::mem::take(&mut self.body)))
    }
}

impl Consul {
    /// Watches on a service's engines.
    pub fn new(address: SocketAddr, service: String, names: Names) -> Self {
        let watches = [Watch::new("/v1/catalog/service/"), Watch::new("/v1/health/service/")];
        Consul { address, service, names, watches, catalog: None, health: None }
    }

    /// Asks where nothing is being asked; gives up a query that is silent for too long.
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        for watch in &mut self.watches {
            match watch.conn {
                Some(conn) if now > watch.heard_ns + SILENT_NS => {
                    net.close(conn);
                    watch.conn = None;
                }
                None if now >= watch.heard_ns => {
                    watch.heard_ns = now + AGAIN_NS;
                    if let Ok(conn) = net.connect(self.address, Owner::Discovery) {
                        watch.conn = Some(conn);
                        watch.ask(now, net, conn, self.address, &self.service);
                    }
                }
                _ => {}
            }
        }
    }

    /// Asks at another address. Its indexes are its own: both watches start anew there.
    pub fn reload(&mut self, now: u64, net: &mut Net, address: SocketAddr) {
        if address == self.address {
            return;
        }
        info!("consul is asked at {address} now");
        self.address = address;
        (self.catalog, self.health) = (None, None);
        for watch in &mut self.watches {
            if let Some(conn) = watch.conn.take() {
                net.close(conn);
            }
            (watch.index, watch.heard_ns) = (0, now);
        }
        self.tick(now, net);
    }

    /// Takes what has come in; gives the whole list where it has changed.
    pub fn ready(&mut self, now: u64, net: &mut Net, conn: u64) -> Option<Change> {
        let at = self.watches.iter().position(|w| w.conn == Some(conn))?;
        let ended = net.service(conn).ended.is_some();
        let body = self.watches[at].read(net, conn);
        let taken = match body {
            Ok(Some(body)) => self.take(at, &body).map(|()| true),
            Ok(None) => Ok(false),
            Err(fault) => Err(fault),
        };
        if let Err(fault) = &taken {
            info!("consul: {fault}");
        }
        if ended || taken.is_err() {
            net.close(conn);
            (self.watches[at].conn, self.watches[at].heard_ns) = (None, now + AGAIN_NS);
        } else if taken == Ok(true) {
            self.watches[at].ask(now, net, conn, self.address, &self.service);
        }
        (taken == Ok(true)).then(|| self.list()).flatten()
    }

    fn take(&mut self, at: usize, body: &[u8]) -> Result<(), String> {
        if at == 0 {
            self.catalog = Some(serde_json::from_slice(body).map_err(|e| format!("catalogue: {e}"))?);
        } else {
            let list: Vec<HealthEntry> = serde_json::from_slice(body).map_err(|e| format!("health: {e}"))?;
            self.health = Some(list.into_iter().map(|e| (e.service.id, state_of(&e.checks))).collect());
        }
        Ok(())
    }

    /// The whole list, once both have answered: who is in the catalogue, as well as the checks say.
    fn list(&self) -> Option<Change> {
        let (catalog, health) = (self.catalog.as_ref()?, self.health.as_ref()?);
        let targets = catalog.iter().filter_map(|e| {
            let meta = |name: &str| e.service_meta.get(name);
            let ip = match e.service_address.as_str() {
                "" => e.address,
                other => other.parse().map_err(|_| warn!("consul: bad address {other:?}")).ok()?,
            };
            let started_ms = meta("boot_ms").and_then(|ms| ms.parse().ok()).filter(|ms: &u64| *ms > 0);
            let entry = EngineEntry {
                engine: engine_id(&e.service_id),
                zone: meta("az").and_then(|z| index_of(&self.names.zones, z)).map(ZoneId),
                kind: meta("model").and_then(|k| index_of(&self.names.kinds, k)).map(KindId),
                cell: None,
                state: health.get(&e.service_id).copied().unwrap_or(EngineState::Gone),
                weight: 1.0,
                started_ns: started_ms.map(|ms| ms.saturating_mul(1_000_000)),
            };
            Some(Target { entry, address: SocketAddr::new(ip, e.service_port) })
        });
        Some(Change { kind: MembershipKind::Full, targets: targets.collect() })
    }
}
