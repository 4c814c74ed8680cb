//! The measurement file: raw values of each cost by count.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fit::{fit, prediction_error, Fit, FitError, Point};

/// Largest accepted relative error of a fit of the smaller counts at the largest count.
pub const MAX_PREDICTION_ERROR: f64 = 0.25;
/// Fewest counts of a fit after the smallest ones are dropped.
const MIN_FIT_COUNTS: usize = 4;

/// Repeated measurements at one count.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The count that the cost grows with.
    pub count: f64,
    /// The values in measurement order, in the unit of the series.
    pub values: Vec<f64>,
}

impl Sample {
    /// The median of the values; NaN if there are none.
    pub fn median(&self) -> f64 {
        let mut sorted = self.values.clone();
        sorted.sort_by(f64::total_cmp);
        let middle = sorted.len() / 2;
        match sorted.len() {
            0 => f64::NAN,
            n if n % 2 == 1 => sorted[middle],
            _ => (sorted[middle - 1] + sorted[middle]) / 2.0,
        }
    }

    /// The range of the values relative to the median.
    pub fn spread(&self) -> f64 {
        let least = self.values.iter().copied().fold(f64::INFINITY, f64::min);
        let most = self.values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        (most - least) / self.median()
    }
}

/// The measurements of one cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Description of the cost.
    pub what: String,
    /// The unit of the values.
    pub unit: String,
    /// What the counts are counts of.
    pub by: String,
    /// The measurements, by increasing count.
    pub samples: Vec<Sample>,
}

impl Series {
    /// The medians by count.
    pub fn points(&self) -> Vec<Point> {
        self.samples.iter().map(|s| Point { count: s.count, value: s.median() }).collect()
    }

    /// The fit of the medians. While the fit of the smaller counts misses the largest by more than
    /// [`MAX_PREDICTION_ERROR`], the smallest count is dropped, down to three counts before the
    /// largest.
    ///
    /// # Errors
    /// If the points cannot be fitted.
    pub fn fit(&self) -> Result<Fit, FitError> {
        fit(&self.fitted_points())
    }

    /// Relative error of the fit of the smaller counts at the largest; infinite if there are too
    /// few.
    pub fn prediction_error(&self) -> f64 {
        largest_count_error(&self.fitted_points())
    }

    /// The medians that are used for the fit.
    fn fitted_points(&self) -> Vec<Point> {
        let all = self.points();
        let ranges = (0..all.len().saturating_sub(MIN_FIT_COUNTS - 1)).map(|from| &all[from..]);
        let mut best = &all[..];
        for fitted_points in ranges {
            if largest_count_error(fitted_points) < largest_count_error(best) {
                best = fitted_points;
            }
            if largest_count_error(best) <= MAX_PREDICTION_ERROR {
                break;
            }
        }
        best.to_vec()
    }

    /// The median at a count, if it was measured there.
    pub fn measured_at(&self, count: f64) -> Option<f64> {
        self.samples.iter().find(|s| s.count == count).map(Sample::median)
    }

    /// The largest relative spread of repeated measurements at one count.
    pub fn spread(&self) -> f64 {
        self.samples.iter().map(Sample::spread).fold(0.0, f64::max)
    }
}

/// Why a cost is not available.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MissingCost {
    /// The file does not have it.
    #[error("the measurement file has no series {0}")]
    NotMeasured(String),
    /// Its points cannot be fitted.
    #[error("{0}: {1}")]
    Unfitted(String, FitError),
}

/// Relative error of the fit of all but the largest count at the largest; infinite if there are too
/// few.
fn largest_count_error(points: &[Point]) -> f64 {
    match points.split_last() {
        Some((largest, smaller)) => prediction_error(smaller, *largest),
        None => f64::INFINITY,
    }
}

/// All measured costs, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    /// The command that repeats the measurements.
    pub command: String,
    /// The costs.
    pub series: BTreeMap<String, Series>,
}

impl Measured {
    /// A cost at a count, in the unit of the series: the median if that count was measured, else
    /// the fit.
    ///
    /// # Errors
    /// If the cost was not measured or cannot be fitted.
    pub fn at(&self, name: &str, count: f64) -> Result<f64, MissingCost> {
        let fitted = self.fit_of(name)?;
        let here = self.series.get(name).and_then(|series| series.measured_at(count));
        Ok(here.unwrap_or_else(|| fitted.predict(count)))
    }

    /// FNV-1a hash of all names, counts and values.
    pub fn checksum(&self) -> u64 {
        let numbers = |series: &Series| {
            let samples = series.samples.iter();
            samples
                .flat_map(|s| std::iter::once(s.count).chain(s.values.iter().copied()))
                .collect::<Vec<f64>>()
        };
        let bytes = self.series.iter().flat_map(|(name, series)| {
            let values = numbers(series).into_iter().flat_map(f64::to_le_bytes);
            name.bytes().chain(values).collect::<Vec<u8>>()
        });
        bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
    }

    /// The fit of a cost.
    ///
    /// # Errors
    /// If the cost was not measured or cannot be fitted.
    pub fn fit_of(&self, name: &str) -> Result<Fit, MissingCost> {
        let series = self.series.get(name).ok_or_else(|| MissingCost::NotMeasured(name.to_owned()))?;
        series.fit().map_err(|fault| MissingCost::Unfitted(name.to_owned(), fault))
    }
}
