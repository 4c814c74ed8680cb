//! Assignment of engines and routers to cells.

use serde::{Deserialize, Serialize};

use crate::engine::Engine;

/// Salt of the cell hash, so that cells are independent of other divisions by engine id.
const SALT_CELL: u64 = 0x9e37_79b9_7f4a_7c15;
/// Salt of the hash of a cell's identity.
const SALT_ID: u64 = 0xcbf2_9ce4_8422_2325;

/// What determines the cell of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DivideBy {
    /// The engine's id.
    #[default]
    Engine,
    /// The deduplication group of the engine, if it has one: all engines that can recognise a retry
    /// are then in one cell.
    Group,
}

/// How router numbers are assigned to zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouterNumbering {
    /// The routers of a zone have consecutive numbers.
    #[default]
    Contiguous,
    /// Numbers rotate over the zones: those of one zone are as far apart as there are zones.
    Interleaved,
}

/// Configured division of a fleet into cells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellPlan {
    /// Number of cells in each zone.
    pub cells: u32,
    /// What determines the cell of an engine.
    pub by: DivideBy,
    /// How router numbers are assigned to zones.
    pub numbering: RouterNumbering,
    /// Cell of this router; `None` to derive it from the router's number.
    pub cell: Option<u32>,
    /// Largest number of routers in a cell; `None` to derive it from the size of the fleet.
    pub routers_per_cell: Option<u32>,
    /// Rank of this router within its cell; `None` to derive it from the router's number.
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

/// Identity of a cell.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// Name of the zone; `None` if engines are not divided by zone.
    pub zone: Option<String>,
    /// Number of cells in the zone.
    pub cells: u32,
    /// Index of the cell, below `cells`.
    pub cell: u32,
    /// What determines the cell of an engine.
    pub by: DivideBy,
}

impl CellId {
    /// Returns whether an engine belongs to the cell.
    pub fn contains(&self, engine: &Engine) -> bool {
        let same_zone = self.zone.is_none() || self.zone.as_deref() == engine.zone.as_deref();
        same_zone && cell_of(engine, self.cells, self.by) == self.cell
    }

    /// Returns a stable hash of the cell. Responses carry it, so that a router rejects those for
    /// another cell.
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

/// Cell of a router, and its rank among the routers that share the engines of the cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellConfig {
    /// The cell.
    pub id: CellId,
    /// Largest number of routers in a cell. The decision module divides the budgets of shared
    /// engines by it.
    pub routers_per_cell: u32,
    /// Rank of this router, below `routers_per_cell`.
    pub rank: u32,
}

impl CellConfig {
    /// Determines the cell of router `number` in a fleet of `routers` and `zones`. Without zones,
    /// `zone` is `None` and `zones` is 1.
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

/// Returns the cell of an engine among `cells` of its zone. All routers and relays compute the same
/// cell; the address of the engine has no influence.
pub fn cell_of(engine: &Engine, cells: u32, by: DivideBy) -> u32 {
    let key = match (by, engine.group) {
        (DivideBy::Group, Some(group)) => group,
        _ => engine.id,
    };
    (mix_hash(key ^ SALT_CELL) % u64::from(cells.max(1))) as u32
}

/// Mixes the bits of a number (splitmix64).
pub(crate) fn mix_hash(number: u64) -> u64 {
    let z = number.wrapping_add(SALT_CELL);
    let z = (z ^ z >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ z >> 31
}
