//! Simulated CPU of a stand-in engine, with queries that share its cores by priority. Performs no
//! I/O; the caller passes the time.

use std::collections::{BTreeMap, VecDeque};

/// Relative CPU weights of the four priorities.
const PRIORITY_WEIGHTS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// Above this number of threads per core, total throughput drops, by the given share for each
/// further thread per core, down to the minimum.
const MAX_EFFICIENT_THREADS_PER_CORE: f64 = 2.0;
const EFFICIENCY_LOSS_PER_THREAD: f64 = 0.12;
const MIN_EFFICIENCY: f64 = 0.5;
/// A query that is not polled for this long is cancelled.
const POLL_TIMEOUT_NS: u64 = 2_000_000_000;

#[derive(Clone, Debug)]
struct RunningQuery {
    threads: f64,
    /// Remaining work in core-nanoseconds.
    remaining: f64,
    total_work: f64,
    priority: usize,
    /// Data set that the query locks, if any, and whether it waits for another query's lock on it.
    data_set: Option<u64>,
    blocked: bool,
    last_polled_ns: u64,
}

/// Status of a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueryStatus {
    /// Running, with the completed share of its work.
    Running(f64),
    /// Completed successfully.
    Done,
    /// Not known: never started, cancelled, or completed long ago.
    Unknown,
}

/// CPU and queries of one engine.
#[derive(Debug, Default)]
pub struct CpuModel {
    cores: f64,
    queries: BTreeMap<String, RunningQuery>,
    completed: BTreeMap<String, u64>,
    now: u64,
    utilization: f64,
}

impl CpuModel {
    /// An idle engine.
    pub fn new(now: u64, cores: f64) -> Self {
        CpuModel { cores, now, ..CpuModel::default() }
    }

    /// Sets the number of cores.
    pub fn set_cores(&mut self, cores: f64) {
        self.cores = cores;
    }

    /// Number of running queries.
    pub fn query_count(&self) -> usize {
        self.queries.len()
    }

    /// Moving average of the busy share of the cores.
    pub fn utilization(&self) -> f64 {
        self.utilization
    }

    /// Whether further queries are rejected.
    pub fn is_full(&self) -> bool {
        self.queries.len() as f64 >= 8.0 * self.cores
    }

    /// Starts a query with `total_work` core-nanoseconds of work.
    pub fn start(
        &mut self,
        now: u64,
        name: &str,
        total_work: f64,
        threads: f64,
        priority: usize,
        data_set: Option<u64>,
    ) {
        self.advance(now);
        let blocked = data_set.is_some() && self.queries.values().any(|j| j.data_set == data_set);
        let priority = priority.min(3);
        let query = RunningQuery {
            threads,
            remaining: total_work,
            total_work,
            priority,
            data_set,
            blocked,
            last_polled_ns: now,
        };
        self.queries.insert(name.to_owned(), query);
    }

    /// Returns the status of a query and restarts its poll timeout.
    pub fn poll(&mut self, now: u64, name: &str) -> QueryStatus {
        self.advance(now);
        match self.queries.get_mut(name) {
            Some(query) => {
                query.last_polled_ns = now;
                QueryStatus::Running(1.0 - query.remaining / query.total_work.max(1.0))
            }
            None if self.completed.contains_key(name) => QueryStatus::Done,
            None => QueryStatus::Unknown,
        }
    }

    /// Sets the priority of a query, at most 3.
    pub fn set_priority(&mut self, now: u64, name: &str, priority: usize) {
        self.advance(now);
        if let Some(query) = self.queries.get_mut(name) {
            query.priority = priority.min(3);
        }
    }

    /// Cancels a query.
    pub fn cancel(&mut self, now: u64, name: &str) {
        self.advance(now);
        self.queries.remove(name);
        self.unblock_waiting();
    }

    /// Time at which the next query completes if nothing else changes.
    pub fn next_end_ns(&self) -> Option<u64> {
        let rates = self.rates();
        let ends = self.queries.values().zip(&rates).filter(|(_, rate)| **rate > 0.0);
        ends.map(|(query, rate)| self.now + (query.remaining / rate).ceil() as u64 + 1).min()
    }

    /// Advances the time to `now`. Returns the number of queries that completed.
    pub fn advance(&mut self, now: u64) -> usize {
        let mut ended = 0;
        if now <= self.now {
            return ended;
        }
        while let Some(end) = self.next_end_ns().filter(|end| *end <= now) {
            self.run_to(end);
            ended += self.complete_finished();
        }
        self.run_to(now);
        let before = self.queries.len();
        self.queries.retain(|_, query| query.last_polled_ns + POLL_TIMEOUT_NS >= now);
        if self.queries.len() < before {
            self.unblock_waiting();
        }
        self.completed.retain(|_, at| *at + 2 * POLL_TIMEOUT_NS >= now);
        ended
    }

    fn run_to(&mut self, now: u64) {
        let span = now.saturating_sub(self.now) as f64;
        let rates = self.rates();
        let used: f64 = rates.iter().sum::<f64>() / self.cores;
        self.utilization += (used.min(1.0) - self.utilization) * (1.0 - (-span / 200e6).exp());
        for (query, rate) in self.queries.values_mut().zip(rates) {
            query.remaining = (query.remaining - rate * span).max(0.0);
        }
        self.now = self.now.max(now);
    }

