//! A program under test as a child process: started with its files, controlled by signals, and
//! killed when its parent ends.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

/// Runs a program that is killed when its parent dies. Part of util-linux.
const SETPRIV: &str = "/usr/bin/setpriv";

/// A running program. It ends when this value is dropped or the thread that started it ends.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
    /// Address for clients, once found in the log.
    client_address: Option<SocketAddr>,
    paused: bool,
}

impl Process {
    /// Starts `program` with `environment` and no other variables of the program. Its standard
    /// error goes to the file `log`.
    ///
    /// # Errors
    /// If the log file cannot be created or the program cannot be started.
    pub fn start(program: &Path, environment: &[(&str, PathBuf)], log: &Path) -> Result<Process, String> {
        let file = File::create(log).map_err(|e| format!("{}: {e}", log.display()))?;
        let mut command = command(program);
        let is_program_variable =
            |name: &str| name.starts_with("ROUTER_") || name.starts_with("MARLJUNCTION_") || name == "TMPDIR";
        for (name, _) in
            std::env::vars_os().filter(|(name, _)| name.to_str().is_some_and(is_program_variable))
        {
            command.env_remove(name);
        }
        command.envs(environment.iter().map(|(k, v)| (k, v)));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(file);
        let child = command.spawn().map_err(|e| format!("{}: {e}", program.display()))?;
        Ok(Process { child, log: log.to_owned(), client_address: None, paused: false })
    }

    /// Process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Whether the program exited with success; `None` while it runs.
    pub fn ended_well(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// Contents of the log so far.
    pub fn log_text(&self) -> String {
        // An unreadable log counts as empty.
        std::fs::read(&self.log).map(|text| String::from_utf8_lossy(&text).into_owned()).unwrap_or_default()
    }

    /// Address for clients, once the log contains it.
    pub fn client_address(&mut self) -> Option<SocketAddr> {
        if self.client_address.is_none() {
            let log_text = self.log_text();
            let lines = log_text.lines().filter_map(|line| line.split_once("listens on "));
            let address = lines.map(|(_, at)| at.trim()).find_map(|at| at.parse().ok());
            self.client_address = address;
        }
        self.client_address
    }

    /// Address for PostgreSQL clients, once the log contains it.
    pub fn postgres_address(&self) -> Option<SocketAddr> {
        let log_text = self.log_text();
        let lines = log_text.lines().filter_map(|line| line.split_once("listens on "));
        lines.filter_map(|(_, at)| at.strip_suffix(" for PostgreSQL")).find_map(|at| at.parse().ok())
    }

    /// Address for datagrams of peers, once the log contains it.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        let log_text = self.log_text();
        let line = log_text.lines().find_map(|line| line.split_once("talks to the fleet on "))?;
        line.1.split(' ').next()?.parse().ok()
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) {
        if self.is_running() {
            let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
            self.paused = match signal {
                Signal::SIGSTOP => true,
                Signal::SIGCONT => false,
                _ => self.paused,
            };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Peak resident memory in KB, and CPU time so far in microseconds.
    pub fn used(&self) -> (u64, u64) {
        let read_proc =
            |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", self.id())).unwrap_or_default();
        let status = read_proc("status");
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let peak_kb = peak.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0);
        // The first field of schedstat is the CPU time in nanoseconds.
        let time = read_proc("schedstat").split_whitespace().next().and_then(|ns| ns.parse::<u64>().ok());
        (peak_kb, time.unwrap_or(0) / 1_000)
    }

    /// Counters of the last line of the log that contains any.
    pub fn counters(&self) -> Vec<(String, u64)> {
        let log_text = self.log_text();
        log_text.lines().rev().find(|line| line.contains(" taken=")).map(counters).unwrap_or_default()
    }
}

/// A command for a program that is killed when the thread that started it ends.
pub fn command(program: &Path) -> Command {
    if !Path::new(SETPRIV).exists() {
        return Command::new(program);
    }
    let mut command = Command::new(SETPRIV);
    command.args(["--pdeathsig", "KILL"]).arg(program);
    command
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Value of a counter; 0 if it is missing.
pub fn counter(counters: &[(String, u64)], name: &str) -> u64 {
    counters.iter().find(|(known, _)| known == name).map_or(0, |(_, value)| *value)
}

/// Mean of a counter over routers.
pub fn mean(counters: &[Vec<(String, u64)>], name: &str) -> f64 {
    counters.iter().map(|counters| counter(counters, name)).sum::<u64>() as f64 / counters.len().max(1) as f64
}

/// Counters in one line of the log.
pub fn counters(line: &str) -> Vec<(String, u64)> {
    let pairs = line.split_whitespace().filter_map(|word| word.split_once('='));
    pairs.filter_map(|(k, v)| Some((k.to_owned(), v.parse().ok()?))).collect()
}
