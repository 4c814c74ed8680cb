//! Memory and processor time of the real program: by the list it knows, by clients that hold a connection, by statements.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use marljunction_testkit::fleet::{classes, Fleet, Setup};
use marljunction_testkit::load::Class;
use marljunction_testkit::process::Process;
use marljunction_testkit::test_bed::{settings, SettingsParams};
use serde_json::json;

use super::list::{whole_list, Service, MEMORY_MB};
use super::{repeated_times, series, Figures, Repeated};

/// Connections of clients that did one call and then nothing.
const IDLE: [usize; 4] = [500, 1_000, 2_000, 4_000];
/// Measurements at each count.
const REPEATS: usize = 2;
/// Sizes of lists: those of the list's own measurement, without the smallest, whose memory is lost in the program's own.
const MIN_ENGINES: usize = 300;
/// Statements a second that one router is asked for.
const RATES: [usize; 4] = [100, 200, 400, 800];
const MEASURED_FOR: Duration = Duration::from_secs(2);
/// Longest wait for something that must happen, and how long a program that does nothing more is watched.
const LIMIT: Duration = Duration::from_secs(15);
const QUIET: Duration = Duration::from_millis(400);
/// Descriptors that the machine gives a program.
const SOCKETS: usize = 16_384;

/// A program with a folder of its own.
struct Lone {
    process: Process,
    dir: PathBuf,
    client_address: SocketAddr,
}

impl Lone {
    fn start(program: &Path, name: &str, coordinator: SocketAddr) -> Result<Lone, String> {
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
        let fault = |e: std::io::Error| format!("{}: {e}", dir.display());
        std::fs::create_dir_all(&dir).map_err(fault)?;
        let path = dir.join("config.json");
        std::fs::write(&path, config.to_string()).map_err(fault)?;
        let mut process = Process::start(program, &[("ROUTER_CONFIG", path)], &dir.join("log"))?;
        let began = Instant::now();
        let client_address = loop {
            match process.client_address() {
                Some(at) => break at,
                None if began.elapsed() > LIMIT => return Err(format!("the program {name} did not start")),
                None => std::thread::park_timeout(Duration::from_millis(2)),
            }
        };
        Ok(Lone { process, dir, client_address })
    }

    /// Memory in use now (KB).
    fn resident_kb(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
    }

    /// Waits until a condition holds and the program has then used nearly no processor time for a while.
    fn settle(&mut self, what: &str, condition: impl Fn() -> bool) -> Result<(), String> {
        let began = Instant::now();
        let mut seen = (Instant::now(), self.process.used().1);
        loop {
            let used = self.process.used().1;
            // A program at rest wakes for its timers only.
            if used > seen.1 + 20_000 || !condition() {
                seen = (Instant::now(), used);
            }
            if seen.0.elapsed() > QUIET {
                return Ok(());
            }
            if began.elapsed() > LIMIT {
                return Err(format!("not within {LIMIT:?}: {what}"));
            }
            std::thread::park_timeout(Duration::from_millis(10));
        }
    }
}

