//! A client writes a message slowly while its earlier request is running.

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use std::thread::sleep;
use std::time::Duration;

use stand_ins::client::{fields, new_request_id, request, Connection, Incoming};
use stand_ins::engine::Engine;
use stand_ins::record::Record;
use stand_ins::router::{finish, free_address, guard, judge, trouble, Router, Start, Target};

/// Clients that do the same at the same time.
const CLIENTS: usize = 3;
/// Budget of the first request (ms).
const BUDGET_MS: u64 = 20_000;
/// Time over which the second message is written, without and with the disruption.
const QUICK: Duration = Duration::from_millis(200);
const SLOW: Duration = Duration::from_millis(3_000);

/// Sends a load and then a lookup on one connection. Returns how the rule was broken.
fn client(name: usize, listen: &str, record: &Record) -> Vec<String> {
    let mut connection = Connection::open(listen).expect("the router accepts");
    let (load, lookup) = (new_request_id(), new_request_id());
    let first = request(
        1,
        "service-load",
        &fields(&load, BUDGET_MS, 10_000),
        "insert into sales_17.orders values (1) /* run=5000 */",
    );
    connection.write(&first);
    record.line(format!("client {name}: sent the load {load} whole"));
    sleep(Duration::from_millis(300));
    let second =
        request(2, "lookup", &fields(&lookup, 5_000, 50), "select a, b, c from sales_17.orders /* run=50 */");
    let (head, rest) = second.split_at(second.len() / 2);
    connection.write(head);
    record.line(format!("client {name}: sent half of the lookup {lookup}"));
    sleep(if trouble() { SLOW } else { QUICK });
    let written = connection.write(rest);
    record.line(format!("client {name}: sent the rest of the lookup, written: {written}"));
    let mut breaks = Vec::new();
    let mut answered = Vec::new();
    while answered.len() < 2 {
        match connection.next(Duration::from_millis(BUDGET_MS + 500)) {
            Some(Incoming::Answer(number, text)) => {
                record.line(format!("client {name}: answer to request {number}: {}", text.trim_end()));
                answered.push(number);
            }
            end => {
                record.line(format!("client {name}: no further answer: {end:?}"));
                break;
            }
        }
    }
    if !answered.contains(&1) {
        breaks.push(format!(
            "client {name}: the connection ended with no answer to the load {load}, which ran"
        ));
    }
    breaks
}

fn main() {
    guard();
    let record = Record::create(&std::env::args().nth(1).expect("the path of the record"));
    let engines: Vec<Engine> = (1..=3).map(|n| Engine::start(&format!("e{n}"), &record)).collect();
    let (listen, operator) = (free_address(), free_address());
    let start = Start {
        name: "n1",
        listen: &listen,
        operator: &operator,
        engines: &Target::of(&engines),
        ..Start::default()
    };
    let mut router = Router::start(&record, &start);
    if let Err(why) = router.wait_ready(Duration::from_secs(30)) {
        eprintln!("the router did not start: {why}");
        finish(2);
    }
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|name| {
            let (listen, record) = (listen.clone(), record.clone());
            std::thread::spawn(move || client(name, &listen, &record))
        })
        .collect();
    let mut breaks: Vec<String> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    // A load that never reached an engine does not show the fault.
    let ran = engines.iter().flat_map(Engine::started).filter(|q| q.class == "service-load").count();
    record.line(format!("{ran} loads ran"));
    if ran < CLIENTS {
        breaks.clear();
        eprintln!("only {ran} loads ran");
        finish(2);
    }
    judge(&record, &breaks)
}
