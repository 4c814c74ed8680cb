//! An engine's inside: queries that share its cores. Pure; time is passed in.

use std::collections::{BTreeMap, VecDeque};

/// Parts of short cores that the four priorities get.
const RANKS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// Threads a core beyond which less work is done in all, what is left of it for each further one, and the least.
const KNEE: f64 = 2.0;
const BEYOND: f64 = 0.12;
const LEAST: f64 = 0.5;
/// A query that nobody asks for in this time is ended (ns).
const FORGOTTEN_NS: u64 = 2_000_000_000;

/// A query that runs.
#[derive(Clone, Debug)]
struct RunningQuery {
    threads: f64,
    /// Work that is left (core-nanoseconds).
    left: f64,
    work: f64,
    rank: usize,
    /// The data set that it holds, and whether it waits for another that does.
    holds: Option<u64>,
    waits: bool,
    asked_ns: u64,
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
    jobs: BTreeMap<String, RunningQuery>,
    done: BTreeMap<String, u64>,
    now: u64,
    busy: f64,
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
        self.jobs.len()
    }

    /// Share of its cores that was busy of late.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// Whether it turns further queries away.
    pub fn is_full(&self) -> bool {
        self.jobs.len() as f64 >= 8.0 * self.cores
    }

    /// Starts a query of so much work (ns) on so many threads.
    pub fn start(&mut self, now: u64, name: &str, work: f64, threads: f64, rank: usize, holds: Option<u64>) {
        self.pass(now);
        let waits = holds.is_some() && self.jobs.values().any(|j| j.holds == holds);
        let rank = rank.min(3);
        let job = RunningQuery { threads, left: work, work, rank, holds, waits, asked_ns: now };
        self.jobs.insert(name.to_owned(), job);
    }

    /// What is known of a query; it is asked for by this.
    pub fn poll(&mut self, now: u64, name: &str) -> QueryStatus {
        self.pass(now);
        match self.jobs.get_mut(name) {
            Some(job) => {
                job.asked_ns = now;
                QueryStatus::Running(1.0 - job.left / job.work.max(1.0))
            }
            None if self.done.contains_key(name) => QueryStatus::Done,
            None => QueryStatus::Unknown,
        }
    }

    /// Changes a query's priority.
    pub fn rank(&mut self, now: u64, name: &str, rank: usize) {
        self.pass(now);
        if let Some(job) = self.jobs.get_mut(name) {
            job.rank = rank.min(3);
        }
    }

    /// Ends a query.
    pub fn cancel(&mut self, now: u64, name: &str) {
        self.pass(now);
        self.jobs.remove(name);
        self.let_on();
    }

    /// When the next query ends, if nothing else happens (ns).
    pub fn next_end_ns(&self) -> Option<u64> {
        let rates = self.rates();
        let ends = self.jobs.values().zip(&rates).filter(|(_, rate)| **rate > 0.0);
        ends.map(|(job, rate)| self.now + (job.left / rate).ceil() as u64 + 1).min()
    }

    /// Passes time; gives the queries that ended.
    pub fn pass(&mut self, now: u64) -> usize {
        let mut ended = 0;
        if now <= self.now {
            return ended;
        }
        while let Some(end) = self.next_end_ns().filter(|end| *end <= now) {
            self.run(end);
            ended += self.settle();
        }
        self.run(now);
        let before = self.jobs.len();
        self.jobs.retain(|_, job| job.asked_ns + FORGOTTEN_NS >= now);
        if self.jobs.len() < before {
            self.let_on();
        }
        self.done.retain(|_, at| *at + 2 * FORGOTTEN_NS >= now);
        ended
    }

    fn run(&mut self, now: u64) {
        let span = now.saturating_sub(self.now) as f64;
        let rates = self.rates();
        let used: f64 = rates.iter().sum::<f64>() / self.cores;
        self.busy += (used.min(1.0) - self.busy) * (1.0 - (-span / 200e6).exp());
        for (job, rate) in self.jobs.values_mut().zip(rates) {
            job.left = (job.left - rate * span).max(0.0);
        }
        self.now = self.now.max(now);
    }

    fn settle(&mut self) -> usize {
        let over: Vec<String> =
            self.jobs.iter().filter(|(_, j)| j.left <= 1.0 && !j.waits).map(|(n, _)| n.clone()).collect();
        for name in &over {
            self.jobs.remove(name);
            self.done.insert(name.clone(), self.now);
        }
        self.let_on();
        over.len()
    }

    /// Lets loads on whose data set nobody holds any more.
    fn let_on(&mut self) {
        let query_count: Vec<Option<u64>> =
            self.jobs.values().filter(|j| !j.waits && j.holds.is_some()).map(|j| j.holds).collect();
        let mut query_count = query_count;
        for job in self.jobs.values_mut().filter(|j| j.waits) {
            if !query_count.contains(&job.holds) {
                job.waits = false;
                query_count.push(job.holds);
            }
        }
    }

    /// Cores that each query has: by priority, no more than its threads, what one can't use going to others.
    fn rates(&self) -> Vec<f64> {
        let jobs: Vec<&RunningQuery> = self.jobs.values().collect();
        let wanted: Vec<f64> = jobs.iter().map(|j| if j.waits { 0.0 } else { j.threads }).collect();
        let threads: f64 = wanted.iter().sum();
        let beyond = (threads / self.cores.max(1e-9) - KNEE).max(0.0);
        let speed = (1.0 - BEYOND * beyond).max(LEAST);
        if threads <= self.cores {
            return wanted;
        }
        let mut rates = vec![0.0; jobs.len()];
        let mut left = self.cores;
        for _ in 0..6 {
            let open = |i: &usize| rates[*i] < wanted[*i] - 1e-9;
            let open: Vec<usize> = (0..jobs.len()).filter(open).collect();
            let weights: f64 = open.iter().map(|i| RANKS[jobs[*i].rank] * wanted[*i]).sum();
            if open.is_empty() || left <= 1e-9 || weights <= 0.0 {
                break;
            }
            let mut given = 0.0;
            for i in open {
                let part = (left * RANKS[jobs[i].rank] * wanted[i] / weights).min(wanted[i] - rates[i]);
                rates[i] += part;
                given += part;
            }
            left -= given;
        }
        rates.into_iter().map(|r| r * speed).collect()
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
    pub fn push(&mut self, now: u64, work: f64) -> bool {
        if now >= self.started_ns + self.warmup_ns {
            return true;
        }
        self.window.push_back((now, work));
        self.sum += work;
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
