//! Real routers on the list service of the hollow ones, to compare their figures.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use marljunction_testkit::hollow::fleet::HollowFleet;
use marljunction_testkit::hollow::usage;
use marljunction_testkit::process::{counter, Process};
use nix::sys::signal::Signal;
use serde::Serialize;
use serde_json::json;

use super::size::module_settings;
use super::{Run, ScaleError};

/// Timeout until all real routers have the list (s).
const LIST_TIMEOUT_S: u64 = 60;
/// Memory limit (MB) and socket limit in the configuration of a real router.
const MEMORY_MB: u32 = 512;
const SOCKETS: u32 = 256;
/// Interval between requests for counters while waiting for the list.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Resource usage of a real router.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RealUsage {
    /// Number of real routers.
    pub routers: u32,
    /// Number of real routers with the full list.
    #[serde(rename = "know_the_list")]
    pub with_full_list: u32,
    /// Mean processor time from the start of the process until all have the list (ms).
    pub start_processor_ms: f64,
    /// Mean share of a core in quiet time.
    pub quiet_core_share: f64,
    /// Mean resident memory with the list (MB).
    pub resident_mb: f64,
    /// Mean peak memory (MB).
    pub peak_mb: f64,
}

/// The real routers.
pub struct RealRouters {
    program: PathBuf,
    dir: PathBuf,
    first: u32,
    count: u32,
    processes: Vec<Process>,
    usage: RealUsage,
}

impl RealRouters {
    /// Prepares `count` routers, numbered from `first`, without starting them.
    ///
    /// # Errors
    /// If the directory for their files can't be created.
    pub fn new(run: &Run, first: u32, count: u32) -> Result<RealRouters, ScaleError> {
        let name = format!("marljunction-scale-{}-{first}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).map_err(|e| ScaleError::Real(format!("{}: {e}", dir.display())))?;
        let usage = RealUsage { routers: count, ..RealUsage::default() };
        Ok(RealRouters { program: run.router.clone(), dir, first, count, processes: Vec::new(), usage })
    }

    /// Number of running real routers.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// Starts all real routers without any state.
    ///
    /// # Errors
    /// If one can't be started.
    pub fn start(&mut self, fleet: &HollowFleet) -> Result<(), ScaleError> {
        for number in self.first..self.first + self.count {
            let process = self.start_one(number, fleet).map_err(ScaleError::Real)?;
            self.processes.push(process);
        }
        Ok(())
    }

    fn start_one(&self, number: u32, fleet: &HollowFleet) -> Result<Process, String> {
        let list =
            fleet.list_service_address(number).ok_or("the list service has no listener for the router")?;
        let settings: serde_json::Value =
            serde_json::from_str(&module_settings(self.first)).map_err(|e| e.to_string())?;
        let config = json!({
            "name": format!("real-{number}"), "listen": "127.0.0.1:0", "seed": format!("{:016x}", number),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "coordinator": list.to_string(), "known": {"index": 0, "updates": []}, "settings": settings,
        });
        let pace = fleet.pace();
        let operator = format!(
            "start: {{ budget: {}, routers: {}, spread: {}ms, longest: {}ms }}\n",
            pace.budget_per_s,
            pace.routers,
            pace.spread_ns / 1_000_000,
            pace.longest_ns / 1_000_000,
        );
        let write = |name: &str, text: &str| {
            let path = self.dir.join(format!("{name}-{number}"));
            std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display())).map(|()| path)
        };
        let environment = [
            ("ROUTER_CONFIG", write("config", &config.to_string())?),
            ("MARLJUNCTION_SETUP", write("operator", &operator)?),
        ];
        Process::start(&self.program, &environment, &self.dir.join(format!("log-{number}")))
    }

    /// Waits until all have a list of this many engines, and records how many have it.
    ///
    /// # Errors
    /// None: routers without the list at the timeout are only counted.
    pub fn await_list(&mut self, engines: u64, _fleet: &HollowFleet) -> Result<(), ScaleError> {
        let end = Instant::now() + Duration::from_secs(LIST_TIMEOUT_S);
        loop {
            self.processes.iter_mut().for_each(|process| process.signal(Signal::SIGUSR1));
            std::thread::sleep(POLL_INTERVAL);
            let has_list = |process: &&Process| counter(&process.counters(), "list_engines") == engines;
            self.usage.with_full_list = self.processes.iter().filter(has_list).count() as u32;
            if self.usage.with_full_list == self.count || Instant::now() >= end {
                break;
            }
        }
        let processor_ns = self.mean(|used| used.processor_ns);
        self.usage.start_processor_ms = processor_ns / 1e6;
        Ok(())
    }

    /// Waits for a time and records the processor time used in it.
    pub fn measure_quiet(&mut self, time: Duration) {
        let before = self.mean(|used| used.processor_ns);
        let started = Instant::now();
        std::thread::sleep(time);
        let spent = self.mean(|used| used.processor_ns) - before;
        self.usage.quiet_core_share = spent / 1e9 / started.elapsed().as_secs_f64();
    }

    /// Mean resource usage of a real router.
    pub fn usage(&mut self) -> RealUsage {
        self.usage.resident_mb = self.mean(|used| used.resident_kb) / 1024.0;
        self.usage.peak_mb = self.mean(|used| used.peak_kb) / 1024.0;
        self.usage
    }

    /// Sum of the peak memory of all real routers (KB).
    pub fn peak_kb(&self) -> u64 {
        self.processes.iter().map(|process| usage::of_process(process.id()).peak_kb).sum()
    }

    /// Mean of a value over all real routers.
    fn mean(&self, of: impl Fn(usage::Usage) -> u64) -> f64 {
        let all = self.processes.iter().map(|process| of(usage::of_process(process.id()))).sum::<u64>();
        all as f64 / self.processes.len().max(1) as f64
    }
}

impl Drop for RealRouters {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
