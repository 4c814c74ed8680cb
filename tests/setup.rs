//! Operator files: shipped files are valid, invalid ones are reported, and the command line checks
//! them.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use marljunction::config::EngineProtocol;
use marljunction::effects::{effects, Effect};
use marljunction::setup::Setup;
use marljunction_fair_queue::settings::{ClientKey, FairQueueConfig};
use marljunction_fleet::ListRole;
use marljunction_language::format::format;

fn repository_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

/// Writes these files to a directory of their own.
fn write_files(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("marljunction-setup-{}-{name}", std::process::id()));
    std::fs::create_dir_all(dir.join("below")).unwrap();
    files.iter().for_each(|(name, text)| std::fs::write(dir.join(name), text).unwrap());
    dir
}

fn run_program(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marljunction"));
    command.args(arguments).env_remove("ROUTER_CONFIG").env_remove("MARLJUNCTION_SETUP").output().unwrap()
}

#[test]
fn shipped_files_are_valid_and_formatted() {
    for name in [
        "deploy/operator.conf",
        "deploy/door.conf",
        "deploy/fleet.conf",
        "deploy/cells.conf",
        "src/definitions.conf",
    ] {
        let text = std::fs::read_to_string(repository_path(name)).unwrap();
        assert_eq!(format(&text).as_ref(), Some(&text), "{name}");
    }
    let setup = Setup::from_file(&repository_path("deploy/operator.conf")).unwrap();
    let postgres = setup.postgres.unwrap();
    assert_eq!((postgres.class.as_str(), postgres.sessions), ("lookup", 64));
    assert!(matches!(postgres.engines, EngineProtocol::Postgres { .. }));
    assert_eq!(postgres.consul.unwrap().service, "engine");
}

#[test]
fn defaults_in_definitions_match_the_fair_queue_config() {
    let setup = Setup::from_file(&repository_path("deploy/door.conf")).unwrap();
    assert_eq!(setup.fair_queue, Some(FairQueueConfig::default()));
    assert!(setup.postgres.is_none());
    assert_eq!(FairQueueConfig::default().find_error(), None);
}

#[test]
fn a_list_section_configures_a_relay_or_a_cell_but_not_both() {
    let file = |name: &str, list: &str| {
        let text = format!(
            "fleet: {{ listen: \"127.0.0.1:0\", key: \"key\", seeds: [], routers: 8, limits: {{}}{list} }}\n"
        );
        Setup::from_file(&write_files(name, &[("main.conf", &text)]).join("main.conf"))
    };
    let read = |name: &str, list: &str| file(name, list).unwrap().fleet.unwrap().list;
    assert_eq!(read("no-list", ""), None);
    let relay = read("relay", ", list: { relay: true }").unwrap();
    assert_eq!((relay.role, relay.request_interval_ns), (ListRole::Relay, 1_000_000_000));
    let cell =
        read("cell", ", list: { relays: [\"127.0.0.1:1\"], cells: 4, cell: 3, numbers: \"turns\" }").unwrap();
    assert!(cell.timing.silence_ns > 0 && cell.timing.reconnect_ns > cell.timing.silence_ns);
    let ListRole::Cell { relays, plan, .. } = cell.role else { panic!("{cell:?}") };
    assert_eq!((relays.len(), plan.cells, plan.cell, plan.rank), (1, 4, Some(3), None));
    assert!(file("both", ", list: { relay: true, relays: [], cells: 4 }").is_err());
    assert!(file("neither", ", list: {}").is_err());
}

