//! Open-loop simulated clients: arrivals, work and estimates are random and do not depend on the
//! responses.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use hdrhistogram::Histogram;
use marljunction_net::{Net, Owner};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rmpv::decode::read_value;
use rmpv::Value;

const MAX_CALLS_PER_CONNECTION: usize = 32;
const MAX_CONNECTIONS: usize = 100;
const MS: f64 = 1e6;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name of the class.
    pub name: &'static str,
    /// Share of a tenant's requests.
    pub share: f64,
    /// Mean work.
    pub work_ms: f64,
    /// Standard deviation of the logarithm of the work.
    pub spread: f64,
    /// Threads per query.
    pub threads: f64,
    /// Target latency without its stretch.
    pub target_latency_ms: f64,
    /// Added to the target latency for each millisecond of running time: work divided by threads.
    pub target_latency_stretch: f64,
    /// The client gives up after this time.
    pub deadline_ms: f64,
    /// Worth of an answer within the target latency.
    pub worth: f64,
    /// Share of the worth earned by a late answer.
    pub late_worth: f64,
    /// Whether the query locks its data set and must run at most once.
    pub load: bool,
}

/// A source of requests.
#[derive(Clone, Debug)]
pub struct Source {
    /// Name of the tenant.
    pub tenant: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// Number of clients; each request is assigned to a random one.
    pub clients: u64,
    /// Ratio of the client's estimate to the actual work.
    pub estimate_ratio: f64,
}

/// Results of a source's requests in one phase.
#[derive(Clone, Debug, serde::Serialize)]
pub struct RequestStats {
    /// All requests, returns included.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Requests without returns.
    pub first: u64,
    /// Worth of the requests, without returns.
    #[serde(rename = "worth_asked")]
    pub worth_requested: f64,
    /// Worth of the answers.
    pub worth: f64,
    /// Successful answers.
    pub served: u64,
    /// Successful answers within the target latency.
    pub in_time: u64,
    /// Requests rejected with a `Backoff`.
    pub refused: u64,
    /// Requests that failed otherwise.
    pub failed: u64,
    /// Requests without an answer before their deadline.
    pub unanswered: u64,
    /// Answers to calls that are not pending, such as a second answer.
    pub twice: u64,
    /// Returns with a reservation: after a backoff below the maximum.
    pub returned: u64,
    /// Returns with a reservation that were served.
    pub returned_served: u64,
    /// Median latency of successful answers.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    #[serde(skip)]
    latencies: Histogram<u64>,
}

impl Default for RequestStats {
    fn default() -> Self {
        RequestStats {
            requests: 0,
            first: 0,
            worth_requested: 0.0,
            worth: 0.0,
            served: 0,
            in_time: 0,
            refused: 0,
            failed: 0,
            unanswered: 0,
            twice: 0,
            returned: 0,
            returned_served: 0,
            p50_ms: 0.0,
            p99_ms: 0.0,
            latencies: Histogram::new_with_bounds(1, 120_000, 2).expect("valid histogram bounds"),
        }
    }
}

#[derive(Clone, Debug)]
struct PlannedRequest {
    source: usize,
    class: usize,
    client: u64,
    work_ms: f64,
    estimate_ms: f64,
    data_set: u64,
    /// Whether the request is a return, and with a reservation.
    return_reserved: Option<bool>,
    phase: usize,
}

struct PendingCall {
    request: PlannedRequest,
    sent_ns: u64,
    deadline_ns: u64,
}

#[derive(Default)]
struct Conn {
    open: HashMap<u32, PendingCall>,
    next: u32,
}

