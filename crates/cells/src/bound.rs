//! Bounds on the time in which a change reaches the routers under each fault, computed from the
//! settings.
//!
//! A bound counts from the moment when a working relay has applied the change. It assumes that a
//! datagram takes no longer than the configured delay and, under loss, holds with the configured
//! probability.

use crate::jitter::max_jittered;
use crate::relay::RelaySettings;
use crate::subscriber::{max_quick_retries, MAX_UNANSWERED, MIN_INTERVAL_DIVISOR, RETRY_DIVISOR};

/// Inputs of the bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundParams {
    /// Number of routers in the fleet.
    pub routers: u32,
    /// Number of relays.
    pub relays: u32,
    /// Interval between the requests of a router, in nanoseconds.
    pub request_interval_ns: u64,
    /// Time without contact after which a relay treats the list service as unavailable, in
    /// nanoseconds.
    pub silence_ns: u64,
    /// Time for which relays must report restarted event numbers before a router accepts them, in
    /// nanoseconds.
    pub settle_ns: u64,
    /// Time in which a relay regains a lost list service, in nanoseconds.
    pub reconnect_ns: u64,
    /// Number of datagrams in a snapshot.
    pub pieces: u32,
    /// Longest delivery time of a datagram, in nanoseconds.
    pub delay_ns: u64,
    /// Fraction of datagrams lost under [`Fault::Loss`].
    pub loss: f64,
    /// Probability that the bound under loss does not hold for a change.
    pub miss_probability: f64,
    /// Interval of the processes' periodic work, in nanoseconds.
    pub tick_ns: u64,
}

impl Default for BoundParams {
    fn default() -> Self {
        BoundParams {
            routers: 1,
            relays: 1,
            request_interval_ns: 1_000_000_000,
            silence_ns: 3_000_000_000,
            settle_ns: 10_000_000_000,
            reconnect_ns: 6_500_000_000,
            pieces: 6,
            delay_ns: 100_000_000,
            loss: 0.1,
            miss_probability: 1e-6,
            tick_ns: 20_000_000,
        }
    }
}

/// A fault for which a bound is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No fault.
    None,
    /// Datagrams are reordered.
    Reordering,
    /// Datagrams are lost.
    Loss,
    /// The router's relay stops or is paused, and may resume.
    RelayStopped,
    /// The router's relay is replaced by another process at its address.
    RelayReplaced,
    /// No relay is reachable. The bound counts from the end of the partition.
    Partition,
    /// The list service is unavailable. The bound counts from its return.
    ServiceUnavailable,
    /// The list service restarts its event numbers at a lower one.
    VersionRestart,
    /// All routers start without a list.
    ColdStart,
    /// All routers start without a list, and one relay is left.
    ColdStartOneRelay,
}

/// All faults with descriptions for operators.
pub const FAULTS: [(Fault, &str); 10] = [
    (Fault::None, "no fault"),
    (Fault::Reordering, "datagrams reordered"),
    (Fault::Loss, "datagrams lost"),
    (Fault::RelayStopped, "the relay stopped or paused"),
    (Fault::RelayReplaced, "the relay replaced at its address"),
    (Fault::Partition, "partition from all relays, counted from its end"),
    (Fault::ServiceUnavailable, "list service unavailable, counted from its return"),
    (Fault::VersionRestart, "the list service restarts its event numbers"),
    (Fault::ColdStart, "all routers cold"),
    (Fault::ColdStartOneRelay, "all routers cold, one relay left"),
];

impl BoundParams {
    /// Returns the largest number of datagrams that a relay sends per second.
    fn budget_per_s(&self) -> u64 {
        let (request_interval_ns, silence_ns) = (self.request_interval_ns, self.silence_ns);
        RelaySettings { routers: self.routers, request_interval_ns, silence_ns }.budget_per_s()
    }

    /// Returns the time in which a relay sends `datagrams` to each of `routers`, in nanoseconds.
    fn send_time_ns(&self, routers: u64, datagrams: u32) -> u64 {
        routers.saturating_mul(u64::from(datagrams)).saturating_mul(1_000_000_000)
            / self.budget_per_s().max(1)
    }

    /// Returns the largest number of routers that use one relay: twice the mean, to allow for the
    /// uneven distribution by hashing.
    fn max_routers_per_relay(&self) -> u64 {
        u64::from((2 * self.routers.div_ceil(self.relays.max(1))).min(self.routers))
    }

    /// Returns the time from when a request is due until its response of `datagrams` has arrived,
    /// in nanoseconds.
    fn response_time_ns(&self, routers: u64, datagrams: u32) -> u64 {
        3 * self.tick_ns + 2 * self.delay_ns + self.send_time_ns(routers, datagrams)
    }

    /// Returns the longest time between a response and the next request, in nanoseconds.
    fn max_request_interval_ns(&self) -> u64 {
        max_jittered(self.request_interval_ns) + self.tick_ns
    }

