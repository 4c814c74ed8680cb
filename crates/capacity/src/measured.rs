//! Measured costs as the file in the repository holds them: raw values by count, from which all else is computed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fit::{fit, prediction_error, Fit, FitError, Point};

/// How far the fit of smaller counts may miss the largest (share) before the model counts as wrong.
pub const MAX_PREDICTION_ERROR: f64 = 0.25;
/// Counts that a fit is over at least.
const MIN_FIT_COUNTS: usize = 4;

/// Repeated measurements at one count.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// What the cost grows with (count).
    pub count: f64,
    /// The values, in the order measured (the series' unit).
    pub values: Vec<f64>,
}

impl Sample {
    /// The median of the values; not a number where there are none.
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

    /// How far the values lie apart (share of the median).
    pub fn spread(&self) -> f64 {
        let least = self.values.iter().copied().fold(f64::INFINITY, f64::min);
        let most = self.values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        (most - least) / self.median()
    }
}

/// One cost, by what it grows with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// What was measured, and of what.
    pub what: String,
    /// The values' unit.
    pub unit: String,
    /// What counts are of.
    pub by: String,
    /// The measurements, by growing count.
    pub samples: Vec<Sample>,
}

impl Series {
    /// The medians.
    pub fn points(&self) -> Vec<Point> {
        self.samples.iter().map(|s| Point { count: s.count, value: s.median() }).collect()
    }

    /// The fit of the medians. Where the smaller counts miss the largest by more than [`MAX_PREDICTION_ERROR`], the model is wrong
    /// over so wide a range: the smallest counts are left out one by one until it holds, or three are left before the largest.
    ///
    /// # Errors
    /// Where they can't be fitted.
    pub fn fit(&self) -> Result<Fit, FitError> {
        fit(&self.fitted_points())
    }

    /// By how much the smaller counts of the fit miss the largest (share of its value); infinite where there are too few.
    pub fn prediction_error(&self) -> f64 {
        largest_count_error(&self.fitted_points())
    }

    /// The medians that the fit is over.
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

    /// The median at a count that was measured.
    pub fn measured_at(&self, count: f64) -> Option<f64> {
        self.samples.iter().find(|s| s.count == count).map(Sample::median)
    }

    /// The largest spread of repeated measurements at one count (share).
    pub fn spread(&self) -> f64 {
        self.samples.iter().map(Sample::spread).fold(0.0, f64::max)
    }
}

/// Why a cost is not to be had.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MissingCost {
    /// It was not measured.
    #[error("the measured file has no {0}")]
    NotMeasured(String),
    /// Its points can't be fitted.
    #[error("{0}: {1}")]
    Unfitted(String, FitError),
}

/// The largest count against the fit of the others (share); infinite where there are too few.
fn largest_count_error(points: &[Point]) -> f64 {
    match points.split_last() {
        Some((largest, smaller)) => prediction_error(smaller, *largest),
        None => f64::INFINITY,
    }
}

/// All measured costs, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    /// The command that measures them again.
    pub command: String,
    /// The costs.
    pub series: BTreeMap<String, Series>,
}

impl Measured {
    /// A cost at a count (the series' unit): the median where it was measured at that count, else by its fit.
    ///
    /// # Errors
    /// Where it was not measured or can't be fitted.
    pub fn at(&self, name: &str, count: f64) -> Result<f64, MissingCost> {
        let fitted = self.fit_of(name)?;
        let here = self.series.get(name).and_then(|series| series.measured_at(count));
        Ok(here.unwrap_or_else(|| fitted.predict(count)))
    }

    /// A number that follows from every value (FNV-1a over names, counts and values): one digit changed changes it.
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
    /// Where it was not measured or can't be fitted.
    pub fn fit_of(&self, name: &str) -> Result<Fit, MissingCost> {
        let series = self.series.get(name).ok_or_else(|| MissingCost::NotMeasured(name.to_owned()))?;
        series.fit().map_err(|fault| MissingCost::Unfitted(name.to_owned(), fault))
    }
}
