//! Fits a cost as a function of the count that it grows with.
//!
//! Residuals are relative to the measured value, so that small and large counts have the same
//! weight. A fitted constant or slope is never negative.

use thiserror::Error;

/// An exponent this close to 1 gives a linear model.
pub const LINEAR_BAND: f64 = 0.1;
/// A line with at most this relative residual is used whatever the exponent: measurements are no
/// more accurate.
pub const LINE_RESIDUAL: f64 = 0.01;
/// A power replaces a line only if its residual is at most this fraction of the line's.
pub const POWER_GAIN: f64 = 0.5;
/// Fewest counts to fit an exponent, and to use a power: one more than its unknowns.
const MIN_EXPONENT_COUNTS: usize = 3;
const MIN_POWER_COUNTS: usize = 4;
/// Range and step of the search for the exponent.
const MIN_EXPONENT: f64 = 0.1;
const MAX_EXPONENT: f64 = 3.0;
const EXPONENT_STEP: f64 = 0.01;

/// One measurement: the cost at a count.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Point {
    /// The count that the cost grows with, for example engines; positive.
    pub count: f64,
    /// The cost in the unit of the measurement; positive.
    pub value: f64,
}

/// The functional form of a fit.
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
    /// Cost at a count of zero, in the unit of the measurement.
    pub constant: f64,
    /// Cost per unit of count, or the factor of the power, in the unit of the measurement.
    pub slope: f64,
    /// The best-fitting exponent, also for a linear model.
    pub exponent: f64,
    /// Root mean square of the model's relative residuals.
    pub residual: f64,
    /// Smallest measured count.
    pub from: f64,
    /// Largest measured count.
    pub to: f64,
    /// The form that [`Fit::predict`] uses.
    pub model: Model,
}

impl Fit {
    /// The cost at a count, in the unit of the measurement.
    pub fn predict(&self, count: f64) -> f64 {
        match self.model {
            Model::Linear => self.constant + self.slope * count,
            Model::Power => self.constant + self.slope * count.powf(self.exponent),
        }
    }
}

/// Why points cannot be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FitError {
    /// Fewer than two different counts.
    #[error("a fit needs at least two different counts")]
    TooFewCounts,
    /// A count or value is not finite and positive.
    #[error("counts and values of a fit must be finite and positive")]
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

/// Fits a cost to its measured points. The model is a line if the best exponent is within
/// [`LINEAR_BAND`] of 1, the line's residual is at most [`LINE_RESIDUAL`], a power does not reduce
/// it to [`POWER_GAIN`] of that, or fewer than four counts were measured.
///
/// # Errors
/// If there are fewer than two distinct counts, or a number is not finite and positive.
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

/// Relative error of the fit of `smaller` at the largest measured point; infinite if `smaller`
/// cannot be fitted.
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

/// The exponent with the smallest residual; 1 if there are too few counts or no exponent improves
/// on a line.
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

/// Weighted least squares of `constant + slope x count ^ exponent`, with neither coefficient
/// negative.
fn at_exponent(points: &[Point], exponent: f64) -> Candidate {
    // Dividing by the value makes the residuals relative: the target is 1 at each point.
    let rows: Vec<(f64, f64)> =
        points.iter().map(|p| (1.0 / p.value, p.count.powf(exponent) / p.value)).collect();
    let sum = |of: fn(&(f64, f64)) -> f64| rows.iter().map(of).sum::<f64>();
    let (aa, ab, bb) = (sum(|r| r.0 * r.0), sum(|r| r.0 * r.1), sum(|r| r.1 * r.1));
    let (a, b) = (sum(|r| r.0), sum(|r| r.1));
    let determinant = aa * bb - ab * ab;
    let (constant, slope) = ((a * bb - b * ab) / determinant, (b * aa - a * ab) / determinant);
    let (constant, slope) = match (constant.is_finite(), constant >= 0.0, slope >= 0.0) {
        (true, true, true) => (constant, slope),
        // A negative constant is set to 0 and the slope fitted alone.
        (true, false, _) => (0.0, b / bb),
        _ => (a / aa, 0.0),
    };
    let squares = rows.iter().map(|(x, y)| (constant * x + slope * y - 1.0).powi(2)).sum::<f64>();
    Candidate { constant, slope, exponent, residual: (squares / rows.len() as f64).sqrt() }
}
