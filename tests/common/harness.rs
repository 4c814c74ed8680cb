//! Runs recorded exchanges against the program: fake clients, engines, coordinator and Consul send
//! and expect the bytes of a text file. `docs/architecture.md` describes the format.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::json;

const SETTINGS: &str = include_str!("../exchanges/settings.json");
/// The shipped fair queue configuration.
const FAIR_QUEUE_FILE: &str = include_str!("../../deploy/door.conf");
/// Longest wait for any expected byte, connection or condition.
pub const TIMEOUT: Duration = Duration::from_secs(8);

enum Segment {
    Bytes(Vec<u8>),
    /// That many bytes, or any number of them if `None`, captured under a name.
    Wildcard(Option<usize>, String),
    Captured(String),
}

/// Parses escapes such as `\xHH`, `[T|...]` (a PostgreSQL message with its length), and the
/// wildcards `{*}`, `{8=name}` and captured `{name}`.
fn segments(text: &str) -> Vec<Segment> {
    let (mut all, mut bytes, mut chars) = (Vec::new(), Vec::new(), text.chars().peekable());
    let mut frames: Vec<usize> = Vec::new();
    while let Some(c) = chars.next() {
        match c {
            '\\' => match chars.next().expect("a character after the backslash") {
                'r' => bytes.push(b'\r'),
                'n' => bytes.push(b'\n'),
                't' => bytes.push(b'\t'),
                '0' => bytes.push(0),
                'x' => {
                    let hex: String = chars.by_ref().take(2).collect();
                    bytes.push(u8::from_str_radix(&hex, 16).expect("two hex digits"));
                }
                other => bytes.extend(other.to_string().bytes()),
            },
            '[' => {
                let tag: String = chars.by_ref().take_while(|c| *c != '|').collect();
                bytes.extend(tag.bytes());
                frames.push(bytes.len());
                bytes.extend([0; 4]);
            }
            ']' => {
                let at = frames.pop().expect("a '[' before ']'");
                let length = (bytes.len() - at) as u32;
                bytes[at..at + 4].copy_from_slice(&length.to_be_bytes());
            }
            '{' => {
                let inner: String = chars.by_ref().take_while(|c| *c != '}').collect();
                all.push(Segment::Bytes(std::mem::take(&mut bytes)));
                let (count, name) = inner.split_once('=').unwrap_or((&inner, ""));
                all.push(match (count, count.parse()) {
                    ("*", _) => Segment::Wildcard(None, name.into()),
                    (_, Ok(n)) => Segment::Wildcard(Some(n), name.into()),
                    _ => Segment::Captured(inner),
                });
            }
            other => bytes.extend(other.to_string().bytes()),
        }
    }
    all.push(Segment::Bytes(bytes));
    all
}

/// Length of the shortest match at the start of `input`. Captures are stored in `captures`.
fn match_length(
    segments: &[Segment],
    input: &[u8],
    captures: &mut HashMap<String, Vec<u8>>,
) -> Option<usize> {
    let Some((first, rest)) = segments.split_first() else { return Some(0) };
    match first {
        Segment::Bytes(bytes) => {
            input.strip_prefix(&bytes[..]).and_then(|i| Some(bytes.len() + match_length(rest, i, captures)?))
        }
        Segment::Captured(name) => {
            let bytes = captures[name].clone();
            input.strip_prefix(&bytes[..]).and_then(|i| Some(bytes.len() + match_length(rest, i, captures)?))
        }
        Segment::Wildcard(count, name) => {
            let range = count.map_or(0..=input.len(), |n| n..=n);
            for n in range.filter(|n| *n <= input.len()) {
                if let Some(size) = match_length(rest, &input[n..], captures) {
                    captures.insert(name.clone(), input[..n].to_vec());
                    return Some(n + size);
                }
            }
            None
        }
    }
}

struct Peer {
    stream: TcpStream,
    input: Vec<u8>,
    all: Vec<u8>,
}

impl Peer {
    fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Peer { stream, input: Vec::new(), all: Vec::new() }
    }
    /// Reads once; false when the peer has closed the connection.
    fn read(&mut self) -> bool {
        let mut buffer = [0; 16 << 10];
        match self.stream.read(&mut buffer) {
            Ok(0) => false,
            Ok(n) => {
                self.input.extend(&buffer[..n]);
                self.all.extend(&buffer[..n]);
                true
            }
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => false,
            // A signal may interrupt a read that has a timeout.
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => true,
            Err(e) => {
                panic!("no more input: {e}; received so far: {:?}", String::from_utf8_lossy(&self.input))
            }
        }
    }
    fn drain(&mut self) {
        while self.read() {}
    }
}

