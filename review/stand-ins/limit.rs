//! The engine of a load is cut off shortly before the load's time is up. Broken if the next load
//! runs while the first still does, over a strict limit of one.

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
/// Time limits grow by this on sockets.
const SLACK: Duration = Duration::from_millis(50);

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
    let classes = Classes { load_deadline_ms: 5_000, ..Classes::default() };
    let file = config("127.0.0.1:0", Some(coordinator.address), Some(&known), &classes);
    let file = folder.write("config.json", &file).map_err(text)?;
    let key = folder.write("fleet.key", &format!("{}\n", "0123456789abcdef".repeat(4))).map_err(text)?;
    let setup = format!(
        r#"fleet: {{
  listen: "127.0.0.1:0"
  key: "{}"
  seeds: []
  routers: 1
  limits: {{ "loads at once": {{ at_once: 1, by: "all", class: "service-load" }} }}
}}
"#,
        key.display()
    );
    let setup = folder.write("operator.conf", &setup).map_err(text)?;
    let router =
        Router::start(&folder, "n1", &[("ROUTER_CONFIG", &file), ("MARLJUNCTION_SETUP", &setup)], None)?;
    let address = router.address("")?;
    // After its start the router uses no units for about 2 s.
    std::thread::sleep(Duration::from_secs(4));

    let mut first = Client::connect(address).map_err(text)?;
    record.line("client 1: service-load 1, 4.5 s to wait; it takes 8 s");
    let begun = Instant::now();
    let of_record = record.clone();
    let first = std::thread::spawn(move || {
        let statement = "insert into sales_17.orders select * from staging.orders /* run 8000 ms */";
        let answer = first.call("service-load", &fields(1, 4_500, 3_000), statement, Duration::from_secs(6));
        of_record.line(&format!("client 1: {answer:?}"));
    });
    let until = |ms: u64| {
        std::thread::sleep((begun + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
    };
    until(500);
    let at = engines.iter().find(|e| !e.runs().is_empty()).ok_or("the load was not sent")?.clone();
    until(4_000);
    if trouble {
        record.line(&format!("{} is cut off for 6 s: its connections are silent", at.name()));
        at.cut();
    }
    let mut second = Client::connect(address).map_err(text)?;
    for id in 2..60 {
        let statement = "insert into sales_18.orders select * from staging.orders /* run 1500 ms */";
        record.line(&format!("client 2: service-load {id}"));
        let answer =
            second.call("service-load", &fields(id, 4_500, 2_000), statement, Duration::from_secs(6));
        record.line(&format!("client 2: {answer:?}"));
        match answer {
            Answer::Backoff(ms) => std::thread::sleep(Duration::from_millis(ms)),
            _ => break,
        }
    }
    until(10_000);
    at.mend();
    first.join().map_err(|_| "client 1 ended")?;

    let now = Instant::now();
    let mut runs: Vec<_> = engines.iter().flat_map(Engine::runs).collect();
    runs.sort_by_key(|run| run.from);
    for run in &runs {
        let (to, end) = run.end.map_or((now, None), |(at, end)| (at, Some(end)));
        let times = format!("{:.3} to {:.3} s", record.seconds(run.from), record.seconds(to));
        record.line(&format!("run of {} on {}: {times}, {end:?}", run.id, run.engine));
    }
    let mut broken = false;
    for (i, run) in runs.iter().enumerate() {
        for later in &runs[i + 1..] {
            let both = run.end.map_or(now, |(at, _)| at).saturating_duration_since(later.from);
            if both > SLACK {
                record.line(&format!(
                    "BROKEN: {} and {} ran at once for {:.3} s, one load is allowed",
                    run.id,
                    later.id,
                    both.as_secs_f64()
                ));
                broken = true;
            }
        }
    }
    Ok(if broken { Outcome::Broken } else { Outcome::Held })
}
