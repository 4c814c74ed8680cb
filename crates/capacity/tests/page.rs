//! The page in the repository matches its data files, and its fits match an independent formula.

use std::path::PathBuf;

use marljunction_capacity::measured::{Series, MAX_PREDICTION_ERROR};
use marljunction_capacity::page::page;
use marljunction_capacity::rows::cells::with_cells;
use marljunction_capacity::rows::{rows, Usage};
use marljunction_capacity::rule::rank;
use marljunction_capacity::{size, Measured, Model};
use serde_json::Value;

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)
}

fn text(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap()
}

fn measured() -> Measured {
    serde_json::from_str(&text("capacity/measured.json")).unwrap()
}

/// The scalar figures of the scale test.
fn scale() -> Vec<(String, String)> {
    if !path("capacity/scale.json").exists() {
        return Vec::new();
    }
    let value: Value = serde_json::from_str(&text("capacity/scale.json")).unwrap();
    let fields = value.as_object().unwrap().iter();
    let flat = fields.filter(|(_, value)| !value.is_array() && !value.is_object() && !value.is_null());
    flat.map(|(name, value)| (name.clone(), value.to_string())).collect()
}

#[test]
fn the_page_matches_its_data_files() {
    let rendered = page(&measured(), &scale()).unwrap();
    let written = text("CAPACITY.md");
    for (line, (written_line, rendered_line)) in written.lines().zip(rendered.lines()).enumerate() {
        assert_eq!(written_line, rendered_line, "line {} of docs/CAPACITY.md", line + 1);
    }
    assert!(written == rendered, "docs/CAPACITY.md has a different number of lines");
}

#[test]
fn a_changed_digit_changes_the_page() {
    let rendered = page(&measured(), &scale()).unwrap();
    let mut by_hand = measured();
    // Changes the last bit of one value, which may not change any median.
    let sample = &mut by_hand.series.get_mut("decision_us").unwrap().samples[0];
    let last = sample.values.last_mut().unwrap();
    *last = f64::from_bits(last.to_bits() + 1);
    assert_ne!(page(&by_hand, &scale()).unwrap(), rendered);
}

/// Constant and slope by Cramer's rule, weighted by the inverse squares of the values.
fn line_of(points: &[(f64, f64)]) -> (f64, f64) {
    let sum = |of: &dyn Fn(f64, f64) -> f64| points.iter().map(|(x, y)| of(*x, *y) / (y * y)).sum::<f64>();
    let (w, wx, wxx) = (sum(&|_, _| 1.0), sum(&|x, _| x), sum(&|x, _| x * x));
    let (wy, wxy) = (sum(&|_, y| y), sum(&|x, y| x * y));
    let slope = (w * wxy - wx * wy) / (w * wxx - wx * wx);
    ((wy - slope * wx) / w, slope)
}

/// The median by rank.
fn middle(values: &[f64]) -> f64 {
    let rank = |v: f64| values.iter().filter(|o| **o < v).count();
    let mut by_rank: Vec<f64> = values.to_vec();
    by_rank.sort_by_key(|v| rank(*v));
    let n = by_rank.len();
    (by_rank[(n - 1) / 2] + by_rank[n / 2]) / 2.0
}

fn points_of(series: &Series, from: f64) -> Vec<(f64, f64)> {
    let samples = series.samples.iter().filter(|sample| sample.count >= from);
    samples.map(|sample| (sample.count, middle(&sample.values))).collect()
}

#[test]
fn linear_fits_match_an_independent_formula() {
    let mut lines_checked = 0;
    for (name, series) in &measured().series {
        let fit = series.fit().unwrap();
        let (constant, slope) = line_of(&points_of(series, fit.from));
        if fit.model != Model::Linear || constant < 0.0 || slope < 0.0 {
            continue;
        }
        lines_checked += 1;
        let largest = fit.to;
        let by_line = constant + slope * largest;
        assert!(
            (fit.predict(largest) / by_line - 1.0).abs() < 1e-6,
            "{name}: {fit:?}, {constant} + {slope} n"
        );
    }
    assert!(lines_checked >= 5, "only {lines_checked} lines");
}

