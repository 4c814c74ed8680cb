//! Compares ways to divide the engines among routers, and measures the cost of a relay and of
//! routers, for 3,200 routers and 30,000 engines.
//!
//! `cargo run --release -p marljunction-cells --example divisions` prints one JSON object per line.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use marljunction_cells::cell::cell_of;
use marljunction_cells::{
    CellConfig, CellPlan, DivideBy, Engine, EngineState, Message, Relay, RelaySettings, Subscriber,
    SubscriberSettings,
};
use marljunction_peers::datagram::{MAX_CONTENT_BYTES, MAX_DATAGRAM_BYTES};
use marljunction_peers::PeerIdentity;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;

const ZONES: u32 = 25;
const ROUTERS: u32 = 3_200;
const ENGINES: u64 = 30_000;
const CELLS: u32 = 10;
const PER_ZONE: u64 = ENGINES / ZONES as u64;
const ROUTERS_PER_ZONE: u32 = ROUTERS / ZONES;
const S: u64 = 1_000_000_000;

type Parts = Vec<BTreeSet<u64>>;

fn hash(a: u64, b: u64) -> u64 {
    let z = (a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ z >> 31
}

fn engine(id: u64) -> Engine {
    Engine {
        id: hash(id, 1) >> 1,
        address: SocketAddr::from(([10, (id >> 16) as u8, (id >> 8) as u8, id as u8], 9000)),
        zone: Some(format!("zone-{:02}", id % u64::from(ZONES)).into()),
        kind: Some("standard-32".into()),
        group: Some(id / 40),
        state: EngineState::Ready,
        weight: 32.0,
        started_ms: 1_700_000_000_000 + id,
    }
}

/// Each router of a zone uses the engines with the highest hash of the pair of both.
fn shuffled(engines: &[u64], routers: u32) -> Parts {
    let part = |router: u32| {
        let mut ranked: Vec<u64> = engines.to_vec();
        ranked.sort_unstable_by_key(|engine| hash(u64::from(router), *engine));
        ranked.into_iter().take(engines.len().div_ceil(CELLS as usize)).collect()
    };
    (0..routers).map(part).collect()
}

/// Deterministic subsetting: each round of routers shuffles the engines with its own seed and
/// divides them evenly among its routers.
fn deterministic(engines: &[u64], routers: u32) -> Parts {
    let part = |router: u32| {
        let mut all = engines.to_vec();
        all.shuffle(&mut StdRng::seed_from_u64(u64::from(router / CELLS)));
        let size = all.len().div_ceil(CELLS as usize);
        all.into_iter().skip(size * (router % CELLS) as usize).take(size).collect()
    };
    (0..routers).map(part).collect()
}

fn cells(engines: &[u64], routers: u32) -> Parts {
    let cell = |id: u64| cell_of(&Engine { id, ..engine(0) }, CELLS, DivideBy::Engine);
    let part = |router: u32| engines.iter().copied().filter(|id| cell(*id) == router % CELLS).collect();
    (0..routers).map(part).collect()
}

/// Counts the entries added to or removed from all parts, except those of `engine`.
fn churn(before: &Parts, after: &Parts, engine: Option<u64>) -> usize {
    let differ = |(a, b): (&BTreeSet<u64>, &BTreeSet<u64>)| {
        a.symmetric_difference(b).filter(|id| Some(**id) != engine).count()
    };
    before.iter().zip(after).map(differ).sum()
}

fn compare(name: &str, divide: impl Fn(&[u64], u32) -> Parts) {
    let engines: Vec<u64> = (0..PER_ZONE).map(|id| hash(id, 1) >> 1).collect();
    let parts = divide(&engines, ROUTERS_PER_ZONE);
    let mut routers_per_engine = BTreeMap::<u64, u32>::new();
    routers_per_engine.extend(engines.iter().map(|id| (*id, 0)));
    parts.iter().flatten().for_each(|id| *routers_per_engine.entry(*id).or_default() += 1);
    let sizes: Vec<usize> = parts.iter().map(BTreeSet::len).collect();
    let removed = engines[17];
    let remaining: Vec<u64> = engines.iter().copied().filter(|id| *id != removed).collect();
    let engine_removed = churn(&parts, &divide(&remaining, ROUTERS_PER_ZONE), Some(removed));
    let router_added = churn(&parts, &divide(&engines, ROUTERS_PER_ZONE + 1), None);
    // All engines of one router fail together, for example because of the queries it sends.
    let lost_part = &parts[5];
    let remaining_share =
        |part: &BTreeSet<u64>| part.difference(lost_part).count() as f64 / part.len() as f64;
    let none_left = parts.iter().filter(|part| remaining_share(part) == 0.0).count();
    let affected = parts.iter().filter(|part| remaining_share(part) < 1.0).count();
    let different: BTreeSet<&BTreeSet<u64>> = parts.iter().collect();
    println!(
        "{{\"way\": \"{name}\", \"part_min\": {}, \"part_max\": {}, \"sharers_min\": {}, \"sharers_max\": {}, \
         \"engines_without_router\": {}, \"churn_engine_gone\": {engine_removed}, \"churn_router_more\": {router_added}, \
         \"routers_hit\": {affected}, \"routers_left_without\": {none_left}, \"parts_of_a_zone\": {}}}",
        sizes.iter().min().unwrap_or(&0),
        sizes.iter().max().unwrap_or(&0),
        routers_per_engine.values().min().unwrap_or(&0),
        routers_per_engine.values().max().unwrap_or(&0),
        routers_per_engine.values().filter(|count| **count == 0).count(),
        different.len(),
    );
}

/// Returns the size of a datagram without its message: signature and sender identity.
fn envelope_bytes() -> u64 {
    let sender_identity = PeerIdentity {
        name: "router-0000".into(),
        number: ROUTERS - 1,
        address: address(7),
        incarnation: 1 << 60,
        renewal: 0,
    };
    let sender = rmp_serde::to_vec(&sender_identity).map_or(0, |bytes| bytes.len());
    (MAX_DATAGRAM_BYTES - MAX_CONTENT_BYTES + sender) as u64
}

fn address(number: u32) -> SocketAddr {
    SocketAddr::from(([10, 200, (number >> 8) as u8, number as u8], 7000))
}

/// Measures bytes and processor time of one relay and all routers: a cold start, an idle minute,
/// and one change.
fn measure_cost() {
    let relay_address = address(60_000);
    let settings = RelaySettings { routers: ROUTERS, request_interval_ns: S, silence_ns: 3 * S };
    let mut relay = Relay::new(S, settings);
    let list: Vec<Engine> = (0..ENGINES).map(engine).collect();
    let update_started = Instant::now();
    relay.apply_update(1, true, list.clone());
    relay.record_service_contact(S, 0);
    let update_ms = update_started.elapsed().as_secs_f64() * 1e3;
    let mut routers: Vec<Subscriber> = (0..ROUTERS).map(|number| subscriber(number, relay_address)).collect();
    let (mut bytes, envelope_bytes) = ([0u64; 2], envelope_bytes());
    let (mut relay_s, mut router_s) = (0.0, 0.0);
    let mut step_until = |relay: &mut Relay, routers: &mut Vec<Subscriber>, from: u64, to: u64| {
        let before = bytes;
        let mut now = from;
        while now < to {
            now += 20_000_000;
            for (at, router) in routers.iter_mut().enumerate() {
                let started = Instant::now();
                let requests = router.tick(now);
                router_s += started.elapsed().as_secs_f64();
                for (_, request) in requests {
                    bytes[0] += request.encode().len() as u64 + envelope_bytes;
                    let started = Instant::now();
                    relay.receive(now, address(at as u32), request);
                    relay_s += started.elapsed().as_secs_f64();
                }
            }
            let started = Instant::now();
            relay.record_service_contact(now, 0);
            let sent = relay.tick(now);
            relay_s += started.elapsed().as_secs_f64();
            for (to, message) in sent {
                let encoded = message.encode();
                bytes[1] += encoded.len() as u64 + envelope_bytes;
                let SocketAddr::V4(to) = to else { continue };
                let octets = to.ip().octets();
                let at = usize::from(octets[2]) << 8 | usize::from(octets[3]);
                let started = Instant::now();
                if let Ok(message) = Message::decode(&encoded) {
                    routers[at].receive(now, relay_address, message);
                }
                router_s += started.elapsed().as_secs_f64();
            }
        }
        let bytes_sent = [bytes[0] - before[0], bytes[1] - before[1]];
        let times = [std::mem::take(&mut relay_s), std::mem::take(&mut router_s)];
        (bytes_sent, times)
    };
    let per_router = |bytes: u64| bytes as f64 / f64::from(ROUTERS);
    let mut now = 2 * S;
    let (mut bytes_sent, mut times) = ([0; 2], [0.0; 2]);
    let synced_routers =
        |routers: &[Subscriber]| routers.iter().filter(|router| router.part().is_some()).count();
    while synced_routers(&routers) < ROUTERS as usize && now < 60 * S {
        let (more_bytes, more_time) = step_until(&mut relay, &mut routers, now, now + 20_000_000);
        now += 20_000_000;
        bytes_sent = [bytes_sent[0] + more_bytes[0], bytes_sent[1] + more_bytes[1]];
        times = [times[0] + more_time[0], times[1] + more_time[1]];
    }
    println!(
        "{{\"run\": \"all cold, one relay\", \"learn_list_ms\": {update_ms:.1}, \"known_after_s\": {:.2}, \"asked_bytes_each\": {:.0}, \
         \"told_bytes_each\": {:.0}, \"relay_cpu_s\": {:.3}, \"router_cpu_us_each\": {:.0}}}",
        (now - 2 * S) as f64 / 1e9,
        per_router(bytes_sent[0]),
        per_router(bytes_sent[1]),
        times[0],
        times[1] / f64::from(ROUTERS) * 1e6,
    );
    let (bytes_sent, times) = step_until(&mut relay, &mut routers, now, now + 60 * S);
    now += 60 * S;
    println!(
        "{{\"run\": \"a quiet minute, one relay\", \"asked_bytes_per_s_each\": {:.0}, \"told_bytes_per_s_each\": {:.0}, \
         \"relay_core_share\": {:.4}, \"router_core_share\": {:.6}}}",
        per_router(bytes_sent[0]) / 60.0,
        per_router(bytes_sent[1]) / 60.0,
        times[0] / 60.0,
        times[1] / 60.0 / f64::from(ROUTERS),
    );
    let drained = Engine { state: EngineState::Draining, ..list[100].clone() };
    let started = Instant::now();
    relay.apply_update(2, false, vec![drained]);
    let delta_ms = started.elapsed().as_secs_f64() * 1e3;
    let sent = relay.tick(now + 20_000_000).len();
    let started = Instant::now();
    relay.apply_update(3, true, list);
    let full_list_ms = started.elapsed().as_secs_f64() * 1e3;
    println!(
        "{{\"run\": \"a change\", \"one_engine_ms\": {delta_ms:.2}, \"whole_list_again_ms\": {full_list_ms:.1}, \"datagrams\": {sent}}}"
    );
}

fn subscriber(number: u32, relay: SocketAddr) -> Subscriber {
    let plan = CellPlan { cells: CELLS, ..CellPlan::default() };
    let zone = format!("zone-{:02}", number / ROUTERS_PER_ZONE);
    let cell = CellConfig::new(&plan, Some(&zone), ZONES, number, ROUTERS);
    let settings = SubscriberSettings {
        cell: cell.id,
        router: u64::from(number),
        incarnation: 1,
        relays: vec![relay],
        request_interval_ns: S,
        silence_ns: 3 * S,
        settle_ns: 8 * S,
        spread_ns: S,
        stale_ns: 7 * S,
        seed: hash(u64::from(number), 7),
    };
    Subscriber::new(2 * S, settings)
}

fn main() {
    compare("shuffled subsets", shuffled);
    compare("deterministic subsets", deterministic);
    compare("cells", cells);
    measure_cost();
}
