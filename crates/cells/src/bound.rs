//! By when a router's part holds what the list service told, under each fault, computed from the settings.
//!
//! All bounds count from when a relay that is not at fault has taken the change. They hold where a datagram takes no longer
//! than the delay that the terms state, and with the chance that the terms state where datagrams get lost.

use crate::jitter::max_jittered;
use crate::relay::RelaySettings;
use crate::subscriber::{max_quick_retries, MAX_UNANSWERED, MIN_INTERVAL_DIVISOR, RETRY_DIVISOR};

/// What bounds are computed from.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundParams {
    /// Routers of the fleet (count).
    pub routers: u32,
    /// Relays (count).
    pub relays: u32,
    /// Time between asks (ns).
    pub ask_ns: u64,
    /// Age from which a relay does not count as hearing the list service (ns).
    pub silence_ns: u64,
    /// How long relays must say that the list service counts anew (ns).
    pub settle_ns: u64,
    /// Time in which a relay that lost the list service hears it again (ns).
    pub reconnect_ns: u64,
    /// Datagrams of a whole part (count).
    pub pieces: u32,
    /// The longest that a datagram takes (ns).
    pub delay_ns: u64,
    /// Share of datagrams that get lost, where the fault is loss.
    pub loss: f64,
    /// Chance that the bound under loss does not hold for a change.
    pub miss_probability: f64,
    /// How often the processes look after what is due (ns).
    pub tick_ns: u64,
}

