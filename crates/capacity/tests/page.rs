//! The page in the repository is what its files say, and its figures follow from the raw values by another formula than the one
//! that made them.

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

/// The scale test's flat figures, read without the tool's own reader.
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
fn the_page_is_what_its_files_say() {
    let rendered = page(&measured(), &scale()).unwrap();
    let written = text("CAPACITY.md");
    for (line, (said, computed)) in written.lines().zip(rendered.lines()).enumerate() {
        assert_eq!(said, computed, "line {} of docs/CAPACITY.md", line + 1);
    }
    assert!(written == rendered, "docs/CAPACITY.md has other lines at its end");
}

#[test]
fn a_digit_written_by_hand_is_seen() {
    let rendered = page(&measured(), &scale()).unwrap();
    let mut by_hand = measured();
    // The last digit of the last value, which no median need show.
    let sample = &mut by_hand.series.get_mut("decision_us").unwrap().samples[0];
    let last = sample.values.last_mut().unwrap();
    *last = f64::from_bits(last.to_bits() + 1);
    assert_ne!(page(&by_hand, &scale()).unwrap(), rendered);
}

/// Constant and slope of a line by Cramer's rule on sums over the points, the values' inverse squares as weights.
fn line_of(points: &[(f64, f64)]) -> (f64, f64) {
    let sum = |of: &dyn Fn(f64, f64) -> f64| points.iter().map(|(x, y)| of(*x, *y) / (y * y)).sum::<f64>();
    let (w, wx, wxx) = (sum(&|_, _| 1.0), sum(&|x, _| x), sum(&|x, _| x * x));
    let (wy, wxy) = (sum(&|_, y| y), sum(&|x, y| x * y));
    let slope = (w * wxy - wx * wy) / (w * wxx - wx * wx);
    ((wy - slope * wx) / w, slope)
}

/// The middle value by counting those below and above.
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
fn lines_follow_from_the_raw_values_by_another_formula() {
    let mut looked_at = 0;
    for (name, series) in &measured().series {
        let fit = series.fit().unwrap();
        let (constant, slope) = line_of(&points_of(series, fit.from));
        if fit.model != Model::Linear || constant < 0.0 || slope < 0.0 {
            continue;
        }
        looked_at += 1;
        let largest = fit.to;
        let by_line = constant + slope * largest;
        assert!(
            (fit.predict(largest) / by_line - 1.0).abs() < 1e-6,
            "{name}: {fit:?}, {constant} + {slope} n"
        );
    }
    assert!(looked_at >= 5, "only {looked_at} lines");
}

#[test]
fn each_cost_was_measured_at_three_counts_or_more() {
    for (name, series) in &measured().series {
        assert!(series.samples.len() >= 3, "{name}");
        assert!(series.samples.windows(2).all(|pair| pair[0].count < pair[1].count), "{name}");
        assert!(series.prediction_error().is_finite(), "{name}");
    }
}

/// What the sender counted and what sockets gave out differ by what was on its way at most.
#[test]
fn bytes_are_counted_on_both_sides() {
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
fn the_size_is_the_letters() {
    assert_eq!((size::ROUTERS.value, size::ENGINES.value), (3_200.0, 30_000.0));
    assert_eq!(size::connections_of_a_router(), 5_625.0);
    assert!((size::statements_of_a_router() - 1_093.75).abs() < 1e-9);
    let told = size::ALL.iter().filter(|constant| constant.source == size::LETTER).count();
    assert!(told >= 15, "{told}");
}

#[test]
fn rows_name_rows_and_costs_that_there_are() {
    let measured = measured();
    let rows = rows(&measured).unwrap();
    let cells = with_cells(&measured, &rows).unwrap();
    [Some(&rows), cells.as_ref()].into_iter().flatten().for_each(|rows| names_hold(&measured, rows));
}

#[track_caller]
fn names_hold(measured: &Measured, rows: &[marljunction_capacity::rows::Row]) {
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
fn the_rule_takes_the_furthest_over_that_others_need() {
    let mut rows = rows(&measured()).unwrap();
    for row in &mut rows {
        row.worst = Usage::default();
        row.ordinary = Usage { bytes_s: Some(1.0), ..Usage::default() };
        row.budget = Usage { bytes_s: Some(2.0), ..Usage::default() };
    }
    assert_eq!(rank(&rows).missing_first().count(), 0, "nothing is over its budget");
    let place =
        |rows: &[marljunction_capacity::rows::Row], id: &str| rows.iter().position(|r| r.id == id).unwrap();
    for (id, bytes) in [("busy", 90.0), ("membership", 30.0), ("list-start", 40.0)] {
        let at = place(&rows, id);
        rows[at].ordinary.bytes_s = Some(bytes);
    }
    let chosen: Vec<&str> = rank(&rows).missing_first().map(|(row, _)| row.id).collect();
    // No row needs `busy`.
    assert_eq!(chosen, ["list-start", "membership"]);
}

#[test]
fn a_model_that_misses_the_largest_count_leaves_out_the_smallest() {
    let sample =
        |(count, value): (f64, f64)| marljunction_capacity::measured::Sample { count, values: vec![value] };
    // Flat first, then a line through nothing.
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
