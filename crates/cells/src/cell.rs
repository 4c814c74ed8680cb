//! Which engines belong to a cell, and which cell a router belongs to.

use serde::{Deserialize, Serialize};

use crate::engine::Engine;

/// Salts of the hashes: what else divides engines by their ids must not fall together with the cells.
const SALT_CELL: u64 = 0x9e37_79b9_7f4a_7c15;
const SALT_ID: u64 = 0xcbf2_9ce4_8422_2325;

/// What the hash is taken of that puts an engine into a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DivideBy {
    /// The engine's id.
    #[default]
    Engine,
    /// The group of engines that drop each other's repeats, where the engine has one: a repeat finds all of them in one cell.
    Group,
}

/// How numbers are given to the routers of the zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouterNumbering {
    /// One zone after the other: those of a zone follow each other.
    #[default]
    Contiguous,
    /// In turn: a zone's routers are as many numbers apart as there are zones.
    Interleaved,
}

/// How a fleet is divided, as the operator's file says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellPlan {
    /// Cells of each zone (count).
    pub cells: u32,
    /// What divides the engines.
    pub by: DivideBy,
    /// How routers are numbered.
    pub numbering: RouterNumbering,
    /// This router's cell; none for the one that follows from its number.
    pub cell: Option<u32>,
    /// Most routers of one cell (count); none for what follows from the settings.
    pub routers_per_cell: Option<u32>,
    /// Which of its cell's routers this one is; none for what follows from its number.
    pub rank: Option<u32>,
}

impl Default for CellPlan {
    fn default() -> Self {
        CellPlan {
            cells: 1,
            by: DivideBy::Engine,
            numbering: RouterNumbering::Contiguous,
            cell: None,
            routers_per_cell: None,
            rank: None,
        }
    }
}

/// A cell, as relays know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// The zone by name; none where the engines have no zones, or are not divided by them.
    pub zone: Option<String>,
    /// Cells of the zone (count).
    pub cells: u32,
    /// Which of them.
    pub cell: u32,
    /// What divides the engines.
    pub by: DivideBy,
}

impl CellId {
    /// Whether an engine belongs to it.
    pub fn contains(&self, engine: &Engine) -> bool {
        let same_zone = self.zone.is_none() || self.zone.as_deref() == engine.zone.as_deref();
        same_zone && cell_of(engine, self.cells, self.by) == self.cell
    }

    /// A number for it (a stable hash): answers bear it, so that one for another cell is noticed.
    pub fn hash(&self) -> u64 {
        let zone = self.zone.as_deref().unwrap_or_default().bytes();
        let start = mix_hash(SALT_ID ^ u64::from(self.zone.is_some()));
        let zone = zone.fold(start, |hash, byte| mix_hash(hash ^ u64::from(byte)));
        mix_hash(
            mix_hash(zone ^ u64::from(self.cells))
                ^ u64::from(self.cell) << 1
                ^ u64::from(self.by == DivideBy::Group),
        )
    }
}

/// The cell that a router belongs to, and its part among the routers that share the cell's engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellConfig {
    /// The cell.
    pub id: CellId,
    /// Most routers of one cell (count): what the decision module divides budgets of shared engines by.
    pub routers_per_cell: u32,
    /// Which of them this router is: below `sharers`.
    pub rank: u32,
}

impl CellConfig {
    /// The cell of router `number` of `routers` in all, in this one of `zones` zones (count; zone none and 1 where there are
    /// none).
    pub fn new(plan: &CellPlan, zone: Option<&str>, zones: u32, number: u32, routers: u32) -> CellConfig {
        let cells = plan.cells.max(1);
        let position = match plan.numbering {
            RouterNumbering::Contiguous => number,
            RouterNumbering::Interleaved => number / zones.max(1),
        };
        let derived = routers.max(1).div_ceil(zones.max(1)).div_ceil(cells);
        let routers_per_cell = plan.routers_per_cell.unwrap_or(derived).max(1);
        let cell = plan.cell.unwrap_or(position % cells) % cells;
        let rank = plan.rank.unwrap_or(position / cells) % routers_per_cell;
        CellConfig {
            id: CellId { zone: zone.map(str::to_owned), cells, cell, by: plan.by },
            routers_per_cell,
            rank,
        }
    }
}

/// The cell of an engine among `cells` of its zone: the same at every router and relay, whatever address it has.
pub fn cell_of(engine: &Engine, cells: u32, by: DivideBy) -> u32 {
    let key = match (by, engine.group) {
        (DivideBy::Group, Some(group)) => group,
        _ => engine.id,
    };
    (mix_hash(key ^ SALT_CELL) % u64::from(cells.max(1))) as u32
}

/// A mixing function (splitmix64): each bit of the input changes about half of the bits of the output.
pub(crate) fn mix_hash(number: u64) -> u64 {
    let z = number.wrapping_add(SALT_CELL);
    let z = (z ^ z >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ z >> 31
}
