//! Admissions on the usable units of one key.

use std::collections::VecDeque;

use crate::params::Kind;

/// Sends within this time are counted together, at the time of the last one.
const SEND_MERGE_NS: u64 = 5_000_000;

/// Admissions of one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Meter {
    /// Admissions in flight under a concurrency limit.
    in_flight: u32,
    /// Tokens of the bucket of a rate, and the time up to which it was refilled.
    tokens: f64,
    refilled_ns: u64,
    /// Sends under a window limit: when the first and the last of them stop counting, and their
    /// units.
    sent: VecDeque<(u64, u64, f64)>,
    /// Admissions in flight from before the key was tracked.
    untracked: u32,
}

impl Meter {
    /// Creates a meter whose bucket was empty at `since`, as earlier admissions are unknown.
    pub fn new(since: u64) -> Meter {
        Meter { in_flight: 0, tokens: 0.0, refilled_ns: since, sent: VecDeque::new(), untracked: 0 }
    }

    /// Sets the number of admissions in flight from before the key was tracked.
    pub fn set_untracked(&mut self, untracked: u32) {
        self.untracked = untracked;
    }

    /// Creates a meter whose bucket holds `tokens` at `now`.
    pub fn with_tokens(now: u64, tokens: f64) -> Meter {
        Meter { tokens, ..Meter::new(now) }
    }

    /// Time up to which the bucket was refilled (ns).
    pub fn refilled_ns(&self) -> u64 {
        self.refilled_ns
    }

    /// Refills the bucket up to `now`. `usable_throughout` units were usable since the last refill,
    /// and `usable` units are now. The local clock may run fast by `drift`.
    pub fn refill(&mut self, now: u64, kind: Kind, drift: f64, (usable_throughout, usable): (u32, u32)) {
        if let Kind::Window { .. } = kind {
            while self.sent.front().is_some_and(|(_, until, _)| *until <= now) {
                self.sent.pop_front();
            }
        }
        let Kind::Rate { per_s, burst } = kind else { return };
        let elapsed_s = now.saturating_sub(self.refilled_ns) as f64 / 1e9 / (1.0 + drift);
        let unit = per_s / f64::from(burst.max(1));
        // A limit has one unit per admission of its burst.
        self.tokens = (self.tokens + elapsed_s * unit * f64::from(usable_throughout)).min(f64::from(usable));
        self.refilled_ns = self.refilled_ns.max(now);
    }

    /// Records units sent under a window limit, which count until `until`. The caller checks them
    /// against the usable units.
    pub fn record_sent(&mut self, until: u64, units: f64) {
        // Merging bounds the number of entries by the length of the window.
        match self.sent.back_mut() {
            Some((first, last, sum)) if *first + SEND_MERGE_NS > until => {
                (*last, *sum) = (until, *sum + units);
            }
            _ => self.sent.push_back((until, until, units)),
        }
    }

    /// Whether `usable` units allow one more admission.
    pub fn admits(&self, kind: Kind, usable: u32) -> bool {
        match kind {
            Kind::Rate { .. } => self.tokens >= 1.0,
            Kind::Concurrency { .. } | Kind::Window { .. } => self.in_flight() < usable,
        }
    }

    /// Admits one request if `usable` units allow it. Under a window limit it counts until `until`.
    pub fn admit(&mut self, until: u64, kind: Kind, usable: u32) -> bool {
        let admits = self.admits(kind, usable);
        match kind {
            Kind::Rate { .. } => self.tokens -= if admits { 1.0 } else { 0.0 },
            Kind::Concurrency { .. } => self.in_flight += u32::from(admits),
            Kind::Window { .. } if admits => self.record_sent(until, 1.0),
            Kind::Window { .. } => {}
        }
        admits
    }

    /// Ends an admission.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Admissions in flight, or units sent within the window.
    pub fn in_flight(&self) -> u32 {
        self.in_flight + self.untracked + self.sent.iter().map(|(.., units)| units).sum::<f64>().ceil() as u32
    }

    /// Time until a refused request is worth retrying (ns), or `None` if only a lease can help.
    pub fn retry_after_ns(&self, kind: Kind, usable: u32) -> Option<u64> {
        let Kind::Rate { per_s, burst } = kind else { return None };
        let rate = per_s / f64::from(burst.max(1)) * f64::from(usable);
        (rate > 0.0).then(|| (((1.0 - self.tokens).max(0.0) / rate) * 1e9).ceil() as u64)
    }

    /// Nothing is in flight and the bucket is full, so a new meter would be equivalent.
    pub fn is_idle(&self, kind: Kind, usable: u32) -> bool {
        match kind {
            Kind::Rate { .. } => self.tokens >= f64::from(usable),
            Kind::Concurrency { .. } | Kind::Window { .. } => self.in_flight() == 0,
        }
    }
}
