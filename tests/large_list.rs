//! The real program under a memory limit of 32 MB: it learns a list of 30,000 engines within it, and a list over its bound
//! replaces nothing.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use marljunction_testkit::process::{counter, Process};
use nix::sys::signal::Signal;
use serde_json::json;

const SETTINGS: &str = include_str!("exchanges/settings.json");
const ENGINES: usize = 30_000;
/// The program's memory limit (MB), and the same as the machine counts it (KB of 1,024 bytes).
const MEMORY_MB: u64 = 32;
const MEMORY_KB: u64 = MEMORY_MB * 1_000_000 / 1_024;
/// What the program reckons for one engine (bytes), and what it may use for the rest of its work meanwhile (KB).
const ENGINE_BYTES: u64 = 940;
const REST_KB: u64 = 1_024;
/// Longer than anything that must happen takes.
const LIMIT: Duration = Duration::from_secs(20);

/// An event with a whole list of so many engines.
fn event(index: usize, engines: usize) -> Vec<u8> {
    let target = |i: usize| {
        format!(
            r#"{{"uid":"engine-{i:08}","endpoint":"127.{}.{}.{}:4000","az":"bldg-a","model":"std-12","pod_group":{},"state":"in_service","capacity_hint":1.0,"boot_ms":1700000000000}}"#,
            i >> 16 & 255,
            i >> 8 & 255,
            i & 255,
            i / 64
        )
    };
    let targets: Vec<String> = (1..=engines).map(target).collect();
    let list = format!(r#"{{"index":{index},"endpoints":{{"all":true,"targets":[{}]}}}}"#, targets.join(","));
    format!("id: {index}\ndata: {list}\n\n").into_bytes()
}

/// A folder with the configuration of a router whose list service is at `service`.
fn folder(service: &TcpListener) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("marljunction-large-list-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let config = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "00000000000000aa",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
        "coordinator": service.local_addr().unwrap().to_string(),
        "known": {"index": 1, "updates": []},
        "settings": serde_json::from_str::<serde_json::Value>(SETTINGS).unwrap()});
    std::fs::write(dir.join("config.json"), config.to_string()).unwrap();
    dir
}

/// The next call for the list, read.
fn call(service: &TcpListener) -> TcpStream {
    let (mut call, _) = service.accept().unwrap();
    call.set_read_timeout(Some(LIMIT)).unwrap();
    let mut asked = Vec::new();
    while !asked.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        call.read_exact(&mut byte).unwrap();
        asked.extend(byte);
    }
    call
}

/// Asks for counters until one has a value; gives those of that line. What stands behind it there may not be written yet.
#[track_caller]
fn wait_for(process: &mut Process, name: &str, value: u64) -> Vec<(String, u64)> {
    let from = Instant::now();
    loop {
        let counters = process.counters();
        if counter(&counters, name) == value {
            return counters;
        }
        assert!(
            from.elapsed() < LIMIT && process.is_running(),
            "{name} is not {value}: {}",
            process.log_text()
        );
        process.signal(Signal::SIGUSR1);
        std::thread::yield_now();
    }
}

#[test]
fn a_list_of_30000_engines_is_learned_under_32_mb_and_one_over_the_bound_replaces_nothing() {
    let service = TcpListener::bind("127.0.0.1:0").unwrap();
    let dir = folder(&service);
    let environment = [("ROUTER_CONFIG", dir.join("config.json"))];
    let program = Path::new(env!("CARGO_BIN_EXE_marljunction"));
    let mut process = Process::start(program, &environment, &dir.join("log")).unwrap();
    let mut stream = call(&service);
    let (before_kb, _) = process.used();
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
    stream.write_all(&event(2, ENGINES)).unwrap();
    wait_for(&mut process, "list_engines", ENGINES as u64);
    let (peak_kb, processor_us) = process.used();
    println!("{before_kb} KB before, {peak_kb} KB at most, {processor_us} us of processor time");
    let grown_kb = peak_kb - before_kb;
    assert!(grown_kb < ENGINES as u64 * ENGINE_BYTES / 1024 + REST_KB, "grown by {grown_kb} KB");
    // What is not optimized takes more from its start on.
    assert!(peak_kb < MEMORY_KB || cfg!(debug_assertions), "{peak_kb} KB");
    // The program may have had enough of it before its end.
    let _ = stream.write_all(&event(3, 2 * ENGINES));
    let counters = wait_for(&mut process, "list_too_large", 1);
    assert_eq!(counter(&counters, "list_engines"), ENGINES as u64);
    let log_text = process.log_text();
    assert_eq!(log_text.lines().filter(|line| line.contains("too large")).count(), 1, "{log_text}");
    drop(process);
    std::fs::remove_dir_all(&dir).unwrap();
}
