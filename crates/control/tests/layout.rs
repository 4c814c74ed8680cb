//! Checks the source files of the decision policy that the deployment file names.

use std::path::{Path, PathBuf};

const MAX_COLUMNS: usize = 110;

/// Clocks, I/O, threads, global state, and collections with a random order.
const FORBIDDEN: [&str; 12] = [
    "std::time",
    "SystemTime",
    "Instant",
    "std::thread",
    "std::net",
    "std::fs",
    "std::io",
    "std::process",
    "std::env",
    "static mut",
    "HashMap",
    "HashSet",
];

/// The files listed under the key `policy` of deploy/balancer.toml.
fn policy_files() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let list = text
        .lines()
        .filter_map(|line| line.split_once('='))
        .find(|(key, _)| key.trim() == "policy")
        .map(|(_, value)| value.trim().trim_start_matches('[').trim_end_matches(']'))
        .expect("key `policy` in deploy/balancer.toml");
    list.split(',').map(|name| root.join(name.trim().trim_matches('"'))).collect()
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

#[test]
fn policy_files_exist_and_keep_the_line_width() {
    let files = policy_files();
    assert!(files.iter().any(|file| file.ends_with("crates/control/src/control.rs")), "{files:?}");
    for file in &files {
        for (at, line) in read(file).lines().enumerate() {
            assert!(line.chars().count() <= MAX_COLUMNS, "{}:{} is too wide", file.display(), at + 1);
        }
    }
}

#[test]
fn policy_files_read_no_clock_and_perform_no_io() {
    for file in policy_files() {
        let text = read(&file);
        let head: Vec<&str> = text.lines().take(5).collect();
        assert!(head.join(" ").contains("src/interface.rs"), "{}", file.display());
        for word in FORBIDDEN {
            assert!(!text.contains(word), "{}: {word}", file.display());
        }
    }
}
