//! Measures memory and processor time of the real program by the size of its list, by idle client
//! connections, and by statements.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use marljunction_testkit::fleet::{classes, Fleet, Setup};
use marljunction_testkit::load::Class;
use marljunction_testkit::process::Process;
use marljunction_testkit::test_bed::{settings, SettingsParams};
use serde_json::json;

use super::list::{full_list_event, Service, MEMORY_MB};
use super::{repeated_times, series, Figures, Repeated};

/// Numbers of idle client connections.
const IDLE_CLIENTS: [usize; 4] = [500, 1_000, 2_000, 4_000];
/// Number of measurements at each count.
const REPEATS: usize = 2;
/// Smallest list measured: the memory of smaller ones is negligible beside the program's own.
const MIN_ENGINES: usize = 300;
/// Statements per second.
const RATES: [usize; 4] = [100, 200, 400, 800];
const MEASURED_TIME: Duration = Duration::from_secs(2);
/// Timeout of a condition, and time without activity after which the program counts as idle.
const TIMEOUT: Duration = Duration::from_secs(15);
const IDLE_TIME: Duration = Duration::from_millis(400);
/// Socket limit in the program's configuration.
const SOCKETS: usize = 16_384;

/// A router process with its own directory.
struct RouterProcess {
    process: Process,
    dir: PathBuf,
    client_address: SocketAddr,
}

impl RouterProcess {
    fn start(program: &Path, name: &str, coordinator: SocketAddr) -> Result<RouterProcess, String> {
        let classes = classes();
        let site = SettingsParams {
            classes: &classes,
            tenants: &[],
            cores: 8.0,
            max_retry_after_ms: 1_000,
            routers: 1,
            router_index: 0,
            cold: false,
        };
        let config = json!({
            "name": name, "listen": "127.0.0.1:0", "seed": "0000000000000007",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "coordinator": coordinator.to_string(), "known": {"index": 0, "updates": []}, "settings": settings(&site),
        });
        let dir = std::env::temp_dir().join(format!("marljunction-{}-capacity-{name}", std::process::id()));
        let to_message = |e: std::io::Error| format!("{}: {e}", dir.display());
        std::fs::create_dir_all(&dir).map_err(to_message)?;
        let path = dir.join("config.json");
        std::fs::write(&path, config.to_string()).map_err(to_message)?;
        let mut process = Process::start(program, &[("ROUTER_CONFIG", path)], &dir.join("log"))?;
        let started = Instant::now();
        let client_address = loop {
            match process.client_address() {
                Some(at) => break at,
                None if started.elapsed() > TIMEOUT => {
                    return Err(format!("the program {name} did not start"))
                }
                None => std::thread::park_timeout(Duration::from_millis(2)),
            }
        };
        Ok(RouterProcess { process, dir, client_address })
    }

    /// Resident memory (KB).
    fn resident_kb(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
    }

