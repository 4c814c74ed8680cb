//! Division of engines and routers into cells at the design size of the fleet.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{cell_id, engine};
use marljunction_cells::cell::cell_of;
use marljunction_cells::{CellConfig, CellPlan, DivideBy, Engine, RouterNumbering};

const ROUTERS: u32 = 3_200;
const ZONES: u32 = 25;
const CELLS: u32 = 10;

/// Returns the ranks of the routers by zone and cell.
fn ranks(plan: &CellPlan, zone_of: impl Fn(u32) -> u32) -> BTreeMap<(u32, u32), Vec<u32>> {
    let mut all = BTreeMap::<(u32, u32), Vec<u32>>::new();
    for number in 0..ROUTERS {
        let zone = zone_of(number);
        let name = format!("z{zone}");
        let config = CellConfig::new(plan, Some(&name), ZONES, number, ROUTERS);
        assert_eq!(config.routers_per_cell, 13);
        all.entry((zone, config.id.cell)).or_default().push(config.rank);
    }
    all
}

#[test]
fn routers_are_spread_evenly_over_cells_with_distinct_ranks() {
    let blocks = CellPlan { cells: CELLS, ..CellPlan::default() };
    let turns = CellPlan { numbering: RouterNumbering::Interleaved, ..blocks.clone() };
    for (plan, all) in [(&blocks, ranks(&blocks, |n| n / 128)), (&turns, ranks(&turns, |n| n % ZONES))] {
        assert_eq!(all.len(), (ZONES * CELLS) as usize, "{plan:?}");
        for (cell, ranks) in all {
            assert!((12..=13).contains(&ranks.len()), "{cell:?}: {} routers", ranks.len());
            let different: BTreeSet<u32> = ranks.iter().copied().collect();
            assert_eq!(different.len(), ranks.len(), "{cell:?}: {ranks:?}");
            assert!(ranks.iter().all(|rank| *rank < 13));
        }
    }
}

#[test]
fn explicit_settings_override_values_derived_from_the_router_number() {
    let plan = CellPlan {
        cells: CELLS,
        cell: Some(7),
        routers_per_cell: Some(4),
        rank: Some(3),
        ..CellPlan::default()
    };
    let config = CellConfig::new(&plan, None, 1, 99, ROUTERS);
    assert_eq!((config.id.cell, config.routers_per_cell, config.rank, config.id.zone), (7, 4, 3, None));
}

#[test]
fn the_cell_of_an_engine_depends_on_its_id_only() {
    let cells: Vec<u32> = (0..8).map(|id| cell_of(&engine(id), CELLS, DivideBy::Engine)).collect();
    assert_eq!(cells, [0, 9, 6, 9, 1, 4, 1, 9]);
    let moved = Engine { address: "10.1.1.1:1".parse().expect("an address"), ..engine(3) };
    assert_eq!(cell_of(&moved, CELLS, DivideBy::Engine), cells[3]);
}

#[test]
fn engines_are_spread_evenly_over_cells() {
    let mut sizes = [0u32; CELLS as usize];
    for id in 0..1_200u64 {
        let engine = engine(id.wrapping_mul(0x5851_f42d_4c95_7f2d));
        sizes[cell_of(&engine, CELLS, DivideBy::Engine) as usize] += 1;
    }
    assert!(sizes.iter().all(|size| (80..=160).contains(size)), "{sizes:?}");
}

#[test]
fn dividing_by_group_keeps_a_group_in_one_cell() {
    let mut cells = BTreeSet::new();
    for id in 0..400 {
        let engine = Engine { group: Some(id / 20), ..engine(id) };
        cells.insert((engine.group, cell_of(&engine, CELLS, DivideBy::Group)));
    }
    assert_eq!(cells.len(), 20);
}

#[test]
fn each_engine_is_in_exactly_one_cell_of_its_zone() {
    for id in 0..100 {
        let engine = engine(id);
        let held = (0..CELLS).filter(|cell| cell_id(*cell, CELLS).contains(&engine)).count();
        assert_eq!(held, usize::from(engine.zone.as_deref() == Some("z0")));
    }
    assert_ne!(cell_id(1, CELLS).hash(), cell_id(2, CELLS).hash());
}
