//! An engine leaves Consul's catalog while operators have taken it out, and is then put back.

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use stand_ins::client::ask_once;
use stand_ins::consul::Consul;
use stand_ins::engine::Engine;
use stand_ins::record::Record;
use stand_ins::router::{finish, free_address, guard, judge, trouble, Router, Start};

/// The grace of the rule on drains with the slack of the protocol page.
const GRACE: Duration = Duration::from_millis(550);

/// Enough clients to keep both engines in use.
const CLIENTS: usize = 16;

fn main() {
    guard();
    let record = Record::create(&std::env::args().nth(1).expect("the path of the record"));
    let engines: Vec<Engine> = (1..=2).map(|n| Engine::start(&format!("e{n}"), &record)).collect();
    let consul = Consul::start(&engines, &record);
    let (listen, operator) = (free_address(), free_address());
    let postgres = format!(
        r#"{{"class":"lookup","columns":["c1","c2","c3"],"sessions":16,"engines":"http",
"consul":{{"address":"{}","service":"engine"}}}}"#,
        consul.address
    );
    let start = Start {
        name: "n1", listen: &listen, operator: &operator, coordinator: None, engines: &[], socket: None,
        postgres: Some(&postgres), keyed_loads: false,
    };
    let mut router = Router::start(&record, &start);
    if let Err(why) = router.wait_ready(Duration::from_secs(30)) {
        eprintln!("the router did not start: {why}");
        finish(2);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (listen, record, stop) = (listen.clone(), record.clone(), stop.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    ask_once(&listen, &record, "lookup", 5_000, 300, "select a, b, c from sales_17.orders /* run=300 */");
                    sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(2));
    let used = engines[0].started().len();
    if used == 0 || router.operate("/engines/disable", "e1") / 100 != 2 {
        eprintln!("e1 was not in use, or the router refused the call");
        finish(2);
    }
    sleep(Duration::from_secs(1));
    if trouble() {
        consul.deregister("e1");
    }
    // The router has been told once Consul has answered both of its queries.
    sleep(Duration::from_secs(2));
    let enabled = router.operate("/engines/enable", "e1");
    let back = record.now();
    if enabled == 0 {
        eprintln!("the router did not answer the call");
        finish(2);
    }
    sleep(Duration::from_secs(6));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let late: Vec<_> = engines[0].started().into_iter().filter(|query| query.at > back + GRACE).collect();
    record.line(format!("e1: {used} queries before it was taken out, {} after it was put back", late.len()));
    let mut breaks = Vec::new();
    if let (true, Some(first)) = (trouble(), late.first()) {
        let told = consul.told("e1").expect("Consul has told the change");
        let (count, after) = (late.len(), (first.at - told).as_secs_f64());
        breaks.push(format!(
            "e1 got {count} queries, the first ({}) {after:.1} s after Consul's answers without it", first.id
        ));
    }
    if !trouble() && late.is_empty() {
        breaks.push("e1 was put back and not used".into());
    }
    judge(&record, &breaks)
}
