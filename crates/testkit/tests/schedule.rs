//! Schedules of faults: parsing, random selection of routers, and reports of invalid lines.

use marljunction_testkit::list::Behavior;
use marljunction_testkit::schedule::{read, Fault, RouterSelector};
use rand::rngs::StdRng;
use rand::SeedableRng;

#[test]
fn schedule_is_sorted_by_time() {
    let text = "# a remark\n9s kill 50%\n\n1.5s list busy Tue, 01 Dec 2026 00:00:00 GMT # a date\n250ms list closes 1s\n9s start\n";
    let events = read(text).unwrap();
    let parsed: Vec<(u64, &Fault)> = events.iter().map(|e| (e.at_ns / 1_000_000, &e.fault)).collect();
    let rejecting = Fault::ListBehavior(Behavior::Rejecting("Tue, 01 Dec 2026 00:00:00 GMT".into()));
    let closes = Fault::ListBehavior(Behavior::ClosesAfter(1_000_000_000));
    assert_eq!(
        parsed,
        [
            (250, &closes),
            (1_500, &rejecting),
            (9_000, &Fault::Kill(RouterSelector::Share(0.5))),
            (9_000, &Fault::Start)
        ]
    );
}

#[test]
fn invalid_line_is_reported_by_its_number() {
    for line in
        ["soon list away", "1s list", "1s kill 101%", "-1s start", "1s drain x", "1s list takes 0", "1s"]
    {
        let fault = read(&format!("1s start\n{line}\n")).unwrap_err();
        assert!(fault.starts_with("line 2:"), "{line}: {fault}");
    }
}

#[test]
fn same_seed_selects_the_same_routers() {
    let draw = |seed| RouterSelector::Share(0.7).select(10, &mut StdRng::seed_from_u64(seed));
    assert_eq!((draw(3), draw(3).len()), (draw(3), 7));
    assert!((0..20).any(|seed| draw(seed) != draw(3)));
    let mut draws = StdRng::seed_from_u64(1);
    assert_eq!(RouterSelector::All.select(3, &mut draws), [0, 1, 2]);
    assert_eq!(
        (RouterSelector::One(2).select(3, &mut draws), RouterSelector::One(3).select(3, &mut draws)),
        (vec![2], vec![])
    );
}
