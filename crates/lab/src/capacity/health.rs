//! Measures the cost of sharing engine health: at rest by the number of routers, and by the rate of
//! changing evidence.

use marljunction_health::observer::AttemptOutcome;
use marljunction_testkit::health_fleet::{Fleet, MS, S};

use super::clock::thread_ns;
use super::{series, Figures};

const ROUTERS: [usize; 4] = [40, 100, 200, 400];
/// Changes of evidence per second in the whole fleet.
const CHANGES: [f64; 5] = [0.5, 1.0, 2.0, 4.0, 8.0];
/// Changes of evidence per second that use a router's whole message budget.
const FULL: f64 = 100.0;
/// Number of routers for the measurement by changes of evidence.
const CHANGES_ROUTERS: usize = 100;
const MEASURED_S: u64 = 4;
/// Bytes of a signed datagram beside its message: signature and sender, as in [`super::limits`].
const SIGNATURE_BYTES: f64 = 70.0;

fn each(n: u64, routers: usize) -> f64 {
    n as f64 / MEASURED_S as f64 / routers as f64
}

/// Bytes and processor time (ms) per second of one router at rest, and time until an operator's
/// override has reached all routers (s).
fn cost_at_rest(routers: usize) -> [f64; 3] {
    let mut fleet = Fleet::new(routers, 1);
    // Wait until gossip of the start has ended.
    fleet.run(15 * S);
    let (before, cpu) = ((fleet.messages, fleet.bytes), thread_ns());
    fleet.run(MEASURED_S * S);
    let cpu = thread_ns() - cpu;
    let bytes =
        each(fleet.bytes - before.1, routers) + each(fleet.messages - before.0, routers) * SIGNATURE_BYTES;
    let now = fleet.now;
    fleet.node(0).set_override(now, "e1", true);
    let propagation_ns =
        fleet.run_until(20 * S, "override received", |f| f.all(|n| n.overrides().get("e1").is_some()));
    [bytes, each(cpu, routers) / 1e6, propagation_ns as f64 / 1e9]
}

/// Bytes, messages and processor time (ms) per second of one router with this number of changes of
/// evidence per second.
fn cost_at_change_rate(routers: usize, changes: f64) -> [f64; 3] {
    const WARM_UP_NS: u64 = 4 * S;
    let mut fleet = Fleet::new(routers, 1);
    fleet.run(10 * S);
    let (started_ns, mut change_count) = (fleet.now, 0);
    let mut before = ((0, 0), 0);
    while fleet.now < started_ns + WARM_UP_NS + MEASURED_S * S {
        let elapsed_ns = fleet.now - started_ns;
        if elapsed_ns == WARM_UP_NS {
            before = ((fleet.messages, fleet.bytes), thread_ns());
        }
        while (change_count as f64) < changes * elapsed_ns as f64 / 1e9 {
            // The routers take turns to change their evidence on one engine.
            let outcome = if change_count / routers % 2 == 0 {
                AttemptOutcome::Silent
            } else {
                AttemptOutcome::Served(MS)
            };
            fleet.attempt_ended(change_count % routers, (change_count % 20) as u64, outcome);
            change_count += 1;
        }
        fleet.run(100 * MS);
    }
    let cpu = thread_ns() - before.1;
    let messages = each(fleet.messages - before.0 .0, routers);
    let bytes = each(fleet.bytes - before.0 .1, routers) + messages * SIGNATURE_BYTES;
    [bytes, messages, each(cpu, routers) / 1e6]
}

/// Measures the costs by the number of routers and by the rate of changes.
pub fn measure(figures: &mut Figures) {
    let mut add = |names: [(&str, &str, &str); 3], by: &str, of: Vec<(f64, [f64; 3])>| {
        for (at, (name, what, unit)) in names.into_iter().enumerate() {
            let values = of.iter().map(|(count, cost)| (*count, vec![cost[at]])).collect();
            figures.insert(name.into(), series(what, unit, by, values));
        }
    };
    let names = [
        (
            "verdicts_rest_bytes_s",
            "verdicts, bytes a second of one router at rest, with the seal's part worked out",
            "bytes/s",
        ),
        (
            "verdicts_rest_ms_s",
            "verdicts, processor time a second of one router at rest, without sockets",
            "ms/s",
        ),
        ("verdicts_heard_s", "verdicts, time until an operator's word is heard by all", "s"),
    ];
    add(names, "routers", ROUTERS.iter().map(|n| (*n as f64, cost_at_rest(*n))).collect());
    let names = [
        (
            "verdicts_bytes_s",
            "verdicts, bytes a second of one of 100 routers, with the seal's part worked out",
            "bytes/s",
        ),
        ("verdicts_messages_s", "verdicts, messages a second of one of 100 routers", "1/s"),
        ("verdicts_ms_s", "verdicts, processor time a second of one of 100 routers, without sockets", "ms/s"),
    ];
    let changing_by = CHANGES.iter().map(|n| (*n, cost_at_change_rate(CHANGES_ROUTERS, *n))).collect();
    add(names, "pieces of evidence that change a second", changing_by);
    let names = [
        (
            "verdicts_full_bytes_s",
            "verdicts, bytes a second of one router, 100 pieces of evidence change a second",
            "bytes/s",
        ),
        ("verdicts_full_messages_s", "verdicts, messages a second of one router, the same", "1/s"),
        (
            "verdicts_full_ms_s",
            "verdicts, processor time a second of one router, the same, without sockets",
            "ms/s",
        ),
    ];
    add(names, "routers", ROUTERS.iter().map(|n| (*n as f64, cost_at_change_rate(*n, FULL))).collect());
}
