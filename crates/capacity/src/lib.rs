//! Predicts the resource use of the program at the target size from costs measured at smaller
//! sizes.
//!
//! [`fit()`] fits `constant + slope x count`, or a power of the count if a line fits badly;
//! [`rows`] compute the usage of each activity at the target [`size`] with its budget; [`rule`]
//! ranks them; [`page`] renders the result. No I/O.

#![forbid(unsafe_code)]

pub mod fit;
pub mod measured;
pub mod page;
pub mod rows;
pub mod rule;
pub mod size;
mod text;

pub use fit::{fit, prediction_error, Fit, FitError, Model, Point};
pub use measured::Measured;
