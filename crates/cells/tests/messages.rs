//! Sizes of messages, and rejection of invalid ones.

mod common;

use common::{bound_params, engine, relay_settings, MS, S};
use marljunction_cells::message::{
    Delta, Piece, Request, ResponseHeader, Table, MAX_MESSAGE_BYTES, MAX_MISSING, MAX_PIECES,
};
use marljunction_cells::{CellId, Digest, DivideBy, Engine, EngineState, Message, Relay};
use marljunction_peers::datagram::MAX_CONTENT_BYTES;
use marljunction_peers::PeerIdentity;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn header() -> ResponseHeader {
    let max_delay_ns = u64::MAX;
    ResponseHeader {
        incarnation: max_delay_ns,
        sequence: max_delay_ns,
        cell: max_delay_ns,
        version: max_delay_ns,
        contact_age_ms: max_delay_ns,
    }
}

/// Returns an engine whose fields all have their largest encoding.
fn largest(id: u64) -> Engine {
    Engine {
        id: u64::MAX - id,
        address: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().expect("an address"),
        zone: Some("z".repeat(200).into()),
        kind: Some(format!("{id:0>200}").into()),
        group: Some(u64::MAX),
        state: EngineState::Draining,
        weight: f64::MAX,
        started_ms: u64::MAX,
    }
}

fn all_tables(engines: &[Engine]) -> Vec<Table> {
    Table::pack(engines)
}

#[test]
fn each_message_fits_a_datagram_with_its_sender_identity() {
    let who = PeerIdentity {
        name: "router-".repeat(8),
        number: u32::MAX,
        address: "[ffff::1]:65535".parse().expect("an address"),
        incarnation: u64::MAX,
        renewal: u32::MAX,
    };
    let sender = rmp_serde::to_vec(&who).expect("a sender").len();
    assert!(sender + MAX_MESSAGE_BYTES <= MAX_CONTENT_BYTES, "{sender} bytes of sender");
    let digest = Digest(u64::MAX, u64::MAX);
    let engines: Vec<Engine> =
        (0..200).map(|id| if id % 3 == 0 { largest(id) } else { engine(id) }).collect();
    for table in all_tables(&engines) {
        let piece = Piece { header: header(), digest, index: u16::MAX, count: u16::MAX, table };
        assert!(Message::Piece(piece).encode().len() <= MAX_MESSAGE_BYTES);
    }
    let cell = CellId { zone: Some("z".repeat(200)), cells: u32::MAX, cell: u32::MAX, by: DivideBy::Group };
    let missing = Some((digest, vec![u16::MAX; MAX_MISSING]));
    let request = Request {
        incarnation: u64::MAX,
        sequence: u64::MAX,
        cell,
        held_digest: Some(digest),
        min_version: Some(u64::MAX),
        missing,
    };
    assert!(Message::Request(request).encode().len() <= MAX_MESSAGE_BYTES);
    for removed in [0, 20, 60, 100, 200] {
        let table = all_tables(&engines[1..3]).swap_remove(0);
        let fits = table.fits_with_removed(removed);
        let removed = vec![u64::MAX; removed];
        let delta = Delta {
            incarnation: u64::MAX,
            cell: u64::MAX,
            version: u64::MAX,
            from: digest,
            to: digest,
            table,
            removed,
        };
        assert!(!fits || Message::Delta(delta).encode().len() <= MAX_MESSAGE_BYTES);
    }
}

#[test]
fn engines_survive_a_round_trip_through_tables() {
    let engines: Vec<Engine> =
        (0..300).map(|id| if id % 7 == 0 { largest(id) } else { engine(id) }).collect();
    let plain = Engine { zone: None, kind: None, group: None, started_ms: 0, ..engine(5) };
    for engines in [engines, vec![plain], Vec::new()] {
        let tables = all_tables(&engines);
        let read: Vec<Engine> = tables.iter().flat_map(|table| table.engines().expect("engines")).collect();
        assert_eq!(read, engines);
    }
}

#[test]
fn truncated_corrupt_or_oversized_messages_are_rejected_without_a_panic() {
    let mut rng = StdRng::seed_from_u64(4);
    let engines: Vec<Engine> = (0..20).map(engine).collect();
    let table = all_tables(&engines).swap_remove(0);
    let piece = Piece { header: header(), digest: Digest(1, 2), index: 0, count: 1, table };
    let encoded = Message::Piece(piece).encode();
    assert!(
        (0..encoded.len()).all(|length| Message::decode(&encoded[..length]).is_err()),
        "decoded a truncated message"
    );
    let cell =
        CellId { zone: Some("z".repeat(2 * MAX_MESSAGE_BYTES)), cells: 1, cell: 0, by: DivideBy::Engine };
    let long =
        Request { incarnation: 1, sequence: 1, cell, held_digest: None, min_version: None, missing: None };
    assert!(Message::decode(&Message::Request(long).encode()).is_err(), "decoded an oversized message");
    assert!(Message::decode(&vec![0x91; MAX_MESSAGE_BYTES]).is_err());
    for _ in 0..20_000 {
        let mut bytes = encoded.clone();
        for _ in 0..rng.gen_range(1..4) {
            let at = rng.gen_range(0..bytes.len());
            bytes[at] = rng.gen();
        }
        if let Ok(Message::Piece(piece)) = Message::decode(&bytes) {
            drop(piece.table.engines());
        }
    }
}

/// Guards the size of a router's first snapshot with the list at its design size.
#[test]
fn a_starting_router_receives_only_the_part_of_its_cell() {
    let cell =
        |zone: u64| CellId { zone: Some(format!("zone-{zone}")), cells: 10, cell: 3, by: DivideBy::Engine };
    let listed = |id: u64| Engine {
        id: id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 1,
        zone: Some(format!("zone-{}", id % 25).into()),
        ..engine(id)
    };
    let mut relay = Relay::new(S, relay_settings(&bound_params()));
    relay.apply_update(7, true, (0..30_000).map(listed).collect());
    relay.record_service_contact(S, 0);
    let (mut largest, mut engines) = (0, 0);
    for zone in 0..8 {
        let request = Request {
            incarnation: 1,
            sequence: 1,
            cell: cell(zone),
            held_digest: None,
            min_version: None,
            missing: None,
        };
        relay.receive(S, common::address(2, zone as usize), Message::Request(request));
        let sent = relay.tick(S + zone * 200 * MS);
        let bytes = sent.iter().map(|(_, message)| message.encode().len()).sum::<usize>();
        let pieces = sent.iter().filter_map(|(_, message)| match message {
            Message::Piece(piece) => piece.table.engines().ok(),
            _ => None,
        });
        engines = pieces.map(|engines| engines.len()).sum::<usize>().max(engines);
        println!("zone {zone}: {} datagrams, {bytes} bytes", sent.len());
        largest = largest.max(bytes);
        assert!(sent.len() <= usize::from(MAX_PIECES));
    }
    assert!((90..=150).contains(&engines), "{engines} engines");
    assert!(largest < 8_000, "{largest} bytes");
}