/// All clients of one router.
pub struct LoadGenerator {
    to: SocketAddr,
    classes: Vec<Class>,
    sources: Vec<Source>,
    next_ns: Vec<u64>,
    /// Random generators by source, so that requests do not depend on the router's answers.
    source_rngs: Vec<StdRng>,
    rng: StdRng,
    seed: u64,
    conns: BTreeMap<u64, Conn>,
    returns: BTreeMap<(u64, u64), PlannedRequest>,
    max_retry_after_ms: u64,
    /// Share of rejected requests without a reservation that return.
    return_share: f64,
    sequence: u64,
    phase: usize,
    /// Results by phase and source.
    pub tallies: Vec<Vec<RequestStats>>,
    /// Index of the router, written into statements.
    pub router: usize,
    /// Time of the first answer.
    pub first_answer_ns: Option<u64>,
    /// Calls that were pending when the router was killed or paused.
    pub excluded_calls: u64,
    router_is_up: bool,
    /// Sends no new requests until the next phase.
    stopped: bool,
}

impl LoadGenerator {
    /// Clients of the router at `to`. `max_retry_after_ms` is the largest `Retry-After` of the
    /// settings.
    pub fn new(
        to: SocketAddr,
        classes: Vec<Class>,
        max_retry_after_ms: u64,
        return_share: f64,
        seed: u64,
    ) -> Self {
        LoadGenerator {
            to,
            classes,
            sources: Vec::new(),
            next_ns: Vec::new(),
            source_rngs: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            seed,
            conns: BTreeMap::new(),
            returns: BTreeMap::new(),
            max_retry_after_ms,
            return_share,
            sequence: 0,
            phase: 0,
            tallies: Vec::new(),
            router: 0,
            first_answer_ns: None,
            excluded_calls: 0,
            router_is_up: true,
            stopped: false,
        }
    }

    /// Starts a phase with these sources. Pending calls and returns count for the phase they began
    /// in.
    pub fn start_phase(&mut self, now: u64, sources: Vec<Source>) {
        self.phase = self.tallies.len();
        self.tallies.push(vec![RequestStats::default(); sources.len()]);
        self.sources = sources;
        let seed = |i: usize| self.seed.wrapping_mul(1_000_003) ^ ((self.phase as u64) << 32) ^ i as u64;
        self.source_rngs = (0..self.sources.len()).map(|i| StdRng::seed_from_u64(seed(i))).collect();
        self.stopped = false;
        self.next_ns = (0..self.sources.len()).map(|i| now + self.gap_ns(i)).collect();
    }

    /// The router is down: drops pending calls and sends nothing until
    /// [`LoadGenerator::router_up`].
    pub fn router_down(&mut self, net: &mut Net) {
        (self.router_is_up, self.first_answer_ns) = (false, None);
        for (conn, calls) in std::mem::take(&mut self.conns) {
            net.close(conn);
            self.excluded_calls += calls.open.len() as u64;
        }
        self.returns.clear();
    }

    /// The router is up at this address.
    pub fn router_up(&mut self, now: u64, to: SocketAddr) {
        (self.to, self.router_is_up) = (to, true);
        if !self.stopped {
            self.next_ns = (0..self.sources.len()).map(|i| now + self.gap_ns(i)).collect();
        }
    }

    /// Sends no new requests, except pending returns.
    pub fn stop_sending(&mut self) {
        self.stopped = true;
        self.next_ns = vec![u64::MAX; self.sources.len()];
    }

    /// Whether a connection belongs to this generator.
    pub fn owns(&self, conn: u64) -> bool {
        self.conns.contains_key(&conn)
    }

    /// Number of pending calls and returns.
    pub fn open(&self) -> usize {
        self.conns.values().map(|c| c.open.len()).sum::<usize>() + self.returns.len()
    }

    fn gap_ns(&mut self, source: usize) -> u64 {
        let rate = self.sources[source].rate.max(1e-9);
        let gap = Exp::new(rate).map_or(1.0, |exp| exp.sample(&mut self.source_rngs[source]));
        (gap.min(3_600.0) * 1e9) as u64
    }

    /// Time of the next request.
    pub fn next_due_ns(&self) -> u64 {
        let first = self.next_ns.iter().copied().min().filter(|_| self.router_is_up).unwrap_or(u64::MAX);
        first.min(self.returns.keys().next().map_or(u64::MAX, |(at, _)| *at))
    }

