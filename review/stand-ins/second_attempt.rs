//! A report runs on an engine that drains and refuses new connections. The connection of its call
//! is reset. Broken if the report runs on two engines at once.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::Client;
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
    let file = config("127.0.0.1:0", Some(coordinator.address), Some(&known), &Classes::default());
    let file = folder.write("config.json", &file).map_err(text)?;
    let router = Router::start(&folder, "n1", &[("ROUTER_CONFIG", &file)], None)?;
    let address = router.address("")?;

    let mut client = Client::connect(address).map_err(text)?;
    record.line("client: report 1, 24 s to wait, about 5 s of time");
    let answer = std::thread::spawn(move || {
        let statement = "select * from sales_17.orders /* run 5000 ms */";
        client.call("report", &fields(1, 24_000, 20_000), statement, Duration::from_secs(26))
    });
    std::thread::sleep(Duration::from_secs(1));
    let at = engines.iter().find(|e| !e.runs().is_empty()).ok_or("the report was not sent")?.clone();
    record
        .line(&format!("coordinator: {} is terminating; it refuses new connections from here on", at.name()));
    coordinator.publish(2, false, &[entry(at.name(), at.address, 1, "terminating")]);
    at.refuse_connections();
    std::thread::sleep(Duration::from_secs(1));
    if trouble {
        at.set(|faults| faults.reset_next_call = true);
    }
    let answer = answer.join().map_err(|_| "the client ended")?;
    record.line(&format!("client: {answer:?}"));
    std::thread::sleep(Duration::from_secs(2));

    let now = Instant::now();
    let mut runs: Vec<_> = engines.iter().flat_map(Engine::runs).collect();
    runs.sort_by_key(|run| run.from);
    let mut broken = false;
    for run in &runs {
        let (to, end) = run.end.map_or((now, None), |(at, end)| (at, Some(end)));
        let times = format!("{:.3} to {:.3} s", record.seconds(run.from), record.seconds(to));
        record.line(&format!("run of {} on {}: {times}, {end:?}", run.id, run.engine));
    }
    for pair in runs.windows(2) {
        let until = pair[0].end.map_or(now, |(at, _)| at);
        let both = until.saturating_duration_since(pair[1].from);
        if both > SLACK {
            record.line(&format!(
                "BROKEN: {} ran on {} and {} at once for {:.3} s",
                pair[0].id,
                pair[0].engine,
                pair[1].engine,
                both.as_secs_f64()
            ));
            broken = true;
        }
    }
    Ok(if broken { Outcome::Broken } else { Outcome::Held })
}
