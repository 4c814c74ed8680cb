//! A new version starts beside the running one, and an operator excludes one engine at each process.
//! Broken if an engine gets new work after the answer `is out` and the grace.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{admin, Client};
use crate::engine::Engine;
use crate::list::{entry, event, Coordinator};
use crate::record::Record;
use crate::router::{Folder, Router};
use crate::settings::{config, fields, Classes};
use crate::Outcome;

const ENGINES: u32 = 6;
const CLIENTS: usize = 8;
/// Drain grace of the settings, the 200 ms in which the other process hears of a call, and 50 ms
/// for sockets.
const GRACE: Duration = Duration::from_millis(500 + 200 + 50);

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let text = |e: std::io::Error| e.to_string();
    let folder = Folder::create().map_err(text)?;
    let engines: Vec<Engine> = (1..=ENGINES)
        .map(|n| Engine::start(&format!("e{n}"), record))
        .collect::<Result<_, _>>()
        .map_err(text)?;
    let entries: Vec<String> = engines.iter().map(|e| entry(e.name(), e.address, 1, "in_service")).collect();
    let coordinator = Coordinator::start().map_err(text)?;
    coordinator.publish(1, true, &entries);
    let known = event(1, true, &entries);
    let socket = TcpListener::bind("127.0.0.1:0").map_err(text)?;
    let address = socket.local_addr().map_err(text)?;
    let file = config(&address.to_string(), Some(coordinator.address), Some(&known), &Classes::default());
    let file = folder.write("config.json", &file).map_err(text)?;
    let old = Router::start(&folder, "old", &[("ROUTER_CONFIG", &file)], Some(&socket))?;
    let old_admin = old.address(" for the operators")?;

    let (stop, ids) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (stop, ids) = (stop.clone(), ids.clone());
            std::thread::spawn(move || lookups(address, &stop, &ids))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));

    let mut new = None;
    let mut second_admin = old_admin;
    if trouble {
        record.line("a new version starts beside the old one");
        let process = Router::start(&folder, "new", &[("ROUTER_CONFIG", &file)], Some(&socket))?;
        second_admin = process.address(" for the operators")?;
        while admin(second_admin, "GET", "/ready", "").is_none_or(|(status, _)| status != 200) {
            std::thread::sleep(Duration::from_millis(50));
        }
        record.line("the new process is ready");
        new = Some(process);
        std::thread::sleep(Duration::from_millis(500));
    }
    let mut out = Vec::new();
    for (to, engine) in [(old_admin, "e1"), (second_admin, "e2")] {
        let process = if to == old_admin { "old" } else { "new" };
        let answer = admin(to, "POST", "/engines/disable", engine).ok_or("no answer to /engines/disable")?;
        record.line(&format!("operator: disable {engine} at the {process} process: {answer:?}"));
        if answer.0 / 100 == 2 {
            out.push((engine, Instant::now()));
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    if new.is_some() {
        record.line("SIGTERM to the old process");
        old.signal("TERM")?;
    }
    std::thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    let served: u64 = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    record.line(&format!("clients: {served} lookups served"));

    let mut broken = false;
    for (name, at) in out {
        let engine = engines.iter().find(|e| e.name() == name).ok_or("no such engine")?;
        let late: Vec<_> = engine.runs().into_iter().filter(|run| run.from > at + GRACE).collect();
        record.line(&format!("{name}: {} lookups later than {GRACE:?} after the yes", late.len()));
        if let Some(first) = late.first() {
            let after = first.from.saturating_duration_since(at).as_secs_f64();
            record.line(&format!("BROKEN: {name} got {} {after:.3} s after the yes", first.id));
            broken = true;
        }
    }
    Ok(if broken { Outcome::Broken } else { Outcome::Held })
}

/// Sends lookups one after another, on a new connection once one has been closed. Returns how many
/// were served.
fn lookups(to: std::net::SocketAddr, stop: &AtomicBool, ids: &AtomicU64) -> u64 {
    let mut served = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::connect(to) else { continue };
        while !stop.load(Ordering::Relaxed) {
            let id = ids.fetch_add(1, Ordering::Relaxed);
            let statement = "select * from sales_17.orders /* run 100 ms */";
            let answer = client.call("lookup", &fields(id, 5_000, 100), statement, Duration::from_secs(6));
            match answer {
                crate::client::Answer::Served(_) => served += 1,
                crate::client::Answer::Nothing => break,
                _ => {}
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    served
}
