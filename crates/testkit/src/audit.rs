//! What a fleet did, held against the rules. Pure: it reads what the stand-ins wrote down.

use std::collections::BTreeMap;

use crate::list::CallRecord;
use crate::server::QueryStart;

/// No new work goes to an engine so long after its router was told that it leaves (ns).
const DRAIN_GRACE_NS: u64 = 500_000_000;
/// News counts as told so late at the latest, connected or not (ns).
const MAX_NOTIFICATION_NS: u64 = 7_000_000_000;
/// Sockets' part (ns).
const SOCKET_SLACK_NS: u64 = 50_000_000;

/// What was found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Audit {
    /// Calls that start a query.
    pub sends: u64,
    /// Calls sent to an engine that was known to leave.
    pub late_sends: u64,
    /// Starts of a query that must not run twice, beyond the first of each.
    pub duplicate_runs: u64,
}

impl Audit {
    /// Holds what engines were sent against when each was told to leave (`left`, by engine, as the list service had it) and
    /// when each router was told so (`told`, by router and engine).
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
                audit.late_sends += u64::from(sent.at_ns > notified_ns + DRAIN_GRACE_NS + SOCKET_SLACK_NS);
            }
        }
        audit.duplicate_runs = starts.values().map(|n| n - 1).sum();
        audit
    }
}

/// Calls between two times (ns): how many, and the most within a window of `span_ns`.
pub fn calls_within(calls: &[CallRecord], from: u64, to: u64, span_ns: u64) -> (usize, usize) {
    let times: Vec<u64> = calls.iter().map(|c| c.at_ns).filter(|at| (from..to).contains(at)).collect();
    let most = times
        .iter()
        .enumerate()
        .map(|(i, first)| times[i..].iter().take_while(|at| **at < first + span_ns).count());
    (times.len(), most.max().unwrap_or(0))
}
