//! Operators take two engines out during an upgrade, one call to each of the two processes.

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use stand_ins::client::ask_once;
use stand_ins::engine::{Engine, Started};
use stand_ins::record::Record;
use stand_ins::router::{finish, free_address, guard, judge, trouble, Router, Start, Target};

/// Time from the calls to the restart of the engines that are out.
const BEFORE_RESTART: Duration = Duration::from_secs(4);
/// The grace of the rule on drains with the slack of the protocol page.
const GRACE: Duration = Duration::from_millis(550);
/// Time for which the bans must hold after that.
const WATCHED: Duration = Duration::from_secs(4);
/// Clients that send lookups, and clients that send loads.
const CLIENTS: [(&str, usize, &str); 2] = [
    ("lookup", 4, "select a, b, c from sales_17.orders /* run=30 */"),
    ("service-load", 3, "insert into sales_17.orders values (1) /* run=800 */"),
];

fn main() {
    guard();
    let record = Record::create(&std::env::args().nth(1).expect("the path of the record"));
    let engines: Vec<Engine> = (1..=4).map(|n| Engine::start(&format!("e{n}"), &record)).collect();
    // The platform holds the clients' listening socket, and every process inherits it.
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listen = socket.local_addr().unwrap().to_string();
    let operators = [free_address(), free_address()];
    let start = |name, operator| {
        let start = Start {
            name, listen: &listen, operator, coordinator: None, engines: &Target::of(&engines), socket: Some(&socket),
            postgres: None, keyed_loads: false,
        };
        let mut router = Router::start(&record, &start);
        if let Err(why) = router.wait_ready(Duration::from_secs(6)) {
            eprintln!("the router did not start: {why}");
            finish(2);
        }
        router
    };
    let old = start("old", &operators[0]);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = CLIENTS
        .into_iter()
        .flat_map(|client| std::iter::repeat_n(client, client.1))
        .map(|(class, _, statement)| {
            let (listen, record, stop) = (listen.clone(), record.clone(), stop.clone());
            let work_ms = if class == "lookup" { 30 } else { 1_600 };
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    ask_once(&listen, &record, class, 5_000, work_ms, statement);
                    sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(1));
    let new = trouble().then(|| start("new", &operators[1]));
    sleep(Duration::from_millis(500));
    let second = new.as_ref().unwrap_or(&old);
    let mut bans = Vec::new();
    for (router, engine) in [(&old, "e1"), (second, "e2")] {
        if router.operate("/engines/disable", engine) / 100 != 2 {
            eprintln!("the router refused the call");
            finish(2);
        }
        bans.push((engine, record.now()));
    }
    sleep(Duration::from_secs(1));
    if trouble() {
        old.signal("TERM");
    }
    sleep(BEFORE_RESTART);
    // Operators restart the engines that they have taken out.
    let mut ended = Vec::new();
    for engine in &engines[..2] {
        ended.extend(engine.stop());
        engine.start_again();
    }
    sleep(WATCHED);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    for router in [Some(&old), new.as_ref()].into_iter().flatten() {
        router.copy_log("excluded engines read");
    }
    let mut breaks = Vec::new();
    for (uid, since) in bans {
        let engine = engines.iter().find(|engine| engine.uid == uid).unwrap();
        let before = engine.started().iter().filter(|query| query.at < since).count();
        let late: Vec<_> = engine.started().into_iter().filter(|query| query.at > since + GRACE).collect();
        record.line(format!("{uid}: {before} queries before the yes, {} later than {GRACE:?} after it", late.len()));
        let lost = |query: &&Started| query.class == "service-load" && ended.contains(&query.id);
        record.line(format!("{uid}: {} of these were loads that the restart ended", late.iter().filter(lost).count()));
        if before == 0 {
            eprintln!("{uid} was not in use before the call");
            finish(2);
        }
        if let Some(first) = late.first() {
            let after = (first.at - since).as_secs_f64();
            breaks.push(format!("{uid} got {} queries, the first ({}) {after:.2} s after the yes", late.len(), first.id));
        }
    }
    judge(&record, &breaks)
}
