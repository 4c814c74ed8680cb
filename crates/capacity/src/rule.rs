//! Which mechanism is missing first: the row furthest over its budget among those that other rows cannot work without.

use crate::rows::{Ratio, Row};

/// Rows by their ratio, and what the rule says of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Ranking<'a> {
    /// Rows with a budget, the largest ratio first.
    pub sorted: Vec<(&'a Row, Ratio)>,
}

/// Sorts rows by how far over their budgets they are.
pub fn rank(rows: &[Row]) -> Ranking<'_> {
    let mut sorted: Vec<(&Row, Ratio)> = rows.iter().filter_map(|row| Some((row, row.ratio()?))).collect();
    sorted.sort_by(|(_, a), (_, b)| b.value.total_cmp(&a.value));
    Ranking { sorted }
}

impl<'a> Ranking<'a> {
    /// Rows over their budgets that others cannot work without, the furthest first: the first is chosen, then come the next.
    pub fn needed_over_budget(&self) -> impl Iterator<Item = (&'a Row, Ratio)> + '_ {
        let over = |(row, ratio): &&(&Row, Ratio)| ratio.value > 1.0 && !row.needed_by.is_empty();
        self.sorted.iter().filter(over).copied()
    }
}
