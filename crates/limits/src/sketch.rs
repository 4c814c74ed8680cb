//! Keys that find no place in the table of a limit: a count-min sketch of what each of them has used of its router's own share.
//! Cells are shared by keys, so that it says too much at times and never too little: it never admits beyond the share, at worst
//! it refuses a light key whose cells all have a heavy one in them.

use crate::terms::Kind;

/// Rows, each with a hash of its own, and cells of a row (counts).
const ROWS: usize = 4;
const CELLS_PER_ROW: usize = 8_192;

/// What has been used in one cell, and when that was true.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    /// Admissions that are out, or a bucket's level (admissions).
    used: f32,
    /// When (ms since the sketch was made).
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
    /// An empty one; of a rate nothing has been saved up at `now`, as for any key that is new.
    pub fn new(now: u64) -> Sketch {
        Sketch { cells: vec![Cell::default(); ROWS * CELLS_PER_ROW], created_ns: now }
    }

    /// What a cell holds now, of a limit of which the router owns `share` units.
    fn level(&self, now: u64, cell: &Cell, kind: Kind, share: u32, drift: f64) -> f64 {
        let used = f64::from(cell.used);
        let Kind::Rate { per_s, burst } = kind else { return used };
        let at_ns = self.created_ns.saturating_add(u64::from(cell.updated_ms) * 1_000_000);
        let passed = now.saturating_sub(at_ns) as f64 / 1e9 / (1.0 + drift);
        let rate = per_s / f64::from(burst.max(1)) * f64::from(share);
        // A cell that was never used holds a whole share from when the sketch was made.
        let used = if cell.updated_ms == 0 { f64::from(share) } else { used };
        (used - passed * rate).max(0.0)
    }

    /// What a key has used of its share at most (admissions out, or a bucket's level).
    pub fn used(&self, now: u64, key: u64, (kind, share, drift): (Kind, u32, f64)) -> f64 {
        let cells = (0..ROWS).map(|row| &self.cells[cell_index(key, row)]);
        cells.map(|cell| self.level(now, cell, kind, share, drift)).fold(f64::INFINITY, f64::min)
    }

    /// Admits a request of a key, where its own share allows one more for sure.
    pub fn admit(&mut self, now: u64, key: u64, of: (Kind, u32, f64)) -> bool {
        let (kind, share, drift) = of;
        if self.used(now, key, of) + 1.0 > f64::from(share) {
            return false;
        }
        // The next millisecond: a level counts as if it had been reached later, and drains later.
        let updated_ms =
            (now.saturating_sub(self.created_ns) / 1_000_000 + 1).min(u64::from(u32::MAX)) as u32;
        for row in 0..ROWS {
            let at = cell_index(key, row);
            let level = self.level(now, &self.cells[at], kind, share, drift);
            self.cells[at] = Cell { used: (level + 1.0) as f32, updated_ms };
        }
        true
    }

    /// A request that the sketch admitted is over.
    pub fn release(&mut self, key: u64, kind: Kind) {
        if matches!(kind, Kind::Concurrency { .. }) {
            for row in 0..ROWS {
                let cell = &mut self.cells[cell_index(key, row)];
                cell.used = (cell.used - 1.0).max(0.0);
            }
        }
    }

    /// Bytes that it takes.
    pub const fn bytes() -> usize {
        ROWS * CELLS_PER_ROW * std::mem::size_of::<Cell>()
    }
}