    fn draw_request(&mut self, source: usize) -> PlannedRequest {
        let mut pick =
            self.source_rngs[source].gen::<f64>() * self.classes.iter().map(|c| c.share).sum::<f64>();
        let class = self.classes.iter().position(|c| {
            pick -= c.share;
            pick <= 0.0
        });
        let class = class.unwrap_or(0);
        let (mean, spread) = (self.classes[class].work_ms, self.classes[class].spread);
        // Mean of a log-normal distribution: exp(mu + spread^2 / 2).
        let mu = mean.ln() - spread * spread / 2.0;
        let work_ms = LogNormal::new(mu, spread)
            .map_or(mean, |d| d.sample(&mut self.source_rngs[source]))
            .min(mean * 10.0);
        let estimate_error =
            LogNormal::new(0.0, 0.3).map_or(1.0, |d| d.sample(&mut self.source_rngs[source]));
        let client = self.source_rngs[source].gen_range(0..self.sources[source].clients.max(1));
        let estimate_ms = (work_ms * estimate_error * self.sources[source].estimate_ratio).max(0.1);
        let data_set = self.source_rngs[source].gen_range(0..64);
        PlannedRequest {
            source,
            class,
            client,
            work_ms,
            estimate_ms,
            data_set,
            return_reserved: None,
            phase: self.phase,
        }
    }

