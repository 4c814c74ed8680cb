//! A keyed load whose engines drop repeats by group; the list comes from Consul. The engine that
//! runs it falls silent. Broken if an engine of another group then runs it as well.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::engine::{End, Engine, SeenKeys};
use crate::list::start_consul;
use crate::record::Record;
use crate::router::{Folder, Router};
use crate::settings::{config, fields, Classes};
use crate::Outcome;

const EFFECT: &str = r#""effect":"deduplicated","dedup_scope":"cell","dedup_window_ns":12000000000"#;
/// Engines, two to a group.
const ENGINES: u32 = 6;
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// Starts the engines and returns them with their groups.
fn start_engines(record: &Arc<Record>) -> std::io::Result<Vec<(Engine, u32)>> {
    let group_of = |n: u32| n.div_ceil(2);
    let seen: BTreeMap<u32, SeenKeys> = (1..=ENGINES).map(|n| (group_of(n), SeenKeys::default())).collect();
    let start = |n: u32| {
        let engine = Engine::start_in_group(&format!("e{n}"), seen[&group_of(n)].clone(), record)?;
        Ok((engine, group_of(n)))
    };
    (1..=ENGINES).map(start).collect()
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let text = |e: std::io::Error| e.to_string();
    let folder = Folder::create().map_err(text)?;
    let engines = start_engines(record).map_err(text)?;
    let listed = engines.iter().map(|(e, group)| (e.name().to_owned(), e.address, *group)).collect();
    let consul = start_consul(listed).map_err(text)?;
    let classes = Classes { load_effect: EFFECT, ..Classes::default() };
    let file = folder.write("config.json", &config("127.0.0.1:0", None, None, &classes)).map_err(text)?;
    let setup = format!(
        r#"postgres: {{ class: "lookup", columns: ["c1", "c2", "c3"] }}
consul: {{ address: "{consul}", service: "engine" }}
"#
    );
    let setup = folder.write("operator.conf", &setup).map_err(text)?;
    let router =
        Router::start(&folder, "n1", &[("ROUTER_CONFIG", &file), ("MARLJUNCTION_SETUP", &setup)], None)?;
    let address = router.address("")?;
    std::thread::sleep(Duration::from_secs(2));

    let mut client = Client::connect(address).map_err(text)?;
    record.line(&format!("client: service-load 1 with key {KEY}, 1 s of time"));
    let answer = std::thread::spawn(move || {
        let mut of_call = fields(1, 18_000, 2_000);
        of_call.push(("token", KEY.into()));
        let statement = "insert into sales_17.orders select * from staging.orders /* run 1000 ms */";
        client.call("service-load", &of_call, statement, Duration::from_secs(20))
    });
    std::thread::sleep(Duration::from_millis(500));
    let at = engines.iter().find(|(e, _)| !e.runs().is_empty()).ok_or("the load was not sent")?;
    if trouble {
        record.line(&format!("{} of group {} falls silent, and stays so", at.0.name(), at.1));
        at.0.cut();
    }
    let answer = answer.join().map_err(|_| "the client ended")?;
    record.line(&format!("client: {answer:?}"));
    Ok(if judge(record, &engines) { Outcome::Broken } else { Outcome::Held })
}

/// Whether engines of more than one group ran the load to its end.
fn judge(record: &Record, engines: &[(Engine, u32)]) -> bool {
    let now = Instant::now();
    let mut groups: BTreeMap<u32, Vec<String>> = BTreeMap::new();
    for (engine, group) in engines {
        for run in engine.runs().iter().filter(|run| run.key.as_deref() == Some(KEY)) {
            let (to, end) = run.end.map_or((now, None), |(at, end)| (at, Some(end)));
            let times = format!("{:.3} to {:.3} s", record.seconds(run.from), record.seconds(to));
            record.line(&format!("run of key {KEY} on {} of group {group}: {times}, {end:?}", run.engine));
            if end == Some(End::Done) {
                groups.entry(*group).or_default().push(run.engine.clone());
            }
        }
    }
    let broken = groups.len() > 1;
    if broken {
        record.line(&format!("BROKEN: the load ran to its end in {} groups: {groups:?}", groups.len()));
    }
    broken
}