    /// Waits until a condition holds and the program has been idle for [`IDLE_TIME`].
    fn wait_until_idle(&mut self, what: &str, condition: impl Fn() -> bool) -> Result<(), String> {
        let started = Instant::now();
        let mut last_activity = (Instant::now(), self.process.used().1);
        loop {
            let used = self.process.used().1;
            // An idle program only wakes for its timers.
            if used > last_activity.1 + 20_000 || !condition() {
                last_activity = (Instant::now(), used);
            }
            if last_activity.0.elapsed() > IDLE_TIME {
                return Ok(());
            }
            if started.elapsed() > TIMEOUT {
                return Err(format!("timed out after {TIMEOUT:?} waiting until {what}"));
            }
            std::thread::park_timeout(Duration::from_millis(10));
        }
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        self.process.kill();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Resident and peak memory of the program with a list of this number of engines (KB).
fn memory_with_list(program: &Path, engines: usize) -> Result<[f64; 2], String> {
    let text = full_list_event(engines);
    let size = text.len() as u64;
    let service = Service::start(text)?;
    let mut router = RouterProcess::start(program, &format!("knows-{engines}"), service.address)?;
    router.wait_until_idle("the list is read", || service.bytes().1 > size)?;
    Ok([router.resident_kb(), router.process.used().0 as f64])
}

/// Connects a client that makes one call.
fn idle_client(to: SocketAddr) -> Result<TcpStream, String> {
    let to_message = |e: std::io::Error| format!("client: {e}");
    let mut conn = TcpStream::connect(to).map_err(to_message)?;
    conn.set_read_timeout(Some(TIMEOUT)).map_err(to_message)?;
    // A MessagePack call: kind 0, ID 1, method, no parameters.
    conn.write_all(b"\x94\x00\x01\xa6isWell\x90").map_err(to_message)?;
    let mut answer = [0; 64];
    match conn.read(&mut answer) {
        Ok(n) if n > 0 => Ok(conn),
        Ok(_) => Err("a client was rejected".into()),
        Err(e) => Err(to_message(e)),
    }
}

/// Resident memory (KB) and processor time per second (ms) of the program with idle clients.
fn idle_client_cost(program: &Path, clients: usize) -> Result<[f64; 2], String> {
    let service = Service::start(full_list_event(8))?;
    let mut router = RouterProcess::start(program, &format!("holds-{clients}"), service.address)?;
    let conns = (0..clients).map(|_| idle_client(router.client_address)).collect::<Result<Vec<_>, _>>()?;
    router.wait_until_idle("clients are idle", || true)?;
    let (from, before) = (Instant::now(), router.process.used().1);
    while from.elapsed() < Duration::from_secs(1) {
        std::thread::park_timeout(Duration::from_millis(20));
    }
    let used_ms = (router.process.used().1 - before) as f64 / 1e3 / from.elapsed().as_secs_f64();
    let resident = router.resident_kb();
    drop(conns);
    Ok([resident, used_ms])
}

/// Processor time per second (ms) of the program at a rate of short statements.
fn statement_cost(program: &Path, rate: usize) -> Result<f64, String> {
    let base_class = classes().swap_remove(0);
    let setup = Setup {
        engines: 8,
        classes: vec![Class { work_ms: 10.0, spread: 0.3, share: 1.0, ..base_class }],
        rate: rate as f64,
        ..Setup::new(program, &format!("capacity-{rate}"), 1)
    };
    let mut fleet = Fleet::new(setup)?;
    fleet.start_all()?;
    if !fleet.run_until(TIMEOUT, |fleet| fleet.connected() == 1)? {
        return Err("the router did not start".into());
    }
    fleet.start_clients();
    fleet.run(Duration::from_secs(1))?;
    let (from, before) = (fleet.now(), fleet.used()[0].1);
    let requested_before = fleet.sum(|tally| tally.requests as f64);
    fleet.run(MEASURED_TIME)?;
    let seconds = (fleet.now() - from) as f64 / 1e9;
    let used_ms = (fleet.used()[0].1 - before) as f64 / 1e3 / seconds;
    let request_rate = (fleet.sum(|tally| tally.requests as f64) - requested_before) / seconds;
    // Arrivals are random: scale the processor time to the nominal rate.
    Ok(used_ms * rate as f64 / request_rate.max(1.0))
}

fn split(costs: &Repeated<[f64; 2]>, at: usize) -> Repeated<f64> {
    costs.iter().map(|(n, values)| (*n, values.iter().map(|v| v[at]).collect())).collect()
}

/// Measures the costs, with lists of these numbers of engines.
///
/// # Errors
/// If a program can't be started or does not become idle.
pub fn measure(figures: &mut Figures, program: &Path, sizes: &[usize]) -> Result<(), String> {
    let sizes: Vec<usize> = sizes.iter().copied().filter(|n| *n >= MIN_ENGINES).collect();
    // A fit needs more than two points: use small lists if few large ones can be read.
    let sizes = if sizes.len() < 3 { vec![75, 300, 600, 1_200] } else { sizes };
    let list_costs = repeated_times(REPEATS, &sizes, |engines| memory_with_list(program, engines))?;
    let what = "program, resident memory when it knows a list";
    figures.insert("program_kb".into(), series(what, "KB", "engines", split(&list_costs, 0)));
    let what = "program, largest resident memory while it learned a list";
    figures.insert("program_peak_kb".into(), series(what, "KB", "engines", split(&list_costs, 1)));
    let idle_costs = repeated_times(REPEATS, &IDLE_CLIENTS, |clients| idle_client_cost(program, clients))?;
    let what = "program, resident memory with connections of clients that made one call each";
    figures.insert("idle_kb".into(), series(what, "KB", "connections", split(&idle_costs, 0)));
    let what = "program, processor time a second with such connections";
    figures.insert("idle_ms_s".into(), series(what, "ms/s", "connections", split(&idle_costs, 1)));
    let statement_costs = repeated_times(REPEATS, &RATES, |rate| statement_cost(program, rate))?;
    let what = "program, processor time a second by statements a second, 8 engines, the decision included";
    figures.insert("statement_ms_s".into(), series(what, "ms/s", "statements a second", statement_costs));
    Ok(())
}
