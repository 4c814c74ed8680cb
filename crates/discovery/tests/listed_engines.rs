//! Compares the table of engines with a plain map, over random changes.

use std::collections::BTreeMap;

use marljunction_control::interface::{EngineEntry, EngineId, EngineState, KindId, MembershipKind, ZoneId};
use marljunction_discovery::listed_engines::ListedEngines;
use marljunction_discovery::{Change, Target};

/// Generator of reproducible random numbers.
struct Draws(u64);

impl Draws {
    fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below
    }

    fn target(&mut self) -> Target {
        let mut some = |below: u64| Some(self.next(below)).filter(|n| *n > 0);
        let (zone, kind, cell, started_ns) = (some(3), some(3), some(4), some(9));
        let state = [EngineState::Ready, EngineState::Draining, EngineState::Gone][self.next(3) as usize];
        let entry = EngineEntry {
            engine: EngineId(self.next(40)),
            zone: zone.map(|n| ZoneId(n as usize)),
            kind: kind.map(|n| KindId(n as usize)),
            cell,
            state,
            weight: self.next(5) as f64,
            started_ns,
        };
        Target { entry, address: format!("127.0.0.1:{}", 1 + self.next(60_000)).parse().unwrap() }
    }
}

#[test]
fn it_matches_a_plain_map_after_random_changes() {
    for seed in 0..200 {
        let (mut draws, mut listed_engines, mut plain) =
            (Draws(seed), ListedEngines::default(), BTreeMap::new());
        for _ in 0..30 {
            let kind = if draws.next(5) == 0 { MembershipKind::Full } else { MembershipKind::Delta };
            let targets: Vec<Target> = (0..draws.next(30)).map(|_| draws.target()).collect();
            if kind == MembershipKind::Full {
                plain.clear();
            }
            for target in &targets {
                plain.insert(target.entry.engine, *target);
            }
            plain.retain(|_, target| target.entry.state != EngineState::Gone);
            listed_engines.apply(&Change { kind, targets });
            assert_eq!(
                listed_engines.iter().collect::<Vec<_>>(),
                plain.values().copied().collect::<Vec<_>>(),
                "seed {seed}"
            );
            assert_eq!((listed_engines.len(), listed_engines.is_empty()), (plain.len(), plain.is_empty()));
            for id in 0..40 {
                assert_eq!(
                    listed_engines.get(EngineId(id)),
                    plain.get(&EngineId(id)).copied(),
                    "seed {seed}, engine {id}"
                );
            }
        }
    }
}
