//! Replacing a running process by a new one on a listening socket inherited as descriptor 3: both
//! serve from it, excluded engines carry over through `$TMPDIR`, and the old process closes its
//! idle clients at SIGTERM.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

use command_fds::{CommandFdExt, FdMapping};
use serde_json::json;

const SETTINGS: &str = include_str!("exchanges/settings.json");
const TIMEOUT: Duration = Duration::from_secs(8);
const IS_WELL: &[u8] = b"\x94\x00\x01\xa6isWell\x91\x80";

struct Process {
    child: Child,
    log: BufReader<ChildStderr>,
    admin_address: String,
}

impl Process {
    /// Starts the program with a copy of `socket` as descriptor 3 and its own admin API port.
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
        let admin_address =
            line.split("listens on ").nth(1).unwrap().split_whitespace().next().unwrap().into();
        Process { child, log, admin_address }
    }

    fn request(&self, head: &str, body: &str) -> String {
        let mut connection = TcpStream::connect(&self.admin_address).unwrap();
        connection.set_read_timeout(Some(TIMEOUT)).unwrap();
        write!(connection, "{head} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
        let mut response = String::new();
        connection.read_to_string(&mut response).unwrap();
        response
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }
}

/// Reads the log up to a line that contains `text`.
fn wait_for(log: &mut impl BufRead, text: &str) -> String {
    let mut line = String::new();
    while !line.contains(text) {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the program exited without logging {text:?}");
    }
    line
}

fn is_well(client: &mut TcpStream) -> Vec<u8> {
    client.write_all(IS_WELL).unwrap();
    let mut response = vec![0; 7];
    client.read_exact(&mut response).unwrap();
    response
}

fn client(address: std::net::SocketAddr) -> TcpStream {
    let client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(TIMEOUT)).unwrap();
    client
}

/// Writes a configuration with one engine to a directory of its own.
fn write_config(name: &str, engine: &TcpListener) -> std::path::PathBuf {
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
fn signal_handlers_are_installed_before_the_first_log_line() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let dir = write_config("signals", &engine);
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
    let dir = write_config("handover", &engine);
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();

    let mut old = Process::start(&dir, &socket);
    assert!(old.request("GET /ready", "").starts_with("HTTP/1.1 200"));
    assert!(old.request("POST /engines/disable", "e1").ends_with("e1 is out\n"));
    let mut old_client = client(address);
    assert_eq!(
        is_well(&mut old_client),
        b"\x94\x01\x01\xc0\x92\xc3\x80",
        "the old process serves on the socket"
    );

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

    old.signal("-TERM");
    wait_for(&mut old.log, "SIGTERM received, stopping");
    assert!(old.request("GET /ready", "").starts_with("HTTP/1.1 503"), "a stopping process is not ready");
    let mut rest = Vec::new();
    assert_eq!(
        old_client.read_to_end(&mut rest).unwrap(),
        0,
        "the old process closes an idle client's connection"
    );
    let mut new_client = client(address);
    assert_eq!(
        is_well(&mut new_client),
        b"\x94\x01\x01\xc0\x92\xc3\x80",
        "a new client is served by the new process"
    );
    assert!(old.child.wait().unwrap().success(), "the old process exits cleanly");

    new.signal("-TERM");
    assert!(new.child.wait().unwrap().success());
    let _ = std::fs::remove_dir_all(&dir);
}
