//! The module's own limits, which its readers rely on.

const MODULE: &str = include_str!("../src/control.rs");

#[test]
fn the_module_stays_within_its_lines_and_columns() {
    let lines = MODULE.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1_010, "{lines} non-blank lines");
    for (at, line) in MODULE.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too wide", at + 1);
    }
}

#[test]
fn the_module_names_its_interface_and_reads_no_clock() {
    let head: Vec<&str> = MODULE.lines().take(5).collect();
    assert!(head.join(" ").contains("src/interface.rs"));
    for word in ["std::time", "std::thread", "std::net", "static mut", "HashMap"] {
        assert!(!MODULE.contains(word), "{word}");
    }
}