#[test]
fn each_cost_was_measured_at_three_counts_or_more() {
    for (name, series) in &measured().series {
        assert!(series.samples.len() >= 3, "{name}");
        assert!(series.samples.windows(2).all(|pair| pair[0].count < pair[1].count), "{name}");
        assert!(series.prediction_error().is_finite(), "{name}");
    }
}

/// The counts of sender and reader may differ only by bytes in transit.
#[test]
fn sender_and_reader_byte_counts_agree() {
    let measured = measured();
    let pairs = [
        ("list_bytes", "list_bytes_read"),
        ("members_bytes_s", "members_bytes_read_s"),
        ("cells_start_bytes", "cells_start_bytes_read"),
    ];
    for (sent, read) in pairs {
        let pairs = measured.series[sent].samples.iter().zip(&measured.series[read].samples);
        for (by_sender, by_reader) in pairs {
            assert_eq!(by_sender.count, by_reader.count);
            let (a, b) = (middle(&by_sender.values), middle(&by_reader.values));
            assert!((a / b - 1.0).abs() < 0.01, "{sent} at {}: {a} sent, {b} read", by_sender.count);
        }
    }
}

#[test]
fn the_size_matches_the_requirements() {
    assert_eq!((size::ROUTERS.value, size::ENGINES.value), (3_200.0, 30_000.0));
    assert_eq!(size::connections_per_router(), 5_625.0);
    assert!((size::statements_per_router() - 1_093.75).abs() < 1e-9);
    let from_requirements = size::ALL.iter().filter(|constant| constant.source == size::REQUIREMENTS).count();
    assert!(from_requirements >= 15, "{from_requirements}");
}

#[test]
fn rows_refer_to_existing_rows_and_costs() {
    let measured = measured();
    let rows = rows(&measured).unwrap();
    let cells = with_cells(&measured, &rows).unwrap();
    [Some(&rows), cells.as_ref()]
        .into_iter()
        .flatten()
        .for_each(|rows| assert_references_exist(&measured, rows));
}

#[track_caller]
fn assert_references_exist(measured: &Measured, rows: &[marljunction_capacity::rows::Row]) {
    for row in rows {
        assert_eq!(rows.iter().filter(|other| other.id == row.id).count(), 1, "{}", row.id);
        for other in row.needed_by {
            assert!(rows.iter().any(|row| row.id == *other), "{} is needed by {other}", row.id);
        }
        for cost in row.costs {
            assert!(measured.series.contains_key(*cost), "{}: {cost}", row.id);
        }
    }
}

#[test]
fn the_needed_row_furthest_over_its_budget_ranks_first() {
    let mut rows = rows(&measured()).unwrap();
    for row in &mut rows {
        row.worst = Usage::default();
        row.ordinary = Usage { bytes_s: Some(1.0), ..Usage::default() };
        row.budget = Usage { bytes_s: Some(2.0), ..Usage::default() };
    }
    assert_eq!(rank(&rows).needed_over_budget().count(), 0, "no row is over its budget");
    let position_of =
        |rows: &[marljunction_capacity::rows::Row], id: &str| rows.iter().position(|r| r.id == id).unwrap();
    for (id, bytes) in [("busy", 90.0), ("membership", 30.0), ("list-start", 40.0)] {
        let at = position_of(&rows, id);
        rows[at].ordinary.bytes_s = Some(bytes);
    }
    let chosen: Vec<&str> = rank(&rows).needed_over_budget().map(|(row, _)| row.id).collect();
    // No row needs `busy`.
    assert_eq!(chosen, ["list-start", "membership"]);
}

#[test]
fn inaccurate_fits_drop_the_smallest_counts() {
    let sample =
        |(count, value): (f64, f64)| marljunction_capacity::measured::Sample { count, values: vec![value] };
    // Constant at first, then proportional.
    let points =
        [(1.0, 50.0), (2.0, 50.0), (100.0, 1_000.0), (200.0, 2_000.0), (400.0, 4_000.0), (800.0, 8_000.0)];
    let series = Series {
        what: String::new(),
        unit: String::new(),
        by: String::new(),
        samples: points.into_iter().map(sample).collect(),
    };
    assert!(series.prediction_error() <= MAX_PREDICTION_ERROR);
    assert!((series.fit().unwrap().predict(1_600.0) / 16_000.0 - 1.0).abs() < 0.1, "{:?}", series.fit());
}
