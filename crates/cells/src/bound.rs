//! By when a router's part holds what the list service told, under each fault, computed from the settings.
//!
//! All bounds count from when a relay that is not at fault has taken the change. They hold where a datagram takes no longer
//! than the delay that the terms state, and with the chance that the terms state where datagrams get lost.

use crate::relay::RelaySettings;
use crate::schedule::at_most;
use crate::subscriber::{quick_asks, MAX_UNANSWERED, REPEAT_PART, SOON_PART};

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
    pub chance: f64,
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
            chance: 1e-6,
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
    fn sent_ns(&self, routers: u64, datagrams: u32) -> u64 {
        routers.saturating_mul(u64::from(datagrams)).saturating_mul(1_000_000_000)
            / self.budget_per_s().max(1)
    }

    /// Routers that one relay has: twice its part, for what chance makes of the order.
    fn per_relay(&self) -> u64 {
        u64::from((2 * self.routers.div_ceil(self.relays.max(1))).min(self.routers))
    }

    /// Time from when an ask is due until its answer of so many datagrams has come (ns).
    fn answered_ns(&self, routers: u64, datagrams: u32) -> u64 {
        3 * self.tick_ns + 2 * self.delay_ns + self.sent_ns(routers, datagrams)
    }

    /// The longest time between an answer and the next ask (ns).
    fn ask_at_most_ns(&self) -> u64 {
        at_most(self.ask_ns) + self.tick_ns
    }

    /// The longest time between an ask that was not answered, or not in whole, and the next (ns).
    fn repeat_at_most_ns(&self) -> u64 {
        at_most(self.ask_ns / REPEAT_PART) + 2 * self.tick_ns + 2 * self.delay_ns
    }

    /// Time over which first asks are spread, so that no relay owes more than its budget takes (ns).
    pub fn spread_ns(&self) -> u64 {
        self.sent_ns(self.per_relay(), self.pieces + 1)
    }

    /// Rounds after which, but for the chance, each datagram of a part has come once (count).
    fn rounds(&self) -> u64 {
        let missed = 1.0 - (1.0 - self.loss) * (1.0 - self.loss);
        let pieces = f64::from(self.pieces.max(1));
        ((self.chance / pieces).ln() / missed.max(1e-9).ln()).ceil().max(1.0) as u64
    }

    fn lossy_ns(&self) -> u64 {
        let rounds = self.rounds();
        // Past these, asks are paced as if nothing was wrong.
        let quick = rounds.min(u64::from(quick_asks(self.relays as usize)));
        self.ask_at_most_ns() + quick * self.repeat_at_most_ns() + (rounds - quick) * self.ask_at_most_ns()
    }

    /// The most that what a router knows can age while nothing is at fault (ns): the service is heard at least so often, and the
    /// router asks at least so often.
    pub fn max_age_ns(&self) -> u64 {
        self.silence_ns + self.ask_at_most_ns() + self.answered_ns(self.per_relay(), 1)
    }
}

/// The longest time until a change that a sound relay has taken is known at every router that can reach one (ns); for cold
/// routers, until each has its part.
pub fn bound_ns(bound_params: &BoundParams, fault: Fault) -> u64 {
    let ask = bound_params.ask_at_most_ns();
    let whole = bound_params.answered_ns(bound_params.per_relay(), bound_params.pieces);
    let short = bound_params.answered_ns(bound_params.per_relay(), 1);
    let soon = bound_params.ask_ns / SOON_PART + bound_params.tick_ns;
    let pushed =
        bound_params.sent_ns(bound_params.per_relay(), 1) + bound_params.delay_ns + 2 * bound_params.tick_ns;
    let next = soon + whole;
    match fault {
        Fault::None => pushed,
        Fault::Reordering => pushed + next,
        Fault::Loss => bound_params.lossy_ns() + whole,
        Fault::RelayStopped => ask + u64::from(MAX_UNANSWERED) * bound_params.repeat_at_most_ns() + next,
        Fault::RelayReplaced => ask + short + next,
        Fault::Partition => ask + whole,
        Fault::ServiceUnavailable => bound_params.reconnect_ns + pushed,
        // Two relays are heard, twice each, then they are believed, and asked for the part.
        Fault::VersionRestart => {
            bound_params.reconnect_ns + bound_params.settle_ns.max(4 * ask) + 2 * ask + short + next
        }
        Fault::ColdStart => bound_params.spread_ns() + whole,
        Fault::ColdStartOneRelay => {
            let all = u64::from(bound_params.routers);
            // The first that is asked is missed several times, and each other once.
            let asks = u64::from(MAX_UNANSWERED + bound_params.relays);
            bound_params.spread_ns()
                + asks * bound_params.repeat_at_most_ns()
                + bound_params.answered_ns(all, bound_params.pieces)
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
        let lost = match fault {
            Fault::Loss => {
                format!(
                    " ({:.0}% of them, missed by one change in {:.0})",
                    bound_params.loss * 100.0,
                    1.0 / bound_params.chance
                )
            }
            _ => String::new(),
        };
        lines.push(format!(
            "  {name}{lost}: a change is known within {:.1} s",
            seconds(bound_ns(bound_params, fault))
        ));
    }
    lines
}
