//! Cost of the state that the processes of an upgrade share: time per exchange by number of open
//! serial requests, alone and beside another process, and without sharing as the baseline.

use std::path::{Path, PathBuf};
use std::time::Instant;

use marljunction_control::interface::RequestId;
use marljunction_core::serial::SerialChange;
use marljunction_handover::{Machine, SharedState};
use serde_json::{json, Value};

const MS: u64 = 1_000_000;
/// Time by which the attempts of all requests are over.
const OVER_BY_NS: u64 = u64::MAX / 2;
/// Numbers of open serial requests of each process.
const OPEN_REQUESTS: [u64; 3] = [0, 30, 1_000];

/// A directory that is removed when this value is dropped.
struct Directory(PathBuf);

impl Drop for Directory {
    fn drop(&mut self) {
        // What is left behind is a few files in the temporary directory.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn open(directory: &Path, pid: u32) -> Result<SharedState, String> {
    let address = "127.0.0.1:4100".parse().map_err(|e| format!("address: {e}"))?;
    Ok(SharedState::in_directory(directory, address, pid, u64::from(pid), Machine::default()))
}

/// The changes of one request from its arrival to its end, as two exchanges.
fn changes_of(request: u64) -> [SerialChange; 2] {
    let (request, key) = (RequestId(request), request);
    [
        SerialChange::Taken { request, key, over_by_ns: OVER_BY_NS },
        SerialChange::Finished { request, key, paused_until_ns: 0 },
    ]
}

/// Adds open requests to a process.
fn fill(process: &mut SharedState, open_requests: u64) {
    let taken = (0..open_requests).map(|request| changes_of(request)[0]).collect();
    process.exchange(MS, taken);
}

/// Microseconds per call, median and 99th percentile.
fn percentiles(mut times_us: Vec<f64>) -> Value {
    times_us.sort_by(f64::total_cmp);
    let at = |share: f64| times_us.get((times_us.len() as f64 * share) as usize).copied().unwrap_or(0.0);
    json!({ "median_us": at(0.5), "p99_us": at(0.99) })
}

/// Measures exchanges with and without a change, at `now`, which advances by a millisecond each.
fn measure(process: &mut SharedState, calls: u64) -> Value {
    let (mut with_change, mut without_change) = (Vec::new(), Vec::new());
    for call in 0..calls {
        let now = 10 * MS + call * MS;
        for change in changes_of(1_000_000 + call) {
            let start = Instant::now();
            process.exchange(now, vec![change]);
            with_change.push(start.elapsed().as_secs_f64() * 1e6);
        }
        let start = Instant::now();
        process.exchange(now, vec![]);
        without_change.push(start.elapsed().as_secs_f64() * 1e6);
    }
    json!({ "with_change": percentiles(with_change), "without_change": percentiles(without_change) })
}

/// Microseconds of an iteration that shares nothing, as without `$TMPDIR`.
fn baseline(calls: u64) -> Value {
    let mut times_us = Vec::new();
    let mut process: Option<SharedState> = None;
    for call in 0..calls {
        let start = Instant::now();
        if let Some(process) = std::hint::black_box(&mut process) {
            process.exchange(call, vec![]);
        }
        times_us.push(start.elapsed().as_secs_f64() * 1e6);
    }
    percentiles(times_us)
}

/// Runs the experiment.
///
/// # Errors
/// If the temporary directory cannot be used.
pub fn run(quick: bool) -> Result<Value, String> {
    let calls = if quick { 200 } else { 2_000 };
    let mut rows = Vec::new();
    for open_requests in OPEN_REQUESTS {
        let name = format!("marljunction-lab-handover-{}-{open_requests}", std::process::id());
        let directory = Directory(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&directory.0).map_err(|e| format!("{}: {e}", directory.0.display()))?;
        let mut first = open(&directory.0, 1)?;
        fill(&mut first, open_requests);
        let alone = measure(&mut first, calls);
        let mut second = open(&directory.0, 2)?;
        fill(&mut second, open_requests);
        let beside = measure(&mut second, calls);
        rows.push(json!({ "open_requests": open_requests, "alone": alone, "beside_another": beside }));
    }
    Ok(json!({ "calls": calls, "without_sharing": baseline(calls), "exchanges": rows }))
}
