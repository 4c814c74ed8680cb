//! How much of a key's units a router's own clients want, remembered for a while.

use crate::terms::{Kind, Terms};

/// What is asked for beyond what came of late (share): demand is uneven.
const HEADROOM: f64 = 0.05;

/// Arrivals a second of a rate, units of a concurrency, units' worth of a window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    demanded: f64,
    at_ns: u64,
}

/// How long demand is remembered (ns).
fn decay_ns(kind: Kind, terms: &Terms) -> u64 {
    match kind {
        Kind::Rate { .. } => terms.lease_ns,
        // A peak of what is out at once is over soon; units kept for it lie idle.
        Kind::Concurrency { .. } => terms.lease_ns / 4,
        Kind::Window { window_ns, .. } => window_ns.max(terms.lease_ns),
    }
}

/// Part of the demand that is remembered that falls into one window (share).
fn window_fraction(kind: Kind, terms: &Terms) -> f64 {
    match kind {
        Kind::Window { window_ns, .. } => window_ns as f64 / decay_ns(kind, terms) as f64,
        _ => 1.0,
    }
}

impl Demand {
    /// None yet.
    pub(crate) fn none(now: u64) -> Demand {
        Demand { demanded: 0.0, at_ns: now }
    }

    /// Passes time; `least` is wanted in any case.
    pub(crate) fn decay(&mut self, now: u64, kind: Kind, terms: &Terms, min_demand: f64) {
        let decay_ns = decay_ns(kind, terms) as f64;
        let left = (-(now.saturating_sub(self.at_ns) as f64) / decay_ns).exp();
        self.demanded = (self.demanded * left).max(min_demand);
        self.at_ns = self.at_ns.max(now);
    }

    /// So many units' worth more are wanted.
    pub(crate) fn add(&mut self, units: f64) {
        self.demanded += units;
    }

    /// A request came, while `out` are out; whether it was admitted.
    pub(crate) fn record_request(&mut self, kind: Kind, terms: &Terms, in_flight: u32, admitted: bool) {
        let in_flight = f64::from(in_flight);
        match kind {
            Kind::Rate { .. } => self.demanded += 1e9 / terms.lease_ns as f64,
            Kind::Concurrency { .. } => {
                self.demanded = self.demanded.max(in_flight) + if admitted { 0.0 } else { 1.0 };
                self.demanded = self.demanded.max(in_flight + f64::from(u8::from(admitted)));
            }
            Kind::Window { .. } => self.demanded += 1.0,
        }
        self.demanded = self.demanded.min(f64::from(u32::MAX));
    }

    /// Units' worth that falls into one window (count).
    pub(crate) fn in_window(&self, kind: Kind, terms: &Terms) -> f64 {
        self.demanded * window_fraction(kind, terms)
    }

    /// Units that are wanted while `out` are out (count).
    pub(crate) fn units(&self, kind: Kind, terms: &Terms, in_flight: u32) -> u32 {
        let in_flight = f64::from(in_flight);
        let demanded = match kind {
            Kind::Rate { per_s, burst } => {
                self.demanded * (1.0 + HEADROOM) / (per_s / f64::from(burst.max(1)))
            }
            Kind::Concurrency { .. } => (self.demanded * (1.0 + HEADROOM)).max(in_flight),
            Kind::Window { .. } => self.in_window(kind, terms).max(in_flight),
        };
        (demanded.ceil() as u32).min(kind.units())
    }
}