/// Accepts the next connection within `TIMEOUT`.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let since = Instant::now();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return stream;
            }
            Err(_) => assert!(since.elapsed() < TIMEOUT, "no connection within {TIMEOUT:?}"),
        }
        std::thread::yield_now();
    }
}

/// The program under test and its fake peers.
pub struct Harness {
    child: Child,
    log: BufReader<std::process::ChildStderr>,
    dir: std::path::PathBuf,
    config: serde_json::Value,
    postgres: serde_json::Value,
    front_addresses: Vec<String>,
    listeners: BTreeMap<String, TcpListener>,
    peers: BTreeMap<String, Peer>,
    captures: HashMap<String, Vec<u8>>,
    unaccepted: Vec<TcpStream>,
    /// Connections by local and remote port, without those flooded beyond the socket buffers.
    socket_pairs: HashMap<(u16, u16), String>,
    /// When SIGTERM was first sent.
    stop_requested_at: Option<Instant>,
    /// When SIGSTOP was last sent.
    paused_at: Option<Instant>,
    /// Byte strings that no engine may have received by the end.
    forbidden: Vec<Vec<u8>>,
}

impl Harness {
    /// Starts the program with the options of the script's `with` lines.
    pub fn start(name: &str, script: &str) -> Harness {
        let has_option = |word: &str| script.lines().any(|l| l.trim() == format!("with {word}"));
        let mut listeners = BTreeMap::new();
        let mut listen = |name: &str| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let at = listener.local_addr().unwrap().to_string();
            listeners.insert(name.to_owned(), listener);
            at
        };
        let engine = |uid: &str, at: &str| {
            json!({"uid": uid, "endpoint": at, "az": "bldg-a", "model": "std-12", "state": "in_service",
                   "capacity_hint": 1, "boot_ms": 0})
        };
        let engine_list = ["e1", "e2"].map(|e| engine(e, &listen(e)));
        let count = if has_option("two engines") { 2 } else { usize::from(!has_option("consul")) };
        let (coordinator, consul) = (listen("coordinator"), listen("consul"));
        listen("coordinator2");
        listen("consul2");
        // The exchanges depend on the engine that this seed selects first.
        let mut config = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "00000000000000aa",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": if has_option("few sockets") { 64 } else { 1024 }},
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"all": true, "targets": engine_list[..count]}}]},
            "settings": serde_json::from_str::<serde_json::Value>(SETTINGS).unwrap()});
        // Longer than any delayed handshake in the exchanges.
        if has_option("late connections") {
            config["settings"]["limits"]["connect_timeout_ns"] = json!(20_000_000_000_u64);
        }
        if has_option("deduplicated") {
            let class = &mut config["settings"]["request_classes"][0];
            (class["effect"], class["dedup_scope"]) = (json!("deduplicated"), json!("all"));
            class["dedup_window_ns"] = json!(5_000_000_000_u64);
            if has_option("cell scope") {
                class["dedup_scope"] = json!("cell");
            }
        }
        if has_option("serial key") {
            config["settings"]["request_classes"][2]["serial_by_key"] = json!(true);
            let rest_ns = if has_option("no order pause") { 0 } else { 100_000_000_u64 };
            config["settings"]["guarantees"]["order_pause_ns"] = json!(rest_ns);
        }
        if has_option("no cancelling") {
            config["settings"]["limits"]["cancelling"] = json!(false);
        }
        if has_option("coordinator") {
            config["coordinator"] = json!(coordinator);
        }
        if has_option("admin api") {
            config["operator"] = json!("127.0.0.1:0");
        }
        let mut file = json!({"class": "lookup", "columns": ["c1", "c2", "c3"], "sessions": 8});
        if has_option("postgres front") {
            file["listen"] = json!("127.0.0.1:0");
        }
        if has_option("postgres engines") {
            file["engines"] = json!({"postgres": {"user": "u", "database": "d"}});
        }
        if has_option("consul") {
            file["consul"] = json!({"address": consul, "service": "engine"});
        }
        let id = format!("marljunction-{}-{}", std::process::id(), name);
        let dir = std::env::temp_dir().join(id);
        std::fs::create_dir_all(&dir).unwrap();
        std::fs::write(dir.join("config.json"), config.to_string()).unwrap();
        std::fs::write(dir.join("postgres.json"), file.to_string()).unwrap();
        std::fs::write(dir.join("door.conf"), FAIR_QUEUE_FILE).unwrap();
        // From util-linux, as are the tools that `command` runs.
        let program = env!("CARGO_BIN_EXE_marljunction");
        let mut command = match has_option("short descriptors") {
            true => marljunction_testkit::process::command(Path::new("/usr/bin/prlimit")),
            false => marljunction_testkit::process::command(Path::new(program)),
        };
        let prlimit_args = ["--nofile=40", program];
        let mut child = command
            .args(prlimit_args.iter().filter(|_| has_option("short descriptors")))
            .env("ROUTER_CONFIG", dir.join("config.json"))
            .env("MARLJUNCTION_POSTGRES", dir.join("postgres.json"))
            .envs(has_option("fair queue").then(|| ("MARLJUNCTION_SETUP", dir.join("door.conf"))))
            .env("TMPDIR", &dir)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        // By index: MessagePack, PostgreSQL, admin API.
        let mut front_addresses = vec![String::new(); 3];
        let expected = 1 + usize::from(has_option("postgres front")) + usize::from(has_option("admin api"));
        for _ in 0..expected {
            let mut line = String::new();
            assert!(log.read_line(&mut line).unwrap() > 0, "the program exited during startup");
            let at = line.split("listens on ").nth(1).and_then(|l| l.split_whitespace().next());
            let kind =
                usize::from(line.contains("for PostgreSQL")) + 2 * usize::from(line.contains("operators"));
            front_addresses[kind] =
                at.expect("a log line with a listen address").trim_end_matches(',').to_owned();
        }
        let port = |l: &TcpListener| l.local_addr().unwrap().port().to_string().into_bytes();
        let captures = listeners.iter().map(|(name, l)| (format!("address of {name}"), port(l))).collect();
        let (peers, unaccepted, stop_requested_at, forbidden) =
            (BTreeMap::new(), Vec::new(), None, Vec::new());
        #[rustfmt::skip]
        let harness = Harness {
            child, log, dir, config, postgres: file, front_addresses, listeners, peers, captures, unaccepted, socket_pairs: HashMap::new(), stop_requested_at, forbidden, paused_at: None,
        };
        harness
    }

    /// Executes one line of a script.
    pub fn step(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            [] | ["with", ..] => {}
            [word, ..] if word.starts_with('#') => {}
            ["open", name, protocol] => {
                let at = &self.front_addresses[match protocol {
                    "postgres" => 1,
                    "operator" => 2,
                    _ => 0,
                }];
                self.add_peer(name, TcpStream::connect(at).unwrap());
            }
            // Opens several client connections before any of them sends.
            ["crowd", name, count] => {
                let all: Vec<TcpStream> = (0..count.parse().unwrap())
                    .map(|_| TcpStream::connect(&self.front_addresses[0]).unwrap())
                    .collect();
                all.into_iter()
                    .enumerate()
                    .for_each(|(i, stream)| self.add_peer(&format!("{name}{i}"), stream));
            }
            ["all", name, ..] => {
                let rest = line.split_once(name).unwrap().1;
                let each: Vec<String> = self.peers.keys().filter(|n| n.starts_with(name)).cloned().collect();
                each.iter().for_each(|one| self.step(&format!("{one}{rest}")));
            }
            ["accept", name, listener] => {
                let stream = accept(&self.listeners[listener]);
                self.add_peer(name, stream);
            }
            ["close", name] => drop(self.peers.remove(name)),
            // Fills the accept queue so that further connections are not established.
            ["fill", listener] => {
                let at = self.listeners[listener].local_addr().unwrap();
                let short = Duration::from_millis(100);
                self.unaccepted
                    .extend(std::iter::from_fn(|| TcpStream::connect_timeout(&at, short).ok()).take(5_000));
            }
            // Empties the accept queue so that delayed connections are established.
            ["free", listener] => {
                let unaccepted = std::mem::take(&mut self.unaccepted);
                unaccepted.iter().for_each(|_| drop(accept(&self.listeners[listener])));
            }
            ["term"] => {
                self.stop_requested_at.get_or_insert_with(Instant::now);
                self.signal("-TERM");
            }
            ["hup"] => self.signal("-HUP"),
            // Pauses the program: everything sent until `thaw` is read in one iteration afterwards.
            ["freeze"] => {
                self.signal("-STOP");
                let stat = format!("/proc/{}/stat", self.child.id());
                self.paused_at = Some(Instant::now());
                self.wait_until("the program is paused", |_| {
                    std::fs::read_to_string(&stat).unwrap().contains(") T ")
                });
            }
            ["thaw"] => {
                self.wait_until("all data is delivered to the program", |s| s.all_delivered());
                self.signal("-CONT");
            }
            // Waits until that long after the first SIGTERM.
            ["past", ms] => {
                let long = Duration::from_millis(ms.parse().unwrap());
                self.wait_until("time passes", |s| {
                    s.stop_requested_at.is_some_and(|since| since.elapsed() >= long)
                });
            }
            // Waits until the program has been paused for that long.
            ["still", ms] => {
                let long = Duration::from_millis(ms.parse().unwrap());
                self.wait_until("time passes", |s| s.paused_at.is_some_and(|since| since.elapsed() >= long));
            }
            // Closes a connection with a TCP reset.
            ["reset", name] => {
                let peer = self.peers.remove(name).unwrap();
                socket2::SockRef::from(&peer.stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            // Closes the write side of a connection.
            ["shut", name] => self.peers[name].stream.shutdown(std::net::Shutdown::Write).unwrap(),
            // Sends that many bytes of simple queries, which the program does not read yet.
            ["flood", name, bytes] => {
                self.socket_pairs.retain(|_, named| named != name);
                let query = b"Q\0\0\0\x0dselect 2\0";
                let many = query.repeat(bytes.parse::<usize>().unwrap() / query.len());
                self.peers.get_mut(name).unwrap().stream.write_all(&many).unwrap();
            }
            // Waits until a counter has this value.
            ["await", count] => {
                let (key, value) = count.split_once('=').unwrap();
                let expected = format!(" {key}={value} ");
                let since = Instant::now();
                let mut line = String::new();
                while !line.contains(&expected) {
                    assert!(since.elapsed() < TIMEOUT, "no {count} within {TIMEOUT:?}: {line}");
                    self.signal("-USR1");
                    line.clear();
                    while !line.contains(" rejected=") {
                        line.clear();
                        assert!(self.log.read_line(&mut line).unwrap() > 0, "the program exited");
                    }
                }
            }
            ["never", ..] => self.forbidden.push(line.split_once(' ').unwrap().1.as_bytes().to_vec()),
            // Replaces the operator file and sends SIGHUP.
            ["setup", ..] => {
                let text = line.split_once(' ').unwrap().1;
                std::fs::write(self.dir.join("door.conf"), format!("{text}\n")).unwrap();
                self.signal("-HUP");
            }
            ["reload", key, listener] => self.reload(key, listener),
            ["logged", ..] => {
                let (text, mut line) = (line.split_once(' ').unwrap().1, String::new());
                while !line.contains(text) {
                    line.clear();
                    assert!(
                        self.log.read_line(&mut line).unwrap() > 0,
                        "the program exited without logging {text:?}"
                    );
                }
            }
            ["gone", listener] => {
                let listener = self.listeners.remove(listener).unwrap();
                // A child process that another test is starting holds a copy of the descriptor until
                // its exec, so closing this one may leave the socket listening for a moment.
                socket2::SockRef::from(&listener).shutdown(std::net::Shutdown::Both).unwrap();
            }
            ["closed", name] => {
                let peer = &mut self.peers.get_mut(name).unwrap();
                peer.drain();
                assert!(peer.input.is_empty(), "{name} received {:?}", String::from_utf8_lossy(&peer.input));
            }
            [name, ">", ..] => {
                let segments = segments(line.split_once("> ").unwrap().1);
                let bytes = segments.iter().flat_map(|segment| match segment {
                    Segment::Bytes(bytes) => bytes.clone(),
                    Segment::Captured(name) => self.captures[name].clone(),
                    Segment::Wildcard(..) => panic!("a sent line cannot contain a wildcard"),
                });
                let bytes: Vec<u8> = bytes.collect();
                self.peers.get_mut(name).unwrap().stream.write_all(&bytes).unwrap();
            }
            [name, "<", ..] => {
                let segments = segments(line.split_once("< ").unwrap().1);
                let peer = &mut self.peers.get_mut(name).unwrap_or_else(|| panic!("no connection {name}"));
                loop {
                    if let Some(size) = match_length(&segments, &peer.input, &mut self.captures) {
                        peer.input.drain(..size);
                        return;
                    }
                    let closed = !peer.read();
                    assert!(!closed, "{line}: closed after {:?}", String::from_utf8_lossy(&peer.input));
                }
            }
            _ => panic!("invalid step {line:?}"),
        }
    }

    fn add_peer(&mut self, name: &str, stream: TcpStream) {
        let ends = (stream.local_addr().unwrap().port(), stream.peer_addr().unwrap().port());
        self.socket_pairs.insert(ends, name.to_owned());
        self.peers.insert(name.to_owned(), Peer::new(stream));
    }

    /// Clones the stream of a connection.
    pub fn stream(&self, name: &str) -> TcpStream {
        self.peers[name].stream.try_clone().unwrap()
    }

    /// Bytes that a connection has received so far.
    pub fn received_len(&self, name: &str) -> usize {
        self.peers[name].all.len()
    }

    /// Everything that a connection has received, after reading to its end or to `suffix`.
    pub fn received(&mut self, name: &str, suffix: &[u8]) -> Vec<u8> {
        let peer = &mut self.peers.get_mut(name).unwrap();
        while !peer.input.ends_with(suffix) && peer.read() {}
        peer.all.clone()
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Sends SIGHUP after writing a configuration with another address, or an unreadable one if
    /// there is no such listener.
    fn reload(&mut self, key: &str, listener: &str) {
        let at = self.listeners.get(listener).map(|l| l.local_addr().unwrap().to_string());
        match key {
            "coordinator" => self.config["coordinator"] = json!(at),
            _ => self.postgres["consul"]["address"] = json!(at),
        }
        let config = if at.is_some() { self.config.to_string() } else { "{\"name\":".into() };
        std::fs::write(self.dir.join("config.json"), config).unwrap();
        std::fs::write(self.dir.join("postgres.json"), self.postgres.to_string()).unwrap();
        self.signal("-HUP");
    }

    /// Whether everything sent, closed and reset has reached the program's sockets, according to
    /// the kernel's TCP table. It makes the input of a paused program deterministic.
    fn all_delivered(&self) -> bool {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let port = |text: &str| text.rsplit(':').next().and_then(|hex| u16::from_str_radix(hex, 16).ok());
        let mut rows: HashMap<(u16, u16), (String, bool)> = HashMap::new();
        for row in table.lines().skip(1) {
            let fields: Vec<&str> = row.split_whitespace().collect();
            let ends = (port(fields[1]).unwrap(), port(fields[2]).unwrap());
            rows.insert(ends, (fields[3].to_owned(), fields[4].starts_with("00000000:")));
        }
        self.socket_pairs.iter().all(|((local, remote), name)| {
            let (ours, theirs) = (rows.get(&(*local, *remote)), rows.get(&(*remote, *local)));
            let established = theirs.is_some_and(|(state, _)| state == "01");
            let shut = ours.is_some_and(|(state, _)| state == "04" || state == "05");
            match self.peers.contains_key(name) && !shut {
                true => ours.is_none_or(|(_, empty)| *empty) && theirs.is_none_or(|(state, _)| state != "03"),
                false => !established,
            }
        })
    }

    /// Waits until a condition holds, for at most `TIMEOUT`.
    fn wait_until(&mut self, what: &str, mut condition: impl FnMut(&mut Harness) -> bool) {
        let since = Instant::now();
        while !condition(self) {
            assert!(since.elapsed() < TIMEOUT, "not within {TIMEOUT:?}: {what}");
            std::thread::yield_now();
        }
    }

    /// Stops the program with SIGTERM. Returns its counters and everything that any engine
    /// received.
    pub fn stop(mut self) -> (BTreeMap<String, u64>, Vec<u8>) {
        self.signal("-TERM");
        self.unaccepted.clear();
        let mut log = String::new();
        self.log.read_to_string(&mut log).unwrap();
        assert!(self.child.wait().unwrap().success(), "{log}");
        let _ = std::fs::remove_dir_all(&self.dir);
        let line =
            log.lines().find(|l| l.contains("stopped; ")).unwrap_or_else(|| panic!("no counters: {log}"));
        let pairs = line.split_whitespace().filter_map(|w| w.split_once('='));
        let counters = pairs.map(|(k, v)| (k.to_owned(), v.parse().unwrap())).collect();
        let mut engines = Vec::new();
        for (name, listener) in &self.listeners {
            listener.set_nonblocking(true).unwrap();
            while let Some((stream, _)) = listener.accept().ok().filter(|_| name.starts_with('e')) {
                stream.set_nonblocking(false).unwrap();
                let mut peer = Peer::new(stream);
                peer.drain();
                engines.extend(peer.all);
            }
        }
        for (_, peer) in self.peers.iter_mut().filter(|(name, _)| name.starts_with('e')) {
            peer.drain();
            engines.extend(&peer.all);
        }
        for forbidden in &self.forbidden {
            let found = engines.windows(forbidden.len()).any(|w| w == forbidden);
            assert!(!found, "engines received {:?}", String::from_utf8_lossy(forbidden));
        }
        (counters, engines)
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = self.child.kill();
    }
}