    /// Returns the longest time between a request without a complete response and the next one, in
    /// nanoseconds.
    fn max_retry_interval_ns(&self) -> u64 {
        max_jittered(self.request_interval_ns / RETRY_DIVISOR) + 2 * self.tick_ns + 2 * self.delay_ns
    }

    /// Returns the time over which first requests are spread, so that no relay exceeds its budget,
    /// in nanoseconds.
    pub fn spread_ns(&self) -> u64 {
        self.send_time_ns(self.max_routers_per_relay(), self.pieces + 1)
    }

    /// Returns the number of requests after which each datagram of a part has arrived once, except
    /// with the accepted probability.
    fn max_rounds(&self) -> u64 {
        let round_loss = 1.0 - (1.0 - self.loss) * (1.0 - self.loss);
        let pieces = f64::from(self.pieces.max(1));
        ((self.miss_probability / pieces).ln() / round_loss.max(1e-9).ln()).ceil().max(1.0) as u64
    }

    fn loss_bound_ns(&self) -> u64 {
        let max_rounds = self.max_rounds();
        // Further requests are sent at the normal interval.
        let quick_rounds = max_rounds.min(u64::from(max_quick_retries(self.relays as usize)));
        self.max_request_interval_ns()
            + quick_rounds * self.max_retry_interval_ns()
            + (max_rounds - quick_rounds) * self.max_request_interval_ns()
    }

    /// Returns the largest age of a part without faults, in nanoseconds.
    pub fn max_age_ns(&self) -> u64 {
        self.silence_ns
            + self.max_request_interval_ns()
            + self.response_time_ns(self.max_routers_per_relay(), 1)
    }
}

/// Returns the longest time until a change that a working relay has applied has reached every
/// router that can reach one, in nanoseconds; for cold routers, until each has its part.
pub fn bound_ns(bound_params: &BoundParams, fault: Fault) -> u64 {
    let interval_ns = bound_params.max_request_interval_ns();
    let snapshot_ns =
        bound_params.response_time_ns(bound_params.max_routers_per_relay(), bound_params.pieces);
    let single_ns = bound_params.response_time_ns(bound_params.max_routers_per_relay(), 1);
    let min_interval_ns = bound_params.request_interval_ns / MIN_INTERVAL_DIVISOR + bound_params.tick_ns;
    let push_ns = bound_params.send_time_ns(bound_params.max_routers_per_relay(), 1)
        + bound_params.delay_ns
        + 2 * bound_params.tick_ns;
    let resync_ns = min_interval_ns + snapshot_ns;
    match fault {
        Fault::None => push_ns,
        Fault::Reordering => push_ns + resync_ns,
        Fault::Loss => bound_params.loss_bound_ns() + snapshot_ns,
        Fault::RelayStopped => {
            interval_ns + u64::from(MAX_UNANSWERED) * bound_params.max_retry_interval_ns() + resync_ns
        }
        Fault::RelayReplaced => interval_ns + single_ns + resync_ns,
        Fault::Partition => interval_ns + snapshot_ns,
        Fault::ServiceUnavailable => bound_params.reconnect_ns + push_ns,
        // Two relays must report the restart, each twice, before the router requests their part.
        Fault::VersionRestart => {
            bound_params.reconnect_ns
                + bound_params.settle_ns.max(4 * interval_ns)
                + 2 * interval_ns
                + single_ns
                + resync_ns
        }
        Fault::ColdStart => bound_params.spread_ns() + snapshot_ns,
        Fault::ColdStartOneRelay => {
            let all = u64::from(bound_params.routers);
            // The first relay is tried several times, and each other one once.
            let requests = u64::from(MAX_UNANSWERED + bound_params.relays);
            bound_params.spread_ns()
                + requests * bound_params.max_retry_interval_ns()
                + bound_params.response_time_ns(all, bound_params.pieces)
        }
    }
}

/// Describes the bounds for operators, one line each.
pub fn describe_bounds(bound_params: &BoundParams) -> Vec<String> {
    let seconds = |ns: u64| ns as f64 / 1e9;
    let mut lines = vec![format!(
        "cells: a part of {} datagrams from {} relays, requested every {:.1} s; at most {:.1} s old without faults, if \
         datagrams take at most {:.0} ms",
        bound_params.pieces,
        bound_params.relays,
        seconds(bound_params.request_interval_ns),
        seconds(bound_params.max_age_ns()),
        seconds(bound_params.delay_ns) * 1e3,
    )];
    for (fault, name) in FAULTS {
        let loss_note = match fault {
            Fault::Loss => {
                format!(
                    " ({:.0}% of them; one change in {:.0} takes longer)",
                    bound_params.loss * 100.0,
                    1.0 / bound_params.miss_probability
                )
            }
            _ => String::new(),
        };
        lines.push(format!(
            "  {name}{loss_note}: a change arrives within {:.1} s",
            seconds(bound_ns(bound_params, fault))
        ));
    }
    lines
}
