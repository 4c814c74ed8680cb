//! Fits of synthetic costs with a known form.

use marljunction_capacity::{fit, prediction_error, FitError, Model, Point};

const COUNTS: [f64; 5] = [8.0, 64.0, 512.0, 4_096.0, 30_000.0];

fn points(of: impl Fn(f64) -> f64) -> Vec<Point> {
    COUNTS.iter().map(|count| Point { count: *count, value: of(*count) }).collect()
}

fn near(value: f64, expected: f64, part: f64) -> bool {
    (value - expected).abs() <= part * expected.abs()
}

/// Relative error of the fit of all but the largest point at the largest.
fn error_of(points: &[Point]) -> f64 {
    let (largest, smaller) = points.split_last().unwrap();
    prediction_error(smaller, *largest)
}

#[test]
fn a_line_is_fitted_with_its_constant_and_slope() {
    let points = points(|n| 40.0 + 0.25 * n);
    let found = fit(&points).unwrap();
    assert_eq!(found.model, Model::Linear);
    assert!(near(found.constant, 40.0, 1e-6) && near(found.slope, 0.25, 1e-6), "{found:?}");
    assert!(found.residual < 1e-6 && error_of(&points) < 1e-6, "{found:?}");
    assert_eq!((found.from, found.to), (8.0, 30_000.0));
}

#[test]
fn a_square_root_is_fitted_by_a_power() {
    let points = points(|n| 3.0 * n.sqrt());
    let found = fit(&points).unwrap();
    assert_eq!(found.model, Model::Power);
    assert!(near(found.exponent, 0.5, 0.03), "{found:?}");
    assert!(error_of(&points) < 0.05, "{}", error_of(&points));
}

#[test]
fn a_square_plus_a_constant_is_fitted_by_a_power() {
    let points = points(|n| 500.0 + 2e-3 * n * n);
    let found = fit(&points).unwrap();
    assert_eq!(found.model, Model::Power);
    assert!(near(found.exponent, 2.0, 0.02), "{found:?}");
    assert!(near(found.predict(60_000.0), 500.0 + 2e-3 * 3.6e9, 0.05), "{found:?}");
}

#[test]
fn a_constant_cost_has_no_slope() {
    let points = points(|_| 7.0);
    let found = fit(&points).unwrap();
    assert_eq!(found.model, Model::Linear);
    assert!(near(found.predict(1e6), 7.0, 1e-6), "{found:?}");
}

#[test]
fn ten_percent_noise_still_fits_a_line() {
    let noise = [1.1, 0.9, 1.08, 0.93, 1.05];
    let points: Vec<Point> = points(|n| 10.0 + 0.5 * n)
        .into_iter()
        .zip(noise)
        .map(|(p, factor)| Point { value: p.value * factor, ..p })
        .collect();
    let found = fit(&points).unwrap();
    assert_eq!(found.model, Model::Linear);
    assert!(near(found.slope, 0.5, 0.15) && found.residual > 0.03, "{found:?}");
}

#[test]
fn small_sizes_count_as_much_as_large_ones() {
    // With absolute residuals, noise of the largest value would dominate the constant.
    let mut points = points(|n| 20.0 + 1.0 * n);
    points[4].value *= 1.05;
    let found = fit(&points).unwrap();
    assert!(near(found.constant, 20.0, 0.1), "{found:?}");
}

#[test]
fn a_wrong_model_has_a_large_error() {
    // A cost that jumps above the smaller counts.
    let points = points(|n| if n < 10_000.0 { 10.0 + 0.1 * n } else { 100.0 + 0.4 * n });
    assert!(error_of(&points) > 0.25, "{}", error_of(&points));
    // No power fits a cost that rises and falls.
    let hill = [
        Point { count: 1.0, value: 1.0 },
        Point { count: 2.0, value: 9.0 },
        Point { count: 3.0, value: 1.0 },
    ];
    assert!(fit(&hill).unwrap().residual > 0.5);
}

#[test]
fn unusable_points_are_an_error() {
    let one = [Point { count: 5.0, value: 2.0 }, Point { count: 5.0, value: 3.0 }];
    assert_eq!(fit(&one), Err(FitError::TooFewCounts));
    for value in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let bad = [Point { count: 1.0, value: 1.0 }, Point { count: 2.0, value }];
        assert_eq!(fit(&bad), Err(FitError::NotPositive));
    }
    assert_eq!(prediction_error(&one, Point { count: 9.0, value: 1.0 }), f64::INFINITY);
}
