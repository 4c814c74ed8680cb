//! Estimates how many units of a key a router's own clients need.

use crate::params::{Kind, LimitParams};

/// Fraction requested beyond recent demand, to absorb variation.
const HEADROOM: f64 = 0.05;

/// Decaying estimate of demand: arrivals per second for a rate, units for a concurrency limit,
/// units sent for a window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    demanded: f64,
    at_ns: u64,
}

/// Time constant of the decay (ns).
fn decay_ns(kind: Kind, params: &LimitParams) -> u64 {
    match kind {
        Kind::Rate { .. } => params.lease_ns,
        // Short, so that units reserved for a brief peak are not left idle.
        Kind::Concurrency { .. } => params.lease_ns / 4,
        Kind::Window { window_ns, .. } => window_ns.max(params.lease_ns),
    }
}

/// Fraction of the remembered demand that falls into one window.
fn window_fraction(kind: Kind, params: &LimitParams) -> f64 {
    match kind {
        Kind::Window { window_ns, .. } => window_ns as f64 / decay_ns(kind, params) as f64,
        _ => 1.0,
    }
}

impl Demand {
    pub(crate) fn none(now: u64) -> Demand {
        Demand { demanded: 0.0, at_ns: now }
    }

    /// Applies the decay up to `now`, down to `min_demand`.
    pub(crate) fn decay(&mut self, now: u64, kind: Kind, params: &LimitParams, min_demand: f64) {
        let decay_ns = decay_ns(kind, params) as f64;
        let remaining = (-(now.saturating_sub(self.at_ns) as f64) / decay_ns).exp();
        self.demanded = (self.demanded * remaining).max(min_demand);
        self.at_ns = self.at_ns.max(now);
    }

    pub(crate) fn add(&mut self, units: f64) {
        self.demanded += units;
    }

    /// Records a request that arrived with `in_flight` admissions in flight.
    pub(crate) fn record_request(
        &mut self,
        kind: Kind,
        params: &LimitParams,
        in_flight: u32,
        admitted: bool,
    ) {
        let in_flight = f64::from(in_flight);
        match kind {
            Kind::Rate { .. } => self.demanded += 1e9 / params.lease_ns as f64,
            Kind::Concurrency { .. } => {
                self.demanded = self.demanded.max(in_flight) + if admitted { 0.0 } else { 1.0 };
                self.demanded = self.demanded.max(in_flight + f64::from(u8::from(admitted)));
            }
            Kind::Window { .. } => self.demanded += 1.0,
        }
        self.demanded = self.demanded.min(f64::from(u32::MAX));
    }

    /// Units demanded within one window.
    pub(crate) fn in_window(&self, kind: Kind, params: &LimitParams) -> f64 {
        self.demanded * window_fraction(kind, params)
    }

    /// Units demanded with `in_flight` admissions in flight.
    pub(crate) fn units(&self, kind: Kind, params: &LimitParams, in_flight: u32) -> u32 {
        let in_flight = f64::from(in_flight);
        let demanded = match kind {
            Kind::Rate { per_s, burst } => {
                self.demanded * (1.0 + HEADROOM) / (per_s / f64::from(burst.max(1)))
            }
            Kind::Concurrency { .. } => (self.demanded * (1.0 + HEADROOM)).max(in_flight),
            Kind::Window { .. } => self.in_window(kind, params).max(in_flight),
        };
        (demanded.ceil() as u32).min(kind.units())
    }
}
