//! Starts the program with the command of the deploy file and sends it signals.

use std::fs::File;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::engine::Engine;
use super::http::call;
use super::record::Record;

/// Process ids of all routers started, to be ended with the case.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Longest run of a case.
const LONGEST: Duration = Duration::from_secs(110);

/// Ends all routers and then this process.
pub fn finish(code: i32) -> ! {
    for pid in STARTED.lock().unwrap_or_else(|e| e.into_inner()).iter() {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).stderr(Stdio::null()).status();
    }
    std::process::exit(code)
}

/// Ends the case with 2 if it panics or runs for too long.
pub fn guard() {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("the case could not run: {info}");
        finish(2)
    }));
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        eprintln!("the case took too long");
        finish(2)
    });
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A free loopback address.
pub fn free_address() -> String {
    TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().unwrap().to_string()
}

/// The directory for the files of the case, from `run.sh`.
pub fn directory() -> PathBuf {
    PathBuf::from(std::env::var("CASE_DIR").expect("CASE_DIR is set by run.sh"))
}

/// Settings of a small deployment: the classes, effects and times of the operators' first deployment.
pub const SETTINGS: &str = r#"{"azs":["bldg-a"],"balancers":1,"me":0,"zone":"bldg-a","kinds":["std-12"],
 "membership_mode":"automatic","load_report":{"fields":["busy","rif"],"how":"answers"},
 "realms":[{"allowance_per_s":100.0,"name":"gulf-coast-comfort"}],
 "family_info":{"cores_by_kind":[12],"dop":[1,4,2],"lanes_count":true,"out_of_memory":"swap",
  "progress_pace_ns":500000000,"ram_of_kind_mb":[24576.0],"takes_grants":false,
  "waits_for_loads":[false,false,false],"writes_tables":[false,false,true]},
 "guarantees":{"cold_ns":15000000000,"drain_grace_ns":500000000,"fall_ns":1000000000,
  "grace_to_answer_ns":20000000,"start_capacity":0.32,"tip_multiple":2.5},
 "limits":{"cancelling":true,"conn_idle_ns":30000000000,"connect_timeout_ns":250000000,
  "max_retry_after_ns":1000000000,"retry_after":true,"second_copies":false,"send_cap":4},
 "request_classes":[
  {"aim_ns":1200000000,"aim_stretch":1.5,"effect":"idempotent","give_up_ns":6000000000,"name":"lookup","worth":1.0},
  {"aim_ns":2000000000,"aim_stretch":2.5,"effect":"idempotent","give_up_ns":25000000000,"name":"report","worth":7.5},
  {"aim_ns":3000000000,"aim_stretch":3.0,"effect":"at_most_once","give_up_ns":20000000000,
   "name":"service-load","worth":4.0}]}"#;

/// The same with the classes of the operators' second deployment: its loads carry a key, and engines drop a repeat
/// of a key for 12 s.
fn keyed_settings() -> String {
    let (head, _) = SETTINGS.split_once(r#""request_classes""#).unwrap();
    format!(
        r#"{head}"request_classes":[
  {{"aim_ns":250000000,"aim_stretch":2.0,"effect":"idempotent","give_up_ns":1200000000,"name":"rate-lookup","worth":1.0}},
  {{"aim_ns":3000000000,"aim_stretch":2.5,"effect":"idempotent","give_up_ns":20000000000,"name":"period-report","worth":20.0}},
  {{"aim_ns":3000000000,"aim_stretch":2.5,"effect":"deduplicated","dedup_scope":"all","dedup_window_ns":12000000000,
   "give_up_ns":20000000000,"name":"reading-load","serial_by_key":true,"worth":30.0}}]}}"#
    )
}

/// An engine of the list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub address: String,
}

impl Target {
    /// The entries of these engines.
    pub fn of(engines: &[Engine]) -> Vec<Target> {
        engines
            .iter()
            .map(|engine| Target { uid: engine.uid.clone(), address: engine.address.clone() })
            .collect()
    }

    /// The entry in the protocol's form.
    pub fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"bldg-a","model":"std-12","pod_group":1,"state":"{state}","capacity_hint":1,"boot_ms":0}}"#,
            self.uid, self.address
        )
    }
}

/// What a router is started with.
#[derive(Clone, Default)]
pub struct Start<'a> {
    /// Name of its configuration file and its log.
    pub name: &'a str,
    /// Its number among the query routers, and how many there are; 0 for a single one.
    pub number: (u32, u32),
    /// Where clients connect.
    pub listen: &'a str,
    /// Where operators call.
    pub operator: &'a str,
    /// Address of the coordinator, if there is one.
    pub coordinator: Option<&'a str>,
    /// Engines in service at the start.
    pub engines: &'a [Target],
    /// The clients' listening socket, if the platform holds it.
    pub socket: Option<&'a TcpListener>,
    /// The PostgreSQL file, if there is one.
    pub postgres: Option<&'a str>,
    /// Whether loads carry a key, as in the second deployment.
    pub keyed_loads: bool,
}

/// A router process.
pub struct Router {
    name: String,
    operator: String,
    child: Child,
    record: Record,
}

