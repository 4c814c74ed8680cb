//! A new version takes over from a running one while keyed loads are open. Broken if two loads of
//! one key run at once, or not in the order in which the router took them.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::client::{admin, Client};
use crate::engine::{Engine, SeenKeys};
use crate::list::{entry, event, Coordinator};
use crate::record::Record;
use crate::router::{Folder, Router};
use crate::settings::{config, fields, Classes};
use crate::Outcome;

const ENGINES: u32 = 6;
const EFFECT: &str =
    r#""effect":"deduplicated","dedup_scope":"all","dedup_window_ns":12000000000,"serial_by_key":true"#;
const KEY: &str = "7f3a9c21e0b4d655";
/// Time of the loads on an engine, in the order in which they are sent (ms).
const LOADS_MS: [u64; 3] = [2_500, 1_500, 1_500];
/// Time limits grow by this on sockets.
const SLACK: Duration = Duration::from_millis(50);

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let text = |e: std::io::Error| e.to_string();
    let folder = Folder::create().map_err(text)?;
    // All engines drop a repeat of a key.
    let seen = SeenKeys::default();
    let engines: Vec<Engine> = (1..=ENGINES)
        .map(|n| Engine::start_in_group(&format!("e{n}"), seen.clone(), record))
        .collect::<Result<_, _>>()
        .map_err(text)?;
    let entries: Vec<String> = engines.iter().map(|e| entry(e.name(), e.address, 1, "in_service")).collect();
    let coordinator = Coordinator::start().map_err(text)?;
    coordinator.publish(1, true, &entries);
    let known = event(1, true, &entries);
    let socket = TcpListener::bind("127.0.0.1:0").map_err(text)?;
    let address = socket.local_addr().map_err(text)?;
    let classes = Classes { load_effect: EFFECT, ..Classes::default() };
    let file = config(&address.to_string(), Some(coordinator.address), Some(&known), &classes);
    let file = folder.write("config.json", &file).map_err(text)?;
    let old = Router::start(&folder, "old", &[("ROUTER_CONFIG", &file)], Some(&socket))?;
    old.address(" for the operators")?;
    std::thread::sleep(Duration::from_secs(1));

    // Requests with one key are written 250 ms after one that arrived on a new connection.
    let first = send_load(address, 1, record)?;
    std::thread::sleep(Duration::from_millis(400));
    let second = send_load(address, 2, record)?;
    std::thread::sleep(Duration::from_millis(400));
    let mut new = None;
    if trouble {
        record.line("a new version starts beside the old one");
        let process = Router::start(&folder, "new", &[("ROUTER_CONFIG", &file)], Some(&socket))?;
        let at = process.address(" for the operators")?;
        while admin(at, "GET", "/ready", "").is_none_or(|(status, _)| status != 200) {
            std::thread::sleep(Duration::from_millis(50));
        }
        record.line("the new process is ready; SIGTERM to the old one");
        old.signal("TERM")?;
        new = Some(process);
    }
    std::thread::sleep(Duration::from_millis(400));
    let third = send_load(address, 3, record)?;
    for client in [first, second, third] {
        client.join().map_err(|_| "a client ended")?;
    }
    drop(new);
    Ok(if judge(record, &engines) { Outcome::Broken } else { Outcome::Held })
}

/// Sends the load with this number on a new connection.
fn send_load(to: SocketAddr, number: u64, record: &Arc<Record>) -> Result<JoinHandle<()>, String> {
    let mut client = Client::connect(to).map_err(|e| e.to_string())?;
    let (record, ms) = (record.clone(), LOADS_MS[number as usize - 1]);
    record.line(&format!("client {number}: service-load {number} with key {KEY}"));
    Ok(std::thread::spawn(move || {
        let mut of_call = fields(number, 18_000, 2 * ms);
        of_call.push(("token", format!("5c0f6e1a2b3d4c59a8b7c6d5e4f3021{number}")));
        of_call.push(("obj", KEY.into()));
        let statement = format!("insert into sales_17.orders select * from staging.orders /* run {ms} ms */");
        let answer = client.call("service-load", &of_call, &statement, Duration::from_secs(20));
        record.line(&format!("client {number}: {answer:?}"));
    }))
}

/// Whether the rule on order was broken.
fn judge(record: &Record, engines: &[Engine]) -> bool {
    let now = Instant::now();
    let mut runs: Vec<_> = engines.iter().flat_map(Engine::runs).collect();
    runs.sort_by_key(|run| run.from);
    for run in &runs {
        let (to, end) = run.end.map_or((now, None), |(at, end)| (at, Some(end)));
        let times = format!("{:.3} to {:.3} s", record.seconds(run.from), record.seconds(to));
        record.line(&format!("run of {} on {}: {times}, {end:?}", run.id, run.engine));
    }
    let mut broken = false;
    for pair in runs.windows(2) {
        let both = pair[0].end.map_or(now, |(at, _)| at).saturating_duration_since(pair[1].from);
        if both > SLACK {
            let seconds = both.as_secs_f64();
            record.line(&format!(
                "BROKEN: {} and {} of one key ran at once for {seconds:.3} s",
                pair[0].id, pair[1].id
            ));
            broken = true;
        }
        if pair[1].id < pair[0].id {
            record.line(&format!("BROKEN: {} ran after {}, which was sent later", pair[1].id, pair[0].id));
            broken = true;
        }
    }
    broken
}
