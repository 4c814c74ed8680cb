//! Cases of an independent review: `case NAME RECORD`, from the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0`
//! it runs without the disruption.

mod client;
mod engine;
mod exclusion;
mod foreign_rows;
mod group;
mod http;
mod left_list;
mod limit;
mod list;
mod order;
mod record;
mod router;
mod second_attempt;
mod settings;

use std::os::unix::process::parent_id;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
}

type Case = fn(&Arc<Record>, bool) -> Result<Outcome, String>;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let cases: [(&str, Case); 7] = [
        ("foreign-rows", foreign_rows::run),
        ("second-attempt", second_attempt::run),
        ("order", order::run),
        ("limit", limit::run),
        ("exclusion", exclusion::run),
        ("left-list", left_list::run),
        ("group", group::run),
    ];
    let case = args.get(1).and_then(|name| cases.iter().find(|(known, _)| known == name));
    let (Some((_, case)), Some(path)) = (case, args.get(2)) else {
        eprintln!("usage: case NAME RECORD");
        exit(2);
    };
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(if trouble { "with the disruption" } else { "without the disruption" });
    let (case, of_case) = (*case, record.clone());
    let running = std::thread::spawn(move || case(&of_case, trouble));
    let mut waited = Duration::ZERO;
    let script = parent_id();
    while !running.is_finished() && waited < LIMIT {
        if parent_id() != script {
            // The script was interrupted.
            router::kill_all();
            router::remove_folder();
            exit(2);
        }
        std::thread::sleep(Duration::from_millis(50));
        waited += Duration::from_millis(50);
    }
    let result = if running.is_finished() {
        running.join().unwrap_or_else(|_| Err("the case panicked".into()))
    } else {
        Err("the case took too long".into())
    };
    match result {
        Ok(Outcome::Held) => record.line("the rule held"),
        Ok(Outcome::Broken) => {
            record.line("the rule was broken");
            exit(1);
        }
        Err(error) => {
            router::kill_all();
            record.line(&format!("could not run: {error}"));
            exit(2);
        }
    }
}
