//! Ranks rows by how far they exceed their budgets.

use crate::rows::{Ratio, Row};

/// Rows sorted by ratio.
#[derive(Clone, Debug, PartialEq)]
pub struct Ranking<'a> {
    /// Rows with a budget, largest ratio first.
    pub sorted: Vec<(&'a Row, Ratio)>,
}

/// Sorts rows by ratio.
pub fn rank(rows: &[Row]) -> Ranking<'_> {
    let mut sorted: Vec<(&Row, Ratio)> = rows.iter().filter_map(|row| Some((row, row.ratio()?))).collect();
    sorted.sort_by(|(_, a), (_, b)| b.value.total_cmp(&a.value));
    Ranking { sorted }
}

impl<'a> Ranking<'a> {
    /// Rows over budget that other rows depend on, largest ratio first.
    pub fn needed_over_budget(&self) -> impl Iterator<Item = (&'a Row, Ratio)> + '_ {
        let over = |(row, ratio): &&(&Row, Ratio)| ratio.value > 1.0 && !row.needed_by.is_empty();
        self.sorted.iter().filter(over).copied()
    }
}
