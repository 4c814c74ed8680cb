//! The program with a memory limit of 32 MB loads a list of 30,000 engines, and rejects a list over
//! its bound.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use marljunction_testkit::process::{counter, Process};
use nix::sys::signal::Signal;
use serde_json::json;

const SETTINGS: &str = include_str!("exchanges/settings.json");
const ENGINES: usize = 30_000;
/// The program's memory limit, in units of 10^6 bytes.
const MEMORY_MB: u64 = 32;
/// The same limit in units of 1,024 bytes.
const MEMORY_KB: u64 = MEMORY_MB * 1_000_000 / 1_024;
/// The program's memory estimate for one engine.
const MAX_ENGINE_BYTES: u64 = 940;
/// Allowance for other memory use while the list is loaded.
const MAX_OTHER_MEMORY_KB: u64 = 1_024;
/// Longest wait for any expected event.
const TIMEOUT: Duration = Duration::from_secs(20);

/// An event with a full list of that many engines.
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

/// Writes the configuration of a router that uses the list service at `service`.
fn write_config(service: &TcpListener) -> PathBuf {
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

/// Accepts the next list call and reads its request head.
fn accept_list_call(service: &TcpListener) -> TcpStream {
    let (mut stream, _) = service.accept().unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        request.extend(byte);
    }
    stream
}

/// Requests counters until one has a value, and returns that line's counters. Later counters of the
/// line may be missing.
#[track_caller]
fn wait_for(process: &mut Process, name: &str, value: u64) -> Vec<(String, u64)> {
    let since = Instant::now();
    loop {
        let counters = process.counters();
        if counter(&counters, name) == value {
            return counters;
        }
        assert!(
            since.elapsed() < TIMEOUT && process.is_running(),
            "{name} is not {value}: {}",
            process.log_text()
        );
        process.signal(Signal::SIGUSR1);
        std::thread::yield_now();
    }
}

#[test]
fn a_list_of_30000_engines_fits_in_32_mb_and_an_oversized_one_is_rejected() {
    let service = TcpListener::bind("127.0.0.1:0").unwrap();
    let dir = write_config(&service);
    let environment = [("ROUTER_CONFIG", dir.join("config.json"))];
    let program = Path::new(env!("CARGO_BIN_EXE_marljunction"));
    let mut process = Process::start(program, &environment, &dir.join("log")).unwrap();
    let mut stream = accept_list_call(&service);
    let (before_kb, _) = process.used();
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
    stream.write_all(&event(2, ENGINES)).unwrap();
    wait_for(&mut process, "list_engines", ENGINES as u64);
    let (peak_kb, cpu_us) = process.used();
    println!("{before_kb} KB before, {peak_kb} KB peak, {cpu_us} us of CPU time");
    let growth_kb = peak_kb - before_kb;
    assert!(
        growth_kb < ENGINES as u64 * MAX_ENGINE_BYTES / 1024 + MAX_OTHER_MEMORY_KB,
        "memory grew by {growth_kb} KB"
    );
    // An unoptimized build uses more memory from the start.
    assert!(peak_kb < MEMORY_KB || cfg!(debug_assertions), "{peak_kb} KB");
    // The program may close the connection before the end of the list.
    let _ = stream.write_all(&event(3, 2 * ENGINES));
    let counters = wait_for(&mut process, "list_too_large", 1);
    assert_eq!(counter(&counters, "list_engines"), ENGINES as u64);
    let log_text = process.log_text();
    assert_eq!(log_text.lines().filter(|line| line.contains("too large")).count(), 1, "{log_text}");
    drop(process);
    std::fs::remove_dir_all(&dir).unwrap();
}