impl Default for BoundParams {
    fn default() -> Self {
        BoundParams {
            routers: 1,
            relays: 1,
            ask_ns: 1_000_000_000,
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

/// What can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Nothing.
    None,
    /// Datagrams overtake each other.
    Reordering,
    /// Datagrams get lost.
    Loss,
    /// The router's relay is gone, or stands still, at whatever moment, and goes on or not.
    RelayStopped,
    /// The router's relay is replaced by another process under its address.
    RelayReplaced,
    /// No relay can be reached; counted from when all can again.
    Partition,
    /// The list service is away; counted from when it is back.
    ServiceUnavailable,
    /// The list service counts its events anew, from below.
    VersionRestart,
    /// All routers start knowing nothing.
    ColdStart,
    /// The same, with one relay left.
    ColdStartOneRelay,
}

/// All of them, with names for operators.
pub const FAULTS: [(Fault, &str); 10] = [
    (Fault::None, "nothing at fault"),
    (Fault::Reordering, "datagrams overtake each other"),
    (Fault::Loss, "datagrams lost"),
    (Fault::RelayStopped, "the relay is gone or stands still"),
    (Fault::RelayReplaced, "the relay is replaced under its address"),
    (Fault::Partition, "cut off from all relays, from the end of the cut"),
    (Fault::ServiceUnavailable, "the list service away, from when it is back"),
    (Fault::VersionRestart, "the list service counts anew"),
    (Fault::ColdStart, "all routers cold"),
    (Fault::ColdStartOneRelay, "all routers cold, one relay left"),
];

impl BoundParams {
    /// Datagrams that a relay sends in a second at most.
    fn budget_per_s(&self) -> u64 {
        let (ask_ns, silence_ns) = (self.ask_ns, self.silence_ns);
        RelaySettings { routers: self.routers, ask_ns, silence_ns }.budget_per_s()
    }

    /// Time in which a relay sends so many datagrams to each of so many routers (ns).
    fn send_time_ns(&self, routers: u64, datagrams: u32) -> u64 {
        routers.saturating_mul(u64::from(datagrams)).saturating_mul(1_000_000_000)
            / self.budget_per_s().max(1)
    }

    /// Routers that one relay has: twice its part, for what chance makes of the order.
    fn max_routers_per_relay(&self) -> u64 {
        u64::from((2 * self.routers.div_ceil(self.relays.max(1))).min(self.routers))
    }

    /// Time from when an ask is due until its answer of so many datagrams has come (ns).
    fn response_time_ns(&self, routers: u64, datagrams: u32) -> u64 {
        3 * self.tick_ns + 2 * self.delay_ns + self.send_time_ns(routers, datagrams)
    }

    /// The longest time between an answer and the next ask (ns).
    fn max_request_interval_ns(&self) -> u64 {
        max_jittered(self.ask_ns) + self.tick_ns
    }

    /// The longest time between an ask that was not answered, or not in whole, and the next (ns).
    fn max_retry_interval_ns(&self) -> u64 {
        max_jittered(self.ask_ns / RETRY_DIVISOR) + 2 * self.tick_ns + 2 * self.delay_ns
    }

    /// Time over which first asks are spread, so that no relay owes more than its budget takes (ns).
    pub fn spread_ns(&self) -> u64 {
        self.send_time_ns(self.max_routers_per_relay(), self.pieces + 1)
    }

    /// Rounds after which, but for the chance, each datagram of a part has come once (count).
    fn max_rounds(&self) -> u64 {
        let round_loss = 1.0 - (1.0 - self.loss) * (1.0 - self.loss);
        let pieces = f64::from(self.pieces.max(1));
        ((self.miss_probability / pieces).ln() / round_loss.max(1e-9).ln()).ceil().max(1.0) as u64
    }

    fn loss_bound_ns(&self) -> u64 {
        let max_rounds = self.max_rounds();
        // Past these, asks are paced as if nothing was wrong.
        let quick_rounds = max_rounds.min(u64::from(max_quick_retries(self.relays as usize)));
        self.max_request_interval_ns()
            + quick_rounds * self.max_retry_interval_ns()
            + (max_rounds - quick_rounds) * self.max_request_interval_ns()
    }

    /// The most that what a router knows can age while nothing is at fault (ns): the service is heard at least so often, and the
    /// router asks at least so often.
    pub fn max_age_ns(&self) -> u64 {
        self.silence_ns
            + self.max_request_interval_ns()
            + self.response_time_ns(self.max_routers_per_relay(), 1)
    }
}

/// The longest time until a change that a sound relay has taken is known at every router that can reach one (ns); for cold
/// routers, until each has its part.
pub fn bound_ns(bound_params: &BoundParams, fault: Fault) -> u64 {
    let interval_ns = bound_params.max_request_interval_ns();
    let snapshot_ns =
        bound_params.response_time_ns(bound_params.max_routers_per_relay(), bound_params.pieces);
    let single_ns = bound_params.response_time_ns(bound_params.max_routers_per_relay(), 1);
    let min_interval_ns = bound_params.ask_ns / MIN_INTERVAL_DIVISOR + bound_params.tick_ns;
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
        // Two relays are heard, twice each, then they are believed, and asked for the part.
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
            // The first that is asked is missed several times, and each other once.
            let requests = u64::from(MAX_UNANSWERED + bound_params.relays);
            bound_params.spread_ns()
                + requests * bound_params.max_retry_interval_ns()
                + bound_params.response_time_ns(all, bound_params.pieces)
        }
    }
}

/// What follows, as operators read it.
pub fn describe_bounds(bound_params: &BoundParams) -> Vec<String> {
    let seconds = |ns: u64| ns as f64 / 1e9;
    let mut lines = vec![format!(
        "cells: a part of {} datagrams from {} relays, asked for every {:.1} s; known to be at most {:.1} s old while nothing is \
         at fault; datagrams take at most {:.0} ms",
        bound_params.pieces,
        bound_params.relays,
        seconds(bound_params.ask_ns),
        seconds(bound_params.max_age_ns()),
        seconds(bound_params.delay_ns) * 1e3,
    )];
    for (fault, name) in FAULTS {
        let loss_note = match fault {
            Fault::Loss => {
                format!(
                    " ({:.0}% of them, missed by one change in {:.0})",
                    bound_params.loss * 100.0,
                    1.0 / bound_params.miss_probability
                )
            }
            _ => String::new(),
        };
        lines.push(format!(
            "  {name}{loss_note}: a change is known within {:.1} s",
            seconds(bound_ns(bound_params, fault))
        ));
    }
    lines
}
