//! Starts the router with the command of the deploy file, in a temporary folder of its own.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Longest wait for a router to be ready.
const START: Duration = Duration::from_secs(10);

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all routers, for the end of a case that takes too long.
pub fn kill_all() {
    let ids = std::mem::take(&mut *RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner()));
    for id in ids {
        // A process that has ended meanwhile needs no signal.
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {id}")).status();
    }
}

/// Path of the temporary folder of this process.
fn folder_path() -> PathBuf {
    std::env::temp_dir().join(format!("marljunction-review-{}", std::process::id()))
}

/// Removes the temporary folder, for the end of a case that is interrupted.
pub fn remove_folder() {
    let _ = std::fs::remove_dir_all(folder_path());
}

/// A temporary folder, removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    /// Creates a folder.
    pub fn create() -> std::io::Result<Folder> {
        let path = folder_path();
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> std::io::Result<PathBuf> {
        let path = self.0.join(name);
        std::fs::write(&path, text).map(|()| path)
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The command `run` of the deploy file.
fn run_command() -> Result<String, String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy file: {e}"))?;
    let line =
        text.lines().find_map(|line| line.strip_prefix("run = \"")).ok_or("the deploy file has no run")?;
    line.split('"').next().map(str::to_owned).ok_or_else(|| "the deploy file has no run".into())
}

/// A running router. It is killed at the end.
pub struct Router {
    child: Child,
    log: PathBuf,
}

impl Router {
    /// Starts the router. `socket` is handed down to it as descriptor 3.
    pub fn start(
        folder: &Folder,
        name: &str,
        environment: &[(&str, &Path)],
        socket: Option<&TcpListener>,
    ) -> Result<Router, String> {
        let text = |e: std::io::Error| e.to_string();
        let log = folder.path().join(format!("{name}.log"));
        let run = run_command()?;
        let mut command = Command::new("/bin/sh");
        command.env("TMPDIR", folder.path()).envs(environment.iter().copied());
        match socket {
            // The shell moves the socket from descriptor 0 to 3.
            Some(socket) => {
                let socket = socket.try_clone().map_err(text)?;
                command.arg("-c").arg(format!("exec 3<&0 0</dev/null; {run}"));
                command.env("ROUTER_FD", "3").stdin(Stdio::from(OwnedFd::from(socket)));
            }
            None => {
                command.arg("-c").arg(run).stdin(Stdio::null());
            }
        }
        command.stdout(Stdio::null()).stderr(File::create(&log).map_err(text)?);
        let child = command.spawn().map_err(text)?;
        RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(child.id());
        Ok(Router { child, log })
    }

    /// The log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits for an address in the log: of the line that ends with `what` after it.
    pub fn address(&self, what: &str) -> Result<SocketAddr, String> {
        let until = Instant::now() + START;
        while Instant::now() < until {
            let log = self.log();
            let lines = log.lines().filter_map(|line| line.split_once("listens on ")).map(|(_, at)| at);
            let found = lines.filter_map(|at| at.strip_suffix(what)).find_map(|at| at.trim().parse().ok());
            if let Some(address) = found {
                return Ok(address);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(format!("the router does not listen: {}", self.log()))
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let command = format!("kill -{name} {}", self.child.id());
        let sent = Command::new("/bin/sh").arg("-c").arg(command).status().map_err(|e| e.to_string())?;
        if sent.success() {
            Ok(())
        } else {
            Err(format!("SIG{name} was not sent"))
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).retain(|running| *running != id);
    }
}
