//! Admission of untracked keys by the sketch.

use marljunction_limits::sketch::Sketch;
use marljunction_limits::Kind;

const S: u64 = 1_000_000_000;

#[test]
fn no_key_exceeds_its_share_and_light_keys_are_admitted() {
    let kind = Kind::Rate { per_s: 10.0, burst: 5 };
    let of = (kind, 5, 0.0);
    let mut sketch = Sketch::new(0);
    let mut admitted = 0;
    // One key sends continuously for 20 s, and 10,000 other keys send once each.
    for ms in 0..20_000u64 {
        let now = S + ms * 1_000_000;
        admitted += u32::from(sketch.admit(now, 7, of));
        if ms % 2 == 0 {
            sketch.admit(now, 1_000 + ms, of);
        }
    }
    assert!((180..=205).contains(&admitted), "admitted {admitted} of a share of 200 and a burst of 5");
    let light = (0..1_000u64).filter(|key| sketch.admit(30 * S, 1 << 40 | key, of)).count();
    assert!(light >= 990, "admitted {light} of 1,000 light keys");
}

#[test]
fn requests_in_flight_are_counted_until_released() {
    let kind = Kind::Concurrency { at_once: 3 };
    let of = (kind, 3, 0.0);
    let mut sketch = Sketch::new(0);
    assert!((0..3).all(|_| sketch.admit(S, 9, of)) && !sketch.admit(60 * S, 9, of));
    sketch.release(9, kind);
    assert!(sketch.admit(60 * S, 9, of) && !sketch.admit(60 * S, 9, of));
}
