//! An engine that an operator has excluded leaves the list, as a whole list without it arrives. Then
//! the operator ends the exclusion. Broken if the engine gets new work.

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
/// Clients at once, and lookups of each.
const CLIENTS: u64 = 60;
const LOOKUPS: u64 = 10;

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
    let operators = router.address(" for the operators")?;
    let address = router.address("")?;
    std::thread::sleep(Duration::from_secs(1));
    let ask = |path: &str| -> Result<(), String> {
        let answer = admin(operators, "POST", path, "e1").ok_or("no answer of the admin API")?;
        record.line(&format!("operator: {path} e1: {answer:?}"));
        Ok(())
    };
    ask("/engines/disable")?;
    std::thread::sleep(Duration::from_secs(1));
    if trouble {
        record.line("coordinator: a whole list without e1");
        coordinator.publish(2, true, &entries[1..]);
    } else {
        record.line("coordinator: e1 is terminated");
        coordinator.publish(2, false, &[entry("e1", engines[0].address, 1, "terminated")]);
    }
    std::thread::sleep(Duration::from_secs(1));
    ask("/engines/enable")?;
    let enabled = Instant::now();
    let clients: Vec<_> = (0..CLIENTS).map(|n| std::thread::spawn(move || lookups(address, n))).collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let late = engines[0].runs().iter().filter(|run| run.from > enabled).count();
    record.line(&format!("e1 got {late} lookups after it had left the list"));
    Ok(if late > 0 { Outcome::Broken } else { Outcome::Held })
}

fn lookups(to: std::net::SocketAddr, client: u64) {
    let Ok(mut connection) = Client::connect(to) else { return };
    for n in 1..=LOOKUPS {
        let statement = "select * from sales_17.orders /* run 500 ms */";
        let of_call = fields(client * 1_000 + n, 5_000, 400);
        connection.call("lookup", &of_call, statement, Duration::from_secs(6));
    }
}