impl Drop for Lone {
    fn drop(&mut self) {
        self.process.kill();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Memory of the program that knows so many engines, now and at most so far (KB).
fn knowing(program: &Path, engines: usize) -> Result<[f64; 2], String> {
    let text = whole_list(engines);
    let size = text.len() as u64;
    let service = Service::start(text)?;
    let mut router = Lone::start(program, &format!("knows-{engines}"), service.address)?;
    router.settle("the list is learned", || service.bytes().1 > size)?;
    Ok([router.resident_kb(), router.process.used().0 as f64])
}

/// A client that made one call.
fn idle_client(to: SocketAddr) -> Result<TcpStream, String> {
    let fault = |e: std::io::Error| format!("client: {e}");
    let mut conn = TcpStream::connect(to).map_err(fault)?;
    conn.set_read_timeout(Some(LIMIT)).map_err(fault)?;
    // A call in MessagePack: kind 0, number 1, the method, no parameters.
    conn.write_all(b"\x94\x00\x01\xa6isWell\x90").map_err(fault)?;
    let mut answer = [0; 64];
    match conn.read(&mut answer) {
        Ok(n) if n > 0 => Ok(conn),
        Ok(_) => Err("a client was turned away".into()),
        Err(e) => Err(fault(e)),
    }
}

/// Memory of the program with so many idle clients (KB), and its processor time a second then (ms).
fn holding(program: &Path, clients: usize) -> Result<[f64; 2], String> {
    let service = Service::start(whole_list(8))?;
    let mut router = Lone::start(program, &format!("holds-{clients}"), service.address)?;
    let conns = (0..clients).map(|_| idle_client(router.client_address)).collect::<Result<Vec<_>, _>>()?;
    router.settle("clients are quiet", || true)?;
    let (from, before) = (Instant::now(), router.process.used().1);
    while from.elapsed() < Duration::from_secs(1) {
        std::thread::park_timeout(Duration::from_millis(20));
    }
    let used_ms = (router.process.used().1 - before) as f64 / 1e3 / from.elapsed().as_secs_f64();
    let resident = router.resident_kb();
    drop(conns);
    Ok([resident, used_ms])
}

/// Processor time a second of the program that is asked for so many short statements (ms).
fn serving(program: &Path, rate: usize) -> Result<f64, String> {
    let usual = classes().swap_remove(0);
    let setup = Setup {
        engines: 8,
        classes: vec![Class { work_ms: 10.0, spread: 0.3, share: 1.0, ..usual }],
        rate: rate as f64,
        ..Setup::new(program, &format!("capacity-{rate}"), 1)
    };
    let mut fleet = Fleet::new(setup)?;
    fleet.start_all()?;
    if !fleet.run_until(LIMIT, |fleet| fleet.connected() == 1)? {
        return Err("the router of the statements did not start".into());
    }
    fleet.start_clients();
    fleet.run(Duration::from_secs(1))?;
    let (from, before) = (fleet.now(), fleet.used()[0].1);
    let asked_before = fleet.sum(|tally| tally.asked as f64);
    fleet.run(MEASURED_FOR)?;
    let seconds = (fleet.now() - from) as f64 / 1e9;
    let used_ms = (fleet.used()[0].1 - before) as f64 / 1e3 / seconds;
    let asked = (fleet.sum(|tally| tally.asked as f64) - asked_before) / seconds;
    // Arrivals are drawn: the processor time is scaled to the rate that was wanted.
    Ok(used_ms * rate as f64 / asked.max(1.0))
}

fn split(costs: &Repeated<[f64; 2]>, at: usize) -> Repeated<f64> {
    costs.iter().map(|(n, values)| (*n, values.iter().map(|v| v[at]).collect())).collect()
}

/// Measures it all, with lists of at most `most` engines.
///
/// # Errors
/// Where a program can't be started or does not come to rest.
pub fn measure(figures: &mut Figures, program: &Path, sizes: &[usize]) -> Result<(), String> {
    let sizes: Vec<usize> = sizes.iter().copied().filter(|n| *n >= MIN_ENGINES).collect();
    // Two points are a line whatever they are: the smallest list is measured too where few can be learned.
    let sizes = if sizes.len() < 3 { vec![75, 300, 600, 1_200] } else { sizes };
    let known = repeated_times(REPEATS, &sizes, |engines| knowing(program, engines))?;
    let what = "program, resident memory when it knows a list";
    figures.insert("program_kb".into(), series(what, "KB", "engines", split(&known, 0)));
    let what = "program, largest resident memory while it learned a list";
    figures.insert("program_peak_kb".into(), series(what, "KB", "engines", split(&known, 1)));
    let held = repeated_times(REPEATS, &IDLE, |clients| holding(program, clients))?;
    let what = "program, resident memory with connections of clients that made one call each";
    figures.insert("idle_kb".into(), series(what, "KB", "connections", split(&held, 0)));
    let what = "program, processor time a second with such connections";
    figures.insert("idle_ms_s".into(), series(what, "ms/s", "connections", split(&held, 1)));
    let served = repeated_times(REPEATS, &RATES, |rate| serving(program, rate))?;
    let what = "program, processor time a second by statements a second, 8 engines, the decision included";
    figures.insert("statement_ms_s".into(), series(what, "ms/s", "statements a second", served));
    Ok(())
}
