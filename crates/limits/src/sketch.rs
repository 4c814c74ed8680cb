//! Count-min sketch of the usage of keys that do not fit into the table of keys.
//!
//! Keys share cells, so the estimate may be too high but is never too low: a key is never admitted
//! beyond the router's own share. A lightly used key is refused only if each of its cells is also
//! used by a heavy key.

use crate::params::Kind;

/// Rows with one hash function each, and cells per row.
const ROWS: usize = 4;
const CELLS_PER_ROW: usize = 8_192;

#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    /// Admissions in flight, or the level of the bucket.
    used: f32,
    /// Time of the last update (ms since the creation of the sketch). Zero if never used.
    updated_ms: u32,
}

/// The sketch of one limit.
#[derive(Clone, Debug)]
pub struct Sketch {
    cells: Vec<Cell>,
    created_ns: u64,
}

fn cell_index(key: u64, row: usize) -> usize {
    let mut x = key ^ (row as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    row * CELLS_PER_ROW + (x ^ (x >> 31)) as usize % CELLS_PER_ROW
}

impl Sketch {
    /// Creates an empty sketch. The buckets of a rate start without tokens.
    pub fn new(now: u64) -> Sketch {
        Sketch { cells: vec![Cell::default(); ROWS * CELLS_PER_ROW], created_ns: now }
    }

    /// Level of a cell at `now`, for a limit of which the router owns `share` units.
    fn level(&self, now: u64, cell: &Cell, kind: Kind, share: u32, drift: f64) -> f64 {
        let used = f64::from(cell.used);
        let Kind::Rate { per_s, burst } = kind else { return used };
        let at_ns = self.created_ns.saturating_add(u64::from(cell.updated_ms) * 1_000_000);
        let elapsed_s = now.saturating_sub(at_ns) as f64 / 1e9 / (1.0 + drift);
        let rate = per_s / f64::from(burst.max(1)) * f64::from(share);
        // An unused cell starts full, as a new key starts without tokens.
        let used = if cell.updated_ms == 0 { f64::from(share) } else { used };
        (used - elapsed_s * rate).max(0.0)
    }

    /// Upper bound of what a key has used of its share: admissions in flight, or the level of the
    /// bucket.
    pub fn used(&self, now: u64, key: u64, (kind, share, drift): (Kind, u32, f64)) -> f64 {
        let cells = (0..ROWS).map(|row| &self.cells[cell_index(key, row)]);
        cells.map(|cell| self.level(now, cell, kind, share, drift)).fold(f64::INFINITY, f64::min)
    }

    /// Admits a request if the router's share certainly has room for it.
    pub fn admit(&mut self, now: u64, key: u64, of: (Kind, u32, f64)) -> bool {
        let (kind, share, drift) = of;
        if self.used(now, key, of) + 1.0 > f64::from(share) {
            return false;
        }
        // Rounds up, so that the level drains late rather than early.
        let updated_ms =
            (now.saturating_sub(self.created_ns) / 1_000_000 + 1).min(u64::from(u32::MAX)) as u32;
        for row in 0..ROWS {
            let at = cell_index(key, row);
            let level = self.level(now, &self.cells[at], kind, share, drift);
            self.cells[at] = Cell { used: (level + 1.0) as f32, updated_ms };
        }
        true
    }

    /// Ends a request that the sketch admitted.
    pub fn release(&mut self, key: u64, kind: Kind) {
        if matches!(kind, Kind::Concurrency { .. }) {
            for row in 0..ROWS {
                let cell = &mut self.cells[cell_index(key, row)];
                cell.used = (cell.used - 1.0).max(0.0);
            }
        }
    }

    /// Size of a sketch in memory.
    pub const fn bytes() -> usize {
        ROWS * CELLS_PER_ROW * std::mem::size_of::<Cell>()
    }
}
