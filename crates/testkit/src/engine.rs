//! An engine's inside: queries that share its cores. Pure; time is passed in.

use std::collections::{BTreeMap, VecDeque};

/// Parts of short cores that the four priorities get.
const PRIORITY_WEIGHTS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// Threads a core beyond which less work is done in all, what is left of it for each further one, and the least.
const MAX_EFFICIENT_THREADS_PER_CORE: f64 = 2.0;
const EFFICIENCY_LOSS_PER_THREAD: f64 = 0.12;
const MIN_EFFICIENCY: f64 = 0.5;
/// A query that nobody asks for in this time is ended (ns).
const POLL_TIMEOUT_NS: u64 = 2_000_000_000;

/// A query that runs.
#[derive(Clone, Debug)]
struct RunningQuery {
    threads: f64,
    /// Work that is left (core-nanoseconds).
    remaining: f64,
    total_work: f64,
    priority: usize,
    /// The data set that it holds, and whether it waits for another that does.
    data_set: Option<u64>,
    blocked: bool,
    last_polled_ns: u64,
}

/// What the engine knows of a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueryStatus {
    /// It runs; the share that is done.
    Running(f64),
    /// It has ended well.
    Done,
    /// The engine does not know it.
    Unknown,
}

/// The queries of one engine.
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

    /// It has so many cores from here on.
    pub fn set_cores(&mut self, cores: f64) {
        self.cores = cores;
    }

    /// Queries that it holds.
    pub fn query_count(&self) -> usize {
        self.queries.len()
    }

    /// Share of its cores that was busy of late.
    pub fn utilization(&self) -> f64 {
        self.utilization
    }

    /// Whether it turns further queries away.
    pub fn is_full(&self) -> bool {
        self.queries.len() as f64 >= 8.0 * self.cores
    }

    /// Starts a query of so much work (ns) on so many threads.
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

    /// What is known of a query; it is asked for by this.
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

    /// Changes a query's priority.
    pub fn set_priority(&mut self, now: u64, name: &str, priority: usize) {
        self.advance(now);
        if let Some(query) = self.queries.get_mut(name) {
            query.priority = priority.min(3);
        }
    }

    /// Ends a query.
    pub fn cancel(&mut self, now: u64, name: &str) {
        self.advance(now);
        self.queries.remove(name);
        self.unblock_waiting();
    }

    /// When the next query ends, if nothing else happens (ns).
    pub fn next_end_ns(&self) -> Option<u64> {
        let rates = self.rates();
        let ends = self.queries.values().zip(&rates).filter(|(_, rate)| **rate > 0.0);
        ends.map(|(query, rate)| self.now + (query.remaining / rate).ceil() as u64 + 1).min()
    }

    /// Passes time; gives the queries that ended.
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

    /// Lets loads on whose data set nobody holds any more.
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

    /// Cores that each query has: by priority, no more than its threads, what one can't use going to others.
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

/// What a cold engine bears: sent more than a multiple of what it can do at the moment, for a while, it falls over.
#[derive(Clone, Debug)]
pub struct ColdStart {
    /// When it started (ns).
    pub started_ns: u64,
    /// Its cores once it is warm.
    pub cores: f64,
    /// Part of its capacity that it starts with (share), and when it has all of it (ns).
    pub initial_capacity: f64,
    /// Time until it is warm (ns).
    pub warmup_ns: u64,
    /// The multiple of its capacity that tips it over (ratio), sent within this time (ns).
    pub overload_multiple: f64,
    /// Window of that (ns).
    pub overload_window_ns: u64,
    window: VecDeque<(u64, f64)>,
    sum: f64,
    /// Most work sent in one window over what tips it (ratio).
    pub peak_overload: f64,
}

impl ColdStart {
    /// An engine that started at `since_ns`, with the figures that its routers' settings hold too.
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

    /// Cores that it is worth now.
    pub fn capacity(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.started_ns) as f64 / self.warmup_ns as f64;
        self.cores * (self.initial_capacity + (1.0 - self.initial_capacity) * age.min(1.0))
    }

    /// Takes work (core-ns); false where it falls over by it.
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
