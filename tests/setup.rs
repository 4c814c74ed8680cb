//! Operators' files: those that are shipped are right, wrong ones are told, and the command line says so.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use marljunction::config::EngineProtocol;
use marljunction::effects::{effects, Effect};
use marljunction::setup::Setup;
use marljunction_fair_queue::settings::{ClientKey, FairQueueConfig};
use marljunction_fleet::ListRole;
use marljunction_language::format::format;

fn shipped(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

/// A folder of its own with these files.
fn folder(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("marljunction-setup-{}-{name}", std::process::id()));
    std::fs::create_dir_all(dir.join("below")).unwrap();
    files.iter().for_each(|(name, text)| std::fs::write(dir.join(name), text).unwrap());
    dir
}

fn program(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marljunction"));
    command.args(arguments).env_remove("ROUTER_CONFIG").env_remove("MARLJUNCTION_SETUP").output().unwrap()
}

#[test]
fn shipped_files_are_right_and_laid_out() {
    for name in [
        "deploy/operator.conf",
        "deploy/door.conf",
        "deploy/fleet.conf",
        "deploy/cells.conf",
        "src/definitions.conf",
    ] {
        let text = std::fs::read_to_string(shipped(name)).unwrap();
        assert_eq!(format(&text).as_ref(), Some(&text), "{name}");
    }
    let setup = Setup::from_file(&shipped("deploy/operator.conf")).unwrap();
    let postgres = setup.postgres.unwrap();
    assert_eq!((postgres.class.as_str(), postgres.sessions), ("lookup", 64));
    assert!(matches!(postgres.engines, EngineProtocol::Postgres { .. }));
    assert_eq!(postgres.consul.unwrap().service, "engine");
}

#[test]
fn the_definitions_defaults_are_the_doors_own() {
    let setup = Setup::from_file(&shipped("deploy/door.conf")).unwrap();
    assert_eq!(setup.fair_queue, Some(FairQueueConfig::default()));
    assert!(setup.postgres.is_none());
    assert_eq!(FairQueueConfig::default().fault(), None);
}

#[test]
fn a_fleets_list_is_told_by_a_relay_or_learned_by_a_cell_and_never_both() {
    let file = |name: &str, list: &str| {
        let text = format!(
            "fleet: {{ listen: \"127.0.0.1:0\", key: \"key\", seeds: [], routers: 8, limits: {{}}{list} }}\n"
        );
        Setup::from_file(&folder(name, &[("main.conf", &text)]).join("main.conf"))
    };
    let read = |name: &str, list: &str| file(name, list).unwrap().fleet.unwrap().list;
    assert_eq!(read("no-list", ""), None);
    let relay = read("relay", ", list: { relay: true }").unwrap();
    assert_eq!((relay.role, relay.ask_ns), (ListRole::Relay, 1_000_000_000));
    let cell =
        read("cell", ", list: { relays: [\"127.0.0.1:1\"], cells: 4, cell: 3, numbers: \"turns\" }").unwrap();
    assert!(cell.timing.silence_ns > 0 && cell.timing.reconnect_ns > cell.timing.silence_ns);
    let ListRole::Cell { relays, plan, .. } = cell.role else { panic!("{cell:?}") };
    assert_eq!((relays.len(), plan.cells, plan.cell, plan.rank), (1, 4, Some(3), None));
    assert!(file("both", ", list: { relay: true, relays: [], cells: 4 }").is_err());
    assert!(file("neither", ", list: {}").is_err());
}