    /// Sends the requests that are due.
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        if !self.router_is_up {
            return;
        }
        for source in 0..self.sources.len() {
            while self.next_ns[source] <= now {
                let request = self.draw_request(source);
                let tally = &mut self.tallies[request.phase][source];
                tally.first += 1;
                tally.worth_requested += self.classes[request.class].worth;
                self.next_ns[source] += self.gap_ns(source);
                self.send_request(now, net, request);
            }
        }
        while let Some(entry) = self.returns.first_entry().filter(|e| e.key().0 <= now) {
            let request = entry.remove();
            self.send_request(now, net, request);
        }
        let tallies = &mut self.tallies;
        for conn in self.conns.values_mut() {
            conn.open.retain(|_, call| {
                let expired = now > call.deadline_ns;
                tallies[call.request.phase][call.request.source].unanswered += u64::from(expired);
                !expired
            });
        }
    }

    fn send_request(&mut self, now: u64, net: &mut Net, request: PlannedRequest) {
        let free =
            self.conns.iter().find(|(_, c)| c.open.len() < MAX_CALLS_PER_CONNECTION).map(|(id, _)| *id);
        let tally = &mut self.tallies[request.phase][request.source];
        tally.requests += 1;
        tally.returned += u64::from(request.return_reserved == Some(true));
        let conn = match free {
            Some(conn) => conn,
            None if self.conns.len() < MAX_CONNECTIONS => match net.connect(self.to, Owner::Msgpack) {
                Ok(conn) => {
                    self.conns.insert(conn, Conn { next: 1, ..Conn::default() });
                    conn
                }
                Err(_) => return tally.unanswered += 1,
            },
            None => return tally.unanswered += 1,
        };
        let (class, source) =
            (&self.classes[request.class], &self.sources[request.source.min(self.sources.len() - 1)]);
        self.sequence += 1;
        let holds = if class.load { format!(" holds={}", request.data_set) } else { String::new() };
        let statement = format!(
            "select a, b, c from sales_{}.orders /* work={:.3} threads={:.0} router={}{holds} */",
            request.data_set, request.work_ms, class.threads, self.router
        );
        // IDs are unique over the clients of all routers.
        let sequence = (self.router as u64) << 40 | self.sequence;
        let rid = format!("{:016x}", sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let fields = [
            ("rid", rid),
            ("budget", format!("{:.0}", class.deadline_ms)),
            ("acct", source.tenant.to_owned()),
            ("est", format!("{:.2}", request.estimate_ms)),
            ("who", format!("{}-{}", source.tenant, request.client)),
        ];
        let fields = fields.into_iter().map(|(k, v)| (Value::from(k), Value::from(v))).collect();
        let Some(connection) = self.conns.get_mut(&conn) else { return };
        let id = connection.next;
        connection.next += 1;
        let deadline_ns = now + (class.deadline_ms * MS) as u64 + 50_000_000;
        let message = Value::Array(vec![
            0.into(),
            id.into(),
            class.name.into(),
            Value::Array(vec![Value::Map(fields), Value::Binary(statement.into_bytes())]),
        ]);
        connection.open.insert(id, PendingCall { request, sent_ns: now, deadline_ns });
        let mut bytes = Vec::new();
        // Writing to a vector cannot fail.
        let _ = rmpv::encode::write_value(&mut bytes, &message);
        net.send(conn, &bytes);
    }

    /// Processes the input of a connection.
    pub fn ready(&mut self, now: u64, net: &mut Net, conn: u64) {
        let ended = net.service(conn).ended.is_some();
        loop {
            let input = net.input(conn);
            let mut rest = input;
            let Ok(value) = read_value(&mut rest) else { break };
            let size = input.len() - rest.len();
            net.consume(conn, size);
            self.handle_answer(now, conn, &value);
        }
        if ended {
            net.close(conn);
            for (_, call) in self.conns.remove(&conn).into_iter().flat_map(|c| c.open) {
                self.tallies[call.request.phase][call.request.source].unanswered += 1;
            }
        }
    }

    fn handle_answer(&mut self, now: u64, conn: u64, value: &Value) {
        let Some(parts) = value.as_array().filter(|p| p.len() == 4) else { return };
        let id = parts[1].as_u64().unwrap_or(0) as u32;
        let Some(call) = self.conns.get_mut(&conn).and_then(|c| c.open.remove(&id)) else {
            if let Some(tally) = self.tallies.get_mut(self.phase).and_then(|t| t.first_mut()) {
                tally.twice += 1;
            }
            return;
        };
        self.first_answer_ns.get_or_insert(now);
        let request = call.request;
        let class = &self.classes[request.class];
        let latency_ms = (now - call.sent_ns) as f64 / MS;
        let tally = &mut self.tallies[request.phase][request.source];
        if parts[2].is_nil() {
            let target_ms =
                class.target_latency_ms + class.target_latency_stretch * request.work_ms / class.threads;
            let in_time = latency_ms <= target_ms;
            tally.served += 1;
            tally.in_time += u64::from(in_time);
            tally.worth += class.worth * if in_time { 1.0 } else { class.late_worth };
            tally.returned_served += u64::from(request.return_reserved == Some(true));
            // The deadline of the class keeps the latency within the histogram's bounds.
            let _ = tally.latencies.record(latency_ms.ceil() as u64);
            return;
        }
        let error = parts[2].as_array().and_then(|e| e.first()).and_then(Value::as_str);
        if error != Some("Backoff") {
            tally.failed += 1;
            return;
        }
        tally.refused += 1;
        let fields = parts[2].as_array().and_then(|e| e.get(1)).and_then(Value::as_map);
        let backoff = fields.and_then(|f| f.iter().find(|(k, _)| k.as_str() == Some("backoff")));
        let ms: u64 = backoff.and_then(|(_, v)| v.as_str()?.parse().ok()).unwrap_or(100);
        // A request returns at most once, at the end of its backoff.
        let reserved = ms < self.max_retry_after_ms;
        if request.return_reserved.is_none() && (reserved || self.rng.gen::<f64>() < self.return_share) {
            self.sequence += 1;
            let key = (now + ms * 1_000_000, self.sequence);
            self.returns.insert(key, PlannedRequest { return_reserved: Some(reserved), ..request });
        }
    }

    /// Computes the latency percentiles.
    pub fn finish(&mut self) {
        for tally in self.tallies.iter_mut().flatten() {
            tally.p50_ms = tally.latencies.value_at_quantile(0.5) as f64;
            tally.p99_ms = tally.latencies.value_at_quantile(0.99) as f64;
        }
    }
}
