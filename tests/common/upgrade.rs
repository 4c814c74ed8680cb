//! Runs the processes of an upgrade on one inherited listening socket, with a scripted engine.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

use command_fds::{CommandFdExt, FdMapping};
use serde_json::{json, Value};

const SETTINGS: &str = include_str!("../exchanges/settings.json");
/// Name of the file that configures PostgreSQL, in a process's directory.
pub const POSTGRES_FILE: &str = "postgres.json";
/// Limit on each wait.
pub const TIMEOUT: Duration = Duration::from_secs(8);
const IS_WELL: &[u8] = b"\x94\x00\x01\xa6isWell\x91\x80";
const WELL: &[u8] = b"\x94\x01\x01\xc0\x92\xc3\x80";

/// A router process; killed when this value is dropped.
pub struct Process {
    pub child: Child,
    pub log: BufReader<ChildStderr>,
    admin_address: String,
    /// Where it accepts PostgreSQL clients, if its directory has a file for them.
    pub postgres_address: Option<SocketAddr>,
}

impl Process {
    /// Starts the program with a copy of `socket` as descriptor 3 and its own admin API port.
    pub fn start(dir: &Path, socket: &TcpListener) -> Process {
        let fd = OwnedFd::from(socket.try_clone().unwrap());
        let mut command = Command::new(env!("CARGO_BIN_EXE_marljunction"));
        if dir.join(POSTGRES_FILE).exists() {
            command.env("MARLJUNCTION_POSTGRES", dir.join(POSTGRES_FILE));
        }
        let mut child = command
            .env("ROUTER_CONFIG", dir.join("config.json"))
            .env("ROUTER_FD", "3")
            .env("TMPDIR", dir)
            .fd_mappings(vec![FdMapping { parent_fd: fd, child_fd: 3 }])
            .unwrap()
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut lines = Vec::new();
        while lines.last().is_none_or(|line: &String| !line.contains("for the operators")) {
            lines.push(wait_for(&mut log, "listens on "));
        }
        let address = |line: &String| -> String {
            line.split("listens on ").nth(1).unwrap().split_whitespace().next().unwrap().into()
        };
        let postgres = lines.iter().find(|line| line.contains("for PostgreSQL"));
        let postgres_address = postgres.map(|line| address(line).parse().unwrap());
        let admin_address = address(lines.last().unwrap());
        Process { child, log, admin_address, postgres_address }
    }

    /// Makes one call to the admin API and returns the response.
    pub fn request(&self, head: &str, body: &str) -> String {
        let mut connection = TcpStream::connect(&self.admin_address).unwrap();
        connection.set_read_timeout(Some(TIMEOUT)).unwrap();
        write!(connection, "{head} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
        let mut response = String::new();
        connection.read_to_string(&mut response).unwrap();
        response
    }

    /// Suspends the process, and waits until it is suspended.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let end = Instant::now() + TIMEOUT;
        let stat = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        while !stat().contains(") T ") {
            assert!(Instant::now() < end, "the process is not suspended: {}", stat());
            std::thread::yield_now();
        }
    }

    /// Sends a signal, named as `kill` names it.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Starts the graceful shutdown, and waits until the process no longer accepts clients.
    pub fn begin_stop(&mut self) {
        self.signal("-TERM");
        wait_for(&mut self.log, "SIGTERM received, stopping");
        assert!(
            self.request("GET /ready", "").starts_with("HTTP/1.1 503"),
            "a stopping process is not ready"
        );
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the log up to a line that contains `text`.
pub fn wait_for(log: &mut impl BufRead, text: &str) -> String {
    let mut line = String::new();
    while !line.contains(text) {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the program exited without logging {text:?}");
    }
    line
}

/// Connects to a router.
pub fn client(address: SocketAddr) -> TcpStream {
    let client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(TIMEOUT)).unwrap();
    client
}

/// Asks a router whether it is well, and waits for its answer: all that the client sent before has
/// been read.
pub fn assert_well(client: &mut TcpStream, why: &str) {
    client.write_all(IS_WELL).unwrap();
    let mut response = vec![0; WELL.len()];
    client.read_exact(&mut response).unwrap();
    assert_eq!(response, WELL, "{why}");
}

/// Writes a configuration with one engine to a directory of its own. `adapt` changes it first.
pub fn write_config(name: &str, engine: SocketAddr, adapt: impl FnOnce(&mut Value)) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("marljunction-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let target = json!({"uid": "e1", "endpoint": engine.to_string(), "az": "bldg-a",
        "model": "std-12", "state": "in_service", "capacity_hint": 1, "boot_ms": 0});
    let mut config = json!({"name": "n1", "listen": "127.0.0.1:0", "operator": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"all": true, "targets": [target]}}]},
        "settings": serde_json::from_str::<Value>(SETTINGS).unwrap()});
    adapt(&mut config);
    std::fs::write(dir.join("config.json"), config.to_string()).unwrap();
    dir
}

/// An engine, the socket that the processes of an upgrade share, and their directory.
pub struct Upgrade {
    pub engine: Engine,
    pub socket: TcpListener,
    pub dir: PathBuf,
}

impl Upgrade {
    /// No process runs yet. `adapt` changes their configuration.
    pub fn new(name: &str, adapt: impl FnOnce(&mut Value)) -> Upgrade {
        let engine = Engine::start();
        let dir = write_config(name, engine.address(), adapt);
        Upgrade { engine, socket: TcpListener::bind("127.0.0.1:0").unwrap(), dir }
    }

    /// Starts a process.
    pub fn start(&self) -> Process {
        Process::start(&self.dir, &self.socket)
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }
}

impl Drop for Upgrade {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// A scripted engine: the test accepts each call, and decides when to answer it.
pub struct Engine(TcpListener);

/// A query that an engine received.
pub struct Query {
    /// The request id.
    pub id: String,
    /// When it arrived.
    pub arrived: Instant,
    connection: TcpStream,
}

impl Engine {
    /// Listens on a free port.
    pub fn start() -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        Engine(listener)
    }

    /// Where the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// Waits for the next query. Polls of queries whose answer is held are dropped.
    #[track_caller]
    pub fn next_query(&self) -> Query {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            if let Some(query) = self.waiting_query() {
                return query;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        panic!("no query arrived");
    }

    /// A query that has arrived, if any.
    pub fn waiting_query(&self) -> Option<Query> {
        while let Ok((mut connection, _)) = self.0.accept() {
            connection.set_nonblocking(false).unwrap();
            connection.set_read_timeout(Some(TIMEOUT)).unwrap();
            let head = read_head(&mut connection);
            if head.starts_with("POST /o ") {
                let line = head.lines().find_map(|line| line.strip_prefix("Request-Id: "));
                return Some(Query { id: line.unwrap().into(), arrived: Instant::now(), connection });
            }
        }
        None
    }
}

/// Reads up to the end of a head.
fn read_head(connection: &mut TcpStream) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") && connection.read(&mut byte).is_ok_and(|count| count > 0) {
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

impl Query {
    /// Completes the query with one row.
    pub fn complete(mut self) {
        self.connection
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nChunks: 1\r\n\r\na\tb\tc\n")
            .unwrap();
    }
}
