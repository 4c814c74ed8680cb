//! Some answers of the engines are followed by a second copy some milliseconds later. Broken if a
//! client is served with the rows of another one's query.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Answer, Client};
use crate::engine::Engine;
use crate::list::{entry, event, Coordinator};
use crate::record::Record;
use crate::router::{Folder, Router};
use crate::settings::{config, fields, Classes};
use crate::Outcome;

const ENGINES: u32 = 6;
const CLIENTS: u64 = 60;
const LENGTH: Duration = Duration::from_secs(20);
/// One in so many answers 202 is followed by a copy.
const COPIED_ONE_IN: u32 = 10;

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
    let file = config("127.0.0.1:0", Some(coordinator.address), Some(&known), &Classes::default());
    let file = folder.write("config.json", &file).map_err(text)?;
    let router = Router::start(&folder, "n1", &[("ROUTER_CONFIG", &file)], None)?;
    let address = router.address("")?;
    if trouble {
        engines.iter().for_each(|e| e.set(|faults| faults.copied_one_in = COPIED_ONE_IN));
    }
    let (served, foreign) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let until = Instant::now() + LENGTH;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (served, foreign, record) = (served.clone(), foreign.clone(), record.clone());
            std::thread::spawn(move || lookups(address, n, until, (&served, &foreign), &record))
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let (served, foreign) = (served.load(Ordering::Relaxed), foreign.load(Ordering::Relaxed));
    record.line(&format!("{served} lookups served, {foreign} of them with the rows of another one"));
    Ok(if foreign > 0 { Outcome::Broken } else { Outcome::Held })
}

/// Sends lookups one after another, and compares the rows with those that an engine makes for them.
fn lookups(
    to: SocketAddr,
    client: u64,
    until: Instant,
    (served, foreign): (&AtomicU64, &AtomicU64),
    record: &Record,
) {
    let Ok(mut connection) = Client::connect(to) else { return };
    let mut n = 0;
    while Instant::now() < until {
        n += 1;
        let id = (client + 1) << 16 | n;
        let ms = 100 + 37 * (id % 13);
        let statement = format!("select * from sales_17.orders /* run {ms} ms */");
        let answer = connection.call("lookup", &fields(id, 5_000, ms), &statement, Duration::from_secs(6));
        let Answer::Served(rows) = answer else {
            record.line(&format!("client {client}: {id:016x}: {answer:?}"));
            if answer == Answer::Nothing {
                return;
            }
            continue;
        };
        served.fetch_add(1, Ordering::Relaxed);
        if !rows.starts_with(&format!("{id:016x}\t")) {
            foreign.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("BROKEN: client {client} asked {id:016x} and got the rows {rows:?}"));
        }
    }
}