impl Router {
    /// Starts the program.
    pub fn start(record: &Record, start: &Start) -> Router {
        let dir = directory();
        // The processes of one router share it.
        let temporary = dir.join(format!("tmp-{}", start.number.0));
        std::fs::create_dir_all(&temporary).unwrap();
        let targets: Vec<String> = start.engines.iter().map(|target| target.entry("in_service")).collect();
        let updates = match targets.is_empty() {
            true => String::new(),
            false => format!(
                r#"{{"index":1,"endpoints":{{"rev":1,"all":true,"targets":[{}]}}}}"#,
                targets.join(",")
            ),
        };
        let index = u32::from(!targets.is_empty());
        let coordinator = start.coordinator.map_or(String::new(), |at| format!(r#""coordinator":"{at}","#));
        let settings = if start.keyed_loads { keyed_settings() } else { SETTINGS.to_owned() };
        let (me, count) = (start.number.0, start.number.1.max(1));
        let settings =
            settings.replace(r#""balancers":1,"me":0"#, &format!(r#""balancers":{count},"me":{me}"#));
        let router_name = format!("n{}", me + 1);
        let seed = format!("{:016x}", 0x8c1f_30d2_7a5b_e964_u64.wrapping_add(u64::from(me)));
        let config = format!(
            r#"{{"name":"{router_name}","listen":"{}","operator":"{}","seed":"{seed}",{coordinator}
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"index":{index},"updates":[{updates}]}},
"settings":{settings}}}"#,
            start.listen, start.operator
        );
        let config_file = dir.join(format!("{}.json", start.name));
        std::fs::write(&config_file, config).unwrap();
        let log = File::create(dir.join(format!("{}.log", start.name))).unwrap();
        let run = std::env::var("RUN_COMMAND").expect("RUN_COMMAND is set by run.sh");
        let mut command = Command::new("/bin/sh");
        command
            .env("ROUTER_NAME", &router_name)
            .env("ROUTER_LISTEN", start.listen)
            .env("ROUTER_CONFIG", &config_file);
        command.env("TMPDIR", &temporary).env("MARLJUNCTION_LOG", "debug").stdout(Stdio::null()).stderr(log);
        match start.socket {
            // The platform's socket comes as descriptor 3: passed as standard input, and moved there by the shell.
            Some(socket) => {
                let socket = OwnedFd::from(socket.try_clone().unwrap());
                command.env("ROUTER_FD", "3").stdin(Stdio::from(socket));
                command.arg("-c").arg(format!("exec 3<&0 </dev/null; {run}"));
            }
            None => {
                command.stdin(Stdio::null()).arg("-c").arg(&run);
            }
        }
        if let Some(postgres) = start.postgres {
            let file = dir.join(format!("{}-postgres.json", start.name));
            std::fs::write(&file, postgres).unwrap();
            command.env("MARLJUNCTION_POSTGRES", &file);
        }
        let child = command.spawn().expect("the shell can be started");
        STARTED.lock().unwrap().push(child.id());
        let mut pids = File::options().create(true).append(true).open(dir.join("pids")).unwrap();
        writeln!(pids, "{}", child.id()).unwrap();
        record.line(format!("router {}: started", start.name));
        Router { name: start.name.into(), operator: start.operator.into(), child, record: record.clone() }
    }

    /// Waits until the router says that it is ready. Returns why not, if it ends or the time is over.
    pub fn wait_ready(&mut self, time: Duration) -> Result<(), String> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if let Some(status) = self.exited() {
                self.record.line(format!("router {}: ended with {status}", self.name));
                return Err(format!("the process ended with {status}"));
            }
            if TcpStream::connect(&self.operator).is_ok()
                && call(&self.operator, "GET", "/ready", "").0 == 200
            {
                self.record.line(format!("router {}: is ready", self.name));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err("not ready in time".into())
    }

    /// How the process ended, if it has.
    pub fn exited(&mut self) -> Option<String> {
        self.child.try_wait().unwrap().map(|status| status.to_string())
    }

    /// Makes an operator's call and returns the status.
    pub fn operate(&self, path: &str, body: &str) -> u16 {
        self.record.line(format!("operator: POST {path} {body} to router {}", self.name));
        let (status, text) = call(&self.operator, "POST", path, body);
        self.record.line(format!("operator: router {} answers {status} {text}", self.name));
        status
    }

    /// Asks the router whether it is ready and returns the status.
    pub fn ready(&self) -> u16 {
        call(&self.operator, "GET", "/ready", "").0
    }

    /// Sends a signal, named as `kill` names it.
    pub fn signal(&self, name: &str) {
        self.record.line(format!("router {}: gets SIG{name}", self.name));
        let _ = Command::new("kill").args([format!("-{name}"), self.child.id().to_string()]).status();
    }

    /// Lines of the router's log that contain `text`, for the record.
    pub fn copy_log(&self, text: &str) {
        let log = std::fs::read_to_string(directory().join(format!("{}.log", self.name))).unwrap_or_default();
        let log = log.replace(directory().to_str().unwrap_or_default(), "$CASE_DIR");
        for line in log.lines().filter(|line| line.contains(text)).take(20) {
            self.record.line(format!("router {} logged: {line}", self.name));
        }
    }
}

/// Says in the record and on standard error whether the rule held, and ends the case.
pub fn judge(record: &Record, breaks: &[String]) -> ! {
    for text in breaks {
        record.line(format!("BROKEN: {text}"));
        eprintln!("broken: {text}");
    }
    if breaks.is_empty() {
        record.line("the rule held");
        eprintln!("the rule held");
    }
    finish(i32::from(!breaks.is_empty()))
}
