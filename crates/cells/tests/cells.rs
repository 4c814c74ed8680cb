//! Which engines and routers a cell has, at the size that the fleet is designed for.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{by_engine, engine};
use marljunction_cells::cell::cell_of;
use marljunction_cells::{CellConfig, CellPlan, DivideBy, Engine, RouterNumbering};

const ROUTERS: u32 = 3_200;
const ZONES: u32 = 25;
const CELLS: u32 = 10;

/// Routers by zone and cell, with their ranks.
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
fn routers_of_a_zone_fall_into_its_cells_evenly_and_no_two_of_a_cell_have_one_rank() {
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
fn what_the_operators_file_says_goes_before_what_follows_from_the_number() {
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
fn an_engines_cell_is_its_ids_and_stays_over_builds_and_addresses() {
    let cells: Vec<u32> = (0..8).map(|id| cell_of(&engine(id), CELLS, DivideBy::Engine)).collect();
    assert_eq!(cells, [0, 9, 6, 9, 1, 4, 1, 9]);
    let moved = Engine { address: "10.1.1.1:1".parse().expect("an address"), ..engine(3) };
    assert_eq!(cell_of(&moved, CELLS, DivideBy::Engine), cells[3]);
}

#[test]
fn engines_of_a_zone_are_divided_into_cells_that_are_about_as_large() {
    let mut sizes = [0u32; CELLS as usize];
    for id in 0..1_200u64 {
        let engine = engine(id.wrapping_mul(0x5851_f42d_4c95_7f2d));
        sizes[cell_of(&engine, CELLS, DivideBy::Engine) as usize] += 1;
    }
    assert!(sizes.iter().all(|size| (80..=160).contains(size)), "{sizes:?}");
}

#[test]
fn engines_of_one_group_are_in_one_cell_where_the_plan_says_so() {
    let mut cells = BTreeSet::new();
    for id in 0..400 {
        let engine = Engine { group: Some(id / 20), ..engine(id) };
        cells.insert((engine.group, cell_of(&engine, CELLS, DivideBy::Group)));
    }
    assert_eq!(cells.len(), 20);
}

#[test]
fn a_cell_holds_only_engines_of_its_zone_and_each_engine_is_in_one_cell() {
    for id in 0..100 {
        let engine = engine(id);
        let held = (0..CELLS).filter(|cell| by_engine(*cell, CELLS).contains(&engine)).count();
        assert_eq!(held, usize::from(engine.zone.as_deref() == Some("z0")));
    }
    assert_ne!(by_engine(1, CELLS).hash(), by_engine(2, CELLS).hash());
}
