//! Draining a router, by an operator or for its successor, while clients keep using their
//! connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

#[allow(dead_code)]
#[path = "common/upgrade.rs"]
mod upgrade;

use upgrade::{client, wait_for, write_config, Engine, Process, TIMEOUT};

/// From this time after the call on, a drained router holds no connection with a recent request.
const LATEST: Duration = Duration::from_secs(4);
/// The answer to a lookup that [`Engine`] completes, up to the result's last byte.
const ANSWER_BYTES: usize = 14;

/// A router with one engine.
struct Setup {
    engine: Engine,
    socket: TcpListener,
    dir: PathBuf,
}

impl Setup {
    fn new(name: &str) -> Setup {
        let engine = Engine::start();
        let dir = write_config(name, engine.address(), |_| {});
        Setup { engine, socket: TcpListener::bind("127.0.0.1:0").unwrap(), dir }
    }

    fn start(&self) -> Process {
        Process::start(&self.dir, &self.socket)
    }

    fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }

    /// Sends a lookup and has it answered. Returns whether the connection was still open for it.
    fn is_served(&self, client: &mut TcpStream, number: u32) -> bool {
        let mut call = b"\x94\x00\x01\xa6lookup\x92\x83\xa3rid\xb0".to_vec();
        call.extend(format!("{number:016x}").bytes());
        call.extend(b"\xa6budget\xa45000\xa4acct\xb2gulf-coast-comfort");
        call.extend(b"\xc4\x1dselect * from sales_17.orders");
        if client.write_all(&call).is_err() {
            return false;
        }
        let end = Instant::now() + TIMEOUT;
        client.set_nonblocking(true).unwrap();
        let is_taken = loop {
            if let Some(query) = self.engine.waiting_query() {
                query.complete();
                break true;
            }
            let mut answer = [0; 64];
            match client.peek(&mut answer) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Ok(1..) => panic!("answered without having run: {}", String::from_utf8_lossy(&answer)),
                _ => break false,
            }
            assert!(Instant::now() < end, "neither an answer nor the end of the connection");
        };
        client.set_nonblocking(false).unwrap();
        if is_taken {
            client.read_exact(&mut [0; ANSWER_BYTES]).expect("each request that was taken is answered");
        }
        is_taken
    }

    /// Sends lookups without pause until the router closes the connection, which has to be within
    /// [`LATEST`] of now.
    fn assert_closed_in_time(&self, client: &mut TcpStream) {
        let since = Instant::now();
        let mut number = 100;
        while self.is_served(client, number) {
            number += 1;
            assert!(since.elapsed() < LATEST, "still open after {} lookups", number - 100);
        }
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Guards against: a drained router never closes the connection of a client that does not pause.
#[test]
fn a_drained_router_closes_the_connection_of_a_client_that_never_pauses() {
    let setup = Setup::new("drain-busy");
    let router = setup.start();
    let mut busy = client(setup.address());
    assert!(setup.is_served(&mut busy, 1));
    assert!(router.request("POST /drain", "").ends_with("drained\n"));
    setup.assert_closed_in_time(&mut busy);
    // The drain can be ended, and connections stay open then.
    assert!(router.request("POST /undrain", "").ends_with("serving\n"));
    let mut busy = client(setup.address());
    assert!((200..210).all(|number| setup.is_served(&mut busy, number)));
}

/// Guards against: as above, at the stop of a process whose successor accepts, so that the exit
/// ends the connection.
#[test]
fn a_stopping_process_closes_the_connection_of_a_client_that_never_pauses() {
    let setup = Setup::new("stop-busy");
    let mut old = setup.start();
    let mut busy = client(setup.address());
    assert!(setup.is_served(&mut busy, 1));
    let _new = setup.start();
    old.signal("-TERM");
    setup.assert_closed_in_time(&mut busy);
    let counters = wait_for(&mut old.log, "stopped; ");
    // Closed by the process while it ran, not by its exit, which would lose a request in progress.
    assert!(counters.contains(" ended_idle=1 "), "{counters}");
}
