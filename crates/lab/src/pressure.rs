//! One router beside clients that press on it: how long well-behaved clients wait, what they lose,
//! and the router's peak memory as a share of its limit.

use std::path::Path;
use std::time::Duration;

use marljunction_testkit::pressure::trouble::Trouble;
use marljunction_testkit::pressure::{Limits, PressureBed};
use serde_json::{Map, Value};

/// Time for which the trouble acts before it is measured.
const LEAD: Duration = Duration::from_millis(500);

/// The troubles, by the prefix of their keys.
const TROUBLES: [(&str, Trouble); 16] = [
    ("calm", Trouble::Calm),
    ("half_heads_300", Trouble::HalfHeads(300)),
    ("half_heads_2500", Trouble::HalfHeads(2_500)),
    ("half_statements_2500", Trouble::HalfStatements(2_500)),
    ("half_heads_beside_requests_2500", Trouble::HalfHeadsBesideRequests(2_500)),
    ("whole_heads_300", Trouble::WholeHeads(300)),
    ("readiness", Trouble::Readiness),
    ("forget", Trouble::Forget),
    ("unknown_notifications", Trouble::UnknownNotifications),
    ("invalid_calls", Trouble::InvalidCalls),
    ("new_names", Trouble::NewNames),
    ("nested_bytes", Trouble::NestedBytes),
    ("half_queries_2500", Trouble::HalfQueries(2_500)),
    ("syncs", Trouble::Syncs),
    ("invalid_queries", Trouble::InvalidQueries),
    ("new_parameters", Trouble::NewParameters),
];

/// Limits of the router.
const LIMITS: Limits = Limits { memory_mb: 64, sockets: 8_192 };

/// Measures each trouble with a router of its own.
///
/// # Errors
/// If the router or a client cannot be started.
pub fn run(program: &Path, quick: bool, _seed: u64) -> Result<Value, String> {
    let time = Duration::from_secs(if quick { 3 } else { 10 });
    let mut results = Map::new();
    let mut calm_p99_ms = 0.0;
    for (name, trouble) in TROUBLES {
        let bed = PressureBed::start(program, &format!("pressure-{name}"), LIMITS)?;
        let pressure = trouble.start(bed.addresses);
        std::thread::sleep(LEAD);
        let measured = bed.measure(time)?;
        let peak_mb = bed.peak_memory_mb();
        drop(pressure);
        let p99_ms = measured.quantile_ms(0.99);
        if trouble == Trouble::Calm {
            calm_p99_ms = p99_ms;
        }
        let mut insert = |key: &str, value: Value| results.insert(format!("{name}_{key}"), value);
        insert("answers", measured.latency_us.len().into());
        insert("p50_ms", measured.quantile_ms(0.5).into());
        insert("p99_ms", p99_ms.into());
        insert("p99_extra_ms", (p99_ms - calm_p99_ms).into());
        insert("lost", measured.lost.into());
        insert("refused", measured.refused.into());
        insert("peak_mb", peak_mb.into());
        insert("peak_share", (peak_mb / LIMITS.memory_mb as f64).into());
    }
    Ok(Value::Object(results))
}
