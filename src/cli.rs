//! The command line. With no arguments the program serves, as the platform starts it.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{CommandFactory, Parser, Subcommand};

use crate::config::ConfigFiles;
use crate::daemon::Daemon;
use crate::effects::effects;
use crate::error::{ConfigError, DaemonError};
use crate::setup::Setup;
use crate::{logger, setup};

/// The longest that a request is out, where no settings say: bounds are told by it (ns).
const DEFAULT_MAX_REQUEST_NS: u64 = 27_500_000_000;
/// How long the admin API may take to connect, and to answer.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(3);
/// The status where a file of a comparison is wrong.
const INVALID_FILE_STATUS: u8 = 2;

/// Why a task of the command line can't be done.
#[derive(Debug, thiserror::Error)]
enum CliError {
    /// A file can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The router can't be reached.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The router's answer is not of its form.
    #[error("no answer that can be read")]
    MalformedResponse,
    /// The router refuses, or the file is wrong, as the text says.
    #[error("{0}")]
    Refused(String),
}

/// A query router daemon: decides which engine runs each query and when, and gives each client one final answer.
#[derive(Parser)]
#[command(name = "marljunction", version)]
struct Arguments {
    #[command(subcommand)]
    task: Option<Task>,
}

#[derive(Subcommand)]
enum Task {
    /// Serve: what is done with no arguments at all.
    Run {
        /// The operator's file; else the one that MARLJUNCTION_SETUP names, or none.
        #[arg(long, value_name = "FILE")]
        setup: Option<PathBuf>,
    },
    /// Tell what is wrong with operators' files.
    Check {
        /// The files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Lay files of the configuration language out in the one way.
    Fmt {
        /// Change nothing; tell which files are not laid out so.
        #[arg(long)]
        check: bool,
        /// The files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Tell what the program does differently under the second of two files; status 0 where they mean the same, 1 where not,
    /// 2 where one is wrong.
    Diff {
        /// The file as it is.
        from: PathBuf,
        /// The file as it is to be.
        to: PathBuf,
    },
    /// Print what a running router knows of its fleet: peers, and its part in each limit.
    Fleet {
        /// Address of its admin API.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
    /// Print a shell's completions.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

fn run(operator_file: Option<PathBuf>) -> Result<(), DaemonError> {
    let files = ConfigFiles::from_env(operator_file)?;
    Daemon::start(files)?.run()
}

fn serve(operator_file: Option<PathBuf>) -> ExitCode {
    logger::start();
    match run(operator_file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Whether a file is right; what is wrong with it goes to standard error.
fn check(path: &Path) -> bool {
    match setup::read_file(path).map(|outcome| setup::faults(&outcome)) {
        Ok(None) => {
            println!("{}: right", path.display());
            if let Ok(setup) = Setup::from_file(path) {
                println!("  {}", setup.start.bounds(None));
                for line in setup.fleet.iter().flat_map(|fleet| fleet.bounds(DEFAULT_MAX_REQUEST_NS)) {
                    println!("  {line}");
                }
            }
            true
        }
        Ok(Some(messages)) => {
            eprintln!("{messages}");
            false
        }
        Err(error) => {
            eprintln!("{error}");
            false
        }
    }
}

/// What the admin API at this address says of the fleet.
fn fetch_fleet(at: SocketAddr) -> Result<String, CliError> {
    let mut stream = TcpStream::connect_timeout(&at, ADMIN_TIMEOUT)?;
    stream.set_read_timeout(Some(ADMIN_TIMEOUT))?;
    stream.write_all(b"GET /fleet HTTP/1.1\r\nHost: router\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (head, body) = answer.split_once("\r\n\r\n").ok_or(CliError::MalformedResponse)?;
    match head.starts_with("HTTP/1.1 200 ") {
        true => Ok(body.to_owned()),
        false => Err(CliError::Refused(body.trim_end().to_owned())),
    }
}

/// Lays a file out, or only tells whether it is; whether it needs no further change.
fn format(path: &Path, check_only: bool) -> Result<bool, CliError> {
    let text = std::fs::read_to_string(path).map_err(ConfigError::unreadable(path))?;
    let Some(formatted) = marljunction_language::format::format(&text) else {
        let outcome = setup::read_file(path)?;
        return Err(CliError::Refused(setup::faults(&outcome).unwrap_or_default()));
    };
    let ok = formatted == text;
    if !ok && !check_only {
        std::fs::write(path, formatted).map_err(ConfigError::unreadable(path))?;
        println!("{}: laid out", path.display());
    } else if !ok {
        println!("{}: not laid out", path.display());
    }
    Ok(ok || !check_only)
}

fn print_completions(shell: clap_complete::Shell) {
    clap_complete::generate(shell, &mut Arguments::command(), "marljunction", &mut std::io::stdout());
}

/// Prints what the second file changes; the status says whether it does, or that one is wrong.
fn print_diff(from: &Path, to: &Path) -> ExitCode {
    match (Setup::from_file(from), Setup::from_file(to)) {
        (Ok(Setup { value: Some(from), .. }), Ok(Setup { value: Some(to), .. })) => {
            let all = effects(&from, &to);
            all.iter().for_each(|effect| println!("{effect}"));
            ExitCode::from(u8::from(!all.is_empty()))
        }
        (one, other) => {
            [one, other].into_iter().filter_map(Result::err).for_each(|error| eprintln!("{error}"));
            ExitCode::from(INVALID_FILE_STATUS)
        }
    }
}

fn print_fleet(at: SocketAddr) -> ExitCode {
    match fetch_fleet(at) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{at}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn format_or_report(path: &Path, check_only: bool) -> bool {
    format(path, check_only).unwrap_or_else(|error| {
        eprintln!("{error}");
        false
    })
}

fn exit_code(ok: Vec<bool>) -> ExitCode {
    match ok.iter().all(|ok| *ok) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Does what the arguments say.
pub fn main() -> ExitCode {
    match Arguments::parse().task {
        None => serve(None),
        Some(Task::Run { setup }) => serve(setup),
        Some(Task::Check { files }) => exit_code(files.iter().map(|path| check(path)).collect()),
        Some(Task::Fmt { check, files }) => {
            exit_code(files.iter().map(|path| format_or_report(path, check)).collect())
        }
        Some(Task::Diff { from, to }) => print_diff(&from, &to),
        Some(Task::Fleet { at }) => print_fleet(at),
        Some(Task::Completions { shell }) => {
            print_completions(shell);
            ExitCode::SUCCESS
        }
    }
}
