//! The fleet to be watched: it plays its faults, ends by itself or when told to with a summary, and leaves no process behind,
//! whatever ends it.

use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

const LIMIT: Duration = Duration::from_secs(30);

/// The router's program beside the lab's; built where only this crate was.
fn program() -> PathBuf {
    let beside = Path::new(env!("CARGO_BIN_EXE_marljunction-lab")).with_file_name("marljunction");
    if !beside.exists() {
        let built = Command::new(env!("CARGO")).args(["build", "--locked", "-p", "marljunction"]).status();
        assert!(built.unwrap().success() && beside.exists());
    }
    beside
}

fn start(name: &str, seconds: &str, faults: &str) -> (Child, BufReader<ChildStdout>, PathBuf) {
    let file = std::env::temp_dir().join(format!("marljunction-lab-{}-{name}", std::process::id()));
    std::fs::write(&file, faults).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_marljunction-lab"));
    command.args(["fleet", "--routers", "3", "--seconds", seconds, "--program"]).arg(program());
    command.arg("--faults").arg(&file).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut child = command.spawn().unwrap();
    let out = BufReader::new(child.stdout.take().unwrap());
    (child, out, file)
}

/// Processes whose parent is this one.
fn children(id: u32) -> Vec<u32> {
    let all = std::fs::read_dir("/proc").unwrap().flatten();
    let ids = all.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    let parent = |of: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{of}/stat")).ok()?;
        stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse::<u32>().ok()
    };
    ids.filter(|of| parent(*of) == Some(id)).collect()
}

#[track_caller]
fn until(what: &str, condition: impl Fn() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < LIMIT, "not within {LIMIT:?}: {what}");
        std::thread::yield_now();
    }
}

fn rest(mut out: BufReader<ChildStdout>) -> String {
    let mut text = String::new();
    out.read_to_string(&mut text).unwrap();
    text
}

#[test]
fn a_fleet_plays_its_faults_and_ends_by_itself_with_a_summary() {
    let faults =
        "500ms list away\n1s kill 50%\n1.1s start\n2s list well\n2.5s freeze 0\n3s wake\n3s drain 1\n";
    let (mut child, out, file) = start("plays", "4", faults);
    let told = rest(out);
    assert!(child.wait().unwrap().success(), "{told}");
    for line in ["list away", "kill 50%: r", "drain 1", "all routers ended well: true", "all rules were kept"]
    {
        assert!(told.contains(line), "{line:?} is not in\n{told}");
    }
    std::fs::remove_file(file).unwrap();
}

#[test]
fn a_fleet_that_is_interrupted_ends_its_routers_and_sums_up() {
    let (mut child, mut out, file) = start("interrupted", "600", "500ms cut 50%\n");
    let mut line = String::new();
    out.read_line(&mut line).unwrap();
    let routers = children(child.id());
    assert_eq!(routers.len(), 3, "{line}");
    kill(Pid::from_raw(child.id() as i32), Signal::SIGINT).unwrap();
    let told = rest(out);
    assert!(child.wait().unwrap().success() && told.contains("all rules were kept"), "{told}");
    until("no router is left", || routers.iter().all(|id| !Path::new(&format!("/proc/{id}")).exists()));
    std::fs::remove_file(file).unwrap();
}

#[test]
fn routers_end_with_a_fleet_that_is_killed() {
    let (mut child, mut out, file) = start("killed", "600", "500ms freeze 1\n");
    let mut line = String::new();
    out.read_line(&mut line).unwrap();
    let routers = children(child.id());
    assert_eq!(routers.len(), 3, "{line}");
    child.kill().unwrap();
    child.wait().unwrap();
    until("no router is left", || routers.iter().all(|id| !Path::new(&format!("/proc/{id}")).exists()));
    std::fs::remove_file(file).unwrap();
}

#[test]
fn a_schedule_that_says_nothing_is_told_by_its_line() {
    let (mut child, out, file) = start("wrong", "1", "1s list\n");
    assert!(!child.wait().unwrap().success());
    assert_eq!(rest(out), "");
    std::fs::remove_file(file).unwrap();
}
