//! What the units that a router may use admit.

use std::collections::VecDeque;

use crate::terms::Kind;

/// Sent within this time of each other counts as sent together, at the last of them (ns).
const SEND_MERGE_NS: u64 = 5_000_000;

/// Admissions of one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Meter {
    /// Admissions that are out (count), of a concurrency.
    in_flight: u32,
    /// What a rate's bucket holds (admissions), and up to when it was filled (ns).
    tokens: f64,
    refilled_ns: u64,
    /// What was sent within a window: until when the first and the last of it counts (ns), and how much it is (units).
    sent: VecDeque<(u64, u64, f64)>,
    /// Admissions that are out beside those of this meter (count): of before the key was tracked.
    untracked: u32,
}

impl Meter {
    /// A meter whose bucket was empty at `since` (ns): what an earlier life took is not known.
    pub fn new(since: u64) -> Meter {
        Meter { in_flight: 0, tokens: 0.0, refilled_ns: since, sent: VecDeque::new(), untracked: 0 }
    }

    /// So many admissions are out beside its own.
    pub fn set_untracked(&mut self, untracked: u32) {
        self.untracked = untracked;
    }

    /// A bucket that holds so much at `now`, and nothing else that is known.
    pub fn with_tokens(now: u64, tokens: f64) -> Meter {
        Meter { tokens, ..Meter::new(now) }
    }

    /// Up to when the bucket was filled (ns).
    pub fn refilled_ns(&self) -> u64 {
        self.refilled_ns
    }

    /// Fills the bucket up to `now`, where `steady` units could be used all the time since it was last filled and `usable`
    /// can be now. The clock may run fast by `drift`.
    pub fn refill(&mut self, now: u64, kind: Kind, drift: f64, (usable_throughout, usable): (u32, u32)) {
        if let Kind::Window { .. } = kind {
            while self.sent.front().is_some_and(|(_, until, _)| *until <= now) {
                self.sent.pop_front();
            }
        }
        let Kind::Rate { per_s, burst } = kind else { return };
        let passed = now.saturating_sub(self.refilled_ns) as f64 / 1e9 / (1.0 + drift);
        let unit = per_s / f64::from(burst.max(1));
        // A unit's part of the burst is one admission, as there are as many units.
        self.tokens = (self.tokens + passed * unit * f64::from(usable_throughout)).min(f64::from(usable));
        self.refilled_ns = self.refilled_ns.max(now);
    }

    /// So many units' worth was sent, under a window's limit, and counts until then. Whoever sends holds it against the units
    /// that may be used.
    pub fn record_sent(&mut self, until: u64, units: f64) {
        // Many that are sent at once are one entry: the table is bounded by time.
        match self.sent.back_mut() {
            Some((first, last, sum)) if *first + SEND_MERGE_NS > until => {
                (*last, *sum) = (until, *sum + units);
            }
            _ => self.sent.push_back((until, until, units)),
        }
    }

    /// Whether one is admitted, by these units.
    pub fn admits(&self, kind: Kind, usable: u32) -> bool {
        match kind {
            Kind::Rate { .. } => self.tokens >= 1.0,
            Kind::Concurrency { .. } | Kind::Window { .. } => self.in_flight() < usable,
        }
    }

    /// Admits one, where the units allow it; of a window's limit it counts until then.
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

    /// One that was admitted is over.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Admissions that are out, or units' worth that was sent within the window (count).
    pub fn in_flight(&self) -> u32 {
        self.in_flight + self.untracked + self.sent.iter().map(|(.., units)| units).sum::<f64>().ceil() as u32
    }

    /// When a refused one is worth another try, with these units (ns from now); none where only a loan can help.
    pub fn retry_after_ns(&self, kind: Kind, usable: u32) -> Option<u64> {
        let Kind::Rate { per_s, burst } = kind else { return None };
        let rate = per_s / f64::from(burst.max(1)) * f64::from(usable);
        (rate > 0.0).then(|| (((1.0 - self.tokens).max(0.0) / rate) * 1e9).ceil() as u64)
    }

    /// Nothing is out and the bucket is full: a new meter would be the same.
    pub fn is_idle(&self, kind: Kind, usable: u32) -> bool {
        match kind {
            Kind::Rate { .. } => self.tokens >= f64::from(usable),
            Kind::Concurrency { .. } | Kind::Window { .. } => self.in_flight() == 0,
        }
    }
}