    fn complete_finished(&mut self) -> usize {
        let finished: Vec<String> = self
            .queries
            .iter()
            .filter(|(_, j)| j.remaining <= 1.0 && !j.blocked)
            .map(|(n, _)| n.clone())
            .collect();
        for name in &finished {
            self.queries.remove(name);
            self.completed.insert(name.clone(), self.now);
        }
        self.unblock_waiting();
        finished.len()
    }

    /// Unblocks queries whose data set is no longer locked.
    fn unblock_waiting(&mut self) {
        let locked: Vec<Option<u64>> = self
            .queries
            .values()
            .filter(|j| !j.blocked && j.data_set.is_some())
            .map(|j| j.data_set)
            .collect();
        let mut locked = locked;
        for query in self.queries.values_mut().filter(|j| j.blocked) {
            if !locked.contains(&query.data_set) {
                query.blocked = false;
                locked.push(query.data_set);
            }
        }
    }

    /// Cores given to each query: by priority, at most one per thread. Shares that a query cannot
    /// use go to the others.
    fn rates(&self) -> Vec<f64> {
        let queries: Vec<&RunningQuery> = self.queries.values().collect();
        let demand: Vec<f64> = queries.iter().map(|j| if j.blocked { 0.0 } else { j.threads }).collect();
        let threads: f64 = demand.iter().sum();
        let excess_threads = (threads / self.cores.max(1e-9) - MAX_EFFICIENT_THREADS_PER_CORE).max(0.0);
        let efficiency = (1.0 - EFFICIENCY_LOSS_PER_THREAD * excess_threads).max(MIN_EFFICIENCY);
        if threads <= self.cores {
            return demand;
        }
        let mut rates = vec![0.0; queries.len()];
        let mut remaining = self.cores;
        for _ in 0..6 {
            let unsatisfied = |i: &usize| rates[*i] < demand[*i] - 1e-9;
            let unsatisfied: Vec<usize> = (0..queries.len()).filter(unsatisfied).collect();
            let weights: f64 =
                unsatisfied.iter().map(|i| PRIORITY_WEIGHTS[queries[*i].priority] * demand[*i]).sum();
            if unsatisfied.is_empty() || remaining <= 1e-9 || weights <= 0.0 {
                break;
            }
            let mut allocated = 0.0;
            for i in unsatisfied {
                let share = (remaining * PRIORITY_WEIGHTS[queries[i].priority] * demand[i] / weights)
                    .min(demand[i] - rates[i]);
                rates[i] += share;
                allocated += share;
            }
            remaining -= allocated;
        }
        rates.into_iter().map(|r| r * efficiency).collect()
    }
}

/// Capacity of an engine during warmup. The engine crashes when the work sent within a window
/// exceeds a multiple of its current capacity.
#[derive(Clone, Debug)]
pub struct ColdStart {
    /// Start of the engine.
    pub started_ns: u64,
    /// Cores after warmup.
    pub cores: f64,
    /// Share of the cores available at the start; grows linearly to 1 over `warmup_ns`.
    pub initial_capacity: f64,
    /// Warmup time.
    pub warmup_ns: u64,
    /// Multiple of the capacity that crashes the engine if it is sent within one window.
    pub overload_multiple: f64,
    /// Window of the overload limit.
    pub overload_window_ns: u64,
    window: VecDeque<(u64, f64)>,
    sum: f64,
    /// Largest work in a window relative to the limit.
    pub peak_overload: f64,
}

impl ColdStart {
    /// An engine started at `started_ns`. The routers' settings hold the same values.
    pub fn new(
        started_ns: u64,
        cores: f64,
        initial_capacity: f64,
        warmup_ns: u64,
        overload_multiple: f64,
        overload_window_ns: u64,
    ) -> ColdStart {
        let window = VecDeque::new();
        ColdStart {
            started_ns,
            cores,
            initial_capacity,
            warmup_ns,
            overload_multiple,
            overload_window_ns,
            window,
            sum: 0.0,
            peak_overload: 0.0,
        }
    }

    /// Current capacity in cores.
    pub fn capacity(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.started_ns) as f64 / self.warmup_ns as f64;
        self.cores * (self.initial_capacity + (1.0 - self.initial_capacity) * age.min(1.0))
    }

    /// Records work in core-nanoseconds. Returns false if it crashes the engine.
    pub fn add_work(&mut self, now: u64, total_work: f64) -> bool {
        if now >= self.started_ns + self.warmup_ns {
            return true;
        }
        self.window.push_back((now, total_work));
        self.sum += total_work;
        while let Some((_, old)) =
            self.window.front().copied().filter(|(at, _)| at + self.overload_window_ns < now)
        {
            self.window.pop_front();
            self.sum -= old;
        }
        let limit = self.overload_multiple * self.capacity(now) * self.overload_window_ns as f64;
        self.peak_overload = self.peak_overload.max(self.sum / limit);
        self.sum <= limit
    }
}
