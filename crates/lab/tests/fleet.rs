//! The `fleet` command applies its faults, prints a summary at its end or on SIGINT, and leaves no
//! process behind.

use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

const TIMEOUT: Duration = Duration::from_secs(30);

/// The router executable next to the lab's, built if it is missing.
fn router_program() -> PathBuf {
    let beside = Path::new(env!("CARGO_BIN_EXE_marljunction-lab")).with_file_name("marljunction");
    if !beside.exists() {
        let built = Command::new(env!("CARGO")).args(["build", "--locked", "-p", "marljunction"]).status();
        assert!(built.unwrap().success() && beside.exists());
    }
    beside
}

fn start_fleet(name: &str, seconds: &str, faults: &str) -> (Child, BufReader<ChildStdout>, PathBuf) {
    let file = std::env::temp_dir().join(format!("marljunction-lab-{}-{name}", std::process::id()));
    std::fs::write(&file, faults).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_marljunction-lab"));
    command.args(["fleet", "--routers", "3", "--seconds", seconds, "--program"]).arg(router_program());
    command.arg("--faults").arg(&file).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut child = command.spawn().unwrap();
    let out = BufReader::new(child.stdout.take().unwrap());
    (child, out, file)
}

/// Ids of the direct children of process `id`.
fn child_processes(id: u32) -> Vec<u32> {
    let all = std::fs::read_dir("/proc").unwrap().flatten();
    let ids = all.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let parent = |of: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{of}/stat")).ok()?;
        stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse::<u32>().ok()
    };
    ids.filter(|of| parent(*of) == Some(id)).collect()
}

#[track_caller]
fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < TIMEOUT, "timed out after {TIMEOUT:?}: {what}");
        std::thread::yield_now();
    }
}

fn read_to_end(mut out: BufReader<ChildStdout>) -> String {
    let mut text = String::new();
    out.read_to_string(&mut text).unwrap();
    text
}

#[test]
fn fleet_applies_scheduled_faults_and_exits_with_a_summary() {
    let faults =
        "500ms list away\n1s kill 50%\n1.1s start\n2s list well\n2.5s freeze 0\n3s wake\n3s drain 1\n";
    let (mut child, out, file) = start_fleet("plays", "4", faults);
    let output = read_to_end(out);
    assert!(child.wait().unwrap().success(), "{output}");
    for line in
        ["list away", "kill 50%: r", "drain 1", "all routers exited cleanly: true", "all checks passed"]
    {
        assert!(output.contains(line), "missing {line:?} in\n{output}");
    }
    std::fs::remove_file(file).unwrap();
}

#[test]
fn interrupted_fleet_stops_its_routers_and_prints_a_summary() {
    let (mut child, mut out, file) = start_fleet("interrupted", "600", "500ms cut 50%\n");
    let mut line = String::new();
    out.read_line(&mut line).unwrap();
    let routers = child_processes(child.id());
    assert_eq!(routers.len(), 3, "{line}");
    kill(Pid::from_raw(child.id() as i32), Signal::SIGINT).unwrap();
    let output = read_to_end(out);
    assert!(child.wait().unwrap().success() && output.contains("all checks passed"), "{output}");
    wait_until("all routers have exited", || {
        routers.iter().all(|id| !Path::new(&format!("/proc/{id}")).exists())
    });
    std::fs::remove_file(file).unwrap();
}

#[test]
fn killed_fleet_leaves_no_router_process() {
    let (mut child, mut out, file) = start_fleet("killed", "600", "500ms freeze 1\n");
    let mut line = String::new();
    out.read_line(&mut line).unwrap();
    let routers = child_processes(child.id());
    assert_eq!(routers.len(), 3, "{line}");
    child.kill().unwrap();
    child.wait().unwrap();
    wait_until("all routers have exited", || {
        routers.iter().all(|id| !Path::new(&format!("/proc/{id}")).exists())
    });
    std::fs::remove_file(file).unwrap();
}

#[test]
fn incomplete_schedule_entry_is_rejected() {
    let (mut child, out, file) = start_fleet("wrong", "1", "1s list\n");
    assert!(!child.wait().unwrap().success());
    assert_eq!(read_to_end(out), "");
    std::fs::remove_file(file).unwrap();
}