#[test]
fn files_are_read_with_what_they_include_and_no_farther_than_their_folder() {
    let weights = ("below/weights.conf", "#weights: { \"gulf-coast-comfort\": 73, other: 1.5 }\n");
    let main = "include \"below/weights.conf\"\n\ndoor: { weights: #weights, client: { field: \"who\" }, stale: 0.2s }\n";
    let dir =
        folder("include", &[weights, ("main.conf", main), ("out.conf", "include \"../../etc/hostname\"\n")]);
    let fair_queue = Setup::from_file(&dir.join("main.conf")).unwrap().fair_queue.unwrap();
    assert_eq!((fair_queue.weights["gulf-coast-comfort"], fair_queue.weights["other"]), (73.0, 1.5));
    assert_eq!((fair_queue.client, fair_queue.stale_ms), (ClientKey::Field("who".into()), 200));
    let fault = Setup::from_file(&dir.join("out.conf")).unwrap_err().to_string();
    assert!(fault.contains("can't be included"), "{fault}");
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn the_command_line_checks_and_lays_out() {
    let dir =
        folder("cli", &[("bad.conf", "door: { stale: 400 }\n"), ("good.conf", "door :{stale:400ms}\n")]);
    let (bad, good) =
        (dir.join("bad.conf").display().to_string(), dir.join("good.conf").display().to_string());
    let checked = program(&["check", &good, &bad]);
    assert_eq!(checked.status.code(), Some(1));
    let told = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert!(told.contains("bad.conf:1:16") && told.contains("write 400ms"), "{told}");
    assert_eq!(program(&["fmt", "--check", &good]).status.code(), Some(1));
    assert_eq!(
        std::fs::read_to_string(&good).unwrap(),
        "door :{stale:400ms}\n",
        "nothing is changed by that"
    );
    assert!(program(&["fmt", &good]).status.success());
    assert_eq!(std::fs::read_to_string(&good).unwrap(), "door: { stale: 400ms }\n");
    assert!(program(&["fmt", "--check", &good]).status.success());
    let differ = |a: &str, b: &str| program(&["diff", a, b]).status.code();
    assert_eq!((differ(&good, &good), differ(&good, &bad)), (Some(0), Some(2)));
    assert_eq!(differ(&good, &shipped("deploy/operator.conf").display().to_string()), Some(1));
    let started = program(&["run", "--setup", &bad]);
    assert_eq!(started.status.code(), Some(1), "a wrong file or no configuration ends the start");
    assert!(String::from_utf8_lossy(&program(&["completions", "bash"]).stdout).contains("marljunction"));
    std::fs::remove_dir_all(dir).unwrap();
}

/// What the second of two texts changes, a line each.
fn changes(name: &str, from: &str, to: &str) -> Vec<String> {
    let dir = folder(name, &[("from.conf", from), ("to.conf", to), ("part.conf", "#w: { a: 2 }\n")]);
    let read = |file: &str| Setup::from_file(&dir.join(file)).unwrap().value.unwrap();
    let all = effects(&read("from.conf"), &read("to.conf")).iter().map(Effect::to_string).collect();
    std::fs::remove_dir_all(dir).unwrap();
    all
}

#[test]
fn files_that_mean_the_same_differ_in_nothing() {
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
fn a_change_is_told_by_what_it_does_and_when() {
    let told = changes(
        "effects",
        "door: { weights: { a: 2, b: 1 }, stale: 400ms }\n",
        "door: { weights: { a: 3, c: 1 }, stale: 250ms, order: \"fifo\" }\nlog: { level: \"debug\" }\n",
    );
    let heads: Vec<&str> = told.iter().map(|line| line.rsplit_once(": ").unwrap().0).collect();
    assert_eq!(
        heads,
        [
            "door.order: \"fair\" becomes \"fifo\" after a restart",
            "door.stale: 400ms becomes 250ms at once",
            "door.weights.a: 2 becomes 3 at once",
            "door.weights.b: 1 becomes nothing at once",
            "door.weights.c: nothing becomes 1 at once",
            "log.level: \"info\" becomes \"debug\" at once",
        ]
    );
    let whole = changes("whole", "log: {}\n", "door: {}\n");
    assert!(whole.len() == 8 && whole.iter().all(|line| line.contains("after a restart")), "{whole:?}");
}

#[test]
fn two_sources_of_one_part_are_refused() {
    use marljunction::config::ConfigFiles;
    let config =
        folder("twice", &[("postgres.json", "{\"class\": \"lookup\", \"columns\": [], \"sessions\": 1}")]);
    let files = ConfigFiles {
        config: "no such file".into(),
        postgres: Some(config.join("postgres.json").display().to_string()),
        setup: Some(shipped("deploy/operator.conf")),
        inherited_socket: None,
        operator: None,
        state_dir: None,
    };
    let fault = files.read().unwrap_err().to_string();
    assert!(fault.contains("keep one"), "{fault}");
    std::fs::remove_dir_all(config).unwrap();
}