#[test]
fn includes_are_resolved_only_inside_the_files_directory() {
    let weights = ("below/weights.conf", "#weights: { \"gulf-coast-comfort\": 73, other: 1.5 }\n");
    let main = "include \"below/weights.conf\"\n\ndoor: { weights: #weights, client: { field: \"who\" }, stale: 0.2s }\n";
    let dir = write_files(
        "include",
        &[weights, ("main.conf", main), ("out.conf", "include \"../../etc/hostname\"\n")],
    );
    let fair_queue = Setup::from_file(&dir.join("main.conf")).unwrap().fair_queue.unwrap();
    assert_eq!((fair_queue.weights["gulf-coast-comfort"], fair_queue.weights["other"]), (73.0, 1.5));
    assert_eq!((fair_queue.client, fair_queue.stale_ms), (ClientKey::Field("who".into()), 200));
    let error = Setup::from_file(&dir.join("out.conf")).unwrap_err().to_string();
    assert!(error.contains("can't be included"), "{error}");
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn the_command_line_checks_formats_and_diffs_files() {
    let dir =
        write_files("cli", &[("bad.conf", "door: { stale: 400 }\n"), ("good.conf", "door :{stale:400ms}\n")]);
    let (bad, good) =
        (dir.join("bad.conf").display().to_string(), dir.join("good.conf").display().to_string());
    let check = run_program(&["check", &good, &bad]);
    assert_eq!(check.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&check.stderr).into_owned();
    assert!(stderr.contains("bad.conf:1:16") && stderr.contains("write 400ms"), "{stderr}");
    assert_eq!(run_program(&["fmt", "--check", &good]).status.code(), Some(1));
    assert_eq!(
        std::fs::read_to_string(&good).unwrap(),
        "door :{stale:400ms}\n",
        "--check does not write the file"
    );
    assert!(run_program(&["fmt", &good]).status.success());
    assert_eq!(std::fs::read_to_string(&good).unwrap(), "door: { stale: 400ms }\n");
    assert!(run_program(&["fmt", "--check", &good]).status.success());
    let diff_status = |a: &str, b: &str| run_program(&["diff", a, b]).status.code();
    assert_eq!((diff_status(&good, &good), diff_status(&good, &bad)), (Some(0), Some(2)));
    assert_eq!(diff_status(&good, &repository_path("deploy/operator.conf").display().to_string()), Some(1));
    let run = run_program(&["run", "--setup", &bad]);
    assert_eq!(run.status.code(), Some(1), "an invalid file or a missing configuration fails the start");
    assert!(String::from_utf8_lossy(&run_program(&["completions", "bash"]).stdout).contains("marljunction"));
    std::fs::remove_dir_all(dir).unwrap();
}

/// The changes from one file to another, one line each.
fn changes(name: &str, from: &str, to: &str) -> Vec<String> {
    let dir = write_files(name, &[("from.conf", from), ("to.conf", to), ("part.conf", "#w: { a: 2 }\n")]);
    let read = |file: &str| Setup::from_file(&dir.join(file)).unwrap().value.unwrap();
    let all = effects(&read("from.conf"), &read("to.conf")).iter().map(Effect::to_string).collect();
    std::fs::remove_dir_all(dir).unwrap();
    all
}

#[test]
fn equivalent_files_have_no_differences() {
    let plain = "door: { weights: { a: 2 } }\n";
    for (name, other) in [
        ("order", "log: {}\ndoor: {\n  weights: {\n    a: 2\n  }\n}\n"),
        ("defaults", "door: { weights: { a: 2 }, stale: 0.4s, queues: 64, client: \"peer\" }\nlog: { level: \"info\" }\n"),
        ("included", "include \"part.conf\"\ndoor: { weights: #w }\n"),
        ("twice", "door: { weights: { a: 2 } }\ndoor: { stale: 400ms }\n"),
    ] {
        assert_eq!(changes(name, plain, other), Vec::<String>::new(), "{name}");
    }
}

#[test]
fn each_change_is_reported_with_its_effect_and_timing() {
    let lines = changes(
        "effects",
        "door: { weights: { a: 2, b: 1 }, stale: 400ms }\n",
        "door: { weights: { a: 3, c: 1 }, stale: 250ms, order: \"fifo\" }\nlog: { level: \"debug\" }\n",
    );
    let descriptions: Vec<&str> = lines.iter().map(|line| line.rsplit_once(": ").unwrap().0).collect();
    assert_eq!(
        descriptions,
        [
            "door.order: \"fair\" becomes \"fifo\" after a restart",
            "door.stale: 400ms becomes 250ms at once",
            "door.weights.a: 2 becomes 3 at once",
            "door.weights.b: 1 becomes nothing at once",
            "door.weights.c: nothing becomes 1 at once",
            "log.level: \"info\" becomes \"debug\" at once",
        ]
    );
    let section_changes = changes("whole", "log: {}\n", "door: {}\n");
    assert!(
        section_changes.len() == 8 && section_changes.iter().all(|line| line.contains("after a restart")),
        "{section_changes:?}"
    );
}

#[test]
fn duplicate_postgres_settings_are_rejected() {
    use marljunction::config::ConfigFiles;
    let config = write_files(
        "twice",
        &[("postgres.json", "{\"class\": \"lookup\", \"columns\": [], \"sessions\": 1}")],
    );
    let files = ConfigFiles {
        config: "no such file".into(),
        postgres: Some(config.join("postgres.json").display().to_string()),
        setup: Some(repository_path("deploy/operator.conf")),
        inherited_socket: None,
        operator: None,
        state_dir: None,
    };
    let error = files.read().unwrap_err().to_string();
    assert!(error.contains("keep one"), "{error}");
    std::fs::remove_dir_all(config).unwrap();
}
