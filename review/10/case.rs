//! Discovery is down for 8 s, into the start of a release: an engine begins to drain meanwhile, and then ends.

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use stand_ins::client::ask_once;
use stand_ins::coordinator::Coordinator;
use stand_ins::engine::Engine;
use stand_ins::record::Record;
use stand_ins::router::{finish, free_address, guard, judge, trouble, Router, Start, Target};

const ROUTERS: u32 = 3;
/// How long discovery is down, and when in this time the release begins.
const DOWN: Duration = Duration::from_millis(8_000);
const RELEASE: Duration = Duration::from_millis(1_200);
/// An event counts as told at the latest after this time; then comes the grace of the rule on drains. Each of the
/// two limits is 50 ms longer on sockets.
const TOLD: Duration = Duration::from_millis(7_050);
const GRACE: Duration = Duration::from_millis(550);
/// When the draining engine ends, from the beginning of its drain.
const ENDS: Duration = Duration::from_millis(8_200);
/// Clients of each router: lookups and loads.
const CLIENTS: [(&str, usize, u64, &str); 2] = [
    ("lookup", 3, 40, "select a, b, c from sales_GROUP.orders /* run=40 */"),
    ("service-load", 6, 1_200, "insert into sales_GROUP.orders values (1) /* run=600 */"),
];

fn main() {
    guard();
    let record = Record::create(&std::env::args().nth(1).expect("the path of the record"));
    let engines: Vec<Engine> = (1..=4).map(|n| Engine::start(&format!("e{n}"), &record)).collect();
    let targets = Target::of(&engines);
    let coordinator = Coordinator::start(&record);
    let addresses: Vec<(String, String, String)> =
        (1..=ROUTERS).map(|n| (format!("n{n}"), free_address(), free_address())).collect();
    let mut routers = Vec::new();
    for (number, (name, listen, operator)) in (0..).zip(&addresses) {
        let start = Start {
            name,
            listen,
            operator,
            number: (number, ROUTERS),
            engines: &targets,
            coordinator: Some(&coordinator.address),
            ..Start::default()
        };
        let mut router = Router::start(&record, &start);
        if let Err(why) = router.wait_ready(Duration::from_secs(30)) {
            eprintln!("the router did not start: {why}");
            finish(2);
        }
        routers.push(router);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (_, listen, _) in &addresses {
        for (class, count, work_ms, statement) in CLIENTS {
            for group in 1..=count {
                let statement = statement.replace("GROUP", &group.to_string());
                let (listen, record, stop) = (listen.clone(), record.clone(), stop.clone());
                clients.push(std::thread::spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        ask_once(&listen, &record, class, 5_000, work_ms, &statement);
                        sleep(Duration::from_millis(20));
                    }
                }));
            }
        }
    }
    sleep(Duration::from_secs(5));
    if trouble() {
        coordinator.go_away();
    }
    sleep(RELEASE);
    let drains = record.now();
    let before = engines[0].started().len();
    coordinator.add(2, &[targets[0].entry("terminating")]);
    sleep(DOWN - RELEASE);
    if trouble() {
        coordinator.come_back();
    }
    sleep(ENDS.saturating_sub(record.now() - drains));
    let ended = engines[0].stop();
    coordinator.add(3, &[targets[0].entry("terminated")]);
    sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    if before == 0 {
        eprintln!("e1 was not in use before its drain");
        finish(2);
    }
    let late: Vec<_> =
        engines[0].started().into_iter().filter(|query| query.at > drains + TOLD + GRACE).collect();
    let lost = late.iter().filter(|query| query.class == "service-load" && ended.contains(&query.id)).count();
    record.line(format!(
        "e1: {} queries later than {:?} after the event, {lost} of them loads that ended with it",
        late.len(),
        TOLD + GRACE
    ));
    let mut breaks = Vec::new();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        let after = |query: &stand_ins::engine::Started| (query.at - drains).as_secs_f64();
        breaks.push(format!(
            "e1 got {} queries from {:.2} to {:.2} s after the coordinator had its drain; {lost} loads among them were lost",
            late.len(), after(first), after(last)
        ));
    }
    judge(&record, &breaks)
}
