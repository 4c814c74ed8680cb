//! The processes of an upgrade are one router: a load whose id one of them has, or had and may have
//! run, is not sent by the other one.

use std::io::{Read, Write};
use std::net::TcpStream;

#[allow(dead_code)]
#[path = "common/upgrade.rs"]
mod upgrade;

use serde_json::json;
use upgrade::{assert_well, client, wait_for, Process, Upgrade, POSTGRES_FILE};

/// A load with the id 9b1f03aa5c7e2d41, as call 1.
const LOAD: &[u8] =
    b"\x94\x00\x01\xacservice-load\x92\x82\xa3rid\xb09b1f03aa5c7e2d41\xa6budget\xa45000\xc4\x08select 1";
/// Start of an error that answers call 1, and what follows it in a refusal, which allows a repeat.
const ERROR: &[u8] = b"\x94\x01\x01\x92";
const REFUSAL: u8 = 0xa7;

/// Starts a second process, which accepts all further clients once both know of each other.
fn start_successor(upgrade: &Upgrade, old: &mut Process) -> Process {
    let new = upgrade.start();
    wait_for(&mut old.log, "running processes of this router: 2");
    old.begin_stop();
    new
}

/// Expects that the client is told of a failure, and that nothing was sent.
fn assert_failed_unsent(upgrade: &Upgrade, client: &mut TcpStream) {
    let mut answer = [0; ERROR.len() + 1];
    client.read_exact(&mut answer).unwrap();
    assert!(upgrade.engine.waiting_query().is_none(), "the load was sent a second time");
    assert_eq!(answer[..ERROR.len()], *ERROR);
    assert_ne!(answer[ERROR.len()], REFUSAL, "told that a repeat is safe");
}

/// Guards against: a load runs at both processes of an upgrade at once.
#[test]
fn a_load_that_is_open_at_the_old_process_is_not_sent_by_the_new_one() {
    let upgrade = Upgrade::new("ids-open", |_| {});
    let mut old = upgrade.start();
    let mut old_client = client(upgrade.address());
    old_client.write_all(LOAD).unwrap();
    let _query = upgrade.engine.next_query();
    let _new = start_successor(&upgrade, &mut old);
    let mut new_client = client(upgrade.address());
    new_client.write_all(LOAD).unwrap();
    assert_failed_unsent(&upgrade, &mut new_client);
}

/// Guards against: a load runs again at the new process of an upgrade after its client has left.
#[test]
fn a_load_whose_client_left_the_old_process_is_not_sent_by_the_new_one() {
    let upgrade = Upgrade::new("ids-left", |_| {});
    let mut old = upgrade.start();
    let mut old_client = client(upgrade.address());
    old_client.write_all(LOAD).unwrap();
    upgrade.engine.next_query().complete();
    old_client.read_exact(&mut [0; 1]).unwrap();
    drop(old_client);
    let _new = start_successor(&upgrade, &mut old);
    let mut new_client = client(upgrade.address());
    assert_well(&mut new_client, "the new process accepts");
    new_client.write_all(LOAD).unwrap();
    assert_failed_unsent(&upgrade, &mut new_client);
}

/// Guards against: processes with one configuration give the statements of PostgreSQL clients the same
/// request ids, by which engines tell queries apart.
#[test]
fn statements_at_two_processes_of_one_configuration_have_different_ids() {
    let upgrade = Upgrade::new("ids-postgres", |_| {});
    let file =
        json!({"listen": "127.0.0.1:0", "class": "service-load", "columns": ["a", "b", "c"], "sessions": 4});
    std::fs::write(upgrade.dir.join(POSTGRES_FILE), file.to_string()).unwrap();
    let id = || {
        let process = upgrade.start();
        let mut session = client(process.postgres_address.unwrap());
        session.write_all(b"\0\0\0\x10\0\x03\0\0user\0u\0\0").unwrap();
        session.write_all(b"Q\0\0\0\x0dselect 1\0").unwrap();
        upgrade.engine.next_query().id
    };
    let (first, second) = (id(), id());
    assert_ne!(first, second);
}
