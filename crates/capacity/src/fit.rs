//! Fits a cost to the count that it grows with.
//!
//! Residuals are relative to the measured value, which to first order are differences of logarithms, so that small sizes
//! count as much as large ones. Costs are never negative: neither is a fitted constant.

use thiserror::Error;

/// Exponents this close to 1 count as 1: the model is a line.
pub const LINEAR_BAND: f64 = 0.1;
/// A line whose relative residual is at most this is kept whatever the exponent: no measurement here is better than
/// that.
pub const LINE_RESIDUAL: f64 = 0.01;
/// A power of the count replaces a line only where its residual is at most this part of the line's.
pub const POWER_GAIN: f64 = 0.5;
/// Counts that an exponent is fitted to at least, and that a power is used from: one more than it has unknowns.
const MIN_EXPONENT_COUNTS: usize = 3;
const MIN_POWER_COUNTS: usize = 4;
/// Exponents that are tried, and the step between two of them.
const MIN_EXPONENT: f64 = 0.1;
const MAX_EXPONENT: f64 = 3.0;
const EXPONENT_STEP: f64 = 0.01;

/// One measurement: the cost at a count.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Point {
    /// What the cost grows with, for example engines (count, over 0).
    pub count: f64,
    /// The cost, in the measurement's own unit (over 0).
    pub value: f64,
}

/// The form of a fitted cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Model {
    /// `constant + slope x count`.
    Linear,
    /// `constant + slope x count ^ exponent`.
    Power,
}

/// A cost as a function of a count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Cost at a count of zero (the measurement's unit).
    pub constant: f64,
    /// Cost of each further one, or the factor of the power (the measurement's unit).
    pub slope: f64,
    /// The exponent of the count that fits best, also where the model is a line.
    pub exponent: f64,
    /// Root mean square of the model's relative residuals.
    pub residual: f64,
    /// Smallest and largest count that was measured.
    pub from: f64,
    /// See `from`.
    pub to: f64,
    /// The form that [`Fit::predict`] uses.
    pub model: Model,
}

impl Fit {
    /// The cost at a count (the measurement's unit).
    pub fn predict(&self, count: f64) -> f64 {
        match self.model {
            Model::Linear => self.constant + self.slope * count,
            Model::Power => self.constant + self.slope * count.powf(self.exponent),
        }
    }
}

/// Why points can't be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FitError {
    /// Fewer than two different counts.
    #[error("a fit needs at least two different counts")]
    TooFewCounts,
    /// A count or value that is not a finite number over zero.
    #[error("counts and values of a fit must be finite and over zero")]
    NotPositive,
}

/// Constant, slope and relative residual for one exponent.
#[derive(Clone, Copy)]
struct Candidate {
    constant: f64,
    slope: f64,
    exponent: f64,
    residual: f64,
}

/// Fits a cost to its measured points. The model is a line where the best exponent is within [`LINEAR_BAND`] of 1, where the line's
/// residual is at most [`LINE_RESIDUAL`], where a power does not take it to [`POWER_GAIN`] of that, or where fewer than four counts were
/// measured.
///
/// # Errors
/// Where fewer than two counts differ, or a number is not finite and over zero.
pub fn fit(points: &[Point]) -> Result<Fit, FitError> {
    let usable = |x: f64| x.is_finite() && x > 0.0;
    if points.iter().any(|p| !usable(p.count) || !usable(p.value)) {
        return Err(FitError::NotPositive);
    }
    let from = points.iter().map(|p| p.count).fold(f64::INFINITY, f64::min);
    let to = points.iter().map(|p| p.count).fold(0.0, f64::max);
    if points.len() < 2 || from >= to {
        return Err(FitError::TooFewCounts);
    }
    let line = at_exponent(points, 1.0);
    let best = best_exponent(points, line);
    let is_line = different_counts(points) < MIN_POWER_COUNTS
        || (best.exponent - 1.0).abs() <= LINEAR_BAND
        || line.residual <= LINE_RESIDUAL
        || best.residual > POWER_GAIN * line.residual;
    let (model, used) = if is_line { (Model::Linear, line) } else { (Model::Power, best) };
    Ok(Fit {
        constant: used.constant,
        slope: used.slope,
        exponent: best.exponent,
        residual: used.residual,
        from,
        to,
        model,
    })
}

/// By how much the fit of `smaller` misses the largest, measured point (share of the measured value); infinite where `smaller`
/// can't be fitted.
pub fn prediction_error(smaller: &[Point], largest: Point) -> f64 {
    match fit(smaller) {
        Ok(fitted) => (fitted.predict(largest.count) - largest.value).abs() / largest.value,
        Err(_) => f64::INFINITY,
    }
}

fn different_counts(points: &[Point]) -> usize {
    let mut counts: Vec<f64> = points.iter().map(|p| p.count).collect();
    counts.sort_by(f64::total_cmp);
    counts.dedup();
    counts.len()
}

/// The exponent with the least residual; 1 where too few counts were measured, or no exponent does better than a line does.
fn best_exponent(points: &[Point], line: Candidate) -> Candidate {
    if different_counts(points) < MIN_EXPONENT_COUNTS {
        return line;
    }
    let steps = ((MAX_EXPONENT - MIN_EXPONENT) / EXPONENT_STEP).round() as u32;
    let candidates = (0..=steps).map(|step| MIN_EXPONENT + f64::from(step) * EXPONENT_STEP);
    let better = |best: Candidate, candidate: Candidate| {
        if candidate.residual < best.residual * (1.0 - 1e-9) {
            candidate
        } else {
            best
        }
    };
    candidates.map(|exponent| at_exponent(points, exponent)).fold(line, better)
}

/// Weighted least squares of `constant + slope x count ^ exponent`, neither part below zero.
fn at_exponent(points: &[Point], exponent: f64) -> Candidate {
    // Both sides are divided by the value: the unknowns then have to make each point 1.
    let rows: Vec<(f64, f64)> =
        points.iter().map(|p| (1.0 / p.value, p.count.powf(exponent) / p.value)).collect();
    let sum = |of: fn(&(f64, f64)) -> f64| rows.iter().map(of).sum::<f64>();
    let (aa, ab, bb) = (sum(|r| r.0 * r.0), sum(|r| r.0 * r.1), sum(|r| r.1 * r.1));
    let (a, b) = (sum(|r| r.0), sum(|r| r.1));
    let determinant = aa * bb - ab * ab;
    let (constant, slope) = ((a * bb - b * ab) / determinant, (b * aa - a * ab) / determinant);
    let (constant, slope) = match (constant.is_finite(), constant >= 0.0, slope >= 0.0) {
        (true, true, true) => (constant, slope),
        // The least squares of one unknown alone.
        (true, false, _) => (0.0, b / bb),
        _ => (a / aa, 0.0),
    };
    let squares = rows.iter().map(|(x, y)| (constant * x + slope * y - 1.0).powi(2)).sum::<f64>();
    Candidate { constant, slope, exponent, residual: (squares / rows.len() as f64).sqrt() }
}
