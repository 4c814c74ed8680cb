//! Checks the records of the stand-ins against the rules for draining engines and at-most-once
//! queries.

use std::collections::BTreeMap;

use crate::list::CallRecord;
use crate::server::QueryStart;

/// A router may still send queries to an engine for this long after it is notified of the drain.
const DRAIN_GRACE_NS: u64 = 500_000_000;
/// A router counts as notified at the latest after this time, even if it is not connected.
const MAX_NOTIFICATION_NS: u64 = 7_000_000_000;
/// Allowance for delays of the sockets.
const SOCKET_SLACK_NS: u64 = 50_000_000;

/// A query start at an engine after the router was notified of its drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LateSend {
    /// The engine.
    pub engine: String,
    /// Router index in the statement.
    pub router: Option<usize>,
    /// Time from the start of the drain to the query start (ns).
    pub after_drain_ns: u64,
    /// Time from the router's notification, real or assumed, to the query start (ns).
    pub after_notification_ns: u64,
}

/// Result of the check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Audit {
    /// Query starts.
    pub sends: u64,
    /// Query starts at an engine after the router was notified of its drain.
    pub late_sends: u64,
    /// Each of these.
    pub late: Vec<LateSend>,
    /// Starts of at-most-once queries beyond the first of each.
    pub duplicate_runs: u64,
}

impl Audit {
    /// Checks the query starts by engine. `drain_started_ns` holds the start of each engine's
    /// drain, `notified_ns` when each router was notified of it, by router and engine.
    pub fn check(
        sends: &[(&str, &[QueryStart])],
        drain_started_ns: &BTreeMap<String, u64>,
        notified_ns: &BTreeMap<(usize, String), u64>,
    ) -> Audit {
        let mut audit = Audit::default();
        let mut starts = BTreeMap::<&str, u64>::new();
        for (engine, sends) in sends {
            for sent in *sends {
                audit.sends += 1;
                if sent.at_most_once {
                    *starts.entry(&sent.name).or_default() += 1;
                }
                let Some(drain_started_ns) = drain_started_ns.get(*engine) else { continue };
                let notified =
                    sent.router.and_then(|router| notified_ns.get(&(router, (*engine).to_owned())));
                let notified_ns =
                    notified.copied().unwrap_or(u64::MAX).min(drain_started_ns + MAX_NOTIFICATION_NS);
                if sent.at_ns > notified_ns + DRAIN_GRACE_NS + SOCKET_SLACK_NS {
                    audit.late_sends += 1;
                    audit.late.push(LateSend {
                        engine: (*engine).to_owned(),
                        router: sent.router,
                        after_drain_ns: sent.at_ns - drain_started_ns,
                        after_notification_ns: sent.at_ns - notified_ns,
                    });
                }
            }
        }
        audit.duplicate_runs = starts.values().map(|n| n - 1).sum();
        audit
    }
}

/// Number of calls between two times, and the largest number of them within `span_ns`.
pub fn calls_within(calls: &[CallRecord], from: u64, to: u64, span_ns: u64) -> (usize, usize) {
    let times: Vec<u64> = calls.iter().map(|c| c.at_ns).filter(|at| (from..to).contains(at)).collect();
    let most = times
        .iter()
        .enumerate()
        .map(|(i, first)| times[i..].iter().take_while(|at| **at < first + span_ns).count());
    (times.len(), most.max().unwrap_or(0))
}
