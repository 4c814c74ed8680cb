//! Text for operators: peers, limits, engine health and counters.

use marljunction_core::limits::FleetLimits;
use marljunction_health::Node as HealthNode;
use marljunction_peers::Members;

use crate::config::FleetConfig;

/// Largest number of pieces of evidence in the output.
const MAX_SHOWN_EVIDENCE: usize = 200;
const NS_PER_MS: u64 = 1_000_000;

/// Returns the time since `since_ns`, in seconds.
fn age_s(now: u64, since_ns: u64) -> f64 {
    now.saturating_sub(since_ns) as f64 / 1e9
}

/// Formats peers and limits as `marljunction fleet` prints them.
pub(crate) fn describe_fleet(
    now: u64,
    members: &Members,
    config: &FleetConfig,
    limits: &mut FleetLimits,
) -> String {
    let recovers = if limits.node().recovers() { ", asks what it lent before" } else { "" };
    let mut lines = vec![format!("router {} of {}{recovers}", members.me().number, config.routers)];
    for peer in members.up() {
        let age = age_s(now, peer.incarnation);
        lines.push(format!("peer {} number {} at {} up {age:.0} s", peer.name, peer.number, peer.address));
    }
    lines.extend(describe_limits(now, config, limits));
    let (datagrams, bytes) = members.sent();
    let rejected: Vec<String> =
        members.rejected_datagrams().map(|(reason, count)| format!("{reason} {count}")).collect();
    lines.push(format!("sent {datagrams} datagrams, {bytes} bytes; passed over: {}", rejected.join(", ")));
    lines.join("\n")
}

fn describe_limits(now: u64, config: &FleetConfig, limits: &mut FleetLimits) -> Vec<String> {
    let mut lines = Vec::new();
    let limit_indices: Vec<u16> = limits.limit_indices().collect();
    for (place, entry) in limit_indices.into_iter().zip(&config.limits) {
        let (kind, refused) = (entry.limit.kind, limits.refused(place));
        lines.push(format!("limit {} {kind:?} refused {refused}", entry.limit.name));
        for (key, state) in limits.node().busiest_keys(now, place) {
            lines.push(format!(
                "  key {key:016x} owned {} lent {} borrowed {} usable {} out {}",
                state.owned, state.leased_out, state.leased_in, state.usable, state.in_flight
            ));
        }
    }
    lines
}

/// Formats the fleet's engine health.
pub(crate) fn describe_health(now: u64, node: &mut HealthNode) -> String {
    let evaluation = node.evaluation().clone();
    let mut lines = vec![format!("{} peers can be reached", node.peers())];
    for (name, entry) in node.overrides().iter() {
        let (state, router) = (if entry.excluded { "out" } else { "back" }, entry.version.router);
        let age = age_s(now, entry.version.ms.saturating_mul(NS_PER_MS));
        lines.push(format!("engine {name} {state} by an operator at router {router} {age:.0} s ago"));
    }
    for (engine, status) in &evaluation.engines {
        lines.push(format!("engine {engine:016x} {status:?} by evidence"));
    }
    for (engine, observer, stored) in node.evidence().iter().take(MAX_SHOWN_EVIDENCE) {
        let (since, reported) = (age_s(now, stored.since_ns), age_s(now, stored.reported_ns));
        lines.push(format!(
            "  engine {engine:016x} router {observer} {:?} since {since:.1} s, said {reported:.1} s ago",
            stored.finding
        ));
    }
    for router in &evaluation.suspects {
        lines.push(format!("router {router} finds engines bad that serve others: it does not count"));
    }
    lines.join("\n")
}

/// Formats counters as one line.
pub(crate) fn counters_line(members: &Members, limits: &FleetLimits) -> String {
    let rejected: u64 = members.rejected_datagrams().map(|(_, count)| count).sum();
    let (datagrams, bytes) = members.sent();
    format!(
        "fleet_peers={} fleet_datagrams={datagrams} fleet_bytes={bytes} fleet_spoilt={rejected} fleet_limited={}",
        members.up().count(),
        limits.total_refused(),
    )
}
