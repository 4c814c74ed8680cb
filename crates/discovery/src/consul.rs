//! Consul: the catalogue says which engines there are, the health API which of them are well. Both are asked
//! by blocking queries, which are answered once something has changed.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use log::{info, warn};
use serde::Deserialize;

use super::age::Age;
use super::{engine_id, taken, Change, Fault, Pacing, Target};
use marljunction_control::interface::*;
use marljunction_http1::chunks::Chunks;
use marljunction_http1::head::{read_head, Head};
use marljunction_net::{Net, Owner};
use marljunction_pacing::{Failure, Pace, Pacer};
use marljunction_settings::{index_of, Names};

/// How long a blocking query may wait for a change.
const WAIT_S: u64 = 10;
/// Silence after which a query is taken for lost (ns): Consul adds up to a sixteenth to the wait.
const SILENT_NS: u64 = (WAIT_S + 2) * 1_000_000_000;
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
    /// When the present query was asked.
    asked_ns: u64,
    /// A query is out; else the connection, where there is one, waits for the next.
    asking: bool,
    pacer: Pacer,
}

/// The two watches on one service.
pub struct Consul {
    address: SocketAddr,
    service: String,
    names: Names,
    watches: [Watch; 2],
    catalog: Option<Vec<CatalogEntry>>,
    health: Option<BTreeMap<String, EngineState>>,
    age: Age,
}

/// Each router is two callers.
fn for_watches(pace: Pace) -> [Pace; 2] {
    let callers = pace.callers.map(|n| n.saturating_mul(2));
    [0, 1].map(|watch| Pace { callers, me: pace.me.saturating_mul(2).saturating_add(watch), ..pace })
}

impl Watch {
    fn new(path: &'static str, pacer: Pacer) -> Self {
        #[rustfmt::skip]
        let watch = Watch {
            path, index: 0, conn: None, head: None, chunks: Chunks::default(), body: Vec::new(), asked_ns: 0,
            asking: false, pacer,
        };
        watch
    }

    /// The query came to nothing, and its connection is over.
    fn fail(&mut self, now: u64, net: &mut Net, failure: Failure) {
        self.drop_conn(net);
        self.pacer.failed(now, failure);
    }

    fn drop_conn(&mut self, net: &mut Net) {
        self.conn.take().into_iter().for_each(|conn| net.close(conn));
        self.asking = false;
    }

    fn ask(&mut self, now: u64, net: &mut Net, conn: u64, to: SocketAddr, service: &str) {
        (self.asked_ns, self.asking, self.head, self.chunks) = (now, true, None, Chunks::default());
        self.body.clear();
        let call = format!(
            "GET {}{service}?index={}&wait={WAIT_S}s HTTP/1.1\r\nHost: {to}\r\nAccept: application/json\r\n\r\n",
            self.path, self.index
        );
        net.send(conn, call.as_bytes());
    }

    /// The body of the answer, once it has come whole.
    fn read(&mut self, now: u64, net: &mut Net, conn: u64) -> Result<Option<Vec<u8>>, Fault> {
        if self.head.is_none() {
            let Some((head, size)) = read_head(net.input(conn))? else { return Ok(None) };
            net.consume(conn, size);
            taken(now, &head)?;
            self.pacer.taken(now);
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
            (false, None) => return Err(Fault::Broken("the body's length is not told".into())),
        };
        net.consume(conn, taken);
        if self.body.len() > ANSWER_MOST {
            return Err(Fault::Broken("the answer is too long".into()));
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
    pub fn new(now: u64, address: SocketAddr, service: String, names: Names, pacing: Pacing) -> Self {
        let [catalog, health] = for_watches(pacing.pace);
        let watches = [
            Watch::new("/v1/catalog/service/", Pacer::new(catalog, pacing.seed, now)),
            Watch::new("/v1/health/service/", Pacer::new(health, !pacing.seed, now)),
        ];
        let age = Age::new(now, pacing.stale_ns + SILENT_NS);
        Consul { address, service, names, watches, catalog: None, health: None, age }
    }

    /// Paces calls so from the next one on.
    pub fn set_pace(&mut self, pace: Pace, stale_ns: u64) {
        for (watch, pace) in self.watches.iter_mut().zip(for_watches(pace)) {
            watch.pacer.set_pace(pace);
        }
        self.age.set_stale(stale_ns + SILENT_NS);
    }

    /// How old the news is, to be told.
    pub fn age_mut(&mut self) -> &mut Age {
        &mut self.age
    }

    /// Calls made and turned away, and how old the news is.
    pub fn view(&self) -> ((u64, u64), &Age) {
        let [a, b] = [0, 1].map(|i| self.watches[i].pacer.calls());
        ((a.0 + b.0, a.1 + b.1), &self.age)
    }

    /// Asks where nothing is being asked and a query is due; gives up a query that is silent for too long.
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        for watch in &mut self.watches {
            if watch.asking && now > watch.asked_ns + SILENT_NS {
                watch.fail(now, net, Failure::Away);
            }
            if watch.asking || !watch.pacer.call(now) {
                continue;
            }
            match watch.conn.map_or_else(|| net.connect(self.address, Owner::Discovery), Ok) {
                Ok(conn) => {
                    watch.conn = Some(conn);
                    watch.ask(now, net, conn, self.address, &self.service);
                }
                Err(_) => watch.pacer.failed(now, Failure::Away),
            }
        }
        self.age.tick(now);
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
            watch.drop_conn(net);
            watch.index = 0;
            watch.pacer.restart(now);
        }
        self.tick(now, net);
    }

    /// Takes what has come in; gives the whole list where it has changed.
    pub fn ready(&mut self, now: u64, net: &mut Net, conn: u64) -> Option<Change> {
        let at = self.watches.iter().position(|w| w.conn == Some(conn))?;
        let ended = net.service(conn).ended.is_some();
        if !self.watches[at].asking {
            // Nothing is asked: it has closed, or says what nobody asked for.
            self.watches[at].drop_conn(net);
            return None;
        }
        let taken = match self.watches[at].read(now, net, conn) {
            Ok(Some(body)) => self.take(at, &body).map(|()| true).map_err(Fault::Broken),
            Ok(None) => Ok(false),
            Err(fault) => Err(fault),
        };
        let watch = &mut self.watches[at];
        match taken {
            Ok(true) => {
                (watch.asking, watch.head) = (false, None);
                watch.pacer.answered(now);
                if ended {
                    watch.drop_conn(net);
                }
                self.age.heard(now);
                self.tick(now, net);
                return self.list();
            }
            Ok(false) if ended => watch.fail(now, net, Failure::Away),
            Ok(false) => {}
            Err(Fault::TurnedAway(after_ns)) => watch.fail(now, net, Failure::TurnedAway { after_ns }),
            Err(Fault::Broken(why)) => {
                info!("consul: {why}");
                watch.fail(now, net, Failure::Away);
            }
        }
        None
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
