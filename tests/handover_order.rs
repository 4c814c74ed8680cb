//! The processes of an upgrade are one router: requests of a serial class with the same key run one
//! at a time, in the order in which the processes took them.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::json;

#[allow(dead_code)]
#[path = "common/upgrade.rs"]
mod upgrade;

use upgrade::{assert_well, client, wait_for, Upgrade};

/// Time after its last poll at which an engine ends a query.
const UNPOLLED_LIMIT: Duration = Duration::from_secs(2);

/// Loads are serial by key, without a pause between them.
fn serial_upgrade(name: &str) -> Upgrade {
    Upgrade::new(name, |config| {
        config["settings"]["request_classes"][2]["serial_by_key"] = json!(true);
        config["settings"]["guarantees"]["order_pause_ns"] = json!(0);
    })
}

/// Waits until both processes have read all input so far, and checks that no query arrived.
fn assert_none_runs(upgrade: &Upgrade, clients: &mut [&mut TcpStream], why: &str) {
    for client in clients {
        assert_well(client, why);
    }
    let early = upgrade.engine.waiting_query().map(|query| query.id);
    assert_eq!(early, None, "{why}");
}

/// Sends a load whose request id ends with `number`, with the same key as all others.
fn send_load(client: &mut TcpStream, number: u8) {
    let mut call = vec![0x94, 0x00, 0x10 + number];
    call.extend(b"\xacservice-load\x92\x84\xa3rid\xb09b1f03aa5c7e2d4");
    call.push(b'0' + number);
    call.extend(b"\xa6budget\xa45000\xa3obj\xb0000be944cd8a5991\xa4acct\xb2gulf-coast-comfort");
    call.extend(b"\xc4\x1dselect * from sales_17.orders");
    client.write_all(&call).unwrap();
}

/// Reads the answer to the load with this number, which was served.
fn assert_served(client: &mut TcpStream, number: u8) {
    let mut response = vec![0; 13];
    client.read_exact(&mut response).unwrap();
    let mut expected = vec![0x94, 0x01, 0x10 + number];
    expected.extend(b"\xc0\x92\xc4\x06a\tb\tc\n");
    expected.truncate(13);
    assert_eq!(response, expected);
    client.read_exact(&mut [0; 1]).unwrap();
}

fn request_id(number: u8) -> String {
    format!("9b1f03aa5c7e2d4{number}")
}

/// Guards against loads of one key that run at once during an upgrade: those that the new process
/// took wait for those that the old one took before.
#[test]
fn a_load_at_the_new_process_waits_for_earlier_ones_of_its_key_at_the_old_one() {
    let upgrade = serial_upgrade("order-new");
    let mut old = upgrade.start();
    let mut old_client = client(upgrade.address());
    send_load(&mut old_client, 1);
    let first = upgrade.engine.next_query();
    send_load(&mut old_client, 2);
    let _new = upgrade.start();
    old.begin_stop();
    let mut new_client = client(upgrade.address());
    send_load(&mut new_client, 3);
    assert_none_runs(&upgrade, &mut [&mut new_client], "the first load runs");
    first.complete();
    let second = upgrade.engine.next_query();
    assert_eq!(second.id, request_id(2), "the load that was taken second runs next");
    assert_none_runs(&upgrade, &mut [&mut new_client], "the second load runs");
    second.complete();
    assert_served(&mut old_client, 1);
    assert_served(&mut old_client, 2);
    let third = upgrade.engine.next_query();
    assert_eq!(third.id, request_id(3));
    third.complete();
    assert_served(&mut new_client, 3);
}

/// Guards against the reverse: the old process still takes loads on open connections, and they wait
/// for those that the new process took before.
#[test]
fn a_load_at_the_old_process_waits_for_earlier_ones_of_its_key_at_the_new_one() {
    let upgrade = serial_upgrade("order-old");
    let old = upgrade.start();
    let mut old_client = client(upgrade.address());
    assert_well(&mut old_client, "the old process accepts");
    let _new = upgrade.start();
    // Only the new process can accept meanwhile.
    old.suspend();
    let mut new_client = client(upgrade.address());
    send_load(&mut new_client, 1);
    let first = upgrade.engine.next_query();
    old.signal("-CONT");
    send_load(&mut old_client, 2);
    assert_none_runs(&upgrade, &mut [&mut old_client], "the first load runs");
    first.complete();
    assert_served(&mut new_client, 1);
    let second = upgrade.engine.next_query();
    assert_eq!(second.id, request_id(2));
    second.complete();
    assert_served(&mut old_client, 2);
}

/// Guards against a load that runs beside one of a killed process, which its engine ends only once
/// nobody has polled it for 2 s; and against one that waits for a load which never ran.
#[test]
fn a_load_waits_until_an_engine_has_ended_the_one_of_a_killed_process() {
    let upgrade = serial_upgrade("order-killed");
    let mut old = upgrade.start();
    let mut old_client = client(upgrade.address());
    send_load(&mut old_client, 1);
    let _first = upgrade.engine.next_query();
    send_load(&mut old_client, 2);
    assert_well(&mut old_client, "the old process took both loads");
    let _new = upgrade.start();
    let killed = Instant::now();
    old.child.kill().unwrap();
    old.child.wait().unwrap();
    let mut new_client = client(upgrade.address());
    send_load(&mut new_client, 3);
    let third = upgrade.engine.next_query();
    assert_eq!(third.id, request_id(3));
    assert!(third.arrived - killed >= UNPOLLED_LIMIT, "{:?} after the kill", third.arrived - killed);
    third.complete();
    assert_served(&mut new_client, 3);
}

/// Guards against a process that uses the budgets of retries and of cold engines beside an older one:
/// both know that the other runs, and when it has ended.
#[test]
fn both_processes_know_that_the_other_runs() {
    let upgrade = serial_upgrade("processes");
    let mut old = upgrade.start();
    let mut new = upgrade.start();
    wait_for(&mut old.log, "running processes of this router: 2");
    old.child.kill().unwrap();
    old.child.wait().unwrap();
    wait_for(&mut new.log, "running processes of this router: 1");
}
