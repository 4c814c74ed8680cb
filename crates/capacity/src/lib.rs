//! Predicts what the program costs at the size to design for, from costs measured at smaller sizes.
//!
//! [`fit()`] turns measured points into `constant + slope x count`, or into a power of the count where a line is wrong; [`rows`] say what
//! each activity takes at the [`size`], beside its budget; [`rule`] says which mechanism is missing first; [`page`] renders all of it.
//! Pure: no files, no sockets, no clock.

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
