//! A router is drained while clients keep using their open connections.

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use stand_ins::client::{fields, new_request_id, request, Connection, Incoming};
use stand_ins::engine::Engine;
use stand_ins::record::Record;
use stand_ins::router::{finish, free_address, guard, judge, trouble, Router, Start, Target};

/// Pause of a busy client between an answer and its next request.
const PAUSE: Duration = Duration::from_millis(10);
/// From this time after the call on, the router must not hold such a connection.
const LATEST: Duration = Duration::from_secs(4);
/// A request of this age or younger counts.
const RECENT: Duration = Duration::from_secs(2);

/// What is known of one client's connection.
#[derive(Default)]
struct Seen {
    /// When the last request was sent that the router answered, and when the connection ended.
    last_taken: Option<Duration>,
    requests: u32,
    ended: Option<Duration>,
}

/// Sends lookups on one connection, each after the answer to the one before, until it ends.
fn client(name: &str, listen: &str, pause: Duration, record: &Record, stop: &AtomicBool, seen: &Mutex<Seen>) {
    let mut connection = Connection::open(listen).expect("the router accepts");
    for number in 1.. {
        if stop.load(Ordering::Relaxed) {
            return connection.close();
        }
        let id = new_request_id();
        let sent = record.now();
        let text = "select a, b, c from sales_17.orders /* run=40 */";
        connection.write(&request(number, "lookup", &fields(&id, 5_000, 40), text));
        match connection.next(Duration::from_millis(5_500)) {
            Some(Incoming::Answer(_, answer)) => {
                let mut seen = seen.lock().unwrap();
                (seen.last_taken, seen.requests) = (Some(sent), seen.requests + 1);
                if seen.requests % 20 == 1 {
                    record.line(format!("client {name}: request {number} {id}: {}", answer.trim_end()));
                }
            }
            end => {
                record.line(format!("client {name}: request {number} {id}: no answer: {end:?}"));
                seen.lock().unwrap().ended = Some(record.now());
                return;
            }
        }
        // An end that comes during the pause is seen by the next write.
        sleep(pause);
    }
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
    let stop = Arc::new(AtomicBool::new(false));
    // The third one pauses for long, to show that its connection is closed.
    let clients = [("busy 1", PAUSE), ("busy 2", PAUSE * 2), ("calm", PAUSE * 30)];
    let threads: Vec<_> = clients
        .into_iter()
        .map(|(name, pause)| {
            let (listen, record, stop) = (listen.clone(), record.clone(), stop.clone());
            let seen = Arc::new(Mutex::new(Seen::default()));
            let of_thread = seen.clone();
            let thread = std::thread::spawn(move || client(name, &listen, pause, &record, &stop, &of_thread));
            (name, seen, thread)
        })
        .collect();
    sleep(Duration::from_secs(2));
    if threads.iter().any(|(_, seen, _)| seen.lock().unwrap().requests == 0) {
        eprintln!("a client was not served before the call");
        finish(2);
    }
    let called = record.now();
    if trouble() && router.operate("/drain", "") / 100 != 2 {
        finish(2);
    }
    sleep(LATEST + Duration::from_secs(4));
    let (now, ready) = (record.now(), router.ready());
    record.line(format!(
        "operator: GET /ready is answered {ready}, {:.1} s after the call",
        (now - called).as_secs_f64()
    ));
    let mut breaks = Vec::new();
    for (name, seen, _) in &threads {
        let seen = seen.lock().unwrap();
        let last = seen.last_taken.unwrap_or_default();
        record.line(format!(
            "client {name}: {} requests answered, the last one sent at {last:?}, ended {:?}",
            seen.requests, seen.ended
        ));
        let held = seen.ended.is_none() && now - last <= RECENT && last > called + LATEST;
        if trouble() && held {
            let after = (last - called).as_secs_f64();
            breaks.push(format!(
                "client {name}: its connection is open, and took a request {after:.1} s after the call"
            ));
        }
        if !trouble() && seen.ended.is_some() {
            breaks.push(format!("client {name}: its connection ended without a drain"));
        }
    }
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|(_, _, thread)| drop(thread.join()));
    judge(&record, &breaks)
}
