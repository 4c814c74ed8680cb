//! Replacing a running process by a new one on a listening socket inherited as descriptor 3: both
//! serve from it, excluded engines carry over through `$TMPDIR`, and the old process closes its
//! idle clients at SIGTERM.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Command, Stdio};
use std::time::Instant;

#[allow(dead_code)]
#[path = "common/upgrade.rs"]
mod upgrade;

use upgrade::{assert_well, client, wait_for, write_config, Process, TIMEOUT};

#[test]
fn signal_handlers_are_installed_before_the_first_log_line() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let dir = write_config("signals", engine.local_addr().unwrap(), |_| {});
    // The full pipe blocks the process at its first log line.
    let (mut stderr_pipe, _reader) = UnixStream::pair().unwrap();
    stderr_pipe.set_nonblocking(true).unwrap();
    while stderr_pipe.write(&[0; 4_096]).is_ok() {}
    stderr_pipe.set_nonblocking(false).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_marljunction"))
        .env("ROUTER_CONFIG", dir.join("config.json"))
        .stderr(Stdio::from(OwnedFd::from(stderr_pipe)))
        .spawn()
        .unwrap();
    // Bit n - 1 of the mask is signal n: SIGHUP is 1 and SIGTERM is 15.
    let catches_signals = |id: u32| {
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).map(str::trim);
        let mask = mask.and_then(|mask| u64::from_str_radix(mask, 16).ok()).unwrap_or(0);
        mask & 1 != 0 && mask & 1 << 14 != 0
    };
    let end = Instant::now() + TIMEOUT;
    let mut ready = false;
    while !ready && Instant::now() < end {
        ready = catches_signals(child.id());
        std::thread::yield_now();
    }
    child.kill().unwrap();
    child.wait().unwrap();
    let _ = std::fs::remove_dir_all(&dir);
    assert!(ready, "the first log line is written before the signal handlers are installed");
}

#[test]
fn a_new_process_takes_over_the_inherited_socket_and_the_excluded_engines() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let dir = write_config("handover", engine.local_addr().unwrap(), |_| {});
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();

    let mut old = Process::start(&dir, &socket);
    assert!(old.request("GET /ready", "").starts_with("HTTP/1.1 200"));
    assert!(old.request("POST /engines/disable", "e1").ends_with("e1 is out\n"));
    let mut old_client = client(address);
    assert_well(&mut old_client, "the old process serves on the socket");

    let mut new = Process::start(&dir, &socket);
    assert!(
        new.request("GET /ready", "").starts_with("HTTP/1.1 200"),
        "the new process is ready beside the old one"
    );
    wait_for(&mut new.log, "excluded engines read from");
    assert!(
        new.request("POST /engines/enable", "e1").ends_with("e1 is back\n"),
        "the excluded engine carried over"
    );
    assert!(new.request("POST /engines/enable", "e1").ends_with("e1 was not out\n"));

    old.begin_stop();
    let mut rest = Vec::new();
    assert_eq!(
        old_client.read_to_end(&mut rest).unwrap(),
        0,
        "the old process closes an idle client's connection"
    );
    let mut new_client = client(address);
    assert_well(&mut new_client, "a new client is served by the new process");
    assert!(old.child.wait().unwrap().success(), "the old process exits cleanly");

    new.signal("-TERM");
    assert!(new.child.wait().unwrap().success());
    let _ = std::fs::remove_dir_all(&dir);
}
