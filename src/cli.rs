//! The command line. Without arguments the program runs the daemon.

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

/// Longest request that printed bounds assume, as no settings are read here.
const DEFAULT_MAX_REQUEST_NS: u64 = 27_500_000_000;
/// Timeout for connecting to the admin API, and for each read.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Exit status of `diff` if a file is not valid.
const INVALID_FILE_STATUS: u8 = 2;

/// Error of a subcommand.
#[derive(Debug, thiserror::Error)]
enum CliError {
    /// A configuration file is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The router cannot be reached.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The router's response is not HTTP.
    #[error("malformed HTTP response")]
    MalformedResponse,
    /// The router answered with an error, or the file is not valid.
    #[error("{0}")]
    Refused(String),
}

/// A query router daemon: decides which engine runs each query and when, and gives each client one
/// final answer.
#[derive(Parser)]
#[command(name = "marljunction", version)]
struct Arguments {
    #[command(subcommand)]
    task: Option<Task>,
}

#[derive(Subcommand)]
enum Task {
    /// Run the daemon; the default without arguments.
    Run {
        /// The operator's file; by default the one named by MARLJUNCTION_SETUP, if any.
        #[arg(long, value_name = "FILE")]
        setup: Option<PathBuf>,
    },
    /// Check operator's files and print their errors.
    Check {
        /// The files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Format files of the configuration language.
    Fmt {
        /// Change nothing; list the files that are not formatted.
        #[arg(long)]
        check: bool,
        /// The files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Print the effects of replacing one operator's file with another; exits with status 0 if they
    /// are equivalent, 1 if they differ, 2 if one is not valid.
    Diff {
        /// The current file.
        from: PathBuf,
        /// The new file.
        to: PathBuf,
    },
    /// Print the peers of a running router and its share of each limit.
    Fleet {
        /// Address of the router's admin API.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
    /// Print completions for a shell.
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

/// Prints the bounds of a valid file, or the errors of an invalid one; returns whether it is valid.
fn check(path: &Path) -> bool {
    match setup::read_file(path).map(|outcome| setup::diagnostics(&outcome)) {
        Ok(None) => {
            println!("{}: valid", path.display());
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

/// Fetches `/fleet` from the admin API.
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

/// Formats a file, or only checks its format; returns false if a check found a difference.
fn format(path: &Path, check_only: bool) -> Result<bool, CliError> {
    let text = std::fs::read_to_string(path).map_err(ConfigError::unreadable(path))?;
    let Some(formatted) = marljunction_language::format::format(&text) else {
        let outcome = setup::read_file(path)?;
        return Err(CliError::Refused(setup::diagnostics(&outcome).unwrap_or_default()));
    };
    let ok = formatted == text;
    if !ok && !check_only {
        std::fs::write(path, formatted).map_err(ConfigError::unreadable(path))?;
        println!("{}: formatted", path.display());
    } else if !ok {
        println!("{}: not formatted", path.display());
    }
    Ok(ok || !check_only)
}

fn print_completions(shell: clap_complete::Shell) {
    clap_complete::generate(shell, &mut Arguments::command(), "marljunction", &mut std::io::stdout());
}

/// Prints the effects of a change; the exit status is described at [`Task::Diff`].
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

/// Parses the arguments and runs the subcommand.
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
