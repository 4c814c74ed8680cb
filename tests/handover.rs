//! A new version beside the running one, on the listening socket that the platform hands down as descriptor 3:
//! both serve from it, bans pass over by `$TMPDIR`, and the old one leaves its clients to the new one at SIGTERM.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

use command_fds::{CommandFdExt, FdMapping};
use serde_json::json;

const SETTINGS: &str = include_str!("exchanges/settings.json");
const PATIENCE: Duration = Duration::from_secs(8);
const IS_WELL: &[u8] = b"\x94\x00\x01\xa6isWell\x91\x80";

struct Process {
    child: Child,
    log: BufReader<ChildStderr>,
    door: String,
}

impl Process {
    /// Starts the program on a copy of `socket` as descriptor 3, with its door on a port of its own.
    fn start(dir: &std::path::Path, socket: &TcpListener) -> Process {
        let fd = OwnedFd::from(socket.try_clone().unwrap());
        let mut child = Command::new(env!("CARGO_BIN_EXE_marljunction"))
            .env("ROUTER_CONFIG", dir.join("config.json"))
            .env("ROUTER_FD", "3")
            .env("TMPDIR", dir)
            .fd_mappings(vec![FdMapping { parent_fd: fd, child_fd: 3 }])
            .unwrap()
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let line = wait_for(&mut log, "for the operators");
        let door = line.split("listens on ").nth(1).unwrap().split_whitespace().next().unwrap().into();
        Process { child, log, door }
    }

    fn call(&self, head: &str, body: &str) -> String {
        let mut door = TcpStream::connect(&self.door).unwrap();
        door.set_read_timeout(Some(PATIENCE)).unwrap();
        write!(door, "{head} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
        let mut answer = String::new();
        door.read_to_string(&mut answer).unwrap();
        answer
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }
}

/// Reads the log up to a line that holds `text`.
fn wait_for(log: &mut impl BufRead, text: &str) -> String {
    let mut line = String::new();
    while !line.contains(text) {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the program ended without {text:?}");
    }
    line
}

fn is_well(client: &mut TcpStream) -> Vec<u8> {
    client.write_all(IS_WELL).unwrap();
    let mut answer = vec![0; 7];
    client.read_exact(&mut answer).unwrap();
    answer
}

fn client(at: std::net::SocketAddr) -> TcpStream {
    let client = TcpStream::connect(at).unwrap();
    client.set_read_timeout(Some(PATIENCE)).unwrap();
    client
}

/// A configuration in a folder of its own, with one engine.
fn folder(name: &str, engine: &TcpListener) -> std::path::PathBuf {
    let dir = std::env::temp_dir().join(format!("marljunction-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let target = json!({"uid": "e1", "endpoint": engine.local_addr().unwrap().to_string(), "az": "bldg-a",
        "model": "std-12", "state": "in_service", "capacity_hint": 1, "boot_ms": 0});
    let config = json!({"name": "n1", "listen": "127.0.0.1:0", "operator": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"all": true, "targets": [target]}}]},
        "settings": serde_json::from_str::<serde_json::Value>(SETTINGS).unwrap()});
    std::fs::write(dir.join("config.json"), config.to_string()).unwrap();
    dir
}

#[test]
fn signals_are_taken_before_the_first_word_that_the_program_is_there() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let dir = folder("signals", &engine);
    // Its first word finds no room, so that it stands still just there.
    let (mut full, _reader) = UnixStream::pair().unwrap();
    full.set_nonblocking(true).unwrap();
    while full.write(&[0; 4_096]).is_ok() {}
    full.set_nonblocking(false).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_marljunction"))
        .env("ROUTER_CONFIG", dir.join("config.json"))
        .stderr(Stdio::from(OwnedFd::from(full)))
        .spawn()
        .unwrap();
    // SIGHUP is signal 1 and SIGTERM 15: the lowest bits of the mask stand for the first signals.
    let taken = |id: u32| {
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).map(str::trim);
        let mask = mask.and_then(|mask| u64::from_str_radix(mask, 16).ok()).unwrap_or(0);
        mask & 1 != 0 && mask & 1 << 14 != 0
    };
    let end = Instant::now() + PATIENCE;
    let mut takes = false;
    while !takes && Instant::now() < end {
        takes = taken(child.id());
        std::thread::yield_now();
    }
    child.kill().unwrap();
    child.wait().unwrap();
    let _ = std::fs::remove_dir_all(&dir);
    assert!(takes, "it says that it is there while a signal would still end it");
}

#[test]
fn a_new_version_takes_over_the_handed_down_socket_and_the_bans() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let dir = folder("handover", &engine);
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = socket.local_addr().unwrap();

    let mut old = Process::start(&dir, &socket);
    assert!(old.call("GET /ready", "").starts_with("HTTP/1.1 200"));
    assert!(old.call("POST /engines/disable", "e1").ends_with("e1 is out\n"));
    let mut stays = client(at);
    assert_eq!(is_well(&mut stays), b"\x94\x01\x01\xc0\x92\xc3\x80", "the old one serves on the socket");

    let mut new = Process::start(&dir, &socket);
    assert!(new.call("GET /ready", "").starts_with("HTTP/1.1 200"), "the new one is ready beside the old");
    wait_for(&mut new.log, "excluded engines read from");
    assert!(new.call("POST /engines/enable", "e1").ends_with("e1 is back\n"), "the ban passed over");
    assert!(new.call("POST /engines/enable", "e1").ends_with("e1 was not out\n"));

    old.signal("-TERM");
    wait_for(&mut old.log, "SIGTERM received, stopping");
    assert!(old.call("GET /ready", "").starts_with("HTTP/1.1 503"), "a stopping process is not ready");
    let mut rest = Vec::new();
    assert_eq!(stays.read_to_end(&mut rest).unwrap(), 0, "the old one closes a quiet client's connection");
    let mut moved = client(at);
    assert_eq!(is_well(&mut moved), b"\x94\x01\x01\xc0\x92\xc3\x80", "a new client is served by the new one");
    assert!(old.child.wait().unwrap().success(), "the old one ends cleanly");

    new.signal("-TERM");
    assert!(new.child.wait().unwrap().success());
    let _ = std::fs::remove_dir_all(&dir);
}
