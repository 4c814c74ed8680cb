//! Predicts what the program costs at the size to design for, from costs measured at smaller sizes.
//!
//! [`fit()`] turns measured points into `constant + slope x count`, or into a power of the count where a line is wrong.
//! Pure: no files, no sockets, no clock.

#![forbid(unsafe_code)]

pub mod fit;

pub use fit::{fit, prediction_error, Fit, FitError, Model, Point};
