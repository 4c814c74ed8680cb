//! Recorded exchanges with stand-in clients, engines, coordinator and Consul, played against the program.

#[path = "common/stand_in.rs"]
mod stand_in;

use std::path::PathBuf;

use rstest::rstest;
use stand_in::Stage;

fn play(name: &str, script: &str, steps: usize) -> Stage {
    let mut stage = Stage::start(name, script);
    script.lines().filter(|l| !l.starts_with("count ")).take(steps).for_each(|line| stage.step(line));
    stage
}

fn times(all: &[u8], part: &[u8]) -> usize {
    all.windows(part.len()).filter(|w| *w == part).count()
}

/// Each request taken has one end, whatever happened.
fn balanced(counters: &std::collections::BTreeMap<String, u64>) {
    let ends: u64 = ["served", "refused", "failed", "left"].iter().map(|k| counters[*k]).sum();
    assert_eq!(counters["taken"], ends, "{counters:?}");
}

#[rstest]
fn plays(#[files("tests/exchanges/*.txt")] path: PathBuf, #[values("", "with door\n")] door: &str) {
    let script = format!("{door}{}", std::fs::read_to_string(&path).unwrap());
    let name = format!("{}{}", path.file_stem().unwrap().to_string_lossy(), door.len());
    let (counters, _) = play(&name, &script, usize::MAX).stop();
    balanced(&counters);
    for count in script.lines().filter_map(|l| l.strip_prefix("count ")) {
        let (key, value) = count.split_once('=').unwrap();
        assert_eq!(counters[key].to_string(), value, "{key}: {counters:?}");
    }
}

/// What a client has got so far of final answers: the first byte of each message that ends a statement.
fn finals(mut got: &[u8]) -> usize {
    let mut count = 0;
    while let [tag, a, b, c, d, ..] = got {
        count += usize::from(matches!(tag, b'C' | b'E'));
        got = &got[(u32::from_be_bytes([*a, *b, *c, *d]) as usize + 1).min(got.len())..];
    }
    count
}

/// A load is played up to each step of its protocol, and there the client's or the engine's connection is cut,
/// with the engine's process gone or still there. Whatever the step, the load is sent once at most, and a
/// client that is there gets one final answer.
#[rstest]
fn a_cut_load_runs_once_at_most(
    #[values("load_postgres", "load_http")] name: &str,
    #[values("client", "engine", "process")] cut: &str,
    #[values(0, 1, 2, 3, 4, 5, 6)] step: usize,
    #[values("", "with door\n")] door: &str,
) {
    let path = format!("{}/tests/exchanges/cuts/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let script = std::fs::read_to_string(path).unwrap();
    let (before, after) = script.split_once("# cuts\n").unwrap();
    let lines: Vec<&str> = after.lines().collect();
    let execute = lines.iter().position(|l| l.starts_with("accept e")).unwrap();
    // The engine's connection can be cut once it is there. Past the query there is a second engine, to which a
    // load that may have run must not go; before, a second one would rightly get it.
    let label = format!("{name}-{cut}-{step}-{}", door.len());
    let step = if cut == "client" { step } else { step.max(execute + 1) };
    let query = lines.iter().position(|l| l.starts_with("e < P") || l.starts_with("e < [P")).unwrap();
    let (with, engine) = if step > query { ("with two engines\n", "e2") } else { ("", "e1") };
    let mut stage = play(&label, &format!("{door}{with}{before}"), usize::MAX);
    let lines: Vec<String> =
        lines.iter().map(|l| l.replace("accept e e1", &format!("accept e {engine}"))).collect();
    lines[..step.min(lines.len())].iter().for_each(|line| stage.step(line));
    let welcomed = stage.got_so_far("c");
    match cut {
        "client" => stage.step("close c"),
        "engine" => stage.step("close e"),
        _ => [format!("gone {engine}"), "close e".into()].iter().for_each(|line| stage.step(line)),
    }
    if cut == "engine" && name == "load_http" && step < lines.len() {
        // The query belongs to no connection: the engine is asked, and does not know it.
        stage.step(&format!("accept e2 {engine}"));
        stage.step("e2 < GET /o/{16}/{1} HTTP/1.1\\r\\nHost: {*}\\r\\n\\r\\n");
        stage.step("e2 > HTTP/1.1 500 No\\r\\nContent-Length: 0\\r\\n\\r\\n");
    }
    if cut != "client" {
        let got = stage.got("c", b"Z\0\0\0\x05I");
        assert_eq!(finals(&got[welcomed..]), 1, "{:?}", String::from_utf8_lossy(&got[welcomed..]));
    }
    let (counters, engines) = stage.stop();
    balanced(&counters);
    assert!(counters["taken"] <= 1 && counters["sent"] <= 1, "{counters:?}");
    let runs = times(&engines, b"E\0\0\0\x09\0\0\0\0\0") + times(&engines, b"POST /o ");
    assert!(runs <= 1, "{runs} runs");
}
